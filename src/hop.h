/*
 * Estimates for each other VM the time that a call takes in addition to its service time there: the
 * round trip. The estimate comes from this VM's own calls. Times are in microseconds.
 */
#ifndef APRICOT_HOP_H
#define APRICOT_HOP_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

struct hop_table;

/* The caller owns the result; destroy accepts NULL. */
struct hop_table *hop_table_create(void);
void hop_table_destroy(struct hop_table *t);
/* total_us: time from sending the call to its reply; served_us: service time at the other VM. */
void hop_observe(struct hop_table *t, const char *address, uint64_t total_us, uint64_t served_us);
/* Expected time of the round trip; at least 1 ms. */
uint64_t hop_estimate_us(const struct hop_table *t, const char *address);
/*
 * Part of the remaining time to reserve for the round trip: the estimate, but at most a quarter of
 * the remaining time. The first reply of a VM that was starting or paused can give an estimate of
 * hundreds of milliseconds. Without the bound no further call would be sent that could correct it.
 */
uint64_t hop_reserve_us(const struct hop_table *t, const char *address, uint64_t remaining_us);

G_END_DECLS

#endif
