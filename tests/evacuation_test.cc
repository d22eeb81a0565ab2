#include "evacuation.h"
#include "script.h"

namespace
{
struct evacuation_script : script_interpreter {
	struct evacuations *e = evacuations_create();

	~evacuation_script() override
	{
		evacuations_destroy(e);
	}

	std::string list()
	{
		std::string out;

		for (unsigned int i = 0; i < evacuations_count(e); i++) {
			const struct evacuation *item = evacuations_get(e, i);

			out += std::string(item->dc) + " since " + std::to_string(item->since_ms) +
			       " by " + std::to_string(item->revision) + "\n";
		}
		return out;
	}

	std::string end(const char *dc)
	{
		struct evacuation ended = {};
		enum evacuation_change change = evacuations_end(e, dc, &ended);
		std::string out = evacuation_change_name(change);

		if (change == EVACUATION_ENDED)
			out += " after revision " + std::to_string(ended.revision) + " since " +
			       std::to_string(ended.since_ms);
		return out + "\n";
	}

	std::string begin_many(unsigned int n)
	{
		unsigned int counts[4] = {};

		for (unsigned int i = 0; i < n; i++)
			counts[evacuations_begin(e, ("m" + std::to_string(i)).c_str(), i, i)]++;
		return std::to_string(counts[EVACUATION_BEGUN]) + " begun, " +
		       std::to_string(counts[EVACUATION_REFUSED]) + " refused\n";
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "begin-empty")
			return std::string(evacuation_change_name(evacuations_begin(e, "", 1, 1))) +
			       "\n";
		if (w[0] == "begin") /* begin DC REVISION MS */
			return std::string(evacuation_change_name(evacuations_begin(
				       e, w[1].c_str(), std::stoull(w[2]), std::stoull(w[3])))) +
			       "\n";
		if (w[0] == "begin-many")
			return begin_many(std::stoul(w[1]));
		if (w[0] == "end")
			return end(w[1].c_str());
		if (w[0] == "covers")
			return evacuations_cover(e, w[1].c_str()) ? "yes\n" : "no\n";
		if (w[0] == "list")
			return list();
		return std::to_string(evacuations_refused(e)) + "\n"; /* refused */
	}
};

const bool is_registered = script_register("evacuation", "evacuation.test",
					   [] { return std::make_unique<evacuation_script>(); });
} // namespace
