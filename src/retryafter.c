#include "retryafter.h"

/*
 * Bounds of the delay while the leaves are full: a leaf with two slots works off a queue of 12
 * calls of 20 ms in 0.12 s.
 */
#define LEAVES_FULL_MIN_S 0.05
#define LEAVES_FULL_MAX_S 0.3
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
	if (reason == RETRYAFTER_NO_CONFIG && uptime_ms < STARTING_MS)
		return g_rand_double_range(rand, STARTING_MIN_S, STARTING_MAX_S);
	return MIN(longest_s(caller_wait_ms), OUTAGE_MAX_S) *
	       g_rand_double_range(rand, OUTAGE_JITTER_MIN, 1);
}
