/* The only sources of time. Modules that make decisions receive the time as an argument. */
#ifndef APRICOT_CLOCK_H
#define APRICOT_CLOCK_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

#define CLOCK_US_PER_MS 1000u
#define CLOCK_MS_PER_S 1000u

/*
 * Microseconds of CLOCK_BOOTTIME, which also advances while the VM is suspended, so that a lease
 * cannot outlive a suspension.
 */
uint64_t clock_now_us(void);
/* The same clock in milliseconds. */
uint64_t clock_now_ms(void);

/* Milliseconds since the Unix epoch, for logs only: the clock may step. */
uint64_t clock_wall_ms(void);

G_END_DECLS

#endif
