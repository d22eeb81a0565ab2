#include "backlog.h"

/* The leaves count as overloaded for this long after a refusal. */
#define OVERLOAD_US 500000
/* Share of the useful time that counts while they are overloaded. */
#define OVERLOAD_USEFUL_SHARE 0.6
/* The same for requests that would be late. New ones keep the leaves at the share above. */
#define OVERLOAD_LATE_SHARE 0.3

uint64_t backlog_answer_us(const struct backlog *b)
{
	if (b->n_sent + b->n_waiting == 0)
		return 0;
	if (b->n_waiting == 0 && b->n_sent < b->window)
		return (uint64_t)b->service_us;
	return (uint64_t)(b->service_us * (1 + (b->n_waiting + 1.0) / b->window));
}

bool backlog_is_overloaded(const struct backlog_gate *g, uint64_t now_us)
{
	return g->n_refused > 0 && now_us - g->refused_at_us < OVERLOAD_US;
}

uint64_t backlog_useful_us(const struct backlog_gate *g, uint64_t useful_us, uint64_t now_us)
{
	if (!backlog_is_overloaded(g, now_us))
		return useful_us;
	return (uint64_t)(OVERLOAD_USEFUL_SHARE * (double)useful_us);
}

uint64_t backlog_repeat_useful_us(const struct backlog_gate *g, uint64_t useful_us,
				  uint64_t left_us, uint64_t now_us)
{
	uint64_t late_us = (uint64_t)(OVERLOAD_LATE_SHARE * (double)useful_us);

	if (!backlog_is_overloaded(g, now_us))
		return useful_us;
	return MAX(late_us, MIN(left_us, backlog_useful_us(g, useful_us, now_us)));
}

bool backlog_admit(struct backlog_gate *g, unsigned int n_in_time, unsigned int n_shards,
		   double min_share, uint64_t now_us)
{
	if (n_in_time > 0 && n_in_time >= min_share * n_shards)
		return true;
	backlog_refused(g, now_us);
	return false;
}

void backlog_refused(struct backlog_gate *g, uint64_t now_us)
{
	g->refused_at_us = now_us;
	g->n_refused++;
}

bool backlog_allows_hedge(const struct backlog_gate *g, const struct backlog *b, uint64_t now_us)
{
	return !backlog_is_overloaded(g, now_us) ||
	       b->n_sent + b->n_waiting < MAX(1, b->window / 2);
}
