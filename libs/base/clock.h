/*
 * Clocks of a node.
 */
#ifndef SNIPE_CLOCK_H
#define SNIPE_CLOCK_H

#include <stdint.h>
#include <sys/time.h>

#ifdef __cplusplus
extern "C" {
#endif

/* CLOCK_BOOTTIME in microseconds; it counts suspended time. */
int64_t snipe_now_us(void);

/*
 * Wall time in milliseconds since 1970: the wall clock at the first call plus CLOCK_BOOTTIME
 * since, so that a step of the wall clock does not move it.
 */
int64_t snipe_wall_ms(void);

/* A time span for the event loop; a negative one counts as 0. */
struct timeval snipe_timeval(int64_t us);

#ifdef __cplusplus
}
#endif

#endif
