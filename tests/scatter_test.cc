#include "scatter.h"
#include "script.h"

#include <gtest/gtest.h>

namespace
{
/* Times are in milliseconds. "@N" sets the time. */
struct scatter_script : script_interpreter {
	struct scatter *s = nullptr;
	uint64_t now_us = 0;

	~scatter_script() override
	{
		scatter_destroy(s);
	}

	/*
	 * policy SHARDS MIN_SHARE ATTEMPTS idempotent|non_idempotent GOAL DEADLINE HEDGE_AFTER
	 * [last HEDGE_LAST]
	 */
	void policy(const std::vector<std::string> &w)
	{
		struct scatter_policy p = {};

		p.n_shards = std::stoul(w[1]);
		p.min_share = std::stod(w[2]);
		p.max_attempts = std::stoul(w[3]);
		p.is_idempotent = w[4] == "idempotent";
		p.goal_at_us = std::stoull(w[5]) * 1000;
		p.deadline_us = std::stoull(w[6]) * 1000;
		p.hedge_after_us = std::stoull(w[7]) * 1000;
		if (w.size() > 9)
			p.hedge_last_at_us = std::stoull(w[9]) * 1000;
		s = scatter_create(&p);
	}

	std::string verdict()
	{
		static const char *const names[] = {"wait", "answer", "failed", "timed_out"};
		uint64_t wake_us = 0;
		enum scatter_verdict v = scatter_verdict(s, now_us, &wake_us);

		return std::string(names[v]) +
		       (v == SCATTER_WAIT ? " " + std::to_string(wake_us / 1000) : "") + "\n";
	}

	/*
	 * hold SHARD budget LEFT: prints until when the second call is held back. That time is
	 * searched in steps of a millisecond.
	 */
	std::string hold(unsigned int shard, double left)
	{
		uint64_t at_us = now_us;

		if (!scatter_hedge_hold(s, shard, left, now_us))
			return "no\n";
		for (unsigned int found = shard;
		     !scatter_hedge_next(s, &found, at_us) || found != shard; found = shard)
			at_us += 1000;
		scatter_hedge_hold(s, shard, left, now_us);
		return "until " + std::to_string(at_us / 1000) + "\n";
	}

	std::string hedges()
	{
		std::string out;

		for (unsigned int shard = 0; scatter_hedge_next(s, &shard, now_us); shard++)
			out += std::to_string(shard) + " ";
		return (out.empty() ? "none" : out) + "\n";
	}

	std::string run(const std::vector<std::string> &w) override
	{
		unsigned int first = w.size() > 1 && w[0] != "policy" ? std::stoul(w[1]) : 0;
		unsigned int last =
			w.size() > 2 && w[0] != "policy" && w[0] != "lost" && w[0] != "hold"
				? std::stoul(w[2])
				: first;

		if (w[0][0] == '@')
			now_us = std::stoull(w[0].substr(1)) * 1000;
		if (w[0] == "policy")
			policy(w);
		if (w[0] == "call")
			for (unsigned int i = first; i <= last; i++)
				scatter_call_started(s, i, now_us);
		if (w[0] == "answered")
			for (unsigned int i = first; i <= last; i++)
				scatter_call_answered(s, i);
		if (w[0] == "lost")
			scatter_call_lost(s, first,
					  w[2] == "not_run" ? SCATTER_LOSS_NOT_RUN
							    : SCATTER_LOSS_MAY_HAVE_RUN);
		if (w[0] == "exhausted")
			scatter_calls_exhausted(s, first);
		if (w[0] == "withdrawn")
			scatter_call_withdrawn(s, first);
		if (w[0] == "defer")
			scatter_hedge_defer(s, first, now_us);
		if (w[0] == "hold")
			return hold(first, std::stod(w[3]));
		if (w[0] == "may_call")
			return scatter_may_call(s, first) ? "yes\n" : "no\n";
		if (w[0] == "verdict")
			return verdict();
		if (w[0] == "hedges")
			return hedges();
		return "";
	}
};

bool registered = script_register("scatter", "scatter.test",
				  [] { return std::make_unique<scatter_script>(); });
} // namespace

/* Guards against one caller with a long wait that makes all other requests count as late. */
TEST(scatter, time_used_by_earlier_attempts)
{
	struct scatter_policy p = {};
	struct scatter_times first = {1000000, 200, 1500, 1500, 1500};
	struct scatter_times second = {1000000, 200, 1500, 1400, 1500};
	struct scatter_times other_waits_long = {1000000, 200, 1500, 1500, 60000};
	struct scatter_times no_wait_sent = {1000000, 200, 1500, 0, 0};
	struct scatter_times past_goal = {1000000, 200, 1500, 900, 1500};

	scatter_times_set(&p, &first);
	EXPECT_EQ(p.goal_at_us, 1172000u);
	EXPECT_EQ(p.deadline_us, 2500000u);
	scatter_times_set(&p, &second);
	EXPECT_EQ(p.goal_at_us, 1072000u);
	EXPECT_EQ(p.deadline_us, 2400000u);
	scatter_times_set(&p, &other_waits_long);
	EXPECT_EQ(p.goal_at_us, 1172000u);
	scatter_times_set(&p, &no_wait_sent);
	EXPECT_EQ(p.goal_at_us, 1172000u);
	EXPECT_EQ(p.deadline_us, 2500000u);
	scatter_times_set(&p, &past_goal);
	EXPECT_EQ(p.goal_at_us, 1000000u);
}
