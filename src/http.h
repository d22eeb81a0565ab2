/* HTTP client calls for the platform's service and the command-line tool. */
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
	uint64_t version; /* of the header X-Version; 0 when absent */
};

typedef void http_done_fn(void *arg, const struct http_answer *answer);

/* One request at a time on its own connection; address is "IP:PORT". */
struct http_client *http_client_create(struct event_base *base, const char *address);
/* A call in progress ends without its done function. Not from inside done. */
void http_client_destroy(struct http_client *c);

/*
 * body NULL: GET. done is called once, later. The previous call must have ended. The timeout is in
 * milliseconds for the whole call.
 */
void http_client_call(struct http_client *c, const char *path, const char *caller, const char *body,
		      uint64_t timeout_ms, http_done_fn *done, void *arg);

G_END_DECLS

#endif
