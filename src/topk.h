/*
 * The greatest records of many parts. A record is 16 opaque bytes, compared byte by byte; equal
 * records all count.
 */
#ifndef APRICOT_TOPK_H
#define APRICOT_TOPK_H

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

#define TOPK_RECORD_BYTES 16

struct topk;

/* k: records kept at most. The caller owns the result; destroy accepts NULL. */
struct topk *topk_create(unsigned int k);
void topk_destroy(struct topk *t);

/* Adds the records of one part, in any order. A remainder shorter than a record is dropped. */
void topk_add(struct topk *t, const char *part, size_t n);

/* The kept records, greatest first; valid until the next call. */
const char *topk_records(const struct topk *t, size_t *n);

G_END_DECLS

#endif
