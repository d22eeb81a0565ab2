#include "manifest.h"
#include "rendezvous.h"
#include "result.h"
#include "routing.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{
struct vm {
	std::string name, dc;
	bool available;
};

json_t *leaf_json(int i, const std::string &dc)
{
	return json_pack("{s:s%, s:s, s:s, s:s, s:i, s:i}", "name",
			 ("b/" + std::to_string(i)).c_str(), ("b/" + std::to_string(i)).size(),
			 "backend", "b", "dc", dc.c_str(), "addr", "10.0.0.1:9001", "slots", 2,
			 "connections", 25);
}

/*
 * A manifest with one shard for each group and at most 4096 groups in a service. Each group has one
 * leaf in each of the data centres.
 */
json_t *document_json(int n_groups, const std::vector<std::string> &dcs)
{
	json_t *groups = json_array();

	for (int i = 0; i < n_groups; i++) {
		json_t *leaves = json_array();

		for (size_t j = 0; j < dcs.size(); j++)
			json_array_append_new(leaves, leaf_json((int)j, dcs[j]));
		json_array_append_new(groups, json_pack("{s:s, s:s, s:[i], s:o}", "id",
							("g" + std::to_string(i)).c_str(),
							"service", i < 4096 ? "a" : "b", "shards",
							i % 4096, "leaves", leaves));
	}
	json_t *services = json_array();

	for (int first = 0; first < n_groups; first += 4096)
		json_array_append_new(
			services,
			json_pack("{s:s, s:s, s:s, s:i, s:i, s:i, s:i, s:i, s:[{s:s, s:i}]}",
				  "name", first == 0 ? "a" : "b", "kind", "search", "policy",
				  "coverage", "target_ms", 100, "deadline_ms", 500, "map_version",
				  1, "index_version", 1, "shards", MIN(4096, n_groups - first),
				  "classes", "name", "desk", "priority", 0));
	return json_pack("{s:o, s:o}", "services", services, "groups", groups);
}

struct manifest *manifest_of(int n_groups, const std::vector<std::string> &dcs, GError **error)
{
	json_t *document = document_json(n_groups, dcs);
	struct manifest *m = manifest_create(document, 1, error);

	json_decref(document);
	return m;
}

struct roster *roster_of(const std::vector<vm> &vms)
{
	struct roster *r = roster_create((unsigned int)vms.size(), 1);

	for (size_t i = 0; i < vms.size(); i++) {
		r->vms[i].name = g_strdup(vms[i].name.c_str());
		r->vms[i].dc = g_strdup(vms[i].dc.c_str());
		r->vms[i].rpc = g_strdup(vms[i].name.c_str());
		r->vms[i].name_hash = rendezvous_name_hash(vms[i].name.c_str());
		r->vms[i].is_available = vms[i].available;
	}
	return r;
}

/*
 * The expected choice: compares all VMs, of which those in the leaves' data centres are preferred.
 */
std::pair<std::string, std::string> expected_choice(const struct manifest_group *g,
						    const std::vector<vm> &vms)
{
	std::vector<struct rendezvous_node> nodes;
	std::vector<std::string> names;
	bool any = false;
	int first, second;

	for (auto &v : vms)
		any = any || v.available;
	for (auto &v : vms) {
		struct rendezvous_node node = {};

		if (any && !v.available)
			continue;
		node.name_hash = rendezvous_name_hash(v.name.c_str());
		for (unsigned int i = 0; i < g->n_leaves; i++)
			node.preferred = node.preferred || v.dc == g->leaves[i].dc;
		nodes.push_back(node);
		names.push_back(v.name);
	}
	rendezvous_pick(g->id, nodes.data(), (unsigned int)nodes.size(), &first, &second);
	return {first < 0 ? "" : names[first], second < 0 ? "" : names[second]};
}

void expect_choices(const std::vector<vm> &vms)
{
	struct manifest *m = manifest_of(50, {"a", "b", "a", "missing"}, nullptr);
	struct routing *routing = routing_create();
	struct roster *roster = roster_of(vms);

	ASSERT_NE(m, nullptr);
	routing_manifest_set(routing, m);
	routing_roster_set(routing, roster);
	for (guint i = 0; i < m->groups->len; i++) {
		auto *g = (const struct manifest_group *)g_ptr_array_index(m->groups, i);
		struct holder_route route = routing_find(routing, g);

		EXPECT_EQ(expected_choice(g, vms),
			  std::make_pair(std::string(route.first ? route.first : ""),
					 std::string(route.second ? route.second : "")))
			<< g->id;
	}
	roster_put(roster);
	routing_destroy(routing);
	manifest_put(m);
}

std::vector<vm> vms_in(const std::vector<std::string> &dcs, int n)
{
	std::vector<vm> vms;

	for (int i = 0; i < n; i++)
		vms.push_back({"vm-" + std::to_string(i), dcs[i % dcs.size()], true});
	return vms;
}

/* Guards against VMs that choose different holders for a group from the same members. */
TEST(routing, chooses_as_if_all_members_were_compared)
{
	expect_choices(vms_in({"a", "b", "c", "d"}, 40));
}

/* Guards against having no holder or standby when the leaves' data centres have too few VMs. */
TEST(routing, takes_other_data_centres_when_those_of_the_leaves_have_fewer_than_two)
{
	expect_choices({{"x", "a", true}, {"y", "c", true}, {"z", "d", true}});
	expect_choices({{"x", "c", true}, {"y", "c", true}, {"z", "d", true}});
	expect_choices({{"x", "c", true}});
	expect_choices({});
}

/* Guards against choosing a leaving VM while another is available, or no VM when all leave. */
TEST(routing, passes_over_leaving_members_unless_all_leave)
{
	auto vms = vms_in({"a", "b", "c"}, 12);

	for (size_t i = 0; i < vms.size(); i += 2)
		vms[i].available = false;
	expect_choices(vms);
	for (auto &v : vms)
		v.available = false;
	expect_choices(vms);
}

/* Guards against results cached from a roster that is no longer valid. */
TEST(routing, clears_its_cache_when_the_roster_changes)
{
	struct manifest *m = manifest_of(1, {"a"}, nullptr);
	struct routing *routing = routing_create();

	ASSERT_NE(m, nullptr);
	auto *g = (const struct manifest_group *)g_ptr_array_index(m->groups, 0);

	routing_manifest_set(routing, m);
	EXPECT_EQ(routing_find(routing, g).first, nullptr);
	for (const char *name : {"one", "two"}) {
		struct roster *roster = roster_of({{name, "a", true}});

		routing_roster_set(routing, roster);
		roster_put(roster);
		EXPECT_STREQ(routing_find(routing, g).first, name);
		EXPECT_EQ(routing_find(routing, g).second, nullptr);
	}
	routing_destroy(routing);
	manifest_put(m);
}

/* Guards against a manifest whose index would exceed the size limit of a platform value. */
TEST(manifest, has_at_most_8191_groups)
{
	GError *error = nullptr;
	struct manifest *m = manifest_of(8191, {"a"}, &error);

	EXPECT_NE(m, nullptr) << (error ? error->message : "");
	manifest_put(m);
	g_clear_error(&error);
	EXPECT_EQ(manifest_of(8192, {"a"}, &error), nullptr);
	ASSERT_NE(error, nullptr);
	EXPECT_EQ(error->code, RESULT_BAD_MANIFEST);
	g_error_free(error);
}
} // namespace
