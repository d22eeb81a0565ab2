#include "reload.h"

#include "log.h"
#include "message.h"

#include <signal.h>
#include <string.h>
#include <sys/stat.h>

/* A file that changes without a signal is noticed within this time; the tightest bound on a change
 * of the configuration is three seconds. */
#define POLL_MS 1000

struct reload {
	struct service service;
	char **argv;
	char *path; /* NULL: settings come from flags and the environment only */
	struct event *hangup;
	struct event *poll;
	struct timespec changed_at; /* of the file that was read last */
	off_t n_bytes;
};

static bool file_has_changed(struct reload *r)
{
	struct stat st;
	bool changed;

	if (!r->path || stat(r->path, &st) < 0)
		return false;
	changed = st.st_mtim.tv_sec != r->changed_at.tv_sec ||
		  st.st_mtim.tv_nsec != r->changed_at.tv_nsec || st.st_size != r->n_bytes;
	r->changed_at = st.st_mtim;
	r->n_bytes = st.st_size;
	return changed;
}

static void settings_announce(struct reload *r, const struct settings *settings)
{
	static const char *const services[] = {"membership", "gateway", "directory"};
	struct kernel *k = r->service.kernel;

	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		kernel_message_send(k, kernel_service_find(k, services[i]),
				    &settings_read_create(settings)->message);
}

static void settings_reload(struct reload *r, const char *cause)
{
	guint n = g_strv_length(r->argv);
	/* The parser takes out of the array what it has read; the strings stay the owner's. */
	g_autofree char **argv = g_memdup2(r->argv, (n + 1) * sizeof(*r->argv));
	GError *error = NULL;
	struct settings *settings = settings_create((int)n, argv, &error);

	if (!settings) {
		log_event(LOG_LEVEL_WARNING, "reload_refused", "cause=%s reason=\"%s\"", cause,
			  error->message);
		g_error_free(error);
		return;
	}
	log_event(LOG_LEVEL_INFO, "reloaded", "cause=%s peers=%s", cause,
		  settings->peers ? settings->peers : "-");
	settings_announce(r, settings);
	settings_destroy(settings);
}

static void hangup_handle(evutil_socket_t signal, short what, void *arg)
{
	struct reload *r = arg;

	file_has_changed(r);
	settings_reload(r, "signal");
}

static void poll_handle(evutil_socket_t fd, short what, void *arg)
{
	struct reload *r = arg;

	if (file_has_changed(r))
		settings_reload(r, "file");
}

static void reload_receive(struct service *s, struct message *m)
{
	message_destroy(m);
}

static void reload_destroy(struct service *s)
{
	struct reload *r = (struct reload *)s;

	event_free(r->hangup);
	event_free(r->poll);
	g_free(r->path);
	g_free(r);
}

struct service *reload_create(struct kernel *k, char **argv, const struct settings *settings)
{
	static const struct service_ops ops = {
		.name = "reload",
		.receive = reload_receive,
		.destroy = reload_destroy,
	};
	static const struct timeval period = {POLL_MS / 1000, 0};
	struct reload *r = g_new0(struct reload, 1);

	r->service.ops = &ops;
	r->argv = argv;
	r->path = g_strdup(settings->settings);
	r->hangup = evsignal_new(kernel_base(k), SIGHUP, hangup_handle, r);
	r->poll = event_new(kernel_base(k), -1, EV_PERSIST, poll_handle, r);
	event_add(r->hangup, NULL);
	file_has_changed(r);
	if (r->path)
		event_add(r->poll, &period);
	return &r->service;
}
