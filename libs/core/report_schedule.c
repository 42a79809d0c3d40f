#include "core/report_schedule.h"

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

void snipe_report_schedule_init(struct snipe_report_schedule *s, int64_t now_us)
{
	s->due_us = now_us;
	s->interval_us = 0;
}

int snipe_report_schedule_is_due(struct snipe_report_schedule *s, int64_t now_us, int nodes,
				 int64_t tick_us, GRand *rng)
{
	int64_t interval = snipe_report_interval_us(nodes);

	if (now_us < s->due_us - tick_us / 2)
		return 0;
	if (interval != s->interval_us)
		s->due_us = now_us + (int64_t)(g_rand_double(rng) * (double)interval);
	else
		s->due_us += interval;
	s->interval_us = interval;
	/* The node was paused. */
	if (s->due_us < now_us)
		s->due_us = now_us + interval;
	return 1;
}
