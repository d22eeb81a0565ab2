/*
 * Decisions over one request while its leaf calls run: when a shard gets a second call, and when
 * the request is answered, with all shards or with some.
 *
 * Answers the load in which every leaf pauses now and then, so that a request to many shards
 * nearly always meets a pausing one. A request to a single service is a request to one shard. Times
 * are microseconds; the module has no clock.
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
	double min_share; /* least share of the shards in an answer */
	unsigned int max_attempts; /* calls of one shard that may have run */
	bool is_idempotent; /* a call that may have run can be repeated */
	uint64_t goal_at_us; /* an answer sent by then is in time; 0: no goal */
	uint64_t deadline_us;
	uint64_t hedge_after_us; /* second call when the first is unanswered for so long; 0: none */
	uint64_t hedge_last_at_us; /* a second call sent later is rarely in time; 0: no goal */
};

enum scatter_verdict {
	SCATTER_WAIT,
	SCATTER_ANSWER, /* with the shards that are in */
	SCATTER_FAILED, /* the least share cannot be reached any more */
	SCATTER_TIMED_OUT,
};

/* What is known of a call that was lost. */
enum scatter_loss {
	SCATTER_LOSS_NOT_RUN, /* the leaf has not run it and never will */
	SCATTER_LOSS_MAY_HAVE_RUN,
};

struct scatter;

struct scatter *scatter_create(const struct scatter_policy *policy);
void scatter_destroy(struct scatter *s);

/* A call of the shard is on its way. */
void scatter_call_started(struct scatter *s, unsigned int shard, uint64_t now_us);
void scatter_call_lost(struct scatter *s, unsigned int shard, enum scatter_loss loss);
/* A call of the shard was taken back before it was sent. */
void scatter_call_withdrawn(struct scatter *s, unsigned int shard);
/* The shard's answer is in; false when it had been in already. */
bool scatter_call_answered(struct scatter *s, unsigned int shard);
/* No further call of the shard is possible: no leaf, no attempt or no budget is left. */
void scatter_calls_exhausted(struct scatter *s, unsigned int shard);

/* True when the shard may get one more call, by attempts and kind of request. */
bool scatter_may_call(const struct scatter *s, unsigned int shard);
/* True while at least one call of the shard is on its way. */
bool scatter_is_waiting(const struct scatter *s, unsigned int shard);
bool scatter_is_in(const struct scatter *s, unsigned int shard);

/*
 * Next shard from *shard on whose call is overdue and which may get a second one. Each shard is
 * returned once for each call that it got.
 */
bool scatter_hedge_next(struct scatter *s, unsigned int *shard, uint64_t now_us);

/*
 * Whether the second call of a shard that scatter_hedge_next returned waits, since its first call
 * may still be in time and others need the budget more. budget_left: 0 (spent) to 1 (unspent); the
 * less is left, the closer to hedge_last_at_us the call goes out. The shard is returned again then.
 *
 * Answers the load in which leaves of many shards are slow at once: calls that are a little late
 * would use up the budget before those that will not be answered at all.
 */
bool scatter_hedge_holds(struct scatter *s, unsigned int shard, double budget_left,
			 uint64_t now_us);

/* Nothing better than waiting is known for an overdue shard: it is returned again after a while. */
void scatter_hedge_defer(struct scatter *s, unsigned int shard, uint64_t now_us);

/* *wake_us: when the verdict is to be asked for again without news. */
enum scatter_verdict scatter_verdict(const struct scatter *s, uint64_t now_us, uint64_t *wake_us);

unsigned int scatter_in_count(const struct scatter *s);

/* What a request says of its time; milliseconds but for read_us. */
struct scatter_wait {
	uint64_t read_us; /* when it was read */
	unsigned int goal_ms; /* of the route, from the caller's first attempt on; 0: none */
	unsigned int timeout_ms; /* of the route */
	uint64_t wait_ms; /* the caller waits so long yet; 0: not said */
	uint64_t longest_ms; /* largest wait that callers of the route have named */
};

/*
 * Sets deadline and goal of the policy. A caller's second attempt names less time than its first:
 * what it has used up, within the route's time limit, is taken from the goal.
 */
void scatter_times_set(struct scatter_policy *policy, const struct scatter_wait *wait);

/* Delay until a second call from the measured latencies of the route's calls; goal_us: 0: none. */
uint64_t scatter_hedge_delay_us(const struct hist *latencies, uint64_t goal_us);
/* Last moment at which a usual call is answered by goal_at_us; 0: there is no goal. */
uint64_t scatter_hedge_last_at_us(const struct hist *latencies, uint64_t goal_at_us);

G_END_DECLS

#endif
