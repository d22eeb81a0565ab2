/*
 * Service "relay": passes on what the store says between VMs. A VM that is no reader asks two of
 * the readers and reads the store itself only when none of them can say anything current.
 */
#ifndef APRICOT_RELAY_H
#define APRICOT_RELAY_H

#include "kernel.h"

G_BEGIN_DECLS

/* dc: data centre of this VM; copied. */
struct service *relay_create(struct kernel *k, const char *dc);

G_END_DECLS

#endif
