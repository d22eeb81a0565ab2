/*
 * HTTP connections to one leaf (evhttp). A connection carries one call at a time and is opened
 * ahead with a GET /load, so that work is only sent on a connection that is known to be open:
 * a refused connection is then proof that nothing was sent.
 *
 * The pool owns its connections and calls. It must not be destroyed from inside its functions'
 * callbacks.
 */
#ifndef APRICOT_LEAFPOOL_H
#define APRICOT_LEAFPOOL_H

#include "counter.h"
#include "manifest.h"

#include <event2/event.h>
#include <glib.h>

G_BEGIN_DECLS

#define LEAFPOOL_ID_CHARS 32
#define LEAFPOOL_VERSIONS_MAX 16

struct leafpool;
struct leafcall;

/* What any answer of a leaf tells about it. */
struct leafpool_sight {
	uint64_t incarnation; /* of the backend server; 0 when the answer does not name it */
	bool is_draining;
	uint64_t versions[LEAFPOOL_VERSIONS_MAX]; /* index versions it can serve */
	unsigned int n_versions;
};

/* First member of the owner's struct; called from the event loop, never from inside a call. */
struct leafpool_owner {
	const struct leafpool_owner_ops *ops;
};

struct leafpool_owner_ops {
	/* A connection became idle: a call can be made. */
	void (*ready)(struct leafpool_owner *owner);
	void (*observe)(struct leafpool_owner *owner, const struct leafpool_sight *sight);
	/* A connection could not be opened; the next attempt follows after a back-off. */
	void (*refused)(struct leafpool_owner *owner);
};

enum leafcall_kind { LEAFCALL_SEARCH, LEAFCALL_COMMAND };

struct leafcall_params {
	enum leafcall_kind kind;
	const char *id; /* leaf call id or command id */
	uint64_t index_version;
	uint64_t map_version;
	unsigned int shard;
	uint64_t deadline_us; /* remaining */
	const char *body;
	size_t body_bytes;
};

enum leafcall_status {
	LEAFCALL_ANSWERED,
	LEAFCALL_REFUSED, /* proved: not run */
	LEAFCALL_GONE, /* index version not served, not run */
	LEAFCALL_WRONG_SHARD, /* shard not served in this map, not run */
	LEAFCALL_EXPIRED, /* cancelled or past its deadline in the leaf; may have run */
	LEAFCALL_MISMATCH, /* the answer confirms another call */
	LEAFCALL_FAILED, /* error or lost connection; may have run */
};

struct leafcall_answer {
	enum leafcall_status status;
	const char *body; /* NUL-terminated, valid during the callback */
	size_t body_bytes;
};

typedef void leafcall_done_fn(void *arg, const struct leafcall_answer *answer);

/* The leaf's description is copied. */
struct leafpool *leafpool_create(struct event_base *base, struct counters *counters, GRand *rand,
				 const struct manifest_leaf *leaf, struct leafpool_owner *owner);
/* Ends calls in flight as failed; their done functions must not call the pool. */
void leafpool_destroy(struct leafpool *p);

/* Opens connections up to what the leaf's slots need, within the reserve and the back-off. */
void leafpool_warm(struct leafpool *p, uint64_t now_us);
bool leafpool_has_idle(const struct leafpool *p);
/* No connection is open and the last attempts were refused. */
bool leafpool_is_down(const struct leafpool *p);
unsigned int leafpool_connections(const struct leafpool *p);

/* NULL without an idle connection. done is called once, when the connection is free or lost. */
struct leafcall *leafpool_call(struct leafpool *p, const struct leafcall_params *params,
			       leafcall_done_fn *done, void *arg);
/*
 * Gives up on a call: the leaf is asked to cancel a search. done is still called, when the answer
 * was read or its connection is lost, at the latest after 2 s: until then the leaf may be working
 * on it, and its slot and connection stay in use.
 */
void leafcall_cancel(struct leafcall *call);

G_END_DECLS

#endif
