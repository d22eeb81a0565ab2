#include "readers.h"
#include "rendezvous.h"
#include "script.h"

namespace
{
struct readers_script : script_interpreter {
	std::vector<std::string> names;
	std::vector<std::string> dcs;
	size_t self = 0;
	std::vector<bool> lost;

	struct roster *roster_make()
	{
		struct roster *r = roster_create((unsigned)names.size(), 1);

		for (unsigned int i = 0; i < r->n_vms; i++) {
			r->vms[i].name = g_strdup(names[i].c_str());
			r->vms[i].dc = g_strdup(dcs[i].c_str());
			r->vms[i].name_hash = rendezvous_name_hash(names[i].c_str());
			r->vms[i].weight = 500;
			r->vms[i].is_self = i == self;
			r->vms[i].is_available = !lost[i];
		}
		return r;
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] ==
		    "vms") { /* vms N: by turns in three data centres; the first is this VM */
			for (size_t i = 0; i < std::stoul(w[1]); i++) {
				names.push_back("vm" + std::to_string(i));
				dcs.emplace_back(1, (char)('a' + i % 3));
				lost.push_back(false);
			}
			return "";
		}
		if (w[0] == "lose") { /* lose VM */
			lost.at(std::stoul(w[1].substr(2))) = true;
			return "";
		}
		struct roster *roster = roster_make();
		struct readers readers = readers_choose(roster);
		struct readers chosen =
			w[0] == "others" /* others ROUND */
				? readers_others(roster, &readers, (unsigned)std::stoul(w[1]))
				: readers;
		std::string out;

		for (unsigned int i = 0; i < chosen.n; i++)
			out += std::string(out.empty() ? "" : " ") + chosen.vms[i]->name;
		roster_put(roster);
		return (out.empty() ? "none" : out) + "\n";
	}
};

bool registered = script_register("readers", "readers.test",
				  [] { return std::make_unique<readers_script>(); });
} // namespace
