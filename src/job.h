/*
 * A job is one request of a caller while this VM works on it: its leaf calls, the answer merged
 * from the leaves' answers, and the calls that are still open after the answer was sent. The
 * modules scatter, leafset and repeats take all decisions; this module carries them out.
 *
 * A job frees itself once no call is open and the caller has been answered or has left.
 */
#ifndef APRICOT_JOB_H
#define APRICOT_JOB_H

#include "adapter.h"
#include "heldbytes.h"
#include "hist.h"
#include "httpserver.h"
#include "kernel.h"
#include "leafset.h"
#include "list.h"
#include "rank.h"
#include "repeats.h"
#include "routemap.h"
#include "split.h"
#include "upstream.h"
#include "vmshare.h"
#include "warmup.h"

G_BEGIN_DECLS

/* X(symbol, name): how a request ended, for logs and metrics */
#define JOB_OUTCOME_LIST(X)                                                      \
	X(COMPLETE, "complete")                                                  \
	X(PARTIAL, "partial") /* answered without some of the shards */          \
	X(PASSED, "passed") /* a leaf's error answer was passed on */            \
	X(REFUSED, "refused") /* no leaf has run the request or will run it */   \
	X(FAILED, "failed") /* may have run, but no leaf's answer can be used */ \
	X(TIMED_OUT, "timed_out")                                                \
	X(CALLER_LEFT, "left") /* the caller closed its connection */

enum job_outcome {
#define X(symbol, name) JOB_##symbol,
	JOB_OUTCOME_LIST(X)
#undef X
		JOB_OUTCOME_COUNT
};

/* Measurements of one route on this VM; they outlive a change of the configuration version. */
struct route_stats {
	struct hist *call_us; /* latency of the leaf calls that were answered */
	struct hist *answer_us; /* time from reading a request to its end */
	uint64_t outcomes[JOB_OUTCOME_COUNT]; /* requests by outcome */
	size_t answer_bytes; /* bodies of the leaves' answers: the largest lately */
	/*
	 * Longest waiting time that a request has named. A caller's retry names a shorter one than
	 * its first attempt, so this is taken as the waiting time of a first attempt.
	 */
	uint64_t longest_wait_ms;
};

/* State that all jobs share; owned by the gateway. */
struct job_env {
	struct event_base *base;
	GRand *rand;
	const struct adapter *adapter;
	struct leafset *leaves;
	struct upstream *upstream;
	struct heldbytes *held;
	struct repeats *repeats;
	struct vmshare vmshare; /* this VM's part of the leaves' limits */
	struct warmups *warmups;
	struct splits *splits;
	GHashTable *stats; /* a route's host and prefix, joined -> struct route_stats */
	struct list_head jobs;
	unsigned int n_jobs;
	uint64_t n_loads; /* loads that leaves named in answers */
	uint64_t n_loads_malformed; /* of these, loads that could not be used */
	struct ranks *ranks; /* NULL: the deployment does not ask for ranks */
	struct backlog_gate gate; /* refusals because of the leaves' backlog */
	uint64_t n_region_refused; /* refusals because all usable leaves are in other regions */
	uint64_t answer_by_us; /* a planned stop ends then; 0: none */
};

/* Takes over the request and answers it now or later. The job keeps a reference to the map. */
void job_start(struct job_env *env, struct routemap *map, struct http_request *request);
/* The caller has closed its connection: ends the request without an answer. */
void job_caller_left(struct http_request *request);
/*
 * Has all requests answered by then, since a planned stop ends. A request that usually takes longer
 * is refused from now on.
 */
void job_answer_by_set(struct job_env *env, uint64_t at_us, uint64_t now_us);
/* Cancels all calls and frees all jobs; their callers get no answer. */
void job_end_all(struct job_env *env);

/* The measurements of the route, created if there are none yet. env owns them. */
struct route_stats *route_stats_find(struct job_env *env, const struct route *route);
void route_stats_free(gpointer stats);

const char *job_outcome_name(enum job_outcome outcome);

G_END_DECLS

#endif
