#include "relay.h"

#include "clock.h"
#include "follower.h"
#include "log.h"
#include "message.h"
#include "mirror.h"
#include "procedure.h"
#include "readers.h"

#include <string.h>

/*
 * Longest time that a reader holds a query open. It answers earlier, at the next answer of the
 * store or when it has lost the store (feed.c), so that no answer vouches for what the store said
 * before the query.
 */
#define ASK_WAIT_MS 2800
#define ASK_TIMEOUT_US ((uint64_t)(ASK_WAIT_MS + 800) * CLOCK_US_PER_MS)
/* Changes that take seconds over a slow link are still applied. */
#define CHANGES_TIMEOUT_US ((uint64_t)(ASK_WAIT_MS + 6000) * CLOCK_US_PER_MS)
/* A starting VM that knows no other member waits this long before it chooses the readers. */
#define SETTLE_MS 400
/* A reader that has not read the store this long after its start asks the other readers. */
#define UNSERVED_MS 700
/* A VM that starts to read the store itself does so for this long, to avoid frequent switching. */
#define SELF_READING_MS 5000
/*
 * While neither the store nor a reader answers, the VM asks a few other VMs at a time, and the
 * readers every third time. Time until it turns to the next ones.
 */
#define SEARCH_MS 400
#define SEARCH_TURNS 3
#define TICK_MS 50

G_STATIC_ASSERT(RELAY_KEY_BYTES_MAX <= APR_KEY_MAX);
G_STATIC_ASSERT(RELAY_VALUE_BYTES_MAX <= APR_HITS_MAX);

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
	struct follower *follower;
	uint64_t started_ms;
	uint64_t self_until_ms; /* this VM reads the store itself until then */
	bool is_following; /* asks readers */
	unsigned int search_turn; /* a multiple of SEARCH_TURNS: the readers are asked */
	uint64_t search_next_ms; /* when the next turn may begin */
	bool is_searching; /* all readers were lost, and no VM has answered as current since */
	bool is_reading; /* the feed of this VM was told to read the store */
	bool is_current; /* as in the last store_update of the feed since it began to read */
};

/*
 * The position that the asking VM knows. One with an earlier version of the program names no era;
 * its revision counts as one of this VM's era.
 */
static struct position known_position(const struct relay *r, const struct peer_call *call)
{
	const apr_feed_args *args = call->args;
	uint64_t era = args->known_era ? args->known_era : mirror_position(r->mirror).era;

	return (struct position){era, args->known_revision};
}

/* True when the asking VM lacks changes that this VM has. */
static bool asking_vm_is_behind(const struct relay *r, const struct peer_call *call)
{
	return position_is_after(mirror_position(r->mirror), known_position(r, call));
}

static bool reads_itself(const struct relay *r)
{
	return r->is_reading && r->is_current;
}

static void items_encode(apr_feed_reply *out, const struct store_answer *answer, uint64_t now_ms)
{
	out->items.items_len = MIN(answer->items->len, APR_FEED_ITEMS_MAX);
	out->items.items_val = g_new0(apr_feed_item, MAX(1, out->items.items_len));
	for (guint i = 0; i < out->items.items_len; i++) {
		struct store_item *item = g_ptr_array_index(answer->items, i);
		apr_feed_item *to = &out->items.items_val[i];

		to->key = g_strdup(item->key);
		to->revision = item->position.revision;
		to->is_removed = !item->value;
		to->age_ms = item->value ? 0 : (u_int)MIN(now_ms - item->read_ms, G_MAXUINT32);
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
	result->era = mirror_position(r->mirror).era;
	result->revision = mirror_position(r->mirror).revision;
	if (args->wants_items && result->is_current && asking_vm_is_behind(r, call)) {
		mirror_changes_since(r->mirror, known_position(r, call), &answer, &is_full);
		items_encode(result, &answer, clock_now_ms());
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
	return !reads_itself(r) || asking_vm_is_behind(r, w->call) || now_ms >= w->until_ms;
}

/* is_confirmed: the store has answered now, so all waiting queries are due. */
static void waiters_serve(struct relay *r, bool is_confirmed, uint64_t now_ms)
{
	struct list_head waiting;
	struct list_head *node;

	list_init(&waiting);
	while ((node = list_pop_head(&r->waiters))) {
		struct waiter *w = list_entry(node, struct waiter, node);

		if (!is_confirmed && !waiter_is_due(r, w, now_ms)) {
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

	if (!reads_itself(r) || asking_vm_is_behind(r, call)) {
		peer_query_answer(r, call);
		return;
	}
	w = g_new0(struct waiter, 1);
	w->call = call;
	w->until_ms = clock_now_ms() + MIN(args->wait_ms, ASK_WAIT_MS);
	list_add_tail(&w->node, &r->waiters);
}

static void query_send(struct relay *r, const struct follower_query *query)
{
	apr_feed_args *args = peer_args_create(APR_FEED);
	struct peer_call *call;

	args->known_era = query->known.era;
	args->known_revision = query->known.revision;
	args->wait_ms = ASK_WAIT_MS;
	args->wants_items = query->wants_changes;
	call = peer_call_create(APR_FEED, query->address, args,
				query->wants_changes ? CHANGES_TIMEOUT_US : ASK_TIMEOUT_US);
	call->reply_to = &r->service;
	call->tag = query->tag;
	if (query->is_repeat)
		log_event(LOG_LEVEL_INFO, "second_reader_asked",
			  "reader=%s revision=%" G_GUINT64_FORMAT, query->address,
			  query->known.revision);
	kernel_message_send(r->service.kernel, r->peer, &call->message);
}

static void reading_set(struct relay *r, bool is_wanted, const char *why)
{
	if (r->is_reading == is_wanted)
		return;
	r->is_reading = is_wanted;
	if (is_wanted)
		r->is_current = false;
	log_event(LOG_LEVEL_INFO, "store_reading",
		  "reads=%s why=\"%s\" revision=%" G_GUINT64_FORMAT, is_wanted ? "self" : "peers",
		  why, mirror_position(r->mirror).revision);
	kernel_message_send(r->service.kernel, kernel_service_find(r->service.kernel, "feed"),
			    &store_reading_create(is_wanted)->message);
}

/* Tells the follower the readers other than this VM, the one in its own data centre first. */
static void follower_readers_update(struct relay *r, const struct readers *readers, uint64_t now_ms)
{
	const char *addresses[READERS_MAX];
	unsigned int first = readers_first(readers, r->dc);
	unsigned int n = 0;

	for (unsigned int i = 0; i < readers->n; i++) {
		const struct roster_vm *vm = readers->vms[(first + i) % readers->n];

		if (!vm->is_self)
			addresses[n++] = vm->rpc;
	}
	follower_readers_set(r->follower, addresses, n, now_ms);
}

/* Turns to other VMs, or back to the readers, while none of those asked answers as current. */
static void search_advance(struct relay *r, uint64_t now_ms)
{
	if (reads_itself(r) || now_ms < r->search_next_ms || !follower_is_lost(r->follower, now_ms))
		return;
	if (!r->is_searching)
		log_event(LOG_LEVEL_INFO, "readers_lost", "revision=%" G_GUINT64_FORMAT,
			  mirror_position(r->mirror).revision);
	r->is_searching = true;
	r->search_turn++;
	r->search_next_ms = now_ms + SEARCH_MS;
}

static void readers_ask(struct relay *r, const struct readers *readers, uint64_t now_ms)
{
	struct follower_query query;
	struct readers others;
	unsigned int n_reader_turns;

	search_advance(r, now_ms);
	n_reader_turns = (r->search_turn + SEARCH_TURNS - 1) / SEARCH_TURNS;
	others = readers_others(r->roster, readers, r->search_turn - n_reader_turns);
	if (r->search_turn % SEARCH_TURNS > 0 && others.n > 0)
		readers = &others;
	follower_readers_update(r, readers, now_ms);
	while (follower_query_next(r->follower, now_ms, &query))
		query_send(r, &query);
}

/* Starts or stops asking the readers. */
static void following_set(struct relay *r, bool is_wanted, uint64_t now_ms)
{
	if (is_wanted && !r->is_following)
		follower_restart(r->follower, r->is_current, now_ms);
	r->is_following = is_wanted;
}

static void relay_advance(struct relay *r)
{
	uint64_t now_ms = clock_now_ms();
	struct readers readers;

	waiters_serve(r, false, now_ms);
	if (!r->roster || (r->roster->n_vms < 2 && now_ms - r->started_ms < SETTLE_MS))
		return;
	readers = readers_choose(r->roster);
	if (readers.is_self || readers.n == 0) {
		reading_set(r, true, "chosen");
		/* A reader that has lost the store asks the other readers meanwhile. */
		following_set(r, !r->is_current && now_ms - r->started_ms > UNSERVED_MS, now_ms);
		if (r->is_following)
			readers_ask(r, &readers, now_ms);
		return;
	}
	following_set(r, true, now_ms);
	if (now_ms >= r->self_until_ms && follower_needs_store(r->follower, now_ms)) {
		r->self_until_ms = now_ms + SELF_READING_MS;
		/* Other VMs are asked only if the store does not answer this one by then. */
		r->search_next_ms = now_ms + SEARCH_MS;
	}
	readers_ask(r, &readers, now_ms);
	reading_set(r, now_ms < r->self_until_ms,
		    now_ms < r->self_until_ms ? "no reader answers" : "a reader answers");
}

static void tick_handle(evutil_socket_t fd, short what, void *arg)
{
	relay_advance(arg);
}

/* asked_ms: a removal's age in the reply is taken as its age at that time. */
static void items_decode(struct store_answer *out, apr_feed_reply *reply, struct position position,
			 uint64_t asked_ms)
{
	out->items = g_ptr_array_new_with_free_func(store_item_free);
	out->position = position;
	for (u_int i = 0; i < reply->items.items_len; i++) {
		const apr_feed_item *from = &reply->items.items_val[i];
		struct store_item *item = g_new0(struct store_item, 1);

		item->key = g_strdup(from->key);
		item->position = (struct position){position.era, from->revision};
		item->read_ms = asked_ms - MIN(from->age_ms, asked_ms);
		if (!from->is_removed) {
			item->n_value = from->value.value_len;
			item->value = g_malloc0(item->n_value + 1);
			if (item->n_value > 0) /* XDR leaves an empty value NULL */
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
	follower_position_set(r->follower, mirror_position(r->mirror), clock_now_ms());
}

static void changes_receive(struct relay *r, apr_feed_reply *reply, struct position position,
			    uint64_t asked_ms)
{
	struct kernel *k = r->service.kernel;
	struct store_answer answer = {0};
	struct store_update *update;

	if (!position_is_after(position, mirror_position(r->mirror)))
		return;
	/* Changes since a position of another era are no complete content. */
	if (position.era != mirror_position(r->mirror).era && !reply->is_full)
		return;
	items_decode(&answer, reply, position, asked_ms);
	mirror_update(r, &answer, reply->is_full);
	update = store_update_create(&answer, reply->is_full);
	update->asked_ms = asked_ms;
	kernel_message_send(k, kernel_service_find(k, "feed"), &update->message);
}

static void reply_receive(struct relay *r, const struct peer_reply *message)
{
	apr_feed_reply *reply = message->result;
	bool is_current =
		reply && reply->is_current && reply->era >= mirror_position(r->mirror).era;
	struct position position =
		is_current ? (struct position){reply->era, reply->revision} : (struct position){0};
	uint64_t now_ms = clock_now_ms();
	uint64_t asked_ms = now_ms;
	bool asked_changes = follower_answered(r->follower, message->tag, is_current, position,
					       now_ms, &asked_ms);

	if (is_current)
		r->is_searching = false;
	/* The revision of the store can rise without a change of a key. */
	if (is_current && (asked_changes || reply->items.items_len > 0))
		changes_receive(r, reply, position, asked_ms);
}

/* Takes in what the feed of this VM has read from the store. */
static void store_update_receive(struct relay *r, const struct store_update *update)
{
	r->is_current = update->is_current;
	if (update->answer.items)
		mirror_update(r, &update->answer, update->is_listing);
	waiters_serve(r, update->is_current, clock_now_ms());
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
	follower_restart(r->follower, false, r->started_ms);
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
	follower_destroy(r->follower);
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
	r->follower = follower_create(clock_now_ms());
	list_init(&r->waiters);
	r->tick = event_new(kernel_base(k), -1, EV_PERSIST, tick_handle, r);
	return &r->service;
}
