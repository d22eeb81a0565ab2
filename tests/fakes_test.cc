/*
 * Tests of the stand-ins fake-leaf and fake-platform, each run as a process. A stand-in that does
 * not do what a test has set makes that test pass although the system has a fault.
 */
#include <gtest/gtest.h>
#include <jansson.h>
#include <signal.h>

#include <memory>

#include "process.h"

extern "C" {
#include "section.h"
}

static const char manifest_1[] =
	R"({"services":[{"name":"a"}],"groups":[{"id":"g","n":1},{"id":"h","n":1}]})";
static const char manifest_2[] =
	R"({"services":[{"name":"a"}],"groups":[{"id":"g","n":2},{"id":"h","n":1}]})";

using json_ptr = std::unique_ptr<json_t, void (*)(json_t *)>;

static json_ptr json_parse(const std::string &text)
{
	return json_ptr(json_loads(text.c_str(), 0, nullptr), [](json_t *j) { json_decref(j); });
}

class fake_leaf_test : public testing::Test
{
      protected:
	void start(std::vector<std::string> options)
	{
		std::vector<std::string> args = {
			"fake-leaf", "--ports",	   "0,0", "--shards", "0,1;2",	   "--seed",
			"1",	     "--versions", "6,7", "--name",   "sleeve-00", "--control-port",
			"0"};

		args.insert(args.end(), options.begin(), options.end());
		fake_ = std::make_unique<process>(args);
		ports_ = ports_parse(fake_->line_read());
		ASSERT_EQ(ports_.size(), 3u);
	}

	static http_headers search_headers(const std::string &id, int shard, int version = 7,
					   int deadline_ms = 5000)
	{
		return {{"X-Request-Id", id},
			{"X-Index-Version", std::to_string(version)},
			{"X-Map-Version", "1"},
			{"X-Shard", std::to_string(shard)},
			{"X-Deadline-Ms", std::to_string(deadline_ms)}};
	}

	static http_headers command_headers(const std::string &id)
	{
		return {{"X-Command-Id", id},
			{"X-Map-Version", "1"},
			{"X-Shard", "1"},
			{"X-Deadline-Ms", "5000"}};
	}

	http_answer search(const std::string &id, int shard, int version = 7,
			   int deadline_ms = 5000)
	{
		return http_request(ports_[0], "POST", "/search",
				    search_headers(id, shard, version, deadline_ms), "{\"q\":1}");
	}

	void control(const std::string &key, const std::string &value)
	{
		std::string target = "/control?key=" + key + "&value=" + value;

		ASSERT_EQ(http_post(ports_[2], target).status, 200) << target;
	}

	/*
	 * Number in the first leaf's record, or -1000 when it is missing. A name such as
	 * "refused/cold" stands for the member cold of the object refused.
	 */
	json_int_t count(const std::string &name)
	{
		json_ptr record = json_parse(http_get(ports_[2], "/record").body);
		json_t *value = json_array_get(json_object_get(record.get(), "leaves"), 0);
		size_t slash = name.find('/');

		if (slash != std::string::npos)
			value = json_object_get(value, name.substr(0, slash).c_str());
		value = json_object_get(value, name.substr(slash + 1).c_str());
		return json_is_integer(value) ? json_integer_value(value) : -1000;
	}

	/* How often the command has run. */
	json_int_t runs(const char *id)
	{
		json_ptr record = json_parse(http_get(ports_[2], "/record").body);

		return json_integer_value(
			json_object_get(json_object_get(record.get(), "commands"), id));
	}

	std::unique_ptr<process> fake_;
	std::vector<uint16_t> ports_; /* two leaves and the control port */
};

/*
 * Guards against responses that do not repeat the identity of the request in their headers, and
 * hits that do not name their shard and version.
 */
TEST_F(fake_leaf_test, search_confirms_request)
{
	start({});
	http_answer response = search("aa", 1);
	EXPECT_EQ(response.status, 200);
	EXPECT_EQ(response.headers["x-request-id"], "aa");
	EXPECT_EQ(response.headers["x-index-version"], "7");
	EXPECT_EQ(response.headers["x-map-version"], "1");
	EXPECT_EQ(response.headers["x-shard"], "1");
	EXPECT_EQ(response.headers["x-versions"], "6,7");
	EXPECT_FALSE(response.headers["x-incarnation"].empty());
	json_ptr hits = json_parse(response.body);
	ASSERT_EQ(json_array_size(hits.get()), 2u);
	json_t *hit = json_array_get(hits.get(), 0);
	EXPECT_STREQ(json_string_value(json_object_get(hit, "id")), "s1-v7-0");
	EXPECT_EQ(json_integer_value(json_object_get(hit, "shard")), 1);
	EXPECT_EQ(search("ab", 1).body, response.body);
	EXPECT_NE(search("ac", 1, 6).body, response.body);
}

/* Guards against refusals that do not tell their reason, and refusals of calls that ran. */
TEST_F(fake_leaf_test, refuses_before_running)
{
	start({});
	EXPECT_EQ(search("aa", 2).status, 404);
	EXPECT_EQ(search("ab", 1, 5).status, 410);
	for (const char *reason : {"shed", "draining", "cold"}) {
		control(reason, "100");
		http_answer response = search("ac", 1);
		EXPECT_EQ(response.status, 503);
		EXPECT_EQ(response.headers["x-refusal"], reason);
		EXPECT_EQ(response.headers.count("x-draining"), reason == std::string("draining"));
		EXPECT_EQ(count(std::string("refused/") + reason), 1);
		control(reason, "0");
	}
	EXPECT_EQ(count("ran"), 0);
	EXPECT_EQ(count("received"), 5);
	EXPECT_GE(count("draining_ms"), 0);
	control("versions", "5");
	EXPECT_EQ(search("ad", 1, 5).status, 200);
	EXPECT_EQ(count("ran"), 1);
}

/* Guards against more running calls than slots, and more queued calls than the limit. */
TEST_F(fake_leaf_test, slots_and_queue)
{
	start({"--slots", "1", "--queue", "1", "--service-us", "200000"});
	http_connection first(ports_[0]);
	http_connection second(ports_[0]);

	first.request_send("POST", "/search", search_headers("aa", 1), "1");
	ASSERT_TRUE(wait_until([this] { return count("running") == 1; }));
	second.request_send("POST", "/search", search_headers("ab", 1), "1");
	ASSERT_TRUE(wait_until([this] { return count("queued") == 1; }));
	EXPECT_EQ(search("ac", 1).headers["x-refusal"], "slots");
	EXPECT_EQ(first.answer_read().status, 200);
	EXPECT_EQ(second.answer_read().status, 200);
	EXPECT_EQ(count("running_max"), 1);
	EXPECT_EQ(count("completed"), 2);
}

/* Guards against cancelled or expired calls that keep their slot until the service time ends. */
TEST_F(fake_leaf_test, cancellation_and_deadline_free_slot)
{
	start({"--slots", "1", "--service-us", "60000000"});
	http_connection call(ports_[0]);

	EXPECT_EQ(search("aa", 1, 7, 20).status, 504);
	EXPECT_EQ(count("running"), 0);
	call.request_send("POST", "/search", search_headers("ab", 1, 7, 60000), "1");
	ASSERT_TRUE(wait_until([this] { return count("running") == 1; }));
	http_request(ports_[0], "POST", "/cancel", {{"X-Request-Id", "ab"}});
	EXPECT_EQ(call.answer_read().status, 504);
	EXPECT_EQ(count("running"), 0);
	EXPECT_EQ(count("cancelled"), 1);
	EXPECT_EQ(count("expired"), 1);
}

/* Guards against a stand-in that runs a command id only once and so hides a second dispatch. */
TEST_F(fake_leaf_test, command_runs_once_per_call)
{
	start({});
	for (int i = 0; i < 2; i++)
		EXPECT_EQ(http_request(ports_[0], "POST", "/command", command_headers("c1"), "{}")
				  .status,
			  200);
	EXPECT_EQ(runs("c1"), 2);
	control("cold", "1");
	EXPECT_EQ(http_request(ports_[0], "POST", "/command", command_headers("c2"), "{}").status,
		  503);
	EXPECT_EQ(runs("c2"), 0);
	control("cold", "0");
	control("drop_answer", "1");
	EXPECT_TRUE(
		http_request(ports_[0], "POST", "/command", command_headers("c3"), "{}").closed);
	EXPECT_EQ(runs("c3"), 1);
}

/* Guards against keys of /control that do not inject their fault. */
TEST_F(fake_leaf_test, control_injects_faults)
{
	start({});
	control("wrong_id", "1");
	EXPECT_EQ(search("aa", 1).headers["x-request-id"], "0a");
	EXPECT_EQ(search("ab", 1).headers["x-request-id"], "aa");
	control("wrong_id", "0");
	control("garbage", "1");
	EXPECT_EQ(json_parse(search("ac", 1).body), nullptr);
	control("garbage", "0");
	control("late_ms", "100");
	int64_t start_ms = clock_ms();
	EXPECT_EQ(search("ad", 1, 7, 50).status, 200);
	EXPECT_GE(clock_ms() - start_ms, 100);
	control("late_ms", "0");
	control("slow_factor", "100");
	start_ms = clock_ms();
	EXPECT_EQ(search("ae", 1).status, 200);
	EXPECT_GE(clock_ms() - start_ms, 100);
}

/* Guards against a wrong count of open connections, and connections above the limit. */
TEST_F(fake_leaf_test, connections_are_limited)
{
	start({"--connections", "2"});
	{
		http_connection idle(ports_[0]);
		http_connection used(ports_[0]);

		EXPECT_EQ(used.request("POST", "/search", search_headers("aa", 1), "1").status,
			  200);
		EXPECT_EQ(count("connections_open"), 2);
		http_connection refused(ports_[0]);
		EXPECT_TRUE(refused.close_wait());
		EXPECT_EQ(count("connections_refused"), 1);
		EXPECT_EQ(count("connections_open"), 2);
	}
	EXPECT_TRUE(wait_until([this] { return count("connections_open") == 0; }));
	EXPECT_EQ(search("ab", 1).status, 200);
	EXPECT_EQ(count("connections_max"), 2);
}

/*
 * Guards against the set-up time of a connection being added to each call or to none. A lower bound
 * on the time shows that the first response waits; that the second does not is read from the leaf's
 * record, since a busy machine can delay any response.
 */
TEST_F(fake_leaf_test, first_response_includes_connect_time)
{
	start({"--connect-us", "100000", "--service-us", "0"});
	http_connection connection(ports_[0]);
	int64_t start_ms = clock_ms();

	EXPECT_EQ(connection.request("POST", "/search", search_headers("aa", 1), "1").status, 200);
	EXPECT_GE(clock_ms() - start_ms, 100);
	EXPECT_EQ(count("connect_delays_us"), 100000);
	EXPECT_EQ(connection.request("POST", "/search", search_headers("ab", 1), "1").status, 200);
	EXPECT_EQ(count("connect_delays_us"), 100000);
	EXPECT_EQ(count("connections_accepted"), 1);
}

/* Guards against a crash when a caller disconnects while its call runs. */
TEST_F(fake_leaf_test, survives_disconnected_caller)
{
	start({"--service-us", "50000"});
	for (const char *drop : {"0", "1"}) {
		control("drop_answer", drop);
		http_connection(ports_[0]).request_send("POST", "/search", search_headers("aa", 1),
							"1");
		ASSERT_TRUE(wait_until([this] { return count("running") == 1; }));
		ASSERT_TRUE(wait_until([this] { return count("running") == 0; }));
	}
	control("drop_answer", "0");
	EXPECT_EQ(search("ab", 1).status, 200);
	fake_->signal_send(SIGTERM);
	EXPECT_EQ(fake_->exit_wait(), 0);
}

/* Guards against random decisions that differ between two runs with the same seed. */
TEST_F(fake_leaf_test, same_seed_sheds_same_calls)
{
	std::string outcomes[2]; /* "." for each successful call and "x" for each other one */

	for (std::string &run : outcomes) {
		start({"--service-us", "0"});
		control("shed", "50");
		for (int i = 0; i < 20; i++)
			run += search("aa", 1).status == 200 ? "." : "x";
	}
	EXPECT_EQ(outcomes[0], outcomes[1]);
	EXPECT_NE(outcomes[0].find('x'), std::string::npos);
	EXPECT_NE(outcomes[0].find('.'), std::string::npos);
}

/* Guards against a wrong load without lie_load, and against the true load with it. */
TEST_F(fake_leaf_test, load_is_false_only_with_lie_load)
{
	start({"--service-us", "10000000"});
	http_connection call(ports_[0]);

	call.request_send("POST", "/search", search_headers("aa", 1), "1");
	ASSERT_TRUE(wait_until([this] { return count("running") == 1; }));
	json_ptr load = json_parse(http_get(ports_[0], "/load").body);
	EXPECT_EQ(json_integer_value(json_object_get(load.get(), "running")), 1);
	control("lie_load", "1");
	load = json_parse(http_get(ports_[0], "/load").body);
	EXPECT_EQ(json_integer_value(json_object_get(load.get(), "running")), 0);
}

class fake_platform_test : public testing::Test
{
      protected:
	void SetUp() override
	{
		std::vector<uint16_t> ports = ports_parse(fake_.line_read());

		ASSERT_EQ(ports.size(), 1u);
		port_ = ports[0];
		ASSERT_EQ(http_put(port_, "/v1/manifest", manifest_1).status, 200);
	}

	http_answer get(const std::string &target)
	{
		return http_get(port_, "/v1/values/" + target);
	}

	void mode_set(const std::string &mode)
	{
		ASSERT_EQ(http_post(port_, "/control?key=mode&value=" + mode).status, 200);
	}

	json_int_t count(const char *name)
	{
		json_ptr record = json_parse(http_get(port_, "/record").body);

		return json_integer_value(json_object_get(record.get(), name));
	}

	process fake_{{"fake-platform", "--port", "0"}};
	uint16_t port_ = 0;
};

/* Guards against versions that do not increase, and sections that do not match their digest. */
TEST_F(fake_platform_test, serves_index_and_sections)
{
	http_answer first = get("manifest");
	EXPECT_EQ(first.headers["x-version"], "1");
	EXPECT_EQ(http_put(port_, "/v1/manifest", manifest_2).status, 200);
	http_answer second = get("manifest");
	EXPECT_EQ(second.headers["x-version"], "2");
	json_ptr index = json_parse(second.body);
	json_ptr old_index = json_parse(first.body);
	json_t *sections = json_object_get(index.get(), "sections");
	json_t *old_sections = json_object_get(old_index.get(), "sections");
	ASSERT_EQ(json_array_size(sections), 3u);
	for (size_t i = 0; i < 3; i++) {
		json_t *section = json_array_get(sections, i);
		const char *sha256 = json_string_value(json_object_get(section, "sha256"));
		http_answer response = get(std::string("section/") + sha256);
		char *digest = section_digest(response.body.data(), response.body.size());

		EXPECT_EQ(response.status, 200);
		EXPECT_STREQ(digest, sha256);
		EXPECT_EQ(json_equal(section, json_array_get(old_sections, i)), i != 1);
		g_free(digest);
	}
	EXPECT_EQ(get("section/00").status, 404);
	EXPECT_EQ(get("other").status, 404);
}

/* Guards against a malformed manifest that replaces the stored one, and malformed lists of VMs. */
TEST_F(fake_platform_test, rejects_malformed)
{
	EXPECT_EQ(http_put(port_, "/v1/manifest", "{\"services\":[]}").status, 400);
	EXPECT_EQ(http_put(port_, "/v1/manifest", "{").status, 400);
	EXPECT_EQ(http_put(port_, "/v1/vms", "[]").status, 400);
	EXPECT_EQ(get("manifest").headers["x-version"], "1");
	EXPECT_EQ(get("vms").status, 404);
}

/* Guards against watches that respond at once, never, or with the old version. */
TEST_F(fake_platform_test, watch_waits_for_newer_version)
{
	http_connection watch(port_);
	int64_t start_ms = clock_ms();

	EXPECT_EQ(get("manifest?after=1&wait_ms=100").status, 304);
	EXPECT_GE(clock_ms() - start_ms, 100);
	watch.request_send("GET", "/v1/values/manifest?after=1&wait_ms=20000");
	ASSERT_TRUE(wait_until([this] { return count("waiting") == 1; }));
	EXPECT_EQ(http_put(port_, "/v1/vms", "{\"vms\":[]}").status, 200);
	EXPECT_EQ(count("waiting"), 1);
	http_put(port_, "/v1/manifest", manifest_2);
	EXPECT_EQ(watch.answer_read().headers["x-version"], "2");
	EXPECT_EQ(count("reads_manifest"), 2);
	EXPECT_EQ(count("answers_304"), 1);
}

/* Guards against a crash when a reader disconnects while it waits. */
TEST_F(fake_platform_test, survives_disconnected_reader)
{
	http_connection(port_).request_send("GET", "/v1/values/manifest?after=1&wait_ms=100");
	ASSERT_TRUE(wait_until([this] { return count("reads") == 1; }));
	ASSERT_TRUE(wait_until([this] { return count("waiting") == 0; }));
	EXPECT_EQ(get("manifest").status, 200);
	fake_.signal_send(SIGTERM);
	EXPECT_EQ(fake_.exit_wait(), 0);
}

/* Guards against responses in the mode down, and against new values in the mode stale. */
TEST_F(fake_platform_test, modes_down_and_stale)
{
	http_connection watch(port_);

	watch.request_send("GET", "/v1/values/manifest?after=1&wait_ms=20000");
	ASSERT_TRUE(wait_until([this] { return count("waiting") == 1; }));
	mode_set("down");
	EXPECT_TRUE(watch.answer_read().closed);
	EXPECT_TRUE(get("manifest").closed);
	mode_set("stale");
	EXPECT_EQ(http_put(port_, "/v1/manifest", manifest_2).status, 200);
	EXPECT_EQ(get("manifest").headers["x-version"], "1");
	EXPECT_EQ(get("manifest?after=1&wait_ms=50").status, 304);
	mode_set("ok");
	EXPECT_EQ(get("manifest").headers["x-version"], "2");
}

/* Guards against a class process that cannot pause, continue or kill its program. */
TEST_F(fake_platform_test, process_can_be_paused_and_killed)
{
	ASSERT_TRUE(fake_.signal_send(SIGSTOP));
	EXPECT_EQ(http_get(port_, "/v1/values/manifest", 100).status, 0);
	ASSERT_TRUE(fake_.signal_send(SIGCONT));
	EXPECT_EQ(get("manifest").status, 200);
	ASSERT_TRUE(fake_.signal_send(SIGKILL));
	EXPECT_EQ(fake_.exit_wait(), 128 + SIGKILL);
	EXPECT_FALSE(http_connection(port_).is_open());
}
