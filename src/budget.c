#include "budget.h"

#include <math.h>
#include <stdint.h>

/* Tokens are counted in millionths: a sum of doubles such as 0.05 can fall short of 1. */
#define MICRO_PER_TOKEN INT64_C(1000000)

struct budget {
	int64_t ratio_micro;
	int64_t burst_micro;
	int64_t tokens_micro;
};

struct budget *budget_create(double ratio, double burst)
{
	struct budget *b = g_new0(struct budget, 1);

	b->ratio_micro = llround(ratio * (double)MICRO_PER_TOKEN);
	b->burst_micro = llround(burst * (double)MICRO_PER_TOKEN);
	b->tokens_micro = b->burst_micro;
	return b;
}

void budget_destroy(struct budget *b)
{
	g_free(b);
}

void budget_earn(struct budget *b)
{
	b->tokens_micro = MIN(b->tokens_micro + b->ratio_micro, b->burst_micro);
}

bool budget_spend(struct budget *b)
{
	if (b->tokens_micro < MICRO_PER_TOKEN)
		return false;
	b->tokens_micro -= MICRO_PER_TOKEN;
	return true;
}
