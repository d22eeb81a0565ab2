#include "httpconn.h"

#include "clock.h"
#include "list.h"
#include "stream.h"

/* Answers to other requests that are skipped during a call; one more fails the connection. */
#define SKIPPED_ANSWERS_MAX 2

struct http_conn {
	struct stream stream;
	const struct http_conn_ops *ops;
	void *arg;
	struct http_reader *reader;
	struct held_account held;
	struct held_answer answer;
	uint64_t received_bytes;
	unsigned int n_skipped; /* answers to other requests, during the current call */
	bool is_open;
	bool has_call; /* a request was sent and its answer has not arrived */
	bool is_in_callback; /* ops->answered is running */
	bool is_destroyed; /* destroyed in ops->answered; freed when ops->answered returns */
};

/* Nothing is held for the connection any more. */
static void held_end(struct http_conn *c)
{
	held_answer_end(&c->answer);
	held_account_close(&c->held);
}

static void conn_free(struct http_conn *c)
{
	held_end(c);
	stream_close(&c->stream);
	http_reader_destroy(c->reader);
	g_free(c);
}

static void conn_fail(struct http_conn *c, enum http_failure why)
{
	c->has_call = false;
	held_end(c);
	stream_close(&c->stream);
	c->ops->failed(c, c->arg, why);
}

static void stream_opened(struct stream *stream)
{
	struct http_conn *c = list_entry(stream, struct http_conn, stream);

	c->is_open = true;
	c->ops->opened(c, c->arg);
}

/*
 * Passes the answer to the owner. Returns false when no more may be read in this call: the answer
 * was accepted, or the connection failed or was destroyed. is_last: the connection cannot be used
 * again, since bytes follow the answer or the peer has closed the connection.
 */
static bool answer_deliver(struct http_conn *c, bool is_last)
{
	bool reusable = http_reader_keeps_alive(c->reader) && !is_last;
	bool was_accepted;

	c->is_in_callback = true;
	c->has_call = false;
	was_accepted = c->ops->answered(c, c->arg, c->reader, reusable);
	c->is_in_callback = false;
	if (c->is_destroyed) {
		conn_free(c);
		return false;
	}
	if (was_accepted) {
		/* Otherwise the answer has been dropped with the start of the next call. */
		if (!c->has_call) {
			http_reader_reset(c->reader, false);
			held_answer_end(&c->answer);
		}
		http_reader_body_release(c->reader);
		return false;
	}
	c->has_call = true;
	held_answer_end(&c->answer);
	http_reader_reset(c->reader, false);
	if (++c->n_skipped > SKIPPED_ANSWERS_MAX) {
		conn_fail(c, HTTP_FAILURE_GARBAGE);
		return false;
	}
	return true;
}

/* Pauses reading if the rest of the answer has to wait. */
static void answer_hold(struct http_conn *c)
{
	if (held_answer_read(&c->answer, http_reader_body_bytes(c->reader),
			     (size_t)http_reader_length(c->reader), clock_now_ms()))
		return;
	stream_read_pause(&c->stream);
}

static void held_resume(struct held_answer *answer)
{
	struct http_conn *c = list_entry(answer, struct http_conn, answer);

	stream_read_resume(&c->stream);
}

static void held_give_up(struct held_answer *answer)
{
	conn_fail(list_entry(answer, struct http_conn, answer), HTTP_FAILURE_HELD);
}

static const struct held_answer_ops held_ops = {
	.resume = held_resume,
	.give_up = held_give_up,
};

static void stream_received(struct stream *stream, const char *data, size_t n)
{
	struct http_conn *c = list_entry(stream, struct http_conn, stream);

	c->received_bytes += n;
	while (n > 0) {
		size_t used;
		enum http_progress progress;

		if (!c->has_call) {
			conn_fail(c, HTTP_FAILURE_GARBAGE);
			return;
		}
		progress = http_reader_feed(c->reader, data, n, &used);
		if (progress == HTTP_INCOMPLETE) {
			answer_hold(c);
			return;
		}
		if (progress != HTTP_COMPLETE) {
			conn_fail(c, HTTP_FAILURE_GARBAGE);
			return;
		}
		data += used;
		n -= used;
		if (!answer_deliver(c, n > 0))
			return;
	}
}

static void stream_ended(struct stream *stream, int error)
{
	struct http_conn *c = list_entry(stream, struct http_conn, stream);

	if (!c->is_open) {
		conn_fail(c, HTTP_FAILURE_CONNECT);
	} else if (!c->has_call) {
		conn_fail(c, HTTP_FAILURE_CLOSED);
	} else if (error == 0 && http_reader_end(c->reader) == HTTP_COMPLETE) {
		if (answer_deliver(c, true))
			conn_fail(c, HTTP_FAILURE_LOST);
	} else {
		conn_fail(c, HTTP_FAILURE_LOST);
	}
}

static void stream_sent(struct stream *stream)
{
	struct http_conn *c = list_entry(stream, struct http_conn, stream);

	held_account_set(&c->held, HELD_LEAVES, stream_unsent_bytes(stream));
}

static const struct stream_ops conn_stream_ops = {
	.opened = stream_opened,
	.received = stream_received,
	.sent = stream_sent,
	.drained = stream_sent,
	.ended = stream_ended,
};

struct http_conn *http_conn_create(struct event_base *base, const struct sockaddr_in *to,
				   const struct http_conn_ops *ops, void *arg,
				   const struct http_limits *limits)
{
	struct http_conn *c = g_new0(struct http_conn, 1);

	c->ops = ops;
	c->arg = arg;
	if (!stream_connect(&c->stream, base, to, &conn_stream_ops)) {
		g_free(c);
		return NULL;
	}
	c->reader = http_reader_create(HTTP_MESSAGE_ANSWER, limits);
	held_answer_init(&c->answer, &held_ops, &c->held);
	return c;
}

void http_conn_hold(struct http_conn *c, struct heldbytes *held, struct held_account *leaf)
{
	held_account_init(&c->held, held, leaf);
}

void http_conn_destroy(struct http_conn *c)
{
	if (!c)
		return;
	if (c->is_in_callback)
		c->is_destroyed = true;
	else
		conn_free(c);
}

void http_conn_keepalive_enable(struct http_conn *c)
{
	stream_keepalive_enable(&c->stream);
}

bool http_conn_send(struct http_conn *c, const char *request, size_t n)
{
	bool was_written;

	held_answer_end(&c->answer);
	http_reader_reset(c->reader, g_str_has_prefix(request, "HEAD "));
	c->n_skipped = 0;
	c->has_call = true;
	was_written = stream_write(&c->stream, request, n);
	held_account_set(&c->held, HELD_LEAVES, stream_unsent_bytes(&c->stream));
	return was_written;
}

bool http_conn_is_waiting(const struct http_conn *c)
{
	return c->answer.is_waiting;
}

uint64_t http_conn_received_bytes(const struct http_conn *c)
{
	return c->received_bytes;
}

const char *http_failure_name(enum http_failure failure)
{
	static const char *const names[] = {
#define X(symbol, name) name,
		HTTP_FAILURE_LIST(X)
#undef X
	};

	return names[failure];
}
