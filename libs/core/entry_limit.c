#include "core/entry_limit.h"

#include <string.h>

/* Time and number of requests after which the limit is adjusted. */
#define WINDOW_US 100000
#define WINDOW_LEAST 4
#define WINDOW_MAX_US 400000
/* One request must always get in: it shows when the overload has passed. */
#define LEAST_LIMIT 1.0
/* Part of the time between unloaded latency and target that may be spent waiting. */
#define WAIT_FIRST 0.65
#define WAIT_STEP 0.15
#define WAIT_LEAST 0.35
/* The limit grows while it is nearly used up and waits are short. */
#define USED_PART 0.8
/* Largest growth and shrinking in a window, as parts of the limit, and the least growth. */
#define GROWTH 0.1
#define GROWTH_LEAST 0.5
#define SHRINK 0.4
#define SHRINK_MAX 0.15
/* The unloaded latency follows lower means at once and higher ones slowly. */
#define BASE_RISE 0.01
/* A target so close to the unloaded latency leaves no room; this part is kept. */
#define BASE_MAX_PART 0.6
/* A failure counts as waiting from this part of the target on. */
#define FAILURE_SOON 0.5

void snipe_entry_limit_init(struct snipe_entry_limit *l, int64_t now_us)
{
	memset(l, 0, sizeof(*l));
	l->window_start_us = now_us;
}

int snipe_entry_limit_admit(struct snipe_entry_limit *l)
{
	double room = l->limit - l->in_flight;

	if (l->limit > 0 && room < 1) {
		/* A fraction of a place is given out that often. */
		if (room <= 0)
			return 0;
		l->credit += room;
		if (l->credit < 1)
			return 0;
		l->credit -= 1;
	}
	l->in_flight++;
	l->window_peak = MAX(l->window_peak, l->in_flight);
	return 1;
}

static void follow_base(struct snipe_entry_limit *l, double mean_us, int64_t target_us)
{
	if (l->base_us <= 0 || mean_us < l->base_us)
		l->base_us = mean_us;
	else
		l->base_us += BASE_RISE * (mean_us - l->base_us);
	l->base_us = MIN(l->base_us, BASE_MAX_PART * (double)target_us);
}

static void adjust(struct snipe_entry_limit *l, int64_t target_us, int priority)
{
	double part = MAX(WAIT_FIRST - WAIT_STEP * priority, WAIT_LEAST);
	double allowed_us = l->base_us + part * ((double)target_us - l->base_us);
	double ratio = l->latency_us / allowed_us;

	if (ratio > 1) {
		if (l->limit <= 0)
			l->limit = l->window_peak;
		l->limit *= 1 - MIN(SHRINK * (ratio - 1), SHRINK_MAX);
	} else if (l->limit > 0 && l->window_peak >= USED_PART * l->limit) {
		l->limit += MAX(GROWTH * l->limit, GROWTH_LEAST) * (1 - ratio);
	}
	if (l->limit > 0)
		l->limit = MAX(l->limit, LEAST_LIMIT);
}

void snipe_entry_limit_record(struct snipe_entry_limit *l, int64_t now_us, int64_t latency_us,
			      int failed, int64_t target_us, int priority)
{
	int64_t age = now_us - l->window_start_us;

	l->in_flight--;
	/* A failure that came soon says nothing about waiting. */
	if (!failed || latency_us >= target_us * FAILURE_SOON) {
		/* One very late response says no more than one that missed its target by far.
		 */
		l->window_sum_us += (double)MIN(latency_us, 2 * target_us);
		l->window_count++;
	}
	if (l->window_count == 0)
		return;
	if (age < WINDOW_US || (l->window_count < WINDOW_LEAST && age < WINDOW_MAX_US))
		return;
	l->latency_us = l->window_sum_us / l->window_count;
	follow_base(l, l->latency_us, target_us);
	adjust(l, target_us, priority);
	l->window_sum_us = 0;
	l->window_count = 0;
	l->window_peak = l->in_flight;
	l->window_start_us = now_us;
}

void snipe_entry_limit_cancel(struct snipe_entry_limit *l)
{
	l->in_flight--;
}
