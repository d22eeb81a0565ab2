/*
 * Decides how a VM that does not read the configuration store keeps up with the readers, the VMs
 * that do: what it asks each of them, and when it has to read the store itself.
 *
 * Load answered: a configuration of hundreds of kilobytes that a reader sends to dozens of VMs over
 * slow links, so that changes take longer to arrive than a reader may be behind otherwise; readers
 * that are paused, cut off or have lost the store without knowing it yet.
 *
 * Each reader is asked for its position in the store's history, and holds the query until the store
 * answers it. The first reader that answers as current is then asked for its changes, another one
 * only when these have not arrived after a delay. No query for changes is given up. Times are in
 * milliseconds.
 */
#ifndef APRICOT_FOLLOWER_H
#define APRICOT_FOLLOWER_H

#include "position.h"

G_BEGIN_DECLS

struct follower;

/* What to ask a reader. */
struct follower_query {
	const char
		*address; /* of the reader; borrowed until the next call of follower_readers_set */
	uint64_t tag; /* identifies the answer */
	struct position known; /* the answer has what is later; revision 0: everything */
	bool wants_changes; /* false: only the reader's position, once it is later */
	bool is_repeat; /* these changes were asked of another reader and have not arrived yet */
};

/* The caller owns the result; destroy accepts NULL. */
struct follower *follower_create(uint64_t now_ms);
void follower_destroy(struct follower *f);

/*
 * Forgets what is known of the readers. is_served: this VM's content is current. To be called when
 * the VM begins to follow.
 */
void follower_restart(struct follower *f, bool is_served, uint64_t now_ms);

/* Sets the addresses of the readers in order of preference; n is at most READERS_MAX. */
void follower_readers_set(struct follower *f, const char *const *addresses, unsigned int n,
			  uint64_t now_ms);

/* Notes the position of this VM's content. */
void follower_position_set(struct follower *f, struct position position, uint64_t now_ms);

/* Writes the next query that is due now, which then counts as open; false when there is none. */
bool follower_query_next(struct follower *f, uint64_t now_ms, struct follower_query *out);

/*
 * Notes the end of a query, before follower_position_set for the changes in the answer. is_current:
 * the reader answered and vouches for the position. Returns true when the query asked for changes,
 * with *asked_ms set to the time of the query, and false when it did not or its reader is not asked
 * any more.
 */
bool follower_answered(struct follower *f, uint64_t tag, bool is_current, struct position position,
		       uint64_t now_ms, uint64_t *asked_ms);

/* True when there are readers and none of them has answered its last query as current. */
bool follower_is_lost(const struct follower *f, uint64_t now_ms);

/* True when the last answer of a reader is too old, or this VM has been behind for too long. */
bool follower_needs_store(const struct follower *f, uint64_t now_ms);

G_END_DECLS

#endif
