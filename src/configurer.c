#include "configurer.h"

#include "clock.h"
#include "config.h"
#include "http.h"
#include "log.h"
#include "message.h"
#include "procedure.h"
#include "routing.h"

#include <stdio.h>
#include <string.h>

/* VMs of a data centre that watch the platform; the second one in case the first is lost. */
#define READERS_PER_DC 2
#define READ_TIMEOUT_MS 2000
#define RETRY_MS 200
/*
 * Period of the check whether this VM has to watch the platform. A data centre must not be without
 * a reader for long when its reader changes or a list of members is stale.
 */
#define CHECK_MS 100
/* Members that this VM tells of a new version at once. */
#define NOTICE_FANOUT 4
#define PEER_TIMEOUT_US 3000000
/* Sections requested from a peer in one call, so that the reply stays below RPC's 16 MiB limit. */
#define SECTIONS_BATCH 64
/* Peers that a starting VM asks; one that has a newer version is enough to learn of it. */
#define START_PEERS 5
/* Bytes of section texts in one reply to a peer, so that it stays below RPC's 16 MiB limit. */
#define REPLY_BYTES_MAX (8u << 20)

/* Tags of calls to peers. */
enum configurer_tag { TAG_INDEX = 1, TAG_SECTIONS };

struct configurer {
	struct service service;
	struct config_sink sink;
	struct configurer_settings settings;
	struct config_store *store;
	struct manifest *candidate; /* validated, not yet applied */
	struct manifest *manifest; /* in force */
	struct roster *roster;
	struct http_client *manifest_client; /* watches the manifest */
	struct http_client *section_client; /* reads sections */
	struct http_client *vms_client; /* watches the VM list */
	struct event *manifest_retry;
	struct event *sections_retry;
	struct event *vms_retry;
	struct event *check;
	char *section_digest; /* of the section being read from the platform, or NULL */
	uint64_t vms_version;
	uint64_t applied_ms;
	uint64_t platform_answer_ms; /* time of the last answer; 0: none yet */
	unsigned int fetch_attempts; /* failed attempts to fetch the candidate's sections */
	unsigned int start_replies_pending;
	uint64_t watch_started_ms;
	bool renewal_is_wanted; /* after a pause: no answer of the platform since then */
	bool is_watching_manifest;
	bool is_watching_vms;
	bool is_fetching_peer;
	bool has_asked_peers;
	bool has_platform_answered;
	bool platform_is_down;
	bool has_published; /* a version was sent to the other services */
	uint64_t published_version;
};

static void fetch_missing(struct configurer *c);
static void manifest_watch(struct configurer *c);
static void vms_watch(struct configurer *c);

static void timer_set(struct event *timer, unsigned int ms)
{
	struct timeval delay = {ms / CLOCK_MS_PER_S,
				(suseconds_t)(ms % CLOCK_MS_PER_S) * CLOCK_US_PER_MS};

	evtimer_add(timer, &delay);
}

static void broadcast(struct configurer *c, const char *const *services, size_t n,
		      struct message *(*create)(struct configurer *c))
{
	for (size_t i = 0; i < n; i++)
		kernel_message_send(c->service.kernel,
				    kernel_service_find(c->service.kernel, services[i]), create(c));
}

static struct message *config_message(struct configurer *c)
{
	return &config_applied_create(c->manifest)->message;
}

static void config_broadcast(struct configurer *c)
{
	static const char *const services[] = {"searcher", "commander", "holder", "membership",
					       "stopper"};

	broadcast(c, services, G_N_ELEMENTS(services), config_message);
}

/* Whether this VM watches the platform. Without a roster, every VM does. */
static bool is_reader(const struct configurer *c)
{
	return !c->roster ||
	       routing_is_self_among(c->roster, "platform-reader", c->settings.dc, READERS_PER_DC);
}

/* Tells random members of a new version at once; these tell the others. */
static void notices_send(struct configurer *c, uint64_t version)
{
	struct service *peer = kernel_service_find(c->service.kernel, "peer");
	GRand *rand = kernel_rand(c->service.kernel);
	unsigned int n = c->roster ? c->roster->n_vms : 0;
	unsigned int start = n ? g_rand_int_range(rand, 0, (gint32)n) : 0;
	unsigned int sent = 0;

	for (unsigned int i = 0; i < n && sent < NOTICE_FANOUT; i++) {
		const struct roster_vm *vm = &c->roster->vms[(start + i) % n];
		apr_notice *notice;

		if (vm->is_self)
			continue;
		notice = peer_args_create(APR_NOTICE);
		notice->config_version = version;
		notice->rpc = g_strdup(c->settings.rpc_address);
		kernel_message_send(c->service.kernel, peer,
				    &peer_call_create(APR_NOTICE, vm->rpc, notice, 0)->message);
		sent++;
	}
}

/* Asks a peer for the sections with the digests and, if want_index, for its index. */
static void peer_ask(struct configurer *c, const char *address, bool want_index,
		     const char *const *digests, unsigned int n)
{
	struct service *peer = kernel_service_find(c->service.kernel, "peer");
	apr_config_args *args = peer_args_create(APR_CONFIG_GET);
	struct peer_call *call;

	args->want_index = want_index;
	args->digests.digests_val = g_new0(apr_digest, MAX(1, n));
	args->digests.digests_len = n;
	for (unsigned int i = 0; i < n; i++)
		args->digests.digests_val[i].hex = g_strdup(digests[i]);
	call = peer_call_create(APR_CONFIG_GET, address, args, PEER_TIMEOUT_US);
	call->reply_to = &c->service;
	call->tag = want_index ? TAG_INDEX : TAG_SECTIONS;
	kernel_message_send(c->service.kernel, peer, &call->message);
}

/* Appends the content of a section to the array that it belongs to. */
static bool section_append(json_t *services, json_t *groups, const struct config_section *section,
			   GError **error)
{
	json_error_t json_error;
	json_t *value = json_loadb(section->text, section->bytes, 0, &json_error);
	const char *id = json_string_value(json_object_get(value, "id"));
	bool ok = true;

	if (!value) {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST, "manifest: section %s: %s",
			    section->name, json_error.text);
		return false;
	}
	if (strcmp(section->name, "services") == 0) {
		json_array_extend(services, value);
	} else if (g_str_has_prefix(section->name, "group/") &&
		   g_strcmp0(section->name + strlen("group/"), id) == 0) {
		json_array_append(groups, value);
	} else {
		g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST,
			    "manifest: section %s: its name and content differ", section->name);
		ok = false;
	}
	json_decref(value);
	return ok;
}

static bool sink_validate(struct config_sink *sink, uint64_t version,
			  const struct config_section *sections, unsigned int n, GError **error)
{
	struct configurer *c = list_entry(sink, struct configurer, sink);
	json_t *services = json_array();
	json_t *groups = json_array();
	json_t *document = json_pack("{s:o, s:o}", "services", services, "groups", groups);
	bool ok = true;

	for (unsigned int i = 0; i < n && ok; i++)
		ok = section_append(services, groups, &sections[i], error);
	manifest_put(c->candidate);
	c->candidate = ok ? manifest_create(document, version, error) : NULL;
	json_decref(document);
	return c->candidate != NULL;
}

static void sink_apply(struct config_sink *sink, uint64_t version,
		       const struct config_section *sections, unsigned int n)
{
	struct configurer *c = list_entry(sink, struct configurer, sink);

	manifest_put(c->manifest);
	c->manifest = c->candidate;
	c->candidate = NULL;
	c->applied_ms = clock_now_ms();
}

static const struct config_sink_ops sink_ops = {
	.validate = sink_validate,
	.apply = sink_apply,
};

/* Sends the version in force to the other services, once config_store_is_ready() allows it. */
static void config_publish(struct configurer *c)
{
	if (!c->manifest || !config_store_is_ready(c->store, clock_now_ms()))
		return;
	if (c->has_published && c->manifest->version == c->published_version)
		return;
	c->has_published = true;
	c->published_version = c->manifest->version;
	counter_increment(kernel_counters(c->service.kernel), COUNTER_CONFIG_APPLIED);
	log_event(LOG_LEVEL_INFO, "config_applied", "version=%" G_GUINT64_FORMAT " groups=%u",
		  c->manifest->version, c->manifest->groups->len);
	config_broadcast(c);
	notices_send(c, c->manifest->version);
}

/* Takes over the error; NULL has no effect. */
static void refusal_log(struct configurer *c, uint64_t version, GError *error)
{
	if (!error)
		return;
	counter_increment(kernel_counters(c->service.kernel), COUNTER_CONFIG_REFUSED);
	log_event(LOG_LEVEL_WARNING, "config_refused",
		  "version=%" G_GUINT64_FORMAT " in_force=%" G_GUINT64_FORMAT " reason=\"%s\"",
		  version, config_store_version(c->store), error->message);
	g_error_free(error);
}

static void index_offer(struct configurer *c, uint64_t version, const char *index,
			const char *source)
{
	GError *error = NULL;

	if (config_store_offer(c->store, version, index, source, &error) == RESULT_OK)
		c->fetch_attempts = 0;
	refusal_log(c, version, error);
	config_publish(c);
	fetch_missing(c);
}

static void section_receive(struct configurer *c, const char *digest, const char *text,
			    size_t bytes)
{
	GError *error = NULL;
	uint64_t version = config_store_highest_version(c->store);

	config_store_section_add(c->store, digest, text, bytes, &error);
	refusal_log(c, version, error);
	config_publish(c);
}

static void section_read_done(void *arg, const struct http_answer *answer)
{
	struct configurer *c = arg;
	g_autofree char *digest = c->section_digest;

	c->section_digest = NULL;
	if (answer->status != 200) {
		timer_set(c->sections_retry, RETRY_MS);
		return;
	}
	section_receive(c, digest, answer->body, answer->body_bytes);
	fetch_missing(c);
}

static void section_read(struct configurer *c, const char *digest)
{
	g_autofree char *path = g_strdup_printf("/v1/values/section/%s", digest);

	c->section_digest = g_strdup(digest);
	counter_increment(kernel_counters(c->service.kernel), COUNTER_PLATFORM_READS);
	http_client_call(c->section_client, path, NULL, NULL, READ_TIMEOUT_MS, section_read_done,
			 c);
}

/*
 * Fetches sections that the candidate lacks from the source that offered the candidate. If that is
 * a peer, every second attempt goes to the platform instead, in case the peer was lost.
 */
static void fetch_missing(struct configurer *c)
{
	const char *digests[SECTIONS_BATCH];
	unsigned int n = config_store_missing_digests(c->store, digests, SECTIONS_BATCH);
	const char *source = config_store_candidate_source(c->store);

	if (n == 0 || !source || c->section_digest || c->is_fetching_peer)
		return;
	if (strcmp(source, CONFIG_SOURCE_PLATFORM) == 0 || c->fetch_attempts % 2 == 1) {
		section_read(c, digests[0]);
		return;
	}
	c->is_fetching_peer = true;
	peer_ask(c, source, false, digests, MIN(n, SECTIONS_BATCH));
}

static void sections_retry(evutil_socket_t fd, short what, void *arg)
{
	struct configurer *c = arg;

	c->fetch_attempts++;
	fetch_missing(c);
}

/* Records whether the platform answered a request; logs only when this changes. */
static void platform_state_update(struct configurer *c, bool has_answered)
{
	if (has_answered) {
		c->platform_answer_ms = clock_now_ms();
		if (c->platform_is_down)
			log_event(LOG_LEVEL_INFO, "platform_up", "address=%s",
				  c->settings.platform_address);
	} else {
		counter_increment(kernel_counters(c->service.kernel), COUNTER_PLATFORM_FAILURES);
		if (!c->platform_is_down)
			log_event(LOG_LEVEL_WARNING, "platform_down", "address=%s",
				  c->settings.platform_address);
	}
	c->platform_is_down = !has_answered;
}

static void platform_answered(struct configurer *c)
{
	if (!c->has_platform_answered) {
		c->has_platform_answered = true;
		config_store_source_answered(c->store);
	}
	if (c->renewal_is_wanted) {
		c->renewal_is_wanted = false;
		state_renewed_broadcast(c->service.kernel, c->watch_started_ms);
	}
}

static void manifest_watch_done(void *arg, const struct http_answer *answer)
{
	struct configurer *c = arg;

	c->is_watching_manifest = false;
	platform_state_update(c, answer->status != 0);
	if (answer->status == 0 || answer->status >= 500) {
		timer_set(c->manifest_retry, RETRY_MS);
		return;
	}
	if (answer->status == 200)
		index_offer(c, answer->version, answer->body, CONFIG_SOURCE_PLATFORM);
	platform_answered(c);
	config_publish(c);
	timer_set(c->manifest_retry, answer->status == 404 ? RETRY_MS : 0);
}

static void manifest_watch(struct configurer *c)
{
	g_autofree char *path = NULL;
	uint64_t wait_ms =
		c->has_platform_answered && !c->renewal_is_wanted ? c->settings.watch_ms : 0;

	if (c->is_watching_manifest ||
	    (!is_reader(c) && c->has_platform_answered && !c->renewal_is_wanted))
		return;
	c->is_watching_manifest = true;
	c->watch_started_ms = clock_now_ms();
	path = g_strdup_printf("/v1/values/manifest?after=%" G_GUINT64_FORMAT
			       "&wait_ms=%" G_GUINT64_FORMAT,
			       config_store_highest_version(c->store), wait_ms);
	counter_increment(kernel_counters(c->service.kernel), COUNTER_PLATFORM_READS);
	http_client_call(c->manifest_client, path, NULL, NULL, wait_ms + READ_TIMEOUT_MS,
			 manifest_watch_done, c);
}

static void manifest_retry(evutil_socket_t fd, short what, void *arg)
{
	manifest_watch(arg);
}

static void vms_watch_done(void *arg, const struct http_answer *answer)
{
	static const char *const services[] = {"membership", "holder"};
	struct configurer *c = arg;
	json_t *vms;

	c->is_watching_vms = false;
	if (answer->status == 200 &&
	    (vms = json_loadb(answer->body, answer->body_bytes, 0, NULL))) {
		c->vms_version = answer->version;
		for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
			kernel_message_send(c->service.kernel,
					    kernel_service_find(c->service.kernel, services[i]),
					    &vms_read_create(vms, answer->version)->message);
		json_decref(vms);
	}
	timer_set(c->vms_retry, answer->status == 200 || answer->status == 304 ? 0 : RETRY_MS);
}

static void vms_watch(struct configurer *c)
{
	g_autofree char *path = NULL;
	uint64_t wait_ms = c->vms_version ? c->settings.watch_ms : 0;

	if (c->is_watching_vms || (!is_reader(c) && c->vms_version))
		return;
	c->is_watching_vms = true;
	path = g_strdup_printf("/v1/values/vms?after=%" G_GUINT64_FORMAT
			       "&wait_ms=%" G_GUINT64_FORMAT,
			       c->vms_version, wait_ms);
	counter_increment(kernel_counters(c->service.kernel), COUNTER_PLATFORM_READS);
	http_client_call(c->vms_client, path, NULL, NULL, wait_ms + READ_TIMEOUT_MS, vms_watch_done,
			 c);
}

static void vms_retry(evutil_socket_t fd, short what, void *arg)
{
	vms_watch(arg);
}

/* All peers asked at the start have replied, or their calls have ended. */
static void start_peers_done(struct configurer *c)
{
	config_store_source_answered(c->store);
	config_publish(c);
}

static void listed_peers_ask(struct configurer *c)
{
	g_auto(GStrv) peers = g_strsplit(c->settings.peers, ",", -1);

	for (char **peer = peers; *peer; peer++) {
		if (strcmp(*peer, c->settings.rpc_address) == 0)
			continue;
		c->has_asked_peers = true;
		c->start_replies_pending++;
		peer_ask(c, *peer, true, NULL, 0);
	}
}

/* A starting VM asks peers besides the platform, which may be out of date or down. */
static void start_peers_ask(struct configurer *c)
{
	unsigned int n = c->roster->n_vms;
	unsigned int start = g_rand_int_range(kernel_rand(c->service.kernel), 0, (gint32)MAX(1, n));

	for (unsigned int i = 0; i < n && c->start_replies_pending < START_PEERS; i++) {
		const struct roster_vm *vm = &c->roster->vms[(start + i) % n];

		if (vm->is_self)
			continue;
		c->has_asked_peers = true;
		c->start_replies_pending++;
		peer_ask(c, vm->rpc, true, NULL, 0);
	}
}

static void notice_receive(struct configurer *c, const apr_notice *notice)
{
	if (notice->config_version > config_store_highest_version(c->store) &&
	    manifest_address_is_valid(notice->rpc))
		peer_ask(c, notice->rpc, true, NULL, 0);
}

/* Leaves out sections that this VM lacks or that exceed REPLY_BYTES_MAX; the peer asks again. */
static void config_get_answer(struct configurer *c, const struct peer_call *call)
{
	const apr_config_args *args = call->args;
	apr_config_reply *result = peer_result_create(APR_CONFIG_GET);
	const char *index = config_store_index(c->store);
	struct peer_reply *reply;
	size_t total_bytes = 0;
	u_int n = 0;

	result->config_version = config_store_version(c->store);
	result->index = g_strdup(args->want_index && index ? index : "");
	result->source = g_strdup(c->settings.rpc_address);
	result->sections.sections_val = g_new0(apr_section, MAX(1, args->digests.digests_len));
	for (u_int i = 0; i < args->digests.digests_len; i++) {
		const char *digest = args->digests.digests_val[i].hex;
		size_t bytes;
		const char *text = config_store_section_text(c->store, digest, &bytes);

		total_bytes += text ? bytes : 0;
		if (!text || total_bytes > REPLY_BYTES_MAX)
			continue;
		result->sections.sections_val[n].digest = g_strdup(digest);
		result->sections.sections_val[n++].text = g_strndup(text, bytes);
	}
	result->sections.sections_len = n;
	reply = peer_reply_create(call->tag, APR_CONFIG_GET, PEER_STATUS_DONE, result);
	if (call->reply_to)
		kernel_message_send(c->service.kernel, call->reply_to, &reply->message);
	else
		message_destroy(&reply->message);
}

static void config_reply_receive(struct configurer *c, const struct peer_reply *message)
{
	const apr_config_reply *reply = message->result;
	u_int n = reply ? reply->sections.sections_len : 0;

	if (reply && *reply->index)
		index_offer(c, reply->config_version, reply->index, reply->source);
	for (u_int i = 0; i < n; i++)
		section_receive(c, reply->sections.sections_val[i].digest,
				reply->sections.sections_val[i].text,
				strlen(reply->sections.sections_val[i].text));
	if (message->tag == TAG_SECTIONS) {
		c->is_fetching_peer = false;
		if (n > 0)
			fetch_missing(c);
		else
			timer_set(c->sections_retry, RETRY_MS);
	} else if (c->start_replies_pending > 0 && --c->start_replies_pending == 0) {
		start_peers_done(c);
	}
}

/* Cancels the requests of both watches in progress. */
static void watch_clients_reset(struct configurer *c)
{
	struct event_base *base = kernel_base(c->service.kernel);

	http_client_destroy(c->manifest_client);
	http_client_destroy(c->vms_client);
	c->manifest_client = http_client_create(base, c->settings.platform_address);
	c->vms_client = http_client_create(base, c->settings.platform_address);
	c->is_watching_manifest = false;
	c->is_watching_vms = false;
}

static void configurer_check(evutil_socket_t fd, short what, void *arg)
{
	struct configurer *c = arg;

	config_publish(c);
	if (!evtimer_pending(c->manifest_retry, NULL))
		manifest_watch(c);
	if (!evtimer_pending(c->vms_retry, NULL))
		vms_watch(c);
}

/* A watch in progress may have been answered before the pause, so the watches are restarted. */
static void renewal_start(struct configurer *c)
{
	if (c->renewal_is_wanted && c->is_watching_manifest)
		return;
	c->renewal_is_wanted = true;
	watch_clients_reset(c);
	manifest_watch(c);
}

static void roster_receive(struct configurer *c, struct roster *roster)
{
	roster_put(c->roster);
	c->roster = roster_get(roster);
	if (!c->has_asked_peers && roster->n_vms > 1)
		start_peers_ask(c);
}

static void status_answer(struct configurer *c, const struct status_request *request)
{
	uint64_t now_ms = clock_now_ms();
	const struct config_stats *stats = config_store_stats(c->store);
	json_t *body = json_pack(
		"{s:{s:b, s:I, s:I, s:I, s:b, s:b, s:I, s:I, s:I}}", "config", "ready",
		c->has_published, "version", (json_int_t)config_store_version(c->store),
		"known_version", (json_int_t)config_store_highest_version(c->store), "age_ms",
		(json_int_t)(c->manifest ? now_ms - c->applied_ms : 0), "reader", is_reader(c),
		"platform_up", !c->platform_is_down && c->platform_answer_ms > 0,
		"platform_answer_age_ms",
		(json_int_t)(c->platform_answer_ms ? now_ms - c->platform_answer_ms : 0), "refused",
		(json_int_t)stats->refused, "conflicts", (json_int_t)stats->conflicts);
	struct status_reply *reply = status_reply_create(request->tag, body);

	kernel_message_send(c->service.kernel, request->reply_to, &reply->message);
}

static void peer_call_receive(struct configurer *c, const struct peer_call *call)
{
	if (call->procedure == APR_NOTICE)
		notice_receive(c, call->args);
	else if (call->procedure == APR_CONFIG_GET)
		config_get_answer(c, call);
}

static void configurer_receive(struct service *s, struct message *m)
{
	struct configurer *c = (struct configurer *)s;

	switch ((enum message_kind)m->kind) {
	case MESSAGE_PEER_CALL:
		peer_call_receive(c, (struct peer_call *)m);
		break;
	case MESSAGE_PEER_REPLY:
		config_reply_receive(c, (struct peer_reply *)m);
		break;
	case MESSAGE_ROSTER_CHANGED:
		roster_receive(c, ((struct roster_changed *)m)->roster);
		break;
	case MESSAGE_RENEWAL_REQUESTED:
		renewal_start(c);
		break;
	case MESSAGE_STATUS_REQUEST:
		status_answer(c, (struct status_request *)m);
		break;
	default:
		break;
	}
	message_destroy(m);
}

static gboolean configurer_start(struct service *s, GError **error)
{
	static const struct timeval period = {0, CHECK_MS * 1000L};
	struct configurer *c = (struct configurer *)s;

	watch_clients_reset(c);
	c->section_client =
		http_client_create(kernel_base(s->kernel), c->settings.platform_address);
	event_add(c->check, &period);
	manifest_watch(c);
	vms_watch(c);
	if (c->settings.peers)
		listed_peers_ask(c);
	return TRUE;
}

static void configurer_destroy(struct service *s)
{
	struct configurer *c = (struct configurer *)s;

	http_client_destroy(c->manifest_client);
	http_client_destroy(c->section_client);
	http_client_destroy(c->vms_client);
	event_free(c->manifest_retry);
	event_free(c->sections_retry);
	event_free(c->vms_retry);
	event_free(c->check);
	config_store_destroy(c->store);
	manifest_put(c->manifest);
	manifest_put(c->candidate);
	roster_put(c->roster);
	g_free(c->section_digest);
	g_free(c);
}

struct service *configurer_create(struct kernel *k, const struct configurer_settings *settings)
{
	static const struct service_ops ops = {
		.name = "configurer",
		.start = configurer_start,
		.receive = configurer_receive,
		.destroy = configurer_destroy,
	};
	struct configurer *c = g_new0(struct configurer, 1);
	struct event_base *base = kernel_base(k);

	c->service.ops = &ops;
	c->sink.ops = &sink_ops;
	c->settings = *settings;
	/* Two sources: the platform, and the peers together. */
	c->store = config_store_create(&c->sink, 2, clock_now_ms());
	c->manifest_retry = evtimer_new(base, manifest_retry, c);
	c->sections_retry = evtimer_new(base, sections_retry, c);
	c->vms_retry = evtimer_new(base, vms_retry, c);
	c->check = event_new(base, -1, EV_PERSIST, configurer_check, c);
	return &c->service;
}
