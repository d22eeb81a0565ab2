/*
 * Detects that the process was paused for longer than its lease. The lease (setting lease-ms) is
 * the time for which its state, what it knows of the platform and the other VMs, stays usable
 * during a pause. After a longer pause the state is stale.
 */
#ifndef APRICOT_PAUSEWATCH_H
#define APRICOT_PAUSEWATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

struct pausewatch;

/* lease_ms: the state becomes stale when two ticks are further apart. Destroy accepts NULL. */
struct pausewatch *pausewatch_create(uint64_t lease_ms);
void pausewatch_destroy(struct pausewatch *w);

/*
 * To be called with the current time in every iteration of the event loop and before the state is
 * relied on, for example before a command is sent. Returns the time since the previous call in ms
 * when it exceeds the lease, otherwise 0. The first call only starts the measurement.
 */
uint64_t pausewatch_tick(struct pausewatch *w, uint64_t now_ms);

/* True from the end of a gap longer than the lease until pausewatch_renewed renews the state. */
bool pausewatch_is_stale(const struct pausewatch *w);

/*
 * To be called when the platform or a peer has answered a request that was sent at asked_ms; the
 * state is then no longer stale. An answer to a request that was sent before the end of the gap is
 * ignored, since the answer may have waited in the socket during the pause.
 */
void pausewatch_renewed(struct pausewatch *w, uint64_t asked_ms);

G_END_DECLS

#endif
