#include "ratecap.h"

#include <math.h>

/* Calls that may be sent at once, beside the first, in seconds of the rate. */
#define BURST_S 0.25
/*
 * Below this rate a whole token lasts for TOKEN_S only. Else dozens of VMs with a small share would
 * each have one at the same time.
 */
#define KEPT_MIN_PER_S 0.6
#define TOKEN_S 1.0
/*
 * Least rate of all VMs together: a leaf is called from time to time, since only an answer tells
 * that its limit has ended.
 */
#define LIMIT_MIN_PER_S 0.2

static double tokens_now(const struct ratecap *c, uint64_t now_us)
{
	double age_s = now_us > c->at_us ? (double)(now_us - c->at_us) / 1e6 : 0;
	double tokens = c->tokens + c->rate_per_s * age_s;

	if (c->rate_per_s >= KEPT_MIN_PER_S)
		return MIN(1 + BURST_S * c->rate_per_s, tokens);
	/* Fills up to a whole token, lasts for TOKEN_S, and starts again. */
	return MIN(1, fmod(tokens, 1 + TOKEN_S * c->rate_per_s));
}

void ratecap_limit(struct ratecap *c, double limit_per_s, double share, GRand *rand,
		   uint64_t now_us)
{
	double rate_per_s = MAX(limit_per_s, LIMIT_MIN_PER_S) * share;

	if (c->is_limited && c->rate_per_s == rate_per_s)
		return;
	c->tokens = c->is_limited ? tokens_now(c, now_us) : g_rand_double(rand);
	c->at_us = now_us;
	c->is_limited = true;
	c->rate_per_s = rate_per_s;
}

void ratecap_lift(struct ratecap *c)
{
	c->is_limited = false;
}

uint64_t ratecap_wait_us(const struct ratecap *c, unsigned int n_waiting, uint64_t now_us)
{
	double missing = c->is_limited ? 1 + n_waiting - tokens_now(c, now_us) : 0;

	return missing > 0 ? (uint64_t)(missing / c->rate_per_s * 1e6) + 1 : 0;
}

void ratecap_take(struct ratecap *c, uint64_t now_us)
{
	if (!c->is_limited)
		return;
	c->tokens = tokens_now(c, now_us) - 1;
	c->at_us = now_us;
}
