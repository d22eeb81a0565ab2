#include "directory.h"

#include "clock.h"
#include "entrychoice.h"
#include "httpserver.h"
#include "log.h"
#include "message.h"
#include "pausewatch.h"
#include "region.h"
#include "retryafter.h"

#include <string.h>

/* Addresses in one answer; callers accept no more. */
#define ENTRIES_MAX 64
/*
 * After a pause of this process longer than this, what it knows of the other VMs is not told to
 * callers until a peer has confirmed it: 8 s after a VM is gone nobody may name it, and the others
 * need about 3 s to notice.
 */
#define PAUSE_MS 3000
/* Longest time until then. Without an answer in it there may be no other VM left. */
#define RENEWAL_MS 1000
#define TICK_MS 500
/* 8 KiB of head and no body; 3 s to read the head, 15 s of idle time. */
static const struct http_server_limits request_limits = {{8192, 0}, 3000, 15000};

struct directory {
	struct service service;
	const struct adapter *adapter;
	struct directory_settings settings;
	struct http_server *entries_server; /* NULL: not served */
	struct http_server *ready_server; /* NULL: not served */
	struct roster *roster;
	struct entrychoice_vm *choice; /* one for each VM of the roster, in its order */
	unsigned int n_chosen; /* this and the following as the gateway knows them */
	unsigned int n_vms;
	bool is_entry;
	char **leaf_dcs; /* data centres of the leaves, ended by NULL; NULL: not known yet */
	bool has_routes; /* a routing configuration is in force */
	struct routemap *map; /* NULL before the first configuration */
	struct region_table *regions;
	bool is_stopping;
	uint64_t started_ms;
	struct event *tick;
	struct pausewatch *pausewatch;
	uint64_t renewal_end_ms; /* when what this VM knows is told again after a pause */
};

static bool is_ready(const struct directory *d)
{
	return d->has_routes && !d->is_stopping;
}

static bool path_is(const struct http_request *request, const char *path)
{
	const char *target = http_reader_target(http_request_message(request));
	size_t n = strlen(path);

	return strncmp(target, path, n) == 0 && (target[n] == '\0' || target[n] == '?');
}

/*
 * Chooses the entry VMs again after a change of the roster, the leaves or this VM's state, and
 * tells the gateway if what it needs to know of them has changed.
 */
static void choice_update(struct directory *d)
{
	unsigned int n = d->roster ? d->roster->n_vms : 0;
	unsigned int n_chosen;
	bool is_entry = false;

	g_free(d->choice);
	d->choice = g_new0(struct entrychoice_vm, MAX(1, n));
	for (unsigned int i = 0; i < n; i++) {
		const struct roster_vm *vm = &d->roster->vms[i];

		d->choice[i] = (struct entrychoice_vm){
			.dc = vm->dc,
			.name_hash = vm->name_hash,
			.weight = vm->weight,
			.weight_left = vm->weight_left,
			.is_usable = vm->is_self ? is_ready(d) : vm->is_available && vm->has_config,
		};
	}
	n_chosen = entrychoice_choose(d->choice, n, d->leaf_dcs);
	for (unsigned int i = 0; i < n; i++)
		is_entry = is_entry || (d->roster->vms[i].is_self && d->choice[i].is_chosen);
	if (n_chosen == d->n_chosen && n == d->n_vms && is_entry == d->is_entry)
		return;
	if (n_chosen != d->n_chosen)
		log_event(LOG_LEVEL_INFO, "entries_chosen", "entries=%u members=%u", n_chosen, n);
	d->n_chosen = n_chosen;
	d->n_vms = n;
	d->is_entry = is_entry;
	kernel_message_send(d->service.kernel, kernel_service_find(d->service.kernel, "gateway"),
			    &entries_chosen_create(n_chosen, n, is_entry)->message);
}

/* To be called before anything that this VM knows of the others is told. */
static void pause_check(struct directory *d)
{
	uint64_t now_ms = clock_now_ms();

	if (pausewatch_tick(d->pausewatch, now_ms) == 0)
		return;
	d->renewal_end_ms = now_ms + RENEWAL_MS;
	renewal_request(d->service.kernel);
}

static void tick_handle(evutil_socket_t fd, short what, void *arg)
{
	pause_check(arg);
}

static bool roster_is_stale(const struct directory *d)
{
	return d->roster && d->roster->n_vms > 1 && pausewatch_is_stale(d->pausewatch) &&
	       clock_now_ms() < d->renewal_end_ms;
}

/* The value of a query parameter, "" when absent. The calling function frees it. */
static char *parameter_find(const char *target, const char *name)
{
	const char *query = strchr(target, '?');
	char *value = NULL;
	GHashTable *table =
		query ? g_uri_parse_params(query + 1, -1, "&", G_URI_PARAMS_NONE, NULL) : NULL;

	if (table) {
		value = g_strdup(g_hash_table_lookup(table, name));
		g_hash_table_destroy(table);
	}
	return value ? value : g_strdup("");
}

/* No address can be told: no VM is known to serve, or what is known may be out of date. */
static void entries_refuse(struct directory *d, struct http_request *request)
{
	enum retryafter_reason reason =
		roster_is_stale(d) ? RETRYAFTER_RENEWAL : RETRYAFTER_ALL_STARTING;
	char fields[64];

	g_snprintf(fields, sizeof(fields), "Retry-After: %.3f\r\n",
		   retryafter_choose_s(reason, 0, clock_now_ms() - d->started_ms,
				       kernel_rand(d->service.kernel)));
	http_request_answer(request, 503, fields, "", 0);
}

/*
 * The VMs of the roster with those named to a caller whose host has routes with region
 * restrictions, in an array that the caller frees. NULL if no restriction applies to the answer.
 */
static struct region_vm *region_vms_create(const struct directory *d, const char *target,
					   const char *dc, unsigned int n)
{
	g_autofree char *host = parameter_find(target, d->adapter->entries_host_parameter);
	g_autofree char *named = parameter_find(target, d->adapter->entries_region_parameter);
	const char *region = *named ? named : region_table_find(d->regions, dc);
	g_autoptr(GPtrArray) routes = region_routes_list(d->map, host);
	struct region_vm *vms;

	if (!routes || !region || n == 0)
		return NULL;
	vms = g_new0(struct region_vm, n);
	for (unsigned int i = 0; i < n; i++)
		vms[i] = (struct region_vm){
			.region = region_table_find(d->regions, d->choice[i].dc),
			.name_hash = d->choice[i].name_hash,
			.weight = d->choice[i].weight_left,
			.is_usable = d->choice[i].is_usable,
			.is_chosen = d->choice[i].is_chosen,
			.is_offered = entrychoice_is_offered(d->choice, n, i, dc),
		};
	region_vms_name(vms, n, routes, region);
	return vms;
}

static void entries_answer(struct directory *d, struct http_request *request)
{
	const char *target = http_reader_target(http_request_message(request));
	g_autofree char *dc = parameter_find(target, d->adapter->entries_dc_parameter);
	GPtrArray *addresses = g_ptr_array_new();
	g_autofree char *body = NULL;
	struct region_vm *vms = NULL;
	unsigned int n_own = 0;
	unsigned int n;

	pause_check(d);
	n = d->roster && !roster_is_stale(d) ? d->roster->n_vms : 0;
	if (d->map && d->map->has_regions)
		vms = region_vms_create(d, target, dc, n);
	for (unsigned int i = 0; i < n && addresses->len < ENTRIES_MAX; i++) {
		if (vms ? !vms[i].is_named : !entrychoice_is_offered(d->choice, n, i, dc))
			continue;
		g_ptr_array_add(addresses, d->roster->vms[i].http);
		n_own += strcmp(d->roster->vms[i].dc, dc) == 0;
	}
	/* With a single one of their own, callers are told of others in any case. */
	if (n_own > 1 && addresses->len > n_own)
		counter_increment(kernel_counters(d->service.kernel), COUNTER_LISTS_WIDENED);
	if (addresses->len == 0) {
		entries_refuse(d, request);
	} else {
		body = d->adapter->ops->entries_render(d->adapter, addresses,
						       d->settings.ttl_ms / 1000.0);
		http_request_answer(request, 200, "Content-Type: application/json\r\n", body,
				    strlen(body));
	}
	g_ptr_array_free(addresses, TRUE);
	g_free(vms);
}

static void entries_request(void *arg, struct http_request *request)
{
	struct directory *d = arg;

	if (path_is(request, d->adapter->entries_path))
		entries_answer(d, request);
	else
		http_request_answer(request, 404, "", "", 0);
}

static void ready_request(void *arg, struct http_request *request)
{
	struct directory *d = arg;

	if (path_is(request, d->adapter->ready_path))
		http_request_answer(request, is_ready(d) ? 200 : 503, "", "", 0);
	else
		http_request_answer(request, 404, "", "", 0);
}

/* Never called: each request is answered at once, so none is open when its sender leaves. */
static void request_disconnected(void *arg, struct http_request *request)
{
}

static const struct http_server_ops entries_ops = {
	.request = entries_request,
	.disconnected = request_disconnected,
};

static const struct http_server_ops ready_ops = {
	.request = ready_request,
	.disconnected = request_disconnected,
};

static void leaf_dcs_apply(struct directory *d, struct leaf_dcs_changed *changed)
{
	g_strfreev(d->leaf_dcs);
	d->leaf_dcs = g_steal_pointer(&changed->dcs);
	choice_update(d);
}

static void map_apply(struct directory *d, struct routemap *map)
{
	d->has_routes = true;
	if (d->map && d->map->version >= map->version)
		return;
	routemap_put(d->map);
	d->map = routemap_get(map);
}

static void settings_apply(struct directory *d, const struct settings_read *settings)
{
	struct region_table *regions = region_table_parse(settings->dc_regions, NULL);

	d->settings.ttl_ms = (unsigned int)settings->entry_ttl_ms;
	if (!regions)
		return;
	region_table_destroy(d->regions);
	d->regions = regions;
}

static void directory_receive(struct service *s, struct message *m)
{
	struct directory *d = (struct directory *)s;

	switch ((enum message_kind)m->kind) {
	case MESSAGE_ROSTER_CHANGED:
		roster_put(d->roster);
		d->roster = roster_get(((struct roster_changed *)m)->roster);
		choice_update(d);
		break;
	case MESSAGE_ROUTES_READ:
		map_apply(d, ((struct routes_read *)m)->map);
		choice_update(d);
		break;
	case MESSAGE_LEAF_DCS_CHANGED:
		leaf_dcs_apply(d, (struct leaf_dcs_changed *)m);
		break;
	case MESSAGE_SETTINGS_READ:
		settings_apply(d, (struct settings_read *)m);
		break;
	case MESSAGE_STATE_RENEWED:
		pausewatch_renewed(d->pausewatch, ((struct state_renewed *)m)->asked_ms);
		break;
	case MESSAGE_STOP_ANNOUNCED:
		d->is_stopping = true;
		choice_update(d);
		break;
	default:
		break;
	}
	message_destroy(m);
}

static void directory_destroy(struct service *s)
{
	struct directory *d = (struct directory *)s;

	event_free(d->tick);
	pausewatch_destroy(d->pausewatch);
	http_server_destroy(d->entries_server);
	http_server_destroy(d->ready_server);
	roster_put(d->roster);
	routemap_put(d->map);
	region_table_destroy(d->regions);
	g_free(d->choice);
	g_strfreev(d->leaf_dcs);
	g_free((char *)d->settings.dc);
	g_free(d);
}

struct service *directory_create(struct kernel *k, const struct adapter *adapter,
				 const struct directory_settings *settings, GError **error)
{
	static const struct timeval period = {0, TICK_MS * 1000L};
	static const struct service_ops ops = {
		.name = "directory",
		.receive = directory_receive,
		.destroy = directory_destroy,
	};
	struct directory *d = g_new0(struct directory, 1);
	bool ok = true;

	d->service.ops = &ops;
	d->started_ms = clock_now_ms();
	d->pausewatch = pausewatch_create(PAUSE_MS);
	d->tick = event_new(kernel_base(k), -1, EV_PERSIST, tick_handle, d);
	event_add(d->tick, &period);
	d->adapter = adapter;
	d->settings = *settings;
	d->settings.dc = g_strdup(settings->dc);
	d->regions = region_table_parse(settings->dc_regions, NULL);
	if (settings->address) {
		d->entries_server = http_server_create(kernel_base(k), settings->address,
						       &entries_ops, d, &request_limits, error);
		ok = d->entries_server != NULL;
	}
	if (ok && settings->ready_address) {
		d->ready_server = http_server_create(kernel_base(k), settings->ready_address,
						     &ready_ops, d, &request_limits, error);
		ok = d->ready_server != NULL;
	}
	if (ok)
		return &d->service;
	directory_destroy(&d->service);
	return NULL;
}
