/*
 * Service "holder": owns the queues and leaf connections of the groups that this VM holds. It
 * serves the procedures SEARCH, COMMAND, MARK and NULL, to other VMs and to this one.
 */
#ifndef APRICOT_HOLDER_H
#define APRICOT_HOLDER_H

#include "kernel.h"

G_BEGIN_DECLS

struct holder_settings {
	const char *rpc_address; /* borrowed, outlives the service */
	uint64_t incarnation;
	uint64_t lease_ms; /* after a longer pause, what this VM knows of others is stale */
	uint64_t id_lifetime_ms; /* how long command ids are remembered */
	unsigned int max_ids; /* the most command ids that are remembered */
};

/* Copies settings. kernel_service_add() takes over the service. */
struct service *holder_create(struct kernel *k, const struct holder_settings *settings);

G_END_DECLS

#endif
