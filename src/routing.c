#include "routing.h"

#include "rendezvous.h"

#include <string.h>

/* VMs to choose from. */
struct candidates {
	GArray *nodes; /* struct rendezvous_node */
	GPtrArray *addresses; /* RPC address of each node, borrowed from the roster */
};

struct routing {
	struct manifest *manifest;
	struct roster *roster;
	GHashTable *by_dc; /* data centre -> struct candidates */
	GHashTable *route_cache; /* group id -> struct holder_route */
};

static struct candidates *candidates_create(void)
{
	struct candidates *c = g_new0(struct candidates, 1);

	c->nodes = g_array_new(FALSE, FALSE, sizeof(struct rendezvous_node));
	c->addresses = g_ptr_array_new();
	return c;
}

static void candidates_destroy(gpointer data)
{
	struct candidates *c = data;

	g_array_free(c->nodes, TRUE);
	g_ptr_array_free(c->addresses, TRUE);
	g_free(c);
}

static void candidates_append(struct candidates *to, const struct candidates *from)
{
	g_array_append_vals(to->nodes, from->nodes->data, from->nodes->len);
	for (guint i = 0; i < from->addresses->len; i++)
		g_ptr_array_add(to->addresses, g_ptr_array_index(from->addresses, i));
}

struct routing *routing_create(void)
{
	struct routing *r = g_new0(struct routing, 1);

	r->route_cache = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	r->by_dc = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, candidates_destroy);
	return r;
}

void routing_destroy(struct routing *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->route_cache);
	g_hash_table_destroy(r->by_dc);
	manifest_put(r->manifest);
	roster_put(r->roster);
	g_free(r);
}

void routing_manifest_set(struct routing *r, struct manifest *m)
{
	g_hash_table_remove_all(r->route_cache);
	manifest_put(r->manifest);
	r->manifest = manifest_get(m);
}

static void candidates_by_dc_fill(struct routing *r)
{
	bool any_available = false;

	/* VMs that are leaving or suspected are candidates only when no other VM is left. */
	for (unsigned int i = 0; i < r->roster->n_vms; i++)
		any_available |= r->roster->vms[i].is_available;
	for (unsigned int i = 0; i < r->roster->n_vms; i++) {
		const struct roster_vm *vm = &r->roster->vms[i];
		struct rendezvous_node node = {.name_hash = vm->name_hash, .preferred = true};
		struct candidates *c;

		if (!vm->is_available && any_available)
			continue;
		c = g_hash_table_lookup(r->by_dc, vm->dc);
		if (!c) {
			c = candidates_create();
			g_hash_table_insert(r->by_dc, vm->dc, c);
		}
		g_array_append_val(c->nodes, node);
		g_ptr_array_add(c->addresses, vm->rpc);
	}
}

void routing_roster_set(struct routing *r, struct roster *roster)
{
	g_hash_table_remove_all(r->route_cache);
	g_hash_table_remove_all(r->by_dc); /* its keys belong to the roster */
	roster_put(r->roster);
	r->roster = roster_get(roster);
	candidates_by_dc_fill(r);
}

/* Returns whether one of the group's first n leaves is in the data centre. */
static bool group_has_leaf_in(const struct manifest_group *g, unsigned int n, const char *dc)
{
	for (unsigned int i = 0; i < n; i++)
		if (strcmp(g->leaves[i].dc, dc) == 0)
			return true;
	return false;
}

/* Appends the VMs in the data centres of the group's leaves, each data centre once. */
static void preferred_append(const struct routing *r, const struct manifest_group *g,
			     struct candidates *to)
{
	for (unsigned int i = 0; i < g->n_leaves; i++) {
		const struct candidates *c = g_hash_table_lookup(r->by_dc, g->leaves[i].dc);

		if (c && !group_has_leaf_in(g, i, g->leaves[i].dc))
			candidates_append(to, c);
	}
}

/* Appends the VMs of all other data centres. */
static void others_append(const struct routing *r, const struct manifest_group *g,
			  struct candidates *to)
{
	GHashTableIter iter;
	gpointer dc, c;
	guint n = to->nodes->len;

	g_hash_table_iter_init(&iter, r->by_dc);
	while (g_hash_table_iter_next(&iter, &dc, &c))
		if (!group_has_leaf_in(g, g->n_leaves, dc))
			candidates_append(to, c);
	for (; n < to->nodes->len; n++)
		g_array_index(to->nodes, struct rendezvous_node, n).preferred = false;
}

/*
 * VMs in other data centres can be chosen only when the data centres of the group's leaves have
 * fewer than two VMs. Otherwise they are not compared, which makes a choice among 6,600 VMs several
 * times faster.
 */
static struct holder_route *route_compute(const struct routing *r, const struct manifest_group *g)
{
	struct holder_route *route = g_new0(struct holder_route, 1);
	struct candidates *c = candidates_create();
	int first;
	int second;

	preferred_append(r, g, c);
	if (c->nodes->len < 2)
		others_append(r, g, c);
	rendezvous_pick(g->id, (const struct rendezvous_node *)c->nodes->data, c->nodes->len,
			&first, &second);
	if (first >= 0)
		route->first = g_ptr_array_index(c->addresses, first);
	if (second >= 0)
		route->second = g_ptr_array_index(c->addresses, second);
	candidates_destroy(c);
	return route;
}

struct holder_route routing_find(struct routing *r, const struct manifest_group *g)
{
	struct holder_route *route = g_hash_table_lookup(r->route_cache, g->id);

	if (!route) {
		route = route_compute(r, g);
		g_hash_table_insert(r->route_cache, g_strdup(g->id), route);
	}
	return *route;
}

bool routing_is_self_among(const struct roster *roster, const char *key, const char *dc,
			   unsigned int n)
{
	const struct roster_vm *self = NULL;
	unsigned int n_before_self = 0;
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
		n_before_self += first == 1;
	}
	return n_before_self < n;
}
