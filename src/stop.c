#include "stop.h"

struct stop {
	enum stop_state state;
	uint64_t lists_expire_ms;
	uint64_t limit_ms;
	uint64_t requested_ms;
	const char *reason;
	unsigned int cut_count;
};

const char *stop_state_name(enum stop_state state)
{
	switch (state) {
#define X(symbol, name)     \
	case STOP_##symbol: \
		return name;
		STOP_STATE_LIST(X)
#undef X
	}
	return "?";
}

struct stop *stop_create(uint64_t lists_expire_ms, uint64_t limit_ms)
{
	struct stop *s = g_new0(struct stop, 1);

	s->lists_expire_ms = lists_expire_ms;
	s->limit_ms = limit_ms;
	return s;
}

void stop_destroy(struct stop *s)
{
	g_free(s);
}

bool stop_request(struct stop *s, uint64_t now_ms)
{
	if (s->state != STOP_RUNNING)
		return false;
	s->state = STOP_ANNOUNCED;
	s->requested_ms = now_ms;
	return true;
}

static void stop_finish(struct stop *s, const char *reason, unsigned int in_flight)
{
	s->state = STOP_DONE;
	s->reason = reason;
	s->cut_count = in_flight;
}

enum stop_state stop_tick(struct stop *s, unsigned int in_flight, uint64_t now_ms)
{
	if (s->state == STOP_ANNOUNCED && now_ms >= s->requested_ms + s->lists_expire_ms)
		s->state = STOP_DRAINING;
	if (s->state == STOP_CLOSING && in_flight == 0)
		stop_finish(s, "all requests finished", 0);
	if (s->state == STOP_DRAINING && in_flight == 0)
		s->state = STOP_CLOSING;
	if (s->state != STOP_RUNNING && s->state != STOP_DONE &&
	    now_ms >= s->requested_ms + s->limit_ms)
		stop_finish(s,
			    in_flight ? "time limit, requests in flight"
				      : "time limit, lists not expired",
			    in_flight);
	return s->state;
}

enum stop_state stop_state(const struct stop *s)
{
	return s->state;
}

bool stop_accepts(const struct stop *s, uint64_t longest_ms, uint64_t now_ms)
{
	if (s->state == STOP_RUNNING)
		return true;
	return s->state < STOP_CLOSING && now_ms + longest_ms < s->requested_ms + s->limit_ms;
}

const char *stop_reason(const struct stop *s)
{
	return s->reason;
}

unsigned int stop_cut_count(const struct stop *s)
{
	return s->cut_count;
}
