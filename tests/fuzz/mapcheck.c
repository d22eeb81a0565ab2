/* One or two configurations, separated by a zero byte, for the check before they are sent. */
#include "mapcheck.h"

#include "adapter_platform.h"
#include "fuzz.h"

#include <jansson.h>
#include <string.h>

/* Each line of the output must be one finding, of characters that can be printed. */
static void output_check(const struct mapcheck *c)
{
	char *text = mapcheck_render_text(c);
	char *json = mapcheck_render_json(c);
	json_t *object = json_loads(json, JSON_REJECT_DUPLICATES, NULL);
	size_t n_findings = json_array_size(json_object_get(object, "errors")) +
			    json_array_size(json_object_get(object, "warnings"));
	size_t n_lines = json_array_size(json_object_get(object, "differences")) +
			 (n_findings > 0 ? n_findings : 1);

	FUZZ_CHECK(object && g_utf8_validate(text, -1, NULL));
	FUZZ_CHECK((n_findings > 0) == (mapcheck_exit_code(c) == MAPCHECK_EXIT_FINDINGS));
	for (const char *at = text; *at; at++) {
		FUZZ_CHECK(*at == '\n' || (unsigned char)*at >= ' ');
		n_lines -= *at == '\n';
	}
	FUZZ_CHECK(n_lines == 0);
	json_decref(object);
	g_free(json);
	g_free(text);
}

static bool is_error_listed(const struct mapcheck *c)
{
	char *text = mapcheck_render_text(c);
	bool is_listed = g_str_has_prefix(text, "error ");

	g_free(text);
	return is_listed;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct adapter *adapter = adapter_platform();
	const char *text = (const char *)data;
	const char *zero = size > 0 ? memchr(text, '\0', size) : NULL;
	size_t n = zero ? (size_t)(zero - text) : size;
	struct mapcheck_file file = {"new", text, n};
	struct mapcheck_file current = {"current", zero ? zero + 1 : NULL, zero ? size - n - 1 : 0};
	struct mapcheck_context with_current = {.current = &current};
	struct mapcheck_context with_leaves = {.leaves = &current, .stop_ms = 500};
	struct routemap *map = adapter->ops->routes_parse(adapter, text, n, NULL);
	GError *error = NULL;
	struct mapcheck *c = mapcheck_create(adapter, &file, NULL, &error);

	FUZZ_CHECK(!c == !!error);
	FUZZ_CHECK(!map || (c && !mapcheck_has_error(c)));
	FUZZ_CHECK(!c || mapcheck_has_error(c) == is_error_listed(c));
	if (c)
		output_check(c);
	mapcheck_destroy(c);
	g_clear_error(&error);
	c = zero ? mapcheck_create(adapter, &file, &with_current, &error) : NULL;
	FUZZ_CHECK(!zero || !c == !!error);
	if (c)
		output_check(c);
	mapcheck_destroy(c);
	g_clear_error(&error);
	c = zero ? mapcheck_create(adapter, &file, &with_leaves, &error) : NULL;
	FUZZ_CHECK(!zero || !c == !!error);
	if (c)
		output_check(c);
	mapcheck_destroy(c);
	g_clear_error(&error);
	routemap_put(map);
	return 0;
}
