#include "httpmsg.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{
const struct http_limits limits = {512, 64};

enum http_progress message_feed(enum http_message_type type, const std::string &text, size_t *used)
{
	struct http_reader *r = http_reader_create(type, &limits);
	enum http_progress progress = http_reader_feed(r, text.data(), text.size(), used);

	http_reader_destroy(r);
	return progress;
}

enum http_progress request_feed(const std::string &fields)
{
	size_t used;

	return message_feed(HTTP_MESSAGE_REQUEST, "POST /a HTTP/1.1\r\nHost: h\r\n" + fields,
			    &used);
}
} // namespace

/* Guards against requests that two parsers understand differently (request smuggling). */
TEST(httpmsg, refuses_ambiguous_messages)
{
	EXPECT_EQ(request_feed("Content-Length: 2\r\n\r\nok"), HTTP_COMPLETE);
	EXPECT_EQ(request_feed("Content-Length: 2\r\nContent-Length: 3\r\n\r\nok"), HTTP_MALFORMED);
	EXPECT_EQ(request_feed("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		  HTTP_MALFORMED);
	EXPECT_EQ(request_feed("Transfer-Encoding: gzip\r\n\r\n"), HTTP_MALFORMED);
	EXPECT_EQ(request_feed("Transfer-Encoding: chunked\r\n\r\nxx\r\n"), HTTP_MALFORMED);
	EXPECT_EQ(request_feed("A: b\r\n c\r\n\r\n"), HTTP_MALFORMED);
	EXPECT_EQ(request_feed("A : b\r\n\r\n"), HTTP_MALFORMED);
	EXPECT_EQ(request_feed("Content-Length: -1\r\n\r\n"), HTTP_MALFORMED);
}

/*
 * Guards against the bytes behind a head that are taken for a message of their own, since the
 * parser takes them for another protocol and does not read the body (review case 1).
 */
TEST(httpmsg, refuses_to_change_the_protocol)
{
	const std::string body = "Content-Length: 2\r\n\r\nok";
	size_t used;

	for (const char *head : {"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n",
				 "GET /a HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n",
				 "POST /a HTTP/1.1\r\nUpgrade: x\r\nConnection: a, upgrade\r\n"}) {
		EXPECT_EQ(message_feed(HTTP_MESSAGE_REQUEST, head + body, &used), HTTP_MALFORMED);
		EXPECT_EQ(message_feed(HTTP_MESSAGE_REQUEST, std::string(head) + "\r\n", &used),
			  HTTP_MALFORMED);
	}
	EXPECT_EQ(message_feed(HTTP_MESSAGE_ANSWER,
			       "HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
			       &used),
		  HTTP_MALFORMED);
}

/*
 * Guards against a request that is refused because of the place at which its bytes were split, here
 * behind blank lines that precede it.
 */
TEST(httpmsg, blank_lines_before_a_request)
{
	const std::string text = "\n\n\nPOST /a HTTP/1.1\r\nHost: h\r\n\r\n";

	for (size_t first = 1; first < text.size(); first++)
		for (size_t second = first + 1; second < text.size(); second++) {
			struct http_reader *r = http_reader_create(HTTP_MESSAGE_REQUEST, &limits);
			size_t used;

			http_reader_feed(r, text.data(), first, &used);
			http_reader_feed(r, text.data() + first, second - first, &used);
			EXPECT_EQ(http_reader_feed(r, text.data() + second, text.size() - second,
						   &used),
				  HTTP_COMPLETE)
				<< "split behind bytes " << first << " and " << second;
			http_reader_destroy(r);
		}
}

/* Guards against limits that are applied only to a head that arrives in several pieces. */
TEST(httpmsg, limits)
{
	EXPECT_EQ(request_feed("A: " + std::string(600, 'x') + "\r\n\r\n"), HTTP_HEAD_TOO_LARGE);
	EXPECT_EQ(request_feed("A: " + std::string(600, 'x')), HTTP_HEAD_TOO_LARGE);
	EXPECT_EQ(request_feed("Content-Length: 65\r\n\r\n"), HTTP_BODY_TOO_LARGE);
	EXPECT_EQ(request_feed("Transfer-Encoding: chunked\r\n\r\n41\r\n" + std::string(65, 'x')),
		  HTTP_BODY_TOO_LARGE);
}

/* Guards against taking the bytes after a message as a part of the message. */
TEST(httpmsg, counts_the_bytes_of_one_message)
{
	std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	size_t used;

	EXPECT_EQ(message_feed(HTTP_MESSAGE_ANSWER, first + "HTTP/1.1 500 X\r\n", &used),
		  HTTP_COMPLETE);
	EXPECT_EQ(used, first.size());
	first = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
	EXPECT_EQ(message_feed(HTTP_MESSAGE_REQUEST, first + "GET /b HTTP/1.1\r\n", &used),
		  HTTP_COMPLETE);
	EXPECT_EQ(used, first.size());
}

/* Guards against taking an answer without a length as complete before its connection is closed. */
TEST(httpmsg, answer_without_length_ends_with_its_connection)
{
	std::string text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody";
	struct http_reader *r = http_reader_create(HTTP_MESSAGE_ANSWER, &limits);
	size_t n;

	EXPECT_EQ(http_reader_feed(r, text.data(), text.size(), &n), HTTP_INCOMPLETE);
	EXPECT_EQ(http_reader_end(r), HTTP_COMPLETE);
	EXPECT_EQ(http_reader_status(r), 200u);
	EXPECT_EQ(std::string(http_reader_body(r, &n), 4), "body");
	EXPECT_EQ(n, 4u);
	http_reader_reset(r, false);
	text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody";
	EXPECT_EQ(http_reader_feed(r, text.data(), text.size(), &n), HTTP_INCOMPLETE);
	EXPECT_EQ(http_reader_end(r), HTTP_MALFORMED);
	http_reader_destroy(r);
}

/* Guards against forwarding of fields that concern one connection only. */
TEST(httpmsg, hop_by_hop_fields)
{
	std::string text = "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, X-One\r\nX-One: "
			   "1\r\nX-Two: 2\r\n\r\n";
	struct http_reader *r = http_reader_create(HTTP_MESSAGE_REQUEST, &limits);
	size_t used;

	ASSERT_EQ(http_reader_feed(r, text.data(), text.size(), &used), HTTP_COMPLETE);
	EXPECT_TRUE(http_field_is_hop_by_hop(r, "x-one"));
	EXPECT_TRUE(http_field_is_hop_by_hop(r, "Transfer-Encoding"));
	EXPECT_FALSE(http_field_is_hop_by_hop(r, "X-Two"));
	EXPECT_FALSE(http_field_is_hop_by_hop(r, "Host"));
	EXPECT_FALSE(http_reader_keeps_alive(r));
	http_reader_destroy(r);
}

/* Guards against a success with an empty or short body, made of an answer whose head ends early. */
TEST(httpmsg, answer_that_ends_early_is_malformed)
{
	const std::string with_length = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r\nok";
	const std::string chunked =
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
	const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n" + with_length;
	const std::string without_length_head = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n";

	for (const std::string &text : {with_length, chunked, interim, without_length_head})
		for (size_t n = 0; n < text.size(); n++) {
			struct http_reader *r = http_reader_create(HTTP_MESSAGE_ANSWER, &limits);
			size_t used;

			EXPECT_EQ(http_reader_feed(r, text.data(), n, &used), HTTP_INCOMPLETE);
			EXPECT_EQ(http_reader_end(r), HTTP_MALFORMED) << text.substr(0, n);
			http_reader_destroy(r);
		}
}

/*
 * Guards against an answer that is read without end: each of these goes on until the reader refuses
 * it, and it must do so within 1 MB.
 */
TEST(httpmsg, answer_without_end_is_refused)
{
	const std::string head = "HTTP/1.1 200 OK\r\n";
	const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
	const std::vector<std::pair<std::string, std::string>> answers = {
		{"", "\r\n"},
		{"HTTP/1.1 200 ", "OK "},
		{head + "X-A: ", "value "},
		{head, "X-A: b\r\n"},
		{head + "X-", "name"},
		{"", "HTTP/1.1 100 Continue\r\n\r\n"},
		{head + "\r\n", "body "},
		{chunked, "1\r\nx\r\n"},
		{chunked + "1", ";extension=1"},
		{chunked, "0"},
		{chunked + "0\r\n", "X-Trailer: a\r\n"},
		{chunked + "0\r\nX-Trailer: ", "value "},
	};

	for (const auto &answer : answers) {
		struct http_reader *r = http_reader_create(HTTP_MESSAGE_ANSWER, &limits);
		std::string more;
		size_t total = 0;
		size_t used;
		enum http_progress progress;

		while (more.size() < 4096)
			more += answer.second;
		progress = http_reader_feed(r, answer.first.data(), answer.first.size(), &used);
		while (progress == HTTP_INCOMPLETE && total < (1u << 20)) {
			progress = http_reader_feed(r, more.data(), more.size(), &used);
			total += more.size();
		}
		EXPECT_NE(progress, HTTP_INCOMPLETE) << answer.first << answer.second;
		EXPECT_NE(progress, HTTP_COMPLETE) << answer.first << answer.second;
		http_reader_destroy(r);
	}
}

namespace
{
/* The text as the body of a chunked message of either type. */
std::vector<std::pair<enum http_message_type, std::string>> chunked_make(const std::string &body)
{
	return {{HTTP_MESSAGE_REQUEST,
		 "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body},
		{HTTP_MESSAGE_ANSWER,
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body}};
}

/* The field lines in a message of either type; it has a body of 2 bytes. */
std::vector<std::pair<enum http_message_type, std::string>> fields_make(const std::string &lines)
{
	return {{HTTP_MESSAGE_REQUEST, "POST /a HTTP/1.1\r\nHost: h\r\n" + lines + "\r\nok"},
		{HTTP_MESSAGE_ANSWER, "HTTP/1.1 200 OK\r\n" + lines + "\r\nok"}};
}

/* Expects the same result for every place at which the text can be split in two. */
void result_expect(enum http_message_type type, const std::string &text, enum http_progress wanted)
{
	for (size_t split = 0; split < text.size(); split++) {
		struct http_reader *r = http_reader_create(type, &limits);
		size_t used;
		enum http_progress progress = http_reader_feed(r, text.data(), split, &used);

		if (progress == HTTP_INCOMPLETE)
			progress = http_reader_feed(r, text.data() + split, text.size() - split,
						    &used);
		if (progress == HTTP_INCOMPLETE)
			progress = http_reader_end(r);
		EXPECT_EQ(progress, wanted) << "split at " << split << " of: " << text;
		http_reader_destroy(r);
		if (progress != wanted)
			return;
	}
}
} // namespace

/* Guards against the bytes behind a chunk that one parser skips and another one reads. */
TEST(httpmsg, ends_of_chunk_data)
{
	for (const char *text : {"2\r\nok\r\n0\r\n\r\n"})
		for (const auto &m : chunked_make(text))
			result_expect(m.first, m.second, HTTP_COMPLETE);
	for (const char *text :
	     {"2\r\nok\n0\r\n\r\n", "2\r\nokXX0\r\n\r\n", "2\r\nok\rX0\r\n\r\n",
	      "2\r\nok\r\r\n0\r\n\r\n", "2\r\nok0\r\n\r\n", "2\r\nok\n\n0\r\n\r\n"})
		for (const auto &m : chunked_make(text))
			result_expect(m.first, m.second, HTTP_MALFORMED);
}

/* Guards against a chunk's line that ends at different places for two parsers. */
TEST(httpmsg, chunk_lines)
{
	for (const char *text : {"2;a=b;c=\"d\"\r\nok\r\n0;z\r\n\r\n", "2 ;a\r\nok\r\n0\r\n\r\n"})
		for (const auto &m : chunked_make(text))
			result_expect(m.first, m.second, HTTP_COMPLETE);
	for (const char *text :
	     {"2;a\nok\r\n0\r\n\r\n", "2\nok\r\n0\r\n\r\n", "2;a\rXok\r\n0\r\n\r\n",
	      "2\rXok\r\n0\r\n\r\n", "2;a\nb\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n0\n\r\n",
	      "2;\x01\r\nok\r\n0\r\n\r\n"})
		for (const auto &m : chunked_make(text))
			result_expect(m.first, m.second, HTTP_MALFORMED);
}

/* Guards against a size of a chunk that two parsers read as different numbers. */
TEST(httpmsg, chunk_sizes)
{
	for (const char *text :
	     {"0002\r\nok\r\n0\r\n\r\n", "0A\r\n0123456789\r\n0a\r\n0123456789\r\n0\r\n\r\n"})
		for (const auto &m : chunked_make(text))
			result_expect(m.first, m.second, HTTP_COMPLETE);
	for (const char *text :
	     {"+2\r\nok\r\n0\r\n\r\n", "-2\r\nok\r\n0\r\n\r\n", "0x2\r\nok\r\n0\r\n\r\n",
	      "10000000000000002\r\nok\r\n0\r\n\r\n", "00000000000000002\r\nok\r\n0\r\n\r\n",
	      "ffffffffffffffffff\r\nok\r\n", " 2\r\nok\r\n0\r\n\r\n", "2 \r\nok\r\n0\r\n\r\n",
	      "2 2\r\nok\r\n0\r\n\r\n", "\r\nok\r\n0\r\n\r\n", ";a\r\n\r\n",
	      "2_\r\nok\r\n0\r\n\r\n"})
		for (const auto &m : chunked_make(text))
			result_expect(m.first, m.second, HTTP_MALFORMED);
}

/* Guards against trailers that end at different places for two parsers, or that name another
 * length. */
TEST(httpmsg, trailers)
{
	for (const char *text : {"0\r\nX-A: b\r\n\r\n"})
		for (const auto &m : chunked_make(text))
			result_expect(m.first, m.second, HTTP_COMPLETE);
	for (const char *text :
	     {"0\r\nX-A: b\n\r\n", "0\r\nX-A: b\r\n\n", "0\r\nX-A : b\r\n\r\n",
	      "0\r\nX-A: b\r\n c\r\n\r\n", "0\r\n X-A: b\r\n\r\n", "0\r\nX-A\r\n\r\n",
	      "0\r\nX-A: b\rc\r\n\r\n", "0\r\nContent-Length: 2\r\n\r\n",
	      "0\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\nhost: i\r\n\r\n", "0\r\n\rX"})
		for (const auto &m : chunked_make(text))
			result_expect(m.first, m.second, HTTP_MALFORMED);
}

/* Guards against field lines that two parsers divide differently. */
TEST(httpmsg, field_lines)
{
	for (const char *text :
	     {"Content-Length: 2\r\n", "Content-Length:2\r\nX-A:\r\nX-B: \xc3\xa4\tb \r\n"})
		for (const auto &m : fields_make(text))
			result_expect(m.first, m.second, HTTP_COMPLETE);
	for (const char *text :
	     {"Content-Length : 2\r\n", "Content-Length\t: 2\r\n",
	      "Content-Length: 2\r\n X-A: b\r\n", "Content-Length: 2\r\n\tX-A: b\r\n",
	      "X-A: b\r\n c\r\nContent-Length: 2\r\n", "Content-Length: 2\nX-A: b\r\n",
	      "X-A: b\nContent-Length: 2\r\n", "X-A: b\rContent-Length: 2\r\n",
	      "X-A: b\r\rContent-Length: 2\r\n", "X-A\r\nContent-Length: 2\r\n",
	      ": b\r\nContent-Length: 2\r\n", "X A: b\r\nContent-Length: 2\r\n",
	      "X(A: b\r\nContent-Length: 2\r\n", "X\xc3: b\r\nContent-Length: 2\r\n",
	      "X-A: b\x01\r\nContent-Length: 2\r\n", "X-A: b\x7f\r\nContent-Length: 2\r\n",
	      "Content-Length: 2\r\n\n"})
		for (const auto &m : fields_make(text))
			result_expect(m.first, m.second, HTTP_MALFORMED);
}

/* Guards against a body whose length two parsers understand differently. */
TEST(httpmsg, lengths)
{
	for (const char *text : {"content-length: 02\r\n"})
		for (const auto &m : fields_make(text))
			result_expect(m.first, m.second, HTTP_COMPLETE);
	for (const char *text :
	     {"Content-Length: 2\r\nContent-Length: 2\r\n", "Content-Length: 2, 2\r\n",
	      "Content-Length: +2\r\n", "Content-Length: -2\r\n", "Content-Length: 0x2\r\n",
	      "Content-Length: 2 2\r\n", "Content-Length: 2;a\r\n", "Content-Length:\r\n",
	      "Content-Length: \r\nX-A: b\r\n", "Content-Length: 18446744073709551618\r\n",
	      "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
	      "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
	      "Content-Length: 2\r\nTransfer-Encoding: identity\r\n",
	      "Content-Length: 2\r\nTransfer-Encoding:\r\n",
	      "Transfer-Encoding:\r\nContent-Length: 2\r\n"})
		for (const auto &m : fields_make(text))
			result_expect(m.first, m.second, HTTP_MALFORMED);
}

/* Guards against codings that one parser takes for chunks and another one does not. */
TEST(httpmsg, transfer_codings)
{
	for (const char *coding : {"chunked", "CHUNKED", "\tchunked "})
		for (const auto &m :
		     fields_make("Transfer-Encoding:" + std::string(coding) + "\r\n\r\n0\r\n"))
			result_expect(m.first, m.second.substr(0, m.second.size() - 2),
				      HTTP_COMPLETE);
	for (const char *lines :
	     {"identity", "gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked",
	      "chunked;a=b", "chunked x", "", "\"chunked\"", ", chunked", "chunked,",
	      "chunked\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: identity",
	      "identity\r\nTransfer-Encoding: chunked",
	      "\x0b"
	      "chunked"})
		for (const auto &m :
		     fields_make("Transfer-Encoding: " + std::string(lines) + "\r\n\r\n0\r\n"))
			result_expect(m.first, m.second.substr(0, m.second.size() - 2),
				      HTTP_MALFORMED);
	result_expect(HTTP_MESSAGE_REQUEST,
		      "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		      HTTP_MALFORMED);
	result_expect(HTTP_MESSAGE_ANSWER,
		      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		      HTTP_MALFORMED);
}

/* Guards against first lines, and hosts, that two parsers divide differently. */
TEST(httpmsg, first_lines)
{
	const std::string end = "Host: h\r\nContent-Length: 0\r\n\r\n";

	for (const char *line : {"GET /a HTTP/1.1\r\n", "GET /a?b=c HTTP/1.0\r\n",
				 "\r\nGET * HTTP/1.1\r\n", "GET http://h/a HTTP/1.1\r\n"})
		result_expect(HTTP_MESSAGE_REQUEST, line + end, HTTP_COMPLETE);
	for (const char *line : {"GET /a\r\n",
				 "GET /a HTTP/1.1\n",
				 "GET  /a HTTP/1.1\r\n",
				 "GET /a  HTTP/1.1\r\n",
				 "GET /a HTTP/1.1 \r\n",
				 "GET /a b HTTP/1.1\r\n",
				 "GET\t/a HTTP/1.1\r\n",
				 "GET /a\tHTTP/1.1\r\n",
				 "GET /a\x01 HTTP/1.1\r\n",
				 "GET /a HTTP/1.1\rX",
				 "GET /a HTTP/2.0\r\n",
				 "GET /a HTTP/0.9\r\n",
				 "GET /a HTTP/01.1\r\n",
				 "GET /a HTTP/1.01\r\n",
				 "GET /a http/1.1\r\n",
				 "SOURCE /a ICE/1.1\r\n",
				 "GET /a\fHTTP/1.1\r\n",
				 " GET /a HTTP/1.1\r\n",
				 "\rGET /a HTTP/1.1\r\n",
				 "GET /a HTTP/1.1\r\nHost: i\r\n"})
		result_expect(HTTP_MESSAGE_REQUEST, line + end, HTTP_MALFORMED);
	for (const char *line : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 \r\n", "HTTP/1.1 200\r\n",
				 "HTTP/1.0 200 Not \xc3\xa4\r\n"})
		result_expect(HTTP_MESSAGE_ANSWER, line + end, HTTP_COMPLETE);
	for (const char *line :
	     {"HTTP/1.1 200 OK\n", "HTTP/1.1  200 OK\r\n", "HTTP/1.1 20 OK\r\n",
	      "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 000 OK\r\n",
	      "HTTP/1.1 600 OK\r\n", "HTTP/1.1 999 OK\r\n", "HTTP/1.1 +20 OK\r\n", "HTTP/1.1\r\n",
	      "HTTP/2.0 200 OK\r\n", "HTTP/1.1 200OK\r\n", "HTTP/1.1 200 OK\rX: y\r\n",
	      "HTTP/1.1 200 O\x01K\r\n", " HTTP/1.1 200 OK\r\n", "\r\nHTTP/1.1 200 OK\r\n",
	      "HTTP/1.1 200\tOK\r\n"})
		result_expect(HTTP_MESSAGE_ANSWER, line + end, HTTP_MALFORMED);
}

/*
 * Guards against taking the bytes behind an answer that has no body for its body, since its head
 * names a length or chunks: they are no part of it.
 */
TEST(httpmsg, answers_without_body)
{
	const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	size_t used;

	for (const char *fields : {"", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"}) {
		for (const char *status : {"204 X\r\n", "304 X\r\n"}) {
			const std::string head =
				"HTTP/1.1 " + std::string(status) + fields + "\r\n";

			EXPECT_EQ(message_feed(HTTP_MESSAGE_ANSWER, head + ok, &used),
				  HTTP_COMPLETE);
			EXPECT_EQ(used, head.size());
		}
		const std::string interim = "HTTP/1.1 103 X\r\n" + std::string(fields) + "\r\n";

		result_expect(HTTP_MESSAGE_ANSWER, interim + ok, HTTP_COMPLETE);
		result_expect(HTTP_MESSAGE_ANSWER, interim + "2\r\n" + ok, HTTP_MALFORMED);
	}
}
