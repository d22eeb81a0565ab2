/*
 * Immutable list of the members that a VM may call. It is reference counted, so that a request can
 * keep the list it started with.
 */
#ifndef APRICOT_ROSTER_H
#define APRICOT_ROSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct roster_vm {
	char *name;
	char *dc;
	char *rpc;
	char *http; /* IP:PORT that callers connect to */
	uint64_t name_hash; /* rendezvous_name_hash of the name */
	uint32_t weight; /* processor share, thousandths of a core; 0: unknown */
	uint32_t weight_left; /* of it, what is left for callers; less while the VM is short */
	bool is_self;
	bool is_available; /* neither leaving nor suspected */
	bool has_config; /* needed to serve callers */
};

struct roster {
	grefcount refs;
	uint64_t version; /* of the member table that it was made from */
	struct roster_vm *vms;
	unsigned int n_vms;
};

/*
 * Returns a roster with one reference and n VMs whose fields are zero. The caller fills them in
 * with allocated strings, which the roster then owns. Put accepts NULL; the last put frees the
 * roster.
 */
struct roster *roster_create(unsigned int n, uint64_t version);
struct roster *roster_get(struct roster *r);
void roster_put(struct roster *r);

G_END_DECLS

#endif
