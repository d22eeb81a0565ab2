#include "snapshot.h"

#define REPORT_MAX_AGE_US 10000000
#define PRUNE_AGE_US UINT64_C(3600000000)
#define VERSIONS_MAX 8
/*
 * The fallback and the versions of the first report that counts always fit, so a version that all
 * groups serve is always among the candidates.
 */
#define CANDIDATES_MAX 16

struct snapshot_report {
	uint64_t reported_us;
	uint64_t versions[VERSIONS_MAX]; /* newest first, distinct */
	unsigned int count;
};

struct snapshot_table {
	GHashTable *reports; /* group id -> struct snapshot_report, both owned */
};

struct snapshot_candidate {
	uint64_t version;
	unsigned int n_groups; /* that serve it */
};

struct snapshot_table *snapshot_table_create(void)
{
	struct snapshot_table *table = g_new0(struct snapshot_table, 1);

	table->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return table;
}

void snapshot_table_destroy(struct snapshot_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->reports);
	g_free(table);
}

static void snapshot_version_insert(struct snapshot_report *report, uint64_t version)
{
	unsigned int at = 0;

	while (at < report->count && report->versions[at] > version)
		at++;
	if (at == VERSIONS_MAX || (at < report->count && report->versions[at] == version))
		return;
	if (report->count < VERSIONS_MAX)
		report->count++;
	for (unsigned int i = report->count - 1; i > at; i--)
		report->versions[i] = report->versions[i - 1];
	report->versions[at] = version;
}

void snapshot_table_report(struct snapshot_table *table, const char *group_id,
			   const uint64_t *versions, unsigned int n, uint64_t now_us)
{
	struct snapshot_report *report = g_hash_table_lookup(table->reports, group_id);

	if (!report) {
		report = g_new0(struct snapshot_report, 1);
		g_hash_table_insert(table->reports, g_strdup(group_id), report);
	}
	report->reported_us = now_us;
	report->count = 0;
	for (unsigned int i = 0; i < n; i++)
		snapshot_version_insert(report, versions[i]);
}

/* Counts the report's group for each of its versions; returns the new number of candidates. */
static unsigned int snapshot_report_count(struct snapshot_candidate *candidates, unsigned int count,
					  const struct snapshot_report *report)
{
	for (unsigned int v = 0; v < report->count; v++) {
		unsigned int i = 0;

		while (i < count && candidates[i].version != report->versions[v])
			i++;
		if (i == CANDIDATES_MAX)
			continue;
		if (i == count)
			candidates[count++] =
				(struct snapshot_candidate){.version = report->versions[v]};
		candidates[i].n_groups++;
	}
	return count;
}

uint64_t snapshot_table_version_pick(const struct snapshot_table *table,
				     const char *const *group_ids, unsigned int n,
				     uint64_t fallback, uint64_t now_us)
{
	struct snapshot_candidate candidates[CANDIDATES_MAX] = {{.version = fallback}};
	const struct snapshot_candidate *best = &candidates[0];
	unsigned int count = 1;
	unsigned int n_reporting = 0;
	bool lacks_report = false; /* some group has never reported */

	for (unsigned int g = 0; g < n; g++) {
		const struct snapshot_report *report =
			g_hash_table_lookup(table->reports, group_ids[g]);

		if (!report)
			lacks_report = true;
		else if (report->count > 0 && now_us <= report->reported_us + REPORT_MAX_AGE_US) {
			count = snapshot_report_count(candidates, count, report);
			n_reporting++;
		}
	}
	if (lacks_report && candidates[0].n_groups == n_reporting)
		return fallback;
	for (unsigned int i = 1; i < count; i++)
		if (candidates[i].n_groups > best->n_groups ||
		    (candidates[i].n_groups == best->n_groups &&
		     candidates[i].version > best->version))
			best = &candidates[i];
	return best->version;
}

static gboolean snapshot_report_is_old(gpointer key, gpointer value, gpointer now_us)
{
	const struct snapshot_report *report = value;

	return *(const uint64_t *)now_us > report->reported_us + PRUNE_AGE_US;
}

void snapshot_table_prune(struct snapshot_table *table, uint64_t now_us)
{
	g_hash_table_foreach_remove(table->reports, snapshot_report_is_old, &now_us);
}

bool snapshot_should_restart(uint64_t pinned, uint64_t picked, unsigned int gone_count,
			     uint64_t elapsed_us, uint64_t remaining_us, unsigned int restarts)
{
	return restarts == 0 && gone_count > 0 && picked != pinned && remaining_us > elapsed_us;
}
