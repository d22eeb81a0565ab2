/*
 * Counters of one process. The enumeration and /metrics are made from the list, and the operators'
 * page repeats its rows.
 */
#ifndef APRICOT_COUNTER_H
#define APRICOT_COUNTER_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* X(symbol, name, help) */
#define COUNTER_LIST(X)                                                                           \
	X(SEARCHES, "searches", "searches accepted from callers")                                 \
	X(SEARCHES_COMPLETE, "searches_complete", "searches answered completely")                 \
	X(SEARCHES_PARTIAL, "searches_partial", "searches answered with missing shards")          \
	X(SEARCHES_NOT_RUN, "searches_not_run", "searches refused before any leaf call")          \
	X(SEARCH_RESTARTS, "search_restarts", "searches restarted on a newer index version")      \
	X(SEARCH_FAILOVERS, "search_failovers", "holder calls repeated at the standby")           \
	X(COMMANDS, "commands", "commands accepted from callers")                                 \
	X(COMMANDS_DONE, "commands_done", "commands with outcome done")                           \
	X(COMMANDS_NOT_RUN, "commands_not_run", "commands with outcome not_run")                  \
	X(COMMANDS_UNKNOWN, "commands_unknown", "commands with outcome unknown")                  \
	X(COMMAND_REPEATS, "command_repeats", "commands answered from the memory of ids")         \
	X(LEAF_CALLS, "leaf_calls", "primary leaf calls")                                         \
	X(LEAF_HEDGES, "leaf_hedges", "second leaf calls after the hedge delay")                  \
	X(LEAF_RETRIES, "leaf_retries", "leaf calls repeated after a refusal or lost connection") \
	X(LEAF_CANCELS, "leaf_cancels", "cancellations sent to leaves")                           \
	X(LEAF_REFUSALS, "leaf_refusals", "leaf calls refused before running")                    \
	X(LEAF_TIMEOUTS, "leaf_timeouts", "leaf calls without an answer in time")                 \
	X(LEAF_ERRORS, "leaf_errors", "leaf calls lost or answered with an error")                \
	X(LEAF_MISMATCHES, "leaf_mismatches", "leaf answers that did not confirm the call")       \
	X(LEAF_CONNECTS, "leaf_connects", "connections opened to leaves")                         \
	X(LEAF_CONNECT_FAILURES, "leaf_connect_failures", "connections refused by leaves")        \
	X(LEAVING_MARKS, "leaving_marks", "backend servers marked as leaving")                    \
	X(LATE_ANSWERS, "late_answers", "answers dropped since their request was finished")       \
	X(DUPLICATE_SHARDS, "duplicate_shards", "shard answers dropped since one was included")   \
	X(QUEUE_DROPS, "queue_drops", "queued leaf calls dropped before dispatch")                \
	X(RPC_CALLS, "rpc_calls", "calls sent to other VMs")                                      \
	X(RPC_SERVED, "rpc_served", "calls served for other VMs")                                 \
	X(RPC_LOST, "rpc_lost", "calls to other VMs whose answer was lost")                       \
	X(RPC_MALFORMED, "rpc_malformed", "malformed messages from other VMs")                    \
	X(RPC_BYTES_SENT, "rpc_bytes_sent", "bytes sent to other VMs over TCP")                   \
	X(UDP_SENT, "udp_sent", "heartbeat datagrams sent")                                       \
	X(UDP_BYTES_SENT, "udp_bytes_sent", "bytes of heartbeat datagrams sent")                  \
	X(UDP_RECEIVED, "udp_received", "heartbeat datagrams received")                           \
	X(HTTP_BAD_REQUESTS, "http_bad_requests", "requests of callers with a 1xx result")        \
	X(PLATFORM_READS, "platform_reads", "reads and watches of the platform")                  \
	X(PLATFORM_FAILURES, "platform_failures", "reads of the platform without an answer")      \
	X(CONFIG_APPLIED, "config_applied", "configuration versions put in force")                \
	X(CONFIG_REFUSED, "config_refused", "configuration versions refused")                     \
	X(STORE_ENTRIES_REFUSED, "store_entries_refused", "malformed entries of the platform")    \
	X(STORE_RETURNS, "store_returns", "later eras of the platform's store")                   \
	X(STORE_ERA_FAULTS, "store_era_faults", "answers of the store with an unusable era")      \
	X(LISTS_WIDENED, "lists_widened", "address lists with VMs elsewhere for short ones")      \
	X(MEMBER_CHANGES, "member_changes", "changes of state of member VMs")                     \
	X(PAUSES, "pauses", "gaps of the event loop longer than the lease")

enum counter {
#define X(symbol, name, help) COUNTER_##symbol,
	COUNTER_LIST(X)
#undef X
		COUNTER_COUNT
};

struct counters {
	uint64_t value[COUNTER_COUNT];
};

static inline void counter_add(struct counters *c, enum counter which, uint64_t n)
{
	c->value[which] += n;
}

static inline void counter_increment(struct counters *c, enum counter which)
{
	c->value[which]++;
}

/* Appends all counters in the Prometheus text format of /metrics. */
void counter_render(const struct counters *c, GString *out);

G_END_DECLS

#endif
