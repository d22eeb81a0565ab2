/*
 * Cost of the membership protocol by the number of members: N member tables in one process
 * exchange messages in virtual time. Usage: bench-members [LOSS_PERCENT [SEED [MEMBERS
 * [CRASHED_PERCENT]]]].
 *
 * The CPU time includes the virtual network. The "false" columns count live members that a table
 * suspected or removed, per node and hour. crash_s is the time until all other tables have
 * removed all members that stopped at the same moment, or -1 if that takes longer than 5 minutes.
 */
#include "member.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MEMBERS_MAX 3200
#define STEADY_MS 60000
#define CHANGES 10
#define CRASH_WAIT_MS 300000
#define DELAY_MS 6 /* a message takes 1 to DELAY_MS - 1 ms */

static struct member_entry selves[MEMBERS_MAX];
static struct member_table *tables[MEMBERS_MAX];
static unsigned int node_count;
static unsigned int crashed_count; /* the first tables, which no longer run */
/* Messages in flight, by arrival time modulo DELAY_MS, as pairs of receiving table and message. */
static GPtrArray *in_flight[DELAY_MS];
static uint64_t now_ms = 1000000, sent_messages, sent_bytes, suspicions, removals;
static int loss_pct;
static GRand *rng;

static size_t xdr_string(const char *s)
{
	return 4 + (strlen(s) + 3) / 4 * 4;
}

/* Strings, then incarnation, started, sequence, state, configuration version, uptime. */
static size_t xdr_entry(const struct member_entry *e)
{
	return xdr_string(e->name) + xdr_string(e->dc) + xdr_string(e->http) + xdr_string(e->rpc) +
	       8 + 8 + 4 + 4 + 8 + 8;
}

/* IP and UDP headers 28, RPC call header without credentials 40, kind 4, nonce 8, count 4. */
static size_t xdr_message(const struct member_message *m)
{
	size_t bytes = 28 + 40 + 4 + 8 + 4 + xdr_entry(&m->sender) + xdr_string(m->subject) +
		       xdr_string(m->subject_rpc);

	for (unsigned int i = 0; i < m->update_count; i++)
		bytes += xdr_entry(&m->updates[i]);
	return bytes;
}

static void node_send(struct member_transport *transport, const char *rpc,
		      const struct member_message *message)
{
	size_t bytes = offsetof(struct member_message, updates) +
		       message->update_count * sizeof(message->updates[0]);
	GPtrArray *slot =
		in_flight[(now_ms + (uint64_t)g_rand_int_range(rng, 1, DELAY_MS)) % DELAY_MS];

	sent_messages++;
	sent_bytes += xdr_message(message);
	if (g_rand_int_range(rng, 0, 100) < loss_pct)
		return;
	g_ptr_array_add(slot, tables[strtoul(strchr(rpc, ':') + 1, NULL, 10) - 10000]);
	g_ptr_array_add(slot, g_memdup2(message, bytes));
}

static void node_changed(struct member_transport *transport, const struct member_entry *entry)
{
	suspicions += entry->state == MEMBER_SUSPECT;
	removals += entry->state == MEMBER_REMOVED;
}

static bool table_runs(const struct member_table *t)
{
	for (unsigned int i = 0; i < crashed_count; i++)
		if (tables[i] == t)
			return false;
	return true;
}

static void run(uint64_t ms)
{
	for (uint64_t end_ms = now_ms + ms; now_ms < end_ms; now_ms++) {
		GPtrArray *slot = in_flight[now_ms % DELAY_MS];

		for (unsigned int i = 0; i < slot->len; i += 2) {
			if (table_runs(slot->pdata[i]))
				member_table_receive(slot->pdata[i], slot->pdata[i + 1], now_ms,
						     rng);
			g_free(slot->pdata[i + 1]);
		}
		g_ptr_array_set_size(slot, 0);
		for (unsigned int i = now_ms % 100; i < node_count; i += 100)
			if (i >= crashed_count)
				member_table_tick(tables[i], now_ms, rng);
	}
}

/* Creates n tables. Each starts with the full list of members, as after a MEMBERS call. */
static void start(unsigned int n)
{
	static const struct member_transport_ops ops = {node_send, node_changed};
	static struct member_transport transport = {&ops};
	struct member_entry *e = selves;

	node_count = n;
	crashed_count = 0;
	for (unsigned int i = 0; i < n; i++, e++) {
		g_snprintf(e->name, sizeof(e->name), "entry-norte-%c-%04u", 'a' + (char)(i % 3), i);
		g_snprintf(e->dc, sizeof(e->dc), "norte-%c", 'a' + (char)(i % 3));
		g_snprintf(e->http, sizeof(e->http), "10.10.%u.%u:8080", i / 250, i % 250);
		g_snprintf(e->rpc, sizeof(e->rpc), "10.10.%u.%u:%u", i / 250, i % 250, 10000 + i);
		e->incarnation = i + 1;
		tables[i] = member_table_create(e, &transport, now_ms);
	}
	for (unsigned int i = 0; i < n; i++)
		member_table_merge(tables[i], selves, n, now_ms);
}

static bool all_know_leaving(const char *name)
{
	struct member_entry e;

	for (unsigned int i = 0; i < node_count; i++)
		if (!member_table_find(tables[i], name, now_ms, &e) || e.state != MEMBER_LEAVING)
			return false;
	return true;
}

static bool all_have_removed(unsigned int crashed)
{
	struct member_entry e;

	for (unsigned int i = crashed; i < node_count; i++)
		for (unsigned int j = 0; j < crashed; j++)
			if (member_table_find(tables[i], selves[j].name, now_ms, &e) &&
			    e.state != MEMBER_REMOVED)
				return false;
	return true;
}

/* Stops the first n tables; returns the seconds until all others have removed them, or -1. */
static double crash(unsigned int n)
{
	uint64_t start_ms = now_ms;

	crashed_count = n;
	while (!all_have_removed(n) && now_ms < start_ms + CRASH_WAIT_MS)
		run(100);
	return now_ms < start_ms + CRASH_WAIT_MS ? (double)(now_ms - start_ms) / 1000 : -1;
}

static void measure(unsigned int n, unsigned int crashed)
{
	double node_seconds = n * (STEADY_MS / 1000.0), max_ms = 0, cpu;

	start(n);
	sent_bytes = sent_messages = suspicions = removals = 0;
	cpu = (double)clock();
	run(STEADY_MS);
	cpu = (double)clock() - cpu;
	printf("%7u  %7.0f  %10.2f  %8.1f  %15.1f  %15.2f", n, (double)sent_bytes / node_seconds,
	       (double)sent_messages / node_seconds, cpu * 1e6 / CLOCKS_PER_SEC / node_seconds,
	       (double)suspicions * 3600 / node_seconds, (double)removals * 3600 / node_seconds);
	for (unsigned int i = 0; i < CHANGES; i++) {
		uint64_t start_ms = now_ms;

		for (member_table_leave(tables[i]); !all_know_leaving(selves[i].name);) {
			run(10);
			if (now_ms > start_ms + CRASH_WAIT_MS)
				break;
		}
		max_ms = MAX(max_ms, (double)(now_ms - start_ms));
		run(5000);
	}
	printf("  %13.0f  %12zu", max_ms, member_table_bytes(tables[0]) / n);
	sent_bytes = 0;
	if (crashed > 0) {
		uint64_t start_ms = now_ms;
		double seconds = crash(crashed);

		printf("  %7u  %7.1f  %13.0f", crashed, seconds,
		       (double)sent_bytes * 1000 / (double)(now_ms - start_ms) / (n - crashed));
	}
	puts("");
	fflush(stdout);
}

static unsigned int number_arg(int argc, char **argv, int i, unsigned int fallback)
{
	return argc > i ? (unsigned int)strtoul(argv[i], NULL, 10) : fallback;
}

int main(int argc, char **argv)
{
	unsigned int loss = number_arg(argc, argv, 1, 0), only = number_arg(argc, argv, 3, 0);
	unsigned int first = only ? only : 50, last = only ? only : 800;
	unsigned int crashed_pct = number_arg(argc, argv, 4, 0);

	if (last > MEMBERS_MAX || loss > 99 || crashed_pct > 90) {
		fprintf(stderr, "bench-members: at most %d members, 99%% loss, 90%% crashed\n",
			MEMBERS_MAX);
		return 2;
	}
	rng = g_rand_new_with_seed(number_arg(argc, argv, 2, 1));
	for (int i = 0; i < DELAY_MS; i++)
		in_flight[i] = g_ptr_array_new();
	puts("members  bytes/s  messages/s  cpu_us/s  false_suspect/h  false_removed/h  "
	     "change_max_ms  bytes/member  crashed  crash_s  crash_bytes/s");
	for (unsigned int n = first; n <= last; n *= 2) {
		loss_pct = (int)loss;
		measure(n, n * crashed_pct / 100);
		loss_pct = 100; /* delivers the messages in flight and drops the replies */
		run(DELAY_MS);
		for (unsigned int i = 0; i < n; i++)
			member_table_destroy(tables[i]);
	}
	return 0;
}
