/*
 * Queue of calls with priority classes and a share for each caller (client of the system). The
 * queue is intrusive: its user owns the items, and no operation after classq_create() allocates.
 */
#ifndef APRICOT_CLASSQ_H
#define APRICOT_CLASSQ_H

#include "list.h"
#include "result.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define CLASSQ_CLASSES 8

struct classq;
struct classq_caller;

/*
 * Before the first push the user zeroes the item, then sets priority, deadline_us and caller; node
 * may also be initialised with list_init().
 */
struct classq_item {
	struct list_head node;
	unsigned int priority; /* the class: 0 is served first, values above 7 count as 7 */
	uint64_t deadline_us;
	const char *caller; /* must stay valid while the item is queued; NULL counts as "" */
	/* Set by the queue. Its users may read only pushed_us. */
	struct list_head caller_node;
	struct classq_caller *caller_entry; /* NULL unless queued */
	uint64_t pushed_us;
};

/* The caller owns the queue. Destroying it doesn't touch the items that are still queued. */
struct classq *classq_create(unsigned int max_items);
void classq_destroy(struct classq *q);

/*
 * Returns RESULT_OK if the item was queued. Otherwise it was not queued:
 * - RESULT_DEADLINE: its deadline has passed.
 * - RESULT_CALLER_LIMIT: its caller already has its share of the queue, which is 1/4 while other
 *   callers have items in the queue, else 3/4.
 * - RESULT_OVERLOADED: the queue is full.
 * Rather than be refused, an item displaces the newest item of the lowest class below its own. At
 * the caller's limit that is an item of its own caller. In a full queue it is an item of any
 * caller, but of a class that holds more than 1/8 of the queue; an item whose class holds less than
 * 1/8 may also displace one of a higher class. Displaced items count as dropped.
 */
enum result classq_push(struct classq *q, struct classq_item *item, uint64_t now_us);

/*
 * Removes and returns the next item, or returns NULL if there is none. Displaced items, and items
 * that would end after their deadline if started now, are appended to dropped, linked by node; the
 * queue's user must answer them as not run.
 *
 * service_us is the expected service time. With the median, half of the items that only just meet
 * their deadline end late. A higher quantile needs an upper bound, such as twice the median, or a
 * slow group would drop every item.
 */
struct classq_item *classq_pop(struct classq *q, uint64_t service_us, uint64_t now_us,
			       struct list_head *dropped);

/*
 * Moves the items displaced since the last pop or call of this function to the end of dropped, so
 * that they can be answered before the next pop.
 */
void classq_take_displaced(struct classq *q, struct list_head *dropped);

/* Removes an item from the queue or from a list of dropped items; no effect if it is in neither. */
void classq_remove(struct classq *q, struct classq_item *item);

/* How long the oldest item of the highest class in use has waited; 0 for an empty queue. */
uint64_t classq_waited_us(const struct classq *q, uint64_t now_us);

/* Queued items, without the displaced ones. */
unsigned int classq_count(const struct classq *q);

G_END_DECLS

#endif
