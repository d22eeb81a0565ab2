/*
 * Decides, while the leaf calls of one request are running, when a shard gets a second call (a
 * hedge) and when the request is answered, with all shards or only some of them.
 *
 * Every leaf pauses now and then, so a request to many shards nearly always meets a leaf that is
 * paused. A request to a single service is treated as a request to one shard. Times are in
 * microseconds; callers pass the current time.
 */
#ifndef APRICOT_SCATTER_H
#define APRICOT_SCATTER_H

#include "hist.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct scatter_policy {
	unsigned int n_shards;
	double min_share; /* least share of the shards that an answer must contain */
	unsigned int max_attempts; /* limit on the calls of one shard, without those not run */
	bool is_idempotent; /* a call that may have run may be repeated */
	uint64_t goal_at_us; /* target time for sending the answer; 0: no goal */
	uint64_t deadline_us;
	uint64_t hedge_after_us; /* delay before a second call; 0: no second calls */
	uint64_t hedge_last_at_us; /* a later second call is rarely in time; 0: no goal */
};

enum scatter_verdict {
	SCATTER_WAIT, /* for further answers */
	SCATTER_ANSWER, /* with the shards answered so far */
	SCATTER_FAILED, /* min_share cannot be reached any more */
	SCATTER_TIMED_OUT, /* the deadline has passed with less than min_share */
};

/* Whether a call that got no answer has run. */
enum scatter_loss {
	SCATTER_LOSS_NOT_RUN, /* the leaf has not run it and never will */
	SCATTER_LOSS_MAY_HAVE_RUN,
};

struct scatter;

/* The policy is copied. The caller owns the result; destroy accepts NULL. */
struct scatter *scatter_create(const struct scatter_policy *policy);
void scatter_destroy(struct scatter *s);

/* Brings the deadline forward to at_us, unless it is earlier. */
void scatter_deadline_cap(struct scatter *s, uint64_t at_us);

/* A call of the shard was sent or is queued to be sent. */
void scatter_call_started(struct scatter *s, unsigned int shard, uint64_t now_us);
/* A call of the shard ended without a usable answer. */
void scatter_call_lost(struct scatter *s, unsigned int shard, enum scatter_loss loss);
/* A queued call of the shard was cancelled before it was sent, so it is no attempt. */
void scatter_call_withdrawn(struct scatter *s, unsigned int shard);
/* A call of the shard was answered; false if the shard had been answered before. */
bool scatter_call_answered(struct scatter *s, unsigned int shard);
/* The shard gets no further call: no leaf, no attempt or no budget is left. */
void scatter_calls_exhausted(struct scatter *s, unsigned int shard);

/* True if the number of attempts and the kind of request allow one more call of the shard. */
bool scatter_may_call(const struct scatter *s, unsigned int shard);
/* True while at least one call of the shard is open. */
bool scatter_has_open_call(const struct scatter *s, unsigned int shard);
/* True once a call of the shard was answered. */
bool scatter_is_answered(const struct scatter *s, unsigned int shard);

/*
 * Finds the next shard, starting at *shard, whose call is overdue and which may get a second call.
 * Sets *shard and returns true, or returns false if there is none. After the start of a call its
 * shard is returned at most once, and again only after scatter_hedge_hold() has returned true or
 * after scatter_hedge_defer().
 */
bool scatter_hedge_next(struct scatter *s, unsigned int *shard, uint64_t now_us);

/*
 * Holds back the second call of a shard that scatter_hedge_next() returned, if the budget is low;
 * returns true if so. The first call may still be in time, and other shards may need the budget
 * more. budget_left is 0 (spent) to 1 (unspent): the less is left, the closer to hedge_last_at_us
 * the second call is due. scatter_hedge_next() returns the shard again when it is due.
 *
 * If leaves of many shards are slow at once, calls that are only a little late would otherwise use
 * up the budget before the calls that will not be answered at all.
 */
bool scatter_hedge_hold(struct scatter *s, unsigned int shard, double budget_left, uint64_t now_us);

/*
 * Leaves an overdue shard waiting; scatter_hedge_next() returns it again after half of
 * hedge_after_us, but not before 1 ms has passed.
 */
void scatter_hedge_defer(struct scatter *s, unsigned int shard, uint64_t now_us);

/*
 * What to do with the request now. For SCATTER_WAIT, *wake_us is set to the time at which to ask
 * again if no call ends earlier.
 */
enum scatter_verdict scatter_verdict(const struct scatter *s, uint64_t now_us, uint64_t *wake_us);

/* Number of answered shards. */
unsigned int scatter_answered_count(const struct scatter *s);

/* The time limits of a request and its route. */
struct scatter_times {
	uint64_t read_us; /* when the request was read */
	unsigned int goal_ms; /* of the route, from the caller's first attempt on; 0: no goal */
	unsigned int timeout_ms; /* time limit of the route */
	uint64_t wait_ms; /* how long the caller still waits; 0: unknown */
	uint64_t longest_wait_ms; /* largest wait_ms that callers of the route have sent */
};

/*
 * Sets the deadline and the goal of the policy. A caller's second attempt sends a shorter wait than
 * its first. So the time that earlier attempts have used is taken to be longest_ms - wait_ms, each
 * capped at timeout_ms (0 if wait_ms is unknown), and is subtracted from the goal.
 */
void scatter_times_set(struct scatter_policy *policy, const struct scatter_times *times);

/* Time from an attempt's arrival within which its answer meets the goal, were it the first one. */
uint64_t scatter_useful_us(unsigned int goal_ms);

/*
 * Delay before a second call, from the latencies of the route's calls. latencies may be NULL.
 * goal_us is the time from the request to its goal; 0: no goal.
 */
uint64_t scatter_hedge_delay_us(const struct hist *latencies, uint64_t goal_us);
/*
 * Latest time for sending a call that is usually answered by goal_at_us; 0 if there is none.
 * latencies may be NULL.
 */
uint64_t scatter_hedge_last_at_us(const struct hist *latencies, uint64_t goal_at_us);

G_END_DECLS

#endif
