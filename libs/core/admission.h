/*
 * Queue of the calls that wait for one backend server.
 *
 * Importance goes first; within one importance the least served workspace; within a workspace
 * oldest first, or newest first while the oldest has waited longer than 100 ms.
 */
#ifndef SNIPE_ADMISSION_H
#define SNIPE_ADMISSION_H

#include <stdint.h>

#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One call, named by a handle of its owner. */
struct snipe_admission_call {
	int handle; /* at least 0 */
	enum snipe_importance importance;
	uint64_t workspace;  /* hash of the workspace's name; 0 for open routes without a key */
	int64_t deadline_us; /* never started at or after this time */
	int64_t enqueued_us; /* set by snipe_admission_offer */
};

enum snipe_admission_verdict {
	SNIPE_ADMISSION_RUN, /* start it now; counted as running */
	SNIPE_ADMISSION_QUEUED,
	SNIPE_ADMISSION_REFUSED, /* overloaded */
	SNIPE_ADMISSION_EXPIRED,
};

struct snipe_admission_share;

/* Fields are private. */
struct snipe_admission {
	struct snipe_admission_call *waiting;
	int waiting_count;
	int queue_limit;
	int running;
	int by_importance[SNIPE_IMPORTANCE_COUNT]; /* waiting calls */
	struct snipe_admission_share *shares;	   /* service of each workspace */
	int share_count;
	int share_size;
};

void snipe_admission_init(struct snipe_admission *q, int queue_limit);
void snipe_admission_finish(struct snipe_admission *q);
void snipe_admission_set_queue_limit(struct snipe_admission *q, int queue_limit);

/*
 * Offers a call while limit calls may run. *evicted receives the handle of a waiting call that
 * is refused in its place, or -1.
 */
enum snipe_admission_verdict snipe_admission_offer(struct snipe_admission *q, int64_t now_us,
						   const struct snipe_admission_call *call,
						   int limit, int *evicted);

/* A running call of this workspace ended. */
void snipe_admission_done(struct snipe_admission *q, int64_t now_us, uint64_t workspace);

/* Takes the next call to run. Returns its handle, counted as running, or -1 if none may run. */
int snipe_admission_next(struct snipe_admission *q, int64_t now_us, int limit);

/* Removes one expired waiting call. Returns its handle, or -1. */
int snipe_admission_expire(struct snipe_admission *q, int64_t now_us);

/* Returns the earliest deadline among waiting calls, INT64_MAX if none waits. */
int64_t snipe_admission_next_deadline(const struct snipe_admission *q);

/* Removes a cancelled waiting call. Returns 0 or SNIPE_ERR_NOT_FOUND. */
int snipe_admission_cancel(struct snipe_admission *q, int handle);

/* Returns the lowest importance that would run or be queued now; SNIPE_IMPORTANCE_COUNT if even
 * the most important would be refused. */
int snipe_admission_floor(const struct snipe_admission *q, int limit);

int snipe_admission_running(const struct snipe_admission *q);
int snipe_admission_waiting(const struct snipe_admission *q);

#ifdef __cplusplus
}
#endif

#endif
