#include "explain.h"
#include "logevent.h"

#include <fstream>
#include <gtest/gtest.h>
#include <set>
#include <sstream>
#include <string>

namespace
{
std::string explain(const char *id, const std::string &text, bool *found)
{
	struct explain_file file = {"a.log", text.c_str()};
	g_autofree char *out = explain_request(id, &file, 1, found);

	return out;
}

const char *const sample =
	"  3.1 n1 2026-12-04T12:00:01.000Z level=warning vm=n1 event=leaf_gone leaf=i-7 service=s3 "
	"revision=9\n"
	"2026-12-04T12:00:01.500Z level=info vm=n1 event=leaf_gone leaf=i-8 service=s4 revision=9\n"
	"2026-12-04T12:00:02.000Z level=warning vm=n1 event=request_done request=ab12 "
	"outcome=partial status=200 route=r version=4 in=18 of=20 calls=21 hedges=1 retries=0 "
	"denied=0 wait_ms=1500 took_us=172000 trace=\"+60 hedge s3 i-7;+172 missing s3 i-7 "
	"unanswered;+172 missing s5 - no leaf;\"\n";

std::string file_read(const std::string &path)
{
	std::ifstream in(path);
	std::stringstream text;

	text << in.rdbuf();
	return text.str();
}
} // namespace

/* Guards against an explanation without the cause, or with lines about leaves that took no part. */
TEST(explain, cause_comes_first)
{
	bool found;
	std::string out = explain("ab12", sample, &found);

	EXPECT_TRUE(found);
	EXPECT_EQ(out.find("cause: partial (status 200), 18 of 20 shards included; 1 shards had no "
			   "known leaf; 1 leaves had not answered; 172 of 1500 ms passed\n"),
		  0u)
		<< out;
	EXPECT_NE(out.find("    +60 hedge s3 i-7\n"), std::string::npos);
	EXPECT_NE(out.find("event=leaf_gone leaf=i-7"), std::string::npos);
	EXPECT_EQ(out.find("leaf=i-8"), std::string::npos);
}

/*
 * Guards against an explanation that leaves open which version decided and which limit of a leaf
 * was in force, also when the limit was logged long before.
 */
TEST(explain, version_and_limits_are_named)
{
	bool found;
	std::string text =
		"2026-12-04T11:58:00.000Z level=info vm=n1 event=leaf_limited leaf=i-7 service=s3 "
		"limit_per_s=12.5 own_per_s=3.1\n"
		"2026-12-04T11:58:01.000Z level=info vm=n1 event=leaf_limited leaf=i-9 service=s3 "
		"limit_per_s=9 own_per_s=3\n"
		"2026-12-04T11:58:02.000Z level=info vm=n2 event=leaf_unlimited leaf=i-7\n"
		"2026-12-04T11:58:03.000Z level=info vm=n1 event=leaf_unlimited leaf=i-9\n"
		"2026-12-04T12:00:02.000Z level=warning vm=n1 event=request_done request=ab12 "
		"outcome=refused status=503 route=r version=4 version_age_ms=5300 in=0 of=1 "
		"wait_ms=1500 took_us=100 trace=\"+0 missing s3 i-7 lost;+0 missing s3 i-9 "
		"lost;\"\n";
	std::string out = explain("ab12", text, &found);

	EXPECT_NE(out.find("decided by version 4, in force on n1 for 5300 ms\n"), std::string::npos)
		<< out;
	EXPECT_NE(out.find("leaf i-7 had a limit of 12.5 calls a second, 3.1 of them for n1\n"),
		  std::string::npos)
		<< out;
	EXPECT_EQ(out.find("leaf i-9 had a limit"), std::string::npos) << out;
	out = explain(
		"cd",
		"2026-12-04T12:00:02.000Z level=warning vm=n1 event=request_refused request=cd "
		"status=503 why=stopping\n",
		&found);
	EXPECT_NE(out.find("this VM was about to end its planned stop"), std::string::npos) << out;
	out = explain(
		"ef",
		"2026-12-04T12:00:02.000Z level=warning vm=n1 event=request_refused request=ef "
		"status=503 why=memory\n",
		&found);
	EXPECT_NE(out.find("held as many bytes for slow callers"), std::string::npos) << out;
}

/* Guards against a refusal for lack of memory that does not say why no leaf was called. */
TEST(explain, refusal_by_expected_answers_is_named)
{
	bool found;
	std::string out = explain(
		"ab12",
		"2026-12-04T12:00:02.000Z level=warning vm=n1 event=request_done request=ab12 "
		"outcome=refused status=503 route=r version=4 version_age_ms=5300 in=0 of=90 "
		"wait_ms=1500 took_us=100 trace=\"+0 refused s0 - memory;\"\n",
		&found);

	EXPECT_NE(out.find("this VM held and expected as many bytes as it may"), std::string::npos)
		<< out;
}

/* Guards against a refusal by rank that does not say which capacity was short and who held it. */
TEST(explain, refusal_by_rank_names_the_holder)
{
	bool found;
	std::string out = explain(
		"ab12",
		"2026-12-04T12:00:02.000Z level=warning vm=n1 event=request_done request=ab12 "
		"outcome=refused status=503 route=r version=4 in=0 of=20 calls=0 hedges=0 "
		"retries=0 "
		"denied=0 wait_ms=1500 took_us=90 trace=\"+0 refused s3 i-7 reserved "
		"held=rank0;\"\n",
		&found);

	EXPECT_TRUE(found);
	EXPECT_NE(out.find("no leaf ran it; its calls would have made late those of rank0 (shard "
			   "s3, leaf i-7)"),
		  std::string::npos)
		<< out;
}

/* Guards against a refusal because of region restrictions that looks like a lack of leaves. */
TEST(explain, barred_regions_are_named)
{
	bool found;
	std::string out = explain(
		"ab12",
		"2026-12-04T12:00:02.000Z level=warning vm=n1 event=request_done request=ab12 "
		"outcome=refused status=503 route=r version=4 in=0 of=4 wait_ms=1500 took_us=90 "
		"trace=\"+0 barred s3 i-7 region far south, 2 of the shards;+0 missing s3 - no "
		"leaf;\"\n",
		&found);

	EXPECT_NE(out.find("the route may not be served in the regions of the usable leaves of 2 "
			   "shards (leaf i-7, region far south)"),
		  std::string::npos)
		<< out;
}

/* Guards against a leaf that spreading chose and that looks chosen for its expected time. */
TEST(explain, leaf_chosen_by_spreading_is_named)
{
	bool found;
	std::string head =
		"2026-12-04T12:00:02.000Z level=info vm=n1 event=request_done request=ab12 "
		"outcome=passed status=200 route=r version=4 in=1 of=1 calls=1 hedges=0 "
		"retries=0 denied=0 ";
	std::string out =
		explain("ab12",
			head + "spread=1 wait_ms=1500 took_us=9000 trace=\"+0 call s3 i-7 "
			       "spread uneven=1.73;\"\n",
			&found);

	EXPECT_NE(out.find("; 1 first leaves were chosen by load spreading (greatest over mean "
			   "load 1.73); 9 of 1500 ms passed"),
		  std::string::npos)
		<< out;
	EXPECT_NE(out.find("    +0 call s3 i-7 spread uneven=1.73\n"), std::string::npos) << out;
	/* A sharded request names the leaves of those shards only that were called again. */
	out = explain("ab12", head + "spread=20 wait_ms=1500 took_us=9000 trace=\"\"\n", &found);
	EXPECT_NE(out.find("; 20 first leaves were chosen by load spreading; 9 of"),
		  std::string::npos)
		<< out;
	out = explain("ab12",
		      head + "spread=0 wait_ms=1500 took_us=9000 trace=\"+0 call s3 i-7;\"\n",
		      &found);
	EXPECT_EQ(out.find("spreading"), std::string::npos) << out;
}

/* Guards against an evacuation that is not named, or that is named after its end. */
TEST(explain, evacuations_are_named)
{
	bool found;
	std::string text =
		"2026-12-04T11:58:00.000Z level=info vm=n1 event=evacuation_begun dc=a revision=7 "
		"leaves=90\n"
		"2026-12-04T11:58:01.000Z level=info vm=n1 event=evacuation_begun dc=b revision=8 "
		"leaves=90\n"
		"2026-12-04T11:58:02.000Z level=info vm=n1 event=evacuation_ended dc=a revision=9 "
		"after_ms=2000\n"
		"2026-12-04T12:00:02.000Z level=warning vm=n1 event=request_done request=ab12 "
		"outcome=refused status=503 route=r version=4 version_age_ms=5300 in=0 of=1 "
		"wait_ms=1500 took_us=100 trace=\"+0 missing s3 - no leaf;\"\n";
	std::string out = explain("ab12", text, &found);

	EXPECT_NE(out.find("data centre b was evacuated by revision 8, known to n1 for 121000 "
			   "ms\n"),
		  std::string::npos)
		<< out;
	EXPECT_EQ(out.find("data centre a was evacuated"), std::string::npos) << out;
}

/* Guards against a request without an explanation because its VM lost power. */
TEST(explain, vm_was_lost)
{
	bool found;
	std::string text =
		"2026-12-04T12:00:01.000Z level=info vm=n1 event=request_begun request=ab route=r "
		"version=3 leaf=i-1\n"
		"2026-12-04T12:00:03.500Z level=info vm=n1 event=started dc=a\n";
	std::string out = explain("ab", text, &found);

	EXPECT_TRUE(found);
	EXPECT_EQ(out.find("cause: n1 was lost while it worked on the request, and started again "
			   "2500 ms after the request began; the request may have run\n"),
		  0u)
		<< out;
}

/*
 * Guards against a search without an explanation because its VM lost power, or because the limit on
 * log lines left its line out.
 */
TEST(explain, lists_name_requests_without_a_line)
{
	bool found;
	std::string text =
		"2026-12-04T12:00:01.000Z level=info vm=n1 event=requests_begun items=aa,ab,ac\n"
		"2026-12-04T12:00:01.090Z level=info vm=n1 event=requests_brief "
		"items=aa:partial:200:18/20,ac:refused:503:0/1\n"
		"2026-12-04T12:00:03.500Z level=info vm=n1 event=started dc=a\n";

	EXPECT_EQ(
		explain("ab", text, &found)
			.find("cause: n1 was lost while it worked on the request, and started "
			      "again 2500 ms after the request began; the request may have run\n"),
		0u);
	EXPECT_TRUE(found);
	EXPECT_EQ(explain("aa", text, &found)
			  .find("cause: partial (status 200), 18/20 shards included; "),
		  0u);
	explain("a", text, &found);
	EXPECT_FALSE(found);
}

/*
 * Guards against a request that counts as unfinished because the line that lists begun requests is
 * written after its end.
 */
TEST(explain, list_after_the_end)
{
	bool found;
	std::string text = std::string(sample) + "2026-12-04T12:00:02.090Z level=info vm=n1 "
						 "event=requests_begun items=ab12\n";

	EXPECT_EQ(explain("ab12", text, &found).find("cause: partial (status 200)"), 0u);
}

/* Guards against an explanation that omits unknown ids, cut files, clock steps or lost lines. */
TEST(explain, says_what_is_missing)
{
	bool found;
	std::string text =
		std::string(sample) +
		"2026-12-04T11:59:00.000Z level=warning vm=n1 event=log_dropped lines=12\n"
		"2026-12-04T12:00:09.000Z level=info vm=n1 event=requ";
	std::string out = explain("none", text, &found);

	EXPECT_FALSE(found);
	EXPECT_NE(out.find("no line names request none"), std::string::npos);
	EXPECT_NE(out.find("12 lines were left out"), std::string::npos);
	EXPECT_NE(out.find("a.log ends within a line"), std::string::npos);
	EXPECT_NE(out.find("stepped back 62000 ms"), std::string::npos);
}

/* Guards against log events that docs/OPERATIONS.md does not list, or that no source writes. */
TEST(logevent, page_and_code_agree)
{
	std::set<std::string> listed;
	std::string page = file_read(std::string(DOCS_DIR) + "/OPERATIONS.md");
	std::string sources;

#define X(name, text)                                                                      \
	listed.insert(name);                                                               \
	EXPECT_NE(page.find(std::string("| `") + name + "` | " + text), std::string::npos) \
		<< "docs/OPERATIONS.md lacks " << name;
	LOG_EVENT_LIST(X)
#undef X
	for (const char *file :
	     {"configurer", "directory", "feed", "gateway", "holder", "job", "jobanswer", "jobcall",
	      "log", "main", "marks", "membership", "relay", "reload", "stopper", "upstream",
	      "leaving", "leafpool", "loadmeter"})
		sources += file_read(std::string(TEST_DIR) + "/../src/" + file + ".c");
	/* The names of the lines that list requests are defined in log.h. */
	sources += file_read(std::string(TEST_DIR) + "/../src/log.h");
	for (const std::string &name : listed)
		EXPECT_NE(sources.find("\"" + name + "\""), std::string::npos)
			<< "no source writes " << name;
	for (size_t at = 0; (at = sources.find("log_event(LOG_LEVEL", at)) != std::string::npos;
	     at++) {
		size_t quote = sources.find('"', at);
		std::string name =
			sources.substr(quote + 1, sources.find('"', quote + 1) - quote - 1);

		EXPECT_TRUE(listed.count(name)) << name << " is not in logevent.h";
	}
}
