#include "config.h"
#include "script.h"

#include <cstring>

namespace
{
std::string digest(const std::string &text)
{
	char *sum = g_compute_checksum_for_string(G_CHECKSUM_SHA256, text.c_str(), -1);
	std::string s = sum;

	g_free(sum);
	return s;
}

/* A manifest whose text contains "bad" is not valid. */
struct sink : config_sink {
	std::string events;

	static bool validate(config_sink *, uint64_t, const config_section *c, unsigned int n,
			     GError **error)
	{
		for (unsigned int i = 0; i < n; i++)
			if (strstr(c[i].text, "bad")) {
				g_set_error(error, RESULT_ERROR, RESULT_BAD_MANIFEST, "bad text");
				return false;
			}
		return true;
	}

	static void apply(config_sink *s, uint64_t version, const config_section *c, unsigned int n)
	{
		std::string &e = static_cast<sink *>(s)->events;

		e += "apply " + std::to_string(version) + ":";
		for (unsigned int i = 0; i < n; i++)
			e += std::string(" ") + c[i].name + "=" +
			     std::string(c[i].text, c[i].bytes);
		e += "\n";
	}
};

class interpreter : public script_interpreter
{
      public:
	interpreter()
	{
		static const config_sink_ops ops = {sink::validate, sink::apply};

		out.ops = &ops;
		store = config_store_create(&out, 2, 0);
	}

	~interpreter() override
	{
		config_store_destroy(store);
	}

	std::string run(const std::vector<std::string> &w) override
	{
		GError *error = nullptr;
		std::string s;
		size_t bytes;

		out.events.clear();
		/* offer VERSION SOURCE NAME=TEXT...: an index that lists a section for each text */
		if (w[0] == "offer") {
			s = result_name(config_store_offer(store, std::stoull(w[1]),
							   index(w).c_str(), w[2].c_str(), &error));
		} else if (w[0] == "offer_raw") { /* offer_raw VERSION INDEX */
			s = result_name(config_store_offer(store, std::stoull(w[1]), w[2].c_str(),
							   "peer", &error));
		} else if (w[0] == "add") { /* add TEXT [TEXT WHOSE DIGEST IS GIVEN] */
			s = result_name(config_store_section_add(store, digest(w.back()).c_str(),
								 w[1].c_str(), w[1].size(),
								 &error));
		} else if (w[0] == "missing") {
			return missing();
		} else if (w[0] == "section") {
			const char *t =
				config_store_section_text(store, digest(w[1]).c_str(), &bytes);

			s = t ? std::string(t, bytes) : "none";
		} else if (w[0] == "conflicts") {
			s = std::to_string(config_store_stats(store)->conflicts);
		} else if (w[0] == "answered") {
			config_store_source_answered(store);
			return "";
		} else if (w[0] == "ready") { /* ready AT_MS */
			s = config_store_is_ready(store, std::stoull(w[1])) ? "yes" : "no";
		} else {
			return "unknown step\n";
		}
		if (error)
			s += std::string(" (") + error->message + ")";
		g_clear_error(&error);
		return s + "\n" + out.events;
	}

      private:
	sink out;
	config_store *store;

	static std::string index(const std::vector<std::string> &w)
	{
		std::string s = "{\"sections\": [";

		for (size_t i = 3; i < w.size(); i++) {
			size_t eq = w[i].find('=');

			s += std::string(i > 3 ? ", " : "") + "{\"name\": \"" + w[i].substr(0, eq) +
			     "\", \"sha256\": \"" + digest(w[i].substr(eq + 1)) + "\"}";
		}
		return s + "]}";
	}

	std::string missing()
	{
		const char *digests[8];
		unsigned int n = config_store_missing_digests(store, digests, 8);
		const char *source = config_store_candidate_source(store);

		return std::to_string(n) + " from " + (source ? source : "nobody") + "\n";
	}
};

bool registered =
	script_register("config", "config.test", [] { return std::make_unique<interpreter>(); });
} // namespace
