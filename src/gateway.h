/*
 * Service "gateway": accepts requests from callers on one address and handles them as the routing
 * configuration says. It owns the set of leaves, the connections to them and the repeat budgets.
 */
#ifndef APRICOT_GATEWAY_H
#define APRICOT_GATEWAY_H

#include "adapter.h"
#include "kernel.h"
#include "repeats.h"

G_BEGIN_DECLS

struct gateway_settings {
	const char *address; /* IP:PORT on which callers connect */
	const char *dc; /* data centre of this VM */
	struct repeats_limits repeats;
	uint64_t held_bound_bytes; /* held for callers and leaves at most; 0: not bounded */
	unsigned int features; /* enum feature values combined */
	const char *dc_regions; /* regions of the data centres, see region.h; or NULL */
	bool has_spread; /* calls are spread over leaves, see spread.h */
	uint64_t stop_limit_ms; /* from the announcement of a planned stop until the process ends */
};

/* NULL with an error if listening on the address fails. adapter is borrowed. */
struct service *gateway_create(struct kernel *k, const struct adapter *adapter,
			       const struct gateway_settings *settings, GError **error);

G_END_DECLS

#endif
