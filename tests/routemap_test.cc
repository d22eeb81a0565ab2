#include "routemap.h"
#include "split.h"
#include "topk.h"

#include <algorithm>
#include <cstring>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

namespace
{
struct route *route_create(struct routemap *m, const char *host, const char *prefix)
{
	struct route *r = routemap_route_add(m);

	r->name = g_strdup(prefix);
	r->host = g_strdup(host);
	r->prefix = g_strdup(prefix);
	r->timeout_ms = 1000;
	return r;
}

std::string found(const struct routemap *m, const char *host, const char *path)
{
	const struct route *r = routemap_find(m, host, path);

	return r ? r->name : "none";
}
} // namespace

/*
 * Guards against choosing a shorter prefix, a route of another host, or a prefix that ends within a
 * path segment.
 */
TEST(routemap, longest_prefix_of_the_host)
{
	struct routemap *m = routemap_create(1);

	route_target_add(route_create(m, "One.example", "/a/"), "s", 1);
	route_target_add(route_create(m, "one.example", "/a/b/"), "s", 1);
	route_target_add(route_create(m, "two.example", "/"), "s", 1);
	ASSERT_TRUE(routemap_publish(m, nullptr));
	EXPECT_EQ(found(m, "one.example", "/a/b/c"), "/a/b/");
	EXPECT_EQ(found(m, "ONE.example:80", "/a/c"), "/a/");
	EXPECT_EQ(found(m, "one.example", "/ab/"), "none");
	EXPECT_EQ(found(m, "one.example", "/x?/a/"), "none");
	EXPECT_EQ(found(m, "two.example", "/x"), "/");
	EXPECT_EQ(found(m, "three.example", "/a/"), "none");
	routemap_put(m);
}

/* Guards against publishing a map with a route that cannot be served. */
TEST(routemap, refuses_incomplete_or_contradictory_routes)
{
	GError *error = nullptr;
	struct routemap *m = routemap_create(1);
	struct route *r = route_create(m, "one.example", "/a/");

	EXPECT_FALSE(routemap_publish(m, &error));
	EXPECT_STREQ(error->message, "route /a/ names no service");
	g_clear_error(&error);
	route_shard_add(r, "s");
	EXPECT_FALSE(routemap_publish(m, &error));
	EXPECT_STREQ(error->message, "route /a/ goes to shards but is not idempotent");
	g_clear_error(&error);
	routemap_put(m);
}

/* Guards against shares that differ from the weights over a few hundred requests. */
TEST(split, shares_are_exact)
{
	struct routemap *m = routemap_create(1);
	struct route *r = route_create(m, "one.example", "/a/");
	struct splits *s = splits_create();
	std::map<std::string, int> counts;

	route_target_add(r, "x", 70);
	route_target_add(r, "y", 25);
	route_target_add(r, "z", 5);
	for (int i = 1; i <= 200; i++) {
		counts[splits_next(s, r)]++;
		EXPECT_NEAR(counts["x"], 0.70 * i, 1.01);
		EXPECT_NEAR(counts["y"], 0.25 * i, 1.01);
	}
	EXPECT_EQ(counts["z"], 10);
	splits_destroy(s);
	routemap_put(m);
}

/* Guards against losing, repeating or misordering records. */
TEST(topk, matches_a_full_sort)
{
	GRand *rand = g_rand_new_with_seed(5);

	for (unsigned int k : {1u, 5u, 10u, 100u}) {
		struct topk *t = topk_create(k);
		std::vector<std::string> all;
		std::string expected;
		size_t n;

		for (int part = 0; part < 20; part++) {
			std::string body;

			for (int i = g_rand_int_range(rand, 0, 13); i > 0; i--) {
				std::string record(16, '\0');

				for (char &c : record)
					c = (char)g_rand_int_range(rand, 0, 3);
				all.push_back(record);
				body += record;
			}
			body += "rest"; /* an incomplete record, to be ignored */
			topk_add(t, body.data(), body.size());
		}
		std::sort(all.begin(), all.end(), [](const std::string &a, const std::string &b) {
			return memcmp(a.data(), b.data(), 16) > 0;
		});
		for (size_t i = 0; i < all.size() && i < k; i++)
			expected += all[i];
		const char *records = topk_records(t, &n);
		EXPECT_EQ(std::string(records, n), expected) << "k " << k;
		topk_destroy(t);
	}
	g_rand_free(rand);
}
