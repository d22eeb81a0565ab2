#include "leaving.h"

#include "list.h"

#include <string.h>

/*
 * Replaced incarnations remembered for each backend, to recognise late answers. A late answer
 * arrives within the deadline of its request, and a backend does not restart more than REPLACED_MAX
 * times in that time.
 */
#define REPLACED_MAX 4
#define MARKS_MAX 4 /* for each backend */

struct mark {
	uint64_t incarnation;
	enum leaving_sign sign;
};

struct backend {
	struct list_head node; /* in marked or unmarked, least recently seen first */
	char name[LEAVING_NAME_MAX];
	uint64_t newest; /* newest known incarnation; 0: none is known */
	bool newest_has_answered; /* false: newest is known only from a mark */
	uint64_t replaced[REPLACED_MAX];
	unsigned int replaced_next;
	struct mark marks[MARKS_MAX]; /* the latest ones; incarnation 0 in an unused slot */
	unsigned int marks_next;
	bool has_pending_mark; /* a mark for the next observed incarnation */
	enum leaving_sign pending_sign;
	bool marked_by_list; /* the VM list has set a mark since the last leaving_unlist */
};

struct leaving {
	GHashTable *by_name;
	struct list_head marked;
	struct list_head unmarked;
	unsigned int max_backends;
};

const char *leaving_sign_name(enum leaving_sign sign)
{
	switch (sign) {
#define X(symbol, name)        \
	case LEAVING_##symbol: \
		return name;
		LEAVING_SIGN_LIST(X)
#undef X
	}
	return "?";
}

struct leaving *leaving_create(unsigned int max_backends)
{
	struct leaving *l = g_new0(struct leaving, 1);

	l->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	list_init(&l->marked);
	list_init(&l->unmarked);
	l->max_backends = max_backends;
	return l;
}

void leaving_destroy(struct leaving *l)
{
	if (!l)
		return;
	g_hash_table_destroy(l->by_name);
	g_free(l);
}

static bool backend_has_mark(const struct backend *b, uint64_t incarnation)
{
	for (unsigned int i = 0; i < MARKS_MAX; i++)
		if (incarnation != 0 && b->marks[i].incarnation == incarnation)
			return true;
	return false;
}

static bool backend_has_replaced(const struct backend *b, uint64_t incarnation)
{
	for (unsigned int i = 0; i < REPLACED_MAX; i++)
		if (b->replaced[i] == incarnation)
			return true;
	return false;
}

static void backend_touch(struct leaving *l, struct backend *b)
{
	bool marked = b->has_pending_mark;

	for (unsigned int i = 0; i < MARKS_MAX; i++)
		marked = marked || b->marks[i].incarnation != 0;
	list_del(&b->node);
	list_add_tail(&b->node, marked ? &l->marked : &l->unmarked);
}

static struct backend *backend_get(struct leaving *l, const char *name)
{
	struct backend *b = g_hash_table_lookup(l->by_name, name);
	struct list_head *oldest;

	if (b || strlen(name) >= LEAVING_NAME_MAX)
		return b;
	if (g_hash_table_size(l->by_name) >= l->max_backends) {
		oldest = list_pop_head(&l->unmarked);
		if (!oldest)
			oldest = list_pop_head(&l->marked);
		if (oldest)
			g_hash_table_remove(l->by_name,
					    list_entry(oldest, struct backend, node)->name);
	}
	b = g_new0(struct backend, 1);
	list_init(&b->node);
	g_strlcpy(b->name, name, sizeof(b->name));
	g_hash_table_insert(l->by_name, b->name, b);
	return b;
}

static bool backend_mark(struct backend *b, uint64_t incarnation, enum leaving_sign sign)
{
	for (unsigned int i = 0; i < MARKS_MAX; i++) {
		struct mark *known = &b->marks[i];

		if (known->incarnation != incarnation)
			continue;
		/* Another sign replaces the VM list's, so that leaving_unlist keeps the mark. */
		if (known->sign == LEAVING_VM_LIST)
			known->sign = sign;
		return false;
	}
	b->marks[b->marks_next++ % MARKS_MAX] = (struct mark){incarnation, sign};
	return true;
}

bool leaving_mark(struct leaving *l, const char *backend, uint64_t incarnation,
		  enum leaving_sign sign)
{
	struct backend *b = backend_get(l, backend);
	bool is_new;

	if (!b)
		return false;
	if (sign == LEAVING_VM_LIST) {
		if (b->marked_by_list)
			return false;
		b->marked_by_list = true;
	}
	if (incarnation == 0)
		incarnation = b->newest;
	if (incarnation == 0) {
		is_new = !b->has_pending_mark;
		b->has_pending_mark = true;
		b->pending_sign = sign;
	} else {
		is_new = backend_mark(b, incarnation, sign);
		/*
		 * The marked incarnation, unless known as replaced, counts as the newest until
		 * another one answers.
		 */
		if (is_new && incarnation != b->newest && !backend_has_replaced(b, incarnation)) {
			b->newest = incarnation;
			b->newest_has_answered = false;
		}
	}
	backend_touch(l, b);
	return is_new;
}

bool leaving_unlist(struct leaving *l, const char *backend)
{
	struct backend *b = g_hash_table_lookup(l->by_name, backend);
	bool was_listed;

	if (!b)
		return false;
	was_listed = b->marked_by_list;
	b->marked_by_list = false;
	if (b->pending_sign == LEAVING_VM_LIST)
		b->has_pending_mark = false;
	for (unsigned int i = 0; i < MARKS_MAX; i++)
		if (b->marks[i].sign == LEAVING_VM_LIST)
			b->marks[i].incarnation = 0;
	backend_touch(l, b);
	return was_listed;
}

void leaving_observe(struct leaving *l, const char *backend, uint64_t incarnation)
{
	struct backend *b;

	if (incarnation == 0)
		return;
	b = backend_get(l, backend);
	if (!b || backend_has_replaced(b, incarnation))
		return;
	if (incarnation != b->newest) {
		/* An incarnation known only from a mark may be newer than this one. */
		if (b->newest_has_answered)
			b->replaced[b->replaced_next++ % REPLACED_MAX] = b->newest;
		b->newest = incarnation;
	}
	b->newest_has_answered = true;
	if (b->has_pending_mark) {
		b->has_pending_mark = false;
		backend_mark(b, incarnation, b->pending_sign);
	}
	backend_touch(l, b);
}

bool leaving_is_marked(const struct leaving *l, const char *backend, uint64_t incarnation)
{
	const struct backend *b = g_hash_table_lookup(l->by_name, backend);

	if (!b)
		return false;
	if (b->has_pending_mark)
		return true;
	return backend_has_mark(b, incarnation ? incarnation : b->newest);
}

struct leaving_mark_record *leaving_export(const struct leaving *l, unsigned int *n)
{
	GArray *records = g_array_new(FALSE, TRUE, sizeof(struct leaving_mark_record));
	struct leaving_mark_record r;
	struct list_head *node;

	list_for_each (node, &l->marked) {
		const struct backend *b = list_entry(node, struct backend, node);

		memcpy(r.backend, b->name, sizeof(r.backend));
		for (unsigned int i = 0; i < MARKS_MAX; i++) {
			r.incarnation = b->marks[i].incarnation;
			r.sign = b->marks[i].sign;
			if (r.incarnation != 0)
				g_array_append_val(records, r);
		}
		r.incarnation = 0;
		r.sign = b->pending_sign;
		if (b->has_pending_mark)
			g_array_append_val(records, r);
	}
	*n = records->len;
	return (struct leaving_mark_record *)g_array_free(records, FALSE);
}

unsigned int leaving_import(struct leaving *l, const struct leaving_mark_record *records,
			    unsigned int n)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < n; i++)
		count += leaving_mark(l, records[i].backend, records[i].incarnation, LEAVING_PEER);
	return count;
}
