#include "script.h"
#include "wake.h"

namespace
{
class interpreter : public script_interpreter
{
      public:
	~interpreter() override
	{
		wake_destroy(w);
	}

	std::string run(const std::vector<std::string> &words) override
	{
		uint64_t ms = words.size() > 1 ? std::stoull(words[1]) : 0;

		if (words[0] == "tick") {
			uint64_t gap = wake_tick(w, ms);

			return gap ? "gap " + std::to_string(gap) + "\n" : "";
		}
		if (words[0] == "renewed") {
			wake_renewed(w, ms);
			return "";
		}
		return wake_is_stale(w) ? "stale\n" : "fresh\n";
	}

      private:
	wake *w = wake_create(2000);
};

bool registered =
	script_register("wake", "wake.test", [] { return std::make_unique<interpreter>(); });
} // namespace
