/*
 * A parsed and validated configuration. It is immutable and reference counted: a request keeps a
 * reference to the manifest that it started with, so that a change of configuration cannot mix two
 * shard maps in one answer. The manifest owns everything that its pointers lead to.
 */
#ifndef APRICOT_MANIFEST_H
#define APRICOT_MANIFEST_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define MANIFEST_SHARDS_MAX 4096
#define MANIFEST_GROUP_LEAVES_MAX 16
#define MANIFEST_PRIORITIES 8

enum manifest_kind { MANIFEST_KIND_SEARCH, MANIFEST_KIND_COMMAND };
enum manifest_policy { MANIFEST_POLICY_COVERAGE, MANIFEST_POLICY_LATENCY };

struct manifest_class {
	char *name;
	unsigned int priority; /* below MANIFEST_PRIORITIES; 0 is served first */
};

struct manifest_leaf {
	char *name;
	char *backend; /* name of the backend server */
	char *dc;
	char *addr; /* IP:PORT */
	unsigned int slots;
	unsigned int connections;
	uint64_t connect_us; /* usual time to open a connection */
};

struct manifest_group {
	char *id;
	struct manifest_service *service;
	unsigned int *shards;
	unsigned int n_shards;
	struct manifest_leaf *leaves; /* each serves all shards of the group */
	unsigned int n_leaves;
	char *digest; /* SHA-256 of the group's JSON; an unchanged group keeps its digest */
};

struct manifest_service {
	char *name;
	enum manifest_kind kind;
	enum manifest_policy policy;
	unsigned int target_ms;
	unsigned int deadline_ms;
	uint64_t map_version;
	uint64_t index_version;
	unsigned int n_shards;
	double hedge_ratio; /* hedged calls allowed for each first call */
	double retry_ratio; /* retries allowed for each first call */
	bool hedge_disabled;
	bool random_replica; /* picks a replica at random: the baseline of experiments */
	struct manifest_class *classes;
	unsigned int n_classes;
	struct manifest_group **shard_group; /* group of each shard, by shard number */
	GPtrArray *groups; /* struct manifest_group */
};

struct manifest {
	grefcount refs;
	uint64_t version; /* the platform's number of this configuration */
	GPtrArray *services; /* struct manifest_service */
	GPtrArray *groups; /* struct manifest_group */
	GHashTable *service_by_name;
	GHashTable *group_by_id;
};

/*
 * Parses the complete document of docs/design.md, section 5.4. Returns a reference that the caller
 * owns, or NULL with RESULT_BAD_MANIFEST and a message that names the offending field.
 */
struct manifest *manifest_create(const json_t *document, uint64_t version, GError **error);
struct manifest *manifest_get(struct manifest *m); /* takes one more reference and returns m */
void manifest_put(struct manifest *m); /* drops a reference; accepts NULL */

/* The results of the find functions belong to the manifest; NULL when there is none. */
struct manifest_service *manifest_service_find(const struct manifest *m, const char *name);
struct manifest_group *manifest_group_find(const struct manifest *m, const char *id);
/* An empty name finds the first class. */
struct manifest_class *manifest_class_find(const struct manifest_service *s, const char *name);

/* True for "IP:PORT" with an IP address, not a host name, and a port from 1 to 65535. */
bool manifest_address_is_valid(const char *text);

G_END_DECLS

#endif
