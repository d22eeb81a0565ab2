#include "retryafter.h"

/*
 * Bounds of the delay while the leaves are full: a leaf with two slots works off a queue of 12
 * calls of 20 ms in 0.12 s.
 */
#define LEAVES_FULL_MIN_S 0.05
#define LEAVES_FULL_MAX_S 0.3
/*
 * Each rank below the first adds this part to both bounds. Twice the bounds for rank 1 would exceed
 * a target of 250 ms in nearly all cases.
 */
#define RANK_STEP 0.5
/* Spreads the callers of a stopping VM over the others. */
#define STOPPING_MIN_S 0.01
#define STOPPING_MAX_S 0.05
/* Callers on slow links take a part of what is held for them within this time. */
#define MEMORY_MAX_S 1.0
#define MEMORY_JITTER_MIN 0.3 /* least random factor of that delay */
/* Within about this time after its start, a process has its configuration. */
#define STARTING_MS 1000
#define STARTING_MIN_S 0.1
#define STARTING_MAX_S 0.3
/*
 * While all VMs start, the delay is the time since the start, at least START_SOON_MS, multiplied by
 * a random factor. Eight VMs that started together on a fast machine had their configuration after
 * 0.01 to 0.2 s.
 */
#define START_SOON_MS 200
#define START_SPREAD_MIN 0.75
#define START_SPREAD_MAX 1.75
/*
 * Longest delay while the store is unreachable: leaves whose entries have expired are known again
 * about two seconds after the store returns.
 */
#define OUTAGE_MAX_S 2.0
/*
 * While the store is unreachable, the delay is at most a third of the time that the caller will
 * still wait.
 */
#define WAIT_DIVISOR 3
/*
 * That delay is multiplied by a random factor from this to 1, so that callers refused together do
 * not return together.
 */
#define OUTAGE_JITTER_MIN 0.8
/* Assumed for a caller that does not say how long it will wait. */
#define UNKNOWN_WAIT_MS 1500

/* Longest useful delay of a caller. */
static double longest_s(uint64_t caller_wait_ms)
{
	return (double)(caller_wait_ms ? caller_wait_ms : UNKNOWN_WAIT_MS) / 1000 / WAIT_DIVISOR;
}

double retryafter_choose_limited_s(uint64_t leaf_wait_us, uint64_t caller_wait_ms, GRand *rand)
{
	double wait_s = MAX(LEAVES_FULL_MIN_S, (double)leaf_wait_us / 1e6);
	double spread_s = wait_s * g_rand_double_range(rand, 1, 2);

	return MIN(longest_s(caller_wait_ms), spread_s);
}

/* The store may be away: the caller returns late, but within the time that it will wait. */
static double outage_s(uint64_t caller_wait_ms, GRand *rand)
{
	return MIN(longest_s(caller_wait_ms), OUTAGE_MAX_S) *
	       g_rand_double_range(rand, OUTAGE_JITTER_MIN, 1);
}

static double starting_s(uint64_t caller_wait_ms, uint64_t uptime_ms, GRand *rand)
{
	double latest_s = outage_s(caller_wait_ms, rand);
	double start_s = (double)MAX(uptime_ms, START_SOON_MS) / 1000;
	double delay_s = start_s * g_rand_double_range(rand, START_SPREAD_MIN, START_SPREAD_MAX);

	return MIN(latest_s, delay_s);
}

double retryafter_choose_rank_s(unsigned int rank, uint64_t caller_wait_ms, GRand *rand)
{
	double factor = 1 + RANK_STEP * rank;
	double max_s = MIN(LEAVES_FULL_MAX_S * factor, longest_s(caller_wait_ms));

	if (rank == 0)
		return retryafter_choose_s(RETRYAFTER_LEAVES_FULL, caller_wait_ms, 0, rand);
	/* Callers that wait for little more come back early, but spread as well. */
	return g_rand_double_range(rand, MIN(LEAVES_FULL_MIN_S * factor, max_s / 2), max_s);
}

double retryafter_choose_s(enum retryafter_reason reason, uint64_t caller_wait_ms,
			   uint64_t uptime_ms, GRand *rand)
{
	if (reason == RETRYAFTER_LEAVES_FULL)
		return g_rand_double_range(rand, LEAVES_FULL_MIN_S, LEAVES_FULL_MAX_S);
	if (reason == RETRYAFTER_MEMORY)
		return MIN(longest_s(caller_wait_ms), MEMORY_MAX_S) *
		       g_rand_double_range(rand, MEMORY_JITTER_MIN, 1);
	if (reason == RETRYAFTER_STOPPING)
		return g_rand_double_range(rand, STOPPING_MIN_S, STOPPING_MAX_S);
	if (reason == RETRYAFTER_ALL_STARTING && uptime_ms < STARTING_MS)
		return starting_s(caller_wait_ms, uptime_ms, rand);
	if (reason == RETRYAFTER_RENEWAL ||
	    (reason == RETRYAFTER_NO_CONFIG && uptime_ms < STARTING_MS))
		return g_rand_double_range(rand, STARTING_MIN_S, STARTING_MAX_S);
	return outage_s(caller_wait_ms, rand);
}
