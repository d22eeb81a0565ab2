/* Requests of callers and answers of leaves: whole and in pieces they are read alike. */
#include "fuzz.h"
#include "httpmsg.h"

#include <string.h>

static const struct http_limits limits = {2048, 1024};

/* Feeds the bytes in pieces of the size; returns how many belong to the message. */
static size_t read_pieces(struct http_reader *r, const char *data, size_t n, size_t piece,
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

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	enum http_message_type side;
	struct http_reader *whole;
	struct http_reader *pieces;
	enum http_progress a;
	enum http_progress b;
	size_t n_a;
	size_t n_b;

	if (size < 2)
		return 0;
	side = data[0] % 2 ? HTTP_MESSAGE_REQUEST : HTTP_MESSAGE_ANSWER;
	whole = http_reader_create(side, &limits);
	pieces = http_reader_create(side, &limits);
	n_a = read_pieces(whole, (const char *)data + 2, size - 2, size, &a);
	n_b = read_pieces(pieces, (const char *)data + 2, size - 2, 1 + data[1] % 16, &b);
	if (a == HTTP_COMPLETE) {
		size_t body_a;
		size_t body_b;

		FUZZ_CHECK(b == HTTP_COMPLETE && n_a == n_b);
		http_reader_body(whole, &body_a);
		http_reader_body(pieces, &body_b);
		FUZZ_CHECK(body_a == body_b && body_a <= limits.body_bytes);
		FUZZ_CHECK(http_reader_field_count(whole) == http_reader_field_count(pieces));
		for (unsigned int i = 0; i < http_reader_field_count(whole); i++) {
			struct http_field field = http_reader_field(whole, i);

			FUZZ_CHECK(!strpbrk(field.name, "\r\n") && !strpbrk(field.value, "\r\n"));
			http_field_is_hop_by_hop(whole, field.name);
		}
	}
	http_reader_end(whole);
	http_reader_destroy(whole);
	http_reader_destroy(pieces);
	return 0;
}
