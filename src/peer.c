#include "peer.h"

#include "message.h"
#include "procedure.h"
#include "rpc.h"

#include <string.h>

struct peer {
	struct service service;
	struct rpc_endpoint *endpoint;
	char *address;
	GHashTable *served; /* tag -> struct rpc_call: calls of other VMs without a reply yet */
	uint64_t last_tag;
};

/* Where the reply to one call to another VM goes. */
struct reply_target {
	struct peer *peer;
	struct service *reply_to;
	uint64_t tag;
	uint32_t procedure;
};

static const struct peer_procedure {
	uint32_t number;
	const char *service;
	xdrproc_t args_xdr;
	size_t args_bytes;
	xdrproc_t result_xdr;
	size_t result_bytes;
	bool by_datagram;
} peer_procedures[] = {
#define X(number, args, result, service, by_datagram)                                              \
	{number,	 service,    (xdrproc_t)xdr_##args, sizeof(args), (xdrproc_t)xdr_##result, \
	 sizeof(result), by_datagram},
	PROCEDURE_LIST(X)
#undef X
};

static const struct peer_procedure *peer_procedure_find(uint32_t number)
{
	for (size_t i = 0; i < G_N_ELEMENTS(peer_procedures); i++)
		if (peer_procedures[i].number == number)
			return &peer_procedures[i];
	g_assert_not_reached();
}

/* Moves the content to a new struct and zeroes the old one, so that the endpoint frees nothing. */
static void *contents_take(void *from, size_t n_bytes)
{
	void *to = g_memdup2(from, n_bytes);

	memset(from, 0, n_bytes);
	return to;
}

/* Sends another VM's call, or datagram if call is NULL, to the service that serves it. */
static void inbound_send(struct peer *p, const struct peer_procedure *procedure, void *args,
			 struct rpc_call *call)
{
	struct service *to = kernel_service_find(p->service.kernel, procedure->service);
	struct peer_call *message = peer_call_create(procedure->number, NULL,
						     contents_take(args, procedure->args_bytes), 0);

	if (call) {
		message->reply_to = &p->service;
		message->tag = ++p->last_tag;
		g_hash_table_insert(p->served, (gpointer)(guintptr)message->tag, call);
	}
	kernel_message_send(p->service.kernel, to, &message->message);
}

#define X(number, args, result, service, by_datagram)                                        \
	G_GNUC_UNUSED static void serve_##number(void *arg, struct rpc_call *call, void *in) \
	{                                                                                    \
		inbound_send(arg, peer_procedure_find(number), in, call);                    \
	}                                                                                    \
	G_GNUC_UNUSED static void datagram_##number(void *arg, void *in)                     \
	{                                                                                    \
		inbound_send(arg, peer_procedure_find(number), in, NULL);                    \
	}
PROCEDURE_LIST(X)
#undef X

static const struct rpc_procedure rpc_procedures[] = {
#define X(number, args, result, service, by_datagram)                                        \
	{number, (xdrproc_t)xdr_##args, sizeof(args), (by_datagram) ? NULL : serve_##number, \
	 (by_datagram) ? datagram_##number : NULL},
	PROCEDURE_LIST(X)
#undef X
};

static void peer_call_done(void *arg, enum rpc_status status, void *result)
{
	struct reply_target *target = arg;
	const struct peer_procedure *procedure = peer_procedure_find(target->procedure);
	struct peer_reply *reply;

	if (target->reply_to) {
		reply = peer_reply_create(target->tag, target->procedure, (enum peer_status)status,
					  result ? contents_take(result, procedure->result_bytes)
						 : NULL);
		kernel_message_send(target->peer->service.kernel, target->reply_to,
				    &reply->message);
	}
	g_free(target);
}

/* Sends a service's call to another VM. */
static void outbound_send(struct peer *p, struct peer_call *call)
{
	const struct peer_procedure *procedure = peer_procedure_find(call->procedure);
	struct reply_target *target;

	if (procedure->by_datagram) {
		rpc_endpoint_datagram(p->endpoint, call->address, call->procedure,
				      procedure->args_xdr, call->args);
		return;
	}
	target = g_new0(struct reply_target, 1);
	target->peer = p;
	target->reply_to = call->reply_to;
	target->tag = call->tag;
	target->procedure = call->procedure;
	rpc_endpoint_call(p->endpoint, call->address, call->procedure, procedure->args_xdr,
			  call->args, procedure->result_xdr, procedure->result_bytes,
			  call->timeout_us, peer_call_done, target);
}

/* Answers a call from another VM with the reply of the service that served it. */
static void reply_send(struct peer *p, struct peer_reply *reply)
{
	struct rpc_call *call = g_hash_table_lookup(p->served, (gpointer)(guintptr)reply->tag);

	if (!call)
		return;
	g_hash_table_remove(p->served, (gpointer)(guintptr)reply->tag);
	rpc_call_reply(call, peer_procedure_find(reply->procedure)->result_xdr, reply->result);
}

static void peer_receive(struct service *s, struct message *m)
{
	struct peer *p = (struct peer *)s;

	switch ((enum message_kind)m->kind) {
	case MESSAGE_PEER_CALL: {
		struct peer_call *call = (struct peer_call *)m;

		if (strcmp(call->address, p->address) == 0) {
			const char *name = peer_procedure_find(call->procedure)->service;

			kernel_message_send(s->kernel, kernel_service_find(s->kernel, name), m);
			return;
		}
		outbound_send(p, call);
		break;
	}
	case MESSAGE_PEER_REPLY:
		reply_send(p, (struct peer_reply *)m);
		break;
	default:
		break;
	}
	message_destroy(m);
}

static void peer_destroy(struct service *s)
{
	struct peer *p = (struct peer *)s;
	GHashTableIter iter;
	gpointer call;

	if (p->endpoint) {
		g_hash_table_iter_init(&iter, p->served);
		while (g_hash_table_iter_next(&iter, NULL, &call))
			rpc_call_abandon(call);
	}
	rpc_endpoint_destroy(p->endpoint);
	g_hash_table_destroy(p->served);
	g_free(p->address);
	g_free(p);
}

struct service *peer_create(struct kernel *k, const char *rpc_address, GError **error)
{
	static const struct service_ops ops = {
		.name = "peer",
		.receive = peer_receive,
		.destroy = peer_destroy,
	};
	struct peer *p = g_new0(struct peer, 1);

	p->service.ops = &ops;
	p->address = g_strdup(rpc_address);
	p->served = g_hash_table_new(NULL, NULL);
	p->endpoint = rpc_endpoint_create(
		kernel_base(k), rpc_address, APRICOT_PROGRAM, APRICOT_VERSION, rpc_procedures,
		G_N_ELEMENTS(rpc_procedures), p, kernel_counters(k), error);
	if (!p->endpoint) {
		peer_destroy(&p->service);
		return NULL;
	}
	return &p->service;
}
