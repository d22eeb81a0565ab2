#include "adapter_platform.h"
#include "mapcheck.h"
#include "mapdiff.h"
#include "process.h"
#include "script.h"

#include <ctime>
#include <fstream>
#include <gtest/gtest.h>
#include <jansson.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace
{
/* Builds files field by field, checks them and prints what the command prints, and its status. */
struct mapcheck_script : script_interpreter {
	json_t *config = json_pack("{s:i, s:[], s:[]}", "version", 7, "routes", "services");
	std::string raw; /* the file, instead of config */
	std::string current;
	std::string leaves; /* the store's answer to a listing */
	uint64_t stop_ms = 0;

	~mapcheck_script() override
	{
		json_decref(config);
	}

	static json_t *list(const std::string &text, bool is_split)
	{
		std::istringstream in(text);
		json_t *out = json_array();
		std::string word;

		while (std::getline(in, word, ',')) {
			size_t colon = word.find(':');
			json_t *name = json_string(word.substr(0, colon).c_str());

			json_array_append_new(
				out, is_split ? json_pack("{s:o, s:f}", "service", name, "weight",
							  std::stod(word.substr(colon + 1)))
					      : name);
		}
		return out;
	}

	/* Sets the fields NAME=VALUE; NAME= removes the field. */
	static void fields_set(json_t *object, const std::vector<std::string> &w, size_t first)
	{
		for (size_t i = first; i < w.size(); i++) {
			size_t equals = w[i].find('=');
			std::string name = w[i].substr(0, equals);
			std::string value = w[i].substr(equals + 1);
			json_t *json;

			if (value.empty()) {
				json_object_del(object, name.c_str());
				continue;
			}
			if (name == "gather" || name == "trafficSplit")
				json = list(value, name == "trafficSplit");
			else
				json = json_loads(value.c_str(), JSON_DECODE_ANY, nullptr);
			json_object_set_new(object, name.c_str(),
					    json ? json : json_string(value.c_str()));
		}
	}

	std::string text() const
	{
		char *dump = json_dumps(config, JSON_COMPACT);
		std::string out = raw.empty() ? dump : raw;

		free(dump);
		return out;
	}

	/* An answer of the store with one leaf for each service that is named after the verb. */
	static std::string listing(const std::vector<std::string> &w)
	{
		std::string items;

		for (size_t i = 1; i < w.size(); i++) {
			std::string value =
				R"({"state":"ready","capacity":2,"zone":"a","address":"127.0.0.1:9","service":")" +
				w[i] + "\"}";
			g_autofree char *encoded =
				g_base64_encode((const guchar *)value.data(), value.size());

			items += (i > 1 ? "," : "") + (R"({"key":"servers/l)" + std::to_string(i)) +
				 R"(","revision":4,"value":")" + encoded + "\"}";
		}
		return w.size() > 1 ? R"({"storeRevision":9,"items":[)" + items + "]}" : "";
	}

	std::string check(bool as_json)
	{
		std::string file_text = text();
		struct mapcheck_file file = {"new", file_text.data(), file_text.size()};
		struct mapcheck_file before = {"current", current.data(), current.size()};
		struct mapcheck_file listing = {"leaves", leaves.data(), leaves.size()};
		struct mapcheck_context context = {current.empty() ? nullptr : &before,
						   leaves.empty() ? nullptr : &listing, stop_ms};
		GError *error = nullptr;
		struct mapcheck *c = mapcheck_create(adapter_platform(), &file, &context, &error);
		std::string out;

		if (!c) {
			out = std::string(error->message) + "\nexit 2\n";
			g_error_free(error);
			return out;
		}
		char *rendered = as_json ? mapcheck_render_json(c) : mapcheck_render_text(c);

		out = rendered + ("exit " + std::to_string(mapcheck_exit_code(c))) + "\n";
		g_free(rendered);
		mapcheck_destroy(c);
		return out;
	}

	std::string run(const std::vector<std::string> &w) override
	{
		json_t *routes = json_object_get(config, "routes");
		json_t *services = json_object_get(config, "services");

		if (w[0] == "route") { /* route NAME HOST PREFIX FIELD=VALUE... */
			json_t *route = json_pack("{s:s, s:s, s:s, s:s, s:i}", "name", w[1].c_str(),
						  "hostname", w[2].c_str(), "prefix", w[3].c_str(),
						  "routeType", "safe", "timeoutMs", 1000);

			fields_set(route, w, 4);
			json_array_append_new(routes, route);
		} else if (w[0] == "change") { /* change I FIELD=VALUE... */
			fields_set(json_array_get(routes, std::stoul(w[1])), w, 2);
		} else if (w[0] == "remove") { /* remove I */
			json_array_remove(routes, std::stoul(w[1]));
		} else if (w[0] == "services") { /* services NAME... */
			json_array_clear(services);
			for (size_t i = 1; i < w.size(); i++)
				json_array_append_new(services,
						      json_pack("{s:s}", "name", w[i].c_str()));
		} else if (w[0] == "service") { /* service I FIELD=VALUE... */
			fields_set(json_array_get(services, std::stoul(w[1])), w, 2);
		} else if (w[0] == "limits") { /* limits FIELD=VALUE... */
			json_object_set_new(config, "limits", json_object());
			fields_set(json_object_get(config, "limits"), w, 1);
		} else if (w[0] == "version") { /* version N */
			json_object_set_new(config, "version", json_integer(std::stoll(w[1])));
		} else if (w[0] == "raw") { /* raw TEXT, with \n for the end of a line */
			raw.clear();
			for (size_t i = 1; i < w.size(); i++)
				raw += w[i] == "\\n" ? "\n" : w[i] + " ";
		} else if (w[0] == "fill") { /* fill N TEXT TEXT: the first N times, the second */
			raw.clear();
			for (size_t i = 0; i < std::stoul(w[1]); i++)
				raw += w[2];
			raw += w[3];
		} else if (w[0] == "nest") { /* nest N: that many arrays in each other */
			raw = std::string(std::stoul(w[1]), '[') +
			      std::string(std::stoul(w[1]), ']');
		} else if (w[0] == "current") { /* the file as it is now */
			current = text();
			raw.clear();
		} else if (w[0] ==
			   "leaves") { /* leaves SERVICE...: one leaf each; none is unknown */
			leaves = listing(w);
		} else if (w[0] == "listing") { /* listing TEXT */
			leaves = w[1];
		} else if (w[0] == "stop") { /* stop MS */
			stop_ms = std::stoull(w[1]);
		} else { /* check, json */
			return check(w[0] == "json");
		}
		return "";
	}
};

bool registered = script_register("mapcheck", "mapcheck.test",
				  [] { return std::make_unique<mapcheck_script>(); });

std::string page_read(const char *name)
{
	std::ifstream in(name);
	std::stringstream out;

	out << in.rdbuf();
	EXPECT_FALSE(out.str().empty()) << name;
	return out.str();
}

/* The text of the manual page without the markup of troff. */
std::string manual_plain(const std::string &page)
{
	std::string out;

	for (size_t i = 0; i < page.size(); i++)
		if (page[i] != '\\' || page[i + 1] == '\\')
			out += page[i];
	return out;
}

/* A configuration that daemons accept, with every field that the daemon's reader knows. */
const char mutation_seed[] =
	"{\"version\":7,\"routes\":[{\"name\":\"a\",\"hostname\":\"one.example\",\"prefix\":\"/a/"
	"\","
	"\"routeType\":\"safe\",\"timeoutMs\":600,\"targetLatencyMs\":250,\"priority\":1,"
	"\"maxAttempts\":2,\"gather\":[\"s\",\"t\"],\"topK\":5,\"minShardRatio\":0.5},"
	"{\"name\":\"b\",\"hostname\":\"one.example\",\"prefix\":\"/b/\",\"routeType\":\"unsafe\","
	"\"timeoutMs\":600,\"trafficSplit\":[{\"service\":\"s\",\"weight\":70},"
	"{\"service\":\"t\",\"weight\":30}]}],\"services\":[{\"name\":\"s\",\"maxConnections\":26},"
	"{\"name\":\"t\",\"warmupS\":2,\"warmupPerS\":1.5}],\"limits\":{\"maxHeaderBytes\":16384}}";

/* Changes one or two places: a byte, a cut, a copy of a stretch, or a value for another. */
std::string mutate(GRand *rand)
{
	static const char *const values[] = {"0",
					     "-1",
					     "7",
					     "0.5",
					     "true",
					     "\"/x/\"",
					     "\"\"",
					     "null",
					     "[]",
					     "1e400",
					     "18446744073709551616"};
	std::string text = mutation_seed;

	for (int n = g_rand_int_range(rand, 1, 3); n > 0; n--) {
		size_t at = (size_t)g_rand_int_range(rand, 0, (gint)text.size());
		size_t length = (size_t)g_rand_int_range(rand, 1, 30);
		size_t colon = text.find(':', at);
		size_t end = colon == std::string::npos ? colon : text.find_first_of(",}]", colon);

		switch (g_rand_int_range(rand, 0, 8)) {
		case 0:
			text[at] = (char)g_rand_int_range(rand, 0, 256);
			break;
		case 1:
			text.erase(at, length);
			break;
		case 2:
			text.insert(at, text.substr(at, length));
			break;
		default:
			if (end != std::string::npos)
				text.replace(
					colon + 1, end - colon - 1,
					values[g_rand_int_range(rand, 0, G_N_ELEMENTS(values))]);
		}
	}
	return text;
}

/* The text of the first error that the check shows. */
std::string first_error(const struct mapcheck *c)
{
	g_autofree char *text = mapcheck_render_json(c);
	json_t *json = json_loads(text, 0, nullptr);
	const char *first = json_string_value(
		json_object_get(json_array_get(json_object_get(json, "errors"), 0), "text"));
	std::string out = first ? first : "";

	json_decref(json);
	return out;
}

std::string printable(const char *message)
{
	g_autofree char *shown = mapdiff_text_show(message, 300);

	return shown;
}
} // namespace

/*
 * Guards against a check that passes what daemons refuse, names errors in what they accept, or
 * lists another error first than the one that they log. The check calls the daemon's reader, so
 * this covers what it decides before and after that.
 */
TEST(mapcheck_agreement, check_and_daemon_agree_on_mutations)
{
	const struct adapter *adapter = adapter_platform();
	GRand *rand = g_rand_new_with_seed(8);
	int n_accepted = 0;

	for (int i = 0; i < 500; i++) {
		std::string text = mutate(rand);
		struct mapcheck_file file = {"new", text.data(), text.size()};
		GError *error = nullptr;
		struct routemap *map =
			adapter->ops->routes_parse(adapter, text.data(), text.size(), &error);
		struct mapcheck *c = mapcheck_create(adapter, &file, nullptr, nullptr);

		EXPECT_EQ(map != nullptr, c && !mapcheck_has_error(c)) << text;
		EXPECT_EQ(map == nullptr, error != nullptr) << text;
		if (c && error) {
			EXPECT_EQ(first_error(c),
				  std::string("501 bad_manifest: ") + printable(error->message))
				<< text;
		}
		n_accepted += map != nullptr;
		g_clear_error(&error);
		mapcheck_destroy(c);
		routemap_put(map);
	}
	EXPECT_GE(n_accepted, 100);
	EXPECT_LE(n_accepted, 400);
	g_rand_free(rand);
}

/* Guards against findings that the pages describe differently, or whose example is not printed. */
TEST(mapcheck_pages, pages_and_code_agree)
{
	std::string page = page_read(DOCS_DIR "/OPERATIONS.md");
	std::string manual = manual_plain(page_read(DOCS_DIR "/apricot.1"));
	std::string script = page_read(TEST_DIR "/mapcheck.test");
	size_t n_rows = 0;
	size_t n_listed = 0;

#define X(symbol, name, severity, meaning, example)                                                \
	n_listed++;                                                                                \
	EXPECT_NE(page.find("| `" name "` | " meaning " | `" example "` |\n"), std::string::npos)  \
		<< "docs/OPERATIONS.md lacks " << name;                                            \
	EXPECT_NE(manual.find(".B " name "\n" meaning ".\n.br\n" example "\n"), std::string::npos) \
		<< "docs/apricot.1 lacks " << name;                                                \
	EXPECT_NE(script.find("\n" example "\n"), std::string::npos) << "no case prints " << name; \
	EXPECT_EQ(std::string(example).rfind(                                                      \
			  MAPCHECK_##severity == MAPCHECK_ERROR ? "error " name : "warning " name, \
			  0),                                                                      \
		  0u);
	MAPCHECK_LIST(X)
#undef X
	for (const char *mark : {" | `error ", " | `warning "})
		for (size_t at = 0; (at = page.find(mark, at)) != std::string::npos; at++)
			n_rows++;
	EXPECT_EQ(n_rows, n_listed) << "docs/OPERATIONS.md has rows that the list lacks";
}

/* Guards against a check and a comparison that take long for the largest configurations. */
TEST(mapcheck_size, checks_2500_routes_in_a_second)
{
	std::string routes;
	std::string shards;

	for (int i = 0; i < 90; i++)
		shards += (i ? ",\"s" : "\"s") + std::to_string(i) + "\"";
	for (int i = 0; i < 2500; i++)
		routes += (i ? ",{" : "{") + ("\"name\":\"r" + std::to_string(i)) +
			  "\",\"hostname\":\"one.example\",\"prefix\":\"/" + std::to_string(i) +
			  "/\",\"routeType\":\"safe\",\"timeoutMs\":900,\"gather\":[" + shards +
			  "]}";

	std::string text = "{\"version\":1,\"routes\":[" + routes + "]}";
	struct mapcheck_file file = {"new", text.data(), text.size()};
	std::vector<std::string> leaves = {"leaves"};

	for (int i = 0; i < 270; i++)
		leaves.push_back("s" + std::to_string(i % 90));
	std::string listing = mapcheck_script::listing(leaves);
	struct mapcheck_file listing_file = {"leaves", listing.data(), listing.size()};
	for (bool with_current : {false, true}) {
		clock_t start = clock();
		struct mapcheck_context context = {with_current ? &file : nullptr, &listing_file,
						   6000};
		struct mapcheck *c = mapcheck_create(adapter_platform(), &file, &context, nullptr);

		ASSERT_NE(c, nullptr);
		EXPECT_FALSE(mapcheck_has_error(c));
		g_free(mapcheck_render_text(c));
		/* Processor time, which other processes of the machine do not lengthen. */
		double took_s = (double)(clock() - start) / CLOCKS_PER_SEC;

		EXPECT_LT(took_s, with_current ? 2 : 1);
		RecordProperty(with_current ? "compare_s" : "check_s", std::to_string(took_s));
		mapcheck_destroy(c);
	}
}

/*
 * Guards against a file that crashes the check, that is passed over without a line, or that daemons
 * accept and the check calls unreadable.
 */
TEST(mapcheck_command, bad_input)
{
	const std::string head = R"({"version":7,"routes":[{"name":")";
	const std::string rest =
		R"(","hostname":"h","prefix":"/","timeoutMs":9,"service":"x"}],"services":[{"name":"x")";
	auto nested = [&](size_t n) {
		return head + "a" + rest + ",\"u\":" + std::string(n, '[') + std::string(n, ']') +
		       "}]}";
	};
	const std::string good = head + "a" + rest + "}]}";
	struct {
		std::string text;
		int status;
	} const cases[] = {
		{good, 0},
		{"", 2},
		{good.substr(0, good.size() - 1), 2},
		{good + "x", 2},
		{"\xef\xbb\xbf" + good, 2},
		{head + std::string(1, '\0') + rest + "}]}", 2},
		/* Depths up to 2,048 can be parsed, also where nothing reads the member. */
		{nested(1000), 0},
		{nested(2000), 0},
		{nested(5000), 2},
		{nested(1000000), 2},
		/* Overlong, half of a surrogate pair, Latin-1; then what is valid though unusual.
		 */
		{head + "\xc0\xaf" + rest + "}]}", 2},
		{head + "\xed\xa0\x80" + rest + "}]}", 2},
		{head + "\\ud800" + rest + "}]}", 2},
		{head + "\xe4" + rest + "}]}", 2},
		{head + "\\ud83d\\ude00" + rest + "}]}", 0},
		{head + "\xe2\x80\xae\xc2\x85\xf4\x8f\xbf\xbf" + rest + "}]}", 0},
		{head + "a\",\"name\":\"b" + rest + "}]}", 1},
		{head + "a" + rest + ",\"u\":18446744073709551616}]}", 2},
		{head + "a" + rest + ",\"u\":1e400}]}", 2},
		{head + "a" + rest + ",\"u\":" + std::string(100000, '9') + "}]}", 2},
		{head + std::string(3000000, 'a') + rest + "}]}", 0},
		{good + std::string(8000000, ' '), 2},
		{head + std::string(8000000, 'a') + rest + "}]}", 2},
	};
	g_autofree char *directory = g_dir_make_tmp(nullptr, nullptr);
	std::string name = std::string(directory) + "/file";

	for (const auto &test : cases) {
		ASSERT_TRUE(g_file_set_contents(name.c_str(), test.text.data(),
						(gssize)test.text.size(), nullptr));
		std::string shown = test.text.substr(0, 200);
		const char *args[] = {BUILD_DIR "/apricotctl", "check-config", name.c_str(),
				      nullptr};
		g_autofree char *out = nullptr;
		g_autofree char *err = nullptr;
		int status = 0;

		ASSERT_TRUE(g_spawn_sync(nullptr, (char **)args, nullptr, G_SPAWN_DEFAULT, nullptr,
					 nullptr, &out, &err, &status, nullptr));
		EXPECT_TRUE(WIFEXITED(status)) << shown;
		EXPECT_EQ(WEXITSTATUS(status), test.status) << shown;
		/* One line: on standard error for a file that cannot be read. */
		std::string lines = test.status == 2 ? err : out;
		EXPECT_EQ(lines.find('\n'), lines.size() - 1) << lines;
		EXPECT_STREQ(test.status == 2 ? out : err, "") << shown;
		struct routemap *map = adapter_platform()->ops->routes_parse(
			adapter_platform(), test.text.data(), test.text.size(), nullptr);

		EXPECT_EQ(map != nullptr && test.text.size() <= MAPCHECK_BYTES_MAX,
			  test.status != 2)
			<< shown;
		routemap_put(map);
	}
	unlink(name.c_str());
	rmdir(directory);
}

/* Guards against findings without end, and against errors that warnings crowd out. */
TEST(mapcheck_size, findings_are_bounded)
{
	std::string members;
	std::string routes;

	for (int i = 0; i < 60000; i++)
		members += "\"u" + std::to_string(i) + "\":1,";
	for (int i = 0; i < 20000; i++)
		routes += ",{}";

	std::string text =
		R"({"version":1,"routes":[{)" + members + "\"name\":\"a\"}" + routes + "]}";
	struct mapcheck_file file = {"new", text.data(), text.size()};
	struct mapcheck *c = mapcheck_create(adapter_platform(), &file, nullptr, nullptr);

	ASSERT_NE(c, nullptr);
	EXPECT_TRUE(mapcheck_has_error(c));
	EXPECT_EQ(first_error(c), "501 bad_manifest: route a has no host");
	g_autofree char *shown = mapcheck_render_text(c);
	/* 60,000 warnings and four errors of each of 20,001 routes, of which 50,000 each are shown.
	 */
	EXPECT_TRUE(g_str_has_suffix(shown, "\n40004 more findings are not shown\n"));
	mapcheck_destroy(c);
}

/* Guards against the command's wiring: options that are not passed on, or another exit status. */
TEST(mapcheck_command, options_and_exit_status)
{
	g_autofree char *directory = g_dir_make_tmp(nullptr, nullptr);
	std::string good = std::string(directory) + "/good";
	std::string odd = std::string(directory) + "/odd";
	std::string slow = std::string(directory) + "/slow";
	std::string leaves = std::string(directory) + "/leaves";
	std::string settings = std::string(directory) + "/settings";
	std::string bare = std::string(directory) + "/bare";
	struct {
		std::vector<std::string> args;
		int status;
		std::string line;
	} const cases[] = {
		{{good}, 0, good + ": 0 routes, 0 services: ok"},
		{{odd}, 1, "error rejected routes[0] a: 501 bad_manifest: route a has no host"},
		{{good, "--json"},
		 0,
		 R"({"kind":"routing","errors":[],"warnings":[],"differences":[]})"},
		{{good, "--against", good},
		 0,
		 "difference version: 7 is equal to 7: daemons keep the current configuration"},
		{{good, "--against", odd}, 2, ""},
		{{good, "--against", "127.0.0.1:9"}, 2, ""},
		{{good, "--against", directory}, 2, ""},
		{{slow, "--leaves", leaves, "--settings", settings, "--json"},
		 1,
		 R"({"kind":"routing","errors":[],"warnings":[{"finding":"attempts_above_leaves",)"
		 R"("path":"routes[0] a","text":"max_attempts 1 is above the 0 leaves of service s"},)"
		 R"({"finding":"stop_below_timeout","path":"routes[0] a",)"
		 R"("text":"timeout_ms 9000 is above the stop time of 6000 ms"}],"differences":[]})"},
		/* The stop time of the operator's own environment is not that of the daemons. */
		{{slow, "--settings", bare}, 0, slow + ": 1 routes, 1 services: ok"},
		{{good, "--leaves", good}, 2, ""},
		{{good, "--settings", good}, 2, ""},
		{{good, "--settings", good + "x"}, 2, ""},
		{{good + "x"}, 2, ""},
		{{"/dev/zero"}, 2, ""},
		{{}, 2, ""},
	};

	ASSERT_TRUE(g_file_set_contents(good.c_str(), R"({"version":7,"routes":[]})", -1, nullptr));
	ASSERT_TRUE(g_file_set_contents(odd.c_str(), R"({"version":7,"routes":[{"name":"a"}]})", -1,
					nullptr));
	ASSERT_TRUE(g_file_set_contents(
		slow.c_str(),
		R"({"version":7,"routes":[{"name":"a","hostname":"h","prefix":"/","timeoutMs":9000,)"
		R"("service":"s"}],"services":[{"name":"s"}]})",
		-1, nullptr));
	ASSERT_TRUE(g_file_set_contents(leaves.c_str(), R"({"storeRevision":9,"items":[]})", -1,
					nullptr));
	ASSERT_TRUE(
		g_file_set_contents(settings.c_str(), "# bounds\nAPRICOT_STOP_S=6\n", -1, nullptr));
	ASSERT_TRUE(g_file_set_contents(bare.c_str(), "\n", -1, nullptr));
	g_setenv("APRICOT_STOP_S", "1", TRUE);
	for (const auto &test : cases) {
		std::vector<std::string> args = {"apricotctl", "check-config"};

		args.insert(args.end(), test.args.begin(), test.args.end());
		process p(args);
		EXPECT_EQ(p.line_read(), test.line);
		EXPECT_EQ(p.exit_wait(), test.status) << test.line;
	}
	g_unsetenv("APRICOT_STOP_S");
	unlink(good.c_str());
	for (const std::string &name : {odd, slow, leaves, settings, bare})
		unlink(name.c_str());
	rmdir(directory);
}
