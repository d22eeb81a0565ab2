#include "replica.h"

#include "result.h"

#define PROBE_IDLE_US 1000000
#define PICKS_PER_PROBE 64 /* on average, while a leaf is idle */
/*
 * One call of 20 times the median latency raises a leaf's EWMA from the median to 3.4 times the
 * median, which does not exclude the leaf.
 */
#define SLOW_FACTOR 4.0

static int replica_random_pick(struct replica_chooser *c, struct leafstat *const *stats,
			       const bool *usable, unsigned int n, uint64_t now_us, GRand *rand)
{
	int picked = -1;
	int seen = 0;

	for (unsigned int i = 0; i < n; i++)
		if (usable[i] && g_rand_int_range(rand, 0, ++seen) == 0)
			picked = (int)i;
	return picked;
}

/*
 * Picks the leaf that has been idle longest, so that probes go round robin; returns -1 if none has
 * been idle for PROBE_IDLE_US. The start of a probe ends the idle time, so a leaf that hangs gets
 * at most one probe per second.
 */
static int replica_probe_pick(struct leafstat *const *stats, const unsigned int *candidate,
			      unsigned int n, uint64_t now_us)
{
	uint64_t longest_us = PROBE_IDLE_US - 1;
	int picked = -1;

	for (unsigned int i = 0; i < n; i++) {
		uint64_t idle_us = leafstat_idle_us(stats[candidate[i]], now_us);

		if (idle_us > longest_us) {
			longest_us = idle_us;
			picked = (int)candidate[i];
		}
	}
	return picked;
}

/*
 * Keeps each candidate with a probability equal to its ramp divided by the highest ramp of the
 * candidates, and returns how many are left. The ramp is relative because after a start of this VM
 * all leaves ramp up together, and none should lose load then.
 */
static unsigned int replica_ramp_filter(struct leafstat *const *stats, unsigned int *candidate,
					unsigned int n, uint64_t now_us, GRand *rand)
{
	double ramp[REPLICA_MAX];
	double highest_ramp = 0.0;
	unsigned int kept = 0;

	for (unsigned int i = 0; i < n; i++) {
		ramp[i] = leafstat_ramp(stats[candidate[i]], now_us);
		highest_ramp = MAX(highest_ramp, ramp[i]);
	}
	for (unsigned int i = 0; i < n; i++)
		if (ramp[i] >= highest_ramp || g_rand_double(rand) * highest_ramp < ramp[i])
			candidate[kept++] = candidate[i];
	return kept;
}

static int replica_ewma_pick(struct replica_chooser *c, struct leafstat *const *stats,
			     const bool *usable, unsigned int n, uint64_t now_us, GRand *rand)
{
	unsigned int candidate[REPLICA_MAX];
	unsigned int count = 0;
	unsigned int a;
	unsigned int b;

	for (unsigned int i = 0; i < n; i++)
		if (usable[i] && !leafstat_is_refusing(stats[i], now_us))
			candidate[count++] = i;
	for (unsigned int i = 0; count == 0 && i < n; i++)
		if (usable[i])
			return replica_random_pick(c, stats, usable, n, now_us, rand);
	if (count == 0)
		return -1;
	/*
	 * Whether to probe is drawn at random: with a counter of picks and a fixed order of the
	 * groups in each search, the same group could get every probe.
	 */
	if (g_rand_int_range(rand, 0, PICKS_PER_PROBE) == 0) {
		int probe = replica_probe_pick(stats, candidate, count, now_us);

		if (probe >= 0)
			return probe;
	}
	count = replica_ramp_filter(stats, candidate, count, now_us, rand);
	if (count <= 1)
		return (int)candidate[0];
	a = (unsigned int)g_rand_int_range(rand, 0, (gint32)count);
	b = (a + (unsigned int)g_rand_int_range(rand, 1, (gint32)count)) % count;
	if (leafstat_cost(stats[candidate[b]], now_us) < leafstat_cost(stats[candidate[a]], now_us))
		a = b;
	return (int)candidate[a];
}

static void replica_chooser_free(struct replica_chooser *c)
{
	g_free(c);
}

static const struct replica_chooser_ops ewma_ops = {
	.pick = replica_ewma_pick,
	.destroy = replica_chooser_free,
};

static const struct replica_chooser_ops random_ops = {
	.pick = replica_random_pick,
	.destroy = replica_chooser_free,
};

struct replica_chooser *replica_chooser_create(const char *kind, GError **error)
{
	const struct replica_chooser_ops *ops;
	struct replica_chooser *c;

	if (g_str_equal(kind, "ewma")) {
		ops = &ewma_ops;
	} else if (g_str_equal(kind, "random")) {
		ops = &random_ops;
	} else {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
			    "unknown replica chooser \"%s\": ewma or random expected", kind);
		return NULL;
	}
	c = g_new0(struct replica_chooser, 1);
	c->ops = ops;
	return c;
}

void replica_chooser_destroy(struct replica_chooser *c)
{
	if (c)
		c->ops->destroy(c);
}

int replica_chooser_pick(struct replica_chooser *c, struct leafstat *const *stats,
			 const bool *usable, unsigned int n, uint64_t now_us, GRand *rand)
{
	return c->ops->pick(c, stats, usable, MIN(n, REPLICA_MAX), now_us, rand);
}

void replica_slow_or_refusing_exclude(struct leafstat *const *stats, const bool *eligible,
				      bool *usable, unsigned int n, uint64_t waited_us,
				      uint64_t now_us)
{
	double lowest_us = G_MAXDOUBLE;
	double limit_us;

	for (unsigned int i = 0; i < n; i++)
		if (eligible[i] && !leafstat_is_refusing(stats[i], now_us))
			lowest_us = MIN(lowest_us, leafstat_latency_us(stats[i], now_us));
	if (lowest_us == G_MAXDOUBLE)
		return;
	limit_us = SLOW_FACTOR * lowest_us + (double)waited_us;
	for (unsigned int i = 0; i < n; i++) {
		bool is_slow = leafstat_latency_us(stats[i], now_us) > limit_us &&
			       leafstat_idle_us(stats[i], now_us) < PROBE_IDLE_US;

		if (is_slow || leafstat_is_refusing(stats[i], now_us))
			usable[i] = false;
	}
}
