/*
 * Requests of callers and responses of leaves. A message that arrives whole and the same message in
 * pieces must be read alike. The first byte of the input selects a request (odd) or a response
 * (even), the second one the size of the pieces (1 to 16 bytes).
 */
#include "fuzz.h"
#include "httpmsg.h"

#include <string.h>

static const struct http_limits limits = {2048, 1024};

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

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	enum http_message_type side;
	struct http_reader *whole;
	struct http_reader *pieces;
	enum http_progress whole_progress;
	enum http_progress pieces_progress;
	size_t n_whole;
	size_t n_pieces;

	if (size < 2)
		return 0;
	side = data[0] % 2 ? HTTP_MESSAGE_REQUEST : HTTP_MESSAGE_ANSWER;
	whole = http_reader_create(side, &limits);
	pieces = http_reader_create(side, &limits);
	n_whole = message_feed(whole, (const char *)data + 2, size - 2, size, &whole_progress);
	n_pieces = message_feed(pieces, (const char *)data + 2, size - 2, 1 + data[1] % 16,
				&pieces_progress);
	if (whole_progress == HTTP_COMPLETE) {
		size_t whole_body_bytes;
		size_t pieces_body_bytes;

		FUZZ_CHECK(pieces_progress == HTTP_COMPLETE && n_whole == n_pieces);
		http_reader_body(whole, &whole_body_bytes);
		http_reader_body(pieces, &pieces_body_bytes);
		FUZZ_CHECK(whole_body_bytes == pieces_body_bytes &&
			   whole_body_bytes <= limits.body_bytes);
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
