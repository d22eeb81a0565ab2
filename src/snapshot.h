/* Chooses the index version that a search is pinned to. */
#ifndef APRICOT_SNAPSHOT_H
#define APRICOT_SNAPSHOT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* The newest index versions of each group's last report. */
struct snapshot_table;

/* The calling function owns the result. Destroy accepts NULL. */
struct snapshot_table *snapshot_table_create(void);
void snapshot_table_destroy(struct snapshot_table *table);

/*
 * Replaces the group's report. The n versions may be in any order; the 8 newest are kept. n = 0
 * means that no replica of the group is usable. Allocates only for a group without an earlier
 * report.
 */
void snapshot_table_report(struct snapshot_table *table, const char *group_id,
			   const uint64_t *versions, unsigned int n, uint64_t now_us);

/*
 * Returns the newest version that all groups serve; if there is none, the one that the most
 * groups serve, and of several such versions the newest. Empty reports and reports older than 10 s
 * are ignored, since waiting for such a group would hold back all others. The fallback (the
 * manifest's version) is returned if no report counts. While some group has never reported, the
 * fallback is also returned, unless a group whose report counts does not serve it. Takes one
 * look-up per group; to be called once per search.
 */
uint64_t snapshot_table_version_pick(const struct snapshot_table *table,
				     const char *const *group_ids, unsigned int n,
				     uint64_t fallback, uint64_t now_us);

/* Removes the groups that have not reported for an hour. */
void snapshot_table_prune(struct snapshot_table *table, uint64_t now_us);

/*
 * Whether a search starts again on another version. A search does so at most once, and only if a
 * leaf no longer serves the pinned version, snapshot_table_version_pick() now returns another one
 * (picked) and more than half of the search's time is left. gone_count: see gather_gone_count();
 * restarts: how often the search has started again.
 */
bool snapshot_should_restart(uint64_t pinned, uint64_t picked, unsigned int gone_count,
			     uint64_t elapsed_us, uint64_t remaining_us, unsigned int restarts);

G_END_DECLS

#endif
