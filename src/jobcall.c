#include "jobstate.h"

#include "clock.h"
#include "log.h"
#include "routedresult.h"

#include <string.h>

/* No call is started when less time than this is left until the deadline. */
#define CALL_MIN_US 2000

/* Smaller answers make up for this part of the difference to the largest one each. */
#define ANSWER_BYTES_DECAY 64

/* The call has ended: removes it from its job. */
static void call_remove(struct job_call *c)
{
	list_del(&c->node);
	c->job->n_open--;
	job_held_update(c->job);
}

/*
 * Cancels and frees a call that was removed from the job's list. The calling function tells
 * scatter where that is needed.
 */
static void call_cancel(struct job_call *c, enum leaf_end end, uint64_t now_us)
{
	struct job *j = c->job;

	if (c->is_repeat && !c->call.conn)
		repeats_rank_refund(j->env->repeats, j->shards[c->shard].service, job_rank(j),
				    now_us);
	upstream_cancel(j->env->upstream, &c->call, end, now_us);
	g_free(c);
}

void jobcall_unsent_cancel(struct job *j, uint64_t now_us)
{
	struct list_head *pos;
	struct list_head *next;

	list_for_each_safe (pos, next, &j->calls) {
		struct job_call *c = list_entry(pos, struct job_call, node);

		if (c->call.conn)
			continue;
		call_remove(c);
		call_cancel(c, LEAF_END_CANCELLED, now_us);
	}
}

void jobcall_all_cancel(struct job *j, uint64_t now_us)
{
	struct list_head *node;

	while ((node = list_pop_head(&j->calls))) {
		struct job_call *c = list_entry(node, struct job_call, node);
		bool is_silent = now_us - c->call.started_us > JOB_LINGER_US;

		call_cancel(c, is_silent ? LEAF_END_SILENT : LEAF_END_CANCELLED, now_us);
	}
	job_destroy(j);
}

static struct job_call *job_call_of(struct leaf_call *call)
{
	return list_entry(call, struct job_call, call);
}

static void call_render(struct leaf_call *call, GString *out)
{
	struct job_call *c = job_call_of(call);
	struct job *j = c->job;
	const struct adapter_fields *names = &j->env->adapter->fields;
	uint64_t now_us = clock_now_us();
	uint64_t left_ms = j->deadline_us > now_us ? (j->deadline_us - now_us) / 1000 : 0;

	j->shards[c->shard].n_sent++;
	g_string_append_len(out, j->head->str, (gssize)j->head->len);
	g_string_append_printf(out, "%s: %" G_GUINT64_FORMAT "\r\n%s: %s\r\n\r\n",
			       names->deadline_ms, MAX(1, left_ms), names->leaf_id, call->leaf->id);
	g_string_append_len(out, (const char *)j->body->data, j->body->len);
}

static bool call_matches(struct leaf_call *call, const struct http_reader *answer, bool is_first)
{
	const struct job *j = job_call_of(call)->job;
	const char *id = http_reader_field_find(answer, j->env->adapter->fields.request_id);

	return id ? strcmp(id, j->id) == 0 : is_first;
}

/* Retries the shard after a lost call, unless it has been answered or has another call open. */
static void shard_retry(struct job *j, unsigned int shard, uint64_t now_us)
{
	if (scatter_is_answered(j->scatter, shard) || scatter_has_open_call(j->scatter, shard))
		return;
	if (jobcall_send(j, shard, now_us))
		j->n_retries++;
	else
		scatter_calls_exhausted(j->scatter, shard);
}

/*
 * The call has ended without an answer that can be used: frees it and retries its shard. Returns
 * end. May free the job.
 */
static enum leaf_end call_lost(struct job_call *c, const struct leaf *leaf, enum leaf_end end,
			       bool may_have_run)
{
	struct job *j = c->job;
	unsigned int shard = c->shard;
	uint64_t now_us = clock_now_us();

	if (c->is_repeat && c->call.sent_us == 0)
		repeats_rank_refund(j->env->repeats, j->shards[shard].service, job_rank(j), now_us);
	call_remove(c);
	g_free(c);
	jobanswer_trace_add(j, "lost", j->shards[shard].service, leaf, leaf_end_name(end), now_us);
	if (!j->request) {
		if (list_is_empty(&j->calls))
			job_destroy(j);
		return end;
	}
	if (may_have_run)
		j->shards[shard].n_maybe_run++;
	scatter_call_lost(j->scatter, shard,
			  may_have_run ? SCATTER_LOSS_MAY_HAVE_RUN : SCATTER_LOSS_NOT_RUN);
	shard_retry(j, shard, now_us);
	job_advance(j, now_us);
	return end;
}

/* The largest answer counts, and is forgotten over some hundred smaller ones. */
static void answer_bytes_note(struct route_stats *stats, size_t bytes)
{
	if (bytes >= stats->answer_bytes)
		stats->answer_bytes = bytes;
	else
		stats->answer_bytes -= (stats->answer_bytes - bytes) / ANSWER_BYTES_DECAY;
}

static void call_succeeded(struct job_call *c, const struct http_reader *answer,
			   const char *signature)
{
	struct job *j = c->job;
	unsigned int shard = c->shard;
	uint64_t now_us = clock_now_us();
	bool is_first;

	hist_add(j->stats->call_us, now_us - c->call.started_us);
	answer_bytes_note(j->stats, http_reader_body_bytes(answer));
	call_remove(c);
	g_free(c);
	if (!j->request) {
		if (list_is_empty(&j->calls))
			job_destroy(j);
		return;
	}
	j->shards[shard].n_maybe_run++;
	is_first = scatter_call_answered(j->scatter, shard);
	if (!job_is_sharded(j)) {
		jobanswer_forward(j, answer);
		return;
	}
	if (is_first)
		jobanswer_part_add(j, answer, signature);
	if (!j->enough_at_us &&
	    scatter_answered_count(j->scatter) >= j->route->min_share * j->n_shards)
		j->enough_at_us = now_us;
	job_advance(j, now_us);
}

static void load_changes_log(const struct leaf *leaf, const struct leaf_load *load,
			     unsigned int changes)
{
	if (changes & LEAF_SIGNALS_LOAD)
		log_event(LOG_LEVEL_INFO, "leaf_load_told",
			  "leaf=%s service=%s running=%u waiting=%u slots=%u work_pct=%u", leaf->id,
			  leaf->service, load->n_running, load->n_waiting, load->slots,
			  load->work_pct);
	if (changes & LEAF_SIGNALS_LOAD_MALFORMED)
		log_event(LOG_LEVEL_WARNING, "leaf_load_refused", "leaf=%s service=%s", leaf->id,
			  leaf->service);
}

/* Notes what the leaf says of itself. The answer must be its own. */
static void signals_note(struct job *j, struct leaf *leaf, const struct http_reader *answer)
{
	const struct adapter *adapter = j->env->adapter;
	uint64_t now_us = clock_now_us();
	struct leaf_signals signals;
	unsigned int changes;

	adapter->ops->leaf_signals_parse(adapter, answer, &signals);
	if (signals.has_warmup) {
		leaf_warmup_set(leaf, signals.warmup_ms, now_us);
		warmups_note(j->env->warmups, leaf, vmshare_get(&j->env->vmshare, now_us),
			     j->env->rand, now_us);
	}
	changes = leaf_signals_apply(leaf, &signals, vmshare_get(&j->env->vmshare, now_us),
				     j->env->rand, now_us);
	j->env->n_loads += signals.has_load || signals.is_load_malformed;
	j->env->n_loads_malformed += signals.is_load_malformed;
	load_changes_log(leaf, &signals.load, changes);
	if (changes & LEAF_SIGNALS_LIMIT && signals.has_limit)
		log_event(LOG_LEVEL_INFO, "leaf_limited",
			  "leaf=%s service=%s limit_per_s=%g own_per_s=%g", leaf->id, leaf->service,
			  signals.limit_per_s, leaf->ratecap.rate_per_s);
	else if (changes & LEAF_SIGNALS_LIMIT)
		log_event(LOG_LEVEL_INFO, "leaf_unlimited", "leaf=%s service=%s", leaf->id,
			  leaf->service);
	if (changes & LEAF_SIGNALS_PAUSE)
		log_event(LOG_LEVEL_INFO, "leaf_paused", "leaf=%s service=%s for_s=%g", leaf->id,
			  leaf->service, signals.pause_s);
	if (changes & LEAF_SIGNALS_LEAVING)
		log_event(LOG_LEVEL_INFO, "leaf_leaving", "leaf=%s service=%s", leaf->id,
			  leaf->service);
}

static enum routed_call call_result(const struct job *j, const struct http_reader *answer,
				    bool was_sent)
{
	const struct adapter_fields *names = &j->env->adapter->fields;
	struct routed_call_facts facts = {.was_sent = was_sent};

	if (answer) {
		facts.status = http_reader_status(answer);
		facts.not_run = http_reader_field_find(answer, names->not_run);
		facts.is_signed = http_reader_field_find(answer, names->signature) != NULL;
		facts.is_encoded = http_reader_field_find(answer, "Content-Encoding") != NULL;
	}
	return routed_call_of(&facts);
}

/* Keeps an answer that reports a failure, if it may be passed on. Returns how the call ended. */
static enum leaf_end failure_note(struct job *j, const struct http_reader *answer)
{
	if (j->request && !jobanswer_is_success(answer) && !job_is_sharded(j) &&
	    http_reader_field_find(answer, j->env->adapter->fields.signature))
		jobanswer_failure_keep(j, answer);
	return LEAF_END_ERRORED;
}

static enum leaf_end call_done(struct leaf_call *call, enum leaf_end end,
			       const struct http_reader *answer, bool was_sent)
{
	struct job_call *c = job_call_of(call);
	struct job *j = c->job;
	struct leaf *leaf = c->leaf;
	enum routed_call result = call_result(j, answer, was_sent);

	if (answer && result != ROUTED_CALL_OTHER_LEAF)
		signals_note(j, leaf, answer);
	switch (result) {
	case ROUTED_CALL_SERVED:
		call_succeeded(c, answer,
			       http_reader_field_find(answer, j->env->adapter->fields.signature));
		return LEAF_END_ANSWERED;
	case ROUTED_CALL_OTHER_LEAF:
		end = LEAF_END_WRONG_LEAF;
		break;
	case ROUTED_CALL_NOT_EXECUTED:
		end = LEAF_END_REFUSED;
		break;
	case ROUTED_CALL_UNPROVED:
	case ROUTED_CALL_FAILED:
		end = failure_note(j, answer);
		break;
	default:
		break;
	}
	return call_lost(c, leaf, end, routed_call_run(result) == ROUTED_RUN_MAY_HAVE_RUN);
}

static unsigned int call_lacking(const struct leaf_call *call)
{
	const struct job *j = list_entry(call, struct job_call, call)->job;

	return j->n_shards - scatter_answered_count(j->scatter);
}

static const struct leaf_call_ops call_ops = {
	.render = call_render,
	.matches = call_matches,
	.done = call_done,
	.lacking = call_lacking,
};

/* True when a call of the shard was sent to the leaf before. */
static bool was_called(const struct job_shard *sh, const struct leaf *leaf)
{
	for (unsigned int i = 0; i < sh->n_tried; i++)
		if (sh->tried[i] == leaf)
			return true;
	return false;
}

static void call_start(struct job *j, unsigned int shard, struct leaf *leaf, uint64_t now_us)
{
	struct job_shard *sh = &j->shards[shard];
	const struct routemap_service *service = routemap_service_find(j->map, sh->service);
	struct job_call *c = g_new0(struct job_call, 1);

	/* The id of the request tells no copy of the earlier call's answer from the answer. */
	c->call.wants_unused = was_called(sh, leaf);
	sh->tried[sh->n_tried++] = leaf_get(leaf);
	c->job = j;
	c->shard = shard;
	c->leaf = leaf;
	c->is_repeat = sh->n_sent > 0;
	c->call.ops = &call_ops;
	c->call.useful_us = j->useful_us;
	c->call.rank = job_rank(j);
	c->call.ages_us = j->answer_useful_us;
	c->call.is_ranked = j->env->ranks != NULL;
	c->call.is_optional = job_is_sharded(j);
	c->call.wants_fresh = !j->route->is_idempotent;
	list_add_tail(&c->node, &j->calls);
	j->n_open++;
	job_held_update(j);
	j->n_calls++;
	scatter_call_started(j->scatter, shard, now_us);
	upstream_call(j->env->upstream, &c->call, leaf, service ? service->max_connections : 1,
		      now_us);
}

/*
 * The leaf for the next call of the shard, or NULL. Hedges, and retries in a sharded request, do
 * not go to a quarantined leaf: such a call costs budget and is rarely answered. A retry in a
 * request to a single service may go to one, since the request has no other way to be answered.
 */
static struct leaf *shard_leaf_choose(const struct job *j, const struct job_shard *sh,
				      bool is_hedge, uint64_t now_us)
{
	const struct leafset *leaves = j->env->leaves;
	const GPtrArray *regions = j->route->regions;
	bool is_last_resort = sh->n_tried == 0 || (!is_hedge && !job_is_sharded(j));
	struct leaf *leaf;

	if (is_last_resort)
		leaf = leafset_choose(leaves, sh->service, regions, sh->tried, sh->n_tried, now_us);
	else
		leaf = leafset_choose_healthy(leaves, sh->service, regions, sh->tried, sh->n_tried,
					      now_us);
	if (leaf || is_hedge || sh->n_tried == 0)
		return leaf;
	/* A retry may go to a leaf that was tried before. */
	return is_last_resort
		       ? leafset_choose(leaves, sh->service, regions, NULL, 0, now_us)
		       : leafset_choose_healthy(leaves, sh->service, regions, NULL, 0, now_us);
}

/* How long a call of the job may wait for a leaf's limit and still be answered in time. */
static uint64_t wait_longest_us(const struct job *j, uint64_t now_us)
{
	uint64_t until_us = j->useful_us ? j->read_us + j->useful_us : j->deadline_us;
	uint64_t usual_us = hist_quantile(j->stats->call_us, 0.5);

	return until_us > now_us + usual_us ? until_us - now_us - usual_us : 0;
}

struct leaf *jobcall_first_leaf(const struct job *j, unsigned int shard, uint64_t now_us)
{
	struct leaf *leaf = shard_leaf_choose(j, &j->shards[shard], false, now_us);

	if (j->deadline_us < now_us + CALL_MIN_US)
		return NULL;
	return leaf && leaf_wait_us(leaf, now_us) <= wait_longest_us(j, now_us) ? leaf : NULL;
}

void jobcall_first_send(struct job *j, unsigned int shard, struct leaf *leaf, uint64_t now_us)
{
	struct job_shard *sh = &j->shards[shard];

	sh->spread_uneven = leafset_spread_uneven(j->env->leaves, leaf, now_us);
	if (!job_is_sharded(j) && sh->spread_uneven > 0)
		jobanswer_trace_spread_add(j, "call", sh, leaf, now_us);
	else if (!job_is_sharded(j))
		jobanswer_trace_add(j, "call", sh->service, leaf, NULL, now_us);
	call_start(j, shard, leaf, now_us);
}

/* False while a second call to the leaf would take the place of another request's call. */
static bool allows_hedge(const struct job *j, const struct leaf *leaf, uint64_t now_us)
{
	struct backlog backlog = leaf_backlog(leaf);

	if (j->rank_group)
		return rank_allows_hedge(j->rank_group, job_rank(j), &backlog, now_us);
	return backlog_allows_hedge(&j->env->gate, &backlog, now_us);
}

bool jobcall_send(struct job *j, unsigned int shard, uint64_t now_us)
{
	struct job_shard *sh = &j->shards[shard];
	bool is_hedge = scatter_has_open_call(j->scatter, shard);
	struct leaf *leaf;

	if (sh->n_tried == JOB_TRIED_MAX || !scatter_may_call(j->scatter, shard) ||
	    j->deadline_us < now_us + CALL_MIN_US)
		return false;
	leaf = shard_leaf_choose(j, sh, is_hedge, now_us);
	/* A hedge does not wait: it would take the call of another request. */
	if (!leaf || leaf_wait_us(leaf, now_us) > (is_hedge ? 0 : wait_longest_us(j, now_us)))
		return false;
	if (is_hedge && !allows_hedge(j, leaf, now_us))
		return false;
	if (sh->n_sent > 0 &&
	    !repeats_rank_spend(j->env->repeats, sh->service,
				is_hedge ? REPEATS_HEDGE : REPEATS_RECOVERY, job_rank(j), now_us)) {
		j->n_denied++;
		jobanswer_trace_add(j, "denied", sh->service, leaf, "budget", now_us);
		return false;
	}
	jobanswer_trace_add(j, is_hedge ? "hedge" : "call", sh->service, leaf, NULL, now_us);
	call_start(j, shard, leaf, now_us);
	return true;
}

/* The shard's call that was not sent yet, or NULL. */
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
 * Gives an overdue call that was not sent yet to another leaf, if that leaf is expected to answer
 * sooner. The move is no repeat, since no leaf has seen the call.
 */
static void call_move(struct job *j, struct job_call *waiting, uint64_t now_us)
{
	unsigned int shard = waiting->shard;
	struct job_shard *sh = &j->shards[shard];
	struct leaf *leaf = leafset_choose_healthy(j->env->leaves, sh->service, j->route->regions,
						   sh->tried, sh->n_tried, now_us);

	if (!leaf || sh->n_tried == JOB_TRIED_MAX ||
	    !leafset_is_faster(j->env->leaves, leaf, waiting->leaf, now_us)) {
		scatter_hedge_defer(j->scatter, shard, now_us);
		return;
	}
	call_remove(waiting);
	call_cancel(waiting, LEAF_END_CANCELLED, now_us);
	/*
	 * If an earlier call of the shard was sent, the moved call is a repeat of that one.
	 * call_cancel() refunded its cost, so the cost is taken from the budget again.
	 */
	if (sh->n_sent > 0)
		repeats_rank_spend(j->env->repeats, sh->service, REPEATS_RECOVERY, job_rank(j),
				   now_us);
	scatter_call_withdrawn(j->scatter, shard);
	jobanswer_trace_add(j, "move", sh->service, leaf, NULL, now_us);
	j->n_moved++;
	call_start(j, shard, leaf, now_us);
}

void jobcall_hedges_send(struct job *j, uint64_t now_us)
{
	for (unsigned int shard = 0; scatter_hedge_next(j->scatter, &shard, now_us); shard++) {
		struct job_call *waiting = unsent_find(j, shard);
		double left = repeats_rank_unspent_share(j->env->repeats, j->shards[shard].service,
							 REPEATS_HEDGE, job_rank(j), now_us);

		if (waiting)
			call_move(j, waiting, now_us);
		else if (scatter_hedge_hold(j->scatter, shard, left, now_us))
			j->n_held++;
		else if (jobcall_send(j, shard, now_us))
			j->n_hedges++;
	}
}
