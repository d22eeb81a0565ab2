/*
 * Index and sections of a configuration, as the platform and peers send them.
 *
 * The input is a sequence of texts separated by NUL bytes. The first text is an index. In it, @0 to
 * @9 stand for the digests of the texts that follow, since the fuzzer cannot guess a digest. Each
 * of these texts is offered as a section.
 */
#include "config.h"

#include "fuzz.h"
#include "manifest.h"
#include "section.h"

#include <string.h>

#define TEXTS_MAX 10

struct sink {
	struct config_sink sink;
	const struct config_section *sections;
	unsigned int n;
	uint64_t applied;
};

static const char *section_find(const char *sha256, size_t *body_bytes, void *arg)
{
	const struct sink *s = arg;

	for (unsigned int i = 0; i < s->n; i++) {
		if (strcmp(s->sections[i].digest, sha256) == 0) {
			*body_bytes = s->sections[i].bytes;
			return s->sections[i].text;
		}
	}
	return NULL;
}

static bool manifest_validate(struct config_sink *sink, uint64_t version,
			      const struct config_section *sections, unsigned int n, GError **error)
{
	struct sink *s = (struct sink *)sink;
	json_t *list = json_array();
	json_t *index;
	json_t *whole;
	struct manifest *m;

	s->sections = sections;
	s->n = n;
	for (unsigned int i = 0; i < n; i++)
		json_array_append_new(list, json_pack("{s:s, s:s}", "name", sections[i].name,
						      "sha256", sections[i].digest));
	index = json_pack("{s:o}", "sections", list);
	whole = section_join(index, section_find, s, error);
	m = whole ? manifest_create(whole, version, error) : NULL;
	json_decref(index);
	json_decref(whole);
	manifest_put(m);
	return m != NULL;
}

static void config_apply(struct config_sink *sink, uint64_t version,
			 const struct config_section *sections, unsigned int n)
{
	struct sink *s = (struct sink *)sink;

	FUZZ_CHECK(version > s->applied);
	s->applied = version;
}

static char *index_expand(const char *template, char *const *digests, unsigned int n)
{
	GString *out = g_string_new(NULL);

	for (const char *p = template; *p; p++) {
		if (p[0] == '@' && g_ascii_isdigit(p[1]) && (unsigned int)(p[1] - '0') < n)
			g_string_append(out, digests[*++p - '0']);
		else
			g_string_append_c(out, *p);
	}
	return g_string_free(out, FALSE);
}

static void store_feed(struct config_store *store, const char *index, char *const *texts,
		       char *const *digests, unsigned int n)
{
	const char *missing[4];

	for (uint64_t version = 1; version <= 3; version++) {
		GError *error = NULL;

		config_store_offer(store, version, index,
				   version % 2 ? CONFIG_SOURCE_PLATFORM : "peer", &error);
		g_clear_error(&error);
		config_store_missing_digests(store, missing, G_N_ELEMENTS(missing));
		for (unsigned int i = 0; i < n; i++) {
			config_store_section_add(store, digests[i], texts[i], strlen(texts[i]),
						 &error);
			g_clear_error(&error);
		}
		if (n > 0)
			config_store_section_add(store, digests[0], "other", 5, NULL);
		config_store_source_answered(store);
		config_store_is_ready(store, version * 100);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const struct config_sink_ops ops = {manifest_validate, config_apply};
	struct sink sink = {.sink.ops = &ops};
	struct config_store *store = config_store_create(&sink.sink, 2, 0);
	char *texts[TEXTS_MAX + 1];
	char *digests[TEXTS_MAX + 1];
	unsigned int n = 0;
	char *index;
	size_t bytes;

	for (size_t at = 0; at <= size && n <= TEXTS_MAX; at += strlen(texts[n++]) + 1)
		texts[n] = g_strndup((const char *)data + at, size - at);
	for (unsigned int i = 1; i < n; i++)
		digests[i] = section_digest(texts[i], strlen(texts[i]));
	index = index_expand(texts[0], digests + 1, n - 1);
	store_feed(store, index, texts + 1, digests + 1, n - 1);
	for (unsigned int i = 1; i < n; i++) {
		const char *text = config_store_section_text(store, digests[i], &bytes);

		FUZZ_CHECK(!text || strcmp(text, texts[i]) == 0);
	}
	config_store_destroy(store);
	g_free(index);
	g_free(texts[0]);
	for (unsigned int i = 1; i < n; i++) {
		g_free(texts[i]);
		g_free(digests[i]);
	}
	return 0;
}
