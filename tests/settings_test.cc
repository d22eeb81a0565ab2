#include "settings.h"

#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

namespace
{
struct settings_deleter {
	void operator()(struct settings *s) const
	{
		settings_destroy(s);
	}
};

/* The settings of a VM with these further flags; NULL when they are refused. */
std::unique_ptr<struct settings, settings_deleter> create(std::vector<std::string> flags)
{
	std::vector<std::string> args = {
		"apricotd",	      "--name=vm",	   "--dc=a",
		"--http=127.0.0.1:1", "--rpc=127.0.0.1:2", "--platform=127.0.0.1:3"};
	std::vector<char *> argv;
	GError *error = nullptr;

	args.insert(args.end(), flags.begin(), flags.end());
	for (std::string &arg : args)
		argv.push_back(&arg[0]);
	argv.push_back(nullptr);

	struct settings *s = settings_create((int)args.size(), argv.data(), &error);

	EXPECT_EQ(s == nullptr, error != nullptr);
	g_clear_error(&error);
	return std::unique_ptr<struct settings, settings_deleter>(s);
}

/* Guards against a VM that does not start where the platform names no link speed and no memory. */
TEST(settings, empty_limits_are_unknown)
{
	auto empty = create({"--link-mbps=", "--memory-mb="});
	auto absent = create({});

	ASSERT_TRUE(empty && absent);
	EXPECT_EQ(settings_link_mbps(empty.get()), 0);
	EXPECT_EQ(empty->memory_mb, 0u);
	EXPECT_EQ(settings_link_mbps(absent.get()), 0);
	EXPECT_EQ(absent->memory_mb, 0u);
}

/* Guards against a fraction that is refused or cut, as templates write the link speed. */
TEST(settings, link_speed_may_be_a_fraction)
{
	auto s = create({"--link-mbps=20.5", "--memory-mb=256"});

	ASSERT_TRUE(s);
	EXPECT_EQ(settings_link_mbps(s.get()), 20.5);
	EXPECT_EQ(s->memory_mb, 256u);
}

/* Guards against a VM that does not start, or that stops at once, where bounds are fractions. */
TEST(settings, bounds_may_be_fractions)
{
	auto s = create({"--stop-s=6.5", "--repeat-window-s=2.25", "--repeat-ratio=0.29"});
	auto whole = create({"--stop-s=6", "--repeat-window-s=10", "--repeat-ratio=0.2"});
	auto empty = create({"--stop-s=", "--repeat-ratio="});

	ASSERT_TRUE(s && whole && empty);
	EXPECT_EQ(s->stop_ms, 6500u);
	EXPECT_EQ(s->repeat_window_ms, 2250u);
	EXPECT_EQ(s->repeat_pct, 29u);
	EXPECT_EQ(whole->stop_ms, 6000u);
	EXPECT_EQ(whole->repeat_window_ms, 10000u);
	EXPECT_EQ(whole->repeat_pct, 20u);
	EXPECT_EQ(empty->stop_ms, 60000u);
	EXPECT_EQ(empty->repeat_pct, 20u);
	for (const char *flag : {"--stop-s=6x", "--stop-s=-1", "--stop-s=0.05", "--stop-s=601",
				 "--stop-s=nan", "--repeat-ratio=1.5", "--repeat-ratio=inf"})
		EXPECT_FALSE(create({flag})) << flag;
}

/* Guards against a VM that starts with a part of the regions, or not at all where there are none.
 */
TEST(settings, malformed_regions_are_refused)
{
	EXPECT_TRUE(create({}));
	EXPECT_TRUE(create({"--dc-regions="}));
	EXPECT_TRUE(create({"--dc-regions=a=north,b=south"}));
	for (const char *flag : {"--dc-regions=a", "--dc-regions=a=north,", "--dc-regions=a=n,a=s"})
		EXPECT_FALSE(create({flag})) << flag;
}

/* Guards against limits that are taken as something else than what was written. */
TEST(settings, malformed_limits_are_refused)
{
	for (const char *flag : {"--link-mbps=20x", "--link-mbps=-1", "--link-mbps=nan",
				 "--memory-mb=1.5", "--memory-mb=-1", "--lease-ms="})
		EXPECT_FALSE(create({flag})) << flag;
}
} // namespace
