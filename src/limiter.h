/* Slots of one leaf: an adaptive limit on calls in flight. */
#ifndef APRICOT_LIMITER_H
#define APRICOT_LIMITER_H

#include "leafstat.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct limiter;

/* slots: the manifest's, the upper bound of the limit and its first value. The caller owns it. */
struct limiter *limiter_create(unsigned int slots);
void limiter_destroy(struct limiter *l);

/* Takes a slot; false at the limit. Each admitted call is released exactly once. */
bool limiter_admit(struct limiter *l);
void limiter_release(struct limiter *l, enum leafstat_event ev, uint64_t now_us);

/* A new manifest's slots. Calls in flight above the new limit are left to end. */
void limiter_resize(struct limiter *l, unsigned int slots);

unsigned int limiter_in_use(const struct limiter *l);
unsigned int limiter_limit(const struct limiter *l);

G_END_DECLS

#endif
