#include "roster.h"

struct roster *roster_create(unsigned int n, uint64_t version)
{
	struct roster *r = g_new0(struct roster, 1);

	g_ref_count_init(&r->refs);
	r->version = version;
	r->vms = g_new0(struct roster_vm, n);
	r->n_vms = n;
	return r;
}

struct roster *roster_get(struct roster *r)
{
	g_ref_count_inc(&r->refs);
	return r;
}

void roster_put(struct roster *r)
{
	if (!r || !g_ref_count_dec(&r->refs))
		return;
	for (unsigned int i = 0; i < r->n_vms; i++) {
		g_free(r->vms[i].name);
		g_free(r->vms[i].dc);
		g_free(r->vms[i].rpc);
		g_free(r->vms[i].http);
	}
	g_free(r->vms);
	g_free(r);
}
