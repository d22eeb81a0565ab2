#include "repeats.h"
#include "script.h"

#include <gtest/gtest.h>

namespace
{
/* The ratio is 0.2 and the window 10 s. "@N" sets the time in milliseconds. */
struct repeats_script : script_interpreter {
	struct repeats *r = nullptr;
	uint64_t now_us = 0;

	~repeats_script() override
	{
		repeats_destroy(r);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0][0] == '@')
			now_us = std::stoull(w[0].substr(1)) * 1000;
		if (w[0] == "slack") {
			struct repeats_limits limits = {0.2, std::stod(w[1]), 10000000};

			r = repeats_create(&limits, now_us);
		}
		if (w[0] == "vms")
			repeats_vms_set(r, std::stoul(w[1]), now_us);
		if (w[0] == "requests")
			for (int i = 0; i < std::stoi(w[1]); i++)
				repeats_request_add(r, "s", now_us);
		for (int i = 0; w[0] == "refund" && i < std::stoi(w[1]); i++)
			repeats_refund(r, "s", now_us);
		if (w[0] == "left") {
			char text[16];

			g_snprintf(text, sizeof(text), "%.2f\n",
				   repeats_unspent_share(r, "s", REPEATS_RECOVERY, now_us));
			return text;
		}
		if (w[0] == "spend") {
			int n = 0;

			while (repeats_spend(
				r, "s", w.size() > 1 ? REPEATS_HEDGE : REPEATS_RECOVERY, now_us))
				n++;
			return std::to_string(n) + "\n";
		}
		return "";
	}
};

bool registered = script_register("repeats", "repeats.test",
				  [] { return std::make_unique<repeats_script>(); });
} // namespace

/* Guards against any time span of one window in which all VMs together exceed the budget. */
TEST(repeats, all_vms_stay_within_any_window)
{
	const unsigned int n_vms = 8;
	const double slack = 56;
	struct repeats_limits limits = {0.2, slack, 10000000};
	struct repeats *vms[n_vms];
	std::vector<std::pair<uint64_t, bool>> log; /* time, is a repeat */
	GRand *rand = g_rand_new_with_seed(3);

	for (auto &vm : vms) {
		vm = repeats_create(&limits, 0);
		repeats_vms_set(vm, n_vms, 0);
	}
	for (uint64_t now_us = 0; now_us < 40000000; now_us += 10000) {
		struct repeats *vm = vms[g_rand_int_range(rand, 0, n_vms)];
		bool is_fault = now_us > 12000000 && now_us < 25000000;

		repeats_request_add(vm, "s", now_us);
		log.emplace_back(now_us, false);
		if ((is_fault || g_rand_double(rand) < 0.1) &&
		    repeats_spend(vm, "s", REPEATS_RECOVERY, now_us))
			log.emplace_back(now_us, true);
	}
	for (uint64_t start = 0; start < 30000000; start += 500000) {
		double requests = 0;
		double repeats = 0;

		for (const auto &entry : log)
			if (entry.first >= start && entry.first < start + 10000000)
				(entry.second ? repeats : requests)++;
		EXPECT_LE(repeats, 0.2 * requests + slack) << "window from " << start;
	}
	for (auto &vm : vms)
		repeats_destroy(vm);
	g_rand_free(rand);
}
