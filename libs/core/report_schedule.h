/*
 * When a node reports to all others.
 *
 * Load pattern: hundreds of nodes share the rates of small workspaces by what they report to
 * each other, while single reports are lost.
 */
#ifndef SNIPE_REPORT_SCHEDULE_H
#define SNIPE_REPORT_SCHEDULE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Interval of the reports of each node in a fleet of so many nodes. */
int64_t snipe_report_interval_us(int nodes);

/* Whether a report is due, asked every tick_us. The time between two reports is the interval to
 * half a tick. */
int snipe_report_is_due(int64_t now_us, int64_t last_us, int nodes, int64_t tick_us);

#ifdef __cplusplus
}
#endif

#endif
