#include "matrix_world.h"

#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <set>

extern "C" {
#include "command.h"
#include "config.h"
#include "entrylist.h"
#include "gather.h"
#include "leaving.h"
#include "member.h"
#include "pausewatch.h"
#include "rendezvous.h"
#include "routing.h"
#include "section.h"
#include "snapshot.h"
#include "stop.h"
}

namespace
{

enum { ENTRY_0, ENTRY_1, HOLDER_0, HOLDER_1, LEAF_0, LEAF_1, PLATFORM, CALLER, NODES };

constexpr uint64_t MS = 1000; /* in us, the unit of virtual time */
constexpr uint64_t SECOND = 1000 * MS;
constexpr uint64_t DEADLINE_US = 500 * MS;
constexpr uint64_t HOP_US = 5 * MS;
constexpr uint64_t ID_LIFETIME_MS = 5000;
constexpr uint64_t LEASE_MS = 2000;
constexpr uint64_t SPREAD_MS = 2000;
constexpr uint64_t TARGET_US = 3 * SECOND; /* the request whose steps meet the faults */
constexpr uint64_t END_US = 18 * SECOND;
constexpr uint64_t MARK_BOUND_US = 3 * SECOND;

using action = std::function<void()>;

template <class T, void (*destroy)(T *)> struct deleter {
	void operator()(T *p) const
	{
		destroy(p);
	}
};
template <class T, void (*destroy)(T *)> using owned = std::unique_ptr<T, deleter<T, destroy>>;
using manifest_ref = std::shared_ptr<manifest>;

manifest_ref manifest_share(manifest *m)
{
	return manifest_ref(m, [](manifest *p) {
		if (p)
			manifest_put(p);
	});
}

struct published {
	uint64_t version = 0;
	std::string index;
	std::map<std::string, std::string> sections; /* by digest */
};

enum leaf_status { ANSWERED, REFUSED, GONE, WRONG_SHARD, EXPIRED, FAILED, MISMATCH };

struct leaf_request {
	std::string id; /* of the command or of this call */
	bool is_command = false, is_target = false;
	uint64_t index = 0, map = 0, deadline_us = 0;
	unsigned int shard = 0;
	std::string query;
};

struct leaf_reply {
	leaf_status status = FAILED;
	leaf_request confirmed;
	std::string body;
	uint64_t incarnation = 0;
	std::vector<uint64_t> versions;
	bool is_draining = false;
};

/* A call in a holder, and its connection to the leaf. */
struct leaf_call {
	leaf_request request;
	const manifest_group *group = nullptr;
	unsigned int tried = 0;
	int first = -1; /* leaf that is tried first */
	bool was_sent = false, is_done = false;
	result last_failure = RESULT_OK;
	std::function<void(result, bool, std::string)> done;
};
using leaf_call_ref = std::shared_ptr<leaf_call>;

struct connection {
	leaf_call_ref call;
	bool is_closed = false;
};

struct search_part {
	std::string group;
	std::vector<unsigned int> shards;
};

struct search_message {
	unsigned char id[GATHER_ID_BYTES];
	uint64_t index, map, time_us;
	std::vector<search_part> parts;
	std::string query;
	bool is_target;
};

struct search_answer_message {
	search_message request;
	result outcome = RESULT_OK;
	std::map<unsigned int, std::pair<result, std::string>> shards;
	std::map<std::string, std::vector<uint64_t>> versions;
};

struct command_message {
	std::string id, group, key;
	uint64_t map = 0, time_us = 0;
	bool is_target = false;
};

struct command_answer_message {
	std::string id;
	enum outcome outcome = OUTCOME_UNKNOWN;
	enum result result = RESULT_LOST_ANSWER;
	std::string body;
};

enum call_status { CALL_DONE, CALL_NOT_SENT, CALL_LOST };

template <class T> struct rpc {
	bool is_open = true;
	std::function<void(call_status, const T &)> done;
};

struct node {
	bool up = true;
	uint64_t epoch = 1, paused_until_us = 0, slow_until_us = 0;
};

struct world;

struct search {
	owned<gather, gather_destroy> state;
	manifest_ref m;
	manifest_service *service = nullptr;
	std::string query;
	uint64_t arrived_us = 0;
	unsigned int open = 0, restarts = 0, round = 0;
	bool is_done = false, is_target = false;
	std::function<void(const json_t *)> reply;
};
using search_ref = std::shared_ptr<search>;

struct command_run {
	command_message message;
	uint64_t arrived_us = 0;
	std::vector<std::function<void(const command_answer_message &)>> waiting;
};

/* One process of an entry or a holder; a restart makes a new one. */
struct process : member_transport {
	struct config_sink_of : config_sink {
		process *owner;
	} sink;
	world *w;
	int index;
	uint64_t started_ms, incarnation;
	owned<member_table, member_table_destroy> members;
	owned<config_store, config_store_destroy> store;
	owned<routing, routing_destroy> routes{routing_create()};
	owned<snapshot_table, snapshot_table_destroy> snapshots{snapshot_table_create()};
	owned<command_log, command_log_destroy> commands;
	owned<pausewatch, pausewatch_destroy> pauses{pausewatch_create(LEASE_MS)};
	owned<leaving, leaving_destroy> marks{leaving_create(64)};
	owned<stop, stop_destroy> stopping;
	manifest_ref candidate, applied, m, previous;
	uint64_t roster_version = 0, published_version = 0;
	bool is_fetching = false, is_renewing = false;
	unsigned int jobs = 0;
	std::vector<search_ref> searches;
	std::map<std::string, command_run> runs;
	std::map<int, uint64_t> leaf_incarnation;
	std::map<int, std::vector<uint64_t>> leaf_versions;
	std::map<int, std::vector<std::shared_ptr<connection>>> connections;
};

struct leaf_state {
	uint64_t incarnation = 0;
	std::set<uint64_t> versions = {1}, maps = {1};
	uint64_t sign_us = 0; /* when a holder first read of the drain; 0: none did */
	bool is_draining = false, refuses = false;
};

struct world {
	matrix_rules rules;
	std::vector<matrix_injection> injections;
	matrix_report report;
	bool is_command;
	uint64_t now = 1000 * SECOND;
	const uint64_t start = now;
	std::multimap<uint64_t, action> queue;
	GRand *rand;
	node nodes[NODES];
	uint64_t cut_until[NODES][NODES] = {};
	bool lose[NODES][NODES] = {}, twice[NODES][NODES] = {};
	std::vector<std::tuple<int, int, uint64_t, action>> open_calls; /* from, to, epoch, lost */
	std::unique_ptr<process> vms[4];
	leaf_state leaves[2];
	std::vector<published> platform;
	uint64_t platform_down_until = 0, platform_stale_until = 0;
	size_t platform_stale_at = 0;
	std::set<std::string> listed_leaving, stale_leaving;
	uint64_t highest[4] = {};
	std::map<std::string, int> runs_of; /* the leaves' own record of commands */
	std::map<std::string, std::vector<command_answer_message>> told;
	std::shared_ptr<entrylist> lists[1];
	std::vector<std::weak_ptr<leaf_call>> leaf_calls; /* their functions refer to them */
	unsigned int requests = 0;
	bool last_complete = false, last_done = false;

	world(unsigned int seed, bool command, std::vector<matrix_injection> in, matrix_rules r)
	    : rules(r), injections(std::move(in)), is_command(command),
	      rand(g_rand_new_with_seed(seed))
	{
	}
	~world()
	{
		queue.clear();
		open_calls.clear();
		for (auto &weak : leaf_calls)
			if (auto c = weak.lock())
				c->done = nullptr;
		for (auto &vm : vms)
			vm.reset();
		g_rand_free(rand);
	}

	uint64_t rnd(uint64_t n)
	{
		return g_rand_int(rand) % n;
	}
	uint64_t now_ms() const
	{
		return now / MS;
	}
	void violation(const std::string &text)
	{
		report.violations.push_back(text + " at " + std::to_string((now - start) / MS) +
					    " ms");
	}
	void trace(const std::string &text)
	{
		report.trace += std::to_string((now - start) / MS) + " " + text + "\n";
	}

	/* Time, processes and the network. */

	void at(uint64_t us, action f)
	{
		queue.emplace(us, std::move(f));
	}
	void run_on(int n, uint64_t epoch, const action &f)
	{
		if (!nodes[n].up || epoch != nodes[n].epoch)
			return;
		if (nodes[n].paused_until_us > now)
			at(nodes[n].paused_until_us + rnd(50), [=] { run_on(n, epoch, f); });
		else
			f();
	}
	void timer(int n, uint64_t delay_us, const action &f)
	{
		uint64_t epoch = nodes[n].epoch;

		at(now + delay_us, [=] { run_on(n, epoch, f); });
	}
	/* The message of a step that loses or duplicates is the next one of that link. */
	void post(int from, int to, const action &f, bool is_request = false)
	{
		uint64_t epoch = nodes[to].epoch;
		uint64_t at_us = now + 500 + rnd(1000);
		int copies = twice[from][to] ? 2 : 1;

		if (nodes[from].slow_until_us > now)
			at_us += 20 * MS + rnd(200 * MS);
		twice[from][to] = false;
		if (lose[from][to]) {
			lose[from][to] = false;
			return;
		}
		for (; copies > 0; copies--, at_us += rnd(600 * MS))
			at(at_us, [=] {
				bool is_bound = rules.connection_bound || !is_request;

				if (cut_until[from][to] <= now)
					run_on(to, is_bound ? epoch : nodes[to].epoch, f);
			});
	}
	template <class T>
	void call(int from, int to, uint64_t timeout_us,
		  std::function<void(std::function<void(const T &)>)> serve,
		  std::function<void(call_status, const T &)> done)
	{
		auto r = std::make_shared<rpc<T>>();
		uint64_t epoch = nodes[from].epoch;
		action lost = [=] {
			if (!r->is_open)
				return;
			r->is_open = false;
			done(CALL_LOST, T());
		};

		r->done = done;
		if (!nodes[to].up && cut_until[from][to] <= now && cut_until[to][from] <= now) {
			timer(from, MS, [=] { done(CALL_NOT_SENT, T()); });
			return;
		}
		open_calls.emplace_back(from, to, epoch, lost);
		post(
			from, to,
			[=] {
				serve([=](const T &answer) {
					post(to, from, [=] {
						if (nodes[from].epoch != epoch)
							return;
						bool was_open = r->is_open;

						r->is_open = false;
						if (was_open || !rules.reply_bound)
							done(CALL_DONE, answer);
					});
				});
			},
			true);
		timer(from, timeout_us, lost);
	}
	void down(int n)
	{
		std::vector<std::tuple<int, int, uint64_t, action>> calls;

		nodes[n].up = false;
		nodes[n].epoch++;
		nodes[n].paused_until_us = 0;
		if (n < 4)
			vms[n].reset();
		calls.swap(open_calls);
		for (auto &c : calls) {
			int from = std::get<0>(c);
			uint64_t epoch = std::get<2>(c);
			action lost = std::get<3>(c);

			if (std::get<1>(c) != n)
				open_calls.push_back(c);
			else if (cut_until[n][from] <= now)
				at(now + MS, [=] { run_on(from, epoch, lost); });
		}
	}
	void restart(int n, uint64_t delay_us)
	{
		at(now + delay_us, [=] {
			if (nodes[n].up)
				return;
			nodes[n].up = true;
			nodes[n].epoch++;
			if (n < 4)
				process_start(n);
			else if (n < PLATFORM)
				leaf_start(n - LEAF_0);
		});
	}

	/* Faults. */

	void step(matrix_step s, bool is_target, int n, int peer, const action &f)
	{
		uint64_t epoch = nodes[n].epoch;

		if (!is_target) {
			f();
			return;
		}
		std::vector<matrix_injection> after;
		for (size_t i = 0; i < injections.size();) {
			matrix_injection in = injections[i];

			if (in.step != s) {
				i++;
				continue;
			}
			injections.erase(injections.begin() + (long)i);
			report.fired++;
			trace(std::string(matrix_fault_name(in.fault)) + " at " +
			      matrix_step_name(s));
			/* The message of the step itself is the one that is lost or copied. */
			if (in.moment == MATRIX_BEFORE || in.fault == MATRIX_LOST ||
			    in.fault == MATRIX_DUPLICATED)
				inject(in.fault, n, peer);
			else if (in.moment == MATRIX_DURING)
				at(now + rnd(3 * MS), [=] { inject(in.fault, n, peer); });
			else
				after.push_back(in);
		}
		run_on(n, epoch, f);
		lose[n][peer] = twice[n][peer] = false;
		for (auto &in : after)
			inject(in.fault, n, peer);
	}
	void inject(matrix_fault fault, int n, int peer)
	{
		uint64_t until = now + SECOND + rnd(5 * SECOND);

		switch (fault) {
		case MATRIX_KILL:
			if (!nodes[n].up)
				return;
			down(n);
			restart(n, rnd(2) ? 20 * MS : 3 * SECOND);
			break;
		case MATRIX_PAUSE:
			nodes[n].paused_until_us =
				now +
				(rnd(2) ? 300 * MS : LEASE_MS * MS + SECOND + rnd(4 * SECOND));
			break;
		case MATRIX_CUT_ONE:
			(rnd(2) ? cut_until[n][peer] : cut_until[peer][n]) = until;
			break;
		case MATRIX_CUT_BOTH:
			cut_until[n][peer] = cut_until[peer][n] = until;
			break;
		case MATRIX_SLOW:
			nodes[n].slow_until_us = until;
			break;
		case MATRIX_LOST:
			lose[n][peer] = true;
			break;
		case MATRIX_DUPLICATED:
			twice[n][peer] = true;
			break;
		case MATRIX_PLATFORM_DOWN:
			platform_down_until = now + 2 * SECOND + rnd(5 * SECOND);
			publish(1, 1 + rnd(2));
			break;
		case MATRIX_PLATFORM_STALE:
			platform_stale_until = until;
			platform_stale_at = platform.size() - 1 - rnd(MIN(platform.size(), 2));
			stale_leaving = listed_leaving;
			break;
		case MATRIX_RACE:
			publish(1, 1);
			publish(1, 2);
			break;
		case MATRIX_DRAIN:
			if (n < 4)
				stop_start(n);
			else
				drain(n < PLATFORM ? n - LEAF_0 : (int)rnd(2));
			break;
		case MATRIX_ROLLOUT:
			rollout();
			break;
		case MATRIX_REPARTITION:
			for (auto &l : leaves)
				l.maps = {1, 2};
			publish(2, 1);
			at(now + rnd(SECOND), [=] { leaves[rnd(2)].maps = {2}; });
			break;
		default:
			break;
		}
	}
	void rollout()
	{
		for (auto &l : leaves) {
			leaf_state *leaf = &l;
			uint64_t begin = now + rnd(300 * MS);

			at(begin, [=] { leaf->versions = {1, 2}; });
			at(begin + rnd(2) * SECOND, [=] { leaf->versions = {2}; });
		}
		at(now + rnd(500 * MS), [=] { publish(1, 1, 2); });
	}
	void drain(int i)
	{
		leaf_state *leaf = &leaves[i];
		std::string name = "b" + std::to_string(i);
		uint64_t incarnation = leaf->incarnation;

		if (leaf->is_draining || !nodes[LEAF_0 + i].up)
			return;
		leaf->is_draining = true;
		leaf->refuses = rnd(2);
		if (rnd(2))
			at(now + rnd(500 * MS), [=] { listed_leaving.insert(name); });
		at(now + 8 * SECOND, [=] {
			listed_leaving.erase(name);
			if (leaf->incarnation == incarnation && nodes[LEAF_0 + i].up)
				down(LEAF_0 + i);
			restart(LEAF_0 + i, MS);
		});
	}

	/* Platform. */

	void publish(uint64_t map, unsigned int policy, uint64_t index = 1)
	{
		published p;
		json_t *groups = json_array(), *leaf_list = json_array();
		json_t *whole;
		section_set *set;
		char *text;
		static const char *const ids[] = {"cat-0", "cat-1", "loan-0"};

		if (!platform.empty() && map == 1)
			map = newest_map;
		newest_map = MAX(newest_map, map);
		newest_index = MAX(newest_index, index);
		for (int i = 0; i < 2; i++)
			json_array_append_new(
				leaf_list,
				json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i}", "name",
					  i ? "b1/0" : "b0/0", "backend", i ? "b1" : "b0", "dc",
					  "a", "addr", i ? "127.0.0.1:9002" : "127.0.0.1:9001",
					  "slots", 2, "connections", 25, "connect_us", 1000));
		for (int i = 0; i < 3; i++) {
			json_t *shards = json_pack("[i]", i == 1);

			if (map == 2 && i == 0)
				json_array_append_new(shards, json_integer(2));
			json_array_append_new(groups,
					      json_pack("{s:s,s:s,s:o,s:O}", "id", ids[i],
							"service", i == 2 ? "loan" : "cat",
							"shards", shards, "leaves", leaf_list));
		}
		whole = json_pack("{s:[{s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:i,s:[{s:s,s:i}]},"
				  "{s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:i,s:[{s:s,s:i}]}],s:o}",
				  "services", "name", "cat", "kind", "search", "policy", "coverage",
				  "target_ms", 100 + (int)policy, "deadline_ms",
				  (int)(DEADLINE_US / MS), "map_version", (json_int_t)map,
				  "index_version", (json_int_t)newest_index, "shards",
				  map == 2 ? 3 : 2, "classes", "name", "c", "priority", 1, "name",
				  "loan", "kind", "command", "policy", "coverage", "target_ms", 100,
				  "deadline_ms", (int)(DEADLINE_US / MS), "map_version",
				  (json_int_t)map, "index_version", (json_int_t)1, "shards", 1,
				  "classes", "name", "c", "priority", 1, "groups", groups);
		set = section_split(whole, nullptr);
		g_assert(set);
		text = json_dumps(set->index, JSON_COMPACT);
		p.version = platform.size() + 1;
		p.index = text;
		for (size_t i = 0; i < set->n; i++)
			p.sections[set->sections[i].sha256] = set->sections[i].body;
		free(text);
		section_set_destroy(set);
		json_decref(whole);
		json_decref(leaf_list);
		platform.push_back(p);
	}
	uint64_t newest_map = 1, newest_index = 1;

	/* Configuration. */

	static bool sink_validate(config_sink *sink, uint64_t version,
				  const config_section *sections, unsigned int n, GError **error)
	{
		process *p = static_cast<process::config_sink_of *>(sink)->owner;
		json_t *whole = json_pack("{s:[],s:[]}", "services", "groups");

		for (unsigned int i = 0; i < n; i++) {
			json_t *v = json_loadb(sections[i].text, sections[i].bytes, 0, nullptr);

			if (strcmp(sections[i].name, "services") == 0)
				json_array_extend(json_object_get(whole, "services"), v);
			else
				json_array_append(json_object_get(whole, "groups"), v);
			json_decref(v);
		}
		p->candidate = manifest_share(manifest_create(whole, version, error));
		json_decref(whole);
		return p->candidate != nullptr;
	}
	static void sink_apply(config_sink *sink, uint64_t, const config_section *, unsigned int)
	{
		process *p = static_cast<process::config_sink_of *>(sink)->owner;

		p->applied = p->candidate;
	}
	void config_publish(process *p)
	{
		if (!p->applied || !config_store_is_ready(p->store.get(), now_ms()) ||
		    p->applied->version == p->published_version)
			return;
		if (p->applied->version < p->published_version)
			violation("P8: configuration went back");
		p->published_version = p->applied->version;
		p->previous = p->m;
		p->m = p->applied;
		routing_manifest_set(p->routes.get(), p->m.get());
		member_table_set_config_version(p->members.get(), p->m->version);
		/* One of 3, since 4 of 6,600 do not reach all either. */
		notice(p, (p->index + 1 + (int)rnd(3)) % 4);
	}
	void notice(process *p, int to)
	{
		int from = p->index;
		uint64_t version = p->published_version;

		post(from, to, [=] {
			if (version > config_store_highest_version(vms[to]->store.get()))
				config_ask(to, from, nullptr);
		});
	}
	void index_offer(process *p, const published &v, const char *source)
	{
		const char *digests[8];
		unsigned int n;

		if (!rules.highest_wins && v.version < config_store_version(p->store.get())) {
			p->store.reset(config_store_create(&p->sink, 0, now_ms()));
			p->published_version = v.version + 1;
		}
		config_store_offer(p->store.get(), v.version, v.index.c_str(), source, nullptr);
		n = config_store_missing_digests(p->store.get(), digests, 8);
		std::vector<std::string> missing(digests, digests + n);
		for (auto &d : missing) {
			auto text = v.sections.find(d);

			if (text != v.sections.end())
				config_store_section_add(p->store.get(), d.c_str(),
							 text->second.c_str(), text->second.size(),
							 nullptr);
		}
		config_publish(p);
	}
	/* Version in force of a peer or the platform. */
	void config_ask(int n, int from, const action &answered)
	{
		call<published>(
			n, from, 300 * MS,
			[=](auto reply) {
				published v;

				if (from == PLATFORM) {
					bool stale = platform_stale_until > now;

					if (platform_down_until <= now)
						reply(platform[stale ? platform_stale_at
								     : platform.size() - 1]);
					return;
				}
				config_store *s = vms[from]->store.get();

				v.version = config_store_version(s);
				if (vms[from]->applied) {
					v.index = config_store_index(s);
					for (auto &p : platform)
						for (auto &text : p.sections) {
							size_t bytes;

							if (config_store_section_text(
								    s, text.first.c_str(), &bytes))
								v.sections.insert(text);
						}
				}
				reply(v);
			},
			[=](call_status status, const published &v) {
				if (status == CALL_DONE && v.version > 0)
					index_offer(vms[n].get(), v,
						    from == PLATFORM ? CONFIG_SOURCE_PLATFORM
								     : "peer");
				if (answered)
					answered();
			});
	}

	/* Membership and housekeeping. */

	static void member_send(member_transport *t, const char *rpc, const member_message *m)
	{
		process *p = static_cast<process *>(t);
		world *w = p->w;
		auto copy = std::make_shared<member_message>(*m);
		int to = atoi(rpc);

		w->post(p->index, to, [=] {
			member_table_receive(w->vms[to]->members.get(), copy.get(), w->now_ms(),
					     w->rand);
		});
	}
	static void member_changed(member_transport *, const member_entry *)
	{
	}
	std::vector<member_entry> member_list(process *p)
	{
		std::vector<member_entry> list;

		member_table_foreach(
			p->members.get(), now_ms(),
			[](const member_entry *e, void *data) {
				static_cast<std::vector<member_entry> *>(data)->push_back(*e);
			},
			&list);
		return list;
	}
	/* Only the two holders take groups here, so that entry and holder fail apart. */
	void roster_publish(process *p)
	{
		uint64_t version = member_table_version(p->members.get());
		unsigned int n = 0;
		roster *r;

		if (version == p->roster_version)
			return;
		p->roster_version = version;
		auto list = member_list(p);
		r = roster_create((unsigned int)list.size(), version);
		for (auto &e : list) {
			roster_vm *vm = &r->vms[n];

			if (e.name[0] != 'h')
				continue;
			vm->name = g_strdup(e.name);
			vm->dc = g_strdup(e.dc);
			vm->rpc = g_strdup(e.rpc);
			vm->name_hash = rendezvous_name_hash(e.name);
			vm->is_self = atoi(e.rpc) == p->index;
			vm->is_available = e.state == MEMBER_LIVE;
			n++;
		}
		r->n_vms = n;
		routing_roster_set(p->routes.get(), r);
		roster_put(r);
	}
	void pause_check(process *p)
	{
		pausewatch_tick(p->pauses.get(), now_ms());
		if (!pausewatch_is_stale(p->pauses.get()) || p->is_renewing)
			return;
		int n = p->index;
		uint64_t asked_ms = now_ms();

		p->is_renewing = true;
		/* The other VM of the same role stands for the peers. */
		call<published>(
			n, n ^ 1, 300 * MS, [](auto reply) { reply(published()); },
			[=](call_status status, const published &) {
				process *self = vms[n].get();

				self->is_renewing = false;
				pausewatch_tick(self->pauses.get(), now_ms());
				if (status == CALL_DONE)
					pausewatch_renewed(self->pauses.get(), asked_ms);
			});
	}
	void housekeep(process *p)
	{
		int n = p->index;

		pause_check(p);
		command_log_expire(p->commands.get(), now_ms() - p->started_ms);
		if (n == ENTRY_0 || n == HOLDER_0)
			config_ask(n, PLATFORM, nullptr);
		if (n == HOLDER_0 && platform_down_until <= now)
			vms_receive(p, platform_stale_until > now ? stale_leaving : listed_leaving);
		for (auto &e : member_list(p))
			if (rules.heartbeat_repair &&
			    e.config_version > config_store_highest_version(p->store.get()))
				config_ask(n, atoi(e.rpc), nullptr);
		timer(n, 500 * MS, [=] { housekeep(vms[n].get()); });
	}
	void tick(int n)
	{
		process *p = vms[n].get();

		member_table_tick(p->members.get(), now_ms(), rand);
		roster_publish(p);
		config_publish(p);
		timer(n, 100 * MS, [=] { tick(n); });
	}
	void process_start(int n)
	{
		static const member_transport_ops transport = {member_send, member_changed};
		static const config_sink_ops sink = {sink_validate, sink_apply};
		auto p = std::make_unique<process>();
		process *q = p.get();
		member_entry list[4] = {}, self;

		for (int i = 0; i < 4; i++) {
			g_snprintf(list[i].name, MEMBER_NAME_MAX, "%c%d", i < 2 ? 'e' : 'h', i % 2);
			g_strlcpy(list[i].dc, "a", MEMBER_DC_MAX);
			g_snprintf(list[i].http, MEMBER_ADDR_MAX, "%d", i);
			g_snprintf(list[i].rpc, MEMBER_ADDR_MAX, "%d", i);
		}
		p->ops = &transport;
		p->sink.ops = &sink;
		p->sink.owner = q;
		p->w = this;
		p->index = n;
		p->started_ms = now_ms();
		p->incarnation = ((uint64_t)g_rand_int(rand) << 32) | 1 | g_rand_int(rand);
		self = list[n];
		self.incarnation = p->incarnation;
		self.started_ms = now_ms();
		p->members.reset(member_table_create(&self, q, now_ms()));
		member_table_seed(p->members.get(), list, 4, now_ms());
		p->store.reset(config_store_create(&q->sink, 2, now_ms()));
		p->commands.reset(n < 2 ? command_log_create(p->incarnation, ID_LIFETIME_MS, 1000)
					: command_log_create_holder(ID_LIFETIME_MS, 1000));
		p->stopping.reset(stop_create(rules.list_wait ? ENTRYLIST_TTL_MS + SPREAD_MS : 0,
					      STOP_LIMIT_MS));
		vms[n] = std::move(p);
		for (int source : {(int)PLATFORM, n ^ 1})
			config_ask(n, source,
				   [=] { config_store_source_answered(vms[n]->store.get()); });
		tick(n);
		housekeep(q);
	}

	/* Planned stop. */

	void stop_start(int n)
	{
		if (!nodes[n].up || !stop_request(vms[n]->stopping.get(), now_ms()))
			return;
		if (rules.announce_leaving)
			member_table_leave(vms[n]->members.get());
		stop_poll(n);
	}
	unsigned int in_flight(const process *p)
	{
		return p->jobs + (unsigned int)(p->searches.size() + p->runs.size());
	}
	void stop_poll(int n)
	{
		process *p = vms[n].get();
		unsigned int open = in_flight(p);

		if (stop_tick(p->stopping.get(), rules.drain_requests ? open : 0, now_ms()) !=
		    STOP_DONE) {
			timer(n, 50 * MS, [=] { stop_poll(n); });
			return;
		}
		trace("stopped " + std::to_string(n));
		if (open > 0)
			violation("P7: the stop cut " + std::to_string(open) + " requests");
		if (n < 2 && lists[0] && entrylist_expiry(lists[0].get()) > now_ms() &&
		    list_names(lists[0].get(), n))
			violation("P7: stopped while a list names the VM");
		for (int i = 0; i < 2 && n >= 2; i++)
			if (vms[i] && vms[i]->m && nodes[i].paused_until_us <= now &&
			    holds_any(vms[i].get(), n))
				violation("P7: stopped while an entry chooses the holder");
		down(n);
		restart(n, 500 * MS);
	}
	static bool list_names(const entrylist *l, int n)
	{
		unsigned int count;
		const entrylist_item *items = entrylist_items(l, &count);

		for (unsigned int i = 0; i < count; i++)
			if (atoi(items[i].http) == n)
				return true;
		return false;
	}
	static bool holds_any(process *entry, int n)
	{
		for (guint i = 0; i < entry->m->groups->len; i++) {
			holder_route r =
				routing_find(entry->routes.get(),
					     static_cast<manifest_group *>(
						     g_ptr_array_index(entry->m->groups, i)));

			if (r.first && atoi(r.first) == n)
				return true;
		}
		return false;
	}

	/* Entry: commands. */

	result commander_obstacle(process *p, const command_run &run, std::string *holder)
	{
		manifest_group *g;
		holder_route r;

		if (!p->m)
			return RESULT_NOT_READY;
		if (pausewatch_is_stale(p->pauses.get()))
			return RESULT_STALE;
		if (now >= run.arrived_us + DEADLINE_US)
			return RESULT_DEADLINE;
		g = manifest_group_find(p->m.get(), "loan-0");
		r = routing_find(p->routes.get(), g);
		if (!r.first)
			return RESULT_NO_HOLDER;
		*holder = r.first;
		return RESULT_OK;
	}
	void commander_receive(int n, const command_message &message, uint64_t arrived_us,
			       const std::function<void(const command_answer_message &)> &reply)
	{
		process *p = vms[n].get();
		const command_result *known;
		result reason;
		command_run run = {message, arrived_us, {reply}};
		const std::string &id = message.id;
		std::string holder;

		pause_check(p);
		if (!rules.refused_remembered &&
		    (reason = commander_obstacle(p, run, &holder)) != RESULT_OK) {
			reply({id, OUTCOME_NOT_RUN, reason, ""});
			return;
		}
		switch (command_log_begin(p->commands.get(), id.c_str(), now_ms() - p->started_ms,
					  &known, &reason)) {
		case COMMAND_DISPATCH:
			p->runs[id] = run;
			commander_dispatch(n, id);
			break;
		case COMMAND_WAIT:
			p->runs[id].waiting.push_back(reply);
			break;
		case COMMAND_FINISHED:
			reply({id, known->outcome, known->result, known->body});
			break;
		case COMMAND_REFUSE:
			reply({id,
			       result_is_not_run(reason) || reason == RESULT_BAD_ID
				       ? OUTCOME_NOT_RUN
				       : OUTCOME_UNKNOWN,
			       reason, ""});
			break;
		}
	}
	void commander_finish(process *p, const command_answer_message &a)
	{
		command_log_finish(p->commands.get(), a.id.c_str(), a.outcome, a.result,
				   a.body.c_str());
		auto run = p->runs.find(a.id);
		if (run == p->runs.end())
			return;
		auto waiting = run->second.waiting;
		p->runs.erase(run);
		for (auto &reply : waiting)
			reply(a);
	}
	void commander_dispatch(int n, const std::string &id)
	{
		process *p = vms[n].get();
		const command_run &run = p->runs[id];
		std::string holder;
		result obstacle = commander_obstacle(p, run, &holder);

		if (obstacle != RESULT_OK) {
			commander_finish(p, {id, OUTCOME_NOT_RUN, obstacle, ""});
			return;
		}
		command_message message = run.message;
		int to = atoi(holder.c_str());
		uint64_t arrived_us = run.arrived_us;

		message.map = p->m->services->len ? service_of(p->m, "loan")->map_version : 0;
		step(MATRIX_AT_COMMAND_SEND, message.is_target, n, to, [=] {
			command_message m = message;

			/* The deadline is checked at the moment of sending. */
			if (now >= arrived_us + DEADLINE_US) {
				commander_finish(vms[n].get(),
						 {id, OUTCOME_NOT_RUN, RESULT_DEADLINE, ""});
				return;
			}
			m.time_us = arrived_us + DEADLINE_US - now;
			commander_send(n, to, m, rules.send_once ? 0 : 1);
		});
	}
	void commander_send(int n, int to, const command_message &m, int repeats)
	{
		call<command_answer_message>(
			n, to, m.time_us + 50 * MS,
			[=](auto reply) { holder_command(to, n, m, reply); },
			[=](call_status status, const command_answer_message &a) {
				if (status == CALL_LOST && repeats > 0)
					commander_send(n, to ^ 1, m, repeats - 1);
				else
					commander_reply(n, m.id, status, a);
			});
	}
	void commander_reply(int n, const std::string &id, call_status status,
			     const command_answer_message &a)
	{
		process *p = vms[n].get();

		if (status == CALL_NOT_SENT)
			commander_finish(p, {id, OUTCOME_NOT_RUN, RESULT_NO_HOLDER, ""});
		else if (status == CALL_LOST || a.id != id)
			commander_finish(
				p, {id, rules.sent_is_unknown ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
				    RESULT_LOST_ANSWER, ""});
		else
			commander_finish(p, a);
	}

	/* Entry: searches. */

	static manifest_service *service_of(const manifest_ref &m, const char *name)
	{
		return manifest_service_find(m.get(), name);
	}
	uint64_t newest_version(process *p, const search_ref &s)
	{
		std::vector<const char *> ids;

		for (guint i = 0; i < s->service->groups->len; i++)
			ids.push_back(static_cast<manifest_group *>(
					      g_ptr_array_index(s->service->groups, i))
					      ->id);
		return snapshot_table_version_pick(p->snapshots.get(), ids.data(),
						   (unsigned int)ids.size(),
						   s->service->index_version, now);
	}
	void search_pin(process *p, const search_ref &s)
	{
		struct gather_params params = {};

		params.index_version = newest_version(p, s);
		params.map_version = s->service->map_version;
		params.n_shards = s->service->n_shards;
		params.policy = s->service->policy;
		params.start_us = s->arrived_us;
		params.target_us = s->service->target_ms * MS;
		params.deadline_us = s->service->deadline_ms * MS;
		for (unsigned char &byte : params.request_id)
			byte = (unsigned char)rnd(256);
		s->state.reset(gather_create(&params));
	}
	void search_receive(int n, const std::string &query, bool is_target, uint64_t arrived_us,
			    const std::function<void(const json_t *)> &reply)
	{
		process *p = vms[n].get();
		auto s = std::make_shared<search>();

		if (!p->m) {
			reply(nullptr);
			return;
		}
		s->m = p->m;
		s->service = service_of(s->m, "cat");
		s->query = query;
		s->is_target = is_target;
		s->arrived_us = arrived_us;
		s->reply = reply;
		p->searches.push_back(s);
		step(MATRIX_AT_PIN, is_target, n, HOLDER_0 + (int)rnd(2), [=] {
			search_pin(vms[n].get(), s);
			uint64_t end_us = gather_respond_at_us(s->state.get());
			timer(n, end_us > now ? end_us - now : 0, [=] { search_answer(n, s); });
			search_scatter(n, s);
			search_advance(n, s);
		});
	}
	using group_list = std::vector<manifest_group *>;
	void group_refuse(const search_ref &s, const manifest_group *g, result reason)
	{
		const struct gather_params *q = gather_params(s->state.get());

		for (unsigned int i = 0; i < g->n_shards; i++)
			gather_missing_set(s->state.get(), q->request_id, q->index_version,
					   q->map_version, g->shards[i], reason);
	}
	void search_scatter(int n, const search_ref &s)
	{
		std::map<int, group_list> calls;

		for (guint i = 0; i < s->service->groups->len; i++) {
			auto *g = static_cast<manifest_group *>(
				g_ptr_array_index(s->service->groups, i));
			holder_route r = routing_find(vms[n]->routes.get(), g);

			if (r.first)
				calls[atoi(r.first)].push_back(g);
			else
				group_refuse(s, g, RESULT_NO_HOLDER);
		}
		s->open += (unsigned int)calls.size();
		for (auto &c : calls)
			step(MATRIX_AT_CALL_HOLDER, s->is_target, n, c.first,
			     [=] { search_send(n, s, c.first, c.second, false); });
	}
	void search_send(int n, const search_ref &s, int to, const group_list &groups,
			 bool is_failover)
	{
		search_message m = {};
		const struct gather_params *q = gather_params(s->state.get());
		unsigned int round = s->round;
		auto answered = std::make_shared<bool>(false);

		m.time_us = gather_remaining_us(s->state.get(), now, HOP_US);
		if (s->is_done || m.time_us == 0) {
			s->open--;
			for (auto *g : groups)
				group_refuse(s, g, RESULT_DEADLINE);
			return;
		}
		memcpy(m.id, q->request_id, sizeof(m.id));
		m.index = q->index_version;
		m.map = q->map_version;
		m.query = s->query;
		m.is_target = s->is_target;
		for (auto *g : groups)
			m.parts.push_back({g->id, std::vector<unsigned int>(
							  g->shards, g->shards + g->n_shards)});
		call<search_answer_message>(
			n, to, gather_respond_at_us(s->state.get()) - now,
			[=](auto reply) { holder_search(to, n, m, reply); },
			[=](call_status status, const search_answer_message &a) {
				bool is_own = !*answered && !s->is_done && round == s->round;

				*answered = true;
				if (is_own)
					search_reply(n, s, to, groups, is_failover, status, a);
				else if (!rules.reply_bound && !vms[n]->searches.empty() &&
					 vms[n]->searches[0]->state)
					shards_take(vms[n]->searches[0], a);
			});
	}
	void shards_take(const search_ref &s, const search_answer_message &a)
	{
		gather *g = s->state.get();
		const search_message &q = a.request;

		for (auto &shard : a.shards) {
			if (shard.second.first != RESULT_OK) {
				gather_missing_set(g, q.id, q.index, q.map, shard.first,
						   shard.second.first);
				continue;
			}
			json_t *hits = json_loads(shard.second.second.c_str(), 0, nullptr);
			gather_hits_add(g, q.id, q.index, q.map, shard.first, hits);
			json_decref(hits);
		}
	}
	void search_reply(int n, const search_ref &s, int from, const group_list &groups,
			  bool is_failover, call_status status, const search_answer_message &a)
	{
		process *p = vms[n].get();

		if (status == CALL_DONE) {
			for (auto &v : a.versions)
				if (!v.second.empty())
					snapshot_table_report(p->snapshots.get(), v.first.c_str(),
							      v.second.data(),
							      (unsigned int)v.second.size(), now);
			for (auto *g : groups)
				if (a.outcome != RESULT_OK)
					group_refuse(s, g, a.outcome);
			shards_take(s, a);
		}
		for (auto *g : groups) {
			holder_route r = routing_find(p->routes.get(), g);
			const char *standby = r.first && atoi(r.first) == from ? r.second : r.first;

			if (status == CALL_DONE)
				break;
			if (is_failover || !standby) {
				group_refuse(s, g, RESULT_HOLDER_LOST);
				continue;
			}
			s->open++;
			search_send(n, s, atoi(standby), {g}, true);
		}
		s->open--;
		search_advance(n, s);
	}
	bool search_restart(int n, const search_ref &s)
	{
		process *p = vms[n].get();
		const struct gather_params *q = gather_params(s->state.get());
		uint64_t end_us = gather_respond_at_us(s->state.get());

		if (!snapshot_should_restart(q->index_version, newest_version(p, s),
					     gather_gone_count(s->state.get()), now - q->start_us,
					     end_us > now ? end_us - now : 0, s->restarts))
			return false;
		s->restarts++;
		s->round++;
		s->open = 0;
		if (rules.restart_fresh) {
			search_pin(p, s);
		} else {
			gather *old = s->state.release();
			search_pin(p, s);
			const struct gather_params *fresh = gather_params(s->state.get());
			json_t *hits = gather_hits_merge(old, 1000);
			for (unsigned int i = 0; i < fresh->n_shards; i++)
				if (coverage_is_included(gather_coverage(old), i))
					gather_hits_add(s->state.get(), fresh->request_id,
							fresh->index_version, fresh->map_version, i,
							hits);
			json_decref(hits);
			gather_destroy(old);
		}
		search_scatter(n, s);
		return true;
	}
	void search_advance(int n, const search_ref &s)
	{
		if (s->open > 0 || s->is_done || !s->state)
			return;
		if (search_restart(n, s) && s->open > 0)
			return;
		search_answer(n, s);
	}
	void search_answer(int n, const search_ref &s)
	{
		if (s->is_done)
			return;
		s->is_done = true;
		step(MATRIX_AT_MERGE, s->is_target, n, HOLDER_0 + (int)rnd(2), [=] {
			const struct gather_params *q = gather_params(s->state.get());
			const coverage *c = gather_coverage(s->state.get());
			manifest_service *newest = service_of(vms[n]->m, "cat");
			json_t *included = json_array();
			bool complete = coverage_is_complete(c);

			if (!rules.keep_manifest)
				complete = coverage_included_count(c) >= newest->n_shards;
			for (unsigned int i = 0; i < q->n_shards; i++)
				if (coverage_is_included(c, i))
					json_array_append_new(included, json_integer(i));
			std::shared_ptr<json_t> answer(
				json_pack("{s:I,s:I,s:i,s:b,s:o,s:o}", "index",
					  (json_int_t)q->index_version, "map",
					  (json_int_t)q->map_version, "shards", (int)q->n_shards,
					  "complete", complete, "included", included, "hits",
					  gather_hits_merge(s->state.get(), 100)),
				json_decref);
			step(MATRIX_AT_REPLY, s->is_target, n, CALLER, [=] {
				auto &list = vms[n]->searches;

				for (size_t i = 0; i < list.size(); i++)
					if (list[i] == s)
						list.erase(list.begin() + (long)i--);
				s->reply(answer.get());
			});
		});
	}

	/* Holder. */

	static manifest_ref manifest_for(process *p, const char *service, uint64_t map)
	{
		for (auto &m : {p->m, p->previous})
			if (m && service_of(m, service) &&
			    service_of(m, service)->map_version == map)
				return m;
		return p->m;
	}
	void holder_search(int n, int from, const search_message &m,
			   const std::function<void(const search_answer_message &)> &reply)
	{
		process *p = vms[n].get();
		struct job {
			search_answer_message answer;
			manifest_ref keep;
			size_t open = 0;
			bool is_done = false;
		};
		auto j = std::make_shared<job>();
		uint64_t deadline_us = now + m.time_us;

		j->answer.request = m;
		j->keep = manifest_for(p, "cat", m.map);
		if (!j->keep) {
			j->answer.outcome = RESULT_NOT_READY;
			reply(j->answer);
			return;
		}
		p->jobs++;
		action finish = [=] {
			if (j->is_done)
				return;
			j->is_done = true;
			vms[n]->jobs--;
			for (auto &part : m.parts)
				j->answer.versions[part.group] = versions_report(vms[n].get());
			reply(j->answer);
		};
		timer(n, m.time_us, finish);
		for (auto &part : m.parts)
			j->open += part.shards.size();
		for (auto &part : m.parts)
			for (unsigned int shard : part.shards) {
				auto c = leaf_call_create();

				j->answer.shards[shard] = {RESULT_LEAF_TIMEOUT, ""};
				c->group = manifest_group_find(j->keep.get(), part.group.c_str());
				c->request.id = std::to_string(++next_call);
				c->request.index = m.index;
				c->request.map = m.map;
				c->request.shard = shard;
				c->request.query = m.query;
				c->request.is_target = m.is_target;
				c->request.deadline_us = deadline_us;
				c->done = [=](result r, bool, const std::string &body) {
					if (j->is_done)
						return;
					j->answer.shards[shard] = {r, body};
					if (--j->open == 0)
						finish();
				};
				leaf_place(n, c);
			}
	}
	uint64_t next_call = 0;
	static std::vector<uint64_t> versions_report(process *p)
	{
		std::set<uint64_t> versions;

		for (int i = 0; i < 2; i++)
			if (!is_marked(p, i))
				versions.insert(p->leaf_versions[i].begin(),
						p->leaf_versions[i].end());
		return {versions.begin(), versions.end()};
	}
	void holder_command(int n, int from, const command_message &m,
			    const std::function<void(const command_answer_message &)> &reply)
	{
		process *p = vms[n].get();
		manifest_ref keep = manifest_for(p, "loan", m.map);
		const command_result *known = nullptr;
		result reason = RESULT_OK;
		command_decision verdict = COMMAND_DISPATCH;

		pause_check(p);
		if (rules.holder_memory)
			verdict = command_log_begin(p->commands.get(), m.id.c_str(), now_ms(),
						    &known, &reason);
		if (verdict == COMMAND_FINISHED)
			reply({m.id, known->outcome, known->result, known->body});
		else if (verdict == COMMAND_WAIT)
			reply({m.id, OUTCOME_UNKNOWN, RESULT_DUPLICATE_ID, ""});
		else if (verdict == COMMAND_REFUSE)
			reply({m.id, result_is_not_run(reason) ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
			       reason, ""});
		if (verdict != COMMAND_DISPATCH)
			return;
		auto c = leaf_call_create();
		auto finish = [=](outcome o, result r, const std::string &body) {
			if (c->is_done)
				return;
			c->is_done = true;
			vms[n]->jobs--;
			command_log_finish(vms[n]->commands.get(), m.id.c_str(), o, r,
					   body.c_str());
			step(MATRIX_AT_COMMAND_ANSWER, m.is_target, n, from, [=] {
				reply({m.id, o, r, body});
			});
		};
		p->jobs++;
		if (pausewatch_is_stale(p->pauses.get()) || !keep) {
			finish(OUTCOME_NOT_RUN, keep ? RESULT_STALE : RESULT_NOT_READY, "");
			return;
		}
		c->group = manifest_group_find(keep.get(), m.group.c_str());
		c->request.id = m.id;
		c->request.is_command = true;
		c->request.is_target = m.is_target;
		c->request.map = m.map;
		c->request.deadline_us = now + m.time_us;
		c->done = [=](result r, bool was_sent, const std::string &body) {
			(void)keep;
			finish(command_outcome(r, was_sent), r, body);
		};
		timer(n, m.time_us, [=] {
			bool was_sent = c->was_sent || c->tried != 0;

			if (was_sent)
				finish(OUTCOME_UNKNOWN, RESULT_LOST_ANSWER, "");
			else
				finish(OUTCOME_NOT_RUN, RESULT_DEADLINE, "");
		});
		leaf_place(n, c);
	}
	leaf_call_ref leaf_call_create()
	{
		auto c = std::make_shared<leaf_call>();

		leaf_calls.push_back(c);
		return c;
	}
	static std::string backend(int i)
	{
		return "b" + std::to_string(i);
	}
	static bool is_marked(process *p, int i)
	{
		return leaving_is_marked(p->marks.get(), backend(i).c_str(),
					 p->leaf_incarnation[i]);
	}
	/* A leaf, or -1 with the reason. */
	int leaf_pick(process *p, const leaf_call_ref &c, result *obstacle)
	{
		if (c->first < 0)
			c->first = (int)rnd(2);
		*obstacle = RESULT_NO_REPLICA;
		for (int k = 0; k < 2; k++) {
			int i = c->first ^ k;
			auto &v = p->leaf_versions[i];
			bool serves = c->request.is_command || v.empty();

			for (uint64_t version : v)
				serves |= version == c->request.index;
			if (c->tried & 1u << i || !nodes[LEAF_0 + i].up)
				continue;
			if (!serves)
				*obstacle = RESULT_VERSION_GONE;
			else if (rules.mark_check && is_marked(p, i))
				*obstacle = RESULT_LEAVING;
			else
				return i;
		}
		return -1;
	}
	/* The choice and the call are one turn of the event loop, so the step comes before both. */
	void leaf_place(int n, const leaf_call_ref &c, bool is_in_step = false)
	{
		if (!nodes[n].up)
			return;
		if (rules.read_before_dispatch && now < nodes[n].paused_until_us + MS) {
			timer(n, MS, [=] { leaf_place(n, c, is_in_step); });
			return;
		}
		result obstacle = RESULT_DEADLINE;
		int i = now < c->request.deadline_us ? leaf_pick(vms[n].get(), c, &obstacle) : -1;

		if (i < 0) {
			c->done(c->last_failure ? c->last_failure : obstacle, c->was_sent, "");
			return;
		}
		if (!is_in_step) {
			step(MATRIX_AT_CALL_LEAF, c->request.is_target, n, LEAF_0 + i,
			     [=] { leaf_place(n, c, true); });
			return;
		}
		c->tried |= 1u << i;
		leaf_send(n, i, c);
	}
	void leaf_send(int n, int i, const leaf_call_ref &c)
	{
		auto &list = vms[n]->connections[i];
		std::shared_ptr<connection> conn;
		int to = LEAF_0 + i;
		leaf_request request = c->request;
		uint64_t epoch = nodes[n].epoch;

		for (auto &idle : list)
			if (!idle->call && !idle->is_closed)
				conn = idle;
		if (!conn) {
			conn = std::make_shared<connection>();
			list.push_back(conn);
		}
		conn->call = c;
		/* A connection whose call timed out is closed; its late answer is never read. */
		auto lost = [=](leaf_status status) {
			leaf_reply failed;

			if (conn->call != c)
				return;
			conn->is_closed = true;
			conn->call = nullptr;
			failed.status = status;
			leaf_answered(n, c, failed);
		};
		if (!nodes[to].up) {
			timer(n, MS, [=] { lost(FAILED); });
			return;
		}
		open_calls.emplace_back(n, to, nodes[n].epoch, [=] { lost(FAILED); });
		post(n, to, [=] {
			leaf_receive(i, n, request, [=](const leaf_reply &a) {
				post(to, n, [=] {
					if (nodes[n].epoch == epoch)
						leaf_read(n, i, conn, a);
				});
			});
		});
		timer(n, request.deadline_us > now ? request.deadline_us - now : 0,
		      [=] { lost(EXPIRED); });
	}
	static bool answer_confirms(const leaf_request &call, const leaf_request &answer)
	{
		return call.id == answer.id && call.index == answer.index &&
		       call.map == answer.map && call.shard == answer.shard;
	}
	void leaf_read(int n, int i, const std::shared_ptr<connection> &conn, leaf_reply a)
	{
		process *p = vms[n].get();
		leaf_call_ref c = conn->call;

		/* libevent closes a connection on which an answer comes without a request. */
		if (!c)
			conn->is_closed = true;
		if (conn->is_closed)
			return;
		conn->call = nullptr;
		if (a.status == ANSWERED && rules.confirm_answer &&
		    !answer_confirms(c->request, a.confirmed)) {
			a.status = MISMATCH;
			conn->is_closed = true;
		}
		p->leaf_versions[i] = a.versions;
		if (p->leaf_incarnation[i] != a.incarnation)
			leaving_observe(p->marks.get(), backend(i).c_str(), a.incarnation);
		p->leaf_incarnation[i] = a.incarnation;
		if (a.is_draining && a.incarnation == leaves[i].incarnation)
			sign_note(i);
		if (a.is_draining && !is_marked(p, i))
			mark_apply(p, backend(i), a.incarnation, LEAVING_DRAIN);
		leaf_answered(n, c, a);
	}
	void leaf_answered(int n, const leaf_call_ref &c, const leaf_reply &a)
	{
		static const result results[] = {RESULT_OK,	      RESULT_SHED,
						 RESULT_VERSION_GONE, RESULT_WRONG_SHARD,
						 RESULT_LEAF_TIMEOUT, RESULT_LEAF_ERROR,
						 RESULT_MISMATCH};
		result unused;

		c->was_sent |= a.status != REFUSED && a.status != GONE && a.status != WRONG_SHARD;
		if (a.status == ANSWERED) {
			c->done(RESULT_OK, true, a.body);
			return;
		}
		c->last_failure = results[a.status];
		if ((c->request.is_command && c->was_sent && rules.retry_ban) ||
		    now >= c->request.deadline_us || c->is_done ||
		    leaf_pick(vms[n].get(), c, &unused) < 0)
			c->done(c->last_failure, c->was_sent, "");
		else
			timer(n, MS, [=] { leaf_place(n, c); });
	}
	void mark_apply(process *p, const std::string &name, uint64_t incarnation,
			leaving_sign sign)
	{
		if (!leaving_mark(p->marks.get(), name.c_str(), incarnation, sign))
			return;
		trace("mark " + name + " at " + std::to_string(p->index));
		for (int to = HOLDER_0; to <= HOLDER_1 && sign != LEAVING_PEER; to++)
			if (rules.mark_share && to != p->index)
				post(p->index, to, [=] {
					mark_apply(vms[to].get(), name, incarnation, LEAVING_PEER);
				});
	}
	void sign_note(int i)
	{
		if (leaves[i].is_draining && leaves[i].sign_us == 0)
			leaves[i].sign_us = now;
	}
	void vms_receive(process *p, const std::set<std::string> &list)
	{
		for (int i = 0; i < 2; i++)
			if (!list.count(backend(i))) {
				leaving_unlist(p->marks.get(), backend(i).c_str());
			} else {
				sign_note(i);
				mark_apply(p, backend(i), 0, LEAVING_VM_LIST);
			}
	}

	/* Leaves. */

	void leaf_start(int i)
	{
		leaf_state *l = &leaves[i];

		l->incarnation = ((uint64_t)g_rand_int(rand) << 32) | 1;
		l->is_draining = l->refuses = false;
		l->sign_us = 0;
	}
	void leaf_receive(int i, int from, const leaf_request &q,
			  const std::function<void(const leaf_reply &)> &reply)
	{
		leaf_state *l = &leaves[i];
		int n = LEAF_0 + i;
		leaf_reply a;

		a.confirmed = q;
		a.incarnation = l->incarnation;
		a.versions = {l->versions.begin(), l->versions.end()};
		a.is_draining = l->is_draining;
		if (l->is_draining && l->sign_us && now > l->sign_us + MARK_BOUND_US)
			violation("P6: new work to a leaving leaf " +
				  std::to_string((now - l->sign_us) / MS) + " ms after the sign");
		if (l->is_draining && l->refuses)
			a.status = REFUSED;
		else if (!l->maps.count(q.map))
			a.status = WRONG_SHARD;
		else if (!q.is_command && !l->versions.count(q.index))
			a.status = GONE;
		else if (now >= q.deadline_us)
			a.status = EXPIRED;
		else
			a.status = ANSWERED;
		auto send = [=](const leaf_reply &answer) {
			step(MATRIX_AT_LEAF_ANSWER, q.is_target, n, from, [=] { reply(answer); });
		};
		if (a.status != ANSWERED) {
			send(a);
			return;
		}
		uint64_t half_us = (1 + rnd(3)) * MS;
		if (nodes[n].slow_until_us > now)
			half_us += rnd(400 * MS);
		timer(n, half_us, [=] {
			step(MATRIX_AT_RUNNING, q.is_target, n, from, [=] {
				leaf_reply done = a;

				if (q.is_command) {
					runs_of[q.id]++;
					done.body = "\"" + q.id + "\"";
				} else {
					json_t *hits = json_pack(
						"[{s:s,s:f,s:i,s:I,s:I,s:s}]", "id",
						(q.query + std::to_string(q.shard)).c_str(),
						"score", 0.5, "shard", (int)q.shard, "index",
						(json_int_t)q.index, "map", (json_int_t)q.map,
						"query", q.query.c_str());
					char *text = json_dumps(hits, JSON_COMPACT);

					done.body = text;
					free(text);
					json_decref(hits);
				}
				timer(n, half_us, [=] { send(done); });
			});
		});
	}

	/* Callers. */

	void caller_ask(bool command, bool is_target, int tries = 3)
	{
		auto list = lists[0];
		int e = (int)rnd(2);

		if (tries == 0)
			return;
		if (!is_target && list && entrylist_expiry(list.get()) > now_ms()) {
			caller_send(list, command, false, tries);
			return;
		}
		using list_ref = std::shared_ptr<entrylist>;
		call<list_ref>(
			CALLER, e, 300 * MS,
			[=](auto reply) {
				step(MATRIX_AT_ENTRY_LIST, is_target, e, CALLER, [=] {
					auto all = member_list(vms[e].get());
					std::vector<member_entry> entries;

					for (auto &v : all)
						if (v.name[0] == 'e')
							entries.push_back(v);
					reply(list_ref(
						entrylist_create(entries.data(),
								 (unsigned int)entries.size(), "a",
								 now_ms(), rand),
						entrylist_destroy));
				});
			},
			[=](call_status status, const list_ref &answer) {
				unsigned int n = 0;

				if (status == CALL_DONE)
					entrylist_items(answer.get(), &n);
				if (n == 0) {
					timer(CALLER, 50 * MS,
					      [=] { caller_ask(command, is_target, tries - 1); });
					return;
				}
				lists[0] = answer;
				caller_send(answer, command, is_target, tries);
			});
	}
	void caller_send(const std::shared_ptr<entrylist> &list, bool command, bool is_target,
			 int tries)
	{
		unsigned int n;
		const entrylist_item *items = entrylist_items(list.get(), &n);
		const entrylist_item *item = &items[rnd(n)];
		int e = atoi(item->http);
		std::string marker = "q" + std::to_string(++requests);
		auto again = [=](call_status status) {
			if (status == CALL_DONE)
				return;
			lists[0] = nullptr;
			caller_ask(command, false, tries - 1);
		};

		/* A lost or copied request is the caller's message, not the entry's. */
		for (size_t i = 0; is_target && i < injections.size();) {
			matrix_injection in = injections[i];

			if (in.step != MATRIX_AT_ACCEPT ||
			    (in.fault != MATRIX_LOST && in.fault != MATRIX_DUPLICATED)) {
				i++;
				continue;
			}
			report.fired++;
			injections.erase(injections.begin() + (long)i);
			inject(in.fault, CALLER, e);
		}
		if (command) {
			command_message m;

			m.id = std::string(item->id_prefix) + "." + "request-" + marker;
			m.group = "loan-0";
			m.is_target = is_target;
			command_send(e, m, [=](call_status s, const command_answer_message &a) {
				last_done = s == CALL_DONE && a.outcome == OUTCOME_DONE;
				again(s);
			});
			/* Repeats, also after an answer, at the same entry or another. */
			for (uint64_t delay : {rnd(40), 900 + rnd(1500), 3000 + rnd(7000)})
				timer(CALLER, delay * MS, [=] {
					command_message copy = m;

					copy.is_target = false;
					command_send(rnd(4) ? e : e ^ 1, copy, nullptr);
				});
			return;
		}
		call<std::shared_ptr<json_t>>(
			CALLER, e, 800 * MS,
			[=](auto reply) {
				uint64_t arrived_us = now;

				step(MATRIX_AT_ACCEPT, is_target, e, CALLER, [=] {
					search_receive(
						e, marker, is_target, arrived_us,
						[=](const json_t *a) {
							reply(std::shared_ptr<json_t>(
								json_deep_copy(a), json_decref));
						});
				});
			},
			[=](call_status status, const std::shared_ptr<json_t> &a) {
				if (status == CALL_DONE)
					search_check(a.get(), marker);
				again(status);
			});
	}
	void
	command_send(int e, const command_message &m,
		     const std::function<void(call_status, const command_answer_message &)> &done)
	{
		call<command_answer_message>(
			CALLER, e, 800 * MS,
			[=](auto reply) {
				uint64_t arrived_us = now;
				auto answer = [=](const command_answer_message &a) {
					step(MATRIX_AT_REPLY, m.is_target, e, CALLER,
					     [=] { reply(a); });
				};

				step(MATRIX_AT_ACCEPT, m.is_target, e, CALLER,
				     [=] { commander_receive(e, m, arrived_us, answer); });
			},
			[=](call_status status, const command_answer_message &a) {
				if (status == CALL_DONE) {
					told[m.id].push_back(a);
					if (a.id != m.id || (a.outcome == OUTCOME_DONE &&
							     a.body != "\"" + m.id + "\""))
						violation("P3: another command's answer");
				}
				if (done)
					done(status, a);
			});
	}

	/* Checks. */

	void search_check(const json_t *a, const std::string &marker)
	{
		std::set<int> included, seen;
		json_int_t index = json_integer_value(json_object_get(a, "index"));
		json_int_t map = json_integer_value(json_object_get(a, "map"));
		size_t i, n_shards = (size_t)json_integer_value(json_object_get(a, "shards"));
		json_t *item;

		last_complete = json_is_true(json_object_get(a, "complete"));
		json_array_foreach(json_object_get(a, "included"), i, item)
			included.insert((int)json_integer_value(item));
		json_array_foreach(json_object_get(a, "hits"), i, item)
		{
			if (json_integer_value(json_object_get(item, "index")) != index ||
			    json_integer_value(json_object_get(item, "map")) != map)
				violation("P1: hits of another snapshot");
			if (marker != json_string_value(json_object_get(item, "query")))
				violation("P3: hits of another request");
			seen.insert((int)json_integer_value(json_object_get(item, "shard")));
		}
		if (json_array_size(json_object_get(a, "hits")) != seen.size())
			violation("P3: a hit is repeated");
		if (seen != included)
			violation("P2: coverage differs from the shards included");
		if (last_complete != (n_shards > 0 && included.size() == n_shards))
			violation("P2: complete differs from all shards of the pinned map");
	}
	void final_check()
	{
		for (auto &r : runs_of)
			if (r.second > 1)
				violation("P5: a command ran " + std::to_string(r.second) +
					  " times");
		for (auto &t : told)
			for (auto &a : t.second) {
				if (a.outcome == OUTCOME_NOT_RUN && runs_of.count(t.first))
					violation("P4: not_run (" +
						  std::string(result_name(a.result)) +
						  ") was told of a command that ran");
				if (a.outcome == OUTCOME_DONE && !runs_of.count(t.first))
					violation(
						"P3: done was told of a command that did not run");
			}
		for (int i = 0; i < 4; i++)
			if (nodes[i].up && vms[i]->published_version != platform.back().version)
				violation("P8: VM " + std::to_string(i) + " has version " +
					  std::to_string(vms[i]->published_version) + " of " +
					  std::to_string(platform.back().version));
		if (is_command ? !last_done : !last_complete)
			violation("recovery: the last request was not served completely");
	}
	void run()
	{
		uint64_t t = start + TARGET_US;

		publish(1, 1);
		for (int i = 0; i < 2; i++)
			leaf_start(i);
		for (int i = 0; i < 4; i++)
			process_start(i);
		at(t, [=] { caller_ask(is_command, true); });
		/* An earlier version that a stale platform can show again. */
		at(start + TARGET_US / 2, [=] { publish(1, 2); });
		/*
		 * Requests of other callers close to the target, later, and long after the fault.
		 */
		for (uint64_t ms : {0, 1, 3, 5, 9, 20, 40, 80, 150, 400, 700, 1500, 3500, 5000,
				    6500, 8500, 11000, 13000})
			at(t + ms * MS + rnd(MS), [=] { caller_ask(is_command, false); });
		at(start + END_US - 1500 * MS, [=] {
			last_done = last_complete = false;
			lists[0] = nullptr;
			caller_ask(is_command, false);
		});
		while (!queue.empty() && queue.begin()->first <= start + END_US) {
			auto next = queue.begin();
			action f = std::move(next->second);

			now = next->first;
			queue.erase(next);
			f();
		}
		final_check();
	}
};

} // namespace

const char *matrix_fault_name(matrix_fault fault)
{
	static const char *const names[] = {
#define X(symbol, name) name,
		MATRIX_FAULT_LIST(X)
#undef X
	};

	return names[fault];
}

const char *matrix_step_name(matrix_step step)
{
	static const char *const names[] = {
#define X(symbol, name) name,
		MATRIX_STEP_LIST(X)
#undef X
	};

	return names[step];
}

const char *matrix_not_applicable(matrix_fault fault, matrix_step step, bool is_command)
{
	bool is_message = fault == MATRIX_LOST || fault == MATRIX_DUPLICATED;

	if (is_command &&
	    (step == MATRIX_AT_PIN || step == MATRIX_AT_CALL_HOLDER || step == MATRIX_AT_MERGE))
		return "a command has no such step";
	if (!is_command && step >= MATRIX_AT_COMMAND_SEND)
		return "a search has no such step";
	if (is_message &&
	    (step == MATRIX_AT_PIN || step == MATRIX_AT_RUNNING || step == MATRIX_AT_MERGE))
		return "the step sends no message";
	if (fault == MATRIX_DUPLICATED && is_command && step == MATRIX_AT_CALL_LEAF)
		return "neither TCP nor the HTTP client repeats a command";
	return nullptr;
}

matrix_report matrix_run(unsigned int seed, bool is_command,
			 const std::vector<matrix_injection> &injections, const matrix_rules &rules)
{
	world w(seed, is_command, injections, rules);

	w.run();
	return w.report;
}
