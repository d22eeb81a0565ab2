#include "scatter.h"

/* Calls that a leaf refused unrun do not count as attempts; so many of them are followed up. */
#define REFUSALS_FOLLOWED 3
/* Second calls go out after this quantile: 1 call in 9 is repeated, within the 0.2 of the budget.
 */
#define HEDGE_QUANTILE 0.89
#define HEDGE_SAMPLES 32
/* Bounds of the delay as parts of the goal: early enough for a second call to be in time. */
#define HEDGE_MIN_PART 0.12
#define HEDGE_MAX_PART 0.3
/* Time that a usual call takes at most: a second one must be answered within it to be in time. */
#define HEDGE_ANSWER_QUANTILE 0.75
/* Assumed of a call before there are samples: twice the mean work of the first deployments'
 * searches. */
#define HEDGE_NO_SAMPLES_US 40000
/* Part of the budget below which second calls wait: calm days leave more than that unspent. */
#define HEDGE_HOLD_BELOW 0.3
/* Timers fire about so late; a shorter wait is none. */
#define HEDGE_STEP_US 1000
/* Without a goal: a usual time for a call. */
#define HEDGE_NO_GOAL_US 500000
/* Past the goal an answer is worth little sooner or later; it waits for missing shards as long as
 * a leaf pauses at most. */
#define LATE_PATIENCE_US 200000

/*
 * Kept before the goal, which counts from the caller's first packet to its last: opening the
 * connection, request and answer cross to a caller in another data centre four times at 6.4 ms in
 * the deployments, and timers fire a little late.
 */
#define ANSWER_MARGIN_US 28000

struct shard {
	uint64_t called_us;
	uint64_t hedge_at_us;
	unsigned int ran; /* calls that have run or may have */
	unsigned int not_run;
	unsigned int open;
	bool is_in;
	bool is_exhausted;
	bool is_hedge_due; /* a call has been sent since the last hedge decision */
};

struct scatter {
	struct scatter_policy policy;
	unsigned int n_in;
	unsigned int n_lost; /* neither in nor with a call open, and no call can follow */
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

static bool shard_is_lost(const struct shard *shard)
{
	return !shard->is_in && shard->open == 0 && shard->is_exhausted;
}

/* Keeps n_lost in step with a change of the shard. */
static void shard_changed(struct scatter *s, const struct shard *shard, bool was_lost)
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

	sh->open++;
	sh->called_us = now_us;
	sh->hedge_at_us = now_us + s->policy.hedge_after_us;
	sh->is_hedge_due = true;
	shard_changed(s, sh, was_lost);
}

void scatter_call_lost(struct scatter *s, unsigned int shard, enum scatter_loss loss)
{
	struct shard *sh = &s->shards[shard];
	bool was_lost = shard_is_lost(sh);

	sh->open--;
	if (loss == SCATTER_LOSS_NOT_RUN)
		sh->not_run++;
	else
		sh->ran++;
	shard_changed(s, sh, was_lost);
}

void scatter_call_withdrawn(struct scatter *s, unsigned int shard)
{
	struct shard *sh = &s->shards[shard];
	bool was_lost = shard_is_lost(sh);

	sh->open--;
	shard_changed(s, sh, was_lost);
}

bool scatter_call_answered(struct scatter *s, unsigned int shard)
{
	struct shard *sh = &s->shards[shard];
	bool was_lost = shard_is_lost(sh);
	bool is_first = !sh->is_in;

	sh->open--;
	sh->ran++;
	sh->is_in = true;
	shard_changed(s, sh, was_lost);
	if (is_first)
		s->n_in++;
	return is_first;
}

void scatter_calls_exhausted(struct scatter *s, unsigned int shard)
{
	struct shard *sh = &s->shards[shard];
	bool was_lost = shard_is_lost(sh);

	sh->is_exhausted = true;
	shard_changed(s, sh, was_lost);
}

bool scatter_may_call(const struct scatter *s, unsigned int shard)
{
	const struct shard *sh = &s->shards[shard];

	if (sh->is_in || sh->is_exhausted || sh->not_run > REFUSALS_FOLLOWED)
		return false;
	if (!s->policy.is_idempotent && sh->ran + sh->open > 0)
		return false;
	return sh->ran + sh->open < MAX(1, s->policy.max_attempts);
}

bool scatter_is_waiting(const struct scatter *s, unsigned int shard)
{
	return s->shards[shard].open > 0;
}

bool scatter_is_in(const struct scatter *s, unsigned int shard)
{
	return s->shards[shard].is_in;
}

bool scatter_hedge_next(struct scatter *s, unsigned int *shard, uint64_t now_us)
{
	if (s->policy.hedge_after_us == 0 || !s->policy.is_idempotent)
		return false;
	for (; *shard < s->policy.n_shards; (*shard)++) {
		struct shard *sh = &s->shards[*shard];

		if (sh->is_in || sh->open == 0 || !sh->is_hedge_due || now_us < sh->hedge_at_us)
			continue;
		sh->is_hedge_due = false;
		if (scatter_may_call(s, *shard))
			return true;
	}
	return false;
}

bool scatter_hedge_holds(struct scatter *s, unsigned int shard, double budget_left, uint64_t now_us)
{
	struct shard *sh = &s->shards[shard];
	uint64_t first_us = sh->called_us + s->policy.hedge_after_us;
	double part;
	uint64_t at_us;

	if (s->policy.hedge_last_at_us <= first_us)
		return false;
	part = 1 - CLAMP(budget_left / HEDGE_HOLD_BELOW, 0, 1);
	at_us = first_us + (uint64_t)(part * (double)(s->policy.hedge_last_at_us - first_us));
	if (at_us < now_us + HEDGE_STEP_US)
		return false;
	sh->hedge_at_us = at_us;
	sh->is_hedge_due = true;
	return true;
}

void scatter_hedge_defer(struct scatter *s, unsigned int shard, uint64_t now_us)
{
	struct shard *sh = &s->shards[shard];

	sh->hedge_at_us = now_us + MAX(HEDGE_STEP_US, s->policy.hedge_after_us / 2);
	sh->is_hedge_due = true;
}

static uint64_t next_hedge_us(const struct scatter *s)
{
	uint64_t first_us = G_MAXUINT64;

	if (s->policy.hedge_after_us == 0 || !s->policy.is_idempotent)
		return first_us;
	for (unsigned int i = 0; i < s->policy.n_shards; i++) {
		const struct shard *sh = &s->shards[i];

		if (!sh->is_in && sh->open > 0 && sh->is_hedge_due && scatter_may_call(s, i))
			first_us = MIN(first_us, sh->hedge_at_us);
	}
	return first_us;
}

enum scatter_verdict scatter_verdict(const struct scatter *s, uint64_t now_us, uint64_t *wake_us)
{
	const struct scatter_policy *p = &s->policy;
	unsigned int n_open = p->n_shards - s->n_in - s->n_lost;
	bool is_enough = s->n_in > 0 && s->n_in >= p->min_share * p->n_shards;
	uint64_t answer_at_us = p->goal_at_us;

	if (n_open == 0)
		return is_enough ? SCATTER_ANSWER : SCATTER_FAILED;
	if (s->n_in + n_open < p->min_share * p->n_shards)
		return SCATTER_FAILED;
	if (now_us >= p->deadline_us)
		return is_enough ? SCATTER_ANSWER : SCATTER_TIMED_OUT;
	if (answer_at_us && now_us > answer_at_us + LATE_PATIENCE_US / 8)
		answer_at_us += LATE_PATIENCE_US;
	if (is_enough && answer_at_us && now_us >= answer_at_us)
		return SCATTER_ANSWER;
	*wake_us = MIN(p->deadline_us, next_hedge_us(s));
	if (is_enough && answer_at_us)
		*wake_us = MIN(*wake_us, answer_at_us);
	else if (p->goal_at_us > now_us)
		*wake_us = MIN(*wake_us, p->goal_at_us);
	return SCATTER_WAIT;
}

unsigned int scatter_in_count(const struct scatter *s)
{
	return s->n_in;
}

uint64_t scatter_hedge_delay_us(const struct hist *latencies, uint64_t goal_us)
{
	uint64_t delay_us = goal_us ? goal_us / 4 : HEDGE_NO_GOAL_US;

	if (latencies && hist_count(latencies) >= HEDGE_SAMPLES)
		delay_us = hist_quantile(latencies, HEDGE_QUANTILE);
	if (!goal_us)
		return delay_us;
	return CLAMP(delay_us, (uint64_t)(HEDGE_MIN_PART * (double)goal_us),
		     (uint64_t)(HEDGE_MAX_PART * (double)goal_us));
}

uint64_t scatter_hedge_last_at_us(const struct hist *latencies, uint64_t goal_at_us)
{
	uint64_t answer_us = HEDGE_NO_SAMPLES_US;

	if (latencies && hist_count(latencies) >= HEDGE_SAMPLES)
		answer_us = hist_quantile(latencies, HEDGE_ANSWER_QUANTILE);
	return goal_at_us > answer_us ? goal_at_us - answer_us : 0;
}

void scatter_times_set(struct scatter_policy *policy, const struct scatter_wait *wait)
{
	uint64_t goal_us = (uint64_t)wait->goal_ms * 1000;
	uint64_t limit_ms = MIN(wait->wait_ms ? wait->wait_ms : wait->timeout_ms, wait->timeout_ms);
	uint64_t first_ms = MIN(MAX(wait->longest_ms, limit_ms), wait->timeout_ms);
	uint64_t used_us = (first_ms - limit_ms) * 1000;

	policy->deadline_us = wait->read_us + limit_ms * 1000;
	policy->goal_at_us = 0;
	if (goal_us > used_us + ANSWER_MARGIN_US)
		policy->goal_at_us = wait->read_us + goal_us - used_us - ANSWER_MARGIN_US;
	else if (goal_us)
		policy->goal_at_us = wait->read_us;
}
