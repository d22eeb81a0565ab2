#include "leafstat.h"

#include <math.h>

#define SECOND_US 1000000.0
#define RAMP_DURATION_US 5000000.0
#define RAMP_MIN_SHARE 0.05
/* Assumed for a leaf without a sample: about the time to open a connection to a search leaf. */
#define LATENCY_INITIAL_US 10000.0
#define EWMA_WEIGHT_MIN 0.125
/*
 * Penalties are multiples of the latency and halve each second. A timeout weighs more than a
 * refusal, since it has cost the caller its whole wait.
 */
#define PENALTY_REFUSED 1.0
#define PENALTY_TIMEOUT 4.0
#define PENALTY_MAX 16.0
#define REFUSAL_BACKOFF_MIN_US 1000.0
#define REFUSAL_BACKOFF_FIRST_MAX_US 100000.0
#define REFUSAL_BACKOFF_MAX_US 1000000.0
#define REFUSALS_MAX 10

struct leafstat {
	uint64_t ramp_start_us;
	uint64_t last_used_at_us; /* last start or end of a call */
	uint64_t sampled_at_us;
	uint64_t penalty_at_us;
	uint64_t refused_at_us;
	double ewma_us;
	double median_us;
	double penalty;
	unsigned int outstanding;
	unsigned int refusals; /* consecutive */
	bool is_sampled;
};

static double elapsed_us(uint64_t then_us, uint64_t now_us)
{
	return now_us > then_us ? (double)(now_us - then_us) : 0.0;
}

struct leafstat *leafstat_create(uint64_t now_us)
{
	struct leafstat *s = g_new0(struct leafstat, 1);

	leafstat_restart(s, now_us);
	return s;
}

void leafstat_destroy(struct leafstat *s)
{
	g_free(s);
}

void leafstat_restart(struct leafstat *s, uint64_t now_us)
{
	unsigned int outstanding = s->outstanding;

	*s = (struct leafstat){.ramp_start_us = now_us,
			       .last_used_at_us = now_us,
			       .ewma_us = LATENCY_INITIAL_US,
			       .outstanding = outstanding};
}

void leafstat_start(struct leafstat *s, uint64_t now_us)
{
	s->outstanding++;
	s->last_used_at_us = now_us;
}

/*
 * Adds a sample to the EWMA. A sample after a long gap gets a larger weight: otherwise the EWMA of
 * a leaf that was slow once would be near the present latency only after more than 20 probes, which
 * are sent once a second.
 */
static void leafstat_latency_add(struct leafstat *s, double latency_us, uint64_t now_us)
{
	double gap_us = elapsed_us(s->sampled_at_us, now_us);
	double weight = MAX(EWMA_WEIGHT_MIN, gap_us / (gap_us + SECOND_US));

	if (!s->is_sampled)
		weight = 1.0;
	s->ewma_us += weight * (latency_us - s->ewma_us);
	s->ewma_us = MAX(s->ewma_us, 1.0);
	s->sampled_at_us = now_us;
	s->is_sampled = true;
}

/*
 * Moves the estimate towards each sample, by a factor of at most 33/32. The estimate settles where
 * half of the samples lie on each side.
 */
static void leafstat_median_add(struct leafstat *s, double latency_us)
{
	if (s->median_us == 0.0)
		s->median_us = MAX(latency_us, 1.0);
	else if (latency_us > s->median_us)
		s->median_us = MIN(s->median_us * 33.0 / 32.0, latency_us);
	else
		s->median_us = MAX(MAX(s->median_us * 32.0 / 33.0, latency_us), 1.0);
}

static double leafstat_penalty(const struct leafstat *s, uint64_t now_us)
{
	if (s->penalty == 0.0)
		return 0.0;
	return s->penalty * exp2(-elapsed_us(s->penalty_at_us, now_us) / SECOND_US);
}

static void leafstat_penalty_add(struct leafstat *s, double penalty, uint64_t now_us)
{
	s->penalty = MIN(leafstat_penalty(s, now_us) + penalty, PENALTY_MAX);
	s->penalty_at_us = now_us;
}

void leafstat_finish(struct leafstat *s, enum leafstat_outcome outcome, uint64_t latency_us,
		     uint64_t now_us)
{
	double latency = (double)latency_us;

	if (s->outstanding > 0)
		s->outstanding--;
	s->last_used_at_us = now_us;
	switch (outcome) {
	case LEAFSTAT_OK:
		leafstat_latency_add(s, latency, now_us);
		leafstat_median_add(s, latency);
		s->refusals = 0;
		break;
	case LEAFSTAT_REFUSED:
		leafstat_penalty_add(s, PENALTY_REFUSED, now_us);
		/*
		 * Calls that were in flight at the same time are refused for the same reason, so
		 * they count as one refusal.
		 */
		if (!leafstat_is_refusing(s, now_us)) {
			s->refusals = MIN(s->refusals + 1, REFUSALS_MAX);
			s->refused_at_us = now_us;
		}
		break;
	case LEAFSTAT_TIMEOUT:
		leafstat_penalty_add(s, PENALTY_TIMEOUT, now_us);
		/* fall through */
	case LEAFSTAT_CANCELLED:
		/* Hedging cancels slow calls: without them a slow leaf would look fast. */
		if (latency > s->ewma_us)
			leafstat_latency_add(s, latency, now_us);
		break;
	}
}

double leafstat_cost(const struct leafstat *s, uint64_t now_us)
{
	return leafstat_latency_us(s, now_us) * (double)(s->outstanding + 1);
}

double leafstat_ramp(const struct leafstat *s, uint64_t now_us)
{
	return CLAMP(elapsed_us(s->ramp_start_us, now_us) / RAMP_DURATION_US, RAMP_MIN_SHARE, 1.0);
}

/*
 * The backoff doubles with each consecutive refusal: a leaf that refuses every call would otherwise
 * use up the retry budget of its group.
 */
bool leafstat_is_refusing(const struct leafstat *s, uint64_t now_us)
{
	double backoff_us = CLAMP(s->ewma_us, REFUSAL_BACKOFF_MIN_US, REFUSAL_BACKOFF_FIRST_MAX_US);

	if (s->refusals == 0)
		return false;
	backoff_us = MIN(backoff_us * (double)(1U << (s->refusals - 1)), REFUSAL_BACKOFF_MAX_US);
	return elapsed_us(s->refused_at_us, now_us) < backoff_us;
}

double leafstat_latency_us(const struct leafstat *s, uint64_t now_us)
{
	return s->ewma_us * (1.0 + leafstat_penalty(s, now_us));
}

uint64_t leafstat_idle_us(const struct leafstat *s, uint64_t now_us)
{
	return now_us > s->last_used_at_us ? now_us - s->last_used_at_us : 0;
}

uint64_t leafstat_median_us(const struct leafstat *s)
{
	return (uint64_t)s->median_us;
}

unsigned int leafstat_outstanding(const struct leafstat *s)
{
	return s->outstanding;
}
