#include "adapter_platform.h"
#include "clock.h"
#include "commander.h"
#include "configurer.h"
#include "directory.h"
#include "entrylist.h"
#include "feed.h"
#include "front.h"
#include "gateway.h"
#include "heldbytes.h"
#include "holder.h"
#include "kernel.h"
#include "loadmeter.h"
#include "log.h"
#include "membership.h"
#include "message.h"
#include "peer.h"
#include "relay.h"
#include "reload.h"
#include "searcher.h"
#include "settings.h"
#include "stopper.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time within which the other VMs learn of a planned stop and remove this VM from their lists. */
#define STOP_SPREAD_MS 2000
/* The same in a routed deployment, whose VMs tell each other at once. */
#define ROUTED_STOP_SPREAD_MS 600
/* Some callers keep a list of addresses for three times its time to live. */
#define ROUTED_TTL_FACTOR 3u
/* In a routed deployment a planned stop ends this long before the process would be killed. */
#define STOP_MARGIN_MS 400u
#define LOG_FLUSH_MS 100

enum exit_code { EXIT_STOPPED = 0, EXIT_SETTINGS = 2, EXIT_SYSTEM = 3 };

/* Random; not 0, which stands for an unknown incarnation. */
static uint64_t incarnation_create(void)
{
	uint64_t incarnation = 0;

	while (incarnation == 0)
		incarnation = (uint64_t)g_random_int() << 32 | g_random_int();
	return incarnation;
}

static bool service_add(struct kernel *k, struct service *s)
{
	if (s)
		kernel_service_add(k, s);
	return s != NULL;
}

static struct membership_settings membership_settings(const struct settings *settings,
						      const char *http_address)
{
	return (struct membership_settings){
		.name = settings->name,
		.dc = settings->dc,
		.http_address = http_address,
		.rpc_address = settings->rpc,
		.peers = settings->peers,
		.weight = settings_cpu_milli(settings),
		.incarnation = incarnation_create(),
		.started_ms = clock_now_ms(),
		.lease_ms = settings->lease_ms,
		.ping_ms = (unsigned int)settings->ping_ms,
	};
}

/* Without the settings that describe the VM its share for callers is always whole. */
static void loadmeter_add(struct kernel *k, const struct settings *settings)
{
	struct vmload_limits limits = {
		.weight = settings_cpu_milli(settings),
		.link_mbps = settings_link_mbps(settings),
		.memory_mb = settings->memory_mb,
		.list_ttl_ms = settings->entry_ttl_ms,
	};

	if (limits.link_mbps > 0 || limits.memory_mb > 0)
		kernel_service_add(k, loadmeter_create(k, &limits));
}

/*
 * Adds the services of a routed deployment, which forwards requests by route and takes the leaves
 * from the store.
 */
static bool routed_services_add(struct kernel *k, const struct settings *settings, GError **error)
{
	const struct adapter *adapter = adapter_platform();
	struct membership_settings membership = membership_settings(settings, settings->gateway);
	uint64_t limit_ms = MAX(settings->stop_ms, (uint64_t)2 * STOP_MARGIN_MS) - STOP_MARGIN_MS;
	struct gateway_settings gateway = {
		.address = settings->gateway,
		.dc = settings->dc,
		.dc_regions = settings->dc_regions,
		.held_bound_bytes = heldbytes_bound(settings->held_mb, settings->memory_mb),
		.stop_limit_ms = limit_ms,
		.features = adapter->ops->features_parse(
			adapter, settings->features ? settings->features : ""),
		.has_spread = settings_has_spread(settings),
		.repeats = {.ratio = (double)settings->repeat_pct / 100,
			    .slack = (double)settings->repeat_slack,
			    .window_us = settings->repeat_window_ms * CLOCK_US_PER_MS},
	};
	struct directory_settings directory = {
		.address = settings->directory,
		.ready_address = settings->ready,
		.dc = settings->dc,
		.ttl_ms = (unsigned int)settings->entry_ttl_ms,
		.dc_regions = settings->dc_regions,
	};
	struct feed_settings feed = {
		.store_address = settings->platform,
		.wait_ms = (unsigned int)settings->watch_ms,
		.report_ms = (unsigned int)settings->report_ms,
	};
	uint64_t lists_expire_ms =
		settings->entry_ttl_ms * ROUTED_TTL_FACTOR + ROUTED_STOP_SPREAD_MS;

	loadmeter_add(k, settings);
	return service_add(k, peer_create(k, settings->rpc, error)) &&
	       service_add(k, front_create(k, settings->http, error)) &&
	       service_add(k, gateway_create(k, adapter, &gateway, error)) &&
	       service_add(k, directory_create(k, adapter, &directory, error)) &&
	       service_add(k, membership_create(k, &membership)) &&
	       service_add(k, feed_create(k, adapter, &feed, error)) &&
	       service_add(k, relay_create(k, settings->dc)) &&
	       service_add(k, stopper_create(k, MIN(lists_expire_ms, limit_ms), limit_ms));
}

/* Adds the services of a deployment that a manifest configures. */
static bool manifest_services_add(struct kernel *k, const struct settings *settings, GError **error)
{
	struct membership_settings membership = membership_settings(settings, settings->http);
	uint64_t incarnation = membership.incarnation;
	struct commander_settings commander = {
		.incarnation = incarnation,
		.started_ms = membership.started_ms,
		.lease_ms = settings->lease_ms,
		.id_lifetime_ms = settings->id_lifetime_ms,
		.max_ids = (unsigned int)settings->max_ids,
	};
	struct holder_settings holder = {
		.rpc_address = settings->rpc,
		.incarnation = incarnation,
		.lease_ms = settings->lease_ms,
		.id_lifetime_ms = settings->id_lifetime_ms,
		.max_ids = (unsigned int)settings->max_ids,
	};
	struct configurer_settings configurer = {
		.dc = settings->dc,
		.rpc_address = settings->rpc,
		.platform_address = settings->platform,
		.peers = settings->peers,
		.watch_ms = settings->watch_ms,
	};

	return service_add(k, peer_create(k, settings->rpc, error)) &&
	       service_add(k, front_create(k, settings->http, error)) &&
	       service_add(k, searcher_create(k)) &&
	       service_add(k, commander_create(k, &commander)) &&
	       service_add(k, holder_create(k, &holder)) &&
	       service_add(k, membership_create(k, &membership)) &&
	       service_add(k, configurer_create(k, &configurer)) &&
	       service_add(k,
			   stopper_create(k, ENTRYLIST_TTL_MS + STOP_SPREAD_MS, settings->stop_ms));
}

static void signal_handle(evutil_socket_t signal, short what, void *arg)
{
	struct kernel *k = arg;

	kernel_message_send(k, kernel_service_find(k, "stopper"),
			    message_create(MESSAGE_STOP_ANNOUNCED));
}

static void log_flush_handle(evutil_socket_t fd, short what, void *arg)
{
	log_flush();
}

static int daemon_run(char **argv, const struct settings *settings)
{
	struct event_base *base = event_base_new();
	struct kernel *k = kernel_create(base);
	struct event *terminate = evsignal_new(base, SIGTERM, signal_handle, k);
	struct event *interrupt = evsignal_new(base, SIGINT, signal_handle, k);
	struct event *flush = event_new(base, -1, EV_PERSIST, log_flush_handle, NULL);
	const struct timeval flush_period = {0, LOG_FLUSH_MS * 1000L};
	GError *error = NULL;
	int code = EXIT_STOPPED;

	signal(SIGPIPE, SIG_IGN);
	event_add(terminate, NULL);
	event_add(interrupt, NULL);
	event_add(flush, &flush_period);
	kernel_service_add(k, reload_create(k, argv, settings));
	if ((settings->gateway ? routed_services_add(k, settings, &error)
			       : manifest_services_add(k, settings, &error)) &&
	    kernel_services_start(k, &error)) {
		log_event(LOG_LEVEL_INFO, "started", "dc=%s http=%s rpc=%s platform=%s",
			  settings->dc, settings->http, settings->rpc, settings->platform);
		event_base_dispatch(base);
		log_event(LOG_LEVEL_INFO, "stopped", "dc=%s", settings->dc);
	} else {
		fprintf(stderr, "apricotd: %s\n", error->message);
		g_error_free(error);
		code = EXIT_SYSTEM;
	}
	kernel_destroy(k);
	log_flush();
	event_free(flush);
	event_free(terminate);
	event_free(interrupt);
	event_base_free(base);
	return code;
}

int main(int argc, char **argv)
{
	GError *error = NULL;
	/* A copy for later reloads: settings_create removes the flags that it parses from argv. */
	g_auto(GStrv) arguments = g_strdupv(argv);
	struct settings *settings = settings_create(argc, argv, &error);
	enum log_level level = LOG_LEVEL_INFO;
	int code;

	if (!settings) {
		fprintf(stderr, "apricotd: %s\n", error->message);
		g_error_free(error);
		return EXIT_SETTINGS;
	}
	if (settings->log_level)
		log_level_parse(settings->log_level, &level);
	log_setup(settings->name, level);
	log_request_rate_set((unsigned int)settings->log_lines_s);
	code = daemon_run(arguments, settings);
	settings_destroy(settings);
	return code;
}
