#include "window.h"

#include <stdbool.h>

/* Twice the 2 slots of the smallest leaves, so that no call waits under the usual load. */
#define WINDOW_INITIAL_MIN 4.0
#define WINDOW_MIN 1.0
/* The window is at most twice the slots plus this: further calls would only queue at the leaf. */
#define WINDOW_EXTRA 2
/*
 * A call that takes a larger share of the useful time has waited too long at the leaf. The rest is
 * needed for the network, for the calls of other VMs and for merging the answers.
 */
#define LATE_SHARE 0.6
#define DECREASE_FACTOR 0.7

void window_init(struct window *w, unsigned int slots)
{
	w->size = MAX(WINDOW_INITIAL_MIN, slots);
	w->max = MAX(WINDOW_INITIAL_MIN, 2 * slots + WINDOW_EXTRA);
	w->shrunk_at_us = 0;
}

unsigned int window_size(const struct window *w)
{
	return (unsigned int)w->size;
}

/*
 * Reduces the size, unless the call was sent before the last reduction: such a call says nothing
 * about the present size.
 */
static void window_shrink(struct window *w, uint64_t sent_us, uint64_t now_us)
{
	if (sent_us < w->shrunk_at_us)
		return;
	w->size = MAX(WINDOW_MIN, w->size * DECREASE_FACTOR);
	w->shrunk_at_us = now_us;
}

void window_call_ended(struct window *w, uint64_t sent_us, uint64_t useful_us,
		       unsigned int in_flight, uint64_t now_us)
{
	bool is_late = useful_us > 0 && (double)(now_us - sent_us) > LATE_SHARE * (double)useful_us;

	if (is_late)
		window_shrink(w, sent_us, now_us);
	else if (in_flight >= window_size(w))
		w->size = MIN(w->max, w->size + 1 / w->size);
}

void window_call_refused(struct window *w, uint64_t sent_us, uint64_t now_us)
{
	window_shrink(w, sent_us, now_us);
}
