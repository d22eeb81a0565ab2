#include "leafset.h"

#include "address.h"

#include <string.h>

/* Weight of a new sample: the average follows a slow-down within about five answers. */
#define LATENCY_EWMA_WEIGHT 0.2
/* A latency above this multiple of the usual one means that the leaf paused or became slow. */
#define OUTLIER_FACTOR 3.0
/* Assumed for a leaf without a sample: the mean time of a search in the first deployments. */
#define LATENCY_INITIAL_US 20000.0
/*
 * Without new samples the average halves each time this much time passes, down to about a quarter
 * of LATENCY_INITIAL_US, so that a leaf that was slow is tried again.
 */
#define LATENCY_HALF_LIFE_US 2000000.0
/*
 * Time over which a leaf's steady latency is averaged. Spread choices use it: what a VM knows is up
 * to 1 s old, and an average that follows within five answers made the load swing with that delay
 * (model, 4 VMs, equal leaves, 85% load: p99 598 ms, with the steady latency 178 ms).
 */
#define STEADY_US 5000000.0
/*
 * Added for a leaf in another data centre: request and answer take about 5 ms each, and the rest
 * stands for the cost of traffic between data centres.
 */
#define REMOTE_DC_COST_US 11000.0
/*
 * A leaf that gives no answer for this many usual latencies, and for at least PAUSE_MIN_US, is
 * assumed to be paused.
 */
#define PAUSE_FACTOR 2.5
#define PAUSE_MIN_US 25000.0
/* Expected remaining time of a pause: half of the 200 ms that the deployments state. */
#define PAUSE_REMAINING_US 100000.0
/* Longest pause that a leaf can ask for, in case that it names a senseless one. */
#define PAUSE_MAX_S 3600.0
/* How much slower a leaf works during its warm-up, as the deployments state it. */
#define WARMUP_FACTOR 1.6
/*
 * A lost call or an error answer puts the leaf into quarantine if, together with it, at least this
 * many calls have failed since the last answer. Single ones are common and do not.
 */
#define QUARANTINE_MIN_LOSSES 3
#define QUARANTINE_FIRST_US 400000
#define QUARANTINE_DOUBLINGS_MAX 3 /* at most 3.2 s, about as long as a restart takes */

struct leafset {
	char *own_dc;
	const struct region_table *regions; /* NULL: none is known */
	GHashTable *ids; /* id -> struct leaf */
	GHashTable *services; /* name -> struct leaf_service */
	const struct leafset_spread_ops *spread_ops; /* NULL: no spreading */
	void *spread_arg;
	GRand *rand; /* of the spreading */
	GRand *draw_rand; /* NULL: the fastest leaf is called */
	uint64_t window_end_us; /* of the measure of load */
	GPtrArray *found; /* reused by choices: the leaves that may be called */
	GArray *candidates; /* reused by choices: struct spread_candidate of each */
};

struct leaf_service {
	GPtrArray *leaves; /* struct leaf, borrowed */
	struct spread spread;
};

static void leaf_service_free(gpointer data)
{
	struct leaf_service *service = data;

	g_ptr_array_free(service->leaves, TRUE);
	g_free(service);
}

static const GPtrArray *leaves_of(const struct leafset *s, const char *name)
{
	const struct leaf_service *service = g_hash_table_lookup(s->services, name);

	return service ? service->leaves : NULL;
}

struct leafset *leafset_create(const char *own_dc)
{
	struct leafset *s = g_new0(struct leafset, 1);

	s->own_dc = g_strdup(own_dc);
	s->ids = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, (GDestroyNotify)leaf_put);
	s->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, leaf_service_free);
	s->found = g_ptr_array_new();
	s->candidates = g_array_new(FALSE, FALSE, sizeof(struct spread_candidate));
	return s;
}

void leafset_destroy(struct leafset *s)
{
	if (!s)
		return;
	g_array_free(s->candidates, TRUE);
	g_ptr_array_free(s->found, TRUE);
	g_hash_table_destroy(s->services);
	g_hash_table_destroy(s->ids);
	g_free(s->own_dc);
	g_free(s);
}

void leaf_report_clear(struct leaf_report *report)
{
	g_free(report->service);
	g_free(report->address);
	g_free(report->dc);
	*report = (struct leaf_report){0};
}

struct leaf *leaf_get(struct leaf *l)
{
	g_ref_count_inc(&l->refs);
	return l;
}

void leaf_put(struct leaf *l)
{
	if (!l || !g_ref_count_dec(&l->refs))
		return;
	g_free(l->id);
	g_free(l->service);
	g_free(l->dc);
	g_free(l->address);
	g_free(l);
}

static struct leaf *leaf_create(const char *id, const struct leaf_report *report)
{
	struct leaf *l = g_new0(struct leaf, 1);

	g_ref_count_init(&l->refs);
	l->id = g_strdup(id);
	l->service = g_strdup(report->service);
	l->dc = g_strdup(report->dc);
	l->address = g_strdup(report->address);
	l->process_start_ms = report->process_start_ms;
	address_parse(l->address, &l->socket_address);
	return l;
}

static void leaf_update(struct leaf *l, const struct leaf_report *report, uint64_t now_us)
{
	l->state = report->state;
	l->slots = MAX(1, report->slots);
	leaf_warmup_set(l, report->warmup_ms, now_us);
}

static void leaf_detach(struct leafset *s, struct leaf *l)
{
	struct leaf_service *service = g_hash_table_lookup(s->services, l->service);

	l->state = LEAF_GONE;
	if (service)
		g_ptr_array_remove(service->leaves, l);
	g_hash_table_remove(s->ids, l->id);
}

static void leaf_attach(struct leafset *s, struct leaf *l)
{
	struct leaf_service *service = g_hash_table_lookup(s->services, l->service);

	if (!service) {
		service = g_new0(struct leaf_service, 1);
		service->leaves = g_ptr_array_new();
		g_hash_table_insert(s->services, g_strdup(l->service), service);
	}
	g_ptr_array_add(service->leaves, l);
	g_hash_table_insert(s->ids, l->id, l);
}

static bool is_same_process(const struct leaf *l, const struct leaf_report *report)
{
	return strcmp(l->service, report->service) == 0 &&
	       strcmp(l->address, report->address) == 0 && strcmp(l->dc, report->dc) == 0 &&
	       l->process_start_ms == report->process_start_ms;
}

enum leaf_change leafset_update(struct leafset *s, const char *id, const struct leaf_report *report,
				uint64_t now_us, struct leaf **leaf)
{
	struct leaf *l = g_hash_table_lookup(s->ids, id);
	enum leaf_change change = LEAF_UPDATED;

	if (l && !is_same_process(l, report)) {
		leaf_detach(s, l);
		l = NULL;
		change = LEAF_RESTARTED;
	} else if (!l) {
		change = LEAF_ADDED;
	} else if (l->state == report->state) {
		change = LEAF_UNCHANGED;
	}
	if (!l) {
		l = leaf_create(id, report);
		l->region = s->regions ? region_table_find(s->regions, l->dc) : NULL;
		leaf_attach(s, l);
	}
	leaf_update(l, report, now_us);
	if (leaf)
		*leaf = l;
	return change;
}

bool leafset_remove(struct leafset *s, const char *id)
{
	struct leaf *l = g_hash_table_lookup(s->ids, id);

	if (!l)
		return false;
	leaf_detach(s, l);
	return true;
}

struct leaf *leafset_find(const struct leafset *s, const char *id)
{
	return g_hash_table_lookup(s->ids, id);
}

unsigned int leafset_count(const struct leafset *s)
{
	return g_hash_table_size(s->ids);
}

void leafset_each(const struct leafset *s, void (*visit)(const struct leaf *leaf, void *arg),
		  void *arg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->ids);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(value, arg);
}

GPtrArray *leafset_list(const struct leafset *s, const char *dc)
{
	GPtrArray *leaves = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->ids);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct leaf *l = value;

		if (!dc || strcmp(l->dc, dc) == 0)
			g_ptr_array_add(leaves, l);
	}
	return leaves;
}

GPtrArray *leafset_regions_set(struct leafset *s, const struct region_table *t)
{
	GPtrArray *changed = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	s->regions = t;
	g_hash_table_iter_init(&iter, s->ids);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct leaf *l = value;
		const char *region = region_table_find(t, l->dc);

		if (g_strcmp0(region, l->region) != 0)
			g_ptr_array_add(changed, l);
		l->region = region;
	}
	return changed;
}

static gint name_compare(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

char **leafset_major_dcs(const struct leafset *s)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *dcs = g_ptr_array_new();
	unsigned int n_max = 0;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, s->ids);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct leaf *l = value;
		unsigned int n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, l->dc)) + 1;

		if (l->state != LEAF_READY)
			continue;
		g_hash_table_replace(counts, l->dc, GUINT_TO_POINTER(n));
		n_max = MAX(n_max, n);
	}
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &key, &value))
		if (2 * GPOINTER_TO_UINT(value) >= n_max)
			g_ptr_array_add(dcs, g_strdup(key));
	g_ptr_array_sort(dcs, name_compare);
	g_ptr_array_add(dcs, NULL);
	g_hash_table_destroy(counts);
	return (char **)g_ptr_array_free(dcs, FALSE);
}

/* latency_us: an average of the leaf's samples; 0: none. */
static double usual_latency_us(const struct leaf *l, double latency_us, uint64_t now_us)
{
	double age_us = now_us > l->sampled_at_us ? (double)(now_us - l->sampled_at_us) : 0;

	if (latency_us <= 0)
		return LATENCY_INITIAL_US;
	for (; age_us > LATENCY_HALF_LIFE_US && latency_us > LATENCY_INITIAL_US / 4;
	     age_us -= LATENCY_HALF_LIFE_US)
		latency_us /= 2;
	return latency_us;
}

/* usual_us: latency of a call that finds the leaf as usual. */
static double cost_at_us(const struct leaf *l, const char *own_dc, double usual_us, uint64_t now_us)
{
	double per_slot = (double)l->outstanding / l->slots +
			  leafload_others_per_slot(&l->load, usual_us, now_us);
	double cost_us = usual_us * (1 + per_slot) * leafload_work_factor(&l->load, now_us);
	double unanswered_us = 0;

	if (l->outstanding > 0 && now_us > l->waiting_since_us)
		unanswered_us = (double)(now_us - l->waiting_since_us);
	if (unanswered_us > MAX(PAUSE_MIN_US, PAUSE_FACTOR * usual_us))
		cost_us += PAUSE_REMAINING_US;
	if (now_us < l->warmup_until_us)
		cost_us *= WARMUP_FACTOR;
	if (strcmp(l->dc, own_dc) != 0)
		cost_us += REMOTE_DC_COST_US;
	return cost_us + (double)leaf_wait_us(l, now_us);
}

double leaf_cost_us(const struct leaf *l, const char *own_dc, uint64_t now_us)
{
	return cost_at_us(l, own_dc, usual_latency_us(l, l->latency_us, now_us), now_us);
}

uint64_t leaf_wait_us(const struct leaf *l, uint64_t now_us)
{
	uint64_t paused_us = l->paused_until_us > now_us ? l->paused_until_us - now_us : 0;

	return MAX(paused_us, leaf_limit_wait_us(l, l->waiting, now_us));
}

uint64_t leaf_limit_wait_us(const struct leaf *l, unsigned int n_waiting, uint64_t now_us)
{
	uint64_t wait_us = ratecap_wait_us(&l->ratecap, n_waiting, now_us);

	if (now_us >= l->warmup_until_us)
		return wait_us;
	return MAX(wait_us, ratecap_wait_us(&l->warmup_cap, n_waiting, now_us));
}

void leaf_limit_take(struct leaf *l, uint64_t now_us)
{
	ratecap_take(&l->ratecap, now_us);
	ratecap_take(&l->warmup_cap, now_us);
}

void leaf_warmup_set(struct leaf *l, unsigned int warmup_ms, uint64_t now_us)
{
	l->warmup_until_us = now_us + (uint64_t)warmup_ms * 1000;
}

bool leafset_is_faster(const struct leafset *s, const struct leaf *a, const struct leaf *b,
		       uint64_t now_us)
{
	return leaf_cost_us(a, s->own_dc, now_us) < leaf_cost_us(b, s->own_dc, now_us);
}

bool leaf_is_quarantined(const struct leaf *l, uint64_t now_us)
{
	return now_us < l->quarantined_until_us;
}

static bool is_tried(const struct leaf *l, struct leaf *const *tried, unsigned int n)
{
	for (unsigned int i = 0; i < n; i++)
		if (tried[i] == l)
			return true;
	return false;
}

/* True when calls may be sent to the leaf, now or after a pause. */
static bool leaf_is_in_service(const struct leaf *l)
{
	return l->state == LEAF_READY && !l->is_address_taken && !l->is_leaving && !l->is_evacuated;
}

bool leaf_is_usable(const struct leaf *l, uint64_t now_us)
{
	return leaf_is_in_service(l) && now_us >= l->paused_until_us;
}

bool leafset_wait_us(const struct leafset *s, const char *service, const GPtrArray *regions,
		     uint64_t now_us, uint64_t *wait_us)
{
	const GPtrArray *list = leaves_of(s, service);
	bool is_found = false;

	for (guint i = 0; list && i < list->len; i++) {
		const struct leaf *l = g_ptr_array_index(list, i);
		uint64_t leaf_us = leaf_wait_us(l, now_us);

		if (!leaf_is_in_service(l) || !region_allows(regions, l->region))
			continue;
		*wait_us = is_found ? MIN(*wait_us, leaf_us) : leaf_us;
		is_found = true;
	}
	return is_found;
}

/* Returns the changes, of enum leaf_signals_change. */
static unsigned int leaf_load_apply(struct leaf *l, const struct leaf_signals *signals,
				    uint64_t now_us)
{
	if (signals->is_load_malformed)
		return l->n_loads_malformed++ == 0 ? LEAF_SIGNALS_LOAD_MALFORMED : 0;
	if (!signals->has_load)
		return 0;
	/* The call that is being answered is among the outstanding ones and in the report. */
	leafload_note(&l->load, &signals->load, l->outstanding - l->waiting, now_us);
	spread_load_add(&l->spread_meter,
			(double)(signals->load.n_running + signals->load.n_waiting) /
				signals->load.slots);
	return l->load.n_reports == 1 ? LEAF_SIGNALS_LOAD : 0;
}

unsigned int leaf_signals_apply(struct leaf *l, const struct leaf_signals *signals, double share,
				GRand *rand, uint64_t now_us)
{
	unsigned int changes = leaf_load_apply(l, signals, now_us);

	if (l->ratecap.is_limited != signals->has_limit)
		changes |= LEAF_SIGNALS_LIMIT;
	if (signals->has_limit)
		ratecap_limit(&l->ratecap, signals->limit_per_s, share, rand, now_us);
	else
		ratecap_lift(&l->ratecap);
	if (signals->is_leaving && !l->is_leaving)
		changes |= LEAF_SIGNALS_LEAVING;
	l->is_leaving = l->is_leaving || signals->is_leaving;
	if (signals->pause_s > 0) {
		uint64_t pause_us = (uint64_t)(MIN(signals->pause_s, PAUSE_MAX_S) * 1e6);

		l->paused_until_us = MAX(l->paused_until_us, now_us + pause_us);
		changes |= LEAF_SIGNALS_PAUSE;
	}
	return changes;
}

/* Whether spreading may choose the leaf. */
static bool is_spreadable(const struct leaf *l, uint64_t now_us)
{
	return leaf_is_usable(l, now_us) && !leaf_is_quarantined(l, now_us) &&
	       now_us >= l->warmup_until_us && leaf_wait_us(l, now_us) == 0;
}

/*
 * Collects the leaves that may be called at once in s->found and s->candidates: a leaf that is
 * quarantined, cold, limited or paused takes no call from one that is not. is_steady: their cost is
 * by the steady latency.
 */
static void candidates_collect(const struct leafset *s, const GPtrArray *list,
			       const GPtrArray *regions, bool is_steady, uint64_t now_us)
{
	g_ptr_array_set_size(s->found, 0);
	g_array_set_size(s->candidates, 0);
	for (guint i = 0; i < list->len; i++) {
		struct leaf *l = g_ptr_array_index(list, i);
		struct spread_candidate candidate;
		double usual_us;

		if (!is_spreadable(l, now_us) || !region_allows(regions, l->region))
			continue;
		usual_us = usual_latency_us(l, is_steady ? l->steady_us : l->latency_us, now_us);
		candidate.cost_us = cost_at_us(l, s->own_dc, usual_us, now_us);
		candidate.calls_per_slot = (double)l->outstanding / l->slots;
		candidate.is_near = strcmp(l->dc, s->own_dc) == 0;
		g_ptr_array_add(s->found, l);
		g_array_append_val(s->candidates, candidate);
	}
}

/* One of two random leaves, or NULL if none may be called at once. */
static struct leaf *spread_leaf_choose(const struct leafset *s, const GPtrArray *list,
				       const GPtrArray *regions, uint64_t now_us)
{
	candidates_collect(s, list, regions, true, now_us);
	if (s->found->len == 0)
		return NULL;
	return g_ptr_array_index(s->found,
				 spread_choose((const struct spread_candidate *)s->candidates->data,
					       s->found->len, s->rand));
}

/* A random leaf that is as good as the fastest one. */
static struct leaf *similar_leaf_draw(const struct leafset *s, const GPtrArray *list,
				      const GPtrArray *regions, struct leaf *fastest,
				      uint64_t now_us)
{
	guint best;

	candidates_collect(s, list, regions, false, now_us);
	if (!g_ptr_array_find(s->found, fastest, &best))
		return fastest;
	return g_ptr_array_index(s->found,
				 spread_draw((const struct spread_candidate *)s->candidates->data,
					     s->found->len, best, s->draw_rand));
}

static struct leaf *fastest_leaf_choose(const struct leafset *s, const char *service,
					const GPtrArray *regions, struct leaf *const *tried,
					unsigned int n_tried, uint64_t now_us)
{
	const GPtrArray *list = leaves_of(s, service);
	struct leaf *best = NULL;
	double best_us = 0;
	bool best_is_quarantined = false;

	for (guint i = 0; list && i < list->len; i++) {
		struct leaf *l = g_ptr_array_index(list, i);
		bool is_quarantined = leaf_is_quarantined(l, now_us);
		double cost_us;

		if (!leaf_is_usable(l, now_us) || is_tried(l, tried, n_tried) ||
		    !region_allows(regions, l->region))
			continue;
		cost_us = leaf_cost_us(l, s->own_dc, now_us);
		if (best && (is_quarantined > best_is_quarantined ||
			     (is_quarantined == best_is_quarantined && cost_us >= best_us)))
			continue;
		best = l;
		best_us = cost_us;
		best_is_quarantined = is_quarantined;
	}
	return best;
}

struct leaf *leafset_choose(const struct leafset *s, const char *service, const GPtrArray *regions,
			    struct leaf *const *tried, unsigned int n_tried, uint64_t now_us)
{
	const struct leaf_service *found = g_hash_table_lookup(s->services, service);
	struct leaf *leaf = NULL;

	if (n_tried == 0 && found && found->spread.is_in_force)
		leaf = spread_leaf_choose(s, found->leaves, regions, now_us);
	if (leaf)
		return leaf;
	leaf = fastest_leaf_choose(s, service, regions, tried, n_tried, now_us);
	return leaf && found && n_tried == 0 && s->draw_rand
		       ? similar_leaf_draw(s, found->leaves, regions, leaf, now_us)
		       : leaf;
}

void leafset_draw_enable(struct leafset *s, GRand *rand)
{
	s->draw_rand = rand;
}

void leafset_spread_enable(struct leafset *s, GRand *rand, const struct leafset_spread_ops *ops,
			   void *arg)
{
	s->rand = rand;
	s->spread_ops = ops;
	s->spread_arg = arg;
}

static void service_window_end(struct leafset *s, const char *name, struct leaf_service *service,
			       uint64_t now_us)
{
	g_autoptr(GPtrArray) meters = g_ptr_array_new();

	for (guint i = 0; i < service->leaves->len; i++) {
		struct leaf *l = g_ptr_array_index(service->leaves, i);

		if (leaf_is_in_service(l))
			g_ptr_array_add(meters, &l->spread_meter);
	}
	if (spread_window_end(&service->spread, (struct spread_meter *const *)meters->pdata,
			      meters->len, now_us))
		s->spread_ops->changed(s->spread_arg, name, &service->spread);
}

void leafset_spread_advance(struct leafset *s, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer name;
	gpointer service;

	if (!s->spread_ops || now_us < s->window_end_us)
		return;
	s->window_end_us = now_us + SPREAD_WINDOW_US;
	g_hash_table_iter_init(&iter, s->services);
	while (g_hash_table_iter_next(&iter, &name, &service))
		service_window_end(s, name, service, now_us);
}

struct spread *leafset_spread(const struct leafset *s, const char *service)
{
	struct leaf_service *found = g_hash_table_lookup(s->services, service);

	return found ? &found->spread : NULL;
}

double leafset_spread_uneven(const struct leafset *s, const struct leaf *l, uint64_t now_us)
{
	const struct leaf_service *found = g_hash_table_lookup(s->services, l->service);

	return found && found->spread.is_in_force && is_spreadable(l, now_us)
		       ? found->spread.load_uneven
		       : 0;
}

void leafset_spread_each(const struct leafset *s,
			 void (*visit)(const char *service, const struct spread *spread, void *arg),
			 void *arg)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, s->services);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct leaf_service *service = value;

		if (service->leaves->len >= 2)
			visit(name, &service->spread, arg);
	}
}

struct leaf *leafset_choose_healthy(const struct leafset *s, const char *service,
				    const GPtrArray *regions, struct leaf *const *tried,
				    unsigned int n_tried, uint64_t now_us)
{
	struct leaf *leaf = fastest_leaf_choose(s, service, regions, tried, n_tried, now_us);

	return leaf && !leaf_is_quarantined(leaf, now_us) ? leaf : NULL;
}

struct leaf *leafset_barred_find(const struct leafset *s, const char *service,
				 const GPtrArray *regions, uint64_t now_us)
{
	const GPtrArray *list = leaves_of(s, service);

	for (guint i = 0; list && i < list->len; i++) {
		struct leaf *l = g_ptr_array_index(list, i);

		if (leaf_is_usable(l, now_us) && !leaf_is_quarantined(l, now_us) &&
		    !region_allows(regions, l->region))
			return l;
	}
	return NULL;
}

void leaf_call_started(struct leaf *l, uint64_t now_us)
{
	if (l->outstanding++ == 0)
		l->waiting_since_us = now_us;
	spread_call_add(&l->spread_meter);
}

/* To be called before sampled_at_us is set. */
static void steady_sample_add(struct leaf *l, double sample_us, uint64_t now_us)
{
	double weight = MIN(LATENCY_EWMA_WEIGHT, (double)(now_us - l->sampled_at_us) / STEADY_US);

	if (l->steady_us <= 0)
		l->steady_us = sample_us;
	else
		l->steady_us += weight * (sample_us - l->steady_us);
}

/*
 * Adds the latency of an answer to the moving average.
 *
 * A single latency far above the average says little, because every leaf pauses for ten times its
 * usual latency now and then. Such a sample is capped, and of all calls that the same pause may
 * have delayed only the first one counts. A sample counts in full if the previous answer was slow
 * too and had arrived before this call was sent, because one pause cannot have delayed both.
 */
static void latency_sample_add(struct leaf *l, double sample_us, uint64_t now_us)
{
	double usual_us = l->latency_us > 0 ? l->latency_us : LATENCY_INITIAL_US;
	bool is_slow = sample_us > OUTLIER_FACTOR * usual_us;
	bool is_confirmed =
		l->slow_answer_at_us > 0 && (double)(now_us - l->slow_answer_at_us) >= sample_us;
	bool is_same_pause = is_slow && !is_confirmed && l->slow_answer_at_us > 0;

	if (is_slow && !is_confirmed)
		sample_us = OUTLIER_FACTOR * usual_us;
	if (!is_same_pause)
		steady_sample_add(l, sample_us, now_us);
	if (l->latency_us <= 0)
		l->latency_us = sample_us;
	else if (!is_same_pause)
		l->latency_us += LATENCY_EWMA_WEIGHT * (sample_us - l->latency_us);
	l->slow_answer_at_us = is_slow ? now_us : 0;
	l->sampled_at_us = now_us;
}

/* nth: 1 for the shortest quarantine; each increment doubles it, QUARANTINE_DOUBLINGS_MAX times. */
static void leaf_quarantine(struct leaf *l, unsigned int nth, uint64_t now_us)
{
	unsigned int doublings = MIN(nth - 1, QUARANTINE_DOUBLINGS_MAX);

	l->quarantined_until_us = now_us + ((uint64_t)QUARANTINE_FIRST_US << doublings);
}

void leaf_call_ended(struct leaf *l, enum leaf_end end, uint64_t latency_us, uint64_t now_us)
{
	l->outstanding--;
	switch (end) {
	case LEAF_END_ANSWERED:
		l->waiting_since_us = now_us;
		latency_sample_add(l, (double)latency_us, now_us);
		l->failures = 0;
		l->quarantined_until_us = 0;
		break;
	case LEAF_END_UNREACHABLE:
	case LEAF_END_SILENT:
		leaf_quarantine(l, ++l->failures, now_us);
		break;
	case LEAF_END_LOST:
	case LEAF_END_ERRORED:
		l->waiting_since_us = now_us;
		if (++l->failures >= QUARANTINE_MIN_LOSSES)
			leaf_quarantine(l, l->failures - QUARANTINE_MIN_LOSSES + 1, now_us);
		break;
	case LEAF_END_REFUSED:
		/*
		 * The leaf is alive but full: this counts like an answer that took twice the
		 * usual time.
		 */
		l->waiting_since_us = now_us;
		steady_sample_add(l, 2 * MAX(l->steady_us, LATENCY_INITIAL_US), now_us);
		l->latency_us = MAX(l->latency_us, LATENCY_INITIAL_US) * (1 + LATENCY_EWMA_WEIGHT);
		l->sampled_at_us = now_us;
		break;
	case LEAF_END_WRONG_LEAF:
		/*
		 * The answer proves that another leaf has the address, so no time limit applies:
		 * the leaf is chosen again only after discovery reports a new process.
		 */
		l->is_address_taken = true;
		break;
	case LEAF_END_CANCELLED:
		break;
	}
}

void leaf_service_add(struct leaf *l, uint64_t service_us)
{
	double usual_us = l->service_us > 0 ? l->service_us : LATENCY_INITIAL_US;
	/* A single pause says little about the calls to come. */
	double sample_us = MIN((double)service_us, OUTLIER_FACTOR * usual_us);

	l->service_us = usual_us + LATENCY_EWMA_WEIGHT * (sample_us - usual_us);
}

struct backlog leaf_backlog(const struct leaf *l)
{
	return (struct backlog){
		.n_sent = l->outstanding - l->waiting,
		.n_waiting = l->waiting,
		.window = MAX(1, l->window),
		.service_us = l->service_us,
	};
}

const char *leaf_state_name(enum leaf_state state)
{
	static const char *const names[] = {
#define X(symbol, name) name,
		LEAF_STATE_LIST(X)
#undef X
	};

	return names[state];
}

const char *leaf_end_name(enum leaf_end end)
{
	static const char *const names[] = {
#define X(symbol, name) name,
		LEAF_END_LIST(X)
#undef X
	};

	return names[end];
}
