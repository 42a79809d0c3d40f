#include "core/era_watch.h"

#include "core/departure.h"

void snipe_era_watch_see(struct snipe_era_watch *w, int64_t now_us, uint64_t era)
{
	if (era == w->era)
		return;
	w->era = era;
	w->since_us = now_us;
	w->is_heard_settled = 0;
}

int snipe_era_watch_hear(struct snipe_era_watch *w, uint64_t era, int is_settled)
{
	if (era && era == w->era && is_settled)
		w->is_heard_settled = 1;
	return era > w->era;
}

int snipe_era_watch_is_settled(const struct snipe_era_watch *w, int64_t now_us)
{
	return !w->era || w->is_heard_settled ||
	       now_us - w->since_us >= SNIPE_DEPARTURE_VALID_US;
}
