/*
 * Membership of VMs by a SWIM-style gossip protocol. The table is a state machine without sockets
 * and clocks: the caller passes the time and random numbers, delivers received messages with
 * member_table_receive, and sends the messages that the table hands to the transport.
 */
#ifndef APRICOT_MEMBER_H
#define APRICOT_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

#define MEMBER_NAME_MAX 64 /* sizes of strings include the terminating NUL */
#define MEMBER_DC_MAX 32
#define MEMBER_ADDR_MAX 48
#define MEMBER_UPDATES_MAX 12

/* Twice the largest number of VMs of the design; further entries are ignored and counted. */
#define MEMBER_TABLE_MAX 13200

#define MEMBER_PERIOD_MS 1000 /* each period one member is pinged */
#define MEMBER_INDIRECT_MS 300 /* wait for an answer before proxies are asked to ping */
#define MEMBER_SUSPICION_MS 3000 /* from a suspicion of this table to the removal */
/*
 * From a suspicion that another member reported to the removal. This is longer than the above
 * because the member that raised the suspicion sees the refutation first: with 3 s for both, a
 * table removed a live member in 1 of 30 runs of 60 s with 40 members and 10% loss.
 */
#define MEMBER_REPORTED_SUSPICION_MS 4500
#define MEMBER_FORGET_MS 600000 /* how long a removed member is remembered */
#define MEMBER_PROXIES 3 /* members asked to ping one that did not answer */
#define MEMBER_GENERATION_MAX (UINT64_MAX / 2)

/*
 * X(symbol, name). Of two entries with the same incarnation and sequence number the one whose state
 * comes later in this list wins.
 */
#define MEMBER_STATE_LIST(X)  \
	X(LIVE, "live")       \
	X(LEAVING, "leaving") \
	X(SUSPECT, "suspect") \
	X(REMOVED, "removed")

enum member_state {
#define X(symbol, name) MEMBER_##symbol,
	MEMBER_STATE_LIST(X)
#undef X
};

struct member_entry {
	char name[MEMBER_NAME_MAX];
	char dc[MEMBER_DC_MAX];
	char http[MEMBER_ADDR_MAX];
	char rpc[MEMBER_ADDR_MAX];
	uint64_t incarnation; /* 0: known only from the platform's list */
	uint64_t generation; /* orders the processes of a name; at most MEMBER_GENERATION_MAX */
	uint32_t sequence; /* incremented only by the member itself */
	enum member_state state;
	uint64_t config_version;
	uint32_t weight; /* processor share for callers, thousandths of a core; 0: unknown */
	/* The greatest weight of this process that the table has heard of; not sent. */
	uint32_t weight_most;
	uint64_t uptime_ms; /* lower bound at the time when the table returns or sends the entry */
};

enum member_kind { MEMBER_PING, MEMBER_ACK, MEMBER_PING_REQ };

struct member_message {
	enum member_kind kind;
	uint64_t nonce; /* an ACK carries the nonce of the PING or PING_REQ it answers */
	struct member_entry sender;
	char subject[MEMBER_NAME_MAX]; /* PING, PING_REQ: VM to be checked; ACK: VM that answered */
	char subject_rpc[MEMBER_ADDR_MAX]; /* PING_REQ: where to ping it */
	unsigned int update_count;
	struct member_entry updates[MEMBER_UPDATES_MAX];
};

struct member_transport;

struct member_transport_ops {
	/* The message is valid during the call only. Must not call back into the table. */
	void (*send)(struct member_transport *transport, const char *rpc,
		     const struct member_message *message);
	/*
	 * The state, incarnation, data centre or an address of another member changed. The entry is
	 * valid during the call only. Must not call back into the table.
	 */
	void (*changed)(struct member_transport *transport, const struct member_entry *entry);
};

struct member_transport {
	const struct member_transport_ops *ops;
};

struct member_stats {
	uint64_t suspected; /* suspicions raised by this table's own pings */
	uint64_t refuted; /* times this process refuted that it is suspect or removed */
	uint64_t overflows; /* entries ignored because the table is full */
	uint64_t pauses; /* gaps between calls longer than MEMBER_PERIOD_MS */
};

struct member_table;

/* How often a random member is pinged, and how long its answer is awaited before proxies help. */
struct member_timing {
	unsigned int period_ms;
	unsigned int indirect_ms; /* at most a third of the period */
};

/*
 * self: copied; needs name, dc, addresses and a non-zero incarnation. The caller keeps ownership of
 * the transport, which must outlive the table. Destroy accepts NULL.
 *
 * Processes of one name are ordered by generation, then by incarnation. No clock is used, since a
 * VM stores nothing and clocks step. A process starts with the generation of self and takes one
 * above that of any later process of its name of which it hears, once that process is known to be
 * gone: it was removed, had this process's address, or does not answer at its own.
 */
struct member_table *member_table_create(const struct member_entry *self,
					 struct member_transport *transport, uint64_t now_ms);
void member_table_destroy(struct member_table *t);

/* Replaces the defaults MEMBER_PERIOD_MS and MEMBER_INDIRECT_MS. The struct is copied. */
void member_table_set_timing(struct member_table *t, const struct member_timing *timing);

/* Call about every 100 ms. Work per call does not depend on the number of members. */
void member_table_tick(struct member_table *t, uint64_t now_ms, GRand *rand);
/*
 * Handles a message of another member. Its strings must be terminated; no other content is trusted.
 */
void member_table_receive(struct member_table *t, const struct member_message *message,
			  uint64_t now_ms, GRand *rand);

/*
 * Takes a list of VMs from the platform (name, dc, http, rpc, state LIVE or LEAVING). Unknown VMs
 * are added with incarnation 0. A VM that changes from live to leaving between two lists is marked
 * as leaving in the incarnation known at that time; a later statement of the member itself
 * overrides the mark. VMs of the last list are never forgotten, so that a partition heals however
 * long it lasted.
 */
void member_table_seed(struct member_table *t, const struct member_entry *list, unsigned int n,
		       uint64_t now_ms);

/* Announces the planned stop of this process. */
void member_table_leave(struct member_table *t);

/*
 * True when the platform's list or a peer named this incarnation as leaving, whether or not this
 * process announced it.
 */
bool member_table_is_asked_to_leave(const struct member_table *t);

/* True when a later process with this VM's name has answered: this process must stop. */
bool member_table_is_superseded(const struct member_table *t);

void member_table_set_config_version(struct member_table *t, uint64_t version);
/* Changes this process's weight. Like an announcement it is told to the others at once. */
void member_table_set_weight(struct member_table *t, uint32_t weight);

/* Visits every entry except removed ones, this process first. */
void member_table_foreach(struct member_table *t, uint64_t now_ms,
			  void (*visit)(const struct member_entry *entry, void *data), void *data);

/* Copies the entry of a name, also a removed one; false if it is unknown. */
bool member_table_find(struct member_table *t, const char *name, uint64_t now_ms,
		       struct member_entry *entry);

/* Members that are not removed, including this process. */
unsigned int member_table_count(const struct member_table *t);

/*
 * Increases with each change of a member's state, incarnation, data centre, address or weight, and
 * with the first configuration of a member.
 */
uint64_t member_table_version(const struct member_table *t);

/* Every entry except removed ones, for a joining VM; the caller frees the array with g_free. */
struct member_entry *member_table_snapshot(struct member_table *t, uint64_t now_ms,
					   unsigned int *n);
/* Takes the snapshot of another VM's table. */
void member_table_merge(struct member_table *t, const struct member_entry *list, unsigned int n,
			uint64_t now_ms);

const struct member_stats *member_table_stats(const struct member_table *t);

/* Approximate heap size in bytes. */
size_t member_table_bytes(const struct member_table *t);

const char *member_state_name(enum member_state state);

G_END_DECLS

#endif
