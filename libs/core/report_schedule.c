#include "core/report_schedule.h"

#include <glib.h>

/* Interval in a small fleet: a node that falls silent is noticed in 0.7 s. */
#define LEAST_US 300000
/* Time for each node that the interval grows by: a node sends about 100 datagrams a second. */
#define PER_NODE_US 10000
/* The interval stops growing here, since with older reports the rates of small workspaces look
 * spent most of the time (fleet_quota_test). */
#define SHARED_RATES_US 1000000
/* In a larger fleet it grows again: a node sends about 300 datagrams a second at most. */
#define LARGE_PER_NODE_US 3333

int64_t snipe_report_interval_us(int nodes)
{
	int64_t interval = MIN((int64_t)nodes * PER_NODE_US, SHARED_RATES_US);

	return MAX(MAX(LEAST_US, interval), (int64_t)nodes * LARGE_PER_NODE_US);
}

int snipe_report_is_due(int64_t now_us, int64_t last_us, int nodes, int64_t tick_us)
{
	return now_us - last_us >= snipe_report_interval_us(nodes) - tick_us / 2;
}
