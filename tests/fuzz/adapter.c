/* Data from the platform's store: its responses, configurations and the entries of leaves. */
#include "adapter_platform.h"
#include "fuzz.h"

#include <string.h>

#define ITEMS_MAX 5
#define DEPTH_MAX 3000

/* Appends a JSON value made of the data, one that is complete though perhaps not valid. */
static void value_append(GString *out, uint8_t kind, const uint8_t *data, size_t size)
{
	static const char digits[] = "0123456789+-.eE";
	size_t depth = MIN(size * 16, DEPTH_MAX);
	bool is_escaped = false;

	switch (kind % 5) {
	case 0: /* a string of any bytes; only the quotes that would end it are left out */
		g_string_append_c(out, '"');
		for (size_t i = 0; i < size; i++) {
			if (data[i] == '"' && !is_escaped)
				continue;
			is_escaped = data[i] == '\\' && !is_escaped;
			g_string_append_c(out, (char)data[i]);
		}
		g_string_append(out, is_escaped ? "x\"" : "\"");
		break;
	case 1:
		g_string_append_c(out, '1');
		for (size_t i = 0; i < size; i++)
			g_string_append_c(out, digits[data[i] % (sizeof(digits) - 1)]);
		break;
	case 2:
		for (size_t i = 0; i < depth; i++)
			g_string_append(out, data[i % size] % 2 ? "[" : "{\"a\":");
		g_string_append_c(out, '0');
		for (size_t i = depth; i > 0; i--)
			g_string_append_c(out, data[(i - 1) % size] % 2 ? ']' : '}');
		break;
	case 3:
		g_string_append(out, size % 2 ? "null" : "nul");
		break;
	default:
		g_string_append(out, size % 2 ? "{\"a\":1,\"a\":2}" : "-1");
	}
}

static void item_append(GString *out, unsigned int number, int field, uint8_t kind,
			const uint8_t *data, size_t size)
{
	static const char *const names[] = {"key", "value", "revision", "lease", "key"};

	g_string_append_c(out, '{');
	for (int i = 0; i < 4 + (field == 4); i++) {
		g_string_append_printf(out, "%s\"%s\":", i ? "," : "", names[i]);
		if (i == field)
			value_append(out, kind, data, size);
		else if (i == 0)
			g_string_append_printf(out, "\"servers/%u\"", number);
		else if (i == 1)
			g_string_append(out, "\"e30=\"");
		else
			g_string_append_printf(out, "%u", number + 1);
	}
	g_string_append_c(out, '}');
}

/*
 * A valid answer with one item mutated gives exactly the other items, in their order, and the
 * mutated one is read in its place or named once. The first four bytes choose the answer and the
 * member that is replaced; the others make up its value.
 */
static void answer_check(const uint8_t *data, size_t size)
{
	const struct adapter *adapter = adapter_platform();
	unsigned int n = 1 + data[0] % ITEMS_MAX;
	unsigned int place = data[1] % n;
	GString *text = g_string_new(data[0] & 0x80 ? "{\"items\":[" : "{\"events\":[");
	struct store_answer answer = {0};

	for (unsigned int i = 0; i < n; i++) {
		if (i > 0)
			g_string_append_c(text, ',');
		item_append(text, i, i == place ? data[2] % 6 : -1, data[3], data + 4, size - 4);
	}
	g_string_append(text, "],\"hasMore\":true,\"storeRevision\":99}");
	FUZZ_CHECK(adapter->ops->answer_parse(adapter, text->str, text->len, &answer, NULL));
	FUZZ_CHECK(answer.position.revision == 99 && answer.has_more);
	FUZZ_CHECK(answer.n_unreadable <= 1 && answer.items->len + answer.n_unreadable == n);
	for (unsigned int i = 0; i < answer.items->len; i++) {
		const struct store_item *item = g_ptr_array_index(answer.items, i);
		unsigned int number = i + (answer.n_unreadable && i >= place);
		char key[32];

		FUZZ_CHECK(g_utf8_validate(item->key, -1, NULL) && item->position.revision > 0);
		if (number == place)
			continue;
		g_snprintf(key, sizeof(key), "servers/%u", number);
		FUZZ_CHECK(strcmp(item->key, key) == 0 && item->position.revision == number + 1);
		FUZZ_CHECK(item->n_value == 2 && memcmp(item->value, "{}", 2) == 0);
	}
	if (answer.n_unreadable) {
		const struct store_unreadable *u = g_ptr_array_index(answer.unreadable, 0);

		FUZZ_CHECK(answer.unreadable->len == 1 && u->position == place);
		FUZZ_CHECK(!u->key || g_utf8_validate(u->key, -1, NULL));
		FUZZ_CHECK(!u->shown || !strpbrk(u->shown, " \t\r\n\""));
	}
	FUZZ_CHECK(n == 1 || answer.next);
	store_answer_clear(&answer);
	g_string_free(text, TRUE);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct adapter *adapter = adapter_platform();
	struct store_answer answer = {0};
	struct leaf_report report = {0};
	struct routemap *map;
	GError *error = NULL;

	if (size >= 4)
		answer_check(data, size);
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
