/*
 * Local copy of the store's keys as last read, and of recent removals. From it a VM tells other VMs
 * what has changed since a revision. The mirror has no clock and no sockets.
 */
#ifndef APRICOT_MIRROR_H
#define APRICOT_MIRROR_H

#include "adapter.h"

G_BEGIN_DECLS

struct mirror;

struct mirror *mirror_create(void);
void mirror_destroy(struct mirror *m); /* accepts NULL */

/*
 * Applies the changes of an answer of the store; an item not newer than the copy's is ignored. One
 * with an empty value leaves the value of a known key as last read. A key that the copy lacks is
 * ignored if the answer is older than the copy and the key was not written since.
 */
void mirror_apply(struct mirror *m, const struct store_answer *answer);
/*
 * Applies a complete listing of the store. Keys that it lacks are removed, unless their position is
 * after that of the answer.
 */
void mirror_apply_listing(struct mirror *m, const struct store_answer *answer);

/* Position up to which the mirror has all changes; revision 0: nothing was read yet. */
struct position mirror_position(const struct mirror *m);

/*
 * Writes the changes after the position, in no particular order, as an answer that the caller
 * clears. When its revision is 0 or removals after it may have been dropped, *is_full is set to
 * true and the answer has every key instead.
 */
void mirror_changes_since(const struct mirror *m, struct position after, struct store_answer *out,
			  bool *is_full);

G_END_DECLS

#endif
