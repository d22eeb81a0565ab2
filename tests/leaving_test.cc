#include "leaving.h"
#include "script.h"

namespace
{
class interpreter : public script_interpreter
{
      public:
	interpreter() : local(leaving_create(4)), peer(leaving_create(4))
	{
	}

	~interpreter() override
	{
		leaving_destroy(local);
		leaving_destroy(peer);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		auto inc = [&] { return std::stoull(w.at(2)); };
		const char *backend = w.size() > 1 ? w[1].c_str() : "";
		unsigned int n;

		if (w[0] == "mark") { /* mark BACKEND INCARNATION SIGN */
			for (int s = LEAVING_VM_LIST; s <= LEAVING_PEER; s++)
				if (w[3] == leaving_sign_name((leaving_sign)s))
					return leaving_mark(local, backend, inc(), (leaving_sign)s)
						       ? "new\n"
						       : "known\n";
			return "unknown sign\n";
		} else if (w[0] == "observe") {
			leaving_observe(local, backend, inc());
		} else if (w[0] == "observe-peer") {
			leaving_observe(peer, backend, inc());
		} else if (w[0] == "unlist") {
			leaving_unlist(local, backend);
		} else if (w[0] == "marked" || w[0] == "marked-peer") {
			return leaving_is_marked(w[0] == "marked" ? local : peer, backend, inc())
				       ? "yes\n"
				       : "no\n";
		} else if (w[0] == "share") { /* sends all marks to the peer */
			leaving_mark_record *records = leaving_export(local, &n);
			std::string s = std::to_string(n) + " exported, " +
					std::to_string(leaving_import(peer, records, n)) + " new\n";

			g_free(records);
			return s;
		} else {
			return "unknown step\n";
		}
		return "";
	}

      private:
	struct leaving *local, *peer;
};

bool registered =
	script_register("leaving", "leaving.test", [] { return std::make_unique<interpreter>(); });
} // namespace
