#include "follower.h"
#include "position_text.h"
#include "registry.h"
#include "script.h"

#include <gtest/gtest.h>
#include <random>

namespace
{
#define STEP_MS 10
#define N_READERS 3
#define NEVER UINT64_MAX
#define WATCH_MS 2100 /* from an answer of the store to the next one, if nothing changes */
#define SERVED_MS (4 * WATCH_MS) /* for which readers have served the VM when a script begins */

/* Reader as the follower sees it; it reads the store itself. Times in milliseconds. */
struct reader {
	uint64_t paused_ms = NEVER; /* answers nothing from then on */
	uint64_t lost_ms = NEVER; /* the store answers it nothing from then on */
	uint64_t notice_ms = 2700; /* time until it notices that; at most since the last answer */
	uint64_t current_ms = 0; /* vouches for nothing before */
	uint64_t reading_ms = 0; /* time from a write until it has read it */
	uint64_t changes_ms = 0; /* time that an answer with changes takes */
	bool has_changes = true;
};

struct open_query {
	size_t reader;
	struct follower_query query;
	uint64_t asked_ms;
	uint64_t timeout_ms; /* counts as lost then */
	uint64_t due_ms; /* of the answer; 0: not known yet */
	struct position position; /* in the answer */
};

/* A follower, its readers and a store whose writes have positions and times. */
struct world {
	struct follower *f = follower_create(0);
	std::vector<reader> readers = std::vector<reader>(N_READERS);
	std::vector<open_query> queries;
	std::vector<std::pair<uint64_t, struct position>> writes; /* time and position */
	uint64_t now_ms = 0;
	uint64_t begun_ms = 0; /* time 0 of the script */
	struct position known = {};
	bool needs_store = false;
	uint64_t changed_ms = 0; /* when the changes that raised it last were asked for */
	uint64_t read_ms = 0; /* when the reader that told of it had read the newest write */
	std::string log; /* of queries for changes, and of what becomes known */

	~world()
	{
		follower_destroy(f);
	}

	void line(const std::string &text)
	{
		log += std::to_string(now_ms - begun_ms) + " " + text + "\n";
	}

	struct position position_at(const reader &r) const
	{
		struct position position = {};

		for (const auto &w : writes)
			if (w.first + r.reading_ms <= now_ms && w.first < r.lost_ms)
				position = position_max(position, w.second);
		return position;
	}

	/* When the store has last answered the reader. */
	uint64_t confirmed_ms(const reader &r) const
	{
		uint64_t until_ms = std::min(now_ms, r.lost_ms);
		uint64_t last_ms = 0;

		for (const auto &w : writes) {
			if (w.first + r.reading_ms <= now_ms && w.first < r.lost_ms)
				last_ms = std::max(last_ms, w.first + r.reading_ms);
			else if (w.first <= now_ms) /* an answer since then would contain it */
				until_ms = std::min(until_ms, w.first);
		}
		if (last_ms >= until_ms)
			return last_ms;
		return until_ms - (until_ms - last_ms) % WATCH_MS;
	}

	bool is_current(const reader &r) const
	{
		return now_ms >= r.current_ms &&
		       (r.lost_ms == NEVER || now_ms < r.lost_ms + r.notice_ms);
	}

	void learn(struct position position)
	{
		known = position_max(known, position);
		follower_position_set(f, known, now_ms);
	}

	/* Handles the query; true when it has ended. */
	bool query_advance(open_query &q)
	{
		const reader &r = readers[q.reader];
		struct position position = position_at(r);
		uint64_t asked_ms = 0;

		if (now_ms < q.timeout_ms && r.paused_ms <= now_ms)
			return false;
		if (now_ms >= q.timeout_ms || !is_current(r)) {
			follower_answered(f, q.query.tag, false, {}, now_ms, &asked_ms);
			return true;
		}
		if (!q.due_ms && position_is_after(position, q.query.known)) {
			q.position = position;
			q.due_ms = now_ms + (q.query.wants_changes ? r.changes_ms : 0);
			if (q.query.wants_changes)
				line("r" + std::to_string(q.reader) + " changes since " +
				     position_text(q.query.known));
		} else if (!q.due_ms && confirmed_ms(r) > q.asked_ms) {
			q.position = position;
			q.due_ms = now_ms;
		}
		if (!q.due_ms || now_ms < q.due_ms)
			return false;
		follower_answered(f, q.query.tag, true, q.position, now_ms, &asked_ms);
		if (q.query.wants_changes && r.has_changes &&
		    position_is_after(q.position, known)) {
			learn(q.position);
			changed_ms = asked_ms;
			read_ms = writes.back().first + r.reading_ms;
			line("known " + position_text(known));
		}
		return true;
	}

	void queries_advance()
	{
		std::vector<open_query> open;
		struct follower_query query;

		for (auto &q : queries)
			if (!query_advance(q))
				open.push_back(q);
		queries = open;
		while (follower_query_next(f, now_ms, &query))
			queries.push_back({(size_t)(query.address[1] - '0'),
					   query,
					   now_ms,
					   now_ms + (query.wants_changes ? 8000 : 3600),
					   0,
					   {}});
	}

	void step()
	{
		static const char *const addresses[] = {"r0", "r1", "r2"};

		follower_readers_set(f, addresses, N_READERS, now_ms);
		/* Twice, since an answer without wait arrives in the step of its query. */
		queries_advance();
		queries_advance();
		if (follower_needs_store(f, now_ms) != needs_store) {
			needs_store = !needs_store;
			line(needs_store ? "needs store" : "store not needed");
		}
	}

	/* The VM has this position, and the readers have served it until now. */
	void begin(struct position position)
	{
		writes.emplace_back(0, position);
		follower_restart(f, true, now_ms);
		learn(position);
	}
};

struct follower_script : script_interpreter {
	struct world world;

	/* The readers serve the VM for some time, unless they start with it. */
	void served_run()
	{
		if (world.readers[0].current_ms > 0)
			return;
		for (; world.now_ms < SERVED_MS; world.now_ms += STEP_MS)
			world.step();
		world.begun_ms = SERVED_MS;
		world.log.clear();
	}

	struct reader &reader_of(const std::string &name)
	{
		return world.readers.at((size_t)(name[1] - '0'));
	}

	std::string run(const std::vector<std::string> &w) override
	{
		uint64_t at_ms = world.begun_ms + (w.size() > 3 ? std::stoull(w[3]) : 0);

		world.log.clear();
		if (w[0] == "known") { /* known POSITION: by all */
			world.begin(position_of(w[1]));
			served_run();
		} else if (w[0] == "write") { /* write POSITION at MS */
			world.writes.emplace_back(at_ms, position_of(w[1]));
		} else if (w[0] == "changes-take") { /* changes-take MS: from any reader */
			for (auto &r : world.readers)
				r.changes_ms = std::stoull(w[1]);
		} else if (w[0] == "pause") { /* pause READER at MS */
			reader_of(w[1]).paused_ms = at_ms;
		} else if (w[0] == "lose-store") { /* lose-store READER at MS; noticed later */
			reader_of(w[1]).lost_ms = at_ms;
		} else if (w[0] == "reads-from") { /* reads-from MS: any reader, after its start */
			for (auto &r : world.readers)
				r.current_ms = std::stoull(w[1]);
		} else if (w[0] == "without-changes") { /* without-changes READER */
			reader_of(w[1]).has_changes = false;
		} else if (w[0] == "run") { /* run MS: until then */
			for (; world.now_ms < world.begun_ms + std::stoull(w[1]);
			     world.now_ms += STEP_MS)
				world.step();
		} else {
			return "unknown step " + w[0] + "\n";
		}
		return world.log;
	}
};

bool registered = script_register("follower", "follower.test",
				  [] { return std::make_unique<follower_script>(); });
} // namespace

/*
 * Draws the fault of a reader around the time of a change: it pauses, loses the store, loses it and
 * pauses before it notices, or is slow.
 */
static void reader_fault_draw(struct reader &r, uint64_t change_ms, std::mt19937 &rand)
{
	uint64_t fault_ms = change_ms - 3000 + rand() % 3600;

	r.reading_ms = rand() % 450;
	switch (rand() % 5) {
	case 0:
		r.paused_ms = fault_ms;
		break;
	case 4:
		r.lost_ms = fault_ms;
		r.paused_ms = fault_ms + rand() % r.notice_ms;
		break;
	case 1:
		r.lost_ms = fault_ms;
		break;
	case 2:
		r.changes_ms = rand() % 4000;
		break;
	}
}

/*
 * Guards against a VM that neither learns of a change nor reads the store within the strictest
 * limit (3,000 ms). Each reader may have a fault shortly before or after the change: it pauses,
 * loses the store, does both, or its changes take up to 4 s. Readers learn of a write within 450
 * ms; a read of the store takes 150 ms.
 */
TEST(follower, change_is_known_in_time)
{
	for (unsigned seed = 0; seed < 20000; seed++) {
		std::mt19937 rand(seed);
		struct world w;
		uint64_t change_ms = (seed % 4 ? 4000 : 8000) + rand() % 2000;
		uint64_t store_ms = 0; /* time for which the store has been needed */

		w.begin({0, 1});
		for (auto &r : w.readers)
			reader_fault_draw(r, change_ms, rand);
		w.writes.emplace_back(change_ms, position{0, 2});
		while (w.known.revision < 2 && w.now_ms < change_ms + 10000) {
			w.step();
			w.now_ms += STEP_MS;
			store_ms = w.needs_store ? store_ms + STEP_MS : 0;
			if (store_ms >= 150 && w.now_ms >= change_ms)
				break;
		}
		ASSERT_LE(w.now_ms, change_ms + 3000) << "seed " << seed << "\n" << w.log;
	}
}

/*
 * Guards against leaves that are called later than their drain time (3,000 ms), since their
 * removals are held back at a VM that hears of them late (DRAIN). The removals are the last of a
 * chain of changes, the readers have faults as above, and registry.c decides when the removals take
 * effect. A VM that has needed the store once reads it 150 ms later and goes on to.
 */
TEST(follower, held_removal_takes_effect_in_time)
{
	for (unsigned seed = 0; seed < 20000; seed++) {
		std::mt19937 rand(seed);
		struct world w;
		struct registry *registry = registry_create(0);
		uint64_t change_ms = (seed % 4 ? 4000 : 8000) + rand() % 2000;
		uint64_t store_ms = NEVER; /* when this VM reads the store */
		struct position removal = {};
		char *key = nullptr;

		w.begin({0, 1});
		for (auto &r : w.readers)
			reader_fault_draw(r, change_ms, rand);
		for (unsigned i = 0; i < 5; i++)
			w.writes.emplace_back(change_ms - 330 * (5 - i), position{0, 2u + i});
		w.writes.emplace_back(change_ms, position{0, 7});
		while (w.known.revision < 7 && w.now_ms < MAX(store_ms, change_ms)) {
			w.step();
			if (w.needs_store)
				store_ms = MIN(store_ms, w.now_ms + 150);
			w.now_ms += STEP_MS;
		}
		if (w.known.revision < 7)
			w.read_ms = store_ms <= change_ms ? change_ms : w.changed_ms;
		registry_put(registry, "leaf", {0, 1}, {0, 1});
		registry_remove(registry, "leaf", {0, 7}, true, w.read_ms);
		while (!(key = registry_due_removal_take(registry, w.now_ms, &removal)))
			w.now_ms += STEP_MS;
		g_free(key);
		registry_destroy(registry);
		/* The feed applies what is due every 100 ms. */
		ASSERT_LE(w.now_ms + 100, change_ms + 3000) << "seed " << seed << "\n" << w.log;
	}
}
