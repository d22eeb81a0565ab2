/*
 * Requests of callers and responses of leaves. A message that arrives whole and the same message in
 * pieces must be read alike, and a message that is accepted must be the one that a strict parser
 * reads (RFC 9112), written here without any part of the program's. The first byte of the input
 * selects a request (odd) or a response (even), the second one the size of the pieces (1 to 16
 * bytes).
 */
#include "fuzz.h"
#include "httpmsg.h"

#include <string.h>

#define FIELDS_MAX 128

static const struct http_limits limits = {2048, 1024};

struct span {
	const char *data;
	size_t n;
};

struct strict_field {
	struct span name;
	struct span value; /* without the blanks around it */
};

/* What the strict parser has read. */
struct strict_message {
	struct span method; /* of a request */
	struct span target; /* of a request */
	unsigned int status; /* of a response */
	bool is_http_1_0;
	struct strict_field fields[FIELDS_MAX];
	unsigned int n_fields;
	char body[8192];
	size_t body_bytes;
	bool ends_with_connection;
	size_t used; /* bytes of the message */
};

/* Bytes that are left to read. */
struct input {
	const char *at;
	const char *end;
};

static bool is_among(char c, const char *set)
{
	return c && strchr(set, c);
}

static bool span_equals(struct span s, const char *text)
{
	return s.n == strlen(text) && g_ascii_strncasecmp(s.data, text, s.n) == 0;
}

static bool span_is_token(struct span s)
{
	for (size_t i = 0; i < s.n; i++)
		if (!g_ascii_isalnum(s.data[i]) && !is_among(s.data[i], "!#$%&'*+-.^_`|~"))
			return false;
	return s.n > 0;
}

/* True if no byte is a control byte; blanks are such bytes only if allows_blanks is false. */
static bool span_is_text(struct span s, bool allows_blanks)
{
	for (size_t i = 0; i < s.n; i++) {
		unsigned char c = (unsigned char)s.data[i];

		if (c == ' ' || c == '\t') {
			if (!allows_blanks)
				return false;
		} else if (c < ' ' || c == 127) {
			return false;
		}
	}
	return true;
}

static struct span span_trim(struct span s)
{
	while (s.n > 0 && is_among(s.data[0], " \t")) {
		s.data++;
		s.n--;
	}
	while (s.n > 0 && is_among(s.data[s.n - 1], " \t"))
		s.n--;
	return s;
}

/* Reads up to the next CRLF. False if there is none. */
static bool line_read(struct input *in, struct span *line)
{
	const char *end = memmem(in->at, (size_t)(in->end - in->at), "\r\n", 2);

	if (!end)
		return false;
	*line = (struct span){in->at, (size_t)(end - in->at)};
	in->at = end + 2;
	return true;
}

/* Splits the text at the first byte of that value. False if it has none. */
static bool span_split(struct span s, char at, struct span *first, struct span *rest)
{
	const char *found = memchr(s.data, at, s.n);

	if (!found)
		return false;
	*first = (struct span){s.data, (size_t)(found - s.data)};
	*rest = (struct span){found + 1, s.n - first->n - 1};
	return true;
}

static bool version_read(struct strict_message *m, struct span s)
{
	if (s.n != 8 || strncmp(s.data, "HTTP/1.", 7) != 0 || !g_ascii_isdigit(s.data[7]))
		return false;
	m->is_http_1_0 = s.data[7] == '0';
	return true;
}

static bool request_line_read(struct strict_message *m, struct span line)
{
	struct span rest;
	struct span version;

	return span_split(line, ' ', &m->method, &rest) && span_is_token(m->method) &&
	       span_split(rest, ' ', &m->target, &version) && m->target.n > 0 &&
	       span_is_text(m->target, false) && version_read(m, version);
}

static bool status_line_read(struct strict_message *m, struct span line)
{
	struct span version;
	struct span rest;

	if (!span_split(line, ' ', &version, &rest) || !version_read(m, version) || rest.n < 3 ||
	    (rest.n > 3 && rest.data[3] != ' '))
		return false;
	for (unsigned int i = 0; i < 3; i++) {
		if (!g_ascii_isdigit(rest.data[i]))
			return false;
		m->status = m->status * 10 + (unsigned int)(rest.data[i] - '0');
	}
	return m->status >= 100 && m->status <= 599 && span_is_text(rest, true);
}

/* Reads fields up to and including the blank line. */
static bool fields_read(struct strict_message *m, struct input *in)
{
	struct span line;

	m->n_fields = 0;
	while (line_read(in, &line)) {
		struct strict_field *field = &m->fields[m->n_fields];

		if (line.n == 0)
			return true;
		if (m->n_fields++ == FIELDS_MAX ||
		    !span_split(line, ':', &field->name, &field->value) ||
		    !span_is_token(field->name) || !span_is_text(field->value, true))
			return false;
		field->value = span_trim(field->value);
	}
	return false;
}

/* The number of fields with the name; *value is the last one's. */
static unsigned int field_find(const struct strict_message *m, const char *name, struct span *value)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < m->n_fields; i++)
		if (span_equals(m->fields[i].name, name)) {
			*value = m->fields[i].value;
			n++;
		}
	return n;
}

static bool body_add(struct strict_message *m, struct input *in, uint64_t n)
{
	if (n > (uint64_t)(in->end - in->at) || n > sizeof(m->body) - m->body_bytes)
		return false;
	memcpy(m->body + m->body_bytes, in->at, (size_t)n);
	m->body_bytes += (size_t)n;
	in->at += n;
	return true;
}

/* Reads a number of at most that many digits, which is the whole text. */
static bool number_read(struct span s, unsigned int base, size_t digits_max, uint64_t *number)
{
	*number = 0;
	for (size_t i = 0; i < s.n; i++) {
		int digit = g_ascii_xdigit_value(s.data[i]);

		if (digit < 0 || (unsigned int)digit >= base || *number > UINT64_MAX / base ||
		    *number * base > UINT64_MAX - (uint64_t)digit)
			return false;
		*number = *number * base + (uint64_t)digit;
	}
	return s.n > 0 && s.n <= digits_max;
}

static bool chunks_read(struct strict_message *m, struct input *in)
{
	struct strict_message trailers = {0};
	struct span line;
	struct span value;
	uint64_t n;

	do {
		struct span size;
		struct span extensions;

		if (!line_read(in, &line) || !span_is_text(line, true))
			return false;
		size = line;
		if (span_split(line, ';', &size, &extensions))
			while (size.n > 0 && is_among(size.data[size.n - 1], " \t"))
				size.n--;
		if (!number_read(size, 16, 16, &n))
			return false;
		if (n > 0 &&
		    (!body_add(m, in, n) || in->end - in->at < 2 || memcmp(in->at, "\r\n", 2) != 0))
			return false;
		in->at += n > 0 ? 2 : 0;
	} while (n > 0);
	return fields_read(&trailers, in) && field_find(&trailers, "Content-Length", &value) == 0 &&
	       field_find(&trailers, "Transfer-Encoding", &value) == 0 &&
	       field_find(&trailers, "Host", &value) == 0;
}

static bool body_read(struct strict_message *m, struct input *in, bool is_request)
{
	struct span coding;
	struct span length;
	unsigned int n_codings = field_find(m, "Transfer-Encoding", &coding);
	unsigned int n_lengths = field_find(m, "Content-Length", &length);
	uint64_t n = 0;

	if (n_codings + n_lengths > 1 || (n_codings == 1 && m->is_http_1_0) ||
	    (n_codings == 1 && !span_equals(coding, "chunked")) ||
	    (n_lengths == 1 && !number_read(length, 10, SIZE_MAX, &n)))
		return false;
	if (!is_request && (m->status < 200 || m->status == 204 || m->status == 304))
		return true;
	if (n_codings == 1)
		return chunks_read(m, in);
	if (is_request || n_lengths == 1)
		return body_add(m, in, n);
	m->ends_with_connection = true;
	return body_add(m, in, (uint64_t)(in->end - in->at));
}

/* Reads one message, with the interim responses before a response. */
static bool strict_read(struct strict_message *m, const char *data, size_t n, bool is_request)
{
	struct input in = {data, data + n};
	struct span line;
	struct span value;

	while (is_request && in.at < in.end && is_among(*in.at, "\r\n")) {
		if (*in.at == '\r' && (in.end - in.at < 2 || in.at[1] != '\n'))
			return false;
		in.at += *in.at == '\r' ? 2 : 1;
	}
	do {
		m->status = 0;
		if (!line_read(&in, &line))
			return false;
		if (is_request ? !request_line_read(m, line) : !status_line_read(m, line))
			return false;
		if (!fields_read(m, &in) || !body_read(m, &in, is_request))
			return false;
	} while (!is_request && m->status < 200);
	m->used = (size_t)(in.at - data);
	return !is_request || field_find(m, "Host", &value) <= 1;
}

static bool text_equals(const char *text, struct span s)
{
	return strlen(text) == s.n && memcmp(text, s.data, s.n) == 0;
}

/* The reader has accepted the message: the strict parser must read the same one. */
static void strict_compare(const struct http_reader *r, const char *data, size_t n, size_t used,
			   bool is_request)
{
	struct strict_message *m = g_new0(struct strict_message, 1);
	size_t body_bytes;
	const char *body = http_reader_body(r, &body_bytes);

	FUZZ_CHECK(strict_read(m, data, n, is_request));
	FUZZ_CHECK(m->ends_with_connection || m->used == used);
	if (is_request) {
		FUZZ_CHECK(text_equals(http_reader_method(r), m->method));
		FUZZ_CHECK(text_equals(http_reader_target(r), m->target));
	} else {
		FUZZ_CHECK(http_reader_status(r) == m->status);
	}
	FUZZ_CHECK(http_reader_field_count(r) == m->n_fields);
	for (unsigned int i = 0; i < m->n_fields; i++) {
		struct http_field field = http_reader_field(r, i);
		struct span value = span_trim((struct span){field.value, strlen(field.value)});

		FUZZ_CHECK(text_equals(field.name, m->fields[i].name));
		FUZZ_CHECK(value.n == m->fields[i].value.n &&
			   memcmp(value.data, m->fields[i].value.data, value.n) == 0);
	}
	FUZZ_CHECK(body_bytes == m->body_bytes &&
		   (body_bytes == 0 || memcmp(body, m->body, body_bytes) == 0));
	g_free(m);
}

/* Feeds the data in pieces of that size. Returns how many bytes belong to the message. */
static size_t message_feed(struct http_reader *r, const char *data, size_t n, size_t piece,
			   enum http_progress *progress)
{
	size_t total = 0;

	*progress = HTTP_INCOMPLETE;
	while (total < n && *progress == HTTP_INCOMPLETE) {
		size_t used;

		*progress = http_reader_feed(r, data + total, MIN(piece, n - total), &used);
		FUZZ_CHECK(used <= n - total);
		total += used;
		if (*progress == HTTP_INCOMPLETE && used == 0)
			break;
	}
	return total;
}

/* Compares what was read of the whole message with what was read of its pieces. */
static void pieces_compare(const struct http_reader *whole, const struct http_reader *pieces)
{
	size_t whole_body_bytes;
	size_t pieces_body_bytes;

	http_reader_body(whole, &whole_body_bytes);
	http_reader_body(pieces, &pieces_body_bytes);
	FUZZ_CHECK(whole_body_bytes == pieces_body_bytes && whole_body_bytes <= limits.body_bytes);
	FUZZ_CHECK(http_reader_field_count(whole) == http_reader_field_count(pieces));
	for (unsigned int i = 0; i < http_reader_field_count(whole); i++) {
		struct http_field field = http_reader_field(whole, i);

		FUZZ_CHECK(!strpbrk(field.name, "\r\n") && !strpbrk(field.value, "\r\n"));
		http_field_is_hop_by_hop(whole, field.name);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data + 2;
	bool is_request;
	struct http_reader *whole;
	struct http_reader *pieces;
	enum http_progress whole_progress;
	enum http_progress pieces_progress;
	size_t n_whole;
	size_t n_pieces;

	if (size < 2)
		return 0;
	is_request = data[0] % 2;
	whole = http_reader_create(is_request ? HTTP_MESSAGE_REQUEST : HTTP_MESSAGE_ANSWER,
				   &limits);
	pieces = http_reader_create(is_request ? HTTP_MESSAGE_REQUEST : HTTP_MESSAGE_ANSWER,
				    &limits);
	n_whole = message_feed(whole, text, size - 2, size, &whole_progress);
	n_pieces = message_feed(pieces, text, size - 2, 1 + data[1] % 16, &pieces_progress);
	if (whole_progress == HTTP_COMPLETE) {
		FUZZ_CHECK(pieces_progress == HTTP_COMPLETE && n_whole == n_pieces);
		pieces_compare(whole, pieces);
		strict_compare(whole, text, size - 2, n_whole, is_request);
	} else if (whole_progress == HTTP_INCOMPLETE && http_reader_end(whole) == HTTP_COMPLETE) {
		strict_compare(whole, text, size - 2, n_whole, is_request);
	}
	http_reader_end(whole);
	http_reader_destroy(whole);
	http_reader_destroy(pieces);
	return 0;
}
