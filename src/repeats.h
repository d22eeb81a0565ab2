/*
 * Budget of repeated calls for each service, such that all VMs together stay within
 * ratio x requests + slack in any window, without talking to each other: each VM spends from its
 * own requests and from an equal part of the slack.
 *
 * Answers the load in which many leaves fail or slow down at once and second calls would double
 * the load that is left. Times are microseconds.
 */
#ifndef APRICOT_REPEATS_H
#define APRICOT_REPEATS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct repeats_limits {
	double ratio; /* repeats per request of the window */
	double slack; /* repeats beyond that, all VMs together */
	uint64_t window_us;
};

struct repeats;

/*
 * After a start many VMs are assumed to share the slack: the number reported is used once the VM
 * has had the time to find the others.
 */
struct repeats *repeats_create(const struct repeats_limits *limits, uint64_t now_us);
void repeats_destroy(struct repeats *r);

/* Other limits from now on; a changed window starts the counts anew. */
void repeats_set_limits(struct repeats *r, const struct repeats_limits *limits);

/*
 * VMs that may be spending now. The slack is divided by the largest number within the last two
 * windows, since VMs that cannot be reached go on spending.
 */
void repeats_set_vms(struct repeats *r, unsigned int n, uint64_t now_us);

void repeats_request(struct repeats *r, const char *service, uint64_t now_us);
enum repeats_purpose {
	REPEATS_HEDGE, /* the first call may still be answered */
	REPEATS_RECOVERY, /* the first call is lost: without another one there is no answer */
};

/* Counts one repeat and returns true when the budget allows it. Hedges leave a part of the budget
 * to recoveries. */
bool repeats_spend(struct repeats *r, const char *service, enum repeats_purpose purpose,
		   uint64_t now_us);
/* A repeat that was counted has never been sent. */
void repeats_refund(struct repeats *r, const char *service, uint64_t now_us);
/* Part of the budget that is unspent, 0 to 1. */
double repeats_left(struct repeats *r, const char *service, enum repeats_purpose purpose,
		    uint64_t now_us);

G_END_DECLS

#endif
