#include "core/report_schedule.h"

/* Interval in a small fleet: a silent node is detected within 0.7 s. */
#define MIN_INTERVAL_US 300000
/* Growth of the interval per node, which limits a node to about 100 datagrams a second. */
#define MEDIUM_FLEET_PER_NODE_US 10000
/* The growth stops here: with older reports the token buckets of small workspaces look empty
 * most of the time (fleet_quota_test). */
#define MEDIUM_FLEET_MAX_US 1000000
/* Growth in larger fleets, which limits a node to about 300 datagrams a second. */
#define LARGE_FLEET_PER_NODE_US 3333

int64_t snipe_report_interval_us(int nodes)
{
	int64_t interval = MIN((int64_t)nodes * MEDIUM_FLEET_PER_NODE_US, MEDIUM_FLEET_MAX_US);

	return MAX(MAX(MIN_INTERVAL_US, interval), (int64_t)nodes * LARGE_FLEET_PER_NODE_US);
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
	/* The process was stalled: send one report, not all that were missed. */
	if (s->due_us < now_us)
		s->due_us = now_us + interval;
	return 1;
}
