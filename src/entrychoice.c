#include "entrychoice.h"

#include <string.h>

/* Fewest VMs chosen, so that some are left when two are lost at once. */
#define CHOSEN_MIN 4
/*
 * Processor share of all chosen VMs together, thousandths of a core. While they have less, more VMs
 * in the leaves' data centres are chosen. The largest site's load costs about 0.4 cores.
 */
#define CHOSEN_MILLICORES_MIN 1400
/* A caller with at least this many chosen VMs in its data centre is told of no others. */
#define OWN_DC_MIN 2

static bool is_leaf_dc(const char *dc, char *const *leaf_dcs)
{
	for (; leaf_dcs && *leaf_dcs; leaf_dcs++)
		if (strcmp(*leaf_dcs, dc) == 0)
			return true;
	return false;
}

/* Prefers VMs in the leaves' data centres, then a large processor share, then a large hash. */
static bool is_better(const struct entrychoice_vm *a, const struct entrychoice_vm *b,
		      char *const *leaf_dcs)
{
	bool a_is_near = is_leaf_dc(a->dc, leaf_dcs);
	bool b_is_near = is_leaf_dc(b->dc, leaf_dcs);

	if (a_is_near != b_is_near)
		return a_is_near;
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return a->name_hash > b->name_hash;
}

static unsigned int chosen_count(const struct entrychoice_vm *vms, unsigned int n, const char *dc)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < n; i++)
		count += vms[i].is_chosen && strcmp(vms[i].dc, dc) == 0;
	return count;
}

/*
 * Returns the best usable VM that is not chosen yet, or NULL. Among VMs that is_better() would
 * order by their hashes, those in the data centre with the fewest chosen VMs come first.
 */
static struct entrychoice_vm *next_choice(struct entrychoice_vm *vms, unsigned int n,
					  char *const *leaf_dcs)
{
	struct entrychoice_vm *best = NULL;
	unsigned int best_count = 0;

	for (unsigned int i = 0; i < n; i++) {
		struct entrychoice_vm *vm = &vms[i];
		unsigned int count;

		if (!vm->is_usable || vm->is_chosen)
			continue;
		count = chosen_count(vms, n, vm->dc);
		if (best && is_leaf_dc(vm->dc, leaf_dcs) == is_leaf_dc(best->dc, leaf_dcs) &&
		    vm->weight == best->weight && count != best_count) {
			if (count > best_count)
				continue;
		} else if (best && !is_better(vm, best, leaf_dcs)) {
			continue;
		}
		best = vm;
		best_count = count;
	}
	return best;
}

unsigned int entrychoice_choose(struct entrychoice_vm *vms, unsigned int n, char *const *leaf_dcs)
{
	unsigned int count = 0;
	uint32_t millicores = 0;
	struct entrychoice_vm *vm;

	for (unsigned int i = 0; i < n; i++)
		vms[i].is_chosen = false;
	while ((count < CHOSEN_MIN || millicores < CHOSEN_MILLICORES_MIN) &&
	       (vm = next_choice(vms, n, leaf_dcs))) {
		if (count >= CHOSEN_MIN && !is_leaf_dc(vm->dc, leaf_dcs))
			break;
		vm->is_chosen = true;
		millicores += vm->weight;
		count++;
	}
	return count;
}

bool entrychoice_is_offered(const struct entrychoice_vm *vms, unsigned int n, unsigned int vm,
			    const char *dc)
{
	if (!vms[vm].is_chosen)
		return false;
	return chosen_count(vms, n, dc) < OWN_DC_MIN || strcmp(vms[vm].dc, dc) == 0;
}
