#include "edge.h"

void store_answer_clear(struct store_answer *a)
{
	if (a->items)
		g_ptr_array_free(a->items, TRUE);
	*a = (struct store_answer){0};
}
