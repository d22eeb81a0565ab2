/*
 * ONC RPC (RFC 5531) over libevent: calls over TCP with record marking, several at a time on one
 * connection, and one-way datagrams over UDP. The data are encoded with libtirpc's XDR.
 *
 * An endpoint is client and server at once. It owns its sockets and connections. Arguments that are
 * passed in are encoded at once; the calling function still owns them. Decoded arguments and
 * results belong to the endpoint and are freed when the function that receives them returns.
 */
#ifndef APRICOT_RPC_H
#define APRICOT_RPC_H

#include "counter.h"

#include <event2/event.h>
#include <glib.h>
#include <rpc/rpc.h>

G_BEGIN_DECLS

struct rpc_endpoint;
struct rpc_call; /* a call being served; valid until rpc_call_reply or rpc_call_abandon */

enum rpc_status {
	RPC_STATUS_DONE, /* the result has arrived */
	RPC_STATUS_NOT_SENT, /* no byte of the call was given to a connection: it was not served */
	RPC_STATUS_LOST, /* sent, but no valid result came back: it may have been served */
};

/* Serves one call; must end it, then or later, with rpc_call_reply or rpc_call_abandon. */
typedef void rpc_serve_fn(void *arg, struct rpc_call *call, void *args);
/* Handles one datagram. */
typedef void rpc_datagram_fn(void *arg, void *args);
/* Reports the end of a call. result is NULL unless status is RPC_STATUS_DONE. */
typedef void rpc_done_fn(void *arg, enum rpc_status status, void *result);

struct rpc_procedure {
	uint32_t number;
	xdrproc_t args_xdr;
	size_t args_bytes;
	rpc_serve_fn *serve; /* for calls over TCP; NULL when there are none */
	rpc_datagram_fn *datagram; /* for datagrams over UDP; NULL when there are none */
};

/*
 * Binds TCP and UDP sockets to address ("IP:PORT"). The event loop, the procedure table and the
 * counters must outlive the endpoint; arg is passed to the table's functions. NULL with
 * RESULT_BAD_SETTING when the address is malformed, with RESULT_SYSTEM when it cannot be bound.
 */
struct rpc_endpoint *rpc_endpoint_create(struct event_base *base, const char *address,
					 uint32_t program, uint32_t version,
					 const struct rpc_procedure *procedures,
					 unsigned int n_procedures, void *arg,
					 struct counters *counters, GError **error);
/*
 * Ends the calls in progress: their done functions are called and must not use the endpoint.
 * Accepts NULL.
 */
void rpc_endpoint_destroy(struct rpc_endpoint *e);

/*
 * Sends one call to the address ("IP:PORT"). done is called exactly once, never from inside this
 * function, at the latest after timeout_us. The call is written once, as soon as the connection is
 * open, and is never repeated.
 */
void rpc_endpoint_call(struct rpc_endpoint *e, const char *address, uint32_t procedure,
		       xdrproc_t args_xdr, void *args, xdrproc_t result_xdr, size_t result_bytes,
		       uint64_t timeout_us, rpc_done_fn *done, void *done_arg);

/* Sends one datagram without an answer. Failures and losses are not reported. */
void rpc_endpoint_datagram(struct rpc_endpoint *e, const char *address, uint32_t procedure,
			   xdrproc_t args_xdr, void *args);

/* Sends the result and frees the call. Sends nothing when the connection has been closed. */
void rpc_call_reply(struct rpc_call *call, xdrproc_t result_xdr, void *result);
/* Frees the call without sending an answer. */
void rpc_call_abandon(struct rpc_call *call);

G_END_DECLS

#endif
