#include "repeats.h"

#include "vmcount.h"

#include <string.h>

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
/* Share of the budget that is reserved for recoveries. */
#define RECOVERY_SHARE 0.25
/* Part of the slack that the VMs other than the entry VMs divide, if there are any. */
#define OTHERS_PART 0.05
/* A VM that has just started takes itself for an entry VM until it knows others: less than this. */
#define SETTLED_US 5000000

/* Factor for each bucket: what a rank has spent is kept for it for about one more window. */
#define KEPT_FADE 0.9

struct service_usage {
	uint64_t bucket; /* number of the newest bucket, counted from time 0 */
	unsigned int requests[N_BUCKETS];
	unsigned int repeats[N_BUCKETS];
	unsigned int rank_repeats[N_BUCKETS][RANK_COUNT]; /* the same by rank */
	double kept[RANK_COUNT]; /* what the rank has spent in a window lately; fades */
};

struct repeats {
	struct repeats_limits limits;
	GHashTable *services;
	struct vmcount entries;
	struct vmcount others;
	bool has_others;
	bool is_entry;
	uint64_t entry_since_us; /* valid while is_entry */
	uint64_t entry_until_us; /* until then it has an entry VM's part without being one */
};

struct repeats *repeats_create(const struct repeats_limits *limits, uint64_t now_us)
{
	struct repeats *r = g_new0(struct repeats, 1);

	r->limits = *limits;
	vmcount_init(&r->entries, now_us);
	vmcount_init(&r->others, now_us);
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

void repeats_vms_set(struct repeats *r, unsigned int n_entries, unsigned int n_others,
		     bool is_entry, uint64_t now_us)
{
	uint64_t hold_us = 2 * r->limits.window_us;

	vmcount_set(&r->entries, n_entries, hold_us, now_us);
	vmcount_set(&r->others, n_others, hold_us, now_us);
	r->has_others = n_others > 0;
	if (is_entry && !r->is_entry)
		r->entry_since_us = now_us;
	if (r->is_entry && !is_entry && now_us - r->entry_since_us >= SETTLED_US)
		r->entry_until_us = now_us + hold_us;
	r->is_entry = is_entry;
}

/* This VM's part of the slack. */
static double own_slack(const struct repeats *r, uint64_t now_us)
{
	double others_part = r->has_others ? OTHERS_PART : 0;

	if (r->is_entry || now_us < r->entry_until_us)
		return r->limits.slack * (1 - others_part) / vmcount_get(&r->entries, now_us);
	return r->limits.slack * OTHERS_PART / vmcount_get(&r->others, now_us);
}

/* Repeats of the rank within the window. */
static double rank_spent(const struct service_usage *usage, unsigned int rank)
{
	double repeats = 0;

	for (unsigned int i = 0; i < N_BUCKETS; i++)
		repeats += usage->rank_repeats[i][rank];
	return repeats;
}

/* Begins a bucket, which replaces the oldest one. */
static void bucket_begin(struct service_usage *usage)
{
	unsigned int newest;

	for (unsigned int rank = 0; rank < RANK_COUNT; rank++)
		usage->kept[rank] = MAX(usage->kept[rank] * KEPT_FADE, rank_spent(usage, rank));
	newest = ++usage->bucket % N_BUCKETS;
	usage->requests[newest] = 0;
	usage->repeats[newest] = 0;
	memset(usage->rank_repeats[newest], 0, sizeof(usage->rank_repeats[newest]));
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
	for (unsigned int i = 0; usage->bucket < bucket && i < N_BUCKETS; i++)
		bucket_begin(usage);
	usage->bucket = bucket;
	return usage;
}

void repeats_request_add(struct repeats *r, const char *service, uint64_t now_us)
{
	struct service_usage *usage = usage_find(r, service, now_us);

	usage->requests[usage->bucket % N_BUCKETS]++;
}

static double purpose_share(enum repeats_purpose purpose)
{
	return purpose == REPEATS_HEDGE ? 1 - RECOVERY_SHARE : 1;
}

/* Repeats that the budget allows within the window, those already counted included. */
static double usage_allowed(const struct repeats *r, const struct service_usage *usage,
			    enum repeats_purpose purpose, uint64_t now_us)
{
	double requests = 0;

	for (unsigned int i = 0; i < N_BUCKETS; i++)
		requests += usage->requests[i];
	requests -= usage->requests[(usage->bucket + 1) % N_BUCKETS];
	return purpose_share(purpose) * SPENDABLE_SHARE *
	       (r->limits.ratio * requests + own_slack(r, now_us));
}

static double usage_spent(const struct service_usage *usage)
{
	double repeats = 0;

	for (unsigned int i = 0; i < N_BUCKETS; i++)
		repeats += usage->repeats[i];
	return repeats;
}

/* What is kept for the higher ranks beyond what they have spent within the window. */
static double usage_kept(const struct service_usage *usage, unsigned int rank)
{
	double kept = 0;

	for (unsigned int i = 0; i < rank; i++)
		kept += MAX(0, usage->kept[i] - rank_spent(usage, i));
	return kept;
}

double repeats_rank_unspent_share(struct repeats *r, const char *service,
				  enum repeats_purpose purpose, unsigned int rank, uint64_t now_us)
{
	const struct service_usage *usage = usage_find(r, service, now_us);
	double allowed = usage_allowed(r, usage, purpose, now_us);
	double left = allowed - usage_spent(usage) - usage_kept(usage, rank);

	return left < 1 ? 0 : left / allowed;
}

double repeats_unspent_share(struct repeats *r, const char *service, enum repeats_purpose purpose,
			     uint64_t now_us)
{
	return repeats_rank_unspent_share(r, service, purpose, 0, now_us);
}

bool repeats_rank_spend(struct repeats *r, const char *service, enum repeats_purpose purpose,
			unsigned int rank, uint64_t now_us)
{
	struct service_usage *usage = usage_find(r, service, now_us);
	double left = usage_allowed(r, usage, purpose, now_us) - usage_spent(usage);

	if (left - usage_kept(usage, rank) < 1)
		return false;
	usage->repeats[usage->bucket % N_BUCKETS]++;
	usage->rank_repeats[usage->bucket % N_BUCKETS][rank]++;
	return true;
}

bool repeats_spend(struct repeats *r, const char *service, enum repeats_purpose purpose,
		   uint64_t now_us)
{
	return repeats_rank_spend(r, service, purpose, 0, now_us);
}

void repeats_rank_refund(struct repeats *r, const char *service, unsigned int rank, uint64_t now_us)
{
	struct service_usage *usage = usage_find(r, service, now_us);

	/*
	 * The bucket in which the repeat was counted is not known and may have left the window.
	 * The newest bucket that has a repeat of the rank is reduced.
	 */
	for (unsigned int i = 0; i < N_BUCKETS; i++) {
		unsigned int bucket = (usage->bucket + N_BUCKETS - i) % N_BUCKETS;

		if (usage->rank_repeats[bucket][rank] == 0)
			continue;
		usage->rank_repeats[bucket][rank]--;
		usage->repeats[bucket]--;
		return;
	}
}

void repeats_refund(struct repeats *r, const char *service, uint64_t now_us)
{
	repeats_rank_refund(r, service, 0, now_us);
}
