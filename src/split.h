/*
 * Divides the requests of a route among its services in proportion to their weights, by smooth
 * weighted round robin: after any number of requests each service is within one request of its
 * exact share. The state of a route is kept across configuration versions as long as its services
 * and weights stay the same.
 */
#ifndef APRICOT_SPLIT_H
#define APRICOT_SPLIT_H

#include "routemap.h"

G_BEGIN_DECLS

struct splits;

/* The caller owns the result; destroy accepts NULL. */
struct splits *splits_create(void);
void splits_destroy(struct splits *s);

/*
 * The service for the next request of the route, which must have at least one target. The string
 * belongs to the route.
 */
const char *splits_next(struct splits *s, const struct route *route);

G_END_DECLS

#endif
