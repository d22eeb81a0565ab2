#include "command.h"
#include "entrylist.h"
#include "script.h"

#include <gtest/gtest.h>

#include <map>

namespace
{
class interpreter : public script_interpreter
{
      public:
	~interpreter() override
	{
		g_rand_free(rand);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "entry") { /* entry NAME DC STATE INCARNATION UPTIME_MS */
			member_entry e{};

			g_strlcpy(e.name, w[1].c_str(), sizeof(e.name));
			g_strlcpy(e.dc, w[2].c_str(), sizeof(e.dc));
			g_strlcpy(e.http, ("http-" + w[1]).c_str(), sizeof(e.http));
			while (w[3] != member_state_name(e.state))
				e.state = (member_state)(e.state + 1);
			e.incarnation = std::stoull(w[4]);
			e.uptime_ms = std::stoull(w[5]);
			entries.push_back(e);
			return "";
		} else if (w[0] == "build") { /* build OWN_DC NOW_MS */
			return build(w[1], std::stoull(w[2]));
		} else if (w[0] ==
			   "first") { /* first OWN_DC LISTS: which VMs share the first place */
			return first(w[1], std::stoi(w[2]));
		}
		return "unknown step\n";
	}

      private:
	std::vector<member_entry> entries;
	GRand *rand = g_rand_new_with_seed(3);

	std::string build(const std::string &dc, uint64_t now_ms)
	{
		entrylist *l =
			entrylist_create(entries.data(), entries.size(), dc.c_str(), now_ms, rand);
		std::string s;
		unsigned int n;
		const entrylist_item *items = entrylist_items(l, &n);
		struct command_id id;

		for (unsigned int i = 0; i < n; i++)
			s += std::string(items[i].name) + " " + items[i].dc + " " + items[i].http +
			     " " + items[i].id_prefix +
			     (command_id_parse(
				      (std::string(items[i].id_prefix) + ".abcdefgh").c_str(), &id)
				      ? "\n"
				      : " malformed prefix\n");
		s += "until " + std::to_string(entrylist_expiry(l)) + "\n";
		entrylist_destroy(l);
		return s;
	}

	std::string first(const std::string &dc, int lists)
	{
		std::map<std::string, int> count;

		for (int i = 0; i < lists; i++) {
			std::string s = build(dc, 0);

			count[s.substr(0, s.find(' '))]++;
		}
		for (auto &c : count)
			if (c.second * (int)count.size() < lists * 8 / 10)
				return c.first + " is first " + std::to_string(c.second) +
				       " times\n";
		return std::to_string(count.size()) + " share the first place\n";
	}
};

bool registered = script_register("entrylist", "entrylist.test",
				  [] { return std::make_unique<interpreter>(); });
} // namespace

/* Guards against a prefix that makes no command id when the incarnation starts with zeros. */
TEST(entrylist, prefix_makes_valid_command_ids)
{
	GRand *rand = g_rand_new_with_seed(1);

	for (uint64_t incarnation : {UINT64_C(1), UINT64_C(0x00f1e2d3c4b5a697), UINT64_MAX}) {
		member_entry e{};
		unsigned int n;
		command_id id;

		e.incarnation = incarnation;
		e.uptime_ms = 81234;
		entrylist *l = entrylist_create(&e, 1, "", 0, rand);
		const entrylist_item *items = entrylist_items(l, &n);
		ASSERT_EQ(n, 1u);
		EXPECT_TRUE(command_id_parse(
			(std::string(items[0].id_prefix) + ".12345678").c_str(), &id));
		EXPECT_EQ(id.incarnation, incarnation);
		EXPECT_EQ(id.issued_ms, 81234u);
		entrylist_destroy(l);
	}
	g_rand_free(rand);
}
