#include "member_net.h"
#include "script.h"

#include <gtest/gtest.h>
#include <random>
#include <set>

namespace
{
/* net N SEED starts a network. The other steps act on it or on the table of vm-0. */
class interpreter : public script_interpreter
{
      public:
	std::string run(const std::vector<std::string> &w) override
	{
		auto num = [&](size_t i) { return std::stoi(w.at(i)); };
		auto node = [&](size_t i) -> member_net::node & { return *net->nodes.at(num(i)); };

		if (w[0] == "net") {
			net = std::make_unique<member_net>(num(1), num(2));
		} else if (w[0] == "loss") {
			net->loss_pct = num(1);
		} else if (w[0] == "run") {
			net->run(num(1));
		} else if (w[0] == "kill") {
			net->stop(node(1));
		} else if (w[0] == "restart") {
			if (node(1).table)
				net->stop(node(1));
			net->start(node(1));
			net->seed_list(node(1));
		} else if (w[0] == "pause") {
			node(1).paused_until_ms = net->now_ms + num(2);
		} else if (w[0] == "cut") { /* cut FIRST LAST SIDE */
			for (int i = num(1); i <= num(2); i++)
				net->nodes[i]->side = num(3);
		} else if (w[0] == "twin") { /* twin I: a process of VM I's name elsewhere */
			net->add_twin(num(1));
		} else if (w[0] == "superseded") {
			return member_table_is_superseded(node(1).table) ? "yes\n" : "no\n";
		} else if (w[0] == "living") { /* living I: processes of its name that stay */
			return std::to_string(net->staying(node(1).self.name).size()) + "\n";
		} else if (w[0] == "cut-pair") {
			net->cut_a = num(1);
			net->cut_b = num(2);
		} else if (w[0] == "leave") {
			member_table_leave(node(1).table);
		} else if (w[0] == "churn") { /* churn ROUNDS: half of the VMs fail together */
			size_t half = net->nodes.size() / 2;

			for (int round = 0; round < num(1); round++) {
				for (size_t i = half; i < net->nodes.size(); i++)
					net->stop(*net->nodes[i]);
				net->run(15000);
				for (size_t i = half; i < net->nodes.size(); i++) {
					net->start(*net->nodes[i]);
					net->seed_list(*net->nodes[i]);
				}
				net->run(15000);
			}
		} else if (w[0] == "weigh") { /* weigh I WEIGHT */
			member_table_set_weight(node(1).table, (uint32_t)num(2));
		} else if (w[0] == "until-weight") { /* until-weight I WEIGHT MS: everywhere */
			return until_weight(node(1), (uint32_t)num(2), num(3));
		} else if (w[0] == "roster-version") { /* of vm-0, since the last such step */
			uint64_t before = version;

			version = member_table_version(first());
			return version > before ? "new\n" : "same\n";
		} else if (w[0] == "join") {
			return join();
		} else if (w[0] == "until") { /* until I STATE MS: in every other table */
			return until(num(1), w[2], num(3));
		} else if (w[0] ==
			   "named") { /* named I SECONDS: times that a table has VM I as live */
			return std::to_string(named(node(1), num(2))) + "\n";
		} else if (w[0] == "until-complete") { /* MS: every table has all VMs */
			return until_complete(num(1));
		} else if (w[0] == "false-removals") { /* removals of VMs whose process was up */
			return std::to_string(net->false_removals) + "\n";
		} else if (w[0] == "suspected") {
			uint64_t n = 0;

			for (auto &v : net->nodes)
				n += v->table ? member_table_stats(v->table)->suspected : 0;
			return n ? "some\n" : "none\n";
		} else if (w[0] == "traffic") { /* traffic MS MAX: messages per VM and second */
			uint64_t before = net->messages, n;

			net->run(num(1));
			n = (net->messages - before) * 1000 / num(1) / net->nodes.size();
			return n > (uint64_t)num(2) ? std::to_string(n) + "\n" : "bounded\n";
		} else if (w[0] ==
			   "receive") { /* receive I INCARNATION GENERATION SEQUENCE STATE */
			return receive(w);
		} else if (w[0] == "list") { /* list I STATE: a platform list of only VM I */
			return list(num(1), w[2]);
		} else if (w[0] == "show") { /* show I: VM I as vm-0 knows it */
			return show(num(1));
		} else if (w[0] == "self") {
			return self();
		} else if (w[0] == "count") {
			return std::to_string(member_table_count(first())) + "\n";
		} else if (w[0] == "uptime") { /* uptime I: as vm-0 knows it, minus the real one */
			return uptime(node(1));
		} else {
			return "unknown step\n";
		}
		return "";
	}

      private:
	std::unique_ptr<member_net> net;
	uint64_t version = 0; /* of vm-0's table at the last roster-version step */

	member_table *first()
	{
		return net->nodes[0]->table;
	}

	static member_state state_parse(const std::string &name)
	{
		int s = 0;

		while (name != member_state_name((member_state)s))
			s++;
		return (member_state)s;
	}

	std::string until(int i, const std::string &state, uint64_t ms)
	{
		const auto &about = *net->nodes[i];
		member_entry e;

		for (uint64_t end_ms = net->now_ms + ms; net->now_ms < end_ms; net->run(100)) {
			bool all = true;

			for (auto &v : net->nodes)
				if (v->table && strcmp(v->self.name, about.self.name) != 0)
					all = all &&
					      member_table_find(v->table, about.self.name,
								net->now_ms, &e) &&
					      e.incarnation == about.self.incarnation &&
					      member_state_name(e.state) == state;
			if (all)
				return "in time\n";
		}
		return "too late\n";
	}

	unsigned int named(const member_net::node &about, int seconds)
	{
		unsigned int n = 0;
		member_entry e;

		for (uint64_t end_ms = net->now_ms + 1000 * seconds; net->now_ms < end_ms;
		     net->run(100))
			for (auto &v : net->nodes)
				n += v->table && v.get() != &about &&
				     v->paused_until_ms <= net->now_ms &&
				     member_table_find(v->table, about.self.name, net->now_ms,
						       &e) &&
				     e.state < MEMBER_SUSPECT;
		return n;
	}

	/* Says also what the greatest weight of vm I is to vm-0. */
	std::string until_weight(const member_net::node &about, uint32_t weight, uint64_t ms)
	{
		member_entry e;

		for (uint64_t end_ms = net->now_ms + ms; net->now_ms < end_ms; net->run(100)) {
			bool all = true;

			for (auto &v : net->nodes)
				all = all &&
				      (!v->table || (member_table_find(v->table, about.self.name,
								       net->now_ms, &e) &&
						     e.weight == weight));
			if (!all)
				continue;
			member_table_find(first(), about.self.name, net->now_ms, &e);
			return "in time, greatest " + std::to_string(e.weight_most) + "\n";
		}
		return "too late\n";
	}

	std::set<std::string> names(member_table *t)
	{
		std::set<std::string> s;

		member_table_foreach(
			t, net->now_ms,
			[](const member_entry *e, void *data) {
				static_cast<std::set<std::string> *>(data)->insert(e->name);
			},
			&s);
		return s;
	}

	std::string until_complete(uint64_t ms)
	{
		for (uint64_t end_ms = net->now_ms + ms; net->now_ms < end_ms; net->run(100)) {
			bool all = true;

			for (auto &v : net->nodes)
				all = all && names(v->table).size() == net->nodes.size();
			if (all)
				return "in time\n";
		}
		return "too late\n";
	}

	/* Adds a VM that knows only a snapshot of vm-0's table. */
	std::string join()
	{
		unsigned int n;
		member_entry *entries = member_table_snapshot(first(), net->now_ms, &n);
		auto &v = net->add();

		member_table_merge(v.table, entries, n, net->now_ms);
		g_free(entries);
		return "knows " + std::to_string(member_table_count(v.table)) + "\n";
	}

	std::string receive(const std::vector<std::string> &w)
	{
		member_message m{};
		member_entry &e = m.updates[0];

		m.kind = MEMBER_ACK;
		m.sender = net->nodes[1]->self; /* a lost VM whose address vm-1 has taken over */
		m.sender.incarnation = 1;
		g_strlcpy(m.sender.name, "peer", sizeof(m.sender.name));
		m.update_count = 1;
		e = net->nodes[std::stoi(w[1])]->self;
		e.incarnation = w[2] == "own" ? e.incarnation : std::stoull(w[2]);
		e.generation = w[3] == "own" ? e.generation : std::stoull(w[3]);
		e.sequence = std::stoul(w[4]);
		e.state = state_parse(w[5]);
		member_table_receive(first(), &m, net->now_ms, net->rand);
		return w[1] == "0" ? self() : show(std::stoi(w[1]));
	}

	std::string list(int i, const std::string &state)
	{
		member_entry e = net->nodes[i]->self;

		e.state = state_parse(state);
		member_table_seed(first(), &e, 1, net->now_ms);
		return i ? show(i) : self();
	}

	std::string show(int i)
	{
		member_entry e;

		if (!member_table_find(first(), net->nodes[i]->self.name, net->now_ms, &e))
			return "unknown\n";
		return std::string(member_state_name(e.state)) + " incarnation " +
		       (e.incarnation == net->nodes[i]->self.incarnation
				? "own"
				: std::to_string(e.incarnation)) +
		       " sequence " + std::to_string(e.sequence) + "\n";
	}

	std::string self()
	{
		std::string s = show(0);

		if (member_table_is_asked_to_leave(first()))
			s += "asked to leave\n";
		if (member_table_is_superseded(first()))
			s += "superseded\n";
		return s;
	}

	std::string uptime(const member_net::node &v)
	{
		member_entry e;
		int64_t diff;

		if (!member_table_find(first(), v.self.name, net->now_ms, &e))
			return "unknown\n";
		diff = (int64_t)e.uptime_ms - (int64_t)(net->now_ms - v.started_ms);
		return diff > 0 ? "ahead\n" : diff < -100 ? "behind\n" : "within 100 ms\n";
	}
};

bool registered =
	script_register("member", "member.test", [] { return std::make_unique<interpreter>(); });
} // namespace

/*
 * Guards against processes that end themselves without a living successor, and against two of one
 * name that both stay: VMs restart several times in a row, are frozen while a process of their name
 * starts at another address, and are cut off, all under loss of packets. The order of processes
 * rests on no clock, so none is drawn.
 */
TEST(member, one_process_of_a_name_stays)
{
	for (unsigned seed = 1; seed <= 600; seed++) {
		std::mt19937 rand(seed);
		member_net net(8, seed);
		std::string name = net.nodes[3]->self.name;

		net.loss_pct = (int)(rand() % 2) * 10;
		net.run(3000);
		for (unsigned round = 0; round < 6; round++) {
			auto running = net.staying(name);
			member_net::node &v = *running[rand() % running.size()];

			switch (rand() % 4) {
			case 0:
				net.stop(v);
				net.run(rand() % 3000);
				net.start(v);
				net.seed_list(v);
				break;
			case 1:
				v.paused_until_ms = net.now_ms + rand() % 20000;
				break;
			case 2:
				net.add_twin(3);
				break;
			case 3:
				v.side = 1 - v.side;
				break;
			}
			for (unsigned ms = rand() % 6000; ms > 0; ms -= MIN(ms, 100)) {
				net.run(100);
				ASSERT_GE(net.staying(name).size(), 1u) << "seed " << seed;
				for (auto &o : net.nodes)
					if (o->table && member_table_is_superseded(o->table))
						net.stop(*o); /* its planned stop ends */
			}
		}
		for (auto &v : net.nodes)
			v->side = 0;
		net.loss_pct = 0;
		std::map<member_net::node *, uint64_t> superseded_ms;
		for (unsigned ms = 0; ms < 60000; ms += 100) {
			net.run(100);
			ASSERT_GE(net.staying(name).size(), 1u) << "seed " << seed;
			/* A process in its planned stop answers for some seconds. */
			for (auto &v : net.nodes)
				if (v->table && member_table_is_superseded(v->table) &&
				    (superseded_ms[v.get()] += 100) > 6000)
					net.stop(*v);
		}
		ASSERT_EQ(net.staying(name).size(), 1u) << "seed " << seed;
		for (auto &v : net.nodes) {
			member_entry e;

			if (!v->table || v->self.name == name)
				continue;
			ASSERT_TRUE(member_table_find(v->table, name.c_str(), net.now_ms, &e));
			EXPECT_EQ(e.incarnation, net.staying(name)[0]->self.incarnation);
			EXPECT_EQ(e.state, MEMBER_LIVE) << "seed " << seed;
		}
	}
}

/*
 * Guards against a draw among no members: a VM whose only other member is removed pings that one
 * now and then, and asks nobody to help.
 */
TEST(member, last_vm_asks_no_proxies)
{
	g_log_set_always_fatal((GLogLevelFlags)(G_LOG_FATAL_MASK | G_LOG_LEVEL_CRITICAL));
	for (unsigned seed = 1; seed <= 100; seed++) {
		member_net net(4, seed);

		net.run(3000);
		for (int i = 1; i < 4; i++) {
			net.stop(*net.nodes[i]);
			net.run(g_rand_int_range(net.rand, 1, 3000));
		}
		net.run(30000);
		EXPECT_EQ(member_table_count(net.nodes[0]->table), 1u) << "seed " << seed;
	}
}
