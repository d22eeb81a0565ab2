#include "position_text.h"
#include "registry.h"
#include "script.h"

namespace
{
/*
 * Steps call the function of the same name; "@N" sets the time to N milliseconds. Leaves write
 * their entries every 1,200 ms.
 */
struct registry_script : script_interpreter {
	struct registry *r = registry_create(1200);
	uint64_t now_ms = 0;

	~registry_script() override
	{
		registry_destroy(r);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0][0] == '@')
			now_ms = std::stoull(w[0].substr(1));
		if (w[0] == "put")
			/* put KEY POSITION [POSITION of the answer; default: after all changes] */
			return registry_put(r, w[1].c_str(), position_of(w[2]),
					    w.size() > 3 ? position_of(w[3])
							 : position{UINT64_MAX, UINT64_MAX})
				       ? "new\n"
				       : "old\n";
		if (w[0] == "remove")
			/* remove KEY POSITION [held [READ_MS]] */
			return registry_remove(r, w[1].c_str(), position_of(w[2]), w.size() > 3,
					       w.size() > 4 ? std::stoull(w[4]) : now_ms)
				       ? "noted\n"
				       : "ignored\n";
		if (w[0] == "listing_begin")
			registry_listing_begin(r);
		if (w[0] == "listing_end")
			registry_listing_end(r, position_of(w[1]), now_ms);
		if (w[0] == "complete")
			registry_complete(r, position_of(w[1]));
		if (w[0] == "store_returned")
			registry_store_returned(r, now_ms);
		if (w[0] == "due") {
			std::string out;
			struct position position = {};

			while (char *key = registry_due_removal_take(r, now_ms, &position)) {
				out += std::string(key) + "\n";
				g_free(key);
			}
			return out.empty() ? "none\n" : out;
		}
		return "";
	}
};

bool registered = script_register("registry", "registry.test",
				  [] { return std::make_unique<registry_script>(); });
} // namespace
