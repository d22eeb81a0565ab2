/*
 * How requests and calls of the routed path end: the statuses that callers get, and whether a leaf
 * may have run the request. No sockets, no clock. docs/result-codes.md shows both lists, and a test
 * compares them.
 *
 * Load: requests that must not be repeated. Their callers send again after a status that promises
 * that the request has not run and never will, so no other end may have such a status.
 */
#ifndef APRICOT_ROUTEDRESULT_H
#define APRICOT_ROUTEDRESULT_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* X(symbol, text) */
#define ROUTED_RUN_LIST(X) \
	X(NOT_RUN, "no")   \
	X(MAY_HAVE_RUN, "yes")

enum routed_run {
#define X(symbol, text) ROUTED_RUN_##symbol,
	ROUTED_RUN_LIST(X)
#undef X
};

/* X(status): by these a caller knows that its request has not run and never will */
#define ROUTED_PROMISE_LIST(X) X(408) X(421) X(429) X(503)

/*
 * X(symbol, status, run, name, text): every end of a caller's request. Status 0: the status is the
 * leaf's, or there is no answer. A request that this VM cannot read or route (400, 404, 413, 431)
 * has not run, although its status does not promise it.
 */
#define ROUTED_RESULT_LIST(X)                                                                     \
	X(COMPLETE, 200, MAY_HAVE_RUN, "complete", "the merged answer of all shards")             \
	X(PARTIAL, 200, MAY_HAVE_RUN, "partial", "the merged answer of min_share of the shards")  \
	X(FORWARDED, 0, MAY_HAVE_RUN, "forwarded", "the answer of the single service's leaf")     \
	X(LEAF_STATUS, 0, MAY_HAVE_RUN, "leaf_status",                                            \
	  "a leaf's signed failure, with its status and signature")                               \
	X(LEAF_FAILED, 502, MAY_HAVE_RUN, "leaf_failed", "no answer of a leaf can be passed on")  \
	X(TIMED_OUT, 504, MAY_HAVE_RUN, "timed_out",                                              \
	  "the deadline has passed after a call was sent")                                        \
	X(CLOSED, 0, MAY_HAVE_RUN, "closed", "the caller left, or this VM has ended")             \
	X(MALFORMED, 400, NOT_RUN, "malformed", "the request is malformed or ambiguous")          \
	X(LACKS_FIELD, 400, NOT_RUN, "lacks_field", "the request names no host or no id")         \
	X(NO_ROUTE, 404, NOT_RUN, "no_route", "no route has the host and the path")               \
	X(SLOW_REQUEST, 408, NOT_RUN, "slow_request", "the request did not arrive in time")       \
	X(BODY_TOO_LARGE, 413, NOT_RUN, "body_too_large", "the body exceeds the limit")           \
	X(HEAD_TOO_LARGE, 431, NOT_RUN, "head_too_large", "the head exceeds the limit")           \
	X(STOPPING, 503, NOT_RUN, "stopping",                                                     \
	  "this VM stops before the request would be answered")                                   \
	X(NO_CONFIGURATION, 503, NOT_RUN, "no_configuration", "this VM has no configuration yet") \
	X(NO_MEMORY, 503, NOT_RUN, "no_memory", "this VM holds too many bytes")                   \
	X(NO_LEAF, 503, NOT_RUN, "no_leaf", "too few shards have a leaf that can be called")      \
	X(LEAVES_FULL, 503, NOT_RUN, "leaves_full",                                               \
	  "the leaves are full, or no call was sent in time")

enum routed_result {
#define X(symbol, status, run, name, text) ROUTED_##symbol,
	ROUTED_RESULT_LIST(X)
#undef X
		ROUTED_RESULT_COUNT
};

/*
 * X(symbol, run, name, text): every end of a call to a leaf. A call that may have run is repeated
 * only for a request that may be repeated.
 */
#define ROUTED_CALL_LIST(X)                                                               \
	X(UNSENT, NOT_RUN, "unsent", "no connection, or given up before it was sent")     \
	X(OTHER_LEAF, NOT_RUN, "other_leaf", "421: another leaf has this address")        \
	X(NOT_EXECUTED, NOT_RUN, "not_executed", "any status with the promise (value 1)") \
	X(SERVED, MAY_HAVE_RUN, "served", "2xx with the leaf's signature, not encoded")   \
	X(UNPROVED, MAY_HAVE_RUN, "unproved", "408, 429 or 503 without the promise")      \
	X(FAILED, MAY_HAVE_RUN, "failed", "any other answer")                             \
	X(UNANSWERED, MAY_HAVE_RUN, "unanswered", "connection closed, malformed answer, silence")

enum routed_call {
#define X(symbol, run, name, text) ROUTED_CALL_##symbol,
	ROUTED_CALL_LIST(X)
#undef X
		ROUTED_CALL_COUNT
};

/* What is known of a call that has ended. */
struct routed_call_facts {
	bool was_sent; /* in whole or in part */
	unsigned int status; /* of the answer; 0: none */
	const char *not_run; /* value of the field that promises that it has not run, or NULL */
	bool is_signed;
	bool is_encoded; /* the body has a content coding */
};

enum routed_call routed_call_of(const struct routed_call_facts *facts);
enum routed_run routed_call_run(enum routed_call call);

/* The status for the caller; 0 as in the list. */
unsigned int routed_status(enum routed_result result);
enum routed_run routed_run(enum routed_result result);

/* True for the statuses of ROUTED_PROMISE_LIST. */
bool routed_status_promises_not_run(unsigned int status);

G_END_DECLS

#endif
