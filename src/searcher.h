/*
 * Service "searcher": handles callers' searches on the entry VM. It pins each search to a snapshot
 * (an index version and a map version), sends the search to the holders of the service's groups,
 * gathers their replies and answers the caller.
 */
#ifndef APRICOT_SEARCHER_H
#define APRICOT_SEARCHER_H

#include "kernel.h"

G_BEGIN_DECLS

/* The service uses the service "peer". kernel_service_add() takes it over. */
struct service *searcher_create(struct kernel *k);

G_END_DECLS

#endif
