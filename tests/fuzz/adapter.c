/* Data from the platform's store: its responses, configurations and the entries of leaves. */
#include "adapter_platform.h"
#include "fuzz.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct adapter *adapter = adapter_platform();
	struct store_answer answer = {0};
	struct leaf_report report = {0};
	struct routemap *map;
	GError *error = NULL;

	if (adapter->ops->answer_parse(adapter, (const char *)data, size, &answer, &error))
		for (guint i = 0; i < answer.items->len; i++)
			FUZZ_CHECK(((struct store_item *)g_ptr_array_index(answer.items, i))->key);
	g_clear_error(&error);
	store_answer_clear(&answer);
	map = adapter->ops->routes_parse(adapter, (const char *)data, size, &error);
	if (map)
		routemap_find(map, "one.example", "/a/b");
	FUZZ_CHECK(!map == (error != NULL));
	routemap_put(map);
	g_clear_error(&error);
	if (adapter->ops->leaf_parse(adapter, (const char *)data, size, &report, &error))
		FUZZ_CHECK(report.slots > 0 && report.service && report.address && report.dc);
	leaf_report_clear(&report);
	g_clear_error(&error);
	return 0;
}
