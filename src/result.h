/* Numbered result codes; docs/result-codes.md has the same table and a test compares them. */
#ifndef APRICOT_RESULT_H
#define APRICOT_RESULT_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * X(symbol, number, name, text). 0 to 99: served; 100 to 199: the request is wrong; 200 to 299: it
 * was not run; 300 to 399: it may have run; 400 to 499: why a shard is missing; 500 to 599:
 * settings, manifest, platform and system.
 */
#define RESULT_LIST(X)                                                                             \
	X(OK, 0, "ok", "the request was served completely")                                        \
	X(PARTIAL, 1, "partial", "the answer lacks the shards it names as missing")                \
	X(BAD_REQUEST, 100, "bad_request", "the request is malformed")                             \
	X(UNKNOWN_SERVICE, 101, "unknown_service", "no such service or class in the manifest")     \
	X(TOO_LARGE, 102, "too_large", "the request exceeds a size limit")                         \
	X(BAD_ID, 103, "bad_id", "the command id is malformed or issued in the future")            \
	X(NOT_FOUND, 104, "not_found", "no such resource")                                         \
	X(OVERLOADED, 200, "overloaded", "not run: a queue is full")                               \
	X(DEADLINE, 201, "deadline", "not run: the deadline passed before dispatch")               \
	X(NO_REPLICA, 202, "no_replica", "not run: no leaf of the shard is usable")                \
	X(LEAVING, 203, "leaving", "not run: the backend server is draining")                      \
	X(SHED, 204, "shed", "not run: the backend server refused to run it")                      \
	X(NOT_READY, 205, "not_ready", "not run: this VM has no configuration yet")                \
	X(STALE, 206, "stale", "not run: this VM refreshes its state after a pause")               \
	X(NO_HOLDER, 207, "no_holder", "not run: no holder of the group could be reached")         \
	X(CALLER_LIMIT, 208, "caller_limit", "not run: the caller exceeds its share of the queue") \
	X(LOST_ANSWER, 300, "lost_answer", "unknown: the answer was lost or came too late")        \
	X(FOREIGN_ID, 301, "foreign_id", "unknown: the id was issued by another process")          \
	X(EXPIRED_ID, 302, "expired_id", "unknown: the id expired, an attempt may have run")       \
	X(DUPLICATE_ID, 303, "duplicate_id", "unknown: an earlier attempt may have run")           \
	X(VERSION_GONE, 400, "version_gone", "the leaf no longer serves the index version")        \
	X(MISMATCH, 401, "mismatch", "the leaf did not confirm request, snapshot or shard")        \
	X(LEAF_TIMEOUT, 402, "leaf_timeout", "the leaf did not answer in time")                    \
	X(LEAF_ERROR, 403, "leaf_error", "the leaf failed or its connection was lost")             \
	X(WRONG_SHARD, 404, "wrong_shard", "the leaf does not serve the shard in this map")        \
	X(HOLDER_LOST, 405, "holder_lost", "the holder of the group was lost")                     \
	X(BAD_SETTING, 500, "bad_setting", "a setting is unknown, malformed or out of range")      \
	X(BAD_MANIFEST, 501, "bad_manifest", "the manifest is malformed")                          \
	X(OLD_MANIFEST, 502, "old_manifest", "the manifest is older than the one in force")        \
	X(PLATFORM_DOWN, 503, "platform_down", "the platform's service does not answer")           \
	X(SYSTEM, 504, "system", "a system call failed")

enum result {
#define X(symbol, number, name, text) RESULT_##symbol = (number),
	RESULT_LIST(X)
#undef X
};

/* X(symbol, name): what a caller is told about whether its command ran */
#define OUTCOME_LIST(X)       \
	X(DONE, "done")       \
	X(NOT_RUN, "not_run") \
	X(UNKNOWN, "unknown")

enum outcome {
#define X(symbol, name) OUTCOME_##symbol,
	OUTCOME_LIST(X)
#undef X
};

#define RESULT_ERROR (result_error_quark())

/* Domain of all GErrors of the project; their code is an enum result. */
GQuark result_error_quark(void);

/* All return static strings; "?" for a number outside the list. */
const char *result_name(enum result result);
const char *result_text(enum result result);
const char *outcome_name(enum outcome outcome);

/* True for the codes that prove that the request was not run: 200 to 299. */
gboolean result_is_not_run(enum result result);

G_END_DECLS

#endif
