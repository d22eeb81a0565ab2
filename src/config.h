/*
 * Store of the configuration in force and of the next candidate, each an index and the sections
 * that it lists. The store does no input or output: its user fetches the missing sections and
 * passes them in. The store never goes back to a lower version.
 */
#ifndef APRICOT_CONFIG_H
#define APRICOT_CONFIG_H

#include "result.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

#define CONFIG_DIGEST_CHARS 64
#define CONFIG_SECTIONS_MAX 8192
#define CONFIG_TEXT_MAX_BYTES \
	(1 << 20) /* bytes of an index or a section: the platform's value limit */
/* A starting VM waits for the answers of its sources for at most this time. */
#define CONFIG_START_WAIT_MS 1000

/* Name of the platform as a source; the name of any other source is the RPC address of a peer. */
#define CONFIG_SOURCE_PLATFORM "platform"

struct config_section {
	const char *name;
	const char *digest; /* lower-case hex SHA-256 of the text */
	const char *text; /* NUL-terminated; NULL while it is missing */
	size_t bytes; /* without the NUL */
};

struct config_sink;

struct config_sink_ops {
	/* Returns whether the complete manifest is valid; sets error if it is not. */
	bool (*validate)(struct config_sink *sink, uint64_t version,
			 const struct config_section *sections, unsigned int n, GError **error);
	/* Puts a valid version in force; called once for each, right after its validation. */
	void (*apply)(struct config_sink *sink, uint64_t version,
		      const struct config_section *sections, unsigned int n);
};

struct config_sink {
	const struct config_sink_ops *ops;
};

struct config_stats {
	uint64_t applied;
	uint64_t refused; /* offers with a malformed index, and complete but invalid manifests */
	uint64_t conflicts; /* offers of the version in force with another index */
	uint64_t bad_digest; /* section texts refused because their digest differs */
};

struct config_store;

/*
 * The caller keeps ownership of the sink, which must outlive the store; the functions of the sink
 * must not call the store. sources is the number of sources (the platform and the listed peers)
 * whose answers readiness waits for. now_ms is the start time.
 */
struct config_store *config_store_create(struct config_sink *sink, unsigned int sources,
					 uint64_t now_ms);
void config_store_destroy(struct config_store *s); /* accepts NULL */

/*
 * Offers the index of a version that a source has. Returns
 * - RESULT_OK: the version is in force, or it is the candidate (see config_store_missing_digests);
 * - RESULT_OLD_MANIFEST: the version is not above the one in force, is below the candidate's, or
 *   equals the candidate's but comes from a peer with another index;
 * - RESULT_BAD_MANIFEST: the index is malformed or the manifest is invalid. The store remembers the
 *   latest refused offers; error is set only the first time, so that the reason is logged once.
 */
enum result config_store_offer(struct config_store *s, uint64_t version, const char *index,
			       const char *source, GError **error);

/*
 * Writes the digests of at most max sections whose texts the candidate lacks; returns how many it
 * lacks in all. The strings are valid until the next call that changes the store.
 */
unsigned int config_store_missing_digests(const struct config_store *s, const char **digests,
					  unsigned int max);

/*
 * The source that offered the candidate last, or NULL without a candidate. The string is valid
 * until the next call that changes the store.
 */
const char *config_store_candidate_source(const struct config_store *s);

/*
 * Adds a copy of the text of a section to the candidate. Returns
 * - RESULT_OK: the text is stored; when no other is missing, the candidate is now in force;
 * - RESULT_NOT_FOUND: the candidate does not lack a section with this digest;
 * - RESULT_MISMATCH: the text has another digest;
 * - RESULT_TOO_LARGE: the text exceeds CONFIG_TEXT_MAX_BYTES;
 * - RESULT_BAD_MANIFEST: the text completed a manifest that is invalid, error says why; the version
 *   in force stays.
 */
enum result config_store_section_add(struct config_store *s, const char *digest, const char *text,
				     size_t bytes, GError **error);

/* The version in force (0: none) and its index (NULL: none), valid until another is in force. */
uint64_t config_store_version(const struct config_store *s);
const char *config_store_index(const struct config_store *s);

/* Highest version known: that of the candidate, or else the one in force. */
uint64_t config_store_highest_version(const struct config_store *s);

/*
 * Text of the section with the digest in the version in force, or NULL. The text is valid until
 * another version is in force.
 */
const char *config_store_section_text(const struct config_store *s, const char *digest,
				      size_t *bytes);

/* Notes that a source answered, with an offer or without one; to be called once for each source. */
void config_store_source_answered(struct config_store *s);

/*
 * Returns whether the VM may serve. It needs a version in force. A starting VM also waits until all
 * sources have answered and no candidate is incomplete, but at most CONFIG_START_WAIT_MS. Once
 * true, the result stays true.
 */
bool config_store_is_ready(struct config_store *s, uint64_t now_ms);

const struct config_stats *config_store_stats(const struct config_store *s);

G_END_DECLS

#endif
