#include "readers.h"

#include <string.h>

static bool readers_have_vm(const struct readers *r, const struct roster_vm *vm)
{
	for (unsigned int i = 0; i < r->n; i++)
		if (r->vms[i] == vm)
			return true;
	return false;
}

static bool readers_have_dc(const struct readers *r, const char *dc)
{
	for (unsigned int i = 0; i < r->n; i++)
		if (strcmp(r->vms[i]->dc, dc) == 0)
			return true;
	return false;
}

/* Orders VMs by weight; the hash of the name breaks ties equally on every VM. */
static bool vm_is_preferred(const struct roster_vm *a, const struct roster_vm *b)
{
	if (a->weight != b->weight)
		return a->weight > b->weight;
	return a->name_hash > b->name_hash;
}

static const struct roster_vm *best_vm_find(const struct roster *roster, const struct readers *r,
					    bool in_new_dc)
{
	const struct roster_vm *best = NULL;

	for (unsigned int i = 0; i < roster->n_vms; i++) {
		const struct roster_vm *vm = &roster->vms[i];

		if (!vm->is_available || readers_have_vm(r, vm) ||
		    (in_new_dc && readers_have_dc(r, vm->dc)))
			continue;
		if (!best || vm_is_preferred(vm, best))
			best = vm;
	}
	return best;
}

struct readers readers_choose(const struct roster *roster)
{
	struct readers r = {0};

	/* The first pass takes one VM of each data centre, the second any other. */
	for (int pass = 0; pass < 2; pass++) {
		const struct roster_vm *vm;

		while (r.n < READERS_MAX && (vm = best_vm_find(roster, &r, pass == 0))) {
			r.vms[r.n++] = vm;
			r.is_self = r.is_self || vm->is_self;
		}
	}
	return r;
}

struct readers readers_others(const struct roster *roster, const struct readers *readers,
			      unsigned int round)
{
	struct readers r = {0};
	uint64_t first = (uint64_t)round * READERS_MAX;

	for (unsigned int i = 0; i < roster->n_vms; i++)
		if (roster->vms[i].is_self)
			first += roster->vms[i].name_hash % roster->n_vms;
	for (unsigned int i = 0; i < roster->n_vms && r.n < READERS_MAX; i++) {
		const struct roster_vm *vm = &roster->vms[(first + i) % roster->n_vms];

		if (vm->is_available && !vm->is_self && !readers_have_vm(readers, vm))
			r.vms[r.n++] = vm;
	}
	return r;
}

unsigned int readers_first(const struct readers *readers, const char *own_dc)
{
	for (unsigned int i = 0; i < readers->n; i++)
		if (strcmp(readers->vms[i]->dc, own_dc) == 0)
			return i;
	return 0;
}
