/*
 * When a node reports to all others.
 *
 * Load pattern: hundreds of nodes that were started together share the rates of workspaces by
 * what they report to each other, while single reports are lost. If all reported at the same
 * moment, as they do when the tables change, each would know nothing new for a whole interval
 * and then find the bucket emptier than it took it for.
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

/* Interval of the reports of each node in a fleet of so many nodes. */
int64_t snipe_report_interval_us(int nodes);

/* The first report is due at once. */
void snipe_report_schedule_init(struct snipe_report_schedule *s, int64_t now_us);

/* Whether the next report is due, asked every tick_us. The one after it is due an interval
 * later, to half a tick; when the interval has changed, after a part of it that is drawn at
 * random, so that nodes that start together report apart. Reports that are sent for another
 * reason change nothing. */
int snipe_report_schedule_is_due(struct snipe_report_schedule *s, int64_t now_us, int nodes,
				 int64_t tick_us, GRand *rng);

#ifdef __cplusplus
}
#endif

#endif
