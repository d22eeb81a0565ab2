/* Token bucket for extra calls (hedges and retries). Each primary call adds a part of a token. */
#ifndef APRICOT_BUDGET_H
#define APRICOT_BUDGET_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct budget;

/*
 * ratio: tokens earned per primary call; burst: the most tokens held. The budget starts full, so
 * that the first refused call after a start can be retried. The caller owns the returned object.
 */
struct budget *budget_create(double ratio, double burst);
void budget_destroy(struct budget *b);

/* Call once for each primary call. */
void budget_earn(struct budget *b);

/* Takes one token for an extra call; returns false if there is none. */
bool budget_spend(struct budget *b);

G_END_DECLS

#endif
