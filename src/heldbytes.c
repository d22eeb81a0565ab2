#include "heldbytes.h"

#include <string.h>

#define MB 1048576u
/* Part of the VM's memory that is bounded by default; the rest is for everything else. */
#define MEMORY_DIVISOR 4
/*
 * Large answers are read while this part of the bound has room for them. The rest is for small
 * answers and requests, which are served while slow callers hold large ones.
 */
#define LARGE_PART 0.75
/* Part of the bound that one caller's connection may have unsent when its next request is read. */
#define CALLER_DIVISOR 16
/* Part of the bound that the large answers of one leaf may take, or one answer if it is larger. */
#define LEAF_DIVISOR 4
/*
 * A request whose calls bring more than fits beside others is admitted while no more than this part
 * of the bound is held and expected. Together with LARGE_PART it leaves room for small requests.
 */
#define ALONE_DIVISOR 8
/* Answers and bodies up to this size, and up to this part of the bound, are small. */
#define SMALL_BYTES 65536
#define SMALL_DIVISOR 64
/*
 * The shortage ends when less than this part of the bound is held and no answer has paused and no
 * request was refused for this time, so that it does not flap.
 */
#define SHORT_END_DIVISOR 2
#define SHORT_END_MS 1000

struct heldbytes {
	const struct heldbytes_ops *ops;
	void *arg;
	uint64_t bound_bytes; /* 0: nothing is bounded */
	uint64_t bytes[HELD_KIND_COUNT];
	uint64_t total;
	uint64_t expected; /* by open calls, with what has been read of their small answers */
	uint64_t small_read; /* of small answers; part of the total */
	struct list_head waiting; /* struct held_answer, oldest first */
	unsigned int n_waiting;
	struct held_stats stats;
	uint64_t short_ms; /* last time that an answer paused or a request was refused */
	bool is_short;
};

const char *held_kind_name(enum held_kind kind)
{
	static const char *const names[] = {
#define X(symbol, name) name,
		HELD_KIND_LIST(X)
#undef X
	};

	return names[kind];
}

uint64_t heldbytes_bound(uint64_t held_mb, uint64_t memory_mb)
{
	return held_mb > 0 ? held_mb * MB : memory_mb * MB / MEMORY_DIVISOR;
}

struct heldbytes *heldbytes_create(uint64_t bound_bytes, const struct heldbytes_ops *ops, void *arg)
{
	struct heldbytes *h = g_new0(struct heldbytes, 1);

	h->ops = ops;
	h->arg = arg;
	h->bound_bytes = bound_bytes;
	list_init(&h->waiting);
	return h;
}

void heldbytes_destroy(struct heldbytes *h)
{
	g_free(h);
}

static void short_note(struct heldbytes *h, uint64_t now_ms)
{
	h->short_ms = now_ms;
	if (h->is_short)
		return;
	h->is_short = true;
	h->ops->changed(h->arg, true);
}

static void short_end_check(struct heldbytes *h, uint64_t now_ms)
{
	if (!h->is_short || h->n_waiting > 0 || now_ms - h->short_ms < SHORT_END_MS ||
	    h->total >= h->bound_bytes / SHORT_END_DIVISOR)
		return;
	h->is_short = false;
	h->ops->changed(h->arg, false);
}

static size_t small_bytes(const struct heldbytes *h)
{
	return (size_t)MIN(SMALL_BYTES, h->bound_bytes / SMALL_DIVISOR);
}

static uint64_t large_bytes(const struct heldbytes *h)
{
	return (uint64_t)((double)h->bound_bytes * LARGE_PART);
}

static bool is_full(const struct heldbytes *h)
{
	return h->bound_bytes > 0 && h->total >= h->bound_bytes;
}

bool heldbytes_admits(struct heldbytes *h, uint64_t now_ms)
{
	if (!is_full(h))
		return true;
	h->stats.refused++;
	short_note(h, now_ms);
	return false;
}

uint64_t heldbytes_expected(const struct heldbytes *h)
{
	return h->expected > h->small_read ? h->expected - h->small_read : 0;
}

size_t heldbytes_expected_of_call(const struct heldbytes *h, size_t answer_bytes,
				  unsigned int n_calls)
{
	if (h->bound_bytes == 0)
		return answer_bytes;
	if (answer_bytes > small_bytes(h) && n_calls == 1)
		return 0;
	return MIN(MIN(answer_bytes, small_bytes(h)), (size_t)(large_bytes(h) / n_calls));
}

bool heldbytes_admits_answers(struct heldbytes *h, size_t bytes, uint64_t now_ms)
{
	uint64_t committed = h->total + heldbytes_expected(h);
	uint64_t limit = bytes <= small_bytes(h) ? h->bound_bytes : large_bytes(h);

	if (h->bound_bytes == 0 || committed + bytes <= limit ||
	    committed <= h->bound_bytes / ALONE_DIVISOR)
		return true;
	h->stats.refused++;
	short_note(h, now_ms);
	return false;
}

uint64_t heldbytes_bound_bytes(const struct heldbytes *h)
{
	return h->bound_bytes;
}

uint64_t heldbytes_total(const struct heldbytes *h)
{
	return h->total;
}

uint64_t heldbytes_of_kind(const struct heldbytes *h, enum held_kind kind)
{
	return h->bytes[kind];
}

unsigned int heldbytes_waiting(const struct heldbytes *h)
{
	return h->n_waiting;
}

const struct held_stats *heldbytes_stats(const struct heldbytes *h)
{
	return &h->stats;
}

void held_account_init(struct held_account *a, struct heldbytes *held, struct held_account *leaf)
{
	memset(a, 0, sizeof(*a));
	a->held = held;
	a->leaf = leaf;
}

void held_account_set(struct held_account *a, enum held_kind kind, size_t bytes)
{
	struct heldbytes *h = a->held;

	if (!h)
		return;
	h->bytes[kind] += bytes - a->bytes[kind];
	h->total += bytes - a->bytes[kind];
	if (a->leaf)
		a->leaf->bytes[kind] += bytes - a->bytes[kind];
	a->bytes[kind] = bytes;
	h->stats.peak_bytes = MAX(h->stats.peak_bytes, h->total);
}

void held_account_expect(struct held_account *a, size_t bytes)
{
	if (!a->held)
		return;
	a->held->expected += bytes - a->expected_bytes;
	a->expected_bytes = bytes;
}

void held_account_close(struct held_account *a)
{
	held_account_expect(a, 0);
	for (int kind = 0; kind < HELD_KIND_COUNT; kind++)
		held_account_set(a, (enum held_kind)kind, 0);
}

bool held_account_is_over_share(const struct held_account *a)
{
	const struct heldbytes *h = a->held;

	return h && h->bound_bytes > 0 && a->bytes[HELD_CALLERS] > h->bound_bytes / CALLER_DIVISOR;
}

bool held_account_body_may_grow(const struct held_account *a)
{
	const struct heldbytes *h = a->held;

	return !h || !is_full(h) || a->bytes[HELD_BODIES] <= small_bytes(h);
}

void held_answer_init(struct held_answer *a, const struct held_answer_ops *ops,
		      struct held_account *account)
{
	memset(a, 0, sizeof(*a));
	a->ops = ops;
	a->account = account;
	list_init(&a->node);
}

static void wait_end(struct heldbytes *h, struct held_answer *a)
{
	if (!a->is_waiting)
		return;
	a->is_waiting = false;
	list_del(&a->node);
	h->n_waiting--;
}

static void granted_set(struct held_answer *a, size_t bytes)
{
	if (a->account->leaf)
		a->account->leaf->granted_bytes += bytes - a->granted_bytes;
	a->granted_bytes = bytes;
	held_account_set(a->account, HELD_ANSWERS, MAX(bytes, a->read_bytes));
}

static void small_set(struct held_answer *a, size_t bytes)
{
	a->account->held->small_read += bytes - a->small_bytes;
	a->small_bytes = bytes;
}

/* Counts the whole answer, so that all of it fits once its reading goes on. */
static bool fits_vm(const struct heldbytes *h, const struct held_answer *a)
{
	return h->total + heldbytes_expected(h) - a->account->bytes[HELD_ANSWERS] + a->due_bytes <=
	       large_bytes(h);
}

static bool fits_leaf(const struct heldbytes *h, const struct held_answer *a)
{
	const struct held_account *leaf = a->account->leaf;
	size_t others = leaf ? leaf->granted_bytes - a->granted_bytes : 0;

	return others == 0 || others + a->due_bytes <= h->bound_bytes / LEAF_DIVISOR;
}

bool held_answer_read(struct held_answer *a, size_t read_bytes, size_t due_bytes, uint64_t now_ms)
{
	struct heldbytes *h = a->account->held;

	if (!h)
		return true;
	a->read_bytes = read_bytes;
	held_account_set(a->account, HELD_ANSWERS, MAX(read_bytes, a->granted_bytes));
	if (h->bound_bytes == 0 || MAX(read_bytes, due_bytes) <= small_bytes(h)) {
		small_set(a, read_bytes);
		return true;
	}
	small_set(a, 0);
	if (a->granted_bytes > 0 && MAX(read_bytes, due_bytes) <= a->granted_bytes)
		return true;
	/* The size of an answer without a length is taken for twice of what has arrived. */
	a->due_bytes = due_bytes > 0 ? due_bytes : 2 * read_bytes;
	if (list_is_empty(&h->waiting) && fits_vm(h, a) && fits_leaf(h, a)) {
		granted_set(a, a->due_bytes);
		return true;
	}
	a->is_waiting = true;
	a->since_ms = now_ms;
	list_add_tail(&a->node, &h->waiting);
	h->n_waiting++;
	h->stats.paused++;
	short_note(h, now_ms);
	return false;
}

void held_answer_end(struct held_answer *a)
{
	if (!a->account->held)
		return;
	wait_end(a->account->held, a);
	small_set(a, 0);
	a->read_bytes = 0;
	granted_set(a, 0);
}

/*
 * The oldest answer that has waited too long, that never fits, or that is in the way of new
 * requests; NULL: none.
 */
static struct held_answer *expired_find(const struct heldbytes *h, uint64_t now_ms)
{
	struct list_head *pos;

	list_for_each (pos, &h->waiting) {
		struct held_answer *a = list_entry(pos, struct held_answer, node);

		if (is_full(h) || a->due_bytes > large_bytes(h) ||
		    now_ms - a->since_ms >= HELD_ANSWER_WAIT_MS)
			return a;
	}
	return NULL;
}

static void fitting_resume(struct heldbytes *h)
{
	struct list_head *pos;
	struct list_head *next;

	/* The analyzer loses track of the links after an element was removed. */
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference) */
	list_for_each_safe (pos, next, &h->waiting) {
		struct held_answer *a = list_entry(pos, struct held_answer, node);

		if (!fits_vm(h, a))
			return;
		if (!fits_leaf(h, a))
			continue;
		wait_end(h, a);
		granted_set(a, a->due_bytes);
		a->ops->resume(a);
	}
}

void heldbytes_advance(struct heldbytes *h, uint64_t now_ms)
{
	struct held_answer *expired;

	while ((expired = expired_find(h, now_ms))) {
		wait_end(h, expired);
		h->stats.given_up++;
		expired->ops->give_up(expired);
		/* What it held may let another go on that would expire next. */
		fitting_resume(h);
	}
	fitting_resume(h);
	short_end_check(h, now_ms);
}
