#include "evacuation.h"

#include <string.h>

struct evacuations {
	struct evacuation items[EVACUATION_DCS_MAX]; /* the oldest first */
	unsigned int n;
	uint64_t n_refused;
};

struct evacuations *evacuations_create(void)
{
	return g_new0(struct evacuations, 1);
}

void evacuations_destroy(struct evacuations *e)
{
	g_free(e);
}

static unsigned int index_find(const struct evacuations *e, const char *dc)
{
	unsigned int i = 0;

	while (i < e->n && strcmp(e->items[i].dc, dc) != 0)
		i++;
	return i;
}

/* True for a name that fits and can stand in a log line. */
static bool is_dc_name(const char *dc)
{
	size_t n = strlen(dc);

	for (const char *c = dc; *c; c++)
		if (!g_ascii_isgraph(*c) || *c == '"')
			return false;
	return n > 0 && n < EVACUATION_DC_MAX;
}

enum evacuation_change evacuations_begin(struct evacuations *e, const char *dc, uint64_t revision,
					 uint64_t now_ms)
{
	struct evacuation *item;

	if (index_find(e, dc) < e->n)
		return EVACUATION_NONE;
	if (!is_dc_name(dc) || e->n == EVACUATION_DCS_MAX) {
		e->n_refused++;
		return EVACUATION_REFUSED;
	}
	item = &e->items[e->n++];
	g_strlcpy(item->dc, dc, sizeof(item->dc));
	item->since_ms = now_ms;
	item->revision = revision;
	return EVACUATION_BEGUN;
}

enum evacuation_change evacuations_end(struct evacuations *e, const char *dc,
				       struct evacuation *ended)
{
	unsigned int i = index_find(e, dc);

	if (i == e->n)
		return EVACUATION_NONE;
	if (ended)
		*ended = e->items[i];
	e->n--;
	memmove(&e->items[i], &e->items[i + 1], (e->n - i) * sizeof(e->items[0]));
	return EVACUATION_ENDED;
}

bool evacuations_cover(const struct evacuations *e, const char *dc)
{
	return index_find(e, dc) < e->n;
}

uint64_t evacuations_refused(const struct evacuations *e)
{
	return e->n_refused;
}

unsigned int evacuations_count(const struct evacuations *e)
{
	return e->n;
}

const struct evacuation *evacuations_get(const struct evacuations *e, unsigned int index)
{
	return &e->items[index];
}

const char *evacuation_change_name(enum evacuation_change change)
{
	static const char *const names[] = {
#define X(symbol, name) name,
		EVACUATION_CHANGE_LIST(X)
#undef X
	};

	return names[change];
}
