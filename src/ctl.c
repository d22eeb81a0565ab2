#include "adapter_platform.h"
#include "command.h"
#include "explain.h"
#include "http.h"
#include "manifest.h"
#include "mapcheck.h"
#include "result.h"
#include "settings.h"

#include <errno.h>
#include <event2/event.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Operators' scripts rely on these exit codes. */
enum exit_code { EXIT_OK, EXIT_PARTIAL, EXIT_USAGE, EXIT_NOT_RUN, EXIT_UNKNOWN, EXIT_NO_ANSWER };

static char *opt_entry;
static char *opt_class = "";
static char *opt_caller;
static char *opt_id;
static char *opt_against;
static char *opt_leaves;
static char *opt_settings;
static gboolean opt_json;
static gint opt_deadline_ms;
static gint opt_timeout_ms = 65000;

static const GOptionEntry option_entries[] = {
	{"entry", 'e', 0, G_OPTION_ARG_STRING, &opt_entry,
	 "address of any entry VM (or APRICOT_ENTRY)", "IP:PORT"},
	{"class", 'c', 0, G_OPTION_ARG_STRING, &opt_class, "class of the request", "NAME"},
	{"caller", 0, 0, G_OPTION_ARG_STRING, &opt_caller, "name of the caller", "NAME"},
	{"id", 0, 0, G_OPTION_ARG_STRING, &opt_id, "repeat the command with this id", "ID"},
	{"deadline-ms", 'd', 0, G_OPTION_ARG_INT, &opt_deadline_ms, "deadline of the request, ms",
	 "N"},
	{"timeout-ms", 't', 0, G_OPTION_ARG_INT, &opt_timeout_ms,
	 "how long to wait for an answer, ms", "N"},
	{"against", 0, 0, G_OPTION_ARG_FILENAME, &opt_against,
	 "compare the checked configuration with this file, or with that of the VM at IP:PORT",
	 "CURRENT"},
	{"leaves", 0, 0, G_OPTION_ARG_FILENAME, &opt_leaves,
	 "compare the checked configuration with this listing of the store's leaves", "FILE"},
	{"settings", 0, 0, G_OPTION_ARG_FILENAME, &opt_settings,
	 "compare the checked configuration with these settings of the daemons", "FILE"},
	{"json", 0, 0, G_OPTION_ARG_NONE, &opt_json, "print the result of a check as JSON", NULL},
	G_OPTION_ENTRY_NULL,
};

/* An HTTP request in progress and its answer. */
struct exchange {
	struct event_base *base;
	int status; /* 0: no answer */
	char *body;
};

static void exchange_done(void *arg, const struct http_answer *answer)
{
	struct exchange *x = arg;

	x->status = answer->status;
	x->body = g_strndup(answer->body, answer->body_bytes);
	event_base_loopbreak(x->base);
}

/*
 * Sends a request and waits for the answer. Returns the body of the answer, which the caller frees
 * with g_free. Without an answer it prints a message, sets *status to 0 and returns NULL.
 */
static char *exchange_run(const char *address, const char *path, const char *body, int *status)
{
	struct exchange x = {.base = event_base_new()};
	struct http_client *client = http_client_create(x.base, address);

	http_client_call(client, path, opt_caller, body, opt_timeout_ms, exchange_done, &x);
	event_base_dispatch(x.base);
	http_client_destroy(client);
	event_base_free(x.base);
	*status = x.status;
	if (x.status != 0)
		return x.body;
	g_free(x.body);
	fprintf(stderr, "apricotctl: no answer from %s\n", address);
	return NULL;
}

/* Prints the answer to a GET, indented if it is JSON; returns the exit code. */
static int answer_show(const char *path)
{
	int status;
	char *body = exchange_run(opt_entry, path, NULL, &status);
	json_t *json = body ? json_loads(body, 0, NULL) : NULL;

	if (!body)
		return EXIT_NO_ANSWER;
	if (json)
		json_dumpf(json, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
	else
		fputs(body, stdout);
	putchar('\n');
	json_decref(json);
	g_free(body);
	return status == 200 ? EXIT_OK : EXIT_NOT_RUN;
}

/* A text that is not JSON becomes a JSON string. */
static json_t *payload_parse(const char *text)
{
	json_t *value = json_loads(text, JSON_DECODE_ANY, NULL);

	return value ? value : json_string(text);
}

static int result_exit_code(const json_t *answer)
{
	json_int_t result = json_integer_value(json_object_get(answer, "result"));
	const char *outcome = json_string_value(json_object_get(answer, "outcome"));

	if (outcome && strcmp(outcome, "unknown") == 0)
		return EXIT_UNKNOWN;
	if (outcome && strcmp(outcome, "not_run") == 0)
		return EXIT_NOT_RUN;
	if (result == RESULT_OK)
		return EXIT_OK;
	if (result == RESULT_PARTIAL)
		return EXIT_PARTIAL;
	return result_is_not_run((enum result)result) ? EXIT_NOT_RUN : EXIT_USAGE;
}

/* Sends the request and prints the answer; returns the exit code. Takes over the request. */
static int request_run(const char *address, const char *path, json_t *request)
{
	char *text = json_dumps(request, JSON_COMPACT);
	int status;
	char *body = exchange_run(address, path, text, &status);
	json_t *answer = body ? json_loads(body, 0, NULL) : NULL;
	int code = EXIT_NO_ANSWER;

	if (answer) {
		json_dumpf(answer, stdout, JSON_INDENT(2) | JSON_PRESERVE_ORDER);
		putchar('\n');
		code = result_exit_code(answer);
	}
	json_decref(answer);
	json_decref(request);
	g_free(body);
	free(text);
	return code;
}

static json_t *request_create(const char *service)
{
	json_t *request = json_pack("{s:s, s:s}", "service", service, "class", opt_class);

	if (opt_deadline_ms > 0)
		json_object_set_new(request, "deadline_ms", json_integer(opt_deadline_ms));
	return request;
}

/* Returns the entry VMs in order of preference. Prints a message and returns NULL without any. */
static json_t *entries_fetch(void)
{
	int status;
	char *body = exchange_run(opt_entry, "/entries", NULL, &status);
	json_t *answer = body ? json_loads(body, 0, NULL) : NULL;
	json_t *entries = json_incref(json_object_get(answer, "entries"));

	if (body && json_array_size(entries) == 0) {
		fprintf(stderr, "apricotctl: %s knows no usable entry VM\n", opt_entry);
		json_decref(entries);
		entries = NULL;
	}
	json_decref(answer);
	g_free(body);
	return entries;
}

/* "" when the field is missing. */
static const char *entry_field(const json_t *entry, const char *name)
{
	const char *text = json_string_value(json_object_get(entry, name));

	return text ? text : "";
}

static int ask_run(int argc, char **argv)
{
	json_t *entries;
	json_t *request;
	int code;

	if (argc != 4) {
		fprintf(stderr, "usage: apricotctl ask SERVICE QUERY\n");
		return EXIT_USAGE;
	}
	entries = entries_fetch();
	if (!entries)
		return EXIT_NO_ANSWER;
	request = request_create(argv[2]);
	json_object_set_new(request, "query", payload_parse(argv[3]));
	code = request_run(entry_field(json_array_get(entries, 0), "http"), "/search", request);
	json_decref(entries);
	return code;
}

/*
 * Returns the entry VM whose process issued the id, because only that process may dispatch the
 * command. Returns the first entry VM if none of them issued it.
 */
static json_t *entry_of_id(const json_t *entries, const char *id)
{
	size_t i;
	json_t *entry;

	json_array_foreach(entries, i, entry)
	{
		const char *prefix = entry_field(entry, "id_prefix");
		const char *dot = strchr(prefix, '.');

		if (dot && strncmp(prefix, id, dot - prefix + 1) == 0)
			return entry;
	}
	return json_array_get(entries, 0);
}

static int command_run(int argc, char **argv)
{
	g_autofree char *id = NULL;
	json_t *entries;
	json_t *entry;
	json_t *request;
	int code;

	if (argc != 5) {
		fprintf(stderr, "usage: apricotctl command SERVICE KEY BODY\n");
		return EXIT_USAGE;
	}
	entries = entries_fetch();
	if (!entries)
		return EXIT_NO_ANSWER;
	if (opt_id) {
		id = g_strdup(opt_id);
		entry = entry_of_id(entries, id);
	} else {
		g_autofree char *uuid = g_uuid_string_random();

		entry = json_array_get(entries, 0);
		id = g_strdup_printf("%s.%s", entry_field(entry, "id_prefix"), uuid);
	}
	request = request_create(argv[2]);
	json_object_set_new(request, "id", json_string(id));
	json_object_set_new(request, "key", json_string(argv[3]));
	json_object_set_new(request, "body", payload_parse(argv[4]));
	code = request_run(entry_field(entry, "http"), "/command", request);
	if (code == EXIT_NO_ANSWER) {
		fprintf(stderr, "apricotctl: outcome unknown, repeat with --id %s\n", id);
		code = EXIT_UNKNOWN;
	}
	json_decref(entries);
	return code;
}

/*
 * Reads a file, of a long one no more than shows that it is too long. False with a message on
 * standard error when it cannot be read.
 */
static bool file_read(const char *name, struct mapcheck_file *file)
{
	char *text = g_malloc(MAPCHECK_BYTES_MAX + 1);
	FILE *in = fopen(name, "r");
	bool is_read = false;

	if (in) {
		file->n = fread(text, 1, MAPCHECK_BYTES_MAX + 1, in);
		is_read = !ferror(in);
	}
	if (!is_read)
		fprintf(stderr, "apricotctl: %s: %s\n", name, g_strerror(errno));
	if (in)
		fclose(in);
	file->name = name;
	file->text = text;
	return is_read;
}

static int files_check(const struct mapcheck_file *file, const struct mapcheck_context *context)
{
	GError *error = NULL;
	struct mapcheck *c = mapcheck_create(adapter_platform(), file, context, &error);
	char *out;
	int code;

	if (!c) {
		fprintf(stderr, "apricotctl: %s\n", error->message);
		g_error_free(error);
		return MAPCHECK_EXIT_UNREADABLE;
	}
	out = opt_json ? mapcheck_render_json(c) : mapcheck_render_text(c);
	fputs(out, stdout);
	code = mapcheck_exit_code(c);
	g_free(out);
	mapcheck_destroy(c);
	return code;
}

/*
 * Fetches the routing configuration in force at an entry VM. False with a message on standard error
 * without one.
 */
static bool current_fetch(const char *address, struct mapcheck_file *current)
{
	int status;
	char *body = exchange_run(address, "/configuration", NULL, &status);

	if (!body)
		return false;
	if (status != 200) {
		fprintf(stderr, "apricotctl: %s: no routing configuration (HTTP status %d)\n",
			address, status);
		g_free(body);
		return false;
	}
	*current = (struct mapcheck_file){address, body, strlen(body)};
	return true;
}

/* False with a message on standard error when a file cannot be read. */
static bool context_read(struct mapcheck_file *current, struct mapcheck_file *leaves,
			 struct mapcheck_context *context)
{
	GError *error = NULL;

	if (opt_against) {
		if (manifest_address_is_valid(opt_against) ? !current_fetch(opt_against, current)
							   : !file_read(opt_against, current))
			return false;
		context->current = current;
	}
	if (opt_leaves) {
		if (!file_read(opt_leaves, leaves))
			return false;
		context->leaves = leaves;
	}
	if (opt_settings && !settings_file_stop_ms(opt_settings, &context->stop_ms, &error)) {
		fprintf(stderr, "apricotctl: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	return true;
}

static int config_check(int argc, char **argv)
{
	struct mapcheck_file file = {0};
	struct mapcheck_file current = {0};
	struct mapcheck_file leaves = {0};
	struct mapcheck_context context = {0};
	int code = MAPCHECK_EXIT_UNREADABLE;

	if (argc != 3) {
		fprintf(stderr, "usage: apricotctl check-config NEW [--against CURRENT|IP:PORT] "
				"[--leaves FILE] [--settings FILE] [--json]\n");
		return code;
	}
	if (file_read(argv[2], &file) && context_read(&current, &leaves, &context))
		code = files_check(&file, &context);
	g_free((char *)file.text);
	g_free((char *)current.text);
	g_free((char *)leaves.text);
	return code;
}

static int explain_run(int argc, char **argv)
{
	unsigned int n = argc > 3 ? (unsigned int)argc - 3 : 0;
	struct explain_file *files = g_new0(struct explain_file, MAX(1, n));
	int code = EXIT_USAGE;
	bool found = false;
	char *out = NULL;

	if (n == 0) {
		fprintf(stderr, "usage: apricotctl explain ID FILE...\n");
		goto done;
	}
	for (unsigned int i = 0; i < n; i++) {
		GError *error = NULL;
		char *text = NULL;

		if (!g_file_get_contents(argv[3 + i], &text, NULL, &error)) {
			fprintf(stderr, "apricotctl: %s\n", error->message);
			g_error_free(error);
			goto done;
		}
		files[i] = (struct explain_file){argv[3 + i], text};
	}
	out = explain_request(argv[2], files, n, &found);
	fputs(out, stdout);
	code = found ? EXIT_OK : EXIT_NO_ANSWER;
done:
	for (unsigned int i = 0; i < n; i++)
		g_free((char *)files[i].text);
	g_free(files);
	g_free(out);
	return code;
}

static int verb_run(int argc, char **argv)
{
	const char *verb = argv[1];

	if (strcmp(verb, "check-config") == 0)
		return config_check(argc, argv);
	if (strcmp(verb, "explain") == 0)
		return explain_run(argc, argv);
	if (!opt_entry)
		opt_entry = g_strdup(g_getenv("APRICOT_ENTRY"));
	if (!opt_entry || !manifest_address_is_valid(opt_entry)) {
		fprintf(stderr, "apricotctl: --entry (or APRICOT_ENTRY): IP:PORT is required\n");
		return EXIT_USAGE;
	}
	if (strcmp(verb, "ask") == 0)
		return ask_run(argc, argv);
	if (strcmp(verb, "command") == 0)
		return command_run(argc, argv);
	if (strcmp(verb, "entries") == 0 && argc == 2)
		return answer_show("/entries");
	if (strcmp(verb, "status") == 0 && argc == 2)
		return answer_show("/status");
	if (strcmp(verb, "metrics") == 0 && argc == 2)
		return answer_show("/metrics");
	fprintf(stderr, "apricotctl: unknown command '%s', see --help\n", verb);
	return EXIT_USAGE;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new("COMMAND [ARGUMENT...]");
	GError *error = NULL;
	int code;

	g_option_context_add_main_entries(context, option_entries, NULL);
	g_option_context_set_summary(
		context,
		"Commands:\n"
		"  ask SERVICE QUERY         run a search; QUERY is JSON or plain text\n"
		"  command SERVICE KEY BODY  run a command (loan entry or hold) at most once\n"
		"  explain ID FILE...        show from the daemons' logs what happened to a "
		"request\n"
		"  entries                   list the entry VMs to use\n"
		"  status                    show configuration, members, groups and work of a VM\n"
		"  metrics                   show counters and latencies of a VM\n"
		"  check-config NEW          check a routing configuration or a manifest, before "
		"it is written\n\n"
		"Exit codes: 0 complete or done, 1 partial, 2 usage or bad request, 3 not run, "
		"4 outcome unknown, 5 no answer;\n"
		"of check-config: 0 clean, 1 findings, 2 unreadable or usage");
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "apricotctl: %s\n", error->message);
		return EXIT_USAGE;
	}
	g_option_context_free(context);
	if (argc < 2) {
		fprintf(stderr, "apricotctl: a command is required, see --help\n");
		return EXIT_USAGE;
	}
	code = verb_run(argc, argv);
	return code;
}
