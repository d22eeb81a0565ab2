#include "entrychoice.h"

#include <string.h>

/* VMs that take callers at least, so that the loss of two at once leaves some. */
#define TAKING_MIN 4
/* Processor share that takes callers at least: the largest site's load costs about 0.4 cores. */
#define TAKING_MILLI 1400
/* A caller gets the VMs of its own data centre when there are so many. */
#define LOCAL_MIN 2

static bool is_place(const char *dc, char *const *places)
{
	for (; places && *places; places++)
		if (strcmp(*places, dc) == 0)
			return true;
	return false;
}

/* Better candidates come first: near leaves, strong, then by hash. */
static bool is_better(const struct entrychoice_vm *a, const struct entrychoice_vm *b,
		      char *const *places)
{
	bool a_near = is_place(a->dc, places);
	bool b_near = is_place(b->dc, places);

	if (a_near != b_near)
		return a_near;
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return a->name_hash > b->name_hash;
}

static unsigned int taking_in(const struct entrychoice_vm *vms, unsigned int n, const char *dc)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < n; i++)
		count += vms[i].is_taking && strcmp(vms[i].dc, dc) == 0;
	return count;
}

/* The best VM that does not take callers yet, of the data centre with the fewest that do. */
static struct entrychoice_vm *next_pick(struct entrychoice_vm *vms, unsigned int n,
					char *const *places)
{
	struct entrychoice_vm *best = NULL;
	unsigned int best_in = 0;

	for (unsigned int i = 0; i < n; i++) {
		struct entrychoice_vm *vm = &vms[i];
		unsigned int in;

		if (!vm->is_usable || vm->is_taking)
			continue;
		in = taking_in(vms, n, vm->dc);
		if (best && is_place(vm->dc, places) == is_place(best->dc, places) &&
		    vm->weight == best->weight && in != best_in) {
			if (in > best_in)
				continue;
		} else if (best && !is_better(vm, best, places)) {
			continue;
		}
		best = vm;
		best_in = in;
	}
	return best;
}

unsigned int entrychoice_mark(struct entrychoice_vm *vms, unsigned int n, char *const *places)
{
	unsigned int count = 0;
	uint32_t milli = 0;
	struct entrychoice_vm *vm;

	for (unsigned int i = 0; i < n; i++)
		vms[i].is_taking = false;
	while ((count < TAKING_MIN || milli < TAKING_MILLI) && (vm = next_pick(vms, n, places))) {
		if (count >= TAKING_MIN && !is_place(vm->dc, places))
			break;
		vm->is_taking = true;
		milli += vm->weight;
		count++;
	}
	return count;
}

bool entrychoice_is_for(const struct entrychoice_vm *vms, unsigned int n, unsigned int vm,
			const char *dc)
{
	if (!vms[vm].is_taking)
		return false;
	return taking_in(vms, n, dc) < LOCAL_MIN || strcmp(vms[vm].dc, dc) == 0;
}
