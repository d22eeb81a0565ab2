/*
 * Keeps the k greatest records of the partial results that are added. A record is 16 opaque bytes,
 * compared like memcmp(). Equal records are all kept.
 */
#ifndef APRICOT_TOPK_H
#define APRICOT_TOPK_H

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

#define TOPK_RECORD_BYTES 16

struct topk;

/* k: maximum number of records kept. The caller owns the result; destroy accepts NULL. */
struct topk *topk_create(unsigned int k);
void topk_destroy(struct topk *t);

/*
 * Adds the records of one partial result of n bytes, in any order. A remainder shorter than a
 * record is ignored.
 */
void topk_add(struct topk *t, const char *part, size_t n);

/* Bytes allocated for the records. */
size_t topk_held_bytes(const struct topk *t);

/* The kept records, greatest first, valid until the next call; *n is set to their size in bytes. */
const char *topk_records(const struct topk *t, size_t *n);

G_END_DECLS

#endif
