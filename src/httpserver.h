/*
 * HTTP/1.1 server on one address: reads whole requests, reports callers that leave, bounds what
 * they may send and how long they may take.
 *
 * The server owns its connections. A request handed to ops->request stays valid until it is
 * answered or reported by ops->left; each request ends in exactly one of these ways.
 */
#ifndef APRICOT_HTTPSERVER_H
#define APRICOT_HTTPSERVER_H

#include "httpmsg.h"

#include <event2/event.h>
#include <glib.h>

G_BEGIN_DECLS

struct http_server;
struct http_request; /* one connection's current request */

struct http_server_limits {
	struct http_limits message;
	unsigned int head_ms; /* from a request's first byte to the end of its fields */
	unsigned int idle_ms; /* between requests of a connection */
};

struct http_server_ops {
	/* A whole request was read. */
	void (*request)(void *arg, struct http_request *request);
	/* The caller closed its connection; the request is gone when this returns. */
	void (*left)(void *arg, struct http_request *request);
	/* The server refused bytes that are no request with this status; may be NULL. */
	void (*refused)(void *arg, unsigned int status);
};

struct http_server *http_server_create(struct event_base *base, const char *address,
				       const struct http_server_ops *ops, void *arg,
				       const struct http_server_limits *limits, GError **error);
/* Closes all connections; requests in progress are not reported. */
void http_server_destroy(struct http_server *s);

void http_server_limit(struct http_server *s, const struct http_server_limits *limits);
/*
 * From now on each answer closes its connection. Idle connections are closed after the first
 * quiet interval, since a caller may be sending on them just now.
 */
void http_server_drain(struct http_server *s);
/* Closes the listener; open connections go on. */
void http_server_stop_accepting(struct http_server *s);
/* Requests that were read and are not answered yet. */
unsigned int http_server_busy_count(const struct http_server *s);

const struct http_reader *http_request_message(const struct http_request *r);
/* The owner's pointer, NULL at first. */
void http_request_set_data(struct http_request *r, void *data);
void *http_request_data(const struct http_request *r);

/*
 * Answers and frees the request. fields: complete lines ended by CRLF, without Content-Length and
 * Connection; may be "".
 */
void http_request_answer(struct http_request *r, unsigned int status, const char *fields,
			 const char *body, size_t n);

G_END_DECLS

#endif
