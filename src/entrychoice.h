/*
 * Chooses the VMs that serve as entry VMs, and those of them that a caller is told to use.
 *
 * A request can call a leaf of every shard, so every entry VM opens connections to all leaves, but
 * a leaf accepts only few. Besides, every call from a VM outside the leaves' data centres crosses
 * between data centres. So only a few VMs are chosen: those with the largest processor share in the
 * data centres of the leaves, and others when some of these are lost. A caller is told only of the
 * chosen VMs in its own data centre when there are enough.
 *
 * While chosen VMs are short (vmload.h), they stay chosen, so that callers do not all change to
 * others that are then short in turn. A few more VMs are chosen when little is left of the chosen
 * ones, and callers in the data centre of short VMs are also told of as many elsewhere as replace
 * what is missing. Without a VM that has more left, nothing changes.
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
	uint32_t weight_left; /* of it, what is left for callers; less while the VM is short */
	bool is_usable; /* can serve callers now */
	bool is_chosen; /* set by entrychoice_choose */
};

/*
 * Chooses the entry VMs, sets is_chosen of all VMs, and returns the number of chosen ones. The
 * choice is the same on every VM that passes the same list. leaf_dcs: names of the leaves' data
 * centres, ended by NULL, or NULL.
 */
unsigned int entrychoice_choose(struct entrychoice_vm *vms, unsigned int n, char *const *leaf_dcs);

/*
 * True when a caller in the data centre dc ("" when unknown) is told of the VM with index vm. To be
 * called after entrychoice_choose.
 */
bool entrychoice_is_offered(const struct entrychoice_vm *vms, unsigned int n, unsigned int vm,
			    const char *dc);

G_END_DECLS

#endif
