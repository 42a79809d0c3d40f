#include "core/recent_max.h"

#include <glib.h>
#include <string.h>

#define WINDOW_US 30000000

static void advance(struct snipe_recent_max *m, int64_t now_us)
{
	int64_t age = now_us - m->current_since_us;

	if (age < WINDOW_US)
		return;
	m->last = m->current;
	if (age >= 2 * WINDOW_US)
		memset(&m->last, 0, sizeof(m->last));
	memset(&m->current, 0, sizeof(m->current));
	m->current_since_us = now_us;
}

void snipe_recent_max_add(struct snipe_recent_max *m, int64_t now_us, int64_t value)
{
	advance(m, now_us);
	m->current.max = MAX(m->current.max, value);
	m->current.count++;
}

int snipe_recent_max_get(struct snipe_recent_max *m, int64_t now_us, int64_t *max)
{
	advance(m, now_us);
	*max = MAX(m->current.max, m->last.max);
	return m->current.count + m->last.count;
}
