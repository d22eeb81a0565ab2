#include "script.h"
#include "pausewatch.h"

namespace
{
class interpreter : public script_interpreter
{
      public:
	~interpreter() override
	{
		pausewatch_destroy(w);
	}

	std::string run(const std::vector<std::string> &words) override
	{
		uint64_t ms = words.size() > 1 ? std::stoull(words[1]) : 0;

		if (words[0] == "tick") {
			uint64_t gap = pausewatch_tick(w, ms);

			return gap ? "gap " + std::to_string(gap) + "\n" : "";
		}
		if (words[0] == "renewed") {
			pausewatch_renewed(w, ms);
			return "";
		}
		return pausewatch_is_stale(w) ? "stale\n" : "fresh\n";
	}

      private:
	pausewatch *w = pausewatch_create(2000);
};

bool registered = script_register("pausewatch", "pausewatch.test",
				  [] { return std::make_unique<interpreter>(); });
} // namespace
