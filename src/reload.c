#include "reload.h"

#include "log.h"
#include "message.h"

#include <signal.h>
#include <string.h>
#include <sys/stat.h>

/*
 * Period of the checks of the settings file. The tightest bound on a change of the configuration
 * is three seconds.
 */
#define POLL_MS 1000

struct reload {
	struct service service;
	char **argv;
	char *path; /* of the settings file; NULL: there is none */
	struct event *hangup_event; /* SIGHUP */
	struct event *poll_timer;
	struct timespec modified_at; /* of the file at the last check */
	off_t n_bytes; /* of the file at the last check */
};

/* True if the file differs from what the last check saw. Remembers what this one saw. */
static bool file_check(struct reload *r)
{
	struct stat st;
	bool has_changed;

	if (!r->path || stat(r->path, &st) < 0)
		return false;
	has_changed = st.st_mtim.tv_sec != r->modified_at.tv_sec ||
		      st.st_mtim.tv_nsec != r->modified_at.tv_nsec || st.st_size != r->n_bytes;
	r->modified_at = st.st_mtim;
	r->n_bytes = st.st_size;
	return has_changed;
}

static void settings_broadcast(struct reload *r, const struct settings *settings)
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
	/* settings_create removes the parsed entries from the array, but frees no string. */
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
	settings_broadcast(r, settings);
	settings_destroy(settings);
}

static void hangup_handle(evutil_socket_t signal, short what, void *arg)
{
	struct reload *r = arg;

	file_check(r);
	settings_reload(r, "signal");
}

static void poll_handle(evutil_socket_t fd, short what, void *arg)
{
	struct reload *r = arg;

	if (file_check(r))
		settings_reload(r, "file");
}

static void reload_receive(struct service *s, struct message *m)
{
	message_destroy(m);
}

static void reload_destroy(struct service *s)
{
	struct reload *r = (struct reload *)s;

	event_free(r->hangup_event);
	event_free(r->poll_timer);
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
	r->hangup_event = evsignal_new(kernel_base(k), SIGHUP, hangup_handle, r);
	r->poll_timer = event_new(kernel_base(k), -1, EV_PERSIST, poll_handle, r);
	event_add(r->hangup_event, NULL);
	file_check(r);
	if (r->path)
		event_add(r->poll_timer, &period);
	return &r->service;
}
