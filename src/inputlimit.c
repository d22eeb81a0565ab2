#include "inputlimit.h"

#include <event2/buffer.h>
#include <event2/event.h>

/* Several reads of libevent, 16 KB each, and the lines around a part. */
#define ROOM_BYTES 65536

static void input_changed(struct evbuffer *input, const struct evbuffer_cb_info *info, void *arg)
{
	struct bufferevent *bev = arg;
	size_t high;

	bufferevent_getwatermark(bev, EV_READ, NULL, &high);
	if (info->n_added == 0 || evbuffer_get_length(input) < high)
		return;
	bufferevent_disable(bev, EV_READ);
	/* Deferred, since the owner may free the connection. */
	bufferevent_trigger_event(bev, BEV_EVENT_READING | BEV_EVENT_ERROR,
				  BEV_TRIG_DEFER_CALLBACKS);
}

void inputlimit_set(struct bufferevent *bev, size_t part_bytes)
{
	bufferevent_setwatermark(bev, EV_READ, 0, part_bytes + ROOM_BYTES);
	evbuffer_add_cb(bufferevent_get_input(bev), input_changed, bev);
}
