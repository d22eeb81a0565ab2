/*
 * The store's keys that exist as far as this VM knows, with their positions, and the removals that
 * have not taken effect yet.
 *
 * What the store said reaches a VM in several ways, so that an older answer can arrive after a
 * newer one: a late page of a listing may hold keys that were removed since. The registry therefore
 * knows the position up to which it has every change, and takes no unknown key from an older
 * answer.
 *
 * While the store is unreachable, entries can expire although their writers live; the writers put
 * them back within about two seconds of the store's return. So removals that are seen in that time
 * take effect only after it, and many removals at once are held back for as long. When a new era
 * begins, the store lacks the keys that were written after its copy was made; a key of an earlier
 * era that it lacks is kept until its writer has had the time to write it again. Times are in
 * milliseconds.
 */
#ifndef APRICOT_REGISTRY_H
#define APRICOT_REGISTRY_H

#include "position.h"

G_BEGIN_DECLS

struct registry;

/* report_ms: period in which leaves write their entries; 0: unknown. Destroy accepts NULL. */
struct registry *registry_create(unsigned int report_ms);
void registry_destroy(struct registry *r);

/*
 * Notes that the key was last written at the position, according to an answer that the store gave
 * at answer. Returns true when the value is new; a noted removal of the key is then dropped.
 * Returns false when this or a later change is known.
 */
bool registry_put(struct registry *r, const char *key, struct position position,
		  struct position answer);
/* Position of the key's last known value; all 0: the key is unknown. */
struct position registry_position(const struct registry *r, const char *key);
/* True for a key that was put and whose removal has not taken effect. */
bool registry_knows(const struct registry *r, const char *key);
/*
 * Notes that the key was removed at the position, which a VM first read at read_ms. Returns false
 * when a later value is known, the key is unknown or its removal is noted already. The removal
 * takes effect when registry_due_removal_take returns the key: about two seconds after read_ms if
 * is_held is true, else at once, but in both cases not earlier than about two seconds after the
 * store's return.
 */
bool registry_remove(struct registry *r, const char *key, struct position position, bool is_held,
		     uint64_t read_ms);

/* Notes that all changes up to the position were passed to the registry. */
void registry_complete(struct registry *r, struct position position);

/*
 * Mark the beginning and the end of a complete listing of the store. Each listed key is passed to
 * registry_put in between. The end notes the removal of all other keys that were not written after
 * the position of the listing.
 */
void registry_listing_begin(struct registry *r);
void registry_listing_end(struct registry *r, struct position position, uint64_t now_ms);

/* To be called when the store answers again after it was unreachable. */
void registry_store_returned(struct registry *r, uint64_t now_ms);

/*
 * Takes one key whose removal is due out of the registry. Returns its name, which the caller frees,
 * and sets *position to that of the removal; returns NULL when no removal is due.
 */
char *registry_due_removal_take(struct registry *r, uint64_t now_ms, struct position *position);

/* Number of keys, including those whose removal is not due yet. */
unsigned int registry_count(const struct registry *r);

G_END_DECLS

#endif
