/*
 * Model in virtual time of VMs that choose among the leaves of one service, each with its own
 * knowledge, which is old. The VMs use leafset, so that the rules are compared with the code that
 * the daemon runs. Deterministic for a seed.
 *
 * The leaves stand in three data centres and serve calls in the order of arrival. A VM knows its
 * own open calls at once; latencies and what the leaves tell of their load it learns age_ms after
 * the answer. Each request is one call, so that all rules make the same number of calls.
 */
#ifndef APRICOT_BENCH_SPREADMODEL_H
#define APRICOT_BENCH_SPREADMODEL_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* X(symbol, name, explanation) */
#define SPREADMODEL_RULE_LIST(X)                                                     \
	X(TODAY, "today", "least expected time, leaves tell no load")                \
	X(LOAD, "load", "least expected time, leaves tell their load")               \
	X(DRAW, "draw", "the same as today, drawn among equally fast leaves")        \
	X(TWO, "two", "the better of two random leaves")                             \
	X(AGED, "aged", "least expected time, blurred more the older the knowledge") \
	X(SUBSET, "subset", "least expected time of a third, by rendezvous hashing") \
	X(EXCHANGE, "exchange", "VMs tell each other their open calls each 450 ms")  \
	X(SPREAD, "spread", "as the daemon: near two, in force only if uneven")      \
	X(ALWAYS, "always", "the same, always in force")

enum spreadmodel_rule {
#define X(symbol, name, explanation) SPREADMODEL_##symbol,
	SPREADMODEL_RULE_LIST(X)
#undef X
		SPREADMODEL_RULE_COUNT
};

/* X(symbol, name) */
#define SPREADMODEL_CASE_LIST(X)                                   \
	X(EQUAL, "equal")                                          \
	X(UNEQUAL, "unequal") /* every second leaf half as fast */ \
	X(PAUSES, "pauses") /* of 200 ms every 4.5 s */            \
	X(SLOW, "one-slow") /* 8 times */                          \
	X(NEIGHBOURS, "neighbours") /* slow a leaf 2.5 times for 600 ms every 4 s */

enum spreadmodel_case {
#define X(symbol, name) SPREADMODEL_##symbol,
	SPREADMODEL_CASE_LIST(X)
#undef X
		SPREADMODEL_CASE_COUNT
};

struct spreadmodel_settings {
	enum spreadmodel_rule rule;
	enum spreadmodel_case what;
	unsigned int n_vms;
	unsigned int age_ms;
	unsigned int load_pct; /* of what the leaves can finish */
	unsigned int seconds;
	unsigned int seed;
};

struct spreadmodel_result {
	double greatest_over_mean; /* calls at a leaf for each slot, mean over windows of 0.5 s */
	double mean; /* calls at a leaf for each slot */
	double p50_ms;
	double p99_ms;
	double own_dc_share; /* of the calls */
	double in_force_share; /* of the time, mean of all VMs */
	unsigned int n_calls;
};

struct spreadmodel_result spreadmodel_run(const struct spreadmodel_settings *settings);

const char *spreadmodel_rule_name(enum spreadmodel_rule rule);
const char *spreadmodel_case_name(enum spreadmodel_case what);

G_END_DECLS

#endif
