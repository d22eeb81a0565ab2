/*
 * Calls fake leaves with plain evhttp in a closed loop, without any policy. This measures the least
 * CPU time that a leaf call can take. Usage: bench-bare CALLS CONNECTIONS PORT:SHARD... Prints one
 * line of JSON.
 */
#include "common/records.h"
#include "httpd.h"

#include <event2/buffer.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

/* Calls at the start that open the connections and fill caches; the figure leaves them out. */
#define WARMUP_CALLS 500

struct bare {
	struct event_base *base;
	uint64_t n_wanted;
	uint64_t n_sent;
	uint64_t n_done;
	uint64_t n_failed;
	uint64_t start_us;
	double start_cpu_us;
};

struct conn {
	struct bare *bare;
	struct evhttp_connection *evcon;
	char address[32];
	const char *shard;
};

static double cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6 +
	       (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

static void conn_call_send(struct conn *conn);

static void conn_call_done(struct evhttp_request *req, void *arg)
{
	struct conn *conn = arg;
	struct bare *b = conn->bare;

	if (!req || evhttp_request_get_response_code(req) != 200)
		b->n_failed++;
	if (++b->n_done == WARMUP_CALLS) {
		b->start_us = (uint64_t)g_get_monotonic_time();
		b->start_cpu_us = cpu_us();
	}
	if (b->n_done == b->n_wanted + WARMUP_CALLS)
		event_base_loopbreak(b->base);
	else if (b->n_sent < b->n_wanted + WARMUP_CALLS)
		conn_call_send(conn);
}

static void conn_call_send(struct conn *conn)
{
	struct evhttp_request *req = evhttp_request_new(conn_call_done, conn);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	char id[33];

	snprintf(id, sizeof(id), "%032" G_GINT64_MODIFIER "x", ++conn->bare->n_sent);
	evhttp_add_header(headers, "Host", conn->address);
	evhttp_add_header(headers, "X-Request-Id", id);
	evhttp_add_header(headers, "X-Index-Version", "1");
	evhttp_add_header(headers, "X-Map-Version", "1");
	evhttp_add_header(headers, "X-Shard", conn->shard);
	evhttp_add_header(headers, "X-Deadline-Ms", "500");
	evbuffer_add_printf(evhttp_request_get_output_buffer(req), "\"0000000000\"");
	evhttp_make_request(conn->evcon, req, EVHTTP_REQ_POST, "/search");
}

int main(int argc, char **argv)
{
	struct bare b = {.base = httpd_base_create()};
	int n_conns = argc > 3 ? atoi(argv[2]) : 0;
	struct conn *conns = NULL;
	double cpu;
	double seconds;

	if (n_conns < 1 || atoi(argv[1]) < 1) {
		fprintf(stderr, "usage: bench-bare CALLS CONNECTIONS PORT:SHARD...\n");
		return EXIT_FAILURE;
	}
	b.n_wanted = (uint64_t)atoi(argv[1]);
	conns = g_new0(struct conn, n_conns);
	for (int i = 0; i < n_conns; i++) {
		const char *leaf = argv[3 + i % (argc - 3)];
		const char *colon = strchr(leaf, ':');

		conns[i].bare = &b;
		conns[i].shard = colon ? colon + 1 : "0";
		snprintf(conns[i].address, sizeof(conns[i].address), "127.0.0.1:%d", atoi(leaf));
		conns[i].evcon = address_connect(b.base, conns[i].address);
		conn_call_send(&conns[i]);
	}
	event_base_dispatch(b.base);
	cpu = cpu_us() - b.start_cpu_us;
	seconds = (double)((uint64_t)g_get_monotonic_time() - b.start_us) / 1e6;
	printf("{\"calls\": %" G_GUINT64_FORMAT ", \"failed\": %" G_GUINT64_FORMAT
	       ", \"calls_per_s\": %.0f, \"cpu_us_per_call\": %.2f}\n",
	       b.n_wanted, b.n_failed, (double)b.n_wanted / seconds, cpu / (double)b.n_wanted);
	g_free(conns);
	return EXIT_SUCCESS;
}
