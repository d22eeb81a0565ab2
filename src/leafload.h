/*
 * What a leaf last said of its load, and what that adds to its expected time now.
 *
 * Answers a leaf that is busy with the calls of other VMs, or slowed by a neighbour on its machine
 * for a fraction of a second: this VM sees only its own calls, and its average of the leaf's
 * latencies follows too late. A report is old when it arrives, so it counts less with its age.
 *
 * Times are in microseconds; callers pass the current time.
 */
#ifndef APRICOT_LEAFLOAD_H
#define APRICOT_LEAFLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* What a leaf says of its load. Other callers' requests are included. */
struct leaf_load {
	unsigned int n_running;
	unsigned int n_waiting;
	unsigned int slots; /* at least 1 */
	unsigned int work_pct; /* how long work takes on its machine now; 100: as usual */
};

/* Embedded in another struct, all zero at first: no report. Needs no cleanup. */
struct leafload {
	uint64_t n_reports;
	uint64_t reported_at_us; /* time of the last report */
	double others_per_slot; /* calls of other VMs in it */
	double work_pct; /* in it */
	double usual_work_pct; /* moving average over the reports */
};

/* n_own: this VM's calls that the leaf had at that moment. */
void leafload_note(struct leafload *l, const struct leaf_load *load, unsigned int n_own,
		   uint64_t now_us);
/*
 * Calls of other VMs for each slot of the leaf; 0 without a report. usual_us: usual latency of the
 * leaf.
 */
double leafload_others_per_slot(const struct leafload *l, double usual_us, uint64_t now_us);
/*
 * How much longer work takes now than on average over the reports; 1 without a report. The
 * average of the leaf's latencies contains the usual speed already.
 */
double leafload_work_factor(const struct leafload *l, uint64_t now_us);

G_END_DECLS

#endif
