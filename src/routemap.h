/*
 * One version of the routing configuration: to which services requests go, and with which limits.
 *
 * A map is built with the add functions, which copy the strings passed to them. Once published it
 * is immutable and reference counted, so that a request keeps the version that it started with.
 */
#ifndef APRICOT_ROUTEMAP_H
#define APRICOT_ROUTEMAP_H

#include "mapnote.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/* One of the services among which a route divides its requests. */
struct route_target {
	char *service;
	double weight; /* its share of the requests is weight / sum of the route's weights */
};

struct route {
	char *name;
	char *host; /* lower case, without port */
	char *prefix; /* begins and ends with a slash */
	bool is_idempotent; /* may run more than once */
	unsigned int timeout_ms; /* longest time that a caller waits for the answer */
	unsigned int goal_ms; /* latency target: an answer within it has its full value; 0: none */
	unsigned int priority; /* 0 is served first */
	unsigned int max_attempts; /* leaves to which one request may be sent, for each shard */
	GPtrArray *targets; /* struct route_target, one or more, or none when shards is set */
	GPtrArray *shards; /* service names; NULL unless a request goes to all of them */
	unsigned int top_k; /* highest number of records in an answer merged from the shards */
	double min_share; /* least part of the shards that an answer must cover, 0 to 1 */
	GPtrArray *regions; /* names of those in which its requests may run; NULL: everywhere */
};

struct routemap_service {
	char *name;
	char *check_path; /* path of health checks */
	unsigned int max_connections; /* to one leaf, from all VMs together */
	unsigned int warmup_ms; /* how long a leaf stays cold after its start */
	double warmup_calls_per_s; /* that a cold leaf takes, from all VMs together; 0: no limit */
};

/* Limits of one caller connection. */
struct caller_limits {
	unsigned int head_bytes; /* size of a request's header */
	unsigned int body_bytes; /* size of a request's body */
	unsigned int head_ms; /* time to receive a request's header */
	unsigned int idle_ms; /* time without a request */
};

struct routemap {
	grefcount refs;
	uint64_t version;
	uint64_t applied_ms; /* when it came into force on this VM (clock_now_ms); 0: not yet */
	GPtrArray *routes; /* struct route */
	GHashTable *hosts; /* host -> GPtrArray of struct route, longest prefix first */
	GHashTable *services; /* name -> struct routemap_service */
	struct caller_limits limits;
	char *text; /* as read from the store, ends with a zero byte; NULL: unknown */
	struct mapnotes *notes; /* hears of errors until routemap_publish returns; NULL: nobody */
	bool has_regions; /* a route has region restrictions */
};

struct routemap *routemap_create(uint64_t version);
struct routemap *routemap_get(struct routemap *m); /* takes one more reference and returns m */
void routemap_put(struct routemap *m); /* drops a reference; accepts NULL */

/* Adds an empty route, which the map owns; the caller fills it in before routemap_publish. */
struct route *routemap_route_add(struct routemap *m);
void route_target_add(struct route *r, const char *service, double weight);
void route_shard_add(struct route *r, const char *service);
/* Restricts the route to no region, so that no leaf may be called, until some are added. */
void route_regions_restrict(struct route *r);
void route_region_add(struct route *r, const char *region);
/* The result is borrowed; its fields may be set until routemap_publish. */
struct routemap_service *routemap_service_add(struct routemap *m, const char *name,
					      const char *check_path, unsigned int max_connections);

/* Keeps a copy of the n bytes from which the map was read. */
void routemap_text_set(struct routemap *m, const char *text, size_t n);
/*
 * Validates the routes and indexes them by host. Returns false with RESULT_BAD_MANIFEST and a
 * message that names the first route that is incomplete or contradictory. Reports all errors of all
 * routes to m->notes; without notes it stops at the first.
 */
bool routemap_publish(struct routemap *m, GError **error);

/*
 * Returns the route of the host with the longest prefix of the path, or NULL. A port in host and a
 * query in path are ignored. The map owns the result.
 */
const struct route *routemap_find(const struct routemap *m, const char *host, const char *path);
/*
 * The routes of the host (struct route), longest prefix first, or NULL. A port in host is ignored.
 * The map owns the result.
 */
const GPtrArray *routemap_host_find(const struct routemap *m, const char *host);
const struct routemap_service *routemap_service_find(const struct routemap *m, const char *name);

G_END_DECLS

#endif
