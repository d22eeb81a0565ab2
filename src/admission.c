#include "admission.h"

#define LIMIT_INITIAL 32.0
#define LIMIT_MAX 1024.0
#define LIMIT_MIN 2.0
#define DECREASE_FACTOR 0.8
/* Searches in flight together fail for the same cause, so they lower the limit only once. */
#define DECREASE_INTERVAL_US 100000
/*
 * Part of the limit that searches of lower classes (1 and above) may use, so that a burst of them
 * leaves room for class 0.
 */
#define LOWER_CLASS_SHARE 0.75

struct admission {
	double limit;
	unsigned int in_use;
	uint64_t last_decrease_us; /* valid only if was_decreased */
	bool was_decreased;
};

struct admission *admission_create(void)
{
	struct admission *a = g_new0(struct admission, 1);

	a->limit = LIMIT_INITIAL;
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

static void admission_limit_decrease(struct admission *a, uint64_t now_us)
{
	if (a->was_decreased && now_us < a->last_decrease_us + DECREASE_INTERVAL_US)
		return;
	a->limit = MAX(LIMIT_MIN, a->limit * DECREASE_FACTOR);
	a->last_decrease_us = now_us;
	a->was_decreased = true;
}

void admission_finish(struct admission *a, enum admission_event event, uint64_t now_us)
{
	/* A complete search shows spare capacity only if the lower classes' share was in use. */
	bool lower_class_share_is_full = (double)a->in_use + 1 > a->limit * LOWER_CLASS_SHARE;

	a->in_use--;
	if (event == ADMISSION_OVERLOADED)
		admission_limit_decrease(a, now_us);
	else if (event == ADMISSION_COMPLETE && lower_class_share_is_full)
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
