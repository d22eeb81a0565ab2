#include "rpc.h"

#include "list.h"
#include "result.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <string.h>

#define LAST_FRAGMENT 0x80000000u /* bit of a record mark */
#define RECORD_BYTES_MAX (16u << 20)
#define HEADER_BYTES_MAX 256u /* bound on the record mark and the RPC header of a message */
#define DATAGRAM_BYTES_MAX 65000u
/*
 * A connection attempt that takes longer is abandoned, and the next call starts another. The other
 * machine may have had no power when the SYN was sent, and the kernel repeats a SYN only after 1 s.
 * The limit is ten round trips between two data centres of a region.
 */
#define CONNECT_TIMEOUT_US 250000
/*
 * After this many timeouts with no answer in between, the connection is considered dead. The next
 * call opens another.
 */
#define TIMEOUTS_MAX 3

struct rpc_endpoint {
	struct event_base *base;
	struct evconnlistener *listener;
	struct event *udp_event;
	evutil_socket_t udp;
	uint32_t program;
	uint32_t version;
	const struct rpc_procedure *procedures;
	unsigned int n_procedures;
	void *arg;
	struct counters *counters;
	struct list_head server_conns; /* struct rpc_server_conn that are open */
	GHashTable *client_conns; /* address -> struct rpc_client_conn */
	uint32_t last_xid;
};

struct rpc_server_conn {
	struct list_head node;
	struct rpc_endpoint *endpoint;
	struct bufferevent *bev; /* NULL once closed */
	GByteArray *record; /* fragments of the incoming record so far */
	grefcount refs; /* one for the open connection, one for each call being served */
};

struct rpc_call {
	struct rpc_server_conn *conn;
	uint32_t xid;
};

struct rpc_client_conn {
	struct rpc_endpoint *endpoint;
	char *address;
	struct bufferevent *bev;
	struct event *connect_timer;
	bool is_open;
	unsigned int timeouts; /* calls timed out since the last answer */
	GByteArray *record; /* fragments of the incoming record so far */
	struct list_head unsent; /* struct rpc_pending that wait for the connection to open */
	GHashTable *sent; /* xid -> struct rpc_pending */
};

/* A call to another endpoint that has not ended. */
struct rpc_pending {
	struct list_head node;
	struct rpc_client_conn *conn;
	uint32_t xid;
	uint8_t *bytes; /* the encoded call until it is written, then NULL */
	uint32_t n_bytes;
	xdrproc_t result_xdr;
	size_t result_bytes;
	struct event *timer;
	rpc_done_fn *done;
	void *done_arg;
};

static void client_conn_fail(struct rpc_client_conn *conn);

/*
 * Encodes a call as one record: record mark, RPC header, arguments. The calling function frees the
 * bytes. NULL when the arguments cannot be encoded.
 */
static uint8_t *record_encode_call(const struct rpc_endpoint *e, uint32_t xid, uint32_t procedure,
				   xdrproc_t args_xdr, void *args, uint32_t *n_bytes)
{
	size_t size = HEADER_BYTES_MAX + xdr_sizeof(args_xdr, args);
	uint8_t *bytes = g_malloc(size);
	struct rpc_msg msg = {.rm_xid = xid, .rm_direction = CALL};
	uint32_t mark;
	XDR xdrs;

	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = e->program;
	msg.rm_call.cb_vers = e->version;
	msg.rm_call.cb_proc = procedure;
	msg.rm_call.cb_cred = _null_auth;
	msg.rm_call.cb_verf = _null_auth;
	xdrmem_create(&xdrs, (char *)bytes + sizeof(mark), size - sizeof(mark), XDR_ENCODE);
	if (!xdr_callmsg(&xdrs, &msg) || !args_xdr(&xdrs, args)) {
		g_free(bytes);
		return NULL;
	}
	*n_bytes = xdr_getpos(&xdrs);
	mark = htonl(LAST_FRAGMENT | *n_bytes);
	memcpy(bytes, &mark, sizeof(mark));
	*n_bytes += sizeof(mark);
	return bytes;
}

static const struct rpc_procedure *procedure_find(const struct rpc_endpoint *e, uint32_t number)
{
	for (unsigned int i = 0; i < e->n_procedures; i++)
		if (e->procedures[i].number == number)
			return &e->procedures[i];
	return NULL;
}

static void server_conn_put(struct rpc_server_conn *conn)
{
	if (!g_ref_count_dec(&conn->refs))
		return;
	g_byte_array_free(conn->record, TRUE);
	g_free(conn);
}

static void server_conn_close(struct rpc_server_conn *conn)
{
	if (!conn->bev)
		return;
	bufferevent_free(conn->bev);
	conn->bev = NULL;
	list_del(&conn->node);
	server_conn_put(conn);
}

/* Encodes the result of an answer that has none. */
static bool_t result_encode_nothing(XDR *xdrs, ...)
{
	return TRUE;
}

static void reply_write(struct rpc_server_conn *conn, uint32_t xid, enum accept_stat status,
			xdrproc_t result_xdr, void *result)
{
	size_t size = HEADER_BYTES_MAX + (result ? xdr_sizeof(result_xdr, result) : 0);
	uint8_t *bytes = NULL;
	struct rpc_msg msg = {.rm_xid = xid, .rm_direction = REPLY};
	uint32_t mark;
	XDR xdrs;

	if (!conn->bev)
		return;
	bytes = g_malloc(size);
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_verf = _null_auth;
	msg.acpted_rply.ar_stat = status;
	msg.acpted_rply.ar_results.where = result;
	msg.acpted_rply.ar_results.proc = result_xdr;
	if (status == PROG_MISMATCH) {
		msg.acpted_rply.ar_vers.low = conn->endpoint->version;
		msg.acpted_rply.ar_vers.high = conn->endpoint->version;
	}
	xdrmem_create(&xdrs, (char *)bytes + sizeof(mark), size - sizeof(mark), XDR_ENCODE);
	if (xdr_replymsg(&xdrs, &msg)) {
		uint32_t n = xdr_getpos(&xdrs);

		mark = htonl(LAST_FRAGMENT | n);
		memcpy(bytes, &mark, sizeof(mark));
		bufferevent_write(conn->bev, bytes, n + sizeof(mark));
		counter_add(conn->endpoint->counters, COUNTER_RPC_BYTES_SENT, n + sizeof(mark));
	}
	g_free(bytes);
}

void rpc_call_reply(struct rpc_call *call, xdrproc_t result_xdr, void *result)
{
	reply_write(call->conn, call->xid, SUCCESS, result_xdr, result);
	server_conn_put(call->conn);
	g_free(call);
}

void rpc_call_abandon(struct rpc_call *call)
{
	server_conn_put(call->conn);
	g_free(call);
}

/*
 * Decodes the header of a call. The bodies of credentials and verifier go to buffers that are never
 * read; without buffers XDR would allocate them.
 */
static bool call_header_decode(XDR *xdrs, struct rpc_msg *msg)
{
	static char cred[MAX_AUTH_BYTES];
	static char verf[MAX_AUTH_BYTES];

	memset(msg, 0, sizeof(*msg));
	msg->rm_call.cb_cred.oa_base = cred;
	msg->rm_call.cb_verf.oa_base = verf;
	return xdr_callmsg(xdrs, msg);
}

/* Handles one record that a client sent. False when the connection must be closed. */
static bool server_record_handle(struct rpc_server_conn *conn, uint8_t *bytes, size_t n_bytes)
{
	struct rpc_endpoint *e = conn->endpoint;
	const struct rpc_procedure *procedure;
	struct rpc_msg msg;
	struct rpc_call *call;
	void *args;
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)bytes, n_bytes, XDR_DECODE);
	if (!call_header_decode(&xdrs, &msg)) {
		counter_increment(e->counters, COUNTER_RPC_MALFORMED);
		return false;
	}
	if (msg.rm_call.cb_prog != e->program || msg.rm_call.cb_vers != e->version) {
		reply_write(conn, msg.rm_xid,
			    msg.rm_call.cb_prog != e->program ? PROG_UNAVAIL : PROG_MISMATCH,
			    result_encode_nothing, NULL);
		return true;
	}
	procedure = procedure_find(e, msg.rm_call.cb_proc);
	if (!procedure || !procedure->serve) {
		reply_write(conn, msg.rm_xid, msg.rm_call.cb_proc == 0 ? SUCCESS : PROC_UNAVAIL,
			    result_encode_nothing, NULL);
		return true;
	}
	args = g_malloc0(procedure->args_bytes);
	if (!procedure->args_xdr(&xdrs, args)) {
		counter_increment(e->counters, COUNTER_RPC_MALFORMED);
		xdr_free(procedure->args_xdr, args);
		g_free(args);
		reply_write(conn, msg.rm_xid, GARBAGE_ARGS, result_encode_nothing, NULL);
		return true;
	}
	counter_increment(e->counters, COUNTER_RPC_SERVED);
	call = g_new0(struct rpc_call, 1);
	call->conn = conn;
	call->xid = msg.rm_xid;
	g_ref_count_inc(&conn->refs);
	procedure->serve(e->arg, call, args);
	xdr_free(procedure->args_xdr, args);
	g_free(args);
	return true;
}

/*
 * Moves complete fragments from the buffer to record. Returns 1 when the record is complete, 0 when
 * more bytes are needed, -1 when the record exceeds RECORD_BYTES_MAX.
 */
static int record_read(struct evbuffer *in, GByteArray *record)
{
	for (;;) {
		uint32_t mark;
		uint32_t n;
		guint old_bytes = record->len;

		if (evbuffer_copyout(in, &mark, sizeof(mark)) < (ev_ssize_t)sizeof(mark))
			return 0;
		n = ntohl(mark) & ~LAST_FRAGMENT;
		if (n > RECORD_BYTES_MAX || old_bytes + n > RECORD_BYTES_MAX)
			return -1;
		if (evbuffer_get_length(in) < sizeof(mark) + n)
			return 0;
		evbuffer_drain(in, sizeof(mark));
		/* After an empty first fragment record->data is NULL. */
		if (n > 0) {
			g_byte_array_set_size(record, old_bytes + n);
			evbuffer_remove(in, record->data + old_bytes, n);
		}
		if (ntohl(mark) & LAST_FRAGMENT)
			return 1;
	}
}

static void server_records_read(struct bufferevent *bev, void *arg)
{
	struct rpc_server_conn *conn = arg;
	int status;

	while ((status = record_read(bufferevent_get_input(bev), conn->record)) == 1) {
		bool ok = server_record_handle(conn, conn->record->data, conn->record->len);

		g_byte_array_set_size(conn->record, 0);
		if (!ok) {
			status = -1;
			break;
		}
	}
	if (status < 0)
		server_conn_close(conn);
}

static void server_event(struct bufferevent *bev, short what, void *arg)
{
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		server_conn_close(arg);
}

static void socket_nodelay_set(evutil_socket_t fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

static void server_accept(struct evconnlistener *listener, evutil_socket_t fd,
			  struct sockaddr *address, int n, void *arg)
{
	struct rpc_endpoint *e = arg;
	struct rpc_server_conn *conn = g_new0(struct rpc_server_conn, 1);

	socket_nodelay_set(fd);
	conn->endpoint = e;
	conn->record = g_byte_array_new();
	g_ref_count_init(&conn->refs);
	conn->bev = bufferevent_socket_new(e->base, fd,
					   BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	list_add_tail(&conn->node, &e->server_conns);
	bufferevent_setcb(conn->bev, server_records_read, NULL, server_event, conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
}

static void pending_finish(struct rpc_pending *p, enum rpc_status status, void *result)
{
	rpc_done_fn *done = p->done;
	void *done_arg = p->done_arg;

	if (status == RPC_STATUS_LOST)
		counter_increment(p->conn->endpoint->counters, COUNTER_RPC_LOST);
	event_free(p->timer);
	g_free(p->bytes);
	g_free(p);
	done(done_arg, status, result);
}

static void pending_expire(evutil_socket_t fd, short what, void *arg)
{
	struct rpc_pending *p = arg;
	struct rpc_client_conn *conn = p->conn;
	bool was_sent = !p->bytes;

	if (was_sent)
		g_hash_table_remove(conn->sent, GUINT_TO_POINTER(p->xid));
	else
		list_del(&p->node);
	pending_finish(p, was_sent ? RPC_STATUS_LOST : RPC_STATUS_NOT_SENT, NULL);
	/*
	 * A VM that was replaced without closing its connections answers nothing on them, and TCP
	 * would give up only after minutes.
	 */
	if (was_sent)
		conn->timeouts++;
	if (conn->timeouts >= TIMEOUTS_MAX || (!conn->is_open && list_is_empty(&conn->unsent)))
		client_conn_fail(conn);
}

static void pending_write(struct rpc_pending *p)
{
	bufferevent_write(p->conn->bev, p->bytes, p->n_bytes);
	counter_add(p->conn->endpoint->counters, COUNTER_RPC_BYTES_SENT, p->n_bytes);
	g_free(p->bytes);
	p->bytes = NULL;
	g_hash_table_insert(p->conn->sent, GUINT_TO_POINTER(p->xid), p);
}

static void client_conn_destroy(struct rpc_client_conn *conn)
{
	if (conn->bev)
		bufferevent_free(conn->bev);
	if (conn->connect_timer)
		event_free(conn->connect_timer);
	g_byte_array_free(conn->record, TRUE);
	g_hash_table_destroy(conn->sent);
	g_free(conn->address);
	g_free(conn);
}

/* Ends all calls of the connection and frees it. The next call to the address opens another. */
static void client_conn_fail(struct rpc_client_conn *conn)
{
	struct list_head *node;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_steal(conn->endpoint->client_conns, conn->address);
	while ((node = list_pop_head(&conn->unsent)))
		pending_finish(list_entry(node, struct rpc_pending, node), RPC_STATUS_NOT_SENT,
			       NULL);
	g_hash_table_iter_init(&iter, conn->sent);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_hash_table_iter_steal(&iter);
		pending_finish(value, RPC_STATUS_LOST, NULL);
		g_hash_table_iter_init(&iter, conn->sent);
	}
	client_conn_destroy(conn);
}

static void connect_timer_expire(evutil_socket_t fd, short what, void *arg)
{
	client_conn_fail(arg);
}

/* Handles one record that a server sent. False when the connection must be closed. */
static bool client_record_handle(struct rpc_client_conn *conn, uint8_t *bytes, size_t n_bytes)
{
	/* Takes the verifier, which is never read; without a buffer XDR would allocate one. */
	static char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	struct rpc_pending *p;
	xdrproc_t result_xdr;
	void *result;
	uint32_t xid;
	bool ok;
	XDR xdrs;

	if (n_bytes < sizeof(xid))
		return false;
	memcpy(&xid, bytes, sizeof(xid));
	xid = ntohl(xid);
	p = g_hash_table_lookup(conn->sent, GUINT_TO_POINTER(xid));
	conn->timeouts = 0;
	if (!p) {
		counter_increment(conn->endpoint->counters, COUNTER_LATE_ANSWERS);
		return true;
	}
	g_hash_table_remove(conn->sent, GUINT_TO_POINTER(xid));
	result_xdr = p->result_xdr;
	result = g_malloc0(MAX(p->result_bytes, 1));
	msg.acpted_rply.ar_verf.oa_base = verf;
	msg.acpted_rply.ar_results.where = result;
	msg.acpted_rply.ar_results.proc = result_xdr;
	xdrmem_create(&xdrs, (char *)bytes, n_bytes, XDR_DECODE);
	ok = xdr_replymsg(&xdrs, &msg) && msg.rm_direction == REPLY &&
	     msg.rm_reply.rp_stat == MSG_ACCEPTED && msg.acpted_rply.ar_stat == SUCCESS;
	if (!ok)
		counter_increment(conn->endpoint->counters, COUNTER_RPC_MALFORMED);
	pending_finish(p, ok ? RPC_STATUS_DONE : RPC_STATUS_LOST, ok ? result : NULL);
	xdr_free(result_xdr, result);
	g_free(result);
	return ok;
}

static void client_records_read(struct bufferevent *bev, void *arg)
{
	struct rpc_client_conn *conn = arg;
	int status;

	while ((status = record_read(bufferevent_get_input(bev), conn->record)) == 1) {
		bool ok = client_record_handle(conn, conn->record->data, conn->record->len);

		g_byte_array_set_size(conn->record, 0);
		if (!ok) {
			status = -1;
			break;
		}
	}
	if (status < 0)
		client_conn_fail(conn);
}

static void client_event(struct bufferevent *bev, short what, void *arg)
{
	struct rpc_client_conn *conn = arg;
	struct list_head *node;

	if (what & BEV_EVENT_CONNECTED) {
		conn->is_open = true;
		event_del(conn->connect_timer);
		socket_nodelay_set(bufferevent_getfd(bev));
		while ((node = list_pop_head(&conn->unsent)))
			pending_write(list_entry(node, struct rpc_pending, node));
		return;
	}
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		client_conn_fail(conn);
}

static struct rpc_client_conn *client_conn_create(struct rpc_endpoint *e, const char *address)
{
	static const struct timeval at_once = {0, 0};
	static const struct timeval connect_timeout = {0, CONNECT_TIMEOUT_US};
	struct rpc_client_conn *conn = g_new0(struct rpc_client_conn, 1);
	struct sockaddr_storage ss;
	int n = sizeof(ss);

	conn->endpoint = e;
	conn->address = g_strdup(address);
	conn->record = g_byte_array_new();
	list_init(&conn->unsent);
	conn->sent = g_hash_table_new(NULL, NULL);
	g_hash_table_insert(e->client_conns, conn->address, conn);
	conn->bev = bufferevent_socket_new(e->base, -1,
					   BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(conn->bev, client_records_read, NULL, client_event, conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	conn->connect_timer = evtimer_new(e->base, connect_timer_expire, conn);
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &n) < 0 ||
	    bufferevent_socket_connect(conn->bev, (struct sockaddr *)&ss, n) < 0)
		evtimer_add(conn->connect_timer, &at_once);
	else
		evtimer_add(conn->connect_timer, &connect_timeout);
	return conn;
}

void rpc_endpoint_call(struct rpc_endpoint *e, const char *address, uint32_t procedure,
		       xdrproc_t args_xdr, void *args, xdrproc_t result_xdr, size_t result_bytes,
		       uint64_t timeout_us, rpc_done_fn *done, void *done_arg)
{
	struct rpc_client_conn *conn = g_hash_table_lookup(e->client_conns, address);
	struct timeval timeout = {(time_t)(timeout_us / 1000000u),
				  (suseconds_t)(timeout_us % 1000000u)};
	struct rpc_pending *p = g_new0(struct rpc_pending, 1);

	if (!conn)
		conn = client_conn_create(e, address);
	counter_increment(e->counters, COUNTER_RPC_CALLS);
	p->conn = conn;
	p->xid = ++e->last_xid;
	p->result_xdr = result_xdr;
	p->result_bytes = result_bytes;
	p->done = done;
	p->done_arg = done_arg;
	p->timer = evtimer_new(e->base, pending_expire, p);
	p->bytes = record_encode_call(e, p->xid, procedure, args_xdr, args, &p->n_bytes);
	if (!p->bytes) {
		/*
		 * The arguments cannot be encoded. The call ends as not sent in the next iteration
		 * of the event loop; until then p->bytes must not be NULL, which would mean sent.
		 */
		p->bytes = g_malloc0(1);
		list_add_tail(&p->node, &conn->unsent);
		timeout = (struct timeval){0, 0};
		conn = NULL;
	}
	evtimer_add(p->timer, &timeout);
	if (conn && conn->is_open)
		pending_write(p);
	else if (conn)
		list_add_tail(&p->node, &conn->unsent);
}

static void datagrams_read(evutil_socket_t fd, short what, void *arg)
{
	static char bytes[DATAGRAM_BYTES_MAX];
	struct rpc_endpoint *e = arg;
	ssize_t n;

	while ((n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0) {
		const struct rpc_procedure *procedure;
		struct rpc_msg msg;
		void *args;
		XDR xdrs;

		xdrmem_create(&xdrs, bytes, n, XDR_DECODE);
		if (!call_header_decode(&xdrs, &msg) || msg.rm_call.cb_prog != e->program ||
		    msg.rm_call.cb_vers != e->version) {
			counter_increment(e->counters, COUNTER_RPC_MALFORMED);
			continue;
		}
		procedure = procedure_find(e, msg.rm_call.cb_proc);
		if (!procedure || !procedure->datagram)
			continue;
		args = g_malloc0(procedure->args_bytes);
		if (procedure->args_xdr(&xdrs, args)) {
			counter_increment(e->counters, COUNTER_UDP_RECEIVED);
			procedure->datagram(e->arg, args);
		} else {
			counter_increment(e->counters, COUNTER_RPC_MALFORMED);
		}
		xdr_free(procedure->args_xdr, args);
		g_free(args);
	}
}

void rpc_endpoint_datagram(struct rpc_endpoint *e, const char *address, uint32_t procedure,
			   xdrproc_t args_xdr, void *args)
{
	struct sockaddr_storage ss;
	int n = sizeof(ss);
	uint32_t n_bytes;
	uint8_t *bytes = record_encode_call(e, ++e->last_xid, procedure, args_xdr, args, &n_bytes);

	if (bytes && evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &n) == 0) {
		/* Datagrams carry no record mark. */
		uint32_t body = n_bytes - sizeof(uint32_t);

		if (sendto(e->udp, bytes + sizeof(uint32_t), body, MSG_DONTWAIT,
			   (struct sockaddr *)&ss, n) >= 0) {
			counter_increment(e->counters, COUNTER_UDP_SENT);
			counter_add(e->counters, COUNTER_UDP_BYTES_SENT, body);
		}
	}
	g_free(bytes);
}

struct rpc_endpoint *rpc_endpoint_create(struct event_base *base, const char *address,
					 uint32_t program, uint32_t version,
					 const struct rpc_procedure *procedures,
					 unsigned int n_procedures, void *arg,
					 struct counters *counters, GError **error)
{
	struct rpc_endpoint *e = g_new0(struct rpc_endpoint, 1);
	struct sockaddr_storage ss;
	int n = sizeof(ss);

	e->base = base;
	e->program = program;
	e->version = version;
	e->procedures = procedures;
	e->n_procedures = n_procedures;
	e->arg = arg;
	e->counters = counters;
	e->udp = -1;
	list_init(&e->server_conns);
	e->client_conns = g_hash_table_new(g_str_hash, g_str_equal);
	e->last_xid = g_random_int();
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &n) < 0) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
			    "--rpc: '%s' is not an address of the form IP:PORT", address);
		goto fail;
	}
	e->listener = evconnlistener_new_bind(base, server_accept, e,
					      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
						      LEV_OPT_CLOSE_ON_EXEC,
					      -1, (struct sockaddr *)&ss, n);
	e->udp = socket(ss.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (!e->listener || e->udp < 0 || bind(e->udp, (struct sockaddr *)&ss, n) < 0) {
		g_set_error(error, RESULT_ERROR, RESULT_SYSTEM, "--rpc: cannot bind %s: %s",
			    address, g_strerror(errno));
		goto fail;
	}
	e->udp_event = event_new(base, e->udp, EV_READ | EV_PERSIST, datagrams_read, e);
	event_add(e->udp_event, NULL);
	return e;
fail:
	rpc_endpoint_destroy(e);
	return NULL;
}

void rpc_endpoint_destroy(struct rpc_endpoint *e)
{
	struct list_head *node;
	GHashTableIter iter;
	gpointer value;

	if (!e)
		return;
	g_hash_table_iter_init(&iter, e->client_conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rpc_client_conn *conn = value;
		GHashTableIter sent;
		gpointer p;

		g_hash_table_iter_steal(&iter);
		while ((node = list_pop_head(&conn->unsent)))
			pending_finish(list_entry(node, struct rpc_pending, node),
				       RPC_STATUS_NOT_SENT, NULL);
		g_hash_table_iter_init(&sent, conn->sent);
		while (g_hash_table_iter_next(&sent, NULL, &p))
			pending_finish(p, RPC_STATUS_LOST, NULL);
		client_conn_destroy(conn);
	}
	g_hash_table_destroy(e->client_conns);
	while ((node = list_pop_head(&e->server_conns)))
		server_conn_close(list_entry(node, struct rpc_server_conn, node));
	if (e->udp_event)
		event_free(e->udp_event);
	if (e->udp >= 0)
		evutil_closesocket(e->udp);
	if (e->listener)
		evconnlistener_free(e->listener);
	g_free(e);
}
