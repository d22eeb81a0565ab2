#include "admission.h"

#define LIMIT_START 32.0
#define LIMIT_MAX 1024.0
#define LIMIT_MIN 2.0
/* Searches in flight together fail for one cause and lower the limit once. */
#define DECREASE 0.8
#define DECREASE_GAP_US 100000
/* Share of the limit for classes below the first, which would otherwise fill it in a burst. */
#define LOWER_CLASS_SHARE 0.75

struct admission {
	double limit;
	unsigned int in_use;
	uint64_t decreased_us;
	bool is_decreased;
};

struct admission *admission_create(void)
{
	struct admission *a = g_new0(struct admission, 1);

	a->limit = LIMIT_START;
	return a;
}

void admission_destroy(struct admission *a)
{
	g_free(a);
}

bool admission_admit(struct admission *a, unsigned int priority)
{
	double share = priority == 0 ? a->limit : MAX(1.0, a->limit * LOWER_CLASS_SHARE);

	if ((double)a->in_use + 1 > share)
		return false;
	a->in_use++;
	return true;
}

static void limit_decrease(struct admission *a, uint64_t now_us)
{
	if (a->is_decreased && now_us < a->decreased_us + DECREASE_GAP_US)
		return;
	a->limit = MAX(LIMIT_MIN, a->limit * DECREASE);
	a->decreased_us = now_us;
	a->is_decreased = true;
}

void admission_finish(struct admission *a, enum admission_event event, uint64_t now_us)
{
	/* A complete search proves room for more only when the lower classes' share was in use. */
	bool is_full = (double)a->in_use + 1 > a->limit * LOWER_CLASS_SHARE;

	a->in_use--;
	if (event == ADMISSION_OVERLOADED)
		limit_decrease(a, now_us);
	else if (event == ADMISSION_COMPLETE && is_full)
		a->limit = MIN(LIMIT_MAX, a->limit + 1 / a->limit);
}

unsigned int admission_limit(const struct admission *a)
{
	return (unsigned int)a->limit;
}

unsigned int admission_in_use(const struct admission *a)
{
	return a->in_use;
}
