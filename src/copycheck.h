/*
 * Tells which values of a new era are older than what is known of an earlier one.
 *
 * Answers a store that has come back from an older copy of itself: every position of the new era
 * is later than all before, but the copy holds values that were replaced or removed since it was
 * made. A leaf that was draining or gone would be called again, an ended evacuation begin again.
 * What a leaf says of itself, the start of its process and the number of its report, does not
 * depend on the store. Another key that was removed counts as the same write as before if it has
 * the same revision. Times are in milliseconds.
 */
#ifndef APRICOT_COPYCHECK_H
#define APRICOT_COPYCHECK_H

#include "leafset.h"
#include "position.h"

G_BEGIN_DECLS

struct copycheck;

/* The caller owns the result; destroy accepts NULL. */
struct copycheck *copycheck_create(void);
void copycheck_destroy(struct copycheck *c);

/* Notes a value that is in use. report: of a leaf; NULL for other keys. */
void copycheck_value_note(struct copycheck *c, const char *key, const struct leaf_report *report,
			  struct position position);
/* Notes that the key was removed in the era; it is forgotten after a time. */
void copycheck_removal_note(struct copycheck *c, const char *key, uint64_t era, uint64_t now_ms);

/* True for a key whose removal is remembered. */
bool copycheck_is_removed(const struct copycheck *c, const char *key);
/*
 * True when the value is of a later era than the last one noted, and yet older than that one or
 * than the removal of the key. report: of a leaf; NULL for other keys.
 */
bool copycheck_is_older(const struct copycheck *c, const char *key,
			const struct leaf_report *report, struct position position);

G_END_DECLS

#endif
