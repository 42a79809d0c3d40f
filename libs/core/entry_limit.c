#include "core/entry_limit.h"

#include <string.h>

/* The limit is adjusted after WINDOW_US, or with few samples after up to WINDOW_MAX_US. */
#define WINDOW_US 100000
#define WINDOW_MIN_SAMPLES 4
#define WINDOW_MAX_US 400000
/* One request is always admitted, to detect the end of the overload. */
#define MIN_LIMIT 1.0
/* Share of the time between unloaded and target latency that may be spent waiting: TOP for
 * priority 0, STEP less for each further priority, at least MIN. */
#define WAIT_SHARE_TOP 0.65
#define WAIT_SHARE_STEP 0.15
#define WAIT_SHARE_MIN 0.35
/* The limit is raised only if at least this ratio of it was in use. */
#define IN_USE_RATIO 0.8
/* Change of the limit in one window. The increase is this ratio of the limit, or MIN_INCREASE
 * requests if that is more, times the unused share of the allowed latency. The decrease is
 * proportional to the excess latency, up to a ratio of the limit. */
#define MAX_INCREASE_RATIO 0.1
#define MIN_INCREASE 0.5
#define DECREASE_GAIN 0.4
#define MAX_DECREASE_RATIO 0.15
/* The unloaded latency follows lower means at once and higher ones with this weight. */
#define UNLOADED_RISE_WEIGHT 0.01
/* The unloaded latency is capped at this share of the target, to leave time for waiting. */
#define UNLOADED_MAX_SHARE 0.6
/* A failure counts as a latency sample from this share of the target latency on. */
#define LATE_FAILURE_SHARE 0.5

void snipe_entry_limit_init(struct snipe_entry_limit *l, int64_t now_us)
{
	memset(l, 0, sizeof(*l));
	l->window_start_us = now_us;
}

int snipe_entry_limit_admit(struct snipe_entry_limit *l)
{
	double free_requests = l->limit - l->in_flight;

	if (l->limit > 0 && free_requests < 1) {
		/* A free fraction of a request admits that fraction of the arrivals. */
		if (free_requests <= 0)
			return 0;
		l->admit_credit += free_requests;
		if (l->admit_credit < 1)
			return 0;
		l->admit_credit -= 1;
	}
	l->in_flight++;
	l->window_max_in_flight = MAX(l->window_max_in_flight, l->in_flight);
	return 1;
}

static void update_unloaded_latency(struct snipe_entry_limit *l, double mean_us,
				    int64_t target_us)
{
	if (l->unloaded_latency_us <= 0 || mean_us < l->unloaded_latency_us)
		l->unloaded_latency_us = mean_us;
	else
		l->unloaded_latency_us +=
			UNLOADED_RISE_WEIGHT * (mean_us - l->unloaded_latency_us);
	l->unloaded_latency_us =
		MIN(l->unloaded_latency_us, UNLOADED_MAX_SHARE * (double)target_us);
}

static void adjust_limit(struct snipe_entry_limit *l, int64_t target_us, int priority)
{
	double wait_share = MAX(WAIT_SHARE_TOP - WAIT_SHARE_STEP * priority, WAIT_SHARE_MIN);
	double allowed_us = l->unloaded_latency_us +
			    wait_share * ((double)target_us - l->unloaded_latency_us);
	double ratio = l->latency_us / allowed_us;

	if (ratio > 1) {
		if (l->limit <= 0)
			l->limit = l->window_max_in_flight;
		l->limit *= 1 - MIN(DECREASE_GAIN * (ratio - 1), MAX_DECREASE_RATIO);
	} else if (l->limit > 0 && l->window_max_in_flight >= IN_USE_RATIO * l->limit) {
		l->limit += MAX(MAX_INCREASE_RATIO * l->limit, MIN_INCREASE) * (1 - ratio);
	}
	if (l->limit > 0)
		l->limit = MAX(l->limit, MIN_LIMIT);
}

void snipe_entry_limit_record(struct snipe_entry_limit *l, int64_t now_us, int64_t latency_us,
			      int is_failed, int64_t target_us, int priority)
{
	int64_t age = now_us - l->window_start_us;

	l->in_flight--;
	/* An early failure says nothing about waiting time. */
	if (!is_failed || latency_us >= target_us * LATE_FAILURE_SHARE) {
		/* Clipped, so that one very late response does not dominate the mean. */
		l->window_sum_us += (double)MIN(latency_us, 2 * target_us);
		l->window_count++;
	}
	if (l->window_count == 0)
		return;
	if (age < WINDOW_US || (l->window_count < WINDOW_MIN_SAMPLES && age < WINDOW_MAX_US))
		return;
	l->latency_us = l->window_sum_us / l->window_count;
	update_unloaded_latency(l, l->latency_us, target_us);
	adjust_limit(l, target_us, priority);
	l->window_sum_us = 0;
	l->window_count = 0;
	l->window_max_in_flight = l->in_flight;
	l->window_start_us = now_us;
}

void snipe_entry_limit_cancel(struct snipe_entry_limit *l)
{
	l->in_flight--;
}
