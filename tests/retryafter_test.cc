#include "retryafter.h"
#include "script.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace
{
struct retryafter_script : script_interpreter {
	/* choose REASON wait MS uptime|leaf MS: lowest and highest of many draws, s, two digits. */
	std::string run(const std::vector<std::string> &w) override
	{
		static const std::map<std::string, enum retryafter_reason> reasons = {
			{"full", RETRYAFTER_LEAVES_FULL},
			{"no_leaf", RETRYAFTER_NO_LEAF},
			{"no_config", RETRYAFTER_NO_CONFIG},
			{"all_starting", RETRYAFTER_ALL_STARTING},
			{"renewal", RETRYAFTER_RENEWAL},
			{"memory", RETRYAFTER_MEMORY},
			{"stopping", RETRYAFTER_STOPPING}};
		GRand *rand = g_rand_new_with_seed(1);
		double low = 1e9;
		double high = 0;
		char text[64];

		for (int i = 0; i < 20000; i++) {
			double s =
				w[1] == "limited"
					? retryafter_choose_limited_s(std::stoull(w[5]) * 1000,
								      std::stoull(w[3]), rand)
					: retryafter_choose_s(reasons.at(w[1]), std::stoull(w[3]),
							      std::stoull(w[5]), rand);

			low = std::min(low, s);
			high = std::max(high, s);
		}
		g_rand_free(rand);
		g_snprintf(text, sizeof(text), "%.2g to %.2g\n", low, high);
		std::string out = text;
		/* Prints the highest as 2.0, where %.2g omits the zero. */
		if (out.find('.', out.find("to")) == std::string::npos)
			out.insert(out.size() - 1, ".0");
		return out;
	}
};

bool registered = script_register("retryafter", "retryafter.test",
				  [] { return std::make_unique<retryafter_script>(); });
} // namespace
