#include "script.h"
#include "stop.h"

namespace
{
class interpreter : public script_interpreter
{
      public:
	~interpreter() override
	{
		stop_destroy(s);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "request") /* request NOW_MS */
			return stop_request(s, std::stoull(w[1])) ? "started\n"
								  : "already started\n";
		if (w[0] == "accepts") /* accepts LONGEST_MS NOW_MS */
			return stop_accepts(s, std::stoull(w[1]), std::stoull(w[2])) ? "yes\n"
										     : "no\n";
		/* tick IN_FLIGHT NOW_MS */
		std::string out = stop_state_name(
			stop_tick(s, (unsigned int)std::stoul(w[1]), std::stoull(w[2])));

		if (stop_reason(s))
			out += std::string(": ") + stop_reason(s) + ", cut " +
			       std::to_string(stop_cut_count(s));
		return out + "\n";
	}

      private:
	stop *s = stop_create(13000, STOP_LIMIT_MS);
};

bool registered =
	script_register("stop", "stop.test", [] { return std::make_unique<interpreter>(); });
} // namespace
