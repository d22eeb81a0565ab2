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
/*
 * Longest key and value that VMs pass on to each other, in bytes. A VM uses none that is longer, so
 * that all VMs know the same.
 */
#define RELAY_KEY_BYTES_MAX 256
#define RELAY_VALUE_BYTES_MAX (1u << 20)

struct service *relay_create(struct kernel *k, const char *dc);

G_END_DECLS

#endif
