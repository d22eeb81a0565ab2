/*
 * Order of the processes of one VM name (member.h), without a clock.
 *
 * Processes of the name run at two addresses, at most one at each. They are killed, started again and
 * frozen, in any order. Node M holds the latest of them that it knows. A process tells M of itself and
 * hears of the one that M holds. If that one is later, the process either takes a higher generation or
 * ends itself. Incarnations are random numbers; here each is above or below all before.
 */
#define ADDRESSES 2
#define FAULTS 4
#define STARTS 6
#define EXCHANGES 8 /* after the last fault; two processes that disagree for ever exceed it */

bool alive[ADDRESSES], frozen[ADDRESSES];
byte generation[ADDRESSES], incarnation[ADDRESSES];
bool asking[ADDRESSES];	       /* waits for the answer of a later process elsewhere */
byte rival_generation[ADDRESSES], rival_incarnation[ADDRESSES];
byte known_generation, known_incarnation, known_address; /* of M; incarnation 0: none */
byte highest = 11, lowest = 10; /* the next incarnation above, or below, all others */
byte faults, started, exchanges;

#define IS_LATER(ga, ia, gb, ib) ((ga) > (gb) || ((ga) == (gb) && (ia) > (ib)))
#define RUNS(a) (alive[a] && !frozen[a])
#define KNOWN_IS_LATER(a) (known_incarnation != 0 && known_incarnation != incarnation[a] && \
	IS_LATER(known_generation, known_incarnation, generation[a], incarnation[a]))
#define KNOWS(a) (known_incarnation == incarnation[a] && known_generation == generation[a])
#define RIVAL_ANSWERS(a) (RUNS(1 - a) && IS_LATER(generation[1 - a], incarnation[1 - a], generation[a], incarnation[a]))

#ifdef NO_RAISE
#define RAISE(a, g) skip
#else
#define RAISE(a, g) generation[a] = (g) + 1
#endif

byte a;

inline process_start(address)
{
	if
	:: incarnation[address] = highest; highest++
	:: incarnation[address] = lowest; lowest--
	fi;
	started++;
	alive[address] = true;
	frozen[address] = false;
	asking[address] = false;
	generation[address] = 1
}

/* The process has found that a later one of its name lives. */
inline process_end(address)
{
	assert(alive[1 - address]);
	alive[address] = false;
	asking[address] = false
}

inline known_hear(address)
{
	exchanges++;
	assert(exchanges <= EXCHANGES);
	if
#ifdef NO_ASK
	:: known_address != address -> process_end(address)
#else
	:: known_address != address ->
		asking[address] = true;
		rival_generation[address] = known_generation;
		rival_incarnation[address] = known_incarnation
#endif
	/* M's message has reached the process at the address of the other one, which is gone. */
	:: known_address == address -> RAISE(address, known_generation)
	fi
}

inline rival_hear(address)
{
	asking[address] = false;
	if
#ifdef NO_END
	:: RIVAL_ANSWERS(address) -> skip
#else
	:: RIVAL_ANSWERS(address) -> process_end(address)
#endif
	:: !RIVAL_ANSWERS(address) && rival_generation[address] >= generation[address] ->
		RAISE(address, rival_generation[address])
	:: !RIVAL_ANSWERS(address) && rival_generation[address] < generation[address] -> skip
	fi
}

init
{
	atomic { process_start(0) }
	do
	:: atomic { faults < FAULTS && started < STARTS ->
		faults++;
		exchanges = 0;
		if
		:: a = 0
		:: a = 1
		fi;
		if
		:: alive[a] -> alive[a] = false; asking[a] = false
		:: alive[a] -> process_start(a)
		:: !alive[a] -> process_start(a)
		:: alive[a] && !frozen[a] -> frozen[a] = true
		fi }
	:: atomic { alive[0] && frozen[0] -> frozen[0] = false }
	:: atomic { alive[1] && frozen[1] -> frozen[1] = false }
	:: atomic { RUNS(0) && !KNOWS(0) && !KNOWN_IS_LATER(0) ->
		known_generation = generation[0]; known_incarnation = incarnation[0]; known_address = 0 }
	:: atomic { RUNS(1) && !KNOWS(1) && !KNOWN_IS_LATER(1) ->
		known_generation = generation[1]; known_incarnation = incarnation[1]; known_address = 1 }
	:: atomic { RUNS(0) && !asking[0] && KNOWN_IS_LATER(0) -> known_hear(0) }
	:: atomic { RUNS(1) && !asking[1] && KNOWN_IS_LATER(1) -> known_hear(1) }
	:: atomic { RUNS(0) && asking[0] -> rival_hear(0) }
	:: atomic { RUNS(1) && asking[1] -> rival_hear(1) }
	:: timeout -> break
	od;
	/* Nothing is frozen and nobody has anything to tell: one process is left, and M holds it. */
	assert(!(alive[0] && alive[1]));
	assert(!alive[0] || KNOWS(0));
	assert(!alive[1] || KNOWS(1))
}
