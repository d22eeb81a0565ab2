#include "gatewaystate.h"

#include "clock.h"
#include "log.h"
#include "rank.h"
#include "spread.h"

#include <string.h>

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
			       "apricot_held_expected_bytes %" G_GUINT64_FORMAT "\n"
			       "apricot_held_answers_waiting %u\n"
			       "apricot_held_paused_total %" G_GUINT64_FORMAT "\n"
			       "apricot_held_given_up_total %" G_GUINT64_FORMAT "\n"
			       "apricot_held_refused_total %" G_GUINT64_FORMAT "\n"
			       "apricot_held_callers_total %" G_GUINT64_FORMAT "\n",
			       heldbytes_bound_bytes(g->held), stats->peak_bytes,
			       heldbytes_expected(g->held), heldbytes_waiting(g->held),
			       stats->paused, stats->given_up, stats->refused,
			       http_server_held_back(g->server));
}

static void region_unknown_count(const struct leaf *leaf, void *arg)
{
	*(unsigned int *)arg += leaf->region == NULL;
}

static void region_metrics_append(const struct gateway *g, GString *out)
{
	unsigned int n_unknown = 0;

	leafset_each(g->env.leaves, region_unknown_count, &n_unknown);
	g_string_append_printf(out,
			       "apricot_leaves_region_unknown %u\n"
			       "apricot_region_refused_total %" G_GUINT64_FORMAT "\n",
			       n_unknown, g->env.n_region_refused);
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
	region_metrics_append(g, out);
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

void gateway_metrics_answer(struct gateway *g, const struct status_request *request)
{
	g_autofree char *text = metrics_render(g);
	struct status_reply *reply =
		status_reply_create(request->tag, json_pack("{s:s}", "metrics", text));

	kernel_message_send(g->service.kernel, request->reply_to, &reply->message);
}

void gateway_configuration_answer(struct gateway *g, const struct status_request *request)
{
	const char *text = g->map ? g->map->text : NULL;
	struct status_reply *reply =
		status_reply_create(request->tag, json_pack("{s:s*}", "configuration", text));

	kernel_message_send(g->service.kernel, request->reply_to, &reply->message);
}

void gateway_status_answer(struct gateway *g, const struct status_request *request)
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
