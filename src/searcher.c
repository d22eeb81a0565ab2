#include "searcher.h"

#include "admission.h"
#include "clock.h"
#include "gather.h"
#include "hop.h"
#include "message.h"
#include "procedure.h"
#include "routing.h"
#include "snapshot.h"

#include <string.h>

#define HITS_MAX 1000
/* Time reserved at the end of a search for merging the hits and sending the answer. */
#define ANSWER_MARGIN_US 1000

struct searcher {
	struct service service;
	struct service *peer;
	struct manifest *manifest;
	struct routing *routing;
	struct snapshot_table *snapshots;
	struct hop_table *hops;
	GHashTable *admissions; /* name of a service of the manifest -> struct admission */
	GHashTable *calls; /* tag -> struct holder_call */
	GHashTable *probes; /* tag of a probe -> tag of its call */
	uint64_t next_tag;
	struct list_head searches;
	unsigned int n_searches;
};

struct search {
	struct list_head node;
	struct searcher *searcher;
	struct caller_request *request;
	struct manifest *manifest;
	struct manifest_service *service;
	struct admission *admission;
	struct gather *gather;
	struct list_head calls;
	struct event *expiry_timer;
	struct event *probe_timer;
	unsigned int restarts;
};

/* One SEARCH call to one holder. */
struct holder_call {
	struct list_head node;
	struct search *search;
	uint64_t tag;
	uint64_t sent_us;
	char *address;
	GPtrArray *groups; /* struct manifest_group, owned by the search's manifest */
	bool has_failed_over; /* its groups were sent to their standby, or this is the call to it */
};

/* counts_in_latency: whether the latency histogram of the service and class includes the answer. */
static void answer_send(struct searcher *s, struct caller_request *request, enum result result,
			json_t *body, bool counts_in_latency)
{
	struct caller_answer *answer = caller_answer_create(request, result, body);

	if (counts_in_latency) {
		answer->service = g_strdup(request->service);
		answer->klass = g_strdup(request->klass);
	}
	kernel_message_send(s->service.kernel, request->reply_to, &answer->message);
}

static void request_refuse(struct searcher *s, struct caller_request *request, enum result result)
{
	if (result_is_not_run(result))
		counter_increment(kernel_counters(s->service.kernel), COUNTER_SEARCHES_NOT_RUN);
	answer_send(s, request, result,
		    json_pack("{s:i, s:s}", "result", result, "reason", result_name(result)),
		    false);
	message_destroy(&request->message);
}

static void holder_call_free(struct holder_call *call)
{
	g_hash_table_remove(call->search->searcher->calls, (gpointer)(guintptr)call->tag);
	list_del(&call->node);
	g_ptr_array_free(call->groups, TRUE);
	g_free(call->address);
	g_free(call);
}

static void calls_discard(struct search *search)
{
	struct list_head *node;

	while ((node = list_pop_head(&search->calls)))
		holder_call_free(list_entry(node, struct holder_call, node));
}

static void search_free(struct search *search)
{
	calls_discard(search);
	list_del(&search->node);
	search->searcher->n_searches--;
	event_free(search->expiry_timer);
	event_free(search->probe_timer);
	gather_destroy(search->gather);
	manifest_put(search->manifest);
	message_destroy(&search->request->message);
	g_free(search);
}

static json_t *coverage_json(const struct coverage *c)
{
	json_t *included = json_array();
	json_t *missing = json_array();

	for (unsigned int shard = 0; shard < coverage_shard_count(c); shard++) {
		enum result reason = coverage_missing_reason(c, shard);

		if (reason == RESULT_OK)
			json_array_append_new(included, json_integer(shard));
		else
			json_array_append_new(missing, json_pack("{s:i, s:s}", "shard", (int)shard,
								 "reason", result_name(reason)));
	}
	return json_pack("{s:b, s:i, s:o, s:o}", "complete", coverage_is_complete(c), "shards",
			 (int)coverage_shard_count(c), "included", included, "missing", missing);
}

/*
 * The result of a search that includes no shard. It is "not run" only if that is proved for every
 * shard.
 */
static enum result result_without_shards(const struct coverage *c)
{
	for (unsigned int shard = 0; shard < coverage_shard_count(c); shard++)
		if (!result_is_not_run(coverage_missing_reason(c, shard)))
			return RESULT_PARTIAL;
	return coverage_missing_reason(c, 0);
}

static enum result search_result(const struct coverage *c)
{
	if (coverage_is_complete(c))
		return RESULT_OK;
	return coverage_included_count(c) > 0 ? RESULT_PARTIAL : result_without_shards(c);
}

static enum admission_event search_admission_event(const struct coverage *c)
{
	if (coverage_is_complete(c))
		return ADMISSION_COMPLETE;
	for (unsigned int shard = 0; shard < coverage_shard_count(c); shard++) {
		enum result reason = coverage_missing_reason(c, shard);

		if (reason == RESULT_OVERLOADED || reason == RESULT_DEADLINE ||
		    reason == RESULT_CALLER_LIMIT)
			return ADMISSION_OVERLOADED;
	}
	return ADMISSION_OTHER;
}

static void search_answer(struct search *search)
{
	struct searcher *s = search->searcher;
	struct counters *counters = kernel_counters(s->service.kernel);
	const struct gather_params *params = gather_params(search->gather);
	const struct coverage *coverage = gather_coverage(search->gather);
	enum result result = search_result(coverage);
	json_t *body =
		json_pack("{s:i, s:s, s:s, s:{s:I, s:I}, s:o, s:o}", "result", result, "reason",
			  result_name(result), "service", search->service->name, "snapshot",
			  "index_version", (json_int_t)params->index_version, "map_version",
			  (json_int_t)params->map_version, "coverage", coverage_json(coverage),
			  "hits", gather_hits_merge(search->gather, HITS_MAX));

	if (result == RESULT_OK)
		counter_increment(counters, COUNTER_SEARCHES_COMPLETE);
	else if (result == RESULT_PARTIAL)
		counter_increment(counters, COUNTER_SEARCHES_PARTIAL);
	else
		counter_increment(counters, COUNTER_SEARCHES_NOT_RUN);
	answer_send(s, search->request, result, body, true);
	admission_finish(search->admission, search_admission_event(coverage), clock_now_us());
	search_free(search);
}

static apr_part part_create(const struct manifest_group *g)
{
	apr_part part = {.group = g_strdup(g->id)};

	part.shards.shards_len = g->n_shards;
	part.shards.shards_val = g_memdup2(g->shards, g->n_shards * sizeof(*g->shards));
	return part;
}

static apr_search_args *search_args_create(const struct holder_call *call, uint64_t time_us)
{
	const struct search *search = call->search;
	const struct gather_params *params = gather_params(search->gather);
	apr_search_args *args = peer_args_create(APR_SEARCH);

	memcpy(args->request_id, params->request_id, sizeof(args->request_id));
	args->service = g_strdup(search->service->name);
	args->klass = g_strdup(search->request->klass);
	args->caller = g_strdup(search->request->caller);
	args->snapshot.index_version = params->index_version;
	args->snapshot.map_version = params->map_version;
	args->answer_us = (u_int)time_us;
	args->deadline_us = (u_int)time_us;
	args->query = g_strdup(search->request->body);
	args->parts.parts_len = call->groups->len;
	args->parts.parts_val = g_new0(apr_part, call->groups->len);
	for (guint i = 0; i < call->groups->len; i++)
		args->parts.parts_val[i] = part_create(g_ptr_array_index(call->groups, i));
	return args;
}

/* Records why each shard of the group is missing. */
static void group_missing_set(struct search *search, const struct manifest_group *g,
			      enum result reason)
{
	const struct gather_params *params = gather_params(search->gather);

	for (unsigned int i = 0; i < g->n_shards; i++)
		gather_missing_set(search->gather, params->request_id, params->index_version,
				   params->map_version, g->shards[i], reason);
}

static void call_missing_set(struct holder_call *call, enum result reason)
{
	for (guint i = 0; i < call->groups->len; i++)
		group_missing_set(call->search, g_ptr_array_index(call->groups, i), reason);
}

/* Returns false, and frees the call, when too little time is left for the holder. */
static bool holder_call_send(struct searcher *s, struct holder_call *call)
{
	uint64_t now_us = clock_now_us();
	uint64_t time_us = gather_remaining_us(call->search->gather, now_us, ANSWER_MARGIN_US);
	struct peer_call *message;

	if (time_us == 0) {
		call_missing_set(call, RESULT_DEADLINE);
		holder_call_free(call);
		return false;
	}
	time_us -= hop_reserve_us(s->hops, call->address, time_us);
	call->sent_us = now_us;
	message = peer_call_create(APR_SEARCH, call->address, search_args_create(call, time_us),
				   gather_respond_at_us(call->search->gather) - now_us);
	message->reply_to = &s->service;
	message->tag = call->tag;
	kernel_message_send(s->service.kernel, s->peer, &message->message);
	return true;
}

static struct holder_call *holder_call_create(struct search *search, const char *address)
{
	struct holder_call *call = g_new0(struct holder_call, 1);

	call->search = search;
	call->tag = ++search->searcher->next_tag;
	call->address = g_strdup(address);
	call->groups = g_ptr_array_new();
	list_add_tail(&call->node, &search->calls);
	g_hash_table_insert(search->searcher->calls, (gpointer)(guintptr)call->tag, call);
	return call;
}

static struct holder_call *holder_call_find(struct search *search, const char *address)
{
	struct list_head *node;

	list_for_each (node, &search->calls) {
		struct holder_call *call = list_entry(node, struct holder_call, node);

		if (strcmp(call->address, address) == 0)
			return call;
	}
	return NULL;
}

static void search_scatter(struct search *search)
{
	struct searcher *s = search->searcher;
	struct list_head *node;
	struct list_head *next;

	for (guint i = 0; i < search->service->groups->len; i++) {
		struct manifest_group *g = g_ptr_array_index(search->service->groups, i);
		struct holder_route route = routing_find(s->routing, g);
		struct holder_call *call;

		if (!route.first) {
			group_missing_set(search, g, RESULT_NO_HOLDER);
			continue;
		}
		call = holder_call_find(search, route.first);
		if (!call)
			call = holder_call_create(search, route.first);
		g_ptr_array_add(call->groups, g);
	}
	list_for_each_safe (node, next, &search->calls)
		holder_call_send(s, list_entry(node, struct holder_call, node));
}

static uint64_t version_pick(struct searcher *s, const struct manifest_service *service)
{
	g_autofree const char **ids = g_new(const char *, service->groups->len);

	for (guint i = 0; i < service->groups->len; i++)
		ids[i] = ((struct manifest_group *)g_ptr_array_index(service->groups, i))->id;
	return snapshot_table_version_pick(s->snapshots, ids, service->groups->len,
					   service->index_version, clock_now_us());
}

static void search_pin(struct search *search)
{
	struct searcher *s = search->searcher;
	struct manifest_service *service = search->service;
	uint32_t deadline_ms = search->request->deadline_ms;
	struct gather_params params = {
		.index_version = version_pick(s, service),
		.map_version = service->map_version,
		.n_shards = service->n_shards,
		.policy = service->policy,
		.start_us = search->request->arrived_us,
		.target_us = (uint64_t)service->target_ms * CLOCK_US_PER_MS,
		.deadline_us = (uint64_t)service->deadline_ms * CLOCK_US_PER_MS,
	};

	if (deadline_ms > 0 && deadline_ms < service->deadline_ms)
		params.deadline_us = (uint64_t)deadline_ms * CLOCK_US_PER_MS;
	for (int i = 0; i < GATHER_ID_BYTES; i += 4) {
		guint32 word = g_rand_int(kernel_rand(s->service.kernel));

		memcpy(params.request_id + i, &word, sizeof(word));
	}
	gather_destroy(search->gather);
	search->gather = gather_create(&params);
}

/*
 * Starts the search again on another index version if snapshot_should_restart() says so. The
 * replies received so far are dropped, since hits of different versions must not be mixed.
 */
static bool search_restart(struct search *search)
{
	struct searcher *s = search->searcher;
	const struct gather_params *params = gather_params(search->gather);
	uint64_t now_us = clock_now_us();
	uint64_t end_us = gather_respond_at_us(search->gather);

	if (!snapshot_should_restart(params->index_version, version_pick(s, search->service),
				     gather_gone_count(search->gather), now_us - params->start_us,
				     end_us > now_us ? end_us - now_us : 0, search->restarts))
		return false;
	search->restarts++;
	counter_increment(kernel_counters(s->service.kernel), COUNTER_SEARCH_RESTARTS);
	calls_discard(search);
	search_pin(search);
	search_scatter(search);
	return true;
}

/* Answers the search, or starts it again, once no call is open or every shard is included. */
static void search_advance(struct search *search)
{
	if (!list_is_empty(&search->calls) &&
	    !coverage_is_complete(gather_coverage(search->gather)))
		return;
	if (search_restart(search) && !list_is_empty(&search->calls))
		return;
	search_answer(search);
}

static void search_expire(evutil_socket_t fd, short what, void *arg)
{
	search_answer(arg);
}

/*
 * When half of the search's time has passed, sends a NULL call to each holder that has not replied,
 * to learn whether it still runs. Without this probe, the shards of a paused or unreachable VM
 * would be missing although the standby can serve them.
 */
static void search_probe(evutil_socket_t fd, short what, void *arg)
{
	struct search *search = arg;
	struct searcher *s = search->searcher;
	uint64_t remaining_us = gather_remaining_us(search->gather, clock_now_us(), 0);
	struct list_head *node;

	list_for_each (node, &search->calls) {
		struct holder_call *call = list_entry(node, struct holder_call, node);
		struct peer_call *probe;

		if (call->has_failed_over)
			continue;
		probe = peer_call_create(
			APR_NULL, call->address, peer_args_create(APR_NULL),
			MAX(remaining_us / 4,
			    MIN(remaining_us / 2, hop_estimate_us(s->hops, call->address))));
		probe->reply_to = &s->service;
		probe->tag = ++s->next_tag;
		g_hash_table_insert(s->probes, (gpointer)(guintptr)probe->tag,
				    (gpointer)(guintptr)call->tag);
		kernel_message_send(s->service.kernel, s->peer, &probe->message);
	}
}

static void timer_set(struct event *timer, uint64_t wait_us)
{
	struct timeval timeout = {(time_t)(wait_us / 1000000), (suseconds_t)(wait_us % 1000000)};

	evtimer_add(timer, &timeout);
}

static void search_timers_set(struct search *search)
{
	uint64_t wait_us = gather_remaining_us(search->gather, clock_now_us(), 0);

	timer_set(search->expiry_timer, wait_us);
	timer_set(search->probe_timer, wait_us / 2);
}

static struct admission *admission_find(struct searcher *s, const char *service)
{
	struct admission *a = g_hash_table_lookup(s->admissions, service);

	if (!a) {
		a = admission_create();
		g_hash_table_insert(s->admissions, g_strdup(service), a);
	}
	return a;
}

static void request_receive(struct searcher *s, struct caller_request *request)
{
	struct manifest_service *service =
		s->manifest ? manifest_service_find(s->manifest, request->service) : NULL;
	struct manifest_class *klass =
		service ? manifest_class_find(service, request->klass) : NULL;
	struct admission *admission;
	struct search *search;

	if (!s->manifest) {
		request_refuse(s, request, RESULT_NOT_READY);
		return;
	}
	if (!klass || service->kind != MANIFEST_KIND_SEARCH) {
		request_refuse(s, request, RESULT_UNKNOWN_SERVICE);
		return;
	}
	admission = admission_find(s, service->name);
	if (!admission_admit(admission, klass->priority)) {
		request_refuse(s, request, RESULT_OVERLOADED);
		return;
	}
	counter_increment(kernel_counters(s->service.kernel), COUNTER_SEARCHES);
	g_free(request->klass);
	request->klass = g_strdup(klass->name);
	search = g_new0(struct search, 1);
	search->searcher = s;
	search->request = request;
	search->manifest = manifest_get(s->manifest);
	search->service = service;
	search->admission = admission;
	list_init(&search->calls);
	list_add_tail(&search->node, &s->searches);
	s->n_searches++;
	search->expiry_timer = evtimer_new(kernel_base(s->service.kernel), search_expire, search);
	search->probe_timer = evtimer_new(kernel_base(s->service.kernel), search_probe, search);
	search_pin(search);
	search_timers_set(search);
	search_scatter(search);
	search_advance(search);
}

static void shard_result_gather(struct search *search, const struct apr_search_reply *reply,
				const apr_shard_result *shard)
{
	struct counters *counters = kernel_counters(search->searcher->service.kernel);
	const unsigned char *id = (const unsigned char *)reply->request_id;
	enum result result = RESULT_LEAF_ERROR;
	json_t *hits;

	if (shard->result != RESULT_OK) {
		gather_missing_set(search->gather, id, reply->snapshot.index_version,
				   reply->snapshot.map_version, shard->shard, shard->result);
		return;
	}
	hits = json_loads(shard->hits, 0, NULL);
	result = gather_hits_add(search->gather, id, reply->snapshot.index_version,
				 reply->snapshot.map_version, shard->shard, hits);
	json_decref(hits);
	if (result == RESULT_MISMATCH)
		counter_increment(counters, COUNTER_LATE_ANSWERS);
	else if (result == RESULT_WRONG_SHARD)
		counter_increment(counters, COUNTER_DUPLICATE_SHARDS);
}

static void reply_gather(struct searcher *s, struct holder_call *call,
			 const struct apr_search_reply *reply)
{
	uint64_t now_us = clock_now_us();

	hop_observe(s->hops, call->address, now_us - call->sent_us, reply->served_us);
	for (u_int i = 0; i < reply->groups.groups_len; i++) {
		const apr_group_versions *g = &reply->groups.groups_val[i];

		if (g->versions.versions_len > 0)
			snapshot_table_report(s->snapshots, g->group,
					      (const uint64_t *)g->versions.versions_val,
					      g->versions.versions_len, now_us);
	}
	if (reply->result != RESULT_OK)
		call_missing_set(call, reply->result);
	for (u_int i = 0; i < reply->shards.shards_len; i++)
		shard_result_gather(call->search, reply, &reply->shards.shards_val[i]);
}

/*
 * Sends the groups of a call whose holder cannot serve them to their standby. This is done once for
 * each call. Returns whether any group has a standby; the shards of those without one are missing.
 */
static bool holder_call_fail_over(struct searcher *s, struct holder_call *call)
{
	struct search *search = call->search;
	bool any_sent = false;

	if (call->has_failed_over)
		return false;
	call->has_failed_over = true;
	for (guint i = 0; i < call->groups->len; i++) {
		struct manifest_group *g = g_ptr_array_index(call->groups, i);
		struct holder_route route = routing_find(s->routing, g);
		const char *standby;
		struct holder_call *next;

		standby = g_strcmp0(route.first, call->address) == 0 ? route.second : route.first;
		if (!standby) {
			group_missing_set(search, g, RESULT_HOLDER_LOST);
			continue;
		}
		next = holder_call_create(search, standby);
		next->has_failed_over = true;
		g_ptr_array_add(next->groups, g);
		counter_increment(kernel_counters(s->service.kernel), COUNTER_SEARCH_FAILOVERS);
		holder_call_send(s, next);
		any_sent = true;
	}
	return any_sent;
}

static bool holder_is_starting(const struct apr_search_reply *reply)
{
	return reply->result == RESULT_NOT_READY;
}

static void reply_receive(struct searcher *s, struct peer_reply *message)
{
	struct holder_call *call = g_hash_table_lookup(s->calls, (gpointer)(guintptr)message->tag);
	struct search *search;

	if (!call) {
		counter_increment(kernel_counters(s->service.kernel), COUNTER_LATE_ANSWERS);
		return;
	}
	search = call->search;
	/* A holder without a manifest has just started; its standby can serve the groups. */
	if (message->status == PEER_STATUS_DONE &&
	    (!holder_is_starting(message->result) || !holder_call_fail_over(s, call)))
		reply_gather(s, call, message->result);
	else if (message->status != PEER_STATUS_DONE && !holder_call_fail_over(s, call))
		call_missing_set(call, RESULT_HOLDER_LOST);
	holder_call_free(call);
	search_advance(search);
}

/*
 * Takes the reply to a probe. If the probe failed, the call fails over, but it stays open: a reply
 * that arrives after all is still gathered.
 */
static void probe_receive(struct searcher *s, const struct peer_reply *message)
{
	gpointer probe = (gpointer)(guintptr)message->tag;
	gpointer tag = g_hash_table_lookup(s->probes, probe);
	struct holder_call *call = g_hash_table_lookup(s->calls, tag);

	g_hash_table_remove(s->probes, probe);
	if (call && message->status != PEER_STATUS_DONE)
		holder_call_fail_over(s, call);
}

static void searcher_receive(struct service *service, struct message *m)
{
	struct searcher *s = (struct searcher *)service;

	switch ((enum message_kind)m->kind) {
	case MESSAGE_CALLER_REQUEST:
		request_receive(s, (struct caller_request *)m);
		return;
	case MESSAGE_PEER_REPLY:
		if (((struct peer_reply *)m)->procedure == APR_NULL)
			probe_receive(s, (struct peer_reply *)m);
		else
			reply_receive(s, (struct peer_reply *)m);
		break;
	case MESSAGE_CONFIG_APPLIED:
		manifest_put(s->manifest);
		s->manifest = manifest_get(((struct config_applied *)m)->manifest);
		routing_manifest_set(s->routing, s->manifest);
		break;
	case MESSAGE_ROSTER_CHANGED:
		routing_roster_set(s->routing, ((struct roster_changed *)m)->roster);
		break;
	default:
		break;
	}
	message_destroy(m);
}

static gboolean searcher_start(struct service *service, GError **error)
{
	struct searcher *s = (struct searcher *)service;

	s->peer = kernel_service_find(service->kernel, "peer");
	return TRUE;
}

static void searcher_destroy(struct service *service)
{
	struct searcher *s = (struct searcher *)service;
	struct list_head *node;

	while ((node = list_pop_head(&s->searches)))
		search_free(list_entry(node, struct search, node));
	g_hash_table_destroy(s->admissions);
	g_hash_table_destroy(s->calls);
	g_hash_table_destroy(s->probes);
	routing_destroy(s->routing);
	snapshot_table_destroy(s->snapshots);
	hop_table_destroy(s->hops);
	manifest_put(s->manifest);
	g_free(s);
}

struct service *searcher_create(struct kernel *k)
{
	static const struct service_ops ops = {
		.name = "searcher",
		.start = searcher_start,
		.receive = searcher_receive,
		.destroy = searcher_destroy,
	};
	struct searcher *s = g_new0(struct searcher, 1);

	s->service.ops = &ops;
	s->routing = routing_create();
	s->snapshots = snapshot_table_create();
	s->hops = hop_table_create();
	s->admissions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      (GDestroyNotify)admission_destroy);
	s->calls = g_hash_table_new(NULL, NULL);
	s->probes = g_hash_table_new(NULL, NULL);
	list_init(&s->searches);
	return &s->service;
}
