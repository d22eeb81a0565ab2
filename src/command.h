/* Memory of command ids, so that a command runs at most once, and the outcome told to callers. */
#ifndef APRICOT_COMMAND_H
#define APRICOT_COMMAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "result.h"

G_BEGIN_DECLS

/* A longer body is remembered without its text, so that memory stays bounded by the number of ids.
 */
#define COMMAND_BODY_MAX_BYTES 65536

#define COMMAND_RANDOM_MIN_CHARS 8
#define COMMAND_RANDOM_MAX_CHARS 64

/* 16 hex digits, 20 decimal digits, 2 dots and the final NUL. */
#define COMMAND_PREFIX_BYTES 39

/* An id is INCARNATION.ISSUED_MS.RANDOM in one spelling only: lower-case hex, no leading zeros. */
struct command_id {
	uint64_t incarnation;
	uint64_t issued_ms;
	const char *random; /* points into the parsed text */
};

struct command_result {
	enum outcome outcome;
	enum result result;
	char *body; /* never NULL */
	bool body_lost; /* the body exceeded COMMAND_BODY_MAX_BYTES and is stored as "" */
};

enum command_verdict {
	COMMAND_DISPATCH, /* new and now in progress; the caller must call command_log_finish() */
	COMMAND_WAIT, /* in progress; the result comes with its command_log_finish() */
	COMMAND_KNOWN, /* finished; *known is the result */
	COMMAND_REFUSE /* not dispatched; *reason says why */
};

struct command_log;

/* Writes "INCARNATION.ISSUED_MS." with the final NUL, the part of an id that an entry issues. */
void command_prefix_format(char prefix[COMMAND_PREFIX_BYTES], uint64_t incarnation,
			   uint64_t issued_ms);

/* False if the text is not an id; *id is then undefined. */
bool command_id_parse(const char *text, struct command_id *id);

/*
 * Memory of the process that issued the ids: ids of another incarnation are refused. The log owns
 * all that it stores; destroy it with command_log_destroy().
 */
struct command_log *command_log_create(uint64_t incarnation, uint64_t lifetime_ms,
				       unsigned int max_ids);

/*
 * Memory of a holder, keyed by the whole id. ISSUED_MS is on the clock of another process and is
 * not compared with now_ms; an id is remembered for lifetime_ms after its first arrival.
 */
struct command_log *command_log_create_holder(uint64_t lifetime_ms, unsigned int max_ids);
void command_log_destroy(struct command_log *l);

/*
 * Decides about one arrival of an id. now_ms is the uptime that ISSUED_MS refers to; a value below
 * an earlier one counts as the earlier one. *known is set for COMMAND_KNOWN and stays valid until
 * the next call with this log; otherwise it is NULL. *reason is set for COMMAND_REFUSE (BAD_ID,
 * FOREIGN_ID, EXPIRED_ID or OVERLOADED) and is otherwise RESULT_OK.
 *
 * A refused id takes no entry. After OVERLOADED its repeats get OVERLOADED again, also when there
 * is room, because its caller was told `not_run`; a few other new ids can be refused with it. For
 * the same reason a refusal by the caller of this function (stale, deadline, no holder) must come
 * after COMMAND_DISPATCH and be stored with command_log_finish().
 */
enum command_verdict command_log_begin(struct command_log *l, const char *id, uint64_t now_ms,
				       const struct command_result **known, enum result *reason);

/*
 * Stores a copy of the result; body may be NULL. A stored `unknown` is replaced, since the answer
 * can arrive after the time-out; any other stored result stays. An id not in memory is ignored.
 */
void command_log_finish(struct command_log *l, const char *id, enum outcome o, enum result r,
			const char *body);

/* Forgets finished ids past their lifetime; an id in progress is kept. Takes time O(expired). */
void command_log_expire(struct command_log *l, uint64_t now_ms);

unsigned int command_log_count(const struct command_log *l);

/* Bytes held, 16 KiB of them fixed, with estimates for the hash table and the heap. */
size_t command_log_bytes(const struct command_log *l);

/*
 * The outcome that a result proves for a command that was, or was not, sent to a backend server.
 * After sending, only a refusal of the backend server itself (SHED, LEAVING) proves `not_run`.
 */
enum outcome command_outcome(enum result result, bool was_sent);

G_END_DECLS

#endif
