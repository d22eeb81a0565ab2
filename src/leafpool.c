#include "leafpool.h"

#include "backoff.h"
#include "clock.h"
#include "inputlimit.h"
#include "list.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Connections in addition to one for each slot, for cancellations and for calls that were given up
 * but not answered yet.
 */
#define SPARE_CONNECTIONS 2
/*
 * Share of the leaf's connection limit that one VM uses. The rest is for a second holder, while the
 * holder changes.
 */
#define POOL_SHARE_NUM 3
#define POOL_SHARE_DEN 4
#define OPEN_TIMEOUT_S 1
/* Connections opened at the same time, so that a data centre that returns is not flooded. */
#define CONNECTING_MAX 4
/* The connection of a call that was given up is closed if no answer comes within this time. */
#define DRAIN_TIMEOUT_S 2
/* Period of the checks whether the backoff allows another attempt to connect. */
#define RETRY_MS 20
/*
 * Limits on what this process reads of a leaf's answer. The limit of the body is twice what fits in
 * a reply to the entry VM. A body between the two sizes is reported as too large; above the limit
 * the connection is closed.
 */
#define ANSWER_BODY_BYTES_MAX (2 << 20)
#define ANSWER_HEADER_BYTES_MAX 16384
/* A leaf without connections counts as down after this many failed attempts in a row. */
#define DOWN_FAILED_ATTEMPTS 2

enum conn_state {
	CONN_OPENING,
	CONN_IDLE,
	CONN_BUSY,
	CONN_CANCELLING,
	CONN_DEAD,
};

struct leafconn {
	struct list_head node; /* in the pool's list idle, in_use or dead */
	struct leafpool *pool;
	struct evhttp_connection *evcon;
	enum conn_state state;
	struct leafcall *call;
	bool leaf_has_closed;
	bool has_timeout;
};

struct leafcall {
	struct leafconn *conn;
	enum leafcall_kind kind;
	char id[160];
	uint64_t index_version;
	uint64_t map_version;
	unsigned int shard;
	leafcall_done_fn *done;
	void *arg;
};

struct leafpool {
	struct event_base *base;
	struct counters *counters;
	GRand *rand;
	struct leafpool_owner *owner;
	char *ip;
	char *addr;
	uint16_t port;
	unsigned int max_connections;
	unsigned int wanted_connections;
	unsigned int n_connections;
	unsigned int n_opening;
	unsigned int n_failed_in_row; /* attempts to connect */
	struct list_head idle;
	struct list_head in_use;
	struct list_head dead; /* to be freed by the reaper */
	struct event *reaper;
	struct event *retry_timer;
	struct backoff *backoff;
};

static void conn_timeout_set(struct leafconn *conn, const struct timeval *timeout)
{
	bufferevent_set_timeouts(evhttp_connection_get_bufferevent(conn->evcon), timeout, NULL);
	conn->has_timeout = timeout != NULL;
}

static void conn_release(struct leafconn *conn)
{
	/* The timeout set for opening or draining would close the idle connection. */
	if (conn->has_timeout)
		conn_timeout_set(conn, NULL);
	list_del(&conn->node);
	conn->state = CONN_IDLE;
	list_add_tail(&conn->node, &conn->pool->idle);
}

/* The reaper frees the connection later: evhttp may still use it after the current callback. */
static void conn_discard(struct leafconn *conn)
{
	if (conn->state == CONN_DEAD)
		return;
	if (conn->state == CONN_OPENING) {
		conn->pool->n_opening--;
		backoff_attempt_failed(conn->pool->backoff, clock_now_us(), conn->pool->rand);
	}
	conn->state = CONN_DEAD;
	conn->pool->n_connections--;
	list_del(&conn->node);
	list_add_tail(&conn->node, &conn->pool->dead);
	event_active(conn->pool->reaper, 0, 0);
}

/*
 * Ends as failed the call that a connection still has when it is freed: evhttp could not start it,
 * or the pool is being destroyed.
 */
static void call_fail(struct leafconn *conn)
{
	static const struct leafcall_answer failed = {.status = LEAFCALL_FAILED, .body = ""};
	struct leafcall *call = conn->call;

	conn->call = NULL;
	if (call)
		call->done(call->arg, &failed);
	g_free(call);
}

static void pool_reap(evutil_socket_t fd, short what, void *arg)
{
	struct leafpool *p = arg;
	struct list_head *node;

	while ((node = list_pop_head(&p->dead))) {
		struct leafconn *conn = list_entry(node, struct leafconn, node);

		call_fail(conn);
		evhttp_connection_set_closecb(conn->evcon, NULL, NULL);
		evhttp_connection_free(conn->evcon);
		g_free(conn);
	}
	/* A lost connection is replaced, so that the next call does not wait for a new one. */
	leafpool_connections_open(p, clock_now_us());
}

static void conn_closed(struct evhttp_connection *evcon, void *arg)
{
	struct leafconn *conn = arg;

	conn->leaf_has_closed = true;
	if (conn->state == CONN_IDLE)
		conn_discard(conn);
}

static const char *header_get(struct evhttp_request *req, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

static uint64_t header_number(struct evhttp_request *req, const char *name, int base)
{
	const char *text = header_get(req, name);

	return text ? g_ascii_strtoull(text, NULL, base) : 0;
}

static void leaf_state_read(struct evhttp_request *req, struct leafpool_leaf_state *state)
{
	const char *versions = header_get(req, "X-Versions");
	const char *draining = header_get(req, "X-Draining");

	memset(state, 0, sizeof(*state));
	state->incarnation = header_number(req, "X-Incarnation", 16);
	state->is_draining = draining && strcmp(draining, "1") == 0;
	while (versions && *versions && state->n_versions < LEAFPOOL_VERSIONS_MAX) {
		char *end;
		uint64_t version = g_ascii_strtoull(versions, &end, 10);

		if (end == versions)
			break;
		state->versions[state->n_versions++] = version;
		versions = *end == ',' ? end + 1 : end;
	}
}

static bool answer_is_complete(struct evhttp_request *req)
{
	return req && evhttp_request_get_response_code(req) != 0;
}

static void pool_observe(struct leafpool *p, struct evhttp_request *req)
{
	struct leafpool_leaf_state state;

	leaf_state_read(req, &state);
	p->owner->ops->observe(p->owner, &state);
}

static bool conn_must_close(struct leafconn *conn, struct evhttp_request *req)
{
	const char *connection = header_get(req, "Connection");

	return conn->leaf_has_closed ||
	       (connection && g_ascii_strcasecmp(connection, "close") == 0);
}

static void request_headers_add(struct leafpool *p, struct evhttp_request *req)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	evhttp_add_header(headers, "Host", p->addr);
}

static void retry_schedule(struct leafpool *p)
{
	static const struct timeval delay = {0, RETRY_MS * 1000L};

	if (!evtimer_pending(p->retry_timer, NULL))
		evtimer_add(p->retry_timer, &delay);
}

static void conn_opened(struct evhttp_request *req, void *arg)
{
	struct leafconn *conn = arg;
	struct leafpool *p = conn->pool;

	if (conn->state != CONN_OPENING)
		return;
	if (!answer_is_complete(req) || conn_must_close(conn, req)) {
		counter_increment(p->counters, COUNTER_LEAF_CONNECT_FAILURES);
		conn_discard(conn);
		p->n_failed_in_row++;
		retry_schedule(p);
		p->owner->ops->connect_failed(p->owner);
		return;
	}
	p->n_opening--;
	p->n_failed_in_row = 0;
	backoff_attempt_succeeded(p->backoff);
	conn_release(conn);
	pool_observe(p, req);
	p->owner->ops->ready(p->owner);
}

static void conn_open(struct leafpool *p)
{
	static const struct timeval timeout = {OPEN_TIMEOUT_S, 0};
	struct leafconn *conn = g_new0(struct leafconn, 1);
	struct evhttp_request *req = evhttp_request_new(conn_opened, conn);

	counter_increment(p->counters, COUNTER_LEAF_CONNECTS);
	conn->pool = p;
	conn->state = CONN_OPENING;
	conn->evcon = evhttp_connection_base_bufferevent_new(p->base, NULL, NULL, p->ip, p->port);
	evhttp_connection_set_timeout_tv(conn->evcon, &timeout);
	evhttp_connection_set_max_body_size(conn->evcon, ANSWER_BODY_BYTES_MAX);
	evhttp_connection_set_max_headers_size(conn->evcon, ANSWER_HEADER_BYTES_MAX);
	inputlimit_set(evhttp_connection_get_bufferevent(conn->evcon), ANSWER_BODY_BYTES_MAX);
	conn->has_timeout = true;
	evhttp_connection_set_closecb(conn->evcon, conn_closed, conn);
	list_add_tail(&conn->node, &p->in_use);
	p->n_connections++;
	p->n_opening++;
	request_headers_add(p, req);
	/* A connection that fails to open is reported to conn_opened() or times out. */
	if (evhttp_make_request(conn->evcon, req, EVHTTP_REQ_GET, "/load") < 0)
		conn_discard(conn);
}

void leafpool_connections_open(struct leafpool *p, uint64_t now_us)
{
	while (p->n_connections < MIN(p->wanted_connections, p->max_connections)) {
		if (!backoff_attempt_is_allowed(p->backoff, now_us)) {
			retry_schedule(p);
			return;
		}
		backoff_attempt_started(p->backoff);
		conn_open(p);
	}
}

static void pool_retry(evutil_socket_t fd, short what, void *arg)
{
	leafpool_connections_open(arg, clock_now_us());
}

struct leafpool *leafpool_create(struct event_base *base, struct counters *counters, GRand *rand,
				 const struct manifest_leaf *leaf, struct leafpool_owner *owner)
{
	struct leafpool *p = g_new0(struct leafpool, 1);
	const char *colon = strrchr(leaf->addr, ':');

	p->base = base;
	p->counters = counters;
	p->rand = rand;
	p->owner = owner;
	p->addr = g_strdup(leaf->addr);
	p->ip = g_strndup(leaf->addr, colon - leaf->addr);
	p->port = (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10);
	p->max_connections = MAX(1, leaf->connections * POOL_SHARE_NUM / POOL_SHARE_DEN);
	p->wanted_connections = leaf->slots + SPARE_CONNECTIONS;
	list_init(&p->idle);
	list_init(&p->in_use);
	list_init(&p->dead);
	p->reaper = event_new(base, -1, 0, pool_reap, p);
	p->retry_timer = evtimer_new(base, pool_retry, p);
	p->backoff = backoff_create(CONNECTING_MAX);
	return p;
}

static void conns_free(struct list_head *head)
{
	struct list_head *node;

	while ((node = list_pop_head(head))) {
		struct leafconn *conn = list_entry(node, struct leafconn, node);

		conn->state = CONN_DEAD;
		evhttp_connection_set_closecb(conn->evcon, NULL, NULL);
		evhttp_connection_free(conn->evcon);
		call_fail(conn);
		g_free(conn);
	}
}

void leafpool_destroy(struct leafpool *p)
{
	if (!p)
		return;
	conns_free(&p->idle);
	conns_free(&p->in_use);
	conns_free(&p->dead);
	event_free(p->reaper);
	event_free(p->retry_timer);
	backoff_destroy(p->backoff);
	g_free(p->ip);
	g_free(p->addr);
	g_free(p);
}

bool leafpool_has_idle(const struct leafpool *p)
{
	return !list_is_empty(&p->idle);
}

bool leafpool_is_down(const struct leafpool *p)
{
	return p->n_connections == p->n_opening && p->n_failed_in_row >= DOWN_FAILED_ATTEMPTS;
}

unsigned int leafpool_connection_count(const struct leafpool *p)
{
	return p->n_connections;
}

/*
 * Whether the answer belongs to the call: that of a search must repeat its id, index version, map
 * version and shard; that of a command must not name another id.
 */
static bool answer_confirms(struct evhttp_request *req, const struct leafcall *call)
{
	const char *id;

	if (call->kind == LEAFCALL_COMMAND) {
		id = header_get(req, "X-Command-Id");
		return !id || strcmp(id, call->id) == 0;
	}
	id = header_get(req, "X-Request-Id");
	return id && strcmp(id, call->id) == 0 &&
	       header_number(req, "X-Index-Version", 10) == call->index_version &&
	       header_number(req, "X-Map-Version", 10) == call->map_version &&
	       header_get(req, "X-Shard") && header_number(req, "X-Shard", 10) == call->shard;
}

static enum leafcall_status answer_status(struct evhttp_request *req, const struct leafcall *call)
{
	switch (evhttp_request_get_response_code(req)) {
	case 200:
		return answer_confirms(req, call) ? LEAFCALL_ANSWERED : LEAFCALL_MISMATCH;
	case 400:
		return LEAFCALL_REFUSED;
	case 404:
		return LEAFCALL_WRONG_SHARD;
	case 410:
		return LEAFCALL_VERSION_GONE;
	case 503:
		return header_get(req, "X-Refusal") ? LEAFCALL_REFUSED : LEAFCALL_FAILED;
	case 504:
		return LEAFCALL_EXPIRED;
	default:
		return LEAFCALL_FAILED;
	}
}

static void call_answered(struct evhttp_request *req, void *arg)
{
	struct leafconn *conn = arg;
	struct leafpool *p = conn->pool;
	struct leafcall *call = conn->call;
	struct leafcall_answer answer = {.status = LEAFCALL_FAILED, .body = ""};
	bool is_complete = answer_is_complete(req);

	if (conn->state == CONN_DEAD || !call)
		return;
	conn->call = NULL;
	if (is_complete) {
		struct evbuffer *in = evhttp_request_get_input_buffer(req);

		answer.status = answer_status(req, call);
		if (answer.status == LEAFCALL_ANSWERED) {
			evbuffer_add(in, "", 1);
			answer.body_bytes = evbuffer_get_length(in) - 1;
			answer.body = (const char *)evbuffer_pullup(in, -1);
		}
		pool_observe(p, req);
	}
	/* After an answer to another call, later answers on the connection may be mixed up too. */
	if (!is_complete || conn_must_close(conn, req) || answer.status == LEAFCALL_MISMATCH)
		conn_discard(conn);
	else
		conn_release(conn);
	call->done(call->arg, &answer);
	g_free(call);
	if (leafpool_has_idle(p))
		p->owner->ops->ready(p->owner);
}

static void call_headers_add(struct leafpool *p, struct evhttp_request *req,
			     const struct leafcall_params *params)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	bool is_search = params->kind == LEAFCALL_SEARCH;
	char number[24];

	request_headers_add(p, req);
	evhttp_add_header(headers, is_search ? "X-Request-Id" : "X-Command-Id", params->id);
	if (is_search) {
		snprintf(number, sizeof(number), "%" PRIu64, params->index_version);
		evhttp_add_header(headers, "X-Index-Version", number);
	}
	snprintf(number, sizeof(number), "%" PRIu64, params->map_version);
	evhttp_add_header(headers, "X-Map-Version", number);
	snprintf(number, sizeof(number), "%u", params->shard);
	evhttp_add_header(headers, "X-Shard", number);
	snprintf(number, sizeof(number), "%" PRIu64, MAX(1, params->deadline_us / CLOCK_US_PER_MS));
	evhttp_add_header(headers, "X-Deadline-Ms", number);
}

static struct leafconn *idle_conn_take(struct leafpool *p, enum conn_state state)
{
	/* The most recently used one, so that the others may be closed when the load shrinks. */
	struct leafconn *conn = list_entry(p->idle.prev, struct leafconn, node);

	list_del(&conn->node);
	conn->state = state;
	list_add_tail(&conn->node, &p->in_use);
	return conn;
}

struct leafcall *leafpool_call(struct leafpool *p, const struct leafcall_params *params,
			       leafcall_done_fn *done, void *arg)
{
	struct leafconn *conn;
	struct evhttp_request *req;
	struct leafcall *call;

	if (list_is_empty(&p->idle))
		return NULL;
	conn = idle_conn_take(p, CONN_BUSY);
	call = g_new0(struct leafcall, 1);
	call->conn = conn;
	call->kind = params->kind;
	g_strlcpy(call->id, params->id, sizeof(call->id));
	call->index_version = params->index_version;
	call->map_version = params->map_version;
	call->shard = params->shard;
	call->done = done;
	call->arg = arg;
	conn->call = call;
	if (conn->has_timeout)
		conn_timeout_set(conn, NULL);
	req = evhttp_request_new(call_answered, conn);
	call_headers_add(p, req, params);
	evbuffer_add(evhttp_request_get_output_buffer(req), params->body, params->body_bytes);
	if (evhttp_make_request(conn->evcon, req, EVHTTP_REQ_POST,
				params->kind == LEAFCALL_SEARCH ? "/search" : "/command") < 0)
		conn_discard(conn);
	return call;
}

static void cancel_answered(struct evhttp_request *req, void *arg)
{
	struct leafconn *conn = arg;

	if (conn->state != CONN_CANCELLING)
		return;
	if (!answer_is_complete(req) || conn_must_close(conn, req)) {
		conn_discard(conn);
		return;
	}
	conn_release(conn);
	conn->pool->owner->ops->ready(conn->pool->owner);
}

void leafcall_cancel(struct leafcall *call)
{
	static const struct timeval drain_timeout = {DRAIN_TIMEOUT_S, 0};
	struct leafpool *p = call->conn->pool;
	struct leafconn *conn;
	struct evhttp_request *req;

	conn_timeout_set(call->conn, &drain_timeout);
	if (call->kind != LEAFCALL_SEARCH || list_is_empty(&p->idle))
		return;
	conn = idle_conn_take(p, CONN_CANCELLING);
	counter_increment(p->counters, COUNTER_LEAF_CANCELS);
	conn_timeout_set(conn, &drain_timeout);
	req = evhttp_request_new(cancel_answered, conn);
	request_headers_add(p, req);
	evhttp_add_header(evhttp_request_get_output_headers(req), "X-Request-Id", call->id);
	if (evhttp_make_request(conn->evcon, req, EVHTTP_REQ_POST, "/cancel") < 0)
		conn_discard(conn);
}
