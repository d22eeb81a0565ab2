#include "admission.h"
#include "script.h"

namespace
{
struct admission_script : script_interpreter {
	struct admission *a = admission_create();

	~admission_script() override
	{
		admission_destroy(a);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "admit") { /* admit PRIORITY COUNT */
			unsigned int n = 0;

			for (int i = 0; i < std::stoi(w[2]); i++)
				n += admission_admit(a, (unsigned int)std::stoul(w[1]));
			return std::to_string(n) + " of " + w[2] + "\n";
		}
		if (w[0] == "finish") { /* finish EVENT COUNT NOW_US */
			for (int i = 0; i < std::stoi(w[2]); i++)
				admission_finish(a,
						 w[1] == "complete"	? ADMISSION_COMPLETE
						 : w[1] == "overloaded" ? ADMISSION_OVERLOADED
									: ADMISSION_OTHER,
						 std::stoull(w[3]));
		} else { /* admit_and_complete COUNT: one search at a time, COUNT times */
			for (int i = 0; i < std::stoi(w[1]); i++) {
				admission_admit(a, 0);
				admission_finish(a, ADMISSION_COMPLETE, 0);
			}
		}
		return "limit " + std::to_string(admission_limit(a)) + " in use " +
		       std::to_string(admission_in_use(a)) + "\n";
	}
};

bool registered = script_register("admission", "admission.test",
				  [] { return std::make_unique<admission_script>(); });
} // namespace
