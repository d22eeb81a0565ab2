#include "coverage.h"

struct coverage {
	unsigned int n_shards;
	unsigned int n_included;
	enum result *reason; /* by shard; RESULT_OK when included */
};

struct coverage *coverage_create(unsigned int n_shards)
{
	struct coverage *c = g_new0(struct coverage, 1);

	c->n_shards = n_shards;
	c->reason = g_malloc_n(n_shards, sizeof(*c->reason));
	for (unsigned int i = 0; i < n_shards; i++)
		c->reason[i] = RESULT_LEAF_TIMEOUT;
	return c;
}

void coverage_destroy(struct coverage *c)
{
	if (!c)
		return;
	g_free(c->reason);
	g_free(c);
}

bool coverage_include(struct coverage *c, unsigned int shard)
{
	if (shard >= c->n_shards || c->reason[shard] == RESULT_OK)
		return false;
	c->reason[shard] = RESULT_OK;
	c->n_included++;
	return true;
}

bool coverage_missing_set(struct coverage *c, unsigned int shard, enum result reason)
{
	if (shard >= c->n_shards || reason == RESULT_OK)
		return false;
	if (c->reason[shard] != RESULT_OK)
		c->reason[shard] = reason;
	return true;
}

bool coverage_is_complete(const struct coverage *c)
{
	return c->n_included == c->n_shards;
}

bool coverage_is_included(const struct coverage *c, unsigned int shard)
{
	return shard < c->n_shards && c->reason[shard] == RESULT_OK;
}

enum result coverage_missing_reason(const struct coverage *c, unsigned int shard)
{
	return shard < c->n_shards ? c->reason[shard] : RESULT_WRONG_SHARD;
}

unsigned int coverage_included_count(const struct coverage *c)
{
	return c->n_included;
}

unsigned int coverage_shard_count(const struct coverage *c)
{
	return c->n_shards;
}
