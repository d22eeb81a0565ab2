/*
 * Calls to the leaves of one group, as its holder makes them: queue, limits on the calls in flight,
 * choice of the replica, hedging and retries.
 *
 * The submitter owns a call's struct. It must keep the struct and what it points to until done is
 * called or the call is withdrawn.
 */
#ifndef APRICOT_LEAFGROUP_H
#define APRICOT_LEAFGROUP_H

#include "classq.h"
#include "counter.h"
#include "leafpool.h"
#include "leaving.h"
#include "manifest.h"
#include "result.h"

#include <event2/event.h>

G_BEGIN_DECLS

struct leafgroup;
struct leafgroup_call;
struct leafgroup_attempt;

/* was_sent: a leaf may have run the call. The body is valid only until the function returns. */
typedef void leafgroup_done_fn(struct leafgroup_call *call, enum result result, bool was_sent,
			       const char *body, size_t body_bytes);

struct leafgroup_call {
	struct classq_item item; /* the submitter sets priority, deadline_us and caller */
	enum leafcall_kind kind;
	const char *id; /* command id; NULL for a search */
	uint64_t index_version;
	uint64_t map_version;
	unsigned int shard;
	const char *body;
	size_t body_bytes;
	leafgroup_done_fn *done;
	/* Private to the group. */
	struct leafgroup *group;
	struct list_head inflight; /* node in the group's list */
	struct leafgroup_attempt *primary; /* NULL when not in progress */
	struct leafgroup_attempt *hedge; /* NULL when not in progress */
	uint64_t hedge_at_us; /* 0: no hedge */
	uint64_t latest_hedge_at_us; /* from then on the retry budget may pay for the hedge */
	uint64_t not_before_us; /* end of the delay after a refusal */
	uint32_t tried; /* one bit for each leaf */
	unsigned int retries;
	bool was_sent;
	bool is_waiting; /* taken from the queue; waits for a usable leaf or for not_before_us */
	enum result last_failure; /* RESULT_OK: none */
};

/* What may be dispatched to leaves now. */
enum leafgroup_permit {
	LEAFGROUP_PERMIT_NOTHING,
	LEAFGROUP_PERMIT_SEARCHES, /* commands end with RESULT_STALE, not run */
	LEAFGROUP_PERMIT_ALL,
};

/* What the group needs from its holder. Pointers are borrowed and outlive the group. */
struct leafgroup_env {
	struct event_base *base;
	struct counters *counters;
	GRand *rand;
	struct leaving *leaving; /* marks of leaving backend servers */
	uint64_t incarnation; /* of this process; part of leaf call ids */
	uint64_t *last_call_number; /* counter of leaf calls; the other part of their ids */
	/* Called when a leaf answered that its backend server drains; may be NULL. */
	void (*drain_seen)(void *arg, const char *backend, uint64_t incarnation);
	/* Called before calls are dispatched; arg is passed to both functions. */
	enum leafgroup_permit (*permit)(void *arg);
	void *arg;
};

/*
 * Copies env and takes a reference to the manifest that the group belongs to. The caller owns the
 * returned object.
 */
struct leafgroup *leafgroup_create(const struct leafgroup_env *env, struct manifest *m,
				   const struct manifest_group *g);
/* Takes the service's settings from a new manifest, whose group g must have the same digest. */
void leafgroup_manifest_set(struct leafgroup *lg, struct manifest *m,
			    const struct manifest_group *g);
/* No call may be queued or in flight. Attempts that were given up may still be in progress. */
void leafgroup_destroy(struct leafgroup *lg);

/*
 * Queues a call. If the queue refuses the call, or the call ends at once, done is called before
 * this function returns.
 */
void leafgroup_submit(struct leafgroup *lg, struct leafgroup_call *call, uint64_t now_us);
/* Ends a call without calling done and cancels its attempts. Returns whether it was sent. */
bool leafgroup_withdraw(struct leafgroup *lg, struct leafgroup_call *call, uint64_t now_us);

/* Sends hedges and retries, ends expired calls. Call it every 1 ms while the group is not idle. */
void leafgroup_tick(struct leafgroup *lg, uint64_t now_us);
/* Opens connections to the leaves before they are needed. */
void leafgroup_connections_open(struct leafgroup *lg, uint64_t now_us);
/* No call is queued or in flight, and no attempt that was given up is still in progress. */
bool leafgroup_is_idle(const struct leafgroup *lg);

/*
 * Writes the index versions that at least one leaf serves, newest first, without the leaves that
 * are leaving or down. Returns the number of versions, at most max.
 */
unsigned int leafgroup_versions(const struct leafgroup *lg, uint64_t *versions, unsigned int max);
/* Both strings are valid until the manifest is replaced or the group destroyed. */
const char *leafgroup_id(const struct leafgroup *lg);
const char *leafgroup_digest(const struct leafgroup *lg);
/*
 * Returns a new reference to an object with the length of the queue and, for each leaf, its
 * connections, calls, limit and whether it is leaving or down.
 */
json_t *leafgroup_status(const struct leafgroup *lg, uint64_t now_us);

G_END_DECLS

#endif
