/*
 * Connections to leaves and the calls on them: kept open, bounded for each leaf so that all VMs
 * together stay below its cap, one call at a time on each.
 *
 * A call belongs to its owner, who embeds it; the upstream holds it from upstream_call until
 * ops->done or upstream_cancel. Times are microseconds.
 */
#ifndef APRICOT_UPSTREAM_H
#define APRICOT_UPSTREAM_H

#include "httpconn.h"
#include "leafset.h"
#include "list.h"

#include <event2/event.h>

G_BEGIN_DECLS

struct upstream;
struct leaf_call;
struct leaf_conn;

struct leaf_call_ops {
	/* Writes the request as it is to be sent now. */
	void (*render)(struct leaf_call *call, GString *out);
	/* True when the answer belongs to this call. */
	bool (*matches)(struct leaf_call *call, const struct http_reader *answer);
	/*
	 * The call has ended. answer is NULL unless end is LEAF_END_ANSWERED; it is valid during
	 * the call. was_sent: bytes of the request may have reached the leaf.
	 * Returns how the leaf is judged, which may differ from end after a look at the answer.
	 */
	enum leaf_end (*done)(struct leaf_call *call, enum leaf_end end,
			      const struct http_reader *answer, bool was_sent);
};

struct leaf_call {
	const struct leaf_call_ops *ops;
	struct list_head node; /* in the leaf's queue while no connection is free */
	struct leaf *leaf; /* a reference, held from upstream_call to the end */
	struct leaf_conn *conn; /* while sent */
	uint64_t started_us;
	uint64_t sent_us; /* 0: not sent yet */
	uint64_t useful_us; /* an answer so long after the start is in time; 0: not known */
	bool is_partial; /* its request can be answered without it */
	bool wants_fresh; /* an idle connection may be used only when it was used just now */
};

struct upstream *upstream_create(struct event_base *base);
void upstream_destroy(struct upstream *u);

/* vms: VMs among which the connections of a leaf are divided. */
void upstream_set_vms(struct upstream *u, unsigned int vms);

/*
 * Sends the call or queues it until a connection is free. max_connections: cap of the leaf for all
 * VMs together. Never calls ops->done from inside.
 */
void upstream_call(struct upstream *u, struct leaf_call *call, struct leaf *leaf,
		   unsigned int max_connections, uint64_t now_us);
/* Ends the call without ops->done; its connection is closed when the call was sent. */
void upstream_cancel(struct upstream *u, struct leaf_call *call, enum leaf_end end,
		     uint64_t now_us);

/* The leaf drains or is gone: idle connections are closed, queued calls end as not sent. */
void upstream_leaf_retire(struct upstream *u, struct leaf *leaf);

struct upstream_stats {
	uint64_t connects;
	uint64_t connect_failures;
	uint64_t stray; /* connections closed for bytes that belonged to no call */
	unsigned int connections;
	unsigned int queued;
};

const struct upstream_stats *upstream_stats(const struct upstream *u);

G_END_DECLS

#endif
