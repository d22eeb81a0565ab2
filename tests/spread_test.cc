#include "leafset.h"
#include "script.h"
#include "settings.h"

#include "../bench/common/spreadmodel.h"

#include <gtest/gtest.h>

#include <map>
#include <string.h>

namespace
{
#define DRAWS 1000

/* The measure of load of one service, and its choices among leaves; the VM is in "a". */
struct spread_script : script_interpreter {
	struct leafset *s = leafset_create("a");
	GRand *rand = g_rand_new_with_seed(1);
	uint64_t now_us = 1000000;
	std::string changes;
	struct region_table *table = nullptr;
	GPtrArray *regions = nullptr; /* of the route that makes the choices */

	spread_script()
	{
		static const struct leafset_spread_ops ops = {.changed = changed};

		leafset_spread_enable(s, rand, &ops, this);
	}

	~spread_script() override
	{
		leafset_destroy(s);
		region_table_destroy(table);
		if (regions)
			g_ptr_array_free(regions, TRUE);
		g_rand_free(rand);
	}

	static void changed(void *arg, const char *service, const struct spread *spread)
	{
		static_cast<spread_script *>(arg)->changes =
			spread->is_in_force ? "changed: begun\n" : "changed: ended\n";
	}

	/* leaf ID DC */
	void add(const std::vector<std::string> &w)
	{
		struct leaf_report report = {};

		report.service = const_cast<char *>("s");
		report.address = const_cast<char *>("127.0.0.1:1");
		report.dc = const_cast<char *>(w[2].c_str());
		report.slots = 4;
		leafset_update(s, w[1].c_str(), &report, now_us, nullptr);
	}

	/* windows N ID=CALLS_AT_THE_LEAF...: in each of N windows these leaves tell this */
	void windows(const std::vector<std::string> &w)
	{
		for (int n = 0; n < std::stoi(w[1]); n++) {
			for (size_t i = 2; i < w.size(); i++) {
				size_t at = w[i].find('=');
				struct leaf *l = leafset_find(s, w[i].substr(0, at).c_str());
				unsigned int calls = (unsigned)std::stoul(w[i].substr(at + 1));
				struct leaf_signals signals = {};

				signals.has_load = true;
				signals.load = {MIN(calls, 4), calls > 4 ? calls - 4 : 0, 4, 100};
				leaf_call_started(l, now_us);
				leaf_signals_apply(l, &signals, 1, rand, now_us);
				leaf_call_ended(l, LEAF_END_ANSWERED, 20000, now_us);
			}
			now_us += SPREAD_WINDOW_US;
			leafset_spread_advance(s, now_us);
		}
	}

	void restrict_to(const char *list, const char *region)
	{
		table = region_table_parse(list, nullptr);
		g_ptr_array_free(leafset_regions_set(s, table), TRUE);
		regions = g_ptr_array_new_with_free_func(g_free);
		g_ptr_array_add(regions, g_strdup(region));
	}

	/* Each leaf with its share of the choices, in tenths. */
	std::string shares(struct leaf *(*choose)(const struct leafset *, const char *,
						  const GPtrArray *, struct leaf *const *,
						  unsigned int, uint64_t))
	{
		std::map<std::string, int> counts;
		std::string out;

		for (int i = 0; i < DRAWS; i++)
			counts[choose(s, "s", regions, nullptr, 0, now_us)->id]++;
		for (auto &[id, n] : counts)
			out += (out.empty() ? "" : " ") + id + ":" +
			       std::to_string((n * 10 + DRAWS / 2) / DRAWS);
		return out + "\n";
	}

	/* uneven ID: the unevenness by which a choice of the leaf is explained */
	std::string uneven(const struct leaf *l) const
	{
		double measured = leafset_spread_uneven(s, l, now_us);

		if (measured <= 0)
			return "none\n";
		EXPECT_EQ(measured, leafset_spread(s, "s")->load_uneven);
		return measured >= 1.5 ? "1.5 or more\n" : "less\n";
	}

	/* be ID WHAT */
	void be(struct leaf *l, const std::string &what)
	{
		struct leaf_signals signals = {};

		if (what == "quarantined") {
			leaf_call_started(l, now_us);
			leaf_call_ended(l, LEAF_END_SILENT, 0, now_us);
		} else if (what == "evacuated") {
			l->is_evacuated = true;
		} else if (what == "cold") {
			leaf_warmup_set(l, 60000, now_us);
		} else if (what == "slow") {
			for (int i = 0; i < 40; i++) {
				leaf_call_started(l, now_us);
				leaf_call_ended(l, LEAF_END_ANSWERED, 160000, now_us + i * 200000);
			}
		} else {
			signals.has_limit = what == "limited";
			signals.limit_per_s = 1;
			signals.pause_s = what == "paused" ? 60 : 0;
			leaf_signals_apply(l, &signals, 1, rand, now_us);
			for (int i = 0; i < 10 && signals.has_limit; i++)
				leaf_limit_take(l, now_us);
		}
	}

	void take(struct leaf *l, uint64_t ms) const
	{
		for (int i = 0; i < 20; i++) {
			leaf_call_started(l, now_us);
			leaf_call_ended(l, LEAF_END_ANSWERED, ms * 1000, now_us);
		}
	}

	/* model RULE CASE VMS AGE_MS LOAD_PCT RATIO P99_MS: whether the run stays within both */
	static std::string model(const std::vector<std::string> &w)
	{
		static const std::map<std::string, enum spreadmodel_rule> rules = {
#define X(symbol, name, explanation) {name, SPREADMODEL_##symbol},
			SPREADMODEL_RULE_LIST(X)
#undef X
		};
		static const std::map<std::string, enum spreadmodel_case> cases = {
#define X(symbol, name) {name, SPREADMODEL_##symbol},
			SPREADMODEL_CASE_LIST(X)
#undef X
		};
		struct spreadmodel_settings settings = {rules.at(w[1]),
							cases.at(w[2]),
							(unsigned)std::stoul(w[3]),
							(unsigned)std::stoul(w[4]),
							(unsigned)std::stoul(w[5]),
							20,
							1};
		struct spreadmodel_result r = spreadmodel_run(&settings);

		return std::string("greatest over mean ") +
		       (r.greatest_over_mean <= std::stod(w[6]) ? "kept" : "BROKEN") + ", p99 " +
		       (r.p99_ms <= std::stod(w[7]) ? "kept" : "BROKEN") + "\n";
	}

	std::string step(const std::vector<std::string> &w)
	{
		if (w[0] == "leaf")
			add(w);
		else if (w[0] == "windows")
			windows(w);
		else if (w[0] == "be")
			be(leafset_find(s, w[1].c_str()), w[2]);
		else if (w[0] == "choose")
			return shares(leafset_choose);
		else if (w[0] == "draw")
			leafset_draw_enable(s, rand);
		else if (w[0] == "take") /* take ID MS: an answer after this time */
			take(leafset_find(s, w[1].c_str()), std::stoull(w[2]));
		else if (w[0] == "open") /* open ID: a call that is not answered */
			leaf_call_started(leafset_find(s, w[1].c_str()), now_us);
		else if (w[0] == "restrict") /* restrict DC_REGIONS REGION */
			restrict_to(w[1].c_str(), w[2].c_str());
		else if (w[0] == "uneven")
			return uneven(leafset_find(s, w[1].c_str()));
		else if (w[0] == "hedge")
			return shares(leafset_choose_healthy);
		else if (w[0] == "model")
			return model(w);
		else
			return "?\n";
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
	script_register("spread", "spread.test", [] { return std::make_unique<spread_script>(); });

/* Guards against a setting that is ignored, or misspelt without notice. */
TEST(spread_setting, is_auto_or_off)
{
	for (const char *text : {"auto", "off", "on"}) {
		std::string flag = std::string("--spread=") + text;
		std::vector<const char *> args = {
			"apricotd",	      "--name=n",	   "--dc=a",
			"--http=127.0.0.1:1", "--rpc=127.0.0.1:2", "--platform=127.0.0.1:3",
			flag.c_str()};
		g_autoptr(GError) error = nullptr;
		struct settings *settings =
			settings_create((int)args.size(), const_cast<char **>(args.data()), &error);

		EXPECT_EQ(settings != nullptr, strcmp(text, "on") != 0) << text;
		EXPECT_EQ(settings && settings_has_spread(settings), strcmp(text, "auto") == 0);
		settings_destroy(settings);
	}
}
} // namespace
