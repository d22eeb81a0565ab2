/*
 * Strict check of the bytes of HTTP/1.1 heads and chunks (RFC 9112), without sockets and clocks.
 *
 * Load: messages of callers and leaves whose lines or chunks two parsers divide differently, so
 * that one of them takes a part of the first message for a second one. http_parser accepts many of
 * them: it ignores which bytes end a line of the chunk framing, and takes a bare line feed for the
 * end of a line. Only bytes that pass this check are given to it.
 */
#ifndef APRICOT_HTTPWIRE_H
#define APRICOT_HTTPWIRE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

enum http_wire_state {
	HTTP_WIRE_BEFORE, /* blank lines may precede a request */
	HTTP_WIRE_BEFORE_LF,
	HTTP_WIRE_METHOD,
	HTTP_WIRE_TARGET,
	HTTP_WIRE_VERSION,
	HTTP_WIRE_VERSION_END,
	HTTP_WIRE_STATUS,
	HTTP_WIRE_REASON,
	HTTP_WIRE_LINE_LF,
	HTTP_WIRE_FIELD,
	HTTP_WIRE_NAME,
	HTTP_WIRE_VALUE,
	HTTP_WIRE_END_LF,
	HTTP_WIRE_END, /* the last byte of the head, or of the last trailer, was checked */
	HTTP_WIRE_CHUNK_SIZE,
	HTTP_WIRE_CHUNK_BLANK, /* behind the size: an extension must follow */
	HTTP_WIRE_CHUNK_EXTENSION,
	HTTP_WIRE_CHUNK_LF,
	HTTP_WIRE_CHUNK_DATA,
	HTTP_WIRE_CHUNK_DATA_CR,
	HTTP_WIRE_CHUNK_DATA_LF,
	HTTP_WIRE_MALFORMED,
};

struct http_wire {
	enum http_wire_state state;
	bool is_request;
	bool is_chunked; /* the head was checked; chunks and trailers follow */
	unsigned int n; /* bytes of the part of the line that is being checked */
	char name[19]; /* of a trailer, in lower case, cut off if longer */
	uint64_t chunk_left; /* bytes of the chunk's data that were not checked yet */
};

/* Starts with the head of a request or an answer. */
void http_wire_init(struct http_wire *w, bool is_request);

/* Goes on with the chunks and trailers that follow a head. */
void http_wire_chunks_begin(struct http_wire *w);

/*
 * Checks up to n bytes and stops behind the end of the head, or of the trailers. Returns how many
 * bytes were checked; the state tells the rest.
 */
size_t http_wire_check(struct http_wire *w, const char *data, size_t n);

G_END_DECLS

#endif
