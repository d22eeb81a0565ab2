#include "hedge.h"
#include "script.h"

namespace
{
struct hedge_script : script_interpreter {
	struct hist *h = hist_create();

	~hedge_script() override
	{
		hist_destroy(h);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "delay")
			return std::to_string(hedge_delay_us(h, std::stod(w[1]), std::stoull(w[2]),
							     std::stoull(w[3]))) +
			       "\n";
		for (int i = 0; i < std::stoi(w[1]); i++)
			hist_add(h, std::stoull(w[3]));
		return "";
	}
};

bool registered =
	script_register("hedge", "hedge.test", [] { return std::make_unique<hedge_script>(); });
} // namespace
