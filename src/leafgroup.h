/*
 * The leaves of one group as its holder sees them: queue, admission, replica choice, hedging and
 * retries of the calls to them.
 *
 * A call's struct belongs to the submitter, who keeps it, and what it points to, until done was
 * called or the call was withdrawn.
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

/* was_sent: some attempt may have run. The body is valid during the call only. */
typedef void leafgroup_done_fn(struct leafgroup_call *call, enum result result, bool was_sent,
			       const char *body, size_t body_bytes);

struct leafgroup_call {
	struct classq_item item; /* priority, absolute deadline and caller are the submitter's */
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
	struct list_head inflight;
	struct leafgroup_attempt *primary;
	struct leafgroup_attempt *hedge;
	uint64_t hedge_at_us; /* 0: no more */
	uint64_t rescue_at_us;
	uint64_t not_before_us;
	uint32_t tried; /* bit for each leaf */
	unsigned int retries;
	bool was_sent;
	bool is_waiting; /* popped, waits for a leaf that it may use */
	enum result last_failure;
};

/* What may be dispatched to leaves now. */
enum leafgroup_permit {
	LEAFGROUP_PERMIT_NOTHING,
	LEAFGROUP_PERMIT_SEARCHES, /* commands end as not run */
	LEAFGROUP_PERMIT_ALL,
};

struct leafgroup_env {
	struct event_base *base;
	struct counters *counters;
	GRand *rand;
	struct leaving *leaving; /* marks of leaving backend servers */
	uint64_t incarnation; /* of this process; part of leaf call ids */
	uint64_t *next_call;
	/* Called when a leaf answered that its backend server drains; may be NULL. */
	void (*drain_seen)(void *arg, const char *backend, uint64_t incarnation);
	enum leafgroup_permit (*permit)(void *arg);
	void *arg;
};

/* Copies env; takes a reference to the manifest that the group belongs to. */
struct leafgroup *leafgroup_create(const struct leafgroup_env *env, struct manifest *m,
				   const struct manifest_group *g);
/* A manifest with the same description of the group: takes over the service's settings. */
void leafgroup_manifest_set(struct leafgroup *lg, struct manifest *m,
			    const struct manifest_group *g);
/* No call may be queued or in flight; attempts that were given up may still be. */
void leafgroup_destroy(struct leafgroup *lg);

void leafgroup_submit(struct leafgroup *lg, struct leafgroup_call *call, uint64_t now_us);
/* Ends a call without calling done; attempts at leaves are cancelled. Returns whether it was sent.
 */
bool leafgroup_withdraw(struct leafgroup *lg, struct leafgroup_call *call, uint64_t now_us);

/* Hedges, retries and expires; call it every millisecond while the group is not idle. */
void leafgroup_tick(struct leafgroup *lg, uint64_t now_us);
/* Opens connections ahead of use. */
void leafgroup_warm(struct leafgroup *lg, uint64_t now_us);
/* Nothing queued or in flight, connections being drained included. */
bool leafgroup_is_idle(const struct leafgroup *lg);

/* Index versions that some usable leaf can serve, newest first; returns how many, at most max. */
unsigned int leafgroup_versions(const struct leafgroup *lg, uint64_t *versions, unsigned int max);
const char *leafgroup_id(const struct leafgroup *lg);
const char *leafgroup_digest(const struct leafgroup *lg);
/* New reference; queue, and for each leaf its connections, calls, limit and whether it leaves. */
json_t *leafgroup_status(const struct leafgroup *lg, uint64_t now_us);

G_END_DECLS

#endif
