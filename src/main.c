#include "clock.h"
#include "commander.h"
#include "configurer.h"
#include "front.h"
#include "holder.h"
#include "kernel.h"
#include "log.h"
#include "membership.h"
#include "message.h"
#include "peer.h"
#include "searcher.h"
#include "settings.h"
#include "stopper.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum exit_code { EXIT_STOPPED = 0, EXIT_SETTINGS = 2, EXIT_SYSTEM = 3 };

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

static bool services_add(struct kernel *k, const struct settings *settings, GError **error)
{
	uint64_t started_ms = clock_now_ms();
	uint64_t incarnation = incarnation_create();
	struct membership_settings membership = {
		.name = settings->name,
		.dc = settings->dc,
		.http_address = settings->http,
		.rpc_address = settings->rpc,
		.peers = settings->peers,
		.incarnation = incarnation,
		.started_ms = started_ms,
		.lease_ms = settings->lease_ms,
	};
	struct commander_settings commander = {
		.incarnation = incarnation,
		.started_ms = started_ms,
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
	       service_add(k, stopper_create(k, settings->stop_ms));
}

static void signal_receive(evutil_socket_t signal, short what, void *arg)
{
	struct kernel *k = arg;

	kernel_message_send(k, kernel_service_find(k, "stopper"),
			    message_create(MESSAGE_STOP_ANNOUNCED));
}

static int daemon_run(const struct settings *settings)
{
	struct event_base *base = event_base_new();
	struct kernel *k = kernel_create(base);
	struct event *terminate = evsignal_new(base, SIGTERM, signal_receive, k);
	struct event *interrupt = evsignal_new(base, SIGINT, signal_receive, k);
	GError *error = NULL;
	int code = EXIT_STOPPED;

	signal(SIGPIPE, SIG_IGN);
	event_add(terminate, NULL);
	event_add(interrupt, NULL);
	if (services_add(k, settings, &error) && kernel_services_start(k, &error)) {
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
	event_free(terminate);
	event_free(interrupt);
	event_base_free(base);
	return code;
}

int main(int argc, char **argv)
{
	GError *error = NULL;
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
	code = daemon_run(settings);
	settings_destroy(settings);
	return code;
}
