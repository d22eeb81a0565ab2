/*
 * Exponential backoff with jitter between attempts to connect to one leaf. All times are in
 * microseconds.
 */
#ifndef APRICOT_BACKOFF_H
#define APRICOT_BACKOFF_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct backoff;

/*
 * max_connecting: the most attempts in progress at once. After a failure only one may be in
 * progress until an attempt succeeds. The caller owns the returned object.
 */
struct backoff *backoff_create(unsigned int max_connecting);
void backoff_destroy(struct backoff *b);

/* True if an attempt may be started now. */
bool backoff_attempt_is_allowed(const struct backoff *b, uint64_t now_us);

/*
 * Time until the end of the delay, for a timer. Also 0 if the delay is over but the attempts in
 * progress do not allow another one.
 */
uint64_t backoff_wait_us(const struct backoff *b, uint64_t now_us);

/*
 * Reports the start of an attempt. Each must be followed by exactly one backoff_attempt_succeeded()
 * or backoff_attempt_failed().
 */
void backoff_attempt_started(struct backoff *b);
void backoff_attempt_succeeded(struct backoff *b);

/* Each VM passes a generator with its own seed, so that the attempts of many VMs spread out. */
void backoff_attempt_failed(struct backoff *b, uint64_t now_us, GRand *rand);

G_END_DECLS

#endif
