/*
 * HTTP/1.1 server on one address. It reads whole requests, reports callers that disconnect, and
 * limits how much callers may send and how long they may take to send it.
 *
 * The server owns its connections. A request passed to ops->request stays valid until it is
 * answered or ops->disconnected has returned; each request ends in exactly one of these ways.
 */
#ifndef APRICOT_HTTPSERVER_H
#define APRICOT_HTTPSERVER_H

#include "heldbytes.h"
#include "httpmsg.h"

#include <event2/event.h>
#include <glib.h>

G_BEGIN_DECLS

struct http_server;
struct http_request; /* a connection and its current request */

struct http_server_limits {
	struct http_limits message;
	unsigned int head_ms; /* from a request's first byte to the end of its fields */
	/* between requests of a connection; also how long the body may take beyond head_ms */
	unsigned int idle_ms;
};

struct http_server_ops {
	/* A whole request was read. It may be answered inside this function. */
	void (*request)(void *arg, struct http_request *request);
	/* The caller disconnected; the request is freed when this returns. */
	void (*disconnected)(void *arg, struct http_request *request);
	/*
	 * A request whose head was read is to be refused now, with http_request_answer, which
	 * closes the connection: its body does not fit into what may be held. May be NULL if
	 * nothing is bounded.
	 */
	void (*overfull)(void *arg, struct http_request *request);
	/* The server answered this status to bytes that are no valid request; may be NULL. */
	void (*refused)(void *arg, unsigned int status);
};

/*
 * Listens on address ("IP:PORT"). ops must outlive the server; the limits are copied. NULL with
 * RESULT_BAD_SETTING when the address is malformed, with RESULT_SYSTEM when the socket fails.
 */
struct http_server *http_server_create(struct event_base *base, const char *address,
				       const struct http_server_ops *ops, void *arg,
				       const struct http_server_limits *limits, GError **error);
/* Closes all connections without reporting the requests in progress. Accepts NULL. */
void http_server_destroy(struct http_server *s);

/* Replaces the limits, which are copied; they hold for open connections too. */
void http_server_limits_set(struct http_server *s, const struct http_server_limits *limits);
/*
 * Counts the bytes that are held for callers in the set, which must outlive the server, and reads
 * no further than the set allows. To be called before the first connection.
 */
void http_server_hold(struct http_server *s, struct heldbytes *held);
/* Number of times that a caller's next request was not read yet, since too much was unsent to it.
 */
uint64_t http_server_held_back(const struct http_server *s);
/*
 * From now on each answer closes its connection. An idle connection is closed only after a short
 * time in which nothing arrives on it, since its caller may be sending a request right now.
 */
void http_server_drain(struct http_server *s);
/* Closes the listening socket; open connections stay open. */
void http_server_stop_accepting(struct http_server *s);
/*
 * Number of requests that were read and whose callers do not have the whole answer yet, as far as
 * the server can tell. Visits every connection.
 */
unsigned int http_server_busy_count(const struct http_server *s);

/* The request as it was read; valid as long as the request. */
const struct http_reader *http_request_message(const struct http_request *r);
/* A pointer that the owner attaches to the request; NULL at first. */
void http_request_set_data(struct http_request *r, void *data);
void *http_request_data(const struct http_request *r);

/*
 * Answers and frees the request. fields: header lines that each end with CRLF, without
 * Content-Length and Connection; may be "". The n bytes of the body are copied.
 */
void http_request_answer(struct http_request *r, unsigned int status, const char *fields,
			 const char *body, size_t n);

G_END_DECLS

#endif
