#include "front.h"

#include "clock.h"
#include "hist.h"
#include "inputlimit.h"
#include "list.h"
#include "message.h"
#include "request.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <inttypes.h>
#include <linux/sockios.h>
#include <string.h>
#include <sys/ioctl.h>

#define BODY_BYTES_MAX 65536
#define HEADER_BYTES_MAX 16384
/* A caller may send further requests before an answer; with more than this its connection fails. */
#define AHEAD_BYTES_MAX (1 << 20)
#define NAME_BYTES_MAX 63
/* A connection is closed when its caller takes nothing of an answer for this time. */
#define STALL_MAX_MS 10000
#define STALL_CHECK_MS 500

struct front {
	struct service service;
	struct evhttp *http;
	struct evhttp_bound_socket *bound;
	GHashTable *pending; /* tag -> struct pending */
	struct list_head sending; /* struct sending */
	struct event *stall_check;
	GHashTable *latency; /* "service/class" -> struct hist of microseconds */
	uint64_t next_tag;
	bool refuses_new_requests; /* a planned stop is near its time limit */
};

enum pending_kind {
	PENDING_REQUEST,
	PENDING_STATUS,
	PENDING_ENTRIES,
	PENDING_METRICS,
	PENDING_CONFIGURATION
};

/* An HTTP request of a caller or operator that waits for replies of other services. */
struct pending {
	struct evhttp_request *req;
	enum pending_kind kind;
	unsigned int n_replies_missing;
	json_t *body; /* merged status replies */
};

/* An answer to a caller that the socket has not taken as a whole yet. */
struct sending {
	struct list_head node; /* in front.sending */
	struct evhttp_connection *evcon;
	size_t untaken_bytes; /* not acknowledged by the caller when last looked at */
	uint64_t since_ms; /* when they last changed */
};

/* The HTTP status for a result code; see result.h for the ranges of the codes. */
static int http_status(enum result result)
{
	if (result == RESULT_UNKNOWN_SERVICE || result == RESULT_NOT_FOUND)
		return 404;
	if (result < 100)
		return 200;
	if (result < 200)
		return 400;
	return result < 300 ? 503 : 504;
}

static void json_send(struct evhttp_request *req, int status, const json_t *body)
{
	struct evbuffer *out = evhttp_request_get_output_buffer(req);
	char *text = json_dumps(body, JSON_COMPACT | JSON_PRESERVE_ORDER);

	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
			  "application/json");
	if (text)
		evbuffer_add(out, text, strlen(text));
	free(text);
	evhttp_send_reply(req, status, NULL, NULL);
}

static void error_send(struct front *f, struct evhttp_request *req, enum result result,
		       const char *detail)
{
	json_t *body = json_pack("{s:i, s:s, s:s}", "result", result, "reason", result_name(result),
				 "detail", detail);

	if (result < 200)
		counter_increment(kernel_counters(f->service.kernel), COUNTER_HTTP_BAD_REQUESTS);
	json_send(req, http_status(result), body);
	json_decref(body);
}

/* Returns the tag by which the replies find the request. */
static uint64_t pending_add(struct front *f, struct evhttp_request *req, enum pending_kind kind)
{
	struct pending *p = g_new0(struct pending, 1);

	p->req = req;
	p->kind = kind;
	p->body = json_object();
	g_hash_table_insert(f->pending, (gpointer)(guintptr)++f->next_tag, p);
	return f->next_tag;
}

static void pending_free(gpointer data)
{
	struct pending *p = data;

	json_decref(p->body);
	g_free(p);
}

/*
 * Returns the name that the caller gives itself, otherwise its IP address; to be freed. Callers
 * with the same name have one share of the queues.
 */
static char *caller_name(struct evhttp_request *req)
{
	const char *name = evhttp_find_header(evhttp_request_get_input_headers(req), "X-Caller");
	char *address = NULL;
	ev_uint16_t port;

	if (name && *name && strlen(name) <= NAME_BYTES_MAX)
		return g_strdup(name);
	evhttp_connection_get_peer(evhttp_request_get_connection(req), &address, &port);
	return g_strdup(address ? address : "");
}

static void request_forward(struct front *f, struct evhttp_request *req, bool is_command)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);
	struct caller_request *r = caller_request_create();
	g_autofree char *fault = NULL;
	const char *target = is_command ? "commander" : "searcher";

	if (!kernel_service_find(f->service.kernel, target)) {
		error_send(f, req, RESULT_NOT_FOUND,
			   "this VM serves gateway routes only, no searches or commands");
		message_destroy(&r->message);
		return;
	}
	if (f->refuses_new_requests) {
		error_send(f, req, RESULT_LEAVING, "this VM is stopping");
		message_destroy(&r->message);
		return;
	}
	r->arrived_us = clock_now_us();
	if (!request_parse(r, n ? (char *)evbuffer_pullup(in, -1) : "", n, is_command, &fault)) {
		error_send(f, req, RESULT_BAD_REQUEST, fault);
		message_destroy(&r->message);
		return;
	}
	r->caller = caller_name(req);
	r->reply_to = &f->service;
	r->tag = pending_add(f, req, PENDING_REQUEST);
	kernel_message_send(f->service.kernel, kernel_service_find(f->service.kernel, target),
			    &r->message);
}

/* What status_request.topic is for the request. */
static const char *pending_topic(enum pending_kind kind)
{
	switch (kind) {
	case PENDING_ENTRIES:
		return "entries";
	case PENDING_METRICS:
		return "metrics";
	case PENDING_CONFIGURATION:
		return "configuration";
	default:
		return "status";
	}
}

/* Asks the named services that run on this VM; at least one of them must run. */
static void status_ask(struct front *f, struct evhttp_request *req, enum pending_kind kind,
		       const char *const *services, unsigned int n)
{
	uint64_t tag = pending_add(f, req, kind);
	struct pending *p = g_hash_table_lookup(f->pending, (gpointer)(guintptr)tag);

	for (unsigned int i = 0; i < n; i++) {
		struct service *target = kernel_service_find(f->service.kernel, services[i]);
		struct status_request *request;

		if (!target)
			continue;
		request = status_request_create(&f->service, tag, pending_topic(kind));
		kernel_message_send(f->service.kernel, target, &request->message);
		p->n_replies_missing++;
	}
}

static void latency_render(const struct front *f, GString *out)
{
	static const double quantiles[] = {0.5, 0.95, 0.99, 0.999};
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_string_append(out, "# HELP apricot_latency_us latency from arrival to answer\n"
			     "# TYPE apricot_latency_us summary\n");
	g_hash_table_iter_init(&iter, f->latency);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const char *slash = strchr(key, '/');
		g_autofree char *service = g_strndup(key, slash - (char *)key);

		for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
			g_string_append_printf(out,
					       "apricot_latency_us{service=\"%s\",class=\"%s\","
					       "quantile=\"%g\"} %" PRIu64 "\n",
					       service, slash + 1, quantiles[i],
					       hist_quantile(value, quantiles[i]));
		g_string_append_printf(
			out, "apricot_latency_us_count{service=\"%s\",class=\"%s\"} %" PRIu64 "\n",
			service, slash + 1, hist_count(value));
	}
}

/* body: metrics of other services as text, each under a key of its own; NULL without any */
static void metrics_send(struct front *f, struct evhttp_request *req, const json_t *body)
{
	static const char *const keys[] = {"metrics", "load_metrics"};
	GString *text = g_string_new(NULL);

	counter_render(kernel_counters(f->service.kernel), text);
	latency_render(f, text);
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
		const char *more = json_string_value(json_object_get(body, keys[i]));

		g_string_append(text, more ? more : "");
	}
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type", "text/plain");
	evbuffer_add(evhttp_request_get_output_buffer(req), text->str, text->len);
	evhttp_send_reply(req, 200, NULL, NULL);
	g_string_free(text, TRUE);
}

static void metrics_ask(struct front *f, struct evhttp_request *req)
{
	static const char *const services[] = {"gateway", "loadmeter"};

	if (kernel_service_find(f->service.kernel, services[0]))
		status_ask(f, req, PENDING_METRICS, services, G_N_ELEMENTS(services));
	else
		metrics_send(f, req, NULL);
}

static void configuration_ask(struct front *f, struct evhttp_request *req)
{
	static const char *const services[] = {"gateway"};

	if (kernel_service_find(f->service.kernel, services[0]))
		status_ask(f, req, PENDING_CONFIGURATION, services, G_N_ELEMENTS(services));
	else
		error_send(f, req, RESULT_NOT_FOUND, "this VM has no gateway routes");
}

/* Sends the text of the routing configuration as the store has it. */
static void configuration_send(struct front *f, struct evhttp_request *req, const json_t *body)
{
	const json_t *text = json_object_get(body, "configuration");

	if (!text) {
		error_send(f, req, RESULT_NOT_READY, "this VM has no configuration yet");
		return;
	}
	evhttp_add_header(evhttp_request_get_output_headers(req), "Content-Type",
			  "application/json");
	evbuffer_add(evhttp_request_get_output_buffer(req), json_string_value(text),
		     json_string_length(text));
	evhttp_send_reply(req, 200, NULL, NULL);
}

static void http_handle(struct evhttp_request *req, void *arg)
{
	static const char *const status_services[] = {"configurer", "membership", "holder",
						      "commander",  "stopper",	  "gateway",
						      "loadmeter"};
	static const char *const entries_services[] = {"membership"};
	struct front *f = arg;
	const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	bool is_post = evhttp_request_get_command(req) == EVHTTP_REQ_POST;

	if (g_strcmp0(path, "/search") == 0 && is_post)
		request_forward(f, req, false);
	else if (g_strcmp0(path, "/command") == 0 && is_post)
		request_forward(f, req, true);
	else if (g_strcmp0(path, "/entries") == 0 && !is_post)
		status_ask(f, req, PENDING_ENTRIES, entries_services,
			   G_N_ELEMENTS(entries_services));
	else if (g_strcmp0(path, "/status") == 0 && !is_post)
		status_ask(f, req, PENDING_STATUS, status_services, G_N_ELEMENTS(status_services));
	else if (g_strcmp0(path, "/metrics") == 0 && !is_post)
		metrics_ask(f, req);
	else if (g_strcmp0(path, "/configuration") == 0 && !is_post)
		configuration_ask(f, req);
	else
		error_send(f, req, RESULT_NOT_FOUND, "no such path or method");
}

static void sending_end(struct sending *s)
{
	list_del(&s->node);
	g_free(s);
}

static void answer_sent(struct evhttp_request *req, void *arg)
{
	struct sending *s = arg;

	evhttp_connection_set_closecb(s->evcon, NULL, NULL);
	sending_end(s);
}

static void connection_closed(struct evhttp_connection *evcon, void *arg)
{
	sending_end(arg);
}

/* Counts the answer, which is sent next, as work until it is sent or its connection is closed. */
static void sending_begin(struct front *f, struct evhttp_request *req)
{
	struct evhttp_connection *evcon = evhttp_request_get_connection(req);
	struct sending *s;

	if (!evcon) /* the caller has left */
		return;
	s = g_new0(struct sending, 1);
	s->evcon = evcon;
	s->since_ms = clock_now_ms();
	list_add_tail(&s->node, &f->sending);
	evhttp_request_set_on_complete_cb(req, answer_sent, s);
	evhttp_connection_set_closecb(evcon, connection_closed, s);
}

/* False when the caller has taken nothing for STALL_MAX_MS. */
static bool sending_goes_on(struct sending *s, uint64_t now_ms)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(s->evcon);
	size_t untaken_bytes = evbuffer_get_length(bufferevent_get_output(bev));
	int queued = 0;

	if (ioctl(bufferevent_getfd(bev), SIOCOUTQ, &queued) == 0 && queued > 0)
		untaken_bytes += (size_t)queued;
	if (untaken_bytes != s->untaken_bytes) {
		s->untaken_bytes = untaken_bytes;
		s->since_ms = now_ms;
	}
	return now_ms - s->since_ms <= STALL_MAX_MS;
}

static void stall_check_handle(evutil_socket_t fd, short what, void *arg)
{
	struct front *f = arg;
	struct list_head *pos;
	struct list_head *next;
	uint64_t now_ms = clock_now_ms();

	list_for_each_safe (pos, next, &f->sending) {
		struct sending *s = list_entry(pos, struct sending, node);

		if (!sending_goes_on(s, now_ms))
			evhttp_connection_free(s->evcon); /* ends s */
	}
}

static void latency_add(struct front *f, const struct caller_answer *answer)
{
	g_autofree char *key = NULL;
	struct hist *hist;

	if (!answer->service)
		return;
	key = g_strconcat(answer->service, "/", answer->klass, NULL);
	hist = g_hash_table_lookup(f->latency, key);
	if (!hist) {
		hist = hist_create();
		g_hash_table_insert(f->latency, g_strdup(key), hist);
	}
	hist_add(hist, clock_now_us() - answer->arrived_us);
}

static void answer_receive(struct front *f, struct caller_answer *answer)
{
	struct pending *p = g_hash_table_lookup(f->pending, (gpointer)(guintptr)answer->tag);

	if (!p)
		return;
	latency_add(f, answer);
	sending_begin(f, p->req);
	json_send(p->req, http_status(answer->result), answer->body);
	g_hash_table_remove(f->pending, (gpointer)(guintptr)answer->tag);
}

static void status_receive(struct front *f, struct status_reply *reply)
{
	struct pending *p = g_hash_table_lookup(f->pending, (gpointer)(guintptr)reply->tag);

	if (!p)
		return;
	json_object_update(p->body, reply->body);
	if (--p->n_replies_missing > 0)
		return;
	if (p->kind == PENDING_METRICS)
		metrics_send(f, p->req, p->body);
	else if (p->kind == PENDING_CONFIGURATION)
		configuration_send(f, p->req, p->body);
	else
		json_send(p->req, 200, p->body);
	g_hash_table_remove(f->pending, (gpointer)(guintptr)reply->tag);
}

/*
 * Reports how many requests of callers are unanswered or have answers that are being sent; a
 * planned stop waits for them.
 */
static void own_status_answer(struct front *f, const struct status_request *request)
{
	json_int_t n = 0;
	struct list_head *pos;
	GHashTableIter iter;
	gpointer value;
	struct status_reply *reply;

	g_hash_table_iter_init(&iter, f->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((struct pending *)value)->kind == PENDING_REQUEST;
	list_for_each (pos, &f->sending)
		n++;
	reply = status_reply_create(request->tag, json_pack("{s:{s:I}}", "front", "requests", n));
	kernel_message_send(f->service.kernel, request->reply_to, &reply->message);
}

static void front_receive(struct service *s, struct message *m)
{
	struct front *f = (struct front *)s;

	switch ((enum message_kind)m->kind) {
	case MESSAGE_CALLER_ANSWER:
		answer_receive(f, (struct caller_answer *)m);
		break;
	case MESSAGE_NEW_REQUESTS_REFUSED:
		f->refuses_new_requests = true;
		break;
	case MESSAGE_STATUS_REPLY:
		status_receive(f, (struct status_reply *)m);
		break;
	case MESSAGE_STATUS_REQUEST:
		own_status_answer(f, (struct status_request *)m);
		break;
	default:
		break;
	}
	message_destroy(m);
}

static void front_destroy(struct service *s)
{
	struct front *f = (struct front *)s;

	if (f->http)
		evhttp_free(f->http);
	if (f->stall_check)
		event_free(f->stall_check);
	g_hash_table_destroy(f->pending);
	g_hash_table_destroy(f->latency);
	g_free(f);
}

static struct bufferevent *caller_bev_create(struct event_base *base, void *arg)
{
	struct bufferevent *bev = bufferevent_socket_new(base, -1, 0);

	if (bev)
		inputlimit_set(bev, AHEAD_BYTES_MAX);
	return bev;
}

struct service *front_create(struct kernel *k, const char *http_address, GError **error)
{
	static const struct service_ops ops = {
		.name = "front",
		.receive = front_receive,
		.destroy = front_destroy,
	};
	static const struct timeval stall_period = {0, STALL_CHECK_MS * 1000L};
	struct front *f = g_new0(struct front, 1);
	const char *colon = strrchr(http_address, ':');
	g_autofree char *ip = colon ? g_strndup(http_address, colon - http_address) : NULL;

	f->service.ops = &ops;
	list_init(&f->sending);
	f->pending = g_hash_table_new_full(NULL, NULL, NULL, pending_free);
	f->latency = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)hist_destroy);
	f->stall_check = event_new(kernel_base(k), -1, EV_PERSIST, stall_check_handle, f);
	event_add(f->stall_check, &stall_period);
	f->http = evhttp_new(kernel_base(k));
	evhttp_set_max_body_size(f->http, BODY_BYTES_MAX);
	evhttp_set_max_headers_size(f->http, HEADER_BYTES_MAX);
	evhttp_set_bevcb(f->http, caller_bev_create, NULL);
	evhttp_set_allowed_methods(f->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST);
	evhttp_set_gencb(f->http, http_handle, f);
	if (!manifest_address_is_valid(http_address)) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_SETTING,
			    "--http: '%s' is not an address of the form IP:PORT", http_address);
		goto fail;
	}
	f->bound = evhttp_bind_socket_with_handle(
		f->http, ip, (ev_uint16_t)g_ascii_strtoull(colon + 1, NULL, 10));
	if (!f->bound) {
		g_set_error(error, RESULT_ERROR, RESULT_SYSTEM, "--http: cannot bind %s: %s",
			    http_address, g_strerror(errno));
		goto fail;
	}
	return &f->service;
fail:
	front_destroy(&f->service);
	return NULL;
}
