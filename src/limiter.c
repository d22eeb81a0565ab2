#include "limiter.h"

/*
 * One more slot after 16 x limit answers: where another node uses the slot, at most about 6% of the
 * calls are refused, and a leaf with 6 ms per call is tried again within 100 ms.
 */
#define INCREASE 0.0625
#define DECREASE 0.7
/* Calls that were in flight together fail for one cause and lower the limit once. */
#define DECREASE_GAP_US 100000

struct limiter {
	double limit;
	unsigned int slots;
	unsigned int in_use;
	uint64_t decreased_us;
	bool is_decreased;
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
	if (l->is_decreased && now_us < l->decreased_us + DECREASE_GAP_US)
		return;
	l->limit = MAX(l->limit * DECREASE, 1.0);
	l->decreased_us = now_us;
	l->is_decreased = true;
}

void limiter_release(struct limiter *l, enum leafstat_event ev, uint64_t now_us)
{
	bool is_full = l->in_use >= limiter_limit(l);

	if (l->in_use > 0)
		l->in_use--;
	switch (ev) {
	case LEAFSTAT_OK:
		/* An answer proves room for more only if the limit was in use. */
		if (is_full)
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

void limiter_resize(struct limiter *l, unsigned int slots)
{
	bool was_full_size = l->limit >= (double)l->slots;

	l->slots = MAX(slots, 1);
	if (was_full_size || l->limit > (double)l->slots)
		l->limit = (double)l->slots;
}
