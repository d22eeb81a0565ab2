#include "adapter.h"

const char *store_era_name(enum store_era era)
{
	static const char *const names[] = {
#define X(symbol, name) name,
		STORE_ERA_LIST(X)
#undef X
	};

	return names[era];
}

void store_answer_era_set(struct store_answer *a, uint64_t era)
{
	a->position.era = era;
	for (guint i = 0; i < a->items->len; i++)
		((struct store_item *)g_ptr_array_index(a->items, i))->position.era = era;
}

void store_item_free(gpointer data)
{
	struct store_item *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

void store_unreadable_free(gpointer data)
{
	struct store_unreadable *unreadable = data;

	g_free(unreadable->shown);
	g_free(unreadable->key);
	g_free(unreadable);
}

void store_answer_clear(struct store_answer *a)
{
	if (a->unreadable)
		g_ptr_array_free(a->unreadable, TRUE);
	if (a->items)
		g_ptr_array_free(a->items, TRUE);
	g_free(a->next);
	*a = (struct store_answer){0};
}
