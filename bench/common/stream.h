/* One stream of requests (service and class) of a load: counts and checks of its answers. */
#ifndef APRICOT_BENCH_STREAM_H
#define APRICOT_BENCH_STREAM_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* X(name): counts of one stream within the measured time */
#define COUNT_LIST(X)     \
	X(sent)           \
	X(complete)       \
	X(partial)        \
	X(not_run)        \
	X(unknown)        \
	X(failed)         \
	X(goodput)        \
	X(mixed_snapshot) \
	X(false_coverage) \
	X(foreign_answer)

struct stream {
	char *service;
	char *klass;
	double rate;
	bool is_search;
	bool needs_coverage;
	unsigned int shards;
	uint64_t deadline_us;
	uint64_t next_us;
	uint64_t sent_whole_run; /* warm-up included */
	GArray *latency_us;
	double included;
#define X(name) uint64_t name;
	COUNT_LIST(X)
#undef X
};

/* arg is SERVICE:CLASS:RATE; NULL when it is malformed or the manifest lacks the service. */
struct stream *stream_create(json_t *manifest, const char *arg);
void stream_destroy(struct stream *s);

/*
 * Counts one answer of the measured time. status 0: none; query: JSON text of a search; id: of a
 * command; body: NULL when it is no JSON.
 */
void stream_answer_count(struct stream *s, const char *query, const char *id, int status,
			 json_t *body, uint64_t latency_us);

/* New reference; sorts the latencies. */
json_t *stream_result(struct stream *s, double seconds);

#endif
