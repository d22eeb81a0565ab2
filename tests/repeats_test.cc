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
		if (w[0] == "vms" || w[0] == "vms-as-other") /* vms ENTRIES [OTHERS] */
			repeats_vms_set(r, std::stoul(w[1]), w.size() > 2 ? std::stoul(w[2]) : 0,
					w[0] == "vms", now_us);
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

namespace
{
/*
 * All VMs get requests for a while and lose many calls; a part of them are entry VMs. Fails if they
 * send more repeats in a window than the budget allows for the requests in it.
 */
void windows_check(unsigned int n_entries, unsigned int n_others, double slack)
{
	const unsigned int n_vms = n_entries + n_others;
	struct repeats_limits limits = {0.2, slack, 10000000};
	std::vector<struct repeats *> vms(n_vms);
	std::vector<std::pair<uint64_t, bool>> log; /* time, is a repeat */
	GRand *rand = g_rand_new_with_seed(3);

	for (unsigned int i = 0; i < n_vms; i++) {
		vms[i] = repeats_create(&limits, 0);
		/* At first each VM knows no other. */
		repeats_vms_set(vms[i], 1, 0, true, 500000);
		repeats_vms_set(vms[i], n_entries, n_others, i < n_entries, 3000000);
	}
	for (uint64_t now_us = 0; now_us < 40000000; now_us += 10000) {
		struct repeats *vm = vms[g_rand_int_range(rand, 0, n_vms)];
		bool is_fault = now_us > 12000000 && now_us < 25000000;

		repeats_request_add(vm, "s", now_us);
		log.emplace_back(now_us, false);
		for (int i = 0; i < (is_fault ? 4 : 1); i++)
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
		EXPECT_LE(repeats, 0.2 * requests + slack)
			<< "window from " << start << " with " << n_others << " other VMs";
	}
	for (struct repeats *vm : vms)
		repeats_destroy(vm);
	g_rand_free(rand);
}
} // namespace

/* Guards against any time span of one window in which all VMs together exceed the budget. */
TEST(repeats, all_vms_stay_within_any_window)
{
	windows_check(8, 0, 56);
	windows_check(6, 2, 56);
	windows_check(12, 183, 430);
}
