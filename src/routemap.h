/*
 * One version of the routing configuration: which requests go where, and how each is treated.
 *
 * A map is immutable once published and reference counted, so that a request keeps the version it
 * began with. Strings passed to the builder functions are copied.
 */
#ifndef APRICOT_ROUTEMAP_H
#define APRICOT_ROUTEMAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* One service among which a route's requests are divided. */
struct route_target {
	char *service;
	double weight; /* share in proportion to the sum of the route's weights */
};

struct route {
	char *name;
	char *host; /* lower case, without port */
	char *prefix; /* begins and ends with a slash */
	bool is_idempotent; /* may run more than once */
	unsigned int timeout_ms; /* longest time that a caller is kept waiting */
	unsigned int goal_ms; /* an answer within it has its full value; 0: none */
	unsigned int priority; /* 0 is served first */
	unsigned int max_attempts; /* leaves that one request may be sent to, for each shard */
	GPtrArray *targets; /* struct route_target; one or more, unless shards are given */
	GPtrArray *shards; /* service names; NULL unless the request goes to all of them */
	unsigned int top_k; /* records of an answer over shards */
	double min_share; /* least share of the shards in an answer */
};

struct routemap_service {
	char *name;
	char *check_path; /* of status checks */
	unsigned int max_connections; /* of one leaf, from all VMs together */
};

struct caller_limits {
	unsigned int head_bytes;
	unsigned int body_bytes;
	unsigned int head_ms;
	unsigned int idle_ms;
};

struct routemap {
	grefcount refs;
	uint64_t version;
	GPtrArray *routes; /* struct route */
	GHashTable *hosts; /* host -> GPtrArray of struct route, longest prefix first */
	GHashTable *services; /* name -> struct routemap_service */
	struct caller_limits limits;
};

struct routemap *routemap_create(uint64_t version);
struct routemap *routemap_get(struct routemap *m);
void routemap_put(struct routemap *m); /* accepts NULL */

/* An empty route that the map owns; the caller fills it in before routemap_publish. */
struct route *routemap_route_add(struct routemap *m);
void route_target_add(struct route *r, const char *service, double weight);
void route_shard_add(struct route *r, const char *service);
void routemap_service_add(struct routemap *m, const char *name, const char *check_path,
			  unsigned int max_connections);

/*
 * Checks the routes and builds the index. False with RESULT_BAD_MANIFEST and a message that names
 * the route when one is incomplete or contradictory.
 */
bool routemap_publish(struct routemap *m, GError **error);

/* The route with the longest prefix that begins the path; NULL when none does. host may have a
 * port. */
const struct route *routemap_find(const struct routemap *m, const char *host, const char *path);
const struct routemap_service *routemap_service_find(const struct routemap *m, const char *name);

G_END_DECLS

#endif
