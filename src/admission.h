/*
 * Adaptive limit on the concurrent searches of one service at one entry VM. The holders' queues
 * drop calls independently of each other, so under overload nearly every search would lose some
 * shard. Whole searches are refused here instead, so that the admitted ones are complete.
 */
#ifndef APRICOT_ADMISSION_H
#define APRICOT_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct admission;

/* How an admitted search ended. */
enum admission_event {
	ADMISSION_COMPLETE, /* the result includes every shard */
	ADMISSION_OVERLOADED, /* at least one shard's call was dropped from a queue */
	ADMISSION_OTHER, /* incomplete for another reason, which says nothing about the load */
};

/* The caller owns the returned object. */
struct admission *admission_create(void);
void admission_destroy(struct admission *a);

/*
 * Returns false when the search must be refused. Searches of priority 0 may use the whole limit,
 * searches of lower classes (1 and above) only a part of it.
 */
bool admission_admit(struct admission *a, unsigned int priority);
/* Must be called exactly once for each admitted search. */
void admission_finish(struct admission *a, enum admission_event event, uint64_t now_us);

/* The current limit, rounded down. */
unsigned int admission_limit(const struct admission *a);
/* Admitted searches that have not finished. */
unsigned int admission_in_use(const struct admission *a);

G_END_DECLS

#endif
