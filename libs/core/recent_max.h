/*
 * Largest value of the last 30 to 60 seconds.
 */
#ifndef SNIPE_RECENT_MAX_H
#define SNIPE_RECENT_MAX_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Fields are private. Zeroed: no values. */
struct snipe_recent_max {
	struct snipe_recent_max_window {
		int64_t max;
		int count;
	} current, last;
	int64_t current_since_us;
};

/* Values are 0 or more; now_us is monotonic time in microseconds. */
void snipe_recent_max_add(struct snipe_recent_max *m, int64_t now_us, int64_t value);
/* Returns the number of values, and the largest one in *max, 0 if there are none. */
int snipe_recent_max_get(struct snipe_recent_max *m, int64_t now_us, int64_t *max);

#ifdef __cplusplus
}
#endif

#endif
