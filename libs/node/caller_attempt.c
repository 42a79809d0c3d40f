#include <event2/event.h>
#include <event2/http.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "node/caller_key.h"
#include "node/caller_state.h"
#include "base/clock.h"

static void fill_message(struct snipe_call *call, struct snipe_msg_call *m, int64_t now)
{
	const struct snipe_route *route = call->route;
	const struct evkeyvalq *headers = evhttp_request_get_input_headers(call->req);
	struct snipe_caller_keys keys;

	memcpy(m->route, route->name, sizeof(m->route));
	memcpy(m->pool, call->pool->name, sizeof(m->pool));
	memcpy(m->method, route->method, sizeof(m->method));
	m->path.data = call->uri;
	m->path.len = strlen(call->uri);
	memcpy(m->workspace, call->workspace, sizeof(m->workspace));
	m->importance = call->importance;
	m->idempotent = route->idempotent;
	m->timeout_us = call->deadline_us - now;
	m->depth = call->depth;
	/* Each run beyond the first of any call in the chain takes a token, also those below a
	 * call that is sent again. */
	m->attempt = call->is_repetition || call->unknown_reason != SNIPE_REASON_NONE;
	m->root_address = call->root_address;
	m->root_request = call->root_request;
	m->fingerprint = call->fingerprint;
	snipe_caller_keys_find(&keys, headers);
	m->header_count =
		snipe_caller_keys_filter(&keys, headers, m->headers, SNIPE_MAX_HEADERS);
}

/* Returns what the balancer learns from an attempt that ended with this reason. */
static enum snipe_server_outcome server_outcome(enum snipe_reason reason)
{
	switch (reason) {
	case SNIPE_REASON_OVERLOADED:
	case SNIPE_REASON_DRAINING:
	case SNIPE_REASON_EXPIRED:
		return SNIPE_OUTCOME_REJECTED;
	case SNIPE_REASON_TIMEOUT:
		return SNIPE_OUTCOME_TIMEOUT;
	case SNIPE_REASON_CRASH_SUSPECT:
	case SNIPE_REASON_CANCELLED:
	case SNIPE_REASON_BAD_REQUEST:
		return SNIPE_OUTCOME_CANCELLED;
	default:
		return SNIPE_OUTCOME_FAILED;
	}
}

static void record(struct snipe_call *call, enum snipe_server_outcome outcome,
		   const struct snipe_load_report *load)
{
	int64_t now = snipe_now_us();

	snipe_balancer_record(&call->pool->balancer, call->server, now, now - call->chosen_us,
			      outcome, load);
	call->server = -1;
}

static void link_failed(struct snipe_call *call, int err)
{
	enum snipe_reason reason = SNIPE_REASON_ANSWER_LOST;
	int not_run = err == SNIPE_ERR_UNAVAILABLE;

	if (not_run)
		reason = SNIPE_REASON_NO_BACKEND_SERVER;
	else if (err == SNIPE_ERR_TRUNCATED)
		reason = SNIPE_REASON_ANSWER_TRUNCATED;
	else if (snipe_now_us() >= call->deadline_us)
		reason = SNIPE_REASON_TIMEOUT;
	record(call, server_outcome(reason), NULL);
	snipe_call_attempt_failed(call, reason, not_run);
}

static void on_answer(void *arg, int err, const struct snipe_message *reply, const char *body,
		      size_t body_len)
{
	struct snipe_call *call = arg;
	const struct snipe_msg_answer *a;
	enum snipe_reason reason;

	call->peer_request = 0;
	if (err == 0 && reply->type != SNIPE_MSG_ANSWER)
		err = SNIPE_ERR_UNKNOWN;
	if (err) {
		link_failed(call, err);
		return;
	}
	a = &reply->u.answer;
	if (a->outcome == SNIPE_ANSWER_COMPLETE) {
		record(call, SNIPE_OUTCOME_OK, &a->load);
		snipe_call_complete(call, a, body, body_len, 0);
		return;
	}
	reason = snipe_reason_parse(a->reason);
	if (reason == SNIPE_REASON_NONE)
		reason = a->outcome == SNIPE_ANSWER_NOT_RUN ? SNIPE_REASON_OVERLOADED
							    : SNIPE_REASON_ANSWER_LOST;
	record(call, server_outcome(reason), &a->load);
	if (a->retry_after_us > 0)
		call->retry_after_us = a->retry_after_us;
	snipe_call_attempt_failed(call, reason,
				  a->outcome == SNIPE_ANSWER_NOT_RUN &&
					  snipe_reason_is_not_run(reason));
}

void snipe_call_send(struct snipe_call *call)
{
	struct snipe_caller_task *t = call->task;
	struct snipe_message msg;
	int64_t now = snipe_now_us();

	event_del(&call->timer);
	if (now >= call->deadline_us) {
		snipe_call_reject(call, SNIPE_REASON_EXPIRED);
		return;
	}
	/* The call may have waited, or the node may have been paused since it was checked. */
	if (!call->route->open && !call->is_inner && now >= t->valid_until_us) {
		snipe_call_reject(call, SNIPE_REASON_CONFIG_UNCONFIRMED);
		return;
	}
	msg.type = SNIPE_MSG_CALL;
	memset(&msg.u.call, 0, offsetof(struct snipe_msg_call, headers));
	fill_message(call, &msg.u.call, now);
	if (msg.u.call.header_count < 0) {
		snipe_call_reject(call, SNIPE_REASON_TOO_LARGE);
		return;
	}
	call->state = SNIPE_CALL_SENT;
	call->tried[call->tried_count++] = call->server;
	call->peer_request = snipe_peer_request(
		t->peers, &call->address, &msg, call->body, call->body_len,
		call->deadline_us - now + SNIPE_DEADLINE_GRACE_US, on_answer, call);
}

static int is_retryable(const struct snipe_call *call, enum snipe_reason reason, int not_run)
{
	switch (reason) {
	case SNIPE_REASON_OVERLOADED:
	case SNIPE_REASON_DRAINING:
	case SNIPE_REASON_NO_BACKEND_SERVER:
		return not_run;
	case SNIPE_REASON_ANSWER_LOST:
	case SNIPE_REASON_ANSWER_TRUNCATED:
		return call->route->idempotent;
	case SNIPE_REASON_BACKEND_DIED:
		/* A request that kills servers gets its second strike by one retry. */
		return call->route->idempotent && call->died_count < 2;
	default:
		return 0;
	}
}

static void start_backoff(struct snipe_call *call)
{
	struct snipe_caller_task *t = call->task;

	snipe_counters_add(t->counters, t->count_retries, 1);
	call->route_state->retries++;
	call->state = SNIPE_CALL_BACKOFF;
	snipe_call_set_timer(call,
			     snipe_now_us() + snipe_retry_backoff_us(call->attempt, t->rng));
}

static void ledger_answered(struct snipe_call *call, int granted)
{
	if (call->attempt == 0) {
		if (!granted)
			snipe_call_reject(call, SNIPE_REASON_OVERLOADED);
		else if (call->identifier)
			snipe_call_ask_claim(call);
		else
			snipe_call_choose_server(call);
		return;
	}
	if (!granted) {
		snipe_retry_budget_refund(&call->route_state->budget);
		snipe_call_reject(call, call->last_reason);
		return;
	}
	start_backoff(call);
}

static void on_ledger_answer(void *arg, int err, const struct snipe_message *reply,
			     const char *body, size_t body_len)
{
	struct snipe_call *call = arg;

	(void)body;
	(void)body_len;
	call->peer_request = 0;
	ledger_answered(call, err == 0 && reply->type == SNIPE_MSG_RETRY_ANSWER &&
				      reply->u.retry_answer.is_granted);
}

/* Asks the first node of the client request; without an answer there is no retry. */
static void ask_ledger(struct snipe_call *call)
{
	struct snipe_caller_task *t = call->task;
	struct snipe_message msg = {.type = SNIPE_MSG_RETRY_ASK};

	call->state = SNIPE_CALL_WAIT_LEDGER;
	if (!call->is_inner) {
		ledger_answered(call, snipe_retry_ledger_take(&t->ledger, call->id));
		return;
	}
	msg.u.retry_ask.request = call->root_request;
	call->peer_request =
		snipe_peer_request(t->peers, &call->root_address, &msg, NULL, 0,
				   SNIPE_RETRY_ASK_TIMEOUT_US, on_ledger_answer, call);
}

void snipe_call_ask_entry(struct snipe_call *call)
{
	ask_ledger(call);
}

void snipe_caller_on_retry_ask(void *arg, const struct snipe_peer_origin *from,
			       const struct snipe_message *msg, const char *body,
			       size_t body_len)
{
	struct snipe_caller_task *t = arg;
	struct snipe_message reply = {.type = SNIPE_MSG_RETRY_ANSWER};

	(void)body;
	(void)body_len;
	reply.u.retry_answer.is_granted =
		snipe_retry_ledger_take(&t->ledger, msg->u.retry_ask.request);
	snipe_peer_reply(t->peers, from, &reply, NULL, 0);
}

void snipe_call_attempt_failed(struct snipe_call *call, enum snipe_reason reason, int not_run)
{
	struct snipe_caller_task *t = call->task;
	int attempts_left;

	call->last_reason = reason;
	if (!not_run)
		call->unknown_reason = reason;
	if (reason == SNIPE_REASON_BACKEND_DIED)
		call->died_count++;
	attempts_left = call->tried_count < SNIPE_MAX_ATTEMPTS &&
			(t->has_control || call->attempt < call->route->max_retries);
	call->attempt++;
	if (!attempts_left || !is_retryable(call, reason, not_run) ||
	    !snipe_retry_is_allowed(call->route->idempotent, not_run, snipe_now_us(), 0,
				    call->deadline_us)) {
		snipe_call_reject(call, reason);
	} else if (!t->has_control) {
		start_backoff(call);
	} else if (!snipe_retry_budget_take(&call->route_state->budget)) {
		snipe_call_reject(call, reason);
	} else {
		ask_ledger(call);
	}
}

void snipe_call_backoff_over(struct snipe_call *call)
{
	struct snipe_caller_task *t = call->task;
	int64_t now = snipe_now_us();
	int server = snipe_server_pool_choose(call->pool, now, t->rng, call->importance,
					      call->tried, call->tried_count, &call->address);

	/* All usable servers were tried: one of them may do by now. */
	if (server == SNIPE_ERR_NOT_FOUND)
		server = snipe_server_pool_choose(call->pool, now, t->rng, call->importance,
						  NULL, 0, &call->address);
	call->server = server;
	call->chosen_us = now;
	if (server < 0)
		snipe_call_reject(call, call->last_reason);
	else
		snipe_call_send(call);
}
