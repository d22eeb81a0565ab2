/*
 * Which VMs read the store, and from which of them another VM hears.
 *
 * Each call to the store is priced and its rate is bounded for all VMs together, so a few read it
 * and pass on what they hear. The choice is the same on every VM that sees the same members; a VM
 * that sees others merely reads too, or asks one that does not.
 */
#ifndef APRICOT_READERS_H
#define APRICOT_READERS_H

#include "roster.h"

G_BEGIN_DECLS

/* Survives the loss of two at once, as the deployments ask. */
#define READERS_MAX 3

struct readers {
	const struct roster_vm *vms[READERS_MAX]; /* borrowed from the roster */
	unsigned int n;
	bool is_self; /* this VM is one of them */
};

/* The strongest available VM of each data centre, at most READERS_MAX; more where there are few. */
struct readers readers_choose(const struct roster *roster);

/* Index of the reader to ask first (own data centre before others) and of the one after it. */
unsigned int readers_first(const struct readers *readers, const char *own_dc);

G_END_DECLS

#endif
