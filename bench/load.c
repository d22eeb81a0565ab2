/*
 * Sends searches and commands to the entries of the entry list in an open loop and checks every
 * answer. Latencies count from the intended send time. Prints one line of JSON.
 */
#include "common/records.h"
#include "common/stream.h"
#include "httpd.h"
#include "list.h"

#include <event2/buffer.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLERS 16
#define GRACE_US 1500000 /* time after the last request in which answers may still arrive */
#define RECORD_WAIT_US 200000 /* time for the last reading of the records */
#define ARGS_EXPECTED "an argument is unknown, missing or malformed"

struct entry {
	char *address;
	char *id_prefix;
	struct list_head idle;
};

struct conn {
	struct list_head node; /* in the list idle of its entry */
	struct entry *entry;
	struct evhttp_connection *evcon;
	bool closed;
};

struct request {
	struct load *load;
	struct stream *stream;
	struct conn *conn;
	uint64_t intended_us;
	bool measured; /* sent after the warm-up */
	char text[32]; /* query of a search, as JSON text */
	char id[200]; /* of a command */
};

struct load {
	struct event_base *base;
	struct event *timer;
	struct event *list_timer;
	GRand *rand;
	GPtrArray *streams;
	GPtrArray *entries; /* every entry that a list has named so far */
	GPtrArray *current; /* those of the newest list, which get the requests */
	struct records *records; /* NULL without --controls */
	const char *first_entry;
	uint64_t start_us;
	uint64_t measure_us;
	uint64_t end_us;
	uint64_t seed;
	uint64_t n_requests;
	uint64_t n_open;
	uint64_t max_lag_us; /* between intended and actual send time */
	bool is_ending; /* waits for the last reading of the records */
};

static uint64_t now_us_get(void)
{
	return (uint64_t)g_get_monotonic_time();
}

static void timer_set(struct event *timer, uint64_t wait_us)
{
	struct timeval wait = {(time_t)(wait_us / G_USEC_PER_SEC),
			       (suseconds_t)(wait_us % G_USEC_PER_SEC)};

	evtimer_add(timer, &wait);
}

/* Entry list */

static struct entry *entry_get(struct load *l, const char *address)
{
	struct entry *entry;

	for (guint i = 0; i < l->entries->len; i++) {
		entry = g_ptr_array_index(l->entries, i);
		if (strcmp(entry->address, address) == 0)
			return entry;
	}
	entry = g_new0(struct entry, 1);
	entry->address = g_strdup(address);
	list_init(&entry->idle);
	g_ptr_array_add(l->entries, entry);
	return entry;
}

static void load_tick(evutil_socket_t fd, short what, void *arg);

static void list_received(struct evhttp_request *req, void *arg)
{
	struct load *l = arg;
	json_t *body = answer_parse(req);
	json_t *list = json_object_get(body, "entries");
	json_int_t ttl_ms = json_integer_value(json_object_get(body, "ttl_ms"));
	json_t *item;
	size_t i;

	if (json_array_size(list) > 0)
		g_ptr_array_set_size(l->current, 0);
	json_array_foreach(list, i, item)
	{
		struct entry *entry =
			entry_get(l, json_string_value(json_object_get(item, "http")));

		g_free(entry->id_prefix);
		entry->id_prefix = g_strdup(json_string_value(json_object_get(item, "id_prefix")));
		g_ptr_array_add(l->current, entry);
	}
	json_decref(body);
	timer_set(l->list_timer, (uint64_t)MAX(ttl_ms, 200) * 1000);
}

static void list_request(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;
	const char *address = l->first_entry;
	struct evhttp_connection *evcon;
	struct evhttp_request *req = evhttp_request_new(list_received, l);

	if (l->current->len > 0) {
		guint32 n = g_rand_int(l->rand) % l->current->len;

		address = ((struct entry *)g_ptr_array_index(l->current, n))->address;
	}
	evcon = address_connect(l->base, address);
	evhttp_connection_free_on_completion(evcon);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", address);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Connection", "close");
	evhttp_make_request(evcon, req, EVHTTP_REQ_GET, "/entries");
}

/* Answers */

static void conn_closed(struct evhttp_connection *evcon, void *arg)
{
	((struct conn *)arg)->closed = true;
}

static void conn_free(struct conn *conn)
{
	list_del(&conn->node);
	evhttp_connection_set_closecb(conn->evcon, NULL, NULL);
	evhttp_connection_free(conn->evcon);
	g_free(conn);
}

static struct conn *conn_get(struct load *l, struct entry *entry)
{
	struct conn *conn;
	struct list_head *node;

	while ((node = list_pop_head(&entry->idle))) {
		conn = list_entry(node, struct conn, node);
		list_init(&conn->node);
		if (!conn->closed)
			return conn;
		conn_free(conn);
	}
	conn = g_new0(struct conn, 1);
	list_init(&conn->node);
	conn->entry = entry;
	conn->evcon = address_connect(l->base, entry->address);
	evhttp_connection_set_closecb(conn->evcon, conn_closed, conn);
	return conn;
}

static void request_answered(struct evhttp_request *req, void *arg)
{
	struct request *r = arg;
	struct conn *conn = r->conn;
	int status = req ? evhttp_request_get_response_code(req) : 0;
	json_t *body = answer_parse(req);

	r->load->n_open--;
	if (r->measured)
		stream_answer_count(r->stream, r->text, r->id, status, body,
				    now_us_get() - r->intended_us);
	json_decref(body);
	g_free(r);
	/* A connection that gave no answer is not used again; evhttp keeps it. */
	if (status)
		list_add_tail(&conn->node, &conn->entry->idle);
}

static void request_body_add(struct request *r, const struct entry *entry, uint64_t number,
			     struct evbuffer *out)
{
	const struct stream *s = r->stream;

	if (s->is_search) {
		snprintf(r->text, sizeof(r->text), "\"%010" G_GUINT64_FORMAT "\"", number);
		evbuffer_add_printf(out, "{\"service\": \"%s\", \"class\": \"%s\", \"query\": %s}",
				    s->service, s->klass, r->text);
	} else {
		snprintf(r->id, sizeof(r->id), "%s.%010" G_GUINT64_FORMAT,
			 entry->id_prefix ? entry->id_prefix : "", number);
		evbuffer_add_printf(out,
				    "{\"service\": \"%s\", \"class\": \"%s\", \"id\": \"%s\", "
				    "\"key\": \"key-%" G_GUINT64_FORMAT "\", \"body\": 1}",
				    s->service, s->klass, r->id, number);
	}
}

static void request_send(struct load *l, struct stream *s)
{
	struct request *r = g_new0(struct request, 1);
	uint64_t number = l->n_requests++;
	struct entry *entry = g_ptr_array_index(l->current, number % l->current->len);
	struct evhttp_request *req = evhttp_request_new(request_answered, r);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	char caller[32];

	r->load = l;
	r->stream = s;
	r->intended_us = s->next_us;
	r->measured = s->next_us >= l->measure_us;
	r->conn = conn_get(l, entry);
	s->sent_whole_run++;
	s->sent += r->measured;
	l->n_open++;
	evhttp_add_header(headers, "Host", entry->address);
	snprintf(caller, sizeof(caller), "caller-%u", (unsigned int)(number % CALLERS));
	evhttp_add_header(headers, "X-Caller", caller);
	request_body_add(r, entry, l->seed * 10000000 + number,
			 evhttp_request_get_output_buffer(req));
	evhttp_make_request(r->conn->evcon, req, EVHTTP_REQ_POST,
			    s->is_search ? "/search" : "/command");
}

static void load_tick(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;
	uint64_t now_us = now_us_get();
	uint64_t next_us = l->end_us;

	if (l->current->len == 0) {
		l->start_us = now_us;
		timer_set(l->timer, 10000);
		return;
	}
	for (guint i = 0; i < l->streams->len; i++) {
		struct stream *s = g_ptr_array_index(l->streams, i);

		while (s->next_us <= now_us && s->next_us < l->end_us) {
			l->max_lag_us = MAX(l->max_lag_us, now_us - s->next_us);
			request_send(l, s);
			s->next_us +=
				(uint64_t)(-log(1.0 - g_rand_double(l->rand)) * 1e6 / s->rate);
		}
		next_us = MIN(next_us, s->next_us);
	}
	if (now_us < l->end_us) {
		timer_set(l->timer, next_us > now_us ? next_us - now_us : 0);
	} else if (l->is_ending) {
		event_base_loopbreak(l->base);
	} else if (l->n_open == 0 || now_us >= l->end_us + GRACE_US) {
		/* The records are read once more after the last leaf call. */
		l->is_ending = true;
		if (l->records)
			records_start(l->records);
		timer_set(l->timer, RECORD_WAIT_US);
	} else {
		timer_set(l->timer, 20000);
	}
}

/* Result */

/* Leaf calls that a service needs: its searches times its shards, warm-up included. */
static uint64_t calls_needed(const struct load *l, const char *service)
{
	uint64_t needed = 0;

	for (guint i = 0; i < l->streams->len; i++) {
		const struct stream *s = g_ptr_array_index(l->streams, i);

		if (strcmp(s->service, service) == 0)
			needed += s->sent_whole_run * s->shards;
	}
	return needed;
}

static void result_print(struct load *l)
{
	json_t *streams = json_array();
	json_t *calls = json_object();
	char *text;

	for (guint i = 0; i < l->streams->len; i++) {
		struct stream *s = g_ptr_array_index(l->streams, i);

		json_array_append_new(streams,
				      stream_result(s, (double)(l->end_us - l->measure_us) / 1e6));
		if (l->records && !json_object_get(calls, s->service))
			json_object_set_new(calls, s->service,
					    records_result(l->records, s->service,
							   calls_needed(l, s->service)));
	}
	text = json_dumps(json_pack("{s:I, s:I, s:I, s:f, s:o, s:o}", "seed", (json_int_t)l->seed,
				    "requests", (json_int_t)l->n_requests, "unanswered",
				    (json_int_t)l->n_open, "max_lag_ms",
				    (double)l->max_lag_us / 1000, "streams", streams, "calls",
				    calls),
			  JSON_COMPACT | JSON_REAL_PRECISION(6));
	printf("%s\n", text);
	free(text);
}

/* Start */

int main(int argc, char **argv)
{
	char *manifest_path = NULL;
	char *entry = NULL;
	char *controls = NULL;
	gint64 seed = 1;
	int duration_ms = 2000;
	int warmup_ms = 500;
	const GOptionEntry options[] = {
		{"manifest", 0, 0, G_OPTION_ARG_FILENAME, &manifest_path, "Manifest", "FILE"},
		{"entry", 0, 0, G_OPTION_ARG_STRING, &entry, "Entry asked first", "ADDR"},
		{"controls", 0, 0, G_OPTION_ARG_STRING, &controls, "Control ports", "P1,P2"},
		{"seed", 0, 0, G_OPTION_ARG_INT64, &seed, "Seed of arrivals", "N"},
		{"duration-ms", 0, 0, G_OPTION_ARG_INT, &duration_ms, "Measured time", "MS"},
		{"warmup-ms", 0, 0, G_OPTION_ARG_INT, &warmup_ms, "Time left out", "MS"},
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new("SERVICE:CLASS:RATE...");
	struct load l = {
		.streams = g_ptr_array_new(),
		.entries = g_ptr_array_new(),
		.current = g_ptr_array_new(),
	};
	json_t *manifest = NULL;
	bool valid;

	g_option_context_add_main_entries(context, options, NULL);
	valid = g_option_context_parse(context, &argc, &argv, NULL) && manifest_path && entry &&
		argc > 1 && duration_ms > 0 && warmup_ms >= 0;
	g_option_context_free(context);
	l.base = httpd_base_create();
	if (valid)
		manifest = json_load_file(manifest_path, 0, NULL);
	for (int i = 1; valid && i < argc; i++) {
		struct stream *s = stream_create(manifest, argv[i]);

		valid = s != NULL;
		if (s)
			g_ptr_array_add(l.streams, s);
	}
	if (valid && controls) {
		l.records = records_create(l.base, manifest, controls);
		valid = l.records != NULL;
	}
	if (!valid) {
		fprintf(stderr, "bench-load: %s\n", ARGS_EXPECTED);
		return EXIT_FAILURE;
	}
	l.first_entry = entry;
	l.seed = (uint64_t)seed;
	l.rand = g_rand_new_with_seed((guint32)seed);
	l.timer = evtimer_new(l.base, load_tick, &l);
	l.list_timer = evtimer_new(l.base, list_request, &l);
	/* The entry list and the first records are read before the first request. */
	l.start_us = now_us_get() + 200000;
	l.measure_us = l.start_us + (uint64_t)warmup_ms * 1000;
	l.end_us = l.measure_us + (uint64_t)duration_ms * 1000;
	for (guint i = 0; i < l.streams->len; i++)
		((struct stream *)g_ptr_array_index(l.streams, i))->next_us = l.start_us;
	list_request(-1, 0, &l);
	if (l.records)
		records_start(l.records);
	timer_set(l.timer, 200000);
	event_base_dispatch(l.base);
	result_print(&l);
	return EXIT_SUCCESS;
}
