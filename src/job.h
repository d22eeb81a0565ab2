/*
 * One request of a caller on its way through this VM: its leaf calls, the answer that is put
 * together from theirs, and the calls that remain after the answer. All decisions are taken by
 * scatter, leafset and repeats; this module carries them out.
 *
 * A job frees itself when the caller has its answer (or has left) and no call is open.
 */
#ifndef APRICOT_JOB_H
#define APRICOT_JOB_H

#include "edge.h"
#include "hist.h"
#include "httpserver.h"
#include "kernel.h"
#include "leafset.h"
#include "list.h"
#include "repeats.h"
#include "routemap.h"
#include "split.h"
#include "upstream.h"

G_BEGIN_DECLS

/* X(symbol, name): how a request ended, for logs and metrics */
#define JOB_OUTCOME_LIST(X)                                                      \
	X(COMPLETE, "complete")                                                  \
	X(PARTIAL, "partial") /* shards are missing */                           \
	X(PASSED, "passed") /* a leaf's answer that is no success, as it came */ \
	X(REFUSED, "refused") /* not run, and never will be */                   \
	X(FAILED, "failed") /* may have run; no answer of a leaf */              \
	X(TIMED_OUT, "timed_out")                                                \
	X(LEFT, "left") /* the caller closed its connection */

enum job_outcome {
#define X(symbol, name) JOB_##symbol,
	JOB_OUTCOME_LIST(X)
#undef X
		JOB_OUTCOME_COUNT
};

/* What this VM has measured of one route; kept over configuration versions. */
struct route_stats {
	struct hist *call_us; /* leaf calls that were answered */
	struct hist *answer_us; /* requests, from reading to answering */
	uint64_t outcomes[JOB_OUTCOME_COUNT];
	uint64_t
		longest_wait_ms; /* largest wait that a caller has named: that of a first attempt */
};

/* What jobs share; owned by the gateway. */
struct job_env {
	struct event_base *base;
	GRand *rand;
	const struct edge *edge;
	struct leafset *leaves;
	struct upstream *upstream;
	struct repeats *repeats;
	struct splits *splits;
	GHashTable *stats; /* host and prefix -> struct route_stats */
	struct list_head jobs;
	unsigned int n_jobs;
};

/* Takes the request; answers it now or later. The map is referenced. */
void job_start(struct job_env *env, struct routemap *map, struct http_request *request);
/* The caller of the request has left. */
void job_caller_left(struct http_request *request);
/* Ends all jobs without answers. */
void job_end_all(struct job_env *env);

struct route_stats *route_stats_find(struct job_env *env, const struct route *route);
void route_stats_free(gpointer stats);

const char *job_outcome_name(enum job_outcome outcome);

G_END_DECLS

#endif
