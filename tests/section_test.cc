#include <gtest/gtest.h>

#include <cstring>

#include "result.h"

extern "C" {
#include "section.h"
}

static const char *set_lookup(const char *sha256, size_t *body_bytes, void *arg)
{
	auto *set = static_cast<struct section_set *>(arg);

	for (size_t i = 0; i < set->n; i++) {
		if (strcmp(set->sections[i].sha256, sha256) == 0) {
			*body_bytes = set->sections[i].body_bytes;
			return set->sections[i].body;
		}
	}
	return nullptr;
}

/* document_ is the document of a manifest, set_ its sections. */
class section_test : public testing::Test
{
      protected:
	void SetUp() override
	{
		document_ = json_loads(R"({"services": [{"name": "a", "ratio": 0.1}], "groups":
			[{"shards": [1], "id": "g"}, {"id": "ü", "shards": []}]})",
				       0, nullptr);
		set_ = section_split(document_, nullptr);
		ASSERT_NE(set_, nullptr);
	}

	void TearDown() override
	{
		section_set_destroy(set_);
		json_decref(document_);
	}

	void expect_bad_index(const char *text)
	{
		json_t *index = json_loads(text, 0, nullptr);
		GError *error = nullptr;

		ASSERT_NE(index, nullptr);
		EXPECT_EQ(section_join(index, set_lookup, set_, &error), nullptr) << text;
		EXPECT_TRUE(g_error_matches(error, RESULT_ERROR, RESULT_BAD_MANIFEST)) << text;
		g_clear_error(&error);
		json_decref(index);
	}

	/* An index that lists the sections at these positions of set_, in this order. */
	std::string index_text(std::initializer_list<size_t> order)
	{
		std::string text;

		for (size_t i : order) {
			text += text.empty() ? "" : ",";
			text += std::string("{\"name\":\"") + set_->sections[i].name +
				"\",\"sha256\":\"" + set_->sections[i].sha256 + "\"}";
		}
		return "{\"sections\":[" + text + "]}";
	}

	json_t *document_ = nullptr;
	struct section_set *set_ = nullptr;
};

/* Guards against VMs that compute different digests of the same section. */
TEST_F(section_test, bodies_are_canonical)
{
	ASSERT_EQ(set_->n, 3u);
	EXPECT_STREQ(set_->sections[0].name, "services");
	EXPECT_STREQ(set_->sections[1].name, "group/g");
	EXPECT_STREQ(set_->sections[1].body, R"({"id":"g","shards":[1]})");
	/* sha256sum of the body above */
	EXPECT_STREQ(set_->sections[1].sha256,
		     "36d6a170759c31ca8e3459981736b8daad65c424cdd9fbfe13854c8980bb9b50");
	EXPECT_EQ(strlen(set_->sections[1].sha256), (size_t)SECTION_DIGEST_LEN);
}

/* Guards against losing or reordering content by split and join. */
TEST_F(section_test, join_restores_document)
{
	json_t *joined = section_join(set_->index, set_lookup, set_, nullptr);

	EXPECT_TRUE(json_equal(joined, document_));
	json_decref(joined);
}

/*
 * Guards against splitting a malformed document: the sections would lack a part of it, or two would
 * have the same name.
 */
TEST_F(section_test, split_rejects_malformed)
{
	for (const char *text :
	     {"[]", "{}", R"({"services":[]})", R"({"services":[],"groups":{}})",
	      R"({"services":[],"groups":[],"other":1})", R"({"services":[],"groups":[{}]})",
	      R"({"services":[],"groups":[{"id":""}]})", R"({"services":[],"groups":[1]})",
	      R"({"services":[],"groups":[{"id":"g"},{"id":"g"}]})"}) {
		json_t *document = json_loads(text, 0, nullptr);
		GError *error = nullptr;

		ASSERT_NE(document, nullptr) << text;
		EXPECT_EQ(section_split(document, &error), nullptr) << text;
		EXPECT_TRUE(g_error_matches(error, RESULT_ERROR, RESULT_BAD_MANIFEST)) << text;
		g_clear_error(&error);
		json_decref(document);
	}
	EXPECT_EQ(section_split(nullptr, nullptr), nullptr);
}

/* Guards against a VM that applies an incomplete or inconsistent configuration. */
TEST_F(section_test, join_rejects_malformed)
{
	expect_bad_index("{}");
	expect_bad_index(R"({"sections":[]})");
	expect_bad_index(R"({"sections":[1]})");
	expect_bad_index(R"({"sections":[{"name":"services"}]})");
	expect_bad_index(R"({"sections":[{"name":"services","sha256":"00"}]})");
	expect_bad_index(index_text({1, 2}).c_str()); /* no services */
	expect_bad_index(index_text({0, 0}).c_str()); /* services twice */
	expect_bad_index(index_text({0, 1, 1}).c_str()); /* a group twice */
	/* The names of two groups are swapped, then also those of services and a group. */
	std::swap(set_->sections[1].name, set_->sections[2].name);
	expect_bad_index(index_text({0, 1, 2}).c_str());
	std::swap(set_->sections[1].name, set_->sections[0].name);
	expect_bad_index(index_text({0, 1, 2}).c_str());
}

/* Guards against applying a section that was altered in transit. */
TEST_F(section_test, join_checks_digest)
{
	*strchr(set_->sections[1].body, '1') = '2';
	EXPECT_EQ(section_join(set_->index, set_lookup, set_, nullptr), nullptr);
}
