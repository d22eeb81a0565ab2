#include "topk.h"

#include <string.h>

struct topk {
	unsigned int k;
	unsigned int n; /* records kept so far, at most k */
	char *records; /* sorted, greatest first */
};

struct topk *topk_create(unsigned int k)
{
	struct topk *t = g_new0(struct topk, 1);

	t->k = k;
	return t;
}

void topk_destroy(struct topk *t)
{
	if (!t)
		return;
	g_free(t->records);
	g_free(t);
}

static char *record_at(const struct topk *t, unsigned int i)
{
	return t->records + (size_t)i * TOPK_RECORD_BYTES;
}

/* Index of the first kept record that is smaller than record; t->n if there is none. */
static unsigned int position_find(const struct topk *t, const char *record)
{
	unsigned int low = 0;
	unsigned int high = t->n;

	while (low < high) {
		unsigned int middle = (low + high) / 2;

		if (memcmp(record_at(t, middle), record, TOPK_RECORD_BYTES) < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return low;
}

void topk_add(struct topk *t, const char *part, size_t n)
{
	if (!t->records)
		t->records = g_malloc((size_t)MAX(1, t->k) * TOPK_RECORD_BYTES);
	for (; n >= TOPK_RECORD_BYTES; part += TOPK_RECORD_BYTES, n -= TOPK_RECORD_BYTES) {
		unsigned int position = position_find(t, part);

		if (position == t->k)
			continue;
		if (t->n < t->k)
			t->n++;
		memmove(record_at(t, position) + TOPK_RECORD_BYTES, record_at(t, position),
			(size_t)(t->n - 1 - position) * TOPK_RECORD_BYTES);
		memcpy(record_at(t, position), part, TOPK_RECORD_BYTES);
	}
}

const char *topk_records(const struct topk *t, size_t *n)
{
	*n = (size_t)t->n * TOPK_RECORD_BYTES;
	return t->records ? t->records : "";
}
