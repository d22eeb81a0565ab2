#include "scatter.h"

/* Calls that were not run are no attempts; after at most this many the shard is called again. */
#define NOT_RUN_MAX 3
/*
 * Second calls are sent after this quantile of the latency: 1 call in 9 is repeated, which stays
 * within the default budget of 0.2 repeats per request.
 */
#define HEDGE_DELAY_QUANTILE 0.89
#define HEDGE_SAMPLES_MIN 32
/* Bounds of the delay as shares of the goal, so that a second call can still be in time. */
#define HEDGE_DELAY_MIN_SHARE 0.12
#define HEDGE_DELAY_MAX_SHARE 0.3
/* A second call is expected to be answered within this quantile of the latency. */
#define HEDGE_ANSWER_QUANTILE 0.75
/*
 * Assumed time to an answer without enough samples: twice the mean time of a search in the first
 * deployments.
 */
#define HEDGE_ANSWER_DEFAULT_US 40000
/*
 * Second calls are held back if less than this share of the budget is unspent. In normal operation
 * more is left.
 */
#define HEDGE_HOLD_BELOW 0.3
/* Timers fire about this late, so a shorter wait is pointless. */
#define HEDGE_HOLD_MIN_US 1000
/* Delay before a second call if there is neither a goal nor enough samples. */
#define HEDGE_DELAY_DEFAULT_US 500000
/*
 * An answer that missed the goal is worth little, and a further delay costs little. So once the
 * goal is missed by more than 1/8 of this time, the request waits for missing shards until this
 * time after the goal: the longest pause of a leaf.
 */
#define LATE_ANSWER_WAIT_US 200000

/*
 * Time reserved before the goal. The caller measures the goal from its first packet to its last:
 * opening the connection, the request and the answer take four one-way trips to a caller in another
 * data centre, each of 6.4 ms in the deployments, and timers fire a little late.
 */
#define GOAL_MARGIN_US 28000

struct shard {
	uint64_t called_us; /* start of the last call */
	uint64_t hedge_at_us; /* when a second call is due */
	unsigned int n_ran; /* calls that ran or may have run */
	unsigned int n_not_run;
	unsigned int n_open; /* calls that have not ended */
	bool is_answered;
	bool is_exhausted; /* no further call can follow */
	bool is_hedge_pending; /* scatter_hedge_next() returns the shard at hedge_at_us */
};

struct scatter {
	struct scatter_policy policy;
	unsigned int n_answered;
	unsigned int n_lost; /* unanswered shards that have no open call and get no further one */
	struct shard shards[];
};

struct scatter *scatter_create(const struct scatter_policy *policy)
{
	struct scatter *s = g_malloc0(sizeof(*s) + policy->n_shards * sizeof(struct shard));

	s->policy = *policy;
	return s;
}

void scatter_destroy(struct scatter *s)
{
	g_free(s);
}

void scatter_deadline_cap(struct scatter *s, uint64_t at_us)
{
	s->policy.deadline_us = MIN(s->policy.deadline_us, at_us);
}

static bool shard_is_lost(const struct shard *shard)
{
	return !shard->is_answered && shard->n_open == 0 && shard->is_exhausted;
}

/* Updates n_lost after a change of the shard. */
static void n_lost_update(struct scatter *s, const struct shard *shard, bool was_lost)
{
	bool is_lost = shard_is_lost(shard);

	if (is_lost && !was_lost)
		s->n_lost++;
	else if (!is_lost && was_lost)
		s->n_lost--;
}

void scatter_call_started(struct scatter *s, unsigned int shard, uint64_t now_us)
{
	struct shard *sh = &s->shards[shard];
	bool was_lost = shard_is_lost(sh);

	sh->n_open++;
	sh->called_us = now_us;
	sh->hedge_at_us = now_us + s->policy.hedge_after_us;
	sh->is_hedge_pending = true;
	n_lost_update(s, sh, was_lost);
}

void scatter_call_lost(struct scatter *s, unsigned int shard, enum scatter_loss loss)
{
	struct shard *sh = &s->shards[shard];
	bool was_lost = shard_is_lost(sh);

	sh->n_open--;
	if (loss == SCATTER_LOSS_NOT_RUN)
		sh->n_not_run++;
	else
		sh->n_ran++;
	n_lost_update(s, sh, was_lost);
}

void scatter_call_withdrawn(struct scatter *s, unsigned int shard)
{
	struct shard *sh = &s->shards[shard];
	bool was_lost = shard_is_lost(sh);

	sh->n_open--;
	n_lost_update(s, sh, was_lost);
}

bool scatter_call_answered(struct scatter *s, unsigned int shard)
{
	struct shard *sh = &s->shards[shard];
	bool was_lost = shard_is_lost(sh);
	bool is_first = !sh->is_answered;

	sh->n_open--;
	sh->n_ran++;
	sh->is_answered = true;
	n_lost_update(s, sh, was_lost);
	if (is_first)
		s->n_answered++;
	return is_first;
}

void scatter_calls_exhausted(struct scatter *s, unsigned int shard)
{
	struct shard *sh = &s->shards[shard];
	bool was_lost = shard_is_lost(sh);

	sh->is_exhausted = true;
	n_lost_update(s, sh, was_lost);
}

bool scatter_may_call(const struct scatter *s, unsigned int shard)
{
	const struct shard *sh = &s->shards[shard];

	if (sh->is_answered || sh->is_exhausted || sh->n_not_run > NOT_RUN_MAX)
		return false;
	if (!s->policy.is_idempotent && sh->n_ran + sh->n_open > 0)
		return false;
	return sh->n_ran + sh->n_open < MAX(1, s->policy.max_attempts);
}

bool scatter_has_open_call(const struct scatter *s, unsigned int shard)
{
	return s->shards[shard].n_open > 0;
}

bool scatter_is_answered(const struct scatter *s, unsigned int shard)
{
	return s->shards[shard].is_answered;
}

bool scatter_hedge_next(struct scatter *s, unsigned int *shard, uint64_t now_us)
{
	if (s->policy.hedge_after_us == 0 || !s->policy.is_idempotent)
		return false;
	for (; *shard < s->policy.n_shards; (*shard)++) {
		struct shard *sh = &s->shards[*shard];

		if (sh->is_answered || sh->n_open == 0 || !sh->is_hedge_pending ||
		    now_us < sh->hedge_at_us)
			continue;
		sh->is_hedge_pending = false;
		if (scatter_may_call(s, *shard))
			return true;
	}
	return false;
}

bool scatter_hedge_hold(struct scatter *s, unsigned int shard, double budget_left, uint64_t now_us)
{
	struct shard *sh = &s->shards[shard];
	uint64_t earliest_us = sh->called_us + s->policy.hedge_after_us;
	double fraction;
	uint64_t at_us;

	if (s->policy.hedge_last_at_us <= earliest_us)
		return false;
	fraction = 1 - CLAMP(budget_left / HEDGE_HOLD_BELOW, 0, 1);
	at_us = earliest_us +
		(uint64_t)(fraction * (double)(s->policy.hedge_last_at_us - earliest_us));
	if (at_us < now_us + HEDGE_HOLD_MIN_US)
		return false;
	sh->hedge_at_us = at_us;
	sh->is_hedge_pending = true;
	return true;
}

void scatter_hedge_defer(struct scatter *s, unsigned int shard, uint64_t now_us)
{
	struct shard *sh = &s->shards[shard];

	sh->hedge_at_us = now_us + MAX(HEDGE_HOLD_MIN_US, s->policy.hedge_after_us / 2);
	sh->is_hedge_pending = true;
}

/* When the next second call is due; G_MAXUINT64: never. */
static uint64_t hedge_next_at_us(const struct scatter *s)
{
	uint64_t next_us = G_MAXUINT64;

	if (s->policy.hedge_after_us == 0 || !s->policy.is_idempotent)
		return next_us;
	for (unsigned int i = 0; i < s->policy.n_shards; i++) {
		const struct shard *sh = &s->shards[i];

		if (!sh->is_answered && sh->n_open > 0 && sh->is_hedge_pending &&
		    scatter_may_call(s, i))
			next_us = MIN(next_us, sh->hedge_at_us);
	}
	return next_us;
}

enum scatter_verdict scatter_verdict(const struct scatter *s, uint64_t now_us, uint64_t *wake_us)
{
	const struct scatter_policy *p = &s->policy;
	unsigned int n_pending = p->n_shards - s->n_answered - s->n_lost;
	bool has_min_share = s->n_answered > 0 && s->n_answered >= p->min_share * p->n_shards;
	uint64_t answer_at_us = p->goal_at_us;

	if (n_pending == 0)
		return has_min_share ? SCATTER_ANSWER : SCATTER_FAILED;
	if (s->n_answered + n_pending < p->min_share * p->n_shards)
		return SCATTER_FAILED;
	if (now_us >= p->deadline_us)
		return has_min_share ? SCATTER_ANSWER : SCATTER_TIMED_OUT;
	if (answer_at_us && now_us > answer_at_us + LATE_ANSWER_WAIT_US / 8)
		answer_at_us += LATE_ANSWER_WAIT_US;
	if (has_min_share && answer_at_us && now_us >= answer_at_us)
		return SCATTER_ANSWER;
	*wake_us = MIN(p->deadline_us, hedge_next_at_us(s));
	if (has_min_share && answer_at_us)
		*wake_us = MIN(*wake_us, answer_at_us);
	else if (p->goal_at_us > now_us)
		*wake_us = MIN(*wake_us, p->goal_at_us);
	return SCATTER_WAIT;
}

unsigned int scatter_answered_count(const struct scatter *s)
{
	return s->n_answered;
}

uint64_t scatter_hedge_delay_us(const struct hist *latencies, uint64_t goal_us)
{
	uint64_t delay_us = goal_us ? goal_us / 4 : HEDGE_DELAY_DEFAULT_US;

	if (latencies && hist_count(latencies) >= HEDGE_SAMPLES_MIN)
		delay_us = hist_quantile(latencies, HEDGE_DELAY_QUANTILE);
	if (!goal_us)
		return delay_us;
	return CLAMP(delay_us, (uint64_t)(HEDGE_DELAY_MIN_SHARE * (double)goal_us),
		     (uint64_t)(HEDGE_DELAY_MAX_SHARE * (double)goal_us));
}

uint64_t scatter_hedge_last_at_us(const struct hist *latencies, uint64_t goal_at_us)
{
	uint64_t answer_us = HEDGE_ANSWER_DEFAULT_US;

	if (latencies && hist_count(latencies) >= HEDGE_SAMPLES_MIN)
		answer_us = hist_quantile(latencies, HEDGE_ANSWER_QUANTILE);
	return goal_at_us > answer_us ? goal_at_us - answer_us : 0;
}

uint64_t scatter_useful_us(unsigned int goal_ms)
{
	uint64_t goal_us = (uint64_t)goal_ms * 1000;

	return goal_us > GOAL_MARGIN_US ? goal_us - GOAL_MARGIN_US : goal_us;
}

void scatter_times_set(struct scatter_policy *policy, const struct scatter_times *times)
{
	uint64_t goal_us = (uint64_t)times->goal_ms * 1000;
	uint64_t time_left_ms =
		MIN(times->wait_ms ? times->wait_ms : times->timeout_ms, times->timeout_ms);
	uint64_t first_wait_ms = MIN(MAX(times->longest_wait_ms, time_left_ms), times->timeout_ms);
	uint64_t used_us = (first_wait_ms - time_left_ms) * 1000;

	policy->deadline_us = times->read_us + time_left_ms * 1000;
	policy->goal_at_us = 0;
	if (goal_us > used_us + GOAL_MARGIN_US)
		policy->goal_at_us = times->read_us + goal_us - used_us - GOAL_MARGIN_US;
	else if (goal_us)
		policy->goal_at_us = times->read_us;
}
