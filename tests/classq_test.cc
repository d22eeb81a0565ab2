#include "classq.h"
#include "script.h"

#include <gtest/gtest.h>
#include <list>

namespace
{
struct test_item {
	struct classq_item item = {};
	std::string name;

	test_item(const std::string &name, unsigned priority, uint64_t deadline_us) : name(name)
	{
		item.priority = priority;
		item.deadline_us = deadline_us;
		item.caller = this->name.c_str();
	}
};

/*
 * Items are CALLER/PRIORITY/DEADLINE_MS; "at N" sets the time in ms; the service time is 4 ms; pop
 * prints callers, waited prints microseconds.
 */
struct classq_script : script_interpreter {
	struct classq *q = nullptr;
	uint64_t now_us = 0;
	std::list<test_item> items;

	~classq_script() override
	{
		classq_destroy(q);
	}

	enum result push(const std::string &text)
	{
		char caller[16];
		unsigned priority = 0, deadline_ms = 0;

		sscanf(text.c_str(), "%15[^/]/%u/%u", caller, &priority, &deadline_ms);
		items.emplace_back(caller, priority, deadline_ms * 1000);
		return classq_push(q, &items.back().item, now_us);
	}

	struct list_head dropped = {&dropped, &dropped};

	std::string run(const std::vector<std::string> &w) override
	{
		std::string text;

		if (w[0] == "create")
			q = classq_create((unsigned)std::stoi(w[1]));
		if (w[0] == "at")
			now_us = std::stoull(w[1]) * 1000;
		for (size_t i = 1; w[0] == "push" && i < w.size(); i++) {
			enum result r = push(w[i]);

			if (r != RESULT_OK)
				text += result_name(r) + std::string("\n");
		}
		for (int k = 0; w[0] == "fill" && k < std::stoi(w[1]); k++)
			for (size_t i = 2; i < w.size(); i++)
				push(w[i]);
		for (int k = 0; w[0] == "pop" && k < std::stoi(w[1]); k++) {
			struct classq_item *item = classq_pop(q, 4000, now_us, &dropped);

			text += std::string(k ? " " : "") + (item ? item->caller : "-");
		}
		if (w[0] == "dropped") {
			classq_take_displaced(q, &dropped);
			while (struct list_head *node = list_pop_head(&dropped))
				text += std::string(text.empty() ? "" : " ") +
					list_entry(node, struct classq_item, node)->caller;
		}
		for (auto it = items.rbegin(); w[0] == "remove" && it != items.rend(); ++it) {
			if (it->name != w[1])
				continue;
			classq_remove(q, &it->item);
			classq_remove(q, &it->item);
			it->name[0] = '?'; /* stands for a free: a later use of the name fails */
			break;
		}
		if (w[0] == "waited")
			text = std::to_string(classq_waited_us(q, now_us));
		if (w[0] == "count")
			text = std::to_string(classq_count(q));
		return text.empty() || text.back() == '\n' ? text : text + "\n";
	}
};

bool registered =
	script_register("classq", "classq.test", [] { return std::make_unique<classq_script>(); });
} // namespace

/*
 * Guards against an item that is lost or returned twice, and against a lower class that is not
 * served while a higher class keeps the queue full.
 */
TEST(classq, overload_conserves_items)
{
	GRand *rand = g_rand_new_with_seed(1);
	struct classq *q = classq_create(32);
	struct list_head dropped;
	std::list<test_item> items;
	int queued = 0, dropped_count = 0, popped = 0, served[CLASSQ_CLASSES] = {};

	list_init(&dropped);
	for (uint64_t now = 0; now < 20000; now++) {
		for (int i = 0; i < 3; i++) {
			items.emplace_back("c" + std::to_string(g_rand_int_range(rand, 0, 9)),
					   g_rand_int_range(rand, 0, 4) ? 0 : i * 3, now + 40);
			queued += classq_push(q, &items.back().item, now) == RESULT_OK;
		}
		struct classq_item *item = classq_pop(q, 1, now, &dropped);
		ASSERT_NE(item, nullptr);
		EXPECT_LE(now + 1, item->deadline_us);
		served[item->priority]++;
		popped++;
		while (list_pop_head(&dropped))
			dropped_count++;
		EXPECT_LE(classq_count(q), 32U);
	}
	EXPECT_EQ(queued, popped + dropped_count + (int)classq_count(q));
	EXPECT_GT(served[0], 16000);
	EXPECT_GT(served[3], 800);
	EXPECT_GT(served[6], 800);
	classq_destroy(q);
	g_rand_free(rand);
}
