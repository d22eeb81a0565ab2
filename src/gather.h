/*
 * State of one search at the entry VM: the index and map versions that it is pinned to, the hits
 * received so far and the time at which to respond. Only replies to its own request and versions
 * are accepted, so a late reply or one of another search is never included.
 */
#ifndef APRICOT_GATHER_H
#define APRICOT_GATHER_H

#include "coverage.h"
#include "manifest.h"

#include <jansson.h>
#include <stdint.h>

G_BEGIN_DECLS

#define GATHER_ID_BYTES 16

struct gather;

struct gather_params {
	unsigned char request_id[GATHER_ID_BYTES];
	uint64_t index_version;
	uint64_t map_version;
	unsigned int n_shards;
	enum manifest_policy policy;
	uint64_t start_us;
	uint64_t target_us; /* relative to start_us */
	uint64_t deadline_us; /* relative to start_us */
};

/* Copies params. The caller owns the returned object. */
struct gather *gather_create(const struct gather_params *params);
void gather_destroy(struct gather *g);

/*
 * Includes one shard with its hits, a JSON array of which a new reference is kept. Returns
 * - RESULT_OK if the shard was included;
 * - RESULT_MISMATCH if the reply belongs to another request or to other versions;
 * - RESULT_LEAF_ERROR if hits is not an array; this is recorded as why the shard is missing;
 * - RESULT_WRONG_SHARD if the shard is out of range or was included before.
 */
enum result gather_hits_add(struct gather *g, const unsigned char *request_id,
			    uint64_t index_version, uint64_t map_version, unsigned int shard,
			    json_t *hits);

/*
 * Records why a shard is missing. Returns RESULT_OK, RESULT_MISMATCH as above, or
 * RESULT_WRONG_SHARD if the shard is out of range or reason is RESULT_OK. A shard that was included
 * stays included.
 */
enum result gather_missing_set(struct gather *g, const unsigned char *request_id,
			       uint64_t index_version, uint64_t map_version, unsigned int shard,
			       enum result reason);

/* The time at which the search responds to its caller, whichever shards are still missing. */
uint64_t gather_respond_at_us(const struct gather *g);

/*
 * Time that a holder may use from now_us on; 0 if none is left. hop_us is the time kept for the
 * reply's way back.
 */
uint64_t gather_remaining_us(const struct gather *g, uint64_t now_us, uint64_t hop_us);

/* Both results are valid until gather_destroy(). */
const struct coverage *gather_coverage(const struct gather *g);
const struct gather_params *gather_params(const struct gather *g);

/* Number of shards missing because their leaf no longer serves the pinned index version. */
unsigned int gather_gone_count(const struct gather *g);

/*
 * The first limit hits of all included shards, by descending score, then by id. Returns a new
 * reference. The caller gets each hit once.
 */
json_t *gather_hits_merge(const struct gather *g, size_t limit);

G_END_DECLS

#endif
