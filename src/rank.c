#include "rank.h"

#include <math.h>

/* Time in which rates and counts fade to 1/e: about nine tenths are gone after 2 s. */
#define FADE_US 1000000.0
/* Slots of a record, the present one included. */
#define RECORD_SLOT_US 100000
#define RECORD_SLOTS 21
/* A rank with less than this many requests left in its fading count was not requested lately. */
#define RECENT_MIN 0.1
/*
 * Part of a higher rank's useful time within which its calls must be expected: the whole of it
 * while the rank is not short of room. The expectation is a mean, so the part shrinks while the
 * rank is refused.
 */
#define RESERVED_SHARE_MAX 1.0
/* Of that, the part for requests that need all of their shards: the slowest answer decides. */
#define RESERVED_SHARE_ALL_SHARDS 0.8
#define RESERVED_SHARE_MIN 0.05
/* Factor after a refused or late request of the rank, at most once in DECREASE_EVERY_US. */
#define RESERVED_DECREASE 0.75
#define DECREASE_EVERY_US 50000
/* What the share regains in a second. */
#define RESERVED_INCREASE_PER_S 0.3
/* An answer that took more than this part of the useful time tells that the next may be late. */
#define NEARLY_LATE_SHARE 0.8
/* A higher rank that has missed no more than this part is taken to be served. */
#define MISSED_IGNORED 0.01
/*
 * While a higher rank misses more, a lower rank is to have missed more than that by this part. The
 * deployments allow it to be served more often by 0.03 in any 2 s; the rest is for windows in which
 * the higher rank asks for most when it is served worst.
 */
#define LAG_MIN 0.05
/*
 * Part of what it asks for that a lower rank gets also if a higher one is never in time, for
 * instance because its target is too short for its work. It stays below the 0.03 that the
 * deployments allow.
 */
#define SERVED_MIN 0.02
/* Part of the admitted requests that a lower rank gets in any case, if it is in time itself. */
#define FLOOR_SHARE 0.1
/* The shortest target of a rank's routes counts for so long after its last request. */
#define TARGET_HOLD_US 2000000
/* Leaves count as full for so long after they were found to be. */
#define PRESSED_HOLD_US 500000
/* A rank is reported as short of room until so long after the last refusal. */
#define SHORT_HOLD_US 2000000
/*
 * A route of which no more than this part is refused is taken to get what it asks for. If single
 * refusals counted, the leaves would idle while the others wait for it to ask.
 */
#define SHORT_SHARE 0.1
/* A route may be ahead of its equal part by so many requests. */
#define SHARE_SLACK 1.0

/* Fading counts of requests. */
struct rank_counts {
	double admitted;
	double refused;
	uint64_t at_us; /* when they were last faded */
};

/*
 * First attempts of the last two seconds, the time in which the deployments compare ranks. With
 * fading counts a lower rank whose requests were all served until a burst began was ahead in the
 * windows that hold the beginning.
 */
struct rank_record {
	unsigned int asked[RECORD_SLOTS];
	unsigned int missed[RECORD_SLOTS]; /* of these, refused or late */
	uint64_t slot; /* of the last call: time divided by RECORD_SLOT_US */
};

struct route_use {
	struct rank_route route;
	struct rank_counts counts;
};

/* One rank of a group. */
struct rank_use {
	struct backlog_gate gate;
	struct rank_counts counts;
	struct rank_record record;
	/* Admitted repeats that have not ended; the refusals before them count as missed so far. */
	unsigned int n_repeats_open;
	uint64_t pressed_at_us; /* when its leaves were last found to be full */
	uint64_t target_us; /* shortest of its routes lately; 0: never asked for */
	uint64_t target_set_us;
	double min_share; /* of that route */
	double reserved_share;
	uint64_t reserved_set_us;
	uint64_t decreased_at_us;
	uint64_t verdicts[RANK_VERDICT_COUNT];
	uint64_t n_late;
	enum rank_verdict refusal; /* the last one */
	unsigned int holder;
	bool is_short;
	uint64_t short_since_us;
};

struct rank_group {
	char *service;
	unsigned int n_services;
	struct rank_use uses[RANK_COUNT];
	GHashTable *routes; /* key -> struct route_use */
};

struct ranks {
	GPtrArray *groups;
	GHashTable *services; /* name -> struct rank_group, borrowed */
};

static const char *const verdict_names[] = {
#define X(symbol, name) name,
	RANK_VERDICT_LIST(X)
#undef X
};

const char *rank_verdict_name(enum rank_verdict verdict)
{
	return verdict_names[verdict];
}

static void group_free(gpointer data)
{
	struct rank_group *g = data;

	g_hash_table_destroy(g->routes);
	g_free(g->service);
	g_free(g);
}

struct ranks *ranks_create(void)
{
	struct ranks *r = g_new0(struct ranks, 1);

	r->groups = g_ptr_array_new_with_free_func(group_free);
	r->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return r;
}

void ranks_destroy(struct ranks *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->services);
	g_ptr_array_free(r->groups, TRUE);
	g_free(r);
}

struct rank_group *ranks_group_find(struct ranks *r, char *const *services, unsigned int n)
{
	struct rank_group *g = g_hash_table_lookup(r->services, services[0]);

	if (g && g->n_services >= n)
		return g;
	g = g_new0(struct rank_group, 1);
	g->service = g_strdup(services[0]);
	g->n_services = n;
	g->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (unsigned int i = 0; i < RANK_COUNT; i++)
		g->uses[i].reserved_share = RESERVED_SHARE_MAX;
	g_ptr_array_add(r->groups, g);
	/* A request to one of the shards competes with the searches, so it joins their group. */
	for (unsigned int i = 0; i < n; i++)
		g_hash_table_replace(r->services, g_strdup(services[i]), g);
	return g;
}

struct rank_route *rank_route_find(struct rank_group *g, const char *key, unsigned int rank)
{
	struct route_use *use = g_hash_table_lookup(g->routes, key);

	if (!use) {
		use = g_new0(struct route_use, 1);
		g_hash_table_insert(g->routes, g_strdup(key), use);
	}
	use->route.rank = rank;
	return &use->route;
}

static struct route_use *route_use_of(struct rank_route *route)
{
	return (struct route_use *)route; /* its first member */
}

static double fade_factor(const struct rank_counts *c, uint64_t now_us)
{
	return now_us > c->at_us ? exp(-(double)(now_us - c->at_us) / FADE_US) : 1;
}

static void counts_fade(struct rank_counts *c, uint64_t now_us)
{
	double factor = fade_factor(c, now_us);

	c->admitted *= factor;
	c->refused *= factor;
	c->at_us = MAX(c->at_us, now_us);
}

static void record_advance(struct rank_record *r, uint64_t now_us)
{
	uint64_t slot = now_us / RECORD_SLOT_US;
	uint64_t n_passed = slot > r->slot ? slot - r->slot : 0;

	for (uint64_t i = 1; i <= MIN(n_passed, RECORD_SLOTS); i++) {
		r->asked[(r->slot + i) % RECORD_SLOTS] = 0;
		r->missed[(r->slot + i) % RECORD_SLOTS] = 0;
	}
	r->slot = MAX(r->slot, slot);
}

/* The slot of a time, or the oldest one if it is older than the record. */
static unsigned int record_slot_at(const struct rank_record *r, uint64_t at_us)
{
	uint64_t oldest = r->slot - MIN(r->slot, RECORD_SLOTS - 1);

	return (unsigned int)(CLAMP(at_us / RECORD_SLOT_US, oldest, r->slot) % RECORD_SLOTS);
}

/* A request that was counted as missed has been served after all. */
static void record_missed_take(struct rank_record *r)
{
	for (unsigned int i = 0; i < RECORD_SLOTS; i++) {
		unsigned int *missed = &r->missed[(r->slot + RECORD_SLOTS - i) % RECORD_SLOTS];

		if (*missed == 0)
			continue;
		(*missed)--;
		return;
	}
}

static unsigned int slots_sum(const unsigned int *slots)
{
	unsigned int sum = 0;

	for (unsigned int i = 0; i < RECORD_SLOTS; i++)
		sum += slots[i];
	return sum;
}

static bool is_recent(const struct rank_use *use)
{
	return use->counts.admitted + use->counts.refused >= RECENT_MIN;
}

static double missed_share(const struct rank_record *r)
{
	unsigned int asked = slots_sum(r->asked);

	return asked > 0 ? MIN(1, (double)slots_sum(r->missed) / asked) : 0;
}

/*
 * The same for the rank that is to give way, if a further request of it is served. Its open repeats
 * count as served: their callers may be served more often than the record tells.
 */
static double own_missed_share(const struct rank_use *use, bool is_repeat)
{
	unsigned int asked = slots_sum(use->record.asked) + !is_repeat;
	unsigned int missed = slots_sum(use->record.missed);

	missed -= MIN(missed, use->n_repeats_open + is_repeat);
	return asked > 0 ? MIN(1, (double)missed / asked) : 0;
}

static void use_advance(struct rank_use *use, uint64_t now_us)
{
	counts_fade(&use->counts, now_us);
	record_advance(&use->record, now_us);
}

/* True if the rank is refused, or its leaves have no room, or were so until just now. */
static bool is_pressed(const struct rank_use *use, uint64_t now_us)
{
	return backlog_is_overloaded(&use->gate, now_us) ||
	       (use->pressed_at_us > 0 && now_us - use->pressed_at_us < PRESSED_HOLD_US);
}

/*
 * Notes whether more of the request's leaves than it can do without have no room. A leaf has none
 * when as many calls of this VM are there as it has slots: other VMs send as much.
 */
static void pressure_note(struct rank_use *use, const struct rank_request *request, uint64_t now_us)
{
	unsigned int n_full = 0;

	for (unsigned int i = 0; i < request->n_shards; i++) {
		const struct rank_shard *shard = &request->shards[i];
		unsigned int n_calls = shard->backlog.n_sent;

		for (unsigned int rank = 0; rank < RANK_COUNT; rank++)
			n_calls += shard->n_waiting[rank];
		n_full += shard->has_leaf && n_calls >= MAX(1, shard->backlog.window / 2);
	}
	if (n_full > (1 - request->min_share) * request->n_shards)
		use->pressed_at_us = now_us;
}

static void reserved_recover(struct rank_use *use, uint64_t now_us)
{
	double passed_s = (double)(now_us - MIN(now_us, use->reserved_set_us)) / 1e6;

	use->reserved_share =
		MIN(RESERVED_SHARE_MAX, use->reserved_share + RESERVED_INCREASE_PER_S * passed_s);
	use->reserved_set_us = now_us;
}

static double reserved_share_of(const struct rank_use *use, unsigned int n_shards)
{
	return (1 - use->min_share) * n_shards < 1 ? use->reserved_share * RESERVED_SHARE_ALL_SHARDS
						   : use->reserved_share;
}

static void reserved_shorten(struct rank_use *use, uint64_t now_us)
{
	reserved_recover(use, now_us);
	if (now_us - use->decreased_at_us < DECREASE_EVERY_US)
		return;
	use->reserved_share = MAX(RESERVED_SHARE_MIN, use->reserved_share * RESERVED_DECREASE);
	use->decreased_at_us = now_us;
}

/* The backlog that a call of this rank meets: calls at the leaf, and those here that go first. */
static struct backlog backlog_of(const struct rank_shard *shard, unsigned int rank)
{
	struct backlog b = shard->backlog;

	b.n_waiting = 0;
	for (unsigned int i = 0; i <= rank; i++)
		b.n_waiting += shard->n_waiting[i];
	return b;
}

/* True if lower ranks have had a part of the group's capacity lately that they can give up. */
static bool lower_ranks_hold(const struct rank_group *g, unsigned int rank)
{
	double lower = 0;
	double admitted = 0;

	for (unsigned int i = 0; i < RANK_COUNT; i++) {
		admitted += g->uses[i].counts.admitted;
		if (i > rank)
			lower += g->uses[i].counts.admitted;
	}
	return lower > FLOOR_SHARE * admitted;
}

/*
 * Time within which a leaf must be expected to answer a request of this rank. It isn't shortened
 * after a refusal while lower ranks can give way, since they do so at once, and the next requests
 * would be refused for calls that are about to end.
 */
static uint64_t own_useful_us(const struct rank_group *g, unsigned int rank, uint64_t useful_us,
			      uint64_t now_us)
{
	return lower_ranks_hold(g, rank)
		       ? useful_us
		       : backlog_useful_us(&g->uses[rank].gate, useful_us, now_us);
}

/* True if the request is expected in time. Otherwise *shard is the first one that is not. */
static bool is_in_time(const struct rank_group *g, const struct rank_request *request,
		       unsigned int *shard, uint64_t now_us)
{
	uint64_t useful_us = own_useful_us(g, request->rank, request->useful_us, now_us);
	unsigned int n_in_time = 0;

	for (unsigned int i = 0; i < request->n_shards; i++) {
		struct backlog b = backlog_of(&request->shards[i], request->rank);

		if (!request->shards[i].has_leaf)
			continue;
		if (backlog_answer_us(&b) <= useful_us)
			n_in_time++;
		else if (*shard == request->n_shards)
			*shard = i;
	}
	return n_in_time > 0 && n_in_time >= request->min_share * request->n_shards;
}

/*
 * Calls of ranks up to this one that are expected here while the request's call is served, this
 * VM's own.
 */
static unsigned int arrivals_expected(const struct rank_group *g, unsigned int rank,
				      double service_us)
{
	double calls = 0;

	for (unsigned int i = 0; i <= rank; i++)
		calls += g->uses[i].counts.admitted / FADE_US * service_us;
	return (unsigned int)(calls + 0.5);
}

/*
 * True if after the request's calls enough calls of the higher rank would still be in time.
 * Otherwise *short_shard is the first one at which they would not.
 */
static bool leaves_room(struct rank_group *g, const struct rank_request *request,
			unsigned int higher, unsigned int *short_shard, uint64_t now_us)
{
	struct rank_use *use = &g->uses[higher];
	double within_us;
	unsigned int n_in_time = 0;
	unsigned int n_leaves = 0;

	*short_shard = request->n_shards;
	reserved_recover(use, now_us);
	within_us = reserved_share_of(use, request->n_shards) *
		    (double)backlog_useful_us(&use->gate, use->target_us, now_us);
	for (unsigned int i = 0; i < request->n_shards; i++) {
		const struct rank_shard *shard = &request->shards[i];
		struct backlog b = backlog_of(shard, higher);

		if (!shard->has_leaf)
			continue;
		n_leaves++;
		/* A leaf without a call of this VM is tried, as in backlog_answer_us(). */
		if (b.n_sent + b.n_waiting == 0) {
			n_in_time++;
			continue;
		}
		b.n_sent++;
		b.n_waiting += arrivals_expected(g, higher, b.service_us);
		if ((double)backlog_answer_us(&b) <= within_us)
			n_in_time++;
		else if (*short_shard == request->n_shards)
			*short_shard = i;
	}
	/* A shard without a leaf is missing to the higher rank in any case. */
	return n_leaves == 0 || n_in_time >= use->min_share * n_leaves;
}

/* True if the rank gets so little that the request is admitted although a higher rank needs it. */
static bool is_below_floor(const struct rank_group *g, const struct rank_request *request,
			   unsigned int higher)
{
	const struct rank_use *own = &g->uses[request->rank];
	double admitted = 0;

	for (unsigned int i = 0; i < RANK_COUNT; i++)
		admitted += g->uses[i].counts.admitted;
	return own->counts.admitted < FLOOR_SHARE * admitted &&
	       own_missed_share(own, request->is_repeat) >
		       MIN(missed_share(&g->uses[higher].record), 1 - SERVED_MIN);
}

/*
 * True if the higher rank is short of room and is served in time less often than the lower one may
 * be. Lateness alone is no sign: a short target is missed by pauses of leaves as well, and refusing
 * others would not mend that.
 */
static bool is_behind(const struct rank_use *higher, const struct rank_use *lower, bool is_repeat,
		      uint64_t now_us)
{
	double missed = missed_share(&higher->record);
	double allowed = MIN(missed + LAG_MIN, 1 - SERVED_MIN);

	return is_pressed(higher, now_us) && missed > MISSED_IGNORED &&
	       allowed > own_missed_share(lower, is_repeat);
}

static struct rank_answer ranks_above_check(struct rank_group *g,
					    const struct rank_request *request, uint64_t now_us)
{
	const struct rank_use *own = &g->uses[request->rank];
	struct rank_answer answer = {.verdict = RANK_ADMITTED};
	unsigned int shard;

	for (unsigned int h = 0; h < request->rank; h++) {
		use_advance(&g->uses[h], now_us);
		if (!is_recent(&g->uses[h]))
			continue;
		if (is_behind(&g->uses[h], own, request->is_repeat, now_us))
			return (struct rank_answer){RANK_BEHIND, h, 0};
		if (leaves_room(g, request, h, &shard, now_us))
			continue;
		if (!is_below_floor(g, request, h))
			return (struct rank_answer){RANK_RESERVED, h, shard};
		answer.verdict = RANK_FLOOR;
	}
	return answer;
}

/* True if the route of the rank has had less than its equal part and more is refused to it. */
static bool is_short_of_share(const struct route_use *use, unsigned int rank, double equal)
{
	const struct rank_counts *c = &use->counts;

	return use->route.rank == rank && c->admitted < equal &&
	       c->refused > SHORT_SHARE * (c->admitted + c->refused);
}

/*
 * True if the route has had more than its equal part of what its rank got while another route of
 * the rank that has had less is refused.
 */
static bool is_over_share(struct rank_group *g, struct route_use *own, uint64_t now_us)
{
	unsigned int n_routes = 0;
	bool is_other_short = false;
	double admitted = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct route_use *use = value;

		counts_fade(&use->counts, now_us);
		if (use->route.rank != own->route.rank ||
		    use->counts.admitted + use->counts.refused < RECENT_MIN)
			continue;
		n_routes++;
		admitted += use->counts.admitted;
	}
	if (n_routes < 2 || own->counts.admitted <= admitted / n_routes + SHARE_SLACK)
		return false;
	g_hash_table_iter_init(&iter, g->routes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		is_other_short = is_other_short ||
				 is_short_of_share(value, own->route.rank, admitted / n_routes);
	return is_other_short;
}

bool rank_is_overloaded(const struct rank_group *g, unsigned int rank, uint64_t now_us)
{
	for (unsigned int i = 0; i <= rank; i++)
		if (backlog_is_overloaded(&g->uses[i].gate, now_us))
			return true;
	return false;
}

/* The rank that got most of the group's capacity lately. */
static unsigned int holder_find(const struct rank_group *g)
{
	unsigned int holder = 0;

	for (unsigned int i = 1; i < RANK_COUNT; i++)
		if (g->uses[i].counts.admitted > g->uses[holder].counts.admitted)
			holder = i;
	return holder;
}

static struct rank_answer verdict_find(struct rank_group *g, struct rank_route *route,
				       const struct rank_request *request, uint64_t now_us)
{
	struct rank_use *use = &g->uses[request->rank];
	unsigned int shard = request->n_shards;

	if (!request->is_single && !is_in_time(g, request, &shard, now_us))
		return (struct rank_answer){RANK_BACKLOG, holder_find(g),
					    shard % request->n_shards};
	if (backlog_is_overloaded(&use->gate, now_us) &&
	    is_over_share(g, route_use_of(route), now_us))
		return (struct rank_answer){RANK_OVER_SHARE, request->rank, 0};
	return ranks_above_check(g, request, now_us);
}

/* Notes for the ranks below how soon calls of this rank must be answered. */
static void target_note(struct rank_use *use, const struct rank_request *request, uint64_t now_us)
{
	if (use->target_us > 0 && request->target_us > use->target_us &&
	    now_us - use->target_set_us < TARGET_HOLD_US)
		return;
	use->target_us = request->target_us;
	use->target_set_us = now_us;
	use->min_share = request->min_share;
}

struct rank_answer rank_admit(struct rank_group *g, struct rank_route *route,
			      const struct rank_request *request, uint64_t now_us)
{
	struct rank_use *use = &g->uses[request->rank];
	struct rank_counts *route_counts = &route_use_of(route)->counts;
	struct rank_answer answer;

	use_advance(use, now_us);
	counts_fade(route_counts, now_us);
	target_note(use, request, now_us);
	pressure_note(use, request, now_us);
	answer = verdict_find(g, route, request, now_us);
	use->verdicts[answer.verdict]++;
	if (answer.verdict == RANK_ADMITTED || answer.verdict == RANK_FLOOR) {
		use->counts.admitted++;
		route_counts->admitted++;
		use->record.asked[record_slot_at(&use->record, now_us)] += !request->is_repeat;
		route->n_admitted++;
		use->n_repeats_open += request->is_repeat;
		return answer;
	}
	if (answer.verdict == RANK_BACKLOG)
		reserved_shorten(use, now_us);
	use->counts.refused++;
	route_counts->refused++;
	if (!request->is_repeat) {
		unsigned int slot = record_slot_at(&use->record, now_us);

		use->record.asked[slot]++;
		use->record.missed[slot]++;
	}
	route->n_refused++;
	backlog_refused(&use->gate, now_us);
	use->refusal = answer.verdict;
	use->holder = answer.holder;
	return answer;
}

void rank_ended(struct rank_group *g, struct rank_route *route, const struct rank_end *end,
		uint64_t now_us)
{
	struct rank_use *use = &g->uses[route->rank];

	use_advance(use, now_us);
	if (end->is_repeat && use->n_repeats_open > 0)
		use->n_repeats_open--;
	if (!end->is_in_time) {
		use->n_late++;
		route->n_late++;
	}
	/* A repeat was counted as missed when its first attempt was refused. */
	if (end->is_repeat && end->is_in_time)
		record_missed_take(&use->record);
	else if (!end->is_repeat && !end->is_in_time)
		use->record
			.missed[record_slot_at(&use->record, now_us - MIN(now_us, end->took_us))]++;
	/* While its leaves have room, pauses make the rank late, not other ranks. */
	if (is_pressed(use, now_us) &&
	    (double)end->took_us > NEARLY_LATE_SHARE * (double)end->useful_us)
		reserved_shorten(use, now_us);
}

bool rank_allows_hedge(const struct rank_group *g, unsigned int rank, const struct backlog *b,
		       uint64_t now_us)
{
	if (!rank_is_overloaded(g, rank, now_us))
		return true;
	return b->n_sent + b->n_waiting < MAX(1, b->window / (2 * (1 + rank)));
}

/* The rank of a call that has waited; below 0 it goes before calls of rank 0. */
static int64_t aged_rank(const struct rank_wait *w)
{
	return (int64_t)w->rank - (w->useful_us ? (int64_t)(w->waited_us / w->useful_us) : 0);
}

int rank_wait_compare(const struct rank_wait *a, const struct rank_wait *b)
{
	int64_t aged_a = aged_rank(a);
	int64_t aged_b = aged_rank(b);

	if (aged_a != aged_b)
		return aged_a < aged_b ? -1 : 1;
	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	if (a->n_lacking != b->n_lacking)
		return a->n_lacking < b->n_lacking ? -1 : 1;
	return 0;
}

static struct rank_state state_of(const struct rank_group *g, unsigned int rank, uint64_t now_us)
{
	const struct rank_use *use = &g->uses[rank];
	bool is_asked =
		(use->counts.admitted + use->counts.refused) * fade_factor(&use->counts, now_us) >=
		RECENT_MIN;
	struct rank_state state = {
		.service = g->service,
		.rank = rank,
		.asked_per_s = slots_sum(use->record.asked) * 1e6 / RECORD_SLOTS / RECORD_SLOT_US,
		.in_time_share = 1 - missed_share(&use->record),
		.reserved_share = is_asked ? use->reserved_share : 0,
		.n_late = use->n_late,
		.refusal = use->refusal,
		.holder = use->holder,
		.is_short = use->is_short,
		.short_since_us = use->short_since_us,
	};

	for (int v = 0; v < RANK_VERDICT_COUNT; v++)
		state.verdicts[v] = use->verdicts[v];
	return state;
}

void ranks_each(const struct ranks *r, void (*visit)(const struct rank_state *state, void *arg),
		void *arg, uint64_t now_us)
{
	for (guint i = 0; i < r->groups->len; i++) {
		const struct rank_group *g = g_ptr_array_index(r->groups, i);

		for (unsigned int rank = 0; rank < RANK_COUNT; rank++) {
			struct rank_state state = state_of(g, rank, now_us);

			if (g->uses[rank].target_us > 0)
				visit(&state, arg);
		}
	}
}

/* True if the rank begins or ceases to be short of room. */
static bool shortage_advance(struct rank_use *use, uint64_t now_us)
{
	bool is_short = use->gate.n_refused > 0 && now_us - use->gate.refused_at_us < SHORT_HOLD_US;

	if (is_short == use->is_short)
		return false;
	use->is_short = is_short;
	if (is_short)
		use->short_since_us = now_us;
	return true;
}

void ranks_advance(struct ranks *r, void (*changed)(const struct rank_state *state, void *arg),
		   void *arg, uint64_t now_us)
{
	for (guint i = 0; i < r->groups->len; i++) {
		struct rank_group *g = g_ptr_array_index(r->groups, i);

		for (unsigned int rank = 0; rank < RANK_COUNT; rank++) {
			struct rank_state state;

			if (!shortage_advance(&g->uses[rank], now_us))
				continue;
			state = state_of(g, rank, now_us);
			changed(&state, arg);
		}
	}
}

void ranks_routes_each(const struct ranks *r,
		       void (*visit)(const char *key, const struct rank_route *route, void *arg),
		       void *arg)
{
	for (guint i = 0; i < r->groups->len; i++) {
		const struct rank_group *g = g_ptr_array_index(r->groups, i);
		GHashTableIter iter;
		gpointer key;
		gpointer value;

		g_hash_table_iter_init(&iter, g->routes);
		while (g_hash_table_iter_next(&iter, &key, &value))
			visit(key, &((struct route_use *)value)->route, arg);
	}
}
