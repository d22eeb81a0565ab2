#include "warmup.h"

#include "list.h"

struct warmups {
	const struct warmup_ops *ops;
	void *arg;
	struct list_head items;
	unsigned int n;
};

struct warmup {
	struct list_head node;
	struct leaf *leaf; /* holds a reference */
};

struct warmups *warmups_create(const struct warmup_ops *ops, void *arg)
{
	struct warmups *w = g_new0(struct warmups, 1);

	w->ops = ops;
	w->arg = arg;
	list_init(&w->items);
	return w;
}

static void warmup_remove(struct warmups *w, struct warmup *item)
{
	list_del(&item->node);
	w->n--;
	ratecap_lift(&item->leaf->warmup_cap);
	leaf_put(item->leaf);
	g_free(item);
}

void warmups_destroy(struct warmups *w)
{
	struct list_head *pos;
	struct list_head *next;

	if (!w)
		return;
	list_for_each_safe (pos, next, &w->items)
		warmup_remove(w, list_entry(pos, struct warmup, node));
	g_free(w);
}

static bool is_limited(const struct leaf *l, uint64_t now_us)
{
	return l->state != LEAF_GONE && now_us < l->warmup_until_us && l->warmup_calls_per_s > 0;
}

void warmups_note(struct warmups *w, struct leaf *leaf, double share, GRand *rand, uint64_t now_us)
{
	struct warmup *item;

	if (!is_limited(leaf, now_us))
		return;
	if (!leaf->warmup_cap.is_limited) {
		item = g_new0(struct warmup, 1);
		item->leaf = leaf_get(leaf);
		list_add_tail(&item->node, &w->items);
		w->n++;
		ratecap_limit(&leaf->warmup_cap, leaf->warmup_calls_per_s, share, rand, now_us);
		w->ops->changed(w->arg, leaf, true);
	} else {
		ratecap_limit(&leaf->warmup_cap, leaf->warmup_calls_per_s, share, rand, now_us);
	}
}

void warmups_advance(struct warmups *w, double share, GRand *rand, uint64_t now_us)
{
	struct list_head *pos;
	struct list_head *next;

	list_for_each_safe (pos, next, &w->items) {
		struct warmup *item = list_entry(pos, struct warmup, node);
		struct leaf *leaf = item->leaf;

		if (is_limited(leaf, now_us)) {
			ratecap_limit(&leaf->warmup_cap, leaf->warmup_calls_per_s, share, rand,
				      now_us);
			continue;
		}
		w->ops->changed(w->arg, leaf, false);
		warmup_remove(w, item);
	}
}

unsigned int warmups_count(const struct warmups *w)
{
	return w->n;
}
