#include "manifest.h"

#include "result.h"

#include <string.h>

#define NAME_BYTES_MAX 63
#define DEADLINE_MS_MAX 60000
#define SLOTS_MAX 1024
#define CONNECTIONS_MAX 4096
#define CONNECT_US_MAX 1000000
#define CLASSES_MAX 32
/* The index lists a digest for each group and must fit into a platform value of at most 1 MB. */
#define GROUPS_MAX 8191

bool manifest_address_is_valid(const char *text)
{
	const char *colon = strrchr(text, ':');
	g_autofree char *host = NULL;
	guint64 port;

	if (!colon || colon == text)
		return false;
	host = g_strndup(text, colon - text);
	return g_hostname_is_ip_address(host) &&
	       g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL);
}

/* Sets an error that names the field; returns false, so that a reader can return its result. */
static bool field_error_set(GError **error, const char *where, const char *field,
			    const char *problem)
{
	g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST, "manifest: %s: %s: %s", where, field,
		    problem);
	return false;
}

static bool read_string(const json_t *object, const char *where, const char *field, char **out,
			GError **error)
{
	const char *text = json_string_value(json_object_get(object, field));

	if (!text || !*text)
		return field_error_set(error, where, field, "a non-empty string is required");
	if (strlen(text) > NAME_BYTES_MAX)
		return field_error_set(error, where, field, "must not be longer than 63 bytes");
	*out = g_strdup(text);
	return true;
}

static bool read_number(const json_t *object, const char *where, const char *field, uint64_t min,
			uint64_t max, uint64_t *out, GError **error)
{
	const json_t *value = json_object_get(object, field);
	json_int_t n = json_integer_value(value);

	if (!json_is_integer(value) || n < 0 || (uint64_t)n < min || (uint64_t)n > max) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST,
			    "manifest: %s: %s: a whole number from %" G_GUINT64_FORMAT
			    " to %" G_GUINT64_FORMAT " is required",
			    where, field, min, max);
		return false;
	}
	*out = (uint64_t)n;
	return true;
}

static bool read_optional_number(const json_t *object, const char *where, const char *field,
				 uint64_t max, uint64_t fallback, uint64_t *out, GError **error)
{
	*out = fallback;
	if (!json_object_get(object, field))
		return true;
	return read_number(object, where, field, 0, max, out, error);
}

static bool read_choice(const json_t *object, const char *where, const char *field,
			const char *first, const char *second, bool *is_second, GError **error)
{
	const char *text = json_string_value(json_object_get(object, field));

	if (!text || (strcmp(text, first) != 0 && strcmp(text, second) != 0)) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST,
			    "manifest: %s: %s: '%s' or '%s' is required", where, field, first,
			    second);
		return false;
	}
	*is_second = strcmp(text, second) == 0;
	return true;
}

static bool classes_parse(struct manifest_service *s, const json_t *array, GError **error)
{
	size_t n = json_array_size(array);

	if (n == 0 || n > CLASSES_MAX)
		return field_error_set(error, s->name, "classes", "1 to 32 classes are required");
	s->classes = g_new0(struct manifest_class, n);
	for (size_t i = 0; i < n; i++) {
		const json_t *entry = json_array_get(array, i);
		struct manifest_class *c = &s->classes[i];
		uint64_t priority;

		s->n_classes = i + 1;
		if (!read_string(entry, s->name, "name", &c->name, error) ||
		    !read_number(entry, s->name, "priority", 0, MANIFEST_PRIORITIES - 1, &priority,
				 error))
			return false;
		c->priority = priority;
	}
	return true;
}

static void service_free(struct manifest_service *s)
{
	for (unsigned int i = 0; i < s->n_classes; i++)
		g_free(s->classes[i].name);
	g_free(s->classes);
	g_free(s->shard_group);
	if (s->groups)
		g_ptr_array_free(s->groups, TRUE);
	g_free(s->name);
	g_free(s);
}

static void group_free(struct manifest_group *g)
{
	for (unsigned int i = 0; i < g->n_leaves; i++) {
		g_free(g->leaves[i].name);
		g_free(g->leaves[i].backend);
		g_free(g->leaves[i].dc);
		g_free(g->leaves[i].addr);
	}
	g_free(g->leaves);
	g_free(g->shards);
	g_free(g->digest);
	g_free(g->id);
	g_free(g);
}

static bool service_numbers_parse(struct manifest_service *s, const json_t *entry, GError **error)
{
	uint64_t target, deadline, shards, hedge, retry;

	if (!read_number(entry, s->name, "target_ms", 1, DEADLINE_MS_MAX, &target, error) ||
	    !read_number(entry, s->name, "deadline_ms", 1, DEADLINE_MS_MAX, &deadline, error) ||
	    !read_number(entry, s->name, "map_version", 1, G_MAXINT64, &s->map_version, error) ||
	    !read_number(entry, s->name, "index_version", 1, G_MAXINT64, &s->index_version,
			 error) ||
	    !read_number(entry, s->name, "shards", 1, MANIFEST_SHARDS_MAX, &shards, error) ||
	    !read_optional_number(entry, s->name, "hedge_pct", 100, 5, &hedge, error) ||
	    !read_optional_number(entry, s->name, "retry_pct", 100, 10, &retry, error))
		return false;
	if (target > deadline)
		return field_error_set(error, s->name, "target_ms", "must not exceed deadline_ms");
	s->target_ms = target;
	s->deadline_ms = deadline;
	s->n_shards = shards;
	s->hedge_ratio = (double)hedge / 100;
	s->hedge_disabled = hedge == 0;
	s->retry_ratio = (double)retry / 100;
	return true;
}

static bool service_parse(struct manifest *m, const json_t *entry, GError **error)
{
	struct manifest_service *s = g_new0(struct manifest_service, 1);
	const char *replica = json_string_value(json_object_get(entry, "replica"));
	bool is_command;
	bool is_latency;

	s->groups = g_ptr_array_new();
	g_ptr_array_add(m->services, s);
	if (!read_string(entry, "service", "name", &s->name, error) ||
	    !read_choice(entry, s->name, "kind", "search", "command", &is_command, error) ||
	    !read_choice(entry, s->name, "policy", "coverage", "latency", &is_latency, error) ||
	    !service_numbers_parse(s, entry, error) ||
	    !classes_parse(s, json_object_get(entry, "classes"), error))
		return false;
	s->kind = is_command ? MANIFEST_KIND_COMMAND : MANIFEST_KIND_SEARCH;
	s->policy = is_latency ? MANIFEST_POLICY_LATENCY : MANIFEST_POLICY_COVERAGE;
	s->random_replica = replica && strcmp(replica, "random") == 0;
	if (replica && !s->random_replica && strcmp(replica, "ewma") != 0)
		return field_error_set(error, s->name, "replica", "'ewma' or 'random' is required");
	s->shard_group = g_new0(struct manifest_group *, s->n_shards);
	if (!g_hash_table_insert(m->service_by_name, s->name, s))
		return field_error_set(error, s->name, "name", "another service has this name");
	return true;
}

static bool leaf_parse(struct manifest_group *g, struct manifest_leaf *leaf, const json_t *entry,
		       GError **error)
{
	uint64_t slots, connections;

	if (!read_string(entry, g->id, "name", &leaf->name, error) ||
	    !read_string(entry, leaf->name, "backend", &leaf->backend, error) ||
	    !read_string(entry, leaf->name, "dc", &leaf->dc, error) ||
	    !read_string(entry, leaf->name, "addr", &leaf->addr, error) ||
	    !read_number(entry, leaf->name, "slots", 1, SLOTS_MAX, &slots, error) ||
	    !read_number(entry, leaf->name, "connections", 1, CONNECTIONS_MAX, &connections,
			 error) ||
	    !read_optional_number(entry, leaf->name, "connect_us", CONNECT_US_MAX, 1000,
				  &leaf->connect_us, error))
		return false;
	if (!manifest_address_is_valid(leaf->addr))
		return field_error_set(error, leaf->name, "addr", "IP:PORT is required");
	leaf->slots = slots;
	leaf->connections = connections;
	return true;
}

static bool group_shards_parse(struct manifest_group *g, const json_t *array, GError **error)
{
	size_t n = json_array_size(array);

	if (n == 0 || n > g->service->n_shards)
		return field_error_set(error, g->id, "shards",
				       "a list of 1 to all shards of the service is required");
	g->shards = g_new0(unsigned int, n);
	g->n_shards = n;
	for (size_t i = 0; i < n; i++) {
		const json_t *value = json_array_get(array, i);
		json_int_t shard = json_integer_value(value);

		if (!json_is_integer(value) || shard < 0 || shard >= g->service->n_shards)
			return field_error_set(
				error, g->id, "shards",
				"must be shard numbers below the service's number of shards");
		if (g->service->shard_group[shard])
			return field_error_set(error, g->id, "shards",
					       "a shard belongs to two groups");
		g->service->shard_group[shard] = g;
		g->shards[i] = shard;
	}
	return true;
}

static bool group_parse(struct manifest *m, const json_t *entry, GError **error)
{
	struct manifest_group *g = g_new0(struct manifest_group, 1);
	const json_t *leaves = json_object_get(entry, "leaves");
	size_t n_leaves = json_array_size(leaves);
	g_autofree char *service = NULL;
	char *text;

	g_ptr_array_add(m->groups, g);
	if (!read_string(entry, "group", "id", &g->id, error) ||
	    !read_string(entry, g->id, "service", &service, error))
		return false;
	g->service = manifest_service_find(m, service);
	if (!g->service)
		return field_error_set(error, g->id, "service", "the manifest has no such service");
	if (!g_hash_table_insert(m->group_by_id, g->id, g))
		return field_error_set(error, g->id, "id", "another group has this id");
	g_ptr_array_add(g->service->groups, g);
	if (!group_shards_parse(g, json_object_get(entry, "shards"), error))
		return false;
	if (n_leaves == 0 || n_leaves > MANIFEST_GROUP_LEAVES_MAX)
		return field_error_set(error, g->id, "leaves", "1 to 16 leaves are required");
	g->leaves = g_new0(struct manifest_leaf, n_leaves);
	g->n_leaves = n_leaves;
	for (size_t i = 0; i < n_leaves; i++)
		if (!leaf_parse(g, &g->leaves[i], json_array_get(leaves, i), error))
			return false;
	text = json_dumps(entry, JSON_COMPACT | JSON_SORT_KEYS);
	g->digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
	free(text);
	return true;
}

static bool shards_are_covered(const struct manifest *m, GError **error)
{
	for (guint i = 0; i < m->services->len; i++) {
		const struct manifest_service *s = g_ptr_array_index(m->services, i);

		for (unsigned int shard = 0; shard < s->n_shards; shard++)
			if (!s->shard_group[shard])
				return field_error_set(error, s->name, "shards",
						       "a shard belongs to no group");
	}
	return true;
}

static bool document_parse(struct manifest *m, const json_t *document, GError **error)
{
	const json_t *services = json_object_get(document, "services");
	const json_t *groups = json_object_get(document, "groups");
	size_t i;
	json_t *entry;

	if (json_array_size(services) == 0)
		return field_error_set(error, "document", "services",
				       "a non-empty list is required");
	if (json_array_size(groups) == 0 || json_array_size(groups) > GROUPS_MAX)
		return field_error_set(error, "document", "groups",
				       "1 to 8191 groups are required");
	json_array_foreach((json_t *)services, i,
			   entry) if (!service_parse(m, entry, error)) return false;
	json_array_foreach((json_t *)groups, i,
			   entry) if (!group_parse(m, entry, error)) return false;
	return shards_are_covered(m, error);
}

struct manifest *manifest_create(const json_t *document, uint64_t version, GError **error)
{
	struct manifest *m = g_new0(struct manifest, 1);

	g_ref_count_init(&m->refs);
	m->version = version;
	m->services = g_ptr_array_new_with_free_func((GDestroyNotify)service_free);
	m->groups = g_ptr_array_new_with_free_func((GDestroyNotify)group_free);
	m->service_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	m->group_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	if (!document_parse(m, document, error)) {
		manifest_put(m);
		return NULL;
	}
	return m;
}

struct manifest *manifest_get(struct manifest *m)
{
	g_ref_count_inc(&m->refs);
	return m;
}

void manifest_put(struct manifest *m)
{
	if (!m || !g_ref_count_dec(&m->refs))
		return;
	g_hash_table_destroy(m->service_by_name);
	g_hash_table_destroy(m->group_by_id);
	g_ptr_array_free(m->services, TRUE);
	g_ptr_array_free(m->groups, TRUE);
	g_free(m);
}

struct manifest_service *manifest_service_find(const struct manifest *m, const char *name)
{
	return g_hash_table_lookup(m->service_by_name, name);
}

struct manifest_group *manifest_group_find(const struct manifest *m, const char *id)
{
	return g_hash_table_lookup(m->group_by_id, id);
}

struct manifest_class *manifest_class_find(const struct manifest_service *s, const char *name)
{
	if (!*name)
		return &s->classes[0];
	for (unsigned int i = 0; i < s->n_classes; i++)
		if (strcmp(s->classes[i].name, name) == 0)
			return &s->classes[i];
	return NULL;
}
