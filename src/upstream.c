#include "upstream.h"

#include "clock.h"
#include "log.h"
#include "vmcount.h"
#include "window.h"

#include <stdlib.h>
#include <string.h>

/*
 * Part of a leaf's cap on connections that all VMs together use. The rest is for VMs that have
 * not found each other yet.
 */
#define CAP_PART 0.85
/*
 * One VM opens at most twice the leaf's slots plus this many connections to a leaf. Calls on any
 * further ones would only queue at the leaf.
 */
#define CONNECTIONS_EXTRA 2
/*
 * After a start a VM does not know yet among how many VMs the cap is divided. So its limit of
 * connections to a leaf begins low and is raised by one when a call has to wait, at most once in
 * LIMIT_RAISE_US.
 */
#define CONNECTIONS_FIRST 2
#define LIMIT_RAISE_US 500000
/*
 * A leaf that ends a connection which never carried an answer is taken to be at its cap. No other
 * connection to this leaf is opened within this time.
 */
#define OPEN_PAUSE_US 100000
/*
 * A leaf that does not answer the SYN within this time counts as unreachable. Two retransmissions
 * of a SYN take longer than any latency goal.
 */
#define CONNECT_TIMEOUT_US 700000
/*
 * Idle connections are closed this long before the leaf would close them, so that no call is sent
 * on a connection that is being closed.
 */
#define IDLE_MARGIN_US 700000
/* Assumed time that a leaf keeps an idle connection, if no Keep-Alive field names one. */
#define IDLE_DEFAULT_US 3000000
/*
 * A call that must not be repeated uses a connection that was used within this time, or else a new
 * one, since leaves may have dropped an idle connection without notice.
 */
#define FRESH_IDLE_US 300000
/*
 * Of several idle connections to a leaf, all but the last used are closed after this time, since
 * other VMs may need their part of the leaf's cap.
 */
#define SPARE_IDLE_US 1500000
#define SWEEP_US 100000

/* Connections and queued calls of one leaf. */
struct leaf_link {
	struct list_head node; /* in upstream.links */
	struct leaf *leaf;
	struct list_head idle; /* struct leaf_conn, most recently used last */
	struct list_head connecting;
	struct list_head busy;
	struct list_head queue; /* struct leaf_call */
	unsigned int n_queued[RANK_COUNT]; /* calls in the queue, by rank */
	unsigned int n_conns;
	unsigned int n_connecting;
	unsigned int n_busy;
	struct held_account held; /* of all connections */
	struct window window; /* bounds the calls in flight */
	unsigned int max_connections; /* the leaf's cap, for all VMs together */
	unsigned int conn_limit; /* limit of this VM's own connections, adjusted at runtime */
	uint64_t conn_limit_set_us; /* last change of conn_limit */
	uint64_t open_after_us; /* no connection is opened before this time */
};

struct leaf_conn {
	struct list_head node;
	struct upstream *upstream;
	struct leaf_link *link;
	struct http_conn *client;
	struct leaf_call *call; /* in flight; NULL: idle or connecting */
	uint64_t since_us; /* start of connecting, or last use */
	uint64_t idle_until_us; /* closed then if idle */
	bool is_open;
	bool has_answered; /* has carried an answer */
};

struct upstream {
	struct event_base *base;
	struct heldbytes *held;
	struct event *sweep;
	struct list_head links;
	unsigned int vms;
	/*
	 * After this time no idle connection is kept: the VM gets single requests, and the idle
	 * connections of hundreds of such VMs would use up a leaf's cap.
	 */
	uint64_t idle_until_us;
	struct upstream_stats stats;
};

/* A leaf's answer is kept in memory as a whole; a larger one would not fit a VM's memory. */
static const struct http_limits answer_limits = {65536, 16u << 20};

static void queue_serve(struct upstream *u, struct leaf_link *link, uint64_t now_us);

/* True when a call with this end tells how long the leaf takes to answer. */
static bool end_tells_latency(enum leaf_end end)
{
	return end == LEAF_END_ANSWERED || end == LEAF_END_ERRORED || end == LEAF_END_SILENT;
}

/*
 * Adjusts the window to a call that has ended and is no longer counted in n_busy. sent_us: 0 if the
 * call was not sent.
 */
static void window_update(struct leaf_link *link, enum leaf_end end, uint64_t sent_us,
			  uint64_t useful_us, uint64_t now_us)
{
	if (sent_us == 0)
		return;
	if (end == LEAF_END_REFUSED)
		window_call_refused(&link->window, sent_us, now_us);
	else if (end_tells_latency(end))
		window_call_ended(&link->window, sent_us, useful_us, link->n_busy + 1, now_us);
	if (end == LEAF_END_ANSWERED)
		leaf_service_add(link->leaf, now_us - sent_us);
	link->leaf->window = window_size(&link->window);
}

/* is_of_leaf: false if the end says nothing about the leaf. */
static void call_end_note(struct upstream *u, struct leaf_call *call, enum leaf_end end,
			  const struct http_reader *answer, bool was_sent, bool is_of_leaf)
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
	if (!is_of_leaf)
		end = LEAF_END_CANCELLED;
	was_doubted = leaf_is_quarantined(leaf, now_us) || leaf->is_address_taken;
	leaf_call_ended(leaf, end, latency_us, now_us);
	window_update(leaf->link, end, sent_us, useful_us, now_us);
	if (!was_doubted && (leaf_is_quarantined(leaf, now_us) || leaf->is_address_taken))
		log_event(LOG_LEVEL_WARNING, "leaf_doubted",
			  "leaf=%s service=%s why=%s failures=%u for_ms=%" G_GUINT64_FORMAT,
			  leaf->id, leaf->service, leaf_end_name(end), leaf->failures,
			  leaf->is_address_taken ? 0
						 : (leaf->quarantined_until_us - now_us) / 1000);
	leaf_put(leaf);
}

static void call_end(struct upstream *u, struct leaf_call *call, enum leaf_end end,
		     const struct http_reader *answer, bool was_sent)
{
	call_end_note(u, call, end, answer, was_sent, true);
}

static void queue_remove(struct upstream *u, struct leaf_link *link, struct leaf_call *call)
{
	list_del(&call->node);
	link->n_queued[call->rank]--;
	link->leaf->waiting--;
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

/* Called by the sweep only, so that no link is freed while a callback uses it. */
static void link_destroy_if_unused(struct leaf_link *link)
{
	if (link->n_conns > 0 || link->leaf->waiting > 0 || link->leaf->state != LEAF_GONE)
		return;
	list_del(&link->node);
	link->leaf->link = NULL;
	leaf_put(link->leaf);
	g_free(link);
}

/* More connections than this would only queue calls at the leaf. */
static unsigned int conns_useful(const struct leaf_link *link)
{
	return 2 * link->leaf->slots + CONNECTIONS_EXTRA;
}

static unsigned int conns_allowed(const struct upstream *u, const struct leaf_link *link)
{
	unsigned int share = (unsigned int)(CAP_PART * link->max_connections / MAX(1, u->vms));

	return CLAMP(share, 1, MIN(conns_useful(link), link->conn_limit));
}

/*
 * A call waits and connections are at the limit: raises the limit by one, unless it was changed
 * within LIMIT_RAISE_US.
 */
static void conn_limit_raise(struct leaf_link *link, uint64_t now_us)
{
	if (link->conn_limit >= conns_useful(link) ||
	    now_us - link->conn_limit_set_us < LIMIT_RAISE_US)
		return;
	link->conn_limit++;
	link->conn_limit_set_us = now_us;
}

/*
 * The leaf has ended a connection that never carried an answer: lowers the limit to the connections
 * that are left.
 */
static void conn_limit_lower(struct leaf_link *link, uint64_t now_us)
{
	link->conn_limit = MAX(1, MIN(link->conn_limit, link->n_conns));
	link->conn_limit_set_us = now_us;
	link->open_after_us = now_us + OPEN_PAUSE_US;
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
	/* If sending finds the connection lost, its read event reports that later. */
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

/*
 * How long the connection may stay idle: the leaf's Keep-Alive "timeout=N" (seconds) or the
 * default, less the margin.
 */
static uint64_t idle_time_us(const struct http_reader *answer)
{
	const char *keep = http_reader_field_find(answer, "Keep-Alive");
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

	if (!call->ops->matches(call, answer, !conn->has_answered))
		return false;
	conn->call = NULL;
	link->n_busy--;
	conn->has_answered = true;
	conn->since_us = now_us;
	conn->idle_until_us = now_us + idle_time_us(answer);
	if (!reusable || link->leaf->state != LEAF_READY ||
	    (now_us >= u->idle_until_us && link->leaf->waiting == 0)) {
		conn_destroy(conn);
	} else {
		list_del(&conn->node);
		list_add_tail(&conn->node, &link->idle);
	}
	call_end(u, call, LEAF_END_ANSWERED, answer, true);
	if (leaf_is_usable(link->leaf, now_us))
		queue_serve(u, link, now_us);
	else
		upstream_leaf_retire(u, link->leaf);
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
	bool was_capped = conn->is_open && !conn->has_answered && why != HTTP_FAILURE_HELD;

	conn_destroy(conn);
	if (was_capped)
		conn_limit_lower(link, clock_now_us());
	if (why == HTTP_FAILURE_GARBAGE && !call)
		u->stats.stray_closes++;
	if (why == HTTP_FAILURE_CONNECT) {
		u->stats.connect_failures++;
		/* The leaf's other connections serve the queue; without any, its calls end. */
		if (link->n_conns == 0)
			queue_fail(u, link, LEAF_END_UNREACHABLE);
	} else if (call) {
		/* An answer that this VM has given up is lost, but not by the leaf. */
		call_end_note(u, call, LEAF_END_LOST, NULL, true, why != HTTP_FAILURE_HELD);
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

	conn->client = http_conn_create(u->base, &link->leaf->socket_address, &conn_ops, conn,
					&answer_limits);
	if (!conn->client) {
		g_free(conn);
		u->stats.connect_failures++;
		return false;
	}
	http_conn_hold(conn->client, u->held, &link->held);
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

/* True when the call may be sent on the idle connection. */
static bool conn_suits(const struct leaf_conn *conn, const struct leaf_call *call, uint64_t now_us)
{
	if (now_us >= conn->idle_until_us || (call->wants_unused && conn->has_answered))
		return false;
	return !call->wants_fresh || now_us - conn->since_us <= FRESH_IDLE_US;
}

/* The most recently used idle connection that the call may use, or NULL. */
static struct leaf_conn *idle_pick(struct leaf_link *link, const struct leaf_call *call,
				   uint64_t now_us)
{
	struct list_head *node;

	for (node = link->idle.prev; node != &link->idle; node = node->prev) {
		struct leaf_conn *conn = list_entry(node, struct leaf_conn, node);

		if (conn_suits(conn, call, now_us))
			return conn;
	}
	return NULL;
}

/* At the limit of connections, closes the idle one that was used longest ago. */
static void idle_evict(struct upstream *u, struct leaf_link *link)
{
	struct list_head *node = NULL;

	if (link->n_conns >= conns_allowed(u, link))
		node = list_pop_head(&link->idle);
	if (node)
		conn_destroy(list_entry(node, struct leaf_conn, node));
}

static struct rank_wait rank_wait_of(const struct leaf_call *call, uint64_t now_us)
{
	return (struct rank_wait){
		.rank = call->rank,
		.waited_us = now_us - call->started_us,
		.useful_us = call->ages_us,
		.n_lacking = call->ops->lacking(call),
	};
}

/* The call that is first by rank; of equal ones that which is next to first in the direction. */
static struct leaf_call *queue_first_ranked(const struct leaf_link *link, struct leaf_call *first,
					    bool is_backward, uint64_t now_us)
{
	struct rank_wait best = rank_wait_of(first, now_us);
	struct list_head *node = &first->node;

	while ((node = is_backward ? node->prev : node->next) != &link->queue) {
		struct leaf_call *call = list_entry(node, struct leaf_call, node);
		struct rank_wait wait = rank_wait_of(call, now_us);

		if (rank_wait_compare(&wait, &best) >= 0)
			continue;
		best = wait;
		first = call;
	}
	return first;
}

/*
 * The call to send next; the queue must not be empty. The newest call goes first if it is optional,
 * since it has the most time left: with the oldest first, a queue that does not get shorter would
 * make all calls late. Otherwise the oldest call goes first. With ranks this is the order of calls
 * that rank_wait_compare() treats alike.
 */
static struct leaf_call *queue_next(const struct leaf_link *link, uint64_t now_us)
{
	struct leaf_call *newest = list_entry(link->queue.prev, struct leaf_call, node);
	bool is_newest_first = newest->is_optional;
	struct leaf_call *first =
		is_newest_first ? newest : list_entry(link->queue.next, struct leaf_call, node);

	if (!first->is_ranked)
		return first;
	return queue_first_ranked(link, first, is_newest_first, now_us);
}

static void queue_serve(struct upstream *u, struct leaf_link *link, uint64_t now_us)
{
	while (link->leaf->waiting > 0 && link->n_busy < window_size(&link->window) &&
	       leaf_limit_wait_us(link->leaf, 0, now_us) == 0) {
		struct leaf_call *call = queue_next(link, now_us);
		struct leaf_conn *conn = idle_pick(link, call, now_us);

		if (!conn)
			break;
		queue_remove(u, link, call);
		leaf_limit_take(link->leaf, now_us);
		call_send(conn, call, now_us);
	}
	if (leaf_limit_wait_us(link->leaf, 0, now_us) > 0)
		return;
	while (link->leaf->waiting > link->n_connecting &&
	       link->n_busy + link->n_connecting < window_size(&link->window)) {
		idle_evict(u, link);
		if (link->n_conns >= conns_allowed(u, link))
			conn_limit_raise(link, now_us);
		if (link->n_conns >= conns_allowed(u, link) || now_us < link->open_after_us)
			return;
		/* When no connection is left, the sweep ends the queued calls. */
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
	link->conn_limit = CONNECTIONS_FIRST;
	held_account_init(&link->held, NULL, NULL);
	window_init(&link->window, leaf->slots);
	leaf->window = window_size(&link->window);
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
	link->n_queued[call->rank]++;
	leaf->waiting++;
	u->stats.queued++;
	if (leaf->warmup_cap.is_limited && leaf_wait_us(leaf, now_us) > 0)
		u->stats.cold_waits++;
	queue_serve(u, link, now_us);
}

void upstream_cancel(struct upstream *u, struct leaf_call *call, enum leaf_end end, uint64_t now_us)
{
	struct leaf *leaf = call->leaf;
	struct leaf_link *link = leaf->link;
	struct leaf_conn *conn = call->conn;

	call->leaf = NULL;
	call->conn = NULL;
	/* The leaf is not silent if it was this VM that did not read. */
	if (conn && http_conn_is_waiting(conn->client))
		end = LEAF_END_CANCELLED;
	leaf_call_ended(leaf, end, now_us - call->started_us, now_us);
	if (conn)
		conn_destroy(conn);
	else
		queue_remove(u, link, call);
	window_update(link, end, call->sent_us, call->useful_us, now_us);
	queue_serve(u, link, now_us);
	leaf_put(leaf);
}

unsigned int upstream_waiting(const struct leaf *leaf, unsigned int rank)
{
	const struct leaf_link *link = leaf->link;

	return link ? link->n_queued[rank] : 0;
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
	bool is_unreachable = false;

	list_for_each_safe (pos, next, &link->idle) {
		struct leaf_conn *conn = list_entry(pos, struct leaf_conn, node);

		bool is_spare = next != &link->idle && now_us - conn->since_us > SPARE_IDLE_US;

		if (now_us >= conn->idle_until_us || is_spare)
			conn_destroy(conn);
	}
	list_for_each_safe (pos, next, &link->connecting) {
		struct leaf_conn *conn = list_entry(pos, struct leaf_conn, node);

		if (now_us - conn->since_us < CONNECT_TIMEOUT_US)
			continue;
		conn_destroy(conn);
		u->stats.connect_failures++;
		is_unreachable = link->n_conns == 0;
	}
	if (!is_unreachable)
		queue_serve(u, link, now_us);
	/* Calls that wait for the leaf's limit need no connection yet. */
	if (link->n_conns == 0 && link->leaf->waiting > 0 &&
	    (is_unreachable || leaf_limit_wait_us(link->leaf, 0, now_us) == 0))
		queue_fail(u, link, LEAF_END_UNREACHABLE);
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

struct upstream *upstream_create(struct event_base *base, struct heldbytes *held)
{
	static const struct timeval period = {0, SWEEP_US};
	struct upstream *u = g_new0(struct upstream, 1);

	u->base = base;
	u->held = held;
	u->vms = 1;
	u->idle_until_us = G_MAXUINT64;
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

void upstream_set_vms(struct upstream *u, unsigned int vms, bool is_entry, uint64_t now_us)
{
	u->vms = MAX(1, vms);
	if (is_entry)
		u->idle_until_us = G_MAXUINT64;
	else if (u->idle_until_us == G_MAXUINT64)
		u->idle_until_us = now_us + VMCOUNT_REPLACED_US;
}

const struct upstream_stats *upstream_stats(const struct upstream *u)
{
	return &u->stats;
}
