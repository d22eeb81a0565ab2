/*
 * Micro-kernel: runs named services on one event loop and delivers the messages between them. A
 * service is a module of this process here, not the service that a caller's request names.
 *
 * A service owns its sockets and its state, and other services reach it only by messages. Messages
 * are queued and delivered in the order in which they were sent; kernel_message_send never calls
 * the receiver. The kernel owns the registered services and the queued messages.
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
	/*
	 * Runs after all services are registered; may be NULL. FALSE with an error makes
	 * kernel_services_start fail.
	 */
	gboolean (*start)(struct service *s, GError **error);
	/* Handles one message and takes it over. */
	void (*receive)(struct service *s, struct message *m);
	void (*destroy)(struct service *s);
};

/* First member of each service's own struct. */
struct service {
	const struct service_ops *ops;
	struct kernel *kernel;
};

/* First member of each message's own struct. */
struct message {
	struct list_head node;
	int kind; /* enum message_kind of message.h */
	struct service *to; /* the receiver, set by kernel_message_send; borrowed */
	void (*destroy)(struct message *m); /* NULL: g_free */
};

/* The event loop is borrowed and must outlive the kernel. */
struct kernel *kernel_create(struct event_base *base);
/*
 * Destroys the queued messages, then the services in reverse order of registration, then the
 * messages that the services sent while being destroyed. Accepts NULL.
 */
void kernel_destroy(struct kernel *k);

/* The event loop, the counters and the random generator that all services share; borrowed. */
struct event_base *kernel_base(struct kernel *k);
struct counters *kernel_counters(struct kernel *k);
GRand *kernel_rand(struct kernel *k);

/*
 * Registers the service under ops->name and takes it over; it stays valid until kernel_destroy.
 */
void kernel_service_add(struct kernel *k, struct service *s);
/* The service (borrowed), or NULL when no service has the name. */
struct service *kernel_service_find(struct kernel *k, const char *name);
/*
 * Starts the services in order of registration; stops with FALSE and an error at the first that
 * fails.
 */
gboolean kernel_services_start(struct kernel *k, GError **error);

/*
 * Queues the message for the service and takes it over. When to is NULL, because the service does
 * not run in this process, the message is destroyed.
 */
void kernel_message_send(struct kernel *k, struct service *to, struct message *m);
/* Frees the message and what it owns. */
void message_destroy(struct message *m);

G_END_DECLS

#endif
