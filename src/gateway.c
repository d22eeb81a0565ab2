#include "gatewaystate.h"

#include "clock.h"
#include "evacuation.h"
#include "heldbytes.h"
#include "job.h"
#include "log.h"
#include "message.h"
#include "retryafter.h"
#include "routedresult.h"
#include "warmup.h"

#include <malloc.h>
#include <string.h>

/*
 * VMs that are no longer chosen as entries still spend from the shared repeat budget, because
 * callers with an old address list go on using them. Up to two VMs may be replaced at once.
 */
#define REPLACED_VMS_MAX 2

/* Period in which the limits of cold leaves are adjusted to this VM's share, and ended. */
#define WARMUP_TICK_MS 100

/* Period in which answers that wait for room are resumed or given up, while there are any. */
#define HELD_TICK_MS 20

/*
 * With a bound, memory from this size is returned to the system when it is freed. glibc raises its
 * own threshold up to 32 MB, and freed bodies would then stay in the heap beside new ones.
 */
#define RETURNED_BYTES_MIN 131072

/* In a planned stop, requests are answered at least this long before the process ends. */
#define ANSWER_WRITE_MS 100

/* Refuses a request that no leaf has seen; why is a key and value for the log. */
static void request_refuse(struct gateway *g, struct http_request *request,
			   enum routed_result result, enum retryafter_reason reason,
			   const char *why)
{
	unsigned int status = routed_status(result);
	const struct http_reader *message = http_request_message(request);
	const char *id = http_reader_field_find(message, g->env.adapter->fields.request_id);
	const char *wait = http_reader_field_find(message, g->env.adapter->fields.deadline_ms);
	char fields[64];

	if (!log_request(LOG_LEVEL_WARNING, id, "request_refused", "status=%u %s", status, why))
		log_batch_add(LOG_BATCH_BRIEF, "%s:refused:%u:0/0", id ? id : "-", status);
	g_snprintf(fields, sizeof(fields), "Retry-After: %.3f\r\n",
		   retryafter_choose_s(reason, http_milliseconds_parse(wait),
				       clock_now_ms() - g->started_ms, g->env.rand));
	http_request_answer(request, status, fields, "", 0);
}

static void stop_announced(struct gateway *g)
{
	uint64_t now_us = clock_now_us();

	http_server_drain(g->server);
	job_answer_by_set(&g->env, now_us + (g->stop_limit_ms - ANSWER_WRITE_MS) * CLOCK_US_PER_MS,
			  now_us);
}

static void new_requests_refuse(struct gateway *g)
{
	g->is_refusing = true;
	http_server_stop_accepting(g->server);
}

static void server_request(void *arg, struct http_request *request)
{
	struct gateway *g = arg;

	if (g->is_refusing) {
		request_refuse(g, request, ROUTED_STOPPING, RETRYAFTER_STOPPING, "why=stopping");
	} else if (!g->map) {
		g->requests_not_ready++;
		request_refuse(g, request, ROUTED_NO_CONFIGURATION,
			       g->others_can_serve ? RETRYAFTER_NO_CONFIG : RETRYAFTER_ALL_STARTING,
			       "lacks=configuration");
	} else if (!heldbytes_admits(g->held, clock_now_ms())) {
		request_refuse(g, request, ROUTED_NO_MEMORY, RETRYAFTER_MEMORY, "why=memory");
	} else {
		job_start(&g->env, g->map, request);
	}
}

/* The request's body does not fit, so that the request is not read to its end. */
static void server_overfull(void *arg, struct http_request *request)
{
	struct gateway *g = arg;

	heldbytes_admits(g->held, clock_now_ms()); /* counts the refusal */
	request_refuse(g, request, ROUTED_NO_MEMORY, RETRYAFTER_MEMORY, "why=memory");
}

static void server_disconnected(void *arg, struct http_request *request)
{
	job_caller_left(request);
}

static void server_refused(void *arg, unsigned int status)
{
	struct gateway *g = arg;

	g->inputs_refused++;
	log_event(LOG_LEVEL_WARNING, "input_refused", "status=%u", status);
}

static const struct http_server_ops server_ops = {
	.request = server_request,
	.disconnected = server_disconnected,
	.overfull = server_overfull,
	.refused = server_refused,
};

static struct http_server_limits server_limits(const struct caller_limits *limits)
{
	return (struct http_server_limits){
		.message = {limits->head_bytes, limits->body_bytes},
		.head_ms = limits->head_ms,
		.idle_ms = limits->idle_ms,
	};
}

static void held_changed(void *arg, bool is_short)
{
	static const struct timeval period = {0, HELD_TICK_MS * 1000L};
	struct gateway *g = arg;
	const struct held_stats *stats = heldbytes_stats(g->held);

	if (is_short)
		event_add(g->held_tick, &period);
	else
		event_del(g->held_tick);
	log_event(is_short ? LOG_LEVEL_WARNING : LOG_LEVEL_INFO,
		  is_short ? "held_short" : "held_ample",
		  "bytes=%" G_GUINT64_FORMAT " bound=%" G_GUINT64_FORMAT
		  " paused_total=%" G_GUINT64_FORMAT " given_up_total=%" G_GUINT64_FORMAT
		  " refused_total=%" G_GUINT64_FORMAT,
		  heldbytes_total(g->held), heldbytes_bound_bytes(g->held), stats->paused,
		  stats->given_up, stats->refused);
}

static const struct heldbytes_ops held_ops = {.changed = held_changed};

static void held_tick_handle(evutil_socket_t fd, short what, void *arg)
{
	struct gateway *g = arg;

	heldbytes_advance(g->held, clock_now_ms());
}

static void warmup_changed(void *arg, const struct leaf *leaf, bool is_cold)
{
	if (is_cold)
		log_event(LOG_LEVEL_INFO, "leaf_cold",
			  "leaf=%s service=%s for_ms=%" G_GUINT64_FORMAT
			  " limit_per_s=%g own_per_s=%g",
			  leaf->id, leaf->service,
			  (leaf->warmup_until_us - clock_now_us()) / CLOCK_US_PER_MS,
			  leaf->warmup_calls_per_s, leaf->warmup_cap.rate_per_s);
	else
		log_event(LOG_LEVEL_INFO, "leaf_warm", "leaf=%s service=%s", leaf->id,
			  leaf->service);
}

static const struct warmup_ops warmup_ops = {.changed = warmup_changed};

static void rank_changed(const struct rank_state *state, void *arg)
{
	if (state->is_short)
		log_event(LOG_LEVEL_WARNING, "rank_short",
			  "service=%s rank=%u why=%s held=rank%u asked_per_s=%.1f", state->service,
			  state->rank, rank_verdict_name(state->refusal), state->holder,
			  state->asked_per_s);
	else
		log_event(LOG_LEVEL_INFO, "rank_served",
			  "service=%s rank=%u after_ms=%" G_GUINT64_FORMAT, state->service,
			  state->rank, (clock_now_us() - state->short_since_us) / CLOCK_US_PER_MS);
}

static void warmup_tick_handle(evutil_socket_t fd, short what, void *arg)
{
	struct gateway *g = arg;
	uint64_t now_us = clock_now_us();

	warmups_advance(g->env.warmups, vmshare_get(&g->env.vmshare, now_us), g->env.rand, now_us);
	if (g->env.ranks)
		ranks_advance(g->env.ranks, rank_changed, g, now_us);
	leafset_spread_advance(g->env.leaves, now_us);
}

static void spread_changed(void *arg, const char *service, const struct spread *spread)
{
	if (spread->is_in_force)
		log_event(LOG_LEVEL_INFO, "spread_begun",
			  "service=%s load_uneven=%.2f calls_uneven=%.2f", service,
			  spread->load_uneven, spread->calls_uneven);
	else
		log_event(LOG_LEVEL_INFO, "spread_ended",
			  "service=%s load_uneven=%.2f calls_uneven=%.2f", service,
			  spread->load_uneven, spread->calls_uneven);
}

static const struct leafset_spread_ops spread_ops = {.changed = spread_changed};

/* Takes the leaf's limit while it is cold from its service, and applies it if the leaf is cold. */
static void leaf_warmup_apply(struct gateway *g, struct leaf *leaf, uint64_t now_us)
{
	const struct routemap_service *service =
		g->map ? routemap_service_find(g->map, leaf->service) : NULL;

	leaf->warmup_calls_per_s = service ? service->warmup_calls_per_s : 0;
	warmups_note(g->env.warmups, leaf, vmshare_get(&g->env.vmshare, now_us), g->env.rand,
		     now_us);
}

static void leaves_warmup_apply(struct gateway *g, uint64_t now_us)
{
	GPtrArray *leaves = leafset_list(g->env.leaves, NULL);

	for (guint i = 0; i < leaves->len; i++)
		leaf_warmup_apply(g, g_ptr_array_index(leaves, i), now_us);
	g_ptr_array_free(leaves, TRUE);
}

static unsigned int restricted_routes_count(const struct routemap *m)
{
	unsigned int n = 0;

	for (guint i = 0; i < m->routes->len; i++)
		n += ((struct route *)g_ptr_array_index(m->routes, i))->regions != NULL;
	return n;
}

/* Logs when routes are restricted and no region is known, so that they are refused, and its end. */
static void regions_check(struct gateway *g)
{
	bool lacks_regions = g->map && g->map->has_regions && region_table_is_empty(g->regions);

	if (lacks_regions == g->lacks_regions)
		return;
	g->lacks_regions = lacks_regions;
	if (lacks_regions)
		log_event(LOG_LEVEL_WARNING, "regions_unknown",
			  "routes=%u version=%" G_GUINT64_FORMAT, restricted_routes_count(g->map),
			  g->map->version);
	else
		log_event(LOG_LEVEL_INFO, "regions_known", "version=%" G_GUINT64_FORMAT,
			  g->map ? g->map->version : 0);
}

/* The list must be valid. NULL: no region is known. */
static void regions_set(struct gateway *g, const char *list)
{
	struct region_table *table = region_table_parse(list, NULL);
	GPtrArray *changed;

	if (!table)
		return;
	changed = leafset_regions_set(g->env.leaves, table);
	region_table_destroy(g->regions);
	g->regions = table;
	if (changed->len > 0)
		log_event(LOG_LEVEL_INFO, "regions_changed", "leaves=%u", changed->len);
	/* Calls that were not sent yet are chosen anew: their routes may bar the leaf now. */
	for (guint i = 0; i < changed->len; i++)
		upstream_leaf_retire(g->env.upstream, g_ptr_array_index(changed, i));
	g_ptr_array_free(changed, TRUE);
	regions_check(g);
}

static void map_apply(struct gateway *g, struct routemap *map)
{
	struct http_server_limits limits = server_limits(&map->limits);

	if (g->map && g->map->version >= map->version)
		return;
	log_event(LOG_LEVEL_INFO, "config_applied",
		  "version=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT " routes=%u",
		  map->version, g->map ? g->map->version : 0, map->routes->len);
	counter_increment(kernel_counters(g->service.kernel), COUNTER_CONFIG_APPLIED);
	routemap_put(g->map);
	g->map = routemap_get(map);
	g->map->applied_ms = clock_now_ms();
	http_server_limits_set(g->server, &limits);
	leaves_warmup_apply(g, clock_now_us());
	regions_check(g);
}

static void leaf_apply(struct gateway *g, const struct leaf_updates_item *item, uint64_t now_us)
{
	struct leaf *old = leafset_find(g->env.leaves, item->id);
	struct leaf *leaf = NULL;
	enum leaf_change change;

	if (old)
		leaf_get(old);
	if (item->is_removed) {
		if (old && leafset_remove(g->env.leaves, item->id))
			log_event(LOG_LEVEL_INFO, "leaf_gone",
				  "leaf=%s service=%s revision=%" G_GUINT64_FORMAT, item->id,
				  old->service, item->revision);
	} else {
		change = leafset_update(g->env.leaves, item->id, &item->report, now_us, &leaf);
		if (change != LEAF_UNCHANGED)
			log_event(LOG_LEVEL_INFO, "leaf_changed",
				  "leaf=%s service=%s address=%s state=%s "
				  "revision=%" G_GUINT64_FORMAT,
				  item->id, leaf->service, leaf->address,
				  leaf_state_name(leaf->state), item->revision);
	}
	if (leaf) {
		leaf->is_evacuated = evacuations_cover(g->evacuations, leaf->dc);
		leaf_warmup_apply(g, leaf, now_us);
	}
	if (old && old->state != LEAF_READY)
		upstream_leaf_retire(g->env.upstream, old);
	leaf_put(old);
}

/* Sends the data centres of the leaves to the directory if they have changed. */
static void leaf_dcs_send(struct gateway *g)
{
	char **leaf_dcs = leafset_major_dcs(g->env.leaves);

	if (g->leaf_dcs &&
	    g_strv_equal((const char *const *)leaf_dcs, (const char *const *)g->leaf_dcs)) {
		g_strfreev(leaf_dcs);
		return;
	}
	g_strfreev(g->leaf_dcs);
	g->leaf_dcs = g_strdupv(leaf_dcs);
	kernel_message_send(g->service.kernel, kernel_service_find(g->service.kernel, "directory"),
			    &leaf_dcs_changed_create(leaf_dcs)->message);
}

static void leaf_updates_apply(struct gateway *g, const struct leaf_updates *updates)
{
	uint64_t now_us = clock_now_us();

	for (guint i = 0; i < updates->items->len; i++)
		leaf_apply(g, g_ptr_array_index(updates->items, i), now_us);
	leaf_dcs_send(g);
}

static void evacuation_begin(struct gateway *g, const struct evacuation_changed *changed)
{
	enum evacuation_change change =
		evacuations_begin(g->evacuations, changed->dc, changed->revision, clock_now_ms());
	GPtrArray *leaves;

	if (change == EVACUATION_REFUSED)
		log_event(LOG_LEVEL_WARNING, "evacuation_refused",
			  "key_bytes=%zu revision=%" G_GUINT64_FORMAT " known=%u",
			  strlen(changed->dc), changed->revision,
			  evacuations_count(g->evacuations));
	if (change != EVACUATION_BEGUN)
		return;
	leaves = leafset_list(g->env.leaves, changed->dc);
	for (guint i = 0; i < leaves->len; i++)
		((struct leaf *)g_ptr_array_index(leaves, i))->is_evacuated = true;
	log_event(LOG_LEVEL_INFO, "evacuation_begun",
		  "dc=%s revision=%" G_GUINT64_FORMAT " leaves=%u", changed->dc, changed->revision,
		  leaves->len);
	/* Their calls that were not sent yet go on to other leaves, so all flags are set by now. */
	for (guint i = 0; i < leaves->len; i++)
		upstream_leaf_retire(g->env.upstream, g_ptr_array_index(leaves, i));
	g_ptr_array_free(leaves, TRUE);
}

/*
 * The leaf is used again. It may have become cold without a call that told so, and its entry lags:
 * until the entry changes, it counts as cold for the time that its service names.
 */
static void evacuated_leaf_restore(struct gateway *g, struct leaf *leaf, uint64_t now_us)
{
	const struct routemap_service *service =
		g->map ? routemap_service_find(g->map, leaf->service) : NULL;

	leaf->is_evacuated = false;
	if (!service || service->warmup_calls_per_s <= 0)
		return;
	if (leaf->warmup_until_us < now_us + (uint64_t)service->warmup_ms * CLOCK_US_PER_MS)
		leaf_warmup_set(leaf, service->warmup_ms, now_us);
	leaf_warmup_apply(g, leaf, now_us);
}

static void evacuation_end(struct gateway *g, const struct evacuation_changed *changed)
{
	uint64_t now_us = clock_now_us();
	struct evacuation ended;
	GPtrArray *leaves;

	if (evacuations_end(g->evacuations, changed->dc, &ended) != EVACUATION_ENDED)
		return;
	leaves = leafset_list(g->env.leaves, changed->dc);
	for (guint i = 0; i < leaves->len; i++)
		evacuated_leaf_restore(g, g_ptr_array_index(leaves, i), now_us);
	g_ptr_array_free(leaves, TRUE);
	log_event(LOG_LEVEL_INFO, "evacuation_ended",
		  "dc=%s revision=%" G_GUINT64_FORMAT " after_ms=%" G_GUINT64_FORMAT, changed->dc,
		  changed->revision, clock_now_ms() - ended.since_ms);
}

/*
 * Only the chosen entry VMs call leaves, so the leaves' connection caps and the repeat budget are
 * divided among them.
 */
static void entries_apply(struct gateway *g, const struct entries_chosen *chosen)
{
	uint64_t now_us = clock_now_us();

	upstream_set_vms(g->env.upstream, chosen->n_entries, chosen->is_entry, now_us);
	repeats_vms_set(g->env.repeats, chosen->n_entries + REPLACED_VMS_MAX,
			chosen->n_vms - MIN(chosen->n_entries, chosen->n_vms), chosen->is_entry,
			now_us);
	vmshare_set(&g->env.vmshare, chosen->n_entries, chosen->n_vms, chosen->is_entry, now_us);
}

static void roster_apply(struct gateway *g, const struct roster *roster)
{
	g->others_can_serve = false;
	for (unsigned int i = 0; i < roster->n_vms; i++) {
		const struct roster_vm *vm = &roster->vms[i];

		g->others_can_serve =
			g->others_can_serve || (!vm->is_self && vm->is_available && vm->has_config);
	}
}

static void settings_apply(struct gateway *g, const struct settings_read *settings)
{
	struct repeats_limits limits = {settings->repeat_ratio, settings->repeat_slack,
					settings->repeat_window_ms * CLOCK_US_PER_MS};

	repeats_limits_set(g->env.repeats, &limits);
	regions_set(g, settings->dc_regions);
}

static void gateway_receive(struct service *s, struct message *m)
{
	struct gateway *g = (struct gateway *)s;

	switch ((enum message_kind)m->kind) {
	case MESSAGE_ROUTES_READ:
		map_apply(g, ((struct routes_read *)m)->map);
		break;
	case MESSAGE_LEAF_UPDATES:
		leaf_updates_apply(g, (struct leaf_updates *)m);
		break;
	case MESSAGE_EVACUATION_CHANGED:
		if (((struct evacuation_changed *)m)->is_begun)
			evacuation_begin(g, (struct evacuation_changed *)m);
		else
			evacuation_end(g, (struct evacuation_changed *)m);
		break;
	case MESSAGE_ROSTER_CHANGED:
		roster_apply(g, ((struct roster_changed *)m)->roster);
		break;
	case MESSAGE_ENTRIES_CHOSEN:
		entries_apply(g, (struct entries_chosen *)m);
		break;
	case MESSAGE_SETTINGS_READ:
		settings_apply(g, (struct settings_read *)m);
		break;
	case MESSAGE_STOP_ANNOUNCED:
		stop_announced(g);
		break;
	case MESSAGE_NEW_REQUESTS_REFUSED:
		new_requests_refuse(g);
		break;
	case MESSAGE_STATUS_REQUEST:
		if (strcmp(((struct status_request *)m)->topic, "metrics") == 0)
			gateway_metrics_answer(g, (struct status_request *)m);
		else if (strcmp(((struct status_request *)m)->topic, "configuration") == 0)
			gateway_configuration_answer(g, (struct status_request *)m);
		else
			gateway_status_answer(g, (struct status_request *)m);
		break;
	default:
		break;
	}
	message_destroy(m);
}

static void gateway_destroy(struct service *s)
{
	struct gateway *g = (struct gateway *)s;

	job_end_all(&g->env);
	http_server_destroy(g->server);
	upstream_destroy(g->env.upstream);
	if (g->held_tick)
		event_free(g->held_tick);
	heldbytes_destroy(g->held);
	if (g->warmup_tick)
		event_free(g->warmup_tick);
	warmups_destroy(g->env.warmups);
	leafset_destroy(g->env.leaves);
	region_table_destroy(g->regions);
	evacuations_destroy(g->evacuations);
	repeats_destroy(g->env.repeats);
	ranks_destroy(g->env.ranks);
	splits_destroy(g->env.splits);
	g_hash_table_destroy(g->env.stats);
	routemap_put(g->map);
	g_strfreev(g->leaf_dcs);
	g_free(g);
}

struct service *gateway_create(struct kernel *k, const struct adapter *adapter,
			       const struct gateway_settings *settings, GError **error)
{
	static const struct timeval warmup_period = {0, WARMUP_TICK_MS * 1000L};
	static const struct service_ops ops = {
		.name = "gateway",
		.receive = gateway_receive,
		.destroy = gateway_destroy,
	};
	struct gateway *g = g_new0(struct gateway, 1);
	struct routemap *defaults = routemap_create(0);
	struct http_server_limits limits = server_limits(&defaults->limits);

	routemap_put(defaults);
	g->service.ops = &ops;
	g->env.base = kernel_base(k);
	g->env.rand = kernel_rand(k);
	g->started_ms = clock_now_ms();
	g->stop_limit_ms = MAX(settings->stop_limit_ms, ANSWER_WRITE_MS);
	g->env.adapter = adapter;
	g->env.leaves = leafset_create(settings->dc);
	if (settings->has_spread) {
		leafset_spread_enable(g->env.leaves, g->env.rand, &spread_ops, g);
		leafset_draw_enable(g->env.leaves, g->env.rand);
	}
	g->evacuations = evacuations_create();
	g->env.warmups = warmups_create(&warmup_ops, g);
	g->warmup_tick = event_new(kernel_base(k), -1, EV_PERSIST, warmup_tick_handle, g);
	event_add(g->warmup_tick, &warmup_period);
	if (settings->held_bound_bytes > 0)
		mallopt(M_MMAP_THRESHOLD, RETURNED_BYTES_MIN);
	g->held = heldbytes_create(settings->held_bound_bytes, &held_ops, g);
	g->held_tick = event_new(kernel_base(k), -1, EV_PERSIST, held_tick_handle, g);
	g->env.held = g->held;
	g->env.upstream = upstream_create(kernel_base(k), g->held);
	g->env.repeats = repeats_create(&settings->repeats, clock_now_us());
	vmshare_init(&g->env.vmshare, clock_now_us());
	if (settings->features & FEATURE_RANKS)
		g->env.ranks = ranks_create();
	g->env.splits = splits_create();
	g->env.stats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, route_stats_free);
	list_init(&g->env.jobs);
	regions_set(g, settings->dc_regions);
	g->server = http_server_create(kernel_base(k), settings->address, &server_ops, g, &limits,
				       error);
	if (!g->server) {
		gateway_destroy(&g->service);
		return NULL;
	}
	http_server_hold(g->server, g->held);
	return &g->service;
}
