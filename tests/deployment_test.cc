/* Tests of scripts/gen-deployment and scripts/deployment. They start only the fakes, no daemon. */
#include <gtest/gtest.h>
#include <jansson.h>
#include <stdlib.h>

#include <filesystem>
#include <map>
#include <memory>
#include <set>

#include "process.h"

class deployment_test : public testing::TestWithParam<const char *>
{
      protected:
	void SetUp() override
	{
		char name[] = "/tmp/apricot-deployment-XXXXXX";

		ASSERT_NE(mkdtemp(name), nullptr);
		dir_ = name;
		ASSERT_EQ(script_run({"gen-deployment", GetParam(), dir_, "--base",
				      std::to_string(ports_reserve())}),
			  0);
		manifest_ = json_load_file((dir_ + "/manifest.json").c_str(), 0, nullptr);
		ASSERT_NE(manifest_, nullptr);
	}

	void TearDown() override
	{
		if (std::filesystem::exists(dir_ + "/pids"))
			script_run({"deployment", "stop", dir_});
		json_decref(manifest_);
		std::filesystem::remove_all(dir_);
	}

	static int script_run(std::vector<std::string> args)
	{
		args[0] = TEST_DIR "/../scripts/" + args[0];
		return process(args).exit_wait(30000);
	}

	static const char *json_text(const json_t *object, const char *key)
	{
		const char *value = json_string_value(json_object_get(object, key));

		return value ? value : "";
	}

	std::string dir_;
	json_t *manifest_ = nullptr;
};

/* Guards against a shard in no group or in two, and two replicas of a shard in one data centre. */
TEST_P(deployment_test, groups_cover_shards)
{
	std::map<std::string, std::set<json_int_t>> shards;
	std::set<std::string> addresses;
	size_t i;
	size_t j;
	json_t *group;
	json_t *item;

	json_array_foreach(json_object_get(manifest_, "groups"), i, group)
	{
		std::set<std::string> dcs;
		const json_t *leaves = json_object_get(group, "leaves");

		json_array_foreach(json_object_get(group, "shards"), j, item)
			EXPECT_TRUE(shards[json_text(group, "service")]
					    .insert(json_integer_value(item))
					    .second);
		json_array_foreach(leaves, j, item)
		{
			dcs.insert(json_text(item, "dc"));
			EXPECT_TRUE(addresses.insert(json_text(item, "addr")).second);
		}
		if (json_array_size(leaves) == 2) {
			EXPECT_EQ(dcs.size(), 2u) << json_text(group, "id");
		}
	}
	json_array_foreach(json_object_get(manifest_, "services"), i, item)
	{
		const std::set<json_int_t> &covered = shards[json_text(item, "name")];
		json_int_t n = json_integer_value(json_object_get(item, "shards"));

		EXPECT_EQ((json_int_t)covered.size(), n);
		EXPECT_EQ(*covered.rbegin(), n - 1);
	}
}

/* Guards against leaves that do not serve their shards, and processes that run on after a stop. */
TEST_P(deployment_test, fakes_start_and_stop)
{
	size_t i;
	size_t j;
	json_t *group;
	json_t *leaf;
	std::vector<uint16_t> ports;

	setenv("BIN", BUILD_DIR, 1);
	ASSERT_EQ(script_run({"deployment", "start", dir_, "fakes"}), 0);
	json_array_foreach(json_object_get(manifest_, "groups"), i, group)
	{
		json_t *shard = json_array_get(json_object_get(group, "shards"), 0);

		json_array_foreach(json_object_get(group, "leaves"), j, leaf)
		{
			std::string addr = json_text(leaf, "addr");

			ports.push_back((uint16_t)std::stoul(addr.substr(addr.find(':') + 1)));
			http_answer answer = http_request(
				ports.back(), "POST", "/search",
				{{"X-Request-Id", "aa"},
				 {"X-Index-Version", "1"},
				 {"X-Map-Version", "1"},
				 {"X-Shard", std::to_string(json_integer_value(shard))}},
				"1");
			EXPECT_EQ(answer.status, 200) << addr;
		}
	}
	EXPECT_EQ(script_run({"deployment", "stop", dir_}), 0);
	for (uint16_t port : ports)
		EXPECT_FALSE(http_connection(port).is_open()) << port;
	EXPECT_NE(script_run({"deployment", "stop", dir_}), 0);
}

/* Guards against a start that leaves the other processes running when one fails. */
TEST_P(deployment_test, failed_start_stops_all)
{
	std::string vms = dir_ + "/vms.json";

	setenv("BIN", BUILD_DIR, 1);
	setenv("START_WAIT_S", "1", 1);
	std::filesystem::remove(vms);
	EXPECT_NE(script_run({"deployment", "start", dir_, "fakes"}), 0);
	unsetenv("START_WAIT_S");
	EXPECT_FALSE(std::filesystem::exists(dir_ + "/pids"));
	json_t *group = json_array_get(json_object_get(manifest_, "groups"), 0);
	std::string addr = json_text(json_array_get(json_object_get(group, "leaves"), 0), "addr");
	uint16_t port = (uint16_t)std::stoul(addr.substr(addr.find(':') + 1));
	EXPECT_FALSE(http_connection(port).is_open());
}

/* Guards against a start that succeeds although another process listens on one of the ports. */
TEST_P(deployment_test, occupied_port_fails_start)
{
	process port_owner({"fake-platform", "--port", std::to_string(ports_reserve())});

	ASSERT_NE(port_owner.line_read(), "");
	setenv("BIN", BUILD_DIR, 1);
	EXPECT_NE(script_run({"deployment", "start", dir_, "fakes"}), 0);
	EXPECT_FALSE(std::filesystem::exists(dir_ + "/pids"));
}

INSTANTIATE_TEST_SUITE_P(all, deployment_test, testing::Values("porto-small", "porto", "tbilisi"));
