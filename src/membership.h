/*
 * Service "membership": heartbeats between the VMs, the roster of those that may be called, and
 * the list of entries for callers.
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
	uint64_t incarnation;
	uint64_t started_ms; /* clock_now_ms of the start */
	uint64_t lease_ms;
	unsigned int ping_ms; /* period of heartbeats; 0: MEMBER_PERIOD_MS */
};

struct service *membership_create(struct kernel *k, const struct membership_settings *settings);

G_END_DECLS

#endif
