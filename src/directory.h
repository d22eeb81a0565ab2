/*
 * Service "directory": tells callers which entry VMs to use, and the status checks whether this VM
 * is one of them.
 */
#ifndef APRICOT_DIRECTORY_H
#define APRICOT_DIRECTORY_H

#include "edge.h"
#include "kernel.h"

G_BEGIN_DECLS

struct directory_settings {
	const char *address; /* IP:PORT where callers ask; NULL: not served here */
	const char *ready_address; /* IP:PORT of the status checks; NULL: none */
	const char *dc;
	unsigned int ttl_ms; /* callers may keep an answer for so long */
};

struct service *directory_create(struct kernel *k, const struct edge *edge,
				 const struct directory_settings *settings, GError **error);

G_END_DECLS

#endif
