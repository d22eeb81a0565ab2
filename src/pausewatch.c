#include "pausewatch.h"

struct pausewatch {
	uint64_t lease_ms;
	uint64_t last_ms;
	uint64_t stale_since_ms; /* end of the last gap longer than the lease */
	bool started;
	bool stale;
};

struct pausewatch *pausewatch_create(uint64_t lease_ms)
{
	struct pausewatch *w = g_new0(struct pausewatch, 1);

	w->lease_ms = lease_ms;
	return w;
}

void pausewatch_destroy(struct pausewatch *w)
{
	g_free(w);
}

uint64_t pausewatch_tick(struct pausewatch *w, uint64_t now_ms)
{
	uint64_t gap_ms = w->started && now_ms > w->last_ms ? now_ms - w->last_ms : 0;

	w->started = true;
	w->last_ms = now_ms;
	if (gap_ms <= w->lease_ms)
		return 0;
	w->stale = true;
	w->stale_since_ms = now_ms;
	return gap_ms;
}

bool pausewatch_is_stale(const struct pausewatch *w)
{
	return w->stale;
}

void pausewatch_renewed(struct pausewatch *w, uint64_t asked_ms)
{
	if (asked_ms >= w->stale_since_ms)
		w->stale = false;
}
