/*
 * Service "peer": owns the RPC endpoint. It carries peer_call messages to other VMs, or straight
 * to the serving service of this process when the address is its own, and the replies back.
 */
#ifndef APRICOT_PEER_H
#define APRICOT_PEER_H

#include "kernel.h"

G_BEGIN_DECLS

/* Binds TCP and UDP of the address; NULL with an error when that fails. */
struct service *peer_create(struct kernel *k, const char *rpc_address, GError **error);

G_END_DECLS

#endif
