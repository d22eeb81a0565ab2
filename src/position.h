/*
 * Order of what the configuration store says. The store numbers its changes with revisions. When it
 * comes back from an older copy of itself, it loses the latest changes, gives their revisions out
 * again and begins a new era. So a position is later than another one if its era is later, or, in
 * the same era, its revision.
 *
 * A store that names no era has era 0, and the revisions alone decide.
 */
#ifndef APRICOT_POSITION_H
#define APRICOT_POSITION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct position {
	uint64_t era;
	uint64_t revision; /* 0: before every change of the era */
};

/* Below, equal to or above 0 as a is earlier than b, the same or later. */
int position_compare(struct position a, struct position b);
bool position_is_after(struct position a, struct position b);
struct position position_max(struct position a, struct position b);

G_END_DECLS

#endif
