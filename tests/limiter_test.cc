#include "limiter.h"
#include "script.h"

namespace
{
/* Times in milliseconds. */
struct limiter_script : script_interpreter {
	struct limiter *l = nullptr;

	~limiter_script() override
	{
		limiter_destroy(l);
	}

	static enum leafstat_outcome event(const std::string &name)
	{
		return name == "ok"	   ? LEAFSTAT_OK
		       : name == "refused" ? LEAFSTAT_REFUSED
		       : name == "timeout" ? LEAFSTAT_TIMEOUT
					   : LEAFSTAT_CANCELLED;
	}

	std::string run(const std::vector<std::string> &w) override
	{
		int n = w.size() > 2 ? std::stoi(w[2]) : w.size() > 1 ? std::stoi(w[1]) : 0;
		int admitted = 0;

		if (w[0] == "state")
			return std::to_string(limiter_in_use(l)) + " of " +
			       std::to_string(limiter_limit(l)) + "\n";
		if (w[0] == "create") {
			limiter_destroy(l);
			l = limiter_create((unsigned)n);
		} else if (w[0] == "slots") {
			limiter_slots_set(l, (unsigned)n);
		} else if (w[0] == "admit") {
			for (int i = 0; i < n; i++)
				admitted += limiter_admit(l);
			return std::to_string(admitted) + "\n";
		} else if (w[0] == "release") {
			for (int i = 0; i < n; i++)
				limiter_release(l, event(w[1]), std::stoull(w[4]) * 1000);
		} else {
			/* "sequential": one call at a time; "concurrent": as many as admitted. */
			for (int i = 0; i < n; i++) {
				while (limiter_admit(l) && w[0] == "concurrent")
					;
				while (limiter_in_use(l) > 0)
					limiter_release(
						l, event(w[1]),
						(std::stoull(w[4]) + i * std::stoull(w[6])) * 1000);
			}
		}
		return "";
	}
};

bool registered = script_register("limiter", "limiter.test",
				  [] { return std::make_unique<limiter_script>(); });
} // namespace
