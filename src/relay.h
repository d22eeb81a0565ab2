/*
 * Service "relay": passes on the content of the configuration store between VMs. A few VMs, the
 * readers, read the store. Every other VM asks one reader for changes and the others for their
 * revision, and reads the store itself only while no reader gives current answers.
 */
#ifndef APRICOT_RELAY_H
#define APRICOT_RELAY_H

#include "kernel.h"

G_BEGIN_DECLS

/* dc: data centre of this VM; copied. */
struct service *relay_create(struct kernel *k, const char *dc);

G_END_DECLS

#endif
