#include "mirror.h"

#include <string.h>

/* Removals kept; the oldest are dropped, and VMs that ask about an older position get every key. */
#define REMOVALS_MAX 4096

struct mirror {
	GHashTable *items; /* key -> struct store_item, with value NULL once removed */
	GQueue removals; /* keys, owned, in the order of removal */
	struct position position;
	struct position dropped; /* removals up to this position may be missing */
};

static struct store_item *item_copy(const struct store_item *item)
{
	struct store_item *copy = g_new0(struct store_item, 1);

	copy->key = g_strdup(item->key);
	copy->position = item->position;
	copy->n_value = item->n_value;
	copy->read_ms = item->read_ms;
	if (item->value) { /* an empty value is not a removal */
		copy->value = g_malloc0(item->n_value + 1);
		memcpy(copy->value, item->value, item->n_value);
	}
	return copy;
}

struct mirror *mirror_create(void)
{
	struct mirror *m = g_new0(struct mirror, 1);

	m->items = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, store_item_free);
	g_queue_init(&m->removals);
	return m;
}

void mirror_destroy(struct mirror *m)
{
	if (!m)
		return;
	g_queue_clear_full(&m->removals, g_free);
	g_hash_table_destroy(m->items);
	g_free(m);
}

/* Keeps a removal, and drops the oldest ones beyond REMOVALS_MAX. */
static void removal_add(struct mirror *m, const char *key)
{
	g_queue_push_tail(&m->removals, g_strdup(key));
	while (g_queue_get_length(&m->removals) > REMOVALS_MAX) {
		char *oldest = g_queue_pop_head(&m->removals);
		const struct store_item *item = g_hash_table_lookup(m->items, oldest);

		if (item && !item->value) {
			m->dropped = position_max(m->dropped, item->position);
			g_hash_table_remove(m->items, oldest);
		}
		g_free(oldest);
	}
}

/* answer: position of the answer with the item */
static void item_apply(struct mirror *m, const struct store_item *item, struct position answer)
{
	const struct store_item *known = g_hash_table_lookup(m->items, item->key);
	struct store_item *copy;

	if (known && !position_is_after(item->position, known->position))
		return;
	if (!known && position_is_after(m->position, answer) &&
	    !position_is_after(item->position, m->position))
		return;
	copy = item_copy(item);
	/* The feed empties a malformed value. It must not remove what others know of the key. */
	if (copy->value && copy->n_value == 0 && known && known->value) {
		g_free(copy->value);
		copy->n_value = known->n_value;
		copy->value = g_malloc0(known->n_value + 1);
		memcpy(copy->value, known->value, known->n_value);
	}
	g_hash_table_replace(m->items, copy->key, copy);
	if (!copy->value)
		removal_add(m, copy->key);
}

void mirror_apply(struct mirror *m, const struct store_answer *answer)
{
	for (guint i = 0; i < answer->items->len; i++)
		item_apply(m, g_ptr_array_index(answer->items, i), answer->position);
	m->position = position_max(m->position, answer->position);
}

void mirror_apply_listing(struct mirror *m, const struct store_answer *answer)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < answer->items->len; i++)
		g_hash_table_add(listed,
				 ((struct store_item *)g_ptr_array_index(answer->items, i))->key);
	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct store_item *item = value;

		if (!position_is_after(item->position, answer->position) &&
		    !g_hash_table_contains(listed, item->key))
			g_hash_table_iter_remove(&iter);
	}
	/*
	 * The positions of these removals are unknown, so VMs that ask about an older one must get
	 * every key.
	 */
	m->dropped = position_max(m->dropped, answer->position);
	g_hash_table_destroy(listed);
	mirror_apply(m, answer);
}

struct position mirror_position(const struct mirror *m)
{
	return m->position;
}

void mirror_changes_since(const struct mirror *m, struct position after, struct store_answer *out,
			  bool *is_full)
{
	GHashTableIter iter;
	gpointer value;

	*is_full = position_is_after(m->dropped, after) || after.revision == 0;
	out->items = g_ptr_array_new_with_free_func(store_item_free);
	out->position = m->position;
	out->has_more = false;
	g_hash_table_iter_init(&iter, m->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct store_item *item = value;

		if (*is_full ? item->value != NULL : position_is_after(item->position, after))
			g_ptr_array_add(out->items, item_copy(item));
	}
}
