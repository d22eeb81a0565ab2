#include "ratecap.h"
#include "script.h"
#include "vmshare.h"

#include <algorithm>
#include <deque>

namespace
{
#define STEP_US 10000
#define SPAN_US 4000000

/* VMs that keep to a leaf's limit. Each sends at most one call in a step. */
struct ratecap_script : script_interpreter {
	struct vm {
		struct ratecap cap = {};
		struct vmshare share = {};
		bool is_entry;
	};
	std::vector<vm> vms;
	GRand *rand = g_rand_new_with_seed(1);
	uint64_t now_us = 10000000;
	double limit_per_s = 0;
	double load_per_s = 0; /* of an entry VM */
	uint64_t wave_us = 0; /* one request for each VM at this interval; 0: none */

	~ratecap_script() override
	{
		g_rand_free(rand);
	}

	void add(unsigned int n_entries, unsigned int n_others)
	{
		for (unsigned int i = 0; i < n_entries + n_others; i++) {
			vm v = {};

			v.is_entry = i < n_entries;
			vmshare_init(&v.share, 0);
			vmshare_set(&v.share, n_entries, n_entries + n_others, v.is_entry, 1);
			vms.push_back(v);
		}
	}

	bool wants_call(const vm &v)
	{
		bool is_wave = wave_us && now_us % wave_us < STEP_US;

		return is_wave || (v.is_entry && g_rand_double(rand) < load_per_s * STEP_US / 1e6);
	}

	std::string simulate(uint64_t seconds)
	{
		uint64_t end_us = now_us + seconds * 1000000;
		std::deque<uint64_t> span;
		size_t most = 0;
		size_t total = 0;

		for (; now_us < end_us; now_us += STEP_US) {
			for (auto &v : vms) {
				ratecap_limit(&v.cap, limit_per_s, vmshare_get(&v.share, now_us),
					      rand, now_us);
				if (!wants_call(v) || ratecap_wait_us(&v.cap, 0, now_us) > 0)
					continue;
				ratecap_take(&v.cap, now_us);
				span.push_back(now_us);
				total++;
			}
			while (!span.empty() && span.front() + SPAN_US <= now_us)
				span.pop_front();
			most = std::max(most, span.size());
		}
		char text[128];

		g_snprintf(text, sizeof(text), "most in 4 s %zu (6 limits + 5: %.0f), %.1f/s\n",
			   most, 6 * limit_per_s + 5, (double)total / (double)seconds);
		return text;
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "vms") /* vms N_ENTRIES N_OTHERS */
			add((unsigned)std::stoul(w[1]), (unsigned)std::stoul(w[2]));
		else if (w[0] == "limit") /* limit PER_S */
			limit_per_s = std::stod(w[1]);
		else if (w[0] == "load") /* load PER_S: of each entry VM */
			load_per_s = std::stod(w[1]);
		else if (w[0] == "wave") /* wave MS: a request for each VM at this interval */
			wave_us = std::stoull(w[1]) * 1000;
		else if (w[0] == "run") /* run SECONDS */
			return simulate(std::stoull(w[1]));
		else
			return "unknown step " + w[0] + "\n";
		return "";
	}
};

bool registered = script_register("ratecap", "ratecap.test",
				  [] { return std::make_unique<ratecap_script>(); });
} // namespace
