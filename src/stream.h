/*
 * Non-blocking TCP connection on libevent, for the client and the server side of HTTP. Bytes that
 * the socket accepts are written at once; the rest is buffered until the socket is writable.
 *
 * The owner embeds struct stream and frees the memory after stream_close. A callback may close the
 * stream that it is called for.
 */
#ifndef APRICOT_STREAM_H
#define APRICOT_STREAM_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

G_BEGIN_DECLS

struct stream;

struct stream_ops {
	void (*opened)(struct stream *s); /* an outgoing connection is established */
	/* The bytes are valid during the callback. */
	void (*received)(struct stream *s, const char *data, size_t n);
	/* The socket has accepted some of the buffered bytes, but not all. May be NULL. */
	void (*sent)(struct stream *s);
	/* The socket has accepted all buffered bytes. May be NULL. */
	void (*drained)(struct stream *s);
	/* The connection is lost. error: 0 when the peer closed it, otherwise an errno. */
	void (*ended)(struct stream *s, int error);
};

struct stream {
	const struct stream_ops *ops;
	struct event *readable;
	struct event *writable;
	struct evbuffer *unsent; /* NULL while nothing is buffered */
	int fd; /* -1: closed */
	bool is_connecting; /* an outgoing connection is not established yet */
};

/* Starts to read from a connected non-blocking socket and takes it over. */
void stream_socket_adopt(struct stream *s, struct event_base *base, int fd,
			 const struct stream_ops *ops);
/*
 * Starts to connect. Returns false with errno set when that fails at once; the stream is then
 * unused and must not be closed. A later failure calls ops->ended.
 */
bool stream_connect(struct stream *s, struct event_base *base, const struct sockaddr_in *to,
		    const struct stream_ops *ops);
/*
 * Turns on TCP keep-alive, so that a connection to an unreachable peer ends within about three
 * seconds even while nothing is sent.
 */
void stream_keepalive_enable(struct stream *s);
/*
 * Writes or buffers n bytes. Returns false when the connection is lost or closed. Never calls
 * ops->ended, which may follow from the event loop.
 */
bool stream_write(struct stream *s, const void *data, size_t n);
/* Bytes passed to stream_write that the socket has not accepted yet. */
size_t stream_unsent_bytes(const struct stream *s);
/* Bytes passed to stream_write that the peer has not acknowledged yet; at least the unsent ones. */
size_t stream_unacknowledged_bytes(const struct stream *s);
/* Ends the sending side once nothing is unsent; bytes of the peer are still received. */
void stream_write_end(struct stream *s);
/*
 * Sets how long the peer may acknowledge or take nothing of what was sent, 2 s by default, before
 * the connection ends.
 */
void stream_stall_max_set(struct stream *s, unsigned int stall_max_ms);
/* Pause and resume reading; during a pause TCP flow control stops a peer that sends too much. */
void stream_read_pause(struct stream *s);
void stream_read_resume(struct stream *s);
/* Closes the socket and drops unsent bytes. Does nothing when the stream is closed already. */
void stream_close(struct stream *s);

G_END_DECLS

#endif
