#include "script.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace
{
struct script_case {
	std::string name;
	int line;
	std::vector<std::pair<std::string, std::string>> steps;
};

std::vector<std::string> split(const std::string &text)
{
	std::istringstream in(text);
	std::vector<std::string> words;
	std::string word;

	while (in >> word)
		words.push_back(word);
	return words;
}

class script_test : public ::testing::Test
{
      public:
	script_test(script_case c, script_factory f) : c(std::move(c)), factory(std::move(f))
	{
	}

	void TestBody() override
	{
		auto interpreter = factory();

		for (const auto &step : c.steps)
			ASSERT_EQ(interpreter->run(split(step.first)), step.second)
				<< "step: " << step.first << " (case at line " << c.line << ")";
	}

      private:
	script_case c;
	script_factory factory;
};

std::vector<script_case> parse(const std::string &path)
{
	std::ifstream in(path);
	std::vector<script_case> cases;
	std::string line;
	int number = 0;
	bool open = false;

	while (std::getline(in, line)) {
		number++;
		if (line.rfind("case ", 0) == 0) {
			cases.push_back({line.substr(5), number, {}});
			open = true;
		} else if (line.empty()) {
			open = false;
		} else if (line[0] == '#') {
			continue;
		} else if (line.rfind("> ", 0) == 0 && open) {
			cases.back().steps.emplace_back(line.substr(2), "");
		} else if (open && !cases.back().steps.empty()) {
			cases.back().steps.back().second += line + "\n";
		} else {
			cases.push_back({"malformed_line_" + std::to_string(number), number, {}});
			cases.back().steps.emplace_back("malformed", line);
		}
	}
	return cases;
}
} // namespace

bool script_register(const char *suite, const char *file, script_factory factory)
{
	auto cases = parse(std::string(TEST_DIR) + "/" + file);

	if (cases.empty())
		cases.push_back({"file_has_no_cases", 0, {{"missing", file}}});
	for (const auto &c : cases)
		::testing::RegisterTest(suite, c.name.c_str(), nullptr, nullptr, file, c.line,
					[c, factory]() -> ::testing::Test * {
						return new script_test(c, factory);
					});
	return true;
}
