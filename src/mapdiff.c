#include "mapdiff.h"

#include <string.h>

/* Services that one line names; further ones are only counted. */
#define NAMES_SHOWN 5

static void line_free(gpointer data)
{
	struct mapdiff_line *line = data;

	g_free(line->path);
	g_free(line->text);
	g_free(line);
}

GPtrArray *mapdiff_lines_create(void)
{
	return g_ptr_array_new_with_free_func(line_free);
}

/* Takes over the path. */
G_GNUC_PRINTF(3, 4)
static void line_add(GPtrArray *lines, char *path, const char *format, ...)
{
	struct mapdiff_line *line = g_new0(struct mapdiff_line, 1);
	va_list args;

	line->path = path;
	va_start(args, format);
	line->text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(lines, line);
}

char *mapdiff_text_show(const char *text, unsigned int n_max)
{
	g_autofree char *valid = g_utf8_make_valid(text, -1);
	GString *out = g_string_new(NULL);
	const char *at = valid;

	for (unsigned int n = 0; *at && n < n_max; n++, at = g_utf8_next_char(at)) {
		gunichar c = g_utf8_get_char(at);

		g_string_append_unichar(out, g_unichar_isprint(c) ? c : '?');
	}
	if (*at)
		g_string_append(out, "...");
	return g_string_free(out, FALSE);
}

char *mapdiff_route_path(const struct routemap *m, guint i)
{
	const struct route *r = g_ptr_array_index(m->routes, i);
	g_autofree char *name = mapdiff_text_show(r->name ? r->name : "?", MAPDIFF_NAME_MAX);

	return g_strdup_printf("routes[%u] %s", i, name);
}

char *mapdiff_service_path(const char *name)
{
	g_autofree char *shown = mapdiff_text_show(name, MAPDIFF_NAME_MAX);

	return g_strconcat("services ", shown, NULL);
}

static gint text_compare(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

GPtrArray *mapdiff_keys_sorted(GHashTable *table)
{
	GPtrArray *keys = g_ptr_array_new();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(keys, key);
	g_ptr_array_sort(keys, text_compare);
	return keys;
}

static void version_diff(GPtrArray *lines, uint64_t from, uint64_t to)
{
	if (to > from)
		line_add(lines, g_strdup("version"),
			 "%" G_GUINT64_FORMAT " instead of %" G_GUINT64_FORMAT, to, from);
	else
		line_add(lines, g_strdup("version"),
			 "%" G_GUINT64_FORMAT " is %s %" G_GUINT64_FORMAT
			 ": daemons keep the current configuration",
			 to, to == from ? "equal to" : "lower than", from);
}

static void number_diff(GPtrArray *lines, const char *path, const char *name, double from,
			double to)
{
	if (from != to)
		line_add(lines, g_strdup(path), "%s is %.15g instead of %.15g", name, to, from);
}

/* Service -> its part of the route's requests, for a route without shards. */
static GHashTable *parts_create(const struct route *r)
{
	GHashTable *parts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	double sum = 0;

	for (guint i = 0; i < r->targets->len; i++)
		sum += MAX(0, ((struct route_target *)g_ptr_array_index(r->targets, i))->weight);
	for (guint i = 0; i < r->targets->len; i++) {
		const struct route_target *t = g_ptr_array_index(r->targets, i);
		double *part = g_hash_table_lookup(parts, t->service);

		if (!part) {
			part = g_new0(double, 1);
			g_hash_table_insert(parts, t->service, part);
		}
		*part += MAX(0, t->weight) / sum;
	}
	return parts;
}

static double part_of(GHashTable *parts, const char *service)
{
	const double *part = g_hash_table_lookup(parts, service);

	return part ? *part : 0;
}

/* Service names in order, joined; those beyond NAMES_SHOWN are counted. */
static char *names_join(const GPtrArray *names)
{
	GString *out = g_string_new(NULL);

	for (guint i = 0; i < MIN(names->len, NAMES_SHOWN); i++) {
		g_autofree char *name =
			mapdiff_text_show(g_ptr_array_index(names, i), MAPDIFF_NAME_MAX);

		g_string_append_printf(out, "%s%s", i ? ", " : "", name);
	}
	if (names->len > NAMES_SHOWN)
		g_string_append_printf(out, " and %u more", names->len - NAMES_SHOWN);
	return g_string_free(out, FALSE);
}

/* One line for the keys of one table that the other lacks. */
static void missing_diff(GPtrArray *lines, const char *path, GHashTable *table, GHashTable *other,
			 const char *what)
{
	g_autoptr(GPtrArray) keys = mapdiff_keys_sorted(table);
	g_autoptr(GPtrArray) missing = g_ptr_array_new();
	g_autofree char *names = NULL;

	for (guint i = 0; i < keys->len; i++)
		if (!g_hash_table_contains(other, g_ptr_array_index(keys, i)))
			g_ptr_array_add(missing, g_ptr_array_index(keys, i));
	if (missing->len == 0)
		return;
	names = names_join(missing);
	line_add(lines, g_strdup(path), "%u %s: %s", missing->len, what, names);
}

/* Appends how the parts of the services change. Returns the part of the requests that move. */
static double parts_changes(GHashTable *old, GHashTable *new, GString *out)
{
	g_autoptr(GHashTable) all = g_hash_table_new(g_str_hash, g_str_equal);
	g_autoptr(GPtrArray) services = mapdiff_keys_sorted(old);
	g_autoptr(GPtrArray) added = mapdiff_keys_sorted(new);
	g_autoptr(GPtrArray) keys = NULL;
	double moved = 0;

	for (guint i = 0; i < services->len; i++)
		g_hash_table_add(all, g_ptr_array_index(services, i));
	for (guint i = 0; i < added->len; i++)
		g_hash_table_add(all, g_ptr_array_index(added, i));
	keys = mapdiff_keys_sorted(all);
	for (guint i = 0; i < keys->len; i++) {
		const char *key = g_ptr_array_index(keys, i);
		g_autofree char *name = mapdiff_text_show(key, MAPDIFF_NAME_MAX);
		double before = part_of(old, key);
		double after = part_of(new, key);

		if (ABS(before - after) < 1e-9)
			continue;
		moved += MAX(0, before - after);
		g_string_append_printf(out, "%s%s %.4g%% instead of %.4g%%", out->len ? ", " : "",
				       name, after * 100, before * 100);
	}
	return moved;
}

static void targets_diff(GPtrArray *lines, const char *path, const struct route *from,
			 const struct route *to)
{
	g_autoptr(GHashTable) old = parts_create(from);
	g_autoptr(GHashTable) new = parts_create(to);
	g_autoptr(GString) changes = g_string_new(NULL);
	double moved = parts_changes(old, new, changes);

	if (changes->len > 0)
		line_add(lines, g_strdup(path), "%.4g%% of the requests change service: %s",
			 moved * 100, changes->str);
}

static GHashTable *shards_create(const struct route *r)
{
	GHashTable *shards = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < r->shards->len; i++)
		g_hash_table_add(shards, g_ptr_array_index(r->shards, i));
	return shards;
}

static void services_of_route_diff(GPtrArray *lines, const char *path, const struct route *from,
				   const struct route *to)
{
	if (from->shards && to->shards) {
		g_autoptr(GHashTable) old = shards_create(from);
		g_autoptr(GHashTable) new = shards_create(to);

		missing_diff(lines, path, new, old, "shards added");
		missing_diff(lines, path, old, new, "shards removed");
	} else if (!from->shards && !to->shards) {
		targets_diff(lines, path, from, to);
	} else if (to->shards) {
		line_add(lines, g_strdup(path),
			 "all requests go to %u shards instead of one service", to->shards->len);
	} else {
		line_add(lines, g_strdup(path),
			 "all requests go to one service instead of %u shards", from->shards->len);
	}
}

/* True if both routes are served in the same regions, named in the same order. */
static bool has_same_regions(const struct route *a, const struct route *b)
{
	if (!a->regions || !b->regions)
		return a->regions == b->regions;
	if (a->regions->len != b->regions->len)
		return false;
	for (guint i = 0; i < a->regions->len; i++)
		if (strcmp(g_ptr_array_index(a->regions, i), g_ptr_array_index(b->regions, i)) != 0)
			return false;
	return true;
}

/* The regions of a route as shown; the result is to be freed. */
static char *regions_show(const struct route *r)
{
	if (!r->regions)
		return g_strdup("all regions");
	return r->regions->len > 0 ? names_join(r->regions) : g_strdup("no region");
}

static void regions_diff(GPtrArray *lines, const char *path, const struct route *from,
			 const struct route *to)
{
	g_autofree char *old = regions_show(from);
	g_autofree char *new = regions_show(to);

	if (!has_same_regions(from, to))
		line_add(lines, g_strdup(path), "may be served in %s instead of %s", new, old);
}

static void route_diff(GPtrArray *lines, const char *path, const struct route *from,
		       const struct route *to)
{
	if (g_strcmp0(from->name, to->name) != 0) {
		g_autofree char *name =
			mapdiff_text_show(from->name ? from->name : "?", MAPDIFF_NAME_MAX);

		line_add(lines, g_strdup(path), "was named %s", name);
	}
	services_of_route_diff(lines, path, from, to);
	if (from->is_idempotent != to->is_idempotent)
		line_add(lines, g_strdup(path), "requests %s run more than once",
			 to->is_idempotent ? "may now" : "must no longer");
	number_diff(lines, path, "timeout_ms", from->timeout_ms, to->timeout_ms);
	number_diff(lines, path, "goal_ms", from->goal_ms, to->goal_ms);
	number_diff(lines, path, "priority", from->priority, to->priority);
	number_diff(lines, path, "max_attempts", from->max_attempts, to->max_attempts);
	number_diff(lines, path, "top_k", from->top_k, to->top_k);
	number_diff(lines, path, "min_share", from->min_share, to->min_share);
	regions_diff(lines, path, from, to);
}

/* Host and prefix -> the first route with them, which is the one that gets the requests. */
static GHashTable *routes_index(const struct routemap *m)
{
	GHashTable *index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (guint i = 0; i < m->routes->len; i++) {
		struct route *r = g_ptr_array_index(m->routes, i);
		char *key = g_strconcat(r->host, r->prefix, NULL);

		if (g_hash_table_contains(index, key))
			g_free(key);
		else
			g_hash_table_insert(index, key, r);
	}
	return index;
}

static void routes_diff(GPtrArray *lines, const struct routemap *from, const struct routemap *to)
{
	g_autoptr(GHashTable) old = routes_index(from);
	g_autoptr(GHashTable) new = routes_index(to);

	for (guint i = 0; i < to->routes->len; i++) {
		const struct route *r = g_ptr_array_index(to->routes, i);
		g_autofree char *key = g_strconcat(r->host, r->prefix, NULL);
		const struct route *before = g_hash_table_lookup(old, key);
		g_autofree char *path = mapdiff_route_path(to, i);

		if (g_hash_table_lookup(new, key) != r)
			continue; /* hidden, which is a finding and no difference */
		if (before) {
			route_diff(lines, path, before, r);
		} else {
			g_autofree char *shown = mapdiff_text_show(key, 2 * MAPDIFF_NAME_MAX);

			line_add(lines, g_strdup(path), "added for %s", shown);
		}
	}
	for (guint i = 0; i < from->routes->len; i++) {
		const struct route *r = g_ptr_array_index(from->routes, i);
		g_autofree char *key = g_strconcat(r->host, r->prefix, NULL);
		g_autofree char *shown = mapdiff_text_show(key, 2 * MAPDIFF_NAME_MAX);

		if (g_hash_table_lookup(old, key) == r && !g_hash_table_contains(new, key))
			line_add(lines, mapdiff_route_path(from, i), "removed, was for %s", shown);
	}
}

static void service_diff(GPtrArray *lines, const struct routemap_service *from,
			 const struct routemap_service *to)
{
	g_autofree char *path = mapdiff_service_path(to->name);

	if (g_strcmp0(from->check_path, to->check_path) != 0)
		line_add(lines, g_strdup(path), "check_path differs");
	number_diff(lines, path, "max_connections", from->max_connections, to->max_connections);
	number_diff(lines, path, "warmup_ms", from->warmup_ms, to->warmup_ms);
	number_diff(lines, path, "warmup_calls_per_s", from->warmup_calls_per_s,
		    to->warmup_calls_per_s);
}

static void services_diff(GPtrArray *lines, const struct routemap *from, const struct routemap *to)
{
	g_autoptr(GPtrArray) old = mapdiff_keys_sorted(from->services);
	g_autoptr(GPtrArray) new = mapdiff_keys_sorted(to->services);

	for (guint i = 0; i < new->len; i++) {
		const char *name = g_ptr_array_index(new, i);
		const struct routemap_service *before = routemap_service_find(from, name);

		if (before)
			service_diff(lines, before, routemap_service_find(to, name));
		else
			line_add(lines, mapdiff_service_path(name), "added");
	}
	for (guint i = 0; i < old->len; i++) {
		const char *name = g_ptr_array_index(old, i);

		if (!routemap_service_find(to, name))
			line_add(lines, mapdiff_service_path(name), "removed");
	}
}

void mapdiff_routemaps(GPtrArray *lines, const struct routemap *from, const struct routemap *to)
{
	const struct caller_limits *old = &from->limits;
	const struct caller_limits *new = &to->limits;

	version_diff(lines, from->version, to->version);
	routes_diff(lines, from, to);
	services_diff(lines, from, to);
	number_diff(lines, "limits", "head_bytes", old->head_bytes, new->head_bytes);
	number_diff(lines, "limits", "body_bytes", old->body_bytes, new->body_bytes);
	number_diff(lines, "limits", "head_ms", old->head_ms, new->head_ms);
	number_diff(lines, "limits", "idle_ms", old->idle_ms, new->idle_ms);
}

static void manifest_services_diff(GPtrArray *lines, const struct manifest *from,
				   const struct manifest *to)
{
	for (guint i = 0; i < to->services->len; i++) {
		const struct manifest_service *s = g_ptr_array_index(to->services, i);
		const struct manifest_service *before = manifest_service_find(from, s->name);
		g_autofree char *path = mapdiff_service_path(s->name);

		if (!before) {
			line_add(lines, g_strdup(path), "added");
			continue;
		}
		number_diff(lines, path, "map_version", (double)before->map_version,
			    (double)s->map_version);
		number_diff(lines, path, "index_version", (double)before->index_version,
			    (double)s->index_version);
		number_diff(lines, path, "shards", before->n_shards, s->n_shards);
		number_diff(lines, path, "target_ms", before->target_ms, s->target_ms);
		number_diff(lines, path, "deadline_ms", before->deadline_ms, s->deadline_ms);
		number_diff(lines, path, "hedge_ratio", before->hedge_ratio, s->hedge_ratio);
		number_diff(lines, path, "retry_ratio", before->retry_ratio, s->retry_ratio);
	}
	for (guint i = 0; i < from->services->len; i++) {
		const struct manifest_service *s = g_ptr_array_index(from->services, i);

		if (!manifest_service_find(to, s->name))
			line_add(lines, mapdiff_service_path(s->name), "removed");
	}
}

void mapdiff_manifests(GPtrArray *lines, const struct manifest *from, const struct manifest *to)
{
	manifest_services_diff(lines, from, to);
	for (guint i = 0; i < to->groups->len; i++) {
		const struct manifest_group *g = g_ptr_array_index(to->groups, i);
		const struct manifest_group *before = manifest_group_find(from, g->id);

		if (!before)
			line_add(lines, g_strconcat("groups ", g->id, NULL), "added");
		else if (strcmp(before->digest, g->digest) != 0)
			line_add(lines, g_strconcat("groups ", g->id, NULL),
				 "changed: %u leaves, %u shards instead of %u leaves, %u shards",
				 g->n_leaves, g->n_shards, before->n_leaves, before->n_shards);
	}
	for (guint i = 0; i < from->groups->len; i++) {
		const struct manifest_group *g = g_ptr_array_index(from->groups, i);

		if (!manifest_group_find(to, g->id))
			line_add(lines, g_strconcat("groups ", g->id, NULL), "removed");
	}
}
