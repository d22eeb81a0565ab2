/*
 * Cost of one search over 520 shards at the entry: XDR encoding and decoding of calls and replies,
 * parsing and merging of hits, and the answer. Usage: bench-gathering. Deterministic. Sockets and
 * timers are not included.
 */
#include "bench.h"
#include "gather.h"
#include "proto/apricot.h"

#include <string.h>

#define HITS_MAX 1000 /* as in searcher.c */
#define BUFFER_BYTES (16u << 20)
#define SEARCHES 20

static char *buffer;

static apr_search_args *args_create(unsigned int n_groups)
{
	apr_search_args *args = g_new0(apr_search_args, 1);

	args->service = g_strdup("catalogue");
	args->klass = g_strdup("desk");
	args->caller = g_strdup("10.1.2.3");
	args->query = g_strdup("\"blue sleeve\"");
	args->parts.parts_len = n_groups;
	args->parts.parts_val = g_new0(apr_part, n_groups);
	for (unsigned int i = 0; i < n_groups; i++) {
		apr_part *part = &args->parts.parts_val[i];

		part->group = g_strdup_printf("catalogue-0-%u", i);
		part->shards.shards_len = BENCH_GROUP_SHARDS;
		part->shards.shards_val = g_new0(u_int, BENCH_GROUP_SHARDS);
	}
	return args;
}

static char *hits_create(unsigned int shard, unsigned int n)
{
	json_t *hits = json_array();
	char id[32], *text;

	for (unsigned int i = 0; i < n; i++) {
		g_snprintf(id, sizeof(id), "s%u-v7-%u", shard, i);
		json_array_append_new(
			hits, json_pack("{s:s,s:f,s:i}", "id", id, "score",
					(double)((shard * 7919 + i * 104729) % 10007) / 10007,
					"shard", (int)shard));
	}
	text = json_dumps(hits, JSON_COMPACT);
	json_decref(hits);
	return text;
}

static apr_search_reply *reply_create(unsigned int first, unsigned int n_groups, unsigned int hits)
{
	apr_search_reply *reply = g_new0(apr_search_reply, 1);
	unsigned int n = n_groups * BENCH_GROUP_SHARDS;

	reply->shards.shards_len = n;
	reply->shards.shards_val = g_new0(apr_shard_result, n);
	for (unsigned int i = 0; i < n; i++) {
		reply->shards.shards_val[i].shard = first + i;
		reply->shards.shards_val[i].hits = hits_create(first + i, hits);
	}
	reply->groups.groups_len = n_groups;
	reply->groups.groups_val = g_new0(apr_group_versions, n_groups);
	for (unsigned int i = 0; i < n_groups; i++) {
		apr_group_versions *v = &reply->groups.groups_val[i];

		v->group = g_strdup_printf("catalogue-0-%u", i);
		v->versions.versions_len = 2;
		v->versions.versions_val = g_malloc0(2 * sizeof(v->versions.versions_val[0]));
	}
	return reply;
}

static u_int encode(xdrproc_t codec, void *value)
{
	u_int bytes;
	XDR xdr;

	xdrmem_create(&xdr, buffer, BUFFER_BYTES, XDR_ENCODE);
	if (!codec(&xdr, value))
		exit(1);
	bytes = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return bytes;
}

static void decode(xdrproc_t codec, void *value)
{
	XDR xdr;

	xdrmem_create(&xdr, buffer, BUFFER_BYTES, XDR_DECODE);
	if (!codec(&xdr, value))
		exit(1);
	xdr_destroy(&xdr);
}

static void value_free(xdrproc_t codec, void *value)
{
	xdr_free(codec, value);
	g_free(value);
}

static void reply_gather(struct gather *g, const apr_search_reply *reply)
{
	static const unsigned char request_id[GATHER_ID_BYTES];

	for (u_int i = 0; i < reply->shards.shards_len; i++) {
		json_t *hits = json_loads(reply->shards.shards_val[i].hits, 0, NULL);

		gather_hits_add(g, request_id, 1, 1, reply->shards.shards_val[i].shard, hits);
		json_decref(hits);
	}
}

static struct gather *search_create(void)
{
	struct gather_params params = {.index_version = 1,
				       .map_version = 1,
				       .n_shards = BENCH_SHARDS,
				       .deadline_us = 160000};

	return gather_create(&params);
}

struct costs {
	double call, reply, parse, answer, heap;
	u_int call_bytes, reply_bytes;
	size_t answer_bytes;
};

/* One search in which each holder serves the given number of groups. */
static void search_run(struct costs *c, unsigned int holder_groups, unsigned int hits)
{
	apr_search_args *args = args_create(holder_groups);
	struct gather *g = search_create();
	size_t heap = bench_heap_bytes();
	double start_us;
	json_t *body;
	char *text;

	c->call_bytes = c->reply_bytes = 0;
	for (unsigned int i = 0; i < BENCH_SERVICE_GROUPS; i += holder_groups) {
		apr_search_args *decoded_args = g_new0(apr_search_args, 1);
		apr_search_reply *decoded = g_new0(apr_search_reply, 1);
		apr_search_reply *reply = reply_create(i * BENCH_GROUP_SHARDS, holder_groups, hits);

		start_us = bench_cpu_us();
		c->call_bytes += encode((xdrproc_t)xdr_apr_search_args, args);
		decode((xdrproc_t)xdr_apr_search_args, decoded_args);
		c->call += bench_cpu_us() - start_us;
		start_us = bench_cpu_us();
		c->reply_bytes += encode((xdrproc_t)xdr_apr_search_reply, reply);
		decode((xdrproc_t)xdr_apr_search_reply, decoded);
		c->reply += bench_cpu_us() - start_us;
		start_us = bench_cpu_us();
		reply_gather(g, decoded);
		c->parse += bench_cpu_us() - start_us;
		value_free((xdrproc_t)xdr_apr_search_args, decoded_args);
		value_free((xdrproc_t)xdr_apr_search_reply, decoded);
		value_free((xdrproc_t)xdr_apr_search_reply, reply);
	}
	c->heap += (double)(bench_heap_bytes() - heap);
	start_us = bench_cpu_us();
	body = json_pack("{s:i, s:o}", "result", 0, "hits", gather_hits_merge(g, HITS_MAX));
	text = json_dumps(body, JSON_COMPACT | JSON_PRESERVE_ORDER);
	c->answer_bytes = strlen(text);
	free(text);
	json_decref(body);
	gather_destroy(g);
	c->answer += bench_cpu_us() - start_us;
	value_free((xdrproc_t)xdr_apr_search_args, args);
}

static void measure(unsigned int holder_groups, unsigned int hits)
{
	double call[BENCH_RUNS] = {0}, reply[BENCH_RUNS] = {0}, parse[BENCH_RUNS] = {0},
	       answer[BENCH_RUNS] = {0};
	double heap[BENCH_RUNS] = {0};
	struct costs c;

	for (int run = 0; run < BENCH_RUNS; run++) {
		memset(&c, 0, sizeof(c));
		for (int i = 0; i < SEARCHES; i++)
			search_run(&c, holder_groups, hits);
		call[run] = c.call / SEARCHES;
		reply[run] = c.reply / SEARCHES;
		parse[run] = c.parse / SEARCHES;
		answer[run] = c.answer / SEARCHES;
		heap[run] = c.heap / SEARCHES;
	}
	printf("%u hits a shard, %u holders: calls %u bytes, replies %u bytes, answer %zu bytes\n",
	       hits, BENCH_SERVICE_GROUPS / holder_groups, c.call_bytes, c.reply_bytes,
	       c.answer_bytes);
	bench_print("calls, XDR both ways", hits, "us", call);
	bench_print("replies, XDR both ways", hits, "us", reply);
	bench_print("hits parsed and gathered", hits, "us", parse);
	bench_print("merge, answer, free", hits, "us", answer);
	bench_print("heap in flight", hits, "bytes", heap);
}

int main(void)
{
	buffer = g_malloc(BUFFER_BYTES);
	printf("%-28s %6s  %12s %12s %12s\n", "what", "hits", "min", "median", "max");
	measure(10, 1);
	measure(10, 3);
	measure(10, 10);
	measure(1, 3);
	g_free(buffer);
	return 0;
}
