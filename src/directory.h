/*
 * Service "directory": tells callers which entry VMs to use, and answers status checks that ask
 * whether this VM is ready for requests.
 */
#ifndef APRICOT_DIRECTORY_H
#define APRICOT_DIRECTORY_H

#include "adapter.h"
#include "kernel.h"

G_BEGIN_DECLS

struct directory_settings {
	const char *address; /* IP:PORT on which callers ask for entry VMs; NULL: not served */
	const char *ready_address; /* IP:PORT for status checks; NULL: not served */
	const char *dc; /* data centre of this VM; copied */
	unsigned int ttl_ms; /* how long callers may keep an answer */
	const char *dc_regions; /* regions of the data centres, see region.h; or NULL */
};

/* NULL with an error if listening on an address fails. adapter is borrowed. */
struct service *directory_create(struct kernel *k, const struct adapter *adapter,
				 const struct directory_settings *settings, GError **error);

G_END_DECLS

#endif
