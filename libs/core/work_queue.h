/*
 * Queue of the calls that wait for a slot of one backend server.
 *
 * The lowest rank is started first, within a rank the oldest call. A call whose estimated start
 * is too late is rejected on arrival. Those that become too late while they wait must be
 * removed with snipe_work_queue_expire or snipe_work_queue_cancel, so that the queue holds only
 * calls that can still be served.
 *
 * It is designed for overload that lasts seconds, in which calls arrive faster than the server
 * completes them, and for callers that wait only a few service times.
 */
#ifndef SNIPE_WORK_QUEUE_H
#define SNIPE_WORK_QUEUE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_work {
	int handle;	     /* chosen by the user of the queue, at least 0 */
	int rank;	     /* 0 is started first */
	int64_t start_by_us; /* the call is not started after this time */
};

enum snipe_work_verdict {
	SNIPE_WORK_RUN, /* to be started now; already counted as running */
	SNIPE_WORK_QUEUED,
	SNIPE_WORK_REJECTED, /* would start too late */
};

/* Fields are private. */
struct snipe_work_queue {
	struct snipe_work *waiting; /* in the order in which they start */
	int count, waiting_capacity;
	int running;
};

void snipe_work_queue_init(struct snipe_work_queue *q);
void snipe_work_queue_finish(struct snipe_work_queue *q);

/* Starts, queues or rejects a call. At most limit calls run at a time, each for about
 * service_us. */
enum snipe_work_verdict snipe_work_queue_offer(struct snipe_work_queue *q, int64_t now_us,
					       const struct snipe_work *work, int limit,
					       int64_t service_us);
/* Removes the next call to start and counts it as running. Returns its handle, or -1 if none
 * may start. */
int snipe_work_queue_next(struct snipe_work_queue *q, int64_t now_us, int limit);
/* Removes one waiting call that may no longer start. Returns its handle, or -1. */
int snipe_work_queue_expire(struct snipe_work_queue *q, int64_t now_us);
/* Records the end of a running call. */
void snipe_work_queue_done(struct snipe_work_queue *q);
/* Removes a waiting call. Returns 0 or SNIPE_ERR_NOT_FOUND. */
int snipe_work_queue_cancel(struct snipe_work_queue *q, int handle);
/* Removes an arbitrary waiting call. Returns its handle, or -1 if none waits. */
int snipe_work_queue_drop(struct snipe_work_queue *q);

#ifdef __cplusplus
}
#endif

#endif
