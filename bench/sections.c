/*
 * Cost of one changed section in a manifest of N groups: bytes, and processor time of the
 * configuration store including the parsing and checking as in configurer.c. Usage: bench-sections
 * [GROUPS...]. Deterministic.
 */
#include "bench.h"
#include "config.h"
#include "list.h"
#include "manifest.h"
#include "section.h"

#include <string.h>

struct bench_sink {
	struct config_sink sink;
	struct manifest *manifest;
	double parse_us;
	double check_us;
};

static bool sink_validate(struct config_sink *sink, uint64_t version,
			  const struct config_section *sections, unsigned int n, GError **error)
{
	struct bench_sink *b = list_entry(sink, struct bench_sink, sink);
	json_t *services = json_array(), *groups = json_array();
	json_t *whole = json_pack("{s:o,s:o}", "services", services, "groups", groups);
	double start_us = bench_cpu_us();

	for (unsigned int i = 0; i < n; i++) {
		json_t *value = json_loadb(sections[i].text, sections[i].bytes, 0, NULL);

		if (strcmp(sections[i].name, "services") == 0)
			json_array_extend(services, value);
		else
			json_array_append(groups, value);
		json_decref(value);
	}
	b->parse_us = bench_cpu_us() - start_us;
	start_us = bench_cpu_us();
	manifest_put(b->manifest);
	b->manifest = manifest_create(whole, version, error);
	json_decref(whole);
	b->check_us = bench_cpu_us() - start_us;
	return b->manifest != NULL;
}

static void sink_apply(struct config_sink *sink, uint64_t version,
		       const struct config_section *sections, unsigned int n)
{
}

/* Offers a version to the store and adds the missing sections; returns their bytes. */
static size_t version_add(struct config_store *store, uint64_t version,
			  const struct section_set *set, const char *index)
{
	const char *digest;
	size_t bytes = 0;
	GError *error = NULL;

	config_store_offer(store, version, index, CONFIG_SOURCE_PLATFORM, &error);
	for (size_t i = 0; i < set->n && config_store_missing_digests(store, &digest, 1) > 0; i++) {
		const struct section *s = &set->sections[i];

		if (config_store_section_add(store, s->sha256, s->body, s->body_bytes, &error) ==
		    RESULT_OK)
			bytes += s->body_bytes;
	}
	if (config_store_version(store) != version) {
		fprintf(stderr, "bench-sections: version not applied: %s\n",
			error ? error->message : "a section is missing");
		exit(1);
	}
	return bytes;
}

/* Changes the slots of one leaf, so that one section changes. */
static void group_change(json_t *whole, unsigned int slots)
{
	json_t *group = json_array_get(json_object_get(whole, "groups"), 0);
	json_t *leaf = json_array_get(json_object_get(group, "leaves"), 0);

	json_object_set_new(leaf, "slots", json_integer(slots));
}

static void measure(unsigned int n)
{
	static const struct config_sink_ops ops = {sink_validate, sink_apply};
	struct bench_sink sink = {.sink = {&ops}};
	struct config_store *store = config_store_create(&sink.sink, 1, 0);
	json_t *whole = bench_manifest_create(n);
	double total[BENCH_RUNS] = {0}, parse[BENCH_RUNS] = {0}, check[BENCH_RUNS] = {0};
	size_t index_bytes = 0, changed_bytes = 0, all_bytes = 0, heap;
	uint64_t version = 0;

	malloc_trim(0);
	heap = bench_heap_bytes();
	for (int run = -1; run < BENCH_RUNS; run++) {
		struct section_set *set;
		double start_us;
		char *index;

		group_change(whole, (unsigned int)(run + 3));
		set = section_split(whole, NULL);
		index = json_dumps(set->index, JSON_COMPACT);
		index_bytes = strlen(index);
		start_us = bench_cpu_us();
		changed_bytes = version_add(store, ++version, set, index);
		if (run < 0) {
			all_bytes = changed_bytes;
		} else {
			total[run] = (bench_cpu_us() - start_us) / 1000;
			parse[run] = sink.parse_us / 1000;
			check[run] = sink.check_us / 1000;
		}
		free(index);
		section_set_destroy(set);
	}
	printf("%u groups: index %zu bytes, changed sections %zu bytes, all sections %zu bytes, "
	       "heap %zu bytes\n",
	       n, index_bytes, changed_bytes, all_bytes, bench_heap_bytes() - heap);
	bench_print("one change, whole", n, "ms", total);
	bench_print("  of it parsing sections", n, "ms", parse);
	bench_print("  of it manifest_create", n, "ms", check);
	config_store_destroy(store);
	manifest_put(sink.manifest);
	json_decref(whole);
}

int main(int argc, char **argv)
{
	static const unsigned int sizes[] = {100, 1000, 4096};

	printf("%-28s %6s  %12s %12s %12s\n", "what", "size", "min", "median", "max");
	for (size_t i = 0; argc < 2 && i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i]);
	for (int i = 1; i < argc; i++)
		measure((unsigned int)strtoul(argv[i], NULL, 10));
	return 0;
}
