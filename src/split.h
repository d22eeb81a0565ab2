/*
 * Divides the requests of a route among services in exact proportion to their weights (smooth
 * weighted round robin): after any number of requests each service is within one request of its
 * share. The state outlives the configuration version as long as the weights stay the same.
 */
#ifndef APRICOT_SPLIT_H
#define APRICOT_SPLIT_H

#include "routemap.h"

G_BEGIN_DECLS

struct splits;

struct splits *splits_create(void);
void splits_destroy(struct splits *s);

/* The service for the next request of the route, which must have targets. Belongs to the route. */
const char *splits_next(struct splits *s, const struct route *route);

G_END_DECLS

#endif
