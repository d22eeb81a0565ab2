#include "backoff.h"

#define DELAY_MIN_US 10000U
#define DELAY_MAX_US 2000000U
#define FAILURES_MAX 8 /* 10 ms x 2^8 exceeds DELAY_MAX_US */

struct backoff {
	uint64_t not_before_us;
	unsigned int max_connecting;
	unsigned int connecting;
	unsigned int failures; /* in a row, up to FAILURES_MAX */
};

struct backoff *backoff_create(unsigned int max_connecting)
{
	struct backoff *b = g_new0(struct backoff, 1);

	b->max_connecting = MAX(max_connecting, 1);
	return b;
}

void backoff_destroy(struct backoff *b)
{
	g_free(b);
}

uint64_t backoff_wait_us(const struct backoff *b, uint64_t now_us)
{
	return now_us < b->not_before_us ? b->not_before_us - now_us : 0;
}

bool backoff_attempt_is_allowed(const struct backoff *b, uint64_t now_us)
{
	unsigned int connecting_limit = b->failures > 0 ? 1 : b->max_connecting;

	return b->connecting < connecting_limit && now_us >= b->not_before_us;
}

void backoff_attempt_started(struct backoff *b)
{
	b->connecting++;
}

void backoff_attempt_succeeded(struct backoff *b)
{
	if (b->connecting > 0)
		b->connecting--;
	b->failures = 0;
	b->not_before_us = 0;
}

void backoff_attempt_failed(struct backoff *b, uint64_t now_us, GRand *rand)
{
	unsigned int window_us;

	if (b->connecting > 0)
		b->connecting--;
	/* Attempts started at the same time fail for the same cause and count as one failure. */
	if (b->failures > 0 && now_us < b->not_before_us)
		return;
	b->failures = MIN(b->failures + 1, FAILURES_MAX);
	window_us = MIN(DELAY_MIN_US << b->failures, DELAY_MAX_US);
	/*
	 * The delay is uniform from DELAY_MIN_US to window_us. With a narrow jitter around
	 * window_us, VMs that lost a data centre at the same time would also reconnect to it at the
	 * same time.
	 */
	b->not_before_us = now_us + (uint64_t)g_rand_int_range(rand, (gint32)DELAY_MIN_US,
							       (gint32)window_us + 1);
}
