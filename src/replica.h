/* Choice of the replica that gets a leaf call. The replicas of a shard are leaves. */
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
 * kind: "ewma" or "random". For another kind, returns NULL and sets error to RESULT_BAD_SETTING.
 * The calling function owns the chooser and may use one for all groups, since a chooser keeps no
 * state of a group.
 *
 * "ewma" draws two leaves at random and picks the one of lower leafstat_cost() (power of two
 * choices). It spares leaves that have just started (leafstat_ramp()), and now and then picks a
 * leaf that has been idle for 1 s, as a probe. "random" picks any usable leaf, for comparison.
 */
struct replica_chooser *replica_chooser_create(const char *kind, GError **error);
void replica_chooser_destroy(struct replica_chooser *c);

/* Leaves that replica_chooser_pick considers at most: the first ones. */
#define REPLICA_MAX 16
/*
 * Returns an index into stats[0..n), or -1 if no leaf is usable. usable[i] is false for a leaf that
 * this call has tried, that is draining or that is at its limit. The calling function then calls
 * leafstat_start() for the picked leaf.
 */
int replica_chooser_pick(struct replica_chooser *c, struct leafstat *const *stats,
			 const bool *usable, unsigned int n, uint64_t now_us, GRand *rand);

/*
 * Clears usable[i] of refusing and slow leaves, so that the call stays in the queue for a better
 * leaf, which may be at its limit now but will be free soon. eligible[i]: the leaf is neither
 * draining nor tried by this call.
 *
 * A leaf is slow if leafstat_latency_us() > 4 * lowest + waited_us, where lowest is the lowest
 * latency of the eligible leaves that are not refusing, and waited_us is how long the call has
 * waited: the longer the wait, the slower a leaf may be. A slow leaf that has been idle for 1 s
 * stays usable as a probe. If every eligible leaf is refusing, usable stays as it is.
 */
void replica_slow_or_refusing_exclude(struct leafstat *const *stats, const bool *eligible,
				      bool *usable, unsigned int n, uint64_t waited_us,
				      uint64_t now_us);

G_END_DECLS

#endif
