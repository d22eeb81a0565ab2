#include "mapcheck.h"

#include "mapdiff.h"
#include "result.h"

#include <jansson.h>
#include <string.h>

/*
 * Findings of each severity that are shown. A file of the greatest size can have 5,000,000, which
 * took 20 s and more; 2,500 routes with six errors each have 15,000.
 */
#define FINDINGS_MAX 50000
/* Characters of a message of a reader that are shown. */
#define MESSAGE_MAX 300

struct finding {
	enum mapcheck_finding kind;
	char *path;
	char *text;
};

/* Which routes name a service. */
struct use {
	guint first; /* index of the first one */
	guint last;
	guint n_routes;
};

/* A file that was read. */
struct document {
	struct routemap *map; /* NULL: refused, or a manifest */
	struct manifest *manifest; /* NULL: refused, or a routing configuration */
	bool is_manifest;
};

struct mapcheck {
	struct mapnotes notes; /* of the daemon's reader */
	char *name;
	GPtrArray *findings; /* struct finding */
	unsigned int n_found[2]; /* by severity, those that are not shown included */
	GPtrArray *differences; /* struct mapdiff_line; NULL: not compared */
	struct document document;
};

static const struct {
	const char *name;
	enum mapcheck_severity severity;
} kinds[] = {
#define X(symbol, name, severity, meaning, example) {name, MAPCHECK_##severity},
	MAPCHECK_LIST(X)
#undef X
};

static const char *const severity_names[] = {"error", "warning"};

static void finding_free(gpointer data)
{
	struct finding *f = data;

	g_free(f->path);
	g_free(f->text);
	g_free(f);
}

/* Takes over the path. */
G_GNUC_PRINTF(4, 5)
static void finding_add(struct mapcheck *c, enum mapcheck_finding kind, char *path,
			const char *format, ...)
{
	struct finding *f;
	va_list args;

	if (c->n_found[kinds[kind].severity]++ >= FINDINGS_MAX) {
		g_free(path);
		return;
	}
	f = g_new0(struct finding, 1);
	f->kind = kind;
	f->path = path;
	va_start(args, format);
	f->text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(c->findings, f);
}

/* The path of a place; the caller frees it. */
static char *place_path(const struct mapnote_place *place)
{
	g_autofree char *name = NULL;

	if (place->index < 0)
		return g_strdup(place->list);
	name = mapdiff_text_show(place->name ? place->name : "?", MAPDIFF_NAME_MAX);
	return g_strdup_printf("%s[%d] %s", place->list, place->index, name);
}

/* The code and the message are those that a daemon logs. */
static void refusal_add(struct mapcheck *c, char *path, int code, const char *message)
{
	g_autofree char *why = mapdiff_text_show(message, MESSAGE_MAX);

	finding_add(c, MAPCHECK_REJECTED, path, "%d %s: %s", code, result_name(code), why);
}

static void note_add(struct mapnotes *notes, enum mapnote_kind kind,
		     const struct mapnote_place *place, const char *text)
{
	static const enum mapcheck_finding kinds_of[] = {
		[MAPNOTE_ENTRY_SKIPPED] = MAPCHECK_ENTRY_SKIPPED,
		[MAPNOTE_VALUE_REPLACED] = MAPCHECK_VALUE_REPLACED,
		[MAPNOTE_MEMBER_UNKNOWN] = MAPCHECK_MEMBER_UNKNOWN,
		[MAPNOTE_SERVICE_REPEATED] = MAPCHECK_SERVICE_REPEATED,
	};
	struct mapcheck *c = (struct mapcheck *)notes;
	g_autofree char *shown = NULL;

	if (kind == MAPNOTE_REFUSED) {
		refusal_add(c, place_path(place), RESULT_BAD_MANIFEST, text);
		return;
	}
	shown = mapdiff_text_show(text, MESSAGE_MAX);
	finding_add(c, kinds_of[kind], place_path(place), "%s", shown);
}

/* A host with a port and a prefix with a query are looked up, but never found. */
static void match_check(struct mapcheck *c, guint i)
{
	const struct routemap *m = c->document.map;
	const struct route *r = g_ptr_array_index(m->routes, i);
	const struct route *found = routemap_find(m, r->host, r->prefix);
	guint first = 0;

	if (found == r)
		return;
	if (found && strcmp(found->host, r->host) == 0 && strcmp(found->prefix, r->prefix) == 0 &&
	    g_ptr_array_find(m->routes, found, &first)) {
		g_autofree char *path = mapdiff_route_path(m, first);

		finding_add(c, MAPCHECK_ROUTE_HIDDEN, mapdiff_route_path(m, i),
			    "%s has the same host and prefix", path);
		return;
	}
	finding_add(c, MAPCHECK_ROUTE_UNMATCHABLE, mapdiff_route_path(m, i),
		    "no request matches its host and prefix");
}

/* Notes that the route names the service. */
static void use_note(GHashTable *uses, const char *service, guint i)
{
	struct use *use = g_hash_table_lookup(uses, service);

	if (!use) {
		use = g_new0(struct use, 1);
		use->first = i;
		use->last = i;
		use->n_routes = 1;
		g_hash_table_insert(uses, (char *)service, use);
	}
	if (use->last != i) {
		use->last = i;
		use->n_routes++;
	}
}

/* One finding for a service, since a file can name 135 unknown shards in each of its routes. */
static void services_check(struct mapcheck *c, GHashTable *uses)
{
	const struct routemap *m = c->document.map;
	g_autoptr(GPtrArray) used = mapdiff_keys_sorted(uses);
	g_autoptr(GPtrArray) described = mapdiff_keys_sorted(m->services);

	for (guint i = 0; i < used->len; i++) {
		const char *name = g_ptr_array_index(used, i);
		const struct use *use = g_hash_table_lookup(uses, name);
		g_autofree char *path = mapdiff_route_path(m, use->first);

		if (routemap_service_find(m, name))
			continue;
		if (use->n_routes == 1)
			finding_add(c, MAPCHECK_SERVICE_UNKNOWN, mapdiff_service_path(name),
				    "not described, but %s names it", path);
		else
			finding_add(c, MAPCHECK_SERVICE_UNKNOWN, mapdiff_service_path(name),
				    "not described, but %s and %u more name it", path,
				    use->n_routes - 1);
	}
	for (guint i = 0; i < described->len; i++) {
		const char *name = g_ptr_array_index(described, i);

		if (!g_hash_table_contains(uses, name))
			finding_add(c, MAPCHECK_SERVICE_UNUSED, mapdiff_service_path(name),
				    "no route names it");
	}
}

static void targets_check(struct mapcheck *c, guint i, const struct route *r, GHashTable *uses)
{
	for (guint k = 0; k < r->targets->len; k++) {
		const struct route_target *t = g_ptr_array_index(r->targets, k);
		g_autofree char *name = NULL;

		use_note(uses, t->service, i);
		if (t->weight > 0)
			continue;
		name = mapdiff_text_show(t->service, MAPDIFF_NAME_MAX);
		finding_add(c, MAPCHECK_PART_WEIGHTLESS, mapdiff_route_path(c->document.map, i),
			    "service %s has weight %g", name, t->weight);
	}
}

static void shards_check(struct mapcheck *c, guint i, const struct route *r, GHashTable *uses)
{
	g_autoptr(GHashTable) counts = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GPtrArray) names = NULL;

	for (guint k = 0; k < r->shards->len; k++) {
		char *shard = g_ptr_array_index(r->shards, k);
		guint n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, shard));

		g_hash_table_insert(counts, shard, GUINT_TO_POINTER(n + 1));
	}
	names = mapdiff_keys_sorted(counts);
	for (guint k = 0; k < names->len; k++) {
		const char *shard = g_ptr_array_index(names, k);
		guint n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, shard));
		g_autofree char *name = NULL;

		use_note(uses, shard, i);
		if (n == 1)
			continue;
		name = mapdiff_text_show(shard, MAPDIFF_NAME_MAX);
		finding_add(c, MAPCHECK_SHARD_REPEATED, mapdiff_route_path(c->document.map, i),
			    "shard %s is named %u times", name, n);
	}
}

/* The least part of the shards, in the terms in which scatter_next compares it. */
static void min_share_check(struct mapcheck *c, guint i, const struct route *r)
{
	guint n = r->shards->len;

	if (r->min_share < 0 || r->min_share > 1)
		finding_add(c, MAPCHECK_MIN_SHARE_RANGE, mapdiff_route_path(c->document.map, i),
			    "min_share %g is not from 0 to 1", r->min_share);
	else if (n - 1 < r->min_share * n)
		finding_add(c, MAPCHECK_MIN_SHARE_FRAGILE, mapdiff_route_path(c->document.map, i),
			    "%u of %u shards do not meet min_share %g", n - 1, n, r->min_share);
}

static void route_check(struct mapcheck *c, guint i, GHashTable *uses)
{
	const struct routemap *m = c->document.map;
	const struct route *r = g_ptr_array_index(m->routes, i);

	match_check(c, i);
	if (r->shards) {
		shards_check(c, i, r, uses);
		min_share_check(c, i, r);
	} else {
		targets_check(c, i, r, uses);
	}
	if (r->timeout_ms < r->goal_ms)
		finding_add(c, MAPCHECK_TIMEOUT_BELOW_GOAL, mapdiff_route_path(m, i),
			    "timeout_ms %u is below goal_ms %u", r->timeout_ms, r->goal_ms);
	if (r->priority > MAPCHECK_PRIORITY_MAX)
		finding_add(c, MAPCHECK_PRIORITY_RANGE, mapdiff_route_path(m, i),
			    "priority %u is not from 0 to %u", r->priority, MAPCHECK_PRIORITY_MAX);
}

static void limits_check(struct mapcheck *c)
{
	const struct caller_limits *limits = &c->document.map->limits;
	const struct {
		const char *name;
		unsigned int value;
	} values[] = {
		{"head_bytes", limits->head_bytes},
		{"body_bytes", limits->body_bytes},
		{"head_ms", limits->head_ms},
		{"idle_ms", limits->idle_ms},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
		if (values[i].value == 0)
			finding_add(c, MAPCHECK_LIMIT_ZERO, g_strdup("limits"), "%s is 0",
				    values[i].name);
}

static bool unreadable_set(GError **error, const struct mapcheck_file *file, const char *why)
{
	g_autofree char *shown = mapdiff_text_show(why, MESSAGE_MAX);

	g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST, "%s: %s", file->name, shown);
	return false;
}

/* Length of the first of the answers that follow each other in the text. */
static size_t answer_length(const char *text, size_t n)
{
	json_error_t end;
	json_t *json = json_loadb(text, n, JSON_ALLOW_NUL | JSON_DISABLE_EOF_CHECK, &end);
	size_t length = json ? (size_t)end.position : n;

	json_decref(json);
	return length;
}

/* Adds the leaves of the answer; a key that is listed twice counts once. */
static void leaves_add(const struct adapter *adapter, const struct store_answer *answer,
		       GHashTable *keys, GHashTable *counts)
{
	for (guint i = 0; i < answer->items->len; i++) {
		const struct store_item *item = g_ptr_array_index(answer->items, i);
		struct leaf_report report = {0};
		guint n;

		if (!item->value || !g_str_has_prefix(item->key, adapter->leaf_prefix) ||
		    !g_hash_table_add(keys, g_strdup(item->key)) ||
		    !adapter->ops->leaf_parse(adapter, item->value, item->n_value, &report, NULL))
			continue;
		n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, report.service));
		g_hash_table_replace(counts, g_strdup(report.service), GUINT_TO_POINTER(n + 1));
		leaf_report_clear(&report);
	}
}

/*
 * The number of leaves of each service, from the pages of a listing one after the other. Entries
 * that daemons would not use do not count, leaves that are draining do. NULL with an error when the
 * file is no whole listing.
 */
static GHashTable *leaves_count(const struct adapter *adapter, const struct mapcheck_file *file,
				GError **error)
{
	GHashTable *counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autoptr(GHashTable) keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bool has_more = true;
	size_t at = 0;

	while (at < file->n) {
		size_t n = answer_length(file->text + at, file->n - at);
		struct store_answer answer = {0};
		g_autoptr(GError) reason = NULL;

		if (!adapter->ops->answer_parse(adapter, file->text + at, n, &answer, &reason)) {
			unreadable_set(error, file, reason->message);
			g_hash_table_destroy(counts);
			return NULL;
		}
		leaves_add(adapter, &answer, keys, counts);
		has_more = answer.has_more;
		store_answer_clear(&answer);
		for (at += n; at < file->n && g_ascii_isspace(file->text[at]);)
			at++;
	}
	if (!has_more)
		return counts;
	unreadable_set(error, file, "the listing lacks its last page");
	g_hash_table_destroy(counts);
	return NULL;
}

/* The services to which the route sends requests, repeated as in the route. */
static GPtrArray *route_services(const struct route *r)
{
	GPtrArray *services = g_ptr_array_new();

	for (guint i = 0; r->shards && i < r->shards->len; i++)
		g_ptr_array_add(services, g_ptr_array_index(r->shards, i));
	for (guint i = 0; i < r->targets->len; i++) {
		const struct route_target *t = g_ptr_array_index(r->targets, i);

		if (t->weight > 0)
			g_ptr_array_add(services, t->service);
	}
	return services;
}

/* One finding for a route, since it can have 135 shards. */
static void attempts_check(struct mapcheck *c, guint i, GHashTable *leaves)
{
	const struct route *r = g_ptr_array_index(c->document.map->routes, i);
	g_autoptr(GPtrArray) services = route_services(r);
	g_autofree char *first = NULL;
	guint n_first = 0;
	guint n_short = 0;

	for (guint k = 0; k < services->len; k++) {
		const char *service = g_ptr_array_index(services, k);
		guint n = GPOINTER_TO_UINT(g_hash_table_lookup(leaves, service));

		if (n >= r->max_attempts)
			continue;
		if (n_short++ == 0) {
			first = mapdiff_text_show(service, MAPDIFF_NAME_MAX);
			n_first = n;
		}
	}
	if (n_short == 1)
		finding_add(c, MAPCHECK_ATTEMPTS_ABOVE_LEAVES,
			    mapdiff_route_path(c->document.map, i),
			    "max_attempts %u is above the %u leaves of service %s", r->max_attempts,
			    n_first, first);
	else if (n_short > 1)
		finding_add(c, MAPCHECK_ATTEMPTS_ABOVE_LEAVES,
			    mapdiff_route_path(c->document.map, i),
			    "max_attempts %u is above the %u leaves of service %s, and above those "
			    "of %u more",
			    r->max_attempts, n_first, first, n_short - 1);
}

static void stop_check(struct mapcheck *c, uint64_t stop_ms)
{
	const struct routemap *m = c->document.map;

	for (guint i = 0; i < m->routes->len; i++) {
		const struct route *r = g_ptr_array_index(m->routes, i);

		if (r->timeout_ms > stop_ms)
			finding_add(c, MAPCHECK_STOP_BELOW_TIMEOUT, mapdiff_route_path(m, i),
				    "timeout_ms %u is above the stop time of %" G_GUINT64_FORMAT
				    " ms",
				    r->timeout_ms, stop_ms);
	}
}

/* False with an error when the listing of the leaves cannot be read. */
static bool context_check(struct mapcheck *c, const struct adapter *adapter,
			  const struct mapcheck_context *context, GError **error)
{
	GHashTable *leaves = NULL;

	if (context->leaves) {
		leaves = leaves_count(adapter, context->leaves, error);
		if (!leaves)
			return false;
		for (guint i = 0; c->document.map && i < c->document.map->routes->len; i++)
			attempts_check(c, i, leaves);
		g_hash_table_destroy(leaves);
	}
	if (c->document.map && context->stop_ms > 0)
		stop_check(c, context->stop_ms);
	return true;
}

static void routemap_check(struct mapcheck *c)
{
	const struct routemap *m = c->document.map;
	g_autoptr(GHashTable) uses = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);

	for (guint i = 0; i < m->routes->len; i++)
		route_check(c, i, uses);
	services_check(c, uses);
	limits_check(c);
}

/* Parses the text; NULL with an error when it is no JSON object. */
static json_t *object_parse(const struct mapcheck_file *file, GError **error)
{
	json_error_t json_error;
	g_autofree char *why = NULL;
	json_t *json = json_loadb(file->text, file->n, 0, &json_error);

	if (json_is_object(json))
		return json;
	if (json)
		why = g_strdup("neither a routing configuration nor a manifest");
	else
		why = g_strdup_printf("line %d: %s", json_error.line, json_error.text);
	json_decref(json);
	unreadable_set(error, file, why);
	return NULL;
}

/* Like section_join, refuses members that are written twice. */
static struct manifest *manifest_read(const struct mapcheck_file *file, GError **error)
{
	json_error_t json_error;
	json_t *json = json_loadb(file->text, file->n, JSON_REJECT_DUPLICATES, &json_error);
	struct manifest *m = NULL;

	if (json)
		m = manifest_create(json, 1, error);
	else
		g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST, "line %d: %s",
			    json_error.line, json_error.text);
	json_decref(json);
	return m;
}

/*
 * Reads the file as a routing configuration if the daemon's reader accepts it, or else as a
 * manifest if it has groups, which no routing configuration has. False with an error when it is
 * neither. If daemons refuse it, document has neither map nor manifest and *refusal is the reason.
 * notes, which may be NULL, hears of a routing configuration; of other files too, with no meaning.
 */
static bool document_read(const struct adapter *adapter, const struct mapcheck_file *file,
			  struct mapnotes *notes, struct document *document, GError **refusal,
			  GError **error)
{
	json_t *json;

	if (file->n > MAPCHECK_BYTES_MAX) {
		g_autofree char *why = g_strdup_printf("longer than %d bytes", MAPCHECK_BYTES_MAX);

		return unreadable_set(error, file, why);
	}
	document->map = adapter->ops->routes_check(adapter, file->text, file->n, notes, refusal);
	if (document->map)
		return true;
	json = object_parse(file, error);
	if (!json) {
		g_clear_error(refusal);
		return false;
	}
	if (json_is_array(json_object_get(json, "groups"))) {
		g_clear_error(refusal);
		document->is_manifest = true;
		document->manifest = manifest_read(file, refusal);
	}
	json_decref(json);
	return true;
}

static void document_clear(struct document *document)
{
	routemap_put(document->map);
	manifest_put(document->manifest);
	*document = (struct document){0};
}

static void repeated_check(struct mapcheck *c, const struct mapcheck_file *file)
{
	json_error_t json_error;
	json_t *json = json_loadb(file->text, file->n, JSON_REJECT_DUPLICATES, &json_error);
	g_autofree char *why = NULL;

	json_decref(json);
	if (json)
		return;
	why = mapdiff_text_show(json_error.text, MESSAGE_MAX);
	finding_add(c, MAPCHECK_MEMBER_REPEATED, g_strdup_printf("line %d", json_error.line), "%s",
		    why);
}

/* Compares with the current file; false with an error when that is not possible. */
static bool current_compare(struct mapcheck *c, const struct adapter *adapter,
			    const struct mapcheck_file *current, GError **error)
{
	struct document before = {0};
	GError *refusal = NULL;
	bool is_done = false;

	if (!document_read(adapter, current, NULL, &before, &refusal, error))
		return false;
	if (refusal) {
		unreadable_set(error, current, refusal->message);
	} else if (before.is_manifest != c->document.is_manifest) {
		unreadable_set(error, current,
			       before.is_manifest ? "a manifest, not a routing configuration"
						  : "a routing configuration, not a manifest");
	} else {
		c->differences = mapdiff_lines_create();
		if (c->document.map)
			mapdiff_routemaps(c->differences, before.map, c->document.map);
		else if (c->document.manifest)
			mapdiff_manifests(c->differences, before.manifest, c->document.manifest);
		is_done = true;
	}
	g_clear_error(&refusal);
	document_clear(&before);
	return is_done;
}

/* Errors first; otherwise the order in which they were found, which is that of the file. */
static gint severity_compare(gconstpointer a, gconstpointer b)
{
	const struct finding *const *left = a;
	const struct finding *const *right = b;

	return (int)kinds[(*left)->kind].severity - (int)kinds[(*right)->kind].severity;
}

struct mapcheck *mapcheck_create(const struct adapter *adapter, const struct mapcheck_file *file,
				 const struct mapcheck_context *context, GError **error)
{
	static const struct mapcheck_context nothing;
	struct mapcheck *c = g_new0(struct mapcheck, 1);
	GError *refusal = NULL;

	c->name = g_strdup(file->name);
	c->findings = g_ptr_array_new_with_free_func(finding_free);
	c->notes.add = note_add;
	if (!document_read(adapter, file, &c->notes, &c->document, &refusal, error)) {
		mapcheck_destroy(c);
		return NULL;
	}
	if (c->document.is_manifest) {
		g_ptr_array_set_size(c->findings, 0);
		memset(c->n_found, 0, sizeof(c->n_found));
		if (refusal)
			refusal_add(c, g_strdup("configuration"), refusal->code, refusal->message);
	}
	g_clear_error(&refusal);
	if (!c->document.is_manifest)
		repeated_check(c, file);
	if (c->document.map)
		routemap_check(c);
	if (!context)
		context = &nothing;
	if (!context_check(c, adapter, context, error) ||
	    (context->current && !current_compare(c, adapter, context->current, error))) {
		mapcheck_destroy(c);
		return NULL;
	}
	g_ptr_array_sort(c->findings, severity_compare);
	return c;
}

void mapcheck_destroy(struct mapcheck *c)
{
	if (!c)
		return;
	document_clear(&c->document);
	g_ptr_array_free(c->findings, TRUE);
	if (c->differences)
		g_ptr_array_free(c->differences, TRUE);
	g_free(c->name);
	g_free(c);
}

bool mapcheck_has_error(const struct mapcheck *c)
{
	return !c->document.map && !c->document.manifest;
}

enum mapcheck_exit mapcheck_exit_code(const struct mapcheck *c)
{
	return c->findings->len > 0 ? MAPCHECK_EXIT_FINDINGS : MAPCHECK_EXIT_CLEAN;
}

/* The findings that are not shown. */
static unsigned int omitted_count(const struct mapcheck *c)
{
	return c->n_found[MAPCHECK_ERROR] + c->n_found[MAPCHECK_WARNING] - c->findings->len;
}

static char *summary_render(const struct mapcheck *c)
{
	const struct document *d = &c->document;

	if (d->map)
		return g_strdup_printf("%u routes, %u services", d->map->routes->len,
				       g_hash_table_size(d->map->services));
	return g_strdup_printf("%u services, %u groups", d->manifest->services->len,
			       d->manifest->groups->len);
}

char *mapcheck_render_text(const struct mapcheck *c)
{
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < c->findings->len; i++) {
		const struct finding *f = g_ptr_array_index(c->findings, i);

		g_string_append_printf(out, "%s %s %s: %s\n",
				       severity_names[kinds[f->kind].severity], kinds[f->kind].name,
				       f->path, f->text);
	}
	for (guint i = 0; c->differences && i < c->differences->len; i++) {
		const struct mapdiff_line *line = g_ptr_array_index(c->differences, i);

		g_string_append_printf(out, "difference %s: %s\n", line->path, line->text);
	}
	if (omitted_count(c) > 0)
		g_string_append_printf(out, "%u more findings are not shown\n", omitted_count(c));
	if (c->findings->len == 0) {
		g_autofree char *summary = summary_render(c);

		g_string_append_printf(out, "%s: %s: ok\n", c->name, summary);
	}
	return g_string_free(out, FALSE);
}

static json_t *findings_pack(const struct mapcheck *c, enum mapcheck_severity severity)
{
	json_t *list = json_array();

	for (guint i = 0; i < c->findings->len; i++) {
		const struct finding *f = g_ptr_array_index(c->findings, i);

		if (kinds[f->kind].severity == severity)
			json_array_append_new(list, json_pack("{s:s, s:s, s:s}", "finding",
							      kinds[f->kind].name, "path", f->path,
							      "text", f->text));
	}
	return list;
}

char *mapcheck_render_json(const struct mapcheck *c)
{
	json_t *differences = json_array();
	json_t *json;
	char *text;
	char *out;

	for (guint i = 0; c->differences && i < c->differences->len; i++) {
		const struct mapdiff_line *line = g_ptr_array_index(c->differences, i);

		json_array_append_new(differences, json_pack("{s:s, s:s}", "path", line->path,
							     "text", line->text));
	}
	json = json_pack("{s:s, s:o, s:o, s:o}", "kind",
			 c->document.is_manifest ? "manifest" : "routing", "errors",
			 findings_pack(c, MAPCHECK_ERROR), "warnings",
			 findings_pack(c, MAPCHECK_WARNING), "differences", differences);
	if (omitted_count(c) > 0)
		json_object_set_new(json, "not_shown", json_integer(omitted_count(c)));
	text = json_dumps(json, JSON_COMPACT | JSON_PRESERVE_ORDER);
	out = g_strconcat(text, "\n", NULL);
	free(text);
	json_decref(json);
	return out;
}
