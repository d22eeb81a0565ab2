/*
 * Helpers of the benchmarks of single modules: processor time, heap size, output, and manifests of
 * a given size. Each figure is measured BENCH_RUNS times.
 */
#ifndef APRICOT_BENCH_H
#define APRICOT_BENCH_H

#include <glib.h>
#include <jansson.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define BENCH_RUNS 5
#define BENCH_DCS 13
#define BENCH_SHARDS 520 /* per service */
#define BENCH_GROUP_SHARDS 2
#define BENCH_GROUP_LEAVES 4
#define BENCH_SERVICE_GROUPS (BENCH_SHARDS / BENCH_GROUP_SHARDS)

/* Processor time of this process. */
static inline double bench_cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/* Bytes that are allocated now, without the overhead of free blocks. */
static inline size_t bench_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static inline int bench_compare(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Sorts the values of BENCH_RUNS runs and prints their minimum, median and maximum. */
static inline void bench_print(const char *what, unsigned int size, const char *unit,
			       double values[BENCH_RUNS])
{
	qsort(values, BENCH_RUNS, sizeof(values[0]), bench_compare);
	printf("%-28s %6u  %12.2f %12.2f %12.2f %s\n", what, size, values[0],
	       values[BENCH_RUNS / 2], values[BENCH_RUNS - 1], unit);
}

static inline json_t *bench_group_create(unsigned int index)
{
	unsigned int service = index / BENCH_SERVICE_GROUPS;
	unsigned int first = index % BENCH_SERVICE_GROUPS * BENCH_GROUP_SHARDS;
	json_t *shards = json_array(), *leaves = json_array();
	char id[32], service_name[32], name[32], backend[32], dc[32], addr[32];

	for (unsigned int i = 0; i < BENCH_GROUP_SHARDS; i++)
		json_array_append_new(shards, json_integer(first + i));
	for (unsigned int i = 0; i < BENCH_GROUP_LEAVES; i++) {
		unsigned int leaf = index * BENCH_GROUP_LEAVES + i;

		g_snprintf(backend, sizeof(backend), "sleeve-%05u", leaf / 2);
		g_snprintf(name, sizeof(name), "%s/%u", backend, leaf % 2);
		g_snprintf(dc, sizeof(dc), "norte-%c", 'a' + (char)(leaf % BENCH_DCS));
		g_snprintf(addr, sizeof(addr), "10.%u.%u.%u:9001", leaf / 65536, leaf / 256 % 256,
			   leaf % 256);
		json_array_append_new(leaves,
				      json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i}", "name", name,
						"backend", backend, "dc", dc, "addr", addr, "slots",
						2, "connections", 25, "connect_us", 6000));
	}
	g_snprintf(service_name, sizeof(service_name), "catalogue-%u", service);
	g_snprintf(id, sizeof(id), "%s-%u", service_name, index % BENCH_SERVICE_GROUPS);
	return json_pack("{s:s,s:s,s:o,s:o}", "id", id, "service", service_name, "shards", shards,
			 "leaves", leaves);
}

/*
 * Returns a manifest with n_groups groups of 2 shards and 4 leaves each, in services of 520 shards;
 * the last service may have fewer. The caller owns the new reference.
 */
static inline json_t *bench_manifest_create(unsigned int n_groups)
{
	json_t *services = json_array(), *groups = json_array();
	char name[32];

	for (unsigned int i = 0; i < n_groups; i += BENCH_SERVICE_GROUPS) {
		unsigned int n = MIN(BENCH_SERVICE_GROUPS, n_groups - i);

		g_snprintf(name, sizeof(name), "catalogue-%u", i / BENCH_SERVICE_GROUPS);
		json_array_append_new(services,
				      json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:[{s:s,s:i}]}",
						"name", name, "kind", "search", "policy",
						"coverage", "target_ms", 100, "deadline_ms", 500,
						"map_version", 1, "index_version", 1, "shards",
						(int)(n * BENCH_GROUP_SHARDS), "classes", "name",
						"desk", "priority", 0));
	}
	for (unsigned int i = 0; i < n_groups; i++)
		json_array_append_new(groups, bench_group_create(i));
	return json_pack("{s:o,s:o}", "services", services, "groups", groups);
}

#endif
