/*
 * Calls that wait for a slot of one backend server.
 *
 * The lowest rank goes first, within a rank the oldest. A call that could not start in time is
 * refused when it comes, and one that has become so is dropped before others wait behind it, so
 * that a queue never holds work that cannot be served.
 *
 * Load pattern: calls come faster than the server ends them for seconds, and callers wait only
 * a few service times.
 */
#ifndef SNIPE_WORK_QUEUE_H
#define SNIPE_WORK_QUEUE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_work {
	int handle;	    /* of the owner, at least 0 */
	int rank;	    /* 0 goes first */
	int64_t give_up_us; /* not to be started after this time */
};

enum snipe_work_verdict {
	SNIPE_WORK_RUN, /* counted as running */
	SNIPE_WORK_QUEUED,
	SNIPE_WORK_REFUSED, /* would not start in time */
};

/* Fields are private. */
struct snipe_work_queue {
	struct snipe_work *waiting; /* in the order in which they start */
	int count, size;
	int running;
};

void snipe_work_queue_init(struct snipe_work_queue *q);
void snipe_work_queue_finish(struct snipe_work_queue *q);

/* Offers a call. limit calls may run; each runs for about service_us. */
enum snipe_work_verdict snipe_work_queue_offer(struct snipe_work_queue *q, int64_t now_us,
					       const struct snipe_work *work, int limit,
					       int64_t service_us);
/* Takes the next call to start, counted as running. Returns its handle, or -1. */
int snipe_work_queue_next(struct snipe_work_queue *q, int64_t now_us, int limit);
/* Removes a call that can no longer start in time. Returns its handle, or -1. */
int snipe_work_queue_expired(struct snipe_work_queue *q, int64_t now_us);
/* A running call ended. */
void snipe_work_queue_done(struct snipe_work_queue *q);
/* Removes a waiting call. Returns 0 or SNIPE_ERR_NOT_FOUND. */
int snipe_work_queue_cancel(struct snipe_work_queue *q, int handle);
/* Removes any waiting call. Returns its handle, or -1. */
int snipe_work_queue_drop(struct snipe_work_queue *q);

#ifdef __cplusplus
}
#endif

#endif
