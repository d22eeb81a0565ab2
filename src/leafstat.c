#include "leafstat.h"

#include <math.h>

#define SECOND_US 1000000.0
#define RAMP_US 5000000.0
#define RAMP_MIN 0.05
/* Cost of a leaf without a sample: about the connection set-up of a search leaf. */
#define PRIOR_US 10000.0
#define EWMA_WEIGHT_MIN 0.125
/* In multiples of the latency. A timeout has cost a caller its whole wait; a refusal has not. */
#define PENALTY_REFUSED 1.0
#define PENALTY_TIMEOUT 4.0
#define PENALTY_MAX 16.0
#define REFUSING_MIN_US 1000.0
#define REFUSING_FIRST_MAX_US 100000.0
#define REFUSING_MAX_US 1000000.0
#define REFUSALS_MAX 10

struct leafstat {
	uint64_t ramp_from_us;
	uint64_t touched_us;
	uint64_t sample_us;
	uint64_t penalty_us;
	uint64_t refused_us;
	double ewma_us;
	double median_us;
	double penalty;
	unsigned int outstanding;
	unsigned int refusals; /* in a row */
	bool is_sampled;
};

static double time_since(uint64_t then_us, uint64_t now_us)
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

	*s = (struct leafstat){.ramp_from_us = now_us,
			       .touched_us = now_us,
			       .ewma_us = PRIOR_US,
			       .outstanding = outstanding};
}

void leafstat_start(struct leafstat *s, uint64_t now_us)
{
	s->outstanding++;
	s->touched_us = now_us;
}

/*
 * A sample after a long gap weighs more: otherwise a leaf that was slow once would need more than
 * 20 probes, one a second, until its EWMA is near the present latency.
 */
static void leafstat_latency_add(struct leafstat *s, double latency_us, uint64_t now_us)
{
	double gap_us = time_since(s->sample_us, now_us);
	double weight = MAX(EWMA_WEIGHT_MIN, gap_us / (gap_us + SECOND_US));

	if (!s->is_sampled)
		weight = 1.0;
	s->ewma_us += weight * (latency_us - s->ewma_us);
	s->ewma_us = MAX(s->ewma_us, 1.0);
	s->sample_us = now_us;
	s->is_sampled = true;
}

/* Steps of 1/32 towards each sample settle where half the samples lie on each side. */
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
	return s->penalty * exp2(-time_since(s->penalty_us, now_us) / SECOND_US);
}

static void leafstat_penalty_add(struct leafstat *s, double penalty, uint64_t now_us)
{
	s->penalty = MIN(leafstat_penalty(s, now_us) + penalty, PENALTY_MAX);
	s->penalty_us = now_us;
}

void leafstat_finish(struct leafstat *s, enum leafstat_event ev, uint64_t latency_us,
		     uint64_t now_us)
{
	double latency = (double)latency_us;

	if (s->outstanding > 0)
		s->outstanding--;
	s->touched_us = now_us;
	switch (ev) {
	case LEAFSTAT_OK:
		leafstat_latency_add(s, latency, now_us);
		leafstat_median_add(s, latency);
		s->refusals = 0;
		break;
	case LEAFSTAT_REFUSED:
		leafstat_penalty_add(s, PENALTY_REFUSED, now_us);
		/* Calls that were in flight together are refused for one cause and count once. */
		if (!leafstat_is_refusing(s, now_us)) {
			s->refusals = MIN(s->refusals + 1, REFUSALS_MAX);
			s->refused_us = now_us;
		}
		break;
	case LEAFSTAT_TIMEOUT:
		leafstat_penalty_add(s, PENALTY_TIMEOUT, now_us);
		/* fall through */
	case LEAFSTAT_CANCELLED:
		/* A hedge cancels the slow calls, so without this a straggler would look fast. */
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
	return CLAMP(time_since(s->ramp_from_us, now_us) / RAMP_US, RAMP_MIN, 1.0);
}

/*
 * The time doubles with each refusal in a row: a leaf that refuses every call would otherwise use
 * up the retry budget of the group.
 */
bool leafstat_is_refusing(const struct leafstat *s, uint64_t now_us)
{
	double hold_us = CLAMP(s->ewma_us, REFUSING_MIN_US, REFUSING_FIRST_MAX_US);

	if (s->refusals == 0)
		return false;
	hold_us = MIN(hold_us * (double)(1U << (s->refusals - 1)), REFUSING_MAX_US);
	return time_since(s->refused_us, now_us) < hold_us;
}

double leafstat_latency_us(const struct leafstat *s, uint64_t now_us)
{
	return s->ewma_us * (1.0 + leafstat_penalty(s, now_us));
}

uint64_t leafstat_idle_us(const struct leafstat *s, uint64_t now_us)
{
	return now_us > s->touched_us ? now_us - s->touched_us : 0;
}

uint64_t leafstat_median_us(const struct leafstat *s)
{
	return (uint64_t)s->median_us;
}

unsigned int leafstat_outstanding(const struct leafstat *s)
{
	return s->outstanding;
}
