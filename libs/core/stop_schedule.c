#include "core/stop_schedule.h"

#include <glib.h>

/* The header states the reasons. */
#define REJECT_CALLS_US 2200000
#define MIN_SERVE_US 2600000
#define MIN_IDLE_US 200000
#define ADMIT_ALL_US 3000000
#define ANSWER_MARGIN_US 400000
#define LAST_ANSWER_MARGIN_US 200000
#define EXIT_MARGIN_US 100000

static int64_t since_us(const struct snipe_stop_schedule *s, int64_t now_us)
{
	return s->begin_us ? now_us - s->begin_us : -1;
}

static int64_t answer_after_us(const struct snipe_stop_schedule *s)
{
	return MAX(s->grace_us - ANSWER_MARGIN_US, 0);
}

int snipe_stop_schedule_begin(struct snipe_stop_schedule *s, int64_t now_us, int64_t grace_us)
{
	if (s->begin_us)
		return 0;
	s->begin_us = now_us;
	s->grace_us = grace_us;
	s->idle_us = 0;
	return 1;
}

void snipe_stop_schedule_set_grace(struct snipe_stop_schedule *s, int64_t grace_us)
{
	s->grace_us = MIN(s->grace_us, grace_us);
}

int snipe_stop_schedule_has_begun(const struct snipe_stop_schedule *s)
{
	return s->begin_us != 0;
}

int snipe_stop_schedule_rejects_calls(const struct snipe_stop_schedule *s, int64_t now_us)
{
	return since_us(s, now_us) >= REJECT_CALLS_US;
}

int snipe_stop_schedule_closes_idle(const struct snipe_stop_schedule *s, int64_t now_us)
{
	return since_us(s, now_us) >= MIN_SERVE_US;
}

int snipe_stop_schedule_admits_all(const struct snipe_stop_schedule *s, int64_t now_us)
{
	return since_us(s, now_us) < ADMIT_ALL_US;
}

int snipe_stop_schedule_admits(const struct snipe_stop_schedule *s, int64_t now_us,
			       int64_t takes_us)
{
	if (snipe_stop_schedule_is_ending(s, now_us))
		return 0;
	return snipe_stop_schedule_admits_all(s, now_us) ||
	       since_us(s, now_us) + takes_us < answer_after_us(s);
}

int snipe_stop_schedule_is_ending(const struct snipe_stop_schedule *s, int64_t now_us)
{
	return s->begin_us && since_us(s, now_us) >= answer_after_us(s);
}

int snipe_stop_schedule_is_last_answer(const struct snipe_stop_schedule *s, int64_t now_us)
{
	return s->begin_us && since_us(s, now_us) >= s->grace_us - LAST_ANSWER_MARGIN_US;
}

int snipe_stop_schedule_is_over(struct snipe_stop_schedule *s, int64_t now_us, int is_idle)
{
	int64_t since = since_us(s, now_us);

	if (!s->begin_us)
		return 0;
	if (!is_idle)
		s->idle_us = 0;
	else if (!s->idle_us)
		s->idle_us = now_us;
	if (since >= s->grace_us - EXIT_MARGIN_US)
		return 1;
	if (!is_idle)
		return 0;
	return snipe_stop_schedule_is_ending(s, now_us) ||
	       (since >= MIN_SERVE_US && now_us - s->idle_us >= MIN_IDLE_US);
}
