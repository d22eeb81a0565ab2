/*
 * fake-leaf: stand-in for a backend server with one or more leaves, which speaks the protocol of
 * docs/design.md, section 5.2. Each leaf has its own port. POST /control changes a setting, for
 * example to inject a fault; GET /record returns what each leaf has counted.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "httpd.h"
#include "list.h"
#include "result.h"

#define HITS_PER_SHARD 2
#define ID_MAX_BYTES 128
#define DEADLINE_MAX_MS 3600000

/*
 * X(name, default): numbers that POST /control can set for one leaf or all leaves. setting_set()
 * handles the other keys: versions, map_version, shards and slow_factor.
 *
 * Faults; each is off at 0:
 * - draining, cold: refuses every call for that reason
 * - shed: refuses this percentage of the calls
 * - late_ms: delays successful responses; a running call then has no deadline, and no call can be
 *   cancelled
 * - drop_answer: runs the call, then closes the connection without a response
 * - wrong_id: puts the id of another call into successful responses
 * - garbage: sends a truncated JSON body in successful responses
 * - lie_load: reports no running and no queued calls in GET /load
 * - hit_bytes: adds a text of so many bytes to each hit
 *
 * Capacity, for each leaf:
 * - slots: calls that run at the same time; queue: calls that wait for a slot
 * - connections: open connections
 *
 * Times:
 * - service_us: service time of a call; spread_us: upper bound of a uniform random time added to it
 * - rtt_us: delay of the response to a call; connect_us: extra delay of the first response of a
 * connection
 */
#define SETTING_LIST(X)     \
	X(draining, 0)      \
	X(cold, 0)          \
	X(shed, 0)          \
	X(late_ms, 0)       \
	X(drop_answer, 0)   \
	X(wrong_id, 0)      \
	X(garbage, 0)       \
	X(lie_load, 0)      \
	X(hit_bytes, 0)     \
	X(slots, 2)         \
	X(queue, 0)         \
	X(connections, 25)  \
	X(service_us, 1000) \
	X(spread_us, 0)     \
	X(rtt_us, 0)        \
	X(connect_us, 0)

/* X(name): count of calls refused before they ran, by reason */
#define REFUSAL_LIST(X) \
	X(shed)         \
	X(draining)     \
	X(cold)         \
	X(slots)        \
	X(version)      \
	X(shard)        \
	X(malformed)

/*
 * X(name): other counters of a leaf; connections_open is the current number, connect_delays_us the
 * sum of the set-up times that were added to responses
 */
#define COUNTER_LIST(X)         \
	X(received)             \
	X(ran)                  \
	X(completed)            \
	X(cancelled)            \
	X(expired)              \
	X(dropped)              \
	X(running_max)          \
	X(queued_max)           \
	X(connections_accepted) \
	X(connections_refused)  \
	X(connections_open)     \
	X(connections_max)      \
	X(connect_delays_us)

struct settings {
#define X(name, value) uint64_t name;
	SETTING_LIST(X)
#undef X
};

struct refusals {
#define X(name) uint64_t name;
	REFUSAL_LIST(X)
#undef X
};

struct counters {
#define X(name) uint64_t name;
	COUNTER_LIST(X)
#undef X
};

struct server {
	struct event_base *base;
	struct evhttp *control; /* NULL without --control-port */
	uint16_t control_port;
	struct leaf *leaves;
	unsigned int n_leaves;
	int64_t start_us;
	char *name;
	char *incarnation;
	GHashTable *commands; /* command id to the number of times that it ran */
};

struct leaf {
	struct server *server;
	unsigned int index;
	struct evhttp *http;
	uint16_t port;
	GArray *shards;
	GArray *versions;
	GArray *map_versions;
	struct settings settings;
	double slow_factor; /* multiplies the service time and its random part */
	struct refusals refusals;
	struct counters counters;
	int64_t last_new_work_ms; /* when a call last arrived, since the start; -1: never */
	int64_t draining_ms; /* when draining was last set, since the start; -1: never */
	unsigned int running;
	unsigned int queued;
	struct list_head calls; /* received, response not sent yet */
	struct list_head queue; /* calls that wait for a slot, oldest first */
	GHashTable *conns; /* struct bufferevent to struct conn */
	GRand *rand;
	char last_id[ID_MAX_BYTES + 1];
};

struct conn {
	struct leaf *leaf;
	struct bufferevent *bev; /* holds a reference, so that the address is not reused */
	bool refused;
	bool has_close_callback;
	bool has_responded; /* a call received on it has been answered or dropped */
};

enum call_state { CALL_QUEUED, CALL_RUNNING, CALL_RESPONDING };

struct call {
	struct list_head node; /* in leaf->calls until the response is sent */
	struct list_head queue_node; /* in leaf->queue while queued */
	struct leaf *leaf;
	struct evhttp_request *req;
	struct event *timer;
	enum call_state state;
	bool is_command; /* a command, otherwise a search */
	char id[ID_MAX_BYTES + 1];
	char response_id[ID_MAX_BYTES + 1];
	unsigned int shard;
	unsigned int version;
	unsigned int map_version;
	int64_t deadline_us; /* monotonic clock; INT64_MAX: none */
	int64_t end_us; /* monotonic clock: when the service time ends */
	char *body;
	size_t body_bytes;
	int code; /* HTTP status of the response */
	const char *refusal; /* X-Refusal header of the response, or NULL */
};

static int64_t server_uptime_ms(const struct server *server)
{
	return (g_get_monotonic_time() - server->start_us) / 1000;
}

static bool list_contains(const GArray *list, unsigned int item)
{
	for (unsigned int i = 0; i < list->len; i++) {
		if (g_array_index(list, unsigned int, i) == item)
			return true;
	}
	return false;
}

/* Connections */

static void conn_release(void *arg)
{
	struct conn *conn = arg;

	if (!conn->refused)
		conn->leaf->counters.connections_open--;
	bufferevent_decref(conn->bev);
	g_free(conn);
}

static void conn_close(struct evhttp_connection *evcon, void *arg)
{
	struct conn *conn = arg;

	g_hash_table_remove(conn->leaf->conns, conn->bev);
}

/*
 * evhttp lets a close callback be set only once the first request has arrived. Before that, a
 * closed connection is recognised by its disabled reading: evhttp disables it when it frees the
 * connection.
 */
static gboolean conn_is_closed(gpointer bev, gpointer arg, gpointer data)
{
	const struct conn *conn = arg;

	return !conn->has_close_callback && !(bufferevent_get_enabled(bev) & EV_READ);
}

static void conns_closed_remove(struct leaf *leaf)
{
	g_hash_table_foreach_remove(leaf->conns, conn_is_closed, NULL);
}

/*
 * Runs after evhttp has set up the new connection. A connection above the limit is shut down and
 * counted as refused.
 */
static void conn_accept(evutil_socket_t fd, short events, void *arg)
{
	struct conn *conn = arg;
	struct leaf *leaf = conn->leaf;

	conns_closed_remove(leaf);
	leaf->counters.connections_accepted++;
	if (leaf->counters.connections_open >= leaf->settings.connections) {
		conn->refused = true;
		leaf->counters.connections_refused++;
		shutdown(bufferevent_getfd(conn->bev), SHUT_RDWR);
	} else {
		leaf->counters.connections_open++;
		leaf->counters.connections_max =
			MAX(leaf->counters.connections_max, leaf->counters.connections_open);
	}
	g_hash_table_insert(leaf->conns, conn->bev, conn);
}

/*
 * evhttp calls this for each accepted connection and sets the socket afterwards. conn_accept()
 * therefore runs in the next iteration of the event loop.
 */
static struct bufferevent *bev_create(struct event_base *base, void *arg)
{
	const struct timeval now = {0};
	struct conn *conn = g_new0(struct conn, 1);

	conn->leaf = arg;
	conn->bev = bufferevent_socket_new(base, -1, 0);
	bufferevent_incref(conn->bev);
	event_base_once(base, -1, EV_TIMEOUT, conn_accept, conn, &now);
	return conn->bev;
}

/* The connection of a request; NULL when the client has closed it. */
static struct conn *conn_find(const struct leaf *leaf, struct evhttp_request *req)
{
	struct evhttp_connection *evcon = evhttp_request_get_connection(req);

	if (!evcon)
		return NULL;
	return g_hash_table_lookup(leaf->conns, evhttp_connection_get_bufferevent(evcon));
}

static void conn_close_callback_set(const struct leaf *leaf, struct evhttp_request *req)
{
	struct conn *conn = conn_find(leaf, req);

	if (!conn || conn->has_close_callback)
		return;
	conn->has_close_callback = true;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req), conn_close, conn);
}

/* Calls */

static void call_timer_set(struct call *call, int64_t at_us)
{
	int64_t wait_us = MAX(at_us - g_get_monotonic_time(), 0);
	struct timeval wait = {.tv_sec = wait_us / G_USEC_PER_SEC,
			       .tv_usec = wait_us % G_USEC_PER_SEC};

	evtimer_add(call->timer, &wait);
}

static void call_destroy(struct call *call)
{
	list_del(&call->node);
	list_del(&call->queue_node);
	event_free(call->timer);
	g_free(call->body);
	g_free(call);
}

/*
 * The hits depend only on the query, the shard and the index version. The field q is the hash of
 * the query, so that a client can tell whether a response belongs to its own request.
 */
static json_t *hits_create(const struct call *call)
{
	json_t *hits = json_array();
	gsize n_text = (gsize)call->leaf->settings.hit_bytes;

	for (unsigned int i = 0; i < HITS_PER_SHARD; i++) {
		char *id = g_strdup_printf("s%u-v%u-%u", call->shard, call->version, i);
		char *seed = g_strdup_printf("%s %s", id, call->body);

		json_t *hit = json_pack("{s:s, s:f, s:i, s:I}", "id", id, "score",
					g_str_hash(seed) / (double)UINT32_MAX, "shard",
					(int)call->shard, "q", (json_int_t)g_str_hash(call->body));

		if (n_text > 0) {
			char *text = g_strnfill(n_text, 'x');

			json_object_set_new(hit, "text", json_string(text));
			g_free(text);
		}
		json_array_append_new(hits, hit);
		g_free(seed);
		g_free(id);
	}
	return hits;
}

static json_t *command_result_create(const struct call *call)
{
	const struct server *server = call->leaf->server;
	gpointer runs = g_hash_table_lookup(server->commands, call->id);

	return json_pack("{s:s, s:i, s:i, s:s}", "id", call->id, "shard", (int)call->shard, "run",
			 GPOINTER_TO_INT(runs), "backend", server->name);
}

static void number_header_set(struct evhttp_request *req, const char *name, unsigned int value)
{
	char text[16];

	snprintf(text, sizeof(text), "%u", value);
	httpd_header_set(req, name, text);
}

static void identity_headers_set(const struct leaf *leaf, struct evhttp_request *req)
{
	char *versions = httpd_list_format(leaf->versions);

	httpd_header_set(req, "X-Incarnation", leaf->server->incarnation);
	httpd_header_set(req, "X-Versions", versions);
	g_free(versions);
}

static void response_headers_set(const struct call *call)
{
	const struct leaf *leaf = call->leaf;

	identity_headers_set(leaf, call->req);
	if (leaf->settings.draining)
		httpd_header_set(call->req, "X-Draining", "1");
	if (call->refusal)
		httpd_header_set(call->req, "X-Refusal", call->refusal);
	if (call->code == 200) {
		httpd_header_set(call->req, call->is_command ? "X-Command-Id" : "X-Request-Id",
				 call->response_id);
		if (!call->is_command)
			number_header_set(call->req, "X-Index-Version", call->version);
		number_header_set(call->req, "X-Map-Version", call->map_version);
		number_header_set(call->req, "X-Shard", call->shard);
	}
}

static void call_response_send(struct call *call)
{
	static const char garbage[] = "[{\"id\": \"s";
	struct leaf *leaf = call->leaf;
	struct evhttp_request *req = call->req;
	struct conn *conn = conn_find(leaf, req);

	if (conn)
		conn->has_responded = true;
	if (call->code == 200 && leaf->settings.drop_answer) {
		leaf->counters.dropped++;
		httpd_request_drop(leaf->server->base, req);
	} else {
		response_headers_set(call);
		if (call->code != 200)
			httpd_reply(req, call->code, NULL, 0);
		else if (leaf->settings.garbage)
			httpd_reply(req, 200, garbage, strlen(garbage));
		else
			httpd_reply_json(req, 200,
					 call->is_command ? command_result_create(call)
							  : hits_create(call));
	}
	call_destroy(call);
}

/*
 * Sends the response after the round trip time plus, on a new connection, the set-up time of the
 * connection. Without a delay the timer sends it as well, because sending frees the call and the
 * calling functions still use it.
 */
static void call_response_schedule(struct call *call, int code, const char *refusal)
{
	const struct settings *settings = &call->leaf->settings;
	const struct conn *conn = conn_find(call->leaf, call->req);
	uint64_t delay_us = settings->rtt_us;

	if (conn && !conn->has_responded) {
		delay_us += settings->connect_us;
		call->leaf->counters.connect_delays_us += settings->connect_us;
	}
	if (code == 200)
		delay_us += settings->late_ms * 1000;
	call->state = CALL_RESPONDING;
	call->code = code;
	call->refusal = refusal;
	if (delay_us)
		call_timer_set(call, g_get_monotonic_time() + (int64_t)delay_us);
	else
		event_active(call->timer, EV_TIMEOUT, 0);
}

static void call_start(struct call *call)
{
	struct leaf *leaf = call->leaf;
	double service_us = (double)leaf->settings.service_us;

	service_us += g_rand_double(leaf->rand) * (double)leaf->settings.spread_us;
	call->end_us = g_get_monotonic_time() + (int64_t)(service_us * leaf->slow_factor);
	call->state = CALL_RUNNING;
	leaf->counters.ran++;
	leaf->running++;
	leaf->counters.running_max = MAX(leaf->counters.running_max, leaf->running);
	if (call->is_command) {
		GHashTable *commands = leaf->server->commands;
		int runs = GPOINTER_TO_INT(g_hash_table_lookup(commands, call->id));

		g_hash_table_replace(commands, g_strdup(call->id), GINT_TO_POINTER(runs + 1));
	}
	/* With late_ms set, the response is sent even when the deadline has passed. */
	if (leaf->settings.late_ms)
		call->deadline_us = INT64_MAX;
	call_timer_set(call, MIN(call->end_us, call->deadline_us));
}

static void queue_remove(struct call *call)
{
	list_del(&call->queue_node);
	call->leaf->queued--;
}

/* Starts queued calls while slots are free. */
static void queue_calls_start(struct leaf *leaf)
{
	while (leaf->running < leaf->settings.slots && !list_is_empty(&leaf->queue)) {
		struct call *call = list_entry(leaf->queue.next, struct call, queue_node);

		queue_remove(call);
		if (call->is_command || list_contains(leaf->versions, call->version)) {
			call_start(call);
		} else {
			leaf->refusals.version++;
			call_response_schedule(call, 410, NULL);
		}
	}
}

/* Ends a queued or running call, and gives its slot to the queue. */
static void call_finish(struct call *call, int code)
{
	struct leaf *leaf = call->leaf;

	if (call->state == CALL_RUNNING)
		leaf->running--;
	else
		queue_remove(call);
	call_response_schedule(call, code, NULL);
	queue_calls_start(leaf);
}

static void call_timer_fire(evutil_socket_t fd, short events, void *arg)
{
	struct call *call = arg;

	if (call->state == CALL_RESPONDING) {
		call_response_send(call);
	} else if (call->state == CALL_RUNNING && call->end_us <= call->deadline_us) {
		call->leaf->counters.completed++;
		call_finish(call, 200);
	} else {
		call->leaf->counters.expired++;
		call_finish(call, 504);
	}
}

/* Receipt of calls */

static bool number_header_parse(struct evhttp_request *req, const char *name, uint64_t max,
				uint64_t *value)
{
	return httpd_number_parse(httpd_header_get(req, name), max, value);
}

static bool call_parse(struct call *call)
{
	const char *id =
		httpd_header_get(call->req, call->is_command ? "X-Command-Id" : "X-Request-Id");
	uint64_t shard = 0;
	uint64_t version = 0;
	uint64_t map_version = 0;
	uint64_t deadline_ms = 0;
	json_t *query = NULL;

	if (!id || !*id || strlen(id) > ID_MAX_BYTES)
		return false;
	g_strlcpy(call->id, id, sizeof(call->id));
	if (!call->is_command &&
	    !number_header_parse(call->req, "X-Index-Version", UINT32_MAX, &version))
		return false;
	if (!number_header_parse(call->req, "X-Map-Version", UINT32_MAX, &map_version) ||
	    !number_header_parse(call->req, "X-Shard", INT32_MAX, &shard))
		return false;
	call->deadline_us = INT64_MAX;
	if (httpd_header_get(call->req, "X-Deadline-Ms")) {
		if (!number_header_parse(call->req, "X-Deadline-Ms", DEADLINE_MAX_MS, &deadline_ms))
			return false;
		call->deadline_us = g_get_monotonic_time() + (int64_t)deadline_ms * 1000;
	}
	call->shard = (unsigned int)shard;
	call->version = (unsigned int)version;
	call->map_version = (unsigned int)map_version;
	call->body = httpd_body_copy(call->req, &call->body_bytes);
	query = json_loadb(call->body, call->body_bytes, JSON_DECODE_ANY, NULL);
	json_decref(query);
	return query != NULL;
}

/*
 * Chooses the id that the response carries. With wrong_id set it is the id of the previous call of
 * the leaf, or an altered one when there is none or both ids are equal.
 */
static void response_id_set(struct call *call)
{
	struct leaf *leaf = call->leaf;

	g_strlcpy(call->response_id, call->id, sizeof(call->response_id));
	if (leaf->settings.wrong_id) {
		if (leaf->last_id[0] && strcmp(leaf->last_id, call->id) != 0)
			g_strlcpy(call->response_id, leaf->last_id, sizeof(call->response_id));
		else
			call->response_id[0] = call->response_id[0] == '0' ? '1' : '0';
	}
	g_strlcpy(leaf->last_id, call->id, sizeof(leaf->last_id));
}

static void call_refuse(struct call *call, uint64_t *counter, int code, const char *refusal)
{
	++*counter;
	call_response_schedule(call, code, refusal);
}

/* Starts, queues or refuses a call that is well-formed. */
static void call_admit(struct call *call)
{
	struct leaf *leaf = call->leaf;
	const struct settings *settings = &leaf->settings;

	if (settings->draining) {
		call_refuse(call, &leaf->refusals.draining, 503, "draining");
	} else if (settings->cold) {
		call_refuse(call, &leaf->refusals.cold, 503, "cold");
	} else if (settings->shed &&
		   g_rand_int_range(leaf->rand, 0, 100) < (gint32)settings->shed) {
		call_refuse(call, &leaf->refusals.shed, 503, "shed");
	} else if (!list_contains(leaf->map_versions, call->map_version) ||
		   !list_contains(leaf->shards, call->shard)) {
		call_refuse(call, &leaf->refusals.shard, 404, NULL);
	} else if (!call->is_command && !list_contains(leaf->versions, call->version)) {
		call_refuse(call, &leaf->refusals.version, 410, NULL);
	} else if (call->deadline_us <= g_get_monotonic_time()) {
		call_refuse(call, &leaf->counters.expired, 504, NULL);
	} else if (leaf->running < settings->slots) {
		call_start(call);
	} else if (leaf->queued < settings->queue) {
		call->state = CALL_QUEUED;
		list_add_tail(&call->queue_node, &leaf->queue);
		leaf->queued++;
		leaf->counters.queued_max = MAX(leaf->counters.queued_max, leaf->queued);
		if (call->deadline_us != INT64_MAX)
			call_timer_set(call, call->deadline_us);
	} else {
		call_refuse(call, &leaf->refusals.slots, 503, "slots");
	}
}

static void call_receive(struct leaf *leaf, struct evhttp_request *req, bool command)
{
	struct call *call = g_new0(struct call, 1);

	leaf->counters.received++;
	leaf->last_new_work_ms = server_uptime_ms(leaf->server);
	call->leaf = leaf;
	call->req = req;
	call->is_command = command;
	call->timer = evtimer_new(leaf->server->base, call_timer_fire, call);
	list_add_tail(&call->node, &leaf->calls);
	list_init(&call->queue_node);
	if (call_parse(call)) {
		response_id_set(call);
		call_admit(call);
	} else {
		call_refuse(call, &leaf->refusals.malformed, 400, NULL);
	}
}

static void cancel_receive(struct leaf *leaf, struct evhttp_request *req)
{
	const char *id = httpd_header_get(req, "X-Request-Id");
	struct list_head *pos = NULL;
	struct list_head *next = NULL;
	int n = 0;

	if (!id)
		id = httpd_header_get(req, "X-Command-Id");
	list_for_each_safe (pos, next, &leaf->calls) {
		struct call *call = list_entry(pos, struct call, node);

		if (g_strcmp0(call->id, id) != 0 || call->state == CALL_RESPONDING ||
		    leaf->settings.late_ms)
			continue;
		n++;
		leaf->counters.cancelled++;
		call_finish(call, 504);
		break;
	}
	httpd_reply_json(req, 200, json_pack("{s:i}", "cancelled", n));
}

static void load_reply(struct leaf *leaf, struct evhttp_request *req)
{
	bool hide_calls = leaf->settings.lie_load;

	identity_headers_set(leaf, req);
	httpd_reply_json(req, 200,
			 json_pack("{s:i, s:i, s:I, s:b}", "running",
				   hide_calls ? 0 : (int)leaf->running, "queued",
				   hide_calls ? 0 : (int)leaf->queued, "slots",
				   (json_int_t)leaf->settings.slots, "healthy", 1));
}

/* Controls and the record */

static bool list_set(GArray **list, const char *text)
{
	GArray *parsed = httpd_list_parse(text);

	if (!parsed)
		return false;
	g_array_unref(*list);
	*list = parsed;
	return true;
}

static bool number_set(struct leaf *leaf, const char *key, const char *text)
{
	struct settings *settings = &leaf->settings;
	uint64_t value = 0;

	if (!httpd_number_parse(text, UINT32_MAX, &value))
		return false;
	if (strcmp(key, "draining") == 0 && value && !settings->draining)
		leaf->draining_ms = server_uptime_ms(leaf->server);
#define X(name, initial)                \
	if (strcmp(key, #name) == 0) {  \
		settings->name = value; \
		return true;            \
	}
	SETTING_LIST(X)
#undef X
	return false;
}

static bool setting_set(struct leaf *leaf, const char *key, const char *text)
{
	if (strcmp(key, "versions") == 0)
		return list_set(&leaf->versions, text);
	if (strcmp(key, "map_version") == 0)
		return list_set(&leaf->map_versions, text);
	if (strcmp(key, "shards") == 0)
		return list_set(&leaf->shards, text);
	if (strcmp(key, "slow_factor") == 0) {
		char *end = NULL;
		double factor = g_ascii_strtod(text, &end);

		if (end == text || *end || !(factor >= 0 && factor <= 1e6))
			return false;
		leaf->slow_factor = factor;
		return true;
	}
	return number_set(leaf, key, text);
}

static void control_receive(struct server *server, struct evhttp_request *req)
{
	struct evkeyvalq query;
	const char *key = NULL;
	const char *value = NULL;
	const char *leaf_text = NULL;
	uint64_t index = 0;
	bool valid = false;

	httpd_query_parse(req, &query);
	key = evhttp_find_header(&query, "key");
	value = evhttp_find_header(&query, "value");
	leaf_text = evhttp_find_header(&query, "leaf");
	valid = key && value &&
		(!leaf_text || httpd_number_parse(leaf_text, server->n_leaves - 1, &index));
	for (unsigned int i = 0; valid && i < server->n_leaves; i++) {
		if (leaf_text && i != index)
			continue;
		valid = setting_set(&server->leaves[i], key, value);
		queue_calls_start(&server->leaves[i]);
	}
	evhttp_clear_headers(&query);
	httpd_reply(req, valid ? 200 : 400, NULL, 0);
}

static json_t *leaf_record_create(struct leaf *leaf)
{
	json_t *record = json_object();
	json_t *refused = json_object();

	conns_closed_remove(leaf);
#define X(name) json_object_set_new(record, #name, json_integer((json_int_t)leaf->counters.name));
	COUNTER_LIST(X)
#undef X
#define X(name) json_object_set_new(refused, #name, json_integer((json_int_t)leaf->refusals.name));
	REFUSAL_LIST(X)
#undef X
	json_object_set_new(record, "refused", refused);
	json_object_set_new(record, "port", json_integer(leaf->port));
	json_object_set_new(record, "running", json_integer(leaf->running));
	json_object_set_new(record, "queued", json_integer(leaf->queued));
	json_object_set_new(record, "last_new_work_ms", json_integer(leaf->last_new_work_ms));
	json_object_set_new(record, "draining_ms", json_integer(leaf->draining_ms));
	return record;
}

static void record_reply(struct server *server, struct evhttp_request *req)
{
	json_t *leaves = json_array();
	json_t *commands = json_object();
	GHashTableIter iter;
	gpointer id = NULL;
	gpointer runs = NULL;

	for (unsigned int i = 0; i < server->n_leaves; i++)
		json_array_append_new(leaves, leaf_record_create(&server->leaves[i]));
	g_hash_table_iter_init(&iter, server->commands);
	while (g_hash_table_iter_next(&iter, &id, &runs))
		json_object_set_new(commands, id, json_integer(GPOINTER_TO_INT(runs)));
	httpd_reply_json(req, 200,
			 json_pack("{s:s, s:s, s:I, s:o, s:o}", "name", server->name, "incarnation",
				   server->incarnation, "now_ms",
				   (json_int_t)server_uptime_ms(server), "leaves", leaves,
				   "commands", commands));
}

static void request_handle(struct evhttp_request *req, void *arg)
{
	struct leaf *leaf = arg;
	const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	bool post = evhttp_request_get_command(req) == EVHTTP_REQ_POST;
	bool get = evhttp_request_get_command(req) == EVHTTP_REQ_GET;

	conn_close_callback_set(leaf, req);
	if (post && strcmp(path, "/search") == 0)
		call_receive(leaf, req, false);
	else if (post && strcmp(path, "/command") == 0)
		call_receive(leaf, req, true);
	else if (post && strcmp(path, "/cancel") == 0)
		cancel_receive(leaf, req);
	else if (post && strcmp(path, "/control") == 0)
		control_receive(leaf->server, req);
	else if (get && strcmp(path, "/load") == 0)
		load_reply(leaf, req);
	else if (get && strcmp(path, "/record") == 0)
		record_reply(leaf->server, req);
	else
		httpd_reply(req, 404, NULL, 0);
}

/*
 * Handles requests to --control-port. Tests use it so that their control requests do not count
 * towards the connections of a leaf.
 */
static void control_handle(struct evhttp_request *req, void *arg)
{
	const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	bool post = evhttp_request_get_command(req) == EVHTTP_REQ_POST;

	if (post && strcmp(path, "/control") == 0)
		control_receive(arg, req);
	else if (!post && strcmp(path, "/record") == 0)
		record_reply(arg, req);
	else
		httpd_reply(req, 404, NULL, 0);
}

/* Start and stop */

struct flags {
	char *name;
	char *ports;
	char *shards;
	char *map_version;
	char *versions;
	char *incarnation;
	int control_port;
	int seed;
	int slots;
	int queue;
	int connections;
	int service_us;
	int spread_us;
	int rtt_us;
	int connect_us;
};

static void list_free(GArray *list)
{
	if (list)
		g_array_unref(list);
}

static void leaf_clear(struct leaf *leaf)
{
	struct list_head *pos = NULL;
	struct list_head *next = NULL;

	list_for_each_safe (pos, next, &leaf->calls)
		call_destroy(list_entry(pos, struct call, node));
	if (leaf->http)
		evhttp_free(leaf->http);
	g_hash_table_destroy(leaf->conns);
	g_rand_free(leaf->rand);
	list_free(leaf->map_versions);
	list_free(leaf->versions);
	list_free(leaf->shards);
}

static void server_clear(struct server *server)
{
	if (server->control)
		evhttp_free(server->control);
	for (unsigned int i = 0; i < server->n_leaves; i++)
		leaf_clear(&server->leaves[i]);
	g_free(server->leaves);
	g_hash_table_destroy(server->commands);
	httpd_base_destroy(server->base);
}

static void text_default_set(char **text, const char *value)
{
	if (!*text)
		*text = g_strdup(value);
}

static void flags_defaults_set(struct flags *flags)
{
	text_default_set(&flags->name, "backend");
	text_default_set(&flags->ports, "0");
	text_default_set(&flags->shards, "0");
	text_default_set(&flags->map_version, "1");
	text_default_set(&flags->versions, "1");
	if (!flags->incarnation)
		flags->incarnation = g_strdup_printf("%08x%08x", g_random_int(), g_random_int());
}

static void flags_clear(struct flags *flags)
{
	g_free(flags->incarnation);
	g_free(flags->versions);
	g_free(flags->map_version);
	g_free(flags->shards);
	g_free(flags->ports);
	g_free(flags->name);
}

static bool leaf_init(struct leaf *leaf, const struct flags *flags, const char *shards)
{
	leaf->settings = (struct settings){
#define X(name, value) .name = (value),
		SETTING_LIST(X)
#undef X
	};
	leaf->settings.slots = (uint64_t)flags->slots;
	leaf->settings.queue = (uint64_t)flags->queue;
	leaf->settings.connections = (uint64_t)flags->connections;
	leaf->settings.service_us = (uint64_t)flags->service_us;
	leaf->settings.spread_us = (uint64_t)flags->spread_us;
	leaf->settings.rtt_us = (uint64_t)flags->rtt_us;
	leaf->settings.connect_us = (uint64_t)flags->connect_us;
	leaf->slow_factor = 1;
	leaf->last_new_work_ms = -1;
	leaf->draining_ms = -1;
	list_init(&leaf->calls);
	list_init(&leaf->queue);
	leaf->conns = g_hash_table_new_full(NULL, NULL, NULL, conn_release);
	leaf->rand = g_rand_new_with_seed((guint32)flags->seed + leaf->index);
	leaf->shards = httpd_list_parse(shards);
	leaf->versions = httpd_list_parse(flags->versions);
	leaf->map_versions = httpd_list_parse(flags->map_version);
	return leaf->shards && leaf->versions && leaf->map_versions;
}

static bool server_init(struct server *server, const struct flags *flags, GError **error)
{
	GArray *ports = httpd_list_parse(flags->ports);
	char **shards = g_strsplit(flags->shards, ";", -1);
	bool valid = ports && ports->len && ports->len == g_strv_length(shards);

	if (!valid) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
			    "--ports and --shards must list the same number of leaves");
		goto out;
	}
	server->leaves = g_new0(struct leaf, ports->len);
	for (unsigned int i = 0; valid && i < ports->len; i++) {
		struct leaf *leaf = &server->leaves[i];
		unsigned int port = g_array_index(ports, unsigned int, i);

		server->n_leaves++;
		leaf->server = server;
		leaf->index = i;
		valid = leaf_init(leaf, flags, shards[i]) && port <= UINT16_MAX;
		if (!valid) {
			g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
				    "--ports, --shards, --versions or --map-version is malformed");
			break;
		}
		leaf->http = httpd_create(server->base, (uint16_t)port, &leaf->port, error);
		valid = leaf->http != NULL;
		if (valid) {
			evhttp_set_bevcb(leaf->http, bev_create, leaf);
			evhttp_set_gencb(leaf->http, request_handle, leaf);
		}
	}
	if (valid && flags->control_port >= 0) {
		server->control = httpd_create(server->base, (uint16_t)flags->control_port,
					       &server->control_port, error);
		valid = server->control != NULL;
		if (valid)
			evhttp_set_gencb(server->control, control_handle, server);
	}
out:
	g_strfreev(shards);
	if (ports)
		g_array_unref(ports);
	return valid;
}

static bool flags_parse(struct flags *flags, int argc, char **argv, GError **error)
{
	const GOptionEntry entries[] = {
		{"name", 0, 0, G_OPTION_ARG_STRING, &flags->name, "Name of the server", "NAME"},
		{"ports", 0, 0, G_OPTION_ARG_STRING, &flags->ports,
		 "Port of each leaf; 0 picks a free port", "P1,P2"},
		{"shards", 0, 0, G_OPTION_ARG_STRING, &flags->shards, "Shards of each leaf",
		 "0,1;0,1"},
		{"slots", 0, 0, G_OPTION_ARG_INT, &flags->slots,
		 "Calls that each leaf runs at the same time", "N"},
		{"queue", 0, 0, G_OPTION_ARG_INT, &flags->queue,
		 "Calls that each leaf lets wait for a slot", "N"},
		{"connections", 0, 0, G_OPTION_ARG_INT, &flags->connections,
		 "Open connections that each leaf accepts", "N"},
		{"service-us", 0, 0, G_OPTION_ARG_INT, &flags->service_us, "Service time of a call",
		 "US"},
		{"spread-us", 0, 0, G_OPTION_ARG_INT, &flags->spread_us,
		 "Maximum of the random extra service time, uniform", "US"},
		{"rtt-us", 0, 0, G_OPTION_ARG_INT, &flags->rtt_us, "Delay of each response", "US"},
		{"connect-us", 0, 0, G_OPTION_ARG_INT, &flags->connect_us,
		 "Extra delay of the first response of a connection", "US"},
		{"map-version", 0, 0, G_OPTION_ARG_STRING, &flags->map_version,
		 "Shard map versions", "1"},
		{"versions", 0, 0, G_OPTION_ARG_STRING, &flags->versions, "Index versions", "6,7"},
		{"incarnation", 0, 0, G_OPTION_ARG_STRING, &flags->incarnation,
		 "Incarnation, random by default", "HEX"},
		{"control-port", 0, 0, G_OPTION_ARG_INT, &flags->control_port,
		 "Port for /control and /record only; 0 picks a free port, none by default",
		 "PORT"},
		{"seed", 0, 0, G_OPTION_ARG_INT, &flags->seed,
		 "Seed of the random service times and of shed calls", "N"},
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *options = g_option_context_new("- stand-in for a backend server");
	bool valid = false;

	g_option_context_add_main_entries(options, entries, NULL);
	valid = g_option_context_parse(options, &argc, &argv, error);
	g_option_context_free(options);
	if (valid &&
	    (argc > 1 || flags->control_port > UINT16_MAX || MIN(flags->slots, flags->queue) < 0 ||
	     flags->connections < 0 || MIN(flags->service_us, flags->spread_us) < 0 ||
	     MIN(flags->rtt_us, flags->connect_us) < 0)) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
			    "an argument is unknown or out of range");
		return false;
	}
	return valid;
}

int main(int argc, char **argv)
{
	struct flags flags = {
		.control_port = -1,
		.slots = 2,
		.connections = 25,
		.service_us = 1000,
	};
	struct server server = {.start_us = g_get_monotonic_time()};
	GError *error = NULL;
	int status = EXIT_FAILURE;

	server.base = httpd_base_create();
	server.commands = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (!flags_parse(&flags, argc, argv, &error))
		goto out;
	flags_defaults_set(&flags);
	server.name = flags.name;
	server.incarnation = flags.incarnation;
	if (!server_init(&server, &flags, &error))
		goto out;
	printf("ports");
	for (unsigned int i = 0; i < server.n_leaves; i++)
		printf(" %u", server.leaves[i].port);
	if (server.control)
		printf(" control %u", server.control_port);
	printf("\n");
	fflush(stdout);
	event_base_dispatch(server.base);
	status = EXIT_SUCCESS;
out:
	if (error)
		fprintf(stderr, "fake-leaf: %s\n", error->message);
	g_clear_error(&error);
	server_clear(&server);
	flags_clear(&flags);
	return status;
}
