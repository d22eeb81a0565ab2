#include "script.h"
#include "snapshot.h"

#include <sstream>

namespace
{
/* Times are in milliseconds; those of the step "restart" have any unit. */
struct snapshot_script : script_interpreter {
	struct snapshot_table *table = snapshot_table_create();

	~snapshot_script() override
	{
		snapshot_table_destroy(table);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		uint64_t now_us = std::stoull(w.back()) * 1000;
		std::vector<uint64_t> numbers;
		std::vector<const char *> groups;

		if (w[0] == "prune")
			snapshot_table_prune(table, now_us);
		if (w[0] == "report") {
			std::istringstream in(w[2]);
			std::string number;

			while (w[2] != "none" && std::getline(in, number, ','))
				numbers.push_back(std::stoull(number));
			snapshot_table_report(table, w[1].c_str(), numbers.data(),
					      (unsigned)numbers.size(), now_us);
		}
		if (w[0] == "pick") {
			for (size_t i = 1; w[i] != "fallback"; i++)
				groups.push_back(w[i].c_str());
			return std::to_string(snapshot_table_version_pick(
				       table, groups.data(), (unsigned)groups.size(),
				       std::stoull(w[w.size() - 3]), now_us)) +
			       "\n";
		}
		if (w[0] == "restart") {
			for (size_t i = 1; i < w.size(); i++)
				numbers.push_back(std::stoull(w[i]));
			return snapshot_should_restart(numbers[0], numbers[1], (unsigned)numbers[2],
						       numbers[3], numbers[4], (unsigned)numbers[5])
				       ? "1\n"
				       : "0\n";
		}
		return "";
	}
};

bool registered = script_register("snapshot", "snapshot.test",
				  [] { return std::make_unique<snapshot_script>(); });
} // namespace
