#include "kernel.h"

#include <string.h>

/*
 * Largest number of messages delivered in one iteration of the event loop, so that a burst of
 * messages does not keep the sockets from being served.
 */
#define BATCH_MESSAGES_MAX 256

struct kernel {
	struct event_base *base;
	struct event *deliver_event; /* active while the queue is not empty */
	struct list_head queue;
	GPtrArray *services; /* in order of registration */
	GHashTable *services_by_name; /* name -> struct service, borrowed */
	struct counters counters;
	GRand *rand;
};

static void messages_deliver(evutil_socket_t fd, short what, void *arg)
{
	struct kernel *k = arg;
	struct list_head *node;

	for (int i = 0; i < BATCH_MESSAGES_MAX && (node = list_pop_head(&k->queue)); i++) {
		struct message *m = list_entry(node, struct message, node);

		m->to->ops->receive(m->to, m);
	}
	if (!list_is_empty(&k->queue))
		event_active(k->deliver_event, 0, 0);
}

struct kernel *kernel_create(struct event_base *base)
{
	struct kernel *k = g_new0(struct kernel, 1);

	k->base = base;
	k->deliver_event = event_new(base, -1, 0, messages_deliver, k);
	list_init(&k->queue);
	k->services = g_ptr_array_new();
	k->services_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	k->rand = g_rand_new();
	return k;
}

void kernel_destroy(struct kernel *k)
{
	struct list_head *node;

	if (!k)
		return;
	while ((node = list_pop_head(&k->queue)))
		message_destroy(list_entry(node, struct message, node));
	for (guint i = k->services->len; i > 0; i--) {
		struct service *s = g_ptr_array_index(k->services, i - 1);

		s->ops->destroy(s);
	}
	while ((node = list_pop_head(&k->queue)))
		message_destroy(list_entry(node, struct message, node));
	g_ptr_array_free(k->services, TRUE);
	g_hash_table_destroy(k->services_by_name);
	g_rand_free(k->rand);
	event_free(k->deliver_event);
	g_free(k);
}

struct event_base *kernel_base(struct kernel *k)
{
	return k->base;
}

struct counters *kernel_counters(struct kernel *k)
{
	return &k->counters;
}

GRand *kernel_rand(struct kernel *k)
{
	return k->rand;
}

void kernel_service_add(struct kernel *k, struct service *s)
{
	s->kernel = k;
	g_ptr_array_add(k->services, s);
	g_hash_table_insert(k->services_by_name, (gpointer)s->ops->name, s);
}

struct service *kernel_service_find(struct kernel *k, const char *name)
{
	return g_hash_table_lookup(k->services_by_name, name);
}

gboolean kernel_services_start(struct kernel *k, GError **error)
{
	for (guint i = 0; i < k->services->len; i++) {
		struct service *s = g_ptr_array_index(k->services, i);

		if (s->ops->start && !s->ops->start(s, error))
			return FALSE;
	}
	return TRUE;
}

void kernel_message_send(struct kernel *k, struct service *to, struct message *m)
{
	bool was_empty = list_is_empty(&k->queue);

	if (!to) {
		message_destroy(m);
		return;
	}
	m->to = to;
	list_add_tail(&m->node, &k->queue);
	if (was_empty)
		event_active(k->deliver_event, 0, 0);
}

void message_destroy(struct message *m)
{
	if (m->destroy)
		m->destroy(m);
	else
		g_free(m);
}
