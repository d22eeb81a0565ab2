/*
 * Cost of the full VM list that a joining VM gets from one peer, by the number of VMs.
 * Usage: bench-joining. The input is fixed; the times are CPU times and include no sockets.
 */
#include "bench.h"
#include "member.h"
#include "proto/apricot.h"

#define BUFFER_BYTES (4u << 20)

static char *buffer;

static void message_drop(struct member_transport *transport, const char *rpc,
			 const struct member_message *message)
{
}

static void change_ignore(struct member_transport *transport, const struct member_entry *entry)
{
}

static struct member_table *table_create(unsigned int i)
{
	static const struct member_transport_ops ops = {message_drop, change_ignore};
	static struct member_transport transport = {&ops};
	struct member_entry self = {.incarnation = i + 1};

	g_snprintf(self.name, sizeof(self.name), "entry-norte-a-%04u", i);
	g_strlcpy(self.dc, "norte-a", sizeof(self.dc));
	g_snprintf(self.http, sizeof(self.http), "10.10.%u.%u:8080", i / 250, i % 250);
	g_snprintf(self.rpc, sizeof(self.rpc), "10.10.%u.%u:10001", i / 250, i % 250);
	return member_table_create(&self, &transport, 1);
}

/* Encodes the reply to MEMBERS into the buffer, as membership.c does; returns its bytes. */
static u_int list_encode(struct member_table *t)
{
	apr_members_reply reply = {{0}};
	unsigned int n;
	struct member_entry *list = member_table_snapshot(t, 1, &n);
	u_int bytes;
	XDR xdr;

	reply.members.members_len = n;
	reply.members.members_val = g_new0(apr_member, n);
	for (unsigned int i = 0; i < n; i++) {
		apr_member *m = &reply.members.members_val[i];

		m->name = g_strdup(list[i].name);
		m->dc = g_strdup(list[i].dc);
		m->http = g_strdup(list[i].http);
		m->rpc = g_strdup(list[i].rpc);
		m->incarnation = list[i].incarnation;
	}
	xdrmem_create(&xdr, buffer, BUFFER_BYTES, XDR_ENCODE);
	if (!xdr_apr_members_reply(&xdr, &reply))
		exit(1);
	bytes = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	xdr_free((xdrproc_t)xdr_apr_members_reply, &reply);
	g_free(list);
	return bytes;
}

/* Decodes the reply in the buffer and merges its list into the table, as membership.c does. */
static void list_receive(struct member_table *t)
{
	apr_members_reply reply = {{0}};
	struct member_entry *list;
	XDR xdr;

	xdrmem_create(&xdr, buffer, BUFFER_BYTES, XDR_DECODE);
	if (!xdr_apr_members_reply(&xdr, &reply))
		exit(1);
	xdr_destroy(&xdr);
	list = g_new0(struct member_entry, reply.members.members_len);
	for (u_int i = 0; i < reply.members.members_len; i++) {
		const apr_member *m = &reply.members.members_val[i];

		g_strlcpy(list[i].name, m->name, sizeof(list[i].name));
		g_strlcpy(list[i].dc, m->dc, sizeof(list[i].dc));
		g_strlcpy(list[i].http, m->http, sizeof(list[i].http));
		g_strlcpy(list[i].rpc, m->rpc, sizeof(list[i].rpc));
		list[i].incarnation = m->incarnation;
	}
	member_table_merge(t, list, reply.members.members_len, 1);
	g_free(list);
	xdr_free((xdrproc_t)xdr_apr_members_reply, &reply);
}

/* Creates a table with n entries. */
static struct member_table *full_table_create(unsigned int n)
{
	struct member_table *t = table_create(0);
	struct member_entry *entry;
	unsigned int count;

	for (unsigned int i = 1; i < n; i++) {
		struct member_table *other = table_create(i);

		entry = member_table_snapshot(other, 1, &count);
		member_table_merge(t, entry, count, 1);
		g_free(entry);
		member_table_destroy(other);
	}
	return t;
}

static void measure(unsigned int n)
{
	struct member_table *t = full_table_create(n);
	double encode[BENCH_RUNS] = {0}, receive[BENCH_RUNS] = {0}, receive_again[BENCH_RUNS] = {0};
	double heap[BENCH_RUNS] = {0};
	u_int bytes = 0;

	for (int run = 0; run < BENCH_RUNS; run++) {
		struct member_table *joining = table_create(n);
		size_t heap_bytes = bench_heap_bytes();
		double start_us = bench_cpu_us();

		bytes = list_encode(t);
		encode[run] = (bench_cpu_us() - start_us) / 1000;
		start_us = bench_cpu_us();
		list_receive(joining);
		receive[run] = (bench_cpu_us() - start_us) / 1000;
		heap[run] = (double)(bench_heap_bytes() - heap_bytes) / n;
		start_us = bench_cpu_us();
		list_receive(joining);
		receive_again[run] = (bench_cpu_us() - start_us) / 1000;
		member_table_destroy(joining);
	}
	printf("%u VMs: list %u bytes\n", n, bytes);
	bench_print("encode the list", n, "ms", encode);
	bench_print("decode and merge it", n, "ms", receive);
	bench_print("decode and merge it again", n, "ms", receive_again);
	bench_print("heap per entry", n, "bytes", heap);
	member_table_destroy(t);
}

int main(void)
{
	static const unsigned int sizes[] = {8, 800, 6600};

	buffer = g_malloc(BUFFER_BYTES);
	printf("%-28s %6s  %12s %12s %12s\n", "what", "size", "min", "median", "max");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i]);
	g_free(buffer);
	return 0;
}
