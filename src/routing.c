#include "routing.h"

#include "rendezvous.h"

#include <string.h>

struct routing {
	struct manifest *manifest;
	struct roster *roster;
	GHashTable *known; /* group id -> struct route */
};

struct routing *routing_create(void)
{
	struct routing *r = g_new0(struct routing, 1);

	r->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

void routing_destroy(struct routing *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->known);
	manifest_put(r->manifest);
	roster_put(r->roster);
	g_free(r);
}

void routing_manifest_set(struct routing *r, struct manifest *m)
{
	g_hash_table_remove_all(r->known);
	manifest_put(r->manifest);
	r->manifest = manifest_get(m);
}

void routing_roster_set(struct routing *r, struct roster *roster)
{
	g_hash_table_remove_all(r->known);
	roster_put(r->roster);
	r->roster = roster_get(roster);
}

static bool group_has_leaf_in(const struct manifest_group *g, const char *dc)
{
	for (unsigned int i = 0; i < g->n_leaves; i++)
		if (strcmp(g->leaves[i].dc, dc) == 0)
			return true;
	return false;
}

static struct route *route_compute(const struct routing *r, const struct manifest_group *g)
{
	struct route *route = g_new0(struct route, 1);
	struct rendezvous_node *nodes;
	const char **addresses;
	unsigned int n = 0;
	bool any_available = false;
	int first;
	int second;

	if (!r->roster)
		return route;
	/* Leaving VMs serve on when no other is left. */
	for (unsigned int i = 0; i < r->roster->n_vms; i++)
		any_available |= r->roster->vms[i].is_available;
	nodes = g_new0(struct rendezvous_node, r->roster->n_vms + 1);
	addresses = g_new0(const char *, r->roster->n_vms + 1);
	for (unsigned int i = 0; i < r->roster->n_vms; i++) {
		const struct roster_vm *vm = &r->roster->vms[i];

		if (!vm->is_available && any_available)
			continue;
		nodes[n].name_hash = vm->name_hash;
		nodes[n].preferred = group_has_leaf_in(g, vm->dc);
		addresses[n++] = vm->rpc;
	}
	rendezvous_pick(g->id, nodes, n, &first, &second);
	if (first >= 0)
		route->first = addresses[first];
	if (second >= 0)
		route->second = addresses[second];
	g_free(nodes);
	g_free(addresses);
	return route;
}

struct route routing_find(struct routing *r, const struct manifest_group *g)
{
	struct route *route = g_hash_table_lookup(r->known, g->id);

	if (!route) {
		route = route_compute(r, g);
		g_hash_table_insert(r->known, g_strdup(g->id), route);
	}
	return *route;
}

bool routing_is_self_among(const struct roster *roster, const char *key, const char *dc,
			   unsigned int n)
{
	const struct roster_vm *self = NULL;
	unsigned int before = 0;
	struct rendezvous_node pair[2] = {0};
	int first;
	int second;

	for (unsigned int i = 0; i < roster->n_vms; i++)
		if (roster->vms[i].is_self)
			self = &roster->vms[i];
	if (!self || strcmp(self->dc, dc) != 0)
		return false;
	pair[0].name_hash = self->name_hash;
	for (unsigned int i = 0; i < roster->n_vms; i++) {
		const struct roster_vm *vm = &roster->vms[i];

		if (vm == self || strcmp(vm->dc, dc) != 0 || !vm->is_available)
			continue;
		pair[1].name_hash = vm->name_hash;
		rendezvous_pick(key, pair, 2, &first, &second);
		before += first == 1;
	}
	return before < n;
}
