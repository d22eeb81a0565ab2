/*
 * Pools of connections to the leaves, and the calls on them. A connection carries one call at a
 * time and is kept open afterwards. Each VM bounds its connections to a leaf so that all VMs
 * together stay below the leaf's cap.
 *
 * A call is embedded in a struct of its owner, which keeps it valid from upstream_call until
 * ops->done or upstream_cancel. Times are microseconds.
 */
#ifndef APRICOT_UPSTREAM_H
#define APRICOT_UPSTREAM_H

#include "httpconn.h"
#include "leafset.h"
#include "list.h"
#include "rank.h"

#include <event2/event.h>

G_BEGIN_DECLS

struct upstream;
struct leaf_call;
struct leaf_conn;

struct leaf_call_ops {
	/* Writes the request to out; called when it is sent. */
	void (*render)(struct leaf_call *call, GString *out);
	/*
	 * True when the answer belongs to this call. is_first: the connection has carried no other
	 * answer, so this one cannot be a late copy of an earlier one.
	 */
	bool (*matches)(struct leaf_call *call, const struct http_reader *answer, bool is_first);
	/*
	 * The call has ended. answer is NULL unless end is LEAF_END_ANSWERED, and valid only inside
	 * this function. was_sent: bytes of the request may have reached the leaf.
	 * Returns the end that is recorded for the leaf, which may differ from end by the content
	 * of the answer.
	 */
	enum leaf_end (*done)(struct leaf_call *call, enum leaf_end end,
			      const struct http_reader *answer, bool was_sent);
	/* Shards that the request of the call still lacks; used for calls with is_ranked. */
	unsigned int (*lacking)(const struct leaf_call *call);
};

struct leaf_call {
	const struct leaf_call_ops *ops;
	struct list_head node; /* in the leaf's queue while no connection is free */
	struct leaf *leaf; /* a reference, held from upstream_call until the call ends */
	struct leaf_conn *conn; /* the connection that carries the call; NULL until it is sent */
	uint64_t started_us; /* time of upstream_call */
	uint64_t sent_us; /* 0: not sent yet */
	/* Time from the start of the request within which an answer is useful; 0: no limit. */
	uint64_t useful_us;
	unsigned int rank; /* 0 without ranks */
	uint64_t ages_us; /* waiting time after which its rank rises by one; 0: it does not */
	bool is_ranked; /* waiting calls are sent by rank */
	bool is_optional; /* the request can be answered without this call */
	bool wants_fresh; /* must not use a connection that has been idle for long */
	/* Must use a connection that has carried no answer: a copy of one may still arrive. */
	bool wants_unused;
};

/* Counts what is held for leaves in the set, which must outlive the upstream. */
struct upstream *upstream_create(struct event_base *base, struct heldbytes *held);
/* Closes all connections. No call may be open. NULL has no effect. */
void upstream_destroy(struct upstream *u);

/*
 * vms: number of VMs among which the connections of each leaf are divided. is_entry: whether this
 * VM is one of them; some time after it has ceased to be, it keeps no idle connections.
 */
void upstream_set_vms(struct upstream *u, unsigned int vms, bool is_entry, uint64_t now_us);

/*
 * Sends the call or queues it until a connection is free. max_connections: the leaf's cap on
 * connections from all VMs together. Never calls ops->done before it returns.
 */
void upstream_call(struct upstream *u, struct leaf_call *call, struct leaf *leaf,
		   unsigned int max_connections, uint64_t now_us);
/*
 * Ends the call without calling ops->done and records end for the leaf. If the call was sent, its
 * connection is closed.
 */
void upstream_cancel(struct upstream *u, struct leaf_call *call, enum leaf_end end,
		     uint64_t now_us);

/* Calls of the rank that wait here for the leaf. */
unsigned int upstream_waiting(const struct leaf *leaf, unsigned int rank);

/*
 * The leaf drains, pauses or is gone: closes its idle connections and those being opened,
 * and ends its queued calls as not sent. Calls that were sent go on.
 */
void upstream_leaf_retire(struct upstream *u, struct leaf *leaf);

struct upstream_stats {
	uint64_t connects;
	uint64_t connect_failures;
	uint64_t stray_closes; /* connections closed because of bytes that belonged to no call */
	uint64_t cold_waits; /* calls held back by the limit of a cold leaf */
	unsigned int connections; /* open or being opened */
	unsigned int queued; /* calls that wait for a connection */
};

const struct upstream_stats *upstream_stats(const struct upstream *u);

G_END_DECLS

#endif
