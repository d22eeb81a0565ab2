/*
 * Marks of backend servers that leave. A mark belongs to one incarnation of a backend server, a
 * random number that its process has. The backend counts as leaving until a newer incarnation
 * replaces the marked one. A mark that only the VM list has set can also be lifted by the list.
 */
#ifndef APRICOT_LEAVING_H
#define APRICOT_LEAVING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define LEAVING_NAME_MAX 64

/* X(symbol, name): from what this VM learned that the backend leaves */
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
 * At most max_backends backends are remembered. When a further one appears, the least recently seen
 * one without a mark is forgotten, or, if all have marks, the least recently seen one. Destroy
 * accepts NULL.
 */
struct leaving *leaving_create(unsigned int max_backends);
void leaving_destroy(struct leaving *l);

/*
 * Sets a mark. Returns whether it is new, that is, whether peers have to be told. Incarnation 0
 * stands for the newest known incarnation or, when none is known, for the next one observed. After
 * the VM list has set a mark, it sets no further one until leaving_unlist, so that an outdated list
 * does not mark the next incarnation too.
 */
bool leaving_mark(struct leaving *l, const char *backend, uint64_t incarnation,
		  enum leaving_sign sign);

/*
 * To be called when the VM list names the backend as live or no longer names it. Lifts the marks
 * that only the list has set: the list names no incarnation, so an outdated one may have marked the
 * wrong process. Returns whether the list had marked the backend.
 */
bool leaving_unlist(struct leaving *l, const char *backend);

/*
 * To be called when an answer of this incarnation arrived. A late answer of an incarnation that was
 * already replaced changes nothing.
 */
void leaving_observe(struct leaving *l, const char *backend, uint64_t incarnation);

/*
 * Incarnation 0 stands for the newest known one. A mark for the next observed incarnation counts
 * for every incarnation until then.
 */
bool leaving_is_marked(const struct leaving *l, const char *backend, uint64_t incarnation);

/* All marks, for a peer; the calling function frees the array with g_free. */
struct leaving_mark_record *leaving_export(const struct leaving *l, unsigned int *n);

/* Sets the marks that a peer has exported; returns how many were new. */
unsigned int leaving_import(struct leaving *l, const struct leaving_mark_record *records,
			    unsigned int n);

const char *leaving_sign_name(enum leaving_sign sign);

G_END_DECLS

#endif
