#include "leafstat.h"
#include "script.h"

#include <gtest/gtest.h>
#include <map>

namespace
{
const std::map<std::string, enum leafstat_outcome> outcomes = {{"ok", LEAFSTAT_OK},
							       {"refused", LEAFSTAT_REFUSED},
							       {"timeout", LEAFSTAT_TIMEOUT},
							       {"cancelled", LEAFSTAT_CANCELLED}};

/* Latencies are in microseconds. The last word of a step is the time in milliseconds. */
struct leafstat_script : script_interpreter {
	struct leafstat *s = leafstat_create(0);

	~leafstat_script() override
	{
		leafstat_destroy(s);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		uint64_t now_us = std::stoull(w.back()) * 1000;
		char text[32] = "";

		if (w[0] == "start" || w[0] == "call")
			leafstat_start(s, now_us);
		if (w[0] == "finish" || w[0] == "call")
			leafstat_finish(s, outcomes.at(w[1]), std::stoull(w[2]), now_us);
		if (w[0] == "restart")
			leafstat_restart(s, now_us);
		if (w[0] == "cost")
			g_snprintf(text, sizeof(text), "%.0f\n", leafstat_cost(s, now_us));
		if (w[0] == "ramp")
			g_snprintf(text, sizeof(text), "%.2f\n", leafstat_ramp(s, now_us));
		if (w[0] == "refusing")
			g_snprintf(text, sizeof(text), "%d\n", leafstat_is_refusing(s, now_us));
		return text;
	}
};

bool registered = script_register("leafstat", "leafstat.test",
				  [] { return std::make_unique<leafstat_script>(); });
} // namespace

/*
 * Guards against a median that a few very slow calls raise: queued items that can still be served
 * in time would be dropped.
 */
TEST(leafstat, median_ignores_slow_calls)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct leafstat *s = leafstat_create(0);

	for (int i = 0; i < 5000; i++) {
		uint64_t us = i % 20 == 0 ? 80000 : (uint64_t)g_rand_int_range(rand, 3000, 5000);

		leafstat_start(s, 0);
		leafstat_finish(s, LEAFSTAT_OK, us, 0);
		if (i > 500) {
			EXPECT_NEAR((double)leafstat_median_us(s), 4000.0, 1000.0);
		}
	}
	leafstat_destroy(s);
	g_rand_free(rand);
}

/* Guards against a leaf that refuses every call and so uses up the retry budget of its group. */
TEST(leafstat, refusing_leaf_is_called_rarely)
{
	struct leafstat *s = leafstat_create(0);
	int rounds = 0;

	for (uint64_t now_us = 0; now_us < 20000000; now_us += 1000) {
		if (leafstat_is_refusing(s, now_us))
			continue;
		rounds++;
		/* Two concurrent refusals count as one. */
		for (int i = 0; i < 2; i++)
			leafstat_start(s, now_us);
		for (int i = 0; i < 2; i++)
			leafstat_finish(s, LEAFSTAT_REFUSED, 0, now_us);
	}
	/* Once at first, 7 times after 10, 20, ... 640 ms, then 18 times after 1 s. */
	EXPECT_EQ(rounds, 26);
	leafstat_destroy(s);
}
