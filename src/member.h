/*
 * SWIM-style membership: state machine without sockets and clocks. The caller passes the time and
 * random numbers, delivers messages with member_table_receive and sends what the transport is
 * given.
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

/* Twice the design size; entries beyond it are ignored and counted. */
#define MEMBER_TABLE_MAX 13200

#define MEMBER_PERIOD_MS 1000
#define MEMBER_INDIRECT_MS 300
#define MEMBER_SUSPICION_MS 3000
/*
 * Suspicions heard from others last longer, since the accuser sees a refutation first: with 3 s for
 * both, a table removed a live member in 1 of 30 runs of 60 s with 40 members and 10% loss.
 */
#define MEMBER_HEARSAY_MS 4500
#define MEMBER_FORGET_MS 600000
#define MEMBER_PROXIES 3

/* X(symbol, name), weakest first: for equal sequence numbers the later state wins. */
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
	uint64_t started_ms; /* platform time; orders the incarnations of a name */
	uint32_t sequence; /* incremented only by the member itself */
	enum member_state state;
	uint64_t config_version;
	uint32_t weight; /* processor share, thousandths of a core; 0: not said */
	uint64_t uptime_ms; /* in what the table hands out: a lower bound of the uptime now */
};

enum member_kind { MEMBER_PING, MEMBER_ACK, MEMBER_PING_REQ };

struct member_message {
	enum member_kind kind;
	uint64_t nonce; /* an ACK repeats the nonce of its PING or PING_REQ */
	struct member_entry sender;
	char subject[MEMBER_NAME_MAX]; /* PING, PING_REQ: VM to be checked; ACK: VM that answered */
	char subject_rpc[MEMBER_ADDR_MAX]; /* PING_REQ: where to ping it */
	unsigned int update_count;
	struct member_entry updates[MEMBER_UPDATES_MAX];
};

struct member_transport;

struct member_transport_ops {
	/* The message is valid during the call. Must not call back into the table. */
	void (*send)(struct member_transport *transport, const char *rpc,
		     const struct member_message *message);
	/* State, incarnation or address of another member changed. The same restriction. */
	void (*changed)(struct member_transport *transport, const struct member_entry *entry);
};

struct member_transport {
	const struct member_transport_ops *ops;
};

struct member_stats {
	uint64_t suspected; /* suspicions raised by this table's own pings */
	uint64_t refuted; /* times this process denied its own suspicion or removal */
	uint64_t overflows; /* entries ignored because the table is full */
	uint64_t pauses; /* gaps between calls longer than the period */
};

struct member_table;

/* How often one random member is pinged, and how long its answer is waited for. */
struct member_pace {
	unsigned int period_ms;
	unsigned int indirect_ms; /* at most a third of the period */
};

/*
 * self: copied; needs name, dc, addresses, a non-zero incarnation and started_ms. The transport
 * stays the caller's and outlives the table. Destroy accepts NULL.
 */
struct member_table *member_table_create(const struct member_entry *self,
					 struct member_transport *transport, uint64_t now_ms);
void member_table_destroy(struct member_table *t);

/* In place of MEMBER_PERIOD_MS and MEMBER_INDIRECT_MS. */
void member_table_set_pace(struct member_table *t, const struct member_pace *pace);

/* Call about every 100 ms. Work per call does not depend on the number of members. */
void member_table_tick(struct member_table *t, uint64_t now_ms, GRand *rand);
/* The strings of a message must be terminated; no other property of it is relied on. */
void member_table_receive(struct member_table *t, const struct member_message *message,
			  uint64_t now_ms, GRand *rand);

/*
 * The platform's list (name, dc, http, rpc, state LIVE or LEAVING). Unknown VMs are added with
 * incarnation 0. A VM that turns from live to leaving between two lists is marked as leaving in the
 * incarnation known now; what the member itself says later wins. VMs of the last list are not
 * forgotten, so that a partition can heal after any time.
 */
void member_table_seed(struct member_table *t, const struct member_entry *list, unsigned int n,
		       uint64_t now_ms);

/* Announces the planned stop of this process. */
void member_table_leave(struct member_table *t);

/* A list or a peer marked this incarnation as leaving although it did not announce it. */
bool member_table_is_asked_to_leave(const struct member_table *t);

/* A later process with this VM's name is known: this process must stop. */
bool member_table_is_superseded(const struct member_table *t);

void member_table_set_config_version(struct member_table *t, uint64_t version);

/* Every entry except removed ones, this process first. */
void member_table_foreach(struct member_table *t, uint64_t now_ms,
			  void (*visit)(const struct member_entry *entry, void *data), void *data);

/* Copies the entry of a name, also a removed one; false if it is unknown. */
bool member_table_find(struct member_table *t, const char *name, uint64_t now_ms,
		       struct member_entry *entry);

/* Members that are not removed, including this process. */
unsigned int member_table_count(const struct member_table *t);

/* Increases with each change of a state, incarnation or address. */
uint64_t member_table_version(const struct member_table *t);

/* Full list for a joining node; the caller frees the array with g_free. */
struct member_entry *member_table_snapshot(struct member_table *t, uint64_t now_ms,
					   unsigned int *n);
void member_table_merge(struct member_table *t, const struct member_entry *list, unsigned int n,
			uint64_t now_ms);

const struct member_stats *member_table_stats(const struct member_table *t);

/* Approximate heap size in bytes. */
size_t member_table_bytes(const struct member_table *t);

const char *member_state_name(enum member_state state);

G_END_DECLS

#endif
