/* Time that a call to another VM takes besides its service, from this node's own calls. */
#ifndef APRICOT_HOP_H
#define APRICOT_HOP_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

struct hop_table;

struct hop_table *hop_table_create(void);
void hop_table_destroy(struct hop_table *t);
/* total_us: from sending to the reply; served_us: what the other VM spent on it. */
void hop_observe(struct hop_table *t, const char *address, uint64_t total_us, uint64_t served_us);
/* Expected time of the hop there and back; at least 1 ms. */
uint64_t hop_estimate_us(const struct hop_table *t, const char *address);
/*
 * Part of the remaining time to keep for the hop: the estimate, bounded by a quarter of what
 * remains. The first reply of a VM that was starting or paused says hundreds of milliseconds;
 * without the bound no further call would be sent, so that nothing could correct the estimate.
 */
uint64_t hop_reserve_us(const struct hop_table *t, const char *address, uint64_t remaining_us);

G_END_DECLS

#endif
