/*
 * A command runs at most once, and the answer `not_run` is given only if it never runs (design
 * section 2.4).
 *
 * The model has one command id, which the first process of entry A has issued. The caller sends the
 * command up to three times, to A or to B, also while earlier attempts are open. A, the holder and the
 * network can fail at any moment. A paused process is one that takes no step. A leaf does not remember
 * ids, and TCP does not duplicate the calls to it.
 */
/* What an entry or the holder remembers of the command id. */
#define NONE 0
#define PROGRESS 1
#define FINISHED 2

/* Outcomes of a command. */
#define NOT_RUN 1
#define DONE 2
#define UNKNOWN 3

/* States of an attempt of the caller: not sent, on its way, open at an entry, or finished. */
#define IDLE 0
#define TO_A 1
#define TO_B 2
#define AT_A 3
#define AT_B 4
#define CLOSED 5

/* Answers of the leaf. */
#define REFUSED 1
#define RAN 2
#define ABORTED 3 /* HTTP 504: the command may have run in part */

#define ATTEMPTS 3

byte attempt[ATTEMPTS];
byte runs;
bool answered_not_run;

bool a_restarted; /* A runs with another incarnation than the one that issued the id */
bool id_expired;
byte a_memory, a_result;
bool a_sent, a_refused;
byte b_memory;
bool b_sent;

bool h_restarted;
byte h_memory, h_result;
bool h_dispatched, h_refused;
bool message_duplicated;
byte call_old, call_new; /* COMMAND messages to the holder's first and second process */
byte reply;		 /* the outcome that the holder has sent and A has not received */
bool leaf_call;
byte leaf_reply;

inline attempt_answer(i, outcome)
{
	attempt[i] = CLOSED;
	if
	:: skip /* the answer to the caller is lost */
	:: outcome == NOT_RUN -> assert(runs == 0); answered_not_run = true
	:: outcome == DONE -> assert(runs == 1)
	:: outcome == UNKNOWN
	fi
}

inline send_to_holder()
{
	if
	:: h_restarted -> call_new++
	:: else -> call_old++
	fi
}

inline holder_receive()
{
	if
#ifndef NO_HOLDER_MEMORY
	:: h_memory == PROGRESS
	:: h_memory == FINISHED -> reply = h_result
	:: h_memory == NONE && h_refused -> reply = NOT_RUN
	:: h_memory == NONE && !h_refused ->
#else
	:: true ->
#endif
		if
		:: h_memory = PROGRESS; h_dispatched = false
		:: /* the memory of ids is full */
#ifndef NO_HOLDER_REFUSED_REMEMBERED
			h_refused = true;
#endif
			reply = NOT_RUN
		fi
	fi
}

inline holder_finish(outcome)
{
	h_memory = FINISHED;
	h_result = outcome;
	reply = outcome
}

active proctype caller()
{
	byte i;
end:
	do
	:: atomic { attempt[0] == IDLE -> if :: attempt[0] = TO_A :: attempt[0] = TO_B fi }
	:: atomic { attempt[0] != IDLE && attempt[1] == IDLE ->
		if :: attempt[1] = TO_A :: attempt[1] = TO_B fi }
	:: atomic { attempt[1] != IDLE && attempt[2] == IDLE ->
		if :: attempt[2] = TO_A :: attempt[2] = TO_B fi }
	od
}

active proctype entry_a()
{
	byte i;
end:
	do
	:: atomic {
		(attempt[0] == TO_A || attempt[1] == TO_A || attempt[2] == TO_A) ->
		if
		:: attempt[0] == TO_A -> i = 0
		:: attempt[1] == TO_A -> i = 1
		:: attempt[2] == TO_A -> i = 2
		fi;
		if
#ifndef NO_FOREIGN_REFUSAL
		:: a_restarted -> attempt_answer(i, UNKNOWN)
		:: !a_restarted && a_memory == PROGRESS -> attempt[i] = AT_A
		:: !a_restarted && a_memory == FINISHED -> attempt_answer(i, a_result)
		:: !a_restarted && a_memory == NONE ->
#else
		:: a_memory == PROGRESS -> attempt[i] = AT_A
		:: a_memory == FINISHED -> attempt_answer(i, a_result)
		:: a_memory == NONE ->
#endif
			if
#ifndef NO_EXPIRED_REFUSAL
			:: id_expired -> attempt_answer(i, UNKNOWN)
			:: !id_expired && a_refused -> attempt_answer(i, NOT_RUN)
			:: !id_expired && !a_refused ->
#else
			:: a_refused -> attempt_answer(i, NOT_RUN)
			:: !a_refused ->
#endif
				if
				:: a_memory = PROGRESS; attempt[i] = AT_A; a_sent = false
				:: /* the memory of ids is full */
#ifndef NO_REFUSED_REMEMBERED
					a_refused = true;
#endif
					attempt_answer(i, NOT_RUN)
				:: /* the request is stale after a pause of A */
#ifndef NO_STALE_REMEMBERED
					a_memory = FINISHED; a_result = NOT_RUN;
#endif
					attempt_answer(i, NOT_RUN)
				fi
			fi
		fi; i = 0 }
	:: atomic { a_memory == FINISHED && (attempt[0] == AT_A || attempt[1] == AT_A || attempt[2] == AT_A) ->
		if
		:: attempt[0] == AT_A -> i = 0
		:: attempt[1] == AT_A -> i = 1
		:: attempt[2] == AT_A -> i = 2
		fi;
		attempt_answer(i, a_result); i = 0 }
#ifdef NO_SEND_ONCE
	:: atomic { a_memory == PROGRESS && call_old + call_new < 3 -> send_to_holder(); a_sent = true }
#else
	:: atomic { a_memory == PROGRESS && !a_sent -> send_to_holder(); a_sent = true }
#endif
	/* The deadline passes before the command is sent, or no holder is reachable. */
	:: atomic { a_memory == PROGRESS && !a_sent -> a_memory = FINISHED; a_result = NOT_RUN }
	/* The holder's reply is lost or late. */
	:: atomic { a_memory == PROGRESS && a_sent -> a_memory = FINISHED;
#ifdef NO_SENT_IS_UNKNOWN
		a_result = NOT_RUN
#else
		a_result = UNKNOWN
#endif
		}
	:: atomic { reply != 0 && !a_restarted ->
		if
		:: a_memory == PROGRESS || (a_memory == FINISHED && a_result == UNKNOWN) ->
			a_memory = FINISHED; a_result = reply
		:: else
		fi; reply = 0 }
	/* The lifetime of the id ends; A forgets the id unless the command is in progress. */
	:: atomic { !id_expired -> id_expired = true }
	:: atomic { id_expired && a_memory == FINISHED &&
		attempt[0] != AT_A && attempt[1] != AT_A && attempt[2] != AT_A ->
		a_memory = NONE; a_result = 0 }
	/* A crashes and starts again with a new incarnation and an empty memory. */
	:: atomic { !a_restarted -> a_restarted = true; a_memory = NONE; a_result = 0; a_sent = false;
		a_refused = false; reply = 0;
		for (i : 0 .. ATTEMPTS - 1) {
			if :: attempt[i] == AT_A -> attempt[i] = CLOSED :: else fi
		}; i = 0 }
	od
}

/* The incarnation of B is never that of the id. */
active proctype entry_b()
{
	byte i;
end:
	do
	:: atomic { (attempt[0] == TO_B || attempt[1] == TO_B || attempt[2] == TO_B) ->
		if
		:: attempt[0] == TO_B -> i = 0
		:: attempt[1] == TO_B -> i = 1
		:: attempt[2] == TO_B -> i = 2
		fi;
#ifdef NO_FOREIGN_REFUSAL
		if
		:: b_memory == NONE -> b_memory = PROGRESS; send_to_holder()
		:: else
		fi;
#endif
		attempt_answer(i, UNKNOWN); i = 0 }
	od
}

active proctype holder()
{
end:
	do
	:: atomic { call_new > 0 && h_restarted -> call_new--; holder_receive() }
	:: atomic { call_old > 0 && !h_restarted -> call_old--; holder_receive() }
	/* A message to the first process arrives at the second one. */
	:: atomic { call_old > 0 && h_restarted -> call_old--;
#ifdef NO_HOLDER_INCARNATION
		holder_receive()
#endif
		}
	:: atomic { h_memory == PROGRESS && !h_dispatched && !leaf_call ->
		h_dispatched = true; leaf_call = true }
	/* The deadline passes while the command waits in the holder's queue. */
	:: atomic { h_memory == PROGRESS && !h_dispatched -> holder_finish(NOT_RUN) }
	:: atomic { h_memory == PROGRESS && h_dispatched && leaf_reply != 0 ->
		if
		:: leaf_reply == REFUSED -> holder_finish(NOT_RUN)
		:: leaf_reply == RAN -> holder_finish(DONE)
		:: leaf_reply == ABORTED ->
#ifdef NO_REFUSAL_PROOF
			holder_finish(NOT_RUN)
#else
			holder_finish(UNKNOWN)
#endif
		fi; leaf_reply = 0 }
	/* The connection to the leaf is lost, or the leaf's answer is late. */
	:: atomic { h_memory == PROGRESS && h_dispatched && leaf_reply == 0 ->
#ifdef NO_RETRY_BAN
		h_dispatched = false
#else
		holder_finish(UNKNOWN)
#endif
		}
	/*
	 * The lifetime of the id ends at the holder. The entry closed the connection of the call long
	 * before, so no copy of the message can still arrive.
	 */
	:: atomic { id_expired && (h_memory == FINISHED || h_refused) -> h_memory = NONE; h_result = 0;
		h_refused = false;
#ifndef NO_CONNECTION_BOUND
		call_old = 0; call_new = 0
#endif
		}
	:: atomic { !h_restarted -> h_restarted = true; h_memory = NONE; h_result = 0;
		h_dispatched = false; h_refused = false; leaf_reply = 0 }
	od
}

active proctype leaf()
{
end:
	do
	:: atomic { leaf_call -> leaf_call = false;
		if
		:: leaf_reply = REFUSED
		:: runs++; assert(runs <= 1); assert(!answered_not_run);
			if :: leaf_reply = RAN :: leaf_reply = ABORTED :: skip fi
		fi }
	od
}

active proctype network()
{
end:
	do
	:: atomic { call_old > 0 -> call_old-- }
	:: atomic { call_new > 0 -> call_new-- }
	:: atomic { !message_duplicated && call_old > 0 -> message_duplicated = true; call_old++ }
	:: atomic { !message_duplicated && call_new > 0 -> message_duplicated = true; call_new++ }
	:: atomic { leaf_call -> leaf_call = false }
	:: atomic { leaf_reply != 0 -> leaf_reply = 0 }
	:: atomic { reply != 0 -> reply = 0 }
	od
}
