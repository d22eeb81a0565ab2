/*
 * Planned stop of a VM (design section 2.7).
 *
 * Node S stops. A caller gets an entry list from S or from node M, uses it for TTL ticks, and sends
 * requests to S while the list names S. M also sends calls to S, which is the holder of a group. M learns
 * of the stop by a notice, which a partition can hold back. A tick of time ends only when everything that
 * must happen within the tick has happened. A request has a deadline and ends within DEADLINE ticks.
 */
#define TTL 2
#define DEADLINE 4 /* longer than TTL, so that a request can outlive the lists */
#define CAP 12 /* ticks after which S ends in any case; stands for 60 s */

bool stopping, stopped;
byte elapsed; /* ticks since the stop began */
bool notified; /* M has acknowledged that S leaves */
bool cut;
byte since_notified;
byte list_ttl;	   /* ticks for which the caller's list still names S */
byte arriving;	   /* on its way to S; 1: a request of the caller, 2: a call of M */
byte request_ttl;  /* ticks until the caller's request ends at the latest; 0: no request */
byte call_ttl;	   /* the same for M's call to the holder S */
bool ever_cut;	   /* a partition has held back the notice */

#ifdef NO_OMIT_SELF
#define S_LISTS_ITSELF true
#else
#define S_LISTS_ITSELF (!stopping)
#endif

#ifdef NO_HANDOVER
#define M_CALLS_S true
#else
#define M_CALLS_S (!notified)
#endif

#ifdef NO_REFUSE_BEFORE_CAP
#define IS_ACCEPTING (!stopped)
#else
#define IS_ACCEPTING (!stopped && elapsed + DEADLINE < CAP)
#endif

#ifdef NO_DRAIN_REQUESTS
#define IS_IDLE true
#else
#define IS_IDLE (request_ttl == 0 && call_ttl == 0)
#endif

/* The timer of the cap must fire before the next tick. */
#ifdef NO_CAP
#define IS_CAP_DUE (elapsed > CAP)
#else
#define IS_CAP_DUE (elapsed == CAP)
#endif

/* The last lists of M and of S that name S have expired. */
#ifdef NO_LIST_WAIT
#define ARE_LISTS_EXPIRED notified
#elif defined(NO_ACK_WAIT)
#define ARE_LISTS_EXPIRED (elapsed > TTL)
#else
#define ARE_LISTS_EXPIRED (notified && since_notified > TTL)
#endif

active proctype caller()
{
end:
	do
	:: atomic { !stopped && list_ttl == 0 && S_LISTS_ITSELF -> list_ttl = TTL }
	:: atomic { list_ttl == 0 && !notified -> list_ttl = TTL }
	:: atomic { list_ttl > 0 && arriving == 0 && request_ttl == 0 -> arriving = 1 }
	od
}

active proctype node_m()
{
end:
	do
	:: atomic { stopping && !notified && !cut -> notified = true }
	:: atomic { M_CALLS_S && arriving == 0 && call_ttl == 0 -> arriving = 2 }
	od
}

active proctype node_s()
{
end:
	do
	:: atomic { !stopping -> stopping = true }
	:: atomic { arriving != 0 ->
		if
		:: IS_ACCEPTING && arriving == 1 -> request_ttl = DEADLINE
		:: IS_ACCEPTING && arriving == 2 -> call_ttl = DEADLINE
		/* S refuses it before it runs. This is allowed only near the cap, after a long partition. */
		:: !IS_ACCEPTING -> assert(ever_cut && elapsed + DEADLINE >= CAP)
		fi; arriving = 0 }
	:: atomic { request_ttl > 0 -> request_ttl = 0 }
	:: atomic { call_ttl > 0 -> call_ttl = 0 }
	:: atomic { stopping && !stopped && ARE_LISTS_EXPIRED && IS_IDLE ->
		stopped = true; assert(request_ttl == 0 && call_ttl == 0) }
#ifndef NO_CAP
	:: atomic { stopping && !stopped && elapsed == CAP ->
		stopped = true; assert(request_ttl == 0 && call_ttl == 0) }
#endif
	od
}

active proctype time()
{
end:
	do
	:: atomic { stopping && !stopped && arriving == 0 && (notified || cut) && !IS_CAP_DUE &&
		request_ttl != 1 && call_ttl != 1 ->
		elapsed++;
		assert(elapsed <= CAP);
		if :: notified && since_notified <= TTL -> since_notified++ :: else fi;
		if :: list_ttl > 0 -> list_ttl-- :: else fi;
		if :: request_ttl > 0 -> request_ttl-- :: else fi;
		if :: call_ttl > 0 -> call_ttl-- :: else fi }
	:: atomic { !cut && !notified -> cut = true; ever_cut = true }
	:: atomic { cut -> cut = false }
	od
}
