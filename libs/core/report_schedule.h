/*
 * Schedule of the reports that a node sends to all others.
 *
 * Load pattern: hundreds of nodes that were started together share the rate limits of
 * workspaces on the basis of their reports, some of which are lost. If all nodes reported at
 * the same moment, as they do when the tables change, each would learn nothing for a whole
 * interval and then find the token bucket emptier than its estimate. Reports are therefore
 * spread over the interval.
 */
#ifndef SNIPE_REPORT_SCHEDULE_H
#define SNIPE_REPORT_SCHEDULE_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Fields are private. */
struct snipe_report_schedule {
	int64_t due_us;
	int64_t interval_us;
};

/* Returns the interval at which each node reports in a fleet of the given size. */
int64_t snipe_report_interval_us(int nodes);

/* The first report is due at once. */
void snipe_report_schedule_init(struct snipe_report_schedule *s, int64_t now_us);

/* Returns nonzero if a report is due; call every tick_us. The next one is due an interval
 * later, to half a tick. After a change of the interval it is due after a random part of it, so
 * that nodes that start together don't report together. Reports sent for another reason don't
 * change the schedule. */
int snipe_report_schedule_is_due(struct snipe_report_schedule *s, int64_t now_us, int nodes,
				 int64_t tick_us, GRand *rng);

#ifdef __cplusplus
}
#endif

#endif
