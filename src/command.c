#include "command.h"

#include <string.h>

#include "list.h"

/*
 * GHashTable has 1.1 to 2.7 slots for each element. A slot takes 20 bytes: a key, a value and a
 * hash.
 */
#define HASH_BYTES_PER_ID 40

/* The allocator adds a header of 8 bytes to each block and rounds its size to 16 bytes. */
#define HEAP_BYTES_PER_BLOCK 12

/*
 * Size of one Bloom filter of refused ids, and bits set for each id. With 5000 refused ids in a
 * lifetime the filter refuses 1% of the new ids as well. A fuller filter refuses more of them,
 * which is safe.
 */
#define REFUSED_BITS 65536
#define REFUSED_BITS_PER_ID 4

struct command_entry {
	struct list_head node; /* in command_log.by_expiry or command_log.overdue */
	uint64_t expires_ms;
	bool is_finished;
	bool is_overdue; /* past its lifetime and still in progress */
	struct command_result result;
	char id[];
};

struct command_log {
	bool is_holder;
	uint64_t incarnation;
	uint64_t lifetime_ms;
	uint64_t now_ms; /* highest time seen */
	unsigned int max_ids;
	size_t bytes;
	/*
	 * An id expires lifetime_ms after its first arrival, not after its issue. So the order of
	 * arrival is the order of expiry, and insertion is O(1) in whatever order the ids were
	 * issued. An id never arrives before its issue, so it is kept as long as it is valid.
	 */
	struct list_head by_expiry;
	/*
	 * Entries that were still in progress when their lifetime ended. They have a list of their
	 * own so that expiry does not visit them again.
	 */
	struct list_head overdue;
	GHashTable *by_id; /* id -> struct command_entry, which the lists own */
	/*
	 * Bloom filters of the ids refused because the log was full, in the current [0] and the
	 * previous [1] lifetime. Without them a repeat could run after its caller was told
	 * `not_run` (model/at_most_once.pml, NO_REFUSED_REMEMBERED).
	 */
	uint64_t refused[2][REFUSED_BITS / 64];
	uint64_t refused_rotate_ms; /* when [0] becomes [1] and the old [1] is dropped */
};

void command_id_prefix_format(char prefix[COMMAND_ID_PREFIX_BYTES], uint64_t incarnation,
			      uint64_t issued_ms)
{
	g_snprintf(prefix, COMMAND_ID_PREFIX_BYTES,
		   "%016" G_GINT64_MODIFIER "x.%" G_GUINT64_FORMAT ".", incarnation, issued_ms);
}

bool command_id_parse(const char *text, struct command_id *id)
{
	const char *p = text;
	size_t chars;

	id->incarnation = 0;
	for (int i = 0; i < 16; i++, p++) {
		if (!g_ascii_isxdigit(*p) || g_ascii_isupper(*p))
			return false;
		id->incarnation = id->incarnation << 4 | (uint64_t)g_ascii_xdigit_value(*p);
	}
	if (*p++ != '.')
		return false;
	if (!g_ascii_isdigit(*p) || (p[0] == '0' && p[1] != '.'))
		return false;
	id->issued_ms = 0;
	for (; g_ascii_isdigit(*p); p++) {
		uint64_t digit = (uint64_t)(*p - '0');

		if (id->issued_ms > (UINT64_MAX - digit) / 10)
			return false;
		id->issued_ms = id->issued_ms * 10 + digit;
	}
	if (*p++ != '.')
		return false;
	id->random = p;
	for (chars = 0; chars <= COMMAND_RANDOM_MAX_CHARS; chars++) {
		if (!g_ascii_isalnum(p[chars]) && p[chars] != '-')
			break;
	}
	return p[chars] == '\0' && chars >= COMMAND_RANDOM_MIN_CHARS &&
	       chars <= COMMAND_RANDOM_MAX_CHARS;
}

static struct command_log *log_create(bool is_holder, uint64_t incarnation, uint64_t lifetime_ms,
				      unsigned int max_ids)
{
	struct command_log *l = g_new0(struct command_log, 1);

	l->is_holder = is_holder;
	l->incarnation = incarnation;
	l->lifetime_ms = lifetime_ms;
	l->max_ids = max_ids;
	l->refused_rotate_ms = lifetime_ms;
	list_init(&l->by_expiry);
	list_init(&l->overdue);
	l->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return l;
}

struct command_log *command_log_create(uint64_t incarnation, uint64_t lifetime_ms,
				       unsigned int max_ids)
{
	return log_create(false, incarnation, lifetime_ms, max_ids);
}

struct command_log *command_log_create_holder(uint64_t lifetime_ms, unsigned int max_ids)
{
	return log_create(true, 0, lifetime_ms, max_ids);
}

static size_t entry_bytes(const struct command_entry *e)
{
	size_t bytes = sizeof(*e) + strlen(e->id) + 1 + HEAP_BYTES_PER_BLOCK + HASH_BYTES_PER_ID;

	if (e->result.body)
		bytes += strlen(e->result.body) + 1 + HEAP_BYTES_PER_BLOCK;
	return bytes;
}

/* Frees an entry; the caller has taken it off its list or frees the whole list. */
static void entry_free(struct command_log *l, struct command_entry *e)
{
	l->bytes -= entry_bytes(e);
	g_hash_table_remove(l->by_id, e->id);
	g_free(e->result.body);
	g_free(e);
}

static void entries_free(struct command_log *l, struct list_head *entries)
{
	struct list_head *node, *next;

	list_for_each_safe (node, next, entries)
		entry_free(l, list_entry(node, struct command_entry, node));
}

void command_log_destroy(struct command_log *l)
{
	if (!l)
		return;
	entries_free(l, &l->by_expiry);
	entries_free(l, &l->overdue);
	g_hash_table_destroy(l->by_id);
	g_free(l);
}

/* Returns a + b, or UINT64_MAX on overflow, since ids and settings can hold any number. */
static uint64_t add_saturated(uint64_t a, uint64_t b)
{
	return a > UINT64_MAX - b ? UINT64_MAX : a + b;
}

/* Computes the Bloom filter bits of an id by double hashing of its 64-bit FNV-1a hash. */
static void refused_bits(const char *id, uint32_t bits[REFUSED_BITS_PER_ID])
{
	uint64_t hash = 0xcbf29ce484222325;

	for (const char *p = id; *p; p++)
		hash = (hash ^ (unsigned char)*p) * 0x100000001b3;
	for (uint32_t i = 0; i < REFUSED_BITS_PER_ID; i++)
		bits[i] = ((uint32_t)hash + i * ((uint32_t)(hash >> 32) | 1)) % REFUSED_BITS;
}

static void refused_add(struct command_log *l, const char *id)
{
	uint32_t bits[REFUSED_BITS_PER_ID];

	refused_bits(id, bits);
	for (int i = 0; i < REFUSED_BITS_PER_ID; i++)
		l->refused[0][bits[i] / 64] |= (uint64_t)1 << bits[i] % 64;
}

static bool refused_has(const struct command_log *l, const char *id)
{
	uint32_t bits[REFUSED_BITS_PER_ID];

	refused_bits(id, bits);
	for (int generation = 0; generation < 2; generation++) {
		bool has = true;

		for (int i = 0; i < REFUSED_BITS_PER_ID; i++)
			has &= l->refused[generation][bits[i] / 64] >> bits[i] % 64 & 1;
		if (has)
			return true;
	}
	return false;
}

/* Each filter takes ids for one lifetime and is then kept unchanged for a second lifetime. */
static void refused_rotate(struct command_log *l)
{
	bool are_both_expired = l->now_ms >= add_saturated(l->refused_rotate_ms, l->lifetime_ms);

	if (l->now_ms < l->refused_rotate_ms)
		return;
	if (are_both_expired)
		memset(l->refused[1], 0, sizeof(l->refused[1]));
	else
		memcpy(l->refused[1], l->refused[0], sizeof(l->refused[1]));
	memset(l->refused[0], 0, sizeof(l->refused[0]));
	l->refused_rotate_ms = add_saturated(l->now_ms, l->lifetime_ms);
}

void command_log_expire(struct command_log *l, uint64_t now_ms)
{
	struct list_head *node, *next;

	if (now_ms > l->now_ms)
		l->now_ms = now_ms;
	refused_rotate(l);
	list_for_each_safe (node, next, &l->by_expiry) {
		struct command_entry *e = list_entry(node, struct command_entry, node);

		if (e->expires_ms > l->now_ms)
			break;
		list_del(node);
		if (e->is_finished) {
			entry_free(l, e);
		} else {
			e->is_overdue = true;
			list_add_tail(node, &l->overdue);
		}
	}
}

static enum result id_check(const struct command_log *l, const struct command_id *id)
{
	if (l->is_holder)
		return RESULT_OK;
	if (id->incarnation != l->incarnation)
		return RESULT_FOREIGN_ID;
	if (id->issued_ms > l->now_ms)
		return RESULT_BAD_ID;
	if (add_saturated(id->issued_ms, l->lifetime_ms) <= l->now_ms)
		return RESULT_EXPIRED_ID;
	return RESULT_OK;
}

enum command_decision command_log_begin(struct command_log *l, const char *id, uint64_t now_ms,
					const struct command_result **finished, enum result *reason)
{
	struct command_id parsed;
	struct command_entry *e;
	size_t id_bytes;

	*finished = NULL;
	*reason = RESULT_OK;
	command_log_expire(l, now_ms);
	if (!command_id_parse(id, &parsed)) {
		*reason = RESULT_BAD_ID;
		return COMMAND_REFUSE;
	}
	e = g_hash_table_lookup(l->by_id, id);
	if (e && !e->is_finished)
		return COMMAND_WAIT;
	if (e) {
		*finished = &e->result;
		return COMMAND_FINISHED;
	}
	*reason = id_check(l, &parsed);
	if (*reason != RESULT_OK)
		return COMMAND_REFUSE;
	if (g_hash_table_size(l->by_id) >= l->max_ids || refused_has(l, id)) {
		refused_add(l, id);
		*reason = RESULT_OVERLOADED;
		return COMMAND_REFUSE;
	}
	id_bytes = strlen(id) + 1;
	e = g_malloc0(sizeof(*e) + id_bytes);
	memcpy(e->id, id, id_bytes);
	e->expires_ms = add_saturated(l->now_ms, l->lifetime_ms);
	list_add_tail(&e->node, &l->by_expiry);
	g_hash_table_insert(l->by_id, e->id, e);
	l->bytes += entry_bytes(e);
	return COMMAND_DISPATCH;
}

void command_log_finish(struct command_log *l, const char *id, enum outcome o, enum result r,
			const char *body)
{
	struct command_entry *e = g_hash_table_lookup(l->by_id, id);

	if (!e || (e->is_finished && e->result.outcome != OUTCOME_UNKNOWN))
		return;
	if (!body)
		body = "";
	l->bytes -= entry_bytes(e);
	g_free(e->result.body);
	e->result.outcome = o;
	e->result.result = r;
	e->result.body_lost = strlen(body) > COMMAND_BODY_MAX_BYTES;
	e->result.body = g_strdup(e->result.body_lost ? "" : body);
	e->is_finished = true;
	l->bytes += entry_bytes(e);
	if (e->is_overdue) {
		/* Its lifetime has ended: at the front of by_expiry, the next expiry removes it. */
		e->is_overdue = false;
		list_del(&e->node);
		list_add_tail(&e->node, l->by_expiry.next);
	}
}

unsigned int command_log_count(const struct command_log *l)
{
	return g_hash_table_size(l->by_id);
}

size_t command_log_bytes(const struct command_log *l)
{
	return sizeof(*l) + l->bytes;
}

enum outcome command_outcome(enum result result, bool was_sent)
{
	if (!was_sent)
		return result_is_not_run(result) ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
	if (result == RESULT_OK)
		return OUTCOME_DONE;
	if (result == RESULT_SHED || result == RESULT_LEAVING)
		return OUTCOME_NOT_RUN;
	return OUTCOME_UNKNOWN;
}
