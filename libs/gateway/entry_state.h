/*
 * State of the entry and of one request of a caller, shared by the files of the entry.
 */
#ifndef SNIPE_ENTRY_STATE_H
#define SNIPE_ENTRY_STATE_H

#include <event2/event_struct.h>

#include "core/retry.h"
#include "gateway/entry.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Placements of one request at most, counting those that a gate refused. */
#define SNIPE_ENTRY_PLACEMENTS 4

struct snipe_entry_route {
	struct snipe_entry_limit limit;
	double attempt_us; /* mean time of a placement that was answered; 0: none yet */
	int *credits;	   /* of the targets, for a draw in proportion to their weights */
	int credit_count;
	char targets[256]; /* services the credits belong to */
};

struct snipe_entry_service {
	struct snipe_retry_share
		reruns; /* calls that may run twice, and make their calls again */
	struct snipe_retry_share resends; /* calls that a server refused to run */
};

/* Final answer that the node gives by itself. */
struct snipe_entry_rejection {
	int status;
	const char *reason;
	int64_t retry_after_us; /* 0: none */
};

/* One placement of a call on a backend server. */
struct snipe_entry_attempt {
	struct snipe_entry_call *call;
	int server;
	int64_t started_us;
	uint64_t peer_request; /* 0: ended */
};

struct snipe_entry_call {
	struct snipe_entry *entry;
	LIST_ENTRY(snipe_entry_call) link;
	struct snipe_h1_request *req;
	struct snipe_routing *routing;
	const struct snipe_gateway_route *route;
	int workspace;		 /* index; negative: none */
	uint64_t workspace_hash; /* of a token that was taken; 0: none */
	const char *request_id;	 /* in the request; empty: the caller sent none */
	int is_inner;
	int is_limited; /* counted by the route's limit */
	int is_trial;	/* suspect of crashing servers, but let through */
	const char *service;
	struct snipe_entry_route *state;
	struct snipe_entry_service *service_state;
	struct snipe_service_pool *pool;
	uint64_t fingerprint;
	int64_t received_us;
	int64_t deadline_us;
	struct snipe_entry_attempt attempts[SNIPE_ENTRY_PLACEMENTS];
	int placements; /* attempts begun */
	int open;	/* attempts that have not ended */
	int arrivals;	/* ended attempts that reached a backend server */
	int may_have_run;
	struct snipe_buffer failure; /* frame of a server's failed response, to be given if no
					other server does better; empty: none */
	struct snipe_buffer failure_body;
	char last_reason[SNIPE_REASON_SIZE];
	struct event timer;
	struct event hedge; /* time to try a second server */
};

/* entry_check.c: whether a request is allowed. status 0 if it is; then workspace, deadline and
 * the token of the rate are set. */
struct snipe_entry_rejection snipe_entry_call_check(struct snipe_entry_call *call);

/* entry_message.c: the message that carries the call to a gate. */
void snipe_entry_fill_message(const struct snipe_entry_call *call, struct snipe_msg_call *m,
			      int64_t now);

/* entry_call.c: life of a call. Freeing, rejecting and refusing end it, and so may placing. */
void snipe_entry_call_log(const struct snipe_entry_call *call, const char *event, int status,
			  const char *reason, int64_t retry_after_us);
/* Begins the call on a server. */
void snipe_entry_call_place(struct snipe_entry_call *call);
void snipe_entry_call_init_timers(struct snipe_entry_call *call);
void snipe_entry_call_start_timer(struct snipe_entry_call *call);
/* Releases the call without an answer. */
void snipe_entry_call_free(struct snipe_entry_call *call);
/* Answers with a status of the node's own. */
void snipe_entry_call_reject(struct snipe_entry_call *call,
			     const struct snipe_entry_rejection *r);
void snipe_entry_call_reject_with(struct snipe_entry_call *call, int status, const char *reason,
				  int64_t retry_after_us);
/* Answers that the request certainly has not run and when to come back. */
void snipe_entry_call_refuse(struct snipe_entry_call *call, const char *reason);

#ifdef __cplusplus
}
#endif

#endif
