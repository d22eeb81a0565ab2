#include "copycheck.h"
#include "position_text.h"
#include "script.h"

namespace
{
/*
 * Steps call the function of the same name; "@N" sets the time to N milliseconds. Values are noted
 * in era 1 and judged in era 2, unless a position says otherwise.
 */
struct copycheck_script : script_interpreter {
	struct copycheck *c = copycheck_create();
	uint64_t now_ms = 0;

	~copycheck_script() override
	{
		copycheck_destroy(c);
	}

	/* STATE START SEQUENCE */
	static struct leaf_report report_of(const std::vector<std::string> &w, size_t first)
	{
		struct leaf_report report = {};

		report.state = w[first] == "ready" ? LEAF_READY : LEAF_DRAINING;
		report.process_start_ms = std::stoull(w[first + 1]);
		report.sequence = std::stoull(w[first + 2]);
		return report;
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0][0] == '@') {
			now_ms = std::stoull(w[0].substr(1));
		} else if (w[0] == "leaf") { /* leaf KEY STATE START SEQUENCE */
			struct leaf_report report = report_of(w, 2);

			copycheck_value_note(c, w[1].c_str(), &report, {1, 1});
		} else if (w[0] == "value") { /* value KEY POSITION */
			copycheck_value_note(c, w[1].c_str(), nullptr, position_of(w[2]));
		} else if (w[0] == "removed") { /* removed KEY [ERA] */
			copycheck_removal_note(c, w[1].c_str(),
					       w.size() > 2 ? std::stoull(w[2]) : 1, now_ms);
		} else if (w[0] ==
			   "listed-leaf") { /* listed-leaf KEY STATE START SEQUENCE [POSITION] */
			struct leaf_report report = report_of(w, 2);

			return copycheck_is_older(c, w[1].c_str(), &report,
						  w.size() > 5 ? position_of(w[5]) : position{2, 1})
				       ? "older\n"
				       : "used\n";
		} else if (w[0] == "listed-value") { /* listed-value KEY POSITION */
			return copycheck_is_older(c, w[1].c_str(), nullptr, position_of(w[2]))
				       ? "older\n"
				       : "used\n";
		} else if (w[0] == "is-removed") { /* is-removed KEY */
			return copycheck_is_removed(c, w[1].c_str()) ? "yes\n" : "no\n";
		} else {
			return "unknown step " + w[0] + "\n";
		}
		return "";
	}
};

bool registered = script_register("copycheck", "copycheck.test",
				  [] { return std::make_unique<copycheck_script>(); });
} // namespace
