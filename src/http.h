/*
 * HTTP client on top of evhttp, for the platform's configuration service and the command-line tool.
 * Each client has one connection and carries one call at a time.
 */
#ifndef APRICOT_HTTP_H
#define APRICOT_HTTP_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

struct http_client;

struct http_answer {
	int status; /* 0: no answer */
	const char *body; /* NUL-terminated; valid during the callback */
	size_t body_bytes;
	uint64_t version; /* from the field X-Version; 0 when absent */
};

/* Reports the end of a call; the answer is valid during the callback. */
typedef void http_done_fn(void *arg, const struct http_answer *answer);

/* address is "IP:PORT" and is copied; it must hold a colon. Connects at the first call. */
struct http_client *http_client_create(struct event_base *base, const char *address);
/*
 * Drops a call in progress without calling its done function. Must not be called by a done
 * function. Accepts NULL.
 */
void http_client_destroy(struct http_client *c);

/*
 * Starts a call: a POST with the body, or a GET when body is NULL. caller is the value of the field
 * X-Caller, or NULL for none. done is called exactly once, never from inside this function.
 * timeout_ms bounds the whole call. The previous call must have ended.
 */
void http_client_call(struct http_client *c, const char *path, const char *caller, const char *body,
		      uint64_t timeout_ms, http_done_fn *done, void *arg);

G_END_DECLS

#endif
