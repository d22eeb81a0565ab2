/* Sections of a manifest: the whole document split into digested parts, and joined again. */
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
	size_t body_bytes;
};

/* The index and the sections in its order; section_set_destroy() frees everything. */
struct section_set {
	json_t *index; /* {"sections": [{"name", "sha256"}]} */
	struct section *sections;
	size_t n;
};

/*
 * Splits a whole manifest. Returns NULL and RESULT_BAD_MANIFEST when it is not an object of exactly
 * the arrays "services" and "groups", or when a group has no id or the id of another group.
 * Otherwise the content is not checked.
 */
struct section_set *section_split(const json_t *whole, GError **error);
void section_set_destroy(struct section_set *set);

/*
 * Finds the body of a section by its digest; returns NULL when it is not known. The body stays
 * owned by the lookup and must be valid until it is called again or section_join() returns.
 */
typedef const char *section_lookup_fn(const char *sha256, size_t *body_bytes, void *arg);

/*
 * Joins the whole manifest of an index. Returns a new reference, or NULL and RESULT_BAD_MANIFEST
 * when the index is malformed, a section is unknown, its body does not have the digest, or a
 * group's id differs from the section's name.
 */
json_t *section_join(const json_t *index, section_lookup_fn *lookup, void *arg, GError **error);

/* Digest of a body; the caller frees it with g_free(). */
char *section_digest(const char *body, size_t body_bytes);

G_END_DECLS

#endif
