#include "hop.h"
#include "script.h"

#include <gtest/gtest.h>

namespace
{
/* Times are in milliseconds. */
struct hop_script : script_interpreter {
	struct hop_table *hops = hop_table_create();

	~hop_script() override
	{
		hop_table_destroy(hops);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "reserve")
			return std::to_string(hop_reserve_us(hops, w[1].c_str(),
							     std::stoull(w[3]) * 1000) /
					      1000) +
			       " ms\n";
		/* observe ADDRESS total MS served MS [times N] */
		for (int i = 0; i < (w.size() > 7 ? std::stoi(w[7]) : 1); i++)
			hop_observe(hops, w[1].c_str(), std::stoull(w[3]) * 1000,
				    std::stoull(w[5]) * 1000);
		return "";
	}
};

bool registered = script_register("hop", "hop.test", [] { return std::make_unique<hop_script>(); });
} // namespace
