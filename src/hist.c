#include "hist.h"

#include <math.h>

#define SUB_BITS 4
#define SUB_COUNT (1U << SUB_BITS)
#define VALUE_BITS 36
#define ROW_COUNT (VALUE_BITS - SUB_BITS + 1)
#define VALUE_MAX ((UINT64_C(1) << VALUE_BITS) - 1)

/* Row 0 counts 0..15 exactly; row r > 0 splits [2^(r+3), 2^(r+4)) into 16 buckets. */
struct hist {
	uint64_t total;
	uint64_t row_total[ROW_COUNT];
	uint64_t count[ROW_COUNT][SUB_COUNT];
};

struct hist *hist_create(void)
{
	return g_new0(struct hist, 1);
}

void hist_destroy(struct hist *h)
{
	g_free(h);
}

void hist_add(struct hist *h, uint64_t value_us)
{
	uint64_t value = MIN(value_us, VALUE_MAX);
	unsigned int row = 0;

	if (value >= SUB_COUNT) {
		row = 64 - SUB_BITS - (unsigned int)__builtin_clzll(value);
		value >>= row - 1;
	}
	h->count[row][value & (SUB_COUNT - 1)]++;
	h->row_total[row]++;
	h->total++;
}

static uint64_t hist_bucket_max(unsigned int row, unsigned int sub)
{
	if (row == 0)
		return sub;
	return ((uint64_t)(SUB_COUNT + sub + 1) << (row - 1)) - 1;
}

uint64_t hist_quantile(const struct hist *h, double q)
{
	uint64_t rank;
	unsigned int row = 0;
	unsigned int sub = 0;

	if (h->total == 0)
		return 0;
	rank = (uint64_t)ceil(CLAMP(q, 0.0, 1.0) * (double)h->total);
	rank = CLAMP(rank, 1, h->total);
	while (row < ROW_COUNT - 1 && rank > h->row_total[row])
		rank -= h->row_total[row++];
	while (sub < SUB_COUNT - 1 && rank > h->count[row][sub])
		rank -= h->count[row][sub++];
	return hist_bucket_max(row, sub);
}

uint64_t hist_count(const struct hist *h)
{
	return h->total;
}

void hist_decay(struct hist *h)
{
	h->total = 0;
	for (unsigned int row = 0; row < ROW_COUNT; row++) {
		h->row_total[row] = 0;
		for (unsigned int sub = 0; sub < SUB_COUNT; sub++) {
			h->count[row][sub] /= 2;
			h->row_total[row] += h->count[row][sub];
		}
		h->total += h->row_total[row];
	}
}
