/* Clocks, in milliseconds. */
#include <time.h>

#include "base/base.h"

static int64_t read_ms(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t time_now_ms(void)
{
	return read_ms(CLOCK_REALTIME);
}

int64_t time_mono_ms(void)
{
	return read_ms(CLOCK_MONOTONIC);
}

int64_t time_boot_ms(void)
{
	return read_ms(CLOCK_BOOTTIME);
}
