#include "marks.h"

#include "log.h"
#include "message.h"
#include "procedure.h"

#include <inttypes.h>
#include <string.h>

/* Time limit of a MARK call to another VM. */
#define MARK_TIMEOUT_US 1000000
/* Twice the number of backend servers that the system is designed for. */
#define BACKENDS_MAX 32768

struct marks {
	struct kernel *kernel;
	struct routing *routing;
	struct manifest *manifest;
	struct leaving *leaving;
	uint64_t list_version; /* of the newest VM list that a mark came from */
};

struct marks *marks_create(struct kernel *k, struct routing *routing)
{
	struct marks *m = g_new0(struct marks, 1);

	m->kernel = k;
	m->routing = routing;
	m->leaving = leaving_create(BACKENDS_MAX);
	return m;
}

void marks_destroy(struct marks *m)
{
	if (!m)
		return;
	leaving_destroy(m->leaving);
	manifest_put(m->manifest);
	g_free(m);
}

struct leaving *marks_leaving(struct marks *m)
{
	return m->leaving;
}

void marks_manifest_set(struct marks *m, struct manifest *manifest)
{
	manifest_put(m->manifest);
	m->manifest = manifest_get(manifest);
}

/*
 * Sends the mark to the holder and the standby of each group of the backend server, so that they
 * need not call a leaving backend server to learn that it leaves.
 */
static void mark_share(struct marks *m, const apr_mark *mark)
{
	const char *backend = mark->backend;
	struct service *peer = kernel_service_find(m->kernel, "peer");
	g_autoptr(GHashTable) told_addresses = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; m->manifest && i < m->manifest->groups->len; i++) {
		const struct manifest_group *g = g_ptr_array_index(m->manifest->groups, i);
		struct holder_route route = routing_find(m->routing, g);
		const char *addresses[] = {route.first, route.second};
		bool has_backend = false;

		for (unsigned int j = 0; j < g->n_leaves; j++)
			has_backend |= strcmp(g->leaves[j].backend, backend) == 0;
		for (size_t j = 0; has_backend && j < G_N_ELEMENTS(addresses); j++) {
			apr_mark_args *args;
			struct peer_call *call;

			if (!addresses[j] ||
			    !g_hash_table_add(told_addresses, (gpointer)addresses[j]))
				continue;
			args = peer_args_create(APR_MARK);
			args->marks.marks_val = g_new0(apr_mark, 1);
			args->marks.marks_len = 1;
			args->marks.marks_val[0] = *mark;
			args->marks.marks_val[0].backend = g_strdup(backend);
			call = peer_call_create(APR_MARK, addresses[j], args, MARK_TIMEOUT_US);
			kernel_message_send(m->kernel, peer, &call->message);
		}
	}
}

/* Returns whether the mark is new. */
static bool mark_apply(struct marks *m, const char *backend, uint64_t incarnation,
		       enum leaving_sign sign)
{
	if (!leaving_mark(m->leaving, backend, incarnation, sign))
		return false;
	counter_increment(kernel_counters(m->kernel), COUNTER_LEAVING_MARKS);
	log_event(LOG_LEVEL_INFO, "backend_leaving",
		  "backend=%s incarnation=%016" PRIx64 " sign=%s", backend, incarnation,
		  leaving_sign_name(sign));
	return true;
}

void marks_drain_seen(struct marks *m, const char *backend, uint64_t incarnation)
{
	apr_mark mark = {.backend = (char *)backend, .incarnation = incarnation};

	if (mark_apply(m, backend, incarnation, LEAVING_DRAIN))
		mark_share(m, &mark);
}

/*
 * Applies the state that a VM list gives for one backend server. Returns false if the state is
 * known already or comes from an older list than an earlier state.
 */
static bool list_mark_apply(struct marks *m, const apr_mark *mark)
{
	if (mark->list_version < m->list_version)
		return false;
	m->list_version = mark->list_version;
	if (!mark->is_listed_live)
		return mark_apply(m, mark->backend, 0, LEAVING_VM_LIST);
	if (!leaving_unlist(m->leaving, mark->backend))
		return false;
	log_event(LOG_LEVEL_INFO, "backend_live", "backend=%s sign=vm_list", mark->backend);
	return true;
}

void marks_receive(struct marks *m, const apr_mark_args *args)
{
	for (unsigned int i = 0; i < args->marks.marks_len; i++) {
		const apr_mark *mark = &args->marks.marks_val[i];

		if (mark->list_version > 0)
			list_mark_apply(m, mark);
		else
			mark_apply(m, mark->backend, mark->incarnation, LEAVING_PEER);
	}
}

void marks_vm_list_apply(struct marks *m, const json_t *vms, uint64_t version)
{
	size_t i;
	json_t *vm;

	json_array_foreach(json_object_get(vms, "vms"), i, vm)
	{
		const char *name = json_string_value(json_object_get(vm, "name"));
		const char *role = json_string_value(json_object_get(vm, "role"));
		const char *state = json_string_value(json_object_get(vm, "state"));
		apr_mark mark = {
			.backend = (char *)name,
			.list_version = version,
			.is_listed_live = g_strcmp0(state, "leaving") != 0,
		};

		if (!name || strlen(name) >= APR_NAME_MAX || g_strcmp0(role, "backend") != 0)
			continue;
		if (list_mark_apply(m, &mark))
			mark_share(m, &mark);
	}
}
