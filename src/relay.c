#include "relay.h"

#include "clock.h"
#include "log.h"
#include "message.h"
#include "mirror.h"
#include "procedure.h"
#include "readers.h"

#include <string.h>

/* Longest time that a reader holds a query open. An answer also shows that the reader is alive. */
#define ASK_WAIT_MS 2000
#define ASK_TIMEOUT_US ((uint64_t)(ASK_WAIT_MS + 800) * CLOCK_US_PER_MS)
/*
 * What this VM knows counts as current for this time after a reader's answer: the wait and a
 * margin.
 */
#define CURRENT_MS (ASK_WAIT_MS + 600)
/* A starting VM that knows no other member waits this long before it chooses the readers. */
#define SETTLE_MS 400
/* A VM that has had no current answer from a reader for this long reads the store itself. */
#define UNSERVED_MS 700
/* A VM that starts to read the store itself does so for this long, to avoid frequent switching. */
#define SELF_READING_MS 5000
/*
 * When the reader that is asked for changes has not passed on a revision that another reader has
 * known for this long, the next reader is asked instead.
 */
#define BEHIND_MS 250
#define TICK_MS 50
/* Pause after an answer that is not current, before the next reader is asked for changes. */
#define RETRY_MS 150
/*
 * Pause after an answer that is not current, before the same reader is asked for its revision
 * again.
 */
#define REVISION_RETRY_MS 500

/*
 * A VM keeps one query open to each reader. The first one asks for changes, the others only ask the
 * other readers for their revisions, since a reader may have lost the store without knowing it yet.
 */
#define QUERY_CHANGES 0
#define QUERIES READERS_MAX

struct query {
	bool is_open; /* waits for an answer */
	uint64_t tag; /* of the call in progress */
	uint64_t next_ms; /* earliest time of the next call */
	bool is_stale; /* the last call got no answer, or one that is not current */
};

/* A query of another VM that is held open until there are changes. */
struct waiter {
	struct list_head node;
	struct peer_call *call;
	uint64_t until_ms; /* answered then at the latest */
};

struct relay {
	struct service service;
	struct service *peer;
	char *dc;
	struct mirror *mirror;
	struct roster *roster;
	struct event *tick;
	struct list_head waiters;
	struct query queries[QUERIES]; /* each to a different reader */
	unsigned int n_skipped; /* readers that the query for changes has passed over so far */
	uint64_t last_tag;
	uint64_t started_ms;
	uint64_t served_ms; /* time of the last current answer of a reader; 0: none yet */
	uint64_t self_until_ms; /* this VM reads the store itself until then */
	uint64_t reported_revision; /* highest revision in an answer to a query for revisions */
	uint64_t reported_ms; /* time of that answer, or of the last skip of a reader */
	bool is_reading; /* the feed of this VM was told to read the store */
	bool is_current; /* as in the last store_update of the feed */
};

static bool reads_itself(const struct relay *r)
{
	return r->is_reading && r->is_current;
}

/*
 * True when every reader failed to give a current answer to its last query. False until a first
 * current answer, since after a start the readers may not have read the store yet.
 */
static bool are_readers_stale(const struct relay *r)
{
	for (unsigned int i = 0; i < QUERIES; i++)
		if (!r->queries[i].is_stale)
			return false;
	return r->served_ms > 0;
}

/* True when this VM reads the store, or a reader has given a current answer within CURRENT_MS. */
static bool is_current(const struct relay *r, uint64_t now_ms)
{
	return reads_itself(r) || (mirror_revision(r->mirror) > 0 && !are_readers_stale(r) &&
				   now_ms - r->served_ms < CURRENT_MS);
}

static void items_encode(apr_feed_reply *out, const struct store_answer *answer)
{
	out->items.items_len = MIN(answer->items->len, APR_FEED_ITEMS_MAX);
	out->items.items_val = g_new0(apr_feed_item, MAX(1, out->items.items_len));
	for (guint i = 0; i < out->items.items_len; i++) {
		struct store_item *item = g_ptr_array_index(answer->items, i);
		apr_feed_item *to = &out->items.items_val[i];

		to->key = g_strdup(item->key);
		to->revision = item->revision;
		to->is_removed = !item->value;
		to->value.value_len = item->value ? (u_int)item->n_value : 0;
		to->value.value_val = g_malloc(MAX(1, to->value.value_len));
		if (to->value.value_len > 0)
			memcpy(to->value.value_val, item->value, to->value.value_len);
	}
}

/* Answers and frees the call. */
static void peer_query_answer(struct relay *r, struct peer_call *call)
{
	const apr_feed_args *args = call->args;
	apr_feed_reply *result = peer_result_create(APR_FEED);
	struct store_answer answer = {0};
	struct peer_reply *reply;
	bool is_full = false;

	/*
	 * Only a VM that reads the store itself answers as current, so that VMs cannot pass
	 * outdated content around among each other.
	 */
	result->is_current = reads_itself(r);
	result->revision = mirror_revision(r->mirror);
	if (args->wants_items && result->is_current && args->known_revision < result->revision) {
		mirror_changes_since(r->mirror, args->known_revision, &answer, &is_full);
		items_encode(result, &answer);
		store_answer_clear(&answer);
	} else {
		result->items.items_val = g_new0(apr_feed_item, 1);
	}
	result->is_full = is_full;
	reply = peer_reply_create(call->tag, APR_FEED, PEER_STATUS_DONE, result);
	if (call->reply_to)
		kernel_message_send(r->service.kernel, call->reply_to, &reply->message);
	else
		message_destroy(&reply->message);
	message_destroy(&call->message);
}

static bool waiter_is_due(const struct relay *r, const struct waiter *w, uint64_t now_ms)
{
	const apr_feed_args *args = w->call->args;

	return !reads_itself(r) || args->known_revision < mirror_revision(r->mirror) ||
	       now_ms >= w->until_ms;
}

static void waiters_serve(struct relay *r, uint64_t now_ms)
{
	struct list_head waiting;
	struct list_head *node;

	list_init(&waiting);
	while ((node = list_pop_head(&r->waiters))) {
		struct waiter *w = list_entry(node, struct waiter, node);

		if (!waiter_is_due(r, w, now_ms)) {
			list_add_tail(node, &waiting);
			continue;
		}
		peer_query_answer(r, w->call);
		g_free(w);
	}
	while ((node = list_pop_head(&waiting)))
		list_add_tail(node, &r->waiters);
}

/* Answers another VM's query, or holds it open until there are changes. Takes over the call. */
static void peer_query_receive(struct relay *r, struct peer_call *call)
{
	const apr_feed_args *args = call->args;
	struct waiter *w;

	if (!reads_itself(r) || args->known_revision < mirror_revision(r->mirror)) {
		peer_query_answer(r, call);
		return;
	}
	w = g_new0(struct waiter, 1);
	w->call = call;
	w->until_ms = clock_now_ms() + MIN(args->wait_ms, ASK_WAIT_MS);
	list_add_tail(&w->node, &r->waiters);
}

static void query_send(struct relay *r, unsigned int index, const struct roster_vm *reader)
{
	struct query *query = &r->queries[index];
	apr_feed_args *args = peer_args_create(APR_FEED);
	struct peer_call *call;

	args->known_revision =
		MAX(mirror_revision(r->mirror), index == QUERY_CHANGES ? 0 : r->reported_revision);
	args->wait_ms = ASK_WAIT_MS;
	args->wants_items = index == QUERY_CHANGES;
	call = peer_call_create(APR_FEED, reader->rpc, args, ASK_TIMEOUT_US);
	call->reply_to = &r->service;
	call->tag = query->tag = ++r->last_tag;
	query->is_open = true;
	kernel_message_send(r->service.kernel, r->peer, &call->message);
}

/* The reader that the query goes to now; NULL when there is none besides this VM. */
static const struct roster_vm *query_reader(const struct relay *r, unsigned int index,
					    const struct readers *readers)
{
	unsigned int first = readers_first(readers, r->dc);
	unsigned int step = r->n_skipped + index;
	const struct roster_vm *vm;

	if (index >= readers->n)
		return NULL;
	vm = readers->vms[(first + step) % readers->n];
	if (vm->is_self && readers->n > 1)
		vm = readers->vms[(first + step + 1) % readers->n];
	return vm->is_self ? NULL : vm;
}

static void reading_set(struct relay *r, bool is_wanted, const char *why)
{
	if (r->is_reading == is_wanted)
		return;
	r->is_reading = is_wanted;
	/* What this VM has read until now is current, although no reader was asked yet. */
	if (!is_wanted && r->is_current)
		r->served_ms = clock_now_ms();
	log_event(LOG_LEVEL_INFO, "store_reading",
		  "reads=%s why=\"%s\" revision=%" G_GUINT64_FORMAT, is_wanted ? "self" : "peers",
		  why, mirror_revision(r->mirror));
	kernel_message_send(r->service.kernel, kernel_service_find(r->service.kernel, "feed"),
			    &store_reading_create(is_wanted)->message);
}

static void queries_advance(struct relay *r, const struct readers *readers, uint64_t now_ms)
{
	for (unsigned int i = 0; i < QUERIES; i++) {
		struct query *query = &r->queries[i];
		const struct roster_vm *vm = query_reader(r, i, readers);

		if (vm && !query->is_open && now_ms >= query->next_ms)
			query_send(r, i, vm);
	}
}

/* Asks the next reader for changes when the present one lags behind another one. */
static void lagging_reader_skip(struct relay *r, uint64_t now_ms)
{
	if (r->reported_revision <= mirror_revision(r->mirror) ||
	    now_ms - r->reported_ms < BEHIND_MS)
		return;
	r->reported_ms = now_ms;
	r->n_skipped++;
	log_event(LOG_LEVEL_INFO, "reader_skipped",
		  "revision=%" G_GUINT64_FORMAT " reported=%" G_GUINT64_FORMAT " answer_pending=%s",
		  mirror_revision(r->mirror), r->reported_revision,
		  r->queries[QUERY_CHANGES].is_open ? "yes" : "no");
	r->queries[QUERY_CHANGES].is_open = false;
	r->queries[QUERY_CHANGES].next_ms = now_ms;
}

static void relay_advance(struct relay *r)
{
	uint64_t now_ms = clock_now_ms();
	struct readers readers;

	waiters_serve(r, now_ms);
	if (!r->roster || (r->roster->n_vms < 2 && now_ms - r->started_ms < SETTLE_MS))
		return;
	readers = readers_choose(r->roster);
	if (readers.is_self || readers.n == 0) {
		reading_set(r, true, "chosen");
		/* A reader that has lost the store asks the other readers meanwhile. */
		if (!r->is_current && now_ms - r->started_ms > UNSERVED_MS) {
			lagging_reader_skip(r, now_ms);
			queries_advance(r, &readers, now_ms);
		}
		return;
	}
	if (!is_current(r, now_ms) && now_ms >= r->self_until_ms &&
	    (are_readers_stale(r) || now_ms - MAX(r->served_ms, r->started_ms) > UNSERVED_MS))
		r->self_until_ms = now_ms + SELF_READING_MS;
	reading_set(r, now_ms < r->self_until_ms,
		    now_ms < r->self_until_ms ? "no reader answers" : "a reader answers");
	lagging_reader_skip(r, now_ms);
	queries_advance(r, &readers, now_ms);
}

static void tick_handle(evutil_socket_t fd, short what, void *arg)
{
	relay_advance(arg);
}

static void items_decode(struct store_answer *out, apr_feed_reply *reply)
{
	out->items = g_ptr_array_new_with_free_func(store_item_free);
	out->revision = reply->revision;
	for (u_int i = 0; i < reply->items.items_len; i++) {
		const apr_feed_item *from = &reply->items.items_val[i];
		struct store_item *item = g_new0(struct store_item, 1);

		item->key = g_strdup(from->key);
		item->revision = from->revision;
		if (!from->is_removed) {
			item->n_value = from->value.value_len;
			item->value = g_malloc0(item->n_value + 1);
			memcpy(item->value, from->value.value_val, item->n_value);
		}
		g_ptr_array_add(out->items, item);
	}
}

/* Adds an answer to the mirror; is_listing: the answer holds every key. */
static void mirror_update(struct relay *r, const struct store_answer *answer, bool is_listing)
{
	if (is_listing)
		mirror_apply_listing(r->mirror, answer);
	else
		mirror_apply(r->mirror, answer);
}

static void items_receive(struct relay *r, apr_feed_reply *reply)
{
	struct kernel *k = r->service.kernel;
	struct store_answer answer = {0};

	if (reply->revision <= mirror_revision(r->mirror) || reply->items.items_len == 0)
		return;
	items_decode(&answer, reply);
	mirror_update(r, &answer, reply->is_full);
	kernel_message_send(k, kernel_service_find(k, "feed"),
			    &store_update_create(&answer, reply->is_full)->message);
}

static void reply_receive(struct relay *r, const struct peer_reply *message)
{
	apr_feed_reply *reply = message->result;
	uint64_t now_ms = clock_now_ms();

	for (unsigned int i = 0; i < QUERIES; i++) {
		struct query *query = &r->queries[i];

		if (!query->is_open || query->tag != message->tag)
			continue;
		query->is_open = false;
		query->is_stale = !reply || !reply->is_current;
		if (query->is_stale) {
			r->n_skipped += i == QUERY_CHANGES;
			query->next_ms =
				now_ms + (i == QUERY_CHANGES ? RETRY_MS : REVISION_RETRY_MS);
			return;
		}
		r->served_ms = now_ms;
		if (i == QUERY_CHANGES) {
			items_receive(r, reply);
		} else if (reply->revision > r->reported_revision) {
			r->reported_revision = reply->revision;
			r->reported_ms = now_ms;
		}
		return;
	}
	if (reply && reply->items.items_len > 0)
		log_event(LOG_LEVEL_INFO, "reader_answer_dropped",
			  "revision=%" G_GUINT64_FORMAT " known=%" G_GUINT64_FORMAT " keys=%u",
			  reply->revision, mirror_revision(r->mirror), reply->items.items_len);
}

/* Takes in what the feed of this VM has read from the store. */
static void store_update_receive(struct relay *r, const struct store_update *update)
{
	r->is_current = update->is_current;
	if (update->answer.items)
		mirror_update(r, &update->answer, update->is_listing);
	waiters_serve(r, clock_now_ms());
}

static void relay_receive(struct service *s, struct message *m)
{
	struct relay *r = (struct relay *)s;

	switch ((enum message_kind)m->kind) {
	case MESSAGE_PEER_CALL:
		peer_query_receive(r, (struct peer_call *)m);
		return;
	case MESSAGE_PEER_REPLY:
		reply_receive(r, (struct peer_reply *)m);
		break;
	case MESSAGE_STORE_UPDATE:
		store_update_receive(r, (struct store_update *)m);
		break;
	case MESSAGE_ROSTER_CHANGED:
		roster_put(r->roster);
		r->roster = roster_get(((struct roster_changed *)m)->roster);
		break;
	default:
		break;
	}
	message_destroy(m);
	relay_advance(r);
}

static gboolean relay_start(struct service *s, GError **error)
{
	static const struct timeval period = {0, TICK_MS * 1000L};
	struct relay *r = (struct relay *)s;

	r->peer = kernel_service_find(s->kernel, "peer");
	r->started_ms = clock_now_ms();
	event_add(r->tick, &period);
	return TRUE;
}

static void relay_destroy(struct service *s)
{
	struct relay *r = (struct relay *)s;
	struct list_head *node;

	while ((node = list_pop_head(&r->waiters))) {
		struct waiter *w = list_entry(node, struct waiter, node);

		message_destroy(&w->call->message);
		g_free(w);
	}
	event_free(r->tick);
	mirror_destroy(r->mirror);
	roster_put(r->roster);
	g_free(r->dc);
	g_free(r);
}

struct service *relay_create(struct kernel *k, const char *dc)
{
	static const struct service_ops ops = {
		.name = "relay",
		.start = relay_start,
		.receive = relay_receive,
		.destroy = relay_destroy,
	};
	struct relay *r = g_new0(struct relay, 1);

	r->service.ops = &ops;
	r->dc = g_strdup(dc);
	r->mirror = mirror_create();
	list_init(&r->waiters);
	r->tick = event_new(kernel_base(k), -1, EV_PERSIST, tick_handle, r);
	return &r->service;
}
