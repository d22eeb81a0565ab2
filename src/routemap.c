#include "routemap.h"

#include <string.h>

#define HOST_BYTES_MAX 256
/* Limits until a configuration sets others; the first deployments use the same values. */
#define DEFAULT_HEAD_BYTES 16384
#define DEFAULT_BODY_BYTES 262144
#define DEFAULT_HEAD_MS 3000
#define DEFAULT_IDLE_MS 15000

static void target_free(gpointer data)
{
	struct route_target *t = data;

	g_free(t->service);
	g_free(t);
}

static void route_free(gpointer data)
{
	struct route *r = data;

	g_free(r->name);
	g_free(r->host);
	g_free(r->prefix);
	g_ptr_array_free(r->targets, TRUE);
	if (r->shards)
		g_ptr_array_free(r->shards, TRUE);
	if (r->regions)
		g_ptr_array_free(r->regions, TRUE);
	g_free(r);
}

static void service_free(gpointer data)
{
	struct routemap_service *s = data;

	g_free(s->name);
	g_free(s->check_path);
	g_free(s);
}

struct routemap *routemap_create(uint64_t version)
{
	struct routemap *m = g_new0(struct routemap, 1);

	g_ref_count_init(&m->refs);
	m->version = version;
	m->routes = g_ptr_array_new_with_free_func(route_free);
	m->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 (GDestroyNotify)g_ptr_array_unref);
	m->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	m->limits = (struct caller_limits){DEFAULT_HEAD_BYTES, DEFAULT_BODY_BYTES, DEFAULT_HEAD_MS,
					   DEFAULT_IDLE_MS};
	return m;
}

struct routemap *routemap_get(struct routemap *m)
{
	g_ref_count_inc(&m->refs);
	return m;
}

void routemap_put(struct routemap *m)
{
	if (!m || !g_ref_count_dec(&m->refs))
		return;
	g_hash_table_destroy(m->hosts);
	g_hash_table_destroy(m->services);
	g_ptr_array_free(m->routes, TRUE);
	g_free(m->text);
	g_free(m);
}

void routemap_text_set(struct routemap *m, const char *text, size_t n)
{
	g_free(m->text);
	m->text = g_strndup(text, n);
}

struct route *routemap_route_add(struct routemap *m)
{
	struct route *r = g_new0(struct route, 1);

	r->targets = g_ptr_array_new_with_free_func(target_free);
	r->max_attempts = 1;
	g_ptr_array_add(m->routes, r);
	return r;
}

void route_target_add(struct route *r, const char *service, double weight)
{
	struct route_target *t = g_new0(struct route_target, 1);

	t->service = g_strdup(service);
	t->weight = weight;
	g_ptr_array_add(r->targets, t);
}

void route_shard_add(struct route *r, const char *service)
{
	if (!r->shards)
		r->shards = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(r->shards, g_strdup(service));
}

void route_regions_restrict(struct route *r)
{
	if (!r->regions)
		r->regions = g_ptr_array_new_with_free_func(g_free);
}

void route_region_add(struct route *r, const char *region)
{
	route_regions_restrict(r);
	g_ptr_array_add(r->regions, g_strdup(region));
}

struct routemap_service *routemap_service_add(struct routemap *m, const char *name,
					      const char *check_path, unsigned int max_connections)
{
	struct routemap_service *s = g_new0(struct routemap_service, 1);

	s->name = g_strdup(name);
	s->check_path = g_strdup(check_path);
	s->max_connections = max_connections;
	g_hash_table_replace(m->services, s->name, s);
	return s;
}

/* The most that can be wrong with one route. */
#define PROBLEMS_MAX 6

static double weight_sum(const struct route *r)
{
	double sum = 0;

	for (guint i = 0; i < r->targets->len; i++)
		sum += ((struct route_target *)g_ptr_array_index(r->targets, i))->weight;
	return sum;
}

/* Fills problems with what is wrong with the route, each to follow its name in a message. */
static guint route_problems(const struct route *r, const char *problems[PROBLEMS_MAX])
{
	guint n = 0;

	if (!r->host || !*r->host)
		problems[n++] = "has no host";
	if (!r->prefix || r->prefix[0] != '/' || !g_str_has_suffix(r->prefix, "/"))
		problems[n++] = "has no prefix that begins and ends with a slash";
	if (r->timeout_ms == 0)
		problems[n++] = "has no time limit";
	if (r->shards && r->targets->len > 0)
		problems[n++] = "has both shards and target services";
	if (r->shards && !r->is_idempotent)
		problems[n++] = "goes to shards but is not idempotent";
	if (!r->shards && !(weight_sum(r) > 0))
		problems[n++] = "names no service";
	return n;
}

/* True when nothing is wrong with the route at this index. *goes_on: further errors are wanted. */
static bool route_is_valid(const struct routemap *m, guint i, bool *goes_on, GError **error)
{
	const struct route *r = g_ptr_array_index(m->routes, i);
	struct mapnote_place place = {"routes", (int)i, r->name};
	const char *problems[PROBLEMS_MAX];
	guint n = route_problems(r, problems);

	*goes_on = true;
	for (guint k = 0; k < n && *goes_on; k++)
		*goes_on = mapnotes_refuse(m->notes, &place, error, "route %s %s",
					   r->name ? r->name : "?", problems[k]);
	return n == 0;
}

static void route_index(struct routemap *m, struct route *r)
{
	char *lower = g_ascii_strdown(r->host, -1);
	GPtrArray *host_routes;

	g_free(r->host);
	r->host = lower;
	host_routes = g_hash_table_lookup(m->hosts, r->host);
	if (!host_routes) {
		host_routes = g_ptr_array_new();
		g_hash_table_insert(m->hosts, r->host, host_routes);
	}
	g_ptr_array_add(host_routes, r);
	m->has_regions = m->has_regions || r->regions;
}

/* Orders routes by the length of their prefixes, the longest first. */
static gint prefix_compare(gconstpointer a, gconstpointer b)
{
	const struct route *const *left = a;
	const struct route *const *right = b;
	size_t n_left = strlen((*left)->prefix);
	size_t n_right = strlen((*right)->prefix);

	return (n_left < n_right) - (n_left > n_right);
}

bool routemap_publish(struct routemap *m, GError **error)
{
	GHashTableIter iter;
	gpointer value;
	bool is_valid = true;
	bool goes_on = true;

	for (guint i = 0; i < m->routes->len && goes_on; i++) {
		if (route_is_valid(m, i, &goes_on, error))
			route_index(m, g_ptr_array_index(m->routes, i));
		else
			is_valid = false;
	}
	m->notes = NULL;
	if (!is_valid)
		return false;
	g_hash_table_iter_init(&iter, m->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_sort(value, prefix_compare);
	return true;
}

const GPtrArray *routemap_host_find(const struct routemap *m, const char *host)
{
	char name[HOST_BYTES_MAX];
	size_t n = strcspn(host, ":");

	if (n >= sizeof(name))
		return NULL;
	for (size_t i = 0; i < n; i++)
		name[i] = g_ascii_tolower(host[i]);
	name[n] = '\0';
	return g_hash_table_lookup(m->hosts, name);
}

const struct route *routemap_find(const struct routemap *m, const char *host, const char *path)
{
	const GPtrArray *routes = routemap_host_find(m, host);
	size_t n_path = strcspn(path, "?");

	for (guint i = 0; routes && i < routes->len; i++) {
		const struct route *r = g_ptr_array_index(routes, i);
		size_t n_prefix = strlen(r->prefix);

		if (n_prefix <= n_path && memcmp(path, r->prefix, n_prefix) == 0)
			return r;
	}
	return NULL;
}

const struct routemap_service *routemap_service_find(const struct routemap *m, const char *name)
{
	return g_hash_table_lookup(m->services, name);
}
