#include "commander.h"

#include "clock.h"
#include "command.h"
#include "message.h"
#include "pausewatch.h"
#include "procedure.h"
#include "rendezvous.h"
#include "routing.h"

#include <string.h>

#define HOUSEKEEPING_MS 500
/* Added to the deadline for the holder's answer to arrive: two hops of 5 ms and time in a queue. */
#define ANSWER_SLACK_US 50000

struct commander {
	struct service service;
	struct commander_settings settings;
	struct service *peer;
	struct manifest *manifest;
	struct routing *routing;
	struct command_log *log;
	struct pausewatch *pausewatch;
	struct event *housekeeping;
	GHashTable *runs_by_id; /* struct command_run, in progress; owned by this table */
	GHashTable *runs_by_tag; /* the same runs, by the tag of the call to the holder */
	uint64_t next_tag;
};

/* A command in progress with the requests that wait for its result; the first one started it. */
struct command_run {
	char *id;
	uint64_t tag;
	GPtrArray *requests; /* struct caller_request */
};

static uint64_t uptime_ms(const struct commander *c)
{
	return clock_now_ms() - c->settings.started_ms;
}

static void outcome_count(struct commander *c, enum outcome outcome)
{
	static const enum counter by_outcome[] = {
		[OUTCOME_DONE] = COUNTER_COMMANDS_DONE,
		[OUTCOME_NOT_RUN] = COUNTER_COMMANDS_NOT_RUN,
		[OUTCOME_UNKNOWN] = COUNTER_COMMANDS_UNKNOWN,
	};

	counter_increment(kernel_counters(c->service.kernel), by_outcome[outcome]);
}

/* Takes over the request. */
static void request_answer(struct commander *c, struct caller_request *request,
			   enum outcome outcome, enum result result, const char *text)
{
	json_t *body = json_pack("{s:s, s:i, s:s, s:s}", "outcome", outcome_name(outcome), "result",
				 result, "reason", result_name(result), "id", request->id);
	struct caller_answer *answer = caller_answer_create(request, result, body);

	if (outcome == OUTCOME_DONE) {
		json_t *body_json = json_loads(text, JSON_DECODE_ANY, NULL);

		json_object_set_new(body, "body", body_json ? body_json : json_string(text));
	}
	if (c->manifest && manifest_service_find(c->manifest, request->service)) {
		answer->service = g_strdup(request->service);
		answer->klass = g_strdup(request->klass);
	}
	outcome_count(c, outcome);
	kernel_message_send(c->service.kernel, request->reply_to, &answer->message);
	message_destroy(&request->message);
}

static void run_free(gpointer data)
{
	struct command_run *run = data;

	for (guint i = 0; i < run->requests->len; i++)
		message_destroy(
			&((struct caller_request *)g_ptr_array_index(run->requests, i))->message);
	g_ptr_array_free(run->requests, TRUE);
	g_free(run->id);
	g_free(run);
}

static void run_finish(struct commander *c, struct command_run *run, enum outcome outcome,
		       enum result result, const char *body)
{
	command_log_finish(c->log, run->id, outcome, result, body);
	for (guint i = 0; i < run->requests->len; i++)
		request_answer(c, g_ptr_array_index(run->requests, i), outcome, result, body);
	g_ptr_array_set_size(run->requests, 0);
	g_hash_table_remove(c->runs_by_tag, (gpointer)(guintptr)run->tag);
	g_hash_table_remove(c->runs_by_id, run->id);
}

static apr_command_args *command_args_create(const struct commander *c,
					     const struct caller_request *request,
					     const struct manifest_service *service,
					     const struct manifest_group *g, unsigned int shard,
					     uint64_t time_left_us)
{
	apr_command_args *args = peer_args_create(APR_COMMAND);

	args->id = g_strdup(request->id);
	args->entry_incarnation = c->settings.incarnation;
	args->service = g_strdup(service->name);
	args->klass = g_strdup(request->klass);
	args->caller = g_strdup(request->caller);
	args->map_version = service->map_version;
	args->group = g_strdup(g->id);
	args->shard = shard;
	args->deadline_us = (u_int)time_left_us;
	args->body = g_strdup(request->body);
	return args;
}

/* Time until the request's deadline, which the service's deadline limits; 0 if it has passed. */
static uint64_t remaining_us(const struct caller_request *request,
			     const struct manifest_service *service)
{
	uint32_t deadline_ms = service->deadline_ms;
	uint64_t end_us;
	uint64_t now_us = clock_now_us();

	if (request->deadline_ms > 0)
		deadline_ms = MIN(deadline_ms, request->deadline_ms);
	end_us = request->arrived_us + (uint64_t)deadline_ms * CLOCK_US_PER_MS;
	return end_us > now_us ? end_us - now_us : 0;
}

/*
 * Sends the only call of this command to the holder. Returns RESULT_OK if it was sent, otherwise
 * the reason why the command was not run.
 */
static enum result run_dispatch(struct commander *c, struct command_run *run)
{
	struct caller_request *request = g_ptr_array_index(run->requests, 0);
	struct manifest_service *service;
	struct manifest_group *g;
	struct peer_call *call;
	struct holder_route route;
	unsigned int shard;
	uint64_t time_left_us;

	if (!c->manifest)
		return RESULT_NOT_READY;
	if (pausewatch_is_stale(c->pausewatch))
		return RESULT_STALE;
	service = manifest_service_find(c->manifest, request->service);
	if (!service || service->kind != MANIFEST_KIND_COMMAND ||
	    !manifest_class_find(service, request->klass))
		return RESULT_UNKNOWN_SERVICE;
	time_left_us = remaining_us(request, service);
	if (time_left_us == 0)
		return RESULT_DEADLINE;
	shard = rendezvous_name_hash(request->key) % service->n_shards;
	g = service->shard_group[shard];
	route = routing_find(c->routing, g);
	if (!route.first)
		return RESULT_NO_HOLDER;
	call = peer_call_create(APR_COMMAND, route.first,
				command_args_create(c, request, service, g, shard, time_left_us),
				time_left_us + ANSWER_SLACK_US);
	call->reply_to = &c->service;
	call->tag = run->tag;
	kernel_message_send(c->service.kernel, c->peer, &call->message);
	return RESULT_OK;
}

static void run_start(struct commander *c, struct caller_request *request)
{
	struct command_run *run = g_new0(struct command_run, 1);
	enum result refusal;

	run->id = g_strdup(request->id);
	run->tag = ++c->next_tag;
	run->requests = g_ptr_array_new();
	g_ptr_array_add(run->requests, request);
	g_hash_table_insert(c->runs_by_id, run->id, run);
	g_hash_table_insert(c->runs_by_tag, (gpointer)(guintptr)run->tag, run);
	refusal = run_dispatch(c, run);
	/* Not dispatched; the id is stored as not run, so that a delayed copy cannot run either. */
	if (refusal != RESULT_OK)
		run_finish(c, run, OUTCOME_NOT_RUN, refusal, "");
}

static void pause_check(struct commander *c)
{
	if (pausewatch_tick(c->pausewatch, clock_now_ms()))
		renewal_request(c->service.kernel);
}

static void request_receive(struct commander *c, struct caller_request *request)
{
	const struct command_result *finished;
	enum result reason = RESULT_OK;
	struct command_run *run;
	struct command_id parsed;

	counter_increment(kernel_counters(c->service.kernel), COUNTER_COMMANDS);
	pause_check(c);
	switch (command_log_begin(c->log, request->id, uptime_ms(c), &finished, &reason)) {
	case COMMAND_DISPATCH:
		run_start(c, request);
		return;
	case COMMAND_WAIT:
		counter_increment(kernel_counters(c->service.kernel), COUNTER_COMMAND_REPEATS);
		run = g_hash_table_lookup(c->runs_by_id, request->id);
		g_ptr_array_add(run->requests, request);
		return;
	case COMMAND_FINISHED:
		counter_increment(kernel_counters(c->service.kernel), COUNTER_COMMAND_REPEATS);
		request_answer(c, request, finished->outcome, finished->result, finished->body);
		return;
	case COMMAND_REFUSE:
		/*
		 * A command with a malformed id can never run. One whose id was issued in the
		 * future may run later.
		 */
		request_answer(c, request,
			       result_is_not_run(reason) || !command_id_parse(request->id, &parsed)
				       ? OUTCOME_NOT_RUN
				       : OUTCOME_UNKNOWN,
			       reason, "");
		return;
	}
}

static void reply_receive(struct commander *c, const struct peer_reply *message)
{
	struct command_run *run =
		g_hash_table_lookup(c->runs_by_tag, (gpointer)(guintptr)message->tag);
	const struct apr_command_reply *reply = message->result;

	if (!run) {
		counter_increment(kernel_counters(c->service.kernel), COUNTER_LATE_ANSWERS);
		return;
	}
	if (message->status == PEER_STATUS_NOT_SENT)
		run_finish(c, run, OUTCOME_NOT_RUN, RESULT_NO_HOLDER, "");
	else if (message->status == PEER_STATUS_LOST || strcmp(reply->id, run->id) != 0 ||
		 reply->outcome < OUTCOME_DONE || reply->outcome > OUTCOME_UNKNOWN)
		run_finish(c, run, OUTCOME_UNKNOWN, RESULT_LOST_ANSWER, "");
	else
		run_finish(c, run, reply->outcome, reply->result, reply->body);
}

static void commander_housekeep(evutil_socket_t fd, short what, void *arg)
{
	struct commander *c = arg;

	pause_check(c);
	if (pausewatch_is_stale(c->pausewatch))
		renewal_request(c->service.kernel);
	command_log_expire(c->log, uptime_ms(c));
}

static void status_answer(struct commander *c, const struct status_request *request)
{
	json_t *body = json_pack("{s:{s:I, s:I, s:I, s:b}}", "commander", "in_progress",
				 (json_int_t)g_hash_table_size(c->runs_by_id), "ids",
				 (json_int_t)command_log_count(c->log), "bytes",
				 (json_int_t)command_log_bytes(c->log), "stale",
				 pausewatch_is_stale(c->pausewatch));
	struct status_reply *reply = status_reply_create(request->tag, body);

	kernel_message_send(c->service.kernel, request->reply_to, &reply->message);
}

static void commander_receive(struct service *service, struct message *m)
{
	struct commander *c = (struct commander *)service;

	switch ((enum message_kind)m->kind) {
	case MESSAGE_CALLER_REQUEST:
		request_receive(c, (struct caller_request *)m);
		return;
	case MESSAGE_PEER_REPLY:
		reply_receive(c, (struct peer_reply *)m);
		break;
	case MESSAGE_CONFIG_APPLIED:
		manifest_put(c->manifest);
		c->manifest = manifest_get(((struct config_applied *)m)->manifest);
		routing_manifest_set(c->routing, c->manifest);
		break;
	case MESSAGE_ROSTER_CHANGED:
		routing_roster_set(c->routing, ((struct roster_changed *)m)->roster);
		break;
	case MESSAGE_STATE_RENEWED:
		pausewatch_tick(c->pausewatch, clock_now_ms());
		pausewatch_renewed(c->pausewatch, ((struct state_renewed *)m)->asked_ms);
		break;
	case MESSAGE_STATUS_REQUEST:
		status_answer(c, (struct status_request *)m);
		break;
	default:
		break;
	}
	message_destroy(m);
}

static gboolean commander_start(struct service *service, GError **error)
{
	static const struct timeval period = {0, HOUSEKEEPING_MS * 1000L};
	struct commander *c = (struct commander *)service;

	c->peer = kernel_service_find(service->kernel, "peer");
	event_add(c->housekeeping, &period);
	return TRUE;
}

static void commander_destroy(struct service *service)
{
	struct commander *c = (struct commander *)service;

	event_free(c->housekeeping);
	g_hash_table_destroy(c->runs_by_tag);
	g_hash_table_destroy(c->runs_by_id);
	routing_destroy(c->routing);
	command_log_destroy(c->log);
	pausewatch_destroy(c->pausewatch);
	manifest_put(c->manifest);
	g_free(c);
}

struct service *commander_create(struct kernel *k, const struct commander_settings *settings)
{
	static const struct service_ops ops = {
		.name = "commander",
		.start = commander_start,
		.receive = commander_receive,
		.destroy = commander_destroy,
	};
	struct commander *c = g_new0(struct commander, 1);

	c->service.ops = &ops;
	c->settings = *settings;
	c->routing = routing_create();
	c->log = command_log_create(settings->incarnation, settings->id_lifetime_ms,
				    settings->max_ids);
	c->pausewatch = pausewatch_create(settings->lease_ms);
	c->runs_by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);
	c->runs_by_tag = g_hash_table_new(NULL, NULL);
	c->housekeeping = event_new(kernel_base(k), -1, EV_PERSIST, commander_housekeep, c);
	return &c->service;
}
