/*
 * Order of configurations (design section 2.5).
 *
 * The model has three nodes. Nodes 0 and 1 watch the platform; node 2 gets versions from its peers only.
 * The pipeline publishes manifests 2 and 3 at any moment, so that their notices race. The platform can be
 * down or serve any older version. One node at a time can be cut off from its peers. Nodes restart with
 * an empty memory. A notice, once sent, can arrive late, out of order, repeatedly or never.
 */
#define N 3
#define HIGHEST 3

/* States of a node. */
#define DOWN 0
#define STARTING 1
#define READY 2

/* States of the platform. */
#define OK 0
#define PLATFORM_DOWN 1
#define STALE 2

#ifndef RESTARTS
#define RESTARTS 2
#endif

byte published = 1;
byte platform;
byte cut = N;  /* the node that is cut off from its peers; N: none */
bool quiet;    /* no more faults and no more manifests */
byte restarts;

byte state[N];
byte config[N]; /* manifest in force; 0: none */
#ifdef NO_WHOLE_MANIFEST
byte groups[N]; /* the manifest to which the group sections in force belong */
#endif
byte ask[N];	       /* while starting: open questions; bit p: to peer p, bit 3: to the platform */
byte floor[N * N];     /* [n * N + p]: manifest of peer p when node n started to ask */
byte notices;	       /* bit c: notices of manifest c are in flight to every node */

/* The version number of a manifest; manifests are ordered by it. */
#ifdef NO_UNIQUE_VERSION
#define VERSION(c) ((c) == 3 -> 2 : (c))
#else
#define VERSION(c) (c)
#endif

#define CONNECTED(a, b) (cut != (a) && cut != (b))

/* Applies a complete valid manifest if its version is newer, and sends a notice to the peers. */
inline apply(n, c)
{
	if
#ifdef NO_HIGHEST_WINS
	:: c != 0 && c != config[n] ->
#else
	:: VERSION(c) > VERSION(config[n]) ->
#endif
		assert(state[n] != READY || VERSION(c) >= VERSION(config[n]));
		config[n] = c;
#ifndef NO_WHOLE_MANIFEST
		notices = notices | (1 << c)
#else
		assert(state[n] != READY || groups[n] == config[n])
#endif
	:: else
	fi
}

inline start_ask(n)
{
	state[n] = STARTING;
	ask[n] = 15 - (1 << n);
	for (p : 0 .. N - 1) {
		floor[n * N + p] = (p != n && state[p] != DOWN && CONNECTED(n, p) -> config[p] : 0)
	}
}

/* The question to one peer, or to the platform (3), has been answered or has timed out. */
inline start_step(n, who)
{
	ask[n] = ask[n] & (15 - (1 << who));
	if
#ifdef NO_WAIT_ALL
	:: config[n] != 0 ->
#elif defined(NO_ASK_PEERS)
	:: (ask[n] & 8) == 0 && config[n] != 0 ->
#elif defined(NO_NOT_READY)
	:: ask[n] == 0 ->
#else
	:: ask[n] == 0 && config[n] != 0 ->
#endif
		assert(config[n] != 0);
		for (p : 0 .. N - 1) {
			assert(VERSION(config[n]) >= VERSION(floor[n * N + p]));
			floor[n * N + p] = 0
		}
		ask[n] = 0;
		state[n] = READY
	/* Neither the platform nor a peer has a configuration: the node is not ready and asks again. */
	:: ask[n] == 0 && config[n] == 0 -> start_ask(n)
	:: else
	fi
}

proctype node(byte n)
{
	byte p;
end:
	do
	:: atomic { state[n] == DOWN -> start_ask(n); p = 0 }
	/* While the node starts, its questions are answered or time out. */
	:: atomic { state[n] == STARTING && (ask[n] & 8) ->
		if
		:: platform == OK -> apply(n, published)
		:: platform == STALE -> if :: apply(n, 1) :: published > 2 -> apply(n, 2) fi
		:: platform == PLATFORM_DOWN
		fi; start_step(n, 3); p = 0 }
	:: atomic { state[n] == STARTING && (ask[n] & 7) ->
		if
		:: (ask[n] & 1) -> p = 0
		:: (ask[n] & 2) -> p = 1
		:: (ask[n] & 4) -> p = 2
		fi;
		if
		:: state[p] != DOWN && CONNECTED(n, p) -> apply(n, config[p])
		:: else -> floor[n * N + p] = 0 /* the peer is unreachable: time-out */
		fi; start_step(n, p); p = 0 }
	/* Nodes 0 and 1 watch the platform. */
	:: atomic { n < 2 && state[n] == READY && platform == OK && config[n] != published ->
		apply(n, published) }
	:: atomic { n < 2 && state[n] == READY && platform == STALE && !quiet ->
		if :: apply(n, 1) :: published > 2 -> apply(n, 2) fi }
	/*
	 * A notice arrives, and may arrive again. The node fetches the sections and applies the manifest;
	 * a failed fetch is a step that is not taken.
	 */
	:: atomic { state[n] == READY && cut != n && (notices & 2) && config[n] != 1 -> apply(n, 1) }
	:: atomic { state[n] == READY && cut != n && (notices & 4) && config[n] != 2 -> apply(n, 2) }
	:: atomic { state[n] == READY && cut != n && (notices & 8) && config[n] != 3 -> apply(n, 3) }
#ifndef NO_HEARTBEAT_REPAIR
	/* A heartbeat carries the sender's version; a receiver with an older one fetches the manifest. */
	:: atomic { state[n] == READY && (
		(state[0] == READY && CONNECTED(n, 0) && VERSION(config[0]) > VERSION(config[n])) ||
		(state[1] == READY && CONNECTED(n, 1) && VERSION(config[1]) > VERSION(config[n])) ||
		(state[2] == READY && CONNECTED(n, 2) && VERSION(config[2]) > VERSION(config[n]))) ->
		if
		:: CONNECTED(n, 0) && VERSION(config[0]) > VERSION(config[n]) -> apply(n, config[0])
		:: CONNECTED(n, 1) && VERSION(config[1]) > VERSION(config[n]) -> apply(n, config[1])
		:: CONNECTED(n, 2) && VERSION(config[2]) > VERSION(config[n]) -> apply(n, config[2])
		fi }
#endif
#ifdef NO_WHOLE_MANIFEST
	:: atomic { config[n] != groups[n] -> groups[n] = config[n] }
#endif
	od
}

active proctype environment()
{
	byte p;
end:
	do
	:: atomic { !quiet && published < HIGHEST -> published++ }
	:: atomic { !quiet && platform == OK -> if :: platform = PLATFORM_DOWN :: platform = STALE fi }
	:: atomic { !quiet && platform != OK -> platform = OK }
	:: atomic { !quiet && cut == N -> if :: cut = 0 :: cut = 2 fi; /* node 1 is like node 0 */
		/* A question to an unreachable peer times out. */
		for (p : 0 .. N * N - 1) {
			if :: !CONNECTED(p / N, p % N) -> floor[p] = 0 :: else fi
		}; p = 0 }
	:: atomic { !quiet && cut != N -> cut = N }
	:: atomic { !quiet && restarts < RESTARTS ->
		restarts++;
		if :: p = 0 :: p = 1 :: p = 2 fi;
		state[p] = DOWN; config[p] = 0; ask[p] = 0;
		floor[p] = 0; floor[N + p] = 0; floor[2 * N + p] = 0;
		floor[p * N] = 0; floor[p * N + 1] = 0; floor[p * N + 2] = 0;
#ifdef NO_WHOLE_MANIFEST
		groups[p] = 0;
#endif
		p = 0 }
	/* The faults end after the last manifest; notices that are still in flight are lost. */
	:: atomic { !quiet && published == HIGHEST -> quiet = true; platform = OK; cut = N; notices = 0 }
	/* No other step is possible: every node must be ready with the last manifest. */
	:: atomic { quiet && timeout ->
		assert(config[0] == HIGHEST && config[1] == HIGHEST && config[2] == HIGHEST);
		assert(state[0] == READY && state[1] == READY && state[2] == READY); break }
	od
}

init {
	atomic { state[0] = READY; state[1] = READY; state[2] = READY;
		config[0] = 1; config[1] = 1; config[2] = 1;
#ifdef NO_WHOLE_MANIFEST
		groups[0] = 1; groups[1] = 1; groups[2] = 1;
#endif
		run node(0); run node(1); run node(2) }
}
