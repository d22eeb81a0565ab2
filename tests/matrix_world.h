/*
 * A simulated deployment for the fault matrix: 2 entries, 2 holders, 2 leaves that both serve all
 * shards, a platform and the callers, in virtual time. Every decision is made by the modules of
 * src/. What the services themselves do around these modules is repeated here, one function each:
 *
 * - commander_dispatch, commander_reply, commander_receive: run_dispatch, reply_receive,
 *   request_receive of commander.c
 * - search_pin, search_scatter, search_reply, search_restart, search_answer: searcher.c
 * - holder_command, holder_search, manifest_for: command_receive, search_receive, manifest_for of
 *   holder.c; mark_apply, vms_receive: mark_apply with mark_share, marks_vm_list_apply of marks.c
 * - the rule read_before_dispatch: dispatch_permit of holder.c
 * - leaf_pick, leaf_answered: leafgroup.c; reply_confirms: the check of headers in leafpool.c
 * - index_offer: index_offer and fetch_missing of configurer.c
 * - housekeep: commander_housekeep, holder_housekeep and the versions in heartbeats
 * - planned_stop_poll: stopper.c; roster_publish: membership.c
 *
 * Queues, slots, hedging and budgets are not repeated. They decide about time and do not affect the
 * requirements that the matrix checks:
 *
 * - P1: all hits of a response come from one snapshot (index version and shard map)
 * - P2: the coverage and the flag "complete" match the shards whose hits are in the response
 * - P3: no response contains hits, or the reply, of another request, nor one hit twice
 * - P4: a command that was reported as not run has not run
 * - P5: a command runs at most once
 * - P6: a draining leaf gets no new work once a holder has known of it for 3 s
 * - P7: a planned stop interrupts no request, and nobody is directed to a VM that has stopped
 * - P8: every VM ends up with the newest configuration and never goes back to an older one
 */
#ifndef APRICOT_TESTS_MATRIX_WORLD_H
#define APRICOT_TESTS_MATRIX_WORLD_H

#include <string>
#include <vector>

/* X(symbol, name): the name is part of the names of tests */
#define MATRIX_FAULT_LIST(X)                \
	X(KILL, "kill")                     \
	X(PAUSE, "pause")                   \
	X(CUT_ONE, "cut_one_way")           \
	X(CUT_BOTH, "cut_both_ways")        \
	X(SLOW, "slow")                     \
	X(LOST, "lost_message")             \
	X(DUPLICATED, "duplicated_message") \
	X(PLATFORM_DOWN, "platform_down")   \
	X(PLATFORM_STALE, "platform_stale") \
	X(RACE, "operators_racing")         \
	X(DRAIN, "drain")                   \
	X(ROLLOUT, "version_rollout")       \
	X(REPARTITION, "repartitioning")

/* X(symbol, name): the steps of a search, then those that only a command has */
#define MATRIX_STEP_LIST(X)                \
	X(ENTRY_LIST, "entry_list")        \
	X(ACCEPT, "accept")                \
	X(PIN, "pin_snapshot")             \
	X(CALL_HOLDER, "call_to_holder")   \
	X(CALL_LEAF, "call_to_leaf")       \
	X(RUNNING, "running_in_leaf")      \
	X(LEAF_ANSWER, "leaf_answer")      \
	X(MERGE, "merge")                  \
	X(REPLY, "reply")                  \
	X(COMMAND_SEND, "command_sending") \
	X(COMMAND_ANSWER, "command_answer")

enum matrix_fault {
#define X(symbol, name) MATRIX_##symbol,
	MATRIX_FAULT_LIST(X)
#undef X
		MATRIX_FAULTS
};

enum matrix_step {
#define X(symbol, name) MATRIX_AT_##symbol,
	MATRIX_STEP_LIST(X)
#undef X
		MATRIX_STEPS
};

enum matrix_moment { MATRIX_BEFORE, MATRIX_DURING, MATRIX_AFTER, MATRIX_MOMENTS };

struct matrix_injection {
	matrix_fault fault;
	matrix_step step;
	matrix_moment moment;
};

/*
 * Rules that the services follow. A test switches one off to show that the matrix then reports a
 * violation.
 */
struct matrix_rules {
	bool send_once = true; /* a command is sent to one holder, once */
	bool sent_is_unknown = true; /* the outcome of a command without a reply is unknown */
	bool refused_remembered = true; /* an entry stores its refusal of a command */
	bool holder_memory = true; /* a holder dispatches each command id once */
	bool connection_bound = true; /* a request is lost with the process it was sent to */
	bool retry_ban = true; /* a command that may have run is not retried */
	bool confirm_answer = true; /* a leaf's reply must name the request and snapshot */
	bool reply_bound = true; /* a holder's reply is matched to its call by its tag */
	bool keep_manifest = true; /* a request uses one manifest throughout */
	bool restart_fresh = true; /* a restarted search drops earlier hits */
	bool mark_check = true; /* a leaf that is marked as leaving gets no call */
	bool mark_share = true; /* a holder sends new marks to the other holders */
	bool drain_requests = true; /* a planned stop waits for requests in flight */
	bool list_wait = true; /* a planned stop waits until entry lists have expired */
	bool announce_leaving = true; /* a planned stop is announced to the members */
	bool heartbeat_repair = true; /* heartbeats carry the configuration version */
	/* After a pause a holder reads the messages that have arrived before it calls a leaf. */
	bool read_before_dispatch = true;
	bool highest_wins = true; /* the store ignores a version below its own */
};

struct matrix_report {
	std::vector<std::string> violations; /* each begins with its requirement: "P4: ..." */
	unsigned int fired = 0; /* number of injections whose step was reached */
	std::string trace; /* a line for each event, with the time in ms since the start */
};

const char *matrix_fault_name(matrix_fault fault);
const char *matrix_step_name(matrix_step step);
/*
 * Returns why the fault cannot be injected at the step of a search or a command, or NULL if it can.
 */
const char *matrix_not_applicable(matrix_fault fault, matrix_step step, bool is_command);

/*
 * Simulates 18 s of the deployment and checks P1 to P8. The injections hit one request, a command
 * or a search; other requests of the same kind run beside it. The same seed gives the same run.
 */
matrix_report matrix_run(unsigned int seed, bool is_command,
			 const std::vector<matrix_injection> &injections,
			 const matrix_rules &rules = {});

#endif
