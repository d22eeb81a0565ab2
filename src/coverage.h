/* Which shards of one pinned map an answer includes, and why the others are missing. */
#ifndef APRICOT_COVERAGE_H
#define APRICOT_COVERAGE_H

#include "result.h"

#include <stdbool.h>

G_BEGIN_DECLS

struct coverage;

/* All n_shards start as missing with RESULT_LEAF_TIMEOUT. */
struct coverage *coverage_create(unsigned int n_shards);
void coverage_destroy(struct coverage *c);

/* False when the shard is out of range or included already. */
bool coverage_add(struct coverage *c, unsigned int shard);
/* Notes why a shard is missing; an included shard stays included. False when out of range. */
bool coverage_fail(struct coverage *c, unsigned int shard, enum result reason);

bool coverage_is_complete(const struct coverage *c);
bool coverage_is_included(const struct coverage *c, unsigned int shard);
/* RESULT_OK for an included shard. */
enum result coverage_reason(const struct coverage *c, unsigned int shard);
unsigned int coverage_included(const struct coverage *c);
unsigned int coverage_shards(const struct coverage *c);

G_END_DECLS

#endif
