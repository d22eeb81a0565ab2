/*
 * Statistics that this VM keeps of its calls to one leaf: latency, penalty for failures, refusals
 * and the ramp-up after a start. Times are in microseconds.
 */
#ifndef APRICOT_LEAFSTAT_H
#define APRICOT_LEAFSTAT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct leafstat;

/* How a call ended. */
enum leafstat_outcome {
	LEAFSTAT_OK,
	LEAFSTAT_REFUSED,
	LEAFSTAT_TIMEOUT,
	LEAFSTAT_CANCELLED,
};

/*
 * The calling function owns the result; destroy accepts NULL. A new leaf ramps up like a restarted
 * one.
 */
struct leafstat *leafstat_create(uint64_t now_us);
void leafstat_destroy(struct leafstat *s);

/* Counts a call as outstanding. Every start is followed by exactly one leafstat_finish(). */
void leafstat_start(struct leafstat *s, uint64_t now_us);

/* latency_us: time since the call started; for a cancelled call a lower bound of its latency. */
void leafstat_finish(struct leafstat *s, enum leafstat_outcome outcome, uint64_t latency_us,
		     uint64_t now_us);

/*
 * The leaf has a new incarnation: resets latency, penalty and refusals and starts a new ramp-up.
 * Outstanding calls stay counted.
 */
void leafstat_restart(struct leafstat *s, uint64_t now_us);

/*
 * Exponentially weighted moving average (EWMA) of the latency, multiplied by 1 + penalty, in
 * microseconds.
 */
double leafstat_latency_us(const struct leafstat *s, uint64_t now_us);

/* leafstat_latency_us() x (outstanding calls + 1), in microseconds. */
double leafstat_cost(const struct leafstat *s, uint64_t now_us);

/* Share of the full load that the leaf should get: rises from 0.05 to 1 within 5 s of its start. */
double leafstat_ramp(const struct leafstat *s, uint64_t now_us);

/*
 * True if the leaf has refused a call within the last backoff time and answered none since. The
 * backoff time is the EWMA of the latency, at least 1 ms and at most 100 ms, and doubles with each
 * further refusal, up to 1 s. Refusals within one backoff time count as one.
 */
bool leafstat_is_refusing(const struct leafstat *s, uint64_t now_us);

/*
 * Time since a call to the leaf last started or finished, or since the leaf was created or
 * restarted.
 */
uint64_t leafstat_idle_us(const struct leafstat *s, uint64_t now_us);

/* Estimated median latency of the answered calls; 0 if there are none. */
uint64_t leafstat_median_us(const struct leafstat *s);

unsigned int leafstat_outstanding(const struct leafstat *s);

G_END_DECLS

#endif
