/*
 * Keeps the leaves of a service evenly loaded although what a VM knows of them is old.
 *
 * Answers many VMs that choose the least loaded leaf at the same moment, from knowledge that is
 * 0.1 to 1 s old: leaves are overloaded in turns while others are idle. A VM that finds a service
 * unevenly loaded chooses the better of two random leaves, so that old knowledge turns only a part
 * of the calls. It measures the load by what the leaves tell in answers; a service whose leaves
 * tell nothing is never spread.
 *
 * For any service a VM draws among the leaves that it cannot tell apart. This answers many VMs that
 * send nearly all calls to a few of many equal leaves, because these were a little faster the last
 * time.
 *
 * Times are in microseconds; callers pass the current time and the random source.
 */
#ifndef APRICOT_SPREAD_H
#define APRICOT_SPREAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* What this VM has seen of one leaf. Embedded, all zero at first; needs no cleanup. */
struct spread_meter {
	double load_sum; /* of the present window, calls for each slot */
	unsigned int n_loads;
	unsigned int n_calls; /* this VM's calls, in the present window */
	double load; /* mean of the last window with a report */
	uint64_t load_at_us; /* end of that window; 0: none */
	double calls; /* this VM's calls in a window, moving average */
};

/* One service. Embedded, all zero at first; needs no cleanup. */
struct spread {
	bool is_in_force;
	unsigned int n_even_windows; /* in a row */
	double load_uneven; /* greatest over mean load of the leaves, moving average; 0: unknown */
	double calls_uneven; /* greatest over mean of this VM's calls to them; 0: no calls */
};

struct spread_candidate {
	double cost_us;
	double calls_per_slot; /* open calls of this VM */
	bool is_near; /* in the data centre of this VM */
};

/* Period of spread_window_end(). */
#define SPREAD_WINDOW_US 500000

/* The leaf has told its load in an answer. */
void spread_load_add(struct spread_meter *m, double calls_per_slot);
/* This VM has made a call to the leaf. */
void spread_call_add(struct spread_meter *m);
/*
 * Ends a window of the service with these leaves. True if is_in_force has changed. meters[] are
 * those of the leaves that may be called.
 */
bool spread_window_end(struct spread *s, struct spread_meter *const *meters, unsigned int n,
		       uint64_t now_us);
/*
 * The index of a random one of the candidates that are as good as the best one: they have no more
 * open calls, and their cost exceeds its cost by no more than what it varies. best: its index.
 */
unsigned int spread_draw(const struct spread_candidate *candidates, unsigned int n,
			 unsigned int best, GRand *rand);
/* The index of the leaf for a call; n is at least 1. */
unsigned int spread_choose(const struct spread_candidate *candidates, unsigned int n, GRand *rand);

G_END_DECLS

#endif
