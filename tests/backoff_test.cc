#include "backoff.h"
#include "script.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace
{
/* Times in milliseconds. */
struct backoff_script : script_interpreter {
	struct backoff *b = nullptr;
	GRand *rand = g_rand_new_with_seed(1);

	~backoff_script() override
	{
		backoff_destroy(b);
		g_rand_free(rand);
	}

	/*
	 * Longest delay in ms over all samples, rounded up to 10 ms. In each sample, rounds of
	 * concurrent attempts fail one after the other; failures is the number of rounds.
	 */
	uint64_t longest_ms(int samples, int failures, int concurrent)
	{
		uint64_t longest_us = 0;

		for (int i = 0; i < samples; i++) {
			uint64_t now_us = 0;

			for (int k = 0; k < failures; k++) {
				now_us += backoff_wait_us(b, now_us);
				for (int j = 0; j < concurrent; j++)
					backoff_attempt_started(b);
				for (int j = 0; j < concurrent; j++)
					backoff_attempt_failed(b, now_us, rand);
			}
			longest_us = std::max(longest_us, backoff_wait_us(b, now_us));
			EXPECT_GE(backoff_wait_us(b, now_us), 10000U);
			backoff_attempt_succeeded(b);
		}
		return (longest_us + 9999) / 10000 * 10;
	}

	std::string run(const std::vector<std::string> &w) override
	{
		int n = std::stoi(w[1]);
		uint64_t now_us = w.size() > 3 && w[2] == "at" ? std::stoull(w[3]) * 1000 : 0;
		int started = 0;

		if (w[0] == "create")
			b = backoff_create((unsigned)n);
		if (w[0] == "longest")
			return std::to_string(w[3] == "concurrent"
						      ? longest_ms(n, 1, 4)
						      : longest_ms(n, std::stoi(w[3]), 1)) +
			       "\n";
		for (int i = 0; i < n && w[0] == "ok"; i++)
			backoff_attempt_succeeded(b);
		for (int i = 0; i < n && w[0] == "fail"; i++)
			backoff_attempt_failed(b, now_us, rand);
		if (w[0] != "start")
			return "";
		for (; started < n && backoff_attempt_is_allowed(b, now_us); started++)
			backoff_attempt_started(b);
		return std::to_string(started) + "\n";
	}
};

bool registered = script_register("backoff", "backoff.test",
				  [] { return std::make_unique<backoff_script>(); });
} // namespace

/*
 * Guards against a recovered data centre that all VMs try to reach at the same moment. 1000 VMs
 * lose it at the same time; after its return, no interval of 10 ms may hold more than 3% of their
 * first attempts.
 */
TEST(backoff, attempts_spread_after_outage)
{
	for (uint64_t outage_us : {1000000U, 30000000U}) {
		std::vector<int> attempts_per_10_ms(201);

		for (unsigned seed = 0; seed < 1000; seed++) {
			GRand *rand = g_rand_new_with_seed(seed);
			struct backoff *b = backoff_create(4);
			uint64_t now_us = 0;

			while (now_us < outage_us) {
				backoff_attempt_started(b);
				backoff_attempt_failed(b, now_us, rand);
				now_us += backoff_wait_us(b, now_us);
			}
			attempts_per_10_ms.at((now_us - outage_us) / 10000)++;
			backoff_destroy(b);
			g_rand_free(rand);
		}
		EXPECT_LE(*std::max_element(attempts_per_10_ms.begin(), attempts_per_10_ms.end()),
			  30)
			<< outage_us;
	}
}
