/*
 * Priority queue of the calls that wait for one backend server.
 *
 * The order is by importance, then by workspace, least served first, then by arrival: FIFO, or
 * LIFO while the oldest call of the workspace has waited longer than 100 ms. A full queue
 * evicts a call of the lowest importance, from the workspace with most calls waiting; this may
 * be the arriving call. docs/decisions/admission-order.md states the reasons.
 *
 * The caller must call snipe_admission_next until it returns -1 whenever a call was queued or
 * ended, and whenever the limit was raised.
 */
#ifndef SNIPE_ADMISSION_H
#define SNIPE_ADMISSION_H

#include <glib.h>
#include <stdint.h>

#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One call, identified by a handle that the caller chooses. */
struct snipe_admission_call {
	int handle; /* at least 0 */
	enum snipe_importance importance;
	uint64_t workspace;  /* hash of the workspace name; 0 for open routes without a key */
	int64_t deadline_us; /* the call is not started at or after this time */
	int64_t enqueued_us; /* set by snipe_admission_offer */
};

enum snipe_admission_verdict {
	SNIPE_ADMISSION_RUN, /* to be started now; already counted as running */
	SNIPE_ADMISSION_QUEUED,
	SNIPE_ADMISSION_REJECTED, /* the queue is full */
	SNIPE_ADMISSION_EXPIRED,  /* the deadline has passed */
};

struct snipe_admission_entry;

/* Fields are private. */
struct snipe_admission {
	struct snipe_admission_entry *waiting; /* in order of arrival */
	int waiting_count;
	int waiting_capacity;
	int queue_limit;
	int running;
	int waiting_by_importance[SNIPE_IMPORTANCE_COUNT]; /* number of calls */
	GHashTable *usage_by_workspace; /* workspace -> struct workspace_usage */
	int sweep_threshold; /* size of usage_by_workspace at which idle records are removed */
};

void snipe_admission_init(struct snipe_admission *q, int queue_limit);
void snipe_admission_finish(struct snipe_admission *q);

/* Calls that already wait are kept, even if they exceed a lowered limit. */
void snipe_admission_set_queue_limit(struct snipe_admission *q, int queue_limit);

/*
 * Starts, queues or rejects a call; at most limit calls may run. *evicted receives the handle
 * of a waiting call that was removed to make room, or -1; its deadline may have passed.
 */
enum snipe_admission_verdict snipe_admission_offer(struct snipe_admission *q, int64_t now_us,
						   const struct snipe_admission_call *call,
						   int limit, int *evicted);

/* Records the end of a running call of this workspace. */
void snipe_admission_done(struct snipe_admission *q, int64_t now_us, uint64_t workspace);

/* Removes the next call to run and counts it as running. Returns its handle, or -1 if none may
 * run. */
int snipe_admission_next(struct snipe_admission *q, int64_t now_us, int limit);

/* Removes one waiting call whose deadline has passed. Returns its handle, or -1. */
int snipe_admission_expire(struct snipe_admission *q, int64_t now_us);

/* Returns the earliest deadline of the waiting calls, INT64_MAX if none waits. */
int64_t snipe_admission_next_deadline(const struct snipe_admission *q);

/* Removes a waiting call that was cancelled. Returns 0 or SNIPE_ERR_NOT_FOUND. */
int snipe_admission_cancel(struct snipe_admission *q, int handle);

/*
 * Returns the lowest importance at which a call could be started or queued now, or
 * SNIPE_IMPORTANCE_COUNT if every call would be rejected. With a full queue this is the lowest
 * importance that waits: a call of that importance may still evict one of a workspace that has
 * more calls waiting.
 */
int snipe_admission_floor(const struct snipe_admission *q, int limit);

int snipe_admission_running(const struct snipe_admission *q);
int snipe_admission_waiting(const struct snipe_admission *q);

#ifdef __cplusplus
}
#endif

#endif
