#include "topk.h"

#include <string.h>

/* Records for which there is room at first; more is allocated as they come, since k may be large.
 */
#define FIRST_ROOM 64

struct topk {
	unsigned int k;
	unsigned int n; /* records kept so far, at most k */
	unsigned int room; /* records that fit into the allocated memory */
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

static void room_make(struct topk *t)
{
	if (t->n < t->room)
		return;
	t->room = MIN(t->k, MAX(FIRST_ROOM, t->room > G_MAXUINT / 2 ? t->k : 2 * t->room));
	t->records = g_realloc(t->records, (size_t)t->room * TOPK_RECORD_BYTES);
}

void topk_add(struct topk *t, const char *part, size_t n)
{
	for (; n >= TOPK_RECORD_BYTES; part += TOPK_RECORD_BYTES, n -= TOPK_RECORD_BYTES) {
		unsigned int position = position_find(t, part);

		if (position == t->k)
			continue;
		if (t->n < t->k) {
			room_make(t);
			t->n++;
		}
		memmove(record_at(t, position) + TOPK_RECORD_BYTES, record_at(t, position),
			(size_t)(t->n - 1 - position) * TOPK_RECORD_BYTES);
		memcpy(record_at(t, position), part, TOPK_RECORD_BYTES);
	}
}

size_t topk_held_bytes(const struct topk *t)
{
	return (size_t)t->room * TOPK_RECORD_BYTES;
}

const char *topk_records(const struct topk *t, size_t *n)
{
	*n = (size_t)t->n * TOPK_RECORD_BYTES;
	return t->records ? t->records : "";
}
