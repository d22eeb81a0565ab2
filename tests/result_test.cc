#include "result.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

/* Guards against a result code whose number, name or text differs between the docs and the code. */
TEST(result, docs_table_matches_list)
{
	std::ifstream in(DOCS_DIR "/result-codes.md");
	std::stringstream want;
	std::string docs, line;

#define X(symbol, number, name, text) \
	want << "| " << (number) << " | `" << (name) << "` | " << (text) << " |\n";
	RESULT_LIST(X)
#undef X
	while (std::getline(in, line))
		if (line.size() > 2 && line[0] == '|' && isdigit((unsigned char)line[2]))
			docs += line + "\n";
	EXPECT_EQ(docs, want.str());
}

/* Guards against claiming "not run" for a result code outside 200 to 299. */
TEST(result, not_run_range)
{
	EXPECT_TRUE(result_is_not_run(RESULT_SHED));
	EXPECT_FALSE(result_is_not_run(RESULT_LOST_ANSWER));
	EXPECT_FALSE(result_is_not_run(RESULT_OK));
	/* No result has the code 7. */
	EXPECT_STREQ(result_name((enum result)7), "?");
}
