#include "classq.h"

#include <stdbool.h>

/* One pop in this many serves a lower class although items of a higher class wait. */
#define POPS_PER_LOWER_CLASS 8

/* A caller with at least one queued item. */
struct classq_caller {
	struct list_head node; /* in a bucket, or in the free list */
	struct list_head items[CLASSQ_CLASSES];
	unsigned int count;
	guint hash;
	const char *name; /* the string of one of its items */
};

struct classq {
	struct list_head classes[CLASSQ_CLASSES];
	unsigned int class_count[CLASSQ_CLASSES];
	struct list_head displaced;
	struct list_head free_callers;
	struct classq_caller *callers; /* max_items entries, since each has at least one item */
	struct list_head *buckets;
	unsigned int bucket_mask;
	unsigned int max_items;
	unsigned int count;
	unsigned int pops;
	unsigned int last_lower_class; /* served by the last pop reserved for lower classes */
};

struct classq *classq_create(unsigned int max_items)
{
	struct classq *q = g_new0(struct classq, 1);
	unsigned int buckets = 1;

	q->max_items = MAX(max_items, 1);
	while (buckets < q->max_items)
		buckets *= 2;
	q->bucket_mask = buckets - 1;
	q->buckets = g_new0(struct list_head, buckets);
	q->callers = g_new0(struct classq_caller, q->max_items);
	list_init(&q->displaced);
	list_init(&q->free_callers);
	for (unsigned int i = 0; i < buckets; i++)
		list_init(&q->buckets[i]);
	for (unsigned int i = 0; i < q->max_items; i++) {
		list_add_tail(&q->callers[i].node, &q->free_callers);
		for (unsigned int c = 0; c < CLASSQ_CLASSES; c++)
			list_init(&q->callers[i].items[c]);
	}
	for (unsigned int c = 0; c < CLASSQ_CLASSES; c++)
		list_init(&q->classes[c]);
	return q;
}

void classq_destroy(struct classq *q)
{
	if (!q)
		return;
	g_free(q->callers);
	g_free(q->buckets);
	g_free(q);
}

static const char *item_caller(const struct classq_item *item)
{
	return item->caller ? item->caller : "";
}

static unsigned int item_class(const struct classq_item *item)
{
	return MIN(item->priority, CLASSQ_CLASSES - 1);
}

static struct classq_caller *classq_caller_find(struct classq *q, const char *name, guint hash)
{
	struct list_head *pos;

	list_for_each (pos, &q->buckets[hash & q->bucket_mask]) {
		struct classq_caller *caller = list_entry(pos, struct classq_caller, node);

		if (caller->hash == hash && g_str_equal(caller->name, name))
			return caller;
	}
	return NULL;
}

static void classq_add(struct classq *q, struct classq_item *item, const char *name, guint hash)
{
	unsigned int class = item_class(item);
	struct classq_caller *caller = classq_caller_find(q, name, hash);

	if (!caller) {
		caller = list_entry(list_pop_head(&q->free_callers), struct classq_caller, node);
		caller->hash = hash;
		list_add_tail(&caller->node, &q->buckets[hash & q->bucket_mask]);
	}
	caller->name = name;
	caller->count++;
	item->caller_entry = caller;
	list_add_tail(&item->caller_node, &caller->items[class]);
	list_add_tail(&item->node, &q->classes[class]);
	q->class_count[class]++;
	q->count++;
}

/* Takes the name from another queued item: the item whose string it was has left the queue. */
static void classq_caller_name_replace(struct classq_caller *caller)
{
	for (unsigned int c = 0; c < CLASSQ_CLASSES; c++) {
		struct list_head *first = caller->items[c].next;

		if (!list_is_empty(&caller->items[c])) {
			caller->name =
				item_caller(list_entry(first, struct classq_item, caller_node));
			return;
		}
	}
}

void classq_remove(struct classq *q, struct classq_item *item)
{
	struct classq_caller *caller = item->caller_entry;

	if (item->node.next)
		list_del(&item->node);
	if (!caller)
		return;
	item->caller_entry = NULL;
	list_del(&item->caller_node);
	q->class_count[item_class(item)]--;
	q->count--;
	if (--caller->count == 0) {
		list_del(&caller->node);
		list_add_tail(&caller->node, &q->free_callers);
	} else if (caller->name == item_caller(item)) {
		classq_caller_name_replace(caller);
	}
}

/* Newest item of the caller in the lowest class below the given one, or NULL. */
static struct classq_item *classq_caller_victim_find(struct classq_caller *caller,
						     unsigned int class)
{
	for (unsigned int c = CLASSQ_CLASSES - 1; c > class; c--)
		if (!list_is_empty(&caller->items[c]))
			return list_entry(caller->items[c].prev, struct classq_item, caller_node);
	return NULL;
}

/*
 * Newest item of the lowest class below the given one, or NULL. 1/8 of the queue is guaranteed to
 * each class: a class that holds no more loses no item, and one that holds less may also displace
 * items of a higher class. Otherwise a higher class that keeps the queue full would starve the
 * lower ones: their items would be refused or displaced before any pop could serve them.
 */
static struct classq_item *classq_victim_find(struct classq *q, unsigned int class)
{
	unsigned int guaranteed = MAX(q->max_items / CLASSQ_CLASSES, 1);

	for (int c = CLASSQ_CLASSES - 1; c >= 0; c--) {
		if (c == (int)class || q->class_count[c] <= guaranteed)
			continue;
		if (c > (int)class || q->class_count[class] < guaranteed)
			return list_entry(q->classes[c].prev, struct classq_item, node);
	}
	return NULL;
}

enum result classq_push(struct classq *q, struct classq_item *item, uint64_t now_us)
{
	const char *name = item_caller(item);
	guint hash = g_str_hash(name);
	struct classq_caller *caller = classq_caller_find(q, name, hash);
	unsigned int caller_count = caller ? caller->count : 0;
	unsigned int quarter = q->max_items / 4;
	/* The only caller leaves 1/4 free, so that the next caller does not find a full queue. */
	unsigned int share = caller_count < q->count ? quarter : q->max_items - quarter;
	struct classq_item *victim = NULL;

	if (now_us >= item->deadline_us)
		return RESULT_DEADLINE;
	if (caller_count >= MAX(share, 1)) {
		victim = classq_caller_victim_find(caller, item_class(item));
		if (!victim)
			return RESULT_CALLER_LIMIT;
	} else if (q->count >= q->max_items) {
		victim = classq_victim_find(q, item_class(item));
		if (!victim)
			return RESULT_OVERLOADED;
	}
	if (victim) {
		classq_remove(q, victim);
		list_add_tail(&victim->node, &q->displaced);
	}
	item->pushed_us = now_us;
	classq_add(q, item, name, hash);
	return RESULT_OK;
}

/* The class to serve next, or CLASSQ_CLASSES if the queue is empty. */
static unsigned int classq_class_pick(struct classq *q)
{
	unsigned int highest = 0;

	while (highest < CLASSQ_CLASSES && list_is_empty(&q->classes[highest]))
		highest++;
	if (q->pops % POPS_PER_LOWER_CLASS != POPS_PER_LOWER_CLASS - 1 || highest == CLASSQ_CLASSES)
		return highest;
	/*
	 * The lower classes take turns, from the lowest up. If only the lowest were served here, a
	 * class between it and a busy higher class would starve.
	 */
	for (unsigned int i = 1; i <= CLASSQ_CLASSES; i++) {
		unsigned int c = (q->last_lower_class + CLASSQ_CLASSES - i) % CLASSQ_CLASSES;

		if (c > highest && !list_is_empty(&q->classes[c])) {
			q->last_lower_class = c;
			return c;
		}
	}
	return highest;
}

struct classq_item *classq_pop(struct classq *q, uint64_t service_us, uint64_t now_us,
			       struct list_head *dropped)
{
	unsigned int class;

	classq_take_displaced(q, dropped);
	while ((class = classq_class_pick(q)) < CLASSQ_CLASSES) {
		struct classq_item *item =
			list_entry(q->classes[class].next, struct classq_item, node);

		classq_remove(q, item);
		if (now_us + service_us <= item->deadline_us) {
			q->pops++;
			return item;
		}
		list_add_tail(&item->node, dropped);
	}
	return NULL;
}

void classq_take_displaced(struct classq *q, struct list_head *dropped)
{
	struct list_head *node;

	while ((node = list_pop_head(&q->displaced)))
		list_add_tail(node, dropped);
}

uint64_t classq_waited_us(const struct classq *q, uint64_t now_us)
{
	for (unsigned int c = 0; c < CLASSQ_CLASSES; c++) {
		if (!list_is_empty(&q->classes[c])) {
			uint64_t pushed_us =
				list_entry(q->classes[c].next, struct classq_item, node)->pushed_us;

			return now_us > pushed_us ? now_us - pushed_us : 0;
		}
	}
	return 0;
}

unsigned int classq_count(const struct classq *q)
{
	return q->count;
}
