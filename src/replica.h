/* Choice of the replica that gets a leaf call. */
#ifndef APRICOT_REPLICA_H
#define APRICOT_REPLICA_H

#include "leafstat.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct replica_chooser;

struct replica_chooser_ops {
	int (*pick)(struct replica_chooser *c, struct leafstat *const *stats, const bool *usable,
		    unsigned int n, uint64_t now_us, GRand *rand);
	void (*destroy)(struct replica_chooser *c);
};

/* First member of every implementation of a chooser. */
struct replica_chooser {
	const struct replica_chooser_ops *ops;
};

/*
 * kind: "ewma" (power of two choices: draws two leaves at random and picks the one of lower
 * leafstat_cost(); with probes and ramp) or "random" (any usable leaf, as the baseline). For
 * another kind it returns NULL and sets error to RESULT_BAD_SETTING. The caller owns the chooser
 * and may use one for all groups, since its state does not depend on the group.
 */
struct replica_chooser *replica_chooser_create(const char *kind, GError **error);
void replica_chooser_destroy(struct replica_chooser *c);

/*
 * Returns an index into stats[0..n), or -1 if no leaf is usable. usable[i] is false for a leaf that
 * this call has tried, that is draining or that is at its limit. The function's caller then calls
 * leafstat_start() for the picked leaf. Only the first REPLICA_MAX leaves are considered.
 */
#define REPLICA_MAX 16
int replica_chooser_pick(struct replica_chooser *c, struct leafstat *const *stats,
			 const bool *usable, unsigned int n, uint64_t now_us, GRand *rand);

/*
 * Clears usable[i] of refusing and slow leaves: it is better to leave the call in the queue
 * because another eligible leaf, perhaps now at its limit, will be free soon. eligible[i]: the leaf
 * is neither draining nor tried by this call. A leaf is slow if its latency exceeds 4 times the
 * lowest of the eligible leaves that are not refusing, plus waited_us (see classq_waited_us()). A
 * slow leaf that has been idle for 1 s stays usable as a probe. If every eligible leaf is refusing,
 * usable stays as it is.
 */
void replica_slow_exclude(struct leafstat *const *stats, const bool *eligible, bool *usable,
			  unsigned int n, uint64_t waited_us, uint64_t now_us);

G_END_DECLS

#endif
