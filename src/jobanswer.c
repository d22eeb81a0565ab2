#include "jobstate.h"

#include "clock.h"
#include "log.h"
#include "routedresult.h"

#include <string.h>

/* Nothing is added to a trace that is longer than this, so that the log line stays short. */
#define TRACE_BYTES 900

static const char *const outcome_names[] = {
#define X(symbol, name) name,
	JOB_OUTCOME_LIST(X)
#undef X
};

const char *job_outcome_name(enum job_outcome outcome)
{
	return outcome_names[outcome];
}

void jobanswer_trace_add(struct job *j, const char *what, const char *service,
			 const struct leaf *leaf, const char *why, uint64_t now_us)
{
	if (!j->trace)
		j->trace = g_string_sized_new(128);
	if (j->trace->len > TRACE_BYTES)
		return;
	g_string_append_printf(j->trace, "+%" G_GUINT64_FORMAT " %s %s %s%s%s;",
			       (now_us - j->read_us) / 1000, what, service, leaf ? leaf->id : "-",
			       why ? " " : "", why ? why : "");
}

void jobanswer_trace_spread_add(struct job *j, const char *what, const struct job_shard *sh,
				const struct leaf *leaf, uint64_t now_us)
{
	char why[64];

	g_snprintf(why, sizeof(why), "spread uneven=%.2f", sh->spread_uneven);
	jobanswer_trace_add(j, what, sh->service, leaf, why, now_us);
}

/*
 * Adds to the trace of a sharded request the first leaves that spreading chose, of the shards whose
 * calls the trace names. Returns the number of such leaves in all shards.
 */
static unsigned int trace_spread_add(struct job *j, uint64_t now_us)
{
	unsigned int n_spread = 0;

	for (unsigned int i = 0; i < j->n_shards; i++) {
		const struct job_shard *sh = &j->shards[i];

		if (sh->spread_uneven <= 0)
			continue;
		n_spread++;
		if (job_is_sharded(j) && sh->n_tried > 0 &&
		    (sh->n_tried > 1 || !scatter_is_answered(j->scatter, i)))
			jobanswer_trace_spread_add(j, "first", sh, sh->tried[0], now_us);
	}
	return n_spread;
}

/* Adds to the trace each shard that the answer lacks, with the leaves that were tried. */
static void trace_missing_add(struct job *j, uint64_t now_us)
{
	for (unsigned int i = 0; i < j->n_shards; i++) {
		const struct job_shard *sh = &j->shards[i];

		if (scatter_is_answered(j->scatter, i))
			continue;
		if (sh->n_tried == 0)
			jobanswer_trace_add(j, "missing", sh->service, NULL, "no leaf", now_us);
		for (unsigned int k = 0; k < sh->n_tried; k++)
			jobanswer_trace_add(j, "missing", sh->service, sh->tried[k],
					    scatter_has_open_call(j->scatter, i) ? "unanswered"
										 : "lost",
					    now_us);
	}
}

/* True if the shard can be called only at leaves outside the regions of its route; sets *leaf. */
static bool shard_is_barred(const struct job *j, unsigned int shard, uint64_t now_us,
			    struct leaf **leaf)
{
	const struct leafset *leaves = j->env->leaves;
	const GPtrArray *regions = j->route->regions;
	const char *service = j->shards[shard].service;

	if (!service || scatter_is_answered(j->scatter, shard) ||
	    leafset_choose_healthy(leaves, service, regions, NULL, 0, now_us))
		return false;
	*leaf = leafset_barred_find(leaves, service, regions, now_us);
	return *leaf != NULL;
}

/*
 * Adds to the trace how many shards are missing because of region restrictions, with a leaf of the
 * first one. Returns true if there are any.
 */
static bool trace_barred_add(struct job *j, uint64_t now_us)
{
	const struct leaf *first = NULL;
	unsigned int n = 0;
	g_autofree char *why = NULL;

	for (unsigned int i = 0; j->route->regions && i < j->n_shards; i++) {
		struct leaf *leaf;

		if (!shard_is_barred(j, i, now_us, &leaf))
			continue;
		first = first ? first : leaf;
		n++;
	}
	if (!first)
		return false;
	why = g_strdup_printf("region %s, %u of the shards", first->region ? first->region : "?",
			      n);
	jobanswer_trace_add(j, "barred", first->service, first, why, now_us);
	return true;
}

/*
 * Logs the end of the request. When the rate limit drops the line, the request is added to the next
 * line that lists requests (LOG_BATCH_BRIEF).
 */
static void end_log(struct job *j, enum job_outcome outcome, unsigned int status, uint64_t took_us)
{
	unsigned int n_spread = trace_spread_add(j, j->read_us + took_us);
	enum log_level level = outcome == JOB_COMPLETE ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING;
	unsigned int n_answered = scatter_answered_count(j->scatter);

	if (log_request(level, j->id, "request_done",
			"outcome=%s status=%u route=%s version=%" G_GUINT64_FORMAT
			" version_age_ms=%" G_GUINT64_FORMAT
			" in=%u of=%u calls=%u hedges=%u moved=%u retries=%u held=%u denied=%u "
			"spread=%u"
			" wait_ms=%" G_GUINT64_FORMAT " took_us=%" G_GUINT64_FORMAT " trace=\"%s\"",
			outcome_names[outcome], status, j->route->name ? j->route->name : "-",
			j->map->version, clock_now_ms() - j->map->applied_ms, n_answered,
			j->n_shards, j->n_calls, j->n_hedges, j->n_moved, j->n_retries, j->n_held,
			j->n_denied, n_spread, (j->deadline_us - j->read_us) / 1000, took_us,
			j->trace ? j->trace->str : ""))
		return;
	log_batch_add(LOG_BATCH_BRIEF, "%s:%s:%u:%u/%u", j->id, outcome_names[outcome], status,
		      n_answered, j->n_shards);
}

/* True if an answer at this time meets the goal, counted from the caller's first attempt. */
static bool is_in_time(const struct job *j, uint64_t took_us)
{
	uint64_t useful_us = scatter_useful_us(j->route->goal_ms);
	/* A partial answer is sent when the useful time ends, somewhat before the goal. */
	uint64_t margin_us = ((uint64_t)j->route->goal_ms * CLOCK_US_PER_MS - useful_us) / 2;

	if (!j->route->goal_ms)
		return true;
	if (!j->is_repeat)
		return took_us <= useful_us + margin_us;
	return j->useful_us > 0 && took_us <= j->useful_us + margin_us;
}

static void rank_end(const struct job *j, enum job_outcome outcome, uint64_t took_us,
		     uint64_t now_us)
{
	/* A caller that leaves before its goal does not count as missed. */
	bool is_served = outcome == JOB_COMPLETE || outcome == JOB_PARTIAL ||
			 outcome == JOB_PASSED || outcome == JOB_CALLER_LEFT;
	struct rank_end end = {
		.is_in_time = is_served && is_in_time(j, took_us),
		.is_repeat = j->is_repeat,
		.took_us = j->enough_at_us ? j->enough_at_us - j->read_us : took_us,
		.useful_us = j->answer_useful_us,
	};

	if (j->rank_group && !j->is_unsent)
		rank_ended(j->rank_group, j->rank_route, &end, now_us);
}

/* Frees what was kept of the answers. Calls that are open still bring theirs. */
static void parts_release(struct job *j)
{
	topk_destroy(j->top);
	j->top = NULL;
	if (j->signatures)
		g_string_free(j->signatures, TRUE);
	j->signatures = NULL;
	job_held_update(j);
}

void jobanswer_finish(struct job *j, enum job_outcome outcome, unsigned int status,
		      uint64_t linger_us)
{
	uint64_t now_us = clock_now_us();
	uint64_t took_us = now_us - j->read_us;

	j->request = NULL;
	j->stats->outcomes[outcome]++;
	hist_add(j->stats->answer_us, took_us);
	rank_end(j, outcome, took_us, now_us);
	if (outcome != JOB_COMPLETE && outcome != JOB_PASSED && !j->is_unsent) {
		if (trace_barred_add(j, now_us) && outcome == JOB_REFUSED)
			j->env->n_region_refused++;
		trace_missing_add(j, now_us);
	}
	end_log(j, outcome, status, took_us);
	jobcall_unsent_cancel(j, now_us);
	parts_release(j);
	if (list_is_empty(&j->calls))
		job_destroy(j);
	else
		job_timer_set(j, now_us + linger_us, now_us);
}

static void answer_send(struct job *j, enum job_outcome outcome, unsigned int status,
			const char *fields, const char *body, size_t n)
{
	struct http_request *request = j->request;

	/*
	 * http_request_answer may pass on the connection's next request before it returns, so the
	 * job drops its pointer to this one first.
	 */
	j->request = NULL;
	http_request_set_data(request, NULL);
	http_request_answer(request, status, fields, body, n);
	jobanswer_finish(j, outcome, status, JOB_LINGER_US);
}

static void refuse(struct job *j, enum routed_result result, double retry_after_s)
{
	char fields[64];

	g_snprintf(fields, sizeof(fields), "Retry-After: %.3f\r\n", retry_after_s);
	answer_send(j, JOB_REFUSED, routed_status(result), fields, "", 0);
}

/* How long the caller still waits, at least 1 ms. */
static uint64_t caller_wait_ms(const struct job *j)
{
	uint64_t now_us = clock_now_us();

	return j->deadline_us > now_us ? MAX(1, (j->deadline_us - now_us) / 1000) : 1;
}

void jobanswer_refuse(struct job *j, enum retryafter_reason reason)
{
	uint64_t wait_ms = caller_wait_ms(j);
	enum routed_result result = reason == RETRYAFTER_STOPPING  ? ROUTED_STOPPING
				    : reason == RETRYAFTER_NO_LEAF ? ROUTED_NO_LEAF
								   : ROUTED_LEAVES_FULL;

	if (j->env->ranks && reason == RETRYAFTER_LEAVES_FULL)
		refuse(j, result, retryafter_choose_rank_s(job_rank(j), wait_ms, j->env->rand));
	else
		refuse(j, result, retryafter_choose_s(reason, wait_ms, 0, j->env->rand));
}

/*
 * Longest time until a shard's leaves may take a call; 0 when no shard has to wait for that. Shards
 * without a leaf are left out.
 */
static uint64_t limit_wait_us(const struct job *j, uint64_t now_us)
{
	uint64_t longest_us = 0;
	uint64_t wait_us;

	for (unsigned int i = 0; i < j->n_shards; i++)
		if (leafset_wait_us(j->env->leaves, j->shards[i].service, j->route->regions, now_us,
				    &wait_us))
			longest_us = MAX(longest_us, wait_us);
	return longest_us;
}

/* Refuses a request for which no call was sent. */
static void unsent_refuse(struct job *j)
{
	uint64_t wait_us = limit_wait_us(j, clock_now_us());

	if (wait_us > 0)
		refuse(j, ROUTED_NO_LEAF,
		       retryafter_choose_limited_s(wait_us, caller_wait_ms(j), j->env->rand));
	else
		jobanswer_refuse(j, RETRYAFTER_NO_LEAF);
}

void jobanswer_merged_send(struct job *j)
{
	const struct adapter_fields *names = &j->env->adapter->fields;
	unsigned int n_answered = scatter_answered_count(j->scatter);
	GString *fields = g_string_sized_new(j->signatures->len + 128);
	size_t n;
	const char *records = topk_records(j->top, &n);

	g_string_append_printf(fields, "%s: %s\r\n%s: %s\r\n%s: %u\r\n", names->request_id, j->id,
			       names->part_signatures, j->signatures->str, names->missing_count,
			       j->n_shards - n_answered);
	if (n_answered == j->n_shards)
		answer_send(j, JOB_COMPLETE, routed_status(ROUTED_COMPLETE), fields->str, records,
			    n);
	else
		answer_send(j, JOB_PARTIAL, routed_status(ROUTED_PARTIAL), fields->str, records, n);
	g_string_free(fields, TRUE);
}

/* Header lines of a leaf's answer that are passed on to the caller. */
static GString *fields_copy(const struct http_reader *answer)
{
	GString *out = g_string_sized_new(256);

	for (unsigned int i = 0; i < http_reader_field_count(answer); i++) {
		struct http_field f = http_reader_field(answer, i);

		if (!http_field_is_hop_by_hop(answer, f.name))
			g_string_append_printf(out, "%s: %s\r\n", f.name, f.value);
	}
	return out;
}

bool jobanswer_is_success(const struct http_reader *answer)
{
	unsigned int status = http_reader_status(answer);

	return status >= 200 && status < 300;
}

void jobanswer_failure_keep(struct job *j, const struct http_reader *answer)
{
	size_t n;
	const char *body = http_reader_body(answer, &n);

	if (!j->route->is_idempotent && routed_status_promises_not_run(http_reader_status(answer)))
		return;
	if (j->failure_fields) {
		g_string_free(j->failure_fields, TRUE);
		g_byte_array_free(j->failure_body, TRUE);
	}
	j->failure_fields = fields_copy(answer);
	j->failure_status = http_reader_status(answer);
	j->failure_body = g_byte_array_new();
	g_byte_array_append(j->failure_body, (const guint8 *)body, (guint)n);
	job_held_update(j);
}

void jobanswer_part_add(struct job *j, const struct http_reader *answer, const char *signature)
{
	size_t n;
	const char *body = http_reader_body(answer, &n);

	topk_add(j->top, body, n);
	g_string_append_printf(j->signatures, "%s%s", j->signatures->len ? ", " : "", signature);
	job_held_update(j);
}

void jobanswer_forward(struct job *j, const struct http_reader *answer)
{
	GString *fields = fields_copy(answer);
	size_t n;
	const char *body = http_reader_body(answer, &n);

	answer_send(j, jobanswer_is_success(answer) ? JOB_COMPLETE : JOB_PASSED,
		    http_reader_status(answer), fields->str, body, n);
	g_string_free(fields, TRUE);
}

/* Passes on the error answer that was kept. */
static void failure_send(struct job *j)
{
	g_autofree char *fields = g_strdup(j->failure_fields->str);
	GByteArray *body = j->failure_body;

	g_byte_array_ref(body);
	answer_send(j, JOB_PASSED, j->failure_status, fields, (const char *)body->data, body->len);
	g_byte_array_unref(body);
}

/* False when no leaf has run the request or will run it. */
static bool may_have_run(const struct job *j)
{
	struct list_head *pos;

	list_for_each (pos, &j->calls)
		if (list_entry(pos, struct job_call, node)->call.conn)
			return true;
	for (unsigned int i = 0; i < j->n_shards; i++)
		if (j->shards[i].n_maybe_run > 0)
			return true;
	return false;
}

void jobanswer_failed_send(struct job *j)
{
	if (j->n_calls == 0)
		unsent_refuse(j);
	else if (!may_have_run(j))
		jobanswer_refuse(j, RETRYAFTER_LEAVES_FULL);
	else if (j->failure_fields && !job_is_sharded(j))
		failure_send(j);
	else
		answer_send(j, JOB_FAILED, routed_status(ROUTED_LEAF_FAILED), "", "", 0);
}

void jobanswer_timeout_send(struct job *j)
{
	if (may_have_run(j))
		answer_send(j, JOB_TIMED_OUT, routed_status(ROUTED_TIMED_OUT), "", "", 0);
	else
		jobanswer_refuse(j, RETRYAFTER_LEAVES_FULL);
}
