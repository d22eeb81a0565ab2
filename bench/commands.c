/*
 * Memory and processor time per command id in the command log. Usage: bench-commands.
 * Deterministic.
 */
#include "bench.h"
#include "command.h"

#include <string.h>

#define LIFETIME_MS 120000

static void measure(unsigned int n, size_t body_bytes)
{
	double first_us[BENCH_RUNS] = {0}, repeat_us[BENCH_RUNS] = {0}, memory[BENCH_RUNS] = {0},
	       estimate[BENCH_RUNS] = {0};
	double expiry_us[BENCH_RUNS] = {0};
	char *body = g_strnfill(body_bytes, 'x');
	char what[40];

	for (int run = 0; run < BENCH_RUNS; run++) {
		size_t heap = bench_heap_bytes();
		struct command_log *l = command_log_create(1, LIFETIME_MS, n);
		const struct command_result *result;
		enum result reason;
		double start_us = bench_cpu_us();
		char id[160];

		for (unsigned int i = 0; i < n; i++) {
			g_snprintf(id, sizeof(id), "%016x.%u.%032x", 1, 0, i);
			command_log_begin(l, id, 0, &result, &reason);
			command_log_finish(l, id, OUTCOME_DONE, RESULT_OK, body);
		}
		first_us[run] = (bench_cpu_us() - start_us) / n;
		memory[run] = (double)(bench_heap_bytes() - heap) / n;
		estimate[run] = (double)command_log_bytes(l) / n;
		start_us = bench_cpu_us();
		for (unsigned int i = 0; i < n; i++) {
			g_snprintf(id, sizeof(id), "%016x.%u.%032x", 1, 0, i);
			command_log_begin(l, id, 0, &result, &reason);
		}
		repeat_us[run] = (bench_cpu_us() - start_us) / n;
		start_us = bench_cpu_us();
		command_log_expire(l, LIFETIME_MS + 1);
		expiry_us[run] = (bench_cpu_us() - start_us) / n;
		command_log_destroy(l);
	}
	g_snprintf(what, sizeof(what), "id, %zu bytes of body", body_bytes);
	bench_print(what, n, "bytes heap", memory);
	bench_print(what, n, "bytes by command_log_bytes", estimate);
	bench_print(what, n, "us first", first_us);
	bench_print(what, n, "us repeat", repeat_us);
	bench_print(what, n, "us expiry", expiry_us);
	g_free(body);
}

int main(void)
{
	printf("%-28s %6s  %12s %12s %12s\n", "what", "ids", "min", "median", "max");
	measure(20000, 100);
	measure(200000, 100);
	measure(200000, 1000);
	return 0;
}
