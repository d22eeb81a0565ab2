#include "clock.h"
#include "message.h"
#include "position_text.h"
#include "procedure.h"
#include "readers.h"
#include "relay.h"
#include "rendezvous.h"
#include "script.h"

#include <algorithm>
#include <cstring>
#include <set>

namespace
{
#define STEP_MS 5

/* How each of the other VMs behaves; they are named r0, r1 and so on. */
struct reader {
	uint64_t revision;
	uint64_t changes_ms; /* time that an answer with changes takes */
	bool has_lost_store;
	uint64_t key_revision; /* of the last change of a key; that of the store may be later */
	bool is_removed; /* the last change has removed the key */
	uint64_t age_ms; /* of the removal */
	uint64_t era; /* 0: it names none, as VMs of an earlier version */
};

/* Stands for the other VMs: answers queries as readers do, each after its time. */
struct fake_peer {
	struct service service;
	std::vector<struct reader> *readers;
	struct query {
		struct service *reply_to;
		uint64_t tag;
		size_t reader;
		struct position known;
		bool wants_items;
		uint64_t until_ms;
		uint64_t due_ms; /* when the answer arrives; 0: not known yet */
	};
	std::vector<query> queries;
	unsigned int changes_sent; /* answers with changes */
	std::set<size_t> asked; /* VMs that got a query */
	/* Period in which the store answers the readers; 0: longer than a query waits. */
	uint64_t store_answers_ms;
	bool has_differences_only; /* answers with changes are never complete */
	std::string reply; /* of the relay to a query of another VM; "": none yet */
	uint64_t reply_age_ms; /* of the last item in it */
};

void peer_receive(struct service *s, struct message *m)
{
	auto *p = reinterpret_cast<struct fake_peer *>(s);

	if (m->kind == MESSAGE_PEER_REPLY) {
		auto *reply = static_cast<apr_feed_reply *>(
			reinterpret_cast<struct peer_reply *>(m)->result);

		p->reply = (reply->is_current ? "current " : "not current ") +
			   position_text({reply->era, reply->revision}) +
			   (reply->is_full ? " full\n" : "\n");
		if (reply->items.items_len > 0)
			p->reply_age_ms = reply->items.items_val[reply->items.items_len - 1].age_ms;
		message_destroy(m);
		return;
	}
	auto *call = reinterpret_cast<struct peer_call *>(m);
	auto *args = static_cast<apr_feed_args *>(call->args);
	uint64_t wait_ms =
		p->store_answers_ms && args->wait_ms ? p->store_answers_ms : args->wait_ms;

	p->asked.insert((size_t)(call->address[1] - '0'));
	p->queries.push_back({call->reply_to,
			      call->tag,
			      (size_t)(call->address[1] - '0'),
			      {args->known_era, args->known_revision},
			      (bool)args->wants_items,
			      clock_now_ms() + wait_ms,
			      0});
	message_destroy(m);
}

void query_answer(struct fake_peer *p, const fake_peer::query &q)
{
	uint64_t revision = (*p->readers)[q.reader].revision;
	auto *result = static_cast<apr_feed_reply *>(peer_result_create(APR_FEED));
	uint64_t era = (*p->readers)[q.reader].era;
	bool has_items = q.wants_items && !(*p->readers)[q.reader].has_lost_store &&
			 position_is_after({era, (*p->readers)[q.reader].key_revision}, q.known);

	result->is_current = !(*p->readers)[q.reader].has_lost_store;
	result->era = era;
	result->revision = revision;
	result->is_full = has_items && q.known.revision == 0 && !p->has_differences_only;
	result->items.items_val = g_new0(apr_feed_item, 1);
	result->items.items_len = has_items;
	if (has_items) {
		result->items.items_val[0].key = g_strdup("key");
		result->items.items_val[0].revision = revision;
		if ((*p->readers)[q.reader].is_removed) {
			result->items.items_val[0].is_removed = TRUE;
			result->items.items_val[0].age_ms = (u_int)(*p->readers)[q.reader].age_ms;
		} else {
			result->items.items_val[0].value.value_val = g_strdup("value");
			result->items.items_val[0].value.value_len = strlen("value");
		}
		p->changes_sent++;
	}
	kernel_message_send(p->service.kernel, q.reply_to,
			    &peer_reply_create(q.tag, APR_FEED, PEER_STATUS_DONE, result)->message);
}

/* Answers the queries whose time has come; a query without news is held until its wait is over. */
void peer_advance(struct fake_peer *p, uint64_t now_ms)
{
	std::vector<fake_peer::query> open;

	for (auto &q : p->queries) {
		const struct reader &r = (*p->readers)[q.reader];

		if (!q.due_ms && position_is_after({r.era, r.revision}, q.known))
			q.due_ms = now_ms + (q.wants_items ? r.changes_ms : 0);
		if (r.has_lost_store || (q.due_ms && now_ms >= q.due_ms) ||
		    (!q.due_ms && now_ms >= q.until_ms))
			query_answer(p, q);
		else
			open.push_back(q);
	}
	p->queries = open;
}

/* Stands for the service that applies what the relay passes on. */
struct fake_feed {
	struct service service;
	struct position position;
	uint64_t removal_age_ms; /* of the last removal, when it was passed on to the feed */
	bool reads_store;
};

void feed_receive(struct service *s, struct message *m)
{
	auto *f = reinterpret_cast<struct fake_feed *>(s);

	if (m->kind == MESSAGE_STORE_UPDATE) {
		const struct store_answer *answer =
			&reinterpret_cast<struct store_update *>(m)->answer;

		f->position = answer->position;
		for (guint i = 0; i < answer->items->len; i++) {
			auto *item = static_cast<struct store_item *>(
				g_ptr_array_index(answer->items, i));

			if (!item->value)
				f->removal_age_ms = clock_now_ms() - item->read_ms;
		}
	}
	if (m->kind == MESSAGE_STORE_READING)
		f->reads_store = reinterpret_cast<struct store_reading *>(m)->is_wanted;
	message_destroy(m);
}

/* Times in milliseconds of the real clock. */
struct relay_script : script_interpreter {
	struct event_base *base = event_base_new();
	struct kernel *k = kernel_create(base);
	struct fake_peer peer = {};
	struct fake_feed feed = {};
	std::vector<struct reader> readers;
	struct roster *roster = nullptr;

	relay_script()
	{
		static const struct service_ops peer_ops = {"peer", nullptr, peer_receive,
							    [](struct service *) {}};
		static const struct service_ops feed_ops = {"feed", nullptr, feed_receive,
							    [](struct service *) {}};

		peer.service.ops = &peer_ops;
		peer.readers = &readers;
		feed.service.ops = &feed_ops;
		kernel_service_add(k, &peer.service);
		kernel_service_add(k, &feed.service);
		kernel_service_add(k, relay_create(k, "dc"));
		kernel_services_start(k, nullptr);
	}

	~relay_script() override
	{
		kernel_destroy(k);
		event_base_free(base);
		roster_put(roster);
	}

	/* n other VMs of weight 500; the three VMs with the greatest weight are the readers. */
	void roster_send(unsigned int n, unsigned int own_weight)
	{
		roster_put(roster);
		roster = roster_create(n + 1, 1);

		for (unsigned int i = 0; i <= n; i++) {
			struct roster_vm *vm = &roster->vms[i];
			std::string name = "r" + std::to_string(i);

			vm->name = g_strdup(name.c_str());
			vm->dc = g_strdup("dc");
			vm->rpc = g_strdup(name.c_str());
			vm->http = g_strdup("");
			vm->name_hash = rendezvous_name_hash(name.c_str());
			vm->weight = i < n ? 500 : own_weight;
			vm->is_self = i == n;
			vm->is_available = true;
		}
		kernel_message_send(k, kernel_service_find(k, "relay"),
				    &roster_changed_create(roster)->message);
	}

	/* Runs until done() or for at most limit_ms; false in the latter case. */
	bool loop(uint64_t limit_ms, const std::function<bool()> &done)
	{
		struct timeval step = {0, STEP_MS * 1000};
		uint64_t until_ms = clock_now_ms() + limit_ms;

		while (!done()) {
			if (clock_now_ms() >= until_ms)
				return false;
			peer_advance(&peer, clock_now_ms());
			event_base_loopexit(base, &step);
			event_base_dispatch(base);
		}
		return true;
	}

	void readers_lose_store(bool is_lost)
	{
		struct readers chosen = readers_choose(roster);

		for (unsigned int i = 0; i < chosen.n; i++)
			readers.at((size_t)(chosen.vms[i]->rpc[1] - '0')).has_lost_store = is_lost;
	}

	/* removal_age_ms: time since the feed read the removal in the answer; -1: it has none */
	void store_answer_send(struct position position, int64_t removal_age_ms,
			       bool is_listing = false)
	{
		struct store_answer answer = {g_ptr_array_new_with_free_func(store_item_free),
					      false,
					      position,
					      nullptr,
					      0,
					      nullptr};
		struct store_update *update;

		if (removal_age_ms >= 0) {
			struct store_item *item = g_new0(struct store_item, 1);

			item->key = g_strdup("key");
			item->position = position;
			item->read_ms = clock_now_ms() - (uint64_t)removal_age_ms;
			g_ptr_array_add(answer.items, item);
		}
		update = store_update_create(&answer, is_listing);
		update->is_current = true;
		kernel_message_send(k, kernel_service_find(k, "relay"), &update->message);
	}

	/* Sends the query of another VM, whose answer peer.reply gets. */
	void ask_send(struct position known, bool wants_items, uint32_t wait_ms)
	{
		auto *args = static_cast<apr_feed_args *>(peer_args_create(APR_FEED));
		struct peer_call *call = peer_call_create(APR_FEED, "", args, 0);

		args->known_era = known.era;
		args->known_revision = known.revision;
		args->wants_items = wants_items;
		args->wait_ms = wait_ms;
		peer.reply = "";
		call->reply_to = &peer.service;
		kernel_message_send(k, kernel_service_find(k, "relay"), &call->message);
	}

	std::string ask(struct position known)
	{
		ask_send(known, known.revision > 0, 0);
		loop(1000, [&] { return !peer.reply.empty(); });
		return peer.reply;
	}

	static std::string age_check(uint64_t age_ms, const std::vector<std::string> &w)
	{
		if (age_ms >= std::stoull(w[1]) && age_ms <= std::stoull(w[2]))
			return "yes\n";
		return std::to_string(age_ms) + " ms\n";
	}

	std::string run(const std::vector<std::string> &w) override
	{
		if (w[0] == "readers" || w[0] == "vms") {
			/* readers|vms N POSITION: all of the other VMs, or three of them, read the
			 * store */
			struct position position = position_of(w[2]);

			readers.assign(std::stoul(w[1]),
				       {position.revision, 0, w[0] == "vms", position.revision,
					false, 0, position.era});
			roster_send((unsigned int)readers.size(), 120);
			readers_lose_store(false);
		} else if (w[0] == "changes-take") { /* changes-take MS: from any reader */
			for (auto &r : readers)
				r.changes_ms = std::stoull(w[1]);
		} else if (w[0] == "write" || w[0] == "write-nothing") {
			/* write|write-nothing POSITION: with or without a key; all have read it */
			for (auto &r : readers) {
				r.era = position_of(w[1]).era;
				r.revision = position_of(w[1]).revision;
				r.key_revision = w[0] == "write" ? r.revision : r.key_revision;
			}
			peer.changes_sent = 0;
		} else if (w[0] == "remove") {
			/* remove REVISION AGE_MS: all have read the key's removal so long ago */
			for (auto &r : readers) {
				r.revision = r.key_revision = std::stoull(w[1]);
				r.is_removed = true;
				r.age_ms = std::stoull(w[2]);
			}
		} else if (w[0] == "removal-age") { /* removal-age FROM_MS TO_MS: at the feed */
			return age_check(feed.removal_age_ms, w);
		} else if (w[0] == "reply-age") { /* reply-age FROM_MS TO_MS: to another VM */
			return age_check(peer.reply_age_ms, w);
		} else if (w[0] == "known") { /* known POSITION within MS */
			struct position position = position_of(w[1]);

			return loop(std::stoull(w[3]),
				    [&] { return !position_is_after(position, feed.position); })
				       ? "yes\n"
				       : "no\n";
		} else if (w[0] == "answers-at-most") { /* answers-at-most N: with changes */
			return peer.changes_sent <= std::stoul(w[1]) ? "yes\n" : "no\n";
		} else if (w[0] == "store-answers-readers-each") {
			/* store-answers-readers-each MS */
			peer.store_answers_ms = std::stoull(w[1]);
		} else if (w[0] == "differences-only") { /* from any reader */
			peer.has_differences_only = true;
		} else if (w[0] == "readers-lose-store") { /* this VM as well */
			readers_lose_store(true);
		} else if (w[0] == "readers-find-store") { /* again */
			readers_lose_store(false);
		} else if (w[0] == "run") { /* run MS */
			loop(std::stoull(w[1]), [] { return false; });
		} else if (w[0] == "no-vm-reads-store") { /* none of the other VMs */
			for (auto &r : readers)
				r.has_lost_store = true;
		} else if (w[0] == "own-weight") { /* own-weight N: with three other VMs */
			readers.resize(3);
			roster_send(3, (unsigned int)std::stoul(w[1]));
			loop(100, [] { return false; });
		} else if (w[0] == "store-answers") { /* store-answers POSITION: to this VM */
			store_answer_send(position_of(w[1]), -1);
		} else if (w[0] == "store-lists") { /* store-lists POSITION: no key, to this VM */
			store_answer_send(position_of(w[1]), -1, true);
		} else if (w[0] == "store-removes") { /* store-removes POSITION AGE_MS */
			store_answer_send(position_of(w[1]), std::stoll(w[2]));
		} else if (w[0] == "asked") { /* by another VM that knows nothing */
			return ask({});
		} else if (w[0] == "asked-since") { /* asked-since POSITION: for changes */
			return ask(position_of(w[1]));
		} else if (w[0] == "asked-for-later") {
			/* asked-for-later POSITION: for its position, once the store has answered
			 */
			ask_send(position_of(w[1]), false, 2800);
		} else if (w[0] == "replies") { /* replies within MS */
			loop(std::stoull(w[2]), [&] { return !peer.reply.empty(); });
			return peer.reply.empty() ? "no\n" : peer.reply;
		} else if (w[0] == "vms-asked") { /* number of VMs that got a query */
			return std::to_string(peer.asked.size()) + "\n";
		} else if (w[0] == "reads-store") { /* reads-store [within MS] */
			loop(w.size() > 2 ? std::stoull(w[2]) : 0,
			     [&] { return feed.reads_store; });
			return feed.reads_store ? "yes\n" : "no\n";
		} else {
			return "unknown step " + w[0] + "\n";
		}
		return "";
	}
};

bool registered =
	script_register("relay", "relay.test", [] { return std::make_unique<relay_script>(); });
} // namespace
