#include "stopper.h"

#include "clock.h"
#include "log.h"
#include "message.h"
#include "stop.h"

#define POLL_MS 50

struct stopper {
	struct service service;
	struct stop *stop;
	struct event *poll;
	uint64_t lists_expire_ms; /* from the announcement until no caller's list names this VM */
	uint64_t longest_deadline_ms; /* of the services of the manifest */
	bool is_refusing; /* new requests are refused */
	unsigned int in_flight; /* requests, from the last complete round of replies */
	unsigned int round_sum; /* of the round in progress */
	unsigned int replies_pending;
	bool round_is_complete; /* all replies of the last round have arrived */
};

/* Asked in each round how many requests they have in flight. */
static const char *const working_services[] = {"front", "holder", "commander", "gateway"};
/* Told to refuse new requests. */
static const char *const accepting_services[] = {"front", "gateway"};
/* Told at the start of the stop. */
static const char *const announced_services[] = {"membership", "gateway", "directory"};

static void round_start(struct stopper *st)
{
	st->round_sum = 0;
	st->replies_pending = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(working_services); i++) {
		struct service *to = kernel_service_find(st->service.kernel, working_services[i]);

		if (!to)
			continue;
		kernel_message_send(st->service.kernel, to,
				    &status_request_create(&st->service, 0, "work")->message);
		st->replies_pending++;
	}
}

static unsigned int requests_count(const json_t *body)
{
	const json_t *front = json_object_get(body, "front");
	const json_t *holder = json_object_get(body, "holder");
	const json_t *commander = json_object_get(body, "commander");
	const json_t *gateway = json_object_get(body, "gateway");

	return (unsigned int)(json_integer_value(json_object_get(front, "requests")) +
			      json_integer_value(json_object_get(holder, "jobs")) +
			      json_integer_value(json_object_get(commander, "in_progress")) +
			      json_integer_value(json_object_get(gateway, "requests")));
}

static void status_receive(struct stopper *st, const struct status_reply *reply)
{
	if (st->replies_pending == 0)
		return;
	st->round_sum += requests_count(reply->body);
	if (--st->replies_pending > 0)
		return;
	st->in_flight = st->round_sum;
	st->round_is_complete = true;
}

/*
 * Has new requests refused as not run once the stop accepts none: close to the limit they might not
 * finish, and before the end none may arrive unnoticed.
 */
static void refuse_if_late(struct stopper *st)
{
	struct kernel *k = st->service.kernel;

	if (st->is_refusing || stop_accepts(st->stop, st->longest_deadline_ms, clock_now_ms()))
		return;
	st->is_refusing = true;
	for (size_t i = 0; i < G_N_ELEMENTS(accepting_services); i++)
		kernel_message_send(k, kernel_service_find(k, accepting_services[i]),
				    message_create(MESSAGE_NEW_REQUESTS_REFUSED));
}

static void longest_deadline_set(struct stopper *st, const struct manifest *m)
{
	st->longest_deadline_ms = 0;
	for (guint i = 0; i < m->services->len; i++) {
		const struct manifest_service *s = g_ptr_array_index(m->services, i);

		st->longest_deadline_ms = MAX(st->longest_deadline_ms, s->deadline_ms);
	}
}

static void stopper_poll(evutil_socket_t fd, short what, void *arg)
{
	struct stopper *st = arg;
	/* Until a round is complete, one request counts as in flight. */
	unsigned int in_flight = st->round_is_complete ? st->in_flight : 1;

	if (stop_tick(st->stop, in_flight, clock_now_ms()) != STOP_DONE) {
		refuse_if_late(st);
		st->round_is_complete = false;
		round_start(st);
		return;
	}
	if (stop_cut_count(st->stop) > 0)
		log_event(LOG_LEVEL_WARNING, "stop_bound_reached", "reason=\"%s\" cut=%u",
			  stop_reason(st->stop), stop_cut_count(st->stop));
	else
		log_event(LOG_LEVEL_INFO, "stop_done", "reason=\"%s\"", stop_reason(st->stop));
	event_base_loopexit(kernel_base(st->service.kernel), NULL);
}

static void stop_start(struct stopper *st)
{
	static const struct timeval period = {0, POLL_MS * 1000L};
	struct kernel *k = st->service.kernel;

	if (!stop_request(st->stop, clock_now_ms()))
		return;
	log_event(LOG_LEVEL_INFO, "stop_announced", "lists_ms=%" G_GUINT64_FORMAT,
		  st->lists_expire_ms);
	for (size_t i = 0; i < G_N_ELEMENTS(announced_services); i++)
		kernel_message_send(k, kernel_service_find(k, announced_services[i]),
				    message_create(MESSAGE_STOP_ANNOUNCED));
	event_add(st->poll, &period);
}

static void status_answer(struct stopper *st, const struct status_request *request)
{
	json_t *body =
		json_pack("{s:{s:s}}", "stop", "state", stop_state_name(stop_state(st->stop)));
	struct status_reply *reply = status_reply_create(request->tag, body);

	kernel_message_send(st->service.kernel, request->reply_to, &reply->message);
}

static void stopper_receive(struct service *s, struct message *m)
{
	struct stopper *st = (struct stopper *)s;

	switch ((enum message_kind)m->kind) {
	case MESSAGE_STOP_ANNOUNCED:
		stop_start(st);
		break;
	case MESSAGE_CONFIG_APPLIED:
		longest_deadline_set(st, ((struct config_applied *)m)->manifest);
		break;
	case MESSAGE_STATUS_REPLY:
		status_receive(st, (struct status_reply *)m);
		break;
	case MESSAGE_STATUS_REQUEST:
		status_answer(st, (struct status_request *)m);
		break;
	default:
		break;
	}
	message_destroy(m);
}

static void stopper_destroy(struct service *s)
{
	struct stopper *st = (struct stopper *)s;

	event_free(st->poll);
	stop_destroy(st->stop);
	g_free(st);
}

struct service *stopper_create(struct kernel *k, uint64_t lists_expire_ms, uint64_t limit_ms)
{
	static const struct service_ops ops = {
		.name = "stopper",
		.receive = stopper_receive,
		.destroy = stopper_destroy,
	};
	struct stopper *st = g_new0(struct stopper, 1);

	st->service.ops = &ops;
	st->lists_expire_ms = lists_expire_ms;
	st->stop = stop_create(st->lists_expire_ms, limit_ms);
	st->poll = event_new(kernel_base(k), -1, EV_PERSIST, stopper_poll, st);
	return &st->service;
}
