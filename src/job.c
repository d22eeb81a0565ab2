#include "jobstate.h"

#include "clock.h"
#include "log.h"
#include "routedresult.h"

#include <string.h>

/*
 * Open calls may finish within this time after their caller has left. A leaf must no longer work
 * for a caller 500 ms after that caller has left.
 */
#define CALLER_LEFT_LINGER_US 200000

/*
 * A caller that waits by so much less than others have is taken to have asked before: one that was
 * refused because of full leaves comes back after 50 ms or more.
 */
#define REPEAT_MIN_MS 40

/* Fewer answered requests of a route tell little about how long they take. */
#define USUAL_SAMPLES_MIN 20

struct route_stats *route_stats_find(struct job_env *env, const struct route *route)
{
	g_autofree char *key = g_strconcat(route->host, route->prefix, NULL);
	struct route_stats *stats = g_hash_table_lookup(env->stats, key);

	if (stats)
		return stats;
	stats = g_new0(struct route_stats, 1);
	/* Shards usually answer with as many records as the merged answer may have. */
	stats->answer_bytes = route->shards ? (size_t)route->top_k * TOPK_RECORD_BYTES : 0;
	stats->call_us = hist_create();
	stats->answer_us = hist_create();
	g_hash_table_insert(env->stats, g_steal_pointer(&key), stats);
	return stats;
}

void route_stats_free(gpointer data)
{
	struct route_stats *stats = data;

	hist_destroy(stats->call_us);
	hist_destroy(stats->answer_us);
	g_free(stats);
}

void job_held_update(struct job *j)
{
	size_t kept = j->top ? topk_held_bytes(j->top) + j->signatures->allocated_len : 0;

	if (j->failure_fields)
		kept += j->failure_fields->allocated_len + j->failure_body->len;
	held_account_set(&j->held, HELD_PARTS, kept);
	held_account_expect(&j->held, j->n_open * j->expected_bytes);
}

void job_destroy(struct job *j)
{
	held_account_close(&j->held);
	for (unsigned int i = 0; i < j->n_shards; i++)
		for (unsigned int k = 0; k < j->shards[i].n_tried; k++)
			leaf_put(j->shards[i].tried[k]);
	list_del(&j->node);
	j->env->n_jobs--;
	event_free(j->timer);
	scatter_destroy(j->scatter);
	topk_destroy(j->top);
	if (j->signatures)
		g_string_free(j->signatures, TRUE);
	if (j->failure_fields) {
		g_string_free(j->failure_fields, TRUE);
		g_byte_array_free(j->failure_body, TRUE);
	}
	if (j->trace)
		g_string_free(j->trace, TRUE);
	g_string_free(j->head, TRUE);
	g_byte_array_free(j->body, TRUE);
	g_free(j->id);
	g_free(j->method);
	routemap_put(j->map);
	g_free(j);
}

void job_timer_set(struct job *j, uint64_t at_us, uint64_t now_us)
{
	uint64_t wait_us = at_us > now_us ? at_us - now_us : 0;
	struct timeval wait = {(time_t)(wait_us / 1000000), (suseconds_t)(wait_us % 1000000)};

	if (j->timer_us == at_us)
		return;
	j->timer_us = at_us;
	event_add(j->timer, &wait);
}

void job_advance(struct job *j, uint64_t now_us)
{
	uint64_t wake_us = 0;

	if (!j->request)
		return;
	switch (scatter_verdict(j->scatter, now_us, &wake_us)) {
	case SCATTER_WAIT:
		job_timer_set(j, wake_us, now_us);
		break;
	case SCATTER_ANSWER:
		/*
		 * Only sharded requests get here: the answer of a single service was passed on when
		 * it arrived.
		 */
		jobanswer_merged_send(j);
		break;
	case SCATTER_FAILED:
		jobanswer_failed_send(j);
		break;
	case SCATTER_TIMED_OUT:
		jobanswer_timeout_send(j);
		break;
	}
}

static void timer_handle(evutil_socket_t fd, short what, void *arg)
{
	struct job *j = arg;
	uint64_t now_us = clock_now_us();

	j->timer_us = 0;
	if (!j->request) {
		jobcall_all_cancel(j, now_us);
		return;
	}
	jobcall_hedges_send(j, now_us);
	job_advance(j, now_us);
}

/* Renders the request as every leaf gets it, without the fields that are set for each call. */
static void head_render(struct job *j, const struct http_reader *message)
{
	const struct adapter_fields *names = &j->env->adapter->fields;
	size_t n;
	const char *body = http_reader_body(message, &n);

	j->head = g_string_sized_new(512);
	g_string_append_printf(j->head, "%s %s HTTP/1.1\r\n", http_reader_method(message),
			       http_reader_target(message));
	for (unsigned int i = 0; i < http_reader_field_count(message); i++) {
		struct http_field f = http_reader_field(message, i);

		if (http_field_is_hop_by_hop(message, f.name) ||
		    g_ascii_strcasecmp(f.name, names->deadline_ms) == 0 ||
		    g_ascii_strcasecmp(f.name, names->leaf_id) == 0)
			continue;
		g_string_append_printf(j->head, "%s: %s\r\n", f.name, f.value);
	}
	if (n > 0 || strcmp(http_reader_method(message), "POST") == 0 ||
	    strcmp(http_reader_method(message), "PUT") == 0)
		g_string_append_printf(j->head, "Content-Length: %zu\r\n", n);
	j->body = g_byte_array_new();
	g_byte_array_append(j->body, (const guint8 *)body, (guint)n);
}

static void times_set(struct job *j, struct scatter_policy *policy, const char *wait_text)
{
	const struct route *route = j->route;
	struct scatter_times wait = {
		.read_us = j->read_us,
		.goal_ms = route->goal_ms,
		.timeout_ms = route->timeout_ms,
		.wait_ms = http_milliseconds_parse(wait_text),
	};

	j->stats->longest_wait_ms = MAX(j->stats->longest_wait_ms, wait.wait_ms);
	wait.longest_wait_ms = j->stats->longest_wait_ms;
	scatter_times_set(policy, &wait);
	j->deadline_us = policy->deadline_us;
	if (policy->goal_at_us > j->read_us)
		j->useful_us = policy->goal_at_us - j->read_us;
	j->answer_useful_us = j->deadline_us - j->read_us;
	if (route->goal_ms)
		j->answer_useful_us = MIN(j->answer_useful_us, scatter_useful_us(route->goal_ms));
	j->is_repeat = wait.wait_ms && MIN(wait.wait_ms, route->timeout_ms) + REPEAT_MIN_MS <
					       MIN(wait.longest_wait_ms, route->timeout_ms);
	policy->hedge_after_us =
		scatter_hedge_delay_us(j->stats->call_us, (uint64_t)route->goal_ms * 1000);
	policy->hedge_last_at_us = scatter_hedge_last_at_us(j->stats->call_us, policy->goal_at_us);
}

/* Time within which nearly all requests of the route are answered. */
static uint64_t usual_longest_us(const struct route *route, const struct route_stats *stats)
{
	if (hist_count(stats->answer_us) >= USUAL_SAMPLES_MIN)
		return hist_quantile(stats->answer_us, 0.99);
	return (uint64_t)(route->goal_ms ? route->goal_ms : route->timeout_ms) * CLOCK_US_PER_MS;
}

/* True when the request would probably not be answered before a planned stop ends. */
static bool is_too_late(const struct job *j)
{
	return j->env->answer_by_us &&
	       j->read_us + usual_longest_us(j->route, j->stats) > j->env->answer_by_us;
}

/* What this VM knows of the leaves to which the request's first calls would go. */
static GArray *rank_shards_create(const struct job *j)
{
	GArray *shards = g_array_sized_new(FALSE, TRUE, sizeof(struct rank_shard), j->n_shards);

	for (unsigned int i = 0; i < j->n_shards; i++) {
		const struct leaf *leaf = j->shards[i].first_leaf;
		struct rank_shard shard = {.has_leaf = leaf != NULL};

		if (leaf)
			shard.backlog = leaf_backlog(leaf);
		for (unsigned int rank = 0; leaf && rank < RANK_COUNT; rank++)
			shard.n_waiting[rank] = upstream_waiting(leaf, rank);
		g_array_append_val(shards, shard);
	}
	return shards;
}

static void rank_find(struct job *j)
{
	const struct route *route = j->route;
	g_autofree char *key = g_strconcat(route->host, route->prefix, NULL);
	char *target = (char *)j->shards[0].service;

	j->rank_group = ranks_group_find(j->env->ranks,
					 route->shards ? (char **)route->shards->pdata : &target,
					 j->n_shards);
	j->rank_route = rank_route_find(j->rank_group, key, rank_of(route->priority));
}

/* Time within which an answer of the route is useful, however long its caller still waits. */
static uint64_t rank_target_us(const struct route *route)
{
	return route->goal_ms ? scatter_useful_us(route->goal_ms)
			      : (uint64_t)route->timeout_ms * CLOCK_US_PER_MS;
}

/* is_admitted() in a deployment that asks for ranks. */
static bool is_rank_admitted(struct job *j)
{
	GArray *shards = rank_shards_create(j);
	struct rank_request request = {
		.rank = rank_of(j->route->priority),
		.useful_us = j->answer_useful_us,
		.target_us = rank_target_us(j->route),
		.min_share = job_is_sharded(j) ? j->route->min_share : 1,
		.is_single = !job_is_sharded(j),
		.is_repeat = j->is_repeat,
		.shards = (const struct rank_shard *)shards->data,
		.n_shards = j->n_shards,
	};
	struct rank_answer answer;
	char why[48];

	rank_find(j);
	answer = rank_admit(j->rank_group, j->rank_route, &request, j->read_us);
	g_array_free(shards, TRUE);
	if (answer.verdict == RANK_ADMITTED || answer.verdict == RANK_FLOOR)
		return true;
	j->env->gate.n_refused++;
	g_snprintf(why, sizeof(why), "%s held=rank%u", rank_verdict_name(answer.verdict),
		   answer.holder);
	jobanswer_trace_add(j, "refused", j->shards[answer.shard].service,
			    j->shards[answer.shard].first_leaf, why, j->read_us);
	return false;
}

/* True when enough leaves are expected to answer while the answer is useful. */
static bool is_admitted(struct job *j)
{
	uint64_t useful_us = j->answer_useful_us;
	unsigned int n_in_time = 0;

	if (j->env->ranks)
		return is_rank_admitted(j);
	if (!job_is_sharded(j))
		return true;
	if (j->is_repeat && j->route->goal_ms)
		useful_us = backlog_repeat_useful_us(&j->env->gate, useful_us, j->useful_us,
						     j->read_us);
	else
		useful_us = backlog_useful_us(&j->env->gate, useful_us, j->read_us);
	for (unsigned int i = 0; i < j->n_shards; i++) {
		const struct leaf *leaf = j->shards[i].first_leaf;
		struct backlog b;

		if (!leaf)
			continue;
		b = leaf_backlog(leaf);
		n_in_time += backlog_answer_us(&b) <= useful_us;
	}
	if (backlog_admit(&j->env->gate, n_in_time, j->n_shards, j->route->min_share, j->read_us))
		return true;
	jobanswer_trace_add(j, "refused", j->shards[0].service, NULL, "backlog", j->read_us);
	return false;
}

static void deadline_cap(struct job *j, uint64_t at_us)
{
	j->deadline_us = MIN(j->deadline_us, at_us);
	scatter_deadline_cap(j->scatter, at_us);
}

void job_answer_by_set(struct job_env *env, uint64_t at_us, uint64_t now_us)
{
	struct list_head *pos;
	struct list_head *next;

	env->answer_by_us = at_us;
	list_for_each_safe (pos, next, &env->jobs) {
		struct job *j = list_entry(pos, struct job, node);

		deadline_cap(j, at_us);
		job_advance(j, now_us);
	}
}

static struct job *job_create(struct job_env *env, struct routemap *map, const struct route *route,
			      struct http_request *request)
{
	const struct http_reader *message = http_request_message(request);
	unsigned int n = route->shards ? route->shards->len : 1;
	struct job *j = g_malloc0(sizeof(*j) + n * sizeof(struct job_shard));
	struct scatter_policy policy = {
		.n_shards = n,
		.min_share = route->shards ? route->min_share : 1,
		.max_attempts = route->max_attempts,
		.is_idempotent = route->is_idempotent,
	};

	j->env = env;
	j->request = request;
	j->map = routemap_get(map);
	j->route = route;
	j->stats = route_stats_find(env, route);
	j->read_us = clock_now_us();
	j->id = g_strdup(http_reader_field_find(message, env->adapter->fields.request_id));
	j->n_shards = n;
	list_init(&j->calls);
	list_add_tail(&j->node, &env->jobs);
	env->n_jobs++;
	held_account_init(&j->held, env->held, NULL);
	j->expected_bytes = heldbytes_expected_of_call(env->held, j->stats->answer_bytes, n);
	head_render(j, message);
	times_set(j, &policy, http_reader_field_find(message, env->adapter->fields.deadline_ms));
	j->scatter = scatter_create(&policy);
	if (env->answer_by_us)
		deadline_cap(j, env->answer_by_us);
	j->timer = evtimer_new(env->base, timer_handle, j);
	if (route->shards) {
		j->top = topk_create(route->top_k);
		j->signatures = g_string_sized_new((gsize)64 * n);
	}
	return j;
}

/* Answers a request that lacks a required header field or matches no route. */
static void request_reject(struct http_request *request, const char *id, enum routed_result result,
			   const char *why)
{
	unsigned int status = routed_status(result);

	if (!log_request(LOG_LEVEL_WARNING, id, "request_refused", "status=%u %s", status, why))
		log_batch_add(LOG_BATCH_BRIEF, "%s:refused:%u:0/0", id ? id : "-", status);
	http_request_answer(request, status, "", "", 0);
}

void job_start(struct job_env *env, struct routemap *map, struct http_request *request)
{
	const struct http_reader *message = http_request_message(request);
	const char *host = http_reader_field_find(message, "Host");
	const char *id = http_reader_field_find(message, env->adapter->fields.request_id);
	const struct route *route;
	unsigned int n_answers = 0; /* that the request's calls bring */
	uint64_t wake_us;
	struct job *j;

	log_batch_add(LOG_BATCH_BEGUN, "%s", id ? id : "-");
	if (!host || !id) {
		request_reject(request, id, ROUTED_LACKS_FIELD, id ? "lacks=host" : "lacks=id");
		return;
	}
	route = routemap_find(map, host, http_reader_target(message));
	if (!route) {
		g_autofree char *why =
			g_strdup_printf("host=%.80s path=%.120s version=%" G_GUINT64_FORMAT, host,
					http_reader_target(message), map->version);

		request_reject(request, id, ROUTED_NO_ROUTE, why);
		return;
	}
	j = job_create(env, map, route, request);
	http_request_set_data(request, j);
	if (is_too_late(j)) {
		jobanswer_refuse(j, RETRYAFTER_STOPPING);
		return;
	}
	for (unsigned int i = 0; i < j->n_shards; i++) {
		j->shards[i].service = route->shards ? g_ptr_array_index(route->shards, i)
						     : splits_next(env->splits, route);
		j->shards[i].first_leaf = jobcall_first_leaf(j, i, j->read_us);
		if (!j->shards[i].first_leaf)
			scatter_calls_exhausted(j->scatter, i);
		else
			n_answers++;
	}
	/* No call is sent for a request that cannot be served. */
	if (scatter_verdict(j->scatter, j->read_us, &wake_us) == SCATTER_FAILED) {
		jobanswer_failed_send(j);
		return;
	}
	if (!heldbytes_admits_answers(env->held, n_answers * j->expected_bytes, clock_now_ms())) {
		j->is_unsent = true;
		jobanswer_trace_add(j, "refused", j->shards[0].service, NULL, "memory", j->read_us);
		jobanswer_refuse(j, RETRYAFTER_MEMORY);
		return;
	}
	if (!is_admitted(j)) {
		j->is_unsent = true;
		jobanswer_refuse(j, RETRYAFTER_LEAVES_FULL);
		return;
	}
	for (unsigned int i = 0; i < j->n_shards; i++)
		repeats_request_add(env->repeats, j->shards[i].service, j->read_us);
	for (unsigned int i = 0; i < j->n_shards; i++)
		if (j->shards[i].first_leaf)
			jobcall_first_send(j, i, j->shards[i].first_leaf, j->read_us);
	/*
	 * A request that must not run twice is logged at its start, so that there is a record of it
	 * even if this VM loses power before it ends.
	 */
	if (!route->is_idempotent)
		log_request(LOG_LEVEL_INFO, j->id, "request_begun",
			    "route=%s version=%" G_GUINT64_FORMAT " leaf=%s",
			    route->name ? route->name : "-", map->version,
			    j->shards[0].n_tried ? j->shards[0].tried[0]->id : "-");
	job_advance(j, j->read_us);
}

void job_caller_left(struct http_request *request)
{
	struct job *j = http_request_data(request);

	if (j)
		jobanswer_finish(j, JOB_CALLER_LEFT, 0, CALLER_LEFT_LINGER_US);
}

void job_end_all(struct job_env *env)
{
	struct list_head *node;

	while ((node = list_pop_head(&env->jobs)))
		jobcall_all_cancel(list_entry(node, struct job, node), clock_now_us());
}
