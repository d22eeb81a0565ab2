/*
 * Which entry VMs a caller is told to use.
 *
 * Answers the load of requests that each call a leaf of every shard: every entry VM in use opens
 * connections to all leaves, whose caps are small, and VMs far from the leaves pay a crossing for
 * each call. So few VMs take callers: strong ones, in the data centres of the leaves; more when
 * some are lost. A caller gets those of its own data centre when there are enough.
 */
#ifndef APRICOT_ENTRYCHOICE_H
#define APRICOT_ENTRYCHOICE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct entrychoice_vm {
	const char *dc;
	uint64_t name_hash;
	uint32_t weight; /* processor share, thousandths of a core */
	bool is_usable; /* can serve callers now */
	bool is_taking; /* set by entrychoice_mark */
};

/*
 * Sets is_taking of the VMs that take callers, the same on every VM that sees the same list.
 * places: data centres of the leaves, ended by NULL. Returns their number.
 */
unsigned int entrychoice_mark(struct entrychoice_vm *vms, unsigned int n, char *const *places);

/*
 * True when a caller of the data centre dc ("": unknown) is told of the VM. Call after
 * entrychoice_mark.
 */
bool entrychoice_is_for(const struct entrychoice_vm *vms, unsigned int n, unsigned int vm,
			const char *dc);

G_END_DECLS

#endif
