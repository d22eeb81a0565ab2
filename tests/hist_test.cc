#include "hist.h"
#include "script.h"

#include <gtest/gtest.h>

namespace
{
struct hist_script : script_interpreter {
	struct hist *h = hist_create();

	~hist_script() override
	{
		hist_destroy(h);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "quantile")
			return std::to_string(hist_quantile(h, std::stod(w[1]))) + "\n";
		if (w[0] == "count")
			return std::to_string(hist_count(h)) + "\n";
		if (w[0] == "decay")
			hist_decay(h);
		else
			for (size_t i = 1; i < w.size(); i++)
				hist_add(h, std::stoull(w[i]));
		return "";
	}
};

bool registered =
	script_register("hist", "hist.test", [] { return std::make_unique<hist_script>(); });
} // namespace

/* Guards against a relative error above 1/16 or a value below the exact one, over all octaves. */
TEST(hist, relative_error)
{
	GRand *rand = g_rand_new_with_seed(1);

	for (int i = 0; i < 20000; i++) {
		uint64_t v = (uint64_t)g_rand_int(rand) >> g_rand_int_range(rand, 0, 32);
		struct hist *h = hist_create();

		hist_add(h, v);
		EXPECT_GE(hist_quantile(h, 0.5), v);
		EXPECT_LE(hist_quantile(h, 0.5), v + v / 16);
		hist_destroy(h);
	}
	g_rand_free(rand);
}
