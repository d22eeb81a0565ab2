/*
 * Copy of the store's keys as last read, with the removals of late, so that a VM can pass on to
 * another what has changed since any revision. It has no clock and no sockets.
 */
#ifndef APRICOT_MIRROR_H
#define APRICOT_MIRROR_H

#include "edge.h"

G_BEGIN_DECLS

struct mirror;

struct mirror *mirror_create(void);
void mirror_destroy(struct mirror *m);

/* Takes over what an answer says; older revisions of a key are ignored. */
void mirror_take(struct mirror *m, const struct store_answer *answer);
/*
 * A complete listing, up to the answer's revision: keys that it lacks and that are not newer are
 * gone.
 */
void mirror_take_listing(struct mirror *m, const struct store_answer *answer);

/* All changes up to it are known; 0: nothing was read yet. */
uint64_t mirror_revision(const struct mirror *m);

/*
 * Changes behind the revision, in no order, as an answer that the caller clears. *is_full is set
 * when it holds every key instead, since changes were forgotten.
 */
void mirror_since(const struct mirror *m, uint64_t revision, struct store_answer *out,
		  bool *is_full);

G_END_DECLS

#endif
