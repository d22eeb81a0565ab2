/*
 * Leaving marks of one backend server (design section 2.6).
 *
 * The first process of the server drains and ends; then a second one starts at the same address. The
 * holder sends work to this address. A peer also sees the signs that the process leaves, and sends them to the holder.
 * The VM list names no incarnation and is late, and a reader can get an older list after a newer one.
 * The holder can pause, and the path from the peer to the holder can be cut. `age` counts the periods
 * since the peer saw a sign while the path was open; a notice reaches the holder's socket within one
 * period.
 */
#define BOUND 2 /* periods after which the holder may send no new work */

/* States of the first process. */
#define SERVING 0
#define DRAINING 1
#define GONE 2

/* Signs that the first process leaves: a drain answer, or the state in the VM list. */
#define DRAIN_SIGN 1
#define LIST_SIGN 2

byte first = SERVING;
bool second; /* process 2 serves */

/* Version of the VM list; 1: live (process 1), 2: leaving (process 1), 3: live (process 2). */
byte list = 1;

/* What the holder knows. */
byte known = 1; /* the incarnation that answered last */
bool marked_1, marked_2;
byte list_seen = 1;
bool list_mark; /* the list that was read last says leaving */

bool holder_knew; /* the holder has seen a sign that process 1 leaves */
bool paused, cut, quiet;
byte call; /* a call on its way to the address */
byte answer; /* 1, 2: answer of that process; 3: drain answer of process 1; any can be late */
byte peer_sign, notice;
bool peer_sent;
byte age;

#ifdef NO_MARK_INCARNATION
#define IS_MARKED (marked_1 || marked_2 || list_mark)
#else
#define IS_MARKED ((known == 1 && marked_1) || (known == 2 && marked_2) || list_mark)
#endif

#ifdef NO_MARK_BEFORE_DISPATCH
#define IS_INPUT_READ true
#else
#define IS_INPUT_READ (notice == 0)
#endif

inline mark_process_1()
{
	holder_knew = true;
#ifdef NO_SIGN_INCARNATION
	/* The sign names no incarnation, so the holder marks the one that it knows. */
	if :: known == 1 -> marked_1 = true :: else -> marked_2 = true fi
#else
	marked_1 = true
#endif
}

inline read_list(v)
{
	if
#ifdef NO_LIST_VERSION
	:: true ->
#else
	:: v >= list_seen ->
#endif
		list_seen = v;
		list_mark = (v == 2);
		if
		:: v == 2 -> holder_knew = true;
#ifdef NO_LIST_MARK_SEPARATE
			if :: known == 1 -> marked_1 = true :: else -> marked_2 = true fi
#endif
		:: else ->
#ifdef NO_MARK_STICKY
			marked_1 = false; marked_2 = false
#else
			skip
#endif
		fi
	:: else
	fi
}

active proctype backend()
{
end:
	do
	:: atomic { first == SERVING -> first = DRAINING }
	:: atomic { first == DRAINING -> first = GONE; call = 0 }
	:: atomic { first == GONE && !second -> second = true }
	:: atomic { call > 0 && first != GONE -> call = 0;
		if :: answer = (first == SERVING -> 1 : 3) :: skip fi }
	:: atomic { call > 0 && second -> call = 0;
		if :: answer = 2 :: !quiet -> skip fi }
	od
}

active proctype platform()
{
end:
	do
	:: atomic { list == 1 && first != SERVING -> list = 2 }
	:: atomic { list == 2 && second -> list = 3 }
	od
}

active proctype holder()
{
end:
	do
	:: atomic { !paused && !IS_MARKED && IS_INPUT_READ && call == 0 && known == 1 ->
		/* This is new work for process 1, unless process 2 has taken over the address. */
		assert(first == GONE || !holder_knew);
		assert(first == GONE || age < BOUND);
		if :: first != GONE || second -> call = 1 :: else fi }
	:: atomic { !paused && !IS_MARKED && IS_INPUT_READ && call == 0 && known == 2 && !quiet -> call = 1 }
	:: atomic { !paused && notice == DRAIN_SIGN -> notice = 0; mark_process_1() }
	:: atomic { !paused && notice == LIST_SIGN -> notice = 0; read_list(2) }
	:: atomic { !paused && answer != 0 ->
		if
		:: answer == 3 -> mark_process_1()
		:: answer == 2 -> known = 2
		:: answer == 1
		fi; answer = 0 }
	:: atomic { !paused && list_seen != list -> read_list(list) }
	:: atomic { !paused && !quiet && list > 1 -> read_list(list - 1) }
	:: atomic { !paused && !quiet && list == 1 -> read_list(1) }
#ifndef NO_PROBE
	/* The holder probes a marked leaf without sending work; the answer names the incarnation. */
	:: atomic { !paused && IS_MARKED && known == 1 && second -> known = 2 }
#endif
	:: atomic { !quiet && !paused -> paused = true }
	:: atomic { paused -> paused = false }
	od
}

active proctype peer()
{
end:
	do
	:: atomic { peer_sign == 0 && first != SERVING -> peer_sign = DRAIN_SIGN }
	:: atomic { peer_sign == 0 && list == 2 -> peer_sign = LIST_SIGN }
#ifndef NO_MARK_FORWARD
	:: atomic { peer_sign != 0 && !peer_sent && !cut && notice == 0 -> notice = peer_sign; peer_sent = true }
	/* A period ends; within it a holder that is not paused has read its socket. */
	:: atomic { peer_sent && !cut && age < BOUND && (notice == 0 || paused) -> age++ }
#else
	:: atomic { peer_sign != 0 && !cut && age < BOUND -> age++ }
#endif
	:: atomic { !quiet && !cut && age == 0 -> cut = true; notice = 0; peer_sent = false }
	:: atomic { cut -> cut = false }
	od
}

active proctype end_of_faults()
{
end:
	do
	:: atomic { !quiet && second && list == 3 -> quiet = true; paused = false; cut = false }
	/* No other step is possible: the holder must be able to send work to the new process. */
	:: atomic { quiet && timeout -> assert(!IS_MARKED && known == 2); break }
	od
}
