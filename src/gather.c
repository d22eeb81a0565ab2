#include "gather.h"

#include <stdlib.h>
#include <string.h>

struct gather {
	struct gather_params params;
	struct coverage *coverage;
	json_t **hits; /* by shard; NULL for a missing one */
};

struct gather *gather_create(const struct gather_params *params)
{
	struct gather *g = g_new0(struct gather, 1);

	g->params = *params;
	g->coverage = coverage_create(params->n_shards);
	g->hits = g_new0(json_t *, params->n_shards);
	return g;
}

void gather_destroy(struct gather *g)
{
	if (!g)
		return;
	for (unsigned int i = 0; i < g->params.n_shards; i++)
		json_decref(g->hits[i]);
	g_free(g->hits);
	coverage_destroy(g->coverage);
	g_free(g);
}

static bool gather_is_own_reply(const struct gather *g, const unsigned char *request_id,
				uint64_t index_version, uint64_t map_version)
{
	return memcmp(g->params.request_id, request_id, GATHER_ID_BYTES) == 0 &&
	       g->params.index_version == index_version && g->params.map_version == map_version;
}

enum result gather_hits_add(struct gather *g, const unsigned char *request_id,
			    uint64_t index_version, uint64_t map_version, unsigned int shard,
			    json_t *hits)
{
	if (!gather_is_own_reply(g, request_id, index_version, map_version))
		return RESULT_MISMATCH;
	if (!json_is_array(hits)) {
		coverage_missing_set(g->coverage, shard, RESULT_LEAF_ERROR);
		return RESULT_LEAF_ERROR;
	}
	if (!coverage_include(g->coverage, shard))
		return RESULT_WRONG_SHARD;
	g->hits[shard] = json_incref(hits);
	return RESULT_OK;
}

enum result gather_missing_set(struct gather *g, const unsigned char *request_id,
			       uint64_t index_version, uint64_t map_version, unsigned int shard,
			       enum result reason)
{
	if (!gather_is_own_reply(g, request_id, index_version, map_version))
		return RESULT_MISMATCH;
	return coverage_missing_set(g->coverage, shard, reason) ? RESULT_OK : RESULT_WRONG_SHARD;
}

uint64_t gather_respond_at_us(const struct gather *g)
{
	uint64_t wait_us = g->params.deadline_us;

	if (g->params.policy == MANIFEST_POLICY_LATENCY)
		wait_us = MIN(g->params.target_us, g->params.deadline_us);
	return g->params.start_us + wait_us;
}

uint64_t gather_remaining_us(const struct gather *g, uint64_t now_us, uint64_t hop_us)
{
	uint64_t end_us = gather_respond_at_us(g);

	return end_us > now_us + hop_us ? end_us - now_us - hop_us : 0;
}

const struct coverage *gather_coverage(const struct gather *g)
{
	return g->coverage;
}

const struct gather_params *gather_params(const struct gather *g)
{
	return &g->params;
}

unsigned int gather_gone_count(const struct gather *g)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < g->params.n_shards; i++)
		n += coverage_missing_reason(g->coverage, i) == RESULT_VERSION_GONE;
	return n;
}

/* For qsort(): by descending score, then by id. */
static int gather_hits_compare(const void *a, const void *b)
{
	const json_t *hit_a = *(json_t *const *)a;
	const json_t *hit_b = *(json_t *const *)b;
	double score_a = json_number_value(json_object_get(hit_a, "score"));
	double score_b = json_number_value(json_object_get(hit_b, "score"));
	const char *id_a = json_string_value(json_object_get(hit_a, "id"));
	const char *id_b = json_string_value(json_object_get(hit_b, "id"));

	if (score_a != score_b)
		return score_a > score_b ? -1 : 1;
	return g_strcmp0(id_a, id_b);
}

json_t *gather_hits_merge(const struct gather *g, size_t limit)
{
	g_autoptr(GPtrArray) all = g_ptr_array_new();
	json_t *merged = json_array();

	for (unsigned int i = 0; i < g->params.n_shards; i++) {
		size_t index;
		json_t *hit;

		json_array_foreach(g->hits[i], index, hit) g_ptr_array_add(all, hit);
	}
	if (all->len > 0)
		qsort(all->pdata, all->len, sizeof(gpointer), gather_hits_compare);
	for (guint i = 0; i < all->len && i < limit; i++)
		json_array_append(merged, all->pdata[i]);
	return merged;
}
