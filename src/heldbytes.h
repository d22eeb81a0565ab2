/*
 * Bytes that this VM holds for callers and leaves, and what is bounded because of them.
 *
 * Answers callers that read large answers slowly, many at a time, and leaves that read large
 * requests slowly: what is buffered for them counts toward the VM's memory, and a process that
 * exceeds it is killed. With a bound, three things happen in this order:
 * - A caller's next request is not read while more than its share is unsent to it.
 * - A large answer of a leaf is read once all of it fits into LARGE_PART of the bound. One that has
 *   waited HELD_ANSWER_WAIT_MS is given up, or earlier if the bound is reached. Small answers are
 *   always read.
 * - A request is refused when the answers that its calls may bring do not fit beside those that
 * other requests expect.
 * - At the bound, new requests are refused.
 * Without a bound the bytes are only counted.
 *
 * Each connection has an account, which its owner embeds. The set must outlive the accounts.
 */
#ifndef APRICOT_HELDBYTES_H
#define APRICOT_HELDBYTES_H

#include "list.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Longest time for which the reading of an answer pauses. Leaves cut off an answer that is unread
 * for some seconds.
 */
#define HELD_ANSWER_WAIT_MS 2000

struct heldbytes;

/* X(symbol, name) */
#define HELD_KIND_LIST(X)                                                         \
	X(CALLERS, "unsent_to_callers")                                           \
	X(BODIES, "request_bodies") /* of requests read in part or in progress */ \
	X(ANSWERS, "answers_being_read") /* from leaves */                        \
	X(LEAVES, "unsent_to_leaves")                                             \
	X(PARTS, "parts_of_answers") /* kept by requests in progress */

enum held_kind {
#define X(symbol, name) HELD_##symbol,
	HELD_KIND_LIST(X)
#undef X
		HELD_KIND_COUNT
};

const char *held_kind_name(enum held_kind kind);

struct heldbytes_ops {
	/*
	 * An answer pauses or a request is refused; or neither has happened for a second, and less
	 * than half of the bound is held. While it is short, heldbytes_advance must be called from
	 * time to time.
	 */
	void (*changed)(void *arg, bool is_short);
};

struct held_stats {
	uint64_t refused; /* requests */
	uint64_t paused; /* answers whose reading paused */
	uint64_t given_up; /* answers that did not fit in time */
	uint64_t peak_bytes;
};

/*
 * Bound in bytes: held_mb, or a quarter of memory_mb if held_mb is 0; 0 if both are 0.
 */
uint64_t heldbytes_bound(uint64_t held_mb, uint64_t memory_mb);

/* bound_bytes: 0 if nothing is bounded. ops must outlive the set. Destroy accepts NULL. */
struct heldbytes *heldbytes_create(uint64_t bound_bytes, const struct heldbytes_ops *ops,
				   void *arg);
void heldbytes_destroy(struct heldbytes *h);

/*
 * Gives up answers that have waited too long, or while the bound is reached, and resumes those that
 * fit now, oldest first.
 */
void heldbytes_advance(struct heldbytes *h, uint64_t now_ms);
/* False when a new request is to be refused, which is counted. */
bool heldbytes_admits(struct heldbytes *h, uint64_t now_ms);

/*
 * False when a new request whose calls may bring so many bytes is to be refused, which is counted.
 * A small sum may take the whole bound. A large one leaves room for small requests, and is admitted
 * alone if it never fits beside others.
 */
bool heldbytes_admits_answers(struct heldbytes *h, size_t bytes, uint64_t now_ms);
/*
 * What to expect of one call, in bytes, if one of n_calls usually brings answer_bytes. Large
 * answers are not expected beyond the begin that is read without asking, since they wait for room.
 */
size_t heldbytes_expected_of_call(const struct heldbytes *h, size_t answer_bytes,
				  unsigned int n_calls);
/* Bytes of small answers that open calls may still bring; not part of the total. */
uint64_t heldbytes_expected(const struct heldbytes *h);

uint64_t heldbytes_bound_bytes(const struct heldbytes *h);
uint64_t heldbytes_total(const struct heldbytes *h);
uint64_t heldbytes_of_kind(const struct heldbytes *h, enum held_kind kind);
unsigned int heldbytes_waiting(const struct heldbytes *h);
const struct held_stats *heldbytes_stats(const struct heldbytes *h);

/* What is held for a connection, for all connections to a leaf, or for a request in progress. */
struct held_account {
	struct heldbytes *held; /* NULL: nothing is counted */
	struct held_account *leaf; /* of a connection to a leaf; NULL for a caller */
	size_t bytes[HELD_KIND_COUNT];
	size_t granted_bytes; /* of a leaf: its large answers that are being read */
	size_t expected_bytes; /* of a request: what its open calls bring */
};

/* held and leaf may be NULL; leaf must outlive the account. */
void held_account_init(struct held_account *a, struct heldbytes *held, struct held_account *leaf);
/* Replaces the number of bytes of the kind. */
void held_account_set(struct held_account *a, enum held_kind kind, size_t bytes);
/* Replaces the number of bytes that the open calls of a request are expected to bring in all. */
void held_account_expect(struct held_account *a, size_t bytes);
void held_account_close(struct held_account *a);
/* True while too much is unsent to the caller for its next request to be read. */
bool held_account_is_over_share(const struct held_account *a);
/* False when a request whose body is read in part is to be refused, since the bound is reached. */
bool held_account_body_may_grow(const struct held_account *a);

struct held_answer;

struct held_answer_ops {
	void (*resume)(struct held_answer *a); /* must not destroy an answer */
	void (*give_up)(struct held_answer *a); /* may destroy any answer */
};

/* An answer of a leaf that is being read. */
struct held_answer {
	const struct held_answer_ops *ops;
	struct held_account *account; /* of the connection */
	struct list_head node; /* in the set's waiting answers */
	uint64_t since_ms; /* begin of the wait */
	size_t read_bytes;
	size_t due_bytes;
	size_t granted_bytes; /* 0: not granted, or small */
	size_t small_bytes; /* read of a small answer */
	bool is_waiting;
};

/* ops and account must outlive the answer. */
void held_answer_init(struct held_answer *a, const struct held_answer_ops *ops,
		      struct held_account *account);
/*
 * read_bytes of the answer were read. due_bytes: its whole size, 0 if unknown. Returns false when
 * reading has to pause until ops->resume or ops->give_up.
 */
bool held_answer_read(struct held_answer *a, size_t read_bytes, size_t due_bytes, uint64_t now_ms);
/* The answer is complete or dropped: nothing is held for it. The struct can be used again. */
void held_answer_end(struct held_answer *a);

G_END_DECLS

#endif
