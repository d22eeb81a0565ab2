#include "httpwire.h"

#include <string.h>

#define VERSION "HTTP/1." /* a digit follows */

#define STATUS_DIGITS 3

/* A longer size exceeds 64 bits, or has zeros in front that nothing sends. */
#define CHUNK_DIGITS_MAX 16

void http_wire_init(struct http_wire *w, bool is_request)
{
	*w = (struct http_wire){
		.state = is_request ? HTTP_WIRE_BEFORE : HTTP_WIRE_VERSION,
		.is_request = is_request,
	};
}

void http_wire_chunks_begin(struct http_wire *w)
{
	w->state = HTTP_WIRE_CHUNK_SIZE;
	w->is_chunked = true;
	w->n = 0;
	w->chunk_left = 0;
}

static bool is_token(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

/* True for the bytes of a field's value and a reason phrase: blanks, visible and high bytes. */
static bool is_text(char c)
{
	return c == '\t' || ((unsigned char)c >= ' ' && c != 0x7f);
}

static enum http_wire_state before_check(struct http_wire *w, char c)
{
	if (c == '\n')
		return HTTP_WIRE_BEFORE;
	if (c == '\r')
		return HTTP_WIRE_BEFORE_LF;
	return is_token(c) ? HTTP_WIRE_METHOD : HTTP_WIRE_MALFORMED;
}

static enum http_wire_state target_check(struct http_wire *w, char c)
{
	if (c == ' ' && w->n > 0) {
		w->n = 0;
		return HTTP_WIRE_VERSION;
	}
	w->n = 1;
	return (unsigned char)c > ' ' && c != 0x7f ? HTTP_WIRE_TARGET : HTTP_WIRE_MALFORMED;
}

static enum http_wire_state version_check(struct http_wire *w, char c)
{
	if (w->n < strlen(VERSION))
		return c == VERSION[w->n++] ? HTTP_WIRE_VERSION : HTTP_WIRE_MALFORMED;
	w->n = 0;
	return g_ascii_isdigit(c) ? HTTP_WIRE_VERSION_END : HTTP_WIRE_MALFORMED;
}

static enum http_wire_state version_end_check(const struct http_wire *w, char c)
{
	if (w->is_request)
		return c == '\r' ? HTTP_WIRE_LINE_LF : HTTP_WIRE_MALFORMED;
	return c == ' ' ? HTTP_WIRE_STATUS : HTTP_WIRE_MALFORMED;
}

static enum http_wire_state status_check(struct http_wire *w, char c)
{
	if (w->n < STATUS_DIGITS) {
		/* RFC 9110, 15: a status is 100 to 599 */
		bool is_valid = w->n++ == 0 ? c >= '1' && c <= '5' : g_ascii_isdigit(c);

		return is_valid ? HTTP_WIRE_STATUS : HTTP_WIRE_MALFORMED;
	}
	if (c == '\r')
		return HTTP_WIRE_LINE_LF;
	return c == ' ' ? HTTP_WIRE_REASON : HTTP_WIRE_MALFORMED;
}

static void name_begin(struct http_wire *w)
{
	w->n = 0;
	memset(w->name, 0, sizeof(w->name));
}

static void name_add(struct http_wire *w, char c)
{
	if (w->n < sizeof(w->name) - 1)
		w->name[w->n++] = g_ascii_tolower(c);
}

/* A trailer comes too late to tell the framing or the host; parsers that merge it differ there. */
static bool may_be_trailer(const struct http_wire *w)
{
	return strcmp(w->name, "content-length") != 0 &&
	       strcmp(w->name, "transfer-encoding") != 0 && strcmp(w->name, "host") != 0;
}

/* A line that begins with a blank continues the one before (obs-fold), which is not accepted. */
static enum http_wire_state field_check(struct http_wire *w, char c)
{
	if (c == '\r')
		return HTTP_WIRE_END_LF;
	name_begin(w);
	name_add(w, c);
	return is_token(c) ? HTTP_WIRE_NAME : HTTP_WIRE_MALFORMED;
}

static enum http_wire_state name_check(struct http_wire *w, char c)
{
	if (c == ':')
		return !w->is_chunked || may_be_trailer(w) ? HTTP_WIRE_VALUE : HTTP_WIRE_MALFORMED;
	name_add(w, c);
	return is_token(c) ? HTTP_WIRE_NAME : HTTP_WIRE_MALFORMED;
}

static enum http_wire_state text_check(char c, enum http_wire_state state)
{
	if (c == '\r')
		return HTTP_WIRE_LINE_LF;
	return is_text(c) ? state : HTTP_WIRE_MALFORMED;
}

static enum http_wire_state line_feed_check(char c, enum http_wire_state next)
{
	return c == '\n' ? next : HTTP_WIRE_MALFORMED;
}

static enum http_wire_state chunk_size_check(struct http_wire *w, char c)
{
	if (g_ascii_isxdigit(c)) {
		w->chunk_left = w->chunk_left << 4 | (uint64_t)g_ascii_xdigit_value(c);
		return w->n++ < CHUNK_DIGITS_MAX ? HTTP_WIRE_CHUNK_SIZE : HTTP_WIRE_MALFORMED;
	}
	if (w->n == 0)
		return HTTP_WIRE_MALFORMED;
	if (c == '\r')
		return HTTP_WIRE_CHUNK_LF;
	if (c == ' ' || c == '\t')
		return HTTP_WIRE_CHUNK_BLANK;
	return c == ';' ? HTTP_WIRE_CHUNK_EXTENSION : HTTP_WIRE_MALFORMED;
}

static enum http_wire_state chunk_blank_check(char c)
{
	if (c == ' ' || c == '\t')
		return HTTP_WIRE_CHUNK_BLANK;
	return c == ';' ? HTTP_WIRE_CHUNK_EXTENSION : HTTP_WIRE_MALFORMED;
}

static enum http_wire_state chunk_extension_check(char c)
{
	if (c == '\r')
		return HTTP_WIRE_CHUNK_LF;
	return is_text(c) ? HTTP_WIRE_CHUNK_EXTENSION : HTTP_WIRE_MALFORMED;
}

/* The data of a chunk begins, or the trailers behind the last chunk. */
static enum http_wire_state chunk_line_feed_check(const struct http_wire *w, char c)
{
	return line_feed_check(c, w->chunk_left ? HTTP_WIRE_CHUNK_DATA : HTTP_WIRE_FIELD);
}

static enum http_wire_state chunk_data_end_check(struct http_wire *w, char c)
{
	if (c == '\n')
		http_wire_chunks_begin(w);
	return line_feed_check(c, HTTP_WIRE_CHUNK_SIZE);
}

static enum http_wire_state byte_check(struct http_wire *w, char c)
{
	switch (w->state) {
	case HTTP_WIRE_BEFORE:
		return before_check(w, c);
	case HTTP_WIRE_BEFORE_LF:
		return line_feed_check(c, HTTP_WIRE_BEFORE);
	case HTTP_WIRE_METHOD:
		if (c == ' ')
			return HTTP_WIRE_TARGET;
		return is_token(c) ? HTTP_WIRE_METHOD : HTTP_WIRE_MALFORMED;
	case HTTP_WIRE_TARGET:
		return target_check(w, c);
	case HTTP_WIRE_VERSION:
		return version_check(w, c);
	case HTTP_WIRE_VERSION_END:
		return version_end_check(w, c);
	case HTTP_WIRE_STATUS:
		return status_check(w, c);
	case HTTP_WIRE_LINE_LF:
		return line_feed_check(c, HTTP_WIRE_FIELD);
	case HTTP_WIRE_FIELD:
		return field_check(w, c);
	case HTTP_WIRE_NAME:
		return name_check(w, c);
	case HTTP_WIRE_REASON:
	case HTTP_WIRE_VALUE:
		return text_check(c, w->state);
	case HTTP_WIRE_END_LF:
		return line_feed_check(c, HTTP_WIRE_END);
	case HTTP_WIRE_CHUNK_SIZE:
		return chunk_size_check(w, c);
	case HTTP_WIRE_CHUNK_BLANK:
		return chunk_blank_check(c);
	case HTTP_WIRE_CHUNK_EXTENSION:
		return chunk_extension_check(c);
	case HTTP_WIRE_CHUNK_LF:
		return chunk_line_feed_check(w, c);
	case HTTP_WIRE_CHUNK_DATA_CR:
		return c == '\r' ? HTTP_WIRE_CHUNK_DATA_LF : HTTP_WIRE_MALFORMED;
	case HTTP_WIRE_CHUNK_DATA_LF:
		return chunk_data_end_check(w, c);
	case HTTP_WIRE_CHUNK_DATA:
	case HTTP_WIRE_END:
	case HTTP_WIRE_MALFORMED:
		break;
	}
	return HTTP_WIRE_MALFORMED;
}

/* Skips the data of a chunk, which may be any bytes. */
static size_t chunk_data_skip(struct http_wire *w, size_t n)
{
	size_t skipped = (size_t)MIN(w->chunk_left, n);

	w->chunk_left -= skipped;
	if (w->chunk_left == 0)
		w->state = HTTP_WIRE_CHUNK_DATA_CR;
	return skipped;
}

size_t http_wire_check(struct http_wire *w, const char *data, size_t n)
{
	size_t i = 0;

	while (i < n && w->state != HTTP_WIRE_END && w->state != HTTP_WIRE_MALFORMED) {
		if (w->state == HTTP_WIRE_CHUNK_DATA)
			i += chunk_data_skip(w, n - i);
		else
			w->state = byte_check(w, data[i++]);
	}
	return i;
}
