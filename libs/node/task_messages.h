/*
 * Messages between the tasks of one node.
 */
#ifndef SNIPE_TASK_MESSAGES_H
#define SNIPE_TASK_MESSAGES_H

#include <stdint.h>

#include "core/dedup.h"
#include "core/membership.h"
#include "core/quota.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_snapshot;

enum snipe_task_message_type {
	/* control task to caller, backend and admin tasks */
	SNIPE_TASK_SNAPSHOT, /* new tables, keys or members */
	SNIPE_TASK_VALIDITY, /* until when routes that are not open may be served */
	SNIPE_TASK_STRIKES,  /* both ways between backend and control task */
	/* caller task to control task, and the answers */
	SNIPE_TASK_QUOTA_ASK,
	SNIPE_TASK_QUOTA_GRANT,
	SNIPE_TASK_QUOTA_RETURN,
	SNIPE_TASK_CLAIM_ASK,
	SNIPE_TASK_CLAIM_ANSWER,
	SNIPE_TASK_CLAIM_DONE,
	SNIPE_TASK_CLAIM_RELEASE,
	/* backend task to control task */
	SNIPE_TASK_SELF_STATE,
	/* node to every task */
	SNIPE_TASK_DRAIN,
};

#define SNIPE_TASK_STRIKES_MAX 32

/* Names a granted claim and the node that granted it. */
struct snipe_claim_handle {
	char workspace[SNIPE_NAME_SIZE];
	char identifier[40];
	char owner[SNIPE_NAME_SIZE];
	uint64_t owner_process;
	uint64_t claim;
};

struct snipe_task_message {
	enum snipe_task_message_type type;
	union {
		struct snipe_snapshot *snapshot;
		int64_t valid_until_us;
		struct {
			uint64_t fingerprints[SNIPE_TASK_STRIKES_MAX];
			int count;
			/* identifies the death; 0: a request succeeded and its strikes are
			 * cleared */
			uint64_t death;
		} strikes;
		struct {
			char workspace[SNIPE_NAME_SIZE];
			int want;
			int ahead;
			int64_t sent_us;
		} quota_ask;
		struct {
			char workspace[SNIPE_NAME_SIZE];
			struct snipe_grant grant;
			int64_t sent_us; /* of the ask */
			int failed;	 /* the owner could not be asked or may not act */
		} quota_grant;
		struct {
			char workspace[SNIPE_NAME_SIZE];
			uint64_t grant;
			int tokens;
		} quota_return;
		struct {
			uint64_t call; /* chosen by the asker, comes back in the answer */
			char workspace[SNIPE_NAME_SIZE];
			char identifier[40];
			uint64_t fingerprint;
		} claim_ask;
		struct {
			uint64_t call;
			int failed; /* the owner could not be asked or may not act */
			enum snipe_claim_verdict verdict;
			struct snipe_claim_handle claim;
			char *answer; /* freed by the mailbox after the handler */
			size_t answer_len;
		} claim_answer;
		struct {
			struct snipe_claim_handle claim;
			int known;
			char *answer; /* freed by the mailbox after the handler */
			size_t answer_len;
		} claim_done; /* CLAIM_RELEASE uses claim only */
		struct {
			enum snipe_member_state state;
			char pool[SNIPE_NAME_SIZE];
		} self_state;
	} u;
};

#ifdef __cplusplus
}
#endif

#endif
