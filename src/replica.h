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

/* First member of every chooser. */
struct replica_chooser {
	const struct replica_chooser_ops *ops;
};

/*
 * kind: "ewma" (power of two choices on cost, with probes and ramp) or "random" (the baseline: any
 * usable leaf). Fails with RESULT_BAD_SETTING for another kind. The caller owns the chooser and may
 * use one for all groups: its state does not depend on the group.
 */
struct replica_chooser *replica_chooser_create(const char *kind, GError **error);
void replica_chooser_destroy(struct replica_chooser *c);

/*
 * Index into stats[0..n), or -1 without a usable leaf. usable[i] is false for a leaf that was
 * tried, is draining or is at its limit. The caller follows up with leafstat_start(). Only the
 * first REPLICA_MAX leaves are considered.
 */
#define REPLICA_MAX 16
int replica_chooser_pick(struct replica_chooser *c, struct leafstat *const *stats,
			 const bool *usable, unsigned int n, uint64_t now_us, GRand *rand);

/*
 * Clears usable[i] of leaves for which it is better to leave the call in the queue, because another
 * alive leaf, perhaps at its limit, is free soon: a leaf that is refusing, or whose latency is
 * above 4 times the lowest plus waited_us (see classq_waited_us()). alive[i]: neither draining nor
 * tried. A slow leaf idle for 1 s stays usable as a probe. Without an alive leaf that is not
 * refusing, usable stays as it is.
 */
void replica_slow_exclude(struct leafstat *const *stats, const bool *alive, bool *usable,
			  unsigned int n, uint64_t waited_us, uint64_t now_us);

G_END_DECLS

#endif
