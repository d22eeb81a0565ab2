/* Rendezvous hashing: ranks nodes for a key by their highest random weight. */
#ifndef APRICOT_RENDEZVOUS_H
#define APRICOT_RENDEZVOUS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct rendezvous_node {
	uint64_t name_hash; /* rendezvous_name_hash of the VM name */
	bool preferred;
};

/* 64-bit hash of a name, the same on every VM. */
uint64_t rendezvous_name_hash(const char *name);

/*
 * Writes the indexes of the first and the second node in the key's order, or -1 where there is
 * none. Preferred nodes come before all others. The relative order of two nodes never depends on a
 * third, so a node that leaves moves only the keys it was picked for.
 */
void rendezvous_pick(const char *key, const struct rendezvous_node *nodes, unsigned int n,
		     int *first, int *second);

G_END_DECLS

#endif
