/*
 * Service "searcher": the entry side of searches. It pins the snapshot, scatters a search to the
 * holders of the service's groups, gathers their replies and answers the caller.
 */
#ifndef APRICOT_SEARCHER_H
#define APRICOT_SEARCHER_H

#include "kernel.h"

G_BEGIN_DECLS

struct service *searcher_create(struct kernel *k);

G_END_DECLS

#endif
