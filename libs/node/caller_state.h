/*
 * State of the caller task and of one call, shared by the files of the task.
 */
#ifndef SNIPE_CALLER_STATE_H
#define SNIPE_CALLER_STATE_H

#include <event2/event_struct.h>
#include <event2/bufferevent.h>
#include <glib.h>
#include <sys/queue.h>

#include "base/histogram.h"
#include "core/quota.h"
#include "core/retry.h"
#include "node/backend_task.h"
#include "node/caller_task.h"
#include "node/rejection.h"
#include "node/server_table.h"
#include "node/snapshot.h"
#include "node/task_messages.h"

#ifdef __cplusplus
extern "C" {
#endif

struct evhttp;
struct evhttp_request;

#define SNIPE_MAX_DEPTH 8
/* The tables bound max_retries by 10. */
#define SNIPE_MAX_ATTEMPTS 11
/* The backend server's node knows the exact outcome at the deadline, so its answer is awaited
 * a little longer. */
#define SNIPE_DEADLINE_GRACE_US 25000
#define SNIPE_RETRY_ASK_TIMEOUT_US 100000

/* What one route keeps at this node across versions of the tables. */
struct snipe_route_state {
	struct snipe_retry_budget budget;
	int64_t calls;
	int64_t retries;
};

enum snipe_call_state {
	SNIPE_CALL_CHECKING,
	SNIPE_CALL_WAIT_CLAIM,
	SNIPE_CALL_WAIT_TOKEN,
	SNIPE_CALL_WAIT_LEDGER,
	SNIPE_CALL_BACKOFF,
	SNIPE_CALL_SENT,
};

/*
 * One request of a caller. It passes through the steps claim, server, token, attempts; each
 * step continues with the next one or ends the call.
 */
struct snipe_call {
	struct snipe_caller_task *task;
	LIST_ENTRY(snipe_call) link; /* in task->calls */
	struct evhttp_request *req;
	/* callbacks of the connection, replaced while the response is awaited */
	struct bufferevent *bev; /* NULL: caller has left */
	bufferevent_event_cb saved_event_cb;
	void *saved_arg;
	enum snipe_call_state state;
	uint64_t id;
	struct snipe_snapshot *snapshot;
	const struct snipe_route *route; /* of the snapshot; NULL: none matched */
	struct snipe_route_state *route_state;
	struct snipe_server_pool *pool;
	const char *uri; /* path and query as received */
	char workspace[SNIPE_NAME_SIZE];
	const char *identifier; /* NULL: none */
	int has_identifier;	/* the header came, well-formed or not */
	int is_inner;
	uint8_t context_token[16]; /* of an inner call */
	int is_repetition; /* an inner call that may have run before: takes a ledger token */
	enum snipe_importance importance;
	int64_t started_us;
	int64_t deadline_us;
	int depth;
	struct snipe_address root_address;
	uint64_t root_request;
	uint64_t fingerprint;
	const char *body; /* in the request's input buffer */
	size_t body_len;
	struct snipe_claim_handle *claim; /* NULL: none granted */
	/* attempts */
	int attempt;
	int tried[SNIPE_MAX_ATTEMPTS];
	int tried_count;
	int server; /* chosen and not recorded yet; negative: none */
	struct snipe_address address;
	int64_t chosen_us;
	uint64_t peer_request; /* attempt or question to the ledger; 0: none */
	enum snipe_reason last_reason;
	enum snipe_reason unknown_reason; /* of an attempt that may have run */
	int64_t retry_after_us;
	int died_count;
	struct event timer;
};

struct snipe_caller_task {
	struct event_base *base;
	const struct snipe_settings *settings;
	struct snipe_peer_task *peers;
	struct snipe_backend_task *backend;
	struct snipe_counters *counters;
	struct snipe_mailbox *control;
	struct snipe_mailbox box;
	struct evhttp *outside, *local;
	struct snipe_address address, local_address;
	struct event tick;
	GRand *rng;
	/* published by the control task */
	struct snipe_snapshot *snapshot;
	int64_t valid_until_us;
	int is_draining;
	int has_control; /* policy is not "none" */
	/* by name, and for each route of the snapshot by its index */
	GHashTable *routes;
	struct snipe_route_state **route_states;
	struct snipe_server_table servers;
	struct snipe_retry_ledger ledger;
	struct snipe_quota_cache quota;
	GHashTable *token_queues; /* workspace -> GQueue of waiting calls, oldest first */
	GHashTable *claim_waits;  /* call id -> call */
	LIST_HEAD(snipe_calls, snipe_call) calls;
	int in_flight;
	uint64_t next_id;
	struct snipe_rejection_log rejections;
	struct snipe_histogram latency; /* of complete client requests in this window, us */
	int64_t latency_since_us;
	int count_calls, count_inner, count_complete, count_retries, count_replays;
	int gauge_p50, gauge_p99, gauge_in_flight;
};

/* caller_request.c: checks that need no other task. On SNIPE_REASON_NONE the call is complete
 * but for claim, token and server. */
enum snipe_reason snipe_call_check(struct snipe_call *call, int is_local);

/* caller_call.c: life of a call */
void snipe_call_begin(struct snipe_caller_task *t, struct evhttp_request *req, int is_local);
void snipe_call_reject(struct snipe_call *call, enum snipe_reason reason);
void snipe_call_complete(struct snipe_call *call, const struct snipe_msg_answer *answer,
			 const char *body, size_t body_len, int is_replay);
/* The next step after the claim was granted or was not needed. */
void snipe_call_choose_server(struct snipe_call *call);
/* Sets the call's timer. */
void snipe_call_set_timer(struct snipe_call *call, int64_t at_us);
/* Ends a call without a response: shutdown. */
void snipe_call_abandon(struct snipe_call *call);

/* caller_attempt.c: attempts and retries */
void snipe_call_send(struct snipe_call *call);
/* An attempt ended with reason; retries or ends the call. */
void snipe_call_attempt_failed(struct snipe_call *call, enum snipe_reason reason, int not_run);
/* A repeated inner call asks for its ledger token. */
void snipe_call_ask_entry(struct snipe_call *call);
void snipe_call_backoff_over(struct snipe_call *call);
void snipe_caller_on_retry_ask(void *arg, const struct snipe_peer_origin *from,
			       const struct snipe_message *msg, const char *body,
			       size_t body_len);

/* caller_claim.c: identifiers of non-idempotent requests */
void snipe_call_ask_claim(struct snipe_call *call);
void snipe_caller_on_claim_answer(struct snipe_caller_task *t,
				  const struct snipe_task_message *m);
void snipe_call_claim_done(struct snipe_call *call, const struct snipe_msg_answer *answer,
			   const char *body, size_t body_len);
void snipe_call_claim_unknown(struct snipe_call *call);
void snipe_call_claim_release(struct snipe_call *call);
void snipe_caller_send_identifier(struct evhttp_request *req);

/* caller_quota.c: tokens of the workspace's rate */
void snipe_call_take_token(struct snipe_call *call);
void snipe_call_leave_token_queue(struct snipe_call *call);
void snipe_caller_on_quota_grant(struct snipe_caller_task *t,
				 const struct snipe_task_message *m);
void snipe_caller_return_tokens(struct snipe_caller_task *t);

#ifdef __cplusplus
}
#endif

#endif
