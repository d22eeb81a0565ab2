/*
 * The Retry-After of a refused request: when its caller should try again.
 *
 * Full leaves have room again soon, but callers that all return at the same moment would fill them
 * at once. A VM that has just started gets its configuration soon. While no other VM can serve
 * either, since all have started together, its callers return after about as long again as it has
 * been starting, spread over that time: nobody knows how long the start takes this time. If it is
 * still missing later, or if no leaf of a service is known, the store is taken to be unreachable
 * for an unknown time, and a caller that has few attempts left should make them late. Callers
 * refused because of a leaf's limit or pause return once it allows a call, spread over as long
 * again, since other requests take their turn as well.
 */
#ifndef APRICOT_RETRYAFTER_H
#define APRICOT_RETRYAFTER_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

enum retryafter_reason {
	RETRYAFTER_LEAVES_FULL,
	RETRYAFTER_NO_LEAF, /* no leaf of the requested service is known */
	RETRYAFTER_NO_CONFIG, /* this VM has no configuration yet; another one can serve */
	RETRYAFTER_ALL_STARTING, /* no VM is known to have a configuration */
	RETRYAFTER_RENEWAL, /* this VM asks the others for what it needs to answer */
	RETRYAFTER_MEMORY, /* this VM holds too many bytes for slow callers and leaves */
	RETRYAFTER_STOPPING, /* this VM stops; another one can serve the request at once */
};

/*
 * Seconds until the caller should try again. caller_wait_ms: how long the caller will still wait
 * for a result, 0 if unknown. uptime_ms: the time since this process started, used for
 * RETRYAFTER_NO_CONFIG and RETRYAFTER_ALL_STARTING only.
 */
double retryafter_choose_s(enum retryafter_reason reason, uint64_t caller_wait_ms,
			   uint64_t uptime_ms, GRand *rand);

/*
 * The same for a request that no leaf takes yet because of its limit or a pause: the first of them
 * takes a call in leaf_wait_us.
 */
double retryafter_choose_limited_s(uint64_t leaf_wait_us, uint64_t caller_wait_ms, GRand *rand);

/*
 * The same for a request refused by its rank, see rank.h: the lower the rank, the later its callers
 * come back, and the wider they are spread.
 */
double retryafter_choose_rank_s(unsigned int rank, uint64_t caller_wait_ms, GRand *rand);

G_END_DECLS

#endif
