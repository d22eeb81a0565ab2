#include "leafload.h"

/* Weight of a new report in the usual speed; the same as that of a latency in leafset.c. */
#define WORK_EWMA_WEIGHT 0.2
/* The calls of a report have ended, and others have begun, after this many usual latencies. */
#define OTHERS_LIFE_CALLS 3.0
/*
 * The usual latency grows with the queue, and then old reports moved all VMs at once: in the model
 * of bench/spread.c (85% load, reports 0.1 s old) the p99 was 292 ms instead of 66 ms.
 */
#define OTHERS_LIFE_MAX_US 100000.0
/*
 * A neighbour slows a leaf for 400 to 600 ms, and the fourth figure changes many times a second: a
 * report older than this says nothing about the present speed.
 */
#define WORK_LIFE_US 200000.0

/* Falls from 1 for a new report to 0 for one of the age life_us. */
static double weight_at(const struct leafload *l, double life_us, uint64_t now_us)
{
	double age_us = now_us > l->reported_at_us ? (double)(now_us - l->reported_at_us) : 0;

	if (l->n_reports == 0 || age_us >= life_us)
		return 0;
	return 1 - age_us / life_us;
}

void leafload_note(struct leafload *l, const struct leaf_load *load, unsigned int n_own,
		   uint64_t now_us)
{
	unsigned int n_all = load->n_running + load->n_waiting;

	l->others_per_slot = n_all > n_own ? (double)(n_all - n_own) / load->slots : 0;
	l->work_pct = load->work_pct;
	if (l->n_reports++ == 0)
		l->usual_work_pct = load->work_pct;
	else
		l->usual_work_pct += WORK_EWMA_WEIGHT * (load->work_pct - l->usual_work_pct);
	l->reported_at_us = now_us;
}

double leafload_others_per_slot(const struct leafload *l, double usual_us, uint64_t now_us)
{
	double life_us = MIN(OTHERS_LIFE_CALLS * usual_us, OTHERS_LIFE_MAX_US);

	return l->others_per_slot * weight_at(l, life_us, now_us);
}

double leafload_work_factor(const struct leafload *l, uint64_t now_us)
{
	double weight = weight_at(l, WORK_LIFE_US, now_us);

	if (weight <= 0)
		return 1;
	return 1 + weight * (l->work_pct / l->usual_work_pct - 1);
}
