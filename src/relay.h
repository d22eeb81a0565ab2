/*
 * Service "relay": passes on the content of the configuration store between VMs. A few VMs, the
 * readers, read the store. Every other VM asks them for their revision and one of them for its
 * changes, and reads the store itself only while it cannot rely on them; follower.h decides that.
 * A VM that neither the store nor a reader answers asks other VMs, which may read the store.
 */
#ifndef APRICOT_RELAY_H
#define APRICOT_RELAY_H

#include "kernel.h"

G_BEGIN_DECLS

/* dc: data centre of this VM; copied. */
struct service *relay_create(struct kernel *k, const char *dc);

G_END_DECLS

#endif
