#include "replica.h"
#include "script.h"

#include <algorithm>

namespace
{
/*
 * Times are in milliseconds, latencies of calls in microseconds. A pick starts no call; the step
 * "start" does.
 */
struct replica_script : script_interpreter {
	struct replica_chooser *c = nullptr;
	std::vector<struct leafstat *> stats;
	bool usable[REPLICA_MAX];
	bool eligible[REPLICA_MAX];
	GRand *rand = g_rand_new_with_seed(1);

	~replica_script() override
	{
		clear();
		g_rand_free(rand);
	}

	void clear()
	{
		replica_chooser_destroy(c);
		for (auto *s : stats)
			leafstat_destroy(s);
		stats.clear();
	}

	int pick(uint64_t now_ms)
	{
		return replica_chooser_pick(c, stats.data(), usable, (unsigned)stats.size(),
					    now_ms * 1000, rand);
	}

	std::string leaves(const char *kind, int n, uint64_t now_ms)
	{
		GError *error = nullptr;
		std::string text;

		clear();
		c = replica_chooser_create(kind, &error);
		/* Created 9 s before now_ms, so that the ramp is over; at 0 if now_ms < 9000. */
		for (int i = 0; i < n; i++)
			stats.push_back(
				leafstat_create(now_ms < 9000 ? 0 : (now_ms - 9000) * 1000));
		std::fill_n(usable, REPLICA_MAX, true);
		std::fill_n(eligible, REPLICA_MAX, true);
		if (error)
			text = std::string(error->message) + "\n";
		g_clear_error(&error);
		return text;
	}

	std::string picks(int n, uint64_t now_ms, bool as_shares)
	{
		std::vector<int> count(stats.size());
		std::string text;
		char share[16];

		for (int i = 0; i < n; i++) {
			int picked = pick(now_ms);

			if (picked < 0)
				return "none\n";
			count[picked]++;
		}
		for (int k : count) {
			g_snprintf(share, sizeof(share), "%.1f", (double)k / n);
			text += (text.empty() ? "" : " ") + (as_shares ? share : std::to_string(k));
		}
		return text + "\n";
	}

	std::string is_ever_picked(int leaf, uint64_t now_ms)
	{
		for (int k = 0; k < 1000; k++)
			if (pick(now_ms) == leaf)
				return "yes\n";
		return "no\n";
	}

	std::string run(const std::vector<std::string> &w) override
	{
		bool is_flags = w[0] == "usable" || w[0] == "eligible";
		uint64_t now_ms = is_flags ? 0 : std::stoull(w.back());
		std::string text;
		/* The index of a leaf, the number of picks or the time waited, by step. */
		int number = w[0] == "leaves" ? 0 : std::stoi(w[1]);

		if (w[0] == "leaves")
			return leaves(w[1].c_str(), std::stoi(w[2]), now_ms);
		if (w[0] == "picks" || w[0] == "shares")
			return picks(number, now_ms, w[0] == "shares");
		if (w[0] == "ever_picks")
			return is_ever_picked(number, now_ms);
		for (size_t k = 1; is_flags && k < w.size(); k++)
			(w[0] == "usable" ? usable : eligible)[k - 1] = w[k] == "1";
		if (w[0] == "exclude") {
			replica_slow_or_refusing_exclude(stats.data(), eligible, usable,
							 (unsigned)stats.size(),
							 (uint64_t)number * 1000, now_ms * 1000);
			for (size_t k = 0; k < stats.size(); k++)
				text += std::string(k ? " " : "") + (usable[k] ? "1" : "0");
			return text + "\n";
		}
		if (w[0] == "start")
			for (int k = 0; k < std::stoi(w[2]); k++)
				leafstat_start(stats[number], now_ms * 1000);
		if (w[0] == "restart")
			leafstat_restart(stats[number], now_ms * 1000);
		if (w[0] == "call") {
			leafstat_start(stats[number], now_ms * 1000);
			leafstat_finish(stats[number],
					w[2] == "ok" ? LEAFSTAT_OK : LEAFSTAT_REFUSED,
					std::stoull(w[3]), now_ms * 1000);
		}
		return "";
	}
};

bool registered = script_register("replica", "replica.test",
				  [] { return std::make_unique<replica_script>(); });
} // namespace
