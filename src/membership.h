/*
 * Service "membership": exchanges heartbeats with the other VMs, publishes the roster of the VMs
 * that may be called, and makes the list of entry VMs for callers.
 */
#ifndef APRICOT_MEMBERSHIP_H
#define APRICOT_MEMBERSHIP_H

#include "kernel.h"

G_BEGIN_DECLS

struct membership_settings {
	const char *name; /* strings are copied */
	const char *dc;
	const char *http_address;
	const char *rpc_address;
	const char *peers; /* RPC addresses, comma-separated, or NULL */
	uint32_t weight; /* processor share, thousandths of a core */
	uint64_t incarnation; /* of this process; not 0 */
	uint64_t started_ms; /* clock_now_ms() at the start of the process */
	uint64_t lease_ms; /* a longer pause of the process is logged */
	unsigned int ping_ms; /* period of heartbeats; 0: MEMBER_PERIOD_MS */
};

struct service *membership_create(struct kernel *k, const struct membership_settings *settings);

G_END_DECLS

#endif
