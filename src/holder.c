#include "holder.h"

#include "clock.h"
#include "command.h"
#include "leafgroup.h"
#include "log.h"
#include "marks.h"
#include "message.h"
#include "pausewatch.h"
#include "procedure.h"
#include "routing.h"

#include <string.h>

#define TICK_US 1000
#define HOUSEKEEPING_MS 500
/* Connections to a group that other VMs hold are closed after this time without a call. */
#define GROUP_IDLE_MS 60000
/*
 * The same for a group whose description was replaced. The time is shorter because the leaves'
 * slots are shared with the group of the new description.
 */
#define GROUP_REPLACED_MS 2000
/*
 * After a pause of the process nothing is dispatched for this time, so that the messages that
 * waited in the sockets are read first: they may say that a backend server is leaving.
 */
#define RESUME_HOLD_MS 50

struct holder {
	struct service service;
	struct holder_settings settings;
	struct leafgroup_env env;
	struct manifest *manifest;
	struct manifest *previous; /* before the last change; for requests pinned to it */
	struct routing *routing;
	GHashTable *groups; /* digest of a group's description -> struct held_group */
	struct marks *marks;
	struct command_log *commands;
	struct pausewatch *pausewatch;
	struct event *resume_timer;
	bool dispatch_is_held;
	struct event *tick_timer;
	struct event *housekeeping_timer;
	uint64_t last_call_number;
	unsigned int n_jobs;
	struct list_head searches; /* struct search_job */
	struct list_head command_jobs; /* struct command_job */
};

struct held_group {
	struct leafgroup *leafgroup;
	uint64_t last_used_ms;
};

/* The leaf call for one shard of a search. */
struct shard_call {
	struct leafgroup_call call;
	struct search_job *job;
	struct leafgroup *leafgroup;
	unsigned int index; /* position of the shard in the reply */
	bool is_done;
};

/* A SEARCH call of an entry VM that has not been answered. */
struct search_job {
	struct list_head node;
	struct holder *holder;
	struct peer_call *request;
	struct apr_search_reply *reply;
	struct manifest *manifest;
	struct shard_call *calls;
	unsigned int n_calls;
	unsigned int n_open; /* calls that have not ended */
	struct event *timer;
	bool is_submitting; /* a call that ends now must not finish the job */
	uint64_t started_us;
};

/* A COMMAND call of an entry VM that has not been answered. */
struct command_job {
	struct list_head node;
	struct leafgroup_call call;
	struct holder *holder;
	struct peer_call *request;
	struct manifest *manifest;
	struct leafgroup *leafgroup;
	struct event *timer;
};

static void tick_arm(struct holder *h)
{
	static const struct timeval period = {0, TICK_US};

	if (!evtimer_pending(h->tick_timer, NULL))
		evtimer_add(h->tick_timer, &period);
}

static void jobs_change(struct holder *h, int change)
{
	h->n_jobs += change;
	if (h->n_jobs > 0)
		tick_arm(h);
}

static void holder_tick(evutil_socket_t fd, short what, void *arg)
{
	struct holder *h = arg;
	uint64_t now_us = clock_now_us();
	GHashTableIter iter;
	gpointer value;
	bool has_jobs = h->n_jobs > 0;

	g_hash_table_iter_init(&iter, h->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct leafgroup *lg = ((struct held_group *)value)->leafgroup;

		if (!leafgroup_is_idle(lg))
			leafgroup_tick(lg, now_us);
	}
	if (has_jobs)
		tick_arm(h);
}

static void held_group_free(gpointer data)
{
	struct held_group *held = data;

	leafgroup_destroy(held->leafgroup);
	g_free(held);
}

/* Returns the group with the same description as g, created if this VM has none yet. */
static struct leafgroup *group_get(struct holder *h, struct manifest *m,
				   const struct manifest_group *g)
{
	struct held_group *held = g_hash_table_lookup(h->groups, g->digest);

	if (!held) {
		held = g_new0(struct held_group, 1);
		held->leafgroup = leafgroup_create(&h->env, m, g);
		g_hash_table_insert(h->groups, g_strdup(g->digest), held);
	}
	held->last_used_ms = clock_now_ms();
	return held->leafgroup;
}

/* The manifest with the map that the request was pinned to; the current one if it is not kept. */
static struct manifest *manifest_for(struct holder *h, const char *service, uint64_t map_version)
{
	struct manifest *manifests[] = {h->manifest, h->previous};

	for (size_t i = 0; i < G_N_ELEMENTS(manifests); i++) {
		struct manifest_service *s =
			manifests[i] ? manifest_service_find(manifests[i], service) : NULL;

		if (s && s->map_version == map_version)
			return manifests[i];
	}
	return h->manifest;
}

static void reply_send(struct holder *h, struct peer_call *request, void *result)
{
	struct peer_reply *reply =
		peer_reply_create(request->tag, request->procedure, PEER_STATUS_DONE, result);

	if (request->reply_to)
		kernel_message_send(h->service.kernel, request->reply_to, &reply->message);
	else
		message_destroy(&reply->message);
	message_destroy(&request->message);
}

static void shard_result_set(struct search_job *job, unsigned int index, unsigned int shard,
			     enum result result, const char *hits, size_t hits_bytes)
{
	apr_shard_result *out = &job->reply->shards.shards_val[index];

	out->shard = shard;
	out->result = result;
	g_free(out->hits);
	out->hits = g_strndup(hits, hits_bytes);
}

/* Adds to the reply the index versions that the leaves of each group in the call serve. */
static void versions_report(struct search_job *job)
{
	const apr_search_args *args = job->request->args;
	unsigned int n = args->parts.parts_len;
	apr_group_versions *out = g_new0(apr_group_versions, n);

	for (unsigned int i = 0; i < n; i++) {
		uint64_t versions[APR_VERSIONS_MAX] = {0};
		struct manifest_group *g =
			manifest_group_find(job->manifest, args->parts.parts_val[i].group);
		struct held_group *held =
			g ? g_hash_table_lookup(job->holder->groups, g->digest) : NULL;
		unsigned int n_versions = 0;

		out[i].group = g_strdup(args->parts.parts_val[i].group);
		if (held)
			n_versions =
				leafgroup_versions(held->leafgroup, versions, APR_VERSIONS_MAX);
		out[i].versions.versions_val = g_new0(u_quad_t, MAX(n_versions, 1));
		out[i].versions.versions_len = n_versions;
		for (unsigned int j = 0; j < n_versions; j++)
			out[i].versions.versions_val[j] = versions[j];
	}
	job->reply->groups.groups_val = out;
	job->reply->groups.groups_len = n;
}

/* Replies; shards whose calls have not ended are reported as missing. Frees the job. */
static void search_job_finish(struct search_job *job)
{
	struct holder *h = job->holder;
	uint64_t now_us = clock_now_us();

	for (unsigned int i = 0; i < job->n_calls; i++) {
		struct shard_call *sc = &job->calls[i];

		if (sc->is_done || !sc->leafgroup)
			continue;
		shard_result_set(job, sc->index, sc->call.shard,
				 leafgroup_withdraw(sc->leafgroup, &sc->call, now_us)
					 ? RESULT_LEAF_TIMEOUT
					 : RESULT_DEADLINE,
				 "", 0);
	}
	versions_report(job);
	job->reply->served_us = (u_int)MIN(now_us - job->started_us, G_MAXUINT32);
	reply_send(h, job->request, job->reply);
	list_del(&job->node);
	event_free(job->timer);
	manifest_put(job->manifest);
	g_free(job->calls);
	g_free(job);
	jobs_change(h, -1);
}

static void search_job_expire(evutil_socket_t fd, short what, void *arg)
{
	search_job_finish(arg);
}

static void shard_call_done(struct leafgroup_call *call, enum result result, bool was_sent,
			    const char *body, size_t body_bytes)
{
	struct shard_call *sc = list_entry(call, struct shard_call, call);
	struct search_job *job = sc->job;

	sc->is_done = true;
	job->n_open--;
	if (body_bytes > APR_HITS_MAX) {
		result = RESULT_TOO_LARGE;
		body_bytes = 0;
	}
	shard_result_set(job, sc->index, call->shard, result, body, body_bytes);
	if (job->n_open == 0 && !job->is_submitting)
		search_job_finish(job);
}

static void shard_call_prepare(struct shard_call *sc, const apr_search_args *args,
			       unsigned int priority, uint64_t deadline_us)
{
	sc->call.kind = LEAFCALL_SEARCH;
	sc->call.index_version = args->snapshot.index_version;
	sc->call.map_version = args->snapshot.map_version;
	sc->call.body = args->query;
	sc->call.body_bytes = strlen(args->query);
	sc->call.done = shard_call_done;
	sc->call.item.priority = priority;
	sc->call.item.deadline_us = deadline_us;
	sc->call.item.caller = args->caller;
}

static void search_job_submit(struct search_job *job, unsigned int priority)
{
	const apr_search_args *args = job->request->args;
	uint64_t now_us = clock_now_us();
	unsigned int index = 0;

	job->is_submitting = true;
	for (unsigned int i = 0; i < args->parts.parts_len; i++) {
		const apr_part *part = &args->parts.parts_val[i];
		struct manifest_group *g = manifest_group_find(job->manifest, part->group);
		struct leafgroup *lg = g ? group_get(job->holder, job->manifest, g) : NULL;

		for (unsigned int j = 0; j < part->shards.shards_len; j++, index++) {
			struct shard_call *sc = &job->calls[index];

			sc->job = job;
			sc->index = index;
			sc->call.shard = part->shards.shards_val[j];
			sc->leafgroup = lg;
			if (!lg) {
				sc->is_done = true;
				job->n_open--;
				shard_result_set(job, index, sc->call.shard, RESULT_WRONG_SHARD, "",
						 0);
				continue;
			}
			shard_call_prepare(sc, args, priority, now_us + args->deadline_us);
			leafgroup_submit(lg, &sc->call, now_us);
		}
	}
	job->is_submitting = false;
}

static unsigned int shards_count(const apr_search_args *args)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < args->parts.parts_len; i++)
		n += args->parts.parts_val[i].shards.shards_len;
	return n;
}

static void search_refuse(struct holder *h, struct peer_call *request, enum result result)
{
	const apr_search_args *args = request->args;
	struct apr_search_reply *reply = peer_result_create(APR_SEARCH);

	memcpy(reply->request_id, args->request_id, sizeof(reply->request_id));
	reply->snapshot = args->snapshot;
	reply->result = result;
	reply_send(h, request, reply);
}

static void search_receive(struct holder *h, struct peer_call *request)
{
	const apr_search_args *args = request->args;
	struct manifest *m = manifest_for(h, args->service, args->snapshot.map_version);
	struct manifest_service *service = m ? manifest_service_find(m, args->service) : NULL;
	struct manifest_class *klass = service ? manifest_class_find(service, args->klass) : NULL;
	unsigned int n = shards_count(args);
	struct search_job *job;
	struct timeval timeout = {args->answer_us / 1000000, args->answer_us % 1000000};

	if (!m || !klass || n == 0 || n > APR_SHARDS_MAX) {
		search_refuse(h, request, !m ? RESULT_NOT_READY : RESULT_UNKNOWN_SERVICE);
		return;
	}
	job = g_new0(struct search_job, 1);
	job->holder = h;
	job->request = request;
	job->manifest = manifest_get(m);
	job->started_us = clock_now_us();
	job->reply = peer_result_create(APR_SEARCH);
	memcpy(job->reply->request_id, args->request_id, sizeof(args->request_id));
	job->reply->snapshot = args->snapshot;
	job->reply->shards.shards_val = g_new0(apr_shard_result, n);
	job->reply->shards.shards_len = n;
	job->calls = g_new0(struct shard_call, n);
	job->n_calls = n;
	job->n_open = n;
	job->timer = evtimer_new(kernel_base(h->service.kernel), search_job_expire, job);
	list_add_tail(&job->node, &h->searches);
	jobs_change(h, 1);
	search_job_submit(job, klass->priority);
	if (job->n_open == 0)
		search_job_finish(job);
	else
		evtimer_add(job->timer, &timeout);
}

static void command_answer(struct holder *h, struct peer_call *request, enum outcome outcome,
			   enum result result, const char *body)
{
	const apr_command_args *args = request->args;
	struct apr_command_reply *reply = peer_result_create(APR_COMMAND);

	reply->id = g_strdup(args->id);
	reply->outcome = outcome;
	reply->result = result;
	reply->body = g_strdup(body);
	reply_send(h, request, reply);
}

static void command_job_finish(struct command_job *job, enum outcome outcome, enum result result,
			       const char *body)
{
	struct holder *h = job->holder;
	const apr_command_args *args = job->request->args;

	command_log_finish(h->commands, args->id, outcome, result, body);
	command_answer(h, job->request, outcome, result, body);
	list_del(&job->node);
	event_free(job->timer);
	manifest_put(job->manifest);
	g_free(job);
	jobs_change(h, -1);
}

static void command_call_done(struct leafgroup_call *call, enum result result, bool was_sent,
			      const char *body, size_t body_bytes)
{
	struct command_job *job = list_entry(call, struct command_job, call);
	enum outcome outcome = command_outcome(result, was_sent);

	if (body_bytes > APR_BODY_MAX)
		body = "";
	if (outcome == OUTCOME_UNKNOWN)
		result = RESULT_LOST_ANSWER;
	command_job_finish(job, outcome, result, body);
}

static void command_job_expire(evutil_socket_t fd, short what, void *arg)
{
	struct command_job *job = arg;
	bool was_sent = leafgroup_withdraw(job->leafgroup, &job->call, clock_now_us());

	if (was_sent)
		command_job_finish(job, OUTCOME_UNKNOWN, RESULT_LOST_ANSWER, "");
	else
		command_job_finish(job, OUTCOME_NOT_RUN, RESULT_DEADLINE, "");
}

static void command_job_start(struct holder *h, struct peer_call *request, struct manifest *m,
			      const struct manifest_group *g, unsigned int priority)
{
	const apr_command_args *args = request->args;
	struct timeval timeout = {args->deadline_us / 1000000, args->deadline_us % 1000000};
	struct command_job *job = g_new0(struct command_job, 1);
	uint64_t now_us = clock_now_us();

	job->holder = h;
	job->request = request;
	job->manifest = manifest_get(m);
	job->leafgroup = group_get(h, m, g);
	job->call.kind = LEAFCALL_COMMAND;
	job->call.id = args->id;
	job->call.map_version = args->map_version;
	job->call.shard = args->shard;
	job->call.body = args->body;
	job->call.body_bytes = strlen(args->body);
	job->call.done = command_call_done;
	job->call.item.priority = priority;
	job->call.item.deadline_us = now_us + args->deadline_us;
	job->call.item.caller = args->caller;
	job->timer = evtimer_new(kernel_base(h->service.kernel), command_job_expire, job);
	evtimer_add(job->timer, &timeout);
	list_add_tail(&job->node, &h->command_jobs);
	jobs_change(h, 1);
	leafgroup_submit(job->leafgroup, &job->call, now_us);
}

/* Why the command must not be dispatched; RESULT_OK when it may be. */
static enum result command_refusal_reason(const struct holder *h, const struct manifest *m,
					  const struct manifest_class *klass,
					  const struct manifest_group *g)
{
	if (pausewatch_is_stale(h->pausewatch))
		return RESULT_STALE;
	if (!m)
		return RESULT_NOT_READY;
	return klass && g ? RESULT_OK : RESULT_NO_REPLICA;
}

/*
 * If the process was paused, holds back dispatches for RESUME_HOLD_MS and asks the other services
 * to renew what they know of the platform and of other VMs.
 */
static void pause_check(struct holder *h)
{
	static const struct timeval hold = {0, RESUME_HOLD_MS * 1000L};

	if (pausewatch_tick(h->pausewatch, clock_now_ms()) == 0)
		return;
	renewal_request(h->service.kernel);
	h->dispatch_is_held = true;
	evtimer_add(h->resume_timer, &hold);
}

/* Called by the groups before they dispatch calls to leaves. */
static enum leafgroup_permit dispatch_permit(void *arg)
{
	struct holder *h = arg;

	pause_check(h);
	if (h->dispatch_is_held)
		return LEAFGROUP_PERMIT_NOTHING;
	return pausewatch_is_stale(h->pausewatch) ? LEAFGROUP_PERMIT_SEARCHES
						  : LEAFGROUP_PERMIT_ALL;
}

static void holder_resume(evutil_socket_t fd, short what, void *arg)
{
	struct holder *h = arg;

	h->dispatch_is_held = false;
	tick_arm(h);
}

static void command_receive(struct holder *h, struct peer_call *request)
{
	const apr_command_args *args = request->args;
	struct manifest *m = manifest_for(h, args->service, args->map_version);
	struct manifest_service *service = m ? manifest_service_find(m, args->service) : NULL;
	struct manifest_class *klass = service ? manifest_class_find(service, args->klass) : NULL;
	struct manifest_group *g = m ? manifest_group_find(m, args->group) : NULL;
	const struct command_result *stored;
	enum result reason = RESULT_OK;

	pause_check(h);
	switch (command_log_begin(h->commands, args->id, clock_now_ms(), &stored, &reason)) {
	case COMMAND_DISPATCH:
		reason = command_refusal_reason(h, m, klass, g);
		if (reason == RESULT_OK) {
			command_job_start(h, request, m, g, klass->priority);
			return;
		}
		/* The log stores the refusal, so that the id cannot run after this answer. */
		command_log_finish(h->commands, args->id, OUTCOME_NOT_RUN, reason, "");
		command_answer(h, request, OUTCOME_NOT_RUN, reason, "");
		return;
	case COMMAND_FINISHED:
		command_answer(h, request, stored->outcome, stored->result, stored->body);
		return;
	case COMMAND_WAIT:
		command_answer(h, request, OUTCOME_UNKNOWN, RESULT_DUPLICATE_ID, "");
		return;
	case COMMAND_REFUSE:
		command_answer(h, request,
			       result_is_not_run(reason) ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
			       reason, "");
		return;
	}
}

static void drain_seen(void *arg, const char *backend, uint64_t incarnation)
{
	struct holder *h = arg;

	marks_drain_seen(h->marks, backend, incarnation);
}

static void config_receive(struct holder *h, struct manifest *m)
{
	GHashTableIter iter;
	gpointer value;

	manifest_put(h->previous);
	h->previous = h->manifest;
	h->manifest = manifest_get(m);
	routing_manifest_set(h->routing, m);
	marks_manifest_set(h->marks, m);
	/* Groups whose description has not changed keep their connections and statistics. */
	g_hash_table_iter_init(&iter, h->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct leafgroup *lg = ((struct held_group *)value)->leafgroup;
		struct manifest_group *g = manifest_group_find(m, leafgroup_id(lg));

		if (g && strcmp(g->digest, leafgroup_digest(lg)) == 0)
			leafgroup_manifest_set(lg, m, g);
	}
}

/* Whether this VM is the holder or the standby of the group. */
static bool group_is_routed_here(struct holder *h, const struct manifest_group *g)
{
	struct holder_route route = routing_find(h->routing, g);

	return g_strcmp0(route.first, h->settings.rpc_address) == 0 ||
	       g_strcmp0(route.second, h->settings.rpc_address) == 0;
}

/* Opens connections to the groups that this VM is the holder of, before their first call. */
static void own_groups_connect(struct holder *h)
{
	uint64_t now_us = clock_now_us();

	for (guint i = 0; h->manifest && i < h->manifest->groups->len; i++) {
		const struct manifest_group *g = g_ptr_array_index(h->manifest->groups, i);
		struct holder_route route = routing_find(h->routing, g);

		if (g_strcmp0(route.first, h->settings.rpc_address) == 0)
			leafgroup_connections_open(group_get(h, h->manifest, g), now_us);
	}
}

/*
 * Frees groups without calls that this VM no longer holds (after GROUP_IDLE_MS) or whose
 * description was replaced (after GROUP_REPLACED_MS).
 */
static void unused_groups_free(struct holder *h)
{
	uint64_t now_ms = clock_now_ms();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, h->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct held_group *held = value;
		struct manifest_group *g =
			h->manifest
				? manifest_group_find(h->manifest, leafgroup_id(held->leafgroup))
				: NULL;

		uint64_t idle_ms = GROUP_IDLE_MS;

		if (!g || strcmp(g->digest, leafgroup_digest(held->leafgroup)) != 0)
			idle_ms = GROUP_REPLACED_MS;
		else if (group_is_routed_here(h, g))
			continue;
		if (leafgroup_is_idle(held->leafgroup) && now_ms - held->last_used_ms > idle_ms)
			g_hash_table_iter_remove(&iter);
	}
}

static void holder_housekeep(evutil_socket_t fd, short what, void *arg)
{
	struct holder *h = arg;
	uint64_t now_ms = clock_now_ms();

	pause_check(h);
	if (pausewatch_is_stale(h->pausewatch))
		renewal_request(h->service.kernel);
	command_log_expire(h->commands, now_ms);
	unused_groups_free(h);
	own_groups_connect(h);
}

static json_t *holder_status(struct holder *h)
{
	json_t *groups = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, h->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append_new(
			groups,
			leafgroup_status(((struct held_group *)value)->leafgroup, clock_now_us()));
	return json_pack("{s:{s:I, s:I, s:I, s:b, s:o}}", "holder", "jobs", (json_int_t)h->n_jobs,
			 "command_ids", (json_int_t)command_log_count(h->commands), "command_bytes",
			 (json_int_t)command_log_bytes(h->commands), "stale",
			 pausewatch_is_stale(h->pausewatch), "groups", groups);
}

static void status_answer(struct holder *h, const struct status_request *request)
{
	struct status_reply *reply = status_reply_create(request->tag, holder_status(h));

	kernel_message_send(h->service.kernel, request->reply_to, &reply->message);
}

static void peer_call_receive(struct holder *h, struct peer_call *request)
{
	switch (request->procedure) {
	case APR_SEARCH:
		search_receive(h, request);
		break;
	case APR_COMMAND:
		command_receive(h, request);
		break;
	case APR_MARK:
		marks_receive(h->marks, request->args);
		reply_send(h, request, peer_result_create(APR_MARK));
		break;
	case APR_NULL:
		reply_send(h, request, peer_result_create(APR_NULL));
		break;
	default:
		message_destroy(&request->message);
	}
}

static void holder_receive(struct service *s, struct message *m)
{
	struct holder *h = (struct holder *)s;

	switch ((enum message_kind)m->kind) {
	case MESSAGE_PEER_CALL:
		peer_call_receive(h, (struct peer_call *)m);
		return;
	case MESSAGE_CONFIG_APPLIED:
		config_receive(h, ((struct config_applied *)m)->manifest);
		own_groups_connect(h);
		break;
	case MESSAGE_ROSTER_CHANGED:
		routing_roster_set(h->routing, ((struct roster_changed *)m)->roster);
		own_groups_connect(h);
		break;
	case MESSAGE_VMS_READ:
		marks_vm_list_apply(h->marks, ((struct vms_read *)m)->vms,
				    ((struct vms_read *)m)->version);
		break;
	case MESSAGE_STATE_RENEWED:
		pausewatch_tick(h->pausewatch, clock_now_ms());
		pausewatch_renewed(h->pausewatch, ((struct state_renewed *)m)->asked_ms);
		break;
	case MESSAGE_STATUS_REQUEST:
		status_answer(h, (struct status_request *)m);
		break;
	default:
		break;
	}
	message_destroy(m);
}

static gboolean holder_start(struct service *s, GError **error)
{
	static const struct timeval period = {0, HOUSEKEEPING_MS * 1000L};
	struct holder *h = (struct holder *)s;

	event_add(h->housekeeping_timer, &period);
	return TRUE;
}

static void holder_destroy(struct service *s)
{
	struct holder *h = (struct holder *)s;
	struct list_head *node;

	/* The replies that this sends stay in the kernel's queue; the kernel frees them. */
	while ((node = list_pop_head(&h->searches)))
		search_job_finish(list_entry(node, struct search_job, node));
	while ((node = list_pop_head(&h->command_jobs)))
		command_job_expire(-1, 0, list_entry(node, struct command_job, node));
	event_free(h->resume_timer);
	event_free(h->tick_timer);
	event_free(h->housekeeping_timer);
	g_hash_table_destroy(h->groups);
	routing_destroy(h->routing);
	manifest_put(h->manifest);
	manifest_put(h->previous);
	marks_destroy(h->marks);
	command_log_destroy(h->commands);
	pausewatch_destroy(h->pausewatch);
	g_free(h);
}

struct service *holder_create(struct kernel *k, const struct holder_settings *settings)
{
	static const struct service_ops ops = {
		.name = "holder",
		.start = holder_start,
		.receive = holder_receive,
		.destroy = holder_destroy,
	};
	struct holder *h = g_new0(struct holder, 1);

	h->service.ops = &ops;
	h->settings = *settings;
	h->groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, held_group_free);
	list_init(&h->searches);
	list_init(&h->command_jobs);
	h->routing = routing_create();
	h->marks = marks_create(k, h->routing);
	h->commands = command_log_create_holder(settings->id_lifetime_ms, settings->max_ids);
	h->pausewatch = pausewatch_create(settings->lease_ms);
	h->env = (struct leafgroup_env){
		.base = kernel_base(k),
		.counters = kernel_counters(k),
		.rand = kernel_rand(k),
		.leaving = marks_leaving(h->marks),
		.incarnation = settings->incarnation,
		.last_call_number = &h->last_call_number,
		.drain_seen = drain_seen,
		.permit = dispatch_permit,
		.arg = h,
	};
	h->resume_timer = evtimer_new(kernel_base(k), holder_resume, h);
	h->tick_timer = evtimer_new(kernel_base(k), holder_tick, h);
	h->housekeeping_timer = event_new(kernel_base(k), -1, EV_PERSIST, holder_housekeep, h);
	return &h->service;
}
