#include "backlog.h"
#include "process.h"
#include "script.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <sstream>

namespace
{
#define BURST_S 7

struct backlog_script : script_interpreter {
	struct backlog_gate gate = {};
	uint64_t now_us = 0;

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "answer") { /* answer sent N waiting N window N service MS */
			struct backlog b = {(unsigned int)std::stoul(w[2]),
					    (unsigned int)std::stoul(w[4]),
					    (unsigned int)std::stoul(w[6]), std::stod(w[8]) * 1000};

			return std::to_string(backlog_answer_us(&b) / 1000) + " ms\n";
		}
		if (w[0] == "admits") /* admits N of N share SHARE */
			return backlog_admit(&gate, (unsigned int)std::stoul(w[1]),
					     (unsigned int)std::stoul(w[3]), std::stod(w[5]),
					     now_us)
				       ? "yes\n"
				       : "no\n";
		if (w[0] == "useful") /* useful MS */
			return std::to_string(
				       backlog_useful_us(&gate, std::stoull(w[1]) * 1000, now_us) /
				       1000) +
			       " ms\n";
		if (w[0] == "repeat") /* repeat useful MS left MS */
			return std::to_string(
				       backlog_repeat_useful_us(&gate, std::stoull(w[2]) * 1000,
								std::stoull(w[4]) * 1000, now_us) /
				       1000) +
			       " ms\n";
		if (w[0] == "hedge") { /* hedge sent N waiting N window N */
			struct backlog b = {(unsigned int)std::stoul(w[2]),
					    (unsigned int)std::stoul(w[4]),
					    (unsigned int)std::stoul(w[6]), 0};

			return backlog_allows_hedge(&gate, &b, now_us) ? "yes\n" : "no\n";
		}
		if (w[0][0] == '@') { /* @MS */
			now_us = std::stoull(w[0].substr(1)) * 1000;
			return "";
		}
		return "unknown step " + w[0] + "\n";
	}
};

bool registered = script_register("backlog", "backlog.test",
				  [] { return std::make_unique<backlog_script>(); });

/* One row of the model's table. */
struct row {
	double load, asked, in_time, again, late, refused, failed, goodput, usual_refused, after;
};

std::vector<row> model_run(const std::string &admission)
{
	process p({"bench-overload", TEST_DIR "/../bench/burst-20-shards.overload", "--admission",
		   admission});
	std::vector<row> rows;

	for (std::string line = p.line_read(60000); !line.empty(); line = p.line_read(60000)) {
		std::istringstream in(line);
		row r;

		if (in >> r.load >> r.asked >> r.in_time >> r.again >> r.late >> r.refused >>
		    r.failed >> r.goodput >> r.usual_refused >> r.after)
			rows.push_back(r);
	}
	EXPECT_EQ(p.exit_wait(), 0);
	return rows;
}
} // namespace

/*
 * Guards against a service that collapses in a burst: 20 shards of two leaves with two slots, one
 * to five times the usual load for 7 s, callers who ask again. In the model as many searches are to
 * be answered in time of their attempt as under the load that serves most, hardly one is held until
 * its time limit, hardly one is refused under the usual load, and what comes 2 s after the burst is
 * served. Without the admission the model collapses.
 */
TEST(backlog, burst_is_served_at_capacity)
{
	std::vector<row> with = model_run("on");
	std::vector<row> without = model_run("off");
	double most = 0;

	ASSERT_EQ(with.size(), 5u);
	ASSERT_EQ(without.size(), 5u);
	for (const row &r : with)
		most = std::max(most, r.goodput);
	for (const row &r : with) {
		EXPECT_GE(r.goodput, 0.9 * std::min(most, r.asked / BURST_S)) << "load " << r.load;
		EXPECT_LE(r.failed, 0.01 * r.asked) << "load " << r.load;
		EXPECT_LE(r.usual_refused, 0.001) << "load " << r.load;
		EXPECT_GE(r.after, 0.85) << "load " << r.load;
	}
	for (const row &r : without) {
		if (r.load >= 2) {
			EXPECT_LE(r.goodput, 0.3 * most) << "load " << r.load;
		}
	}
}
