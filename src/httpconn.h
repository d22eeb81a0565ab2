/*
 * One outgoing HTTP/1.1 connection that carries one call at a time.
 *
 * The owner creates and destroys the connection; after ops->failed it may only be destroyed, which
 * is allowed inside every callback. What an answer points to is valid during the callback.
 */
#ifndef APRICOT_HTTPCONN_H
#define APRICOT_HTTPCONN_H

#include "httpmsg.h"

#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>

G_BEGIN_DECLS

struct http_conn;

/* X(symbol, name) */
#define HTTP_FAILURE_LIST(X)                                                      \
	X(CONNECT, "connect") /* the connection was never established */          \
	X(CLOSED, "closed") /* closed in order while no call was in progress */   \
	X(LOST, "lost") /* ended during a call, before the answer was complete */ \
	X(GARBAGE, "garbage") /* bytes that are no answer to this call */

enum http_failure {
#define X(symbol, name) HTTP_FAILURE_##symbol,
	HTTP_FAILURE_LIST(X)
#undef X
};

struct http_conn_ops {
	void (*opened)(struct http_conn *c, void *arg);
	/*
	 * A whole answer. Return true when it belongs to the call; false has the connection wait
	 * for the next answer. reusable: the connection can carry another call afterwards.
	 */
	bool (*answered)(struct http_conn *c, void *arg, const struct http_reader *answer,
			 bool reusable);
	void (*failed)(struct http_conn *c, void *arg, enum http_failure why);
};

/* NULL when no socket could be opened. */
struct http_conn *http_conn_create(struct event_base *base, const struct sockaddr_in *to,
				   const struct http_conn_ops *ops, void *arg,
				   const struct http_limits *limits);
void http_conn_destroy(struct http_conn *c);

/* Probes the peer while it is silent; for calls that wait long for their answer. */
void http_conn_probe_peer(struct http_conn *c);
/* Sends one request; ends in answered or failed. False when the connection is lost already. */
bool http_conn_send(struct http_conn *c, const char *request, size_t n);
const char *http_failure_name(enum http_failure failure);

G_END_DECLS

#endif
