/*
 * An adapter translates between the product and the protocol of the platform on which it is
 * deployed: the names of header fields and the formats of the configuration store. Each platform
 * has one implementation; the rest of the product is the same on all of them.
 *
 * Functions that return memory hand it over to the calling function, which frees it.
 */
#ifndef APRICOT_ADAPTER_H
#define APRICOT_ADAPTER_H

#include "httpmsg.h"
#include "leafset.h"
#include "position.h"
#include "routemap.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* One key of the configuration store. */
struct store_item {
	char *key;
	char *value; /* NULL: the key was removed */
	size_t n_value; /* bytes of the value */
	struct position position; /* of the store at the key's last change */
	/* When the first VM to hear of a removal read it, on this VM's clock_now_ms(). */
	uint64_t read_ms;
};

/* An entry of an answer that lacks a usable key or revision, or is no JSON that can be read. */
struct store_unreadable {
	unsigned int position; /* among the entries of the answer, from 0 on */
	char *shown; /* its key with all but common bytes as %XX; NULL: no key was found */
	char *key; /* NULL: no key was found, or it is not UTF-8 text without NUL */
};

/* One page of a listing, or the changes that a watch has returned. */
struct store_answer {
	GPtrArray *items; /* struct store_item, in the order of the answer; owned */
	bool has_more; /* the listing has more pages, after the last key of this one */
	struct position position; /* of the store when it answered */
	char *next; /* where the listing's next page begins, for list_target; NULL: unknown */
	unsigned int n_unreadable; /* entries left out */
	GPtrArray *unreadable; /* struct store_unreadable of each of them; owned; NULL: none */
};

/* Names of the header fields of requests and answers. */
struct adapter_fields {
	const char *request_id;
	const char *deadline_ms; /* how long the sender still waits, in whole milliseconds */
	const char *leaf_id; /* id of the only leaf that may run the request */
	const char *signature; /* a leaf's signature of its answer */
	const char *part_signatures; /* in a merged answer: signatures of the leaves' answers */
	const char *missing_count; /* in a merged answer: number of shards that it lacks */
	const char *not_run; /* in an answer: the leaf has not run the request and will not */
};

/* X(symbol, name): what the head of an answer of the store says of its era */
#define STORE_ERA_LIST(X)   \
	X(ABSENT, "absent") \
	X(NAMED, "named")   \
	X(MALFORMED, "malformed")

enum store_era {
#define X(symbol, name) STORE_ERA_##symbol,
	STORE_ERA_LIST(X)
#undef X
};

/* What a deployment can ask for. */
enum feature {
	FEATURE_RANKS = 1, /* when leaves are short of room, requests are served by priority */
};

struct adapter;

struct adapter_ops {
	/*
	 * Request target that lists the keys of a prefix: from the first on if next is "",
	 * otherwise from where the page with this store_answer.next ended.
	 */
	char *(*list_target)(const struct adapter *adapter, const char *prefix, const char *next);
	/* Where a listing goes on after a key, for list_target. */
	char *(*list_next)(const struct adapter *adapter, const char *key);
	/*
	 * Request target that returns the changes after a revision; when there are none the store
	 * waits for one for up to wait_ms.
	 */
	char *(*watch_target)(const struct adapter *adapter, const char *prefix, uint64_t after,
			      unsigned int wait_ms);
	/* Sets *era to the era that an answer of the store names, if it is STORE_ERA_NAMED. */
	enum store_era (*era_parse)(const struct adapter *adapter, const struct http_reader *answer,
				    uint64_t *era);
	/*
	 * False with an error when the text is not a valid answer of the store. Fills out, which
	 * store_answer_clear frees. An item whose value cannot be decoded gets an empty value. The
	 * era of all positions is 0.
	 */
	bool (*answer_parse)(const struct adapter *adapter, const char *text, size_t n,
			     struct store_answer *out, GError **error);
	/* NULL with an error when the text is not a valid configuration. */
	struct routemap *(*routes_parse)(const struct adapter *adapter, const char *text, size_t n,
					 GError **error);
	/*
	 * Like routes_parse, and reports to notes all errors and whatever the reader leaves out or
	 * reads as something else.
	 */
	struct routemap *(*routes_check)(const struct adapter *adapter, const char *text, size_t n,
					 struct mapnotes *notes, GError **error);
	/*
	 * False with an error, out unchanged, when the text does not describe a leaf that can be
	 * used. leaf_report_clear frees out's strings.
	 */
	bool (*leaf_parse)(const struct adapter *adapter, const char *text, size_t n,
			   struct leaf_report *out, GError **error);
	/* Fills out with what a leaf says of itself in the head of an answer. */
	void (*leaf_signals_parse)(const struct adapter *adapter, const struct http_reader *answer,
				   struct leaf_signals *out);
	/*
	 * The features that a deployment's list of terms asks for, as enum feature values combined.
	 * Terms are separated by commas; unknown ones are ignored.
	 */
	unsigned int (*features_parse)(const struct adapter *adapter, const char *terms);
	/* Body of the answer that tells callers which addresses to use, and how long. */
	char *(*entries_render)(const struct adapter *adapter, GPtrArray *addresses, double ttl_s);
};

struct adapter {
	const struct adapter_ops *ops;
	struct adapter_fields fields;
	const char *routes_key; /* key of the routing configuration in the store */
	const char *leaf_prefix; /* the key of a leaf is this prefix and its id */
	/* the key of a request to evacuate a data centre is this prefix and its name */
	const char *evacuation_prefix;
	const char *entries_path; /* on which callers ask for the addresses of entry VMs */
	const char *entries_dc_parameter; /* its query parameter with the caller's data centre */
	const char *entries_host_parameter; /* that with the host of the requests to come */
	const char *entries_region_parameter; /* that with the caller's region */
	const char *ready_path; /* of status checks */
};

const char *store_era_name(enum store_era era);

/* Frees a struct store_item. */
void store_item_free(gpointer item);
/* Frees a struct store_unreadable. */
void store_unreadable_free(gpointer unreadable);
/* Sets the era of all positions of the answer. */
void store_answer_era_set(struct store_answer *a, uint64_t era);
/* Frees the items and sets all members to zero. */
void store_answer_clear(struct store_answer *a);

G_END_DECLS

#endif
