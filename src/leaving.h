/*
 * Marks of leaving backend servers. A mark belongs to one incarnation of a backend server (a random
 * number of its process) and is lifted only by another, newer incarnation.
 */
#ifndef APRICOT_LEAVING_H
#define APRICOT_LEAVING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define LEAVING_NAME_MAX 64

/* X(symbol, name): the sign that set a mark */
#define LEAVING_SIGN_LIST(X)  \
	X(VM_LIST, "vm_list") \
	X(DRAIN, "drain")     \
	X(PEER, "peer")

enum leaving_sign {
#define X(symbol, name) LEAVING_##symbol,
	LEAVING_SIGN_LIST(X)
#undef X
};

struct leaving_mark_record {
	char backend[LEAVING_NAME_MAX];
	uint64_t incarnation; /* 0: not known yet */
	enum leaving_sign sign;
};

struct leaving;

/*
 * At most max_backends are remembered: beyond that the backend seen least recently is forgotten,
 * those without a mark first. Destroy accepts NULL.
 */
struct leaving *leaving_create(unsigned int max_backends);
void leaving_destroy(struct leaving *l);

/*
 * Sets a mark; returns whether it is new, that is, whether peers need it. Incarnation 0 binds to
 * the incarnation known now or, without one, to the next observed. A mark of the VM list is set
 * once until leaving_unlist, so that a lagging list does not mark the next incarnation too.
 */
bool leaving_mark(struct leaving *l, const char *backend, uint64_t incarnation,
		  enum leaving_sign sign);

/*
 * The VM list names the backend as live, or no longer names it: lifts the marks that only the list
 * has set, since the list names no incarnation and a lagging one may have marked the wrong process.
 * Returns whether the list had marked it.
 */
bool leaving_unlist(struct leaving *l, const char *backend);

/*
 * An answer of this incarnation arrived. An incarnation that was replaced before (a late answer)
 * changes nothing.
 */
void leaving_observe(struct leaving *l, const char *backend, uint64_t incarnation);

/* Incarnation 0 asks for the newest one known. */
bool leaving_is_marked(const struct leaving *l, const char *backend, uint64_t incarnation);

/* All marks, for a peer; the caller frees the array with g_free. */
struct leaving_mark_record *leaving_export(const struct leaving *l, unsigned int *n);

/* Takes marks of a peer; returns how many were new. */
unsigned int leaving_import(struct leaving *l, const struct leaving_mark_record *records,
			    unsigned int n);

const char *leaving_sign_name(enum leaving_sign sign);

G_END_DECLS

#endif
