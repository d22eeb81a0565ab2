/*
 * Incremental parser of HTTP/1.1 requests and answers on top of http_parser. It uses no sockets and
 * no clock.
 *
 * The reader owns the strings and the body that its functions return; they are valid until the next
 * reset or destroy. A message that two parsers could understand differently (two lengths, a length
 * and chunks, folded fields) is malformed. The head of a message is its first line and its fields.
 */
#ifndef APRICOT_HTTPMSG_H
#define APRICOT_HTTPMSG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

enum http_message_type { HTTP_MESSAGE_REQUEST, HTTP_MESSAGE_ANSWER };

enum http_progress {
	HTTP_INCOMPLETE, /* the message is not complete yet */
	HTTP_COMPLETE, /* one whole message was read */
	HTTP_MALFORMED,
	HTTP_HEAD_TOO_LARGE,
	HTTP_BODY_TOO_LARGE,
};

struct http_limits {
	size_t head_bytes; /* applied to requests; for answers http_parser's own limit holds */
	size_t body_bytes; /* of the body without the framing of its chunks */
};

struct http_field {
	const char *name; /* NUL-terminated; upper and lower case as sent */
	const char *value; /* NUL-terminated */
};

struct http_reader;

/* Copies the limits. Destroy accepts NULL. */
struct http_reader *http_reader_create(enum http_message_type type,
				       const struct http_limits *limits);
void http_reader_destroy(struct http_reader *r);

/*
 * Discards the message and starts with the next one. is_answer_to_head: the next message answers a
 * HEAD request, so it has no body even if its fields announce one.
 */
void http_reader_reset(struct http_reader *r, bool is_answer_to_head);
/*
 * Frees the memory of a large body after a reset; does nothing if the next message has begun.
 * Separate from the reset, since a reset may happen while the last message is still in use.
 */
void http_reader_body_release(struct http_reader *r);
/* Replaces the limits, which are copied. */
void http_reader_limits_set(struct http_reader *r, const struct http_limits *limits);

/*
 * Reads up to n bytes. When a message is complete, *used is the number of these bytes that belong
 * to it. After any result but HTTP_INCOMPLETE the reader must be reset before it can read on.
 * Interim answers (1xx) are skipped; too many of them are malformed.
 */
enum http_progress http_reader_feed(struct http_reader *r, const char *data, size_t n,
				    size_t *used);
/*
 * To be called when the sender has closed the connection: an answer without a length is complete
 * then, any other message that is not complete is malformed.
 */
enum http_progress http_reader_end(struct http_reader *r);

/* True until a byte of the message is read. */
bool http_reader_is_empty(const struct http_reader *r);
/* True after the whole head was read. */
bool http_reader_has_head(const struct http_reader *r);

/* Bytes of the body that were read so far. */
size_t http_reader_body_bytes(const struct http_reader *r);
/* Length of the body as the head names it; 0 if it names none, or before the whole head was read.
 */
uint64_t http_reader_length(const struct http_reader *r);

/*
 * The following functions may be called once the whole head was read, http_reader_body() once the
 * message is complete.
 */
const char *http_reader_method(const struct http_reader *r);
const char *http_reader_target(const struct http_reader *r);
unsigned int http_reader_status(const struct http_reader *r);
/* True if the message allows another one on the same connection. */
bool http_reader_keeps_alive(const struct http_reader *r);
unsigned int http_reader_field_count(const struct http_reader *r);
struct http_field http_reader_field(const struct http_reader *r, unsigned int i);
/* Value of the first field with the name, or NULL. The comparison ignores case. */
const char *http_reader_field_find(const struct http_reader *r, const char *name);
const char *http_reader_body(const struct http_reader *r, size_t *n);

/*
 * True for a field that describes the connection or the framing of this message, including those
 * that its Connection field names. Such fields must not be forwarded.
 */
bool http_field_is_hop_by_hop(const struct http_reader *r, const char *name);

/* The reason phrase of a status, "Status" when there is none; static. */
const char *http_status_text(unsigned int status);

/* Parses a field's value in whole milliseconds; 0 when text is NULL or not a positive number. */
uint64_t http_milliseconds_parse(const char *text);

/*
 * True for text of 1 to 256 bytes without control characters and blanks, which can be sent as the
 * value of a field and logged without quotes.
 */
bool http_field_value_is_token(const char *text);

G_END_DECLS

#endif
