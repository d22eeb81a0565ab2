/* When to send a second call for a leaf call that has not been answered. */
#ifndef APRICOT_HEDGE_H
#define APRICOT_HEDGE_H

#include "hist.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Delay until the second call: the measured quantile, at least min_us. 0 means no second call:
 * there are fewer than 20 samples, or a second call of median latency would end after remaining_us.
 */
uint64_t hedge_delay_us(const struct hist *h, double quantile, uint64_t min_us,
			uint64_t remaining_us);

G_END_DECLS

#endif
