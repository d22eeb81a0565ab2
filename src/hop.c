#include "hop.h"

#define HOP_MIN_US 1000.0
/* Used before the first reply: enough for a VM in another data centre, 5 ms away one way. */
#define HOP_INITIAL_US 12000.0
#define HOP_EWMA_WEIGHT 0.125
/* The estimate is the mean plus this many deviations, as for a TCP retransmission timeout. */
#define HOP_DEVIATIONS 4.0
/*
 * Leaves the other VM at least three quarters of the time, because it calls another replica after
 * half of it.
 */
#define HOP_RESERVE_DIVISOR 4

struct hop_table {
	GHashTable *hops; /* address -> struct hop */
};

struct hop {
	double mean_us;
	double deviation_us;
};

struct hop_table *hop_table_create(void)
{
	struct hop_table *t = g_new0(struct hop_table, 1);

	t->hops = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return t;
}

void hop_table_destroy(struct hop_table *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->hops);
	g_free(t);
}

void hop_observe(struct hop_table *t, const char *address, uint64_t total_us, uint64_t served_us)
{
	double hop_us = total_us > served_us ? (double)(total_us - served_us) : 0;
	struct hop *hop = g_hash_table_lookup(t->hops, address);

	if (!hop) {
		hop = g_new0(struct hop, 1);
		hop->mean_us = hop_us;
		hop->deviation_us = hop_us / 2;
		g_hash_table_insert(t->hops, g_strdup(address), hop);
		return;
	}
	hop->deviation_us += HOP_EWMA_WEIGHT * (ABS(hop_us - hop->mean_us) - hop->deviation_us);
	hop->mean_us += HOP_EWMA_WEIGHT * (hop_us - hop->mean_us);
}

uint64_t hop_estimate_us(const struct hop_table *t, const char *address)
{
	const struct hop *hop = g_hash_table_lookup(t->hops, address);

	if (!hop)
		return (uint64_t)HOP_INITIAL_US;
	return (uint64_t)MAX(HOP_MIN_US, hop->mean_us + HOP_DEVIATIONS * hop->deviation_us);
}

uint64_t hop_reserve_us(const struct hop_table *t, const char *address, uint64_t remaining_us)
{
	return MIN(hop_estimate_us(t, address), remaining_us / HOP_RESERVE_DIVISOR);
}
