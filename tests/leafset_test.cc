#include "leafset.h"
#include "script.h"

#include <map>

namespace
{
const std::map<std::string, enum leaf_end> ends = {
#define X(symbol, name) {name, LEAF_END_##symbol},
	LEAF_END_LIST(X)
#undef X
};

/* The step "@N" sets the time in milliseconds. The data centre of this VM is "a". */
struct leafset_script : script_interpreter {
	struct leafset *s = leafset_create("a");
	struct region_table *table = nullptr;
	/* For choices and waits: the regions of the route, or NULL. */
	GPtrArray *regions = nullptr;
	std::vector<struct leaf *> calls;
	uint64_t now_us = 0;
	GRand *rand = g_rand_new_with_seed(1);

	~leafset_script() override
	{
		g_rand_free(rand);
		for (struct leaf *l : calls) {
			leaf_call_ended(l, LEAF_END_CANCELLED, 0, now_us);
			leaf_put(l);
		}
		leafset_destroy(s);
		region_table_destroy(table);
		if (regions)
			g_ptr_array_free(regions, TRUE);
	}

	/* update ID SERVICE ADDRESS DC STATE SLOTS WARMUP_MS START_MS */
	std::string update(const std::vector<std::string> &w)
	{
		static const char *const changes[] = {"unchanged", "added", "updated", "restarted"};
		struct leaf_report report = {};

		report.service = const_cast<char *>(w[2].c_str());
		report.address = const_cast<char *>(w[3].c_str());
		report.dc = const_cast<char *>(w[4].c_str());
		report.state = w[5] == "ready" ? LEAF_READY : LEAF_DRAINING;
		report.slots = std::stoul(w[6]);
		report.warmup_ms = std::stoul(w[7]);
		report.process_start_ms = std::stoull(w[8]);
		return std::string(
			       changes[leafset_update(s, w[1].c_str(), &report, now_us, nullptr)]) +
		       "\n";
	}

	std::string regions_set(const char *list)
	{
		struct region_table *read = region_table_parse(list, nullptr);
		GPtrArray *changed = leafset_regions_set(s, read);
		std::string n = std::to_string(changed->len);

		g_ptr_array_free(changed, TRUE);
		region_table_destroy(table);
		table = read;
		return n + " leaves\n";
	}

	std::string route(const std::vector<std::string> &w)
	{
		if (regions)
			g_ptr_array_free(regions, TRUE);
		regions = nullptr;
		if (w.size() > 1 && w[1] == "everywhere")
			return "";
		regions = g_ptr_array_new_with_free_func(g_free);
		for (size_t i = 1; i < w.size(); i++)
			g_ptr_array_add(regions, g_strdup(w[i].c_str()));
		return "";
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0][0] == '@') {
			now_us = std::stoull(w[0].substr(1)) * 1000;
			return "";
		}
		if (w[0] == "update")
			return update(w);
		if (w[0] == "remove")
			return leafset_remove(s, w[1].c_str()) ? "removed\n" : "unknown\n";
		if (w[0] == "choose" ||
		    w[0] == "choose_healthy") { /* choose|choose_healthy SERVICE [TRIED_ID] */
			struct leaf *tried = w.size() > 2 ? leafset_find(s, w[2].c_str()) : nullptr;
			auto choose =
				w[0] == "choose_healthy" ? leafset_choose_healthy : leafset_choose;
			struct leaf *l =
				choose(s, w[1].c_str(), regions, &tried, tried ? 1 : 0, now_us);

			return std::string(l ? l->id : "none") + "\n";
		}
		if (w[0] == "dc_regions") /* dc_regions LIST */
			return regions_set(w[1].c_str());
		if (w[0] == "route") /* route everywhere|REGION... */
			return route(w);
		if (w[0] == "barred") { /* barred SERVICE: a leaf that only the regions bar */
			struct leaf *l = leafset_barred_find(s, w[1].c_str(), regions, now_us);

			return std::string(l ? l->id : "none") + "\n";
		}
		if (w[0] == "evacuate" || w[0] == "restore") { /* evacuate|restore DC */
			GPtrArray *leaves = leafset_list(s, w[1].c_str());
			std::string n = std::to_string(leaves->len);

			for (guint i = 0; i < leaves->len; i++)
				static_cast<struct leaf *>(g_ptr_array_index(leaves, i))
					->is_evacuated = w[0] == "evacuate";

			g_ptr_array_free(leaves, TRUE);
			return n + " leaves\n";
		}
		if (w[0] == "major") {
			char **dcs = leafset_major_dcs(s);
			g_autofree char *text = g_strjoinv(" ", dcs);

			g_strfreev(dcs);
			return std::string(text) + "\n";
		}
		if (w[0] == "start") { /* start ID: a call that stays open */
			struct leaf *l = leaf_get(leafset_find(s, w[1].c_str()));

			leaf_call_started(l, now_us);
			calls.push_back(l);
			return "";
		}
		if (w[0] == "call") { /* call ID END LATENCY_MS TIMES */
			struct leaf *l = leafset_find(s, w[1].c_str());

			for (int i = 0; i < std::stoi(w[4]); i++) {
				leaf_call_started(l, now_us);
				leaf_call_ended(l, ends.at(w[2]), std::stoull(w[3]) * 1000, now_us);
			}
			return "";
		}
		if (w[0] == "says") { /* says ID [limit PER_S] [leaving] [pause S]: in an answer */
			struct leaf_signals signals = {};

			for (size_t i = 2; i < w.size(); i++) {
				if (w[i] == "leaving") {
					signals.is_leaving = true;
				} else if (w[i] == "pause") {
					signals.pause_s = std::stod(w[++i]);
				} else if (w[i] == "limit") {
					signals.has_limit = true;
					signals.limit_per_s = std::stod(w[++i]);
				}
			}
			leaf_signals_apply(leafset_find(s, w[1].c_str()), &signals, 1, rand,
					   now_us);
			return "";
		}
		if (w[0] == "sent") { /* sent ID: a call */
			ratecap_take(&leafset_find(s, w[1].c_str())->ratecap, now_us);
			return "";
		}
		if (w[0] == "wait") { /* wait SERVICE: ms until a leaf of it may be called */
			uint64_t wait_us = 0;

			return leafset_wait_us(s, w[1].c_str(), regions, now_us, &wait_us)
				       ? std::to_string(wait_us / 1000) + "\n"
				       : "none\n";
		}
		if (w[0] == "major_dcs") {
			g_auto(GStrv) dcs = leafset_major_dcs(s);
			g_autofree char *text = g_strjoinv(" ", dcs);

			return std::string(text) + "\n";
		}
		return "?\n";
	}
};

bool registered = script_register("leafset", "leafset.test",
				  [] { return std::make_unique<leafset_script>(); });
} // namespace
