#include "leafset.h"
#include "script.h"

namespace
{
/* The step "@N" sets the time in milliseconds. The leaves are in the data centre of this VM. */
struct leafload_script : script_interpreter {
	struct leafset *s = leafset_create("a");
	GRand *rand = g_rand_new_with_seed(1);
	uint64_t now_us = 0;

	~leafload_script() override
	{
		leafset_destroy(s);
		g_rand_free(rand);
	}

	void says(struct leaf *l, const std::vector<std::string> &w, size_t i)
	{
		struct leaf_signals signals = {};

		signals.is_load_malformed = w[i] == "malformed";
		signals.has_load = !signals.is_load_malformed;
		if (signals.has_load)
			signals.load = {(unsigned)std::stoul(w[i]), (unsigned)std::stoul(w[i + 1]),
					(unsigned)std::stoul(w[i + 2]),
					(unsigned)std::stoul(w[i + 3])};
		leaf_signals_apply(l, &signals, 1, rand, now_us);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		struct leaf *l = w.size() > 1 ? leafset_find(s, w[1].c_str()) : nullptr;

		if (w[0][0] == '@') {
			now_us = std::stoull(w[0].substr(1)) * 1000;
		} else if (w[0] == "leaf") { /* leaf ID SLOTS */
			struct leaf_report report = {};

			report.service = const_cast<char *>("s");
			report.address = const_cast<char *>("127.0.0.1:1");
			report.dc = const_cast<char *>("a");
			report.slots = (unsigned)std::stoul(w[2]);
			leafset_update(s, w[1].c_str(), &report, now_us, nullptr);
		} else if (w[0] == "answer") {
			/* answer ID LATENCY_MS TIMES [malformed | RUNNING WAITING SLOTS WORK_PCT]
			 */
			for (int i = 0; i < std::stoi(w[3]); i++) {
				leaf_call_started(l, now_us);
				if (w.size() > 4)
					says(l, w, 4);
				leaf_call_ended(l, LEAF_END_ANSWERED, std::stoull(w[2]) * 1000,
						now_us);
			}
		} else if (w[0] == "start" || w[0] == "end") { /* start|end ID: a call */
			if (w[0] == "start")
				leaf_call_started(l, now_us);
			else
				leaf_call_ended(l, LEAF_END_CANCELLED, 0, now_us);
		} else if (w[0] == "choose") {
			return std::string(
				       leafset_choose(s, "s", nullptr, nullptr, 0, now_us)->id) +
			       "\n";
		} else if (w[0] == "cost") { /* cost ID */
			return std::to_string((int)(leaf_cost_us(l, "a", now_us) / 1000 + 0.5)) +
			       " ms\n";
		} else {
			return "?\n";
		}
		return "";
	}
};

bool registered = script_register("leafload", "leafload.test",
				  [] { return std::make_unique<leafload_script>(); });
} // namespace
