#include "routedresult.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace
{
const char *run_text(enum routed_run run)
{
	static const char *const texts[] = {
#define X(symbol, text) text,
		ROUTED_RUN_LIST(X)
#undef X
	};

	return texts[run];
}

/* The rows of the page's table that follow the line. */
std::string docs_table(const std::string &heading)
{
	std::ifstream in(DOCS_DIR "/result-codes.md");
	std::string line, rows;

	while (std::getline(in, line) && line != heading)
		;
	while (std::getline(in, line) && line.rfind("## ", 0) != 0)
		if (line.rfind("| `", 0) == 0)
			rows += line + "\n";
	return rows;
}

struct call_case {
	struct routed_call_facts facts;
	enum routed_call call;
};
} // namespace

/*
 * Guards against an end that may have run and whose status promises that it has not, and against a
 * refusal whose status promises nothing although the caller may send the request again.
 */
TEST(routedresult, only_ends_that_have_not_run_promise_it)
{
	for (int i = 0; i < ROUTED_RESULT_COUNT; i++) {
		const auto result = (enum routed_result)i;
		const unsigned int status = routed_status(result);

		if (routed_run(result) == ROUTED_RUN_MAY_HAVE_RUN)
			EXPECT_FALSE(routed_status_promises_not_run(status)) << "result " << i;
		else
			EXPECT_TRUE(routed_status_promises_not_run(status) ||
				    (status >= 400 && status < 500))
				<< "result " << i;
	}
	for (unsigned int status = 0; status < 1000; status++)
		EXPECT_EQ(routed_status_promises_not_run(status),
			  status == 408 || status == 421 || status == 429 || status == 503)
			<< status;
}

/* Guards against an end of a call that counts as not run without a proof. */
TEST(routedresult, calls)
{
	const struct call_case cases[] = {
		{{false, 0, nullptr, false, false}, ROUTED_CALL_UNSENT},
		{{true, 0, nullptr, false, false}, ROUTED_CALL_UNANSWERED},
		{{true, 421, nullptr, false, false}, ROUTED_CALL_OTHER_LEAF},
		{{true, 503, "1", false, false}, ROUTED_CALL_NOT_EXECUTED},
		{{true, 429, " 1\t", false, false}, ROUTED_CALL_NOT_EXECUTED},
		{{true, 500, "1", true, false}, ROUTED_CALL_NOT_EXECUTED},
		{{true, 503, "0", false, false}, ROUTED_CALL_UNPROVED},
		{{true, 503, "", false, false}, ROUTED_CALL_UNPROVED},
		{{true, 503, "11", false, false}, ROUTED_CALL_UNPROVED},
		{{true, 503, "1 1", false, false}, ROUTED_CALL_UNPROVED},
		{{true, 503, "false", true, false}, ROUTED_CALL_UNPROVED},
		{{true, 503, nullptr, false, false}, ROUTED_CALL_UNPROVED},
		{{true, 429, nullptr, true, false}, ROUTED_CALL_UNPROVED},
		{{true, 408, nullptr, true, false}, ROUTED_CALL_UNPROVED},
		{{true, 200, nullptr, true, false}, ROUTED_CALL_SERVED},
		{{true, 299, nullptr, true, false}, ROUTED_CALL_SERVED},
		{{true, 200, "0", true, false}, ROUTED_CALL_SERVED},
		{{true, 200, nullptr, false, false}, ROUTED_CALL_FAILED},
		{{true, 200, nullptr, true, true}, ROUTED_CALL_FAILED},
		{{true, 300, nullptr, true, false}, ROUTED_CALL_FAILED},
		{{true, 500, nullptr, true, false}, ROUTED_CALL_FAILED},
		{{true, 502, nullptr, false, false}, ROUTED_CALL_FAILED},
		{{true, 504, nullptr, true, false}, ROUTED_CALL_FAILED},
	};
	bool was_seen[ROUTED_CALL_COUNT] = {};

	for (const auto &c : cases) {
		EXPECT_EQ(routed_call_of(&c.facts), c.call)
			<< c.facts.status << " " << (c.facts.not_run ? c.facts.not_run : "-");
		was_seen[c.call] = true;
	}
	for (int i = 0; i < ROUTED_CALL_COUNT; i++)
		EXPECT_TRUE(was_seen[i]) << "no case for call " << i;
	/* Every status without a proof may have run; 421 is a proof. */
	for (unsigned int status = 100; status < 1000; status++) {
		const struct routed_call_facts facts = {true, status, nullptr, status % 2 == 0,
							false};

		EXPECT_EQ(routed_call_run(routed_call_of(&facts)),
			  status == 421 ? ROUTED_RUN_NOT_RUN : ROUTED_RUN_MAY_HAVE_RUN)
			<< status;
	}
}

/* Guards against a status or a "may have run" that differs between the docs and the code. */
TEST(routedresult, docs_tables_match_lists)
{
	std::stringstream results, calls;

#define X(symbol, status, run, name, text)                                                         \
	results << "| `" << (name) << "` | " << ((status) ? std::to_string(status) : "-") << " | " \
		<< run_text(ROUTED_RUN_##run) << " | " << (text) << " |\n";
	ROUTED_RESULT_LIST(X)
#undef X
#define X(symbol, run, name, text)                                                          \
	calls << "| `" << (name) << "` | " << run_text(ROUTED_RUN_##run) << " | " << (text) \
	      << " |\n";
	ROUTED_CALL_LIST(X)
#undef X
	EXPECT_EQ(docs_table("## Routed path: ends of a request"), results.str());
	EXPECT_EQ(docs_table("## Routed path: ends of a call to a leaf"), calls.str());
}
