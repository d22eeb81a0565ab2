#include "loadmeter.h"

#include "clock.h"
#include "log.h"
#include "message.h"

#include <errno.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define SAMPLE_MS 500
/*
 * Descriptors are given out lowest first, so that few numbers are free between those in use. After
 * this many free ones in sequence no more are looked for.
 */
#define FREE_FDS_MAX 256

struct loadmeter {
	struct service service;
	struct vmload *load;
	struct event *tick;
	bool link_is_known;
	uint64_t link_bytes; /* of all connections since the start */
	GArray *fd_bytes; /* uint64_t: bytes counted so far of the connection with this descriptor
			   */
	uint64_t n_steps; /* changes of the share */
};

/* Bytes that a TCP connection has sent and received; 0 when fd is none. False when fd is free. */
static bool connection_bytes(int fd, uint64_t *n_bytes)
{
	struct tcp_info info;
	socklen_t size = sizeof(info);

	memset(&info, 0, sizeof(info));
	*n_bytes = 0;
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) < 0)
		return errno != EBADF;
	*n_bytes = info.tcpi_bytes_acked + info.tcpi_bytes_received;
	return true;
}

/*
 * Adds what the open connections have moved since the last call. Not counted are bytes of the
 * connections that were opened and closed between two calls, and the last ones of those closed.
 */
static void link_measure(struct loadmeter *lm)
{
	guint n_free = 0;

	for (guint fd = 0; n_free < FREE_FDS_MAX; fd++) {
		uint64_t n_bytes;
		uint64_t *counted;

		n_free = connection_bytes((int)fd, &n_bytes) ? 0 : n_free + 1;
		if (fd >= lm->fd_bytes->len)
			g_array_set_size(lm->fd_bytes, fd + 1);
		counted = &g_array_index(lm->fd_bytes, uint64_t, fd);
		/* Fewer bytes than before are those of a new connection. */
		lm->link_bytes += n_bytes >= *counted ? n_bytes - *counted : n_bytes;
		*counted = n_bytes;
	}
}

static uint64_t timeval_us(const struct timeval *t)
{
	return (uint64_t)t->tv_sec * G_USEC_PER_SEC + (uint64_t)t->tv_usec;
}

static uint64_t processor_us(void)
{
	struct rusage usage;

	if (getrusage(RUSAGE_SELF, &usage) < 0)
		return 0;
	return timeval_us(&usage.ru_utime) + timeval_us(&usage.ru_stime);
}

static uint64_t resident_bytes(void)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) words = NULL;

	if (!g_file_get_contents("/proc/self/statm", &text, NULL, NULL))
		return 0;
	words = g_strsplit(text, " ", 3);
	return words[0] && words[1]
		       ? g_ascii_strtoull(words[1], NULL, 10) * (uint64_t)sysconf(_SC_PAGESIZE)
		       : 0;
}

static void change_tell(struct loadmeter *lm, unsigned int step_before)
{
	struct kernel *k = lm->service.kernel;
	bool is_short = vmload_step(lm->load) > step_before;
	enum vmload_resource scarcest = vmload_scarcest(lm->load);

	lm->n_steps++;
	log_event(is_short ? LOG_LEVEL_WARNING : LOG_LEVEL_INFO,
		  is_short ? "vm_short" : "vm_recovered",
		  "step=%u left_millicores=%u most_used=%s used_pct=%u", vmload_step(lm->load),
		  vmload_weight_left(lm->load), vmload_resource_name(scarcest),
		  vmload_used_pct(lm->load, scarcest));
	kernel_message_send(k, kernel_service_find(k, "membership"),
			    &weight_changed_create(vmload_weight_left(lm->load))->message);
}

static void tick_handle(evutil_socket_t fd, short what, void *arg)
{
	struct loadmeter *lm = arg;
	unsigned int step = vmload_step(lm->load);
	struct vmload_sample sample = {0};

	if (lm->link_is_known)
		link_measure(lm);
	sample.processor_us = processor_us();
	sample.link_bytes = lm->link_bytes;
	sample.resident_bytes = resident_bytes();
	if (vmload_note(lm->load, &sample, clock_now_ms()))
		change_tell(lm, step);
}

static json_t *metrics_json(const struct loadmeter *lm)
{
	GString *out = g_string_new(NULL);
	json_t *body;

	for (unsigned int i = 0; i < VMLOAD_RESOURCE_COUNT; i++)
		g_string_append_printf(out, "apricot_vm_used_pct{resource=\"%s\"} %u\n",
				       vmload_resource_name((enum vmload_resource)i),
				       vmload_used_pct(lm->load, (enum vmload_resource)i));
	g_string_append_printf(out,
			       "apricot_vm_left_millicores %u\n"
			       "apricot_vm_share_changes_total %" G_GUINT64_FORMAT "\n",
			       vmload_weight_left(lm->load), lm->n_steps);
	body = json_pack("{s:s}", "load_metrics", out->str);
	g_string_free(out, TRUE);
	return body;
}

static json_t *status_json(const struct loadmeter *lm)
{
	json_t *used = json_object();

	for (unsigned int i = 0; i < VMLOAD_RESOURCE_COUNT; i++)
		json_object_set_new(
			used, vmload_resource_name((enum vmload_resource)i),
			json_integer(vmload_used_pct(lm->load, (enum vmload_resource)i)));
	return json_pack("{s:{s:i, s:i, s:o}}", "load", "step", (int)vmload_step(lm->load),
			 "left_millicores", (int)vmload_weight_left(lm->load), "used_pct", used);
}

static void loadmeter_receive(struct service *s, struct message *m)
{
	struct loadmeter *lm = (struct loadmeter *)s;

	if (m->kind == MESSAGE_STATUS_REQUEST) {
		const struct status_request *request = (struct status_request *)m;
		bool is_metrics = strcmp(request->topic, "metrics") == 0;
		struct status_reply *reply = status_reply_create(
			request->tag, is_metrics ? metrics_json(lm) : status_json(lm));

		kernel_message_send(s->kernel, request->reply_to, &reply->message);
	}
	message_destroy(m);
}

static gboolean loadmeter_start(struct service *s, GError **error)
{
	static const struct timeval period = {0, SAMPLE_MS * 1000L};

	event_add(((struct loadmeter *)s)->tick, &period);
	return TRUE;
}

static void loadmeter_destroy(struct service *s)
{
	struct loadmeter *lm = (struct loadmeter *)s;

	event_free(lm->tick);
	vmload_destroy(lm->load);
	g_array_free(lm->fd_bytes, TRUE);
	g_free(lm);
}

struct service *loadmeter_create(struct kernel *k, const struct vmload_limits *limits)
{
	static const struct service_ops ops = {
		.name = "loadmeter",
		.start = loadmeter_start,
		.receive = loadmeter_receive,
		.destroy = loadmeter_destroy,
	};
	struct loadmeter *lm = g_new0(struct loadmeter, 1);

	lm->service.ops = &ops;
	lm->load = vmload_create(limits, clock_now_ms());
	lm->link_is_known = limits->link_mbps > 0;
	lm->fd_bytes = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	lm->tick = event_new(kernel_base(k), -1, EV_PERSIST, tick_handle, lm);
	return &lm->service;
}
