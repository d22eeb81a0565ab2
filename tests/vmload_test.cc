#include "entrychoice.h"
#include "rendezvous.h"
#include "script.h"
#include "vmload.h"

#include <algorithm>
#include <cmath>

namespace
{
#define SAMPLE_MS 500
#define LIST_TTL_MS 1200
/* Every third caller keeps its list for three times its time to live. */
#define LATE_CALLERS 3
/* Time after which the other VMs know a new share. */
#define SPREAD_MS 1000
#define PERIOD_MS 17000.0

struct load_deleter {
	void operator()(struct vmload *l) const
	{
		vmload_destroy(l);
	}
};
using load_ptr = std::unique_ptr<struct vmload, load_deleter>;

/* One VM of 250 thousandths of a core, 20 megabits a second and 256 MB. */
struct vmload_script : script_interpreter {
	struct vmload_limits limits = {250, 20, 256, LIST_TTL_MS};
	load_ptr load{vmload_create(&limits, 0)};
	struct vmload_sample used = {};
	uint64_t now_ms = 0;

	/* use PROCESSOR LINK MEMORY SECONDS: in per cent; prints each change of the share. */
	std::string use(const std::vector<std::string> &w)
	{
		std::string out;
		char text[128];

		for (uint64_t end_ms = now_ms + std::stoull(w[4]) * 1000; now_ms < end_ms;) {
			now_ms += SAMPLE_MS;
			used.processor_us += std::stoull(w[1]) * limits.weight * SAMPLE_MS / 100;
			used.link_bytes += std::stoull(w[2]) * 20000 * SAMPLE_MS / 100 / 8;
			used.resident_bytes = std::stoull(w[3]) * 256 * 1000000 / 100;
			if (!vmload_note(load.get(), &used, now_ms))
				continue;
			g_snprintf(text, sizeof(text), "%.1f s: %u left, %s used %u%%\n",
				   (double)now_ms / 1000, vmload_weight_left(load.get()),
				   vmload_resource_name(vmload_scarcest(load.get())),
				   vmload_used_pct(load.get(), vmload_scarcest(load.get())));
			out += text;
		}
		return out;
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "vm") { /* vm WEIGHT LINK_MBPS MEMORY_MB */
			limits = {(uint32_t)std::stoul(w[1]), std::stod(w[2]), std::stoull(w[3]),
				  LIST_TTL_MS};
			load.reset(vmload_create(&limits, now_ms));
			return "";
		}
		return use(w);
	}
};

/*
 * Entry VMs that lower their shares, and callers that use address lists. Each VM counts what
 * callers ask of it; above its share they would wait.
 */
struct demand_script : script_interpreter {
	struct vm {
		struct entrychoice_vm choice;
		load_ptr load;
		uint64_t processor_us;
		uint64_t told_ms; /* when the others learn of the present share */
		double wanted; /* thousandths of a core, in the present period */
	};
	struct caller {
		int dc;
		uint64_t list_ms; /* how long it keeps a list */
		uint64_t asked_ms;
		std::vector<unsigned int> list;
	};
	std::vector<vm> vms;
	std::vector<caller> callers;
	char dcs[2][2] = {"a", "b"};
	double mean = 0; /* demand of a data centre, thousandths of a core */
	double swing = 0;
	bool is_fixed = false;
	GRand *rand = g_rand_new_with_seed(1);
	uint64_t now_ms = 0;

	~demand_script() override
	{
		g_rand_free(rand);
	}

	void add(int dc, uint32_t weight, int n)
	{
		struct vmload_limits limits = {weight, 0, 0, LIST_TTL_MS};

		for (int i = 0; i < n; i++) {
			std::string name = std::string(dcs[dc]) + std::to_string(vms.size());

			vms.push_back({{dcs[dc], rendezvous_name_hash(name.c_str()), weight, weight,
					true, false},
				       load_ptr(vmload_create(&limits, now_ms)),
				       0,
				       0,
				       0});
		}
	}

	unsigned int choose()
	{
		char *leaf_dcs[] = {dcs[0], dcs[1], nullptr};
		std::vector<struct entrychoice_vm> list;
		unsigned int n;

		for (auto &v : vms)
			list.push_back(v.choice);
		n = entrychoice_choose(list.data(), (unsigned)list.size(), leaf_dcs);
		for (size_t i = 0; i < vms.size(); i++)
			vms[i].choice = list[i];
		for (auto &c : callers) {
			if (now_ms < c.asked_ms + c.list_ms)
				continue;
			c.asked_ms = now_ms;
			c.list.clear();
			for (unsigned int i = 0; i < vms.size(); i++)
				if (entrychoice_is_offered(list.data(), (unsigned)list.size(), i,
							   dcs[c.dc]))
					c.list.push_back(i);
		}
		return n;
	}

	/* One period: what callers ask of the VMs, and what these do about it. */
	unsigned int advance(unsigned int *changes)
	{
		unsigned int n = choose();

		for (auto &v : vms)
			v.wanted = 0;
		for (auto &c : callers) {
			double phase = sin(2 * G_PI * (double)now_ms / PERIOD_MS);
			double asked = mean * (1 + (c.dc ? -swing : swing) * phase) /
				       ((double)callers.size() / 2);

			for (unsigned int i : c.list)
				vms[i].wanted += asked / (double)c.list.size();
		}
		now_ms += SAMPLE_MS;
		for (auto &v : vms) {
			struct vmload_sample used = {};

			v.processor_us +=
				(uint64_t)(std::min(v.wanted, (double)v.choice.weight) * SAMPLE_MS);
			used.processor_us = v.processor_us;
			if (!is_fixed && vmload_note(v.load.get(), &used, now_ms)) {
				v.told_ms = now_ms + SPREAD_MS;
				(*changes)++;
			}
			if (now_ms >= v.told_ms)
				v.choice.weight_left = vmload_weight_left(v.load.get());
		}
		return n;
	}

	std::string simulate(uint64_t seconds)
	{
		unsigned int changes = 0;
		unsigned int most_chosen = 0;
		double over_s = 0;
		double worst = 0;
		char text[160];

		for (uint64_t end_ms = now_ms + seconds * 1000; now_ms < end_ms;) {
			most_chosen = std::max(most_chosen, advance(&changes));
			for (auto &v : vms) {
				over_s += v.wanted > v.choice.weight ? SAMPLE_MS / 1000.0 : 0;
				worst = std::max(worst, v.wanted / v.choice.weight);
			}
		}
		g_snprintf(text, sizeof(text),
			   "most used %.0f%%, over its share for %.1f VM-seconds, %u changes, "
			   "at most %u chosen\n",
			   100 * worst, over_s, changes, most_chosen);
		return text;
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "vms") { /* vms WEIGHT N: in each data centre */
			add(0, (uint32_t)std::stoul(w[1]), std::stoi(w[2]));
			add(1, (uint32_t)std::stoul(w[1]), std::stoi(w[2]));
		} else if (w[0] == "callers") { /* callers N: in each data centre */
			for (int i = 0; i < 2 * std::stoi(w[1]); i++) {
				uint64_t list_ms =
					i / 2 % LATE_CALLERS ? LIST_TTL_MS : 3 * LIST_TTL_MS;

				callers.push_back({i % 2, list_ms, 0, {}});
			}
			now_ms = 10000;
		} else if (w[0] == "demand") { /* demand MILLICORES SWING */
			mean = std::stod(w[1]);
			swing = std::stod(w[2]);
		} else if (w[0] == "fixed") { /* the shares stay whole, as before */
			is_fixed = true;
		} else if (w[0] == "lose") { /* lose DC N: chosen VMs */
			int n = std::stoi(w[2]);

			for (auto &v : vms)
				if (v.choice.is_chosen && w[1] == v.choice.dc && n-- > 0)
					v.choice.is_usable = false;
		} else { /* run SECONDS */
			return simulate(std::stoull(w[1]));
		}
		return "";
	}
};

bool registered =
	script_register("vmload", "vmload.test", [] { return std::make_unique<vmload_script>(); });
bool demand_registered =
	script_register("demand", "demand.test", [] { return std::make_unique<demand_script>(); });
} // namespace
