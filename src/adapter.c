#include "adapter.h"

void store_item_free(gpointer data)
{
	struct store_item *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

void store_answer_clear(struct store_answer *a)
{
	if (a->items)
		g_ptr_array_free(a->items, TRUE);
	g_free(a->next);
	*a = (struct store_answer){0};
}
