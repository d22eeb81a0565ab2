/*
 * Which VMs hold a group: the first and the second available VM by rendezvous hashing of the group
 * id, those in the data centres of the group's leaves before all others. Answers are remembered
 * until the manifest or the roster changes.
 */
#ifndef APRICOT_ROUTING_H
#define APRICOT_ROUTING_H

#include "manifest.h"
#include "roster.h"

G_BEGIN_DECLS

struct routing;

struct holder_route {
	const char *first; /* RPC address; NULL when no VM is available */
	const char *second; /* NULL when there is no other */
};

struct routing *routing_create(void);
void routing_destroy(struct routing *r);
/* Take references of their own. */
void routing_manifest_set(struct routing *r, struct manifest *m);
void routing_roster_set(struct routing *r, struct roster *roster);
/* The strings are valid until the next change of the roster. */
struct holder_route routing_find(struct routing *r, const struct manifest_group *g);
/*
 * The first n VMs of a data centre for a key, leaving ones included only when no other is there;
 * true when this VM is one of them.
 */
bool routing_is_self_among(const struct roster *roster, const char *key, const char *dc,
			   unsigned int n);

G_END_DECLS

#endif
