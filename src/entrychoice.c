#include "entrychoice.h"

#include <string.h>

/* Fewest VMs chosen, so that some are left when two are lost at once. */
#define CHOSEN_MIN 4
/*
 * Processor share of all chosen VMs together, thousandths of a core. While they have less, more VMs
 * in the leaves' data centres are chosen. The largest site's load costs about 0.4 cores.
 */
#define CHOSEN_MILLICORES_MIN 1400
/*
 * Most VMs chosen beyond that while chosen ones are short. Each opens connections to all leaves,
 * which accept few.
 */
#define FURTHER_MAX 4
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

static bool is_short(const struct entrychoice_vm *vm)
{
	return vm->weight_left < vm->weight;
}

/* The share at its least, a quarter; see vmload.h. */
static bool is_exhausted(const struct entrychoice_vm *vm)
{
	return is_short(vm) && vm->weight_left <= vm->weight / 4;
}

static bool further_one_is_whole(const struct entrychoice_vm *vms, unsigned int n,
				 char *const *leaf_dcs)
{
	for (unsigned int i = 0; i < n; i++)
		if (vms[i].is_usable && !vms[i].is_chosen && !is_short(&vms[i]) &&
		    is_leaf_dc(vms[i].dc, leaf_dcs))
			return true;
	return false;
}

/*
 * Chooses more VMs while the chosen ones have too little left. Short ones are not passed over: one
 * that became short because it was chosen would otherwise be replaced at once by another.
 */
static unsigned int further_choose(struct entrychoice_vm *vms, unsigned int n,
				   char *const *leaf_dcs, uint32_t millicores_left)
{
	unsigned int count = 0;
	struct entrychoice_vm *vm;

	while (count < FURTHER_MAX && millicores_left < CHOSEN_MILLICORES_MIN &&
	       further_one_is_whole(vms, n, leaf_dcs) && (vm = next_choice(vms, n, leaf_dcs))) {
		vm->is_chosen = true;
		millicores_left += vm->weight_left;
		count++;
	}
	return count;
}

unsigned int entrychoice_choose(struct entrychoice_vm *vms, unsigned int n, char *const *leaf_dcs)
{
	unsigned int count = 0;
	uint32_t millicores = 0;
	uint32_t millicores_left = 0;
	struct entrychoice_vm *vm;

	for (unsigned int i = 0; i < n; i++)
		vms[i].is_chosen = false;
	while ((count < CHOSEN_MIN || millicores < CHOSEN_MILLICORES_MIN) &&
	       (vm = next_choice(vms, n, leaf_dcs))) {
		if (count >= CHOSEN_MIN && !is_leaf_dc(vm->dc, leaf_dcs))
			break;
		vm->is_chosen = true;
		millicores += vm->weight;
		millicores_left += vm->weight_left;
		count++;
	}
	if (millicores_left < millicores)
		count += further_choose(vms, n, leaf_dcs, millicores_left);
	return count;
}

/*
 * Number of VMs elsewhere that callers in dc are told of besides the chosen ones there, so that
 * about the share that these lack goes elsewhere. 0 when they are whole.
 */
static unsigned int elsewhere_count(const struct entrychoice_vm *vms, unsigned int n,
				    const char *dc)
{
	uint64_t weight = 0;
	uint64_t left = 0;
	unsigned int count = 0;

	for (unsigned int i = 0; i < n; i++) {
		if (!vms[i].is_chosen || strcmp(vms[i].dc, dc) != 0)
			continue;
		weight += vms[i].weight;
		left += MAX(1, vms[i].weight_left);
		count++;
	}
	return weight > left ? (unsigned int)((count * (weight - left) + left - 1) / left) : 0;
}

/* Chosen VMs outside dc that are whole and come before the VM, by share and then by hash. */
static unsigned int elsewhere_rank(const struct entrychoice_vm *vms, unsigned int n,
				   const struct entrychoice_vm *vm, const char *dc)
{
	unsigned int rank = 0;

	for (unsigned int i = 0; i < n; i++)
		rank += vms[i].is_chosen && !is_short(&vms[i]) && strcmp(vms[i].dc, dc) != 0 &&
			(vms[i].weight > vm->weight ||
			 (vms[i].weight == vm->weight && vms[i].name_hash > vm->name_hash));
	return rank;
}

static unsigned int unexhausted_count(const struct entrychoice_vm *vms, unsigned int n)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < n; i++)
		count += vms[i].is_chosen && !is_exhausted(&vms[i]);
	return count;
}

bool entrychoice_is_offered(const struct entrychoice_vm *vms, unsigned int n, unsigned int vm,
			    const char *dc)
{
	const struct entrychoice_vm *v = &vms[vm];

	if (!v->is_chosen)
		return false;
	if (strcmp(v->dc, dc) == 0)
		return true;
	/* Callers from elsewhere leave a VM only at its last step, so that they do not all go at
	 * once. */
	if (chosen_count(vms, n, dc) < OWN_DC_MIN)
		return !is_exhausted(v) || unexhausted_count(vms, n) < OWN_DC_MIN;
	return !is_short(v) && elsewhere_rank(vms, n, v, dc) < elsewhere_count(vms, n, dc);
}
