#include "rendezvous.h"

/* Finaliser of splitmix64: every input bit changes every output bit with probability near 1/2. */
static uint64_t hash_mix(uint64_t x)
{
	x ^= x >> 30;
	x *= 0xbf58476d1ce4e5b9ULL;
	x ^= x >> 27;
	x *= 0x94d049bb133111ebULL;
	return x ^ (x >> 31);
}

/* FNV-1a. The mixing step makes up for its weak high bits on short names. */
uint64_t rendezvous_name_hash(const char *name)
{
	uint64_t h = 0xcbf29ce484222325ULL;

	for (; *name; name++)
		h = (h ^ (unsigned char)*name) * 0x100000001b3ULL;
	return hash_mix(h);
}

/* Returns whether node a with weight wa comes before node b with weight wb. */
static bool node_precedes(const struct rendezvous_node *a, uint64_t wa,
			  const struct rendezvous_node *b, uint64_t wb)
{
	if (a->preferred != b->preferred)
		return a->preferred;
	if (wa != wb)
		return wa > wb;
	return a->name_hash > b->name_hash;
}

void rendezvous_pick(const char *key, const struct rendezvous_node *nodes, unsigned int n,
		     int *first, int *second)
{
	uint64_t key_hash = rendezvous_name_hash(key);
	uint64_t weight_first = 0, weight_second = 0;

	*first = -1;
	*second = -1;
	for (unsigned int i = 0; i < n; i++) {
		uint64_t w = hash_mix(key_hash ^ nodes[i].name_hash);

		if (*first < 0 || node_precedes(&nodes[i], w, &nodes[*first], weight_first)) {
			*second = *first;
			weight_second = weight_first;
			*first = (int)i;
			weight_first = w;
		} else if (*second < 0 ||
			   node_precedes(&nodes[i], w, &nodes[*second], weight_second)) {
			*second = (int)i;
			weight_second = w;
		}
	}
}
