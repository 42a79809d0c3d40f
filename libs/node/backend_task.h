/*
 * Backend task: queue, limit and connections of the backend server beside the node. Handles
 * CALL and CANCEL from peers and PUT /.snipescale/backend-server (through the caller task's
 * local listener).
 */
#ifndef SNIPE_BACKEND_TASK_H
#define SNIPE_BACKEND_TASK_H

#include "base/counters.h"
#include "config/settings.h"
#include "node/mailbox.h"
#include "node/peer_task.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_backend_task;

struct snipe_backend_config {
	struct event_base *base;
	const struct snipe_settings *settings;
	struct snipe_peer_task *peers;
	struct snipe_counters *counters;
};

struct snipe_backend_task *snipe_backend_task_new(const struct snipe_backend_config *config);
void snipe_backend_task_free(struct snipe_backend_task *t);

struct snipe_mailbox *snipe_backend_task_mailbox(struct snipe_backend_task *t);
void snipe_backend_task_set_control(struct snipe_backend_task *t,
				    struct snipe_mailbox *control);

/* Context of a running call, inherited by inner calls. */
struct snipe_call_context {
	char workspace[SNIPE_NAME_SIZE];
	int importance;
	int64_t deadline_us;
	int depth;
	struct snipe_address root_address;
	uint64_t root_request;
	uint8_t token[16];
	int is_repetition; /* inner calls may have run before, for an earlier attempt */
};

/*
 * Resolves a Snipe-Context token. token NULL: the only running call, if there is exactly one.
 * repeated is set if an inner call with this fingerprint was made under the context before.
 * Returns 0 or SNIPE_ERR_NOT_FOUND.
 */
int snipe_backend_task_context(struct snipe_backend_task *t, const char *token,
			       uint64_t fingerprint, struct snipe_call_context *context,
			       int *repeated);

/* An inner call that snipe_backend_task_context resolved has ended; token is that of its
 * context. */
void snipe_backend_task_inner_done(struct snipe_backend_task *t, const uint8_t token[16]);

/* Handles an announcement of the backend server (JSON). Returns 0 or an error with its remedy.
 */
int snipe_backend_task_announce(struct snipe_backend_task *t, const char *json, size_t len,
				struct snipe_error_text *err);

/* Number of running and waiting calls. */
int snipe_backend_task_in_flight(const struct snipe_backend_task *t);

void snipe_backend_task_dump(const struct snipe_backend_task *t, struct snipe_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
