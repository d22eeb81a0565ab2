/*
 * Chooses the VMs that read the configuration store, and the one of them that another VM asks.
 *
 * Each call to the store is charged for, and the rate of calls is limited for all VMs together. So
 * a few VMs read the store and pass its changes on to the others. All VMs with the same roster
 * choose the same readers. A VM with another roster does no harm: at worst it reads the store as
 * well, or asks a VM that does not read it.
 */
#ifndef APRICOT_READERS_H
#define APRICOT_READERS_H

#include "roster.h"

G_BEGIN_DECLS

/* With three readers one is left when two fail at once, which the deployments require. */
#define READERS_MAX 3

struct readers {
	const struct roster_vm *vms[READERS_MAX]; /* borrowed from the roster */
	unsigned int n;
	bool is_self; /* this VM is one of them */
};

/*
 * Chooses up to READERS_MAX available VMs: the one with the greatest weight of each data centre,
 * then, if these are fewer than READERS_MAX, the next ones of any data centre.
 */
struct readers readers_choose(const struct roster *roster);

/*
 * Returns the index of the reader to ask first: the one in own_dc, or else 0. The readers after it,
 * wrapping around, are to be asked next.
 */
unsigned int readers_first(const struct readers *readers, const char *own_dc);

/*
 * Chooses up to READERS_MAX other available VMs, to be asked while no reader answers: one of them
 * may read the store itself. Each round names the next ones, beginning at a different VM for each
 * asking VM. is_self is false.
 */
struct readers readers_others(const struct roster *roster, const struct readers *readers,
			      unsigned int round);

G_END_DECLS

#endif
