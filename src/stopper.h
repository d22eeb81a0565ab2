/*
 * Service "stopper": carries out a planned stop. It announces that this VM leaves, waits until no
 * caller's list names this VM and no request is in flight, and then ends the event loop.
 */
#ifndef APRICOT_STOPPER_H
#define APRICOT_STOPPER_H

#include "kernel.h"

G_BEGIN_DECLS

/*
 * lists_expire_ms: time from the announcement until the last list that names this VM has expired.
 * limit_ms: time from the announcement after which the stop ends, even if requests are in flight;
 * the reason is logged.
 */
struct service *stopper_create(struct kernel *k, uint64_t lists_expire_ms, uint64_t limit_ms);

G_END_DECLS

#endif
