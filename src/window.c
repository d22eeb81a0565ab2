#include "window.h"

#include <stdbool.h>

/* Twice the slots of the smallest leaves (2): below it no call ever waits in the usual load. */
#define WINDOW_FIRST 4.0
#define WINDOW_MIN 1.0
/* Beyond twice its slots and a few calls more only queue at the leaf. */
#define WINDOW_EXTRA 2
/* A call that takes a larger part of the useful time waits too long at the leaf: the rest is for
 * the way, for calls of other VMs and for the merge. */
#define LATE_PART 0.6
#define CUT_FACTOR 0.7

void window_init(struct window *w, unsigned int slots)
{
	w->size = MAX(WINDOW_FIRST, slots);
	w->max = MAX(WINDOW_FIRST, 2 * slots + WINDOW_EXTRA);
	w->cut_us = 0;
}

unsigned int window_size(const struct window *w)
{
	return (unsigned int)w->size;
}

/* Calls sent before the last cut say nothing about the new size. */
static void window_cut(struct window *w, uint64_t sent_us, uint64_t now_us)
{
	if (sent_us < w->cut_us)
		return;
	w->size = MAX(WINDOW_MIN, w->size * CUT_FACTOR);
	w->cut_us = now_us;
}

void window_call_ended(struct window *w, uint64_t sent_us, uint64_t useful_us,
		       unsigned int in_flight, uint64_t now_us)
{
	bool is_late = useful_us > 0 && (double)(now_us - sent_us) > LATE_PART * (double)useful_us;

	if (is_late)
		window_cut(w, sent_us, now_us);
	else if (in_flight >= window_size(w))
		w->size = MIN(w->max, w->size + 1 / w->size);
}

void window_call_refused(struct window *w, uint64_t sent_us, uint64_t now_us)
{
	window_cut(w, sent_us, now_us);
}
