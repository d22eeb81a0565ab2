#include "adapter_platform.h"
#include "httpmsg.h"

#include <gtest/gtest.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace
{
/* What the head of an answer of the store with these fields says of the era, and the era. */
std::string era_of(const std::string &fields)
{
	const struct adapter *adapter = adapter_platform();
	const struct http_limits limits = {65536, 65536};
	struct http_reader *r = http_reader_create(HTTP_MESSAGE_ANSWER, &limits);
	std::string text = "HTTP/1.1 200 X\r\n" + fields + "Content-Length: 0\r\n\r\n";
	uint64_t era = 0;
	std::string out;
	size_t used;

	EXPECT_EQ(http_reader_feed(r, text.data(), text.size(), &used), HTTP_COMPLETE) << fields;
	out = store_era_name(adapter->ops->era_parse(adapter, r, &era));
	http_reader_destroy(r);
	return era ? out + " " + std::to_string(era) : out;
}

struct leaf_signals signals_of(const std::string &fields, unsigned int status = 200)
{
	const struct adapter *adapter = adapter_platform();
	const struct http_limits limits = {65536, 65536};
	struct http_reader *r = http_reader_create(HTTP_MESSAGE_ANSWER, &limits);
	std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
			   "Content-Length: 0\r\n\r\n";
	struct leaf_signals signals = {};
	size_t used;

	EXPECT_EQ(http_reader_feed(r, text.data(), text.size(), &used), HTTP_COMPLETE) << fields;
	adapter->ops->leaf_signals_parse(adapter, r, &signals);
	http_reader_destroy(r);
	return signals;
}

/* The entry of a leaf with one field replaced by JSON text; "": the field is left out. */
std::string entry_with(const std::string &name, const std::string &value)
{
	std::map<std::string, std::string> fields = {{"service", "\"catalogue\""},
						     {"address", "\"10.0.0.1:8080\""},
						     {"zone", "\"a\""},
						     {"version", "\"v1\""},
						     {"capacity", "2"},
						     {"state", "\"ready\""},
						     {"warmupRemainingMs", "0"},
						     {"sequence", "4"},
						     {"born", "1796443200000"}};
	std::string out;

	fields[name] = value;
	for (const auto &field : fields)
		if (!field.second.empty())
			out += (out.empty() ? "{\"" : ",\"") + field.first + "\":" + field.second;
	return out + "}";
}

bool leaf_is_read(const std::string &text)
{
	const struct adapter *adapter = adapter_platform();
	struct leaf_report report = {};
	GError *error = nullptr;
	bool is_read = adapter->ops->leaf_parse(adapter, text.data(), text.size(), &report, &error);

	EXPECT_EQ(is_read, error == nullptr) << text;
	g_clear_error(&error);
	leaf_report_clear(&report);
	return is_read;
}

/* An answer of the store, cleared at the end. */
struct answer_ref {
	struct store_answer answer = {};
	bool is_read;

	explicit answer_ref(const std::string &text)
	{
		const struct adapter *adapter = adapter_platform();
		GError *error = nullptr;

		is_read = adapter->ops->answer_parse(adapter, text.data(), text.size(), &answer,
						     &error);
		g_clear_error(&error);
	}
	~answer_ref()
	{
		store_answer_clear(&answer);
	}
	const struct store_item *item(guint i) const
	{
		return static_cast<const struct store_item *>(g_ptr_array_index(answer.items, i));
	}
};
} // namespace

/* Guards against a leaf whose numbers were cut to another size or whose fields are of another type.
 */
TEST(adapter, leaf_entry_is_in_range)
{
	const std::string nested = std::string(3000, '[') + std::string(3000, ']');
	const std::pair<const char *, std::vector<std::string>> odd[] = {
		{"capacity",
		 {"", "0", "-1", "2.5", "\"2\"", "null", "65537", "2147483647", "4294967296",
		  "4294967297", "18446744073709551616", "1e400", std::string(400, '9')}},
		{"warmupRemainingMs", {"-1", "1e400", "4294967296", "\"0\"", "null"}},
		{"sequence", {"-1", "1e400", "2.5", "\"0\"", std::string(20, '9')}},
		{"born", {"-1", "1e400", "2.5", "\"0\"", std::string(20, '9')}},
		{"version", {"1", "null", "[]"}},
		{"service", {"", "\"\"", "1", "null", "\"a b\"", "\"a\\r\\nX: 1\""}},
		{"zone", {"", "\"\"", "1", "\"\\n\""}},
		{"state", {"", "1", "\"gone\"", "\"READY\""}},
		{"other", {nested, "1e400", std::string(400, '9'), "[", "\"\\u0000\""}}};

	EXPECT_TRUE(leaf_is_read(entry_with("other", "[[[[[[[[[[1]]]]]]]]]]")));
	EXPECT_TRUE(leaf_is_read(entry_with("born", "")));
	EXPECT_TRUE(leaf_is_read(entry_with("capacity", "65536")));
	for (const auto &field : odd)
		for (const std::string &value : field.second)
			EXPECT_FALSE(leaf_is_read(entry_with(field.first, value)))
				<< field.first << " " << value.substr(0, 40);
	for (const char *text : {"", "[]", "null", "7", "{", "\x00"})
		EXPECT_FALSE(leaf_is_read(text)) << text;
	EXPECT_FALSE(leaf_is_read("{\"state\":\"ready\"," + entry_with("other", "1").substr(1)));
}

/* Guards against an address whose port was cut to 16 bits or followed by other text. */
TEST(adapter, leaf_address_is_ip_and_port)
{
	EXPECT_TRUE(leaf_is_read(entry_with("address", "\"10.0.0.1:65535\"")));
	for (const char *address :
	     {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1",
	      "10.0.0.1:99999999999", "10.0.0.1:4294975376", "10.0.0.1:8080x", "10.0.0.1:+8080",
	      "10.0.0.1: 8080", "10.0.0.1:8080:1", ":8080", "10.0.0:8080", "10.0.0.256:8080",
	      "[::1]:8080", "leaf:8080"})
		EXPECT_FALSE(
			leaf_is_read(entry_with("address", std::string("\"") + address + "\"")))
			<< address;
}

/*
 * Guards against one entry of another writer that makes a whole answer unreadable, or ends a
 * listing before its last page.
 */
TEST(adapter, odd_entry_leaves_the_others)
{
	answer_ref listing("{\"items\":[{\"key\":\"a\",\"value\":\"e30=\",\"revision\":1},7,"
			   "{\"key\":\"b\",\"value\":7,\"revision\":2},"
			   "{\"key\":\"c\",\"value\":\"e30\",\"revision\":3},"
			   "{\"key\":\"d\",\"value\":\"\",\"revision\":-1},"
			   "{\"value\":\"\",\"revision\":5},"
			   "{\"key\":\"e \\u0000\",\"value\":\"\",\"revision\":6},"
			   "{\"key\":9,\"value\":\"\",\"revision\":7}],"
			   "\"hasMore\":true,\"storeRevision\":9}");

	ASSERT_TRUE(listing.is_read);
	ASSERT_EQ(listing.answer.items->len, 3u);
	EXPECT_EQ(listing.item(0)->n_value, 2u);
	for (guint i = 1; i < 3; i++) {
		EXPECT_NE(listing.item(i)->value, nullptr);
		EXPECT_EQ(listing.item(i)->n_value, 0u);
	}
	EXPECT_EQ(listing.answer.n_unreadable, 5u);
	EXPECT_STREQ(listing.answer.next, "e%20%00");
}

/* Guards against a limit that is not noticed, or read from a field that holds no number. */
TEST(adapter, limit_is_a_decimal_number)
{
	EXPECT_TRUE(signals_of("Server-Limit: 14.6\r\n").has_limit);
	EXPECT_DOUBLE_EQ(signals_of("server-limit: 14.6\r\n").limit_per_s, 14.6);
	EXPECT_TRUE(signals_of("Server-Limit: 0\r\n").has_limit);
	EXPECT_FALSE(signals_of("").has_limit);
	for (const char *text : {"", "many", "-1", "3 per s", "inf", "nan", "1e9", "0x10"})
		EXPECT_FALSE(signals_of(std::string("Server-Limit: ") + text + "\r\n").has_limit)
			<< text;
}

/* Guards against a load that is read from a field that contradicts itself or holds no counts. */
TEST(adapter, load_is_three_or_four_counts)
{
	struct leaf_signals s = signals_of("X-Server-Load: 3,0,8\r\n");

	EXPECT_TRUE(s.has_load);
	EXPECT_EQ(s.load.n_running, 3u);
	EXPECT_EQ(s.load.slots, 8u);
	EXPECT_EQ(s.load.work_pct, 100u);
	s = signals_of("x-server-load: 3, 1, 8, 250\r\n");
	EXPECT_TRUE(s.has_load);
	EXPECT_EQ(s.load.n_waiting, 1u);
	EXPECT_EQ(s.load.work_pct, 250u);
	EXPECT_FALSE(signals_of("").is_load_malformed);
	for (const char *text :
	     {"", "3,0", "3,0,8,100,1", "-1,0,8", "3,x,8", "9,0,8", "3,0,0", "3,0,8,0", "3,0,8,-5",
	      "3.5,0,8", "1,99999999999999999999,8", "+1,0,8", "3,,8"}) {
		s = signals_of(std::string("X-Server-Load: ") + text + "\r\n");
		EXPECT_FALSE(s.has_load) << text;
		EXPECT_TRUE(s.is_load_malformed) << text;
	}
}

/* Guards against a leaf that counts as warm or cold by a field that holds no time. */
TEST(adapter, warmup_is_a_time)
{
	EXPECT_EQ(signals_of("X-Warmup-Remaining-Ms: 1200\r\n").warmup_ms, 1200u);
	EXPECT_TRUE(signals_of("X-Warmup-Remaining-Ms: 0\r\n").has_warmup);
	for (const char *text : {"", "soon", "-1", "99999999999"})
		EXPECT_FALSE(signals_of(std::string("X-Warmup-Remaining-Ms: ") + text + "\r\n")
				     .has_warmup)
			<< text;
}

/* Guards against warm-up limits of services that are missed, or that hold without being named. */
TEST(adapter, services_have_warmup_limits)
{
	const struct adapter *adapter = adapter_platform();
	const std::string text =
		R"({"version":1,"routes":[],"services":[)"
		R"({"name":"a","maxConnections":9,"warmupS":2.5,"warmupPerS":10.5},)"
		R"({"name":"b","maxConnections":9},)"
		R"({"name":"c","warmupS":"x","warmupPerS":-3}]})";
	GError *error = nullptr;
	struct routemap *m = adapter->ops->routes_parse(adapter, text.data(), text.size(), &error);

	ASSERT_NE(m, nullptr) << error->message;
	EXPECT_EQ(routemap_service_find(m, "a")->warmup_ms, 2500u);
	EXPECT_DOUBLE_EQ(routemap_service_find(m, "a")->warmup_calls_per_s, 10.5);
	EXPECT_EQ(routemap_service_find(m, "b")->warmup_calls_per_s, 0);
	EXPECT_EQ(routemap_service_find(m, "c")->warmup_ms, 0u);
	EXPECT_EQ(routemap_service_find(m, "c")->warmup_calls_per_s, 0);
	routemap_put(m);
}

/* Guards against a restriction of regions that a field or a member of another type lifts. */
TEST(adapter, regions_restrict_a_route)
{
	const struct adapter *adapter = adapter_platform();
	const std::pair<std::string, std::string> cases[] = {
		{"", "everywhere"},
		{R"(,"allowedRegions":[])", "everywhere"},
		{R"(,"allowedRegions":["north"])", "north"},
		{R"(,"allowedRegions":[1,"north",null,["south"],"west"])", "north west"},
		{R"(,"allowedRegions":[1,{}])", "nowhere"},
		{R"(,"allowedRegions":"north")", "nowhere"},
		{R"(,"allowedRegions":{})", "nowhere"},
		{R"(,"allowedRegions":null)", "nowhere"},
		{R"(,"allowedRegions":0)", "nowhere"},
	};

	for (const auto &[field, expected] : cases) {
		const std::string text =
			R"({"version":1,"routes":[{"hostname":"h","prefix":"/","service":"s",)"
			R"("timeoutMs":1)" +
			field + "}]}";
		struct routemap *m =
			adapter->ops->routes_parse(adapter, text.data(), text.size(), nullptr);
		std::string regions;

		ASSERT_NE(m, nullptr) << field;
		const struct route *r = routemap_find(m, "h", "/");

		for (guint i = 0; r->regions && i < r->regions->len; i++)
			regions += std::string(i ? " " : "") +
				   static_cast<const char *>(g_ptr_array_index(r->regions, i));
		if (!r->regions)
			regions = "everywhere";
		else if (r->regions->len == 0)
			regions = "nowhere";
		EXPECT_EQ(regions, expected) << field;
		EXPECT_EQ(m->has_regions, expected != "everywhere") << field;
		routemap_put(m);
	}
}

/* Guards against ranks on a deployment that does not ask for them. */
TEST(adapter, features_are_asked_for)
{
	const struct adapter *adapter = adapter_platform();

	EXPECT_EQ(adapter->ops->features_parse(adapter, "base,pressure,scatter"),
		  (unsigned int)FEATURE_RANKS);
	EXPECT_EQ(adapter->ops->features_parse(adapter, "base,pressures,scatter"), 0u);
	EXPECT_EQ(adapter->ops->features_parse(adapter, ""), 0u);
}

/* Guards against a leaf that is taken out of use by a field that says the contrary. */
TEST(adapter, leaving_is_said_by_one)
{
	EXPECT_TRUE(signals_of("Server-Leaving: 1\r\n").is_leaving);
	EXPECT_FALSE(signals_of("Server-Leaving: 0\r\n").is_leaving);
	EXPECT_FALSE(signals_of("").is_leaving);
}

/* Guards against a pause that is taken from an answer which refuses nothing, or from a date. */
TEST(adapter, pause_is_asked_for_by_a_refusal)
{
	EXPECT_DOUBLE_EQ(signals_of("Retry-After: 2.5\r\n", 503).pause_s, 2.5);
	EXPECT_DOUBLE_EQ(signals_of("Retry-After: 2\r\n", 200).pause_s, 0);
	EXPECT_DOUBLE_EQ(signals_of("Retry-After: 2\r\n", 500).pause_s, 0);
	EXPECT_DOUBLE_EQ(signals_of("Retry-After: Fri, 4 Dec 2026 23:55:10 GMT\r\n", 503).pause_s,
			 0);
	EXPECT_DOUBLE_EQ(signals_of("", 503).pause_s, 0);
}

/*
 * Guards against one odd entry of another writer that keeps a VM from reading all others: keys and
 * fields that no JSON parser has to take, at any place of a listing or of changes (review case 3).
 */
TEST(adapter, odd_entry_costs_only_itself)
{
	const std::string deep = std::string(100000, '[') + std::string(100000, ']');
	const std::string sound = "{\"key\":\"servers/K\",\"value\":\"e30=\",\"revision\":7,"
				  "\"createRevision\":7,\"lease\":0}";
	const std::vector<std::string> odd_values = {"9223372036854775808",
						     "-9223372036854775809",
						     "1e400",
						     "-1e999",
						     deep,
						     "\"\\ud83d\"",
						     "\"\\udc00x\"",
						     "\"\xff\xfe\"",
						     "\"\xed\xa0\xbd\"",
						     "\"\\u12\"",
						     "nul",
						     "01",
						     "+1",
						     "0x10",
						     "{\"a\":1e400}",
						     "{\"a\":1,\"a\":2}"};
	std::vector<std::string> odd;

	for (const char *field : {"key", "value", "revision", "createRevision", "lease"})
		odd.push_back("{\"" + std::string(field) + "\":7," + sound.substr(1));

	for (const std::string &value : odd_values) {
		for (const char *field : {"key", "value", "revision", "createRevision", "lease"}) {
			std::string entry = sound;
			size_t at =
				entry.find(std::string("\"") + field + "\":") + strlen(field) + 3;

			entry.replace(at, entry.find_first_of(",}", at) - at, value);
			odd.push_back(entry);
		}
		odd.push_back(sound.substr(0, sound.size() - 1) + ",\"unread\":" + value + "}");
	}
	for (const std::string &entry : odd)
		for (const char *list : {"items", "events"})
			for (int place = 0; place < 4; place++) {
				std::string text = std::string("{\"") + list + "\": [";

				for (int i = 0; i < 4; i++) {
					std::string one = sound;

					one.replace(one.find("K\""), 1, std::to_string(i));
					text += (i ? ", " : "") + (i == place ? entry : one);
				}
				answer_ref a(text + "],\"hasMore\":false,\"storeRevision\":12}");

				ASSERT_TRUE(a.is_read) << text.substr(0, 600);
				ASSERT_EQ(a.answer.items->len, 3u) << text.substr(0, 600);
				EXPECT_EQ(a.answer.n_unreadable, 1u);
				EXPECT_EQ(a.answer.position.revision, 12u);
				for (guint i = 0; i < 3; i++)
					EXPECT_EQ(a.item(i)->key,
						  "servers/" +
							  std::to_string(i + (place <= (int)i)));
			}
}

/*
 * Guards against an entry that is left out without its key or place, and against a page without a
 * key that JSON can read, after which the listing cannot go on.
 */
TEST(adapter, entry_left_out_is_named)
{
	static const struct {
		const char *entry;
		const char *shown;
		const char *key;
	} cases[] = {
		{"{\"key\":\"s/K\",\"value\":\"\",\"revision\":1e400}", "s/K", "s/K"},
		{"{\"key\":\"s/K\",\"value\":\"\",\"revision\":-1}", "s/K", "s/K"},
		{"{\"value\":\"\",\"revision\":9223372036854775808,\"key\":\"s\\/K\"}", "s/K",
		 "s/K"},
		{"{\"key\":\"\\u00e9\\ud83d\\ude00\",\"lease\":1e999}", "%C3%A9%F0%9F%98%80",
		 "\u00e9\U0001f600"},
		{"{\"key\":\"s/\\ud83d\",\"revision\":1}", "s/%ED%A0%BD", nullptr},
		{"{\"key\":\"s/\\ud83dx\\ude00\",\"revision\":1}", "s/%ED%A0%BDx%ED%B8%80",
		 nullptr},
		{"{\"key\":\"s/\xff\",\"revision\":1}", "s/%FF", nullptr},
		{"{\"key\":\"s/\\u0000 1\",\"revision\":1}", "s/%00%201", nullptr},
		{"{\"key\":\"s/\\u12\",\"revision\":1}", "s/%5Cu12", "s/\\u12"},
		{"{\"key\":7,\"revision\":1e400}", nullptr, nullptr},
		{"{\"revision\":1}", nullptr, nullptr},
		{"[]", nullptr, nullptr},
		{"[1e400]", nullptr, nullptr},
	};

	for (const auto &c : cases) {
		const std::string sound = "{\"key\":\"a b\",\"value\":\"e30=\",\"revision\":7}";
		answer_ref both("{\"items\":[" + sound + "," + c.entry +
				"],\"hasMore\":true,\"storeRevision\":9}");
		answer_ref alone("{\"items\":[" + std::string(c.entry) + "," + c.entry +
				 "],\"hasMore\":true,\"storeRevision\":9}");

		ASSERT_TRUE(both.is_read) << c.entry;
		ASSERT_TRUE(alone.is_read) << c.entry;
		ASSERT_EQ(both.answer.n_unreadable, 1u) << c.entry;
		EXPECT_EQ(alone.answer.n_unreadable, 2u) << c.entry;
		EXPECT_EQ(both.answer.items->len, 1u) << c.entry;
		auto *u = static_cast<const struct store_unreadable *>(
			g_ptr_array_index(both.answer.unreadable, 0));
		EXPECT_EQ(u->position, 1u);
		EXPECT_STREQ(u->shown, c.shown);
		EXPECT_STREQ(u->key, c.key);
		EXPECT_EQ(alone.answer.next != nullptr, c.shown != nullptr) << c.entry;
	}
}

/* Guards against an answer that breaks off, or is no list, and is taken for a list of what it has.
 */
TEST(adapter, broken_answer_is_no_list)
{
	const std::string entry = "{\"key\":\"k\",\"value\":\"e30=\",\"revision\":7,"
				  "\"lease\":9223372036854775808}";
	const std::string text = "{\"items\": [" + entry + "," + entry + "],\"storeRevision\":12}";

	EXPECT_TRUE(answer_ref(text).is_read);
	for (size_t n = 0; n < text.size(); n++)
		EXPECT_FALSE(answer_ref(text.substr(0, n)).is_read) << text.substr(0, n);
	EXPECT_FALSE(answer_ref(text + "x").is_read);
	EXPECT_FALSE(answer_ref("{\"items\": [" + entry + " " + entry + "],\"storeRevision\":12}")
			     .is_read);
	EXPECT_FALSE(answer_ref("{\"items\": [" + entry + "],\"storeRevision\":1e400}").is_read);
}

/* Guards against an era read from a field that is cut, doubled or no whole number in its range. */
TEST(adapter, era_is_a_whole_number)
{
	const std::string largest = std::to_string(INT64_MAX);

	EXPECT_EQ(era_of(""), "absent");
	EXPECT_EQ(era_of("X-Store-Era: 7\r\n"), "absent");
	EXPECT_EQ(era_of("Store-Era: 7\r\n"), "named 7");
	EXPECT_EQ(era_of("store-era: 007\r\n"), "named 7");
	EXPECT_EQ(era_of("Store-Era: 0\r\n"), "named");
	EXPECT_EQ(era_of("Store-Era: " + largest + "\r\n"), "named " + largest);
	EXPECT_EQ(era_of("Store-Era: 7\r\nStore-Era: 7\r\n"), "malformed");
	for (const char *value : {"", "-1", "+1", "1.0", "0x1", "1 1", "1,1", "one",
				  "9223372036854775808", "99999999999999999999"})
		EXPECT_EQ(era_of(std::string("Store-Era: ") + value + "\r\n"), "malformed")
			<< value;
}
