/*
 * State of the entry and of one request, shared by the files of the entry.
 */
#ifndef SNIPE_ENTRY_STATE_H
#define SNIPE_ENTRY_STATE_H

#include <event2/event_struct.h>

#include "core/recent_max.h"
#include "core/retry.h"
#include "gateway/entry.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Why a request was rejected: a service that its call chain needs is short. */
#define SNIPE_ENTRY_CHAIN_OVERLOADED "chain_overloaded"
/* Most attempts of one request, including those that a gate rejected. */
#define SNIPE_ENTRY_MAX_ATTEMPTS 4

struct snipe_entry_route {
	struct snipe_entry_limit limit;
	int cost_handle;	/* in the route costs */
	double chain_credit;	/* accumulated parts of a request that may be admitted */
	double mean_attempt_us; /* of the attempts that were answered; 0: none yet */
	/* How long requests took that ran or may have run: at servers that had just started, or
	 * with calls to a service with such servers, and all others. */
	struct snipe_recent_max cold_times_us, times_us;
	int *current_weights; /* of the targets, for smooth weighted round robin */
	int current_weight_count;
	char targets[256]; /* services that current_weights belongs to */
};

struct snipe_entry_service {
	struct snipe_retry_share rerun_budget;	/* retries of calls that may have run: their
						   inner calls may be repeated as well */
	struct snipe_retry_share resend_budget; /* retries of calls that reached a server but
						   did not run */
};

/* Final answer of the node's own, without a response of a backend server. */
struct snipe_entry_error {
	int status;
	const char *reason;
	int64_t retry_after_us; /* 0: none */
};

/* One sending of a call to one backend server. */
struct snipe_entry_attempt {
	struct snipe_entry_call *call;
	int server;
	int64_t started_us;
	uint64_t peer_request; /* of snipe_peer_request; 0: ended */
};

struct snipe_entry_call {
	struct snipe_entry *entry;
	LIST_ENTRY(snipe_entry_call) link;
	struct snipe_h1_request *req;
	struct snipe_routing *routing;
	const struct snipe_gateway_route *route;
	int workspace;		 /* index; negative: none */
	uint64_t workspace_hash; /* workspace whose rate token was taken; 0: none */
	const char *request_id;	 /* from the request's headers; empty: none */
	int is_inner;		 /* made by a backend server, not by a client */
	int is_limited;		 /* counted by the route's limit */
	int is_trial;		 /* suspect of crashing servers, but admitted */
	int is_cold;		 /* its time counts among the cold times of the route */
	const char *service;
	struct snipe_entry_route *entry_route;
	struct snipe_entry_service *entry_service;
	struct snipe_service_pool *pool;
	uint64_t fingerprint;
	int64_t received_us;
	int64_t waited_us; /* how long it had probably waited to be read */
	int64_t deadline_us;
	struct snipe_entry_attempt attempts[SNIPE_ENTRY_MAX_ATTEMPTS];
	int attempt_count;    /* attempts started */
	int open_attempts;    /* attempts that have not ended */
	int arrived_attempts; /* ended attempts that reached a backend server */
	int may_have_run;
	struct snipe_buffer saved_failure; /* encoded 5xx response of a server, used if no
					      other attempt succeeds; empty: none */
	struct snipe_buffer saved_failure_body;
	char last_reason[SNIPE_REASON_SIZE];
	double chain_share;  /* part of such requests that the chain limit admitted */
	uint64_t bottleneck; /* hash of the service that is short; set if that is below 1 */
	struct event deadline_timer; /* ends the call after its deadline */
	struct event hedge_timer;    /* when to try a second server */
};

/* entry_check.c: whether a request is allowed. Returns status 0 if it is: then its route,
 * workspace and deadline are set, and a rate token is taken if its workspace needs one. */
struct snipe_entry_error snipe_entry_call_check(struct snipe_entry_call *call);

/* entry_call.c: what a request costs along its call chain; empty: unknown. */
const struct snipe_chain_cost *snipe_entry_call_cost(const struct snipe_entry_call *call);
/* entry_message.c: the rank of the call in a gate's queue; 0 is served first. */
int snipe_entry_call_rank(const struct snipe_entry_call *call);
/* entry_message.c: fills the message that carries the call to a gate; its strings point into
 * the call. */
void snipe_entry_fill_message(const struct snipe_entry_call *call, struct snipe_msg_call *m,
			      int64_t now);

/* entry_call.c: a call from its first attempt to its answer. _free, _fail, _fail_with and
 * _reject_not_run free the call, and _start_attempt may do so. */

/* Writes a log line about the call; the lines are limited in rate. */
void snipe_entry_call_log(const struct snipe_entry_call *call, const char *event, int status,
			  const char *reason, int64_t retry_after_us);
/* Chooses a server that was not tried and sends the call to it; ends the call if there is
 * none. */
void snipe_entry_call_start_attempt(struct snipe_entry_call *call);
void snipe_entry_call_init_timers(struct snipe_entry_call *call);
/* Starts the timer that ends the call soon after its deadline. */
void snipe_entry_call_start_timer(struct snipe_entry_call *call);
/* Whether a stop, if one has begun, leaves the time that the call is expected to take from now
 * on. is_cold: at a server that has just started. */
int snipe_entry_call_fits_stop(const struct snipe_entry_call *call, int64_t now_us,
			       int is_cold);
/* Whether a service that the call needs further down its chain may have servers that have just
 * started. */
int snipe_entry_call_has_cold_chain(const struct snipe_entry_call *call, int64_t now_us);
/* Records how long the call has taken, for a call that ran or may have run. */
void snipe_entry_call_record_time(struct snipe_entry_call *call);
/* Cancels the open attempts and frees the call without an answer. */
void snipe_entry_call_free(struct snipe_entry_call *call);
/* Answers with a status of the node's own. */
void snipe_entry_call_fail(struct snipe_entry_call *call,
			   const struct snipe_entry_error *error);
void snipe_entry_call_fail_with(struct snipe_entry_call *call, int status, const char *reason,
				int64_t retry_after_us);
/* Answers with status 503 that the request did not and will not run, and when to retry. */
void snipe_entry_call_reject_not_run(struct snipe_entry_call *call, const char *reason);

#ifdef __cplusplus
}
#endif

#endif
