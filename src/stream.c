#include "stream.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536
/*
 * Unsent bytes are buffered in blocks of this size, with what libevent adds to each, since a block
 * is freed only when all of it is sent.
 */
#define UNSENT_BLOCK_BYTES (16384 - 64)
/*
 * Default: a connection ends when sent bytes stay unacknowledged for this time, or when the peer
 * takes nothing for so long (its window stays closed).
 */
#define UNACKNOWLEDGED_MS_MAX 2000
/* TCP keep-alive, for a peer that may be silent for long although the connection is intact. */
#define PROBE_IDLE_S 1 /* silence before the first probe */
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT 2 /* unanswered probes that end the connection */

/*
 * Shared by all streams, which run on one thread: ops->received consumes the bytes before it
 * returns.
 */
static char read_buffer[READ_BYTES];

static void stream_end(struct stream *s, int error)
{
	s->ops->ended(s, error);
}

static void readable_handle(evutil_socket_t fd, short what, void *arg)
{
	struct stream *s = arg;
	ssize_t n = recv(fd, read_buffer, sizeof(read_buffer), 0);

	if (n > 0)
		s->ops->received(s, read_buffer, (size_t)n);
	else if (n == 0)
		stream_end(s, 0);
	else if (errno != EAGAIN && errno != EINTR)
		stream_end(s, errno);
}

static void connect_finish(struct stream *s)
{
	int error = 0;
	socklen_t n = sizeof(error);

	if (getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &error, &n) < 0)
		error = errno;
	if (error) {
		stream_end(s, error);
		return;
	}
	s->is_connecting = false;
	event_del(s->writable);
	event_add(s->readable, NULL);
	s->ops->opened(s);
}

static void writable_handle(evutil_socket_t fd, short what, void *arg)
{
	struct stream *s = arg;

	if (s->is_connecting) {
		connect_finish(s);
		return;
	}
	if (evbuffer_write(s->unsent, fd) < 0 && errno != EAGAIN && errno != EINTR) {
		stream_end(s, errno);
		return;
	}
	if (evbuffer_get_length(s->unsent) > 0) {
		if (s->ops->sent)
			s->ops->sent(s);
		return;
	}
	event_del(s->writable);
	evbuffer_free(s->unsent);
	s->unsent = NULL;
	if (s->ops->drained)
		s->ops->drained(s);
}

static void socket_options_set(int fd)
{
	int on = 1;
	unsigned int unacknowledged_ms = UNACKNOWLEDGED_MS_MAX;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
		   sizeof(unacknowledged_ms));
}

void stream_stall_max_set(struct stream *s, unsigned int stall_max_ms)
{
	setsockopt(s->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &stall_max_ms, sizeof(stall_max_ms));
}

static void stream_init(struct stream *s, struct event_base *base, int fd,
			const struct stream_ops *ops)
{
	s->ops = ops;
	s->fd = fd;
	s->unsent = NULL;
	s->is_connecting = false;
	s->readable = event_new(base, fd, EV_READ | EV_PERSIST, readable_handle, s);
	s->writable = event_new(base, fd, EV_WRITE | EV_PERSIST, writable_handle, s);
	socket_options_set(fd);
}

void stream_socket_adopt(struct stream *s, struct event_base *base, int fd,
			 const struct stream_ops *ops)
{
	stream_init(s, base, fd, ops);
	event_add(s->readable, NULL);
}

bool stream_connect(struct stream *s, struct event_base *base, const struct sockaddr_in *to,
		    const struct stream_ops *ops)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return false;
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) < 0 && errno != EINPROGRESS) {
		int saved = errno;

		close(fd);
		errno = saved;
		return false;
	}
	stream_init(s, base, fd, ops);
	s->is_connecting = true;
	event_add(s->writable, NULL);
	return true;
}

void stream_keepalive_enable(struct stream *s)
{
	int on = 1;
	int idle_s = PROBE_IDLE_S;
	int interval_s = PROBE_INTERVAL_S;
	int count = PROBE_COUNT;

	setsockopt(s->fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(s->fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(s->fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
	setsockopt(s->fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
}

static void unsent_add(struct evbuffer *unsent, const char *data, size_t n)
{
	while (n > 0) {
		size_t block = MIN(n, UNSENT_BLOCK_BYTES);

		evbuffer_add(unsent, data, block);
		data += block;
		n -= block;
	}
}

bool stream_write(struct stream *s, const void *data, size_t n)
{
	ssize_t sent = 0;

	if (s->fd < 0)
		return false;
	if (!s->unsent) {
		sent = send(s->fd, data, n, MSG_NOSIGNAL);
		if (sent < 0 && errno != EAGAIN && errno != EINTR)
			return false;
		if (sent < 0)
			sent = 0;
		if ((size_t)sent == n)
			return true;
		s->unsent = evbuffer_new();
		event_add(s->writable, NULL);
	}
	unsent_add(s->unsent, (const char *)data + sent, n - (size_t)sent);
	return true;
}

size_t stream_unsent_bytes(const struct stream *s)
{
	return s->unsent ? evbuffer_get_length(s->unsent) : 0;
}

size_t stream_unacknowledged_bytes(const struct stream *s)
{
	int queued = 0;

	if (s->fd < 0 || ioctl(s->fd, SIOCOUTQ, &queued) < 0)
		queued = 0;
	return (size_t)MAX(queued, 0) + stream_unsent_bytes(s);
}

void stream_write_end(struct stream *s)
{
	shutdown(s->fd, SHUT_WR);
}

void stream_read_pause(struct stream *s)
{
	event_del(s->readable);
}

void stream_read_resume(struct stream *s)
{
	event_add(s->readable, NULL);
}

void stream_close(struct stream *s)
{
	if (s->fd < 0)
		return;
	event_free(s->readable);
	event_free(s->writable);
	if (s->unsent)
		evbuffer_free(s->unsent);
	close(s->fd);
	s->unsent = NULL;
	s->fd = -1;
}
