/* List of entry VMs that is sent to callers. */
#ifndef APRICOT_ENTRYLIST_H
#define APRICOT_ENTRYLIST_H

#include "member.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define ENTRYLIST_TTL_MS 10000
#define ENTRYLIST_PREFIX_MAX 40 /* bytes, including the terminating NUL */

struct entrylist_item {
	const char *name;
	const char *dc;
	const char *http;
	/*
	 * First part of a command id, INCARNATION.ISSUED_MS. ISSUED_MS is a lower bound of the VM's
	 * uptime when the list was made.
	 */
	char id_prefix[ENTRYLIST_PREFIX_MAX];
};

struct entrylist;

/*
 * Lists the live entries with a known incarnation: first those of own_dc, then the others, both in
 * random order, so that each VM gets the same share of the callers. The entries are copied. Destroy
 * accepts NULL.
 */
struct entrylist *entrylist_create(const struct member_entry *entries, unsigned int n,
				   const char *own_dc, uint64_t now_ms, GRand *rand);
void entrylist_destroy(struct entrylist *l);

/* The items belong to the list. */
const struct entrylist_item *entrylist_items(const struct entrylist *l, unsigned int *n);

/* Time in ms, on the clock of now_ms, from which callers no longer use the list. */
uint64_t entrylist_expiry(const struct entrylist *l);

G_END_DECLS

#endif
