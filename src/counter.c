#include "counter.h"

#include <inttypes.h>

void counter_render(const struct counters *c, GString *out)
{
	static const struct {
		const char *name;
		const char *help;
	} rows[] = {
#define X(symbol, name, help) {name, help},
		COUNTER_LIST(X)
#undef X
	};

	for (unsigned int i = 0; i < COUNTER_COUNT; i++)
		g_string_append_printf(
			out,
			"# HELP apricot_%s_total %s\n# TYPE apricot_%s_total counter\n"
			"apricot_%s_total %" PRIu64 "\n",
			rows[i].name, rows[i].help, rows[i].name, rows[i].name, c->value[i]);
}
