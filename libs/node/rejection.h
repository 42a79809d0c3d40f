/*
 * Rejections and failures that a node answers itself: reason, status, outcome; and the list of
 * recent ones for the state dump.
 */
#ifndef SNIPE_REJECTION_H
#define SNIPE_REJECTION_H

#include <stdint.h>

#include "base/buffer.h"
#include "base/counters.h"
#include "config/tables.h"
#include "wire/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct evhttp_request;

enum snipe_reason {
	SNIPE_REASON_NONE,
	SNIPE_REASON_NO_ROUTE,
	SNIPE_REASON_BAD_REQUEST,
	SNIPE_REASON_TOO_LARGE,
	SNIPE_REASON_KEY_MISSING,
	SNIPE_REASON_KEY_INVALID,
	SNIPE_REASON_KEY_REPEATED,
	SNIPE_REASON_KEY_IN_PATH,
	SNIPE_REASON_WRONG_WORKSPACE,
	SNIPE_REASON_CONTEXT_MISSING,
	SNIPE_REASON_DEPTH_EXCEEDED,
	SNIPE_REASON_OVER_RATE,
	SNIPE_REASON_QUOTA_OWNER_UNAVAILABLE,
	SNIPE_REASON_CONFIG_UNCONFIRMED,
	SNIPE_REASON_NO_CONFIG,
	SNIPE_REASON_OVERLOADED,
	SNIPE_REASON_NO_BACKEND_SERVER,
	SNIPE_REASON_DRAINING,
	SNIPE_REASON_EXPIRED,
	SNIPE_REASON_CANCELLED,
	SNIPE_REASON_CRASH_SUSPECT,
	SNIPE_REASON_IDENTIFIER_INVALID,
	SNIPE_REASON_IDENTIFIER_STORE_FULL,
	SNIPE_REASON_IDENTIFIER_OWNER_UNAVAILABLE,
	SNIPE_REASON_DUPLICATE_IN_PROGRESS,
	SNIPE_REASON_DUPLICATE_UNKNOWN,
	SNIPE_REASON_IDENTIFIER_TOO_OLD,
	SNIPE_REASON_OWNER_CHANGED,
	SNIPE_REASON_ANSWER_LOST,
	SNIPE_REASON_ANSWER_TRUNCATED,
	SNIPE_REASON_TIMEOUT,
	SNIPE_REASON_BACKEND_DIED,
	SNIPE_REASON_COUNT,
};

/* Token of a reason, for example "over_rate". */
const char *snipe_reason_name(enum snipe_reason reason);
/* Returns SNIPE_REASON_NONE for an undefined token. */
enum snipe_reason snipe_reason_parse(const char *name);
int snipe_reason_status(enum snipe_reason reason);
/* Nonzero if the reason by itself means that the request certainly did not run. */
int snipe_reason_is_not_run(enum snipe_reason reason);

/* Sends the response. retry_after_us above 0 is rounded up to seconds; 0 takes the reason's
 * default. */
void snipe_rejection_send(struct evhttp_request *req, enum snipe_reason reason, int not_run,
			  int64_t retry_after_us);

#define SNIPE_REJECTION_LOG 64

/* Recent rejections and a counter for each reason. Fields are private. */
struct snipe_rejection_log {
	struct snipe_counters *counters;
	int handles[SNIPE_REASON_COUNT];
	struct {
		int64_t wall_ms;
		enum snipe_reason reason;
		int not_run;
		char route[SNIPE_NAME_SIZE];
		char workspace[SNIPE_NAME_SIZE];
	} entries[SNIPE_REJECTION_LOG];
	uint64_t total;
};

void snipe_rejection_log_init(struct snipe_rejection_log *log, struct snipe_counters *counters);
/* route and workspace may be empty. */
void snipe_rejection_log_add(struct snipe_rejection_log *log, int64_t wall_ms,
			     enum snipe_reason reason, int not_run, const char *route,
			     const char *workspace);
/* Appends a JSON array, newest first. */
void snipe_rejection_log_dump(const struct snipe_rejection_log *log, struct snipe_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
