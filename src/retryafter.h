/*
 * The Retry-After of a refused request: when its caller should try again.
 *
 * There are two cases. Full leaves have room again soon, but callers that all return at the same
 * moment would fill them at once. A service without leaves or a VM without a configuration stays so
 * until the store returns, at an unknown time; the few attempts that a caller has are then worth
 * most when they come late.
 */
#ifndef APRICOT_RETRYAFTER_H
#define APRICOT_RETRYAFTER_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

enum retryafter_reason {
	RETRYAFTER_LEAVES_FULL,
	RETRYAFTER_NO_LEAF, /* discovery knows no leaf of the service */
	RETRYAFTER_NO_CONFIG,
};

/*
 * Seconds until the caller should try again. caller_wait_ms: how long the caller will still wait
 * for a result, 0 if unknown. uptime_ms: the time since this process started.
 */
double retryafter_choose_s(enum retryafter_reason reason, uint64_t caller_wait_ms,
			   uint64_t uptime_ms, GRand *rand);

G_END_DECLS

#endif
