#include "backlog.h"
#include "rank.h"
#include "repeats.h"
#include "retryafter.h"
#include "script.h"
#include "window.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>

namespace
{
#define MS_US 1000u
#define S_US 1000000u
/* Weight of a new sample in the average of a leaf's times, as in leafset.c. */
#define EWMA_WEIGHT 0.2
/* As GOAL_MARGIN_US of scatter.c. */
#define MARGIN_US 28000u
/* The window of the deployment's rule. */
#define RULE_US 2000000u
#define RULE_STEP_US 200000u
/* Fewer requests in a window tell little. */
#define RULE_REQUESTS_MIN 30
#define TRIES_MAX 3

struct route {
	unsigned int rank;
	std::string name;
	double per_s;
	uint64_t target_us;
	double min_share;
	uint64_t work_us;
	uint64_t timeout_us;
	double burst = 1;
	uint64_t burst_from_us = 0;
	uint64_t burst_to_us = 0;
	unsigned int asked = 0, in_time = 0, late = 0, refused = 0;

	uint64_t useful_us() const
	{
		return target_us > MARGIN_US ? target_us - MARGIN_US : target_us;
	}
};

struct request;

struct call {
	struct request *request;
	unsigned int shard;
	unsigned int leaf;
	uint64_t started_us;
	uint64_t sent_us = 0;
	unsigned int tries = 0;
};

/* One attempt of a caller. */
struct request {
	struct route *route;
	unsigned int vm;
	uint64_t first_us; /* the caller's first attempt */
	uint64_t read_us;
	unsigned int n_attempts;
	unsigned int n_answered = 0;
	uint64_t enough_us = 0;
	bool is_ended = false;
	struct rank_group *group = nullptr;
	struct rank_route *rank_route = nullptr;
};

struct leaf {
	std::deque<struct call *> queue;
	unsigned int n_running = 0;
	double slow = 1;
	uint64_t slow_from_us = 0, slow_to_us = 0;
	uint64_t down_from_us = 0, down_to_us = 0;
};

/* What one VM knows of one leaf. */
struct link {
	struct window window;
	std::vector<struct call *> waiting; /* the newest last */
	unsigned int n_queued[RANK_COUNT] = {};
	unsigned int n_sent = 0;
	double service_us = 0;
	uint64_t down_until_us = 0;
};

struct vm {
	std::vector<struct link> links;
	struct backlog_gate gate = {};
	struct ranks *ranks = nullptr;
};

enum event_kind { ARRIVAL, AT_LEAF, WORK_DONE, AT_VM, REFUSED, RETURNING, GOAL, TIMEOUT };

struct event {
	uint64_t at_us;
	uint64_t number;
	enum event_kind kind;
	void *subject;

	bool operator<(const struct event &o) const
	{
		return at_us != o.at_us ? at_us > o.at_us : number > o.number;
	}
};

/* How the caller's request has ended, by the time of its first attempt. */
struct end {
	uint64_t first_us;
	unsigned int rank;
	bool is_in_time;
};

/*
 * VMs that share the leaves without exchanging messages, each with a window for each leaf and a
 * queue of calls before it. Leaves run calls in the order of arrival and refuse them when their
 * queue is full. There are no second calls except after a refusal or a lost call. A caller that is
 * refused comes back while its target allows it.
 */
struct rank_script : script_interpreter {
	unsigned int n_vms = 4, n_shards = 90, n_replicas = 3, slots = 2, queue_max = 12;
	uint64_t trip_us = 1400;
	bool has_ranks = true;
	std::vector<std::unique_ptr<struct route>> routes;
	std::vector<struct leaf> leaves;
	std::vector<struct vm> vms;
	std::deque<struct request> requests;
	std::deque<struct call> calls;
	std::priority_queue<struct event> events;
	std::vector<struct end> ends;
	std::vector<std::string> services;
	std::vector<char *> service_names;
	std::vector<std::string> faults;
	uint64_t n_events = 0;
	uint64_t now_us = 20 * S_US;
	uint64_t begin_us = now_us;
	uint64_t stop_us = 0;
	struct repeats *budget = nullptr;
	GRand *rand = g_rand_new_with_seed(1);
	GRand *arrivals = g_rand_new_with_seed(2); /* alike with ranks and without */

	~rank_script() override
	{
		for (auto &v : vms)
			ranks_destroy(v.ranks);
		repeats_destroy(budget);
		g_rand_free(rand);
		g_rand_free(arrivals);
	}

	void at(uint64_t at_us, enum event_kind kind, void *subject)
	{
		events.push({at_us, n_events++, kind, subject});
	}

	struct link &link_of(unsigned int vm, unsigned int leaf)
	{
		return vms[vm].links[leaf];
	}

	void setup()
	{
		for (unsigned int i = 0; i < n_shards; i++)
			services.push_back("s" + std::to_string(i));
		for (auto &s : services)
			service_names.push_back(s.data());
		leaves.resize((size_t)n_shards * n_replicas);
		vms.resize(n_vms);
		for (auto &v : vms) {
			v.links.resize(leaves.size());
			v.ranks = has_ranks ? ranks_create() : nullptr;
			for (auto &l : v.links) {
				window_init(&l.window, slots);
				l.service_us = 20.0 * MS_US;
			}
		}
		for (auto &r : routes)
			arrival_plan(r.get());
	}

	void arrival_plan(struct route *r)
	{
		uint64_t since_us = now_us - begin_us;
		bool is_burst = since_us >= r->burst_from_us && since_us < r->burst_to_us;
		double per_s = r->per_s * (is_burst ? r->burst : 1);

		at(now_us + 1 + (uint64_t)(-std::log(1 - g_rand_double(arrivals)) / per_s * S_US),
		   ARRIVAL, r);
	}

	bool is_down(const struct leaf &l) const
	{
		uint64_t since_us = now_us - begin_us;

		return since_us >= l.down_from_us && since_us < l.down_to_us;
	}

	double slowness(const struct leaf &l) const
	{
		uint64_t since_us = now_us - begin_us;

		return since_us >= l.slow_from_us && since_us < l.slow_to_us ? l.slow : 1;
	}

	unsigned int leaf_choose(unsigned int vm, unsigned int shard, int left_out)
	{
		unsigned int best = G_MAXUINT;
		double best_us = 0;

		for (unsigned int i = 0; i < n_replicas; i++) {
			unsigned int leaf = shard * n_replicas + i;
			struct link &l = link_of(vm, leaf);
			double us =
				l.service_us * (1 + (double)(l.n_sent + l.waiting.size()) / slots);

			if (l.down_until_us > now_us)
				us += S_US;
			if ((int)leaf == left_out || (best != G_MAXUINT && us >= best_us))
				continue;
			best = leaf;
			best_us = us;
		}
		return best;
	}

	static struct backlog backlog_of(const struct link &l)
	{
		return {l.n_sent, (unsigned int)l.waiting.size(), window_size(&l.window),
			l.service_us};
	}

	bool is_admitted(struct request *r, const std::vector<unsigned int> &chosen)
	{
		struct vm &v = vms[r->vm];
		uint64_t useful_us = r->route->useful_us();
		unsigned int n_in_time = 0;

		if (has_ranks)
			return is_rank_admitted(r, chosen);
		useful_us = backlog_useful_us(&v.gate, useful_us, now_us);
		for (unsigned int leaf : chosen) {
			struct backlog b = backlog_of(v.links[leaf]);

			n_in_time += backlog_answer_us(&b) <= useful_us;
		}
		return backlog_admit(&v.gate, n_in_time, n_shards, r->route->min_share, now_us);
	}

	bool is_rank_admitted(struct request *r, const std::vector<unsigned int> &chosen)
	{
		struct vm &v = vms[r->vm];
		std::vector<struct rank_shard> shards(n_shards);
		struct rank_request request = {};
		struct rank_answer answer;

		for (unsigned int i = 0; i < n_shards; i++) {
			const struct link &l = v.links[chosen[i]];

			shards[i].has_leaf = true;
			shards[i].backlog = backlog_of(l);
			std::copy(std::begin(l.n_queued), std::end(l.n_queued),
				  shards[i].n_waiting);
		}
		request.rank = r->route->rank;
		request.useful_us = r->route->useful_us();
		request.target_us = r->route->useful_us();
		request.min_share = r->route->min_share;
		request.is_repeat = r->n_attempts > 0;
		request.shards = shards.data();
		request.n_shards = n_shards;
		r->group = ranks_group_find(v.ranks, service_names.data(), n_shards);
		r->rank_route = rank_route_find(r->group, r->route->name.c_str(), r->route->rank);
		answer = rank_admit(r->group, r->rank_route, &request, now_us);
		return answer.verdict == RANK_ADMITTED || answer.verdict == RANK_FLOOR;
	}

	/* Counts the caller's request. */
	void finish(struct request *r, bool is_answered, bool is_refused)
	{
		bool is_in_time = is_answered && now_us <= r->first_us + r->route->target_us;

		r->route->in_time += is_in_time;
		r->route->refused += is_refused;
		r->route->late += !is_in_time && !is_refused;
		ends.push_back({r->first_us, r->route->rank, is_in_time});
	}

	void begin(struct request *r)
	{
		std::vector<unsigned int> chosen;

		r->read_us = now_us;
		r->vm = (unsigned int)g_rand_int_range(rand, 0, (gint32)n_vms);
		for (unsigned int i = 0; i < n_shards; i++)
			chosen.push_back(leaf_choose(r->vm, i, -1));
		if (!is_admitted(r, chosen)) {
			uint64_t left_us = r->first_us + r->route->timeout_us - now_us;
			double wait_s = retryafter_choose_rank_s(has_ranks ? r->route->rank : 0,
								 left_us / MS_US, rand);

			r->n_attempts++;
			if (now_us + wait_s * S_US > r->first_us + r->route->target_us)
				finish(r, false, true);
			else
				at(now_us + (uint64_t)(wait_s * S_US), RETURNING, r);
			return;
		}
		for (unsigned int i = 0; i < n_shards; i++) {
			calls.push_back({r, i, chosen[i], now_us});
			call_add(&calls.back());
		}
		at(r->read_us + r->route->useful_us(), GOAL, r);
		at(r->first_us + r->route->timeout_us, TIMEOUT, r);
	}

	void call_add(struct call *c)
	{
		struct link &l = link_of(c->request->vm, c->leaf);

		l.waiting.push_back(c);
		l.n_queued[c->request->route->rank]++;
		link_serve(c->request->vm, c->leaf);
	}

	struct rank_wait wait_of(const struct call *c) const
	{
		return {c->request->route->rank, now_us - c->started_us,
			c->request->route->useful_us(), n_shards - c->request->n_answered};
	}

	/* As queue_next() of upstream.c. */
	size_t waiting_next(const struct link &l) const
	{
		size_t best = l.waiting.size() - 1;

		for (size_t i = best; has_ranks && i-- > 0;) {
			struct rank_wait a = wait_of(l.waiting[i]);
			struct rank_wait b = wait_of(l.waiting[best]);

			if (rank_wait_compare(&a, &b) < 0)
				best = i;
		}
		return best;
	}

	static void waiting_drop_ended(struct link &l)
	{
		for (size_t i = l.waiting.size(); i-- > 0;) {
			if (!l.waiting[i]->request->is_ended)
				continue;
			l.n_queued[l.waiting[i]->request->route->rank]--;
			l.waiting.erase(l.waiting.begin() + (long)i);
		}
	}

	void link_serve(unsigned int vm, unsigned int leaf)
	{
		struct link &l = link_of(vm, leaf);

		while (!l.waiting.empty() && l.n_sent < window_size(&l.window)) {
			size_t next = waiting_next(l);
			struct call *c = l.waiting[next];

			l.waiting.erase(l.waiting.begin() + (long)next);
			l.n_queued[c->request->route->rank]--;
			l.n_sent++;
			c->sent_us = now_us;
			at(now_us + trip_us, AT_LEAF, c);
		}
	}

	void at_leaf(struct call *c)
	{
		struct leaf &l = leaves[c->leaf];

		if (is_down(l) || l.queue.size() >= queue_max) {
			at(now_us + trip_us, REFUSED, c);
			return;
		}
		l.queue.push_back(c);
		leaf_serve(l);
	}

	void leaf_serve(struct leaf &l)
	{
		while (!l.queue.empty() && l.n_running < slots) {
			struct call *c = l.queue.front();
			double work_us = (double)c->request->route->work_us * slowness(l) *
					 g_rand_double_range(rand, 0.6, 1.4);

			l.queue.pop_front();
			l.n_running++;
			at(now_us + (uint64_t)work_us, WORK_DONE, c);
		}
	}

	void work_done(struct call *c)
	{
		struct leaf &l = leaves[c->leaf];

		l.n_running--;
		leaf_serve(l);
		at(now_us + trip_us, AT_VM, c);
	}

	void at_vm(struct call *c)
	{
		struct request *r = c->request;
		struct link &l = link_of(r->vm, c->leaf);
		double sample_us = (double)(now_us - c->sent_us);

		window_call_ended(&l.window, c->sent_us, r->route->useful_us(), l.n_sent, now_us);
		l.n_sent--;
		l.service_us +=
			EWMA_WEIGHT * (std::min(sample_us, 3 * l.service_us) - l.service_us);
		if (!r->is_ended) {
			r->n_answered++;
			if (!r->enough_us && r->n_answered >= r->route->min_share * n_shards)
				r->enough_us = now_us;
			request_advance(r);
		}
		link_serve(r->vm, c->leaf);
	}

	void refused(struct call *c)
	{
		struct request *r = c->request;
		struct link &l = link_of(r->vm, c->leaf);
		unsigned int leaf = c->leaf;

		window_call_refused(&l.window, c->sent_us, now_us);
		l.n_sent--;
		if (is_down(leaves[leaf]))
			l.down_until_us = now_us + 400 * MS_US;
		if (!r->is_ended && ++c->tries < TRIES_MAX) {
			c->leaf = leaf_choose(r->vm, c->shard, (int)leaf);
			call_add(c);
		}
		link_serve(r->vm, leaf);
	}

	/* Answers when all shards are in, or enough of them at the goal. */
	void request_advance(struct request *r)
	{
		if (r->n_answered == n_shards ||
		    (r->enough_us && now_us >= r->read_us + r->route->useful_us()))
			request_end(r, true);
	}

	void request_end(struct request *r, bool is_answered)
	{
		uint64_t margin_us = (r->route->target_us - r->route->useful_us()) / 2;
		uint64_t took_us = now_us - r->read_us;
		struct rank_end end = {
			is_answered && now_us <= r->first_us + r->route->target_us - margin_us,
			r->n_attempts > 0, r->enough_us ? r->enough_us - r->read_us : took_us,
			r->route->useful_us()};

		r->is_ended = true;
		for (unsigned int i = 0; i < leaves.size() && r->n_answered < n_shards; i++)
			waiting_drop_ended(link_of(r->vm, i));
		finish(r, is_answered, false);
		if (r->group)
			rank_ended(r->group, r->rank_route, &end, now_us);
	}

	void arrive(struct route *r)
	{
		if (now_us >= stop_us)
			return;
		requests.push_back({r, 0, now_us, now_us, 0});
		r->asked++;
		arrival_plan(r);
		begin(&requests.back());
	}

	void handle(const struct event &e)
	{
		auto *r = static_cast<struct request *>(e.subject);
		auto *c = static_cast<struct call *>(e.subject);

		switch (e.kind) {
		case ARRIVAL:
			arrive(static_cast<struct route *>(e.subject));
			break;
		case AT_LEAF:
			at_leaf(c);
			break;
		case WORK_DONE:
			work_done(c);
			break;
		case AT_VM:
			at_vm(c);
			break;
		case REFUSED:
			refused(c);
			break;
		case RETURNING:
			begin(r);
			break;
		case GOAL:
			if (!r->is_ended)
				request_advance(r);
			break;
		case TIMEOUT:
			if (!r->is_ended)
				request_end(r, false);
			break;
		}
	}

	/* The most by which a lower rank was served in time more often in a window of the rule. */
	double worst_lead() const
	{
		double worst = 0;

		for (uint64_t from_us = begin_us; from_us + RULE_US <= stop_us;
		     from_us += RULE_STEP_US) {
			double asked[RANK_COUNT] = {}, in_time[RANK_COUNT] = {};

			for (const struct end &e : ends) {
				if (e.first_us < from_us || e.first_us >= from_us + RULE_US)
					continue;
				asked[e.rank]++;
				in_time[e.rank] += e.is_in_time;
			}
			for (unsigned int low = 1; low < RANK_COUNT; low++)
				for (unsigned int high = 0; high < low; high++)
					if (std::min(asked[low], asked[high]) >= RULE_REQUESTS_MIN)
						worst = std::max(
							worst, in_time[low] / asked[low] -
								       in_time[high] / asked[high]);
		}
		return worst;
	}

	std::string simulate(double seconds)
	{
		std::string out;
		char text[160];

		stop_us = begin_us + (uint64_t)(seconds * S_US);
		setup();
		for (const std::string &f : faults)
			fault_apply(f);
		while (!events.empty()) {
			struct event e = events.top();

			events.pop();
			now_us = e.at_us;
			handle(e);
		}
		for (auto &r : routes) {
			g_snprintf(text, sizeof(text),
				   "%s: asked %u in time %u late %u refused %u\n", r->name.c_str(),
				   r->asked, r->in_time, r->late, r->refused);
			out += text;
		}
		g_snprintf(text, sizeof(text), "a lower rank leads by at most %.2f\n",
			   worst_lead());
		return out + text;
	}

	/* "slow N FACTOR FROM_S TO_S" and "down N FROM_S TO_S": leaves, one of each N shards. */
	void fault_apply(const std::string &fault)
	{
		char kind[8];
		unsigned int every;
		double factor = 1, from_s, to_s;

		if (sscanf(fault.c_str(), "slow %u %lf %lf %lf", &every, &factor, &from_s, &to_s) ==
		    4)
			g_strlcpy(kind, "slow", sizeof(kind));
		else
			sscanf(fault.c_str(), "%7s %u %lf %lf", kind, &every, &from_s, &to_s);
		for (size_t i = 0; i < leaves.size(); i += (size_t)every * n_replicas) {
			uint64_t from_us = (uint64_t)(from_s * S_US);
			uint64_t to_us = (uint64_t)(to_s * S_US);

			if (kind[0] == 's') {
				leaves[i].slow = factor;
				leaves[i].slow_from_us = from_us;
				leaves[i].slow_to_us = to_us;
			} else {
				leaves[i].down_from_us = from_us;
				leaves[i].down_to_us = to_us;
			}
		}
	}

	/* Which of two calls, each of four words, is sent first. */
	static std::string order(const std::vector<std::string> &w)
	{
		struct rank_wait waits[2];
		int order;

		for (size_t i = 0; i < 2; i++)
			waits[i] = {(unsigned int)std::stoul(w[1 + 4 * i]),
				    std::stoull(w[2 + 4 * i]) * MS_US,
				    std::stoull(w[3 + 4 * i]) * MS_US,
				    (unsigned int)std::stoul(w[4 + 4 * i])};
		order = rank_wait_compare(&waits[0], &waits[1]);
		return order < 0 ? "the first\n" : order > 0 ? "the second\n" : "either\n";
	}

	/* How many of N repeats of the rank the budget allows now. */
	unsigned int repeats_allowed(unsigned int rank, unsigned int n)
	{
		unsigned int n_allowed = 0;

		for (unsigned int i = 0; i < n; i++)
			n_allowed +=
				repeats_rank_spend(budget, "s", REPEATS_RECOVERY, rank, now_us);
		return n_allowed;
	}

	std::string delays(unsigned int rank, uint64_t wait_ms)
	{
		double least = 1e9, most = 0;
		char text[64];

		for (int i = 0; i < 1000; i++) {
			double s = retryafter_choose_rank_s(rank, wait_ms, rand);

			least = std::min(least, s);
			most = std::max(most, s);
		}
		g_snprintf(text, sizeof(text), "%.2f to %.2f s\n", least, most);
		return text;
	}

	/* Steps that need no site. */
	std::string small_step(const std::vector<std::string> &w)
	{
		if (w[0] == "order") /* order RANK WAITED_MS USEFUL_MS LACKING, twice */
			return order(w);
		if (w[0] == "delay") /* delay RANK CALLER_WAIT_MS */
			return delays((unsigned int)std::stoul(w[1]), std::stoull(w[2]));
		if (w[0] == "budget") { /* budget REPEATS_IN_10_S */
			struct repeats_limits limits = {0, std::stod(w[1]), 10 * S_US};

			budget = repeats_create(&limits, now_us);
			now_us += 40 * S_US;
			repeats_vms_set(budget, 1, 0, true, now_us);
			now_us += 40 * S_US;
			return "";
		}
		if (w[0] == "spend") /* spend RANK N */
			return std::to_string(repeats_allowed((unsigned int)std::stoul(w[1]),
							      (unsigned int)std::stoul(w[2]))) +
			       "\n";
		now_us += std::stoull(w[1]) * MS_US; /* pass MS */
		return "";
	}

	struct route *route_named(const std::string &name)
	{
		for (auto &r : routes)
			if (r->name == name)
				return r.get();
		return nullptr;
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "ranks") { /* ranks on|off */
			has_ranks = w[1] == "on";
		} else if (w[0] == "site") { /* site VMS SHARDS REPLICAS */
			n_vms = (unsigned int)std::stoul(w[1]);
			n_shards = (unsigned int)std::stoul(w[2]);
			n_replicas = (unsigned int)std::stoul(w[3]);
		} else if (w[0] == "route") { /* route NAME RANK PER_S TARGET SHARE WORK TIMEOUT */
			auto r = std::make_unique<struct route>();

			r->name = w[1];
			r->rank = (unsigned int)std::stoul(w[2]);
			r->per_s = std::stod(w[3]);
			r->target_us = std::stoull(w[4]) * MS_US;
			r->min_share = std::stod(w[5]);
			r->work_us = (uint64_t)(std::stod(w[6]) * MS_US);
			r->timeout_us = std::stoull(w[7]) * MS_US;
			routes.push_back(std::move(r));
		} else if (w[0] == "burst") { /* burst NAME FACTOR FROM_S TO_S */
			struct route *r = route_named(w[1]);

			r->burst = std::stod(w[2]);
			r->burst_from_us = (uint64_t)(std::stod(w[3]) * S_US);
			r->burst_to_us = (uint64_t)(std::stod(w[4]) * S_US);
		} else if (w[0] == "slow" || w[0] == "down") {
			std::string fault;

			for (const std::string &word : w)
				fault += word + " ";
			faults.push_back(fault);
		} else if (w[0] == "run") { /* run SECONDS */
			return simulate(std::stod(w[1]));
		} else {
			return small_step(w);
		}
		return "";
	}
};

bool registered =
	script_register("rank", "rank.test", [] { return std::make_unique<rank_script>(); });
} // namespace
