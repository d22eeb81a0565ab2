/* When the next connection to a leaf may be opened. Times are microseconds. */
#ifndef APRICOT_BACKOFF_H
#define APRICOT_BACKOFF_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct backoff;

/* max_connecting: attempts in progress at once; one while the last attempt has failed. */
struct backoff *backoff_create(unsigned int max_connecting);
void backoff_destroy(struct backoff *b);

/* True when an attempt may be started now. */
bool backoff_ready(const struct backoff *b, uint64_t now_us);

/* Time until an attempt is allowed, for a timer; 0 also when only the cap prevents one. */
uint64_t backoff_wait_us(const struct backoff *b, uint64_t now_us);

/* Every start is followed by exactly one backoff_ok() or backoff_fail(). */
void backoff_start(struct backoff *b);
void backoff_ok(struct backoff *b);

/* Each node passes a generator of its own seed, so that the attempts of many nodes spread out. */
void backoff_fail(struct backoff *b, uint64_t now_us, GRand *rand);

G_END_DECLS

#endif
