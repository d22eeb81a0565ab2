#include "stream.h"

#include <stdlib.h>
#include <string.h>

#define STREAM_SHARDS_MAX 1024

struct stream *stream_create(json_t *manifest, const char *arg)
{
	g_auto(GStrv) part = g_strsplit(arg, ":", 3);
	struct stream *s;
	json_t *service;
	size_t i;

	if (g_strv_length(part) != 3 || !(g_ascii_strtod(part[2], NULL) > 0))
		return NULL;
	json_array_foreach(json_object_get(manifest, "services"), i, service)
	{
		if (g_strcmp0(json_string_value(json_object_get(service, "name")), part[0]) != 0)
			continue;
		s = g_new0(struct stream, 1);
		s->service = g_strdup(part[0]);
		s->klass = g_strdup(part[1]);
		s->rate = g_ascii_strtod(part[2], NULL);
		s->is_search = g_strcmp0(json_string_value(json_object_get(service, "kind")),
					 "search") == 0;
		s->needs_coverage = g_strcmp0(json_string_value(json_object_get(service, "policy")),
					      "coverage") == 0;
		/* A command is one call to one shard. */
		s->shards = s->is_search ? (unsigned int)json_integer_value(
						   json_object_get(service, "shards"))
					 : 1;
		s->deadline_us =
			(uint64_t)json_integer_value(json_object_get(service, "deadline_ms")) *
			1000;
		s->shards = MIN(s->shards, STREAM_SHARDS_MAX);
		s->latency_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		return s;
	}
	return NULL;
}

void stream_destroy(struct stream *s)
{
	if (!s)
		return;
	g_array_unref(s->latency_us);
	g_free(s->service);
	g_free(s->klass);
	g_free(s);
}

/* True if each shard of the map is named exactly once, in included or in missing. */
static bool coverage_is_valid(const struct stream *s, json_t *coverage, bool *included)
{
	json_t *missing = json_object_get(coverage, "missing");
	bool named[STREAM_SHARDS_MAX] = {false};
	json_t *item;
	size_t i;
	unsigned int n = 0;

	json_array_foreach(json_object_get(coverage, "included"), i, item)
	{
		json_int_t shard = json_integer_value(item);

		if (shard < 0 || shard >= s->shards || named[shard])
			return false;
		named[shard] = true;
		included[shard] = true;
		n++;
	}
	json_array_foreach(missing, i, item)
	{
		json_int_t shard = json_integer_value(json_object_get(item, "shard"));

		if (shard < 0 || shard >= s->shards || named[shard])
			return false;
		named[shard] = true;
		n++;
	}
	return n == s->shards && json_boolean_value(json_object_get(coverage, "complete")) ==
					 (json_array_size(missing) == 0);
}

static void search_check(struct stream *s, const char *query, json_t *body)
{
	json_t *coverage = json_object_get(body, "coverage");
	json_int_t version = json_integer_value(
		json_object_get(json_object_get(body, "snapshot"), "index_version"));
	bool included[STREAM_SHARDS_MAX] = {false};
	unsigned int hits[STREAM_SHARDS_MAX] = {0};
	bool is_valid = coverage_is_valid(s, coverage, included);
	json_t *hit;
	size_t i;

	json_array_foreach(json_object_get(body, "hits"), i, hit)
	{
		const char *id = json_string_value(json_object_get(hit, "id"));
		json_int_t q = json_integer_value(json_object_get(hit, "q"));
		unsigned int shard = 0;
		long long hit_version = -1;
		char *end = NULL;

		/* The id of a hit is sSHARD-vVERSION-N. */
		if (id && id[0] == 's') {
			shard = (unsigned int)strtoul(id + 1, &end, 10);
			if (end[0] == '-' && end[1] == 'v')
				hit_version = strtoll(end + 2, NULL, 10);
		}
		if (hit_version != version)
			s->mixed_snapshot++;
		if (shard >= s->shards || !included[shard])
			is_valid = false;
		else
			hits[shard]++;
		if (q != (json_int_t)g_str_hash(query))
			s->foreign_answer++;
	}
	/* A fake leaf returns hits for every shard, so an included shard without hits is wrong. */
	for (unsigned int shard = 0; shard < s->shards; shard++)
		if (included[shard] && hits[shard] == 0)
			is_valid = false;
	if (!is_valid)
		s->false_coverage++;
	s->included += (double)json_array_size(json_object_get(coverage, "included")) / s->shards;
}

static void command_check(struct stream *s, const char *id, json_t *body)
{
	json_t *own = json_object_get(body, "body");

	if (g_strcmp0(json_string_value(json_object_get(body, "id")), id) != 0 ||
	    g_strcmp0(json_string_value(json_object_get(own, "id")), id) != 0)
		s->foreign_answer++;
}

void stream_answer_count(struct stream *s, const char *query, const char *id, int status,
			 json_t *body, uint64_t latency_us)
{
	bool is_complete = json_integer_value(json_object_get(body, "result")) == 0;

	if (!body || (status != 200 && status != 503 && status != 504)) {
		s->failed++;
		return;
	}
	if (status == 503) {
		s->not_run++;
		return;
	}
	if (status == 504) {
		s->unknown++;
		return;
	}
	if (s->is_search)
		search_check(s, query, body);
	else
		command_check(s, id, body);
	if (is_complete)
		s->complete++;
	else
		s->partial++;
	if (latency_us <= s->deadline_us && (is_complete || !s->needs_coverage))
		s->goodput++;
	g_array_append_val(s->latency_us, latency_us);
}

static int u64_compare(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

static double quantile_ms(const GArray *sorted, double q)
{
	guint at = (guint)(q * sorted->len);

	if (sorted->len == 0)
		return 0;
	return (double)g_array_index(sorted, uint64_t, MIN(at, sorted->len - 1)) / 1000;
}

json_t *stream_result(struct stream *s, double seconds)
{
	json_t *result = json_object();
	uint64_t answered = s->complete + s->partial;

	qsort(s->latency_us->data, s->latency_us->len, sizeof(uint64_t), u64_compare);
	json_object_set_new(result, "service", json_string(s->service));
	json_object_set_new(result, "class", json_string(s->klass));
	json_object_set_new(result, "rate", json_real(s->rate));
#define X(name) json_object_set_new(result, #name, json_integer((json_int_t)s->name));
	COUNT_LIST(X)
#undef X
	json_object_set_new(result, "goodput_per_s", json_real((double)s->goodput / seconds));
	json_object_set_new(result, "coverage",
			    json_real(answered ? s->included / (double)answered : 0));
	json_object_set_new(result, "p50_ms", json_real(quantile_ms(s->latency_us, 0.5)));
	json_object_set_new(result, "p95_ms", json_real(quantile_ms(s->latency_us, 0.95)));
	json_object_set_new(result, "p99_ms", json_real(quantile_ms(s->latency_us, 0.99)));
	json_object_set_new(result, "max_ms", json_real(quantile_ms(s->latency_us, 1)));
	return result;
}
