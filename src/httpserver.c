#include "httpserver.h"

#include "address.h"
#include "clock.h"
#include "list.h"
#include "result.h"
#include "routedresult.h"
#include "stream.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Period of the checks of the connections' time limits, and so their resolution. */
#define CHECK_MS 250
#define BACKLOG 1024
/*
 * Longest wait for the peer to close a connection whose last answer is written. Closing it at once
 * would reset it if the peer sends on, and the end of the answer would be lost.
 */
#define CLOSE_WAIT_MS 1000
/*
 * Most connections accepted in one iteration of the event loop, so that many new connections do not
 * delay the requests in progress.
 */
#define ACCEPT_BATCH 64
/*
 * Reading pauses when this many bytes of further requests have arrived while one is in progress;
 * TCP flow control then stops the peer.
 */
#define PIPELINED_BYTES_MAX 65536
/*
 * Longest time in which a peer takes nothing of an answer. No caller of the deployments waits
 * longer than 10 s for one. The idle time does not apply: it may be shorter than a stall on a slow
 * link, and neither does the time that ends other connections when nothing is acknowledged.
 */
#define STALL_MAX_MS 10000
/* The owner of a request makes a copy of its body, which is counted from the start so that it fits.
 */
#define BODY_COPIES 2
/* A larger body is written by itself, since joining it with the head takes one copy more. */
#define JOINED_BODY_BYTES_MAX 65536

struct http_request {
	struct stream stream;
	struct list_head node;
	struct http_server *server;
	struct http_reader *reader;
	struct held_account held;
	GByteArray *pipelined; /* bytes that follow the current request, or NULL */
	void *data; /* the owner's */
	/*
	 * When the connection became idle, a request's first byte arrived, the peer last took bytes
	 * of an answer, or the sending side was ended.
	 */
	uint64_t since_ms;
	size_t untaken_bytes; /* not taken by the peer at the last check, see untaken_check */
	bool is_busy; /* the request was passed to the owner, who has not answered yet */
	bool is_paused; /* reading is paused */
	bool is_held_back; /* the next request is not read while so much is unsent */
	bool is_overfull; /* its body does not fit into what may be held */
	bool is_closing; /* what arrives is dropped; closed once the peer has the last answer */
	bool is_write_ended; /* the last answer is written; waits for the peer to close */
};

struct http_server {
	const struct http_server_ops *ops;
	void *arg;
	struct event_base *base;
	struct event *accept_event;
	struct event *check_timer;
	struct list_head connections;
	struct http_server_limits limits;
	int fd;
	unsigned int n_connections;
	unsigned int n_busy;
	struct heldbytes *held; /* NULL: nothing is counted */
	uint64_t n_held_back;
	bool is_draining;
};

/* Takes note of what is held for the connection now. */
static void held_update(struct http_request *r)
{
	size_t n_pipelined = r->pipelined ? r->pipelined->len : 0;
	size_t n_body = BODY_COPIES * http_reader_body_bytes(r->reader);

	held_account_set(&r->held, HELD_CALLERS, stream_unsent_bytes(&r->stream));
	held_account_set(&r->held, HELD_BODIES, n_body + n_pipelined);
}

static void connection_destroy(struct http_request *r)
{
	struct http_server *s = r->server;

	if (r->is_busy)
		s->n_busy--;
	s->n_connections--;
	list_del(&r->node);
	held_account_close(&r->held);
	stream_close(&r->stream);
	http_reader_destroy(r->reader);
	if (r->pipelined)
		g_byte_array_free(r->pipelined, TRUE);
	g_free(r);
}

/* Ends the sending side of a connection on which nothing is unsent. */
static void connection_write_end(struct http_request *r)
{
	r->is_closing = true;
	r->is_write_ended = true;
	r->since_ms = clock_now_ms();
	stream_write_end(&r->stream);
}

/*
 * Sends an answer. Returns false when the connection was destroyed, since it is lost. One that need
 * not be kept is destroyed later, when the peer has the answer.
 */
static bool answer_write(struct http_request *r, unsigned int status, const char *fields,
			 const char *body, size_t n, bool keep)
{
	bool is_joined = n <= JOINED_BODY_BYTES_MAX;
	GString *out = g_string_sized_new(256 + (is_joined ? n : 0));

	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n%sContent-Length: %zu\r\n%s\r\n", status,
			       http_status_text(status), fields, n,
			       keep ? "" : "Connection: close\r\n");
	if (is_joined)
		g_string_append_len(out, body, (gssize)n);
	if (!stream_write(&r->stream, out->str, out->len) ||
	    (!is_joined && !stream_write(&r->stream, body, n))) {
		g_string_free(out, TRUE);
		connection_destroy(r);
		return false;
	}
	g_string_free(out, TRUE);
	held_update(r);
	r->is_closing = !keep;
	if (!keep && r->is_paused) {
		r->is_paused = false;
		stream_read_resume(&r->stream);
	}
	r->untaken_bytes = stream_unacknowledged_bytes(&r->stream);
	if (!keep && stream_unsent_bytes(&r->stream) == 0)
		connection_write_end(r);
	return true;
}

/* Answers bytes that are no valid request with the status, and closes the connection. */
static void request_refuse(struct http_request *r, unsigned int status)
{
	if (r->server->ops->refused)
		r->server->ops->refused(r->server->arg, status);
	answer_write(r, status, "", "", 0, false);
}

static unsigned int progress_status(enum http_progress progress)
{
	switch (progress) {
	case HTTP_HEAD_TOO_LARGE:
		return routed_status(ROUTED_HEAD_TOO_LARGE);
	case HTTP_BODY_TOO_LARGE:
		return routed_status(ROUTED_BODY_TOO_LARGE);
	default:
		return routed_status(ROUTED_MALFORMED);
	}
}

static void pipelined_add(struct http_request *r, const char *data, size_t n)
{
	if (n == 0)
		return;
	if (!r->pipelined)
		r->pipelined = g_byte_array_new();
	g_byte_array_append(r->pipelined, (const guint8 *)data, (guint)n);
	if (r->pipelined->len >= PIPELINED_BYTES_MAX && !r->is_paused) {
		r->is_paused = true;
		stream_read_pause(&r->stream);
	}
}

/*
 * Feeds the bytes to the reader and passes a complete request to the owner. Returns false when the
 * bytes were refused, which closes the connection.
 */
static bool request_read(struct http_request *r, const char *data, size_t n)
{
	bool is_first_byte = http_reader_is_empty(r->reader);
	size_t used;
	enum http_progress progress = http_reader_feed(r->reader, data, n, &used);

	if (is_first_byte)
		r->since_ms = clock_now_ms();
	if (progress != HTTP_COMPLETE && progress != HTTP_INCOMPLETE) {
		request_refuse(r, progress_status(progress));
		return false;
	}
	if (progress == HTTP_COMPLETE)
		pipelined_add(r, data + used, n - used);
	held_update(r);
	r->is_overfull = progress == HTTP_INCOMPLETE && http_reader_has_head(r->reader) &&
			 !held_account_body_may_grow(&r->held);
	if (progress == HTTP_INCOMPLETE && !r->is_overfull)
		return true;
	r->is_busy = true;
	r->server->n_busy++;
	if (r->is_overfull)
		r->server->ops->overfull(r->server->arg, r);
	else
		r->server->ops->request(r->server->arg, r);
	return progress == HTTP_COMPLETE;
}

static void stream_received(struct stream *stream, const char *data, size_t n)
{
	struct http_request *r = list_entry(stream, struct http_request, stream);

	if (r->is_closing)
		return;
	if (r->is_busy) {
		pipelined_add(r, data, n);
		held_update(r);
	} else {
		request_read(r, data, n);
	}
}

static void stream_ended(struct stream *stream, int error)
{
	struct http_request *r = list_entry(stream, struct http_request, stream);

	if (r->is_busy)
		r->server->ops->disconnected(r->server->arg, r);
	connection_destroy(r);
}

/* Reads the bytes that arrived after the request that has just been answered. */
static void connection_continue(struct http_request *r)
{
	GByteArray *pipelined = r->pipelined;

	if (r->is_paused) {
		r->is_paused = false;
		stream_read_resume(&r->stream);
	}
	if (!pipelined)
		return;
	r->pipelined = NULL;
	held_update(r);
	request_read(r, (const char *)pipelined->data, pipelined->len);
	g_byte_array_free(pipelined, TRUE);
}

/*
 * Reads the caller's next request, or waits with it while too much is unsent to the caller.
 * Otherwise one that takes nothing could have this VM hold one answer after the other.
 */
static void connection_read_next(struct http_request *r)
{
	if (!held_account_is_over_share(&r->held)) {
		connection_continue(r);
		return;
	}
	r->is_held_back = true;
	r->server->n_held_back++;
	if (!r->is_paused) {
		r->is_paused = true;
		stream_read_pause(&r->stream);
	}
}

static void stream_sent(struct stream *stream)
{
	struct http_request *r = list_entry(stream, struct http_request, stream);

	held_update(r);
	if (!r->is_held_back || held_account_is_over_share(&r->held))
		return;
	r->is_held_back = false;
	connection_continue(r);
}

static void stream_drained(struct stream *stream)
{
	struct http_request *r = list_entry(stream, struct http_request, stream);

	if (!r->is_busy && http_reader_is_empty(r->reader))
		r->since_ms = clock_now_ms();
	if (r->is_closing)
		connection_write_end(r);
	stream_sent(stream);
}

static const struct stream_ops connection_ops = {
	.received = stream_received,
	.ended = stream_ended,
	.sent = stream_sent,
	.drained = stream_drained,
};

static void connection_accept(struct http_server *s, int fd)
{
	struct http_request *r = g_new0(struct http_request, 1);

	r->server = s;
	held_account_init(&r->held, s->held, NULL);
	r->reader = http_reader_create(HTTP_MESSAGE_REQUEST, &s->limits.message);
	r->since_ms = clock_now_ms();
	list_add_tail(&r->node, &s->connections);
	s->n_connections++;
	stream_socket_adopt(&r->stream, s->base, fd, &connection_ops);
	stream_stall_max_set(&r->stream, STALL_MAX_MS);
}

static void listener_handle(evutil_socket_t listener, short what, void *arg)
{
	struct http_server *s = arg;

	for (int i = 0; i < ACCEPT_BATCH; i++) {
		int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		connection_accept(s, fd);
	}
}

/*
 * Closes a connection whose peer has taken nothing of an answer for STALL_MAX_MS. Bytes in the
 * socket's buffer count as well: a slow peer may need longer than that for the part of them after
 * which the socket accepts more.
 */
static void untaken_check(struct http_request *r, size_t untaken_bytes, uint64_t now_ms)
{
	if (untaken_bytes != r->untaken_bytes) {
		r->untaken_bytes = untaken_bytes;
		r->since_ms = now_ms;
	} else if (now_ms - r->since_ms > STALL_MAX_MS) {
		connection_destroy(r);
	}
}

/*
 * Closes a connection on which nothing is expected, once the peer has taken all of the last answer.
 * A request that crosses the close would reset what is on its way.
 */
static void quiet_close(struct http_request *r, uint64_t now_ms)
{
	size_t untaken_bytes = stream_unacknowledged_bytes(&r->stream);

	if (untaken_bytes == 0)
		connection_destroy(r);
	else
		untaken_check(r, untaken_bytes, now_ms);
}

static void connection_check(struct http_request *r, uint64_t now_ms)
{
	const struct http_server_limits *limits = &r->server->limits;
	uint64_t waited_ms = now_ms - r->since_ms;

	if (r->is_busy)
		return;
	if (stream_unsent_bytes(&r->stream) > 0) {
		untaken_check(r, stream_unacknowledged_bytes(&r->stream), now_ms);
	} else if (r->is_write_ended) {
		if (waited_ms > CLOSE_WAIT_MS)
			quiet_close(r, now_ms);
	} else if (http_reader_is_empty(r->reader)) {
		unsigned int idle_ms = r->server->is_draining ? CHECK_MS : limits->idle_ms;

		if (waited_ms > idle_ms)
			quiet_close(r, now_ms);
	} else if (!http_reader_has_head(r->reader)) {
		if (waited_ms > limits->head_ms)
			request_refuse(r, routed_status(ROUTED_SLOW_REQUEST));
	} else if (waited_ms > limits->head_ms + limits->idle_ms) {
		request_refuse(r, routed_status(ROUTED_SLOW_REQUEST)); /* the body takes too long */
	}
}

static void check_timer_handle(evutil_socket_t fd, short what, void *arg)
{
	struct http_server *s = arg;
	struct list_head *pos;
	struct list_head *next;
	uint64_t now_ms = clock_now_ms();

	list_for_each_safe (pos, next, &s->connections)
		connection_check(list_entry(pos, struct http_request, node), now_ms);
}

static int listener_open(const char *address, GError **error)
{
	struct sockaddr_in to;
	int on = 1;
	int fd;

	if (!address_parse(address, &to)) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING, "'%s' is not IP:PORT",
			    address);
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&to, sizeof(to)) < 0 || listen(fd, BACKLOG) < 0) {
		g_set_error(error, RESULT_ERROR, RESULT_SYSTEM, "listen on %s: %s", address,
			    g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return -1;
	}
	return fd;
}

struct http_server *http_server_create(struct event_base *base, const char *address,
				       const struct http_server_ops *ops, void *arg,
				       const struct http_server_limits *limits, GError **error)
{
	static const struct timeval period = {0, CHECK_MS * 1000L};
	int fd = listener_open(address, error);
	struct http_server *s;

	if (fd < 0)
		return NULL;
	s = g_new0(struct http_server, 1);
	s->ops = ops;
	s->arg = arg;
	s->base = base;
	s->fd = fd;
	s->limits = *limits;
	list_init(&s->connections);
	s->accept_event = event_new(base, fd, EV_READ | EV_PERSIST, listener_handle, s);
	s->check_timer = event_new(base, -1, EV_PERSIST, check_timer_handle, s);
	event_add(s->accept_event, NULL);
	event_add(s->check_timer, &period);
	return s;
}

void http_server_destroy(struct http_server *s)
{
	struct list_head *node;

	if (!s)
		return;
	while ((node = list_pop_head(&s->connections)))
		connection_destroy(list_entry(node, struct http_request, node));
	http_server_stop_accepting(s);
	event_free(s->check_timer);
	g_free(s);
}

void http_server_limits_set(struct http_server *s, const struct http_server_limits *limits)
{
	struct list_head *pos;

	s->limits = *limits;
	list_for_each (pos, &s->connections)
		http_reader_limits_set(list_entry(pos, struct http_request, node)->reader,
				       &limits->message);
}

void http_server_hold(struct http_server *s, struct heldbytes *held)
{
	s->held = held;
}

uint64_t http_server_held_back(const struct http_server *s)
{
	return s->n_held_back;
}

void http_server_drain(struct http_server *s)
{
	struct list_head *pos;
	uint64_t now_ms = clock_now_ms();

	s->is_draining = true;
	list_for_each (pos, &s->connections) {
		struct http_request *r = list_entry(pos, struct http_request, node);

		if (!r->is_busy && http_reader_is_empty(r->reader))
			r->since_ms = now_ms;
	}
}

void http_server_stop_accepting(struct http_server *s)
{
	if (s->fd < 0)
		return;
	event_free(s->accept_event);
	close(s->fd);
	s->fd = -1;
}

unsigned int http_server_busy_count(const struct http_server *s)
{
	unsigned int n = s->n_busy;
	struct list_head *pos;

	list_for_each (pos, &s->connections) {
		const struct http_request *r = list_entry(pos, struct http_request, node);

		n += !r->is_busy && (r->is_closing || stream_unacknowledged_bytes(&r->stream) > 0);
	}
	return n;
}

const struct http_reader *http_request_message(const struct http_request *r)
{
	return r->reader;
}

void http_request_set_data(struct http_request *r, void *data)
{
	r->data = data;
}

void *http_request_data(const struct http_request *r)
{
	return r->data;
}

void http_request_answer(struct http_request *r, unsigned int status, const char *fields,
			 const char *body, size_t n)
{
	bool keep =
		http_reader_keeps_alive(r->reader) && !r->server->is_draining && !r->is_overfull;

	r->is_busy = false;
	r->server->n_busy--;
	r->data = NULL;
	r->since_ms = clock_now_ms();
	http_reader_reset(r->reader, false);
	http_reader_body_release(r->reader);
	if (answer_write(r, status, fields, body, n, keep) && keep)
		connection_read_next(r);
}
