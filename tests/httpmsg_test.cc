#include "httpmsg.h"

#include <gtest/gtest.h>
#include <string>

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
