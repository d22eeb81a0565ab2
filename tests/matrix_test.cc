#include "matrix_world.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <random>
#include <tuple>

namespace
{

using cell = std::tuple<matrix_fault, matrix_step>;

/* Seeds for each moment of injection. One each keeps the run time of the whole matrix low. */
constexpr unsigned int SEEDS[MATRIX_MOMENTS][1] = {{1}, {2}, {3}};

std::string describe(const matrix_injection &in)
{
	static const char *const moments[] = {"before", "during", "after"};

	return std::string(matrix_fault_name(in.fault)) + " " + moments[in.moment] + " " +
	       matrix_step_name(in.step);
}

class matrix : public testing::TestWithParam<cell>
{
};

} // namespace

/*
 * Guards against: a violation of P1 to P8 (see matrix_world.h) by one fault at one step of a search
 * or a command.
 */
TEST_P(matrix, holds)
{
	auto [fault, step] = GetParam();

	for (bool is_command : {false, true}) {
		if (matrix_not_applicable(fault, step, is_command))
			continue;
		for (int moment = 0; moment < MATRIX_MOMENTS; moment++)
			for (unsigned int seed : SEEDS[moment]) {
				matrix_injection in = {fault, step, (matrix_moment)moment};
				matrix_report r = matrix_run(seed, is_command, {in});

				EXPECT_EQ(r.fired, 1u) << describe(in);
				for (auto &v : r.violations)
					ADD_FAILURE() << describe(in) << ", seed " << seed
						      << (is_command ? ", command: " : ", search: ")
						      << v << "\n"
						      << r.trace;
			}
	}
}

static std::vector<cell> cells_list()
{
	std::vector<cell> cells;

	for (int f = 0; f < MATRIX_FAULTS; f++)
		for (int s = 0; s < MATRIX_STEPS; s++)
			if (!matrix_not_applicable((matrix_fault)f, (matrix_step)s, false) ||
			    !matrix_not_applicable((matrix_fault)f, (matrix_step)s, true))
				cells.emplace_back((matrix_fault)f, (matrix_step)s);
	return cells;
}

INSTANTIATE_TEST_SUITE_P(cell, matrix, testing::ValuesIn(cells_list()), [](const auto &info) {
	return std::string(matrix_fault_name(std::get<0>(info.param))) + "_" +
	       matrix_step_name(std::get<1>(info.param));
});

namespace
{

/* Returns two random faults, the same for the same seed, that both can be injected. */
std::vector<matrix_injection> pair_sample(unsigned int seed, bool is_command)
{
	std::vector<matrix_injection> pair;
	std::mt19937 random(seed);

	while (pair.size() < 2) {
		matrix_injection in = {(matrix_fault)(random() % MATRIX_FAULTS),
				       (matrix_step)(random() % MATRIX_STEPS),
				       (matrix_moment)(random() % MATRIX_MOMENTS)};

		if (!matrix_not_applicable(in.fault, in.step, is_command))
			pair.push_back(in);
	}
	return pair;
}

struct rule_case {
	const char *name;
	bool matrix_rules::*rule;
	const char *broken; /* prefix of the violation that is reported without the rule */
	bool is_command;
	std::vector<matrix_injection> injections;
	/* A second rule that prevents the violation too; it is off in the runs with and without the
	 * rule under test. */
	bool matrix_rules::*also_off = nullptr;
};

/* Whether a run with one of 100 seeds reports the violation. */
bool is_broken(const rule_case &c, const matrix_rules &rules)
{
	for (unsigned int seed = 0; seed < 100; seed++)
		for (auto &v : matrix_run(seed, c.is_command, c.injections, rules).violations)
			if (v.compare(0, strlen(c.broken), c.broken) == 0)
				return true;
	return false;
}

class matrix_catches : public testing::TestWithParam<rule_case>
{
};

} // namespace

/*
 * Guards against: a violation of P1 to P8 by two faults together. The environment variable
 * MATRIX_PAIRS sets the number of pairs; the default is 200.
 */
TEST(matrix_pairs, hold)
{
	const char *wanted = getenv("MATRIX_PAIRS");
	unsigned int n = wanted ? (unsigned int)atoi(wanted) : 200;

	for (unsigned int i = 0; i < n; i++) {
		bool is_command = i % 2;
		std::vector<matrix_injection> in = pair_sample(i, is_command);
		matrix_report r = matrix_run(i, is_command, in);

		for (auto &v : r.violations)
			ADD_FAILURE() << i << ": " << describe(in[0]) << " + " << describe(in[1])
				      << (is_command ? ", command: " : ", search: ") << v << "\n"
				      << r.trace;
	}
}

namespace
{

/*
 * Runs 60 seeds in which a holder is paused while a leaf begins to drain. Returns how many report a
 * violation: the holder calls the leaf before it reads the mark that has arrived.
 */
unsigned int pause_and_drain_violations(bool read_before_dispatch)
{
	matrix_rules rules;
	unsigned int broken = 0;

	rules.read_before_dispatch = read_before_dispatch;
	for (unsigned int seed = 0; seed < 60; seed++)
		broken += !matrix_run(seed, false,
				      {{MATRIX_PAUSE, MATRIX_AT_CALL_LEAF, MATRIX_BEFORE},
				       {MATRIX_DRAIN, MATRIX_AT_RUNNING, MATRIX_BEFORE}},
				      rules)
				   .violations.empty();
	return broken;
}

} // namespace

/* Guards against: a holder that calls a leaf after a pause before it has read the leaf's mark. */
TEST(matrix_pairs, pause_and_drain)
{
	EXPECT_EQ(pause_and_drain_violations(true), 0u);
}

/* Guards against: seeds in which the failure never arises, so that the test above cannot fail. */
TEST(matrix_pairs, pause_and_drain_without_reading_first)
{
	EXPECT_GT(pause_and_drain_violations(false), 0u);
}

/* Guards against: a matrix that reports no violation when a rule of the services is missing. */
TEST_P(matrix_catches, rule)
{
	const rule_case &c = GetParam();
	matrix_rules rules;

	if (c.also_off)
		rules.*c.also_off = false;
	EXPECT_TRUE(!c.also_off || !is_broken(c, rules))
		<< "the violation is also reported with the rule";
	rules.*c.rule = false;
	EXPECT_TRUE(is_broken(c, rules)) << "no violation is reported without the rule";
}

/*
 * Guards against: a search that relies only on the tags of replies to tell foreign replies apart.
 * Here a late or repeated reply is given to another open search, so that only the gather module can
 * reject it.
 */
TEST(matrix_layers, gather_refuses_foreign_replies)
{
	matrix_rules rules;

	rules.reply_bound = false;
	for (unsigned int seed = 0; seed < 20; seed++)
		for (matrix_fault fault : {MATRIX_DUPLICATED, MATRIX_SLOW, MATRIX_ROLLOUT}) {
			matrix_report r =
				matrix_run(seed, false,
					   {{fault, MATRIX_AT_CALL_HOLDER, MATRIX_BEFORE}}, rules);

			for (auto &v : r.violations)
				ADD_FAILURE() << matrix_fault_name(fault) << ", seed " << seed
					      << ": " << v;
		}
}

#define AT(fault, step, moment)                                   \
	{                                                         \
		MATRIX_##fault, MATRIX_AT_##step, MATRIX_##moment \
	}

static const rule_case rule_cases[] = {
	{"send_once",
	 &matrix_rules::send_once,
	 "P5",
	 true,
	 {AT(PAUSE, CALL_LEAF, BEFORE), AT(SLOW, COMMAND_SEND, DURING)}},
	{"sent_is_unknown",
	 &matrix_rules::sent_is_unknown,
	 "P4",
	 true,
	 {AT(LOST, COMMAND_ANSWER, BEFORE)}},
	{"refused_remembered",
	 &matrix_rules::refused_remembered,
	 "P4",
	 true,
	 {AT(PAUSE, ACCEPT, BEFORE)}},
	{"holder_memory",
	 &matrix_rules::holder_memory,
	 "P5",
	 true,
	 {AT(DUPLICATED, COMMAND_SEND, BEFORE)}},
	{"connection_bound",
	 &matrix_rules::connection_bound,
	 "P5",
	 true,
	 {AT(DUPLICATED, COMMAND_SEND, BEFORE), AT(KILL, COMMAND_ANSWER, BEFORE)}},
	{"retry_ban", &matrix_rules::retry_ban, "P5", true, {AT(KILL, RUNNING, AFTER)}},
	{"confirm_answer",
	 &matrix_rules::confirm_answer,
	 "P3",
	 false,
	 {AT(DUPLICATED, LEAF_ANSWER, BEFORE)}},
	{"keep_manifest",
	 &matrix_rules::keep_manifest,
	 "P2",
	 false,
	 {AT(REPARTITION, CALL_LEAF, DURING), AT(SLOW, CALL_LEAF, AFTER)}},
	{"restart_fresh",
	 &matrix_rules::restart_fresh,
	 "P1",
	 false,
	 {AT(ROLLOUT, CALL_LEAF, BEFORE), AT(SLOW, CALL_LEAF, BEFORE)}},
	{"mark_check", &matrix_rules::mark_check, "P6", false, {AT(DRAIN, RUNNING, BEFORE)}},
	{"mark_share",
	 &matrix_rules::mark_share,
	 "P6",
	 false,
	 {AT(DRAIN, LEAF_ANSWER, DURING), AT(KILL, CALL_HOLDER, AFTER)}},
	{"drain_requests",
	 &matrix_rules::drain_requests,
	 "P7: the planned stop interrupted",
	 false,
	 {AT(DRAIN, CALL_HOLDER, BEFORE)},
	 &matrix_rules::list_wait},
	{"list_wait", &matrix_rules::list_wait, "P7", false, {AT(DRAIN, ACCEPT, BEFORE)}},
	{"announce_leaving",
	 &matrix_rules::announce_leaving,
	 "P7",
	 false,
	 {AT(DRAIN, MERGE, AFTER)}},
	{"heartbeat_repair",
	 &matrix_rules::heartbeat_repair,
	 "P8",
	 false,
	 {AT(REPARTITION, REPLY, AFTER)}},
	{"highest_wins",
	 &matrix_rules::highest_wins,
	 "P8",
	 false,
	 {AT(PLATFORM_STALE, PIN, DURING)}},
};

INSTANTIATE_TEST_SUITE_P(RULE, matrix_catches, testing::ValuesIn(rule_cases),
			 [](const auto &info) { return std::string(info.param.name); });
