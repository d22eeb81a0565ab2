/*
 * Scripted tests. A file tests/NAME.test holds cases:
 *
 *	# guards against: the failure
 *	case NAME
 *	> step with words
 *	expected output of the step, any number of lines
 *	> next step
 *
 * A blank line ends a case. Each case becomes one GoogleTest test SUITE.NAME, run by a new
 *interpreter.
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
	/* Runs one step; returns its output, lines ended by '\n', or "" for none. */
	virtual std::string run(const std::vector<std::string> &words) = 0;
};

using script_factory = std::function<std::unique_ptr<script_interpreter>()>;

/* Registers the cases of tests/FILE as tests of the suite; call it from a static initialiser. */
bool script_register(const char *suite, const char *file, script_factory factory);

#endif
