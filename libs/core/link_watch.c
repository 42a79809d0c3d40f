#include "core/link_watch.h"

#include <glib.h>
#include <string.h>

/* Silence before a ping: longer than most calls between nodes take, so that few calls cost a
 * ping. */
#define PING_AFTER_US 200000
/* A ping is overdue after this multiple of the round trip. The floor covers an event loop that
 * is busy for a moment, the ceiling ends the wait for a peer that was slow before. */
#define OVERDUE_ROUND_TRIPS 4.0
#define OVERDUE_MIN_US 60000
#define OVERDUE_MAX_US 300000
#define ROUND_TRIP_WEIGHT 0.2
/* A link that was silent for this long without a new connection is lost. */
#define LOST_US 750000
/* A peer that accepts connections without greeting is lost after this time: longer than callers
 * wait. */
#define SLOW_LOST_US 10000000
/* Wait between second connections to one peer; doubled each time. */
#define TRY_WAIT_US 200000
#define TRY_WAIT_MAX_US 3200000

void snipe_link_watch_init(struct snipe_link_watch *w, int64_t now_us)
{
	memset(w, 0, sizeof(*w));
	w->heard_us = now_us;
	w->try_wait_us = TRY_WAIT_US;
}

void snipe_link_watch_await(struct snipe_link_watch *w, int64_t now_us)
{
	w->heard_us = now_us;
	w->ping_us = 0;
}

void snipe_link_watch_heard(struct snipe_link_watch *w, int64_t now_us)
{
	w->heard_us = now_us;
	w->ping_us = 0;
	w->check_us = 0;
}

void snipe_link_watch_ponged(struct snipe_link_watch *w, int64_t now_us)
{
	double sample = (double)(now_us - w->ping_us);

	if (w->ping_us)
		w->round_trip_us =
			w->round_trip_us > 0
				? w->round_trip_us +
					  ROUND_TRIP_WEIGHT * (sample - w->round_trip_us)
				: sample;
	snipe_link_watch_heard(w, now_us);
}

void snipe_link_watch_demand_check(struct snipe_link_watch *w, int64_t now_us)
{
	if (!w->check_us)
		w->check_us = now_us;
}

void snipe_link_watch_tried(struct snipe_link_watch *w, int64_t now_us)
{
	if (w->try_us)
		w->try_wait_us = MIN(2 * w->try_wait_us, TRY_WAIT_MAX_US);
	w->try_us = now_us;
}

void snipe_link_watch_restored(struct snipe_link_watch *w, int64_t now_us)
{
	snipe_link_watch_heard(w, now_us);
	w->try_us = 0;
	w->try_wait_us = TRY_WAIT_US;
}

static int64_t overdue_us(const struct snipe_link_watch *w)
{
	return CLAMP((int64_t)(OVERDUE_ROUND_TRIPS * w->round_trip_us), OVERDUE_MIN_US,
		     OVERDUE_MAX_US);
}

enum snipe_link_action snipe_link_watch_check(struct snipe_link_watch *w, int64_t now_us,
					      const struct snipe_link_state *state)
{
	int64_t since = w->check_us && !state->is_awaiting ? w->check_us : w->heard_us;
	int64_t silent = now_us - since;
	int may_try = !state->is_trying && (!w->try_us || now_us - w->try_us >= w->try_wait_us);

	if (!state->is_awaiting && !w->check_us)
		return SNIPE_LINK_NOTHING;
	if (silent > SLOW_LOST_US || (silent > LOST_US && !state->has_accepted_try))
		return SNIPE_LINK_LOST;
	if (!state->has_connection)
		return may_try		  ? SNIPE_LINK_RECONNECT
		       : silent > LOST_US ? SNIPE_LINK_SLOW
					  : SNIPE_LINK_NOTHING;
	if (!w->ping_us && (silent > PING_AFTER_US || w->check_us)) {
		w->ping_us = now_us;
		return SNIPE_LINK_PING;
	}
	if (w->ping_us && now_us - w->ping_us > overdue_us(w) && may_try)
		return SNIPE_LINK_RECONNECT;
	return silent > LOST_US ? SNIPE_LINK_SLOW : SNIPE_LINK_NOTHING;
}
