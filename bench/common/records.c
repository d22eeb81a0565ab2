#include "records.h"

#include "httpd.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_S 5
#define PERIOD_US 500000

struct counts {
	uint64_t received;
	uint64_t ran;
	uint64_t cancelled;
};

/* What one backend server reported on its control port last. The record outlives the server. */
struct record {
	struct records *records;
	struct evhttp_connection *evcon;
	bool is_busy; /* a request for the record is open */
	bool is_read; /* the record was read at least once */
	struct counts now; /* at the last reading */
	struct counts first; /* at the first reading */
	const char *service;
};

struct records {
	struct event_base *base;
	struct event *timer;
	GPtrArray *list; /* struct record */
	GHashTable *backends; /* backend name to service name */
};

struct evhttp_connection *address_connect(struct event_base *base, const char *address)
{
	const char *colon = strrchr(address, ':');
	g_autofree char *ip = g_strndup(address, colon ? (gsize)(colon - address) : 0);
	struct evhttp_connection *evcon = evhttp_connection_base_bufferevent_new(
		base, NULL, NULL, ip, colon ? (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10) : 0);

	evhttp_connection_set_timeout(evcon, TIMEOUT_S);
	return evcon;
}

json_t *answer_parse(struct evhttp_request *req)
{
	struct evbuffer *in;
	size_t n;

	if (!req || evhttp_request_get_response_code(req) == 0)
		return NULL;
	in = evhttp_request_get_input_buffer(req);
	n = evbuffer_get_length(in);
	return json_loadb((const char *)evbuffer_pullup(in, -1), n, 0, NULL);
}

/* Records of the fakes */

static void record_received(struct evhttp_request *req, void *arg)
{
	struct record *r = arg;
	json_t *body = answer_parse(req);
	const char *name = json_string_value(json_object_get(body, "name"));
	json_t *leaf;
	size_t i;

	r->is_busy = false;
	if (!name) {
		json_decref(body);
		return;
	}
	memset(&r->now, 0, sizeof(r->now));
	json_array_foreach(json_object_get(body, "leaves"), i, leaf)
	{
		r->now.received += json_integer_value(json_object_get(leaf, "received"));
		r->now.ran += json_integer_value(json_object_get(leaf, "ran"));
		r->now.cancelled += json_integer_value(json_object_get(leaf, "cancelled"));
	}
	if (!r->is_read)
		r->first = r->now;
	r->is_read = true;
	r->service = g_hash_table_lookup(r->records->backends, name);
	json_decref(body);
}

static void records_request(evutil_socket_t fd, short what, void *arg)
{
	static const struct timeval period = {0, PERIOD_US};
	struct records *l = arg;

	for (guint i = 0; i < l->list->len; i++) {
		struct record *r = g_ptr_array_index(l->list, i);
		struct evhttp_request *req;

		if (r->is_busy)
			continue;
		r->is_busy = true;
		req = evhttp_request_new(record_received, r);
		evhttp_add_header(evhttp_request_get_output_headers(req), "Host", "backend");
		evhttp_make_request(r->evcon, req, EVHTTP_REQ_GET, "/record");
	}
	evtimer_add(l->timer, &period);
}

static void backends_read(struct records *l, json_t *manifest)
{
	json_t *group;
	json_t *leaf;
	size_t i;
	size_t j;

	json_array_foreach(json_object_get(manifest, "groups"), i, group)
	{
		const char *service = json_string_value(json_object_get(group, "service"));

		json_array_foreach(json_object_get(group, "leaves"), j, leaf)
		{
			const char *name = json_string_value(json_object_get(leaf, "backend"));

			g_hash_table_replace(l->backends, g_strdup(name), g_strdup(service));
		}
	}
}

struct records *records_create(struct event_base *base, json_t *manifest, const char *ports)
{
	GArray *list = httpd_list_parse(ports);
	struct records *l;

	if (!list)
		return NULL;
	l = g_new0(struct records, 1);
	l->base = base;
	l->timer = evtimer_new(base, records_request, l);
	l->list = g_ptr_array_new();
	l->backends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	backends_read(l, manifest);
	for (guint i = 0; i < list->len; i++) {
		struct record *r = g_new0(struct record, 1);
		g_autofree char *address =
			g_strdup_printf("127.0.0.1:%u", g_array_index(list, unsigned int, i));

		r->records = l;
		r->evcon = address_connect(base, address);
		g_ptr_array_add(l->list, r);
	}
	g_array_unref(list);
	return l;
}

void records_start(struct records *l)
{
	records_request(-1, 0, l);
}

json_t *records_result(const struct records *l, const char *service, uint64_t needed)
{
	uint64_t received = 0;
	uint64_t ran = 0;
	uint64_t cancelled = 0;

	for (guint i = 0; i < l->list->len; i++) {
		const struct record *r = g_ptr_array_index(l->list, i);

		if (!r->service || strcmp(r->service, service) != 0)
			continue;
		received += r->now.received - r->first.received;
		ran += r->now.ran - r->first.ran;
		cancelled += r->now.cancelled - r->first.cancelled;
	}
	return json_pack("{s:I, s:I, s:I, s:I, s:f}", "needed", (json_int_t)needed, "received",
			 (json_int_t)received, "ran", (json_int_t)ran, "cancelled",
			 (json_int_t)cancelled, "extra_ratio",
			 needed ? (double)received / (double)needed - 1 : 0.0);
}

void records_destroy(struct records *l)
{
	if (!l)
		return;
	for (guint i = 0; i < l->list->len; i++) {
		struct record *r = g_ptr_array_index(l->list, i);

		evhttp_connection_free(r->evcon);
		g_free(r);
	}
	g_ptr_array_unref(l->list);
	g_hash_table_destroy(l->backends);
	event_free(l->timer);
	g_free(l);
}
