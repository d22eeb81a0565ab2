#include "entrylist.h"

#include <string.h>

struct entrylist {
	struct member_entry *entries; /* hold the strings of the items */
	struct entrylist_item *items;
	unsigned int n;
	uint64_t expiry_ms;
};

struct candidate {
	unsigned int index;
	bool is_remote;
	guint32 rank;
};

static int candidate_compare(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	if (x->is_remote != y->is_remote)
		return x->is_remote ? 1 : -1;
	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return x->index < y->index ? -1 : 1;
}

struct entrylist *entrylist_create(const struct member_entry *entries, unsigned int n,
				   const char *own_dc, uint64_t now_ms, GRand *rand)
{
	struct entrylist *l = g_new0(struct entrylist, 1);
	/* n may be 0, and qsort takes no NULL. */
	struct candidate *candidates = g_new0(struct candidate, n + 1);

	l->expiry_ms = now_ms + ENTRYLIST_TTL_MS;
	for (unsigned int i = 0; i < n; i++) {
		const struct member_entry *e = &entries[i];

		if (e->state != MEMBER_LIVE || e->incarnation == 0)
			continue;
		candidates[l->n++] = (struct candidate){
			.index = i,
			.is_remote = strcmp(e->dc, own_dc) != 0,
			.rank = g_rand_int(rand),
		};
	}
	qsort(candidates, l->n, sizeof(candidates[0]), candidate_compare);
	l->entries = g_new0(struct member_entry, l->n);
	l->items = g_new0(struct entrylist_item, l->n);
	for (unsigned int i = 0; i < l->n; i++) {
		struct member_entry *e = &l->entries[i];

		*e = entries[candidates[i].index];
		l->items[i].name = e->name;
		l->items[i].dc = e->dc;
		l->items[i].http = e->http;
		g_snprintf(l->items[i].id_prefix, ENTRYLIST_PREFIX_MAX,
			   "%016" G_GINT64_MODIFIER "x.%" G_GUINT64_FORMAT, e->incarnation,
			   e->uptime_ms);
	}
	g_free(candidates);
	return l;
}

void entrylist_destroy(struct entrylist *l)
{
	if (!l)
		return;
	g_free(l->entries);
	g_free(l->items);
	g_free(l);
}

const struct entrylist_item *entrylist_items(const struct entrylist *l, unsigned int *n)
{
	*n = l->n;
	return l->items;
}

uint64_t entrylist_expiry(const struct entrylist *l)
{
	return l->expiry_ms;
}
