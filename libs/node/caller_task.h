/*
 * Caller task: HTTP from callers and from the backend server beside the node; chooses the
 * backend server, retries, and gives the whole answer back. At the first node of a client
 * request it keeps the retry ledger and answers RETRY_ASK.
 */
#ifndef SNIPE_CALLER_TASK_H
#define SNIPE_CALLER_TASK_H

#include "base/counters.h"
#include "config/settings.h"
#include "node/mailbox.h"
#include "node/peer_task.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_backend_task;
struct snipe_caller_task;

struct snipe_caller_config {
	struct event_base *base;
	const struct snipe_settings *settings;
	struct snipe_peer_task *peers;
	struct snipe_backend_task *backend; /* resolves Snipe-Context tokens */
	struct snipe_counters *counters;
};

/* Returns NULL with the remedy in err if a port is taken. */
struct snipe_caller_task *snipe_caller_task_new(const struct snipe_caller_config *config,
						struct snipe_error_text *err);
void snipe_caller_task_free(struct snipe_caller_task *t);

struct snipe_mailbox *snipe_caller_task_mailbox(struct snipe_caller_task *t);

/* Set after the control task was made; messages QUOTA_ASK, CLAIM_* go there. */
void snipe_caller_task_set_control(struct snipe_caller_task *t, struct snipe_mailbox *control);

/* The addresses that the listeners for callers and for the backend server got. */
const struct snipe_address *snipe_caller_task_address(const struct snipe_caller_task *t);
const struct snipe_address *snipe_caller_task_local_address(const struct snipe_caller_task *t);

/* Number of requests that were not answered yet. */
int snipe_caller_task_in_flight(const struct snipe_caller_task *t);

/* Appends a JSON object (routes, backend servers as seen, recent refusals with their reasons).
 */
void snipe_caller_task_dump(const struct snipe_caller_task *t, struct snipe_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
