/*
 * Cost of reading a listing of the store with 400 leaves in pages of 50, and of keeping it for
 * other VMs. Usage: bench-listing. Deterministic. Times are processor time of this process.
 */
#include "adapter_platform.h"
#include "bench.h"
#include "mirror.h"

#include <string.h>

#define LEAVES 400
#define PAGE_ITEMS 50
#define PAGES (LEAVES / PAGE_ITEMS)
#define LISTINGS 100 /* in one run */

static char *entry_create(unsigned int i)
{
	return g_strdup_printf("{\"service\":\"catalogue-%u\",\"address\":\"10.1.%u.%u:9001\","
			       "\"zone\":\"norte-%c\",\"version\":\"v1\",\"capacity\":2,"
			       "\"state\":\"ready\",\"warmupRemainingMs\":0,\"sequence\":%u,"
			       "\"born\":1796443200000}",
			       i / 3, i / 256, i % 256, 'a' + (char)(i % BENCH_DCS), i);
}

static char *page_create(unsigned int page)
{
	GString *out = g_string_new("{\"items\":[");

	for (unsigned int i = page * PAGE_ITEMS; i < (page + 1) * PAGE_ITEMS; i++) {
		g_autofree char *entry = entry_create(i);
		g_autofree char *value = g_base64_encode((const guchar *)entry, strlen(entry));

		g_string_append_printf(out,
				       "%s{\"key\":\"servers/leaf-%04u\",\"value\":\"%s\","
				       "\"revision\":%u,\"createRevision\":%u,\"lease\":%u}",
				       i % PAGE_ITEMS ? "," : "", i, value, i + 1, i + 1, i);
	}
	g_string_append_printf(out, "],\"hasMore\":%s,\"storeRevision\":%u}",
			       page + 1 < PAGES ? "true" : "false", LEAVES);
	return g_string_free(out, FALSE);
}

static unsigned int page_read(const char *text, struct mirror *mirror)
{
	const struct adapter *adapter = adapter_platform();
	struct store_answer answer = {0};
	unsigned int n = 0;

	if (!adapter->ops->answer_parse(adapter, text, strlen(text), &answer, NULL))
		return 0;
	for (guint i = 0; i < answer.items->len; i++) {
		const struct store_item *item = g_ptr_array_index(answer.items, i);
		struct leaf_report report = {0};

		n += adapter->ops->leaf_parse(adapter, item->value, item->n_value, &report, NULL);
		leaf_report_clear(&report);
	}
	mirror_apply(mirror, &answer);
	store_answer_clear(&answer);
	return n;
}

int main(void)
{
	char *pages[PAGES];
	double cost[BENCH_RUNS] = {0};
	unsigned int n = 0;

	for (unsigned int i = 0; i < PAGES; i++)
		pages[i] = page_create(i);
	for (int run = 0; run < BENCH_RUNS; run++) {
		double start_us = bench_cpu_us();

		for (int listing = 0; listing < LISTINGS; listing++) {
			struct mirror *mirror = mirror_create();

			for (unsigned int i = 0; i < PAGES; i++)
				n += page_read(pages[i], mirror);
			mirror_destroy(mirror);
		}
		cost[run] = (bench_cpu_us() - start_us) / LISTINGS;
	}
	printf("%-28s %6s  %12s %12s %12s\n", "what", "size", "min", "median", "max");
	bench_print("listing read", LEAVES, "us", cost);
	for (unsigned int i = 0; i < PAGES; i++)
		g_free(pages[i]);
	return n == LEAVES * LISTINGS * BENCH_RUNS ? 0 : 1;
}
