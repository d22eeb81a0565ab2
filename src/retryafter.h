/*
 * When a caller whose request was refused is told to come back.
 *
 * Answers two loads. Leaves that are full have room again soon, and callers that all return at the
 * same moment would fill them at once. A service without leaves, or a VM without a configuration,
 * lasts until the store returns, at an unknown time: the few attempts that a caller has are worth
 * most when they come late.
 */
#ifndef APRICOT_RETRYAFTER_H
#define APRICOT_RETRYAFTER_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

enum retry_reason {
	RETRY_LEAVES_FULL,
	RETRY_NO_LEAF, /* discovery names none */
	RETRY_NO_CONFIG,
};

/*
 * Seconds until the next attempt. wait_ms: how long the caller waits yet; 0: not said. uptime_ms:
 * of this process.
 */
double retryafter_choose_s(enum retry_reason reason, uint64_t wait_ms, uint64_t uptime_ms,
			   GRand *rand);

G_END_DECLS

#endif
