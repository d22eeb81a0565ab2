#include "retryafter.h"

/* A leaf's queue of 12 calls of 20 ms on two slots is worked off within 0.12 s. */
#define FULL_MIN_S 0.05
#define FULL_MAX_S 0.3
/* A VM that starts has its configuration from a peer or the store within about so long. */
#define STARTING_MS 1000
#define STARTING_MIN_S 0.1
#define STARTING_MAX_S 0.3
/* Leaves whose entries lapsed are known again about two seconds after the store's return. */
#define OUTAGE_MAX_S 2.0
/* Callers wait a third of the time that they have at most. */
#define WAIT_DIVISOR 3
/* Spreads the return of callers that were refused together. */
#define OUTAGE_SPREAD 0.8
/* For a caller that does not say how long it waits. */
#define UNKNOWN_WAIT_MS 1500

double retryafter_choose_s(enum retry_reason reason, uint64_t wait_ms, uint64_t uptime_ms,
			   GRand *rand)
{
	double longest_s = (double)(wait_ms ? wait_ms : UNKNOWN_WAIT_MS) / 1000 / WAIT_DIVISOR;

	if (reason == RETRY_LEAVES_FULL)
		return g_rand_double_range(rand, FULL_MIN_S, FULL_MAX_S);
	if (reason == RETRY_NO_CONFIG && uptime_ms < STARTING_MS)
		return g_rand_double_range(rand, STARTING_MIN_S, STARTING_MAX_S);
	return MIN(longest_s, OUTAGE_MAX_S) * g_rand_double_range(rand, OUTAGE_SPREAD, 1);
}
