#include "spreadmodel.h"

#include "leafset.h"
#include "rendezvous.h"

#define STEP_US 500u
#define N_LEAVES 6u
#define N_DCS 3u
#define SLOTS 4u
#define WORK_US 20000.0
#define ROUND_TRIP_OWN_US 400u
#define ROUND_TRIP_OTHER_US 2800u
#define WINDOW_US 500000u
#define WARM_UP_US 3000000u /* not measured */
#define EXCHANGE_US 450000u
#define SERVICE "s"

/* A call, then what the VM learns from its answer. */
struct call {
	unsigned int vm;
	uint64_t begun_us;
	double work_us; /* left */
	uint64_t due_us; /* arrives at the leaf, arrives at the VM, or is learned */
	struct leaf_load load;
	uint64_t answered_us;
};

struct server {
	GQueue calls; /* in the order of arrival; the first SLOTS run */
	uint64_t phase_us; /* of its pauses */
	double slowness;
	double work_sum; /* in the window */
};

struct vm {
	struct leafset *leaves;
	struct leaf *leaf[N_LEAVES];
	char dc[2];
	unsigned int told[N_LEAVES]; /* open calls, as last told to the others */
	bool is_in_subset[N_LEAVES];
};

struct model {
	const struct spreadmodel_settings *s;
	GRand *rand; /* of the arrivals, the same under each rule */
	GRand *choice_rand;
	struct server servers[N_LEAVES];
	struct vm *vms;
	GQueue going[N_LEAVES]; /* on the way to the leaf */
	GQueue coming[N_LEAVES]; /* on the way back */
	GQueue learning[N_LEAVES];
	GArray *latencies_us;
	unsigned int n_calls;
	unsigned int n_own_dc;
	double ratio_sum;
	double mean_sum;
	unsigned int n_windows;
	double in_force_sum;
};

static const char *dc_name(unsigned int i)
{
	static const char *const names[N_DCS] = {"a", "b", "c"};

	return names[i % N_DCS];
}

static uint64_t one_way_us(const struct vm *vm, unsigned int leaf)
{
	return (vm->dc[0] == dc_name(leaf)[0] ? ROUND_TRIP_OWN_US : ROUND_TRIP_OTHER_US) / 2;
}

static void spread_changed(void *arg, const char *service, const struct spread *spread)
{
}

static const struct leafset_spread_ops spread_ops = {.changed = spread_changed};

static void vm_init(struct model *m, unsigned int i)
{
	struct vm *vm = &m->vms[i];
	struct rendezvous_node nodes[N_LEAVES];
	g_autofree char *key = g_strdup_printf("vm%u", i);
	int picked[2];

	vm->dc[0] = dc_name(i)[0];
	vm->leaves = leafset_create(vm->dc);
	if (m->s->rule == SPREADMODEL_SPREAD || m->s->rule == SPREADMODEL_ALWAYS)
		leafset_spread_enable(vm->leaves, m->choice_rand, &spread_ops, NULL);
	if (m->s->rule == SPREADMODEL_DRAW)
		leafset_draw_enable(vm->leaves, m->choice_rand);
	for (unsigned int l = 0; l < N_LEAVES; l++) {
		g_autofree char *id = g_strdup_printf("l%u", l);
		g_autofree char *dc = g_strdup(dc_name(l));
		char service[] = SERVICE;
		char address[] = "127.0.0.1:1";
		struct leaf_report report = {
			.service = service, .address = address, .dc = dc, .slots = SLOTS};

		leafset_update(vm->leaves, id, &report, 0, &vm->leaf[l]);
		nodes[l] = (struct rendezvous_node){rendezvous_name_hash(id), false};
	}
	rendezvous_pick(key, nodes, N_LEAVES, &picked[0], &picked[1]);
	vm->is_in_subset[picked[0]] = true;
	vm->is_in_subset[picked[1]] = true;
}

/* Open calls of the other VMs, as they last told. */
static double told_by_others(const struct model *m, unsigned int vm, unsigned int leaf)
{
	double sum = 0;

	for (unsigned int i = 0; i < m->s->n_vms; i++)
		sum += i == vm ? 0 : m->vms[i].told[leaf];
	return sum;
}

static double cost_us(struct model *m, unsigned int vm, unsigned int l, uint64_t now_us)
{
	const struct vm *v = &m->vms[vm];
	const struct leaf *leaf = v->leaf[l];
	double cost = leaf_cost_us(leaf, v->dc, now_us);
	double age_us;

	switch (m->s->rule) {
	case SPREADMODEL_AGED:
		age_us = (double)(now_us - leaf->sampled_at_us) + m->s->age_ms * 1000.0;
		return cost * (1 + g_rand_double(m->choice_rand) * 2 * age_us / (age_us + 200000));
	case SPREADMODEL_EXCHANGE:
		return cost + WORK_US * told_by_others(m, vm, l) / SLOTS;
	default:
		return cost;
	}
}

static unsigned int leaf_choose(struct model *m, unsigned int vm, uint64_t now_us)
{
	struct vm *v = &m->vms[vm];
	unsigned int first = (unsigned int)g_rand_int_range(m->choice_rand, 0, N_LEAVES);
	unsigned int second =
		(first + (unsigned int)g_rand_int_range(m->choice_rand, 1, N_LEAVES)) % N_LEAVES;
	unsigned int best = N_LEAVES;
	double best_us = 0;

	for (unsigned int l = 0; l < N_LEAVES; l++) {
		double us;

		if ((m->s->rule == SPREADMODEL_TWO && l != first && l != second) ||
		    (m->s->rule == SPREADMODEL_SUBSET && !v->is_in_subset[l]))
			continue;
		us = cost_us(m, vm, l, now_us);
		if (best < N_LEAVES && us >= best_us)
			continue;
		best = l;
		best_us = us;
	}
	return best;
}

/* True for the rules that leafset does not have. */
static bool rule_is_models(enum spreadmodel_rule rule)
{
	return rule == SPREADMODEL_TWO || rule == SPREADMODEL_AGED || rule == SPREADMODEL_SUBSET ||
	       rule == SPREADMODEL_EXCHANGE;
}

/* As the daemon chooses, or by one of the rules that were weighed. */
static unsigned int rule_choose(struct model *m, unsigned int vm, uint64_t now_us)
{
	struct vm *v = &m->vms[vm];
	const struct leaf *leaf;
	unsigned int l = 0;

	if (rule_is_models(m->s->rule))
		return leaf_choose(m, vm, now_us);
	leaf = leafset_choose(v->leaves, SERVICE, NULL, NULL, 0, now_us);
	while (v->leaf[l] != leaf)
		l++;
	return l;
}

static void call_begin(struct model *m, uint64_t now_us)
{
	struct call *c = g_new0(struct call, 1);
	unsigned int l;

	c->vm = (unsigned int)g_rand_int_range(m->rand, 0, (gint32)m->s->n_vms);
	l = rule_choose(m, c->vm, now_us);
	c->begun_us = now_us;
	c->work_us = WORK_US * m->servers[l].slowness * g_rand_double_range(m->rand, 0.5, 1.5);
	c->due_us = now_us + one_way_us(&m->vms[c->vm], l);
	leaf_call_started(m->vms[c->vm].leaf[l], now_us);
	g_queue_push_tail(&m->going[l], c);
	if (now_us < WARM_UP_US)
		return;
	m->n_calls++;
	m->n_own_dc += m->vms[c->vm].dc[0] == dc_name(l)[0];
}

/* How much work a leaf does in a step now: 0 in a pause. */
static double speed_at(const struct model *m, const struct server *sv, uint64_t now_us)
{
	if (m->s->what == SPREADMODEL_PAUSES && (now_us + sv->phase_us) % 4500000 < 200000)
		return 0;
	if (m->s->what == SPREADMODEL_NEIGHBOURS && (now_us + sv->phase_us) % 4000000 < 600000)
		return 0.4;
	return 1;
}

static void call_finish(struct model *m, unsigned int l, struct call *c, uint64_t now_us)
{
	struct server *sv = &m->servers[l];
	unsigned int n = g_queue_get_length(&sv->calls);
	double speed = speed_at(m, sv, now_us);

	c->load = (struct leaf_load){MIN(n, SLOTS), n > SLOTS ? n - SLOTS : 0, SLOTS,
				     speed > 0 ? (unsigned int)(100 / speed) : 100};
	c->due_us = now_us + one_way_us(&m->vms[c->vm], l);
	g_queue_push_tail(&m->coming[l], c);
}

static void server_step(struct model *m, unsigned int l, uint64_t now_us)
{
	struct server *sv = &m->servers[l];
	double done_us = STEP_US * speed_at(m, sv, now_us);
	GList *node = sv->calls.head;

	for (unsigned int i = 0; node && i < SLOTS; i++) {
		GList *next = node->next;
		struct call *c = node->data;

		c->work_us -= done_us;
		if (c->work_us <= 0) {
			call_finish(m, l, c, now_us);
			g_queue_delete_link(&sv->calls, node);
		}
		node = next;
	}
	sv->work_sum += (double)g_queue_get_length(&sv->calls) / SLOTS;
}

/* The call whose time has come, or NULL. The ways differ by VM, so all are looked at. */
static struct call *due_pop(GQueue *queue, uint64_t now_us)
{
	for (GList *node = queue->head; node; node = node->next) {
		struct call *c = node->data;

		if (c->due_us > now_us)
			continue;
		g_queue_delete_link(queue, node);
		return c;
	}
	return NULL;
}

/* The VM learns from the answer and knows its age; its own open calls it has counted before. */
static void call_learn(struct model *m, unsigned int l, struct call *c)
{
	struct leaf *leaf = m->vms[c->vm].leaf[l];
	struct leaf_signals signals = {.has_load = m->s->rule != SPREADMODEL_TODAY &&
						   m->s->rule != SPREADMODEL_DRAW,
				       .load = c->load};

	leaf->outstanding++;
	leaf_signals_apply(leaf, &signals, 1, m->rand, c->answered_us);
	leaf_call_ended(leaf, LEAF_END_ANSWERED, c->answered_us - c->begun_us, c->answered_us);
	g_free(c);
}

static void latency_add(struct model *m, uint64_t latency_us)
{
	g_array_append_val(m->latencies_us, latency_us);
}

static void calls_move(struct model *m, unsigned int l, uint64_t now_us)
{
	struct call *c;

	while ((c = due_pop(&m->going[l], now_us)))
		g_queue_push_tail(&m->servers[l].calls, c);
	server_step(m, l, now_us);
	while ((c = due_pop(&m->coming[l], now_us))) {
		struct leaf *leaf = m->vms[c->vm].leaf[l];

		leaf->outstanding--;
		leaf->waiting_since_us = now_us;
		c->answered_us = now_us;
		if (c->begun_us >= WARM_UP_US)
			latency_add(m, now_us - c->begun_us);
		c->due_us = now_us + (uint64_t)m->s->age_ms * 1000;
		g_queue_push_tail(&m->learning[l], c);
	}
	while ((c = due_pop(&m->learning[l], now_us)))
		call_learn(m, l, c);
}

static void window_end(struct model *m, uint64_t now_us)
{
	double greatest = 0;
	double sum = 0;

	for (unsigned int l = 0; l < N_LEAVES; l++) {
		struct server *sv = &m->servers[l];

		greatest = MAX(greatest, sv->work_sum);
		sum += sv->work_sum;
		sv->work_sum = 0;
	}
	if (now_us < WARM_UP_US || sum <= 0)
		return;
	m->ratio_sum += greatest / (sum / N_LEAVES);
	m->mean_sum += sum / N_LEAVES * STEP_US / WINDOW_US;
	m->n_windows++;
	for (unsigned int i = 0; i < m->s->n_vms; i++)
		m->in_force_sum += leafset_spread(m->vms[i].leaves, SERVICE)->is_in_force;
}

static void vms_advance(struct model *m, uint64_t now_us)
{
	for (unsigned int i = 0; i < m->s->n_vms; i++) {
		struct leafset *leaves = m->vms[i].leaves;

		leafset_spread_advance(leaves, now_us);
		if (m->s->rule == SPREADMODEL_ALWAYS)
			leafset_spread(leaves, SERVICE)->is_in_force = true;
	}
}

static void vms_tell(struct model *m)
{
	for (unsigned int i = 0; i < m->s->n_vms; i++)
		for (unsigned int l = 0; l < N_LEAVES; l++)
			m->vms[i].told[l] = m->vms[i].leaf[l]->outstanding;
}

static double calls_per_step(const struct model *m)
{
	double per_us = 0;

	for (unsigned int l = 0; l < N_LEAVES; l++)
		per_us += SLOTS / (WORK_US * m->servers[l].slowness);
	return per_us * STEP_US * m->s->load_pct / 100;
}

static void model_init(struct model *m)
{
	m->rand = g_rand_new_with_seed(m->s->seed);
	m->choice_rand = g_rand_new_with_seed(m->s->seed + 1);
	m->vms = g_new0(struct vm, m->s->n_vms);
	m->latencies_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (unsigned int l = 0; l < N_LEAVES; l++) {
		struct server *sv = &m->servers[l];

		sv->phase_us = (uint64_t)g_rand_int_range(m->rand, 0, 4500000);
		sv->slowness = 1;
		if (m->s->what == SPREADMODEL_UNEQUAL && l % 2 == 1)
			sv->slowness = 2;
		if (m->s->what == SPREADMODEL_SLOW && l == 0)
			sv->slowness = 8;
	}
	for (unsigned int i = 0; i < m->s->n_vms; i++)
		vm_init(m, i);
}

static void model_clear(struct model *m)
{
	for (unsigned int l = 0; l < N_LEAVES; l++) {
		GQueue *const queues[] = {&m->going[l], &m->coming[l], &m->learning[l],
					  &m->servers[l].calls};

		for (size_t i = 0; i < G_N_ELEMENTS(queues); i++)
			g_queue_clear_full(queues[i], g_free);
	}
	for (unsigned int i = 0; i < m->s->n_vms; i++)
		leafset_destroy(m->vms[i].leaves);
	g_free(m->vms);
	g_array_free(m->latencies_us, TRUE);
	g_rand_free(m->choice_rand);
	g_rand_free(m->rand);
}

static gint latency_compare(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static double quantile_ms(const GArray *latencies_us, double quantile)
{
	if (latencies_us->len == 0)
		return 0;
	return (double)g_array_index(latencies_us, uint64_t,
				     (guint)(quantile * (latencies_us->len - 1))) /
	       1000;
}

static struct spreadmodel_result result_of(struct model *m)
{
	double n = MAX(1, m->n_windows);

	g_array_sort(m->latencies_us, latency_compare);
	return (struct spreadmodel_result){
		.greatest_over_mean = m->ratio_sum / n,
		.mean = m->mean_sum / n,
		.p50_ms = quantile_ms(m->latencies_us, 0.5),
		.p99_ms = quantile_ms(m->latencies_us, 0.99),
		.own_dc_share = m->n_own_dc / (double)MAX(1, m->n_calls),
		.in_force_share = m->in_force_sum / n / m->s->n_vms,
		.n_calls = m->n_calls,
	};
}

struct spreadmodel_result spreadmodel_run(const struct spreadmodel_settings *settings)
{
	struct model m = {.s = settings};
	uint64_t end_us = WARM_UP_US + (uint64_t)settings->seconds * 1000000;
	struct spreadmodel_result result;

	model_init(&m);
	for (uint64_t now_us = STEP_US; now_us <= end_us; now_us += STEP_US) {
		double expected = calls_per_step(&m);

		/* Two draws a step, so that several VMs choose at the same moment. */
		for (unsigned int i = 0; i < 2; i++)
			if (g_rand_double(m.rand) < expected / 2)
				call_begin(&m, now_us);
		for (unsigned int l = 0; l < N_LEAVES; l++)
			calls_move(&m, l, now_us);
		if (now_us % EXCHANGE_US == 0)
			vms_tell(&m);
		if (now_us % WINDOW_US == 0) {
			vms_advance(&m, now_us);
			window_end(&m, now_us);
		}
	}
	result = result_of(&m);
	model_clear(&m);
	return result;
}

const char *spreadmodel_rule_name(enum spreadmodel_rule rule)
{
	static const char *const names[] = {
#define X(symbol, name, explanation) name,
		SPREADMODEL_RULE_LIST(X)
#undef X
	};

	return names[rule];
}

const char *spreadmodel_case_name(enum spreadmodel_case what)
{
	static const char *const names[] = {
#define X(symbol, name) name,
		SPREADMODEL_CASE_LIST(X)
#undef X
	};

	return names[what];
}
