/* Log-linear histogram of times in microseconds. */
#ifndef APRICOT_HIST_H
#define APRICOT_HIST_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

struct hist;

/* The caller owns the result; destroy accepts NULL. */
struct hist *hist_create(void);
void hist_destroy(struct hist *h);

/* Values of 2^36 us (19 hours) and above are counted as 2^36 - 1. */
void hist_add(struct hist *h, uint64_t value_us);

/*
 * Upper bound of the bucket that holds the q-quantile (0 <= q <= 1), in microseconds. It is at
 * least the exact value and at most 1/16 above it; 0 for an empty histogram. Takes at most 49
 * steps.
 */
uint64_t hist_quantile(const struct hist *h, double q);

/* Number of values counted. */
uint64_t hist_count(const struct hist *h);

/* Halves the count of each bucket, rounding down, so that newer values weigh more. */
void hist_decay(struct hist *h);

G_END_DECLS

#endif
