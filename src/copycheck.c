#include "copycheck.h"

#include "list.h"

/* A copy is some seconds old, and the store's return is noticed within seconds. */
#define REMOVAL_KEPT_MS 60000
/* Removals kept; the oldest are dropped. */
#define REMOVALS_MAX 4096

struct value {
	struct list_head node; /* in copycheck.removals if is_removed */
	char *key;
	struct position position; /* of the last write; the era is that of a later removal */
	uint64_t process_start_ms; /* of a leaf; 0: unknown */
	uint64_t sequence;
	bool is_draining;
	bool is_removed;
	uint64_t removed_ms;
};

struct copycheck {
	GHashTable *values; /* key -> struct value, owned */
	struct list_head removals; /* the oldest first */
	unsigned int n_removals;
};

static void value_free(gpointer data)
{
	struct value *v = data;

	list_del(&v->node);
	g_free(v->key);
	g_free(v);
}

struct copycheck *copycheck_create(void)
{
	struct copycheck *c = g_new0(struct copycheck, 1);

	c->values = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, value_free);
	list_init(&c->removals);
	return c;
}

void copycheck_destroy(struct copycheck *c)
{
	if (!c)
		return;
	g_hash_table_destroy(c->values);
	g_free(c);
}

static struct value *value_find(const struct copycheck *c, const char *key)
{
	return g_hash_table_lookup(c->values, key);
}

static struct value *value_get(struct copycheck *c, const char *key)
{
	struct value *v = value_find(c, key);

	if (v)
		return v;
	v = g_new0(struct value, 1);
	list_init(&v->node);
	v->key = g_strdup(key);
	g_hash_table_insert(c->values, v->key, v);
	return v;
}

void copycheck_value_note(struct copycheck *c, const char *key, const struct leaf_report *report,
			  struct position position)
{
	struct value *v = value_get(c, key);

	if (v->is_removed) {
		list_del(&v->node);
		c->n_removals--;
	}
	v->is_removed = false;
	v->position = position;
	v->process_start_ms = report ? report->process_start_ms : 0;
	v->sequence = report ? report->sequence : 0;
	v->is_draining = report && report->state != LEAF_READY;
}

static void removals_drop(struct copycheck *c, uint64_t now_ms)
{
	while (c->n_removals > 0) {
		struct value *oldest = list_entry(c->removals.next, struct value, node);

		if (c->n_removals <= REMOVALS_MAX && now_ms - oldest->removed_ms < REMOVAL_KEPT_MS)
			return;
		c->n_removals--;
		g_hash_table_remove(c->values, oldest->key);
	}
}

void copycheck_removal_note(struct copycheck *c, const char *key, uint64_t era, uint64_t now_ms)
{
	struct value *v = value_find(c, key);

	if (!v || v->is_removed)
		return;
	v->is_removed = true;
	v->position.era = era;
	v->removed_ms = now_ms;
	list_add_tail(&v->node, &c->removals);
	c->n_removals++;
	removals_drop(c, now_ms);
}

bool copycheck_is_removed(const struct copycheck *c, const char *key)
{
	const struct value *v = value_find(c, key);

	return v && v->is_removed;
}

bool copycheck_is_older(const struct copycheck *c, const char *key,
			const struct leaf_report *report, struct position position)
{
	const struct value *v = value_find(c, key);

	if (!v || position.era <= v->position.era)
		return false;
	if (!report)
		return v->is_removed && position.revision == v->position.revision;
	if (!v->process_start_ms || !report->process_start_ms)
		return false;
	if (report->process_start_ms != v->process_start_ms)
		return report->process_start_ms < v->process_start_ms;
	if (report->sequence != v->sequence)
		return report->sequence < v->sequence;
	return v->is_removed || (v->is_draining && report->state == LEAF_READY);
}
