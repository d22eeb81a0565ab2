#include "clock.h"

#include <time.h>

static uint64_t clock_read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * 1000000u + (uint64_t)ts.tv_nsec / 1000u;
}

uint64_t clock_now_us(void)
{
	return clock_read_us(CLOCK_BOOTTIME);
}

uint64_t clock_now_ms(void)
{
	return clock_now_us() / CLOCK_US_PER_MS;
}

uint64_t clock_wall_ms(void)
{
	return clock_read_us(CLOCK_REALTIME) / CLOCK_US_PER_MS;
}
