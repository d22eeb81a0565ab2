/*
 * Budget of repeated calls (retries and hedges) for each service. All VMs together send at most
 * ratio x requests + slack repeats in any window. They do so without exchanging messages: each VM
 * earns repeats with its own requests. Nearly all of the slack is divided equally among the entry
 * VMs, whose addresses callers get; the others, of which there may be hundreds, divide the rest.
 *
 * Without a budget, second calls would double the load of the remaining leaves when many leaves
 * fail or slow down at once. Times are in microseconds.
 */
#ifndef APRICOT_REPEATS_H
#define APRICOT_REPEATS_H

#include "rank.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

enum repeats_purpose {
	REPEATS_HEDGE, /* the first call may still be answered */
	REPEATS_RECOVERY, /* the first call is lost: without another one there is no answer */
};

struct repeats_limits {
	double ratio; /* repeats for each request within the window */
	double slack; /* further repeats per window, for all VMs together */
	uint64_t window_us;
};

struct repeats;

/*
 * The limits are copied; the caller owns the result, destroy accepts NULL. Just after the start the
 * slack is divided by an assumed large number of VMs. The number from repeats_vms_set() is used
 * once the VM has had the time to discover the others.
 */
struct repeats *repeats_create(const struct repeats_limits *limits, uint64_t now_us);
void repeats_destroy(struct repeats *r);

/* Replaces the limits. If the length of the window changes, all counts are reset. */
void repeats_limits_set(struct repeats *r, const struct repeats_limits *limits);

/*
 * Sets how many entry VMs and other VMs may spend the budget now, and which this VM is. The slack
 * is divided by the largest numbers within the last two windows, because VMs that cannot be reached
 * go on spending. A VM that ceases to be an entry VM keeps its part for as long, since callers go
 * on using it; n_entries includes those.
 */
void repeats_vms_set(struct repeats *r, unsigned int n_entries, unsigned int n_others,
		     bool is_entry, uint64_t now_us);

/* Counts one request, which earns its part of the budget. */
void repeats_request_add(struct repeats *r, const char *service, uint64_t now_us);

/*
 * Counts one repeat and returns true if the budget allows it, else false. A share of the budget is
 * reserved for recoveries: hedges cannot spend it.
 */
bool repeats_spend(struct repeats *r, const char *service, enum repeats_purpose purpose,
		   uint64_t now_us);
/* Takes back one repeat that was counted but never sent. */
void repeats_refund(struct repeats *r, const char *service, uint64_t now_us);
/* Unspent share of the budget for this purpose, 0 to 1; 0 if less than one repeat is left. */
double repeats_unspent_share(struct repeats *r, const char *service, enum repeats_purpose purpose,
			     uint64_t now_us);

/*
 * The same for a rank below RANK_COUNT: a lower rank leaves what higher ranks have spent lately,
 * also while they do not spend it. Those above are for rank 0, for which the whole budget is there.
 */
bool repeats_rank_spend(struct repeats *r, const char *service, enum repeats_purpose purpose,
			unsigned int rank, uint64_t now_us);
void repeats_rank_refund(struct repeats *r, const char *service, unsigned int rank,
			 uint64_t now_us);
double repeats_rank_unspent_share(struct repeats *r, const char *service,
				  enum repeats_purpose purpose, unsigned int rank, uint64_t now_us);

G_END_DECLS

#endif
