#include "rendezvous.h"
#include "script.h"

#include <cstdlib>

namespace
{
class interpreter : public script_interpreter
{
      public:
	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "nodes") {
			nodes_set({w.begin() + 1, w.end()});
		} else if (w[0] == "pick") {
			auto p = pick(w[1]);
			return p.first + " " + p.second + "\n";
		} else if (w[0] == "removal") {
			return removal(std::stoi(w[1]), std::stoi(w[2]));
		} else if (w[0] == "spread") {
			return spread(std::stoi(w[1]), std::stoi(w[2]));
		} else {
			return "unknown step\n";
		}
		return "";
	}

      private:
	std::vector<std::string> names;
	std::vector<rendezvous_node> nodes;

	void nodes_set(const std::vector<std::string> &list)
	{
		names = list;
		nodes.clear();
		for (auto &n : names) {
			bool preferred = n.back() == '*';

			if (preferred)
				n.pop_back();
			nodes.push_back({rendezvous_name_hash(n.c_str()), preferred});
		}
	}

	std::pair<std::string, std::string> pick(const std::string &key)
	{
		int a, b;

		rendezvous_pick(key.c_str(), nodes.data(), nodes.size(), &a, &b);
		return {a < 0 ? "-" : names[a], b < 0 ? "-" : names[b]};
	}

	std::string removal(int n, int keys)
	{
		std::vector<std::string> all, rest;
		std::vector<std::pair<std::string, std::string>> before;
		int moved = 0, not_promoted = 0;

		for (int i = 0; i < n; i++)
			all.push_back("vm-" + std::to_string(i));
		rest = all;
		rest.erase(rest.begin() + n / 2);
		nodes_set(all);
		for (int k = 0; k < keys; k++)
			before.push_back(pick("group-" + std::to_string(k)));
		nodes_set(rest);
		for (int k = 0; k < keys; k++) {
			auto now = pick("group-" + std::to_string(k)).first;

			if (before[k].first == all[n / 2])
				not_promoted += now != before[k].second;
			else
				moved += now != before[k].first;
		}
		return "moved without need: " + std::to_string(moved) +
		       "\nstandby not promoted: " + std::to_string(not_promoted) + "\n";
	}

	std::string spread(int n, int keys)
	{
		std::vector<std::string> all;
		std::vector<int> count(n);
		int a, b;

		for (int i = 0; i < n; i++)
			all.push_back("vm-" + std::to_string(i));
		nodes_set(all);
		for (int k = 0; k < keys; k++) {
			rendezvous_pick(("group-" + std::to_string(k)).c_str(), nodes.data(), n, &a,
					&b);
			count[a]++;
		}
		for (int c : count)
			if (std::abs(c - keys / n) > keys / n * 15 / 100)
				return "a node holds " + std::to_string(c) + "\n";
		return "within 15% of the mean\n";
	}
};

bool registered = script_register("rendezvous", "rendezvous.test",
				  [] { return std::make_unique<interpreter>(); });
} // namespace
