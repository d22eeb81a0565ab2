#include "vmcount.h"

/*
 * If all VMs started at once and each assumed to be alone, each would use the whole limit. So a VM
 * assumes at least ASSUMED_VMS until DISCOVERY_US after its start. Discovering the members takes
 * about three seconds.
 */
#define DISCOVERY_US 5000000
#define ASSUMED_VMS 24

void vmcount_init(struct vmcount *c, uint64_t now_us)
{
	c->n = 1;
	c->set_at_us = 0;
	c->started_us = now_us;
}

void vmcount_set(struct vmcount *c, unsigned int n, uint64_t hold_us, uint64_t now_us)
{
	if (n < c->n && now_us - c->set_at_us < hold_us)
		return;
	c->n = MAX(1, n);
	c->set_at_us = now_us;
}

unsigned int vmcount_get(const struct vmcount *c, uint64_t now_us)
{
	return now_us - c->started_us < DISCOVERY_US ? MAX(ASSUMED_VMS, c->n) : c->n;
}
