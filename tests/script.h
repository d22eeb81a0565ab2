/*
 * Tests that are written as scripts. A file tests/NAME.test holds cases:
 *
 *	# guards against: the failure that the case reveals
 *	case NAME
 *	> step with words
 *	expected output of the step, any number of lines
 *	> next step
 *
 * A blank line ends a case. A line that starts with "#" is a comment. Each case becomes one
 * GoogleTest test SUITE.NAME with an interpreter of its own. Any other line outside a case or
 * before its first step becomes a failing test.
 */
#ifndef APRICOT_TESTS_SCRIPT_H
#define APRICOT_TESTS_SCRIPT_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

class script_interpreter
{
      public:
	virtual ~script_interpreter() = default;
	/*
	 * Runs one step, given as its words. Returns its output, in which each line ends with '\n',
	 * or "" when there is none.
	 */
	virtual std::string run(const std::vector<std::string> &words) = 0;
};

using script_factory = std::function<std::unique_ptr<script_interpreter>()>;

/*
 * Registers each case of tests/FILE as a test of the suite; factory creates the interpreter of a
 * case. Call it from a static initialiser. Always returns true.
 */
bool script_register(const char *suite, const char *file, script_factory factory);

#endif
