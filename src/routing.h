/*
 * Finds the VMs that hold a group, its holder and its standby: the first and the second available
 * VM by rendezvous hashing of the group id. VMs in the data centres of the group's leaves come
 * before all others. Results are cached until the manifest or the roster changes.
 */
#ifndef APRICOT_ROUTING_H
#define APRICOT_ROUTING_H

#include "manifest.h"
#include "roster.h"

G_BEGIN_DECLS

struct routing;

struct holder_route {
	const char *first; /* RPC address of the holder; NULL when there is no VM */
	const char *second; /* RPC address of the standby; NULL when there is no other VM */
};

struct routing *routing_create(void);
void routing_destroy(struct routing *r); /* accepts NULL */
/* Both take a reference of their own. */
void routing_manifest_set(struct routing *r, struct manifest *m);
void routing_roster_set(struct routing *r, struct roster *roster);
/* The strings of the result are valid until the next change of the roster. */
struct holder_route routing_find(struct routing *r, const struct manifest_group *g);
/*
 * Returns whether this VM is one of the first n VMs of the data centre by rendezvous hashing of the
 * key. VMs that are leaving or suspected are passed over, except this VM itself.
 */
bool routing_is_self_among(const struct roster *roster, const char *key, const char *dc,
			   unsigned int n);

G_END_DECLS

#endif
