/* Detects that the process did not run for longer than its lease, so that its knowledge is stale.
 */
#ifndef APRICOT_WAKE_H
#define APRICOT_WAKE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct wake;

/* lease_ms: longest gap between two ticks that needs no renewal. Destroy accepts NULL. */
struct wake *wake_create(uint64_t lease_ms);
void wake_destroy(struct wake *w);

/*
 * Call in every turn of the event loop and before a command is sent, with the current time. Returns
 * the gap in ms when it exceeds the lease, otherwise 0. The first call starts the measurement.
 */
uint64_t wake_tick(struct wake *w, uint64_t now_ms);

/* True from a gap until the renewal. */
bool wake_is_stale(const struct wake *w);

/*
 * The platform or a peer answered a request that was sent at asked_ms. A request sent before the
 * gap ended renews nothing: its answer may have waited in the socket during the pause.
 */
void wake_renewed(struct wake *w, uint64_t asked_ms);

G_END_DECLS

#endif
