/*
 * A small world for the fault matrix: 2 entries, 2 holders, 2 leaves that both serve all shards, a
 * platform and the callers, in virtual time. Every decision is made by the modules of src/. The
 * rules that the services hold themselves are repeated in one function each:
 *
 * - commander_dispatch, commander_reply, commander_receive: run_dispatch, reply_receive,
 *   request_receive of commander.c
 * - search_pin, search_scatter, search_reply, search_restart, search_answer: searcher.c
 * - holder_command, holder_search, manifest_for: command_receive, search_receive, manifest_for of
 *   holder.c; mark_apply, vms_receive: mark_apply with mark_share, marks_vm_list_apply of marks.c
 * - read_before_dispatch: dispatch_permit of holder.c
 * - leaf_pick, leaf_answered: leafgroup.c; answer_confirms: the check of headers in leafpool.c
 * - index_offer: index_offer and fetch_missing of configurer.c
 * - housekeep: commander_housekeep, holder_housekeep and the heartbeats' versions
 * - stop_poll: stopper.c; roster_publish: membership.c
 *
 * Not repeated: queues, slots, hedging and budgets, which decide about time and not about P1 to P8.
 */
#ifndef APRICOT_TESTS_MATRIX_WORLD_H
#define APRICOT_TESTS_MATRIX_WORLD_H

#include <string>
#include <vector>

/* X(symbol, name) */
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

/* Rules of the services; a test switches one off to show that the matrix notices. */
struct matrix_rules {
	bool send_once = true; /* a command goes to one holder, once */
	bool sent_is_unknown = true; /* a command that was sent and not answered is unknown */
	bool refused_remembered = true; /* a refusal of the entry is stored as not run */
	bool holder_memory = true; /* the holder dispatches an id once */
	bool connection_bound = true; /* a message does not outlive the process it was sent to */
	bool retry_ban = true; /* a command that may have run is not called again */
	bool confirm_answer = true; /* an answer of a leaf must confirm request and snapshot */
	bool reply_bound = true; /* a holder's reply belongs to the call with its tag */
	bool keep_manifest = true; /* a request keeps the manifest it started with */
	bool restart_fresh = true; /* a restarted search drops what it gathered */
	bool mark_check = true; /* a marked leaf gets no call */
	bool mark_share = true; /* a new mark is sent to the holders */
	bool drain_requests = true; /* a planned stop waits for requests in flight */
	bool list_wait = true; /* a planned stop waits until the lists have expired */
	bool announce_leaving = true; /* a planned stop is announced to the members */
	bool heartbeat_repair = true; /* heartbeats carry the configuration version */
	/* Not a rule of holder.c yet: after a pause it reads what waits before it calls a leaf. */
	bool read_before_dispatch = true;
	bool highest_wins = true; /* the store survives the arrival of a lower version */
};

struct matrix_report {
	std::vector<std::string> violations; /* "P4: ..." */
	unsigned int fired = 0; /* injections whose step happened */
	std::string trace;
};

const char *matrix_fault_name(matrix_fault fault);
const char *matrix_step_name(matrix_step step);
/* Why a cell does not apply to a search or a command, or NULL. */
const char *matrix_not_applicable(matrix_fault fault, matrix_step step, bool is_command);

matrix_report matrix_run(unsigned int seed, bool is_command,
			 const std::vector<matrix_injection> &injections,
			 const matrix_rules &rules = {});

#endif
