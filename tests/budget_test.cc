#include "budget.h"
#include "script.h"

namespace
{
struct budget_script : script_interpreter {
	struct budget *b = budget_create(0.05, 10);

	~budget_script() override
	{
		budget_destroy(b);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		int granted = 0;

		for (int i = 0; i < std::stoi(w[1]); i++)
			if (w[0] == "earn")
				budget_earn(b);
			else
				granted += budget_spend(b);
		return w[0] == "earn" ? "" : std::to_string(granted) + "\n";
	}
};

bool registered =
	script_register("budget", "budget.test", [] { return std::make_unique<budget_script>(); });
} // namespace
