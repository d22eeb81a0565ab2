/*
 * Decides which requests are admitted while callers compete for too little capacity of the leaves.
 *
 * Answers a burst of requests of a low rank on leaves that also serve a higher one: searches of
 * 20 ms of work and 250 ms of target fill the leaves' queues, which run calls in the order of
 * arrival, so that lookups of 7 ms of work and 80 ms of target come too late. A request of a lower
 * rank is admitted only if it is expected in time itself and if, after its calls, calls of each
 * higher rank that was requested lately would still be in time.
 *
 * The expectation is corrected by what this VM observes while the higher rank is short of room: the
 * time within which its calls must be expected is shortened after its requests were refused or
 * late, and a lower rank is refused as long as it is served in time more often. A group is a set of
 * services that requests use together, such as the shards of a search.
 *
 * Rank 0 is served first. Rates and counts fade over about two seconds. Times are in microseconds;
 * callers pass the current time.
 */
#ifndef APRICOT_RANK_H
#define APRICOT_RANK_H

#include "backlog.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Ranks that are told apart; routes with a larger number share the last one. */
#define RANK_COUNT 8

/* X(symbol, name): why a request is admitted or refused */
#define RANK_VERDICT_LIST(X)                                                           \
	X(ADMITTED, "admitted")                                                        \
	X(FLOOR, "floor") /* admitted, since its rank has got too little */            \
	X(BACKLOG, "backlog") /* refused: would be late itself */                      \
	X(RESERVED, "reserved") /* refused: calls of a higher rank would be late */    \
	X(BEHIND, "behind") /* refused: a higher rank was served in time less often */ \
	X(OVER_SHARE, "share") /* refused: its route has had more than an equal part */

enum rank_verdict {
#define X(symbol, name) RANK_##symbol,
	RANK_VERDICT_LIST(X)
#undef X
		RANK_VERDICT_COUNT
};

/* This VM's calls to the leaf that a request's call of one shard would go to. */
struct rank_shard {
	bool has_leaf;
	struct backlog backlog; /* its n_waiting is not used */
	unsigned int n_waiting[RANK_COUNT]; /* calls that wait here, by rank */
};

struct rank_request {
	unsigned int rank; /* see rank_of() */
	uint64_t useful_us; /* time within which its answer is useful */
	uint64_t target_us; /* the same for any request of its route */
	double min_share; /* least part of the shards that the answer must cover */
	bool is_single; /* not refused for being late itself, as without ranks */
	bool is_repeat; /* its caller has asked before and was refused */
	const struct rank_shard *shards;
	unsigned int n_shards;
};

struct rank_answer {
	enum rank_verdict verdict;
	unsigned int holder; /* rank that uses the capacity or has it reserved; if refused */
	unsigned int shard; /* the first one whose leaf is short of room; if refused */
};

/* Requests of one route in one group; never freed before the set. */
struct rank_route {
	unsigned int rank;
	uint64_t n_admitted;
	uint64_t n_refused;
	uint64_t n_late; /* admitted and not answered in time */
};

struct ranks;
struct rank_group;

/* The caller owns the set, which owns the groups and routes. Destroy accepts NULL. */
struct ranks *ranks_create(void);
void ranks_destroy(struct ranks *r);

static inline unsigned int rank_of(unsigned int priority)
{
	return MIN(priority, RANK_COUNT - 1);
}

/*
 * The group of the services, created if there is none. services: names of all services that a
 * request uses; n is at least 1.
 */
struct rank_group *ranks_group_find(struct ranks *r, char *const *services, unsigned int n);
/* The route's counts in the group, created if there are none. key: its host and prefix. */
struct rank_route *rank_route_find(struct rank_group *g, const char *key, unsigned int rank);

/* Decides whether the request is admitted, and counts it. */
struct rank_answer rank_admit(struct rank_group *g, struct rank_route *route,
			      const struct rank_request *request, uint64_t now_us);
struct rank_end {
	bool is_in_time; /* counted from its caller's first attempt */
	bool is_repeat; /* as in its rank_request */
	/* From reading it until enough of its shards had answered, or until its end. */
	uint64_t took_us;
	uint64_t useful_us; /* as in its rank_request */
};

/* An admitted request has ended. */
void rank_ended(struct rank_group *g, struct rank_route *route, const struct rank_end *end,
		uint64_t now_us);

/* False while a second call to this leaf would take the place of another request's call. */
bool rank_allows_hedge(const struct rank_group *g, unsigned int rank, const struct backlog *b,
		       uint64_t now_us);
/* True while requests of this rank or a higher one are refused. */
bool rank_is_overloaded(const struct rank_group *g, unsigned int rank, uint64_t now_us);

/* A call that waits at this VM. */
struct rank_wait {
	unsigned int rank;
	uint64_t waited_us;
	uint64_t useful_us; /* 0: no limit */
	unsigned int n_lacking; /* shards that its request still lacks */
};

/*
 * Negative if a is to be sent before b, positive if after, 0 if neither matters. The rank of a call
 * rises by one each time it has waited for its useful time, so that no call waits for ever.
 */
int rank_wait_compare(const struct rank_wait *a, const struct rank_wait *b);

/* What operators see of one rank of a group. */
struct rank_state {
	const char *service; /* a service of the group */
	unsigned int rank;
	double asked_per_s;
	double in_time_share; /* of what was asked lately; 1 when nothing was */
	/* Part of its useful time within which its calls must be expected; 0: none is kept. */
	double reserved_share;
	uint64_t verdicts[RANK_VERDICT_COUNT];
	uint64_t n_late;
	enum rank_verdict refusal; /* the last one, if there was any */
	unsigned int holder; /* of that */
	bool is_short; /* requests of the rank are refused */
	uint64_t short_since_us;
};

/*
 * Calls changed for each rank whose requests have begun to be refused, or have not been for 2 s.
 * To be called several times a second.
 */
void ranks_advance(struct ranks *r, void (*changed)(const struct rank_state *state, void *arg),
		   void *arg, uint64_t now_us);

/* Calls visit for each rank that was ever asked for. */
void ranks_each(const struct ranks *r, void (*visit)(const struct rank_state *state, void *arg),
		void *arg, uint64_t now_us);
/* Calls visit for each route, with its key. */
void ranks_routes_each(const struct ranks *r,
		       void (*visit)(const char *key, const struct rank_route *route, void *arg),
		       void *arg);

const char *rank_verdict_name(enum rank_verdict verdict);

G_END_DECLS

#endif
