#include "repeats.h"

/*
 * The sliding window is divided into buckets of equal length, and one more bucket holds the time
 * that is just leaving the window. Repeats are summed over all of them, so that no time span of a
 * window's length holds more repeats than are allowed. Requests are summed without the oldest
 * bucket.
 */
#define WINDOW_BUCKETS 10
#define N_BUCKETS (WINDOW_BUCKETS + 1)
/*
 * Share of ratio and slack that is spent at most. The rest allows for differences in timing:
 * elsewhere arrivals and requests are counted at other moments than here, and a request may be
 * counted one window late.
 */
#define SPENDABLE_SHARE 0.8
/*
 * A VM that has just started does not know the others: if all started at once, each would take the
 * whole slack. So it assumes at least ASSUMED_VMS until DISCOVERY_US after its start. Discovering
 * the members takes about three seconds.
 */
#define DISCOVERY_US 5000000
#define ASSUMED_VMS 24
/* Share of the budget that is reserved for recoveries. */
#define RECOVERY_SHARE 0.25

struct service_usage {
	uint64_t bucket; /* number of the newest bucket, counted from time 0 */
	unsigned int requests[N_BUCKETS];
	unsigned int repeats[N_BUCKETS];
};

struct repeats {
	struct repeats_limits limits;
	GHashTable *services;
	uint64_t started_us;
	unsigned int n_vms;
	uint64_t n_vms_set_at_us;
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

void repeats_limits_set(struct repeats *r, const struct repeats_limits *limits)
{
	if (limits->window_us != r->limits.window_us)
		g_hash_table_remove_all(r->services);
	r->limits = *limits;
}

void repeats_vms_set(struct repeats *r, unsigned int n, uint64_t now_us)
{
	if (n < r->n_vms && now_us - r->n_vms_set_at_us < 2 * r->limits.window_us)
		return;
	r->n_vms = MAX(1, n);
	r->n_vms_set_at_us = now_us;
}

/* The counts of the service, created if missing, with the buckets advanced to now_us. */
static struct service_usage *usage_find(struct repeats *r, const char *service, uint64_t now_us)
{
	struct service_usage *usage = g_hash_table_lookup(r->services, service);
	uint64_t bucket = now_us / (r->limits.window_us / WINDOW_BUCKETS);

	if (!usage) {
		usage = g_new0(struct service_usage, 1);
		usage->bucket = bucket;
		g_hash_table_insert(r->services, g_strdup(service), usage);
	}
	for (unsigned int i = 0; usage->bucket < bucket && i < N_BUCKETS; i++) {
		usage->bucket++;
		usage->requests[usage->bucket % N_BUCKETS] = 0;
		usage->repeats[usage->bucket % N_BUCKETS] = 0;
	}
	usage->bucket = bucket;
	return usage;
}

void repeats_request_add(struct repeats *r, const char *service, uint64_t now_us)
{
	struct service_usage *usage = usage_find(r, service, now_us);

	usage->requests[usage->bucket % N_BUCKETS]++;
}

static unsigned int vms_sharing(const struct repeats *r, uint64_t now_us)
{
	return now_us - r->started_us < DISCOVERY_US ? MAX(ASSUMED_VMS, r->n_vms) : r->n_vms;
}

static double purpose_share(enum repeats_purpose purpose)
{
	return purpose == REPEATS_HEDGE ? 1 - RECOVERY_SHARE : 1;
}

/* Repeats that the budget allows within the window, those already counted included. */
static double usage_allowed(const struct repeats *r, const struct service_usage *usage,
			    enum repeats_purpose purpose, uint64_t now_us)
{
	double slack = r->limits.slack / vms_sharing(r, now_us);
	double requests = 0;

	for (unsigned int i = 0; i < N_BUCKETS; i++)
		requests += usage->requests[i];
	requests -= usage->requests[(usage->bucket + 1) % N_BUCKETS];
	return purpose_share(purpose) * SPENDABLE_SHARE * (r->limits.ratio * requests + slack);
}

static double usage_spent(const struct service_usage *usage)
{
	double repeats = 0;

	for (unsigned int i = 0; i < N_BUCKETS; i++)
		repeats += usage->repeats[i];
	return repeats;
}

double repeats_unspent_share(struct repeats *r, const char *service, enum repeats_purpose purpose,
			     uint64_t now_us)
{
	const struct service_usage *usage = usage_find(r, service, now_us);
	double allowed = usage_allowed(r, usage, purpose, now_us);
	double left = allowed - usage_spent(usage);

	return left < 1 ? 0 : left / allowed;
}

bool repeats_spend(struct repeats *r, const char *service, enum repeats_purpose purpose,
		   uint64_t now_us)
{
	struct service_usage *usage = usage_find(r, service, now_us);

	if (usage_allowed(r, usage, purpose, now_us) - usage_spent(usage) < 1)
		return false;
	usage->repeats[usage->bucket % N_BUCKETS]++;
	return true;
}

void repeats_refund(struct repeats *r, const char *service, uint64_t now_us)
{
	struct service_usage *usage = usage_find(r, service, now_us);

	/*
	 * The bucket in which the repeat was counted is not known and may have left the window.
	 * The newest bucket that has a repeat is reduced.
	 */
	for (unsigned int i = 0; i < N_BUCKETS; i++) {
		unsigned int *repeats =
			&usage->repeats[(usage->bucket + N_BUCKETS - i) % N_BUCKETS];

		if (*repeats == 0)
			continue;
		(*repeats)--;
		return;
	}
}
