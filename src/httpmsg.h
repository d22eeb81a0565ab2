/*
 * Incremental reader of HTTP/1.1 requests and answers on top of http_parser. It has no sockets and
 * no clock.
 *
 * The reader owns all bytes it hands out; they are valid until the next reset or destroy. A message
 * that could be read in two ways (two lengths, a length and chunks, folded fields) is refused.
 */
#ifndef APRICOT_HTTPMSG_H
#define APRICOT_HTTPMSG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

enum http_side { HTTP_SIDE_REQUEST, HTTP_SIDE_ANSWER };

enum http_progress {
	HTTP_MORE, /* the message is not complete yet */
	HTTP_COMPLETE,
	HTTP_MALFORMED,
	HTTP_HEAD_TOO_LARGE,
	HTTP_BODY_TOO_LARGE,
};

struct http_limits {
	size_t head_bytes; /* request line or status line and all fields */
	size_t body_bytes;
};

struct http_field {
	const char *name; /* terminated by NUL, in the sender's case */
	const char *value; /* terminated by NUL; contains none */
};

struct http_reader;

struct http_reader *http_reader_create(enum http_side side, const struct http_limits *limits);
void http_reader_destroy(struct http_reader *r);

/* Forgets the message. is_head_answer: the next answer has no body whatever its fields say. */
void http_reader_reset(struct http_reader *r, bool is_head_answer);
void http_reader_limit(struct http_reader *r, const struct http_limits *limits);

/*
 * Reads up to n bytes; *used says how many belong to this message. After anything but HTTP_MORE
 * the reader must be reset first. Interim answers (1xx) are skipped.
 */
enum http_progress http_reader_feed(struct http_reader *r, const char *data, size_t n,
				    size_t *used);
/* The sender closed its side: an answer without a length is complete then. */
enum http_progress http_reader_end(struct http_reader *r);

bool http_reader_is_empty(const struct http_reader *r); /* no byte of a message has been read */
bool http_reader_has_head(const struct http_reader *r); /* all fields have been read */

const char *http_reader_method(const struct http_reader *r);
const char *http_reader_target(const struct http_reader *r);
unsigned int http_reader_status(const struct http_reader *r);
bool http_reader_keeps_alive(const struct http_reader *r);
unsigned int http_reader_field_count(const struct http_reader *r);
struct http_field http_reader_field(const struct http_reader *r, unsigned int i);
/* First field of the name, NULL when absent. The comparison ignores case. */
const char *http_reader_find(const struct http_reader *r, const char *name);
const char *http_reader_body(const struct http_reader *r, size_t *n);

/* True for fields that concern one connection only and are never passed on. */
bool http_field_is_hop(const struct http_reader *r, const char *name);

const char *http_status_text(unsigned int status);

/* A field's value in whole milliseconds; 0 when it is absent or no positive number. */
uint64_t http_milliseconds_parse(const char *text);

G_END_DECLS

#endif
