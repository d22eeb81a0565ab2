/* What this node has seen of one leaf. Times are microseconds. */
#ifndef APRICOT_LEAFSTAT_H
#define APRICOT_LEAFSTAT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct leafstat;

enum leafstat_event {
	LEAFSTAT_OK,
	LEAFSTAT_REFUSED,
	LEAFSTAT_TIMEOUT,
	LEAFSTAT_CANCELLED,
};

/* The caller owns it. A created leaf ramps up like a restarted one. */
struct leafstat *leafstat_create(uint64_t now_us);
void leafstat_destroy(struct leafstat *s);

/* Every start is followed by exactly one finish. */
void leafstat_start(struct leafstat *s, uint64_t now_us);

/* latency_us: since the start of the call; for a cancelled call a lower bound of its latency. */
void leafstat_finish(struct leafstat *s, enum leafstat_event ev, uint64_t latency_us,
		     uint64_t now_us);

/* A new incarnation: forgets latency, penalty and refusal, and ramps up again. */
void leafstat_restart(struct leafstat *s, uint64_t now_us);

/* EWMA latency x (1 + penalty), in microseconds. */
double leafstat_latency_us(const struct leafstat *s, uint64_t now_us);

/* leafstat_latency_us() x (outstanding + 1). */
double leafstat_cost(const struct leafstat *s, uint64_t now_us);

/* Share of the full load that the leaf should get: 0.05 just after a start, 1 after 5 s. */
double leafstat_ramp(const struct leafstat *s, uint64_t now_us);

/*
 * Refused a call within about one service time (1 to 100 ms), and answered none since. Doubles with
 * each further refusal, up to 1 s.
 */
bool leafstat_is_refusing(const struct leafstat *s, uint64_t now_us);

/* Time since the last call that was started or finished on the leaf. */
uint64_t leafstat_idle_us(const struct leafstat *s, uint64_t now_us);

/* Estimated median latency of the answered calls; 0 without any. */
uint64_t leafstat_median_us(const struct leafstat *s);

unsigned int leafstat_outstanding(const struct leafstat *s);

G_END_DECLS

#endif
