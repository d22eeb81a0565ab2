/*
 * Model of a burst of searches in virtual time: how many are answered in time, over the load.
 * Usage: bench-overload FILE [--admission on|off]. FILE is a key file with one group, "overload";
 * its keys are those of SETTING_LIST. Deterministic for a seed. Prints a table and a plot.
 *
 * VMs share the leaves without exchanging messages, as the gateway does: each has a window for each
 * leaf, newest calls first, a second call to another leaf of the shard, and refuses a search that
 * the leaves cannot answer in time (backlog.h). Leaves run calls in the order of arrival, refuse
 * them when their queue is full, and pause. A caller that was refused comes back once, as it is
 * told; one whose request failed, or is late, asks again at once.
 */
#include "backlog.h"
#include "window.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* X(name, default); times in milliseconds, rates per second */
#define SETTING_LIST(X)          \
	X(seed, 1)               \
	X(vms, 6)                \
	X(shards, 20)            \
	X(replicas, 2)           \
	X(slots, 2)              \
	X(queue, 4)              \
	X(service_ms, 20)        \
	X(pause_ms, 200)         \
	X(pause_every_ms, 4500)  \
	X(trip_ms, 5)            \
	X(usual_per_s, 90)       \
	X(goal_ms, 172)          \
	X(deadline_ms, 1500)     \
	X(min_share_percent, 89) \
	X(hedge_ms, 50)          \
	X(hedge_percent, 15)     \
	X(come_back_ms, 150)     \
	X(repeats, 1)            \
	X(usual_before_ms, 4000) \
	X(burst_ms, 7000)        \
	X(usual_after_ms, 4000)  \
	X(load_max, 5)

#define MS_US 1000u
#define PLOT_STEP 8u /* searches per second of one # */
#define DROP_EVERY_MS 16
/* Weight of a new sample in the average of a leaf's times, as in leafset.c. */
#define EWMA_WEIGHT 0.2

struct settings {
#define X(name, value) unsigned int name;
	SETTING_LIST(X)
#undef X
};

struct search {
	unsigned int vm;
	unsigned int first_ms; /* when the caller began, with its first attempt */
	unsigned int begun_ms; /* this attempt */
	unsigned int n_answered;
	unsigned int n_attempts;
	bool is_ended;
	bool is_hedged;
	bool answered[]; /* by shard */
};

struct call {
	struct search *search;
	unsigned int shard;
	unsigned int leaf;
	unsigned int sent_ms;
	unsigned int due_ms; /* end of its work, once it runs */
	bool is_running;
};

struct leaf {
	GQueue calls; /* at the leaf, in the order of arrival */
	unsigned int n_running;
	unsigned int pause_at_ms; /* start of the next pause, or of the present one */
};

/* What one VM knows of one leaf. */
struct link {
	struct window window;
	GQueue waiting; /* struct call, the newest at the head */
	unsigned int n_sent;
	double service_us;
};

struct counts {
	unsigned int asked;
	unsigned int in_time;
	unsigned int again; /* in time from the caller's last attempt on, after a refusal */
	unsigned int late;
	unsigned int refused;
	unsigned int failed;
};

struct model {
	struct settings s;
	bool has_admission;
	GRand *rand;
	struct leaf *leaves;
	struct link *links; /* by VM and leaf */
	struct backlog_gate *gates; /* by VM */
	unsigned int *hedges; /* by VM: hedges left, in hundredths */
	GPtrArray *searches; /* of this run */
	GPtrArray *calls;
	GQueue open; /* struct search in progress */
	GQueue returning; /* struct search whose caller comes back at begun_ms */
	struct counts burst;
	struct counts usual; /* before the burst */
	struct counts after; /* from 2 s after the burst on */
};

static struct link *link_of(struct model *m, unsigned int vm, unsigned int leaf)
{
	return &m->links[vm * m->s.shards * m->s.replicas + leaf];
}

static struct backlog backlog_of(const struct link *l)
{
	return (struct backlog){l->n_sent, g_queue_get_length((GQueue *)&l->waiting),
				window_size(&l->window), l->service_us};
}

/* The leaf of the shard that this VM expects to answer first; other than the one left out. */
static unsigned int leaf_choose(struct model *m, unsigned int vm, unsigned int shard, int left_out)
{
	unsigned int best = G_MAXUINT;
	double best_us = 0;

	for (unsigned int i = 0; i < m->s.replicas; i++) {
		unsigned int leaf = shard * m->s.replicas + i;
		struct link *l = link_of(m, vm, leaf);
		struct backlog b = backlog_of(l);
		double us = l->service_us * (1 + b.n_sent + b.n_waiting);

		if ((int)leaf == left_out || (best != G_MAXUINT && us >= best_us))
			continue;
		best = leaf;
		best_us = us;
	}
	return best;
}

static void call_add(struct model *m, struct search *s, unsigned int shard, unsigned int leaf)
{
	struct call *c = g_new0(struct call, 1);

	c->search = s;
	c->shard = shard;
	c->leaf = leaf;
	g_ptr_array_add(m->calls, c);
	g_queue_push_head(&link_of(m, s->vm, leaf)->waiting, c);
}

/* The counts of the part of the run in which the caller began. */
static struct counts *counts_of(struct model *m, const struct search *s)
{
	static struct counts between;
	unsigned int burst_end_ms = m->s.usual_before_ms + m->s.burst_ms;

	if (s->first_ms < m->s.usual_before_ms)
		return &m->usual;
	if (s->first_ms < burst_end_ms)
		return &m->burst;
	return s->first_ms < burst_end_ms + 2000 ? &between : &m->after;
}

static struct search *search_create(struct model *m, unsigned int vm, unsigned int first_ms)
{
	struct search *s = g_malloc0(sizeof(*s) + m->s.shards * sizeof(bool));

	s->vm = vm;
	s->first_ms = first_ms;
	s->begun_ms = first_ms;
	g_ptr_array_add(m->searches, s);
	return s;
}

/* The caller asks once more, at another VM; false when it has done so before. */
static bool search_repeat(struct model *m, const struct search *s, unsigned int at_ms)
{
	struct search *next;

	if (s->n_attempts >= m->s.repeats || at_ms > s->first_ms + m->s.deadline_ms)
		return false;
	next = search_create(m, (unsigned int)g_rand_int_range(m->rand, 0, (gint32)m->s.vms),
			     s->first_ms);
	next->begun_ms = at_ms;
	next->n_attempts = s->n_attempts + 1;
	g_queue_push_tail(&m->returning, next);
	return true;
}

static bool is_admitted(struct model *m, const struct search *s, unsigned int now_ms)
{
	struct backlog_gate *gate = &m->gates[s->vm];
	uint64_t now_us = (uint64_t)now_ms * MS_US;
	uint64_t useful_us = backlog_useful_us(gate, (uint64_t)m->s.goal_ms * MS_US, now_us);
	unsigned int n_in_time = 0;

	for (unsigned int i = 0; i < m->s.shards; i++) {
		unsigned int leaf = leaf_choose(m, s->vm, i, -1);
		struct backlog b = backlog_of(link_of(m, s->vm, leaf));

		n_in_time += backlog_answer_us(&b) <= useful_us;
	}
	return backlog_admit(gate, n_in_time, m->s.shards, m->s.min_share_percent / 100.0, now_us);
}

static void search_begin(struct model *m, struct search *s, unsigned int now_ms)
{
	if (s->n_attempts == 0)
		counts_of(m, s)->asked++;
	if (m->has_admission && !is_admitted(m, s, now_ms)) {
		unsigned int wait_ms = (unsigned int)g_rand_int_range(
			m->rand, (gint32)m->s.come_back_ms / 3, (gint32)m->s.come_back_ms * 2);

		if (!search_repeat(m, s, now_ms + wait_ms))
			counts_of(m, s)->refused++;
		return;
	}
	for (unsigned int i = 0; i < m->s.shards; i++)
		call_add(m, s, i, leaf_choose(m, s->vm, i, -1));
	m->hedges[s->vm] += m->s.hedge_percent * m->s.shards;
	g_queue_push_tail(&m->open, s);
}

static void search_hedge(struct model *m, struct search *s, unsigned int now_ms)
{
	s->is_hedged = true;
	for (unsigned int i = 0; i < m->s.shards && m->hedges[s->vm] >= 100; i++) {
		unsigned int first = leaf_choose(m, s->vm, i, -1);
		struct backlog b;

		if (s->answered[i])
			continue;
		b = backlog_of(link_of(m, s->vm, first));
		if (!backlog_allows_hedge(&m->gates[s->vm], &b, (uint64_t)now_ms * MS_US))
			continue;
		m->hedges[s->vm] -= 100;
		call_add(m, s, i, first);
	}
}

/* Counts a search that has ended; a caller without an answer in time asks again. */
static void search_end(struct model *m, struct search *s, unsigned int now_ms)
{
	struct counts *counts = counts_of(m, s);
	bool is_answered = s->n_answered * 100 >= m->s.min_share_percent * m->s.shards;

	s->is_ended = true;
	if (is_answered && now_ms <= s->first_ms + m->s.goal_ms)
		counts->in_time++;
	else if (is_answered && now_ms <= s->begun_ms + m->s.goal_ms)
		counts->again++;
	else if (is_answered)
		counts->late++;
	else if (!search_repeat(m, s, now_ms + 1))
		counts->failed++;
}

/* Hedges, and ends the search when it is complete, when its goal or its deadline comes. */
static void search_step(struct model *m, struct search *s, unsigned int now_ms)
{
	unsigned int age_ms = now_ms - s->begun_ms;
	bool has_min = s->n_answered * 100 >= m->s.min_share_percent * m->s.shards;

	if (s->n_answered == m->s.shards || (has_min && age_ms >= m->s.goal_ms) ||
	    now_ms >= s->first_ms + m->s.deadline_ms)
		search_end(m, s, now_ms);
	else if (!s->is_hedged && age_ms >= m->s.hedge_ms)
		search_hedge(m, s, now_ms);
}

static void searches_step(struct model *m, unsigned int now_ms)
{
	unsigned int n = g_queue_get_length(&m->open);

	for (unsigned int i = 0; i < n; i++) {
		struct search *s = g_queue_pop_head(&m->open);

		search_step(m, s, now_ms);
		if (!s->is_ended)
			g_queue_push_tail(&m->open, s);
	}
	n = g_queue_get_length(&m->returning);
	for (unsigned int i = 0; i < n; i++) {
		struct search *s = g_queue_pop_head(&m->returning);

		if (now_ms >= s->begun_ms)
			search_begin(m, s, now_ms);
		else
			g_queue_push_tail(&m->returning, s);
	}
}

static void call_answered(struct model *m, struct call *c, unsigned int now_ms)
{
	struct link *l = link_of(m, c->search->vm, c->leaf);
	double sample_us = (double)(now_ms - c->sent_ms) * MS_US;

	window_call_ended(&l->window, (uint64_t)c->sent_ms * MS_US, (uint64_t)m->s.goal_ms * MS_US,
			  l->n_sent, (uint64_t)now_ms * MS_US);
	l->n_sent--;
	l->service_us += EWMA_WEIGHT * (MIN(sample_us, 3 * l->service_us) - l->service_us);
	if (c->search->answered[c->shard])
		return;
	c->search->answered[c->shard] = true;
	c->search->n_answered++;
}

static bool is_paused(struct model *m, struct leaf *leaf, unsigned int now_ms)
{
	if (now_ms >= leaf->pause_at_ms + m->s.pause_ms)
		leaf->pause_at_ms += m->s.pause_every_ms;
	return now_ms >= leaf->pause_at_ms;
}

static void leaf_step(struct model *m, struct leaf *leaf, unsigned int now_ms)
{
	bool paused = is_paused(m, leaf, now_ms);
	GList *node = leaf->calls.head;

	while (node) {
		GList *next = node->next;
		struct call *c = node->data;

		if (c->is_running && paused) {
			c->due_ms++;
		} else if (c->is_running && now_ms >= c->due_ms) {
			leaf->n_running--;
			g_queue_delete_link(&leaf->calls, node);
			call_answered(m, c, now_ms);
		} else if (!c->is_running && !paused && leaf->n_running < m->s.slots) {
			c->is_running = true;
			c->due_ms = now_ms + m->s.trip_ms * 2 +
				    (unsigned int)(m->s.service_ms *
						   g_rand_double_range(m->rand, 0.5, 1.5));
			leaf->n_running++;
		}
		node = next;
	}
}

/* Sends the calls that the window allows, the newest first; drops those of ended searches. */
static void link_step(struct model *m, unsigned int vm, unsigned int leaf, unsigned int now_ms)
{
	struct link *l = link_of(m, vm, leaf);

	while (!g_queue_is_empty(&l->waiting) && l->n_sent < window_size(&l->window)) {
		struct call *c = g_queue_pop_head(&l->waiting);

		if (c->search->is_ended || c->search->answered[c->shard])
			continue;
		if (g_queue_get_length(&m->leaves[leaf].calls) >= m->s.slots + m->s.queue) {
			window_call_refused(&l->window, (uint64_t)now_ms * MS_US,
					    (uint64_t)now_ms * MS_US);
			g_queue_push_tail(&l->waiting, c);
			return;
		}
		c->sent_ms = now_ms;
		l->n_sent++;
		g_queue_push_tail(&m->leaves[leaf].calls, c);
	}
}

static void waiting_drop_ended(struct link *l)
{
	unsigned int n = g_queue_get_length(&l->waiting);

	for (unsigned int i = 0; i < n; i++) {
		struct call *c = g_queue_pop_head(&l->waiting);

		if (!c->search->is_ended && !c->search->answered[c->shard])
			g_queue_push_tail(&l->waiting, c);
	}
}

static void model_step(struct model *m, unsigned int now_ms, double arrivals_per_s)
{
	unsigned int n_leaves = m->s.shards * m->s.replicas;
	double expected = arrivals_per_s / 1000;

	while (g_rand_double(m->rand) < expected) {
		unsigned int vm = (unsigned int)g_rand_int_range(m->rand, 0, (gint32)m->s.vms);

		search_begin(m, search_create(m, vm, now_ms), now_ms);
		expected -= 1;
	}
	for (unsigned int i = 0; i < n_leaves; i++)
		leaf_step(m, &m->leaves[i], now_ms);
	searches_step(m, now_ms);
	for (unsigned int i = 0; i < n_leaves; i++)
		for (unsigned int vm = 0; vm < m->s.vms; vm++) {
			/* Without admission the queues are long, and the exact time matters little.
			 */
			if (m->has_admission || now_ms % DROP_EVERY_MS == 0)
				waiting_drop_ended(link_of(m, vm, i));
			link_step(m, vm, i, now_ms);
		}
}

static void model_setup(struct model *m)
{
	unsigned int n_leaves = m->s.shards * m->s.replicas;

	m->rand = g_rand_new_with_seed(m->s.seed);
	m->leaves = g_new0(struct leaf, n_leaves);
	m->links = g_new0(struct link, (gsize)n_leaves * m->s.vms);
	m->gates = g_new0(struct backlog_gate, m->s.vms);
	m->hedges = g_new0(unsigned int, m->s.vms);
	m->searches = g_ptr_array_new_with_free_func(g_free);
	m->calls = g_ptr_array_new_with_free_func(g_free);
	for (unsigned int i = 0; i < n_leaves; i++) {
		m->leaves[i].pause_at_ms =
			(unsigned int)g_rand_int_range(m->rand, 0, (gint32)m->s.pause_every_ms);
		for (unsigned int vm = 0; vm < m->s.vms; vm++) {
			struct link *l = link_of(m, vm, i);

			window_init(&l->window, m->s.slots);
			l->service_us = (m->s.service_ms + 2.0 * m->s.trip_ms) * MS_US;
		}
	}
}

static void model_clear(struct model *m)
{
	unsigned int n_leaves = m->s.shards * m->s.replicas;

	for (unsigned int i = 0; i < n_leaves; i++)
		g_queue_clear(&m->leaves[i].calls);
	for (unsigned int i = 0; i < n_leaves * m->s.vms; i++)
		g_queue_clear(&m->links[i].waiting);
	g_queue_clear(&m->open);
	g_queue_clear(&m->returning);
	g_ptr_array_free(m->calls, TRUE);
	g_ptr_array_free(m->searches, TRUE);
	g_free(m->hedges);
	g_free(m->gates);
	g_free(m->links);
	g_free(m->leaves);
	g_rand_free(m->rand);
}

/* Plays one day with a burst of so many times the usual load, and prints its row. */
static void load_play(const struct settings *s, bool has_admission, unsigned int load)
{
	struct model m = {.s = *s, .has_admission = has_admission};
	unsigned int burst_end_ms = s->usual_before_ms + s->burst_ms;
	unsigned int end_ms = burst_end_ms + s->usual_after_ms + s->deadline_ms * 2;
	double goodput;

	model_setup(&m);
	for (unsigned int now_ms = 1; now_ms < end_ms; now_ms++) {
		bool is_burst = now_ms >= s->usual_before_ms && now_ms < burst_end_ms;
		bool is_over = now_ms >= burst_end_ms + s->usual_after_ms;

		model_step(&m, now_ms, is_over ? 0 : s->usual_per_s * (is_burst ? load : 1.0));
	}
	goodput = (m.burst.in_time + m.burst.again) * 1000.0 / s->burst_ms;
	printf("%4u %7u %8u %6u %6u %8u %7u %9.0f %6.3f %6.3f  ", load, m.burst.asked,
	       m.burst.in_time, m.burst.again, m.burst.late, m.burst.refused, m.burst.failed,
	       goodput, (double)m.usual.refused / MAX(1, m.usual.asked),
	       (double)m.after.in_time / MAX(1, m.after.asked));
	for (unsigned int i = 0; i < (unsigned int)goodput / PLOT_STEP; i++)
		putchar('#');
	putchar('\n');
	model_clear(&m);
}

static bool settings_read(struct settings *s, const char *path)
{
	g_autoptr(GKeyFile) file = g_key_file_new();
	g_autoptr(GError) error = NULL;

	if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &error)) {
		fprintf(stderr, "%s: %s\n", path, error->message);
		return false;
	}
#define X(name, value)                                                                          \
	s->name = g_key_file_has_key(file, "overload", #name, NULL)                             \
			  ? (unsigned int)g_key_file_get_integer(file, "overload", #name, NULL) \
			  : (value);
	SETTING_LIST(X)
#undef X
	return true;
}

int main(int argc, char **argv)
{
	struct settings s;
	bool has_admission = !(argc == 4 && strcmp(argv[3], "off") == 0);

	if (argc != 2 && !(argc == 4 && strcmp(argv[2], "--admission") == 0)) {
		fprintf(stderr, "usage: bench-overload FILE [--admission on|off]\n");
		return 2;
	}
	if (!settings_read(&s, argv[1]))
		return 1;
	puts("load   asked  in time  again   late  refused  failed  goodput  usual:  after:  "
	     "goodput, # = "
	     "8 a "
	     "second");
	puts("                                                      a second refused in time");
	for (unsigned int load = 1; load <= s.load_max; load++)
		load_play(&s, has_admission, load);
	return 0;
}
