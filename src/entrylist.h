/* List of entry VMs for callers. */
#ifndef APRICOT_ENTRYLIST_H
#define APRICOT_ENTRYLIST_H

#include "member.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define ENTRYLIST_TTL_MS 10000
#define ENTRYLIST_PREFIX_MAX 40

struct entrylist_item {
	const char *name;
	const char *dc;
	const char *http;
	/* INCARNATION.ISSUED_MS of a command id; ISSUED_MS is a lower bound of the uptime now */
	char id_prefix[ENTRYLIST_PREFIX_MAX];
};

struct entrylist;

/*
 * Live entries with a known incarnation, those of own_dc first, each part in random order, so that
 * each VM gets the same share. The strings are copied. Destroy accepts NULL.
 */
struct entrylist *entrylist_create(const struct member_entry *entries, unsigned int n,
				   const char *own_dc, uint64_t now_ms, GRand *rand);
void entrylist_destroy(struct entrylist *l);

/* The items belong to the list. */
const struct entrylist_item *entrylist_items(const struct entrylist *l, unsigned int *n);

/* Time from which callers no longer use the list. */
uint64_t entrylist_expiry(const struct entrylist *l);

G_END_DECLS

#endif
