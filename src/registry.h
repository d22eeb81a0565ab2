/*
 * The store's keys that exist as far as this VM knows, with their revisions, and the removals that
 * have not taken effect yet.
 *
 * While the store is unreachable, entries can expire although their writers live; the writers put
 * them back within about two seconds of the store's return. So removals that are seen in that time
 * take effect only after it, and many removals at once are held back for as long. Times are in
 * milliseconds.
 */
#ifndef APRICOT_REGISTRY_H
#define APRICOT_REGISTRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct registry;

struct registry *registry_create(void);
void registry_destroy(struct registry *r); /* accepts NULL */

/*
 * Notes that the key exists with the revision. Returns true when the revision is new; a noted
 * removal of the key is then dropped. Returns false when the revision or a later change is known.
 */
bool registry_put(struct registry *r, const char *key, uint64_t revision);
/* Revision of the key's last known value; 0: the key is unknown. */
uint64_t registry_revision(const struct registry *r, const char *key);
/* True for a key that was put and whose removal has not taken effect. */
bool registry_knows(const struct registry *r, const char *key);
/*
 * Notes that the key was removed at the revision, which a VM first read at read_ms. Returns false
 * when a later value is known, the key is unknown or its removal is noted already. The removal
 * takes effect when registry_due_removal_take returns the key: about two seconds after read_ms if
 * is_held is true, else at once, but in both cases not earlier than about two seconds after the
 * store's return.
 */
bool registry_remove(struct registry *r, const char *key, uint64_t revision, bool is_held,
		     uint64_t read_ms);

/*
 * Mark the beginning and the end of a complete listing of the store. Each listed key is passed to
 * registry_put in between. The end notes the removal of all other keys whose revision is not above
 * that of the listing.
 */
void registry_listing_begin(struct registry *r);
void registry_listing_end(struct registry *r, uint64_t revision, uint64_t now_ms);

/* To be called when the store answers again after it was unreachable. */
void registry_store_returned(struct registry *r, uint64_t now_ms);

/*
 * Takes one key whose removal is due out of the registry. Returns its name, which the caller frees,
 * and sets *revision to that of the removal; returns NULL when no removal is due.
 */
char *registry_due_removal_take(struct registry *r, uint64_t now_ms, uint64_t *revision);

/* Number of keys, including those whose removal is not due yet. */
unsigned int registry_count(const struct registry *r);

G_END_DECLS

#endif
