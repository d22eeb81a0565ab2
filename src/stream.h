/*
 * Non-blocking TCP connection on libevent, for both directions of HTTP. Bytes are written at once
 * where the socket takes them; the rest is kept until it does.
 *
 * The owner embeds struct stream and frees it after stream_close. Callbacks may close the stream
 * they are called for.
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
	void (*received)(struct stream *s, const char *data, size_t n);
	void (*drained)(struct stream *s); /* all that was kept has been written */
	void (*ended)(struct stream *s, int error); /* 0: the peer closed in order; else errno */
};

struct stream {
	const struct stream_ops *ops;
	struct event *readable;
	struct event *writable;
	struct evbuffer *unsent; /* NULL while nothing has to wait */
	int fd; /* -1: closed */
	bool is_connecting;
};

/* Takes over a connected non-blocking socket. */
void stream_accept(struct stream *s, struct event_base *base, int fd, const struct stream_ops *ops);
/* Starts to connect; a failure is reported by ops->ended or, when immediate, by false. */
bool stream_connect(struct stream *s, struct event_base *base, const struct sockaddr_in *to,
		    const struct stream_ops *ops);
/* Probes a silent peer, so that a partition ends the connection within about three seconds. */
void stream_probe_peer(struct stream *s);
/* False when the connection is lost; ops->ended is not called then. */
bool stream_write(struct stream *s, const void *data, size_t n);
bool stream_has_unsent(const struct stream *s);
/* Pauses and resumes reading, so that a peer that sends too much is held back. */
void stream_read_pause(struct stream *s);
void stream_read_resume(struct stream *s);
/* Closes the socket and frees what the stream holds; harmless when closed already. */
void stream_close(struct stream *s);

G_END_DECLS

#endif
