/* A whole manifest as JSON text, for manifest_create, section_split and section_join. */
#include "manifest.h"

#include "fuzz.h"
#include "section.h"

#include <string.h>

static const char *section_find(const char *sha256, size_t *body_bytes, void *arg)
{
	const struct section_set *set = arg;

	for (size_t i = 0; i < set->n; i++) {
		if (strcmp(set->sections[i].sha256, sha256) == 0) {
			*body_bytes = set->sections[i].body_bytes;
			return set->sections[i].body;
		}
	}
	return NULL;
}

/*
 * Splitting a manifest into sections and joining them must give the same manifest, since a daemon
 * receives it in sections.
 */
static void split_join_check(const json_t *whole)
{
	struct section_set *set = section_split(whole, NULL);
	json_t *joined;

	if (!set)
		return;
	joined = section_join(set->index, section_find, set, NULL);
	FUZZ_CHECK(joined && json_equal(whole, joined));
	json_decref(joined);
	section_set_destroy(set);
}

static void manifest_check(const struct manifest *m)
{
	for (guint i = 0; i < m->services->len; i++) {
		const struct manifest_service *s = g_ptr_array_index(m->services, i);

		FUZZ_CHECK(manifest_service_find(m, s->name) == s);
		FUZZ_CHECK(manifest_class_find(s, "") == &s->classes[0]);
		for (unsigned int shard = 0; shard < s->n_shards; shard++)
			FUZZ_CHECK(manifest_group_find(m, s->shard_group[shard]->id)->service == s);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	json_t *whole = json_loadb((const char *)data, size, JSON_REJECT_DUPLICATES, NULL);
	GError *error = NULL;
	struct manifest *m;

	if (!whole)
		return 0;
	m = manifest_create(whole, 1, &error);
	FUZZ_CHECK(!m == !!error);
	if (m) {
		manifest_check(m);
		split_join_check(whole);
	}
	g_clear_error(&error);
	manifest_put(m);
	json_decref(whole);
	return 0;
}
