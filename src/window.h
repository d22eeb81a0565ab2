/*
 * How many calls this VM keeps in flight to one leaf.
 *
 * Answers the load in which one leaf is left to serve a shard, since the others have crashed or are
 * slow, and gets more calls than it can run: with its queue full every answer is too late, with a
 * short queue most of those that it takes are in time. Each VM finds its size from the latencies
 * that it sees; the calls beyond wait here, where they can still go elsewhere. Times are
 * microseconds; the module has no clock.
 */
#ifndef APRICOT_WINDOW_H
#define APRICOT_WINDOW_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Embedded by its owner; holds no memory of its own. */
struct window {
	double size;
	double max;
	uint64_t cut_us; /* when it was last made smaller */
};

/* slots: calls that the leaf runs at once. */
void window_init(struct window *w, unsigned int slots);

/* Calls that may be in flight at once, at least 1. */
unsigned int window_size(const struct window *w);

/*
 * A call that was sent at sent_us has ended now, with an answer or without one. useful_us: time
 * from the start of its request within which the answer is worth waiting for; 0: any.
 * in_flight: calls in flight before it ended.
 */
void window_call_ended(struct window *w, uint64_t sent_us, uint64_t useful_us,
		       unsigned int in_flight, uint64_t now_us);
/* The leaf has refused a call since it is full. */
void window_call_refused(struct window *w, uint64_t sent_us, uint64_t now_us);

G_END_DECLS

#endif
