/* Which shards of one pinned map a search's result includes, and why the others are missing. */
#ifndef APRICOT_COVERAGE_H
#define APRICOT_COVERAGE_H

#include "result.h"

#include <stdbool.h>

G_BEGIN_DECLS

struct coverage;

/*
 * All n_shards are missing at first, with the reason RESULT_LEAF_TIMEOUT. The caller owns the
 * returned object.
 */
struct coverage *coverage_create(unsigned int n_shards);
void coverage_destroy(struct coverage *c);

/* Includes a shard. Returns false if it is out of range or was included before. */
bool coverage_include(struct coverage *c, unsigned int shard);

/*
 * Records why a shard is missing; an included shard stays included. Returns false if the shard is
 * out of range or reason is RESULT_OK.
 */
bool coverage_missing_set(struct coverage *c, unsigned int shard, enum result reason);

bool coverage_is_complete(const struct coverage *c);
bool coverage_is_included(const struct coverage *c, unsigned int shard);

/*
 * Why the shard is missing: RESULT_OK for an included shard, RESULT_WRONG_SHARD if it is out of
 * range.
 */
enum result coverage_missing_reason(const struct coverage *c, unsigned int shard);

/* Number of included shards, and of all shards. */
unsigned int coverage_included_count(const struct coverage *c);
unsigned int coverage_shard_count(const struct coverage *c);

G_END_DECLS

#endif
