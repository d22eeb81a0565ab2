/*
 * fake-platform: stand-in for the platform's configuration service and VM list, which speaks the
 * protocol of docs/design.md, section 5.3. POST /control sets the mode; GET /record returns the
 * counters.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "httpd.h"
#include "list.h"
#include "result.h"
#include "section.h"

#define WAIT_MAX_MS 600000
#define VALUES_PREFIX "/v1/values/"

/*
 * X(symbol, name): ok serves the current values; down closes the connection of every read without a
 * response; stale serves the values of the moment when the mode was set.
 */
#define MODE_LIST(X)    \
	X(OK, "ok")     \
	X(DOWN, "down") \
	X(STALE, "stale")

enum mode {
#define X(symbol, name) MODE_##symbol,
	MODE_LIST(X)
#undef X
};

static const char *const mode_names[] = {
#define X(symbol, name) name,
	MODE_LIST(X)
#undef X
};

/* X(name): counters of GET /record; dropped counts reads whose connection was closed */
#define COUNTER_LIST(X)   \
	X(reads)          \
	X(reads_manifest) \
	X(reads_section)  \
	X(reads_vms)      \
	X(answers_200)    \
	X(answers_304)    \
	X(answers_404)    \
	X(dropped)        \
	X(puts)           \
	X(waiting_max)

struct counters {
#define X(name) uint64_t name;
	COUNTER_LIST(X)
#undef X
};

/* Reference-counted, because the current and the stale values share it. */
struct value {
	unsigned int refs;
	uint64_t version;
	char *body;
	size_t body_bytes;
};

struct platform {
	struct event_base *base;
	struct evhttp *http;
	uint16_t port;
	enum mode mode;
	GHashTable *values; /* name to struct value */
	GHashTable *stale_values; /* copy of values in the mode stale, otherwise NULL */
	struct list_head watches; /* reads that wait for a newer version */
	unsigned int waiting; /* length of watches */
	struct counters counters;
};

/* A read with wait_ms that has no response yet. */
struct watch {
	struct list_head node;
	struct platform *platform;
	struct evhttp_request *req;
	struct event *timer;
	char *name;
	uint64_t after_version; /* responds once the version is higher */
};

static struct value *value_ref(struct value *value)
{
	value->refs++;
	return value;
}

static void value_unref(void *arg)
{
	struct value *value = arg;

	if (--value->refs)
		return;
	g_free(value->body);
	g_free(value);
}

static GHashTable *values_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, value_unref);
}

static GHashTable *values_copy(GHashTable *values)
{
	GHashTable *copy = values_create();
	GHashTableIter iter;
	gpointer name = NULL;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, values);
	while (g_hash_table_iter_next(&iter, &name, &value))
		g_hash_table_insert(copy, g_strdup(name), value_ref(value));
	return copy;
}

/* The value that readers see in the current mode; NULL when there is none. */
static const struct value *value_find(const struct platform *p, const char *name)
{
	return g_hash_table_lookup(p->stale_values ? p->stale_values : p->values, name);
}

/*
 * Stores a value and takes body. Returns its version, which is one more than the version of the
 * value that it replaces, or 1.
 */
static uint64_t value_set(struct platform *p, const char *name, char *body, size_t body_bytes)
{
	const struct value *old = g_hash_table_lookup(p->values, name);
	struct value *value = g_new0(struct value, 1);

	value->refs = 1;
	value->version = old ? old->version + 1 : 1;
	value->body = body;
	value->body_bytes = body_bytes;
	g_hash_table_replace(p->values, g_strdup(name), value);
	return value->version;
}

static void value_reply(struct platform *p, struct evhttp_request *req, const struct value *value)
{
	char version[24];

	snprintf(version, sizeof(version), "%" G_GUINT64_FORMAT, value->version);
	httpd_header_set(req, "X-Version", version);
	httpd_header_set(req, "Content-Type", "application/json");
	p->counters.answers_200++;
	httpd_reply(req, 200, value->body, value->body_bytes);
}

static void watch_destroy(struct watch *watch)
{
	list_del(&watch->node);
	watch->platform->waiting--;
	event_free(watch->timer);
	g_free(watch->name);
	g_free(watch);
}

static void watch_expire(evutil_socket_t fd, short events, void *arg)
{
	struct watch *watch = arg;
	struct platform *p = watch->platform;
	struct evhttp_request *req = watch->req;

	watch_destroy(watch);
	p->counters.answers_304++;
	httpd_reply(req, 304, NULL, 0);
}

static void watch_add(struct platform *p, struct evhttp_request *req, const char *name,
		      uint64_t after_version, uint64_t wait_ms)
{
	struct watch *watch = g_new0(struct watch, 1);
	struct timeval wait = {.tv_sec = (time_t)(wait_ms / 1000),
			       .tv_usec = (suseconds_t)(wait_ms % 1000 * 1000)};

	watch->platform = p;
	watch->req = req;
	watch->name = g_strdup(name);
	watch->after_version = after_version;
	watch->timer = evtimer_new(p->base, watch_expire, watch);
	evtimer_add(watch->timer, &wait);
	list_add_tail(&watch->node, &p->watches);
	p->waiting++;
	p->counters.waiting_max = MAX(p->counters.waiting_max, p->waiting);
}

/* Responds to the watches whose value is now newer than the version that the reader has. */
static void watches_respond(struct platform *p)
{
	struct list_head *pos = NULL;
	struct list_head *next = NULL;

	list_for_each_safe (pos, next, &p->watches) {
		struct watch *watch = list_entry(pos, struct watch, node);
		const struct value *value = value_find(p, watch->name);
		struct evhttp_request *req = watch->req;

		if (!value || value->version <= watch->after_version)
			continue;
		watch_destroy(watch);
		value_reply(p, req, value);
	}
}

/* Closes the connections of all watches without a response. */
static void watches_drop(struct platform *p)
{
	struct list_head *pos = NULL;
	struct list_head *next = NULL;

	list_for_each_safe (pos, next, &p->watches) {
		struct watch *watch = list_entry(pos, struct watch, node);
		struct evhttp_request *req = watch->req;

		watch_destroy(watch);
		p->counters.dropped++;
		httpd_request_drop(p->base, req);
	}
}

static void read_counters_add(struct platform *p, const char *name)
{
	p->counters.reads++;
	if (strcmp(name, "manifest") == 0)
		p->counters.reads_manifest++;
	else if (strcmp(name, "vms") == 0)
		p->counters.reads_vms++;
	else if (g_str_has_prefix(name, "section/"))
		p->counters.reads_section++;
}

static void read_receive(struct platform *p, struct evhttp_request *req, const char *name)
{
	const struct value *value = value_find(p, name);
	struct evkeyvalq query;
	const char *after_text = NULL;
	const char *wait_text = NULL;
	uint64_t after_version = 0;
	uint64_t wait_ms = 0;
	bool valid = true;

	read_counters_add(p, name);
	if (p->mode == MODE_DOWN) {
		p->counters.dropped++;
		httpd_request_drop(p->base, req);
		return;
	}
	httpd_query_parse(req, &query);
	after_text = evhttp_find_header(&query, "after");
	wait_text = evhttp_find_header(&query, "wait_ms");
	valid = (!after_text || httpd_number_parse(after_text, UINT64_MAX, &after_version)) &&
		(!wait_text || httpd_number_parse(wait_text, WAIT_MAX_MS, &wait_ms));
	evhttp_clear_headers(&query);
	if (!valid) {
		httpd_reply(req, 400, NULL, 0);
	} else if (!value) {
		p->counters.answers_404++;
		httpd_reply(req, 404, NULL, 0);
	} else if (value->version > after_version) {
		value_reply(p, req, value);
	} else if (wait_ms) {
		watch_add(p, req, name, after_version, wait_ms);
	} else {
		p->counters.answers_304++;
		httpd_reply(req, 304, NULL, 0);
	}
}

/*
 * Splits a complete manifest and stores its sections before its index, so that no watch sees an
 * index without its sections.
 */
static bool manifest_set(struct platform *p, const char *body, size_t body_bytes, uint64_t *version,
			 GError **error)
{
	json_t *manifest = json_loadb(body, body_bytes, 0, NULL);
	struct section_set *set = section_split(manifest, error);
	char *index = NULL;

	json_decref(manifest);
	if (!set)
		return false;
	for (size_t i = 0; i < set->n; i++) {
		const struct section *section = &set->sections[i];
		char *name = g_strconcat("section/", section->sha256, NULL);

		if (!g_hash_table_contains(p->values, name))
			value_set(p, name, g_strdup(section->body), section->body_bytes);
		g_free(name);
	}
	index = json_dumps(set->index, JSON_COMPACT | JSON_SORT_KEYS);
	*version = value_set(p, "manifest", g_strdup(index), strlen(index));
	free(index);
	section_set_destroy(set);
	return true;
}

/*
 * PUT of a complete manifest to /v1/manifest, of the list of VMs to /v1/vms, or of any bytes to
 * /v1/values/NAME, which tests use to store malformed values.
 */
static void write_receive(struct platform *p, struct evhttp_request *req, const char *path)
{
	size_t body_bytes = 0;
	char *body = httpd_body_copy(req, &body_bytes);
	json_t *vms = NULL;
	GError *error = NULL;
	uint64_t version = 0;

	if (strcmp(path, "/v1/manifest") == 0) {
		manifest_set(p, body, body_bytes, &version, &error);
	} else if (strcmp(path, "/v1/vms") == 0) {
		vms = json_loadb(body, body_bytes, 0, NULL);
		if (json_is_array(json_object_get(vms, "vms")))
			version = value_set(p, "vms", g_strdup(body), body_bytes);
		json_decref(vms);
	} else if (g_str_has_prefix(path, VALUES_PREFIX)) {
		version = value_set(p, path + strlen(VALUES_PREFIX),
				    g_memdup2(body, body_bytes + 1), body_bytes);
	}
	g_free(body);
	if (version) {
		p->counters.puts++;
		httpd_reply_json(req, 200, json_pack("{s:I}", "version", (json_int_t)version));
		watches_respond(p);
	} else {
		httpd_reply_json(req, 400,
				 json_pack("{s:s}", "error", error ? error->message : "malformed"));
	}
	g_clear_error(&error);
}

static void mode_set(struct platform *p, enum mode mode)
{
	p->mode = mode;
	if (p->stale_values)
		g_hash_table_destroy(p->stale_values);
	p->stale_values = mode == MODE_STALE ? values_copy(p->values) : NULL;
	if (mode == MODE_DOWN)
		watches_drop(p);
	else
		watches_respond(p);
}

static void control_receive(struct platform *p, struct evhttp_request *req)
{
	struct evkeyvalq query;
	const char *key = NULL;
	const char *value = NULL;
	int mode = -1;

	httpd_query_parse(req, &query);
	key = evhttp_find_header(&query, "key");
	value = evhttp_find_header(&query, "value");
	for (unsigned int i = 0; i < G_N_ELEMENTS(mode_names); i++) {
		if (g_strcmp0(key, "mode") == 0 && g_strcmp0(value, mode_names[i]) == 0)
			mode = (int)i;
	}
	evhttp_clear_headers(&query);
	if (mode >= 0)
		mode_set(p, (enum mode)mode);
	httpd_reply(req, mode >= 0 ? 200 : 400, NULL, 0);
}

static void record_reply(struct platform *p, struct evhttp_request *req)
{
	json_t *versions = json_object();
	json_t *record = json_object();
	GHashTableIter iter;
	gpointer name = NULL;
	gpointer value = NULL;

	g_hash_table_iter_init(&iter, p->values);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (!g_str_has_prefix(name, "section/"))
			json_object_set_new(
				versions, name,
				json_integer((json_int_t)((struct value *)value)->version));
	}
#define X(name) json_object_set_new(record, #name, json_integer((json_int_t)p->counters.name));
	COUNTER_LIST(X)
#undef X
	json_object_set_new(record, "waiting", json_integer(p->waiting));
	json_object_set_new(record, "mode", json_string(mode_names[p->mode]));
	json_object_set_new(record, "versions", versions);
	httpd_reply_json(req, 200, record);
}

static void request_handle(struct evhttp_request *req, void *arg)
{
	struct platform *p = arg;
	const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	enum evhttp_cmd_type method = evhttp_request_get_command(req);

	if (method == EVHTTP_REQ_GET && g_str_has_prefix(path, VALUES_PREFIX))
		read_receive(p, req, path + strlen(VALUES_PREFIX));
	else if (method == EVHTTP_REQ_PUT)
		write_receive(p, req, path);
	else if (method == EVHTTP_REQ_POST && strcmp(path, "/control") == 0)
		control_receive(p, req);
	else if (method == EVHTTP_REQ_GET && strcmp(path, "/record") == 0)
		record_reply(p, req);
	else
		httpd_reply(req, 404, NULL, 0);
}

static bool files_load(struct platform *p, const char *manifest_path, const char *vms_path,
		       GError **error)
{
	char *body = NULL;
	gsize body_bytes = 0;
	uint64_t version = 0;
	bool valid = true;

	if (manifest_path) {
		if (!g_file_get_contents(manifest_path, &body, &body_bytes, error))
			return false;
		valid = manifest_set(p, body, body_bytes, &version, error);
		g_free(body);
	}
	if (valid && vms_path) {
		valid = g_file_get_contents(vms_path, &body, &body_bytes, error);
		if (valid)
			value_set(p, "vms", body, body_bytes);
	}
	return valid;
}

int main(int argc, char **argv)
{
	struct platform p = {.mode = MODE_OK};
	struct list_head *pos = NULL;
	struct list_head *next = NULL;
	int port = 0;
	char *manifest_path = NULL;
	char *vms_path = NULL;
	GError *error = NULL;
	int status = EXIT_FAILURE;
	const GOptionEntry entries[] = {
		{"port", 0, 0, G_OPTION_ARG_INT, &port, "Port; 0 picks a free port", "PORT"},
		{"manifest", 0, 0, G_OPTION_ARG_FILENAME, &manifest_path,
		 "Complete manifest to store at the start", "FILE"},
		{"vms", 0, 0, G_OPTION_ARG_FILENAME, &vms_path, "List of VMs to store at the start",
		 "FILE"},
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *options = g_option_context_new("- stand-in for the platform");

	g_option_context_add_main_entries(options, entries, NULL);
	list_init(&p.watches);
	p.values = values_create();
	if (!g_option_context_parse(options, &argc, &argv, &error) ||
	    !files_load(&p, manifest_path, vms_path, &error))
		goto out;
	if (argc > 1 || port < 0 || port > UINT16_MAX) {
		g_set_error(&error, RESULT_ERROR, RESULT_BAD_SETTING,
			    "an argument is unknown or out of range");
		goto out;
	}
	p.base = httpd_base_create();
	p.http = httpd_create(p.base, (uint16_t)port, &p.port, &error);
	if (!p.http)
		goto out;
	evhttp_set_gencb(p.http, request_handle, &p);
	printf("port %u\n", p.port);
	fflush(stdout);
	event_base_dispatch(p.base);
	status = EXIT_SUCCESS;
out:
	if (error)
		fprintf(stderr, "fake-platform: %s\n", error->message);
	g_clear_error(&error);
	list_for_each_safe (pos, next, &p.watches)
		watch_destroy(list_entry(pos, struct watch, node));
	if (p.http)
		evhttp_free(p.http);
	httpd_base_destroy(p.base);
	if (p.stale_values)
		g_hash_table_destroy(p.stale_values);
	g_hash_table_destroy(p.values);
	g_free(vms_path);
	g_free(manifest_path);
	g_option_context_free(options);
	return status;
}
