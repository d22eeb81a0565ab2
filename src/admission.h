/*
 * How many searches of one service an entry VM lets in at once. The holders' queues drop calls
 * independently of each other, so under overload nearly every search would lose some shard; whole
 * searches are refused here instead, and the admitted ones are complete.
 */
#ifndef APRICOT_ADMISSION_H
#define APRICOT_ADMISSION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct admission;

enum admission_event {
	ADMISSION_COMPLETE,
	ADMISSION_OVERLOADED, /* some shard was dropped from a queue */
	ADMISSION_OTHER, /* incomplete for another reason: says nothing about load */
};

struct admission *admission_create(void);
void admission_destroy(struct admission *a);

/*
 * Priority 0 may use the whole limit, lower classes a part of it. Each admitted search is finished
 * exactly once.
 */
bool admission_admit(struct admission *a, unsigned int priority);
void admission_finish(struct admission *a, enum admission_event event, uint64_t now_us);

unsigned int admission_limit(const struct admission *a);
unsigned int admission_in_use(const struct admission *a);

G_END_DECLS

#endif
