/*
 * State machine of a planned stop: the VM announces that it leaves, serves requests until no
 * caller's list names it and no request is in flight, and then ends.
 */
#ifndef APRICOT_STOP_H
#define APRICOT_STOP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define STOP_LIMIT_MS 60000 /* default limit of the whole stop */

/* X(symbol, name), in the order in which a stop passes through them */
#define STOP_STATE_LIST(X)        \
	X(RUNNING, "running")     \
	X(ANNOUNCED, "announced") \
	X(DRAINING, "draining")   \
	X(CLOSING, "closing")     \
	X(DONE, "done")

enum stop_state {
#define X(symbol, name) STOP_##symbol,
	STOP_STATE_LIST(X)
#undef X
};

struct stop;

/*
 * lists_expire_ms: time from the announcement until the last list that names this VM has expired,
 * that is, the time to live of a list plus the time in which the other VMs learn of the
 * announcement. limit_ms: time from the announcement after which the stop is done, even if requests
 * are in flight. Destroy accepts NULL.
 */
struct stop *stop_create(uint64_t lists_expire_ms, uint64_t limit_ms);
void stop_destroy(struct stop *s);

/* Starts the stop, which the caller then announces. False if it was already started. */
bool stop_request(struct stop *s, uint64_t now_ms);

/*
 * Advances and returns the state. In ANNOUNCED and DRAINING new requests are still served while
 * stop_accepts returns true; from CLOSING on they are refused. in_flight: requests of callers and
 * calls of other VMs that are not answered yet; in CLOSING it must have been counted after the
 * refusal began, so that no request is accepted between the count and the end.
 */
enum stop_state stop_tick(struct stop *s, unsigned int in_flight, uint64_t now_ms);

enum stop_state stop_state(const struct stop *s);

/*
 * False once a new request that takes longest_ms would still be in flight at the limit. The caller
 * then refuses new requests as not run.
 */
bool stop_accepts(const struct stop *s, uint64_t longest_ms, uint64_t now_ms);

/* Why the stop is done, as a static string for the log; NULL while it is not done. */
const char *stop_reason(const struct stop *s);

/* Requests that were in flight when the limit ended the stop; they stay unanswered. */
unsigned int stop_cut_count(const struct stop *s);

const char *stop_state_name(enum stop_state state);

G_END_DECLS

#endif
