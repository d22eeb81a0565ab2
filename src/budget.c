#include "budget.h"

#include <math.h>
#include <stdint.h>

/* Whole micro-tokens: sums of a double ratio such as 0.05 fall short of 1. */
#define TOKEN INT64_C(1000000)

struct budget {
	int64_t ratio;
	int64_t burst;
	int64_t tokens;
};

struct budget *budget_create(double ratio, double burst)
{
	struct budget *b = g_new0(struct budget, 1);

	b->ratio = llround(ratio * (double)TOKEN);
	b->burst = llround(burst * (double)TOKEN);
	b->tokens = b->burst;
	return b;
}

void budget_destroy(struct budget *b)
{
	g_free(b);
}

void budget_earn(struct budget *b)
{
	b->tokens = MIN(b->tokens + b->ratio, b->burst);
}

bool budget_spend(struct budget *b)
{
	if (b->tokens < TOKEN)
		return false;
	b->tokens -= TOKEN;
	return true;
}
