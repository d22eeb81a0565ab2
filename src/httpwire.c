#include "httpwire.h"

#include <string.h>

#define VERSION "HTTP/1." /* a digit follows */

#define STATUS_DIGITS 3

void http_wire_init(struct http_wire *w, bool is_request)
{
	*w = (struct http_wire){
		.state = is_request ? HTTP_WIRE_BEFORE : HTTP_WIRE_VERSION,
		.is_request = is_request,
	};
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
	if (w->n < STATUS_DIGITS)
		return g_ascii_isdigit(c) && (w->n++ > 0 || c != '0') ? HTTP_WIRE_STATUS
								      : HTTP_WIRE_MALFORMED;
	if (c == '\r')
		return HTTP_WIRE_LINE_LF;
	return c == ' ' ? HTTP_WIRE_REASON : HTTP_WIRE_MALFORMED;
}

/* A line that begins with a blank continues the one before (obs-fold), which is not accepted. */
static enum http_wire_state field_check(char c)
{
	if (c == '\r')
		return HTTP_WIRE_END_LF;
	return is_token(c) ? HTTP_WIRE_NAME : HTTP_WIRE_MALFORMED;
}

static enum http_wire_state name_check(char c)
{
	if (c == ':')
		return HTTP_WIRE_VALUE;
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
		return field_check(c);
	case HTTP_WIRE_NAME:
		return name_check(c);
	case HTTP_WIRE_REASON:
	case HTTP_WIRE_VALUE:
		return text_check(c, w->state);
	case HTTP_WIRE_END_LF:
		return line_feed_check(c, HTTP_WIRE_END);
	case HTTP_WIRE_END:
	case HTTP_WIRE_MALFORMED:
		break;
	}
	return HTTP_WIRE_MALFORMED;
}

size_t http_wire_check(struct http_wire *w, const char *data, size_t n)
{
	size_t i = 0;

	while (i < n && w->state != HTTP_WIRE_END && w->state != HTTP_WIRE_MALFORMED)
		w->state = byte_check(w, data[i++]);
	return i;
}
