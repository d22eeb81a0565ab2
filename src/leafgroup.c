#include "leafgroup.h"

#include "budget.h"
#include "clock.h"
#include "hedge.h"
#include "hist.h"
#include "leafstat.h"
#include "limiter.h"
#include "replica.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define QUEUE_ITEMS_MAX 512
#define BUDGET_BURST 10.0
#define HEDGE_QUANTILE 0.95
/* A hedge after a shorter delay costs more than it saves. */
#define HEDGE_MIN_US 1000
/* How long a leaf's list of index versions is relied on after it was read. */
#define VERSIONS_VALID_US 1000000u
/* Most retries of a call. A refused search may be retried more often; see call_retry(). */
#define RETRIES_MAX 4
/* The delay after a refusal doubles with each retry, from RETRY_DELAY_US up to the maximum. */
#define RETRY_DELAY_US 1000u
#define REFUSAL_DELAY_MAX_US 32000u
/* Samples after which the histogram's counts are halved, so that it follows changes of load. */
#define HIST_SAMPLES_MAX 4096

struct leaf {
	struct leafpool_owner owner;
	struct leafgroup *group;
	const struct manifest_leaf *desc;
	struct leafpool *pool;
	struct limiter *limiter;
	struct leafpool_leaf_state state;
	uint64_t state_read_us;
	uint64_t replaced_incarnation; /* the previous one of the backend server; 0: none */
};

/* One leaf call made for a leafgroup_call: the first one, the hedge or a retry. */
struct leafgroup_attempt {
	struct leafgroup_call *call; /* NULL once the call has ended */
	struct leaf *leaf;
	struct leafcall *leafcall;
	uint64_t started_us;
};

struct leafgroup {
	struct leafgroup_env env;
	struct manifest *manifest;
	const struct manifest_group *desc;
	struct leaf *leaves;
	struct leafstat *stats[MANIFEST_GROUP_LEAVES_MAX];
	unsigned int n_leaves;
	struct replica_chooser *chooser;
	struct hist *latency;
	struct budget *hedge_budget;
	struct budget *retry_budget;
	struct classq *queue;
	struct list_head waiting; /* calls taken from the queue that have no usable leaf yet */
	struct list_head inflight; /* calls with an attempt in progress */
	unsigned int n_attempts; /* in progress, those of ended calls included */
	bool is_dispatching;
};

static void group_dispatch(struct leafgroup *lg, uint64_t now_us);

/*
 * Whether the leaf serves the call's index version, as far as is known. An outdated list of
 * versions is ignored: the leaf may have loaded the version since, and a leaf that is left out
 * during a rollout would otherwise never be called and so keep its old list for ever.
 */
static bool leaf_serves(const struct leaf *leaf, const struct leafgroup_call *call)
{
	if (call->kind == LEAFCALL_COMMAND || leaf->state.n_versions == 0 ||
	    clock_now_us() > leaf->state_read_us + VERSIONS_VALID_US)
		return true;
	for (unsigned int i = 0; i < leaf->state.n_versions; i++)
		if (leaf->state.versions[i] == call->index_version)
			return true;
	return false;
}

static bool leaf_is_leaving(const struct leaf *leaf)
{
	return leaving_is_marked(leaf->group->env.leaving, leaf->desc->backend,
				 leaf->state.incarnation);
}

static bool leaf_is_free(const struct leaf *leaf)
{
	return leafpool_has_idle(leaf->pool) &&
	       limiter_in_use(leaf->limiter) < limiter_limit(leaf->limiter) &&
	       !leaf_is_leaving(leaf);
}

/* The leaf may take a call soon, even if all its slots are in use now. */
static bool leaf_is_eligible(const struct leaf *leaf)
{
	return !leafpool_is_down(leaf->pool) && !leaf_is_leaving(leaf);
}

static bool leaf_was_tried(const struct leafgroup_call *call, unsigned int leaf)
{
	return call->tried & (1u << leaf);
}

/* Why no leaf can take the call, now or soon; RESULT_OK when one may. */
static enum result call_blocked_reason(const struct leafgroup *lg,
				       const struct leafgroup_call *call)
{
	enum result reason = RESULT_NO_REPLICA;

	for (unsigned int i = 0; i < lg->n_leaves; i++) {
		const struct leaf *leaf = &lg->leaves[i];

		if (leaf_was_tried(call, i))
			continue;
		if (!leaf_serves(leaf, call))
			reason = RESULT_VERSION_GONE;
		else if (leaf_is_leaving(leaf))
			reason = RESULT_LEAVING;
		else if (!leafpool_is_down(leaf->pool))
			return RESULT_OK;
	}
	if (call->last_failure != RESULT_OK)
		return call->last_failure;
	return reason;
}

/* Returns the index of the leaf for the call's next attempt, or -1 when none is usable now. */
static int leaf_pick(struct leafgroup *lg, const struct leafgroup_call *call, uint64_t now_us)
{
	bool eligible[MANIFEST_GROUP_LEAVES_MAX];
	bool usable[MANIFEST_GROUP_LEAVES_MAX];

	for (unsigned int i = 0; i < lg->n_leaves; i++) {
		eligible[i] = !leaf_was_tried(call, i) && leaf_is_eligible(&lg->leaves[i]) &&
			      leaf_serves(&lg->leaves[i], call);
		usable[i] = eligible[i] && leaf_is_free(&lg->leaves[i]);
	}
	/* The random choice is a baseline for comparison and takes slow leaves too. */
	if (!lg->desc->service->random_replica)
		replica_slow_or_refusing_exclude(
			lg->stats, eligible, usable, lg->n_leaves,
			now_us > call->item.pushed_us ? now_us - call->item.pushed_us : 0, now_us);
	return replica_chooser_pick(lg->chooser, lg->stats, usable, lg->n_leaves, now_us,
				    lg->env.rand);
}

/* Gives up an attempt: its answer no longer counts for the call. */
static void attempt_detach(struct leafgroup_attempt *a, enum leafstat_outcome outcome,
			   uint64_t now_us)
{
	struct leafgroup *lg = a->leaf->group;

	if (outcome == LEAFSTAT_CANCELLED)
		hist_add(lg->latency, now_us - a->started_us);
	leafstat_finish(lg->stats[a->leaf - lg->leaves], outcome, now_us - a->started_us, now_us);
	a->call = NULL;
	leafcall_cancel(a->leafcall);
}

static void call_unlink(struct leafgroup *lg, struct leafgroup_call *call)
{
	list_del(&call->inflight);
	if (call->is_waiting)
		list_del(&call->item.node);
	else
		classq_remove(lg->queue, &call->item);
	call->is_waiting = false;
}

static void attempts_detach(struct leafgroup_call *call, enum leafstat_outcome outcome,
			    uint64_t now_us)
{
	if (call->primary)
		attempt_detach(call->primary, outcome, now_us);
	if (call->hedge)
		attempt_detach(call->hedge, outcome, now_us);
	call->primary = NULL;
	call->hedge = NULL;
}

static void call_finish(struct leafgroup *lg, struct leafgroup_call *call, enum result result,
			const char *body, size_t body_bytes, uint64_t now_us)
{
	attempts_detach(call, LEAFSTAT_CANCELLED, now_us);
	call_unlink(lg, call);
	call->done(call, result, call->was_sent, body, body_bytes);
}

static void call_wait(struct leafgroup *lg, struct leafgroup_call *call)
{
	call->is_waiting = true;
	list_add_tail(&call->item.node, &lg->waiting);
}

static enum leafstat_outcome status_outcome(enum leafcall_status status)
{
	switch (status) {
	case LEAFCALL_ANSWERED:
		return LEAFSTAT_OK;
	case LEAFCALL_EXPIRED:
	case LEAFCALL_FAILED:
	case LEAFCALL_MISMATCH:
		return LEAFSTAT_TIMEOUT;
	default:
		return LEAFSTAT_REFUSED;
	}
}

static enum result status_result(enum leafcall_status status)
{
	switch (status) {
	case LEAFCALL_ANSWERED:
		return RESULT_OK;
	case LEAFCALL_REFUSED:
		return RESULT_SHED;
	case LEAFCALL_VERSION_GONE:
		return RESULT_VERSION_GONE;
	case LEAFCALL_WRONG_SHARD:
		return RESULT_WRONG_SHARD;
	case LEAFCALL_EXPIRED:
		return RESULT_LEAF_TIMEOUT;
	case LEAFCALL_MISMATCH:
		return RESULT_MISMATCH;
	default:
		return RESULT_LEAF_ERROR;
	}
}

static bool status_is_not_run(enum leafcall_status status)
{
	return status == LEAFCALL_REFUSED || status == LEAFCALL_VERSION_GONE ||
	       status == LEAFCALL_WRONG_SHARD;
}

static void status_count(struct leafgroup *lg, enum leafcall_status status)
{
	struct counters *counters = lg->env.counters;

	if (status_is_not_run(status))
		counter_increment(counters, COUNTER_LEAF_REFUSALS);
	else if (status == LEAFCALL_EXPIRED)
		counter_increment(counters, COUNTER_LEAF_TIMEOUTS);
	else if (status == LEAFCALL_MISMATCH)
		counter_increment(counters, COUNTER_LEAF_MISMATCHES);
	else if (status == LEAFCALL_FAILED)
		counter_increment(counters, COUNTER_LEAF_ERRORS);
}

/*
 * The delay before the retry after a refusal. When the retry budget is used up, the call is still
 * retried, but after the maximum delay: a refused call has cost the leaf little, and ending the
 * call would lose a shard that is only busy.
 */
static uint64_t refusal_delay_us(struct leafgroup *lg, const struct leafgroup_call *call)
{
	uint64_t delay_us = REFUSAL_DELAY_MAX_US;

	if (budget_spend(lg->retry_budget))
		delay_us = MIN(REFUSAL_DELAY_MAX_US, RETRY_DELAY_US << MIN(call->retries, 16));
	return (uint64_t)((double)delay_us * g_rand_double_range(lg->env.rand, 0.5, 1.5));
}

/*
 * Returns whether the call will be retried. A command is retried only if it is proved that no leaf
 * ran it. A refused search is retried until its deadline, since two VMs share the slots of a leaf
 * for a while when the holder changes. A leaf that refused may be called again when every other
 * leaf was tried.
 */
static bool call_retry(struct leafgroup *lg, struct leafgroup_call *call,
		       enum leafcall_status status, uint64_t now_us)
{
	bool is_refused = status == LEAFCALL_REFUSED;
	bool is_limited = !is_refused || call->kind == LEAFCALL_COMMAND;

	if (call->kind == LEAFCALL_COMMAND && call->was_sent)
		return false;
	if ((is_limited && call->retries >= RETRIES_MAX) || now_us >= call->item.deadline_us)
		return false;
	if (is_refused && call_blocked_reason(lg, call) != RESULT_OK)
		call->tried = 0;
	if (call_blocked_reason(lg, call) != RESULT_OK)
		return false;
	if (!is_refused && !budget_spend(lg->retry_budget))
		return false;
	counter_increment(lg->env.counters, COUNTER_LEAF_RETRIES);
	call->not_before_us = now_us + (is_refused ? refusal_delay_us(lg, call) : 0);
	call->retries++;
	list_del(&call->inflight);
	call_wait(lg, call);
	return true;
}

static void attempt_answered(void *arg, const struct leafcall_answer *answer)
{
	struct leafgroup_attempt *a = arg;
	struct leafgroup_call *call = a->call;
	struct leaf *leaf = a->leaf;
	struct leafgroup *lg = leaf->group;
	uint64_t now_us = clock_now_us();
	uint64_t latency_us = now_us - a->started_us;

	lg->n_attempts--;
	limiter_release(leaf->limiter, call ? status_outcome(answer->status) : LEAFSTAT_CANCELLED,
			now_us);
	if (!call) {
		g_free(a);
		return;
	}
	leafstat_finish(lg->stats[leaf - lg->leaves], status_outcome(answer->status), latency_us,
			now_us);
	status_count(lg, answer->status);
	if (call->primary == a)
		call->primary = NULL;
	else
		call->hedge = NULL;
	g_free(a);
	if (!status_is_not_run(answer->status))
		call->was_sent = true;
	if (answer->status == LEAFCALL_ANSWERED) {
		hist_add(lg->latency, latency_us);
		if (hist_count(lg->latency) > HIST_SAMPLES_MAX)
			hist_decay(lg->latency);
		call_finish(lg, call, RESULT_OK, answer->body, answer->body_bytes, now_us);
		return;
	}
	call->last_failure = status_result(answer->status);
	if (call->primary || call->hedge)
		return;
	if (!call_retry(lg, call, answer->status, now_us))
		call_finish(lg, call, call->last_failure, "", 0, now_us);
}

static struct leafgroup_attempt *attempt_start(struct leafgroup *lg, struct leafgroup_call *call,
					       unsigned int index, uint64_t now_us)
{
	struct leaf *leaf = &lg->leaves[index];
	struct leafgroup_attempt *a = g_new0(struct leafgroup_attempt, 1);
	char id[LEAFPOOL_ID_CHARS + 1];
	struct leafcall_params params = {
		.kind = call->kind,
		.id = call->id,
		.index_version = call->index_version,
		.map_version = call->map_version,
		.shard = call->shard,
		.deadline_us = call->item.deadline_us - now_us,
		.body = call->body,
		.body_bytes = call->body_bytes,
	};

	if (!call->id) {
		snprintf(id, sizeof(id), "%016" PRIx64 "%016" PRIx64, lg->env.incarnation,
			 ++*lg->env.last_call_number);
		params.id = id;
	}
	a->call = call;
	a->leaf = leaf;
	a->started_us = now_us;
	call->tried |= 1u << index;
	limiter_admit(leaf->limiter);
	leafstat_start(lg->stats[index], now_us);
	lg->n_attempts++;
	a->leafcall = leafpool_call(leaf->pool, &params, attempt_answered, a);
	return a;
}

/*
 * Sets the time of the hedge: after the HEDGE_QUANTILE of the latencies, and at the latest when
 * half of the remaining time has passed, so that the shard is not lost if the leaf has stopped
 * answering.
 */
static void hedge_schedule(const struct leafgroup *lg, struct leafgroup_call *call, uint64_t now_us)
{
	uint64_t remaining_us = call->item.deadline_us - now_us;
	uint64_t delay_us = hedge_delay_us(lg->latency, HEDGE_QUANTILE, HEDGE_MIN_US, remaining_us);

	call->hedge_at_us = 0;
	if (call->kind != LEAFCALL_SEARCH || lg->n_leaves < 2 || lg->desc->service->hedge_disabled)
		return;
	call->latest_hedge_at_us = now_us + remaining_us / 2;
	call->hedge_at_us = call->latest_hedge_at_us;
	if (delay_us > 0)
		call->hedge_at_us = MIN(call->latest_hedge_at_us, now_us + delay_us);
}

static void call_start(struct leafgroup *lg, struct leafgroup_call *call, unsigned int index,
		       uint64_t now_us)
{
	if (call->retries == 0) {
		counter_increment(lg->env.counters, COUNTER_LEAF_CALLS);
		budget_earn(lg->hedge_budget);
		budget_earn(lg->retry_budget);
	}
	hedge_schedule(lg, call, now_us);
	list_add_tail(&call->inflight, &lg->inflight);
	call->primary = attempt_start(lg, call, index, now_us);
}

/* Starts or ends the call. Returns false, with no change, when it has to wait for a leaf. */
static bool call_dispatch(struct leafgroup *lg, struct leafgroup_call *call, uint64_t now_us)
{
	enum result reason;
	int index;

	if (now_us >= call->item.deadline_us) {
		counter_increment(lg->env.counters, COUNTER_QUEUE_DROPS);
		call_finish(lg, call, call->last_failure ? call->last_failure : RESULT_DEADLINE, "",
			    0, now_us);
		return true;
	}
	if (now_us < call->not_before_us)
		return false;
	if (call->kind == LEAFCALL_COMMAND && lg->env.permit(lg->env.arg) != LEAFGROUP_PERMIT_ALL) {
		call_finish(lg, call, RESULT_STALE, "", 0, now_us);
		return true;
	}
	index = leaf_pick(lg, call, now_us);
	if (index >= 0) {
		call_start(lg, call, index, now_us);
		return true;
	}
	reason = call_blocked_reason(lg, call);
	if (reason == RESULT_OK)
		return false;
	call_finish(lg, call, reason, "", 0, now_us);
	return true;
}

static void waiting_calls_dispatch(struct leafgroup *lg, uint64_t now_us)
{
	struct list_head *node;
	struct list_head batch;

	list_init(&batch);
	while ((node = list_pop_head(&lg->waiting)))
		list_add_tail(node, &batch);
	while ((node = list_pop_head(&batch))) {
		struct classq_item *item = list_entry(node, struct classq_item, node);
		struct leafgroup_call *call = list_entry(item, struct leafgroup_call, item);

		call->is_waiting = false;
		if (!call_dispatch(lg, call, now_us))
			call_wait(lg, call);
	}
}

/* Ends the calls that the queue dropped. call_finish() removes each from the list. */
static void dropped_calls_finish(struct leafgroup *lg, struct list_head *dropped, uint64_t now_us)
{
	struct list_head *node;

	while ((node = dropped->next) != dropped) {
		struct classq_item *item = list_entry(node, struct classq_item, node);
		struct leafgroup_call *call = list_entry(item, struct leafgroup_call, item);

		counter_increment(lg->env.counters, COUNTER_QUEUE_DROPS);
		call_finish(lg, call,
			    now_us < item->deadline_us ? RESULT_OVERLOADED : RESULT_DEADLINE, "", 0,
			    now_us);
	}
}

/* Whether a leaf is free and not excluded as slow for the call that would be popped next. */
static bool group_has_free_leaf(const struct leafgroup *lg, uint64_t now_us)
{
	bool eligible[MANIFEST_GROUP_LEAVES_MAX];
	bool usable[MANIFEST_GROUP_LEAVES_MAX];

	for (unsigned int i = 0; i < lg->n_leaves; i++) {
		eligible[i] = leaf_is_eligible(&lg->leaves[i]);
		usable[i] = eligible[i] && leaf_is_free(&lg->leaves[i]);
	}
	if (!lg->desc->service->random_replica)
		replica_slow_or_refusing_exclude(lg->stats, eligible, usable, lg->n_leaves,
						 classq_waited_us(lg->queue, now_us), now_us);
	for (unsigned int i = 0; i < lg->n_leaves; i++)
		if (usable[i])
			return true;
	return false;
}

/* Every leaf is leaving or down. Calls are then popped all the same, so that they end at once. */
static bool group_is_unreachable(const struct leafgroup *lg)
{
	for (unsigned int i = 0; i < lg->n_leaves; i++)
		if (!leaf_is_leaving(&lg->leaves[i]) && !leafpool_is_down(lg->leaves[i].pool))
			return false;
	return true;
}

/*
 * Expected service time of a call that is popped now, for classq_pop(): the 95th percentile of the
 * latencies, at most twice the median. The median would be too short: under overload, half of the
 * calls popped at the last moment would miss their deadline. The upper bound keeps rare slow calls
 * out of the estimate.
 */
static uint64_t group_service_time_us(const struct leafgroup *lg)
{
	/*
	 * An estimate above the time that callers give would drop every call, and no new latency
	 * would correct it. An idle group therefore takes one call whatever the estimate is.
	 */
	if (lg->n_attempts == 0)
		return 0;
	return MIN(hist_quantile(lg->latency, 0.95), 2 * hist_quantile(lg->latency, 0.5));
}

static void group_dispatch(struct leafgroup *lg, uint64_t now_us)
{
	struct list_head dropped;
	struct classq_item *item;

	/* A done function may submit another call; the loop below then finds it in the queue. */
	if (lg->is_dispatching || lg->env.permit(lg->env.arg) == LEAFGROUP_PERMIT_NOTHING)
		return;
	lg->is_dispatching = true;
	waiting_calls_dispatch(lg, now_us);
	list_init(&dropped);
	while ((group_has_free_leaf(lg, now_us) || group_is_unreachable(lg)) &&
	       (item = classq_pop(lg->queue, group_service_time_us(lg), now_us, &dropped))) {
		struct leafgroup_call *call = list_entry(item, struct leafgroup_call, item);

		if (!call_dispatch(lg, call, now_us)) {
			call_wait(lg, call);
			break;
		}
	}
	classq_take_displaced(lg->queue, &dropped);
	dropped_calls_finish(lg, &dropped, now_us);
	lg->is_dispatching = false;
}

static void leaf_ready(struct leafpool_owner *owner)
{
	group_dispatch(((struct leaf *)owner)->group, clock_now_us());
}

static void leaf_connect_failed(struct leafpool_owner *owner)
{
	group_dispatch(((struct leaf *)owner)->group, clock_now_us());
}

static void leaf_observe(struct leafpool_owner *owner, const struct leafpool_leaf_state *state)
{
	struct leaf *leaf = (struct leaf *)owner;
	struct leafgroup *lg = leaf->group;
	uint64_t known_incarnation = leaf->state.incarnation;

	/* A late answer of the replaced process must not bring back its state. */
	if (state->incarnation == 0 || state->incarnation == leaf->replaced_incarnation)
		return;
	if (known_incarnation != state->incarnation)
		leaf->replaced_incarnation = known_incarnation;
	leaf->state = *state;
	leaf->state_read_us = clock_now_us();
	if (known_incarnation != state->incarnation) {
		leafstat_restart(lg->stats[leaf - lg->leaves], clock_now_us());
		leaving_observe(lg->env.leaving, leaf->desc->backend, state->incarnation);
	}
	if (state->is_draining && !leaf_is_leaving(leaf) && lg->env.drain_seen)
		lg->env.drain_seen(lg->env.arg, leaf->desc->backend, state->incarnation);
}

static const struct leafpool_owner_ops leaf_owner_ops = {
	.ready = leaf_ready,
	.observe = leaf_observe,
	.connect_failed = leaf_connect_failed,
};

struct leafgroup *leafgroup_create(const struct leafgroup_env *env, struct manifest *m,
				   const struct manifest_group *g)
{
	struct leafgroup *lg = g_new0(struct leafgroup, 1);
	uint64_t now_us = clock_now_us();

	lg->env = *env;
	lg->manifest = manifest_get(m);
	lg->desc = g;
	lg->n_leaves = g->n_leaves;
	lg->leaves = g_new0(struct leaf, g->n_leaves);
	lg->chooser = replica_chooser_create(g->service->random_replica ? "random" : "ewma", NULL);
	lg->latency = hist_create();
	lg->hedge_budget = budget_create(g->service->hedge_ratio, BUDGET_BURST);
	lg->retry_budget = budget_create(g->service->retry_ratio, BUDGET_BURST);
	lg->queue = classq_create(QUEUE_ITEMS_MAX);
	list_init(&lg->waiting);
	list_init(&lg->inflight);
	for (unsigned int i = 0; i < g->n_leaves; i++) {
		struct leaf *leaf = &lg->leaves[i];

		leaf->owner.ops = &leaf_owner_ops;
		leaf->group = lg;
		leaf->desc = &g->leaves[i];
		leaf->limiter = limiter_create(leaf->desc->slots);
		leaf->pool = leafpool_create(env->base, env->counters, env->rand, leaf->desc,
					     &leaf->owner);
		lg->stats[i] = leafstat_create(now_us);
	}
	return lg;
}

void leafgroup_manifest_set(struct leafgroup *lg, struct manifest *m,
			    const struct manifest_group *g)
{
	const struct manifest_service *service = g->service;
	struct manifest *old = lg->manifest;

	lg->manifest = manifest_get(m);
	lg->desc = g;
	for (unsigned int i = 0; i < lg->n_leaves; i++)
		lg->leaves[i].desc = &g->leaves[i];
	manifest_put(old);
	replica_chooser_destroy(lg->chooser);
	budget_destroy(lg->hedge_budget);
	budget_destroy(lg->retry_budget);
	lg->chooser = replica_chooser_create(service->random_replica ? "random" : "ewma", NULL);
	lg->hedge_budget = budget_create(service->hedge_ratio, BUDGET_BURST);
	lg->retry_budget = budget_create(service->retry_ratio, BUDGET_BURST);
}

void leafgroup_destroy(struct leafgroup *lg)
{
	if (!lg)
		return;
	for (unsigned int i = 0; i < lg->n_leaves; i++) {
		leafpool_destroy(lg->leaves[i].pool);
		limiter_destroy(lg->leaves[i].limiter);
		leafstat_destroy(lg->stats[i]);
	}
	g_free(lg->leaves);
	replica_chooser_destroy(lg->chooser);
	hist_destroy(lg->latency);
	budget_destroy(lg->hedge_budget);
	budget_destroy(lg->retry_budget);
	classq_destroy(lg->queue);
	manifest_put(lg->manifest);
	g_free(lg);
}

void leafgroup_submit(struct leafgroup *lg, struct leafgroup_call *call, uint64_t now_us)
{
	enum result result;

	call->group = lg;
	list_init(&call->inflight);
	list_init(&call->item.node);
	leafgroup_connections_open(lg, now_us);
	result = classq_push(lg->queue, &call->item, now_us);
	if (result != RESULT_OK) {
		counter_increment(lg->env.counters, COUNTER_QUEUE_DROPS);
		call->done(call, result, false, "", 0);
		return;
	}
	group_dispatch(lg, now_us);
}

bool leafgroup_withdraw(struct leafgroup *lg, struct leafgroup_call *call, uint64_t now_us)
{
	bool was_sent = call->was_sent || call->primary || call->hedge;

	if (call->primary || call->hedge)
		counter_increment(lg->env.counters, COUNTER_LEAF_TIMEOUTS);
	attempts_detach(call, LEAFSTAT_TIMEOUT, now_us);
	call_unlink(lg, call);
	return was_sent;
}

/*
 * Sends the hedge if a leaf is usable and a budget allows it. If the hedge budget is used up, the
 * hedge waits until latest_hedge_at_us and is then charged to the retry budget.
 */
static void hedge_start(struct leafgroup *lg, struct leafgroup_call *call, uint64_t now_us)
{
	int index = leaf_pick(lg, call, now_us);

	if (index < 0)
		return;
	if (!budget_spend(lg->hedge_budget) &&
	    (now_us < call->latest_hedge_at_us || !budget_spend(lg->retry_budget))) {
		call->hedge_at_us =
			now_us < call->latest_hedge_at_us ? call->latest_hedge_at_us : 0;
		return;
	}
	call->hedge_at_us = 0;
	counter_increment(lg->env.counters, COUNTER_LEAF_HEDGES);
	call->hedge = attempt_start(lg, call, index, now_us);
}

void leafgroup_tick(struct leafgroup *lg, uint64_t now_us)
{
	struct list_head *node;

	if (lg->env.permit(lg->env.arg) == LEAFGROUP_PERMIT_NOTHING)
		return;
	list_for_each (node, &lg->inflight) {
		struct leafgroup_call *call = list_entry(node, struct leafgroup_call, inflight);

		if (call->hedge_at_us && now_us >= call->hedge_at_us && call->primary &&
		    !call->hedge)
			hedge_start(lg, call, now_us);
	}
	group_dispatch(lg, now_us);
}

void leafgroup_connections_open(struct leafgroup *lg, uint64_t now_us)
{
	for (unsigned int i = 0; i < lg->n_leaves; i++)
		leafpool_connections_open(lg->leaves[i].pool, now_us);
}

bool leafgroup_is_idle(const struct leafgroup *lg)
{
	return lg->n_attempts == 0 && classq_count(lg->queue) == 0 && list_is_empty(&lg->waiting);
}

/* Inserts a version into the list, which is sorted newest first and without duplicates. */
static void version_insert(uint64_t *versions, unsigned int *n, unsigned int max, uint64_t version)
{
	unsigned int at = 0;

	while (at < *n && versions[at] > version)
		at++;
	if (at < *n && versions[at] == version)
		return;
	if (*n < max)
		(*n)++;
	else if (at >= max)
		return;
	for (unsigned int i = *n - 1; i > at; i--)
		versions[i] = versions[i - 1];
	versions[at] = version;
}

unsigned int leafgroup_versions(const struct leafgroup *lg, uint64_t *versions, unsigned int max)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < lg->n_leaves; i++) {
		const struct leaf *leaf = &lg->leaves[i];

		if (leaf_is_leaving(leaf) || leafpool_is_down(leaf->pool))
			continue;
		for (unsigned int j = 0; j < leaf->state.n_versions; j++)
			version_insert(versions, &n, max, leaf->state.versions[j]);
	}
	return n;
}

const char *leafgroup_id(const struct leafgroup *lg)
{
	return lg->desc->id;
}

const char *leafgroup_digest(const struct leafgroup *lg)
{
	return lg->desc->digest;
}

json_t *leafgroup_status(const struct leafgroup *lg, uint64_t now_us)
{
	json_t *leaves = json_array();

	for (unsigned int i = 0; i < lg->n_leaves; i++) {
		const struct leaf *leaf = &lg->leaves[i];

		json_array_append_new(
			leaves,
			json_pack("{s:s, s:I, s:I, s:I, s:b, s:b, s:I}", "name", leaf->desc->name,
				  "connections", (json_int_t)leafpool_connection_count(leaf->pool),
				  "calls", (json_int_t)limiter_in_use(leaf->limiter), "limit",
				  (json_int_t)limiter_limit(leaf->limiter), "leaving",
				  leaf_is_leaving(leaf), "down", leafpool_is_down(leaf->pool),
				  "median_us", (json_int_t)leafstat_median_us(lg->stats[i])));
	}
	return json_pack("{s:s, s:I, s:I, s:o}", "id", lg->desc->id, "queued",
			 (json_int_t)classq_count(lg->queue), "p95_us",
			 (json_int_t)hist_quantile(lg->latency, HEDGE_QUANTILE), "leaves", leaves);
}
