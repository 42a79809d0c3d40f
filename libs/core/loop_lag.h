/*
 * How late the event loop of a node is.
 *
 * The node schedules a probe at regular intervals. It runs late by the time that other events
 * waited for in the loop, which grows when the node has more work than processor time.
 *
 * Load pattern: a flood of client requests, each of which is rejected, takes all processor time
 * of the node; admitted work, deadlines and closed connections wait behind it.
 */
#ifndef SNIPE_LOOP_LAG_H
#define SNIPE_LOOP_LAG_H

#include <stdint.h>

#include "base/histogram.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Lag from which the loop counts as late: clients notice, and other nodes begin to suspect the
 * connections of this one. */
#define SNIPE_LOOP_LATE_US 250000

struct snipe_loop_lag {
	int64_t due_us;	 /* when the next probe is due */
	int64_t lag_us;	 /* of the last probe */
	int64_t peak_us; /* since the last call of snipe_loop_lag_take_peak */
	struct snipe_histogram lags_us;
};

void snipe_loop_lag_init(struct snipe_loop_lag *l);
/* Records when the next probe is due. */
void snipe_loop_lag_schedule(struct snipe_loop_lag *l, int64_t due_us);
/* Records that the probe runs now. Returns its lag in microseconds. */
int64_t snipe_loop_lag_probe(struct snipe_loop_lag *l, int64_t now_us);
/* Returns how long events that run now have probably waited, in microseconds; a probe that is
 * overdue counts. */
int64_t snipe_loop_lag_now(const struct snipe_loop_lag *l, int64_t now_us);
/* Returns the highest lag since the last call, in microseconds. */
int64_t snipe_loop_lag_take_peak(struct snipe_loop_lag *l);

#ifdef __cplusplus
}
#endif

#endif
