/* Tests of the parser of callers' requests. */
#include <gtest/gtest.h>

#include <string>

#include "request.h"

static std::string problem_of(const std::string &text, bool is_command)
{
	struct caller_request *r = caller_request_create();
	char *problem = nullptr;
	bool ok = request_parse(r, text.data(), text.size(), is_command, &problem);
	std::string out = ok ? "" : problem;

	g_free(problem);
	message_destroy(&r->message);
	return out;
}

/*
 * Guards against accepting a payload that exceeds the size limit of a call once it is written again
 * (1e300 becomes 1.0000000000000001e300): it could not be sent to another VM, and the caller was
 * told that a shard is lost.
 */
TEST(request_test, refuses_payload_that_grows_over_the_limit)
{
	std::string numbers = "[1e300";

	for (int i = 0; i < 8000; i++)
		numbers += ",1e300";
	numbers += "]";
	ASSERT_LT(numbers.size(), 65000u);
	EXPECT_EQ(problem_of("{\"service\": \"s\", \"query\": " + numbers + "}", false),
		  "query: too long");
	EXPECT_EQ(problem_of("{\"service\": \"s\", \"id\": \"i\", \"key\": \"k\", \"body\": " +
				     numbers + "}",
			     true),
		  "body: too long");
	EXPECT_EQ(problem_of("{\"service\": \"s\", \"query\": [1e300]}", false), "");
}

/* Guards against accepting a field that is missing, too long or of another type. */
TEST(request_test, names_the_invalid_field)
{
	EXPECT_EQ(problem_of("[]", false), "body: a JSON object is required");
	EXPECT_EQ(problem_of("{\"service\": \"\", \"query\": 1}", false), "service");
	EXPECT_EQ(
		problem_of("{\"service\": \"" + std::string(64, 's') + "\", \"query\": 1}", false),
		"service");
	EXPECT_EQ(problem_of("{\"service\": \"s\", \"class\": 1, \"query\": 1}", false), "class");
	EXPECT_EQ(problem_of("{\"service\": \"s\", \"deadline_ms\": 60001, \"query\": 1}", false),
		  "deadline_ms");
	EXPECT_EQ(problem_of("{\"service\": \"s\"}", false), "query");
	EXPECT_EQ(problem_of("{\"service\": \"s\", \"key\": \"k\", \"body\": 1}", true), "id");
	EXPECT_NE(problem_of("{", false), "");
}
