#include "feed.h"

#include "address.h"
#include "clock.h"
#include "copycheck.h"
#include "httpconn.h"
#include "log.h"
#include "message.h"
#include "registry.h"
#include "relay.h"

#include <string.h>

/*
 * Limit for connecting and for an answer, in addition to the time for which a watch call may be
 * held open. The store answers in 4 ms, or in 290 ms when it is slow; an answer that takes longer
 * than the limit counts as lost.
 */
#define ANSWER_TIMEOUT_MS 600
/*
 * An answer of which more arrives within each ANSWER_TIMEOUT_MS may take this long: six versions of
 * a large configuration over a slow link take seconds. The store counts as lost meanwhile.
 */
#define TRANSFER_MAX_MS 10000
/*
 * Pause after a watch call that returned changes, so that the next one returns many at once. The
 * pause delays changes; the strictest limit for one to be in force is three seconds.
 */
#define WATCH_PAUSE_MS 300
/*
 * First and longest pause after a failure. The pause doubles with each failure in a row and is
 * shortened at random by up to half.
 */
#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS 800
/*
 * An answer with this many removals of leaves is taken for entries that expired while the store was
 * unreachable, so the removals are held back.
 */
#define REMOVALS_HELD_MIN 3
/* A leaf's entry takes some hundred bytes; a larger one is neither used nor passed on. */
#define LEAF_ENTRY_BYTES_MAX 16384
#define TICK_MS 100
/* Prefix of every key of the store. */
#define ALL_KEYS ""

enum feed_state { FEED_IDLE, FEED_LISTING, FEED_WATCHING };

struct feed {
	struct service service;
	const struct adapter *adapter;
	struct feed_settings settings;
	struct sockaddr_in store;
	struct http_conn *client;
	struct registry *registry;
	struct event *tick;
	enum feed_state state;
	bool has_call; /* a call is in progress */
	bool is_open; /* the connection is established */
	bool reads_store; /* this VM reads the store itself */
	bool has_read; /* the store has answered since reads_store was set */
	uint64_t changed_ms; /* the changes that came last were complete as of this time */
	/* From a failure until an answer or reading_set; only the first failure is logged. */
	bool store_is_lost;
	GHashTable *told; /* keys, as shown, of the listing's unreadable entries so far */
	GPtrArray *listed; /* items of the listing's pages so far, for the relay; NULL: none yet */
	char *next_page; /* where the listing goes on; "" before the first page */
	struct position position; /* of the store; all changes up to it are known */
	struct position listing_position; /* of the listing's first page */
	struct copycheck *copycheck;
	uint64_t version; /* of the configuration that was sent to the services last */
	uint64_t version_era; /* in which it was read */
	bool era_fault_is_logged; /* on this connection */
	uint64_t answered_ms; /* the store's last answer */
	uint64_t next_call_ms; /* earliest time of the next call */
	uint64_t answer_by_ms; /* when the connection attempt or the call in progress times out */
	uint64_t transfer_by_ms; /* as answer_by_ms, while the answer makes progress */
	uint64_t received_bytes; /* on the connection, when answer_by_ms was set */
	uint64_t answer_begun_ms; /* when the answer was first seen to arrive; 0: not yet */
	unsigned int failures; /* in a row */
	uint64_t lost_since_ms; /* valid while store_is_lost */
};

/* Sends an answer of the store to the relay; takes over the answer's items. */
static void relay_send(struct feed *f, struct store_answer *answer, bool is_listing)
{
	struct store_update *update = store_update_create(answer, is_listing);

	update->is_current = !f->store_is_lost && f->reads_store && f->state == FEED_WATCHING;
	kernel_message_send(f->service.kernel, kernel_service_find(f->service.kernel, "relay"),
			    &update->message);
}

static void client_close(struct feed *f)
{
	http_conn_destroy(f->client);
	f->client = NULL;
	f->has_call = false;
	f->is_open = false;
	f->era_fault_is_logged = false;
}

static void store_lost(struct feed *f, const char *why)
{
	struct store_answer nothing = {0};

	if (f->store_is_lost)
		return;
	f->store_is_lost = true;
	f->lost_since_ms = clock_now_ms();
	relay_send(f, &nothing, false);
	log_event(LOG_LEVEL_WARNING, "store_lost", "why=\"%s\" revision=%" G_GUINT64_FORMAT, why,
		  f->position.revision);
}

static void feed_fail(struct feed *f, const char *why)
{
	GRand *rand = kernel_rand(f->service.kernel);
	gint32 pause_ms = MIN(RETRY_FIRST_MS << MIN(f->failures, 8), RETRY_MAX_MS);

	client_close(f);
	f->failures++;
	f->next_call_ms = clock_now_ms() + (uint64_t)g_rand_int_range(rand, pause_ms / 2, pause_ms);
	counter_increment(kernel_counters(f->service.kernel), COUNTER_PLATFORM_FAILURES);
	store_lost(f, why);
}

static void store_answered(struct feed *f)
{
	uint64_t now_ms = clock_now_ms();
	bool was_away = f->failures > 0; /* a slow answer is no failure */

	f->failures = 0;
	f->has_read = true;
	f->answered_ms = now_ms;
	if (!f->store_is_lost)
		return;
	f->store_is_lost = false;
	if (was_away)
		registry_store_returned(f->registry, now_ms);
	log_event(LOG_LEVEL_INFO, "store_back",
		  "after_ms=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT,
		  now_ms - f->lost_since_ms, f->position.revision);
}

/*
 * Empties a malformed value, so that no VM passes it on. The relay keeps the value of the key that
 * it has read last.
 */
static void value_clear(struct store_item *item)
{
	item->n_value = 0;
}

static void copy_value_log(const struct store_item *item, const char *why)
{
	log_event(LOG_LEVEL_INFO, "store_copy_outdated",
		  "key=%.200s era=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT " why=\"%s\"",
		  item->key, item->position.era, item->position.revision, why);
}

static void routes_apply(struct feed *f, struct store_item *item)
{
	static const char *const services[] = {"gateway", "membership", "directory"};
	struct kernel *k = f->service.kernel;
	GError *error = NULL;
	struct routemap *map = NULL;

	if (item->n_value > RELAY_VALUE_BYTES_MAX)
		g_set_error(&error, RESULT_ERROR, RESULT_BAD_MANIFEST,
			    "configuration has %zu bytes", item->n_value);
	else
		map = f->adapter->ops->routes_parse(f->adapter, item->value, item->n_value, &error);
	if (!map) {
		counter_increment(kernel_counters(k), COUNTER_CONFIG_REFUSED);
		log_event(LOG_LEVEL_WARNING, "config_refused",
			  "revision=%" G_GUINT64_FORMAT " reason=\"%s\"", item->position.revision,
			  error->message);
		g_error_free(error);
		value_clear(item);
		return;
	}
	if (item->position.era > f->version_era && map->version < f->version) {
		copy_value_log(item, "lower version");
		value_clear(item);
		routemap_put(map);
		return;
	}
	f->version = map->version;
	f->version_era = item->position.era;
	routemap_text_set(map, item->value, item->n_value);
	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		kernel_message_send(k, kernel_service_find(k, services[i]),
				    &routes_read_create(map)->message);
	routemap_put(map);
}

static void entry_refuse(struct feed *f, const char *key, uint64_t revision, const char *why)
{
	counter_increment(kernel_counters(f->service.kernel), COUNTER_STORE_ENTRIES_REFUSED);
	log_event(LOG_LEVEL_WARNING, "leaf_entry_refused",
		  "key=%.200s revision=%" G_GUINT64_FORMAT " reason=\"%s\"", key, revision, why);
}

/* Adds the leaf to the updates, unless its entry is malformed: a known leaf stays as last read. */
static void leaf_apply(struct feed *f, struct leaf_updates *updates, struct store_item *item)
{
	const char *id = item->key + strlen(f->adapter->leaf_prefix);
	struct leaf_report report = {0};
	GError *error = NULL;

	if (!http_field_value_is_token(id))
		g_set_error(&error, RESULT_ERROR, RESULT_BAD_MANIFEST, "id cannot be sent");
	else if (item->n_value > LEAF_ENTRY_BYTES_MAX)
		g_set_error(&error, RESULT_ERROR, RESULT_BAD_MANIFEST, "leaf entry has %zu bytes",
			    item->n_value);
	else
		f->adapter->ops->leaf_parse(f->adapter, item->value, item->n_value, &report,
					    &error);
	if (error) {
		entry_refuse(f, item->key, item->position.revision, error->message);
		g_error_free(error);
		value_clear(item);
		return;
	}
	if (copycheck_is_older(f->copycheck, item->key, &report, item->position)) {
		copy_value_log(item, "older report");
		value_clear(item);
		leaf_report_clear(&report);
		return;
	}
	copycheck_value_note(f->copycheck, item->key, &report, item->position);
	leaf_updates_add(updates, id, item->position.revision)->report = report;
}

static bool is_leaf(const struct feed *f, const struct store_item *item)
{
	return g_str_has_prefix(item->key, f->adapter->leaf_prefix);
}

static bool is_evacuation(const struct feed *f, const char *key)
{
	return g_str_has_prefix(key, f->adapter->evacuation_prefix);
}

static void evacuation_send(struct feed *f, const char *key, bool is_begun, uint64_t revision)
{
	struct kernel *k = f->service.kernel;
	const char *dc = key + strlen(f->adapter->evacuation_prefix);

	kernel_message_send(k, kernel_service_find(k, "gateway"),
			    &evacuation_changed_create(dc, is_begun, revision)->message);
}

static void evacuation_apply(struct feed *f, const struct store_item *item)
{
	copycheck_value_note(f->copycheck, item->key, NULL, item->position);
	evacuation_send(f, item->key, true, item->position.revision);
}

static unsigned int removal_count(const struct feed *f, const GPtrArray *items)
{
	unsigned int n = 0;

	for (guint i = 0; i < items->len; i++) {
		const struct store_item *item = g_ptr_array_index(items, i);

		n += is_leaf(f, item) && !item->value;
	}
	return n;
}

/*
 * Adds to the updates the removals of leaves that are due now, and sends the updates to the gateway
 * unless there are none. Reports the evacuations whose end is due. Takes over the updates.
 */
static void leaf_updates_send(struct feed *f, struct leaf_updates *updates)
{
	struct kernel *k = f->service.kernel;
	uint64_t now_ms = clock_now_ms();
	struct position position = {0};
	char *key;

	while ((key = registry_due_removal_take(f->registry, now_ms, &position))) {
		const char *id = key + strlen(f->adapter->leaf_prefix);

		if (is_evacuation(f, key))
			evacuation_send(f, key, false, position.revision);
		else
			leaf_updates_add(updates, id, position.revision)->is_removed = true;
		copycheck_removal_note(f->copycheck, key, position.era, now_ms);
		g_free(key);
	}
	if (updates->items->len > 0)
		kernel_message_send(k, kernel_service_find(k, "gateway"), &updates->message);
	else
		message_destroy(&updates->message);
}

static void older_change_log(const struct feed *f, const struct store_item *item)
{
	struct position known = registry_position(f->registry, item->key);

	if (position_compare(item->position, known) != 0)
		log_event(LOG_LEVEL_INFO, "store_change_ignored",
			  "key=%.200s revision=%" G_GUINT64_FORMAT " known=%" G_GUINT64_FORMAT
			  " era=%" G_GUINT64_FORMAT " known_era=%" G_GUINT64_FORMAT,
			  item->key, item->position.revision, known.revision, item->position.era,
			  known.era);
}

/* Takes out of a listing the keys that were removed after the copy of the store was made. */
static void removed_keys_drop(const struct feed *f, struct store_answer *answer)
{
	for (guint i = answer->items->len; i > 0; i--) {
		const struct store_item *item = g_ptr_array_index(answer->items, i - 1);
		struct leaf_report report = {0};
		bool is_older;

		if (!item->value || !copycheck_is_removed(f->copycheck, item->key))
			continue;
		if (is_leaf(f, item))
			is_older = f->adapter->ops->leaf_parse(f->adapter, item->value,
							       item->n_value, &report, NULL) &&
				   copycheck_is_older(f->copycheck, item->key, &report,
						      item->position);
		else
			is_older =
				copycheck_is_older(f->copycheck, item->key, NULL, item->position);
		leaf_report_clear(&report);
		if (!is_older)
			continue;
		copy_value_log(item, "removed since");
		g_ptr_array_remove_index(answer->items, i - 1);
	}
}

static void items_apply(struct feed *f, const struct store_answer *answer)
{
	struct leaf_updates *updates = leaf_updates_create();
	bool holds_removals = removal_count(f, answer->items) >= REMOVALS_HELD_MIN;

	for (guint i = 0; i < answer->items->len; i++) {
		struct store_item *item = g_ptr_array_index(answer->items, i);
		bool is_routes = strcmp(item->key, f->adapter->routes_key) == 0;
		bool evacuates = is_evacuation(f, item->key);

		if (!is_routes && !evacuates && !is_leaf(f, item))
			continue;
		if (!item->value) {
			if (!is_routes &&
			    registry_remove(f->registry, item->key, item->position,
					    holds_removals && !evacuates, item->read_ms))
				copycheck_removal_note(f->copycheck, item->key, item->position.era,
						       clock_now_ms());
			continue;
		}
		if (!registry_put(f->registry, item->key, item->position, answer->position)) {
			older_change_log(f, item);
			continue;
		}
		if (is_routes)
			routes_apply(f, item);
		else if (evacuates) /* whatever the value is */
			evacuation_apply(f, item);
		else
			leaf_apply(f, updates, item);
	}
	leaf_updates_send(f, updates);
}

/* Empties the values that no VM uses, so that the relay does not send them to all VMs. */
static void items_trim(const struct feed *f, struct store_answer *answer)
{
	for (guint i = 0; i < answer->items->len; i++) {
		struct store_item *item = g_ptr_array_index(answer->items, i);

		if (strcmp(item->key, f->adapter->routes_key) != 0 &&
		    (!is_leaf(f, item) || item->n_value > LEAF_ENTRY_BYTES_MAX))
			value_clear(item);
	}
}

static void entry_unreadable(struct feed *f, const char *name, const char *value, uint64_t revision)
{
	counter_increment(kernel_counters(f->service.kernel), COUNTER_STORE_ENTRIES_REFUSED);
	log_event(LOG_LEVEL_WARNING, "store_entry_unreadable",
		  "%s=%.200s revision=%" G_GUINT64_FORMAT, name, value, revision);
}

/* Leaves out the items whose keys VMs cannot pass on. */
static void long_keys_drop(struct feed *f, struct store_answer *answer)
{
	for (guint i = answer->items->len; i > 0; i--) {
		const struct store_item *item = g_ptr_array_index(answer->items, i - 1);

		if (strlen(item->key) <= RELAY_KEY_BYTES_MAX)
			continue;
		if (item->value) {
			g_autofree char *shown = g_uri_escape_string(item->key, "/", FALSE);

			entry_unreadable(f, "key", shown, item->position.revision);
		}
		g_ptr_array_remove_index(answer->items, i - 1);
	}
}

/*
 * Counts and logs each entry of an answer that could not be read, once in a listing: a page may
 * begin with entries at which the one before has ended.
 */
static void unreadable_tell(struct feed *f, const struct store_answer *answer)
{
	for (guint i = 0; answer->unreadable && i < answer->unreadable->len; i++) {
		const struct store_unreadable *u = g_ptr_array_index(answer->unreadable, i);
		g_autofree char *position = g_strdup_printf("%u", u->position);

		if (!u->shown)
			entry_unreadable(f, "position", position, answer->position.revision);
		else if (f->state != FEED_LISTING || g_hash_table_add(f->told, g_strdup(u->shown)))
			entry_unreadable(f, "key", u->shown, answer->position.revision);
	}
}

/*
 * Adds to a page of a listing an item with an empty value for each unreadable entry of a leaf, or
 * of a key that is known, so that neither this VM nor one that follows it takes the key for
 * removed. The revision of the entry is unknown; one after the listing is higher. In a watch an
 * entry that is left out changes nothing.
 */
static void unreadable_keep(struct feed *f, struct store_answer *answer)
{
	for (guint i = 0; answer->unreadable && i < answer->unreadable->len; i++) {
		const struct store_unreadable *u = g_ptr_array_index(answer->unreadable, i);
		struct store_item *item;

		if (!u->key || strlen(u->key) > RELAY_KEY_BYTES_MAX ||
		    (!g_str_has_prefix(u->key, f->adapter->leaf_prefix) &&
		     !registry_knows(f->registry, u->key)))
			continue;
		item = g_new0(struct store_item, 1);
		item->key = g_strdup(u->key);
		item->value = g_strdup("");
		item->position = f->listing_position;
		registry_put(f->registry, item->key, item->position, answer->position);
		g_ptr_array_add(answer->items, item);
	}
}

/* Appends the items of a page to those of the listing; takes them over. */
static void listed_append(struct feed *f, struct store_answer *answer)
{
	if (!f->listed)
		f->listed = g_ptr_array_new_with_free_func(store_item_free);
	g_ptr_array_extend_and_steal(f->listed, answer->items);
	answer->items = NULL;
}

static void listing_page_apply(struct feed *f, struct store_answer *answer)
{
	struct store_answer whole = {0};

	if (!*f->next_page) {
		registry_listing_begin(f->registry);
		f->listing_position = answer->position;
	}
	removed_keys_drop(f, answer);
	items_apply(f, answer);
	items_trim(f, answer);
	unreadable_keep(f, answer);
	if (answer->has_more) {
		g_free(f->next_page);
		f->next_page = g_steal_pointer(&answer->next);
		listed_append(f, answer);
		return;
	}
	listed_append(f, answer);
	/*
	 * The pages are read at different revisions, so the watch starts at the first page's
	 * revision. Later pages may hold some of the changes that it then returns.
	 */
	registry_listing_end(f->registry, f->listing_position, clock_now_ms());
	f->position = f->listing_position;
	f->state = FEED_WATCHING;
	whole.items = g_steal_pointer(&f->listed);
	whole.position = f->position;
	relay_send(f, &whole, true);
	log_event(LOG_LEVEL_INFO, "store_listed",
		  "era=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT " keys=%u",
		  f->position.era, f->position.revision, registry_count(f->registry));
}

static void listing_start(struct feed *f)
{
	f->state = FEED_LISTING;
	if (f->listed)
		g_ptr_array_free(g_steal_pointer(&f->listed), TRUE);
	g_free(f->next_page);
	f->next_page = g_strdup("");
	g_hash_table_remove_all(f->told);
}

/*
 * When the removals in the store's answer could first be read. A VM that has just begun to read the
 * store may have missed them since the changes that it last heard of.
 */
static uint64_t answer_read_ms(const struct feed *f)
{
	if (!f->has_read)
		return f->changed_ms;
	/* A large answer arrives for seconds; the store had made it when it began to. */
	return f->answer_begun_ms ? f->answer_begun_ms : clock_now_ms();
}

static void items_read_time_set(struct store_answer *answer, uint64_t read_ms)
{
	for (guint i = 0; i < answer->items->len; i++)
		((struct store_item *)g_ptr_array_index(answer->items, i))->read_ms = read_ms;
}

/*
 * Where a listing goes on after a page without any key: right before the next keys that VMs use.
 * NULL when keys that VMs use may lie between, or when none follow.
 */
static char *unused_skip(const struct feed *f)
{
	const struct adapter *adapter = f->adapter;
	const char *used[] = {adapter->routes_key, adapter->evacuation_prefix,
			      adapter->leaf_prefix};
	const struct store_item *last = f->listed && f->listed->len > 0
						? g_ptr_array_index(f->listed, f->listed->len - 1)
						: NULL;
	const char *position = last ? last->key : "";
	const char *first = NULL;
	g_autofree char *before = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(used); i++) {
		if (g_str_has_prefix(position, used[i]) && strcmp(position, used[0]) != 0)
			return NULL;
		if (strcmp(used[i], position) > 0 && (!first || strcmp(used[i], first) < 0))
			first = used[i];
	}
	/* The text without its last character sorts before all keys that begin with it. */
	before = first ? g_strndup(first, strlen(first) - 1) : NULL;
	return before && strcmp(before, position) > 0 ? adapter->ops->list_next(adapter, before)
						      : NULL;
}

static void answer_apply(struct feed *f, const struct http_reader *message)
{
	struct store_answer answer = {0};
	GError *error = NULL;
	size_t n;
	const char *body = http_reader_body(message, &n);

	if (!f->adapter->ops->answer_parse(f->adapter, body, n, &answer, &error)) {
		if (f->state == FEED_WATCHING)
			listing_start(f);
		feed_fail(f, error->message);
		g_error_free(error);
		return;
	}
	if (f->state == FEED_LISTING && answer.has_more && !answer.next)
		answer.next = unused_skip(f);
	if (f->state == FEED_LISTING && answer.has_more &&
	    (!answer.next || strcmp(answer.next, f->next_page) == 0)) {
		feed_fail(f, answer.next ? "page without a new key" : "page without a key");
		store_answer_clear(&answer);
		return;
	}
	store_answer_era_set(&answer, f->position.era);
	items_read_time_set(&answer, answer_read_ms(f));
	store_answered(f);
	if (answer.items->len > 0)
		f->changed_ms = clock_now_ms();
	unreadable_tell(f, &answer);
	long_keys_drop(f, &answer);
	if (f->state == FEED_LISTING) {
		listing_page_apply(f, &answer);
	} else {
		items_apply(f, &answer);
		items_trim(f, &answer);
		registry_complete(f->registry, answer.position);
		f->position = position_max(f->position, answer.position);
		if (answer.items->len > 0)
			f->next_call_ms = clock_now_ms() + WATCH_PAUSE_MS;
		relay_send(f, &answer, false);
	}
	store_answer_clear(&answer);
}

/*
 * How long the store may hold the next watch call. After a failure the store is asked to answer at
 * once: it may never answer a call that it received while it was silent, and without a wait the
 * call times out after ANSWER_TIMEOUT_MS. The first call confirms at once what this VM knows. The
 * wait counts from the last answer, so that a store that falls silent during the pause after it is
 * noticed no later than one that falls silent during a call.
 */
static unsigned int watch_wait_ms(const struct feed *f, uint64_t now_ms)
{
	if (f->store_is_lost || !f->has_read)
		return 0;
	return f->settings.wait_ms -
	       (unsigned int)MIN(now_ms - f->answered_ms, f->settings.wait_ms);
}

static void feed_call(struct feed *f, uint64_t now_ms)
{
	g_autofree char *target = NULL;
	g_autofree char *request = NULL;

	if (f->state == FEED_LISTING) {
		target = f->adapter->ops->list_target(f->adapter, ALL_KEYS, f->next_page);
		f->answer_by_ms = now_ms + ANSWER_TIMEOUT_MS;
	} else {
		unsigned int wait_ms = watch_wait_ms(f, now_ms);

		target = f->adapter->ops->watch_target(f->adapter, ALL_KEYS, f->position.revision,
						       wait_ms);
		f->answer_by_ms = now_ms + wait_ms + ANSWER_TIMEOUT_MS;
	}
	f->transfer_by_ms = now_ms + TRANSFER_MAX_MS;
	f->received_bytes = http_conn_received_bytes(f->client);
	f->answer_begun_ms = 0;
	request = g_strdup_printf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target,
				  f->settings.store_address);
	counter_increment(kernel_counters(f->service.kernel), COUNTER_PLATFORM_READS);
	f->has_call = true;
	http_conn_send(f->client, request, strlen(request));
}

/*
 * The era of an answer of the store. One that names none, or in a form that cannot be used, counts
 * as of the era known.
 */
static uint64_t answer_era(struct feed *f, const struct http_reader *answer)
{
	uint64_t era = 0;
	enum store_era named = f->adapter->ops->era_parse(f->adapter, answer, &era);

	if (named == STORE_ERA_NAMED)
		return era;
	if (named == STORE_ERA_ABSENT && f->position.era == 0)
		return 0;
	counter_increment(kernel_counters(f->service.kernel), COUNTER_STORE_ERA_FAULTS);
	if (!f->era_fault_is_logged)
		log_event(LOG_LEVEL_WARNING, "store_era_unusable",
			  "field=%s known=%" G_GUINT64_FORMAT, store_era_name(named),
			  f->position.era);
	f->era_fault_is_logged = true;
	return f->position.era;
}

static void earlier_era_refuse(struct feed *f, uint64_t era)
{
	counter_increment(kernel_counters(f->service.kernel), COUNTER_STORE_ERA_FAULTS);
	log_event(LOG_LEVEL_WARNING, "store_era_refused",
		  "era=%" G_GUINT64_FORMAT " known=%" G_GUINT64_FORMAT, era, f->position.era);
	feed_fail(f, "earlier era");
}

/*
 * Notes that the store is in a later era: it has come back from an older copy of itself, and gives
 * revisions out again. All keys are listed anew; until then the content stays in use. Returns
 * false when nothing of an earlier era is known.
 */
static bool era_begin(struct feed *f, uint64_t era)
{
	struct position before = f->position;

	f->position = (struct position){.era = era};
	if (before.revision == 0 && registry_count(f->registry) == 0)
		return false;
	counter_increment(kernel_counters(f->service.kernel), COUNTER_STORE_RETURNS);
	log_event(LOG_LEVEL_WARNING, "store_era_begun",
		  "era=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT
		  " revision_before=%" G_GUINT64_FORMAT " keys=%u",
		  era, before.era, before.revision, registry_count(f->registry));
	listing_start(f);
	return true;
}

static bool client_answered(struct http_conn *client, void *arg, const struct http_reader *answer,
			    bool reusable)
{
	struct feed *f = arg;
	unsigned int status = http_reader_status(answer);
	bool begins_listing = f->state == FEED_LISTING && !*f->next_page;
	uint64_t era = answer_era(f, answer);
	bool is_usable;

	f->has_call = false;
	if (era < f->position.era) {
		earlier_era_refuse(f, era);
		return true;
	}
	/* In an era that begins with this answer, only the first page of a listing can be used. */
	is_usable = era == f->position.era || !era_begin(f, era) || begins_listing;
	if (status == 200 && !is_usable) {
		store_answered(f);
	} else if (status == 200) {
		answer_apply(f, answer);
	} else if (status == 410) {
		log_event(LOG_LEVEL_INFO, "store_history_lost", "revision=%" G_GUINT64_FORMAT,
			  f->position.revision);
		listing_start(f);
	} else {
		g_autofree char *why = g_strdup_printf("status %u", status);

		feed_fail(f, why);
		return true;
	}
	if (f->client && !reusable)
		client_close(f);
	/* A listing is read without pauses between its calls. */
	if (f->client && f->state == FEED_LISTING)
		feed_call(f, clock_now_ms());
	return true;
}

static void client_opened(struct http_conn *client, void *arg)
{
	struct feed *f = arg;

	f->is_open = true;
	http_conn_keepalive_enable(client);
	feed_call(f, clock_now_ms());
}

static void client_failed(struct http_conn *client, void *arg, enum http_failure why)
{
	struct feed *f = arg;

	if (why == HTTP_FAILURE_CLOSED) {
		client_close(f);
		return;
	}
	/*
	 * The answer is malformed or too large: a watch returns every version since the known
	 * revision, a listing only the last one of each key.
	 */
	if (why == HTTP_FAILURE_GARBAGE && f->state == FEED_WATCHING)
		listing_start(f);
	feed_fail(f, http_failure_name(why));
}

static const struct http_conn_ops client_ops = {
	.opened = client_opened,
	.answered = client_answered,
	.failed = client_failed,
};

/*
 * The store's answers hold at most about 500 items or 1 MB; a whole configuration is one item.
 * head_bytes is not applied to answers.
 */
static const struct http_limits answer_limits = {.head_bytes = 65536, .body_bytes = 8u << 20};

/* Gives an answer that has begun to arrive more time; false when it makes no progress. */
static bool answer_extend(struct feed *f, uint64_t now_ms)
{
	uint64_t received_bytes = http_conn_received_bytes(f->client);

	if (!f->is_open || received_bytes == f->received_bytes || now_ms >= f->transfer_by_ms)
		return false;
	f->received_bytes = received_bytes;
	f->answer_by_ms = now_ms + ANSWER_TIMEOUT_MS;
	store_lost(f, "slow answer");
	return true;
}

static void feed_advance(struct feed *f, uint64_t now_ms)
{
	if (!f->reads_store)
		return;
	if (f->client && (f->has_call || !f->is_open)) {
		if (f->answer_begun_ms == 0 &&
		    http_conn_received_bytes(f->client) > f->received_bytes)
			f->answer_begun_ms = now_ms;
		if (now_ms >= f->answer_by_ms && !answer_extend(f, now_ms))
			feed_fail(f, f->is_open ? "no answer" : "no connection");
		return;
	}
	if (now_ms < f->next_call_ms)
		return;
	if (f->client) {
		feed_call(f, now_ms);
		return;
	}
	f->answer_by_ms = now_ms + ANSWER_TIMEOUT_MS;
	f->client = http_conn_create(kernel_base(f->service.kernel), &f->store, &client_ops, f,
				     &answer_limits);
	if (!f->client)
		feed_fail(f, "no socket");
}

static void tick_handle(evutil_socket_t fd, short what, void *arg)
{
	struct feed *f = arg;

	leaf_updates_send(f, leaf_updates_create());
	feed_advance(f, clock_now_ms());
}

static gboolean feed_start(struct service *s, GError **error)
{
	static const struct timeval period = {0, TICK_MS * 1000L};
	struct feed *f = (struct feed *)s;

	listing_start(f);
	event_add(f->tick, &period);
	return TRUE;
}

/* Applies what another VM has read from the store. */
static void peer_update_apply(struct feed *f, struct store_update *update)
{
	struct position position = update->answer.position;

	/* The store has told this VM of a later era than the peer knows. */
	if (position.era < f->position.era)
		return;
	if (position.era > f->position.era && era_begin(f, position.era)) {
		/* The answer to a call in progress is none to the listing that begins. */
		client_close(f);
		f->next_call_ms = 0;
	}
	if (update->is_listing) {
		registry_listing_begin(f->registry);
		removed_keys_drop(f, &update->answer);
	}
	items_apply(f, &update->answer);
	f->changed_ms = MAX(f->changed_ms, update->asked_ms);
	if (update->is_listing)
		registry_listing_end(f->registry, position, clock_now_ms());
	registry_complete(f->registry, position);
	f->position = position_max(f->position, position);
	/*
	 * What the peer has read makes a listing by this VM unnecessary. While there is a
	 * connection to the store, a listing may be in progress and the state stays.
	 */
	if (f->position.revision > 0 && !f->client)
		f->state = FEED_WATCHING;
}

/* Starts or stops reading the store. */
static void reading_set(struct feed *f, bool reads_store)
{
	f->reads_store = reads_store;
	f->has_read = false;
	if (!reads_store)
		client_close(f);
	f->store_is_lost = false;
	f->failures = 0;
	f->next_call_ms = 0;
	feed_advance(f, clock_now_ms());
}

static void feed_receive(struct service *s, struct message *m)
{
	struct feed *f = (struct feed *)s;

	if (m->kind == MESSAGE_STORE_UPDATE)
		peer_update_apply(f, (struct store_update *)m);
	else if (m->kind == MESSAGE_STORE_READING)
		reading_set(f, ((struct store_reading *)m)->is_wanted);
	message_destroy(m);
}

static void feed_destroy(struct service *s)
{
	struct feed *f = (struct feed *)s;

	http_conn_destroy(f->client);
	registry_destroy(f->registry);
	copycheck_destroy(f->copycheck);
	event_free(f->tick);
	if (f->listed)
		g_ptr_array_free(f->listed, TRUE);
	g_free(f->next_page);
	g_hash_table_destroy(f->told);
	g_free((char *)f->settings.store_address);
	g_free(f);
}

struct service *feed_create(struct kernel *k, const struct adapter *adapter,
			    const struct feed_settings *settings, GError **error)
{
	static const struct service_ops ops = {
		.name = "feed",
		.start = feed_start,
		.receive = feed_receive,
		.destroy = feed_destroy,
	};
	struct feed *f = g_new0(struct feed, 1);

	f->service.ops = &ops;
	f->adapter = adapter;
	f->settings = *settings;
	f->settings.store_address = g_strdup(settings->store_address);
	f->registry = registry_create(settings->report_ms);
	f->copycheck = copycheck_create();
	f->told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->tick = event_new(kernel_base(k), -1, EV_PERSIST, tick_handle, f);
	if (!address_parse(settings->store_address, &f->store)) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING, "'%s' is not IP:PORT",
			    settings->store_address);
		feed_destroy(&f->service);
		return NULL;
	}
	return &f->service;
}
