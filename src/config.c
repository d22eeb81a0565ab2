#include "config.h"

#include <jansson.h>
#include <string.h>

/* Refused offers remembered; few are enough, as the platform repeats only its newest version. */
#define REFUSED_MAX 16

struct stored_section {
	char *name;
	char digest[CONFIG_DIGEST_CHARS + 1];
	GBytes *text; /* with a final NUL; shared between versions; NULL while it is missing */
	struct stored_section *next_same_digest;
};

struct config_manifest {
	uint64_t version;
	char *index;
	char *source;
	struct stored_section *sections;
	unsigned int n_sections;
	GHashTable *by_digest; /* digest -> first section with it */
	unsigned int n_missing; /* digests without a text */
};

struct refusal {
	uint64_t version;
	guint index_hash;
};

struct config_store {
	struct config_sink *sink;
	struct config_manifest *current;
	struct config_manifest *candidate;
	struct refusal refused[REFUSED_MAX];
	unsigned int refused_next;
	unsigned int sources;
	unsigned int sources_answered;
	uint64_t started_ms;
	bool is_ready;
	struct config_stats stats;
};

static void config_manifest_destroy(struct config_manifest *m)
{
	if (!m)
		return;
	for (unsigned int i = 0; i < m->n_sections; i++) {
		g_free(m->sections[i].name);
		if (m->sections[i].text)
			g_bytes_unref(m->sections[i].text);
	}
	g_hash_table_destroy(m->by_digest);
	g_free(m->sections);
	g_free(m->index);
	g_free(m->source);
	g_free(m);
}

static bool digest_is_valid(const char *digest)
{
	return strlen(digest) == CONFIG_DIGEST_CHARS &&
	       strspn(digest, "0123456789abcdef") == CONFIG_DIGEST_CHARS;
}

static bool config_manifest_add_section(struct config_manifest *m, json_t *item, GHashTable *names,
					GError **error)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	const char *digest = json_string_value(json_object_get(item, "sha256"));
	struct stored_section *section = &m->sections[m->n_sections];
	struct stored_section *first;

	if (!name || name[0] == '\0' || !digest || !digest_is_valid(digest)) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST,
			    "section %u of the index: name or sha256 is missing or malformed",
			    m->n_sections);
		return false;
	}
	section->name = g_strdup(name);
	g_strlcpy(section->digest, digest, sizeof(section->digest));
	m->n_sections++;
	if (!g_hash_table_add(names, section->name)) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST,
			    "section \"%s\" is listed twice in the index", name);
		return false;
	}
	first = g_hash_table_lookup(m->by_digest, section->digest);
	if (first) {
		section->next_same_digest = first->next_same_digest;
		first->next_same_digest = section;
	} else {
		g_hash_table_insert(m->by_digest, section->digest, section);
		m->n_missing++;
	}
	return true;
}

static struct config_manifest *config_manifest_parse(uint64_t version, const char *index,
						     const char *source, GError **error)
{
	struct config_manifest *m = g_new0(struct config_manifest, 1);
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	json_t *root = NULL, *sections, *item;
	json_error_t json_error;
	bool ok = false;
	size_t i;

	m->version = version;
	m->index = g_strdup(index);
	m->source = g_strdup(source);
	m->by_digest = g_hash_table_new(g_str_hash, g_str_equal);
	if (strlen(index) > CONFIG_TEXT_MAX_BYTES) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST, "the index exceeds %d bytes",
			    CONFIG_TEXT_MAX_BYTES);
		goto out;
	}
	root = json_loads(index, 0, &json_error);
	if (!root) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST, "index: %s at line %d",
			    json_error.text, json_error.line);
		goto out;
	}
	sections = json_object_get(root, "sections");
	if (json_array_size(sections) == 0 || json_array_size(sections) > CONFIG_SECTIONS_MAX) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST,
			    "index: \"sections\" must be an array of 1 to %d sections",
			    CONFIG_SECTIONS_MAX);
		goto out;
	}
	m->sections = g_new0(struct stored_section, json_array_size(sections));
	json_array_foreach(sections, i, item)
	{
		if (!config_manifest_add_section(m, item, names, error))
			goto out;
	}
	ok = true;
out:
	json_decref(root);
	g_hash_table_destroy(names);
	if (!ok) {
		config_manifest_destroy(m);
		return NULL;
	}
	return m;
}

/* Sets the text of every section with the digest, if it is missing. */
static void config_manifest_set_text(struct config_manifest *m, const char *digest, GBytes *text)
{
	struct stored_section *section = g_hash_table_lookup(m->by_digest, digest);

	if (!section || section->text)
		return;
	for (; section; section = section->next_same_digest)
		section->text = g_bytes_ref(text);
	m->n_missing--;
}

static void config_manifest_reuse_texts(struct config_manifest *m,
					const struct config_manifest *from)
{
	if (!from)
		return;
	for (unsigned int i = 0; i < from->n_sections; i++)
		if (from->sections[i].text)
			config_manifest_set_text(m, from->sections[i].digest,
						 from->sections[i].text);
}

static bool store_refused_contains(const struct config_store *s, uint64_t version, guint index_hash)
{
	for (unsigned int i = 0; i < REFUSED_MAX; i++)
		if (s->refused[i].version == version && s->refused[i].index_hash == index_hash)
			return true;
	return false;
}

static void store_refused_add(struct config_store *s, uint64_t version, const char *index)
{
	struct refusal *r = &s->refused[s->refused_next++ % REFUSED_MAX];

	r->version = version;
	r->index_hash = g_str_hash(index);
	s->stats.refused++;
}

/* Validates the complete candidate and puts it in force, or refuses it. */
static enum result store_apply_candidate(struct config_store *s, GError **error)
{
	struct config_manifest *m = s->candidate;
	struct config_section *sections = g_new0(struct config_section, m->n_sections);
	enum result r = RESULT_OK;

	s->candidate = NULL;
	for (unsigned int i = 0; i < m->n_sections; i++) {
		sections[i].name = m->sections[i].name;
		sections[i].digest = m->sections[i].digest;
		sections[i].text = g_bytes_get_data(m->sections[i].text, NULL);
		sections[i].bytes = g_bytes_get_size(m->sections[i].text) - 1;
	}
	if (s->sink->ops->validate(s->sink, m->version, sections, m->n_sections, error)) {
		s->sink->ops->apply(s->sink, m->version, sections, m->n_sections);
		s->stats.applied++;
		config_manifest_destroy(s->current);
		s->current = m;
	} else {
		store_refused_add(s, m->version, m->index);
		config_manifest_destroy(m);
		r = RESULT_BAD_MANIFEST;
	}
	g_free(sections);
	return r;
}

struct config_store *config_store_create(struct config_sink *sink, unsigned int sources,
					 uint64_t now_ms)
{
	struct config_store *s = g_new0(struct config_store, 1);

	s->sink = sink;
	s->sources = sources;
	s->started_ms = now_ms;
	return s;
}

void config_store_destroy(struct config_store *s)
{
	if (!s)
		return;
	config_manifest_destroy(s->current);
	config_manifest_destroy(s->candidate);
	g_free(s);
}

enum result config_store_offer(struct config_store *s, uint64_t version, const char *index,
			       const char *source, GError **error)
{
	struct config_manifest *m;

	if (s->current && version == s->current->version && strcmp(index, s->current->index) != 0)
		s->stats.conflicts++;
	if (version <= config_store_version(s))
		return RESULT_OLD_MANIFEST;
	if (store_refused_contains(s, version, g_str_hash(index)))
		return RESULT_BAD_MANIFEST;
	if (s->candidate && version < s->candidate->version)
		return RESULT_OLD_MANIFEST;
	if (s->candidate && version == s->candidate->version) {
		if (strcmp(index, s->candidate->index) == 0) {
			g_free(s->candidate->source);
			s->candidate->source = g_strdup(source);
			return RESULT_OK;
		}
		/* The platform issues the versions, so its index replaces that of a peer. */
		if (strcmp(source, CONFIG_SOURCE_PLATFORM) != 0)
			return RESULT_OLD_MANIFEST;
	}
	m = config_manifest_parse(version, index, source, error);
	if (!m) {
		store_refused_add(s, version, index);
		return RESULT_BAD_MANIFEST;
	}
	config_manifest_reuse_texts(m, s->current);
	config_manifest_reuse_texts(m, s->candidate);
	config_manifest_destroy(s->candidate);
	s->candidate = m;
	return m->n_missing == 0 ? store_apply_candidate(s, error) : RESULT_OK;
}

unsigned int config_store_missing_digests(const struct config_store *s, const char **digests,
					  unsigned int max)
{
	unsigned int n = 0;

	if (!s->candidate)
		return 0;
	for (unsigned int i = 0; i < s->candidate->n_sections && n < max; i++) {
		const struct stored_section *section = &s->candidate->sections[i];

		if (!section->text &&
		    g_hash_table_lookup(s->candidate->by_digest, section->digest) == section)
			digests[n++] = section->digest;
	}
	return s->candidate->n_missing;
}

const char *config_store_candidate_source(const struct config_store *s)
{
	return s->candidate ? s->candidate->source : NULL;
}

enum result config_store_section_add(struct config_store *s, const char *digest, const char *text,
				     size_t bytes, GError **error)
{
	const struct stored_section *section =
		s->candidate ? g_hash_table_lookup(s->candidate->by_digest, digest) : NULL;
	enum result r = RESULT_OK;
	char *copy, *sum;
	GBytes *shared;

	if (!section || section->text)
		return RESULT_NOT_FOUND;
	if (bytes > CONFIG_TEXT_MAX_BYTES)
		return RESULT_TOO_LARGE;
	sum = g_compute_checksum_for_data(G_CHECKSUM_SHA256, (const guchar *)text, bytes);
	if (strcmp(sum, digest) != 0) {
		s->stats.bad_digest++;
		g_free(sum);
		return RESULT_MISMATCH;
	}
	g_free(sum);
	copy = g_malloc(bytes + 1);
	memcpy(copy, text, bytes);
	copy[bytes] = '\0';
	shared = g_bytes_new_take(copy, bytes + 1);
	config_manifest_set_text(s->candidate, digest, shared);
	g_bytes_unref(shared);
	if (s->candidate->n_missing == 0)
		r = store_apply_candidate(s, error);
	return r;
}

uint64_t config_store_version(const struct config_store *s)
{
	return s->current ? s->current->version : 0;
}

const char *config_store_index(const struct config_store *s)
{
	return s->current ? s->current->index : NULL;
}

uint64_t config_store_highest_version(const struct config_store *s)
{
	return s->candidate ? s->candidate->version : config_store_version(s);
}

const char *config_store_section_text(const struct config_store *s, const char *digest,
				      size_t *bytes)
{
	const struct stored_section *section =
		s->current ? g_hash_table_lookup(s->current->by_digest, digest) : NULL;

	if (!section)
		return NULL;
	*bytes = g_bytes_get_size(section->text) - 1;
	return g_bytes_get_data(section->text, NULL);
}

void config_store_source_answered(struct config_store *s)
{
	s->sources_answered++;
}

bool config_store_is_ready(struct config_store *s, uint64_t now_ms)
{
	if (s->is_ready || !s->current)
		return s->is_ready;
	s->is_ready = (s->sources_answered >= s->sources && !s->candidate) ||
		      now_ms >= s->started_ms + CONFIG_START_WAIT_MS;
	return s->is_ready;
}

const struct config_stats *config_store_stats(const struct config_store *s)
{
	return &s->stats;
}
