/*
 * Service "holder": owns the leaf connections of the groups that this VM holds. It serves the
 * SEARCH, COMMAND and MARK procedures, for other VMs and for this one alike.
 */
#ifndef APRICOT_HOLDER_H
#define APRICOT_HOLDER_H

#include "kernel.h"

G_BEGIN_DECLS

struct holder_settings {
	const char *rpc_address; /* borrowed, outlives the service */
	uint64_t incarnation;
	uint64_t lease_ms; /* a pause longer than this makes the knowledge stale */
	uint64_t id_lifetime_ms; /* how long command ids are remembered */
	unsigned int max_ids;
};

struct service *holder_create(struct kernel *k, const struct holder_settings *settings);

G_END_DECLS

#endif
