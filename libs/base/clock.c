#include "base/clock.h"

#include <time.h>

int64_t snipe_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t snipe_wall_ms(void)
{
	static int64_t offset_ms;
	struct timespec ts;

	if (!offset_ms) {
		clock_gettime(CLOCK_REALTIME, &ts);
		offset_ms = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000 -
			    snipe_now_us() / 1000;
	}
	return offset_ms + snipe_now_us() / 1000;
}

struct timeval snipe_timeval(int64_t us)
{
	struct timeval tv = {0, 0};

	if (us > 0) {
		tv.tv_sec = us / 1000000;
		tv.tv_usec = us % 1000000;
	}
	return tv;
}
