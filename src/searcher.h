/*
 * Service "searcher": the entry side of searches. It pins each search to a snapshot (an index and a
 * map version), sends it to the holders of the service's groups, gathers their replies and answers
 * the caller.
 */
#ifndef APRICOT_SEARCHER_H
#define APRICOT_SEARCHER_H

#include "kernel.h"

G_BEGIN_DECLS

/* The service uses the service "peer". kernel_service_add() takes it over. */
struct service *searcher_create(struct kernel *k);

G_END_DECLS

#endif
