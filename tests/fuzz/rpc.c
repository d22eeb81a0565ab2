/*
 * RPC: record marking, calls of all procedures, their replies and datagrams. The first byte of the
 * input modulo 3 selects calls (0), replies (1) or datagrams (2). Only datagrams use sockets. The
 * second byte is the length of the pieces in which a stream arrives; 0 means in one piece.
 */
#include "../../src/rpc.c"

#include "fuzz.h"
#include "procedure.h"

#include <unistd.h>

static const struct types {
	uint32_t number;
	xdrproc_t result_xdr;
	size_t result_bytes;
} types[] = {
#define X(number, args, result, service, by_datagram) \
	{number, (xdrproc_t)xdr_##result, sizeof(result)},
	PROCEDURE_LIST(X)
#undef X
};

/* A decoded value must be encodable, since services pass such values on. */
static void encode_check(xdrproc_t xdr, void *value)
{
	size_t n_bytes = xdr_sizeof(xdr, value);
	char *bytes = g_malloc(n_bytes + 1);
	XDR xdrs;

	xdrmem_create(&xdrs, bytes, n_bytes, XDR_ENCODE);
	FUZZ_CHECK(xdr(&xdrs, value) && xdr_getpos(&xdrs) == n_bytes);
	g_free(bytes);
}

#define X(number, args, result, service, by_datagram)                          \
	static void serve_##number(void *arg, struct rpc_call *call, void *in) \
	{                                                                      \
		apr_empty reply = {0};                                         \
                                                                               \
		encode_check((xdrproc_t)xdr_##args, in);                       \
		rpc_call_reply(call, (xdrproc_t)xdr_apr_empty, &reply);        \
	}                                                                      \
	static void datagram_##number(void *arg, void *in)                     \
	{                                                                      \
		encode_check((xdrproc_t)xdr_##args, in);                       \
	}
PROCEDURE_LIST(X)
#undef X

static const struct rpc_procedure procedures[] = {
#define X(number, args, result, service, by_datagram) \
	{number, (xdrproc_t)xdr_##args, sizeof(args), serve_##number, datagram_##number},
	PROCEDURE_LIST(X)
#undef X
};

static struct counters counters;
static unsigned int n_done;

static void call_done(void *arg, enum rpc_status status, void *result)
{
	n_done++;
	FUZZ_CHECK((status == RPC_STATUS_DONE) == (result != NULL));
	if (result)
		encode_check(((const struct types *)arg)->result_xdr, result);
}

static struct event_base *base_get(void)
{
	static struct event_base *base;

	if (!base)
		base = event_base_new();
	return base;
}

static struct rpc_endpoint *endpoint_create(void)
{
	struct rpc_endpoint *e = g_new0(struct rpc_endpoint, 1);

	e->base = base_get();
	e->program = APRICOT_PROGRAM;
	e->version = APRICOT_VERSION;
	e->procedures = procedures;
	e->n_procedures = G_N_ELEMENTS(procedures);
	e->counters = &counters;
	e->udp = -1;
	list_init(&e->server_conns);
	e->client_conns = g_hash_table_new(g_str_hash, g_str_equal);
	return e;
}

static void server_feed(struct rpc_endpoint *e, const uint8_t *data, size_t size, size_t piece)
{
	struct rpc_server_conn *conn;

	server_accept(NULL, -1, NULL, 0, e);
	conn = list_entry(e->server_conns.next, struct rpc_server_conn, node);
	evbuffer_unfreeze(bufferevent_get_input(conn->bev), 0);
	for (size_t at = 0; at < size && !list_is_empty(&e->server_conns); at += piece) {
		evbuffer_add(bufferevent_get_input(conn->bev), data + at, MIN(piece, size - at));
		server_records_read(conn->bev, conn);
	}
}

/*
 * Calls each procedure once, with transaction ids that count up from 1, then feeds the input as
 * their replies.
 */
static void client_feed(struct rpc_endpoint *e, const uint8_t *data, size_t size, size_t piece)
{
	struct rpc_client_conn *conn = g_new0(struct rpc_client_conn, 1);
	apr_empty none = {0};

	conn->endpoint = e;
	conn->address = g_strdup("127.0.0.1:1");
	conn->record = g_byte_array_new();
	conn->is_open = true;
	list_init(&conn->unsent);
	conn->sent = g_hash_table_new(NULL, NULL);
	conn->bev = bufferevent_socket_new(e->base, -1, BEV_OPT_DEFER_CALLBACKS);
	evbuffer_unfreeze(bufferevent_get_input(conn->bev), 0);
	g_hash_table_insert(e->client_conns, conn->address, conn);
	n_done = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(types); i++)
		rpc_endpoint_call(e, conn->address, types[i].number, (xdrproc_t)xdr_apr_empty,
				  &none, types[i].result_xdr, types[i].result_bytes, 1000000,
				  call_done, (void *)&types[i]);
	for (size_t at = 0; at < size && g_hash_table_size(e->client_conns) > 0; at += piece) {
		evbuffer_add(bufferevent_get_input(conn->bev), data + at, MIN(piece, size - at));
		client_records_read(conn->bev, conn);
	}
}

static void datagram_feed(struct rpc_endpoint *e, const uint8_t *data, size_t size)
{
	int ends[2];

	FUZZ_CHECK(socketpair(AF_UNIX, SOCK_DGRAM, 0, ends) == 0);
	if (write(ends[0], data, size) >= 0)
		datagrams_read(ends[1], EV_READ, e);
	close(ends[0]);
	close(ends[1]);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct rpc_endpoint *e;
	size_t piece;

	if (size < 3)
		return 0;
	e = endpoint_create();
	piece = data[1] ? data[1] : size;
	if (data[0] % 3 == 0)
		server_feed(e, data + 2, size - 2, piece);
	else if (data[0] % 3 == 1)
		client_feed(e, data + 2, size - 2, piece);
	else
		datagram_feed(e, data + 2, size - 2);
	rpc_endpoint_destroy(e);
	if (data[0] % 3 == 1)
		FUZZ_CHECK(n_done == G_N_ELEMENTS(types));
	/* Runs deferred callbacks, which hold the last references to buffer events. */
	event_base_loop(base_get(), EVLOOP_NONBLOCK);
	return 0;
}
