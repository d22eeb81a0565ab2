/*
 * Service "commander": handles callers' commands on the entry VM. Only this service may dispatch
 * the command ids that this process issued, each at most once.
 */
#ifndef APRICOT_COMMANDER_H
#define APRICOT_COMMANDER_H

#include "kernel.h"

G_BEGIN_DECLS

struct commander_settings {
	uint64_t incarnation;
	uint64_t started_ms; /* clock_now_ms() at the start; command ids hold the time since then */
	uint64_t lease_ms; /* after a longer pause no command is dispatched until a renewal */
	uint64_t id_lifetime_ms; /* how long a command id may be used */
	unsigned int max_ids; /* command ids remembered at most */
};

struct service *commander_create(struct kernel *k, const struct commander_settings *settings);

G_END_DECLS

#endif
