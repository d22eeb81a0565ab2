/* Intrusive doubly linked list. A list never owns its elements. */
#ifndef APRICOT_LIST_H
#define APRICOT_LIST_H

#include <stdbool.h>
#include <stddef.h>

struct list_head {
	struct list_head *next;
	struct list_head *prev;
};

#define list_entry(ptr, type, member) ((type *)((char *)(ptr)-offsetof(type, member)))

#define list_for_each(pos, head) for ((pos) = (head)->next; (pos) != (head); (pos) = (pos)->next)

/* pos may be removed inside the loop. */
#define list_for_each_safe(pos, n, head)                               \
	for ((pos) = (head)->next, (n) = (pos)->next; (pos) != (head); \
	     (pos) = (n), (n) = (pos)->next)

static inline void list_init(struct list_head *head)
{
	head->next = head;
	head->prev = head;
}

static inline bool list_is_empty(const struct list_head *head)
{
	return head->next == head;
}

static inline void list_add_tail(struct list_head *node, struct list_head *head)
{
	node->prev = head->prev;
	node->next = head;
	head->prev->next = node;
	head->prev = node;
}

/* Leaves the node initialised, so that a second removal is harmless. */
static inline void list_del(struct list_head *node)
{
	node->prev->next = node->next;
	node->next->prev = node->prev;
	list_init(node);
}

static inline struct list_head *list_pop_head(struct list_head *head)
{
	struct list_head *node = head->next;

	if (node == head)
		return NULL;
	/* The analyzer loses track of the neighbours' links after an earlier element was freed. */
	list_del(node); /* NOLINT(clang-analyzer-unix.Malloc) */
	return node;
}

#endif
