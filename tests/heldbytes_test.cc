#include "heldbytes.h"
#include "script.h"

#include <algorithm>
#include <map>

namespace
{
#define KB 1024
#define STEP_MS 10
/* A refused caller comes back after this time. */
#define RETRY_MS 300
/* Bytes that one connection to a leaf brings in a step: 20 MB/s. */
#define LEAF_STEP_BYTES 200000
/* Bytes that arrive at once with the head of an answer. */
#define FIRST_BYTES 60000
struct heldbytes_script;

/* One call to a leaf. resume and give_up of the answer are noted in it. */
struct call {
	struct held_answer answer; /* first, so that the callbacks find the call */
	struct held_account account;
	heldbytes_script *script = nullptr;
	std::string name;
	bool is_paused = false;
	bool is_given_up = false;
};

/* A caller that asks for one answer after the other and reads them slowly. */
struct slow_caller {
	struct held_account account;
	struct call call;
	size_t read_bytes = 0; /* of the answer, from the leaf */
	uint64_t again_ms = 0;
	bool is_asking = false;
};

/* A caller that asks for one gathered answer after the other. All its calls go at the same pace. */
struct gatherer {
	struct held_account account;
	std::vector<call> calls;
	size_t read_bytes = 0; /* of each call's answer */
	uint64_t again_ms = 0;
	bool is_asking = false;
};

struct heldbytes_script : script_interpreter {
	struct heldbytes *held = nullptr;
	std::map<std::string, std::unique_ptr<held_account>> accounts;
	std::map<std::string, std::unique_ptr<call>> calls;
	uint64_t now_ms = 1000;
	std::string events;

	~heldbytes_script() override
	{
		heldbytes_destroy(held);
	}

	static void changed(void *arg, bool is_short)
	{
		static_cast<heldbytes_script *>(arg)->events += is_short ? "short\n" : "ample\n";
	}

	static void resume(struct held_answer *a)
	{
		auto *c = reinterpret_cast<call *>(a);

		c->is_paused = false;
		if (!c->name.empty())
			c->script->events += c->name + " resumed\n";
	}

	static void give_up(struct held_answer *a)
	{
		auto *c = reinterpret_cast<call *>(a);

		held_answer_end(a);
		c->is_given_up = true;
		if (!c->name.empty())
			c->script->events += c->name + " given up\n";
	}

	void call_init(call *c, struct held_account *leaf)
	{
		static const struct held_answer_ops ops = {.resume = resume, .give_up = give_up};

		c->script = this;
		held_account_init(&c->account, held, leaf);
		held_answer_init(&c->answer, &ops, &c->account);
	}

	struct held_account *account(const std::string &name)
	{
		auto &a = accounts[name];

		if (!a) {
			a = std::make_unique<held_account>();
			held_account_init(a.get(), held, nullptr);
		}
		return a.get();
	}

	std::string read(const std::vector<std::string> &w)
	{
		auto &c = calls[w[1]];

		if (!c) {
			c = std::make_unique<call>();
			c->name = w[1];
			call_init(c.get(), account(w[2]));
		}
		return held_answer_read(&c->answer, std::stoul(w[3]) * KB, std::stoul(w[4]) * KB,
					now_ms)
			       ? "reads\n"
			       : "pauses\n";
	}

	/* One step of a slow caller; returns 'a': answered, 'g': given up, 'r': refused, or 0. */
	char step_slow(slow_caller &c, size_t bytes, size_t caller_step_bytes)
	{
		size_t unsent = c.account.bytes[HELD_CALLERS];

		held_account_set(&c.account, HELD_CALLERS,
				 unsent - std::min(unsent, caller_step_bytes));
		if (!c.is_asking) {
			if (now_ms < c.again_ms || held_account_is_over_share(&c.account))
				return 0;
			if (!heldbytes_admits(held, now_ms)) {
				c.again_ms = now_ms + RETRY_MS;
				return 'r';
			}
			c.is_asking = true;
			c.read_bytes = 0;
			c.call.is_given_up = false;
		}
		if (c.call.is_given_up) {
			c.is_asking = false;
			c.again_ms = now_ms + RETRY_MS;
			return 'g';
		}
		if (c.call.is_paused)
			return 0;
		c.read_bytes = std::min(
			bytes, c.read_bytes + (c.read_bytes > 0 ? LEAF_STEP_BYTES : FIRST_BYTES));
		if (c.read_bytes < bytes) {
			c.call.is_paused =
				!held_answer_read(&c.call.answer, c.read_bytes, bytes, now_ms);
			return 0;
		}
		c.is_asking = false;
		held_answer_end(&c.call.answer);
		held_account_set(&c.account, HELD_CALLERS, c.account.bytes[HELD_CALLERS] + bytes);
		return 'a';
	}

	/* One step of a gathering caller; returns 'a': answered, 'r': refused, or 0. */
	char step_gather(gatherer &g, size_t part_bytes, size_t expected, size_t step_bytes)
	{
		if (!g.is_asking) {
			if (now_ms < g.again_ms)
				return 0;
			if (!heldbytes_admits(held, now_ms) ||
			    !heldbytes_admits_answers(held, g.calls.size() * expected, now_ms)) {
				g.again_ms = now_ms + RETRY_MS;
				return 'r';
			}
			g.is_asking = true;
			g.read_bytes = 0;
			held_account_expect(&g.account, g.calls.size() * expected);
		}
		g.read_bytes = std::min(part_bytes, g.read_bytes + step_bytes);
		for (auto &c : g.calls)
			if (g.read_bytes < part_bytes)
				held_answer_read(&c.answer, g.read_bytes, part_bytes, now_ms);
			else
				held_answer_end(&c.answer);
		held_account_set(&g.account, HELD_PARTS, g.read_bytes < part_bytes ? KB : 0);
		if (g.read_bytes < part_bytes)
			return 0;
		held_account_expect(&g.account, 0);
		g.is_asking = false;
		return 'a';
	}

	/*
	 * load N KB KB_PER_S SECONDS BOUND_MB: N slow callers beside one caller that asks for a
	 * small answer in each step. BOUND_MB: what the peak is compared with.
	 */
	std::string load(const std::vector<std::string> &w)
	{
		std::vector<slow_caller> callers(std::stoul(w[1]));
		uint64_t end_ms = now_ms + std::stoull(w[4]) * 1000;
		std::map<char, unsigned int> n;
		unsigned int n_small = 0;
		unsigned int n_small_refused = 0;
		double peak_mb;
		char text[160];

		for (auto &c : callers) {
			held_account_init(&c.account, held, nullptr);
			call_init(&c.call, nullptr);
		}
		for (; now_ms < end_ms; now_ms += STEP_MS) {
			for (auto &c : callers)
				n[step_slow(c, std::stoul(w[2]) * KB,
					    std::stoul(w[3]) * KB * STEP_MS / 1000)]++;
			if (heldbytes_admits(held, now_ms))
				n_small++;
			else
				n_small_refused++;
			heldbytes_advance(held, now_ms);
		}
		peak_mb = (double)heldbytes_stats(held)->peak_bytes / KB / KB;
		for (auto &c : callers) {
			held_answer_end(&c.call.answer);
			held_account_close(&c.account);
		}
		events.clear();
		g_snprintf(text, sizeof(text),
			   "slow: %u answered, %u given up, %u refused; small: %u served, %u "
			   "refused\npeak %.1f MB: %s\n",
			   n['a'], n['g'], n['r'], n_small, n_small_refused, peak_mb,
			   peak_mb <= std::stod(w[5]) ? "kept" : "BROKEN");
		return text;
	}

	/*
	 * gathers N SHARDS KB KB_PER_S SECONDS BOUND_MB: N callers that ask for gathered answers of
	 * so many shards of KB each, which arrive slowly, beside one caller that asks for a small
	 * answer in each step. "blind" at the end: answers are not expected before they arrive.
	 */
	std::string gathers(const std::vector<std::string> &w)
	{
		std::vector<gatherer> callers(std::stoul(w[1]));
		size_t part_bytes = std::stoul(w[3]) * KB;
		auto n_shards = static_cast<unsigned int>(std::stoul(w[2]));
		bool is_blind = w.size() > 7;
		size_t expected =
			is_blind ? 0 : heldbytes_expected_of_call(held, part_bytes, n_shards);
		uint64_t end_ms = now_ms + std::stoull(w[5]) * 1000;
		std::map<char, unsigned int> n;
		unsigned int n_small = 0;
		unsigned int n_small_refused = 0;
		double peak_mb;
		char text[160];

		for (auto &g : callers) {
			held_account_init(&g.account, held, nullptr);
			g.calls = std::vector<call>(n_shards);
			for (auto &c : g.calls)
				call_init(&c, nullptr);
		}
		for (; now_ms < end_ms; now_ms += STEP_MS) {
			for (auto &g : callers)
				n[step_gather(g, part_bytes, expected,
					      std::stoul(w[4]) * KB * STEP_MS / 1000)]++;
			if (heldbytes_admits(held, now_ms) &&
			    heldbytes_admits_answers(held, KB, now_ms))
				n_small++;
			else
				n_small_refused++;
			heldbytes_advance(held, now_ms);
		}
		peak_mb = (double)heldbytes_stats(held)->peak_bytes / KB / KB;
		for (auto &g : callers) {
			for (auto &c : g.calls)
				held_answer_end(&c.answer);
			held_account_close(&g.account);
		}
		events.clear();
		g_snprintf(text, sizeof(text),
			   "gathered: %u answered, %u refused; small: %u served, %u refused\n"
			   "peak %.1f MB: %s\n",
			   n['a'], n['r'], n_small, n_small_refused, peak_mb,
			   peak_mb <= std::stod(w[6]) ? "kept" : "BROKEN");
		return text;
	}

	std::string state()
	{
		std::string out;

		for (int kind = 0; kind < HELD_KIND_COUNT; kind++)
			if (heldbytes_of_kind(held, (enum held_kind)kind) > 0)
				out += std::string(held_kind_name((enum held_kind)kind)) + " " +
				       std::to_string(
					       heldbytes_of_kind(held, (enum held_kind)kind) / KB) +
				       " KB, ";
		return out + "total " + std::to_string(heldbytes_total(held)) + ", waiting " +
		       std::to_string(heldbytes_waiting(held)) + "\n";
	}

	std::string step(const std::vector<std::string> &w)
	{
		static const struct heldbytes_ops ops = {.changed = changed};
		static const std::map<std::string, enum held_kind> kinds = {
			{"unsent", HELD_CALLERS},
			{"body", HELD_BODIES},
			{"request", HELD_LEAVES},
			{"parts", HELD_PARTS}};

		if (w[0] == "bound") { /* bound HELD_MB MEMORY_MB */
			uint64_t bytes = heldbytes_bound(std::stoull(w[1]), std::stoull(w[2]));

			held = heldbytes_create(bytes, &ops, this);
			return std::to_string(bytes / KB) + " KB\n";
		}
		if (kinds.count(w[0])) { /* unsent|body|request|parts ACCOUNT KB */
			held_account_set(account(w[1]), kinds.at(w[0]), std::stoul(w[2]) * KB);
		} else if (w[0] == "next") { /* next CALLER */
			return held_account_is_over_share(account(w[1])) ? "not read\n" : "read\n";
		} else if (w[0] == "grow") { /* grow CALLER: its request's body */
			return held_account_body_may_grow(account(w[1])) ? "read\n" : "refused\n";
		} else if (w[0] == "admit") {
			return heldbytes_admits(held, now_ms) ? "admitted\n" : "refused\n";
		} else if (w[0] == "expect") { /* expect ACCOUNT KB */
			held_account_expect(account(w[1]), std::stoul(w[2]) * KB);
		} else if (w[0] == "gather") { /* gather KB */
			return heldbytes_admits_answers(held, std::stoul(w[1]) * KB, now_ms)
				       ? "admitted\n"
				       : "refused\n";
		} else if (w[0] == "call") { /* call KB N_CALLS */
			return std::to_string(heldbytes_expected_of_call(
				       held, std::stoul(w[1]) * KB,
				       static_cast<unsigned int>(std::stoul(w[2])))) +
			       " bytes\n";
		} else if (w[0] == "expected") {
			return std::to_string(heldbytes_expected(held) / KB) + " KB\n";
		} else if (w[0] == "read") { /* read CALL LEAF KB DUE_KB */
			return read(w);
		} else if (w[0] == "end") { /* end CALL */
			held_answer_end(&calls.at(w[1])->answer);
		} else if (w[0] == "close") { /* close ACCOUNT */
			held_account_close(account(w[1]));
		} else if (w[0] == "wait") { /* wait MS */
			now_ms += std::stoull(w[1]);
			heldbytes_advance(held, now_ms);
		} else if (w[0] == "gathers") {
			return gathers(w);
		} else if (w[0] == "load") {
			return load(w);
		} else { /* state */
			return state();
		}
		return "";
	}

	std::string run(const std::vector<std::string> &w) override
	{
		std::string out = step(w);
		std::string noted = std::move(events);

		events.clear();
		return noted + out;
	}
};

bool registered = script_register("heldbytes", "heldbytes.test",
				  [] { return std::make_unique<heldbytes_script>(); });
} // namespace
