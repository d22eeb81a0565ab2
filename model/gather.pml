/*
 * Gathering the answers of a search (design sections 2.2 and 2.3).
 *
 * One request asks two shards. A second request of the same entry asks too, so that its answers can
 * arrive at the calls of the first. Index versions 2 and 3 replace version 1, and map 2 (one shard)
 * replaces map 1 (two shards), at any moment. An answer, once sent, can arrive at any open call, late, out
 * of order, repeatedly or never. A faulty leaf can answer from another index version, map or shard, but
 * its headers name the one that it used. The second request pins its versions and asks, and takes no
 * answers: by symmetry, what holds for the first request holds for the second.
 */
#define REQUESTS 2
#define SHARDS 2
#define SHARDS_OF(m) (3 - (m))

/* An answer is identified by its request, index version, map version and shard. */
#define ANSWER(r, v, m, s) ((r) * 12 + ((v) - 1) * 4 + ((m) - 1) * 2 + (s))
#define ANSWER_REQUEST(a) ((a) / 12)
#define ANSWER_VERSION(a) ((a) / 4 % 3 + 1)
#define ANSWER_MAP(a) ((a) / 2 % 2 + 1)
#define ANSWER_SHARD(a) ((a) % 2)
#define NOTHING 255

byte newest = 1, oldest = 1; /* index versions that the leaves serve */
byte manifest_map = 1;
int in_flight;		     /* bit per ANSWER */
bool faulty_answer;	     /* a faulty leaf has answered; this happens at most once */

byte version[REQUESTS]; /* pinned index version; 0: not started */
byte map[REQUESTS];	/* pinned map version */
byte restarts[REQUESTS];
byte asked[REQUESTS];	 /* bit per shard: a call is open */
byte included[REQUESTS]; /* bit per shard: part of the reply and of its coverage */
byte content[REQUESTS * SHARDS]; /* the ANSWER that was gathered for each shard */
byte count[REQUESTS];
byte replies[REQUESTS];

inline call_shards(r)
{
	asked[r] = (map[r] == 1 -> 3 : 1)
}

/* Replies to the caller; checks that each included shard has the right answer. */
inline reply(r, is_complete)
{
	for (s : 0 .. SHARDS - 1) {
		if
		:: included[r] & (1 << s) ->
			assert(content[r * SHARDS + s] != NOTHING);
			assert(ANSWER_REQUEST(content[r * SHARDS + s]) == r);
			assert(ANSWER_VERSION(content[r * SHARDS + s]) == version[r]);
			assert(ANSWER_MAP(content[r * SHARDS + s]) == map[r]);
			assert(ANSWER_SHARD(content[r * SHARDS + s]) == s)
		:: else -> assert(!is_complete || s >= SHARDS_OF(map[r]))
		fi
	}
	replies[r]++;
	assert(replies[r] <= 1);
	/* These values are not used again. Resetting them reduces the number of states. */
	asked[r] = 0; included[r] = 0; count[r] = 0; restarts[r] = 0;
	content[r * SHARDS] = NOTHING; content[r * SHARDS + 1] = NOTHING
}

#ifdef NO_DUPLICATE_DROP
#define IS_COMPLETE(r) (count[r] >= SHARDS_OF(map[r]))
#elif defined(NO_KEEP_MANIFEST)
#define IS_COMPLETE(r) (included[r] == (manifest_map == 1 -> 3 : 1))
#else
#define IS_COMPLETE(r) (included[r] == (map[r] == 1 -> 3 : 1))
#endif

#ifdef NO_CHECK_REQUEST
#define CONFIRMS_REQUEST(a, r) true
#else
#define CONFIRMS_REQUEST(a, r) (ANSWER_REQUEST(a) == (r))
#endif
#ifdef NO_CHECK_VERSION
#define CONFIRMS_VERSION(a, r) true
#else
#define CONFIRMS_VERSION(a, r) (ANSWER_VERSION(a) == version[r])
#endif
#ifdef NO_CHECK_MAP
#define CONFIRMS_MAP(a, r) true
#else
#define CONFIRMS_MAP(a, r) (ANSWER_MAP(a) == map[r])
#endif
#ifdef NO_CHECK_SHARD
#define CONFIRMS_SHARD(a, s) true
#else
#define CONFIRMS_SHARD(a, s) (ANSWER_SHARD(a) == (s))
#endif

#ifdef NO_RESTART_ONCE
#define MAY_RESTART(r) true
#else
#define MAY_RESTART(r) (restarts[r] == 0)
#endif
#ifdef NO_ONE_REPLY
#define MAY_REPLY(r) true
#else
#define MAY_REPLY(r) (replies[r] == 0)
#endif

proctype entry(byte r)
{
	byte s, a;
end:
	do
	:: atomic { version[r] == 0 -> version[r] = newest; map[r] = manifest_map; call_shards(r) }
	/* An answer arrives at the call for shard s. */
	:: atomic { version[r] != 0 && replies[r] == 0 && in_flight != 0 ->
		if :: s = 0 :: SHARDS_OF(map[r]) == 2 -> s = 1 fi;
		a = 0;
		do
		:: a < 23 -> a++
		:: in_flight & (1 << a) -> break
		:: a == 23 && !(in_flight & (1 << a)) -> a = NOTHING; break
		od;
		if
		:: a == NOTHING
		:: a != NOTHING && CONFIRMS_REQUEST(a, r) && CONFIRMS_VERSION(a, r) &&
				CONFIRMS_MAP(a, r) && CONFIRMS_SHARD(a, s) ->
#ifndef NO_DUPLICATE_DROP
			if :: included[r] & (1 << s) :: else ->
#endif
			included[r] = included[r] | (1 << s);
			content[r * SHARDS + s] = a;
			if :: count[r] < 3 -> count[r]++ :: else fi;
			asked[r] = asked[r] & (3 - (1 << s))
#ifndef NO_DUPLICATE_DROP
			fi
#endif
		:: else /* dropped and counted */
		fi; s = 0; a = 0 }
	/* version_gone: the whole query restarts once, on a newer version. */
	:: atomic { MAY_RESTART(r) && version[r] != 0 && replies[r] == 0 && version[r] < oldest &&
		asked[r] != 0 ->
		version[r] = newest; restarts[r]++;
		assert(restarts[r] <= 1);
#ifndef NO_RESTART_FRESH
		included[r] = 0; count[r] = 0;
		content[r * SHARDS] = NOTHING; content[r * SHARDS + 1] = NOTHING;
#endif
		call_shards(r) }
	:: atomic { version[r] != 0 && replies[r] == 0 && IS_COMPLETE(r) -> reply(r, true); s = 0 }
	/* The deadline passes, or target_ms in a service with the policy "latency". */
	:: atomic { version[r] != 0 && MAY_REPLY(r) && !IS_COMPLETE(r) -> reply(r, false); s = 0 }
	od
}

active proctype other_request()
{
end:
	do
	:: atomic { version[1] == 0 -> version[1] = newest; map[1] = manifest_map; call_shards(1) }
	od
}

/* The leaves answer open calls from the index versions that they serve. */
active proctype leaves()
{
	byte r, s;
end:
	do
	:: atomic { (asked[0] != 0 || asked[1] != 0) ->
		if :: asked[0] != 0 -> r = 0 :: asked[1] != 0 -> r = 1 fi;
		if :: asked[r] & 1 -> s = 0 :: asked[r] & 2 -> s = 1 fi;
		if
		:: version[r] >= oldest && version[r] <= newest ->
			in_flight = in_flight | (1 << ANSWER(r, version[r], map[r], s))
		:: !faulty_answer -> faulty_answer = true;
			if
			:: in_flight = in_flight | (1 << ANSWER(r, version[r] % 3 + 1, map[r], s))
			:: in_flight = in_flight | (1 << ANSWER(r, version[r], 3 - map[r], s))
			:: in_flight = in_flight | (1 << ANSWER(r, version[r], map[r], 1 - s))
			fi
		:: else
		fi; r = 0; s = 0 }
	od
}

active proctype pipeline()
{
end:
	do
	:: atomic { newest < 3 -> newest++ }
	:: atomic { oldest < newest -> oldest++ }
	:: atomic { manifest_map == 1 -> manifest_map = 2 }
	od
}

init {
	atomic {
		content[0] = NOTHING; content[1] = NOTHING; content[2] = NOTHING; content[3] = NOTHING;
		run entry(0)
	}
}
