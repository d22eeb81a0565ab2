/*
 * How the surroundings speak: names of header fields, and the formats of the configuration store.
 * Each surrounding is one implementation; the product meets all of them with the same decisions.
 *
 * Functions return owned memory unless a comment says otherwise.
 */
#ifndef APRICOT_EDGE_H
#define APRICOT_EDGE_H

#include "leafset.h"
#include "routemap.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* One key of the store. */
struct store_item {
	char *key;
	char *value; /* NULL: the key was removed */
	size_t n_value;
	uint64_t revision; /* of its last change */
};

struct store_answer {
	GPtrArray *items; /* struct store_item, in the order of the answer */
	bool has_more; /* the listing goes on behind the last key */
	uint64_t revision; /* of the store */
};

/* Header fields that requests and answers carry. */
struct edge_fields {
	const char *request_id;
	const char *deadline_ms; /* time the sender waits, whole milliseconds */
	const char *leaf_id; /* the only leaf that may run the request */
	const char *signature; /* of a leaf's answer */
	const char *part_signatures; /* of the leaves' answers in an answer over shards */
	const char *missing_count; /* shards that the answer lacks */
	const char *not_run; /* in an answer: the leaf has not run the request */
};

struct edge;

struct edge_ops {
	/* Request target that lists a prefix, from the key after on ("" at first). */
	char *(*list_target)(const struct edge *e, const char *prefix, const char *after);
	/* Request target that waits for changes behind a revision. */
	char *(*watch_target)(const struct edge *e, const char *prefix, uint64_t after,
			      unsigned int wait_ms);
	/* False with an error when the text is no answer of the store. */
	bool (*answer_parse)(const struct edge *e, const char *text, size_t n,
			     struct store_answer *out, GError **error);
	/* NULL with an error when the text is no configuration. */
	struct routemap *(*routes_parse)(const struct edge *e, const char *text, size_t n,
					 GError **error);
	/* False with an error when the text names no leaf that can be used. */
	bool (*leaf_parse)(const struct edge *e, const char *text, size_t n,
			   struct leaf_report *out, GError **error);
	/* Body of the answer that tells callers which addresses to use. */
	char *(*entries_render)(const struct edge *e, GPtrArray *addresses, double ttl_s);
};

struct edge {
	const struct edge_ops *ops;
	struct edge_fields fields;
	const char *routes_key; /* key of the configuration in the store */
	const char *leaf_prefix; /* keys of leaves: the prefix and the leaf's id */
	const char *entries_path; /* where callers ask for addresses */
	const char *entries_dc; /* query parameter: the caller's data centre */
	const char *ready_path;
};

void store_item_free(gpointer item);
void store_answer_clear(struct store_answer *a);

G_END_DECLS

#endif
