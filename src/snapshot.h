/* Which index version a search pins. */
#ifndef APRICOT_SNAPSHOT_H
#define APRICOT_SNAPSHOT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* The newest versions that each group has reported. */
struct snapshot_book;

struct snapshot_book *snapshot_book_create(void);
void snapshot_book_destroy(struct snapshot_book *book);

/*
 * Replaces the group's report. versions in any order; the 8 newest are kept. n = 0: no replica of
 * the group is usable. Allocates only for a group that is not in the book.
 */
void snapshot_book_report(struct snapshot_book *book, const char *group_id,
			  const uint64_t *versions, unsigned int n, uint64_t now_us);

/*
 * Newest version that all groups serve. Reports older than 10 s and empty reports have no say,
 * since waiting for such a group would hold back all others. When no version is served by all, the
 * one served by most, the newest of these. The fallback (the manifest's version) is returned
 * without any report, and while a group has never reported unless a reporting group lacks the
 * fallback. Takes one look-up per group; call once per search.
 */
uint64_t snapshot_book_pick(const struct snapshot_book *book, const char *const *group_ids,
			    unsigned int n, uint64_t fallback, uint64_t now_us);

/* Forgets the groups without a report for an hour. */
void snapshot_book_prune(struct snapshot_book *book, uint64_t now_us);

/*
 * Whether a search starts again on another version: once, when a leaf no longer serves the pinned
 * one, the book picks another (newest) and more than half of the time is left.
 */
bool snapshot_should_restart(uint64_t pinned, uint64_t newest, unsigned int gone_count,
			     uint64_t elapsed_us, uint64_t remaining_us, unsigned int restarts);

G_END_DECLS

#endif
