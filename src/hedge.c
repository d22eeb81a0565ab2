#include "hedge.h"

/* A p95 needs at least 1/(1 - 0.95) samples. */
#define SAMPLES_MIN 20

uint64_t hedge_delay_us(const struct hist *h, double quantile, uint64_t min_us,
			uint64_t remaining_us)
{
	uint64_t delay_us;

	if (hist_count(h) < SAMPLES_MIN)
		return 0;
	delay_us = MAX(MAX(hist_quantile(h, quantile), min_us), 1);
	if (delay_us + hist_quantile(h, 0.5) >= remaining_us)
		return 0;
	return delay_us;
}
