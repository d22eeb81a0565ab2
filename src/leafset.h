/*
 * The leaves that discovery names, what this VM has seen of each, and the choice of the leaf for a
 * call.
 *
 * Answers the load in which leaves pause, slow down or fall silent one by one: a leaf that owes an
 * answer for longer than usual is avoided before the call fails. Leaves are reference counted: the
 * set holds one reference, each call another. Times are microseconds unless the name says ms.
 */
#ifndef APRICOT_LEAFSET_H
#define APRICOT_LEAFSET_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* X(symbol, name) */
#define LEAF_STATE_LIST(X)      \
	X(READY, "ready")       \
	X(DRAINING, "draining") \
	X(GONE, "gone")

enum leaf_state {
#define X(symbol, name) LEAF_##symbol,
	LEAF_STATE_LIST(X)
#undef X
};

/* X(symbol, name): how a call ended, for the record of its leaf */
#define LEAF_END_LIST(X)                                                     \
	X(ANSWERED, "answered")                                              \
	X(ERRORED, "errored") /* an answer that says that the call failed */ \
	X(REFUSED, "refused") /* not run, by its own word: full */           \
	X(UNREACHABLE, "unreachable") /* no connection */                    \
	X(LOST, "lost") /* the connection ended or carried garbage */        \
	X(SILENT, "silent") /* no answer within the call's time */           \
	X(WRONG, "wrong") /* another leaf answers at its address */          \
	X(CANCELLED, "cancelled") /* given up here; says nothing of the leaf */

enum leaf_end {
#define X(symbol, name) LEAF_END_##symbol,
	LEAF_END_LIST(X)
#undef X
};

/* What discovery says of a leaf; the owner of the report frees the strings. */
struct leaf_report {
	char *service;
	char *address; /* IP:PORT */
	char *dc;
	enum leaf_state state;
	unsigned int slots; /* calls it runs at once */
	unsigned int warmup_ms; /* it stays slow for so long */
	uint64_t born_ms; /* start of the process, wall clock; 0: not said */
};

struct leaf {
	grefcount refs;
	char *id;
	char *service;
	char *dc;
	char *address;
	struct sockaddr_in to;
	enum leaf_state state;
	unsigned int slots;
	uint64_t warm_at_us;
	uint64_t born_ms;

	unsigned int outstanding; /* calls without an answer */
	uint64_t waiting_since_us; /* last answer, or first of the outstanding calls if later */
	double latency_us; /* moving average; 0: no sample yet */
	uint64_t slow_us; /* last answer, when it took far longer than usual; else 0 */
	uint64_t sampled_us;
	unsigned int failures; /* in a row */
	uint64_t doubted_until_us;
	bool is_misplaced; /* another leaf has answered at its address: this one is not there */
	void *link; /* of the owner of connections */
};

struct leafset;

enum leaf_change { LEAF_UNCHANGED, LEAF_ADDED, LEAF_UPDATED, LEAF_RESTARTED };

/* Frees the strings of a report. */
void leaf_report_clear(struct leaf_report *report);

struct leafset *leafset_create(const char *own_dc);
void leafset_destroy(struct leafset *s);

/*
 * Puts in or updates a leaf. A report with another start time or address is a new process: what
 * was seen of the old one is forgotten. *leaf (borrowed) is set when not NULL. The address must be
 * valid.
 */
enum leaf_change leafset_put(struct leafset *s, const char *id, const struct leaf_report *report,
			     uint64_t now_us, struct leaf **leaf);
/* Marks the leaf as gone and drops it; false when it is unknown. */
bool leafset_remove(struct leafset *s, const char *id);
struct leaf *leafset_find(const struct leafset *s, const char *id);
unsigned int leafset_count(const struct leafset *s);
/*
 * Data centres with at least half as many ready leaves as the one with most, as an owned list
 * ended by NULL, in alphabetical order.
 */
char **leafset_places(const struct leafset *s);

struct leaf *leaf_get(struct leaf *l);
void leaf_put(struct leaf *l);

/*
 * The ready leaf with the least expected time to an answer among those not in tried[], or NULL.
 * Doubted leaves are chosen only when no other is left.
 */
struct leaf *leafset_choose(const struct leafset *s, const char *service, struct leaf *const *tried,
			    unsigned int n_tried, uint64_t now_us);

/*
 * The same for a call beyond the first of its request: a doubted leaf would hardly answer it, and
 * the request has tried others or this one before.
 */
struct leaf *leafset_choose_again(const struct leafset *s, const char *service,
				  struct leaf *const *tried, unsigned int n_tried, uint64_t now_us);

/* Expected time to an answer of a call sent now. */
double leaf_cost_us(const struct leaf *l, const char *own_dc, uint64_t now_us);
/* True when a call sent now is expected to be answered sooner by a than by b. */
bool leafset_is_sooner(const struct leafset *s, const struct leaf *a, const struct leaf *b,
		       uint64_t now_us);
bool leaf_is_doubted(const struct leaf *l, uint64_t now_us);

/* Every leaf_call_started is followed by exactly one leaf_call_ended. */
void leaf_call_started(struct leaf *l, uint64_t now_us);
void leaf_call_ended(struct leaf *l, enum leaf_end end, uint64_t latency_us, uint64_t now_us);

const char *leaf_state_name(enum leaf_state state);
const char *leaf_end_name(enum leaf_end end);

G_END_DECLS

#endif
