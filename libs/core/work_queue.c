#include "core/work_queue.h"

#include <glib.h>
#include <string.h>

#include "base/error.h"

#define INITIAL_CAPACITY 16 /* calls; doubled when full */

void snipe_work_queue_init(struct snipe_work_queue *q)
{
	memset(q, 0, sizeof(*q));
}

void snipe_work_queue_finish(struct snipe_work_queue *q)
{
	g_free(q->waiting);
}

static int remove_at(struct snipe_work_queue *q, int index)
{
	int handle = q->waiting[index].handle;

	q->count--;
	memmove(&q->waiting[index], &q->waiting[index + 1],
		(size_t)(q->count - index) * sizeof(q->waiting[0]));
	return handle;
}

/* Returns the index behind all waiting calls of the same or a lower rank. */
static int insert_position(const struct snipe_work_queue *q, int rank)
{
	int i = q->count;

	while (i > 0 && q->waiting[i - 1].rank > rank)
		i--;
	return i;
}

static void insert_at(struct snipe_work_queue *q, int index, const struct snipe_work *work)
{
	if (q->count == q->waiting_capacity) {
		q->waiting_capacity =
			q->waiting_capacity ? 2 * q->waiting_capacity : INITIAL_CAPACITY;
		q->waiting = g_renew(struct snipe_work, q->waiting, q->waiting_capacity);
	}
	memmove(&q->waiting[index + 1], &q->waiting[index],
		(size_t)(q->count - index) * sizeof(q->waiting[0]));
	q->waiting[index] = *work;
	q->count++;
}

enum snipe_work_verdict snipe_work_queue_offer(struct snipe_work_queue *q, int64_t now_us,
					       const struct snipe_work *work, int limit,
					       int64_t service_us)
{
	int ahead = insert_position(q, work->rank);
	int64_t wait_us;

	if (work->start_by_us < now_us)
		return SNIPE_WORK_REJECTED;
	if (q->running < limit && ahead == 0) {
		q->running++;
		return SNIPE_WORK_RUN;
	}
	wait_us = (int64_t)(ahead + 1) * service_us / MAX(limit, 1);
	if (limit <= 0 || now_us + wait_us > work->start_by_us)
		return SNIPE_WORK_REJECTED;
	insert_at(q, ahead, work);
	return SNIPE_WORK_QUEUED;
}

int snipe_work_queue_next(struct snipe_work_queue *q, int64_t now_us, int limit)
{
	for (int i = 0; i < q->count && q->running < limit; i++) {
		if (q->waiting[i].start_by_us < now_us)
			continue;
		q->running++;
		return remove_at(q, i);
	}
	return -1;
}

int snipe_work_queue_expire(struct snipe_work_queue *q, int64_t now_us)
{
	for (int i = 0; i < q->count; i++)
		if (q->waiting[i].start_by_us < now_us)
			return remove_at(q, i);
	return -1;
}

void snipe_work_queue_done(struct snipe_work_queue *q)
{
	q->running--;
}

int snipe_work_queue_cancel(struct snipe_work_queue *q, int handle)
{
	for (int i = 0; i < q->count; i++) {
		if (q->waiting[i].handle == handle) {
			remove_at(q, i);
			return 0;
		}
	}
	return SNIPE_ERR_NOT_FOUND;
}

int snipe_work_queue_drop(struct snipe_work_queue *q)
{
	return q->count ? remove_at(q, q->count - 1) : -1;
}
