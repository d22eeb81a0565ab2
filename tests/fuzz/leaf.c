/*
 * The response of a leaf. A server on loopback sends it to leafpool (evhttp), and its hits are
 * added to gather. The input is the whole response. In it, "@ID" stands for the id of the call, and
 * the first "@BIG" for 3 MiB of spaces.
 */
#include "leafpool.h"

#include "clock.h"
#include "fuzz.h"
#include "gather.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#define BIG_BYTES (3 << 20)
#define BODY_BYTES_MAX (2 << 20)
#define ID "0123456789abcdef0123456789abcdef"

static const char load_response[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

static struct event_base *base;
static struct counters counters;
static GRand *rand_state;
static struct manifest_leaf leaf = {.slots = 1, .connections = 1};
static struct leafpool *pool;
static struct bufferevent *server;
static char *big_text;
static const uint8_t *response;
static size_t response_bytes;
static unsigned int n_requests;
static bool is_done;

static void server_close(void)
{
	struct linger reset = {1, 0};

	if (!server)
		return;
	/* Closes with a reset: connections in TIME_WAIT would use up the local ports. */
	setsockopt(bufferevent_getfd(server), SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	bufferevent_free(server);
	server = NULL;
}

static void server_written(struct bufferevent *bev, void *arg)
{
	if (n_requests > 1)
		shutdown(bufferevent_getfd(bev), SHUT_WR);
}

static void server_readable(struct bufferevent *bev, void *arg)
{
	struct evbuffer *in = bufferevent_get_input(bev);

	evbuffer_drain(in, evbuffer_get_length(in));
	if (n_requests++ == 0)
		bufferevent_write(bev, load_response, sizeof(load_response) - 1);
	else if (n_requests == 2)
		bufferevent_write(bev, response, response_bytes);
}

static void server_accepted(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *address,
			    int n, void *arg)
{
	/* The pool opens another connection after the call. It plays no part in the test. */
	if (server) {
		evutil_closesocket(fd);
		return;
	}
	server = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(server, server_readable, server_written, NULL, NULL);
	bufferevent_enable(server, EV_READ | EV_WRITE);
}

/* Adds the hits of a shard to gather as the searcher does. */
static void hits_gather(const struct leafcall_answer *a)
{
	struct gather_params params = {.index_version = 7, .map_version = 1, .n_shards = 4};
	struct gather *g = gather_create(&params);
	json_t *hits = json_loads(a->body, 0, NULL);
	json_t *merged;
	char *text;

	gather_hits_add(g, params.request_id, 7, 1, 3, hits);
	merged = gather_hits_merge(g, 1000);
	text = json_dumps(merged, 0);
	FUZZ_CHECK(text);
	free(text);
	json_decref(merged);
	json_decref(hits);
	gather_destroy(g);
}

static void call_done(void *arg, const struct leafcall_answer *a)
{
	is_done = true;
	FUZZ_CHECK(a->body && strlen(a->body) <= a->body_bytes);
	FUZZ_CHECK(a->body_bytes <= BODY_BYTES_MAX);
	if (a->status == LEAFCALL_ANSWERED)
		hits_gather(a);
	event_base_loopbreak(base);
}

static void owner_ready(struct leafpool_owner *owner)
{
	struct leafcall_params params = {.kind = LEAFCALL_SEARCH,
					 .id = ID,
					 .index_version = 7,
					 .map_version = 1,
					 .shard = 3,
					 .deadline_us = 1000000,
					 .body = "1",
					 .body_bytes = 1};

	if (!is_done)
		leafpool_call(pool, &params, call_done, NULL);
}

static void owner_observe(struct leafpool_owner *owner, const struct leafpool_leaf_state *state)
{
	FUZZ_CHECK(state->n_versions <= LEAFPOOL_VERSIONS_MAX);
}

static void owner_connect_failed(struct leafpool_owner *owner)
{
	is_done = true;
	event_base_loopbreak(base);
}

static void setup(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t n = sizeof(address);
	struct evconnlistener *listener;

	base = event_base_new();
	rand_state = g_rand_new_with_seed(1);
	big_text = g_strnfill(BIG_BYTES, ' ');
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener = evconnlistener_new_bind(base, server_accepted, NULL, LEV_OPT_CLOSE_ON_FREE, 64,
					   (struct sockaddr *)&address, sizeof(address));
	FUZZ_CHECK(listener && getsockname(evconnlistener_get_fd(listener),
					   (struct sockaddr *)&address, &n) == 0);
	leaf.name = leaf.backend = leaf.dc = "leaf";
	leaf.addr = g_strdup_printf("127.0.0.1:%d", ntohs(address.sin_port));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const struct leafpool_owner_ops ops = {owner_ready, owner_observe,
						      owner_connect_failed};
	struct leafpool_owner owner = {&ops};
	GString *text;

	if (!base)
		setup();
	text = g_string_new_len((const char *)data, (gssize)size);
	g_string_replace(text, "@ID", ID, 1);
	if (strstr(text->str, "@BIG"))
		g_string_replace(text, "@BIG", big_text, 1);
	response = (const uint8_t *)text->str;
	response_bytes = text->len;
	n_requests = 0;
	is_done = size == 0;
	pool = leafpool_create(base, &counters, rand_state, &leaf, &owner);
	leafpool_connections_open(pool, clock_now_us());
	while (!is_done)
		event_base_loop(base, EVLOOP_ONCE);
	server_close();
	leafpool_destroy(pool);
	event_base_loop(base, EVLOOP_NONBLOCK);
	server_close();
	g_string_free(text, TRUE);
	return 0;
}
