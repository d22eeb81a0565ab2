/*
 * An outgoing HTTP/1.1 connection that carries one call at a time. A call is a request and its
 * answer.
 *
 * The owner creates and destroys the connection and may destroy it inside every callback. After
 * ops->failed it can only be destroyed. An answer is valid during the callback.
 */
#ifndef APRICOT_HTTPCONN_H
#define APRICOT_HTTPCONN_H

#include "heldbytes.h"
#include "httpmsg.h"

#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>

G_BEGIN_DECLS

struct http_conn;

/* X(symbol, name): why a connection failed */
#define HTTP_FAILURE_LIST(X)                                                  \
	X(CONNECT, "connect") /* the connection was never established */      \
	X(CLOSED, "closed") /* closed while no call was in progress */        \
	X(LOST, "lost") /* closed before the answer to a call was complete */ \
	X(GARBAGE, "garbage") /* received bytes are no answer to a call */    \
	X(HELD, "held") /* given up, since the answer does not fit into what may be held */

enum http_failure {
#define X(symbol, name) HTTP_FAILURE_##symbol,
	HTTP_FAILURE_LIST(X)
#undef X
};

struct http_conn_ops {
	/* The connection is established. */
	void (*opened)(struct http_conn *c, void *arg);
	/*
	 * A complete answer has arrived. Returns true when it belongs to the call. Returns false
	 * when it names another request: the connection then waits for the next answer, but fails
	 * with GARBAGE at the third such answer to a call. reusable: the connection can carry
	 * another call.
	 */
	bool (*answered)(struct http_conn *c, void *arg, const struct http_reader *answer,
			 bool reusable);
	/* The connection is closed and the call in progress, if any, has no answer. */
	void (*failed)(struct http_conn *c, void *arg, enum http_failure why);
};

/*
 * Starts to connect; ends in ops->opened or ops->failed. NULL when the connection fails at once.
 * ops must outlive the connection. limits: of an answer; head_bytes is not used.
 */
struct http_conn *http_conn_create(struct event_base *base, const struct sockaddr_in *to,
				   const struct http_conn_ops *ops, void *arg,
				   const struct http_limits *limits);
/*
 * Counts the bytes of the connection's calls in the set and pauses the reading of answers when it
 * says so. leaf: the account of all connections to the leaf, which must outlive the connection. To
 * be called before the first call.
 */
void http_conn_hold(struct http_conn *c, struct heldbytes *held, struct held_account *leaf);
/* Closes the connection without a callback. Accepts NULL. */
void http_conn_destroy(struct http_conn *c);

/* Turns on TCP keep-alive (stream_keepalive_enable), for calls that wait long for their answer. */
void http_conn_keepalive_enable(struct http_conn *c);
/*
 * Sends one request of n bytes, which are copied; the call ends in ops->answered or ops->failed.
 * False when the connection is lost; ops->failed may still be called later, from the event loop.
 */
bool http_conn_send(struct http_conn *c, const char *request, size_t n);
/* True while the reading of an answer pauses because of what is held. */
bool http_conn_is_waiting(const struct http_conn *c);
/* Number of bytes received on the connection so far. */
uint64_t http_conn_received_bytes(const struct http_conn *c);
const char *http_failure_name(enum http_failure failure);

G_END_DECLS

#endif
