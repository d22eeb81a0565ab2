#include "spread.h"

/* Weight of a window of 0.5 s in the averages, which so follow within about three seconds. */
#define EWMA_WEIGHT 0.15
/* In the model, leaves under one rule without waves stay below 1.5, and waves reach 2 and more. */
#define UNEVEN_ON 1.5
#define UNEVEN_OFF 1.2
/*
 * Spreading ends after the load has been even for so long (10 s). Leaves that are spread look even;
 * without this, spreading ended and waves began again every few seconds.
 */
#define EVEN_WINDOWS_MIN 20
/* Up to this many calls a slot at the busiest leaf no call waits, so that its load is no concern.
 */
#define LOAD_MIN 1.0
/* A leaf that has told nothing for so long is left out of the measure. */
#define LOAD_AGE_MAX_US 2000000

/*
 * Leaves that are expected to take up to this much longer are as good as the best one. The averages
 * are of the last five answers or so, and differ by this much between equal leaves whose calls vary
 * by half of their mean either way. The way to another data centre is within it for long calls
 * only.
 */
#define SIMILAR_FACTOR 1.25

void spread_load_add(struct spread_meter *m, double calls_per_slot)
{
	m->load_sum += calls_per_slot;
	m->n_loads++;
}

void spread_call_add(struct spread_meter *m)
{
	m->n_calls++;
}

static void meter_window_end(struct spread_meter *m, uint64_t now_us)
{
	if (m->n_loads > 0) {
		m->load = m->load_sum / m->n_loads;
		m->load_at_us = now_us;
	}
	m->calls += EWMA_WEIGHT * (m->n_calls - m->calls);
	m->load_sum = 0;
	m->n_loads = 0;
	m->n_calls = 0;
}

/* Greatest over mean of the known loads; 0 if fewer than two leaves tell theirs. */
static double load_uneven(struct spread_meter *const *meters, unsigned int n, uint64_t now_us)
{
	double greatest = 0;
	double sum = 0;
	unsigned int n_known = 0;

	for (unsigned int i = 0; i < n; i++) {
		const struct spread_meter *m = meters[i];

		if (m->load_at_us == 0 || now_us - m->load_at_us > LOAD_AGE_MAX_US)
			continue;
		greatest = MAX(greatest, m->load);
		sum += m->load;
		n_known++;
	}
	if (n_known < 2)
		return 0;
	return greatest <= LOAD_MIN ? 1 : greatest * n_known / sum;
}

static double calls_uneven(struct spread_meter *const *meters, unsigned int n)
{
	double greatest = 0;
	double sum = 0;

	for (unsigned int i = 0; i < n; i++) {
		greatest = MAX(greatest, meters[i]->calls);
		sum += meters[i]->calls;
	}
	return sum > 0 ? greatest * n / sum : 0;
}

bool spread_window_end(struct spread *s, struct spread_meter *const *meters, unsigned int n,
		       uint64_t now_us)
{
	bool was_in_force = s->is_in_force;
	double uneven;

	for (unsigned int i = 0; i < n; i++)
		meter_window_end(meters[i], now_us);
	s->calls_uneven = calls_uneven(meters, n);
	uneven = load_uneven(meters, n, now_us);
	if (uneven <= 0)
		uneven = 1;
	if (s->load_uneven <= 0)
		s->load_uneven = 1;
	s->load_uneven += EWMA_WEIGHT * (uneven - s->load_uneven);
	s->n_even_windows = s->load_uneven < UNEVEN_OFF ? s->n_even_windows + 1 : 0;
	if (s->load_uneven >= UNEVEN_ON)
		s->is_in_force = true;
	else if (s->n_even_windows >= EVEN_WINDOWS_MIN)
		s->is_in_force = false;
	return s->is_in_force != was_in_force;
}

/* The index of the nth candidate that is near. */
static unsigned int near_at(const struct spread_candidate *candidates, unsigned int nth)
{
	unsigned int i = 0;

	for (;; i++)
		if (candidates[i].is_near && nth-- == 0)
			return i;
}

/*
 * One of the two is near if any is, so that near leaves stay preferred; their lower cost decides
 * most of these choices as long as they have capacity.
 */
unsigned int spread_choose(const struct spread_candidate *candidates, unsigned int n, GRand *rand)
{
	unsigned int n_near = 0;
	unsigned int first;
	unsigned int second;

	if (n <= 1)
		return 0;
	for (unsigned int i = 0; i < n; i++)
		n_near += candidates[i].is_near;
	if (n_near > 0)
		first = near_at(candidates,
				(unsigned int)g_rand_int_range(rand, 0, (gint32)n_near));
	else
		first = (unsigned int)g_rand_int_range(rand, 0, (gint32)n);
	second = (first + (unsigned int)g_rand_int_range(rand, 1, (gint32)n)) % n;
	return candidates[second].cost_us < candidates[first].cost_us ? second : first;
}

unsigned int spread_draw(const struct spread_candidate *candidates, unsigned int n,
			 unsigned int best, GRand *rand)
{
	double limit_us = SIMILAR_FACTOR * candidates[best].cost_us;
	unsigned int drawn = best;
	gint32 n_similar = 0;

	for (unsigned int i = 0; i < n; i++) {
		if (candidates[i].calls_per_slot > candidates[best].calls_per_slot ||
		    candidates[i].cost_us > limit_us)
			continue;
		if (g_rand_int_range(rand, 0, ++n_similar) == 0)
			drawn = i;
	}
	return drawn;
}
