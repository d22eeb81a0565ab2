#include "httpmsg.h"

#include <http_parser.h>
#include <string.h>

#define FIELDS_MAX 128 /* more than usual callers send; bounds the work for one message */

#define TOKEN_BYTES_MAX 256

/* The memory of a larger body is freed with its message, since a connection may be idle for long.
 */
#define BODY_KEPT_BYTES 4096

/* A sender that goes on with interim answers beyond this many never sends the answer itself. */
#define INTERIM_MAX 16

/* Offsets of a field's strings in http_reader.text. */
struct field_offsets {
	uint32_t name;
	uint32_t value; /* 0: the field has no value */
};

struct http_reader {
	http_parser parser;
	enum http_message_type type;
	struct http_limits limits;
	GString *text; /* the target, then names and values of the fields, each ended by NUL */
	GByteArray *body;
	struct field_offsets fields[FIELDS_MAX];
	unsigned int n_fields;
	unsigned int n_interim; /* interim answers before this one */
	size_t head_bytes; /* bytes of the head that were read so far */
	uint64_t length; /* of the body, as the head names it; 0: none named */
	enum http_progress progress;
	bool is_answer_to_head; /* the message answers a HEAD request */
	bool has_head; /* the whole head was read */
	bool has_begun; /* a byte of the message was read */
	bool has_large_body; /* body's memory is or was of a large one */
	bool has_text; /* a byte of the first line was read; blank lines may precede it */
	bool keeps_alive;
	bool in_value; /* the last field's value was read in part or whole */
	bool at_line_start; /* the last byte of the head so far was a line feed */
	bool has_line; /* the first line is complete */
	bool in_blank_line; /* the last byte was a carriage return right after a line feed */
};

/* For a callback to return: http_parser stops, and the reader reports this progress. */
static int stop_with(struct http_reader *r, enum http_progress progress)
{
	r->progress = progress;
	return -1;
}

static int on_url(http_parser *p, const char *at, size_t n)
{
	struct http_reader *r = p->data;

	g_string_append_len(r->text, at, (gssize)n);
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	struct http_reader *r = p->data;

	if (r->has_head)
		return 0; /* trailers of a chunked body are dropped */
	/* Parsers differ on whether a blank before the colon belongs to the name. */
	if (memchr(at, ' ', n) || memchr(at, '\t', n))
		return stop_with(r, HTTP_MALFORMED);
	if (r->in_value || r->n_fields == 0) {
		if (r->n_fields == FIELDS_MAX)
			return stop_with(r, HTTP_HEAD_TOO_LARGE);
		g_string_append_c(r->text, '\0');
		r->fields[r->n_fields].name = (uint32_t)r->text->len;
		r->fields[r->n_fields].value = 0;
		r->n_fields++;
		r->in_value = false;
	}
	g_string_append_len(r->text, at, (gssize)n);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct http_reader *r = p->data;

	if (r->has_head)
		return 0;
	if (memchr(at, '\0', n))
		return stop_with(r, HTTP_MALFORMED);
	if (!r->in_value) {
		g_string_append_c(r->text, '\0');
		r->fields[r->n_fields - 1].value = (uint32_t)r->text->len;
		r->in_value = true;
	}
	g_string_append_len(r->text, at, (gssize)n);
	return 0;
}

/*
 * Allocates the whole body at once if its length is known, so that its growth leaves no freed
 * copies in the heap. What has not arrived takes no memory, as its pages are untouched.
 */
static void body_reserve(struct http_reader *r)
{
	if (r->length <= BODY_KEPT_BYTES || r->length > r->limits.body_bytes)
		return;
	g_byte_array_set_size(r->body, (guint)r->length);
	g_byte_array_set_size(r->body, 0);
	r->has_large_body = true;
}

static int on_headers_complete(http_parser *p)
{
	struct http_reader *r = p->data;

	g_string_append_c(r->text, '\0');
	r->has_head = true;
	/*
	 * CONNECT, Upgrade and 101: the parser takes what follows for another protocol and does not
	 * read the body, so its bytes would pass for the next message.
	 */
	if (p->upgrade)
		return stop_with(r, HTTP_MALFORMED);
	r->keeps_alive = http_should_keep_alive(p);
	if ((p->flags & F_CONTENTLENGTH) && !r->is_answer_to_head)
		r->length = MIN(p->content_length, r->limits.body_bytes);
	if (r->type == HTTP_MESSAGE_ANSWER) {
		body_reserve(r);
		return r->is_answer_to_head ? 1 : 0;
	}
	if ((p->flags & F_CONTENTLENGTH) && p->content_length > r->limits.body_bytes)
		return stop_with(r, HTTP_BODY_TOO_LARGE);
	body_reserve(r);
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct http_reader *r = p->data;

	if (r->body->len + n > r->limits.body_bytes)
		return stop_with(r, HTTP_BODY_TOO_LARGE);
	g_byte_array_append(r->body, (const guint8 *)at, (guint)n);
	r->has_large_body = r->has_large_body || r->body->len > BODY_KEPT_BYTES;
	return 0;
}

static bool is_interim(const struct http_reader *r)
{
	return r->type == HTTP_MESSAGE_ANSWER && r->parser.status_code < 200;
}

static int on_complete(http_parser *p)
{
	struct http_reader *r = p->data;

	if (is_interim(r)) {
		if (++r->n_interim > INTERIM_MAX)
			return stop_with(r, HTTP_MALFORMED);
		g_string_truncate(r->text, 0);
		r->n_fields = 0;
		r->in_value = false;
		r->has_head = false;
		return 0;
	}
	r->progress = HTTP_COMPLETE;
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

struct http_reader *http_reader_create(enum http_message_type type,
				       const struct http_limits *limits)
{
	struct http_reader *r = g_new0(struct http_reader, 1);

	r->type = type;
	r->limits = *limits;
	r->text = g_string_sized_new(512);
	r->body = g_byte_array_new();
	http_reader_reset(r, false);
	return r;
}

void http_reader_destroy(struct http_reader *r)
{
	if (!r)
		return;
	g_string_free(r->text, TRUE);
	g_byte_array_free(r->body, TRUE);
	g_free(r);
}

void http_reader_reset(struct http_reader *r, bool is_answer_to_head)
{
	http_parser_init(&r->parser,
			 r->type == HTTP_MESSAGE_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
	r->parser.data = r;
	g_string_truncate(r->text, 0);
	g_byte_array_set_size(r->body, 0);
	r->n_fields = 0;
	r->n_interim = 0;
	r->head_bytes = 0;
	r->progress = HTTP_INCOMPLETE;
	r->is_answer_to_head = is_answer_to_head;
	r->has_head = false;
	r->has_begun = false;
	r->length = 0;
	r->has_text = false;
	r->keeps_alive = false;
	r->in_value = false;
	r->at_line_start = false;
	r->has_line = false;
	r->in_blank_line = false;
}

void http_reader_body_release(struct http_reader *r)
{
	if (r->has_begun || !r->has_large_body)
		return;
	g_byte_array_free(r->body, TRUE);
	r->body = g_byte_array_new();
	r->has_large_body = false;
}

void http_reader_limits_set(struct http_reader *r, const struct http_limits *limits)
{
	r->limits = *limits;
}

/*
 * Counts the bytes of a request's head and refuses folded fields, which parsers unfold in different
 * ways. Returns the number of bytes up to and including the end of the head, at most n.
 */
static size_t head_check(struct http_reader *r, const char *data, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		char c = data[i];

		r->head_bytes++;
		if (r->at_line_start && r->has_line && (c == ' ' || c == '\t')) {
			r->progress = HTTP_MALFORMED;
			return i;
		}
		if (c == '\n') {
			if (r->has_line && (r->at_line_start || r->in_blank_line))
				return i + 1;
			r->has_line = r->has_line || r->has_text;
			r->at_line_start = true;
			r->in_blank_line = false;
		} else if (c == '\r') {
			r->in_blank_line = r->at_line_start;
			r->at_line_start = false;
		} else {
			r->has_text = true;
			r->at_line_start = false;
			r->in_blank_line = false;
		}
	}
	return n;
}

enum http_progress http_reader_feed(struct http_reader *r, const char *data, size_t n, size_t *used)
{
	size_t read;

	*used = 0;
	if (r->progress != HTTP_INCOMPLETE)
		return r->progress;
	if (n == 0)
		return HTTP_INCOMPLETE;
	if (!r->has_head && r->type == HTTP_MESSAGE_REQUEST) {
		head_check(r, data, n);
		if (r->progress == HTTP_INCOMPLETE && r->head_bytes > r->limits.head_bytes)
			r->progress = HTTP_HEAD_TOO_LARGE;
		if (r->progress != HTTP_INCOMPLETE)
			return r->progress;
	}
	r->has_begun = true;
	read = http_parser_execute(&r->parser, &callbacks, data, n);
	*used = read;
	if (r->progress == HTTP_COMPLETE)
		return HTTP_COMPLETE;
	if (r->progress == HTTP_INCOMPLETE && HTTP_PARSER_ERRNO(&r->parser) != HPE_OK)
		r->progress = HTTP_PARSER_ERRNO(&r->parser) == HPE_HEADER_OVERFLOW
				      ? HTTP_HEAD_TOO_LARGE
				      : HTTP_MALFORMED;
	return r->progress;
}

enum http_progress http_reader_end(struct http_reader *r)
{
	if (r->progress == HTTP_INCOMPLETE && r->type == HTTP_MESSAGE_ANSWER && r->has_head)
		http_parser_execute(&r->parser, &callbacks, NULL, 0);
	if (r->progress == HTTP_INCOMPLETE)
		r->progress = HTTP_MALFORMED;
	return r->progress;
}

bool http_reader_is_empty(const struct http_reader *r)
{
	return !r->has_begun;
}

bool http_reader_has_head(const struct http_reader *r)
{
	return r->has_head;
}

size_t http_reader_body_bytes(const struct http_reader *r)
{
	return r->body->len;
}

uint64_t http_reader_length(const struct http_reader *r)
{
	return r->length;
}

const char *http_reader_method(const struct http_reader *r)
{
	return http_method_str(r->parser.method);
}

const char *http_reader_target(const struct http_reader *r)
{
	return r->text->str;
}

unsigned int http_reader_status(const struct http_reader *r)
{
	return r->parser.status_code;
}

bool http_reader_keeps_alive(const struct http_reader *r)
{
	return r->keeps_alive;
}

unsigned int http_reader_field_count(const struct http_reader *r)
{
	return r->n_fields;
}

struct http_field http_reader_field(const struct http_reader *r, unsigned int i)
{
	const struct field_offsets *offsets = &r->fields[i];

	return (struct http_field){r->text->str + offsets->name,
				   offsets->value ? r->text->str + offsets->value : ""};
}

const char *http_reader_field_find(const struct http_reader *r, const char *name)
{
	for (unsigned int i = 0; i < r->n_fields; i++) {
		struct http_field field = http_reader_field(r, i);

		if (g_ascii_strcasecmp(field.name, name) == 0)
			return field.value;
	}
	return NULL;
}

const char *http_reader_body(const struct http_reader *r, size_t *n)
{
	*n = r->body->len;
	return (const char *)r->body->data;
}

/* True if the comma-separated list contains the name; ignores case. */
static bool list_contains(const char *list, const char *name)
{
	size_t n = strlen(name);

	while (*list) {
		size_t skip = strspn(list, ", \t");
		size_t token;

		list += skip;
		token = strcspn(list, ", \t");
		if (token == n && g_ascii_strncasecmp(list, name, n) == 0)
			return true;
		list += token;
	}
	return false;
}

bool http_field_is_hop_by_hop(const struct http_reader *r, const char *name)
{
	static const char *const hop_by_hop[] = {
		"Connection",	     "Keep-Alive", "Proxy-Connection", "TE",	"Trailer",
		"Transfer-Encoding", "Upgrade",	   "Content-Length",   "Expect"};

	for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (g_ascii_strcasecmp(name, hop_by_hop[i]) == 0)
			return true;
	for (unsigned int i = 0; i < r->n_fields; i++) {
		struct http_field field = http_reader_field(r, i);

		if (g_ascii_strcasecmp(field.name, "Connection") == 0 &&
		    list_contains(field.value, name))
			return true;
	}
	return false;
}

bool http_field_value_is_token(const char *text)
{
	size_t n = strlen(text);

	for (size_t i = 0; i < n; i++)
		if ((unsigned char)text[i] <= ' ' || text[i] == 0x7f)
			return false;
	return n > 0 && n <= TOKEN_BYTES_MAX;
}

/* X(number, text): the statuses that this program generates */
#define STATUS_LIST(X)                            \
	X(200, "OK")                              \
	X(400, "Bad Request")                     \
	X(404, "Not Found")                       \
	X(405, "Method Not Allowed")              \
	X(408, "Request Timeout")                 \
	X(413, "Content Too Large")               \
	X(429, "Too Many Requests")               \
	X(431, "Request Header Fields Too Large") \
	X(500, "Internal Server Error")           \
	X(502, "Bad Gateway")                     \
	X(503, "Service Unavailable")             \
	X(504, "Gateway Timeout")

const char *http_status_text(unsigned int status)
{
	switch (status) {
#define X(number, text) \
	case number:    \
		return text;
		STATUS_LIST(X)
#undef X
	default:
		return "Status";
	}
}

uint64_t http_milliseconds_parse(const char *text)
{
	guint64 value;

	if (text && g_ascii_string_to_unsigned(text, 10, 1, G_MAXINT32, &value, NULL))
		return value;
	return 0;
}
