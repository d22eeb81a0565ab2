/*
 * Limits how many calls this VM has in flight to one leaf (additive increase, multiplicative
 * decrease).
 *
 * If only one leaf is left to serve a shard, because the others have crashed or are slow, it gets
 * more calls than it can run. While its queue is full every answer is too late; with a short queue
 * most of the calls that it accepts are answered in time. Each VM derives the size of its window
 * from the latencies that it observes. Further calls wait at the VM, where they can still be moved
 * to another leaf. Times are in microseconds; callers pass the current time.
 */
#ifndef APRICOT_WINDOW_H
#define APRICOT_WINDOW_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Embedded in another struct; needs no cleanup. */
struct window {
	double size; /* current limit; grows by fractions */
	double max; /* upper bound of size */
	uint64_t shrunk_at_us; /* when size was last reduced */
};

/* slots: calls that the leaf runs concurrently. */
void window_init(struct window *w, unsigned int slots);

/* Maximum number of calls in flight, at least 1. */
unsigned int window_size(const struct window *w);

/*
 * Reports that a call sent at sent_us has ended now, with an answer or without one. useful_us is
 * the time from the start of its request within which an answer is useful; 0: no limit. in_flight
 * is the number of calls in flight before this one ended.
 */
void window_call_ended(struct window *w, uint64_t sent_us, uint64_t useful_us,
		       unsigned int in_flight, uint64_t now_us);
/* Reports that the leaf has refused a call sent at sent_us because it is full. */
void window_call_refused(struct window *w, uint64_t sent_us, uint64_t now_us);

G_END_DECLS

#endif
