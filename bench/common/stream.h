/* A stream of requests of one service and class: checks its answers and counts them. */
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
	double rate; /* requests per second */
	bool is_search;
	bool needs_coverage;
	unsigned int shards; /* asked by each request */
	uint64_t deadline_us;
	uint64_t next_us; /* intended time of the next request */
	uint64_t sent_whole_run; /* warm-up included */
	GArray *latency_us;
	double included; /* sum over the answers of the share of included shards */
#define X(name) uint64_t name;
	COUNT_LIST(X)
#undef X
};

/*
 * arg is SERVICE:CLASS:RATE. Returns NULL if it is malformed or the manifest does not have the
 * service. The caller owns the result.
 */
struct stream *stream_create(json_t *manifest, const char *arg);
void stream_destroy(struct stream *s);

/*
 * Checks and counts one answer of the measured time. status is 0 if there was no answer, query the
 * JSON text of a search, id the id of a command, body NULL if it is not JSON.
 */
void stream_answer_count(struct stream *s, const char *query, const char *id, int status,
			 json_t *body, uint64_t latency_us);

/* Returns the counts and latencies as a new reference; seconds is the measured time. */
json_t *stream_result(struct stream *s, double seconds);

#endif
