#include "member.h"

#include "list.h"

#include <string.h>

/* An update is sent up to 3 log2(n) times; that is at most 42 for the largest table. */
#define GOSSIP_ROUNDS_MAX 64
#define RELAY_SLOTS 64 /* pings sent on behalf of others whose answers can be awaited at once */

/*
 * Urgent updates are pushed to 3 random members, 3 times, without waiting for the next ping. About
 * e^-9 of the members then learn of them by heartbeats only. With heartbeats alone the news that a
 * member leaves takes longer than 3 s among 40 members, and a refutation can arrive after the
 * removal.
 *
 * Urgent updates go first in every message: behind the updates of 40 joining members some were
 * delayed by more than 3 s.
 *
 * Pushes are limited to one a second on average, with a burst for a few changes at once. The limit
 * bounds the traffic under heavy packet loss, where the numbers of suspicions and refutations grow
 * with the number of members.
 */
#define PUSH_FANOUT 3
#define PUSH_ROUNDS 3
#define PUSH_INTERVAL_MS 200
#define PUSH_COST_MS 1000
#define PUSH_CREDIT_MAX_MS 12000

/*
 * Proxies are asked twice within a period. When they were asked once, 0.8% of the pings had no
 * answer at 10% independent loss. The number of false suspicions and refutations grows with the
 * number of members; at 800 members they filled every message.
 */
#define PROXY_ROUNDS 2

/* Pings to a rival, another process of this VM's name, before it counts as gone. */
#define RIVAL_PINGS 3
#define RIVAL_INTERVAL_MS 500

/*
 * Uptimes are extrapolated slower than the clock by 1/4096 (244 ppm). The clocks of two VMs drift
 * apart by less, so the result stays a lower bound.
 */
#define UPTIME_DRIFT_SHIFT 12

struct member {
	struct member_entry e; /* uptime_ms as of heard_ms */
	uint64_t heard_ms;
	uint64_t deadline_ms; /* table time: when to remove a suspect or forget a removed member */
	struct list_head timer; /* in own_suspects, reported_suspects or tombstones */
	struct list_head gossip; /* in gossip[!urgent][sent] */
	unsigned int sent; /* messages that carried the present update */
	bool urgent;
	unsigned int index; /* in present or removed */
	unsigned int list_generation; /* of the last platform list that named the member; 0: none */
	bool list_leaving; /* that list named it as leaving */
};

/*
 * Members in random order: each is drawn once per round, with constant work per draw. Those before
 * the cursor were drawn in this round.
 */
struct ping_order {
	GPtrArray *members;
	unsigned int cursor;
};

/* A ping sent for another member, the requester, whose ping was not answered in time. */
struct relay {
	uint64_t nonce;
	uint64_t requester_nonce;
	char requester_rpc[MEMBER_ADDR_MAX];
	char subject[MEMBER_NAME_MAX];
};

struct member_table {
	struct member_transport *transport;
	struct member self;
	uint64_t created_ms;
	uint64_t last_ms; /* caller's time of the last call */
	uint64_t time_ms; /* table time: a gap between calls counts as at most MEMBER_PERIOD_MS */
	uint64_t period_end_ms;
	GHashTable *by_name;
	struct ping_order present;
	struct ping_order removed;
	struct list_head own_suspects; /* suspected by this table's own pings */
	struct list_head reported_suspects; /* suspected by others */
	struct list_head tombstones; /* removed, until they are forgotten */
	struct list_head gossip[2][GOSSIP_ROUNDS_MAX]; /* [0]: urgent; by times sent */
	struct {
		struct member *target;
		uint64_t nonce;
		uint64_t sent_ms;
		unsigned int proxy_rounds; /* times that proxies were asked */
	} probe;
	/* A later process of this VM's name at another address; rpc is "" without one. */
	struct {
		uint64_t generation;
		uint64_t nonce;
		char rpc[MEMBER_ADDR_MAX];
		unsigned int n_pings; /* sent so far */
		uint64_t next_ms; /* table time of the next one */
	} rival;
	struct relay relays[RELAY_SLOTS];
	unsigned int relay_next;
	unsigned int push_rounds; /* pushes still to be made */
	uint64_t push_after_ms;
	uint64_t push_credit_ms; /* a push costs PUSH_COST_MS */
	unsigned int list_generation; /* number of platform lists so far */
	uint64_t version;
	struct member_timing timing;
	bool asked_to_leave;
	bool superseded;
	struct member_stats stats;
};

const char *member_state_name(enum member_state state)
{
	switch (state) {
#define X(symbol, name)       \
	case MEMBER_##symbol: \
		return name;
		MEMBER_STATE_LIST(X)
#undef X
	}
	return "?";
}

static void ping_order_add(struct ping_order *o, struct member *m)
{
	m->index = o->members->len;
	g_ptr_array_add(o->members, m);
}

static void ping_order_put(struct ping_order *o, struct member *m, unsigned int index)
{
	o->members->pdata[index] = m;
	m->index = index;
}

static void ping_order_remove(struct ping_order *o, const struct member *m)
{
	unsigned int hole = m->index;

	if (hole < o->cursor) {
		o->cursor--;
		ping_order_put(o, o->members->pdata[o->cursor], hole);
		hole = o->cursor;
	}
	/* The last position may hold a second copy of the member that was just moved. */
	if (hole != o->members->len - 1)
		ping_order_put(o, o->members->pdata[o->members->len - 1], hole);
	g_ptr_array_set_size(o->members, (int)o->members->len - 1);
}

static struct member *ping_order_at(const struct ping_order *o, unsigned int index)
{
	return o->members->pdata[index];
}

static struct member *ping_order_next(struct ping_order *o, GRand *rand)
{
	unsigned int n = o->members->len, other;
	struct member *m;

	if (n == 0)
		return NULL;
	if (o->cursor >= n)
		o->cursor = 0;
	other = (unsigned int)g_rand_int_range(rand, (int)o->cursor, (int)n);
	m = ping_order_at(o, other);
	ping_order_put(o, ping_order_at(o, o->cursor), other);
	ping_order_put(o, m, o->cursor);
	o->cursor++;
	return m;
}

static uint64_t nonce_create(GRand *rand)
{
	return ((uint64_t)g_rand_int(rand) << 32) | g_rand_int(rand);
}

static struct ping_order *ping_order_for(struct member_table *t, enum member_state state)
{
	return state == MEMBER_REMOVED ? &t->removed : &t->present;
}

static void member_init(struct member *m)
{
	list_init(&m->timer);
	list_init(&m->gossip);
}

static struct member *table_lookup(const struct member_table *t, const char *name)
{
	return g_hash_table_lookup(t->by_name, name);
}

static struct member *table_add(struct member_table *t, const struct member_entry *e)
{
	struct member *m;

	if (g_hash_table_size(t->by_name) >= MEMBER_TABLE_MAX) {
		t->stats.overflows++;
		return NULL;
	}
	m = g_new0(struct member, 1);
	member_init(m);
	g_strlcpy(m->e.name, e->name, sizeof(m->e.name));
	m->e.state = e->state;
	ping_order_add(ping_order_for(t, e->state), m);
	g_hash_table_insert(t->by_name, m->e.name, m);
	return m;
}

static void table_forget(struct member_table *t, struct member *m)
{
	if (t->probe.target == m)
		t->probe.target = NULL;
	ping_order_remove(ping_order_for(t, m->e.state), m);
	list_del(&m->timer);
	list_del(&m->gossip);
	g_hash_table_remove(t->by_name, m->e.name);
	g_free(m);
}

static unsigned int gossip_rounds(const struct member_table *t)
{
	return MIN(3 * g_bit_storage(member_table_count(t)), GOSSIP_ROUNDS_MAX);
}

static void gossip_start(struct member_table *t, struct member *m, bool urgent)
{
	list_del(&m->gossip);
	m->sent = 0;
	m->urgent = urgent;
	list_add_tail(&m->gossip, &t->gossip[!urgent][0]);
	if (urgent)
		t->push_rounds = PUSH_ROUNDS;
}

static uint64_t uptime_now(const struct member *m, uint64_t now_ms)
{
	uint64_t elapsed = now_ms > m->heard_ms ? now_ms - m->heard_ms : 0;

	return m->e.uptime_ms + elapsed - (elapsed >> UPTIME_DRIFT_SHIFT);
}

static void member_copy(const struct member *m, uint64_t now_ms, struct member_entry *out)
{
	*out = m->e;
	out->uptime_ms = uptime_now(m, now_ms);
}

static void self_copy(const struct member_table *t, uint64_t now_ms, struct member_entry *out)
{
	*out = t->self.e;
	out->uptime_ms = now_ms > t->created_ms ? now_ms - t->created_ms : 0;
}

static bool incarnation_is_later(const struct member_entry *a, const struct member_entry *b)
{
	if (a->incarnation == 0 || b->incarnation == 0)
		return a->incarnation != 0;
	if (a->generation != b->generation)
		return a->generation > b->generation;
	return a->incarnation > b->incarnation;
}

static bool entry_is_newer(const struct member_entry *a, const struct member_entry *b)
{
	if (a->incarnation != b->incarnation)
		return incarnation_is_later(a, b);
	if (a->sequence != b->sequence)
		return a->sequence > b->sequence;
	return a->state > b->state;
}

/* A member can serve from its first configuration on, so that counts as a change of the table. */
static void config_version_update(struct member_table *t, struct member_entry *e, uint64_t version)
{
	if (e->config_version == 0 && version > 0)
		t->version++;
	e->config_version = version;
}

/* Copies e into m, moves m to the timer list and ping order of its state, and reports a change. */
static void member_update(struct member_table *t, struct member *m, const struct member_entry *e,
			  uint64_t now_ms)
{
	bool state_changed = m->e.state != e->state;
	bool is_same = m->e.incarnation == e->incarnation;
	uint32_t weight_most = is_same ? MAX(m->e.weight_most, e->weight) : e->weight;
	bool weight_changed = m->e.weight != e->weight;
	bool changed = state_changed || !is_same || strcmp(m->e.dc, e->dc) != 0 ||
		       strcmp(m->e.http, e->http) != 0 || strcmp(m->e.rpc, e->rpc) != 0;

	if (ping_order_for(t, m->e.state) != ping_order_for(t, e->state)) {
		ping_order_remove(ping_order_for(t, m->e.state), m);
		ping_order_add(ping_order_for(t, e->state), m);
	}
	config_version_update(t, &m->e, e->config_version);
	m->e = *e;
	m->e.weight_most = weight_most;
	m->heard_ms = now_ms;
	if (state_changed || e->state == MEMBER_SUSPECT)
		list_del(&m->timer);
	if (e->state == MEMBER_SUSPECT) {
		m->deadline_ms = t->time_ms + MEMBER_REPORTED_SUSPICION_MS;
		list_add_tail(&m->timer, &t->reported_suspects);
	} else if (e->state == MEMBER_REMOVED && list_is_empty(&m->timer)) {
		m->deadline_ms = t->time_ms + MEMBER_FORGET_MS;
		list_add_tail(&m->timer, &t->tombstones);
	}
	if (changed || weight_changed)
		t->version++;
	if (changed)
		t->transport->ops->changed(t->transport, &m->e);
}

/* Sets a state that this table decided on; the incarnation and sequence number stay the same. */
static void member_set_state(struct member_table *t, struct member *m, enum member_state state,
			     uint64_t now_ms)
{
	struct member_entry e;

	member_copy(m, now_ms, &e);
	e.state = state;
	member_update(t, m, &e, now_ms);
	if (e.incarnation != 0)
		gossip_start(t, m, state != MEMBER_SUSPECT);
}

/*
 * Puts this process above a process of its name that is gone. A superseded process keeps its place:
 * if it rose above its successor while it still answers, that one would stop as well.
 */
static void generation_raise(struct member_table *t, uint64_t gone_generation)
{
	t->rival.rpc[0] = '\0';
	if (t->superseded || gone_generation < t->self.e.generation ||
	    gone_generation >= MEMBER_GENERATION_MAX)
		return;
	t->self.e.generation = gone_generation + 1;
	t->push_rounds = PUSH_ROUNDS;
}

/*
 * Takes an entry about another process of this VM's name. A message that names a process at this
 * address has just reached this process there, so that one is gone.
 */
static void rival_merge(struct member_table *t, const struct member_entry *e)
{
	if (e->incarnation == 0 || !incarnation_is_later(e, &t->self.e))
		return;
	if (e->state == MEMBER_REMOVED || strcmp(e->rpc, t->self.e.rpc) == 0) {
		generation_raise(t, e->generation);
		return;
	}
	if (t->rival.rpc[0] != '\0' && e->generation <= t->rival.generation)
		return;
	t->rival.generation = e->generation;
	t->rival.nonce = 0;
	g_strlcpy(t->rival.rpc, e->rpc, sizeof(t->rival.rpc));
	t->rival.n_pings = 0;
	t->rival.next_ms = t->time_ms;
}

/*
 * Takes an entry about this process. If its state comes after this process's state in
 * MEMBER_STATE_LIST, a higher sequence number overrides the entry; LEAVING is also noted as a
 * request to leave.
 */
static void self_merge(struct member_table *t, const struct member_entry *e)
{
	struct member_entry *self = &t->self.e;

	if (e->incarnation != self->incarnation) {
		rival_merge(t, e);
		return;
	}
	if (e->sequence < self->sequence || e->sequence == UINT32_MAX || e->state <= self->state)
		return;
	if (e->state == MEMBER_LEAVING)
		t->asked_to_leave = true;
	else
		t->stats.refuted++;
	self->sequence = e->sequence + 1;
	t->push_rounds = PUSH_ROUNDS;
}

/* Takes an entry of another VM or of a platform list. pass_on: send it to further members. */
static void table_merge_entry(struct member_table *t, const struct member_entry *received,
			      bool pass_on, uint64_t now_ms)
{
	struct member_entry e = *received;
	struct member *m;
	uint64_t uptime_ms;
	bool refuted;

	e.name[MEMBER_NAME_MAX - 1] = '\0';
	e.dc[MEMBER_DC_MAX - 1] = '\0';
	e.http[MEMBER_ADDR_MAX - 1] = '\0';
	e.rpc[MEMBER_ADDR_MAX - 1] = '\0';
	if (e.name[0] == '\0' || (unsigned int)e.state > MEMBER_REMOVED)
		return;
	if (strcmp(e.name, t->self.e.name) == 0) {
		self_merge(t, &e);
		return;
	}
	m = table_lookup(t, e.name);
	if (!m) {
		if (e.incarnation == 0 && e.state == MEMBER_REMOVED)
			return;
		m = table_add(t, &e);
		if (!m)
			return;
	} else if (m->e.incarnation == e.incarnation) {
		uptime_ms = uptime_now(m, now_ms);
		e.uptime_ms = MAX(e.uptime_ms, uptime_ms);
		e.generation = MAX(e.generation, m->e.generation);
		e.config_version = MAX(e.config_version, m->e.config_version);
		if (!entry_is_newer(&e, &m->e)) {
			m->e.uptime_ms = e.uptime_ms;
			m->e.generation = e.generation;
			m->heard_ms = now_ms;
			config_version_update(t, &m->e, e.config_version);
			return;
		}
	} else if (!entry_is_newer(&e, &m->e)) {
		return;
	}
	refuted = m->e.state >= MEMBER_SUSPECT && e.state < MEMBER_SUSPECT;
	member_update(t, m, &e, now_ms);
	if (!pass_on || e.incarnation == 0)
		return;
	gossip_start(t, m, refuted || e.state == MEMBER_LEAVING || e.state == MEMBER_REMOVED);
}

/*
 * Adds urgent updates, then others, of each kind those sent least often first. Each counts as sent
 * once more.
 */
static void message_add_updates(struct member_table *t, struct member_message *msg, uint64_t now_ms)
{
	struct member *picked[MEMBER_UPDATES_MAX];
	unsigned int rounds = gossip_rounds(t), n = 0;
	struct list_head *node;

	for (unsigned int i = 0; i < 2 * GOSSIP_ROUNDS_MAX; i++) {
		struct list_head *queue = &t->gossip[i / GOSSIP_ROUNDS_MAX][i % GOSSIP_ROUNDS_MAX];

		while (msg->update_count < MEMBER_UPDATES_MAX &&
		       (node = list_pop_head(queue)) != NULL) {
			struct member *m = list_entry(node, struct member, gossip);

			member_copy(m, now_ms, &msg->updates[msg->update_count++]);
			picked[n++] = m;
		}
	}
	for (unsigned int i = 0; i < n; i++)
		if (++picked[i]->sent < rounds)
			list_add_tail(&picked[i]->gossip,
				      &t->gossip[!picked[i]->urgent][picked[i]->sent]);
}

/*
 * about: NULL, or a member whose entry is included even if its gossip has ended, unless its
 * incarnation is unknown.
 */
static void message_send(struct member_table *t, const char *rpc, enum member_kind kind,
			 uint64_t nonce, const char *subject, const char *subject_rpc,
			 const struct member *about, uint64_t now_ms)
{
	struct member_message msg;

	msg.kind = kind;
	msg.nonce = nonce;
	self_copy(t, now_ms, &msg.sender);
	g_strlcpy(msg.subject, subject, sizeof(msg.subject));
	g_strlcpy(msg.subject_rpc, subject_rpc, sizeof(msg.subject_rpc));
	msg.update_count = 0;
	if (about && about->e.incarnation != 0)
		member_copy(about, now_ms, &msg.updates[msg.update_count++]);
	message_add_updates(t, &msg, now_ms);
	t->transport->ops->send(t->transport, rpc, &msg);
}

/* Pings a member. A suspect or removed one is told its state, as only the member can refute it. */
static void member_ping(struct member_table *t, const struct member *m, uint64_t nonce,
			uint64_t now_ms)
{
	message_send(t, m->e.rpc, MEMBER_PING, nonce, m->e.name, "",
		     m->e.state >= MEMBER_SUSPECT ? m : NULL, now_ms);
}

/*
 * After a pause of this process, deadlines that passed meanwhile say nothing about other members,
 * because the messages that arrived during the pause are not read yet. Therefore the table's own
 * time advances by at most MEMBER_PERIOD_MS, and the open ping is dropped.
 */
static void time_advance(struct member_table *t, uint64_t now_ms)
{
	uint64_t gap = now_ms > t->last_ms ? now_ms - t->last_ms : 0;

	if (gap > MEMBER_PERIOD_MS) {
		t->stats.pauses++;
		t->probe.target = NULL;
		gap = MEMBER_PERIOD_MS;
	}
	t->time_ms += gap;
	t->push_credit_ms = MIN(t->push_credit_ms + gap, PUSH_CREDIT_MAX_MS);
	t->last_ms = MAX(t->last_ms, now_ms);
}

static void suspects_expire(struct member_table *t, struct list_head *suspects, uint64_t now_ms,
			    GRand *rand)
{
	while (!list_is_empty(suspects)) {
		struct member *m = list_entry(suspects->next, struct member, timer);

		if (m->deadline_ms > t->time_ms)
			return;
		member_set_state(t, m, MEMBER_REMOVED, now_ms);
		member_ping(t, m, nonce_create(rand), now_ms);
	}
}

static void tombstones_expire(struct member_table *t)
{
	struct list_head *node, *next;

	list_for_each_safe (node, next, &t->tombstones) {
		struct member *m = list_entry(node, struct member, timer);

		if (m->deadline_ms > t->time_ms)
			return;
		if (t->list_generation > 0 && m->list_generation == t->list_generation) {
			list_del(&m->timer);
			m->deadline_ms = t->time_ms + MEMBER_FORGET_MS;
			list_add_tail(&m->timer, &t->tombstones);
		} else {
			table_forget(t, m);
		}
	}
}

static void probe_ask_proxies(struct member_table *t, uint64_t now_ms, GRand *rand)
{
	const struct member *target = t->probe.target;
	const struct member *asked[MEMBER_PROXIES] = {NULL};
	unsigned int n = 0;

	t->probe.proxy_rounds++;
	/* The last other member can be removed while its answer is awaited. */
	if (t->present.members->len == 0)
		return;
	/* At most 4 draws per proxy bound the work when most members are suspect. */
	for (int i = 0; i < 4 * MEMBER_PROXIES && n < MEMBER_PROXIES; i++) {
		struct member *m = ping_order_at(
			&t->present,
			(unsigned int)g_rand_int_range(rand, 0, (int)t->present.members->len));
		bool usable = m != target && m->e.state < MEMBER_SUSPECT;

		for (unsigned int j = 0; j < n; j++)
			usable = usable && asked[j] != m;
		if (!usable)
			continue;
		asked[n++] = m;
		message_send(t, m->e.rpc, MEMBER_PING_REQ, t->probe.nonce, target->e.name,
			     target->e.rpc, NULL, now_ms);
	}
}

static void period_start(struct member_table *t, uint64_t now_ms, GRand *rand)
{
	struct member *m;

	if (t->probe.target && t->probe.target->e.state < MEMBER_SUSPECT) {
		m = t->probe.target;
		t->stats.suspected++;
		member_set_state(t, m, MEMBER_SUSPECT, now_ms);
		list_del(&m->timer);
		m->deadline_ms = t->time_ms + MEMBER_SUSPICION_MS;
		list_add_tail(&m->timer, &t->own_suspects);
	}
	t->probe.target = NULL;
	/*
	 * In each period the first of own_suspects is told again that it is suspected, because an
	 * earlier message may be lost.
	 */
	if (!list_is_empty(&t->own_suspects))
		member_ping(t, list_entry(t->own_suspects.next, struct member, timer),
			    nonce_create(rand), now_ms);
	m = ping_order_next(&t->present, rand);
	if (m) {
		t->probe.target = m;
		t->probe.nonce = nonce_create(rand);
		t->probe.sent_ms = t->time_ms;
		t->probe.proxy_rounds = 0;
		member_ping(t, m, t->probe.nonce, now_ms);
	}
	/*
	 * Removed members are pinged too, so that a partition heals. The probability is such that
	 * all tables together ping a removed member as often as a present one; a process that knows
	 * no present member pings one removed member each period.
	 */
	if (t->removed.members->len > 0 &&
	    g_rand_double(rand) * member_table_count(t) < t->removed.members->len)
		member_ping(t, ping_order_next(&t->removed, rand), nonce_create(rand), now_ms);
}

/* Asks the rival whether it lives; without an answer it counts as gone. */
static void rival_ping(struct member_table *t, uint64_t now_ms, GRand *rand)
{
	if (t->rival.rpc[0] == '\0' || t->time_ms < t->rival.next_ms)
		return;
	if (t->rival.n_pings == RIVAL_PINGS) {
		generation_raise(t, t->rival.generation);
		return;
	}
	if (t->rival.n_pings++ == 0)
		t->rival.nonce = nonce_create(rand);
	t->rival.next_ms = t->time_ms + RIVAL_INTERVAL_MS;
	message_send(t, t->rival.rpc, MEMBER_PING, t->rival.nonce, t->self.e.name, "", NULL,
		     now_ms);
}

/* The answer to rival_ping: of the rival itself or of another VM at its address. */
static void rival_answered(struct member_table *t, const struct member_message *msg)
{
	const struct member_entry *sender = &msg->sender;

	if (strcmp(sender->name, t->self.e.name) == 0 &&
	    sender->incarnation != t->self.e.incarnation) {
		t->superseded = t->superseded || incarnation_is_later(sender, &t->self.e);
		t->rival.rpc[0] = '\0';
		return;
	}
	generation_raise(t, t->rival.generation);
}

static void push_urgent(struct member_table *t, uint64_t now_ms, GRand *rand)
{
	unsigned int n = t->present.members->len;

	t->push_rounds--;
	t->push_after_ms = t->time_ms + PUSH_INTERVAL_MS;
	t->push_credit_ms -= PUSH_COST_MS;
	for (unsigned int i = 0; i < MIN(n, PUSH_FANOUT); i++)
		member_ping(
			t,
			ping_order_at(&t->present, (unsigned int)g_rand_int_range(rand, 0, (int)n)),
			nonce_create(rand), now_ms);
}

void member_table_set_timing(struct member_table *t, const struct member_timing *timing)
{
	t->timing = *timing;
}

void member_table_tick(struct member_table *t, uint64_t now_ms, GRand *rand)
{
	time_advance(t, now_ms);
	rival_ping(t, now_ms, rand);
	suspects_expire(t, &t->own_suspects, now_ms, rand);
	suspects_expire(t, &t->reported_suspects, now_ms, rand);
	tombstones_expire(t);
	/*
	 * The first period has a random length, so that VMs started together ping at different
	 * times.
	 */
	if (t->period_end_ms == 0)
		t->period_end_ms = t->time_ms +
				   (uint64_t)g_rand_int_range(rand, 1, (gint32)t->timing.period_ms);
	if (t->time_ms >= t->period_end_ms) {
		t->period_end_ms = t->time_ms + t->timing.period_ms;
		period_start(t, now_ms, rand);
	} else if (t->probe.target && t->probe.proxy_rounds < PROXY_ROUNDS &&
		   t->time_ms >= t->probe.sent_ms + t->timing.indirect_ms *
							    (uint64_t)(t->probe.proxy_rounds + 1)) {
		probe_ask_proxies(t, now_ms, rand);
	}
	if (t->push_rounds > 0 && t->time_ms >= t->push_after_ms &&
	    t->push_credit_ms >= PUSH_COST_MS)
		push_urgent(t, now_ms, rand);
}

static void relay_ping(struct member_table *t, const struct member_message *msg, uint64_t now_ms,
		       GRand *rand)
{
	struct relay *r = &t->relays[t->relay_next % RELAY_SLOTS];
	const struct member *m = table_lookup(t, msg->subject);

	r->nonce = nonce_create(rand) / RELAY_SLOTS * RELAY_SLOTS + t->relay_next % RELAY_SLOTS;
	r->requester_nonce = msg->nonce;
	g_strlcpy(r->requester_rpc, msg->sender.rpc, sizeof(r->requester_rpc));
	g_strlcpy(r->subject, msg->subject, sizeof(r->subject));
	t->relay_next++;
	message_send(t, msg->subject_rpc, MEMBER_PING, r->nonce, msg->subject, "",
		     m && m->e.state >= MEMBER_SUSPECT ? m : NULL, now_ms);
}

static void ack_receive(struct member_table *t, const struct member_message *msg, uint64_t now_ms)
{
	struct relay *r = &t->relays[msg->nonce % RELAY_SLOTS];

	if (t->rival.rpc[0] != '\0' && t->rival.n_pings > 0 && msg->nonce == t->rival.nonce) {
		rival_answered(t, msg);
		return;
	}
	/* The name is compared too, because another VM may have taken over the address. */
	if (t->probe.target && msg->nonce == t->probe.nonce &&
	    strcmp(msg->subject, t->probe.target->e.name) == 0) {
		t->probe.target = NULL;
	} else if (r->nonce != 0 && r->nonce == msg->nonce &&
		   strcmp(msg->subject, r->subject) == 0) {
		r->nonce = 0;
		message_send(t, r->requester_rpc, MEMBER_ACK, r->requester_nonce, r->subject, "",
			     table_lookup(t, r->subject), now_ms);
	}
}

void member_table_receive(struct member_table *t, const struct member_message *message,
			  uint64_t now_ms, GRand *rand)
{
	const struct member *sender;

	time_advance(t, now_ms);
	table_merge_entry(t, &message->sender, true, now_ms);
	for (unsigned int i = 0; i < MIN(message->update_count, MEMBER_UPDATES_MAX); i++)
		table_merge_entry(t, &message->updates[i], true, now_ms);
	sender = table_lookup(t, message->sender.name);
	switch (message->kind) {
	case MEMBER_PING:
		if (sender && !entry_is_newer(&sender->e, &message->sender))
			sender = NULL;
		message_send(t, message->sender.rpc, MEMBER_ACK, message->nonce, t->self.e.name, "",
			     sender, now_ms);
		break;
	case MEMBER_PING_REQ:
		relay_ping(t, message, now_ms, rand);
		break;
	case MEMBER_ACK:
		ack_receive(t, message, now_ms);
		break;
	}
}

struct member_table *member_table_create(const struct member_entry *self,
					 struct member_transport *transport, uint64_t now_ms)
{
	struct member_table *t = g_new0(struct member_table, 1);

	t->transport = transport;
	t->timing = (struct member_timing){MEMBER_PERIOD_MS, MEMBER_INDIRECT_MS};
	t->self.e = *self;
	t->self.e.state = MEMBER_LIVE;
	t->self.e.weight_most = self->weight;
	member_init(&t->self);
	t->created_ms = now_ms;
	t->last_ms = now_ms;
	t->push_credit_ms = PUSH_CREDIT_MAX_MS;
	t->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	t->present.members = g_ptr_array_new();
	t->removed.members = g_ptr_array_new();
	list_init(&t->own_suspects);
	list_init(&t->reported_suspects);
	list_init(&t->tombstones);
	for (int i = 0; i < GOSSIP_ROUNDS_MAX; i++) {
		list_init(&t->gossip[0][i]);
		list_init(&t->gossip[1][i]);
	}
	return t;
}

void member_table_destroy(struct member_table *t)
{
	if (!t)
		return;
	g_ptr_array_set_free_func(t->present.members, g_free);
	g_ptr_array_set_free_func(t->removed.members, g_free);
	g_hash_table_destroy(t->by_name);
	g_ptr_array_free(t->present.members, TRUE);
	g_ptr_array_free(t->removed.members, TRUE);
	g_free(t);
}

static void table_seed_one(struct member_table *t, const struct member_entry *listed,
			   uint64_t now_ms)
{
	bool leaving = listed->state == MEMBER_LEAVING;
	struct member *m = strcmp(listed->name, t->self.e.name) == 0
				   ? &t->self
				   : table_lookup(t, listed->name);
	bool turned_leaving;

	if (!m) {
		struct member_entry e = *listed;

		e.incarnation = 0;
		e.sequence = 0;
		table_merge_entry(t, &e, false, now_ms);
		m = table_lookup(t, listed->name);
		if (!m)
			return;
		m->list_leaving = leaving;
	}
	turned_leaving = leaving && !m->list_leaving && m->list_generation != 0;
	m->list_leaving = leaving;
	m->list_generation = t->list_generation;
	if (m == &t->self)
		t->asked_to_leave = t->asked_to_leave || turned_leaving;
	else if (m->e.incarnation == 0 && m->e.state <= MEMBER_LEAVING &&
		 m->e.state != listed->state)
		member_set_state(t, m, listed->state, now_ms);
	else if (turned_leaving && m->e.state == MEMBER_LIVE)
		member_set_state(t, m, MEMBER_LEAVING, now_ms);
}

void member_table_seed(struct member_table *t, const struct member_entry *list, unsigned int n,
		       uint64_t now_ms)
{
	t->list_generation++;
	for (unsigned int i = 0; i < n; i++)
		if (list[i].state <= MEMBER_LEAVING)
			table_seed_one(t, &list[i], now_ms);
}

void member_table_leave(struct member_table *t)
{
	if (t->self.e.state == MEMBER_LEAVING)
		return;
	t->self.e.state = MEMBER_LEAVING;
	t->self.e.sequence++;
	t->version++;
	t->push_rounds = PUSH_ROUNDS;
}

bool member_table_is_asked_to_leave(const struct member_table *t)
{
	return t->asked_to_leave;
}

bool member_table_is_superseded(const struct member_table *t)
{
	return t->superseded;
}

void member_table_set_config_version(struct member_table *t, uint64_t version)
{
	config_version_update(t, &t->self.e, version);
}

/* The sequence number makes other tables take the entry in place of one with the old weight. */
void member_table_set_weight(struct member_table *t, uint32_t weight)
{
	struct member_entry *self = &t->self.e;

	if (weight == self->weight || self->sequence == UINT32_MAX)
		return;
	self->weight = weight;
	self->weight_most = MAX(self->weight_most, weight);
	self->sequence++;
	t->version++;
	t->push_rounds = PUSH_ROUNDS;
}

void member_table_foreach(struct member_table *t, uint64_t now_ms,
			  void (*visit)(const struct member_entry *entry, void *data), void *data)
{
	struct member_entry e;

	self_copy(t, now_ms, &e);
	visit(&e, data);
	for (unsigned int i = 0; i < t->present.members->len; i++) {
		member_copy(ping_order_at(&t->present, i), now_ms, &e);
		visit(&e, data);
	}
}

bool member_table_find(struct member_table *t, const char *name, uint64_t now_ms,
		       struct member_entry *entry)
{
	const struct member *m;

	if (strcmp(name, t->self.e.name) == 0) {
		self_copy(t, now_ms, entry);
		return true;
	}
	m = table_lookup(t, name);
	if (!m)
		return false;
	member_copy(m, now_ms, entry);
	return true;
}

unsigned int member_table_count(const struct member_table *t)
{
	return t->present.members->len + 1;
}

uint64_t member_table_version(const struct member_table *t)
{
	return t->version;
}

static void snapshot_add(const struct member_entry *entry, void *data)
{
	g_array_append_vals(data, entry, 1);
}

struct member_entry *member_table_snapshot(struct member_table *t, uint64_t now_ms, unsigned int *n)
{
	GArray *list =
		g_array_sized_new(FALSE, FALSE, sizeof(struct member_entry), member_table_count(t));

	member_table_foreach(t, now_ms, snapshot_add, list);
	*n = list->len;
	return (struct member_entry *)g_array_free(list, FALSE);
}

void member_table_merge(struct member_table *t, const struct member_entry *list, unsigned int n,
			uint64_t now_ms)
{
	for (unsigned int i = 0; i < n; i++)
		table_merge_entry(t, &list[i], false, now_ms);
}

const struct member_stats *member_table_stats(const struct member_table *t)
{
	return &t->stats;
}

size_t member_table_bytes(const struct member_table *t)
{
	/* A hash slot has 2 pointers and a hash; GLib keeps the table at most 3/4 full. */
	size_t per_member = sizeof(struct member) + 3 * sizeof(void *) * 4 / 3 + sizeof(void *);

	return sizeof(*t) + g_hash_table_size(t->by_name) * per_member;
}
