#include "message.h"

#include "procedure.h"

static const struct procedure_types {
	uint32_t number;
	xdrproc_t args_xdr;
	size_t args_bytes;
	xdrproc_t result_xdr;
	size_t result_bytes;
} procedure_types[] = {
#define X(number, args, result, service, by_datagram) \
	{number, (xdrproc_t)xdr_##args, sizeof(args), (xdrproc_t)xdr_##result, sizeof(result)},
	PROCEDURE_LIST(X)
#undef X
};

static const struct procedure_types *procedure_types_find(uint32_t number)
{
	for (size_t i = 0; i < G_N_ELEMENTS(procedure_types); i++)
		if (procedure_types[i].number == number)
			return &procedure_types[i];
	g_assert_not_reached();
}

void *peer_args_create(uint32_t procedure)
{
	return g_malloc0(procedure_types_find(procedure)->args_bytes);
}

void peer_args_destroy(uint32_t procedure, void *args)
{
	if (!args)
		return;
	xdr_free(procedure_types_find(procedure)->args_xdr, args);
	g_free(args);
}

void *peer_result_create(uint32_t procedure)
{
	return g_malloc0(procedure_types_find(procedure)->result_bytes);
}

void peer_result_destroy(uint32_t procedure, void *result)
{
	if (!result)
		return;
	xdr_free(procedure_types_find(procedure)->result_xdr, result);
	g_free(result);
}

static void caller_request_destroy(struct message *m)
{
	struct caller_request *r = (struct caller_request *)m;

	g_free(r->service);
	g_free(r->klass);
	g_free(r->caller);
	g_free(r->body);
	g_free(r->id);
	g_free(r->key);
	g_free(r);
}

struct caller_request *caller_request_create(void)
{
	struct caller_request *r = g_new0(struct caller_request, 1);

	r->message.kind = MESSAGE_CALLER_REQUEST;
	r->message.destroy = caller_request_destroy;
	return r;
}

static void caller_answer_destroy(struct message *m)
{
	struct caller_answer *a = (struct caller_answer *)m;

	json_decref(a->body);
	g_free(a->service);
	g_free(a->klass);
	g_free(a);
}

struct caller_answer *caller_answer_create(const struct caller_request *request, enum result result,
					   json_t *body)
{
	struct caller_answer *a = g_new0(struct caller_answer, 1);

	a->message.kind = MESSAGE_CALLER_ANSWER;
	a->message.destroy = caller_answer_destroy;
	a->tag = request->tag;
	a->result = result;
	a->body = body;
	a->arrived_us = request->arrived_us;
	return a;
}

static void peer_call_destroy(struct message *m)
{
	struct peer_call *c = (struct peer_call *)m;

	peer_args_destroy(c->procedure, c->args);
	g_free(c->address);
	g_free(c);
}

struct peer_call *peer_call_create(uint32_t procedure, const char *address, void *args,
				   uint64_t timeout_us)
{
	struct peer_call *c = g_new0(struct peer_call, 1);

	c->message.kind = MESSAGE_PEER_CALL;
	c->message.destroy = peer_call_destroy;
	c->procedure = procedure;
	c->address = g_strdup(address);
	c->args = args;
	c->timeout_us = timeout_us;
	return c;
}

static void peer_reply_destroy(struct message *m)
{
	struct peer_reply *r = (struct peer_reply *)m;

	peer_result_destroy(r->procedure, r->result);
	g_free(r);
}

struct peer_reply *peer_reply_create(uint64_t tag, uint32_t procedure, enum peer_status status,
				     void *result)
{
	struct peer_reply *r = g_new0(struct peer_reply, 1);

	r->message.kind = MESSAGE_PEER_REPLY;
	r->message.destroy = peer_reply_destroy;
	r->tag = tag;
	r->procedure = procedure;
	r->status = status;
	r->result = result;
	return r;
}

static void config_applied_destroy(struct message *m)
{
	manifest_put(((struct config_applied *)m)->manifest);
	g_free(m);
}

struct config_applied *config_applied_create(struct manifest *manifest)
{
	struct config_applied *c = g_new0(struct config_applied, 1);

	c->message.kind = MESSAGE_CONFIG_APPLIED;
	c->message.destroy = config_applied_destroy;
	c->manifest = manifest_get(manifest);
	return c;
}

static void roster_changed_destroy(struct message *m)
{
	roster_put(((struct roster_changed *)m)->roster);
	g_free(m);
}

struct roster_changed *roster_changed_create(struct roster *roster)
{
	struct roster_changed *r = g_new0(struct roster_changed, 1);

	r->message.kind = MESSAGE_ROSTER_CHANGED;
	r->message.destroy = roster_changed_destroy;
	r->roster = roster_get(roster);
	return r;
}

static void status_request_destroy(struct message *m)
{
	g_free(((struct status_request *)m)->topic);
	g_free(m);
}

struct status_request *status_request_create(struct service *reply_to, uint64_t tag,
					     const char *topic)
{
	struct status_request *r = g_new0(struct status_request, 1);

	r->message.kind = MESSAGE_STATUS_REQUEST;
	r->message.destroy = status_request_destroy;
	r->reply_to = reply_to;
	r->tag = tag;
	r->topic = g_strdup(topic);
	return r;
}

static void status_reply_destroy(struct message *m)
{
	json_decref(((struct status_reply *)m)->body);
	g_free(m);
}

struct status_reply *status_reply_create(uint64_t tag, json_t *body)
{
	struct status_reply *r = g_new0(struct status_reply, 1);

	r->message.kind = MESSAGE_STATUS_REPLY;
	r->message.destroy = status_reply_destroy;
	r->tag = tag;
	r->body = body;
	return r;
}

static void vms_read_destroy(struct message *m)
{
	json_decref(((struct vms_read *)m)->vms);
	g_free(m);
}

struct vms_read *vms_read_create(json_t *vms, uint64_t version)
{
	struct vms_read *r = g_new0(struct vms_read, 1);

	r->message.kind = MESSAGE_VMS_READ;
	r->message.destroy = vms_read_destroy;
	r->vms = json_incref(vms);
	r->version = version;
	return r;
}

static struct state_renewed *state_renewed_create(uint64_t asked_ms)
{
	struct state_renewed *r = g_new0(struct state_renewed, 1);

	r->message.kind = MESSAGE_STATE_RENEWED;
	r->asked_ms = asked_ms;
	return r;
}

void renewal_request(struct kernel *k)
{
	static const char *const services[] = {"membership", "configurer"};

	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		kernel_message_send(k, kernel_service_find(k, services[i]),
				    message_create(MESSAGE_RENEWAL_REQUESTED));
}

void state_renewed_broadcast(struct kernel *k, uint64_t asked_ms)
{
	static const char *const services[] = {"commander", "holder", "directory"};

	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		kernel_message_send(k, kernel_service_find(k, services[i]),
				    &state_renewed_create(asked_ms)->message);
}

struct message *message_create(enum message_kind kind)
{
	struct message *m = g_new0(struct message, 1);

	m->kind = kind;
	return m;
}

static void routes_read_destroy(struct message *m)
{
	routemap_put(((struct routes_read *)m)->map);
	g_free(m);
}

struct routes_read *routes_read_create(struct routemap *map)
{
	struct routes_read *r = g_new0(struct routes_read, 1);

	r->message.kind = MESSAGE_ROUTES_READ;
	r->message.destroy = routes_read_destroy;
	r->map = routemap_get(map);
	return r;
}

static void leaf_updates_item_free(gpointer data)
{
	struct leaf_updates_item *item = data;

	g_free(item->id);
	leaf_report_clear(&item->report);
	g_free(item);
}

static void leaf_updates_destroy(struct message *m)
{
	g_ptr_array_free(((struct leaf_updates *)m)->items, TRUE);
	g_free(m);
}

struct leaf_updates *leaf_updates_create(void)
{
	struct leaf_updates *updates = g_new0(struct leaf_updates, 1);

	updates->message.kind = MESSAGE_LEAF_UPDATES;
	updates->message.destroy = leaf_updates_destroy;
	updates->items = g_ptr_array_new_with_free_func(leaf_updates_item_free);
	return updates;
}

struct leaf_updates_item *leaf_updates_add(struct leaf_updates *updates, const char *id,
					   uint64_t revision)
{
	struct leaf_updates_item *item = g_new0(struct leaf_updates_item, 1);

	item->id = g_strdup(id);
	item->revision = revision;
	g_ptr_array_add(updates->items, item);
	return item;
}

static void settings_read_destroy(struct message *m)
{
	g_free(((struct settings_read *)m)->peers);
	g_free(((struct settings_read *)m)->dc_regions);
	g_free(m);
}

struct settings_read *settings_read_create(const struct settings *settings)
{
	struct settings_read *r = g_new0(struct settings_read, 1);

	r->message.kind = MESSAGE_SETTINGS_READ;
	r->message.destroy = settings_read_destroy;
	r->peers = g_strdup(settings->peers);
	r->repeat_ratio = (double)settings->repeat_pct / 100;
	r->repeat_slack = (double)settings->repeat_slack;
	r->repeat_window_ms = settings->repeat_window_ms;
	r->entry_ttl_ms = settings->entry_ttl_ms;
	r->dc_regions = g_strdup(settings->dc_regions);
	return r;
}

static void leaf_dcs_changed_destroy(struct message *m)
{
	g_strfreev(((struct leaf_dcs_changed *)m)->dcs);
	g_free(m);
}

struct leaf_dcs_changed *leaf_dcs_changed_create(char **dcs)
{
	struct leaf_dcs_changed *changed = g_new0(struct leaf_dcs_changed, 1);

	changed->message.kind = MESSAGE_LEAF_DCS_CHANGED;
	changed->message.destroy = leaf_dcs_changed_destroy;
	changed->dcs = dcs;
	return changed;
}

struct entries_chosen *entries_chosen_create(unsigned int n_entries, unsigned int n_vms,
					     bool is_entry)
{
	struct entries_chosen *chosen = g_new0(struct entries_chosen, 1);

	chosen->message.kind = MESSAGE_ENTRIES_CHOSEN;
	chosen->n_entries = n_entries;
	chosen->n_vms = n_vms;
	chosen->is_entry = is_entry;
	return chosen;
}

static void store_update_destroy(struct message *m)
{
	store_answer_clear(&((struct store_update *)m)->answer);
	g_free(m);
}

struct store_update *store_update_create(struct store_answer *answer, bool is_listing)
{
	struct store_update *update = g_new0(struct store_update, 1);

	update->message.kind = MESSAGE_STORE_UPDATE;
	update->message.destroy = store_update_destroy;
	update->answer = *answer;
	update->is_listing = is_listing;
	update->is_current = true;
	*answer = (struct store_answer){0};
	return update;
}

static void evacuation_changed_destroy(struct message *m)
{
	struct evacuation_changed *changed = (struct evacuation_changed *)m;

	g_free(changed->dc);
	g_free(changed);
}

struct weight_changed *weight_changed_create(uint32_t weight_left)
{
	struct weight_changed *changed = g_new0(struct weight_changed, 1);

	changed->message.kind = MESSAGE_WEIGHT_CHANGED;
	changed->weight_left = weight_left;
	return changed;
}

struct evacuation_changed *evacuation_changed_create(const char *dc, bool is_begun,
						     uint64_t revision)
{
	struct evacuation_changed *changed = g_new0(struct evacuation_changed, 1);

	changed->message.kind = MESSAGE_EVACUATION_CHANGED;
	changed->message.destroy = evacuation_changed_destroy;
	changed->dc = g_strdup(dc);
	changed->is_begun = is_begun;
	changed->revision = revision;
	return changed;
}

struct store_reading *store_reading_create(bool is_wanted)
{
	struct store_reading *reading = g_new0(struct store_reading, 1);

	reading->message.kind = MESSAGE_STORE_READING;
	reading->is_wanted = is_wanted;
	return reading;
}
