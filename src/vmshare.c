#include "vmshare.h"

/* Part of the limit that the VMs other than the entry VMs divide, if there are any. */
#define OTHERS_PART 0.1

void vmshare_init(struct vmshare *s, uint64_t now_us)
{
	vmcount_init(&s->entries, now_us);
	vmcount_init(&s->others, now_us);
	s->is_entry = false;
}

void vmshare_set(struct vmshare *s, unsigned int n_entries, unsigned int n_vms, bool is_entry,
		 uint64_t now_us)
{
	vmcount_set(&s->entries, n_entries, VMCOUNT_REPLACED_US, now_us);
	vmcount_set(&s->others, n_vms - MIN(n_entries, n_vms), VMCOUNT_REPLACED_US, now_us);
	s->is_entry = is_entry;
}

double vmshare_get(const struct vmshare *s, uint64_t now_us)
{
	if (s->is_entry)
		return (1 - OTHERS_PART) / vmcount_get(&s->entries, now_us);
	return OTHERS_PART / vmcount_get(&s->others, now_us);
}
