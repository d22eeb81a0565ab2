#include "job.h"

#include "clock.h"
#include "log.h"
#include "retryafter.h"
#include "scatter.h"
#include "topk.h"

#include <stdlib.h>
#include <string.h>

/* Least time that a leaf call is worth sending with. */
#define CALL_MIN_US 2000
/* Calls whose request is answered may finish within this time, so that their connections can be
 * used again; longer ones are cancelled. */
#define LINGER_US 400000
/* The caller has left: leaves must not be at work for it half a second later. */
#define LEFT_LINGER_US 200000
#define TRIED_MAX 8
/* Bytes of the trace of one request, so that its line stays short. */
#define TRACE_BYTES 900

struct job;

struct job_call {
	struct leaf_call call;
	const struct leaf *leaf; /* borrowed; the shard's list of tried leaves holds it */
	struct list_head node; /* in job.calls */
	struct job *job;
	unsigned int shard;
	bool is_repeat; /* counted in the budget */
};

struct job_shard {
	const char *service;
	struct leaf *tried[TRIED_MAX]; /* references */
	unsigned int n_tried;
	unsigned int n_sent; /* calls that may have run */
	unsigned int n_arrivals; /* calls that were sent, refused ones included */
};

struct job {
	struct list_head node;
	struct job_env *env;
	struct http_request *request; /* NULL once answered or left */
	struct routemap *map;
	const struct route *route;
	struct route_stats *stats;
	struct scatter *scatter;
	struct event *timer;
	struct list_head calls;
	char *id;
	char *method;
	GString *head; /* request line and fields that are the same for every leaf */
	GByteArray *body;
	uint64_t read_us;
	uint64_t deadline_us;
	uint64_t timer_us; /* what the timer is set for */
	uint64_t useful_us; /* an answer so long after reading is in time; 0: there is no goal */
	/* the answer */
	struct topk *top;
	GString *signatures;
	GString *failure_fields; /* of the last leaf answer that was no success; NULL: none */
	GByteArray *failure_body;
	unsigned int failure_status;
	GString *trace; /* decisions besides first calls; NULL: none yet */
	unsigned int n_calls;
	unsigned int n_hedges;
	unsigned int n_moved; /* calls that had waited here went to another leaf */
	unsigned int n_retries;
	unsigned int n_held; /* second calls that waited, since the budget was low */
	unsigned int n_denied; /* repeats that the budget did not allow */
	unsigned int n_shards;
	struct job_shard shards[];
};

static const char *const outcome_names[] = {
#define X(symbol, name) name,
	JOB_OUTCOME_LIST(X)
#undef X
};

const char *job_outcome_name(enum job_outcome outcome)
{
	return outcome_names[outcome];
}

struct route_stats *route_stats_find(struct job_env *env, const struct route *route)
{
	g_autofree char *key = g_strconcat(route->host, route->prefix, NULL);
	struct route_stats *stats = g_hash_table_lookup(env->stats, key);

	if (stats)
		return stats;
	stats = g_new0(struct route_stats, 1);
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

/*
 * Notes one decision: "+MS WHAT SERVICE LEAF WHY;". First calls are not noted, except those of a
 * request to a single service.
 */
static void trace_add(struct job *j, const char *what, const char *service, const struct leaf *leaf,
		      const char *why, uint64_t now_us)
{
	if (!j->trace)
		j->trace = g_string_sized_new(128);
	if (j->trace->len > TRACE_BYTES)
		return;
	g_string_append_printf(j->trace, "+%" G_GUINT64_FORMAT " %s %s %s%s%s;",
			       (now_us - j->read_us) / 1000, what, service, leaf ? leaf->id : "-",
			       why ? " " : "", why ? why : "");
}

static void job_destroy(struct job *j)
{
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

static void timer_set(struct job *j, uint64_t at_us, uint64_t now_us)
{
	uint64_t wait_us = at_us > now_us ? at_us - now_us : 0;
	struct timeval wait = {(time_t)(wait_us / 1000000), (suseconds_t)(wait_us % 1000000)};

	if (j->timer_us == at_us)
		return;
	j->timer_us = at_us;
	event_add(j->timer, &wait);
}

/* Takes back a call; the caller has noted it in scatter. */
static void call_cancel(struct job_call *c, enum leaf_end end, uint64_t now_us)
{
	struct job *j = c->job;

	list_del(&c->node);
	if (c->is_repeat && !c->call.conn)
		repeats_refund(j->env->repeats, j->shards[c->shard].service, now_us);
	upstream_cancel(j->env->upstream, &c->call, end, now_us);
	g_free(c);
}

/* Calls that were not sent yet are not needed any more. */
static void unsent_cancel(struct job *j, uint64_t now_us)
{
	struct list_head *pos;
	struct list_head *next;

	list_for_each_safe (pos, next, &j->calls) {
		struct job_call *c = list_entry(pos, struct job_call, node);

		if (!c->call.conn)
			call_cancel(c, LEAF_END_CANCELLED, now_us);
	}
}

/* Names the shards that the answer lacks, each with the leaves that were tried. */
static void trace_missing(struct job *j, uint64_t now_us)
{
	for (unsigned int i = 0; i < j->n_shards; i++) {
		const struct job_shard *sh = &j->shards[i];

		if (scatter_is_in(j->scatter, i))
			continue;
		if (sh->n_tried == 0)
			trace_add(j, "missing", sh->service, NULL, "no leaf", now_us);
		for (unsigned int k = 0; k < sh->n_tried; k++)
			trace_add(j, "missing", sh->service, sh->tried[k],
				  scatter_is_waiting(j->scatter, i) ? "unanswered" : "lost",
				  now_us);
	}
}

/* A request whose line the rate leaves out is named in a list at least. */
static void end_log(const struct job *j, enum job_outcome outcome, unsigned int status,
		    uint64_t took_us)
{
	enum log_level level = outcome == JOB_COMPLETE ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING;
	unsigned int n_in = scatter_in_count(j->scatter);

	if (log_request(level, j->id, "request_done",
			"outcome=%s status=%u route=%s version=%" G_GUINT64_FORMAT
			" in=%u of=%u calls=%u hedges=%u moved=%u retries=%u held=%u denied=%u"
			" wait_ms=%" G_GUINT64_FORMAT " took_us=%" G_GUINT64_FORMAT " trace=\"%s\"",
			outcome_names[outcome], status, j->route->name ? j->route->name : "-",
			j->map->version, n_in, j->n_shards, j->n_calls, j->n_hedges, j->n_moved,
			j->n_retries, j->n_held, j->n_denied, (j->deadline_us - j->read_us) / 1000,
			took_us, j->trace ? j->trace->str : ""))
		return;
	log_list_add(LOG_LIST_BRIEF, "%s:%s:%u:%u/%u", j->id, outcome_names[outcome], status, n_in,
		     j->n_shards);
}

/* The caller has its answer or has left: what remains are calls that may finish for a while. */
static void job_finish(struct job *j, enum job_outcome outcome, unsigned int status,
		       uint64_t linger_us)
{
	uint64_t now_us = clock_now_us();
	uint64_t took_us = now_us - j->read_us;

	j->request = NULL;
	j->stats->outcomes[outcome]++;
	hist_add(j->stats->answer_us, took_us);
	if (outcome != JOB_COMPLETE && outcome != JOB_PASSED)
		trace_missing(j, now_us);
	end_log(j, outcome, status, took_us);
	unsent_cancel(j, now_us);
	if (list_is_empty(&j->calls))
		job_destroy(j);
	else
		timer_set(j, now_us + linger_us, now_us);
}

static void job_answer(struct job *j, enum job_outcome outcome, unsigned int status,
		       const char *fields, const char *body, size_t n)
{
	struct http_request *request = j->request;

	/* The server may hand over the next request of the connection at once. */
	j->request = NULL;
	http_request_set_data(request, NULL);
	http_request_answer(request, status, fields, body, n);
	job_finish(j, outcome, status, LINGER_US);
}

static void job_refuse(struct job *j, enum retry_reason reason)
{
	uint64_t now_us = clock_now_us();
	uint64_t left_ms = j->deadline_us > now_us ? (j->deadline_us - now_us) / 1000 : 1;
	char fields[64];

	g_snprintf(fields, sizeof(fields), "Retry-After: %.3f\r\n",
		   retryafter_choose_s(reason, left_ms, 0, j->env->rand));
	job_answer(j, JOB_REFUSED, 503, fields, "", 0);
}

static bool is_over_shards(const struct job *j)
{
	return j->route->shards != NULL;
}

static void answer_parts(struct job *j)
{
	const struct edge_fields *names = &j->env->edge->fields;
	unsigned int n_in = scatter_in_count(j->scatter);
	GString *fields = g_string_sized_new(j->signatures->len + 128);
	size_t n;
	const char *records = topk_records(j->top, &n);

	g_string_append_printf(fields, "%s: %s\r\n%s: %s\r\n%s: %u\r\n", names->request_id, j->id,
			       names->part_signatures, j->signatures->str, names->missing_count,
			       j->n_shards - n_in);
	job_answer(j, n_in == j->n_shards ? JOB_COMPLETE : JOB_PARTIAL, 200, fields->str, records,
		   n);
	g_string_free(fields, TRUE);
}

/* Passes on the leaf's answer that no other attempt has bettered. */
static void answer_failure(struct job *j)
{
	g_autofree char *fields = g_strdup(j->failure_fields->str);
	GByteArray *body = j->failure_body;

	g_byte_array_ref(body);
	job_answer(j, JOB_PASSED, j->failure_status, fields, (const char *)body->data, body->len);
	g_byte_array_unref(body);
}

static bool has_sent(const struct job *j)
{
	struct list_head *pos;

	list_for_each (pos, &j->calls)
		if (list_entry(pos, struct job_call, node)->call.conn)
			return true;
	for (unsigned int i = 0; i < j->n_shards; i++)
		if (j->shards[i].n_sent > 0)
			return true;
	return false;
}

/* The least share cannot be reached any more. */
static void answer_unreachable(struct job *j)
{
	if (!has_sent(j))
		job_refuse(j, j->n_calls == 0 ? RETRY_NO_LEAF : RETRY_LEAVES_FULL);
	else if (j->failure_fields && !is_over_shards(j))
		answer_failure(j);
	else
		job_answer(j, JOB_FAILED, 502, "", "", 0);
}

static bool shard_call(struct job *j, unsigned int shard, uint64_t now_us);
static void call_start(struct job *j, unsigned int shard, struct leaf *leaf, uint64_t now_us);

static struct job_call *unsent_find(struct job *j, unsigned int shard)
{
	struct list_head *pos;

	list_for_each (pos, &j->calls) {
		struct job_call *c = list_entry(pos, struct job_call, node);

		if (c->shard == shard && !c->call.conn)
			return c;
	}
	return NULL;
}

/*
 * An overdue call still waits here: it goes to another leaf if that one will answer sooner. No
 * leaf has seen it, so that this is no repeat.
 */
static void call_move(struct job *j, struct job_call *waiting, uint64_t now_us)
{
	unsigned int shard = waiting->shard;
	struct job_shard *sh = &j->shards[shard];
	struct leaf *leaf =
		leafset_choose_again(j->env->leaves, sh->service, sh->tried, sh->n_tried, now_us);

	if (!leaf || sh->n_tried == TRIED_MAX ||
	    !leafset_is_sooner(j->env->leaves, leaf, waiting->leaf, now_us)) {
		scatter_hedge_defer(j->scatter, shard, now_us);
		return;
	}
	call_cancel(waiting, LEAF_END_CANCELLED, now_us);
	scatter_call_withdrawn(j->scatter, shard);
	trace_add(j, "move", sh->service, leaf, NULL, now_us);
	j->n_moved++;
	call_start(j, shard, leaf, now_us);
}

static void hedges_send(struct job *j, uint64_t now_us)
{
	for (unsigned int shard = 0; scatter_hedge_next(j->scatter, &shard, now_us); shard++) {
		struct job_call *waiting = unsent_find(j, shard);
		double left = repeats_left(j->env->repeats, j->shards[shard].service, REPEATS_HEDGE,
					   now_us);

		if (waiting)
			call_move(j, waiting, now_us);
		else if (scatter_hedge_holds(j->scatter, shard, left, now_us))
			j->n_held++;
		else if (shard_call(j, shard, now_us))
			j->n_hedges++;
	}
}

/* Acts on the verdict; the job may be gone afterwards. */
static void job_advance(struct job *j, uint64_t now_us)
{
	uint64_t wake_us = 0;

	if (!j->request)
		return;
	switch (scatter_verdict(j->scatter, now_us, &wake_us)) {
	case SCATTER_WAIT:
		timer_set(j, wake_us, now_us);
		break;
	case SCATTER_ANSWER:
		/* An answer of a single service is passed on as soon as it is in. */
		answer_parts(j);
		break;
	case SCATTER_FAILED:
		answer_unreachable(j);
		break;
	case SCATTER_TIMED_OUT:
		if (has_sent(j))
			job_answer(j, JOB_TIMED_OUT, 504, "", "", 0);
		else
			job_refuse(j, RETRY_LEAVES_FULL);
		break;
	}
}

static void calls_cancel(struct job *j, uint64_t now_us)
{
	while (!list_is_empty(&j->calls)) {
		struct job_call *c = list_entry(j->calls.next, struct job_call, node);
		bool is_silent = now_us - c->call.started_us > LINGER_US;

		call_cancel(c, is_silent ? LEAF_END_SILENT : LEAF_END_CANCELLED, now_us);
	}
	job_destroy(j);
}

static void timer_handle(evutil_socket_t fd, short what, void *arg)
{
	struct job *j = arg;
	uint64_t now_us = clock_now_us();

	j->timer_us = 0;
	if (!j->request) {
		calls_cancel(j, now_us);
		return;
	}
	hedges_send(j, now_us);
	job_advance(j, now_us);
}

static struct job_call *from_call(struct leaf_call *call)
{
	return list_entry(call, struct job_call, call);
}

static void call_render(struct leaf_call *call, GString *out)
{
	struct job_call *c = from_call(call);
	struct job *j = c->job;
	const struct edge_fields *names = &j->env->edge->fields;
	uint64_t now_us = clock_now_us();
	uint64_t left_ms = j->deadline_us > now_us ? (j->deadline_us - now_us) / 1000 : 0;

	j->shards[c->shard].n_arrivals++;
	g_string_append_len(out, j->head->str, (gssize)j->head->len);
	g_string_append_printf(out, "%s: %" G_GUINT64_FORMAT "\r\n%s: %s\r\n\r\n",
			       names->deadline_ms, MAX(1, left_ms), names->leaf_id, call->leaf->id);
	g_string_append_len(out, (const char *)j->body->data, j->body->len);
}

static bool call_matches(struct leaf_call *call, const struct http_reader *answer)
{
	const struct job *j = from_call(call)->job;
	const char *id = http_reader_find(answer, j->env->edge->fields.request_id);

	return !id || strcmp(id, j->id) == 0;
}

/* Fields of a leaf's answer that go on to the caller, as lines. */
static GString *fields_copy(const struct http_reader *answer)
{
	GString *out = g_string_sized_new(256);

	for (unsigned int i = 0; i < http_reader_field_count(answer); i++) {
		struct http_field f = http_reader_field(answer, i);

		if (!http_field_is_hop(answer, f.name))
			g_string_append_printf(out, "%s: %s\r\n", f.name, f.value);
	}
	return out;
}

static void failure_keep(struct job *j, const struct http_reader *answer)
{
	size_t n;
	const char *body = http_reader_body(answer, &n);

	if (j->failure_fields) {
		g_string_free(j->failure_fields, TRUE);
		g_byte_array_free(j->failure_body, TRUE);
	}
	j->failure_fields = fields_copy(answer);
	j->failure_status = http_reader_status(answer);
	j->failure_body = g_byte_array_new();
	g_byte_array_append(j->failure_body, (const guint8 *)body, (guint)n);
}

static bool is_success(const struct http_reader *answer)
{
	unsigned int status = http_reader_status(answer);

	return status >= 200 && status < 300;
}

static void part_add(struct job *j, const struct http_reader *answer, const char *signature)
{
	size_t n;
	const char *body = http_reader_body(answer, &n);

	topk_add(j->top, body, n);
	g_string_append_printf(j->signatures, "%s%s", j->signatures->len ? ", " : "", signature);
}

static void answer_pass(struct job *j, const struct http_reader *answer)
{
	GString *fields = fields_copy(answer);
	size_t n;
	const char *body = http_reader_body(answer, &n);

	job_answer(j, is_success(answer) ? JOB_COMPLETE : JOB_PASSED, http_reader_status(answer),
		   fields->str, body, n);
	g_string_free(fields, TRUE);
}

/* Sends a lost call of the shard again where that is allowed. */
static void shard_recover(struct job *j, unsigned int shard, uint64_t now_us)
{
	if (scatter_is_in(j->scatter, shard) || scatter_is_waiting(j->scatter, shard))
		return;
	if (shard_call(j, shard, now_us))
		j->n_retries++;
	else
		scatter_calls_exhausted(j->scatter, shard);
}

static enum leaf_end call_lost(struct job_call *c, const struct leaf *leaf, enum leaf_end end,
			       bool has_run)
{
	struct job *j = c->job;
	unsigned int shard = c->shard;
	uint64_t now_us = clock_now_us();

	if (c->is_repeat && c->call.sent_us == 0)
		repeats_refund(j->env->repeats, j->shards[shard].service, now_us);
	list_del(&c->node);
	g_free(c);
	trace_add(j, "lost", j->shards[shard].service, leaf, leaf_end_name(end), now_us);
	if (!j->request) {
		if (list_is_empty(&j->calls))
			job_destroy(j);
		return end;
	}
	if (has_run)
		j->shards[shard].n_sent++;
	scatter_call_lost(j->scatter, shard,
			  has_run ? SCATTER_LOSS_MAY_HAVE_RUN : SCATTER_LOSS_NOT_RUN);
	shard_recover(j, shard, now_us);
	job_advance(j, now_us);
	return end;
}

static void call_succeeded(struct job_call *c, const struct http_reader *answer,
			   const char *signature)
{
	struct job *j = c->job;
	unsigned int shard = c->shard;
	uint64_t now_us = clock_now_us();
	bool is_first;

	hist_add(j->stats->call_us, now_us - c->call.started_us);
	list_del(&c->node);
	g_free(c);
	if (!j->request) {
		if (list_is_empty(&j->calls))
			job_destroy(j);
		return;
	}
	j->shards[shard].n_sent++;
	is_first = scatter_call_answered(j->scatter, shard);
	if (!is_over_shards(j)) {
		answer_pass(j, answer);
		return;
	}
	if (is_first)
		part_add(j, answer, signature);
	job_advance(j, now_us);
}

static enum leaf_end call_done(struct leaf_call *call, enum leaf_end end,
			       const struct http_reader *answer, bool was_sent)
{
	struct job_call *c = from_call(call);
	struct job *j = c->job;
	const struct edge_fields *names = &j->env->edge->fields;
	const struct leaf *leaf = c->leaf;
	const char *signature;

	if (!answer)
		return call_lost(c, leaf, end, was_sent);
	if (http_reader_status(answer) == 421)
		return call_lost(c, leaf, LEAF_END_WRONG, false);
	if (http_reader_find(answer, names->not_run))
		return call_lost(c, leaf, LEAF_END_REFUSED, false);
	signature = http_reader_find(answer, names->signature);
	if (is_success(answer) && signature && !http_reader_find(answer, "Content-Encoding")) {
		call_succeeded(c, answer, signature);
		return LEAF_END_ANSWERED;
	}
	if (j->request && !is_success(answer) && signature && !is_over_shards(j))
		failure_keep(j, answer);
	return call_lost(c, leaf, LEAF_END_ERRORED, true);
}

static const struct leaf_call_ops call_ops = {
	.render = call_render,
	.matches = call_matches,
	.done = call_done,
};

static void call_start(struct job *j, unsigned int shard, struct leaf *leaf, uint64_t now_us)
{
	struct job_shard *sh = &j->shards[shard];
	const struct routemap_service *service = routemap_service_find(j->map, sh->service);
	struct job_call *c = g_new0(struct job_call, 1);

	sh->tried[sh->n_tried++] = leaf_get(leaf);
	c->job = j;
	c->shard = shard;
	c->leaf = leaf;
	c->is_repeat = sh->n_arrivals > 0;
	c->call.ops = &call_ops;
	c->call.useful_us = j->useful_us;
	c->call.is_partial = is_over_shards(j);
	c->call.wants_fresh = !j->route->is_idempotent;
	list_add_tail(&c->node, &j->calls);
	j->n_calls++;
	scatter_call_started(j->scatter, shard, now_us);
	upstream_call(j->env->upstream, &c->call, leaf, service ? service->max_connections : 1,
		      now_us);
}

/*
 * The leaf for the next call of the shard, or NULL. A second call beside an open one does not go to
 * a doubted leaf, nor does one for a lost part of a search: it would cost budget and rarely be
 * answered. A request to a single service has nothing else left.
 */
static struct leaf *shard_choose(struct job *j, const struct job_shard *sh, bool is_hedge,
				 uint64_t now_us)
{
	const struct leafset *leaves = j->env->leaves;
	bool is_last_resort = sh->n_tried == 0 || (!is_hedge && !is_over_shards(j));
	struct leaf *leaf;

	if (is_last_resort)
		leaf = leafset_choose(leaves, sh->service, sh->tried, sh->n_tried, now_us);
	else
		leaf = leafset_choose_again(leaves, sh->service, sh->tried, sh->n_tried, now_us);
	if (leaf || is_hedge || sh->n_tried == 0)
		return leaf;
	/* After a loss a leaf that was tried may be asked again. */
	return is_last_resort ? leafset_choose(leaves, sh->service, NULL, 0, now_us)
			      : leafset_choose_again(leaves, sh->service, NULL, 0, now_us);
}

/* Sends one call of the shard; false when no leaf, attempt or budget is left for it. */
static bool shard_call(struct job *j, unsigned int shard, uint64_t now_us)
{
	struct job_shard *sh = &j->shards[shard];
	bool is_hedge = scatter_is_waiting(j->scatter, shard);
	struct leaf *leaf;

	if (sh->n_tried == TRIED_MAX || !scatter_may_call(j->scatter, shard) ||
	    j->deadline_us < now_us + CALL_MIN_US)
		return false;
	leaf = shard_choose(j, sh, is_hedge, now_us);
	if (!leaf)
		return false;
	if (sh->n_arrivals > 0 &&
	    !repeats_spend(j->env->repeats, sh->service,
			   is_hedge ? REPEATS_HEDGE : REPEATS_RECOVERY, now_us)) {
		j->n_denied++;
		trace_add(j, "denied", sh->service, leaf, "budget", now_us);
		return false;
	}
	if (sh->n_tried > 0 || !is_over_shards(j))
		trace_add(j, is_hedge ? "hedge" : "call", sh->service, leaf, NULL, now_us);
	call_start(j, shard, leaf, now_us);
	return true;
}

/* Copies the request as every leaf gets it, without the fields that the product sets itself. */
static void head_copy(struct job *j, const struct http_reader *message)
{
	const struct edge_fields *names = &j->env->edge->fields;
	size_t n;
	const char *body = http_reader_body(message, &n);

	j->head = g_string_sized_new(512);
	g_string_append_printf(j->head, "%s %s HTTP/1.1\r\n", http_reader_method(message),
			       http_reader_target(message));
	for (unsigned int i = 0; i < http_reader_field_count(message); i++) {
		struct http_field f = http_reader_field(message, i);

		if (http_field_is_hop(message, f.name) ||
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
	struct scatter_wait wait = {
		.read_us = j->read_us,
		.goal_ms = route->goal_ms,
		.timeout_ms = route->timeout_ms,
		.wait_ms = http_milliseconds_parse(wait_text),
	};

	j->stats->longest_wait_ms = MAX(j->stats->longest_wait_ms, wait.wait_ms);
	wait.longest_ms = j->stats->longest_wait_ms;
	scatter_times_set(policy, &wait);
	j->deadline_us = policy->deadline_us;
	if (policy->goal_at_us > j->read_us)
		j->useful_us = policy->goal_at_us - j->read_us;
	policy->hedge_after_us =
		scatter_hedge_delay_us(j->stats->call_us, (uint64_t)route->goal_ms * 1000);
	policy->hedge_last_at_us = scatter_hedge_last_at_us(j->stats->call_us, policy->goal_at_us);
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
	j->id = g_strdup(http_reader_find(message, env->edge->fields.request_id));
	j->n_shards = n;
	list_init(&j->calls);
	list_add_tail(&j->node, &env->jobs);
	env->n_jobs++;
	head_copy(j, message);
	times_set(j, &policy, http_reader_find(message, env->edge->fields.deadline_ms));
	j->scatter = scatter_create(&policy);
	j->timer = evtimer_new(env->base, timer_handle, j);
	if (route->shards) {
		j->top = topk_create(route->top_k);
		j->signatures = g_string_sized_new((gsize)64 * n);
	}
	return j;
}

void job_start(struct job_env *env, struct routemap *map, struct http_request *request)
{
	const struct http_reader *message = http_request_message(request);
	const char *host = http_reader_find(message, "Host");
	const char *id = http_reader_find(message, env->edge->fields.request_id);
	const struct route *route;
	struct job *j;

	log_list_add(LOG_LIST_BEGUN, "%s", id ? id : "-");
	if (!host || !id) {
		log_request(LOG_LEVEL_WARNING, id, "request_refused", "status=400 lacks=%s",
			    id ? "host" : "id");
		http_request_answer(request, 400, "", "", 0);
		return;
	}
	route = routemap_find(map, host, http_reader_target(message));
	if (!route) {
		log_request(LOG_LEVEL_WARNING, id, "request_refused",
			    "status=404 host=%.80s path=%.120s version=%" G_GUINT64_FORMAT, host,
			    http_reader_target(message), map->version);
		http_request_answer(request, 404, "", "", 0);
		return;
	}
	j = job_create(env, map, route, request);
	http_request_set_data(request, j);
	for (unsigned int i = 0; i < j->n_shards; i++) {
		j->shards[i].service = route->shards ? g_ptr_array_index(route->shards, i)
						     : splits_next(env->splits, route);
		repeats_request(env->repeats, j->shards[i].service, j->read_us);
		if (!shard_call(j, i, j->read_us))
			scatter_calls_exhausted(j->scatter, i);
	}
	/* What may not run twice is on record before it ends, also when this VM loses power. */
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
		job_finish(j, JOB_LEFT, 0, LEFT_LINGER_US);
}

void job_end_all(struct job_env *env)
{
	struct list_head *node;

	while ((node = list_pop_head(&env->jobs)))
		calls_cancel(list_entry(node, struct job, node), clock_now_us());
}
