#include "command.h"

#include <cstring>
#include <glib.h>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>
#include <string>

#include "script.h"

namespace
{
enum result result_by_name(const std::string &name)
{
#define X(symbol, number, text_name, text) \
	if (name == (text_name))           \
		return RESULT_##symbol;
	RESULT_LIST(X)
#undef X
	return RESULT_SYSTEM;
}

enum outcome outcome_by_name(const std::string &name)
{
	return name == "done"	   ? OUTCOME_DONE
	       : name == "not_run" ? OUTCOME_NOT_RUN
				   : OUTCOME_UNKNOWN;
}

class command_interpreter : public script_interpreter
{
      public:
	~command_interpreter() override
	{
		command_log_destroy(log);
	}

	std::string run(const std::vector<std::string> &words) override
	{
		const std::string &step = words.at(0);

		if (step == "entry") {
			log = command_log_create(std::stoull(words.at(1), nullptr, 16),
						 std::stoull(words.at(2)), std::stoul(words.at(3)));
		} else if (step == "holder") {
			log = command_log_create_holder(std::stoull(words.at(1)),
							std::stoul(words.at(2)));
		} else if (step == "begin") {
			return begin(words.at(1), std::stoull(words.at(2)));
		} else if (step == "finish") {
			command_log_finish(log, words.at(1).c_str(), outcome_by_name(words.at(2)),
					   result_by_name(words.at(3)),
					   words.at(4) == "-" ? nullptr : words.at(4).c_str());
		} else if (step == "finish_long") {
			std::string body(std::stoul(words.at(2)), 'x');

			command_log_finish(log, words.at(1).c_str(), OUTCOME_DONE, RESULT_OK,
					   body.c_str());
		} else if (step == "expire") {
			command_log_expire(log, std::stoull(words.at(1)));
		} else if (step == "count") {
			return std::to_string(command_log_count(log)) + "\n";
		} else if (step == "outcome") {
			return std::string(outcome_name(command_outcome(result_by_name(words.at(1)),
									words.at(2) == "sent"))) +
			       "\n";
		} else {
			return "unknown step\n";
		}
		return "";
	}

      private:
	std::string begin(const std::string &id, uint64_t now_ms)
	{
		const struct command_result *finished;
		enum result reason;

		switch (command_log_begin(log, id.c_str(), now_ms, &finished, &reason)) {
		case COMMAND_DISPATCH:
			return "dispatch\n";
		case COMMAND_WAIT:
			return "wait\n";
		case COMMAND_REFUSE:
			return std::string("refuse ") + result_name(reason) + "\n";
		case COMMAND_FINISHED:
			break;
		}
		std::string body = finished->body;

		if (finished->body_lost)
			body = body.empty() ? "lost" : "lost but present";
		else if (body.empty())
			body = "-";
		else if (body.size() > 100)
			body = std::to_string(body.size()) + " bytes";
		return std::string("finished ") + outcome_name(finished->outcome) + " " +
		       result_name(finished->result) + " " + body + "\n";
	}

	struct command_log *log = nullptr;
};

const bool registered = script_register("command", "command.test",
					[] { return std::make_unique<command_interpreter>(); });

/* Implements the rules of design section 2.4 with a map that is scanned in full at every step. */
struct reference_log {
	struct entry {
		uint64_t expires_ms;
		bool finished;
		enum outcome outcome;
	};

	enum command_decision begin(const std::string &id, uint64_t issued_ms, bool is_foreign,
				    uint64_t now_ms, enum result *reason)
	{
		expire(now_ms);
		*reason = RESULT_OK;
		auto e = entries.find(id);

		if (e != entries.end())
			return e->second.finished ? COMMAND_FINISHED : COMMAND_WAIT;
		if (!is_holder && is_foreign)
			*reason = RESULT_FOREIGN_ID;
		else if (!is_holder && issued_ms > now_ms)
			*reason = RESULT_BAD_ID;
		else if (!is_holder && issued_ms + lifetime_ms <= now_ms)
			*reason = RESULT_EXPIRED_ID;
		else if (entries.size() >= max_ids || refused[0].count(id) || refused[1].count(id))
			*reason = RESULT_OVERLOADED;
		if (*reason == RESULT_OVERLOADED)
			refused[0].insert(id);
		if (*reason != RESULT_OK)
			return COMMAND_REFUSE;
		entries[id] = {now_ms + lifetime_ms, false, OUTCOME_UNKNOWN};
		return COMMAND_DISPATCH;
	}

	void finish(const std::string &id, enum outcome o)
	{
		auto e = entries.find(id);

		if (e == entries.end() ||
		    (e->second.finished && e->second.outcome != OUTCOME_UNKNOWN))
			return;
		e->second.finished = true;
		e->second.outcome = o;
	}

	void expire(uint64_t now_ms)
	{
		if (now_ms >= rotate_ms) {
			refused[1] = refused[0];
			refused[0].clear();
			if (now_ms >= rotate_ms + lifetime_ms)
				refused[1].clear();
			rotate_ms = now_ms + lifetime_ms;
		}
		for (auto e = entries.begin(); e != entries.end();)
			if (e->second.finished && e->second.expires_ms <= now_ms)
				e = entries.erase(e);
			else
				++e;
	}

	bool is_holder;
	uint64_t lifetime_ms;
	size_t max_ids;
	std::map<std::string, entry> entries;
	std::set<std::string> refused[2];
	uint64_t rotate_ms;
};

void compare_with_reference(uint32_t seed, bool is_holder)
{
	const uint64_t own = 0xfeed, lifetime_ms = 300;
	const unsigned int max_ids = 40;
	std::mt19937 rand(seed);
	reference_log reference{is_holder, lifetime_ms, max_ids, {}, {}, lifetime_ms};
	struct command_log *log = is_holder ? command_log_create_holder(lifetime_ms, max_ids)
					    : command_log_create(own, lifetime_ms, max_ids);
	std::map<std::string, int> dispatched;
	std::set<std::string> told_not_run;
	uint64_t now_ms = 1000;

	for (int step = 0; step < 4000; step++) {
		char prefix[COMMAND_ID_PREFIX_BYTES];
		bool is_foreign = rand() % 20 == 0;
		/* Rounded issue times and only six random parts make repeats frequent. */
		uint64_t issued_ms = (now_ms - rand() % 400 + 10) / 50 * 50;

		command_id_prefix_format(prefix, is_foreign ? own + 1 : own, issued_ms);
		std::string id = std::string(prefix) + "random-" + std::to_string(rand() % 6);

		now_ms += rand() % 6;
		if (rand() % 400 == 0)
			now_ms += rand() % 1000; /* the process was paused */
		if (rand() % 10 < 6) {
			const struct command_result *finished;
			enum result reason, want_reason;
			enum command_decision want =
				reference.begin(id, issued_ms, is_foreign, now_ms, &want_reason);

			ASSERT_EQ(command_log_begin(log, id.c_str(), now_ms, &finished, &reason),
				  want)
				<< "seed " << seed << " step " << step << " id " << id;
			ASSERT_EQ(reason, want_reason) << "seed " << seed << " step " << step;
			ASSERT_EQ(finished != nullptr, want == COMMAND_FINISHED);
			if (finished) {
				ASSERT_EQ(finished->outcome, reference.entries[id].outcome);
				ASSERT_EQ(finished->body, "result of " + id);
			}
			if (reason == RESULT_OVERLOADED)
				told_not_run.insert(id);
			if (want == COMMAND_DISPATCH && !is_holder) {
				ASSERT_EQ(told_not_run.count(id), 0U)
					<< "seed " << seed << " step " << step << " id " << id;
				ASSERT_EQ(++dispatched[id], 1)
					<< "seed " << seed << " step " << step << " id " << id;
			}
		} else if (!reference.entries.empty()) {
			auto e = reference.entries.begin();
			enum outcome o = (enum outcome)(rand() % 3);

			std::advance(e, rand() % reference.entries.size());
			id = e->first;
			command_log_finish(log, id.c_str(), o, RESULT_OK,
					   ("result of " + id).c_str());
			reference.finish(id, o);
		}
		if (rand() % 50 == 0) {
			command_log_expire(log, now_ms);
			reference.expire(now_ms);
			ASSERT_EQ(command_log_count(log), reference.entries.size());
		}
		ASSERT_LE(command_log_count(log), max_ids);
		ASSERT_LE(command_log_bytes(log), 16384 + 256 + max_ids * 400);
	}
	command_log_destroy(log);
}
} // namespace

/* Guards against an entry's log that breaks the rules of section 2.4 or dispatches an id twice. */
TEST(command, entry_matches_reference)
{
	for (uint32_t seed = 1; seed <= 40; seed++) {
		compare_with_reference(seed, false);
		if (HasFatalFailure())
			return;
	}
}

/* Guards against a holder's log that breaks the rules of section 2.4. */
TEST(command, holder_matches_reference)
{
	for (uint32_t seed = 1; seed <= 40; seed++) {
		compare_with_reference(seed, true);
		if (HasFatalFailure())
			return;
	}
}

/* Guards against a removed id whose bytes are still counted, so that the byte count only grows. */
TEST(command, removed_ids_release_their_bytes)
{
	struct command_log *log = command_log_create(1, 100, 1000);
	size_t start_bytes = command_log_bytes(log);
	const struct command_result *finished;
	enum result reason;

	for (int i = 0; i < 500; i++) {
		std::string id = "0000000000000001.0.random-" + std::to_string(1000 + i);

		ASSERT_EQ(command_log_begin(log, id.c_str(), 0, &finished, &reason),
			  COMMAND_DISPATCH);
		command_log_finish(log, id.c_str(), OUTCOME_DONE, RESULT_OK, "body");
	}
	EXPECT_GT(command_log_bytes(log), start_bytes + (size_t)(500 * 100));
	command_log_expire(log, 100);
	EXPECT_EQ(command_log_bytes(log), start_bytes);
	command_log_destroy(log);
}

/* Guards against accepting two spellings of one id, and reading past the end of a truncated id. */
TEST(command, mutated_ids)
{
	const std::string valid = "0123456789abcdef.18446744073709551615.Random-part-0";
	std::mt19937 rand(7);
	int accepted = 0;

	for (int i = 0; i < 200000; i++) {
		std::string text = valid;
		struct command_id id;

		for (int n = rand() % 4; n > 0; n--) {
			size_t at = rand() % (text.size() + 1);

			switch (rand() % 4) {
			case 0:
				text = text.substr(0, at);
				break;
			case 1:
				text.insert(at, 1, (char)(1 + rand() % 255));
				break;
			case 2:
				if (at < text.size())
					text.erase(at, 1 + rand() % 3);
				break;
			default:
				if (at < text.size())
					text[at] = ".0f-G9"[rand() % 6];
			}
		}
		/* In a heap copy of the exact size the sanitisers detect a read past the end. */
		char *copy = g_strdup(text.c_str());
		bool ok = command_id_parse(copy, &id);

		if (ok) {
			char prefix[COMMAND_ID_PREFIX_BYTES];

			accepted++;
			command_id_prefix_format(prefix, id.incarnation, id.issued_ms);
			ASSERT_EQ(prefix + std::string(id.random), text);
			ASSERT_GE(strlen(id.random), (size_t)COMMAND_RANDOM_MIN_CHARS);
			ASSERT_LE(strlen(id.random), (size_t)COMMAND_RANDOM_MAX_CHARS);
		}
		ASSERT_TRUE(ok || text != valid);
		g_free(copy);
	}
	EXPECT_GT(accepted, 40000);
}
