#include "http.h"

#include "inputlimit.h"

#include <event2/buffer.h>
#include <string.h>

/* The platform's values are at most 1 MiB; a status or metrics page is smaller. */
#define BODY_BYTES_MAX (4 << 20)
#define HEADER_BYTES_MAX 16384

struct http_client {
	struct event_base *base;
	char *address;
	char *ip;
	uint16_t port;
	struct evhttp_connection *evcon;
	struct event *timer;
	http_done_fn *done; /* NULL while no call is in progress */
	void *arg;
};

static void call_end(struct http_client *c, const struct http_answer *answer)
{
	http_done_fn *done = c->done;

	if (!done)
		return;
	c->done = NULL;
	evtimer_del(c->timer);
	done(c->arg, answer);
}

static void call_answered(struct evhttp_request *req, void *arg)
{
	struct http_client *c = arg;
	struct http_answer answer = {.body = ""};

	if (req && evhttp_request_get_response_code(req) != 0) {
		struct evbuffer *in = evhttp_request_get_input_buffer(req);
		const char *version =
			evhttp_find_header(evhttp_request_get_input_headers(req), "X-Version");

		answer.status = evhttp_request_get_response_code(req);
		answer.version = version ? g_ascii_strtoull(version, NULL, 10) : 0;
		evbuffer_add(in, "", 1);
		answer.body_bytes = evbuffer_get_length(in) - 1;
		answer.body = (const char *)evbuffer_pullup(in, -1);
	}
	call_end(c, &answer);
}

static void connection_close(struct http_client *c)
{
	if (c->evcon)
		evhttp_connection_free(c->evcon);
	c->evcon = NULL;
}

static void call_expire(evutil_socket_t fd, short what, void *arg)
{
	static const struct http_answer no_answer = {.body = ""};
	struct http_client *c = arg;

	/* This frees the request too, so that a late answer cannot end a later call. */
	connection_close(c);
	call_end(c, &no_answer);
}

struct http_client *http_client_create(struct event_base *base, const char *address)
{
	struct http_client *c = g_new0(struct http_client, 1);
	const char *colon = strrchr(address, ':');

	c->base = base;
	c->address = g_strdup(address);
	c->ip = g_strndup(address, colon - address);
	c->port = (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10);
	c->timer = evtimer_new(base, call_expire, c);
	return c;
}

void http_client_destroy(struct http_client *c)
{
	if (!c)
		return;
	c->done = NULL;
	connection_close(c);
	event_free(c->timer);
	g_free(c->address);
	g_free(c->ip);
	g_free(c);
}

void http_client_call(struct http_client *c, const char *path, const char *caller, const char *body,
		      uint64_t timeout_ms, http_done_fn *done, void *arg)
{
	struct timeval timeout = {(time_t)(timeout_ms / 1000),
				  (suseconds_t)(timeout_ms % 1000) * 1000};
	struct evhttp_request *req = evhttp_request_new(call_answered, c);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	c->done = done;
	c->arg = arg;
	evtimer_add(c->timer, &timeout);
	if (!c->evcon) {
		c->evcon =
			evhttp_connection_base_bufferevent_new(c->base, NULL, NULL, c->ip, c->port);
		/* c->timer bounds the call; the timeout of evhttp must not end it earlier. */
		timeout.tv_sec += 1;
		evhttp_connection_set_timeout_tv(c->evcon, &timeout);
		evhttp_connection_set_max_body_size(c->evcon, BODY_BYTES_MAX);
		evhttp_connection_set_max_headers_size(c->evcon, HEADER_BYTES_MAX);
		inputlimit_set(evhttp_connection_get_bufferevent(c->evcon), BODY_BYTES_MAX);
	}
	evhttp_add_header(headers, "Host", c->address);
	if (caller)
		evhttp_add_header(headers, "X-Caller", caller);
	if (body)
		evbuffer_add(evhttp_request_get_output_buffer(req), body, strlen(body));
	if (evhttp_make_request(c->evcon, req, body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path) < 0) {
		/* Lets the timer end the call at once, as one without an answer. */
		timeout = (struct timeval){0, 0};
		evtimer_add(c->timer, &timeout);
	}
}
