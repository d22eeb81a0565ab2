/*
 * This VM's share of a limit that a leaf sets for all VMs together. Nearly all of it is divided
 * among the entry VMs, whose addresses callers get. The other VMs get few requests, such as those
 * of callers with an old address list, and divide the rest. Times are in microseconds.
 */
#ifndef APRICOT_VMSHARE_H
#define APRICOT_VMSHARE_H

#include "vmcount.h"

#include <stdbool.h>

G_BEGIN_DECLS

struct vmshare {
	struct vmcount entries;
	struct vmcount others;
	bool is_entry; /* this VM */
};

void vmshare_init(struct vmshare *s, uint64_t now_us);
/* n_vms: all VMs, including the entry VMs. */
void vmshare_set(struct vmshare *s, unsigned int n_entries, unsigned int n_vms, bool is_entry,
		 uint64_t now_us);
/* 0 to 1. */
double vmshare_get(const struct vmshare *s, uint64_t now_us);

G_END_DECLS

#endif
