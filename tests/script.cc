#include "script.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace
{
struct script_case {
	std::string name;
	int line; /* where the case starts in the file, from 1; 0: no case was found */
	std::vector<std::pair<std::string, std::string>> steps; /* step and expected output */
};

std::vector<std::string> words_split(const std::string &text)
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
	script_test(script_case script, script_factory factory)
	    : script_(std::move(script)), factory_(std::move(factory))
	{
	}

	void TestBody() override
	{
		auto interpreter = factory_();

		for (const auto &step : script_.steps)
			ASSERT_EQ(interpreter->run(words_split(step.first)), step.second)
				<< "step: " << step.first << " (case at line " << script_.line
				<< ")";
	}

      private:
	script_case script_;
	script_factory factory_;
};

std::vector<script_case> cases_read(const std::string &path)
{
	std::ifstream in(path);
	std::vector<script_case> cases;
	std::string line;
	int line_number = 0;
	bool in_case = false;

	while (std::getline(in, line)) {
		line_number++;
		if (line.rfind("case ", 0) == 0) {
			cases.push_back({line.substr(5), line_number, {}});
			in_case = true;
		} else if (line.empty()) {
			in_case = false;
		} else if (line[0] == '#') {
			continue;
		} else if (line.rfind("> ", 0) == 0 && in_case) {
			cases.back().steps.emplace_back(line.substr(2), "");
		} else if (in_case && !cases.back().steps.empty()) {
			cases.back().steps.back().second += line + "\n";
		} else {
			cases.push_back(
				{"malformed_line_" + std::to_string(line_number), line_number, {}});
			cases.back().steps.emplace_back("malformed", line);
		}
	}
	return cases;
}
} // namespace

bool script_register(const char *suite, const char *file, script_factory factory)
{
	auto cases = cases_read(std::string(TEST_DIR) + "/" + file);

	if (cases.empty())
		cases.push_back({"file_has_no_cases", 0, {{"missing", file}}});
	for (const auto &script : cases)
		::testing::RegisterTest(suite, script.name.c_str(), nullptr, nullptr, file,
					script.line, [script, factory]() -> ::testing::Test * {
						return new script_test(script, factory);
					});
	return true;
}
