/*
 * Order of configurations and their sections. Pure: the caller fetches what the store says is
 * missing and passes it in. The store never goes back to a lower version.
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
#define CONFIG_TEXT_MAX (1 << 20) /* limit of the platform's values, for an index and a section */
#define CONFIG_START_WAIT_MS 1000

/* Source of an offer that is not the rpc address of a peer. */
#define CONFIG_PLATFORM "platform"

struct config_section {
	const char *name;
	const char *digest; /* lower-case hex SHA-256 of the text */
	const char *text; /* NUL-terminated; NULL while it is missing */
	size_t bytes;
};

struct config_sink;

struct config_sink_ops {
	/* Whether the whole manifest is valid; sets error otherwise. */
	bool (*validate)(struct config_sink *sink, uint64_t version,
			 const struct config_section *sections, unsigned int n, GError **error);
	/* Called once for each version put in force, right after its validation. */
	void (*apply)(struct config_sink *sink, uint64_t version,
		      const struct config_section *sections, unsigned int n);
};

struct config_sink {
	const struct config_sink_ops *ops;
};

struct config_stats {
	uint64_t applied;
	uint64_t refused; /* candidates with a malformed index or an invalid manifest */
	uint64_t conflicts; /* offers with the version in force but another index */
	uint64_t bad_digest; /* section texts that did not match the digest */
};

struct config_store;

/*
 * The sink stays the caller's and outlives the store; its functions must not call the store. The
 * number of sources (the platform and the listed peers) is what readiness waits for. Destroy
 * accepts NULL.
 */
struct config_store *config_store_create(struct config_sink *sink, unsigned int sources,
					 uint64_t now_ms);
void config_store_destroy(struct config_store *s);

/*
 * Offers an index. RESULT_OK: applied, or a candidate (see config_store_missing).
 * RESULT_OLD_MANIFEST: not above the version in force or below the candidate. RESULT_BAD_MANIFEST:
 * malformed or invalid, now or at an earlier offer; error is set only the first time, so that
 * logging it logs the reason once.
 */
enum result config_store_offer(struct config_store *s, uint64_t version, const char *index,
			       const char *source, GError **error);

/*
 * Digests that the candidate lacks, at most max; returns how many it lacks in all. The strings
 * are valid until the next call that changes the store.
 */
unsigned int config_store_missing(const struct config_store *s, const char **digests,
				  unsigned int max);

/* Last source that offered the candidate, or NULL without a candidate; valid as above. */
const char *config_store_source(const struct config_store *s);

/*
 * Takes the text of a section. RESULT_OK: stored, and the candidate applied when it is whole.
 * RESULT_NOT_FOUND: not missing. RESULT_MISMATCH: wrong digest. RESULT_TOO_LARGE.
 * RESULT_BAD_MANIFEST: it completed a manifest that is not valid; the version in force stays.
 */
enum result config_store_take(struct config_store *s, const char *digest, const char *text,
			      size_t bytes, GError **error);

/* Version in force, 0 for none, and its index text (NULL for none; valid until the next apply). */
uint64_t config_store_version(const struct config_store *s);
const char *config_store_index(const struct config_store *s);

/* Highest version known, in force or candidate. */
uint64_t config_store_known_version(const struct config_store *s);

/* Text of a section of the version in force for a peer, or NULL; valid until the next apply. */
const char *config_store_section(const struct config_store *s, const char *digest, size_t *bytes);

/* A source answered (with an offer or without one). Call it once for each source. */
void config_store_answered(struct config_store *s);

/*
 * Ready when a version is in force and, at start-up, all sources answered and no newer candidate
 * is incomplete, or 1 s passed. Once true it stays true.
 */
bool config_store_is_ready(struct config_store *s, uint64_t now_ms);

const struct config_stats *config_store_stats(const struct config_store *s);

G_END_DECLS

#endif
