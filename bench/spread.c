/*
 * Compares rules for the choice of a leaf from old knowledge, in virtual time.
 * Usage: bench-spread [LOAD_PERCENT] (default 60). Prints a table; deterministic.
 */
#include "common/spreadmodel.h"

#include <stdio.h>
#include <stdlib.h>

#define SECONDS 20
#define LOAD_PCT 60

static void row_print(const struct spreadmodel_settings *s)
{
	struct spreadmodel_result r = spreadmodel_run(s);

	printf("%-10s %4u %6.1f  %-8s %8.2f %6.2f %6.0f %6.0f %7.2f %9.2f %7u\n",
	       spreadmodel_case_name(s->what), s->n_vms, s->age_ms / 1000.0,
	       spreadmodel_rule_name(s->rule), r.greatest_over_mean, r.mean, r.p50_ms, r.p99_ms,
	       r.own_dc_share, r.in_force_share, r.n_calls);
}

int main(int argc, char **argv)
{
	static const unsigned int n_vms[] = {4, 8, 60};
	static const unsigned int ages_ms[] = {0, 100, 500, 1000};
	unsigned int load_pct = argc > 1 ? (unsigned int)strtoul(argv[1], NULL, 10) : LOAD_PCT;

#define X(symbol, name, explanation) printf("%-8s  %s\n", name, explanation);
	SPREADMODEL_RULE_LIST(X)
#undef X
	puts("\ncase        VMs  age s  rule     greatest   mean    p50    p99  own DC  in force"
	     "   calls\n"
	     "                                /mean  a slot     ms     ms   share     share");
	for (unsigned int what = 0; what < SPREADMODEL_CASE_COUNT; what++)
		for (size_t v = 0; v < G_N_ELEMENTS(n_vms); v++)
			for (size_t a = 0; a < G_N_ELEMENTS(ages_ms); a++)
				for (unsigned int rule = 0; rule < SPREADMODEL_RULE_COUNT; rule++)
					row_print(&(struct spreadmodel_settings){
						(enum spreadmodel_rule)rule,
						(enum spreadmodel_case)what, n_vms[v], ages_ms[a],
						load_pct, SECONDS, 1});
	return 0;
}
