/*
 * The members that a node may call, as one immutable list; reference counted, so that a request
 * can keep the list it started with.
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
	char *http; /* where its callers connect */
	uint64_t name_hash;
	uint32_t weight; /* processor share, thousandths of a core; 0: not said */
	bool is_self;
	bool is_available; /* neither leaving nor suspected */
	bool has_config; /* it can serve callers */
};

struct roster {
	grefcount refs;
	uint64_t version; /* of the member table it was made from */
	struct roster_vm *vms;
	unsigned int n_vms;
};

/* Room for n VMs, all fields zero; the caller fills in strings that the roster then owns. */
struct roster *roster_create(unsigned int n, uint64_t version);
struct roster *roster_get(struct roster *r);
void roster_put(struct roster *r);

G_END_DECLS

#endif
