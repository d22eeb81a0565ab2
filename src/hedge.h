/* When to hedge, that is, to send a second call for a leaf call that has not been answered. */
#ifndef APRICOT_HEDGE_H
#define APRICOT_HEDGE_H

#include "hist.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Delay from the first call to the hedge: the given quantile (0 to 1) of the latencies in h, at
 * least min_us. Returns 0 for no hedge: h has fewer than 20 samples, or a hedge of median latency
 * would not end within remaining_us after the first call.
 */
uint64_t hedge_delay_us(const struct hist *h, double quantile, uint64_t min_us,
			uint64_t remaining_us);

G_END_DECLS

#endif
