/*
 * Cost of choosing the holders for a search over 520 shards, by the number of members.
 * Usage: bench-routes. Deterministic. Times are processor time of this process.
 */
#include "bench.h"
#include "rendezvous.h"
#include "routing.h"

#include <string.h>

/* Builds a roster of n VMs, as membership.c does from the member table. */
static struct roster *roster_build(unsigned int n)
{
	struct roster *r = roster_create(n, 1);

	for (unsigned int i = 0; i < n; i++) {
		struct roster_vm *vm = &r->vms[i];

		vm->name = g_strdup_printf("entry-%05u", i);
		vm->dc = g_strdup_printf("norte-%c", 'a' + (char)(i % BENCH_DCS));
		vm->rpc = g_strdup_printf("10.9.%u.%u:7001", i / 250, i % 250);
		vm->name_hash = rendezvous_name_hash(vm->name);
		vm->is_self = i == 0;
		vm->is_available = true;
	}
	return r;
}

/* Adds the first holder of each group to the set; returns a hash of all routes. */
static guint routes_hash(struct routing *routing, const struct manifest *m, GHashTable *holders)
{
	guint hash = 0;

	for (guint i = 0; i < m->groups->len; i++) {
		struct holder_route route = routing_find(routing, g_ptr_array_index(m->groups, i));

		g_hash_table_add(holders, (gpointer)route.first);
		hash = hash * 31 + g_str_hash(route.first);
		hash = hash * 31 + g_str_hash(route.second);
	}
	return hash;
}

static double routes_find_all(struct routing *routing, const struct manifest *m)
{
	double start_us = bench_cpu_us();

	for (guint i = 0; i < m->groups->len; i++)
		routing_find(routing, g_ptr_array_index(m->groups, i));
	return bench_cpu_us() - start_us;
}

/*
 * Collects one call per holder, as searcher.c does: for each group, the call is looked up in a list
 * by the address of the holder.
 */
static double calls_collect(struct routing *routing, const struct manifest *m,
			    unsigned int *n_calls)
{
	const char *calls[BENCH_SERVICE_GROUPS];
	unsigned int n = 0;
	double start_us = bench_cpu_us();

	for (guint i = 0; i < m->groups->len; i++) {
		struct holder_route route = routing_find(routing, g_ptr_array_index(m->groups, i));
		unsigned int j = 0;

		while (j < n && strcmp(calls[j], route.first) != 0)
			j++;
		if (j == n)
			calls[n++] = route.first;
	}
	*n_calls = n;
	return bench_cpu_us() - start_us;
}

static void measure(struct manifest *m, unsigned int n)
{
	double build[BENCH_RUNS] = {0}, cold[BENCH_RUNS] = {0}, warm[BENCH_RUNS] = {0},
	       list[BENCH_RUNS] = {0};
	GHashTable *holders = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int n_calls = 0;

	for (int run = 0; run < BENCH_RUNS; run++) {
		struct routing *routing = routing_create();
		double start_us = bench_cpu_us();
		struct roster *roster = roster_build(n);

		build[run] = bench_cpu_us() - start_us;
		routing_manifest_set(routing, m);
		routing_roster_set(routing, roster);
		cold[run] = routes_find_all(routing, m);
		warm[run] = routes_find_all(routing, m);
		list[run] = calls_collect(routing, m, &n_calls);
		if (run == 0) {
			guint hash = routes_hash(routing, m, holders);

			printf("%u members: %u groups have %u holders, choices %08x\n", n,
			       m->groups->len, g_hash_table_size(holders), hash);
		}
		g_hash_table_remove_all(holders);
		routing_destroy(routing);
		roster_put(roster);
	}
	bench_print("roster built", n, "us", build);
	bench_print("260 groups, cold", n, "us", cold);
	bench_print("260 groups, remembered", n, "us", warm);
	bench_print("260 groups, list of calls", n, "us", list);
	printf("%u calls\n", n_calls);
	g_hash_table_destroy(holders);
}

int main(void)
{
	static const unsigned int sizes[] = {8, 100, 800, 2000, 6600};
	json_t *whole = bench_manifest_create(BENCH_SERVICE_GROUPS);
	GError *error = NULL;
	struct manifest *m = manifest_create(whole, 1, &error);

	json_decref(whole);
	if (!m) {
		fprintf(stderr, "bench-routes: %s\n", error->message);
		g_error_free(error);
		return 1;
	}
	printf("%-28s %6s  %12s %12s %12s\n", "what", "size", "min", "median", "max");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(m, sizes[i]);
	manifest_put(m);
	return 0;
}
