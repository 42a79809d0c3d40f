#include "core/loop_lag.h"

#include <string.h>

void snipe_loop_lag_init(struct snipe_loop_lag *l)
{
	memset(l, 0, sizeof(*l));
	snipe_histogram_init(&l->lags_us);
}

void snipe_loop_lag_schedule(struct snipe_loop_lag *l, int64_t due_us)
{
	l->due_us = due_us;
}

static int64_t overdue_us(const struct snipe_loop_lag *l, int64_t now_us)
{
	return l->due_us && now_us > l->due_us ? now_us - l->due_us : 0;
}

int64_t snipe_loop_lag_probe(struct snipe_loop_lag *l, int64_t now_us)
{
	l->lag_us = overdue_us(l, now_us);
	if (l->lag_us > l->peak_us)
		l->peak_us = l->lag_us;
	snipe_histogram_add(&l->lags_us, (uint64_t)l->lag_us);
	return l->lag_us;
}

int64_t snipe_loop_lag_now(const struct snipe_loop_lag *l, int64_t now_us)
{
	int64_t overdue = overdue_us(l, now_us);

	return overdue > l->lag_us ? overdue : l->lag_us;
}

int64_t snipe_loop_lag_take_peak(struct snipe_loop_lag *l)
{
	int64_t peak = l->peak_us;

	l->peak_us = 0;
	return peak;
}
