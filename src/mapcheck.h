/*
 * Checks a configuration before an operator writes it into the store: a routing configuration, read
 * by the daemon's own reader, or the product's manifest.
 *
 * Daemons refuse a configuration as a whole and keep the one in force, or accept one whose entries
 * have no effect. Both are noticed late in operation, so that the check names them beforehand.
 */
#ifndef APRICOT_MAPCHECK_H
#define APRICOT_MAPCHECK_H

#include "adapter.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The longest file that is read, 4 MiB: a configuration of 2,500 routes has less than 1 MB. Daemons
 * read no longer answer of the store, in which a configuration takes four thirds of its size.
 */
#define MAPCHECK_BYTES_MAX (4 << 20)
/* Ranks are 0 to this one. */
#define MAPCHECK_PRIORITY_MAX 9

/*
 * X(symbol, name, severity, meaning, example). docs/OPERATIONS.md and docs/apricot.1 have the same
 * table and a test compares them. Each example is the output of a case of tests/mapcheck.test.
 */
#define MAPCHECK_LIST(X)                                                                           \
	X(REJECTED, "rejected", ERROR,                                                             \
	  "daemons refuse the file for this error and keep the version in force",                  \
	  "error rejected routes[0] a: 501 bad_manifest: route a names no service")                \
	X(MEMBER_REPEATED, "member_repeated", WARNING,                                             \
	  "an object has a member twice and daemons use the last one; only the first such member " \
	  "is named",                                                                              \
	  "warning member_repeated line 3: duplicate object key near '\"version\"'")               \
	X(ENTRY_SKIPPED, "entry_skipped", WARNING,                                                 \
	  "an entry of a list has no name, and daemons leave it out",                              \
	  "warning entry_skipped routes[0] a: gather[1] is 7 and is left out")                     \
	X(VALUE_REPLACED, "value_replaced", WARNING,                                               \
	  "a field has another type or is out of range, and daemons leave it out or read another " \
	  "value",                                                                                 \
	  "warning value_replaced routes[0] a: priority is -1 and is read as 0")                   \
	X(MEMBER_UNKNOWN, "member_unknown", WARNING, "daemons do not read this member of a route", \
	  "warning member_unknown routes[0] a: timeoutMS is not read")                             \
	X(SERVICE_REPEATED, "service_repeated", WARNING,                                           \
	  "a service is described again, and daemons use the last description",                    \
	  "warning service_repeated services[2] x: described before")                              \
	X(ROUTE_HIDDEN, "route_hidden", WARNING,                                                   \
	  "another route of the same host and prefix comes first and gets all requests",           \
	  "warning route_hidden routes[1] b: routes[0] a has the same host and prefix")            \
	X(ROUTE_UNMATCHABLE, "route_unmatchable", WARNING,                                         \
	  "no request matches: the host has a port or 256 bytes, or the prefix has a question "    \
	  "mark",                                                                                  \
	  "warning route_unmatchable routes[2] c: no request matches its host and prefix")         \
	X(SERVICE_UNKNOWN, "service_unknown", WARNING,                                             \
	  "routes name a service that the file does not describe",                                 \
	  "warning service_unknown services y: not described, but routes[0] a names it")           \
	X(SERVICE_UNUSED, "service_unused", WARNING, "no route names the service",                 \
	  "warning service_unused services z: no route names it")                                  \
	X(PART_WEIGHTLESS, "part_weightless", WARNING,                                             \
	  "a part of a split has no weight and gets no requests",                                  \
	  "warning part_weightless routes[0] a: service y has weight 0")                           \
	X(SHARD_REPEATED, "shard_repeated", WARNING, "a route names a shard more than once",       \
	  "warning shard_repeated routes[0] a: shard s is named 2 times")                          \
	X(TIMEOUT_BELOW_GOAL, "timeout_below_goal", WARNING,                                       \
	  "the time limit of a route is below its latency target",                                 \
	  "warning timeout_below_goal routes[0] a: timeout_ms 100 is below goal_ms 250")           \
	X(ATTEMPTS_ABOVE_LEAVES, "attempts_above_leaves", WARNING,                                 \
	  "a request may be sent to more leaves than a service has (with --leaves)",               \
	  "warning attempts_above_leaves routes[0] a: max_attempts 3 is above the 2 leaves of "    \
	  "service x")                                                                             \
	X(STOP_BELOW_TIMEOUT, "stop_below_timeout", WARNING,                                       \
	  "a planned stop ends before the time limit of a request (with --settings)",              \
	  "warning stop_below_timeout routes[0] a: timeout_ms 9000 is above the stop time of "     \
	  "6000 ms")                                                                               \
	X(MIN_SHARE_RANGE, "min_share_range", WARNING,                                             \
	  "the least part of the shards is not from 0 to 1",                                       \
	  "warning min_share_range routes[0] a: min_share 1.5 is not from 0 to 1")                 \
	X(MIN_SHARE_FRAGILE, "min_share_fragile", WARNING,                                         \
	  "no request can be answered any more when one shard is lost",                            \
	  "warning min_share_fragile routes[0] a: 3 of 4 shards do not meet min_share 0.9")        \
	X(PRIORITY_RANGE, "priority_range", WARNING, "the rank is not from 0 to 9",                \
	  "warning priority_range routes[0] a: priority 10 is not from 0 to 9")                    \
	X(LIMIT_ZERO, "limit_zero", WARNING,                                                       \
	  "a limit for callers is 0, negative or above 4e9; daemons take it for 0",                \
	  "warning limit_zero limits: idle_ms is 0")

enum mapcheck_finding {
#define X(symbol, name, severity, meaning, example) MAPCHECK_##symbol,
	MAPCHECK_LIST(X)
#undef X
};

enum mapcheck_severity { MAPCHECK_ERROR, MAPCHECK_WARNING };

/* Operators' scripts rely on these exit codes. */
enum mapcheck_exit { MAPCHECK_EXIT_CLEAN, MAPCHECK_EXIT_FINDINGS, MAPCHECK_EXIT_UNREADABLE };

struct mapcheck_file {
	const char *name; /* for messages */
	const char *text; /* need not end with a zero byte */
	size_t n;
};

/* What is known beside the file. Members that are NULL or 0 are unknown, and not checked against.
 */
struct mapcheck_context {
	const struct mapcheck_file *current; /* the configuration in force */
	const struct mapcheck_file
		*leaves; /* the pages of a listing of the leaves, as the store answers them */
	uint64_t stop_ms; /* longest duration of a planned stop */
};

/* What was found in a file; opaque. */
struct mapcheck;

/*
 * Checks the file and compares it with the current one. The leaves and the time of a stop are
 * compared with a routing configuration only. NULL with an error when a file cannot be read, the
 * listing is incomplete, or the file and the current one are of different kinds. context may be
 * NULL. The caller owns the result.
 */
struct mapcheck *mapcheck_create(const struct adapter *adapter, const struct mapcheck_file *file,
				 const struct mapcheck_context *context, GError **error);
void mapcheck_destroy(struct mapcheck *c); /* accepts NULL */

/* True when daemons refuse the file. */
bool mapcheck_has_error(const struct mapcheck *c);
enum mapcheck_exit mapcheck_exit_code(const struct mapcheck *c);

/*
 * One line for each finding and difference, or that there is none. Of the errors and of the
 * warnings the first 50,000 are shown, and the number of the others.
 */
char *mapcheck_render_text(const struct mapcheck *c);
/* One object with the lists errors, warnings and differences, on one line. */
char *mapcheck_render_json(const struct mapcheck *c);

G_END_DECLS

#endif
