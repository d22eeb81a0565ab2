/*
 * State of one search at the entry VM: what was pinned, what has arrived, when to answer. It
 * accepts only answers to its own request and snapshot, so a late or crossed answer cannot enter.
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
	uint64_t target_us; /* from the start */
	uint64_t deadline_us; /* from the start */
};

struct gather *gather_create(const struct gather_params *params);
void gather_destroy(struct gather *g);

/*
 * Adds the hits of one shard (a JSON array, copied by reference). RESULT_OK when included;
 * RESULT_MISMATCH when the answer belongs to another request or snapshot; RESULT_LEAF_ERROR when
 * hits is not an array; RESULT_WRONG_SHARD when the shard is out of range or included already.
 */
enum result gather_accept(struct gather *g, const unsigned char *request_id, uint64_t index_version,
			  uint64_t map_version, unsigned int shard, json_t *hits);
/* Notes why a shard is missing, under the same conditions. */
enum result gather_refuse(struct gather *g, const unsigned char *request_id, uint64_t index_version,
			  uint64_t map_version, unsigned int shard, enum result reason);

/* The time at which the answer goes out, whatever is missing. */
uint64_t gather_answer_us(const struct gather *g);
/* Time that may be given to a holder, less the hop back; 0 when none is left. */
uint64_t gather_remaining_us(const struct gather *g, uint64_t now_us, uint64_t hop_us);
const struct coverage *gather_coverage(const struct gather *g);
const struct gather_params *gather_params(const struct gather *g);
/* Shards missing since their leaf no longer serves the pinned version. */
unsigned int gather_gone(const struct gather *g);
/*
 * All hits, highest score first, then by id, at most limit. New reference. The caller gets each
 * hit once.
 */
json_t *gather_merge(const struct gather *g, size_t limit);

G_END_DECLS

#endif
