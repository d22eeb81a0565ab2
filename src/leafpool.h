/*
 * Pool of HTTP connections (evhttp) to one leaf. A connection carries one call at a time. It is
 * opened in advance with a GET /load, so that calls are sent only on connections that are known to
 * be open: a refused connection then proves that no call was sent on it.
 *
 * The pool owns its connections and calls. It must not be destroyed from inside a callback.
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

/* State of a leaf, as read from the headers of any of its answers. */
struct leafpool_leaf_state {
	uint64_t incarnation; /* of the backend server; 0 when the answer does not name it */
	bool is_draining;
	uint64_t versions[LEAFPOOL_VERSIONS_MAX]; /* index versions that it can serve */
	unsigned int n_versions;
};

/*
 * First member of the owner's struct. Its functions are called from the event loop, never from
 * inside a function of the pool.
 */
struct leafpool_owner {
	const struct leafpool_owner_ops *ops;
};

struct leafpool_owner_ops {
	/* A connection is idle: a call can be made. */
	void (*ready)(struct leafpool_owner *owner);
	/* An answer was read. */
	void (*observe)(struct leafpool_owner *owner, const struct leafpool_leaf_state *state);
	/* A connection could not be opened; the next attempt follows after the backoff. */
	void (*connect_failed)(struct leafpool_owner *owner);
};

enum leafcall_kind { LEAFCALL_SEARCH, LEAFCALL_COMMAND };

struct leafcall_params {
	enum leafcall_kind kind;
	const char *id; /* leaf call id or command id */
	uint64_t index_version;
	uint64_t map_version;
	unsigned int shard;
	uint64_t deadline_us; /* time left for the call */
	const char *body;
	size_t body_bytes;
};

enum leafcall_status {
	LEAFCALL_ANSWERED,
	LEAFCALL_REFUSED, /* proved not to have run */
	LEAFCALL_VERSION_GONE, /* not run: the leaf does not serve the index version */
	LEAFCALL_WRONG_SHARD, /* not run: the leaf does not serve the shard in this map */
	LEAFCALL_EXPIRED, /* the leaf cancelled it or its deadline passed there; may have run */
	LEAFCALL_MISMATCH, /* the answer does not belong to this call; may have run */
	LEAFCALL_FAILED, /* the leaf reported an error or the connection was lost; may have run */
};

struct leafcall_answer {
	enum leafcall_status status;
	const char *body; /* NUL-terminated, valid during the callback */
	size_t body_bytes;
};

typedef void leafcall_done_fn(void *arg, const struct leafcall_answer *answer);

/* Copies what it needs of leaf; the other pointers are borrowed. The caller owns the pool. */
struct leafpool *leafpool_create(struct event_base *base, struct counters *counters, GRand *rand,
				 const struct manifest_leaf *leaf, struct leafpool_owner *owner);
/* Ends calls in flight as failed; their done functions must not use the pool. Accepts NULL. */
void leafpool_destroy(struct leafpool *p);

/*
 * Opens connections until the leaf's slots and the spare ones are covered, within this VM's share
 * of the leaf's connections and as far as the backoff allows.
 */
void leafpool_connections_open(struct leafpool *p, uint64_t now_us);
bool leafpool_has_idle(const struct leafpool *p);
/* No connection is open and at least the last two attempts to open one failed. */
bool leafpool_is_down(const struct leafpool *p);
/* Number of connections, including those being opened. */
unsigned int leafpool_connection_count(const struct leafpool *p);

/*
 * Sends a call; params and its body are copied. Returns NULL, and never calls done, if no
 * connection is idle. Otherwise done is called once, when the answer was read or the connection was
 * lost, and the returned call is freed after that.
 */
struct leafcall *leafpool_call(struct leafpool *p, const struct leafcall_params *params,
			       leafcall_done_fn *done, void *arg);
/*
 * Gives up a call. If it is a search and another connection is idle, the leaf is asked to cancel
 * it. done is still called when the answer was read or the connection was lost, at the latest after
 * 2 s. Until then the leaf may be working on the call, and its slot and connection stay in use.
 */
void leafcall_cancel(struct leafcall *call);

G_END_DECLS

#endif
