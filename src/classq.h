/* Queue of calls by class. Intrusive: the caller owns the items, and no operation allocates. */
#ifndef APRICOT_CLASSQ_H
#define APRICOT_CLASSQ_H

#include "list.h"
#include "result.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define CLASSQ_PRIORITIES 8

struct classq;
struct classq_caller;

/* Zeroed, then node, priority, deadline and caller are set, before the first push. */
struct classq_item {
	struct list_head node;
	unsigned int priority; /* 0 is served first; above 7 counts as 7 */
	uint64_t deadline_us;
	const char *caller; /* stays valid while the item is queued; NULL counts as "" */
	/* Private to the queue. */
	struct list_head caller_node;
	struct classq_caller *share;
	uint64_t pushed_us;
};

/* Items that are still queued at destroy stay with the caller. */
struct classq *classq_create(unsigned int max_items);
void classq_destroy(struct classq *q);

/*
 * RESULT_OK: queued. Otherwise not queued: RESULT_DEADLINE (passed), RESULT_CALLER_LIMIT (the
 * caller has 1/4 of the queue while others wait, or 3/4 alone) or RESULT_OVERLOADED (full). Instead
 * of being refused, an item displaces the newest item of the lowest lower class: of its own caller
 * at the caller's limit, of any caller in a full queue. Displaced items are dropped items.
 */
enum result classq_push(struct classq *q, struct classq_item *item, uint64_t now_us);

/*
 * Next item, or NULL. Items that would end after their deadline when started now, and displaced
 * items, are appended to dropped, by node; the caller answers them as not run. service_us: expected
 * service time. The median lets half of the items at the edge of their deadline end late; a
 * quantile needs a bound (such as twice the median), or a slow group drops everything.
 */
struct classq_item *classq_pop(struct classq *q, uint64_t service_us, uint64_t now_us,
			       struct list_head *dropped);

/* Appends the items displaced since the last call or pop, for an answer before the next pop. */
void classq_take_displaced(struct classq *q, struct list_head *dropped);

/* Takes an item out of the queue or of a list of dropped items; harmless when it is in neither. */
void classq_remove(struct classq *q, struct classq_item *item);

/* How long the first item of the highest class has waited; 0 for an empty queue. */
uint64_t classq_waited_us(const struct classq *q, uint64_t now_us);

/* Items that wait, without displaced ones. */
unsigned int classq_count(const struct classq *q);

G_END_DECLS

#endif
