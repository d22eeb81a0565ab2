/*
 * Number of VMs among which a limit that holds for all together is divided. It rises at once and
 * falls late, since VMs that cannot be reached or are being replaced go on using their part. Times
 * are in microseconds.
 */
#ifndef APRICOT_VMCOUNT_H
#define APRICOT_VMCOUNT_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Callers no longer use the address list in which a replaced entry VM stands after this time. */
#define VMCOUNT_REPLACED_US 10000000

struct vmcount {
	unsigned int n;
	uint64_t set_at_us;
	uint64_t started_us;
};

/* For a VM that has just started and does not know the others. */
void vmcount_init(struct vmcount *c, uint64_t now_us);
/* n: as known now. A lower number counts only hold_us after the last change. */
void vmcount_set(struct vmcount *c, unsigned int n, uint64_t hold_us, uint64_t now_us);
/* At least 1; a large number until the VM has had the time to discover the others. */
unsigned int vmcount_get(const struct vmcount *c, uint64_t now_us);

G_END_DECLS

#endif
