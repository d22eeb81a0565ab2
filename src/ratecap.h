/*
 * Bound on the rate of calls to a leaf that names such a limit for all VMs together. Each VM keeps
 * to its share of it, without exchanging messages, as a token bucket.
 *
 * Load answered: a leaf in need that is as fast as before, so that nothing but its own word keeps
 * the usual load away from it; searches that call it with every request, second calls and retries
 * included; dozens of VMs that get a request for it in the same second. Times are in microseconds.
 */
#ifndef APRICOT_RATECAP_H
#define APRICOT_RATECAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Zeroed: no limit. */
struct ratecap {
	bool is_limited;
	double rate_per_s; /* of this VM */
	double tokens; /* at at_us; a call takes a whole one */
	uint64_t at_us;
};

/*
 * Sets the limit of all VMs together, in calls per second, and this VM's share of it. When the leaf
 * had no limit before, the bucket begins with a random part of a token, so that VMs which learn of
 * the limit together do not call together.
 */
void ratecap_limit(struct ratecap *c, double limit_per_s, double share, GRand *rand,
		   uint64_t now_us);
void ratecap_lift(struct ratecap *c);

/* Time until a call may be sent after n_waiting others; 0: now. */
uint64_t ratecap_wait_us(const struct ratecap *c, unsigned int n_waiting, uint64_t now_us);
/* Counts a call that is sent now. */
void ratecap_take(struct ratecap *c, uint64_t now_us);

G_END_DECLS

#endif
