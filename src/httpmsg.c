#include "httpmsg.h"

#include "httpwire.h"

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
	struct http_wire wire; /* checks the bytes before the parser gets them */
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
	bool keeps_alive;
	bool in_value; /* the last field's value was read in part or whole */
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

/* True for "chunked" with blanks around it. */
static bool is_chunked_coding(const char *value)
{
	size_t n = strlen("chunked");

	value += strspn(value, " \t");
	return g_ascii_strncasecmp(value, "chunked", n) == 0 &&
	       value[n + strspn(value + n, " \t")] == '\0';
}

/* The number of fields with the name; *value is the last one's. */
static unsigned int fields_count(const struct http_reader *r, const char *name, const char **value)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < r->n_fields; i++) {
		struct http_field field = http_reader_field(r, i);

		if (g_ascii_strcasecmp(field.name, name) == 0) {
			*value = field.value;
			n++;
		}
	}
	return n;
}

/*
 * False if the head names several hosts, or a coding other than "chunked" alone: what it means
 * depends on which of the names a parser uses. HTTP/1.0 knows no codings.
 */
static bool is_unambiguous(const struct http_reader *r)
{
	const char *value;

	if (r->type == HTTP_MESSAGE_REQUEST && fields_count(r, "Host", &value) > 1)
		return false;
	switch (fields_count(r, "Transfer-Encoding", &value)) {
	case 0:
		return true;
	case 1:
		return is_chunked_coding(value) && (r->parser.flags & F_CHUNKED) &&
		       r->parser.http_minor > 0;
	default:
		return false;
	}
}

static bool is_interim(const struct http_reader *r)
{
	return r->type == HTTP_MESSAGE_ANSWER && r->parser.status_code < 200;
}

/* True for answers that end with their head, whatever length or coding the head names. */
static bool is_without_body(const struct http_reader *r)
{
	unsigned int status = r->parser.status_code;

	return r->is_answer_to_head || is_interim(r) || status == 204 || status == 304;
}

static int on_headers_complete(http_parser *p)
{
	struct http_reader *r = p->data;

	g_string_append_c(r->text, '\0');
	r->has_head = true;
	if (p->flags & F_CHUNKED)
		http_wire_chunks_begin(&r->wire);
	/*
	 * CONNECT, Upgrade and 101: the parser takes what follows for another protocol and does not
	 * read the body, so its bytes would pass for the next message.
	 */
	if (p->upgrade || !is_unambiguous(r))
		return stop_with(r, HTTP_MALFORMED);
	r->keeps_alive = http_should_keep_alive(p);
	if (r->type == HTTP_MESSAGE_ANSWER && is_without_body(r))
		return 1;
	if (p->flags & F_CONTENTLENGTH)
		r->length = MIN(p->content_length, r->limits.body_bytes);
	if (r->type == HTTP_MESSAGE_ANSWER) {
		body_reserve(r);
		return 0;
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
		http_wire_init(&r->wire, false);
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
	http_wire_init(&r->wire, r->type == HTTP_MESSAGE_REQUEST);
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
	r->keeps_alive = false;
	r->in_value = false;
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
 * Checks the next part of the message: its head, or what follows it. Returns how many bytes the
 * parser may read.
 */
static size_t part_check(struct http_reader *r, const char *data, size_t n)
{
	size_t checked = n;

	if (!r->has_head) {
		checked = http_wire_check(&r->wire, data, n);
		r->head_bytes += checked;
	} else if (r->wire.is_chunked) {
		checked = http_wire_check(&r->wire, data, n);
	}
	/* The end was checked, but the parser expects more: the two disagree on the framing. */
	if (r->wire.state == HTTP_WIRE_MALFORMED || checked == 0)
		r->progress = HTTP_MALFORMED;
	else if (r->type == HTTP_MESSAGE_REQUEST && r->head_bytes > r->limits.head_bytes)
		r->progress = HTTP_HEAD_TOO_LARGE;
	return r->progress == HTTP_INCOMPLETE ? checked : 0;
}

static void part_parse(struct http_reader *r, const char *data, size_t n, size_t *used)
{
	*used = http_parser_execute(&r->parser, &callbacks, data, n);
	if (r->progress == HTTP_INCOMPLETE && HTTP_PARSER_ERRNO(&r->parser) != HPE_OK)
		r->progress = HTTP_PARSER_ERRNO(&r->parser) == HPE_HEADER_OVERFLOW
				      ? HTTP_HEAD_TOO_LARGE
				      : HTTP_MALFORMED;
}

enum http_progress http_reader_feed(struct http_reader *r, const char *data, size_t n, size_t *used)
{
	*used = 0;
	while (r->progress == HTTP_INCOMPLETE && *used < n) {
		size_t checked = part_check(r, data + *used, n - *used);
		size_t read = 0;

		r->has_begun = true;
		if (r->progress == HTTP_INCOMPLETE)
			part_parse(r, data + *used, checked, &read);
		*used += read;
	}
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
