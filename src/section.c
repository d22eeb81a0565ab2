#include "section.h"

#include <stdbool.h>
#include <string.h>

#include "result.h"

#define GROUP_PREFIX "group/"

#define bad_manifest_set(error, ...) \
	g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST, __VA_ARGS__)

char *section_digest(const char *body, size_t body_bytes)
{
	return g_compute_checksum_for_data(G_CHECKSUM_SHA256, (const guchar *)body, body_bytes);
}

static void section_init(struct section *section, char *name, const json_t *value)
{
	section->name = name;
	section->body = json_dumps(value, JSON_COMPACT | JSON_SORT_KEYS);
	section->body_bytes = strlen(section->body);
	section->sha256 = section_digest(section->body, section->body_bytes);
}

static json_t *section_index_create(const struct section_set *set)
{
	json_t *list = json_array();

	for (size_t i = 0; i < set->n; i++)
		json_array_append_new(list, json_pack("{s:s, s:s}", "name", set->sections[i].name,
						      "sha256", set->sections[i].sha256));
	return json_pack("{s:o}", "sections", list);
}

struct section_set *section_split(const json_t *document, GError **error)
{
	const json_t *services = json_object_get(document, "services");
	const json_t *groups = json_object_get(document, "groups");
	struct section_set *set = NULL;
	GHashTable *ids = NULL;

	if (!json_is_array(services) || !json_is_array(groups) || json_object_size(document) != 2) {
		bad_manifest_set(error, "expected an object with the arrays services and groups");
		return NULL;
	}
	set = g_new0(struct section_set, 1);
	set->sections = g_new0(struct section, json_array_size(groups) + 1);
	ids = g_hash_table_new(g_str_hash, g_str_equal);
	section_init(&set->sections[set->n++], g_strdup("services"), services);
	for (size_t i = 0; i < json_array_size(groups); i++) {
		const json_t *group = json_array_get(groups, i);
		const char *id = json_string_value(json_object_get(group, "id"));

		if (!id || !*id) {
			bad_manifest_set(error, "group %zu has no id", i);
			goto fail;
		}
		if (!g_hash_table_add(ids, (gpointer)id)) {
			bad_manifest_set(error, "two groups have the id %s", id);
			goto fail;
		}
		section_init(&set->sections[set->n++], g_strconcat(GROUP_PREFIX, id, NULL), group);
	}
	g_hash_table_destroy(ids);
	set->index = section_index_create(set);
	return set;
fail:
	g_hash_table_destroy(ids);
	section_set_destroy(set);
	return NULL;
}

void section_set_destroy(struct section_set *set)
{
	if (!set)
		return;
	for (size_t i = 0; i < set->n; i++) {
		g_free(set->sections[i].name);
		g_free(set->sections[i].sha256);
		free(set->sections[i].body);
	}
	g_free(set->sections);
	json_decref(set->index);
	g_free(set);
}

static json_t *section_load(const json_t *entry, section_lookup_fn *lookup, void *arg,
			    GError **error)
{
	const char *name = json_string_value(json_object_get(entry, "name"));
	const char *sha256 = json_string_value(json_object_get(entry, "sha256"));
	size_t body_bytes = 0;
	json_error_t json_error;
	json_t *value = NULL;
	const char *body = NULL;
	char *digest = NULL;

	if (!name || !sha256) {
		bad_manifest_set(error, "a section of the index has no name or no digest");
		return NULL;
	}
	body = lookup(sha256, &body_bytes, arg);
	if (!body) {
		bad_manifest_set(error, "section %s: no body with the digest %s", name, sha256);
		return NULL;
	}
	digest = section_digest(body, body_bytes);
	if (strcmp(digest, sha256) == 0) {
		value = json_loadb(body, body_bytes, JSON_REJECT_DUPLICATES, &json_error);
		if (!value)
			bad_manifest_set(error, "section %s: %s", name, json_error.text);
	} else {
		bad_manifest_set(error, "section %s: the body does not have the digest %s", name,
				 sha256);
	}
	g_free(digest);
	return value;
}

/* Adds the content of a section to the document. Takes over the reference to value. */
static bool document_add_section(json_t *document, const char *name, json_t *value, GError **error)
{
	if (strcmp(name, "services") == 0) {
		if (json_is_array(value) && !json_object_get(document, "services"))
			return json_object_set_new(document, "services", value) == 0;
	} else if (g_str_has_prefix(name, GROUP_PREFIX)) {
		const char *id = json_string_value(json_object_get(value, "id"));

		if (id && strcmp(id, name + strlen(GROUP_PREFIX)) == 0)
			return json_array_append_new(json_object_get(document, "groups"), value) ==
			       0;
	}
	bad_manifest_set(error, "section %s is repeated or has the wrong content", name);
	json_decref(value);
	return false;
}

json_t *section_join(const json_t *index, section_lookup_fn *lookup, void *arg, GError **error)
{
	const json_t *list = json_object_get(index, "sections");
	json_t *document = NULL;
	GHashTable *names = NULL;

	if (!json_is_array(list)) {
		bad_manifest_set(error, "the index has no array \"sections\"");
		return NULL;
	}
	document = json_pack("{s:[]}", "groups");
	names = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < json_array_size(list); i++) {
		const json_t *entry = json_array_get(list, i);
		json_t *value = section_load(entry, lookup, arg, error);
		const char *name = json_string_value(json_object_get(entry, "name"));

		if (!value || !document_add_section(document, name, value, error))
			goto fail;
		if (!g_hash_table_add(names, (gpointer)name)) {
			bad_manifest_set(error, "section %s is listed twice in the index", name);
			goto fail;
		}
	}
	if (!json_object_get(document, "services")) {
		bad_manifest_set(error, "the index does not list the section \"services\"");
		goto fail;
	}
	g_hash_table_destroy(names);
	return document;
fail:
	g_hash_table_destroy(names);
	json_decref(document);
	return NULL;
}
