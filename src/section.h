/*
 * Sections of a manifest. The document is split into sections, each with a digest, so that a change
 * transfers only the sections that differ; the receiver joins them again.
 */
#ifndef APRICOT_SECTION_H
#define APRICOT_SECTION_H

#include <glib.h>
#include <jansson.h>

G_BEGIN_DECLS

/* Length of a digest as text: SHA-256, lower-case hexadecimal, without the NUL. */
#define SECTION_DIGEST_LEN 64

struct section {
	char *name; /* "services" or "group/ID" */
	char *sha256; /* digest of body */
	char *body; /* compact JSON with sorted keys, NUL-terminated */
	size_t body_bytes; /* without the NUL */
};

/* The index and the sections in the order of the index; section_set_destroy() frees everything. */
struct section_set {
	json_t *index; /* {"sections": [{"name", "sha256"}]} */
	struct section *sections;
	size_t n;
};

/*
 * Splits the document of a manifest. Returns NULL with RESULT_BAD_MANIFEST when the document is not
 * an object of exactly the arrays "services" and "groups", or when a group has no id or the id of
 * another group. The content is not checked any further.
 */
struct section_set *section_split(const json_t *document, GError **error);
void section_set_destroy(struct section_set *set); /* accepts NULL */

/*
 * Finds the body of a section by its digest; returns NULL when there is none. The body stays owned
 * by the function and must be valid until the function is called again or section_join() returns.
 */
typedef const char *section_lookup_fn(const char *sha256, size_t *body_bytes, void *arg);

/*
 * Joins the sections of an index to the document of a manifest. Returns a new reference, or NULL
 * with RESULT_BAD_MANIFEST when the index is malformed, lists a section twice or does not list
 * "services", or when a section's body is not found, does not have the digest, is malformed or
 * holds a group with another id than the section's name.
 */
json_t *section_join(const json_t *index, section_lookup_fn *lookup, void *arg, GError **error);

/* Returns the digest of a body as text; the caller frees it with g_free(). */
char *section_digest(const char *body, size_t body_bytes);

G_END_DECLS

#endif
