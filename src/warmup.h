/*
 * Keeps this VM to its part of the calls that a cold leaf takes.
 *
 * Answers a data centre or a service whose leaves come back together, empty, while callers ask as
 * much as before: a cold leaf looks idle, so that it attracts the calls of all VMs, and a rate well
 * above what it takes ends it. The limit holds for all VMs together; each keeps to its share of it
 * by a ratecap, without exchanging messages.
 *
 * The set holds a reference to each cold leaf. Times are in microseconds.
 */
#ifndef APRICOT_WARMUP_H
#define APRICOT_WARMUP_H

#include "leafset.h"

G_BEGIN_DECLS

struct warmups;

struct warmup_ops {
	/* The limit of a cold leaf begins to hold or ends. Must not call back into the set. */
	void (*changed)(void *arg, const struct leaf *leaf, bool is_cold);
};

/* ops must outlive the set; the caller owns the result. Destroy accepts NULL. */
struct warmups *warmups_create(const struct warmup_ops *ops, void *arg);
void warmups_destroy(struct warmups *w);

/*
 * To be called when a leaf may have become cold, or its warmup_calls_per_s has changed: the limit
 * holds from now until the leaf is warm. share: this VM's part of it, 0 to 1.
 */
void warmups_note(struct warmups *w, struct leaf *leaf, double share, GRand *rand, uint64_t now_us);
/* Adjusts the limits to a new share and ends those of leaves that are warm or gone. */
void warmups_advance(struct warmups *w, double share, GRand *rand, uint64_t now_us);

unsigned int warmups_count(const struct warmups *w);

G_END_DECLS

#endif
