#include "entrychoice.h"
#include "rendezvous.h"
#include "script.h"

#include <map>

namespace
{
struct entrychoice_script : script_interpreter {
	std::vector<struct entrychoice_vm> vms;
	std::vector<std::string> names;
	std::vector<char *> leaf_dcs;

	~entrychoice_script() override
	{
		for (auto &vm : vms)
			g_free(const_cast<char *>(vm.dc));
		for (char *dc : leaf_dcs)
			g_free(dc);
	}

	void add(const std::vector<std::string> &w) /* vms DC WEIGHT N */
	{
		for (int i = 0; i < std::stoi(w[3]); i++) {
			std::string name = w[1] + "-" + std::to_string(names.size());

			names.push_back(name);
			vms.push_back({g_strdup(w[1].c_str()), rendezvous_name_hash(name.c_str()),
				       (uint32_t)std::stoul(w[2]), (uint32_t)std::stoul(w[2]), true,
				       false});
		}
	}

	void lose(const std::string &dc, int n)
	{
		for (auto &vm : vms)
			if (n > 0 && vm.dc == dc && vm.is_usable) {
				vm.is_usable = false;
				n--;
			}
	}

	/* n VMs of the data centre, first those chosen, have 1/divisor left. */
	void shorten(const std::string &dc, int n, uint32_t divisor)
	{
		for (bool is_chosen : {true, false})
			for (auto &vm : vms)
				if (vm.dc == dc && vm.is_chosen == is_chosen && n-- > 0)
					vm.weight_left = vm.weight / divisor;
	}

	/* Counts of the offered VMs by data centre and weight. */
	std::string offered(const char *dc)
	{
		std::map<std::string, int> counts;
		std::string out;

		for (unsigned int i = 0; i < vms.size(); i++)
			if (entrychoice_is_offered(vms.data(), vms.size(), i, dc))
				counts[std::string(vms[i].dc) + ":" +
				       std::to_string(vms[i].weight)]++;
		for (const auto &c : counts)
			out += c.first + "x" + std::to_string(c.second) + " ";
		return out + "\n";
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "vms")
			add(w);
		if (w[0] == "leaf-dcs")
			for (size_t i = 1; i < w.size(); i++)
				leaf_dcs.push_back(g_strdup(w[i].c_str()));
		if (w[0] == "short") /* short DC N DIVISOR */
			shorten(w[1], std::stoi(w[2]), (uint32_t)std::stoul(w[3]));
		if (w[0] == "lose") /* lose DC N */
			lose(w[1], std::stoi(w[2]));
		if (w[0] == "offered") { /* offered [DC]: VMs that a caller of DC is told of */
			std::vector<char *> list = leaf_dcs;

			list.push_back(nullptr);
			entrychoice_choose(vms.data(), vms.size(), list.data());
			return offered(w.size() > 1 ? w[1].c_str() : "");
		}
		return "";
	}
};

bool registered = script_register("entrychoice", "entrychoice.test",
				  [] { return std::make_unique<entrychoice_script>(); });
} // namespace
