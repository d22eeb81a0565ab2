#include "gateway.h"

#include "clock.h"
#include "evacuation.h"
#include "heldbytes.h"
#include "job.h"
#include "log.h"
#include "message.h"
#include "retryafter.h"
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

struct gateway {
	struct service service;
	struct job_env env;
	struct http_server *server;
	struct routemap *map; /* NULL before the first configuration */
	struct evacuations *evacuations;
	struct event *warmup_tick;
	struct heldbytes *held;
	struct event *held_tick; /* pending while bytes are short */
	char **leaf_dcs; /* data centres as last sent to the directory; NULL: not sent yet */
	uint64_t inputs_refused; /* inputs that were not a valid request */
	uint64_t requests_not_ready; /* requests that came before the first configuration */
	uint64_t started_ms;
	uint64_t stop_limit_ms;
	bool others_can_serve; /* another VM that can be reached has a configuration */
	bool is_refusing; /* a planned stop ends: new requests are refused */
};

/* Refuses a request that no leaf has seen; why is a key and value for the log. */
static void request_refuse(struct gateway *g, struct http_request *request,
			   enum retryafter_reason reason, const char *why)
{
	const struct http_reader *message = http_request_message(request);
	const char *id = http_reader_field_find(message, g->env.adapter->fields.request_id);
	const char *wait = http_reader_field_find(message, g->env.adapter->fields.deadline_ms);
	char fields[64];

	if (!log_request(LOG_LEVEL_WARNING, id, "request_refused", "status=503 %s", why))
		log_batch_add(LOG_BATCH_BRIEF, "%s:refused:503:0/0", id ? id : "-");
	g_snprintf(fields, sizeof(fields), "Retry-After: %.3f\r\n",
		   retryafter_choose_s(reason, http_milliseconds_parse(wait),
				       clock_now_ms() - g->started_ms, g->env.rand));
	http_request_answer(request, 503, fields, "", 0);
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
		request_refuse(g, request, RETRYAFTER_STOPPING, "why=stopping");
	} else if (!g->map) {
		g->requests_not_ready++;
		request_refuse(g, request,
			       g->others_can_serve ? RETRYAFTER_NO_CONFIG : RETRYAFTER_ALL_STARTING,
			       "lacks=configuration");
	} else if (!heldbytes_admits(g->held, clock_now_ms())) {
		request_refuse(g, request, RETRYAFTER_MEMORY, "why=memory");
	} else {
		job_start(&g->env, g->map, request);
	}
}

/* The request's body does not fit, so that the request is not read to its end. */
static void server_overfull(void *arg, struct http_request *request)
{
	struct gateway *g = arg;

	heldbytes_admits(g->held, clock_now_ms()); /* counts the refusal */
	request_refuse(g, request, RETRYAFTER_MEMORY, "why=memory");
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

static void route_stats_add(json_t *routes, const char *key, const struct route_stats *stats)
{
	json_t *route = json_object();

	for (int i = 0; i < JOB_OUTCOME_COUNT; i++)
		json_object_set_new(route, job_outcome_name((enum job_outcome)i),
				    json_integer((json_int_t)stats->outcomes[i]));
	json_object_set_new(route, "p50_us",
			    json_integer((json_int_t)hist_quantile(stats->answer_us, 0.5)));
	json_object_set_new(route, "p99_us",
			    json_integer((json_int_t)hist_quantile(stats->answer_us, 0.99)));
	json_object_set_new(routes, key, route);
}

static void route_metrics_append(GString *out, const char *route, const struct route_stats *stats)
{
	static const double quantiles[] = {0.5, 0.95, 0.99};

	for (int i = 0; i < JOB_OUTCOME_COUNT; i++)
		g_string_append_printf(out,
				       "apricot_route_requests_total{route=\"%s\",outcome=\"%s\"} "
				       "%" G_GUINT64_FORMAT "\n",
				       route, job_outcome_name((enum job_outcome)i),
				       stats->outcomes[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		g_string_append_printf(
			out,
			"apricot_route_latency_us{route=\"%s\",quantile=\"%g\"} %" G_GUINT64_FORMAT
			"\napricot_leaf_call_us{route=\"%s\",quantile=\"%g\"} %" G_GUINT64_FORMAT
			"\n",
			route, quantiles[i], hist_quantile(stats->answer_us, quantiles[i]), route,
			quantiles[i], hist_quantile(stats->call_us, quantiles[i]));
}

static void leaf_limit_append(const struct leaf *leaf, void *arg)
{
	if (!leaf->ratecap.is_limited)
		return;
	g_string_append_printf(
		arg, "apricot_leaf_limit_per_s{leaf=\"%s\",service=\"%s\",of=\"this_vm\"} %g\n",
		leaf->id, leaf->service, leaf->ratecap.rate_per_s);
}

static void loads_known_count(const struct leaf *leaf, void *arg)
{
	*(unsigned int *)arg += leaf->load.n_reports > 0;
}

static void load_metrics_append(const struct gateway *g, GString *out)
{
	unsigned int n_leaves = 0;

	leafset_each(g->env.leaves, loads_known_count, &n_leaves);
	g_string_append_printf(out,
			       "apricot_leaves_with_load %u\n"
			       "apricot_leaf_loads_total %" G_GUINT64_FORMAT "\n"
			       "apricot_leaf_loads_refused_total %" G_GUINT64_FORMAT "\n",
			       n_leaves, g->env.n_loads, g->env.n_loads_malformed);
}

static void rank_state_append(const struct rank_state *state, void *arg)
{
	GString *out = arg;
	g_autofree char *labels =
		g_strdup_printf("service=\"%s\",rank=\"%u\"", state->service, state->rank);

	for (int i = 0; i < RANK_VERDICT_COUNT; i++)
		g_string_append_printf(out,
				       "apricot_rank_requests_total{%s,verdict=\"%s\"} "
				       "%" G_GUINT64_FORMAT "\n",
				       labels, rank_verdict_name((enum rank_verdict)i),
				       state->verdicts[i]);
	g_string_append_printf(out,
			       "apricot_rank_late_total{%s} %" G_GUINT64_FORMAT "\n"
			       "apricot_rank_asked_per_s{%s} %.2f\n"
			       "apricot_rank_in_time_share{%s} %.3f\n"
			       "apricot_rank_reserved_share{%s} %.2f\n",
			       labels, state->n_late, labels, state->asked_per_s, labels,
			       state->in_time_share, labels, state->reserved_share);
}

static void rank_route_append(const char *key, const struct rank_route *route, void *arg)
{
	const struct {
		const char *outcome;
		uint64_t n;
	} rows[] = {
		{"admitted", route->n_admitted},
		{"refused", route->n_refused},
		{"late", route->n_late},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(arg,
				       "apricot_rank_route_requests_total{route=\"%s\","
				       "rank=\"%u\",outcome=\"%s\"} %" G_GUINT64_FORMAT "\n",
				       key, route->rank, rows[i].outcome, rows[i].n);
}

static void rank_metrics_append(const struct gateway *g, GString *out)
{
	if (!g->env.ranks)
		return;
	ranks_each(g->env.ranks, rank_state_append, out, clock_now_us());
	ranks_routes_each(g->env.ranks, rank_route_append, out);
}

static void spread_append(const char *service, const struct spread *spread, void *arg)
{
	g_string_append_printf(arg,
			       "apricot_service_calls_uneven{service=\"%s\"} %.2f\n"
			       "apricot_service_load_uneven{service=\"%s\"} %.2f\n"
			       "apricot_service_spread{service=\"%s\"} %d\n",
			       service, spread->calls_uneven, service, spread->load_uneven, service,
			       spread->is_in_force);
}

static void evacuated_count(const struct leaf *leaf, void *arg)
{
	*(unsigned int *)arg += leaf->is_evacuated;
}

static void evacuation_metrics_append(const struct gateway *g, GString *out)
{
	uint64_t now_ms = clock_now_ms();
	unsigned int n_leaves = 0;

	leafset_each(g->env.leaves, evacuated_count, &n_leaves);
	g_string_append_printf(out,
			       "apricot_evacuated_leaves %u\n"
			       "apricot_evacuations_refused_total %" G_GUINT64_FORMAT "\n",
			       n_leaves, evacuations_refused(g->evacuations));
	for (unsigned int i = 0; i < evacuations_count(g->evacuations); i++) {
		const struct evacuation *e = evacuations_get(g->evacuations, i);

		g_string_append_printf(
			out, "apricot_evacuation_age_ms{dc=\"%s\"} %" G_GUINT64_FORMAT "\n", e->dc,
			now_ms - e->since_ms);
	}
}

static void held_metrics_append(const struct gateway *g, GString *out)
{
	const struct held_stats *stats = heldbytes_stats(g->held);

	for (int kind = 0; kind < HELD_KIND_COUNT; kind++)
		g_string_append_printf(out,
				       "apricot_held_bytes{kind=\"%s\"} %" G_GUINT64_FORMAT "\n",
				       held_kind_name((enum held_kind)kind),
				       heldbytes_of_kind(g->held, (enum held_kind)kind));
	g_string_append_printf(out,
			       "apricot_held_bound_bytes %" G_GUINT64_FORMAT "\n"
			       "apricot_held_peak_bytes %" G_GUINT64_FORMAT "\n"
			       "apricot_held_answers_waiting %u\n"
			       "apricot_held_paused_total %" G_GUINT64_FORMAT "\n"
			       "apricot_held_given_up_total %" G_GUINT64_FORMAT "\n"
			       "apricot_held_refused_total %" G_GUINT64_FORMAT "\n"
			       "apricot_held_callers_total %" G_GUINT64_FORMAT "\n",
			       heldbytes_bound_bytes(g->held), stats->peak_bytes,
			       heldbytes_waiting(g->held), stats->paused, stats->given_up,
			       stats->refused, http_server_held_back(g->server));
}

static json_t *evacuations_status(const struct gateway *g)
{
	json_t *list = json_array();

	for (unsigned int i = 0; i < evacuations_count(g->evacuations); i++) {
		const struct evacuation *e = evacuations_get(g->evacuations, i);

		json_array_append_new(list, json_pack("{s:s, s:I, s:I}", "dc", e->dc, "revision",
						      (json_int_t)e->revision, "age_ms",
						      (json_int_t)(clock_now_ms() - e->since_ms)));
	}
	return list;
}

static uint64_t map_age_ms(const struct routemap *map)
{
	return map ? clock_now_ms() - map->applied_ms : 0;
}

/* Metrics of the routed requests in the text format of /metrics. */
static char *metrics_render(struct gateway *g)
{
	const struct upstream_stats *up = upstream_stats(g->env.upstream);
	GString *out = g_string_new(NULL);
	GHashTableIter iter;
	gpointer key;
	gpointer stats;

	g_hash_table_iter_init(&iter, g->env.stats);
	while (g_hash_table_iter_next(&iter, &key, &stats))
		route_metrics_append(out, key, stats);
	leafset_each(g->env.leaves, leaf_limit_append, out);
	evacuation_metrics_append(g, out);
	leafset_spread_each(g->env.leaves, spread_append, out);
	load_metrics_append(g, out);
	held_metrics_append(g, out);
	rank_metrics_append(g, out);
	g_string_append_printf(out,
			       "apricot_config_version %" G_GUINT64_FORMAT "\n"
			       "apricot_config_age_ms %" G_GUINT64_FORMAT "\n"
			       "apricot_requests_open %u\napricot_leaves %u\n"
			       "apricot_leaf_connections %u\napricot_leaf_calls_queued %u\n"
			       "apricot_leaf_connects_total %" G_GUINT64_FORMAT "\n"
			       "apricot_leaf_connect_failures_total %" G_GUINT64_FORMAT "\n"
			       "apricot_leaf_stray_bytes_total %" G_GUINT64_FORMAT "\n"
			       "apricot_cold_leaves %u\n"
			       "apricot_cold_waits_total %" G_GUINT64_FORMAT "\n"
			       "apricot_not_ready_total %" G_GUINT64_FORMAT "\n"
			       "apricot_overload_refused_total %" G_GUINT64_FORMAT "\n"
			       "apricot_input_refused_total %" G_GUINT64_FORMAT "\n"
			       "apricot_log_dropped_total %" G_GUINT64_FORMAT "\n",
			       g->map ? g->map->version : 0, map_age_ms(g->map), g->env.n_jobs,
			       leafset_count(g->env.leaves), up->connections, up->queued,
			       up->connects, up->connect_failures, up->stray_closes,
			       warmups_count(g->env.warmups), up->cold_waits, g->requests_not_ready,
			       g->env.gate.n_refused, g->inputs_refused, log_dropped());
	return g_string_free(out, FALSE);
}

static void metrics_answer(struct gateway *g, const struct status_request *request)
{
	g_autofree char *text = metrics_render(g);
	struct status_reply *reply =
		status_reply_create(request->tag, json_pack("{s:s}", "metrics", text));

	kernel_message_send(g->service.kernel, request->reply_to, &reply->message);
}

static void status_answer(struct gateway *g, const struct status_request *request)
{
	json_t *routes = json_object();
	GHashTableIter iter;
	gpointer key;
	gpointer stats;
	json_t *body;
	struct status_reply *reply;

	g_hash_table_iter_init(&iter, g->env.stats);
	while (g_hash_table_iter_next(&iter, &key, &stats))
		route_stats_add(routes, key, stats);
	body = json_pack("{s:{s:I, s:i, s:i, s:i, s:o, s:o}}", "gateway", "version",
			 (json_int_t)(g->map ? g->map->version : 0), "requests",
			 (int)http_server_busy_count(g->server), "jobs", (int)g->env.n_jobs,
			 "leaves", (int)leafset_count(g->env.leaves), "evacuations",
			 evacuations_status(g), "routes", routes);
	reply = status_reply_create(request->tag, body);
	kernel_message_send(g->service.kernel, request->reply_to, &reply->message);
}

static void settings_apply(struct gateway *g, const struct settings_read *settings)
{
	struct repeats_limits limits = {settings->repeat_ratio, settings->repeat_slack,
					settings->repeat_window_ms * CLOCK_US_PER_MS};

	repeats_limits_set(g->env.repeats, &limits);
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
			metrics_answer(g, (struct status_request *)m);
		else
			status_answer(g, (struct status_request *)m);
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
	if (settings->has_spread)
		leafset_spread_enable(g->env.leaves, g->env.rand, &spread_ops, g);
	g->evacuations = evacuations_create();
	g->env.warmups = warmups_create(&warmup_ops, g);
	g->warmup_tick = event_new(kernel_base(k), -1, EV_PERSIST, warmup_tick_handle, g);
	event_add(g->warmup_tick, &warmup_period);
	if (settings->held_bound_bytes > 0)
		mallopt(M_MMAP_THRESHOLD, RETURNED_BYTES_MIN);
	g->held = heldbytes_create(settings->held_bound_bytes, &held_ops, g);
	g->held_tick = event_new(kernel_base(k), -1, EV_PERSIST, held_tick_handle, g);
	g->env.upstream = upstream_create(kernel_base(k), g->held);
	g->env.repeats = repeats_create(&settings->repeats, clock_now_us());
	vmshare_init(&g->env.vmshare, clock_now_us());
	if (settings->features & FEATURE_RANKS)
		g->env.ranks = ranks_create();
	g->env.splits = splits_create();
	g->env.stats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, route_stats_free);
	list_init(&g->env.jobs);
	g->server = http_server_create(kernel_base(k), settings->address, &server_ops, g, &limits,
				       error);
	if (!g->server) {
		gateway_destroy(&g->service);
		return NULL;
	}
	http_server_hold(g->server, g->held);
	return &g->service;
}
