#include "httpd.h"

#include <event2/buffer.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "result.h"

/* Longer than any test runs, so that only the client closes an idle connection. */
#define IDLE_TIMEOUT_S 3600
#define BODY_MAX_BYTES 8388608

static struct event *signal_events[2];

static void loop_stop(evutil_socket_t signal_number, short events, void *arg)
{
	event_base_loopbreak(arg);
}

struct event_base *httpd_base_create(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base = NULL;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	signal(SIGPIPE, SIG_IGN);
	signal_events[0] = evsignal_new(base, SIGTERM, loop_stop, base);
	signal_events[1] = evsignal_new(base, SIGINT, loop_stop, base);
	evsignal_add(signal_events[0], NULL);
	evsignal_add(signal_events[1], NULL);
	return base;
}

void httpd_base_destroy(struct event_base *base)
{
	if (!base)
		return;
	event_free(signal_events[0]);
	event_free(signal_events[1]);
	event_base_free(base);
}

struct evhttp *httpd_create(struct event_base *base, uint16_t port, uint16_t *bound_port,
			    GError **error)
{
	struct evhttp *http = evhttp_new(base);
	struct evhttp_bound_socket *bound_socket =
		evhttp_bind_socket_with_handle(http, "127.0.0.1", port);
	struct sockaddr_in addr = {0};
	socklen_t addr_bytes = sizeof(addr);

	if (!bound_socket || getsockname(evhttp_bound_socket_get_fd(bound_socket),
					 (struct sockaddr *)&addr, &addr_bytes) < 0) {
		g_set_error(error, RESULT_ERROR, RESULT_SYSTEM, "port %u cannot be bound: %s", port,
			    g_strerror(errno));
		evhttp_free(http);
		return NULL;
	}
	*bound_port = ntohs(addr.sin_port);
	evhttp_set_timeout(http, IDLE_TIMEOUT_S);
	evhttp_set_max_body_size(http, BODY_MAX_BYTES);
	return http;
}

bool httpd_number_parse(const char *text, uint64_t max, uint64_t *value)
{
	return text && g_ascii_string_to_unsigned(text, 10, 0, max, value, NULL);
}

GArray *httpd_list_parse(const char *text)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(unsigned int));
	char **parts = g_strsplit(text, ",", -1);

	for (char **part = parts; *part; part++) {
		uint64_t number = 0;
		unsigned int item = 0;

		if (!httpd_number_parse(*part, UINT32_MAX, &number)) {
			g_array_unref(list);
			list = NULL;
			break;
		}
		item = (unsigned int)number;
		g_array_append_val(list, item);
	}
	g_strfreev(parts);
	return list;
}

char *httpd_list_format(const GArray *list)
{
	GString *text = g_string_new(NULL);

	for (unsigned int i = 0; i < list->len; i++)
		g_string_append_printf(text, "%s%u", i ? "," : "",
				       g_array_index(list, unsigned int, i));
	return g_string_free(text, FALSE);
}

const char *httpd_header_get(struct evhttp_request *req, const char *name)
{
	return evhttp_find_header(evhttp_request_get_input_headers(req), name);
}

void httpd_header_set(struct evhttp_request *req, const char *name, const char *value)
{
	evhttp_add_header(evhttp_request_get_output_headers(req), name, value);
}

char *httpd_body_copy(struct evhttp_request *req, size_t *body_bytes)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(req);
	size_t size = evbuffer_get_length(input);
	char *body = g_malloc(size + 1);

	evbuffer_copyout(input, body, size);
	body[size] = '\0';
	*body_bytes = size;
	return body;
}

void httpd_query_parse(struct evhttp_request *req, struct evkeyvalq *query)
{
	const char *text = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));

	evhttp_parse_query_str(text ? text : "", query);
}

void httpd_reply(struct evhttp_request *req, int code, const void *body, size_t body_bytes)
{
	struct evbuffer *output = evbuffer_new();

	evbuffer_add(output, body, body_bytes);
	evhttp_send_reply(req, code, NULL, output);
	evbuffer_free(output);
}

void httpd_reply_json(struct evhttp_request *req, int code, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT | JSON_SORT_KEYS);

	httpd_header_set(req, "Content-Type", "application/json");
	httpd_reply(req, code, text, strlen(text));
	free(text);
	json_decref(body);
}

static void request_drop_run(evutil_socket_t fd, short events, void *arg)
{
	struct evhttp_request *req = arg;
	struct evhttp_connection *evcon = evhttp_request_get_connection(req);

	if (evcon)
		evhttp_connection_free(evcon);
	else
		evhttp_request_free(req);
}

void httpd_request_drop(struct event_base *base, struct evhttp_request *req)
{
	const struct timeval now = {0};

	event_base_once(base, -1, EV_TIMEOUT, request_drop_run, req, &now);
}
