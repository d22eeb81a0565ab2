/*
 * ONC RPC (RFC 5531) over libevent: calls over TCP with record marking, several at a time on one
 * connection, and one-way datagrams over UDP. The codec is libtirpc's XDR.
 *
 * The endpoint owns its sockets and its client connections. Arguments passed in are encoded at
 * once and stay with the caller; decoded arguments and results belong to the endpoint and are
 * freed when the handler returns.
 */
#ifndef APRICOT_RPC_H
#define APRICOT_RPC_H

#include "counter.h"

#include <event2/event.h>
#include <glib.h>
#include <rpc/rpc.h>

G_BEGIN_DECLS

struct rpc_endpoint;
struct rpc_call; /* a call being served; valid until rpc_call_reply */

enum rpc_status {
	RPC_STATUS_DONE,
	RPC_STATUS_NOT_SENT, /* no byte of the call was given to a connection */
	RPC_STATUS_LOST, /* sent, and no answer: it may have been served */
};

typedef void rpc_serve_fn(void *arg, struct rpc_call *call, void *args);
typedef void rpc_datagram_fn(void *arg, void *args);
/* result is NULL unless status is RPC_STATUS_DONE */
typedef void rpc_done_fn(void *arg, enum rpc_status status, void *result);

struct rpc_procedure {
	uint32_t number;
	xdrproc_t args_xdr;
	size_t args_bytes;
	rpc_serve_fn *serve; /* over TCP; NULL when not served there */
	rpc_datagram_fn *datagram; /* over UDP; NULL when not served there */
};

/*
 * Binds TCP and UDP to address ("IP:PORT"). The procedure table must outlive the endpoint; arg is
 * passed to its functions. NULL with an error when the address is malformed or in use.
 */
struct rpc_endpoint *rpc_endpoint_create(struct event_base *base, const char *address,
					 uint32_t program, uint32_t version,
					 const struct rpc_procedure *procedures,
					 unsigned int n_procedures, void *arg,
					 struct counters *counters, GError **error);
/* Ends calls in flight: their done functions are called and must not call the endpoint. */
void rpc_endpoint_destroy(struct rpc_endpoint *e);

/*
 * Sends one call to the address and calls done exactly once, never from inside this function. The
 * call is written only after the connection is open, and never a second time.
 */
void rpc_endpoint_call(struct rpc_endpoint *e, const char *address, uint32_t procedure,
		       xdrproc_t args_xdr, void *args, xdrproc_t result_xdr, size_t result_bytes,
		       uint64_t timeout_us, rpc_done_fn *done, void *done_arg);

/* Sends one datagram; loss is not reported. */
void rpc_endpoint_datagram(struct rpc_endpoint *e, const char *address, uint32_t procedure,
			   xdrproc_t args_xdr, void *args);

/* Sends the result and frees the call; nothing is sent when the connection is gone. */
void rpc_call_reply(struct rpc_call *call, xdrproc_t result_xdr, void *result);
/* Frees the call without an answer. */
void rpc_call_abandon(struct rpc_call *call);

G_END_DECLS

#endif
