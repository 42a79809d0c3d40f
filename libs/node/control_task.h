/*
 * Control task: membership, shared objects, ownership, rates and identifiers.
 *
 * It owns the UDP socket on the peer port and the platform client. It handles the peer messages
 * QUOTA_*, DEDUP_*, FETCH, OBJECT, MEMBERS_ASK, and posts snapshots, validity, strikes, grants
 * and claim answers to the mailboxes given in its configuration.
 */
#ifndef SNIPE_CONTROL_TASK_H
#define SNIPE_CONTROL_TASK_H

#include "base/counters.h"
#include "config/settings.h"
#include "core/control_state.h"
#include "node/mailbox.h"
#include "node/peer_task.h"
#include "platform/object_store.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_control_task; /* allocated by init: it is large and private */

struct snipe_control_config {
	struct event_base *base;
	const struct snipe_settings *settings;
	struct snipe_peer_task *peers;
	struct snipe_object_store *store;
	struct snipe_counters *counters;
	uint64_t process;
	struct snipe_mailbox *caller_box;
	struct snipe_mailbox *backend_box;
};

/* Returns NULL with the remedy in err if the UDP port is taken. */
struct snipe_control_task *snipe_control_task_new(const struct snipe_control_config *config,
						  struct snipe_error_text *err);
void snipe_control_task_free(struct snipe_control_task *t);

/* Mailbox for QUOTA_*, CLAIM_*, STRIKES, SELF_STATE and DRAIN. */
struct snipe_mailbox *snipe_control_task_mailbox(struct snipe_control_task *t);

/* Nonzero once owned shards are released after DRAIN, or after 5 s. */
int snipe_control_task_drained(const struct snipe_control_task *t);

/* Takes an object that an operator's program handed over; see admin_task.h. Returns 0,
 * SNIPE_ERR_STALE or SNIPE_ERR_SYNTAX. */
int snipe_control_task_object(struct snipe_control_task *t, enum snipe_object_id id,
			      uint64_t version, const char *value, size_t len);

/* Appends a JSON object (versions, mode, age, role, members, owned shards) for the state dump.
 */
void snipe_control_task_dump(const struct snipe_control_task *t, struct snipe_buffer *out);

#ifdef __cplusplus
}
#endif

#endif
