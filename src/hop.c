#include "hop.h"

#define HOP_MIN_US 1000.0
/* Before the first reply: a VM in another data centre at 5 ms one way. */
#define HOP_UNKNOWN_US 12000.0
#define HOP_GAIN 0.125
/* Deviations above the mean, as for a TCP retransmission time-out. */
#define HOP_DEVIATIONS 4.0
/* The other VM keeps three quarters of the time: replicas are called again after half of it. */
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
	hop->deviation_us += HOP_GAIN * (ABS(hop_us - hop->mean_us) - hop->deviation_us);
	hop->mean_us += HOP_GAIN * (hop_us - hop->mean_us);
}

uint64_t hop_estimate_us(const struct hop_table *t, const char *address)
{
	const struct hop *hop = g_hash_table_lookup(t->hops, address);

	if (!hop)
		return (uint64_t)HOP_UNKNOWN_US;
	return (uint64_t)MAX(HOP_MIN_US, hop->mean_us + HOP_DEVIATIONS * hop->deviation_us);
}

uint64_t hop_reserve_us(const struct hop_table *t, const char *address, uint64_t remaining_us)
{
	return MIN(hop_estimate_us(t, address), remaining_us / HOP_RESERVE_DIVISOR);
}
