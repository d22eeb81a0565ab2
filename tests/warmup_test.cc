#include "leafset.h"
#include "script.h"
#include "vmshare.h"
#include "warmup.h"

#include <algorithm>
#include <deque>

namespace
{
#define STEP_US 10000
#define SPAN_US 1000000
/* The most that a cold leaf may get in a second: OVERAGE times what it takes, and SLACK calls. */
#define OVERAGE 1.5
#define SLACK 5
/* Taken for the rate of a leaf without a limit when the bound is computed. */
#define BOUND_PER_S 10

/* VMs that each have their own view of one leaf. Each sends at most one call in a step. */
struct warmup_script : script_interpreter {
	struct vm {
		struct leafset *leaves = leafset_create("a");
		struct leaf *leaf = nullptr;
		struct warmups *warmups = nullptr;
		struct vmshare share = {};
		bool is_entry = false;
		bool is_cut_off = false; /* hears of no other VM any more */
	};
	std::vector<std::unique_ptr<vm>> vms;
	GRand *rand = g_rand_new_with_seed(1);
	uint64_t now_us = 20000000;
	double limit_per_s = 0;
	double load_per_s = 0; /* of each entry VM */
	std::string changes;

	~warmup_script() override
	{
		for (auto &v : vms) {
			warmups_destroy(v->warmups);
			leafset_destroy(v->leaves);
		}
		g_rand_free(rand);
	}

	static void changed(void *arg, const struct leaf *leaf, bool is_cold)
	{
		auto *script = static_cast<warmup_script *>(arg);

		if (leaf == script->vms[0]->leaf)
			script->changes = is_cold ? "changed: cold\n" : "changed: warm\n";
	}

	void shares_set()
	{
		unsigned int n_entries = 0;

		for (auto &v : vms)
			n_entries += v->is_entry;
		for (auto &v : vms)
			if (!v->is_cut_off)
				vmshare_set(&v->share, n_entries, (unsigned)vms.size(), v->is_entry,
					    now_us);
	}

	void add(unsigned int n, bool is_entry)
	{
		static const struct warmup_ops ops = {.changed = changed};

		for (unsigned int i = 0; i < n; i++) {
			auto v = std::make_unique<vm>();
			struct leaf_report report = {};

			report.service = const_cast<char *>("s");
			report.address = const_cast<char *>("127.0.0.1:1");
			report.dc = const_cast<char *>("a");
			report.slots = 2;
			leafset_update(v->leaves, "l", &report, now_us, &v->leaf);
			v->leaf->warmup_calls_per_s = limit_per_s;
			v->warmups = warmups_create(&ops, this);
			v->is_entry = is_entry;
			vmshare_init(&v->share, now_us - 15000000);
			vms.push_back(std::move(v));
		}
		shares_set();
	}

	void cold(unsigned int ms)
	{
		for (auto &v : vms) {
			v->leaf->warmup_calls_per_s = limit_per_s;
			leaf_warmup_set(v->leaf, ms, now_us);
			warmups_note(v->warmups, v->leaf, vmshare_get(&v->share, now_us), rand,
				     now_us);
		}
	}

	std::string simulate(uint64_t seconds)
	{
		uint64_t end_us = now_us + seconds * 1000000;
		std::deque<uint64_t> span;
		size_t most = 0;
		double bound = (limit_per_s > 0 ? limit_per_s : BOUND_PER_S) * OVERAGE + SLACK;
		bool is_cold =
			vms[0]->leaf->warmup_until_us > now_us && vms[0]->leaf->state != LEAF_GONE;
		char text[128];

		for (; now_us < end_us; now_us += STEP_US) {
			for (auto &v : vms) {
				warmups_advance(v->warmups, vmshare_get(&v->share, now_us), rand,
						now_us);
				if (!v->is_entry ||
				    g_rand_double(rand) >= load_per_s * STEP_US / 1e6 ||
				    leaf_limit_wait_us(v->leaf, 0, now_us) > 0)
					continue;
				leaf_limit_take(v->leaf, now_us);
				span.push_back(now_us);
			}
			while (!span.empty() && span.front() + SPAN_US <= now_us)
				span.pop_front();
			most = std::max(most, span.size());
		}
		g_snprintf(text, sizeof(text), "most in 1 s %zu (bound %.0f): %s\n", most, bound,
			   (double)most <= bound ? "kept" : "BROKEN");
		return is_cold ? text : "";
	}

	std::string step(const std::vector<std::string> &w)
	{
		if (w[0] == "vms") { /* vms N_ENTRIES N_OTHERS */
			add((unsigned)std::stoul(w[1]), true);
			add((unsigned)std::stoul(w[2]), false);
		} else if (w[0] == "limit") { /* limit PER_S */
			limit_per_s = std::stod(w[1]);
		} else if (w[0] == "load") { /* load PER_S: of each entry VM */
			load_per_s = std::stod(w[1]);
		} else if (w[0] == "cold") { /* cold MS */
			cold((unsigned)std::stoul(w[1]));
		} else if (w[0] == "join") { /* join N: further entry VMs */
			uint64_t until_us = vms[0]->leaf->warmup_until_us;

			add((unsigned)std::stoul(w[1]), true);
			cold((unsigned)((until_us - now_us) / 1000));
		} else if (w[0] == "cut") { /* cut N: the first VMs hear of no other any more */
			for (unsigned int i = 0; i < std::stoul(w[1]); i++)
				vms[i]->is_cut_off = true;
			shares_set();
		} else if (w[0] == "gone") {
			leafset_remove(vms[0]->leaves, "l");
		} else if (w[0] == "run") { /* run SECONDS */
			return simulate(std::stoull(w[1]));
		} else if (w[0] == "wait") {
			return std::to_string(leaf_limit_wait_us(vms[0]->leaf, 0, now_us) / 1000) +
			       " ms\n";
		} else { /* count */
			return std::to_string(warmups_count(vms[0]->warmups)) + "\n";
		}
		return "";
	}

	std::string run(const std::vector<std::string> &w) override
	{
		std::string out = step(w);
		std::string change = std::move(changes);

		changes.clear();
		return change + out;
	}
};

bool registered =
	script_register("warmup", "warmup.test", [] { return std::make_unique<warmup_script>(); });
} // namespace
