/* Adaptive limit on the calls in flight to one leaf: additive increase, multiplicative decrease. */
#ifndef APRICOT_LIMITER_H
#define APRICOT_LIMITER_H

#include "leafstat.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct limiter;

/*
 * slots: the leaf's slots in the manifest. They are the initial limit and its upper bound. The
 * caller owns the returned object.
 */
struct limiter *limiter_create(unsigned int slots);
void limiter_destroy(struct limiter *l);

/* Takes a slot for a call; returns false if the limit is reached. */
bool limiter_admit(struct limiter *l);

/* Must be called exactly once for each admitted call. outcome: how the call ended. */
void limiter_release(struct limiter *l, enum leafstat_outcome outcome, uint64_t now_us);

/* Sets the slots of a new manifest. Calls in flight above the new limit continue. */
void limiter_slots_set(struct limiter *l, unsigned int slots);

unsigned int limiter_in_use(const struct limiter *l);
unsigned int limiter_limit(const struct limiter *l);

G_END_DECLS

#endif
