/*
 * Membership messages and member lists from other VMs: XDR decoding, the checks of membership.c and
 * the member table. The input is a sequence of messages. Two bytes before each message give its
 * length minus 1, and the first byte of the message selects a list (odd) or a message (even). Time
 * advances by 400 ms from one message to the next.
 */
#include "../../src/membership.c"

#include "fuzz.h"

static void stub_receive(struct service *s, struct message *m)
{
	message_destroy(m);
}

static void stub_destroy(struct service *s)
{
	g_free(s);
}

static void stubs_add(struct kernel *k)
{
	static const struct service_ops ops[] = {
		{"peer", NULL, stub_receive, stub_destroy},
		{"searcher", NULL, stub_receive, stub_destroy},
		{"commander", NULL, stub_receive, stub_destroy},
		{"holder", NULL, stub_receive, stub_destroy},
		{"configurer", NULL, stub_receive, stub_destroy},
		{"stopper", NULL, stub_receive, stub_destroy},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(ops); i++) {
		struct service *s = g_new0(struct service, 1);

		s->ops = &ops[i];
		kernel_service_add(k, s);
	}
}

static void message_feed(struct membership *ms, const uint8_t *data, size_t size, uint64_t now_ms)
{
	bool is_list = size > 0 && data[0] & 1;
	apr_member_message *message = peer_args_create(APR_MEMBER_MESSAGE);
	apr_members_reply *reply = peer_result_create(APR_MEMBERS);
	XDR xdrs;

	xdrmem_create(&xdrs, (char *)data + 1, size - 1, XDR_DECODE);
	if (is_list && xdr_apr_members_reply(&xdrs, reply))
		members_merge(ms, reply);
	else if (!is_list && xdr_apr_member_message(&xdrs, message))
		message_receive(ms, message);
	peer_args_destroy(APR_MEMBER_MESSAGE, message);
	peer_result_destroy(APR_MEMBERS, reply);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct membership_settings settings = {.name = "entry-0",
					       .dc = "norte-a",
					       .http_address = "127.0.0.1:7000",
					       .rpc_address = "127.0.0.1:7001",
					       .incarnation = 7,
					       .started_ms = 1000,
					       .lease_ms = 2000};
	static struct event_base *base;
	struct kernel *k;
	struct membership *ms;
	uint64_t now_ms = 1000;
	json_t *body;

	if (!base) {
		base = event_base_new();
		log_setup("fuzz", LOG_LEVEL_ERROR);
	}
	k = kernel_create(base);
	g_rand_set_seed(kernel_rand(k), 1);
	stubs_add(k);
	ms = (struct membership *)membership_create(k, &settings);
	kernel_service_add(k, &ms->service);
	kernel_services_start(k, NULL);
	/* The entry list names only VMs that have a configuration. */
	member_table_set_config_version(ms->table, 1);
	while (size > 3) {
		size_t n = MIN(size - 2, ((size_t)data[0] << 8 | data[1]) + 1);

		message_feed(ms, data + 2, n, now_ms);
		data += 2 + n;
		size -= 2 + n;
		now_ms += 400;
		member_table_tick(ms->table, now_ms, kernel_rand(k));
		roster_publish(ms);
	}
	FUZZ_CHECK(member_table_count(ms->table) >= 1);
	/* Each member must be reported, whatever bytes its name consists of. */
	body = entries_json(ms);
	FUZZ_CHECK(body && json_array_size(json_object_get(body, "entries")) >= 1);
	json_decref(body);
	body = members_json(ms);
	FUZZ_CHECK(json_array_size(json_object_get(json_object_get(body, "membership"),
						   "members")) == member_table_count(ms->table));
	json_decref(body);
	kernel_destroy(k);
	return 0;
}
