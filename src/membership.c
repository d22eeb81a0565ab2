#include "membership.h"

#include "clock.h"
#include "entrylist.h"
#include "log.h"
#include "member.h"
#include "message.h"
#include "pausewatch.h"
#include "procedure.h"
#include "rendezvous.h"

#include <string.h>

#define TICK_MS 100
/* Members that are asked for their full list at a time. */
#define JOIN_PEERS 3
/* Fraction of the heartbeat period after which an answer counts as missing. */
#define PING_ANSWER_FRACTION 0.3
#define JOIN_TIMEOUT_US 1000000
/* Longest time until the listed peers are asked again, while no other member is known. */
#define JOIN_RETRY_MS 400
/* The same while another member is known. Peers that are known to be live are not asked. */
#define REJOIN_MS 5000

struct membership {
	struct service service;
	struct member_transport transport;
	struct member_entry self;
	struct member_table *table;
	struct service *peer;
	struct event *tick;
	struct pausewatch *pausewatch;
	uint64_t started_ms;
	uint64_t roster_version; /* version of the table in the last published roster */
	bool has_joined;
	char **peers; /* listed in the settings; NULL for none */
	uint64_t next_peers_ask_ms; /* when to ask them next */
	struct roster *roster; /* last published */
	bool is_stopping; /* the planned stop was requested or announced */
};

static struct membership *from_transport(struct member_transport *t)
{
	return list_entry(t, struct membership, transport);
}

static void entry_encode(apr_member *out, const struct member_entry *e)
{
	out->name = g_strdup(e->name);
	out->dc = g_strdup(e->dc);
	out->http = g_strdup(e->http);
	out->rpc = g_strdup(e->rpc);
	out->incarnation = e->incarnation;
	out->generation = e->generation;
	out->uptime_ms = e->uptime_ms;
	out->sequence = e->sequence;
	out->config_version = e->config_version;
	out->weight = e->weight;
	out->state = e->state;
}

/* The same rule as for settings: other names could not be reported as JSON or logged. */
static bool name_is_valid(const char *text)
{
	for (; *text; text++)
		if (!g_ascii_isalnum(*text) && !strchr("-_.", *text))
			return false;
	return true;
}

static bool entry_decode(struct member_entry *e, const apr_member *in)
{
	memset(e, 0, sizeof(*e));
	if (!*in->name || !name_is_valid(in->name) || !name_is_valid(in->dc) ||
	    !manifest_address_is_valid(in->http) || strlen(in->name) >= sizeof(e->name) ||
	    strlen(in->dc) >= sizeof(e->dc) || strlen(in->http) >= sizeof(e->http) ||
	    strlen(in->rpc) >= sizeof(e->rpc) || !manifest_address_is_valid(in->rpc) ||
	    in->state < MEMBER_LIVE || in->state > MEMBER_REMOVED || in->sequence > G_MAXUINT32 ||
	    in->generation > MEMBER_GENERATION_MAX)
		return false;
	g_strlcpy(e->name, in->name, sizeof(e->name));
	g_strlcpy(e->dc, in->dc, sizeof(e->dc));
	g_strlcpy(e->http, in->http, sizeof(e->http));
	g_strlcpy(e->rpc, in->rpc, sizeof(e->rpc));
	e->incarnation = in->incarnation;
	e->generation = in->generation;
	e->uptime_ms = in->uptime_ms;
	e->sequence = (uint32_t)in->sequence;
	e->config_version = in->config_version;
	e->weight = in->weight;
	e->state = (enum member_state)in->state;
	return true;
}

static void transport_send(struct member_transport *transport, const char *rpc,
			   const struct member_message *message)
{
	struct membership *ms = from_transport(transport);
	apr_member_message *out = peer_args_create(APR_MEMBER_MESSAGE);
	struct peer_call *call;

	out->kind = message->kind;
	out->nonce = message->nonce;
	entry_encode(&out->sender, &message->sender);
	out->subject = g_strdup(message->subject);
	out->subject_rpc = g_strdup(message->subject_rpc);
	out->updates.updates_val = g_new0(apr_member, MAX(1, message->update_count));
	out->updates.updates_len = message->update_count;
	for (unsigned int i = 0; i < message->update_count; i++)
		entry_encode(&out->updates.updates_val[i], &message->updates[i]);
	call = peer_call_create(APR_MEMBER_MESSAGE, rpc, out, 0);
	kernel_message_send(ms->service.kernel, ms->peer, &call->message);
}

static void transport_changed(struct member_transport *transport, const struct member_entry *entry)
{
	struct membership *ms = from_transport(transport);

	counter_increment(kernel_counters(ms->service.kernel), COUNTER_MEMBER_CHANGES);
	log_event(LOG_LEVEL_INFO, "member_changed",
		  "member=%s incarnation=%016" G_GINT64_MODIFIER "x state=%s", entry->name,
		  entry->incarnation, member_state_name(entry->state));
}

static const struct member_transport_ops transport_ops = {
	.send = transport_send,
	.changed = transport_changed,
};

struct roster_build {
	const struct membership *membership;
	struct roster *roster;
	unsigned int n;
};

static void roster_add(const struct member_entry *entry, void *data)
{
	struct roster_build *build = data;
	struct roster_vm *vm = &build->roster->vms[build->n++];

	vm->name = g_strdup(entry->name);
	vm->dc = g_strdup(entry->dc);
	vm->rpc = g_strdup(entry->rpc);
	vm->http = g_strdup(entry->http);
	vm->has_config = entry->config_version > 0;
	vm->weight = entry->weight_most;
	vm->weight_left = entry->weight;
	vm->name_hash = rendezvous_name_hash(entry->name);
	vm->is_self = strcmp(entry->name, build->membership->self.name) == 0;
	vm->is_available = entry->state == MEMBER_LIVE;
}

/*
 * Requests the planned stop of this VM when the platform or a peer named it as leaving, or when a
 * later process has its name.
 */
static void stop_if_asked(struct membership *ms)
{
	if (ms->is_stopping ||
	    (!member_table_is_asked_to_leave(ms->table) && !member_table_is_superseded(ms->table)))
		return;
	ms->is_stopping = true;
	kernel_message_send(ms->service.kernel, kernel_service_find(ms->service.kernel, "stopper"),
			    message_create(MESSAGE_STOP_ANNOUNCED));
}

static void roster_publish(struct membership *ms)
{
	static const char *const services[] = {"searcher", "commander", "holder", "configurer",
					       "gateway",  "directory", "relay"};
	uint64_t version = member_table_version(ms->table);
	struct roster_build build = {.membership = ms};

	stop_if_asked(ms);
	if (version == ms->roster_version)
		return;
	ms->roster_version = version;
	build.roster = roster_create(member_table_count(ms->table), version);
	member_table_foreach(ms->table, clock_now_ms(), roster_add, &build);
	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		kernel_message_send(ms->service.kernel,
				    kernel_service_find(ms->service.kernel, services[i]),
				    &roster_changed_create(build.roster)->message);
	roster_put(ms->roster);
	ms->roster = build.roster;
}

struct peer_pick {
	const struct membership *membership;
	GPtrArray *addresses;
};

static void peer_add(const struct member_entry *entry, void *data)
{
	struct peer_pick *pick = data;

	if (strcmp(entry->name, pick->membership->self.name) != 0)
		g_ptr_array_add(pick->addresses, g_strdup(entry->rpc));
}

static void member_list_ask(struct membership *ms, const char *address)
{
	struct peer_call *call = peer_call_create(APR_MEMBERS, address,
						  peer_args_create(APR_MEMBERS), JOIN_TIMEOUT_US);

	call->reply_to = &ms->service;
	call->tag = clock_now_ms();
	kernel_message_send(ms->service.kernel, ms->peer, &call->message);
}

/*
 * Asks random members for their full list: when joining, and after a pause, in which the table may
 * have become out of date.
 */
static void members_ask(struct membership *ms)
{
	struct peer_pick pick = {ms, g_ptr_array_new_with_free_func(g_free)};
	GRand *rand = kernel_rand(ms->service.kernel);

	member_table_foreach(ms->table, clock_now_ms(), peer_add, &pick);
	for (unsigned int i = 0; i < JOIN_PEERS && pick.addresses->len > 0; i++) {
		guint index = g_rand_int_range(rand, 0, (gint32)pick.addresses->len);

		member_list_ask(ms, g_ptr_array_index(pick.addresses, index));
		g_ptr_array_remove_index_fast(pick.addresses, index);
	}
	g_ptr_array_free(pick.addresses, TRUE);
}

static void pause_check(struct membership *ms)
{
	uint64_t gap_ms = pausewatch_tick(ms->pausewatch, clock_now_ms());

	if (gap_ms == 0)
		return;
	counter_increment(kernel_counters(ms->service.kernel), COUNTER_PAUSES);
	log_event(LOG_LEVEL_WARNING, "pause_detected", "gap_ms=%" G_GUINT64_FORMAT, gap_ms);
}

static bool peer_is_live(struct membership *ms, const char *rpc)
{
	for (unsigned int i = 0; ms->roster && i < ms->roster->n_vms; i++)
		if (strcmp(ms->roster->vms[i].rpc, rpc) == 0)
			return ms->roster->vms[i].is_available;
	return false;
}

/* Asks the listed peers that are not known to be live for their full list of members. */
static void listed_peers_ask(struct membership *ms)
{
	for (char **peer = ms->peers; peer && *peer; peer++)
		if (strcmp(*peer, ms->self.rpc) != 0 && !peer_is_live(ms, *peer))
			member_list_ask(ms, *peer);
}

/*
 * Listed peers may start after this VM, or come back after a partition that separated them from
 * this VM. They are therefore asked again, but less often once another member is known.
 */
static void listed_peers_retry(struct membership *ms, uint64_t now_ms)
{
	bool is_alone = member_table_count(ms->table) < 2;

	if (now_ms < ms->next_peers_ask_ms)
		return;
	ms->next_peers_ask_ms =
		now_ms + (is_alone ? JOIN_RETRY_MS : REJOIN_MS) / 2 +
		(uint64_t)g_rand_int_range(kernel_rand(ms->service.kernel), 0,
					   (is_alone ? JOIN_RETRY_MS : REJOIN_MS) / 2);
	listed_peers_ask(ms);
}

static void membership_tick(evutil_socket_t fd, short what, void *arg)
{
	struct membership *ms = arg;

	pause_check(ms);
	member_table_tick(ms->table, clock_now_ms(), kernel_rand(ms->service.kernel));
	listed_peers_retry(ms, clock_now_ms());
	roster_publish(ms);
}

/*
 * The notice of a new configuration may have been lost. If a heartbeat names a higher version than
 * this VM has, the configurer gets a notice as if the sender had sent one.
 */
static void config_version_check(struct membership *ms, const struct member_entry *sender)
{
	struct member_entry self;
	apr_notice *notice;

	if (!member_table_find(ms->table, ms->self.name, clock_now_ms(), &self) ||
	    sender->config_version <= self.config_version)
		return;
	notice = peer_args_create(APR_NOTICE);
	notice->config_version = sender->config_version;
	notice->rpc = g_strdup(sender->rpc);
	kernel_message_send(ms->service.kernel,
			    kernel_service_find(ms->service.kernel, "configurer"),
			    &peer_call_create(APR_NOTICE, NULL, notice, 0)->message);
}

static void message_receive(struct membership *ms, const apr_member_message *in)
{
	struct member_message message = {.kind = (enum member_kind)in->kind, .nonce = in->nonce};

	if (in->kind < MEMBER_PING || in->kind > MEMBER_PING_REQ ||
	    !entry_decode(&message.sender, &in->sender) ||
	    strlen(in->subject) >= sizeof(message.subject) ||
	    strlen(in->subject_rpc) >= sizeof(message.subject_rpc)) {
		counter_increment(kernel_counters(ms->service.kernel), COUNTER_RPC_MALFORMED);
		return;
	}
	g_strlcpy(message.subject, in->subject, sizeof(message.subject));
	g_strlcpy(message.subject_rpc, in->subject_rpc, sizeof(message.subject_rpc));
	for (u_int i = 0; i < in->updates.updates_len && i < MEMBER_UPDATES_MAX; i++)
		if (entry_decode(&message.updates[message.update_count],
				 &in->updates.updates_val[i]))
			message.update_count++;
	config_version_check(ms, &message.sender);
	member_table_receive(ms->table, &message, clock_now_ms(), kernel_rand(ms->service.kernel));
}

static void members_merge(struct membership *ms, const apr_members_reply *reply)
{
	u_int n = reply->members.members_len;
	struct member_entry *list = g_new0(struct member_entry, MAX(1, n));
	unsigned int n_valid = 0;

	for (u_int i = 0; i < n; i++)
		if (entry_decode(&list[n_valid], &reply->members.members_val[i]))
			n_valid++;
	member_table_merge(ms->table, list, n_valid, clock_now_ms());
	g_free(list);
}

static void members_answer(struct membership *ms, struct peer_call *call)
{
	apr_members_reply *result = peer_result_create(APR_MEMBERS);
	struct peer_reply *reply;
	unsigned int n;
	struct member_entry *list = member_table_snapshot(ms->table, clock_now_ms(), &n);

	n = MIN(n, APR_MEMBERS_MAX);
	result->members.members_val = g_new0(apr_member, MAX(1, n));
	result->members.members_len = n;
	for (unsigned int i = 0; i < n; i++)
		entry_encode(&result->members.members_val[i], &list[i]);
	g_free(list);
	reply = peer_reply_create(call->tag, APR_MEMBERS, PEER_STATUS_DONE, result);
	if (call->reply_to)
		kernel_message_send(ms->service.kernel, call->reply_to, &reply->message);
	else
		message_destroy(&reply->message);
}

/* Copies a text field; false if it is missing, empty or does not fit. */
static bool vm_field(const json_t *vm, const char *name, char *out, size_t n_bytes)
{
	const char *text = json_string_value(json_object_get(vm, name));

	return text && *text && g_strlcpy(out, text, n_bytes) < n_bytes;
}

/* Takes the entry VMs from the platform's VM list. */
static void vms_receive(struct membership *ms, const json_t *vms)
{
	const json_t *array = json_object_get(vms, "vms");
	struct member_entry *list = g_new0(struct member_entry, json_array_size(array) + 1);
	unsigned int n = 0;
	size_t i;
	json_t *vm;

	json_array_foreach((json_t *)array, i, vm)
	{
		struct member_entry *e = &list[n];
		const char *state = json_string_value(json_object_get(vm, "state"));

		if (g_strcmp0(json_string_value(json_object_get(vm, "role")), "entry") != 0)
			continue;
		memset(e, 0, sizeof(*e));
		if (!vm_field(vm, "name", e->name, sizeof(e->name)) ||
		    !vm_field(vm, "dc", e->dc, sizeof(e->dc)) ||
		    !vm_field(vm, "http", e->http, sizeof(e->http)) ||
		    !vm_field(vm, "rpc", e->rpc, sizeof(e->rpc)))
			continue;
		e->state = g_strcmp0(state, "leaving") == 0 ? MEMBER_LEAVING : MEMBER_LIVE;
		n++;
	}
	member_table_seed(ms->table, list, n, clock_now_ms());
	g_free(list);
	if (!ms->has_joined) {
		ms->has_joined = true;
		members_ask(ms);
	}
}

/* A VM without a configuration cannot serve callers yet. */
static void entry_collect(const struct member_entry *entry, void *data)
{
	if (entry->config_version > 0)
		g_array_append_vals(data, entry, 1);
}

static json_t *entries_json(struct membership *ms)
{
	GArray *members = g_array_new(FALSE, FALSE, sizeof(struct member_entry));
	json_t *entries = json_array();
	const struct entrylist_item *items;
	struct entrylist *list;
	unsigned int n;

	member_table_foreach(ms->table, clock_now_ms(), entry_collect, members);
	list = entrylist_create((struct member_entry *)members->data, members->len, ms->self.dc,
				clock_now_ms(), kernel_rand(ms->service.kernel));
	items = entrylist_items(list, &n);
	for (unsigned int i = 0; i < n; i++)
		json_array_append_new(entries,
				      json_pack("{s:s, s:s, s:s, s:s}", "vm", items[i].name, "dc",
						items[i].dc, "http", items[i].http, "id_prefix",
						items[i].id_prefix));
	entrylist_destroy(list);
	g_array_free(members, TRUE);
	return json_pack("{s:i, s:o}", "ttl_ms", ENTRYLIST_TTL_MS, "entries", entries);
}

static void member_json_add(const struct member_entry *entry, void *data)
{
	json_array_append_new(data, json_pack("{s:s, s:s, s:s, s:I}", "vm", entry->name, "dc",
					      entry->dc, "state", member_state_name(entry->state),
					      "config_version", (json_int_t)entry->config_version));
}

static json_t *members_json(struct membership *ms)
{
	json_t *members = json_array();

	member_table_foreach(ms->table, clock_now_ms(), member_json_add, members);
	return json_pack("{s:{s:s, s:s, s:I, s:o}}", "membership", "vm", ms->self.name, "dc",
			 ms->self.dc, "uptime_ms", (json_int_t)(clock_now_ms() - ms->started_ms),
			 "members", members);
}

static void status_answer(struct membership *ms, const struct status_request *request)
{
	json_t *body = strcmp(request->topic, "entries") == 0 ? entries_json(ms) : members_json(ms);
	struct status_reply *reply = status_reply_create(request->tag, body);

	kernel_message_send(ms->service.kernel, request->reply_to, &reply->message);
}

static void peer_call_receive(struct membership *ms, struct peer_call *call)
{
	if (call->procedure == APR_MEMBER_MESSAGE)
		message_receive(ms, call->args);
	else if (call->procedure == APR_MEMBERS)
		members_answer(ms, call);
}

static void peer_reply_receive(struct membership *ms, const struct peer_reply *reply)
{
	if (reply->procedure != APR_MEMBERS || reply->status != PEER_STATUS_DONE)
		return;
	members_merge(ms, reply->result);
	/* What the answer says reaches the other services before they are told that they have it.
	 */
	roster_publish(ms);
	/* The tag is the time when the list was requested. */
	state_renewed_broadcast(ms->service.kernel, reply->tag);
}

/* New peers in the settings may know members that no present member knows. */
static void settings_take(struct membership *ms, const struct settings_read *settings)
{
	g_strfreev(ms->peers);
	ms->peers = settings->peers ? g_strsplit(settings->peers, ",", -1) : NULL;
	listed_peers_ask(ms);
}

static void membership_receive(struct service *s, struct message *m)
{
	struct membership *ms = (struct membership *)s;

	pause_check(ms);
	switch ((enum message_kind)m->kind) {
	case MESSAGE_PEER_CALL:
		peer_call_receive(ms, (struct peer_call *)m);
		break;
	case MESSAGE_PEER_REPLY:
		peer_reply_receive(ms, (struct peer_reply *)m);
		break;
	case MESSAGE_VMS_READ:
		vms_receive(ms, ((struct vms_read *)m)->vms);
		break;
	case MESSAGE_CONFIG_APPLIED:
		member_table_set_config_version(ms->table,
						((struct config_applied *)m)->manifest->version);
		break;
	case MESSAGE_ROUTES_READ:
		member_table_set_config_version(ms->table, ((struct routes_read *)m)->map->version);
		break;
	case MESSAGE_SETTINGS_READ:
		settings_take(ms, (struct settings_read *)m);
		break;
	case MESSAGE_WEIGHT_CHANGED:
		member_table_set_weight(ms->table, ((struct weight_changed *)m)->weight_left);
		break;
	case MESSAGE_RENEWAL_REQUESTED:
		members_ask(ms);
		break;
	case MESSAGE_STOP_ANNOUNCED:
		ms->is_stopping = true;
		member_table_leave(ms->table);
		break;
	case MESSAGE_STATUS_REQUEST:
		status_answer(ms, (struct status_request *)m);
		break;
	default:
		break;
	}
	message_destroy(m);
	roster_publish(ms);
}

static gboolean membership_start(struct service *s, GError **error)
{
	static const struct timeval period = {0, TICK_MS * 1000L};
	struct membership *ms = (struct membership *)s;

	ms->peer = kernel_service_find(s->kernel, "peer");
	event_add(ms->tick, &period);
	roster_publish(ms);
	listed_peers_ask(ms);
	return TRUE;
}

static void membership_destroy(struct service *s)
{
	struct membership *ms = (struct membership *)s;

	event_free(ms->tick);
	member_table_destroy(ms->table);
	pausewatch_destroy(ms->pausewatch);
	g_strfreev(ms->peers);
	roster_put(ms->roster);
	g_free(ms);
}

struct service *membership_create(struct kernel *k, const struct membership_settings *settings)
{
	static const struct service_ops ops = {
		.name = "membership",
		.start = membership_start,
		.receive = membership_receive,
		.destroy = membership_destroy,
	};
	struct membership *ms = g_new0(struct membership, 1);

	ms->service.ops = &ops;
	ms->transport.ops = &transport_ops;
	g_strlcpy(ms->self.name, settings->name, sizeof(ms->self.name));
	g_strlcpy(ms->self.dc, settings->dc, sizeof(ms->self.dc));
	g_strlcpy(ms->self.http, settings->http_address, sizeof(ms->self.http));
	g_strlcpy(ms->self.rpc, settings->rpc_address, sizeof(ms->self.rpc));
	ms->self.incarnation = settings->incarnation;
	ms->self.weight = settings->weight;
	ms->self.generation = 1;
	ms->started_ms = settings->started_ms;

	ms->peers = settings->peers ? g_strsplit(settings->peers, ",", -1) : NULL;
	ms->pausewatch = pausewatch_create(settings->lease_ms);
	/*
	 * Differs from any version of the table, so that the first roster is published at the
	 * start.
	 */
	ms->roster_version = G_MAXUINT64;
	ms->table = member_table_create(&ms->self, &ms->transport, settings->started_ms);
	if (settings->ping_ms > 0) {
		struct member_timing timing = {
			settings->ping_ms,
			(unsigned int)(PING_ANSWER_FRACTION * settings->ping_ms),
		};

		member_table_set_timing(ms->table, &timing);
	}
	ms->tick = event_new(kernel_base(k), -1, EV_PERSIST, membership_tick, ms);
	return &ms->service;
}
