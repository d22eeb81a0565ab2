/*
 * Service "stopper": a planned stop. It announces that this VM leaves, waits until no list that
 * names it is in use and its requests are finished, and then ends the event loop.
 */
#ifndef APRICOT_STOPPER_H
#define APRICOT_STOPPER_H

#include "kernel.h"

G_BEGIN_DECLS

/*
 * lists_ms: time from the announcement until no list that names this VM is in use. bound_ms: the
 * stop ends then, whatever is unfinished, and logs the reason.
 */
struct service *stopper_create(struct kernel *k, uint64_t lists_ms, uint64_t bound_ms);

G_END_DECLS

#endif
