#include "region.h"

#include "result.h"

#include <string.h>

struct region_table {
	GHashTable *regions; /* data centre -> region, interned */
};

/* True for text that can stand in the list and in a log line. */
static bool is_name(const char *text)
{
	if (!*text || *text == ' ' || text[strlen(text) - 1] == ' ')
		return false;
	for (const char *c = text; *c; c++)
		if (!g_ascii_isprint(*c) || strchr(",;=\"", *c))
			return false;
	return true;
}

/* Adds one item of the list, which it changes. False if the item cannot be used. */
static bool item_add(struct region_table *t, char *item)
{
	char *equals = strchr(item, '=');

	if (!equals)
		return false;
	*equals = '\0';
	if (!is_name(item) || !is_name(equals + 1) || g_hash_table_contains(t->regions, item))
		return false;
	g_hash_table_insert(t->regions, g_strdup(item), (gpointer)g_intern_string(equals + 1));
	return true;
}

struct region_table *region_table_parse(const char *list, GError **error)
{
	struct region_table *t = g_new0(struct region_table, 1);
	g_auto(GStrv) items = g_strsplit(list ? list : "", ",", -1);

	t->regions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (char **item = items; *item; item++) {
		g_autofree char *copy = g_strdup(*item);

		if (item_add(t, copy))
			continue;
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
			    "--dc-regions: '%s' does not have the form DC=REGION, or its data "
			    "centre is named twice",
			    *item);
		region_table_destroy(t);
		return NULL;
	}
	return t;
}

void region_table_destroy(struct region_table *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->regions);
	g_free(t);
}

bool region_table_is_empty(const struct region_table *t)
{
	return g_hash_table_size(t->regions) == 0;
}

const char *region_table_find(const struct region_table *t, const char *dc)
{
	return g_hash_table_lookup(t->regions, dc);
}

bool region_is_listed(const GPtrArray *regions, const char *region)
{
	for (guint i = 0; region && i < regions->len; i++)
		if (strcmp(g_ptr_array_index(regions, i), region) == 0)
			return true;
	return false;
}

GPtrArray *region_routes_list(const struct routemap *m, const char *host)
{
	const GPtrArray *all = m->has_regions ? routemap_host_find(m, host) : NULL;
	GPtrArray *routes = NULL;

	for (guint i = 0; all && i < all->len; i++) {
		struct route *r = g_ptr_array_index(all, i);

		if (!r->regions)
			continue;
		if (!routes)
			routes = g_ptr_array_new();
		g_ptr_array_add(routes, r);
	}
	return routes;
}

bool region_vm_suits(const GPtrArray *routes, const char *caller_region, const char *vm_region)
{
	if (!vm_region)
		return false;
	if (strcmp(vm_region, caller_region) == 0)
		return true;
	for (guint i = 0; i < routes->len; i++) {
		const struct route *r = g_ptr_array_index(routes, i);

		if (!region_allows(r->regions, vm_region))
			return false;
	}
	return true;
}

/* Names the suitable VMs with the flags. Returns their number. */
static unsigned int suitable_name(struct region_vm *vms, unsigned int n, const GPtrArray *routes,
				  const char *caller_region, bool is_offered)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < n; i++) {
		struct region_vm *vm = &vms[i];

		vm->is_named = (is_offered ? vm->is_offered : vm->is_chosen) &&
			       region_vm_suits(routes, caller_region, vm->region);
		count += vm->is_named;
	}
	return count;
}

/* The usable VM that is suitable, not named yet and has the largest weight, or NULL. */
static struct region_vm *further_find(struct region_vm *vms, unsigned int n,
				      const GPtrArray *routes, const char *caller_region)
{
	struct region_vm *best = NULL;

	for (unsigned int i = 0; i < n; i++) {
		struct region_vm *vm = &vms[i];

		if (!vm->is_usable || vm->is_named ||
		    !region_vm_suits(routes, caller_region, vm->region))
			continue;
		if (!best || vm->weight > best->weight ||
		    (vm->weight == best->weight && vm->name_hash > best->name_hash))
			best = vm;
	}
	return best;
}

unsigned int region_vms_name(struct region_vm *vms, unsigned int n, const GPtrArray *routes,
			     const char *caller_region)
{
	unsigned int count = suitable_name(vms, n, routes, caller_region, true);
	struct region_vm *vm;

	if (count == 0)
		count = suitable_name(vms, n, routes, caller_region, false);
	if (count > 0)
		return count;
	while (count < REGION_FURTHER_MAX && (vm = further_find(vms, n, routes, caller_region))) {
		vm->is_named = true;
		count++;
	}
	if (count > 0)
		return count;
	for (unsigned int i = 0; i < n; i++) {
		vms[i].is_named = vms[i].is_offered;
		count += vms[i].is_named;
	}
	return count;
}
