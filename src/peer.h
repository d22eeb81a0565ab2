/*
 * Service "peer": owns the RPC endpoint. It sends the calls of peer_call messages to other VMs and
 * returns their results as peer_reply messages. A call to this VM's own address goes directly to
 * the service that serves it.
 */
#ifndef APRICOT_PEER_H
#define APRICOT_PEER_H

#include "kernel.h"

G_BEGIN_DECLS

/* Binds TCP and UDP sockets to the address ("IP:PORT"); NULL with an error when that fails. */
struct service *peer_create(struct kernel *k, const char *rpc_address, GError **error);

G_END_DECLS

#endif
