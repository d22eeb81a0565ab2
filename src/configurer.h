/*
 * Service "configurer": keeps the configuration of this VM. It reads and watches the platform if
 * this VM is a reader of its data centre, exchanges sections with other VMs, and puts the highest
 * valid version in force.
 */
#ifndef APRICOT_CONFIGURER_H
#define APRICOT_CONFIGURER_H

#include "kernel.h"

G_BEGIN_DECLS

struct configurer_settings {
	const char *dc; /* strings are borrowed and outlive the service */
	const char *rpc_address;
	const char *platform_address;
	const char *peers; /* RPC addresses, comma-separated, or NULL */
	uint64_t watch_ms; /* longest wait of a watch of the platform */
};

struct service *configurer_create(struct kernel *k, const struct configurer_settings *settings);

G_END_DECLS

#endif
