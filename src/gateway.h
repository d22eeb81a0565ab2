/*
 * Service "gateway": takes requests of callers on one address and serves them by the routing
 * configuration. It owns the leaves, the connections to them and the budgets.
 */
#ifndef APRICOT_GATEWAY_H
#define APRICOT_GATEWAY_H

#include "edge.h"
#include "kernel.h"
#include "repeats.h"

G_BEGIN_DECLS

struct gateway_settings {
	const char *address; /* IP:PORT for callers */
	const char *dc;
	struct repeats_limits repeats;
};

struct service *gateway_create(struct kernel *k, const struct edge *edge,
			       const struct gateway_settings *settings, GError **error);

G_END_DECLS

#endif
