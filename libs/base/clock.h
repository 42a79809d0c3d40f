/*
 * Monotonic and wall clock time.
 */
#ifndef SNIPE_CLOCK_H
#define SNIPE_CLOCK_H

#include <stdint.h>
#include <sys/time.h>

#ifdef __cplusplus
extern "C" {
#endif

/* CLOCK_BOOTTIME in microseconds; includes the time that the system was suspended. */
int64_t snipe_now_us(void);

/*
 * Wall time in milliseconds since 1970: the wall clock at the first call plus CLOCK_BOOTTIME
 * since, so that later adjustments of the wall clock have no effect.
 */
int64_t snipe_wall_ms(void);

/* Converts a duration for the event loop; a negative one becomes 0. */
struct timeval snipe_timeval(int64_t us);

#ifdef __cplusplus
}
#endif

#endif
