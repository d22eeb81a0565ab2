/*
 * Log of command ids, by which a repeated command is recognised and runs at most once. Also maps
 * results to the outcomes that callers are told.
 */
#ifndef APRICOT_COMMAND_H
#define APRICOT_COMMAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "result.h"

G_BEGIN_DECLS

/* A longer result body is not stored, so that the number of ids bounds the memory. */
#define COMMAND_BODY_MAX_BYTES 65536

#define COMMAND_RANDOM_MIN_CHARS 8
#define COMMAND_RANDOM_MAX_CHARS 64

/* 16 hex digits, 20 decimal digits, 2 dots and the final NUL. */
#define COMMAND_ID_PREFIX_BYTES 39

/*
 * An id is the text INCARNATION.ISSUED_MS.RANDOM. Each id has one spelling only: INCARNATION is 16
 * lower-case hex digits, ISSUED_MS is decimal without leading zeros, and RANDOM is letters, digits
 * and hyphens.
 */
struct command_id {
	uint64_t incarnation;
	uint64_t issued_ms; /* uptime of the issuing process */
	const char *random; /* points into the parsed text */
};

struct command_result {
	enum outcome outcome;
	enum result result;
	char *body; /* never NULL */
	bool body_lost; /* the body exceeded COMMAND_BODY_MAX_BYTES and is stored as "" */
};

enum command_decision {
	COMMAND_DISPATCH, /* new and now in progress; the caller must call command_log_finish() */
	COMMAND_WAIT, /* in progress; command_log_finish() will store its result */
	COMMAND_FINISHED, /* finished; *finished is the result */
	COMMAND_REFUSE /* must not be dispatched; *reason says why */
};

struct command_log;

/*
 * Writes "INCARNATION.ISSUED_MS." and the final NUL: the part of an id that the entry VM issues.
 * The caller of the system appends RANDOM.
 */
void command_id_prefix_format(char prefix[COMMAND_ID_PREFIX_BYTES], uint64_t incarnation,
			      uint64_t issued_ms);

/* Returns false if the text is not a valid id; *id is then undefined. */
bool command_id_parse(const char *text, struct command_id *id);

/*
 * Creates the log of an entry, the process that issues the ids: ids of another incarnation are
 * refused. The log copies all that it stores; destroy it with command_log_destroy().
 */
struct command_log *command_log_create(uint64_t incarnation, uint64_t lifetime_ms,
				       unsigned int max_ids);

/*
 * Creates the log of a holder, which accepts ids of any incarnation. ISSUED_MS is on the clock of
 * another process and so is not compared with now_ms. An id is kept for lifetime_ms after its first
 * arrival.
 */
struct command_log *command_log_create_holder(uint64_t lifetime_ms, unsigned int max_ids);
void command_log_destroy(struct command_log *l); /* accepts NULL */

/*
 * Decides what to do with a command whose id has just arrived. now_ms is the uptime of this
 * process; at an entry, ISSUED_MS is on the same clock. A now_ms below the highest one seen counts
 * as the highest. *finished is set for COMMAND_FINISHED and stays valid until the next call with
 * this log; otherwise it is NULL. *reason is set for COMMAND_REFUSE (BAD_ID, FOREIGN_ID, EXPIRED_ID
 * or OVERLOADED); otherwise it is RESULT_OK.
 *
 * A refused id is not stored. Repeats of an id refused with OVERLOADED are refused with OVERLOADED
 * again for at least lifetime_ms, unless they are refused as expired, even when there is room by
 * then, because its caller was told `not_run`. The filter that remembers such ids can refuse a few
 * other new ids as well.
 *
 * The code that calls this function can refuse a command too (stale, deadline, no holder), and then
 * tells the caller `not_run`. So it must refuse only after COMMAND_DISPATCH and must store the
 * refusal with command_log_finish().
 */
enum command_decision command_log_begin(struct command_log *l, const char *id, uint64_t now_ms,
					const struct command_result **finished,
					enum result *reason);

/*
 * Stores the result of a command with a copy of body, which may be NULL. A stored outcome `unknown`
 * is replaced, since the answer can arrive after the timeout; any other stored outcome stays. An id
 * that is not in the log is ignored.
 */
void command_log_finish(struct command_log *l, const char *id, enum outcome o, enum result r,
			const char *body);

/* Removes finished ids past their lifetime; an id in progress is kept. Takes time O(expired). */
void command_log_expire(struct command_log *l, uint64_t now_ms);

/* Number of ids stored, finished or in progress. */
unsigned int command_log_count(const struct command_log *l);

/* Bytes of memory in use, 16 KiB of them fixed; the hash table and heap overhead are estimates. */
size_t command_log_bytes(const struct command_log *l);

/*
 * Returns the outcome that the result of a command proves; was_sent tells whether the command was
 * sent to a backend server. Once it was sent, only a refusal by the backend server itself (SHED,
 * LEAVING) proves `not_run`.
 */
enum outcome command_outcome(enum result result, bool was_sent);

G_END_DECLS

#endif
