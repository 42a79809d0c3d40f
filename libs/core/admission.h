/*
 * Queue of the calls that wait for one backend server.
 *
 * Importance goes first; within one importance the least served workspace; within a workspace
 * oldest first, or newest first while the oldest has waited longer than 100 ms. The call that
 * would run last gives way when the queue is full. docs/decisions/admission-order.md states the
 * reasons.
 *
 * The owner calls snipe_admission_next until it returns -1 whenever a call was queued or ended,
 * and whenever the limit grew.
 */
#ifndef SNIPE_ADMISSION_H
#define SNIPE_ADMISSION_H

#include <glib.h>
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

struct snipe_admission_entry;

/* Fields are private. */
struct snipe_admission {
	struct snipe_admission_entry *waiting; /* in order of arrival */
	int waiting_count;
	int waiting_size;
	int queue_limit;
	int running;
	int by_importance[SNIPE_IMPORTANCE_COUNT]; /* waiting calls */
	GHashTable *shares;			   /* workspace -> its service */
	int sweep_size; /* number of shares at which idle ones are dropped */
};

void snipe_admission_init(struct snipe_admission *q, int queue_limit);
void snipe_admission_finish(struct snipe_admission *q);

/* Calls that already wait stay, even above a lower limit. */
void snipe_admission_set_queue_limit(struct snipe_admission *q, int queue_limit);

/*
 * Offers a call while limit calls may run. *evicted receives the handle of a waiting call that
 * is refused in its place, or -1. The evicted call may have passed its deadline.
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

/*
 * Returns the lowest importance of which some call would run or be queued now;
 * SNIPE_IMPORTANCE_COUNT if even the most important would be refused. With a full queue this is
 * the lowest importance that waits, since a call of that importance may still take the place of
 * one from a workspace with more waiting calls.
 */
int snipe_admission_floor(const struct snipe_admission *q, int limit);

int snipe_admission_running(const struct snipe_admission *q);
int snipe_admission_waiting(const struct snipe_admission *q);

#ifdef __cplusplus
}
#endif

#endif
