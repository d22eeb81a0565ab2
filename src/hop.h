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
/* Time to reserve for the hop there and back; at least 1 ms. */
uint64_t hop_estimate_us(const struct hop_table *t, const char *address);

G_END_DECLS

#endif
