/*
 * Service "commander": the entry side of commands. It is the only place of the system that may
 * dispatch the ids of this process, each at most once.
 */
#ifndef APRICOT_COMMANDER_H
#define APRICOT_COMMANDER_H

#include "kernel.h"

G_BEGIN_DECLS

struct commander_settings {
	uint64_t incarnation;
	uint64_t started_ms; /* clock_now_ms of the start; ids count from it */
	uint64_t lease_ms;
	uint64_t id_lifetime_ms;
	unsigned int max_ids;
};

struct service *commander_create(struct kernel *k, const struct commander_settings *settings);

G_END_DECLS

#endif
