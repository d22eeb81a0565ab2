/*
 * Micro-kernel: services with names, and messages between them.
 *
 * A service is a task on one event loop: it owns its sockets and state, and other services reach
 * it only by messages. Messages are delivered in the order of sending, never from inside the
 * sender's call. The kernel owns registered services and messages in the queue.
 */
#ifndef APRICOT_KERNEL_H
#define APRICOT_KERNEL_H

#include "counter.h"
#include "list.h"

#include <event2/event.h>
#include <glib.h>

G_BEGIN_DECLS

struct kernel;
struct service;
struct message;

struct service_ops {
	const char *name;
	/* All services are registered when start runs; false with an error ends the daemon. */
	gboolean (*start)(struct service *s, GError **error);
	/* Takes over the message. */
	void (*receive)(struct service *s, struct message *m);
	void (*destroy)(struct service *s);
};

/* First member of each service's own struct. */
struct service {
	const struct service_ops *ops;
	struct kernel *kernel;
};

/* First member of each message's own struct; kinds are listed in message.h. */
struct message {
	struct list_head node;
	int kind;
	struct service *to;
	void (*destroy)(struct message *m);
};

struct kernel *kernel_create(struct event_base *base);
/* Destroys queued messages, then services in reverse order of registration. */
void kernel_destroy(struct kernel *k);

struct event_base *kernel_base(struct kernel *k);
struct counters *kernel_counters(struct kernel *k);
GRand *kernel_rand(struct kernel *k);

/* Takes over the service, which stays valid until kernel_destroy. */
void kernel_service_add(struct kernel *k, struct service *s);
/* NULL when no service has the name. */
struct service *kernel_service_find(struct kernel *k, const char *name);
gboolean kernel_services_start(struct kernel *k, GError **error);

/*
 * Takes over the message. to is NULL when the service that would take it does not run in this
 * process: the message is destroyed.
 */
void kernel_message_send(struct kernel *k, struct service *to, struct message *m);
void message_destroy(struct message *m);

G_END_DECLS

#endif
