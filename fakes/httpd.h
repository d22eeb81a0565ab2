/* HTTP helpers shared by the test fakes. */
#ifndef APRICOT_FAKES_HTTPD_H
#define APRICOT_FAKES_HTTPD_H

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Event base with microsecond timers that ends its loop on SIGTERM and SIGINT; one per process. */
struct event_base *httpd_base_create(void);
/* Call after the servers and events of the base have been freed; NULL is allowed. */
void httpd_base_destroy(struct event_base *base);

/* HTTP server on 127.0.0.1; port 0 chooses one, *bound is the port. NULL and RESULT_SYSTEM on
 * failure. */
struct evhttp *httpd_create(struct event_base *base, uint16_t port, uint16_t *bound,
			    GError **error);

/* Parses a whole decimal number. */
bool httpd_number_parse(const char *text, uint64_t max, uint64_t *value);

/* Parses "1,2,3" into an array of unsigned int, NULL when malformed; freed by g_array_unref(). */
GArray *httpd_list_parse(const char *text);

/* The reverse of httpd_list_parse(); the caller frees it with g_free(). */
char *httpd_list_format(const GArray *list);

/* NULL when the request has no such header. */
const char *httpd_header_get(struct evhttp_request *req, const char *name);
void httpd_header_set(struct evhttp_request *req, const char *name, const char *value);

/* Body of the request, NUL-terminated; the caller frees it with g_free(). */
char *httpd_body_get(struct evhttp_request *req, size_t *body_bytes);

/* Parameters of the URI; the caller clears them with evhttp_clear_headers(). */
void httpd_query_get(struct evhttp_request *req, struct evkeyvalq *query);

void httpd_reply(struct evhttp_request *req, int code, const void *body, size_t body_bytes);
/* Takes the reference to body. */
void httpd_reply_json(struct evhttp_request *req, int code, json_t *body);

/* Closes the connection of a request without an answer once the current callback has returned. */
void httpd_request_drop(struct event_base *base, struct evhttp_request *req);

#endif
