#include "follower.h"

#include "readers.h"

#include <string.h>

/*
 * A reader that has not answered a query for its position for this long counts as lost, and what
 * this VM knows counts as current for as long after an answer. Readers hold such a query until the
 * store answers them, at most 2,400 ms with a slow store; the strictest limit for a change to be in
 * force is 3,000 ms, of which the read of the store takes a part.
 */
#define CURRENT_MS 2600
/* Limit for the first answer after a start. */
#define FIRST_ANSWER_MS 700
/*
 * Shortest and longest delay until another reader is asked for the same changes. In between, the
 * delay follows the time from a query to its changes, so that large ones are not requested from
 * every reader.
 */
#define REPEAT_MIN_MS 250
#define REPEAT_MAX_MS 1000
/* A VM that has lacked a change for this long after a reader told of it reads the store itself. */
#define BEHIND_MAX_MS 1500
/* Positions remembered of which readers have told; the last one stands for all further ones. */
#define REPORTS_MAX 16
/* Pause after an answer that is not current or brings no progress, before the next such query. */
#define RETRY_MS 500
/*
 * A reader that is new to this VM may have been chosen just now. It has this time to read the store
 * before it counts as lost, and is asked more often meanwhile.
 */
#define NEW_READER_MS 400
#define NEW_READER_RETRY_MS 150

struct query {
	bool is_open; /* waits for its answer */
	bool is_held; /* the reader answers when the store has answered it */
	uint64_t tag;
	uint64_t asked_ms;
	uint64_t next_ms; /* earliest time of the next one */
};

struct slot {
	char *address; /* NULL: no reader */
	struct query position_query;
	struct query changes_query;
	uint64_t added_ms;
	bool is_stale; /* the last query got no answer, or one that is not current */
	struct position position; /* latest one reported; revision 0: none */
};

/* A position that this VM has not reached yet, and when a reader first told of it. */
struct report {
	struct position position;
	uint64_t at_ms;
};

struct follower {
	struct slot slots[READERS_MAX]; /* in order of preference */
	uint64_t last_tag;
	struct position position; /* of this VM */
	struct report reports[REPORTS_MAX]; /* in order of position and time */
	unsigned int n_reports;
	bool was_served; /* since the restart */
	uint64_t served_ms; /* last time as of which a reader was current, or the restart */
	uint64_t changes_asked_ms; /* last query for changes */
	uint64_t repeat_ms; /* present delay, see REPEAT_MIN_MS */
};

static void slot_clear(struct slot *s)
{
	g_free(s->address);
	memset(s, 0, sizeof(*s));
}

struct follower *follower_create(uint64_t now_ms)
{
	struct follower *f = g_new0(struct follower, 1);

	follower_restart(f, false, now_ms);
	return f;
}

void follower_destroy(struct follower *f)
{
	if (!f)
		return;
	for (unsigned int i = 0; i < READERS_MAX; i++)
		slot_clear(&f->slots[i]);
	g_free(f);
}

void follower_restart(struct follower *f, bool is_served, uint64_t now_ms)
{
	for (unsigned int i = 0; i < READERS_MAX; i++)
		slot_clear(&f->slots[i]);
	f->n_reports = 0;
	f->was_served = is_served;
	f->served_ms = now_ms;
	f->repeat_ms = REPEAT_MIN_MS;
}

/* Moves the slot of the address out of the slots, or returns a new one. */
static struct slot slot_take(struct slot *slots, const char *address, uint64_t now_ms)
{
	struct slot taken = {0};

	for (unsigned int i = 0; i < READERS_MAX; i++)
		if (slots[i].address && strcmp(slots[i].address, address) == 0) {
			taken = slots[i];
			memset(&slots[i], 0, sizeof(slots[i]));
			return taken;
		}
	taken.address = g_strdup(address);
	taken.added_ms = now_ms;
	return taken;
}

void follower_readers_set(struct follower *f, const char *const *addresses, unsigned int n,
			  uint64_t now_ms)
{
	struct slot slots[READERS_MAX] = {0};

	for (unsigned int i = 0; i < n && i < READERS_MAX; i++)
		slots[i] = slot_take(f->slots, addresses[i], now_ms);
	for (unsigned int i = 0; i < READERS_MAX; i++)
		slot_clear(&f->slots[i]);
	memcpy(f->slots, slots, sizeof(slots));
}

void follower_position_set(struct follower *f, struct position position, uint64_t now_ms)
{
	unsigned int n = 0;

	if (!position_is_after(position, f->position))
		return;
	f->position = position;
	while (n < f->n_reports && !position_is_after(f->reports[n].position, position))
		n++;
	f->n_reports -= n;
	memmove(f->reports, f->reports + n, f->n_reports * sizeof(f->reports[0]));
	for (unsigned int i = 0; i < READERS_MAX; i++)
		f->slots[i].changes_query.next_ms = now_ms;
}

/* Notes that a reader has told of the position. */
static void report_add(struct follower *f, struct position position, uint64_t now_ms)
{
	struct position newest =
		f->n_reports > 0 ? f->reports[f->n_reports - 1].position : f->position;

	if (!position_is_after(position, newest))
		return;
	if (f->n_reports == REPORTS_MAX)
		f->reports[f->n_reports - 1].position = position;
	else
		f->reports[f->n_reports++] = (struct report){position, now_ms};
}

/* True while the reader has never answered as current and may still begin to. */
static bool slot_is_new(const struct slot *s, uint64_t now_ms)
{
	return s->position.revision == 0 && now_ms - s->added_ms < NEW_READER_MS;
}

static bool slot_is_lost(const struct slot *s, uint64_t now_ms)
{
	return (s->is_stale && !slot_is_new(s, now_ms)) ||
	       (s->position_query.is_open && now_ms - s->position_query.asked_ms > CURRENT_MS);
}

static bool slot_is_ahead(const struct follower *f, const struct slot *s)
{
	return s->address && position_is_after(s->position, f->position);
}

/* For how long this VM has lacked a change of which a reader has told; 0: it lacks none. */
static uint64_t behind_ms(const struct follower *f, uint64_t now_ms)
{
	return f->n_reports > 0 ? now_ms - f->reports[0].at_ms : 0;
}

static void query_open(struct follower *f, struct query *q, uint64_t now_ms)
{
	q->is_open = true;
	q->asked_ms = now_ms;
	q->tag = ++f->last_tag;
}

static bool position_query_write(struct follower *f, struct slot *s, uint64_t now_ms,
				 struct follower_query *out)
{
	struct query *q = &s->position_query;

	if (q->is_open || now_ms < q->next_ms)
		return false;
	query_open(f, q, now_ms);
	/* A reader that has not answered as current yet is to answer at once. */
	q->is_held = s->position.revision && !s->is_stale;
	*out = (struct follower_query){
		.address = s->address,
		.tag = q->tag,
		.known = q->is_held ? position_max(f->position, s->position) : (struct position){0},
	};
	return true;
}

/* is_first: no reader that is preferred to this one is left. */
static bool changes_query_write(struct follower *f, struct slot *s, bool is_first, uint64_t now_ms,
				struct follower_query *out)
{
	struct query *q = &s->changes_query;

	if (q->is_open || now_ms < q->next_ms || slot_is_lost(s, now_ms) || !slot_is_ahead(f, s))
		return false;
	if (!is_first &&
	    (behind_ms(f, now_ms) < f->repeat_ms || now_ms - f->changes_asked_ms < f->repeat_ms))
		return false;
	query_open(f, q, now_ms);
	f->changes_asked_ms = now_ms;
	*out = (struct follower_query){
		.address = s->address,
		.tag = q->tag,
		/* Differences are told within one era only. */
		.known = s->position.era == f->position.era ? f->position : (struct position){0},
		.wants_changes = true,
		.is_repeat = !is_first,
	};
	return true;
}

bool follower_query_next(struct follower *f, uint64_t now_ms, struct follower_query *out)
{
	bool is_first = true;

	for (unsigned int i = 0; i < READERS_MAX; i++) {
		struct slot *s = &f->slots[i];

		if (!s->address)
			continue;
		if (position_query_write(f, s, now_ms, out) ||
		    changes_query_write(f, s, is_first, now_ms, out))
			return true;
		is_first = is_first && slot_is_lost(s, now_ms);
	}
	return false;
}

static void changes_answered(struct follower *f, struct slot *s, struct position position,
			     uint64_t now_ms)
{
	uint64_t answer_ms = now_ms - s->changes_query.asked_ms;

	s->changes_query.next_ms = now_ms + RETRY_MS;
	if (position_is_after(position, f->position))
		f->repeat_ms = CLAMP(2 * answer_ms, REPEAT_MIN_MS, REPEAT_MAX_MS);
}

/*
 * Notes an answer of a current reader. One that was held comes with an answer of the store, others
 * may come from a reader that has lost the store without knowing it yet. Of these the first answer
 * of a reader counts, as it would take seconds until one that was held.
 */
static void served_note(struct follower *f, bool was_held, bool is_first, uint64_t now_ms)
{
	if (was_held || is_first)
		f->served_ms = now_ms;
	f->was_served = true;
}

bool follower_answered(struct follower *f, uint64_t tag, bool is_current, struct position position,
		       uint64_t now_ms, uint64_t *asked_ms)
{
	for (unsigned int i = 0; i < READERS_MAX; i++) {
		struct slot *s = &f->slots[i];
		bool is_changes = s->changes_query.is_open && s->changes_query.tag == tag;
		struct query *q = is_changes ? &s->changes_query : &s->position_query;

		if (!q->is_open || q->tag != tag)
			continue;
		q->is_open = false;
		s->is_stale = !is_current;
		if (is_changes)
			*asked_ms = q->asked_ms;
		if (!is_current) {
			q->next_ms =
				now_ms + (slot_is_new(s, now_ms) ? NEW_READER_RETRY_MS : RETRY_MS);
			return is_changes;
		}
		served_note(f, !is_changes && q->is_held, s->position.revision == 0, now_ms);
		if (is_changes)
			changes_answered(f, s, position, now_ms);
		s->position = position_max(s->position, position);
		report_add(f, position, now_ms);
		return is_changes;
	}
	return false;
}

bool follower_is_lost(const struct follower *f, uint64_t now_ms)
{
	bool has_reader = false;

	for (unsigned int i = 0; i < READERS_MAX; i++) {
		if (!f->slots[i].address)
			continue;
		if (!slot_is_lost(&f->slots[i], now_ms))
			return false;
		has_reader = true;
	}
	return has_reader;
}

bool follower_needs_store(const struct follower *f, uint64_t now_ms)
{
	bool is_starting = !f->was_served || f->position.revision == 0;

	return now_ms - f->served_ms >= (is_starting ? FIRST_ANSWER_MS : CURRENT_MS) ||
	       behind_ms(f, now_ms) >= BEHIND_MAX_MS;
}
