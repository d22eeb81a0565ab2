/*
 * Regions: which leaves a restricted route may call, and which entry VMs suit its callers.
 *
 * Laws on where data may be stored restrict some routes to certain regions. Their requests must not
 * reach a leaf elsewhere, also when all allowed leaves have failed. A leaf's entry names only its
 * data centre; the settings name the region of each. What is unknown is never allowed. The load is
 * one decision for each leaf of a shard that a restricted request considers (up to 3 leaves of 135
 * shards), and one for each VM in an answer of the directory. Routes without restrictions cost one
 * test of a pointer for each leaf.
 */
#ifndef APRICOT_REGION_H
#define APRICOT_REGION_H

#include "routemap.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Most VMs named that are not entry VMs. Each opens connections to all leaves, which accept few; as
 * many as are chosen at least (entrychoice.c).
 */
#define REGION_FURTHER_MAX 4

/* The regions of the data centres. */
struct region_table;

/*
 * Parses a list DC=REGION,DC=REGION. NULL and "" give a table without regions. Returns NULL with
 * RESULT_BAD_SETTING if an item is malformed or a data centre is named twice.
 */
struct region_table *region_table_parse(const char *list, GError **error);
/* Accepts NULL. */
void region_table_destroy(struct region_table *t);
bool region_table_is_empty(const struct region_table *t);
/* The region of the data centre, or NULL if it is unknown. The text is never freed. */
const char *region_table_find(const struct region_table *t, const char *dc);

/* True if the region is one of these; NULL: unknown, and none of them. */
bool region_is_listed(const GPtrArray *regions, const char *region);

/*
 * True if a call of a route with these regions (struct route) may go to a leaf in the region; NULL:
 * unknown. Inline, since routes without restrictions ask it for each leaf as well.
 */
static inline bool region_allows(const GPtrArray *regions, const char *region)
{
	return !regions || region_is_listed(regions, region);
}

/*
 * The routes of the host with region restrictions, in an array that the caller frees, or NULL if
 * there are none. The routes belong to the map.
 */
GPtrArray *region_routes_list(const struct routemap *m, const char *host);

/* One VM that the directory may name to a caller. */
struct region_vm {
	const char *region; /* of its data centre; NULL: unknown */
	uint64_t name_hash;
	uint32_t weight; /* what it has left for callers */
	bool is_usable; /* can serve callers now */
	bool is_chosen; /* as an entry VM */
	bool is_offered; /* named to the caller if there are no restrictions */
	bool is_named; /* set by region_vms_name */
};

/*
 * Sets which VMs are named to a caller of the routes in the region: the offered VMs that are
 * suitable; if there are none, the chosen ones that are; if there are none, up to
 * REGION_FURTHER_MAX other usable ones that are, those with the largest weight; and if there are
 * none either, the offered ones, since the calls to leaves obey the restrictions in any case.
 * Returns the number of VMs named.
 */
unsigned int region_vms_name(struct region_vm *vms, unsigned int n, const GPtrArray *routes,
			     const char *caller_region);

/*
 * True if an entry VM in the region vm_region (NULL: unknown) is suitable for callers of the routes
 * in the region caller_region.
 */
bool region_vm_suits(const GPtrArray *routes, const char *caller_region, const char *vm_region);

G_END_DECLS

#endif
