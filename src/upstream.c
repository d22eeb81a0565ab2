#include "upstream.h"

#include "clock.h"
#include "log.h"
#include "window.h"

#include <stdlib.h>
#include <string.h>

/* Part of a leaf's cap that all VMs use together; the rest covers VMs that do not know each other
 * yet. */
#define CONNECTIONS_PART 0.85
/* Connections of one VM beyond twice the leaf's slots and these only queue at the leaf. */
#define CONNECTIONS_EXTRA 2
/* A VM begins with so many connections to a leaf and adds one when a call had to wait, since after
 * a start it does not know yet among how many the cap is divided. */
#define CONNECTIONS_FIRST 2
#define GROWTH_US 500000
/* A leaf that ends a new connection is over its cap; so long no other is opened there. */
#define CAP_PAUSE_US 100000
/* A peer that does not answer the opening packet is taken as unreachable; two retransmissions of
 * an opening packet do not fit into any goal. */
#define CONNECT_US 700000
/* Idle connections are closed this long before the leaf would, so that no call meets the close. */
#define IDLE_MARGIN_US 700000
#define IDLE_DEFAULT_US 3000000
/* A call that must not be repeated uses a connection that was used within this time, else a new
 * one: leaves may have forgotten an idle connection. */
#define FRESH_US 300000
/* Of several idle connections to a leaf all but the last used are closed after this time: other
 * VMs may need the leaf's room. */
#define SPARE_US 1500000
#define SWEEP_US 100000

struct leaf_link {
	struct list_head node; /* in upstream.links */
	struct leaf *leaf;
	struct list_head idle; /* most recently used last */
	struct list_head connecting;
	struct list_head busy;
	struct list_head queue; /* struct leaf_call */
	unsigned int n_conns;
	unsigned int n_connecting;
	unsigned int n_busy;
	unsigned int n_queued;
	struct window window; /* calls in flight */
	unsigned int max_connections; /* of the leaf, all VMs together */
	unsigned int granted; /* connections that this VM allows itself */
	uint64_t granted_us; /* last change of it */
	uint64_t open_after_us;
};

struct leaf_conn {
	struct list_head node;
	struct upstream *upstream;
	struct leaf_link *link;
	struct http_conn *client;
	struct leaf_call *call;
	uint64_t since_us; /* start of connecting, or last use */
	uint64_t idle_until_us;
	bool is_open;
	bool is_proven; /* it has carried an answer */
};

struct upstream {
	struct event_base *base;
	struct event *sweep;
	struct list_head links;
	unsigned int vms;
	struct upstream_stats stats;
};

/* A leaf's answer is kept in memory whole; larger ones would not fit the VMs' memory. */
static const struct http_limits answer_limits = {65536, 8u << 20};

static void queue_serve(struct upstream *u, struct leaf_link *link, uint64_t now_us);

/* Ends of calls that tell how long the leaf takes. */
static bool end_tells_latency(enum leaf_end end)
{
	return end == LEAF_END_ANSWERED || end == LEAF_END_ERRORED || end == LEAF_END_SILENT;
}

/* sent_us: 0 when the call never left; the call is not counted as busy any more. */
static void window_note(struct leaf_link *link, enum leaf_end end, uint64_t sent_us,
			uint64_t useful_us, uint64_t now_us)
{
	if (sent_us == 0)
		return;
	if (end == LEAF_END_REFUSED)
		window_call_refused(&link->window, sent_us, now_us);
	else if (end_tells_latency(end))
		window_call_ended(&link->window, sent_us, useful_us, link->n_busy + 1, now_us);
}

static void call_end(struct upstream *u, struct leaf_call *call, enum leaf_end end,
		     const struct http_reader *answer, bool was_sent)
{
	struct leaf *leaf = call->leaf;
	uint64_t now_us = clock_now_us();
	uint64_t latency_us = now_us - call->started_us;
	uint64_t sent_us;
	uint64_t useful_us;
	bool was_doubted;

	call->leaf = NULL;
	call->conn = NULL;
	sent_us = call->sent_us;
	useful_us = call->useful_us;
	end = call->ops->done(call, end, answer, was_sent);
	was_doubted = leaf_is_doubted(leaf, now_us) || leaf->is_misplaced;
	leaf_call_ended(leaf, end, latency_us, now_us);
	window_note(leaf->link, end, sent_us, useful_us, now_us);
	if (!was_doubted && (leaf_is_doubted(leaf, now_us) || leaf->is_misplaced))
		log_event(LOG_LEVEL_WARNING, "leaf_doubted",
			  "leaf=%s service=%s why=%s failures=%u for_ms=%" G_GUINT64_FORMAT,
			  leaf->id, leaf->service, leaf_end_name(end), leaf->failures,
			  leaf->is_misplaced ? 0 : (leaf->doubted_until_us - now_us) / 1000);
	leaf_put(leaf);
}

static void queue_remove(struct upstream *u, struct leaf_link *link, struct leaf_call *call)
{
	list_del(&call->node);
	link->n_queued--;
	u->stats.queued--;
}

static void conn_destroy(struct leaf_conn *conn)
{
	struct leaf_link *link = conn->link;

	list_del(&conn->node);
	link->n_conns--;
	link->n_busy -= conn->call != NULL;
	conn->upstream->stats.connections--;
	if (!conn->is_open)
		link->n_connecting--;
	http_conn_destroy(conn->client);
	g_free(conn);
}

static void conns_destroy(struct list_head *conns)
{
	struct list_head *node;

	while ((node = list_pop_head(conns)))
		conn_destroy(list_entry(node, struct leaf_conn, node));
}

/* Called by the sweep only, so that callbacks never lose a link under their hands. */
static void link_destroy_if_unused(struct leaf_link *link)
{
	if (link->n_conns > 0 || link->n_queued > 0 || link->leaf->state != LEAF_GONE)
		return;
	list_del(&link->node);
	link->leaf->link = NULL;
	leaf_put(link->leaf);
	g_free(link);
}

static unsigned int conns_useful(const struct leaf_link *link)
{
	return 2 * link->leaf->slots + CONNECTIONS_EXTRA;
}

static unsigned int conns_allowed(const struct upstream *u, const struct leaf_link *link)
{
	unsigned int share =
		(unsigned int)(CONNECTIONS_PART * link->max_connections / MAX(1, u->vms));

	return CLAMP(share, 1, MIN(conns_useful(link), link->granted));
}

/* A call waits although connections are at the limit: allows one more after a quiet time. */
static void grant_grow(struct leaf_link *link, uint64_t now_us)
{
	if (link->granted >= conns_useful(link) || now_us - link->granted_us < GROWTH_US)
		return;
	link->granted++;
	link->granted_us = now_us;
}

/* The leaf has ended a connection that never carried an answer. */
static void grant_shrink(struct leaf_link *link, uint64_t now_us)
{
	link->granted = MAX(1, MIN(link->granted, link->n_conns));
	link->granted_us = now_us;
	link->open_after_us = now_us + CAP_PAUSE_US;
}

static void call_send(struct leaf_conn *conn, struct leaf_call *call, uint64_t now_us)
{
	struct leaf_link *link = conn->link;
	GString *out = g_string_sized_new(512);

	list_del(&conn->node);
	list_add_tail(&conn->node, &link->busy);
	conn->call = call;
	conn->since_us = now_us;
	link->n_busy++;
	call->conn = conn;
	call->sent_us = now_us;
	call->ops->render(call, out);
	/* A connection that is found lost here is reported by its read event. */
	http_conn_send(conn->client, out->str, out->len);
	g_string_free(out, TRUE);
}

static void conn_opened(struct http_conn *client, void *arg)
{
	struct leaf_conn *conn = arg;
	struct leaf_link *link = conn->link;

	conn->is_open = true;
	link->n_connecting--;
	conn->since_us = clock_now_us();
	conn->idle_until_us = conn->since_us + IDLE_DEFAULT_US;
	list_del(&conn->node);
	list_add_tail(&conn->node, &link->idle);
	queue_serve(conn->upstream, link, conn->since_us);
}

/* How long the leaf keeps the connection: "timeout=N" of its Keep-Alive field, else the default. */
static uint64_t idle_time_us(const struct http_reader *answer)
{
	const char *keep = http_reader_find(answer, "Keep-Alive");
	const char *timeout = keep ? strstr(keep, "timeout=") : NULL;
	uint64_t us = IDLE_DEFAULT_US;

	if (timeout)
		us = strtoull(timeout + strlen("timeout="), NULL, 10) * 1000000;
	return us > IDLE_MARGIN_US ? us - IDLE_MARGIN_US : 0;
}

static bool conn_answered(struct http_conn *client, void *arg, const struct http_reader *answer,
			  bool reusable)
{
	struct leaf_conn *conn = arg;
	struct leaf_link *link = conn->link;
	struct upstream *u = conn->upstream;
	struct leaf_call *call = conn->call;
	uint64_t now_us = clock_now_us();

	if (!call->ops->matches(call, answer))
		return false;
	conn->call = NULL;
	link->n_busy--;
	conn->is_proven = true;
	conn->since_us = now_us;
	conn->idle_until_us = now_us + idle_time_us(answer);
	if (!reusable || link->leaf->state != LEAF_READY) {
		conn_destroy(conn);
	} else {
		list_del(&conn->node);
		list_add_tail(&conn->node, &link->idle);
	}
	call_end(u, call, LEAF_END_ANSWERED, answer, true);
	queue_serve(u, link, now_us);
	return true;
}

static struct leaf_call *queue_pop(struct upstream *u, struct leaf_link *link)
{
	struct list_head *node = link->queue.next;
	struct leaf_call *call;

	if (node == &link->queue)
		return NULL;
	call = list_entry(node, struct leaf_call, node);
	queue_remove(u, link, call);
	return call;
}

static void queue_fail(struct upstream *u, struct leaf_link *link, enum leaf_end end)
{
	struct leaf_call *call;

	while ((call = queue_pop(u, link)))
		call_end(u, call, end, NULL, false);
}

static void conn_failed(struct http_conn *client, void *arg, enum http_failure why)
{
	struct leaf_conn *conn = arg;
	struct leaf_link *link = conn->link;
	struct upstream *u = conn->upstream;
	struct leaf_call *call = conn->call;
	bool was_capped = conn->is_open && !conn->is_proven;

	conn_destroy(conn);
	if (was_capped)
		grant_shrink(link, clock_now_us());
	if (why == HTTP_FAILURE_GARBAGE && !call)
		u->stats.stray++;
	if (why == HTTP_FAILURE_CONNECT) {
		u->stats.connect_failures++;
		/* Other connections of the leaf go on with the queue; without one it is lost. */
		if (link->n_conns == 0)
			queue_fail(u, link, LEAF_END_UNREACHABLE);
	} else if (call) {
		call_end(u, call, LEAF_END_LOST, NULL, true);
	}
	queue_serve(u, link, clock_now_us());
}

static const struct http_conn_ops conn_ops = {
	.opened = conn_opened,
	.answered = conn_answered,
	.failed = conn_failed,
};

static bool conn_open(struct upstream *u, struct leaf_link *link, uint64_t now_us)
{
	struct leaf_conn *conn = g_new0(struct leaf_conn, 1);

	conn->client = http_conn_create(u->base, &link->leaf->to, &conn_ops, conn, &answer_limits);
	if (!conn->client) {
		g_free(conn);
		u->stats.connect_failures++;
		return false;
	}
	conn->upstream = u;
	conn->link = link;
	conn->since_us = now_us;
	list_add_tail(&conn->node, &link->connecting);
	link->n_conns++;
	link->n_connecting++;
	u->stats.connects++;
	u->stats.connections++;
	return true;
}

/* The most recently used idle connection that the call may use. */
static struct leaf_conn *idle_pick(struct leaf_link *link, const struct leaf_call *call,
				   uint64_t now_us)
{
	struct leaf_conn *conn;

	if (list_is_empty(&link->idle))
		return NULL;
	conn = list_entry(link->idle.prev, struct leaf_conn, node);
	if (now_us >= conn->idle_until_us)
		return NULL;
	if (call->wants_fresh && now_us - conn->since_us > FRESH_US)
		return NULL;
	return conn;
}

/* Makes room for a new connection by closing the idle one that was used longest ago. */
static void idle_evict(struct upstream *u, struct leaf_link *link)
{
	struct list_head *node = NULL;

	if (link->n_conns >= conns_allowed(u, link))
		node = list_pop_head(&link->idle);
	if (node)
		conn_destroy(list_entry(node, struct leaf_conn, node));
}

/*
 * The call that is sent next. Of calls that their requests can do without the newest has the most
 * time left: in a queue that does not get shorter, the oldest first would make all of them late.
 */
static struct leaf_call *queue_next(const struct leaf_link *link)
{
	struct leaf_call *newest = list_entry(link->queue.prev, struct leaf_call, node);

	return newest->is_partial ? newest : list_entry(link->queue.next, struct leaf_call, node);
}

static void queue_serve(struct upstream *u, struct leaf_link *link, uint64_t now_us)
{
	while (link->n_queued > 0 && link->n_busy < window_size(&link->window)) {
		struct leaf_call *call = queue_next(link);
		struct leaf_conn *conn = idle_pick(link, call, now_us);

		if (!conn)
			break;
		queue_remove(u, link, call);
		call_send(conn, call, now_us);
	}
	while (link->n_queued > link->n_connecting &&
	       link->n_busy + link->n_connecting < window_size(&link->window)) {
		idle_evict(u, link);
		if (link->n_conns >= conns_allowed(u, link))
			grant_grow(link, now_us);
		if (link->n_conns >= conns_allowed(u, link) || now_us < link->open_after_us)
			return;
		/* Without a connection the sweep ends the queued calls. */
		if (!conn_open(u, link, now_us))
			return;
	}
}

static struct leaf_link *link_find(struct upstream *u, struct leaf *leaf)
{
	struct leaf_link *link = leaf->link;

	if (link)
		return link;
	link = g_new0(struct leaf_link, 1);
	link->leaf = leaf_get(leaf);
	link->granted = CONNECTIONS_FIRST;
	window_init(&link->window, leaf->slots);
	list_init(&link->idle);
	list_init(&link->connecting);
	list_init(&link->busy);
	list_init(&link->queue);
	list_add_tail(&link->node, &u->links);
	leaf->link = link;
	return link;
}

void upstream_call(struct upstream *u, struct leaf_call *call, struct leaf *leaf,
		   unsigned int max_connections, uint64_t now_us)
{
	struct leaf_link *link = link_find(u, leaf);

	link->max_connections = max_connections;
	call->leaf = leaf_get(leaf);
	call->conn = NULL;
	call->started_us = now_us;
	call->sent_us = 0;
	leaf_call_started(leaf, now_us);
	list_add_tail(&call->node, &link->queue);
	link->n_queued++;
	u->stats.queued++;
	queue_serve(u, link, now_us);
}

void upstream_cancel(struct upstream *u, struct leaf_call *call, enum leaf_end end, uint64_t now_us)
{
	struct leaf *leaf = call->leaf;
	struct leaf_link *link = leaf->link;
	struct leaf_conn *conn = call->conn;

	call->leaf = NULL;
	call->conn = NULL;
	leaf_call_ended(leaf, end, now_us - call->started_us, now_us);
	if (conn)
		conn_destroy(conn);
	else
		queue_remove(u, link, call);
	window_note(link, end, call->sent_us, call->useful_us, now_us);
	queue_serve(u, link, now_us);
	leaf_put(leaf);
}

void upstream_leaf_retire(struct upstream *u, struct leaf *leaf)
{
	struct leaf_link *link = leaf->link;

	if (!link)
		return;
	conns_destroy(&link->idle);
	conns_destroy(&link->connecting);
	queue_fail(u, link, LEAF_END_CANCELLED);
}

static void link_sweep(struct upstream *u, struct leaf_link *link, uint64_t now_us)
{
	struct list_head *pos;
	struct list_head *next;

	list_for_each_safe (pos, next, &link->idle) {
		struct leaf_conn *conn = list_entry(pos, struct leaf_conn, node);

		bool is_spare = next != &link->idle && now_us - conn->since_us > SPARE_US;

		if (now_us >= conn->idle_until_us || is_spare)
			conn_destroy(conn);
	}
	list_for_each_safe (pos, next, &link->connecting) {
		struct leaf_conn *conn = list_entry(pos, struct leaf_conn, node);

		if (now_us - conn->since_us < CONNECT_US)
			continue;
		conn_destroy(conn);
		u->stats.connect_failures++;
	}
	if (link->n_conns == 0 && link->n_queued > 0)
		queue_fail(u, link, LEAF_END_UNREACHABLE);
	else
		queue_serve(u, link, now_us);
	link_destroy_if_unused(link);
}

static void sweep_handle(evutil_socket_t fd, short what, void *arg)
{
	struct upstream *u = arg;
	struct list_head *pos;
	struct list_head *next;
	uint64_t now_us = clock_now_us();

	list_for_each_safe (pos, next, &u->links)
		link_sweep(u, list_entry(pos, struct leaf_link, node), now_us);
}

struct upstream *upstream_create(struct event_base *base)
{
	static const struct timeval period = {0, SWEEP_US};
	struct upstream *u = g_new0(struct upstream, 1);

	u->base = base;
	u->vms = 1;
	list_init(&u->links);
	u->sweep = event_new(base, -1, EV_PERSIST, sweep_handle, u);
	event_add(u->sweep, &period);
	return u;
}

void upstream_destroy(struct upstream *u)
{
	struct list_head *node;

	if (!u)
		return;
	while ((node = list_pop_head(&u->links))) {
		struct leaf_link *link = list_entry(node, struct leaf_link, node);

		conns_destroy(&link->idle);
		conns_destroy(&link->connecting);
		conns_destroy(&link->busy);
		link->leaf->link = NULL;
		leaf_put(link->leaf);
		g_free(link);
	}
	event_free(u->sweep);
	g_free(u);
}

void upstream_set_vms(struct upstream *u, unsigned int vms)
{
	u->vms = MAX(1, vms);
}

const struct upstream_stats *upstream_stats(const struct upstream *u)
{
	return &u->stats;
}
