/*
 * Service "feed": reads the routing configuration and the leaves from the store and tells the
 * gateway. It lists once, then waits for changes; the calls it makes are few, since each is priced.
 */
#ifndef APRICOT_FEED_H
#define APRICOT_FEED_H

#include "edge.h"
#include "kernel.h"

G_BEGIN_DECLS

struct feed_settings {
	const char *store_address; /* IP:PORT */
	unsigned int wait_ms; /* longest wait of one watch */
};

struct service *feed_create(struct kernel *k, const struct edge *edge,
			    const struct feed_settings *settings, GError **error);

G_END_DECLS

#endif
