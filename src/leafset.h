/*
 * The leaves that discovery reports, the health and latency that this VM has observed for each, and
 * the choice of the leaf for a call.
 *
 * Single leaves pause, slow down or stop answering. The choice therefore avoids a leaf whose answer
 * is late even before the call fails. A leaf whose calls failed is quarantined: for a limited time
 * it is chosen only when no other leaf is left.
 *
 * Leaves are reference counted: the set holds one reference and each call holds another. Times are
 * in microseconds unless the name ends in _ms.
 */
#ifndef APRICOT_LEAFSET_H
#define APRICOT_LEAFSET_H

#include "backlog.h"
#include "leafload.h"
#include "ratecap.h"
#include "region.h"
#include "spread.h"

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

/* X(symbol, name): how a call to a leaf ended */
#define LEAF_END_LIST(X)                                                          \
	X(ANSWERED, "answered")                                                   \
	X(ERRORED, "errored") /* the answer reports a failure */                  \
	X(REFUSED, "refused") /* the leaf is full and did not run the call */     \
	X(UNREACHABLE, "unreachable") /* no connection could be opened */         \
	X(LOST, "lost") /* the connection closed or the answer was malformed */   \
	X(SILENT, "silent") /* no answer within the time limit of the call */     \
	X(WRONG_LEAF, "wrong") /* another leaf answered at this leaf's address */ \
	X(CANCELLED, "cancelled") /* by this VM; says nothing about the leaf */

enum leaf_end {
#define X(symbol, name) LEAF_END_##symbol,
	LEAF_END_LIST(X)
#undef X
};

/* What discovery reports about a leaf. The owner frees the strings with leaf_report_clear(). */
struct leaf_report {
	char *service;
	char *address; /* IP:PORT */
	char *dc;
	enum leaf_state state;
	unsigned int slots; /* calls that it runs concurrently */
	unsigned int warmup_ms; /* remaining warm-up time, in which it is slower than usual */
	uint64_t process_start_ms; /* start of the process, wall clock; 0: unknown */
	uint64_t sequence; /* of the report, among those of the process; 0: unknown */
};

/* What a leaf says of itself in an answer. */
struct leaf_signals {
	bool has_limit; /* it takes limit_per_s calls per second, of all VMs together */
	double limit_per_s;
	bool is_leaving; /* it drains and ends soon */
	double pause_s; /* it refuses calls and wants none of this VM for so long; 0: none */
	bool has_warmup; /* it names warmup_ms */
	unsigned int warmup_ms; /* how long it stays cold; 0: it is warm */
	bool has_load;
	struct leaf_load load; /* valid if has_load */
	bool is_load_malformed; /* it names a load that cannot be used */
};

/* What leaf_signals_apply() has changed; may be combined. */
enum leaf_signals_change {
	LEAF_SIGNALS_LIMIT = 1, /* the leaf begins or ceases to have a limit */
	LEAF_SIGNALS_LEAVING = 2,
	LEAF_SIGNALS_PAUSE = 4, /* a pause begins or is prolonged */
	LEAF_SIGNALS_LOAD = 8, /* the first usable load of the leaf */
	LEAF_SIGNALS_LOAD_MALFORMED = 16, /* its first load that cannot be used */
};

struct leaf {
	grefcount refs;
	char *id;
	char *service;
	char *dc;
	const char *region; /* of its data centre; NULL: unknown */
	char *address;
	struct sockaddr_in socket_address;
	enum leaf_state state;
	unsigned int slots;
	uint64_t warmup_until_us; /* end of the warm-up */
	double warmup_calls_per_s; /* taken until then, from all VMs together; 0: no limit */
	struct ratecap warmup_cap; /* this VM's part of that, see warmup.h */
	uint64_t process_start_ms;

	struct ratecap ratecap;
	struct leafload load; /* as it says in answers */
	struct spread_meter spread_meter;
	uint64_t n_loads_malformed; /* loads that it named and that cannot be used */
	bool is_leaving; /* as it says itself; its entry may still say ready */
	bool is_evacuated; /* the operator wants no call to the leaves of its data centre */
	uint64_t paused_until_us; /* it wants no calls before */
	unsigned int outstanding; /* calls that have not ended */
	unsigned int waiting; /* of these, calls that were not sent yet */
	unsigned int window; /* calls that may be sent at the same time; 0: none was sent yet */
	double service_us; /* moving average from sending a call to its answer; 0: no sample yet */
	/*
	 * When a call was last answered, refused or lost, or when outstanding rose from 0 if that
	 * was later.
	 */
	uint64_t waiting_since_us;
	double latency_us; /* moving average; 0: no sample yet */
	double steady_us; /* average of the same samples over some seconds; 0: no sample yet */
	uint64_t slow_answer_at_us; /* time of the last answer if far slower than usual, else 0 */
	uint64_t sampled_at_us; /* time of the last latency sample */
	unsigned int failures; /* failed calls since the last answer */
	uint64_t quarantined_until_us;
	bool is_address_taken; /* another leaf answered at its address, so it is never chosen */
	void *link; /* belongs to the module that owns the connections */
};

struct leafset;

enum leaf_change { LEAF_UNCHANGED, LEAF_ADDED, LEAF_UPDATED, LEAF_RESTARTED };

/* Frees the strings of a report. */
void leaf_report_clear(struct leaf_report *report);

struct leafset *leafset_create(const char *own_dc);
void leafset_destroy(struct leafset *s);

/*
 * Adds or updates a leaf. A report with another service, address, start time or data centre means a
 * new process: a new leaf replaces the old one (LEAF_RESTARTED) and starts without health and
 * latency data. Returns LEAF_UPDATED only if the state changed; slots and the warm-up are updated
 * in any case. If leaf is not NULL, *leaf is set to the leaf (borrowed). The address in the report
 * must be valid. Strings are copied.
 */
enum leaf_change leafset_update(struct leafset *s, const char *id, const struct leaf_report *report,
				uint64_t now_us, struct leaf **leaf);
/* Sets the leaf to LEAF_GONE and drops the set's reference; false if the id is unknown. */
bool leafset_remove(struct leafset *s, const char *id);
/* The leaf with this id (borrowed), or NULL. */
struct leaf *leafset_find(const struct leafset *s, const char *id);
unsigned int leafset_count(const struct leafset *s);
/* Calls visit for each leaf, in no order; visit must not change the set. */
void leafset_each(const struct leafset *s, void (*visit)(const struct leaf *leaf, void *arg),
		  void *arg);
/*
 * Sets the regions of the data centres for all leaves, also those that are added later. t is not
 * copied and must be valid until the next call or leafset_destroy(). Returns the leaves (borrowed)
 * whose region has changed, in an array that the caller frees.
 */
GPtrArray *leafset_regions_set(struct leafset *s, const struct region_table *t);
/*
 * Names of the data centres that have at least half as many ready leaves as the data centre with
 * the most, in alphabetical order. The list ends with NULL; the caller frees it with g_strfreev().
 */
char **leafset_major_dcs(const struct leafset *s);

/*
 * The leaves in the data centre, or all if dc is NULL, in no order (borrowed), in an array that the
 * caller frees.
 */
GPtrArray *leafset_list(const struct leafset *s, const char *dc);

struct leafset_spread_ops {
	/* Spreading begins or ends for a service. Must not change the set. */
	void (*changed)(void *arg, const char *service, const struct spread *spread);
};

/*
 * Spreads first calls (spread.h) over the leaves of each service that is unevenly loaded, from the
 * next leafset_spread_advance() on. Without this call every choice is the least expected time. ops
 * must outlive the set.
 */
void leafset_spread_enable(struct leafset *s, GRand *rand, const struct leafset_spread_ops *ops,
			   void *arg);
/*
 * Draws the leaf of a first call among those that are expected to be equally fast (spread_draw()).
 * Without this call it is the one with the least expected time. rand is borrowed.
 */
void leafset_draw_enable(struct leafset *s, GRand *rand);
/* Ends windows of the measure of load that are over. To be called several times a second. */
void leafset_spread_advance(struct leafset *s, uint64_t now_us);
/* The measures of the service, or NULL if there is no such service (borrowed). */
struct spread *leafset_spread(const struct leafset *s, const char *service);
/*
 * The unevenness measured by now if leafset_choose() with n_tried 0 has chosen the leaf at now_us
 * by spreading; 0 if it has chosen the leaf of the least expected time.
 */
double leafset_spread_uneven(const struct leafset *s, const struct leaf *l, uint64_t now_us);
/* Calls visit for each service with at least two leaves, in no order. */
void leafset_spread_each(const struct leafset *s,
			 void (*visit)(const char *service, const struct spread *spread, void *arg),
			 void *arg);

/* leaf_get() takes a reference and leaf_put() drops one; leaf_put() accepts NULL. */
struct leaf *leaf_get(struct leaf *l);
void leaf_put(struct leaf *l);

/*
 * The ready leaf of the service with the shortest expected time to an answer, or NULL (borrowed).
 * Leaves in tried[], leaves whose address is taken and leaves outside the regions (of struct route;
 * NULL: no restriction) are left out. A quarantined leaf is chosen only when no other is left. If
 * the service is being spread and n_tried is 0, one of two random leaves among those that may be
 * called at once.
 */
struct leaf *leafset_choose(const struct leafset *s, const char *service, const GPtrArray *regions,
			    struct leaf *const *tried, unsigned int n_tried, uint64_t now_us);

/*
 * Like leafset_choose(), but never spread, and NULL instead of a quarantined leaf. For the second
 * and later calls of a request: a quarantined leaf is unlikely to answer, and the request has
 * called a leaf already.
 */
struct leaf *leafset_choose_healthy(const struct leafset *s, const char *service,
				    const GPtrArray *regions, struct leaf *const *tried,
				    unsigned int n_tried, uint64_t now_us);

/*
 * A leaf of the service that may be called now and is left out only because of the regions, or NULL
 * (borrowed).
 */
struct leaf *leafset_barred_find(const struct leafset *s, const char *service,
				 const GPtrArray *regions, uint64_t now_us);

/* Expected time until the answer to a call that is sent now. */
double leaf_cost_us(const struct leaf *l, const char *own_dc, uint64_t now_us);
/* True if a is expected to answer sooner than b if the call is sent now. */
bool leafset_is_faster(const struct leafset *s, const struct leaf *a, const struct leaf *b,
		       uint64_t now_us);
/* Time until the leaf's limits and pause allow a call, after those that wait already; 0: now. */
uint64_t leaf_wait_us(const struct leaf *l, uint64_t now_us);
/* Time until the leaf's limits allow a call after n_waiting others; 0: now. */
uint64_t leaf_limit_wait_us(const struct leaf *l, unsigned int n_waiting, uint64_t now_us);
/* Counts a call that is sent now for the leaf's limits. */
void leaf_limit_take(struct leaf *l, uint64_t now_us);
/* Sets how long the leaf stays cold from now on; 0: it is warm. */
void leaf_warmup_set(struct leaf *l, unsigned int warmup_ms, uint64_t now_us);
/*
 * Shortest leaf_wait_us of the leaves of the service in the regions that can be chosen now or after
 * a pause; false when there is none.
 */
bool leafset_wait_us(const struct leafset *s, const char *service, const GPtrArray *regions,
		     uint64_t now_us, uint64_t *wait_us);
/*
 * Notes what the leaf says of itself. share: this VM's part of a limit. Returns the changes, of
 * enum leaf_signals_change. A leaf that has said that it leaves gets no call any more.
 */
unsigned int leaf_signals_apply(struct leaf *l, const struct leaf_signals *signals, double share,
				GRand *rand, uint64_t now_us);
/* False when no call may be sent to the leaf now. */
bool leaf_is_usable(const struct leaf *l, uint64_t now_us);
/* True while the leaf is avoided because calls to it have failed. */
bool leaf_is_quarantined(const struct leaf *l, uint64_t now_us);

/*
 * Every leaf_call_started() is followed by exactly one leaf_call_ended(). latency_us is used for
 * LEAF_END_ANSWERED only.
 */
void leaf_call_started(struct leaf *l, uint64_t now_us);
void leaf_call_ended(struct leaf *l, enum leaf_end end, uint64_t latency_us, uint64_t now_us);

/* Notes how long an answered call was at the leaf. */
void leaf_service_add(struct leaf *l, uint64_t service_us);
/* This VM's calls to the leaf. */
struct backlog leaf_backlog(const struct leaf *l);

const char *leaf_state_name(enum leaf_state state);
const char *leaf_end_name(enum leaf_end end);

G_END_DECLS

#endif
