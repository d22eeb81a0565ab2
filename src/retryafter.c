#include "retryafter.h"

/* A leaf with two slots empties a queue of 12 calls of 20 ms within 0.12 s. */
#define LEAVES_FULL_MIN_S 0.05
#define LEAVES_FULL_MAX_S 0.3
/* Within about this time after its start, a VM has its configuration from a peer or the store. */
#define STARTING_MS 1000
#define STARTING_MIN_S 0.1
#define STARTING_MAX_S 0.3
/* About two seconds after the store returns, leaves whose entries had expired are known again. */
#define OUTAGE_MAX_S 2.0
/* The delay is at most a third of the time that the caller will still wait. */
#define WAIT_DIVISOR 3
/* Lower bound of the random factor that keeps callers refused together from returning together. */
#define OUTAGE_JITTER_MIN 0.8
/* Assumed for a caller that does not say how long it will wait. */
#define UNKNOWN_WAIT_MS 1500

double retryafter_choose_s(enum retryafter_reason reason, uint64_t caller_wait_ms,
			   uint64_t uptime_ms, GRand *rand)
{
	double longest_s =
		(double)(caller_wait_ms ? caller_wait_ms : UNKNOWN_WAIT_MS) / 1000 / WAIT_DIVISOR;

	if (reason == RETRYAFTER_LEAVES_FULL)
		return g_rand_double_range(rand, LEAVES_FULL_MIN_S, LEAVES_FULL_MAX_S);
	if (reason == RETRYAFTER_NO_CONFIG && uptime_ms < STARTING_MS)
		return g_rand_double_range(rand, STARTING_MIN_S, STARTING_MAX_S);
	return MIN(longest_s, OUTAGE_MAX_S) * g_rand_double_range(rand, OUTAGE_JITTER_MIN, 1);
}
