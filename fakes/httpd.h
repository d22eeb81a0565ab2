/*
 * HTTP server helpers on top of libevent's evhttp, shared by the stand-in processes fake-leaf and
 * fake-platform and by the benchmarks. Each process has one thread and one event base.
 */
#ifndef APRICOT_FAKES_HTTPD_H
#define APRICOT_FAKES_HTTPD_H

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Creates the event base, with microsecond timers. SIGTERM and SIGINT end its loop, and SIGPIPE is
 * ignored. At most one base per process; freed by httpd_base_destroy().
 */
struct event_base *httpd_base_create(void);
/* Frees the base, whose servers and events must have been freed before. NULL is allowed. */
void httpd_base_destroy(struct event_base *base);

/*
 * Creates an HTTP server that listens on 127.0.0.1. With port 0 the system picks a free port;
 * *bound_port is the port in use. Returns NULL and RESULT_SYSTEM when the port cannot be bound. The
 * caller frees the server with evhttp_free().
 */
struct evhttp *httpd_create(struct event_base *base, uint16_t port, uint16_t *bound_port,
			    GError **error);

/*
 * Parses text that is a decimal number from 0 to max and nothing else. Returns false when text is
 * NULL, malformed or out of range.
 */
bool httpd_number_parse(const char *text, uint64_t max, uint64_t *value);

/*
 * Parses numbers separated by commas, such as "1,2,3", into an array of unsigned int. Returns NULL
 * when text is malformed; the caller frees the array with g_array_unref().
 */
GArray *httpd_list_parse(const char *text);

/* Formats the list as httpd_list_parse() reads it; the caller frees the text with g_free(). */
char *httpd_list_format(const GArray *list);

/* Value of a request header, owned by req; NULL when the request has no such header. */
const char *httpd_header_get(struct evhttp_request *req, const char *name);
/* Adds a header to the response. */
void httpd_header_set(struct evhttp_request *req, const char *name, const char *value);

/*
 * Copy of the request's body, with a NUL after its *body_bytes bytes; the caller frees it with
 * g_free().
 */
char *httpd_body_copy(struct evhttp_request *req, size_t *body_bytes);

/* Parses the URI's query parameters; the caller clears them with evhttp_clear_headers(). */
void httpd_query_parse(struct evhttp_request *req, struct evkeyvalq *query);

/* Sends the response with the HTTP status code and copies body. */
void httpd_reply(struct evhttp_request *req, int code, const void *body, size_t body_bytes);

/* Sends body as JSON; takes the reference to body. */
void httpd_reply_json(struct evhttp_request *req, int code, json_t *body);

/* Closes the request's connection without a response, once the current callback has returned. */
void httpd_request_drop(struct event_base *base, struct evhttp_request *req);

#endif
