#include "limiter.h"

/*
 * The limit rises by one slot after 16 x limit answered calls. If another VM uses that slot, at
 * most about 6% of the calls are refused. A leaf that takes 6 ms per call is tried with one more
 * call within 100 ms.
 */
#define INCREASE 0.0625
#define DECREASE_FACTOR 0.7
/* Calls in flight together fail for the same cause, so they lower the limit only once. */
#define DECREASE_INTERVAL_US 100000

struct limiter {
	double limit;
	unsigned int slots;
	unsigned int in_use;
	uint64_t last_decrease_us; /* valid only if was_decreased */
	bool was_decreased;
};

struct limiter *limiter_create(unsigned int slots)
{
	struct limiter *l = g_new0(struct limiter, 1);

	l->slots = MAX(slots, 1);
	l->limit = (double)l->slots;
	return l;
}

void limiter_destroy(struct limiter *l)
{
	g_free(l);
}

unsigned int limiter_limit(const struct limiter *l)
{
	return (unsigned int)l->limit;
}

unsigned int limiter_in_use(const struct limiter *l)
{
	return l->in_use;
}

bool limiter_admit(struct limiter *l)
{
	if (l->in_use >= limiter_limit(l))
		return false;
	l->in_use++;
	return true;
}

static void limiter_decrease(struct limiter *l, uint64_t now_us)
{
	if (l->was_decreased && now_us < l->last_decrease_us + DECREASE_INTERVAL_US)
		return;
	l->limit = MAX(l->limit * DECREASE_FACTOR, 1.0);
	l->last_decrease_us = now_us;
	l->was_decreased = true;
}

void limiter_release(struct limiter *l, enum leafstat_outcome outcome, uint64_t now_us)
{
	bool limit_was_reached = l->in_use >= limiter_limit(l);

	if (l->in_use > 0)
		l->in_use--;
	switch (outcome) {
	case LEAFSTAT_OK:
		/* An answered call shows spare capacity only if the limit was reached. */
		if (limit_was_reached)
			l->limit = MIN(l->limit + INCREASE / l->limit, (double)l->slots);
		break;
	case LEAFSTAT_REFUSED:
	case LEAFSTAT_TIMEOUT:
		limiter_decrease(l, now_us);
		break;
	case LEAFSTAT_CANCELLED:
		break;
	}
}

void limiter_slots_set(struct limiter *l, unsigned int slots)
{
	bool was_at_maximum = l->limit >= (double)l->slots;

	l->slots = MAX(slots, 1);
	if (was_at_maximum || l->limit > (double)l->slots)
		l->limit = (double)l->slots;
}
