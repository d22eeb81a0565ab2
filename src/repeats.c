#include "repeats.h"

/*
 * A window is counted in slots. Repeats are summed over all slots and the one that is just ending,
 * so that no span of a window's length holds more; requests over one slot less.
 */
#define SLOTS 10
/* Part of the ratio and slack that is spent: arrivals and requests are counted at other moments
 * than here, and a request may be counted a window late. */
#define SAFETY 0.8
/* A VM that has just started does not know the others; when all start at once each would take the
 * whole slack. Members are found within about three seconds. */
#define FINDING_US 5000000
#define ASSUMED_VMS 24
/* Part of what the window allows that hedges leave to recoveries. */
#define RECOVERY_PART 0.25

struct service_use {
	uint64_t slot; /* number of the newest slot */
	unsigned int requests[SLOTS + 1];
	unsigned int repeats[SLOTS + 1];
};

struct repeats {
	struct repeats_limits limits;
	GHashTable *services;
	uint64_t started_us;
	unsigned int n_vms;
	uint64_t n_vms_since_us;
};

struct repeats *repeats_create(const struct repeats_limits *limits, uint64_t now_us)
{
	struct repeats *r = g_new0(struct repeats, 1);

	r->limits = *limits;
	r->started_us = now_us;
	r->n_vms = 1;
	r->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return r;
}

void repeats_destroy(struct repeats *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->services);
	g_free(r);
}

void repeats_set_limits(struct repeats *r, const struct repeats_limits *limits)
{
	if (limits->window_us != r->limits.window_us)
		g_hash_table_remove_all(r->services);
	r->limits = *limits;
}

void repeats_set_vms(struct repeats *r, unsigned int n, uint64_t now_us)
{
	if (n < r->n_vms && now_us - r->n_vms_since_us < 2 * r->limits.window_us)
		return;
	r->n_vms = MAX(1, n);
	r->n_vms_since_us = now_us;
}

static struct service_use *use_find(struct repeats *r, const char *service, uint64_t now_us)
{
	struct service_use *use = g_hash_table_lookup(r->services, service);
	uint64_t slot = now_us / (r->limits.window_us / SLOTS);

	if (!use) {
		use = g_new0(struct service_use, 1);
		use->slot = slot;
		g_hash_table_insert(r->services, g_strdup(service), use);
	}
	for (unsigned int i = 0; use->slot < slot && i <= SLOTS; i++) {
		use->slot++;
		use->requests[use->slot % (SLOTS + 1)] = 0;
		use->repeats[use->slot % (SLOTS + 1)] = 0;
	}
	use->slot = slot;
	return use;
}

void repeats_request(struct repeats *r, const char *service, uint64_t now_us)
{
	struct service_use *use = use_find(r, service, now_us);

	use->requests[use->slot % (SLOTS + 1)]++;
}

static unsigned int vms_sharing(const struct repeats *r, uint64_t now_us)
{
	return now_us - r->started_us < FINDING_US ? MAX(ASSUMED_VMS, r->n_vms) : r->n_vms;
}

static double part_of(enum repeats_purpose purpose)
{
	return purpose == REPEATS_HEDGE ? 1 - RECOVERY_PART : 1;
}

/* Repeats that the window allows, sent ones included. */
static double use_allowed(const struct repeats *r, const struct service_use *use,
			  enum repeats_purpose purpose, uint64_t now_us)
{
	double slack = r->limits.slack / vms_sharing(r, now_us);
	double requests = 0;

	for (unsigned int i = 0; i <= SLOTS; i++)
		requests += use->requests[i];
	requests -= use->requests[(use->slot + 1) % (SLOTS + 1)];
	return part_of(purpose) * SAFETY * (r->limits.ratio * requests + slack);
}

static double use_spent(const struct service_use *use)
{
	double repeats = 0;

	for (unsigned int i = 0; i <= SLOTS; i++)
		repeats += use->repeats[i];
	return repeats;
}

double repeats_left(struct repeats *r, const char *service, enum repeats_purpose purpose,
		    uint64_t now_us)
{
	const struct service_use *use = use_find(r, service, now_us);
	double allowed = use_allowed(r, use, purpose, now_us);
	double left = allowed - use_spent(use);

	return left < 1 ? 0 : left / allowed;
}

bool repeats_spend(struct repeats *r, const char *service, enum repeats_purpose purpose,
		   uint64_t now_us)
{
	struct service_use *use = use_find(r, service, now_us);

	if (use_allowed(r, use, purpose, now_us) - use_spent(use) < 1)
		return false;
	use->repeats[use->slot % (SLOTS + 1)]++;
	return true;
}

void repeats_refund(struct repeats *r, const char *service, uint64_t now_us)
{
	struct service_use *use = use_find(r, service, now_us);

	/* The slot in which it was counted may be past; it is taken from the newest that has one.
	 */
	for (unsigned int i = 0; i <= SLOTS; i++) {
		unsigned int *repeats = &use->repeats[(use->slot + SLOTS + 1 - i) % (SLOTS + 1)];

		if (*repeats == 0)
			continue;
		(*repeats)--;
		return;
	}
}
