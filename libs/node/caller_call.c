#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

#include "base/error.h"
#include "node/caller_state.h"
#include "base/clock.h"
#include "node/http_text.h"

/* Gives the connection back to evhttp before it is written to. */
static void restore_callbacks(struct snipe_call *call)
{
	if (!call->bev)
		return;
	bufferevent_setcb(call->bev, NULL, NULL, call->saved_event_cb, call->saved_arg);
	call->bev = NULL;
}

/* Releases what the call holds at other places. The request itself is not touched. */
static void free_call(struct snipe_call *call)
{
	struct snipe_caller_task *t = call->task;
	int64_t now = snipe_now_us();

	if (call->state == SNIPE_CALL_WAIT_CLAIM)
		g_hash_table_remove(t->claim_waits, &call->id);
	if (call->state == SNIPE_CALL_WAIT_TOKEN)
		snipe_call_leave_token_queue(call);
	if (call->peer_request)
		snipe_peer_cancel(t->peers, call->peer_request);
	if (call->server >= 0)
		snipe_balancer_record(&call->pool->balancer, call->server, now,
				      now - call->chosen_us, SNIPE_OUTCOME_CANCELLED, NULL);
	if (call->is_inner)
		snipe_backend_task_inner_done(t->backend, call->context_token);
	if (call->depth == 1)
		snipe_retry_ledger_close(&t->ledger, call->id);
	event_del(&call->timer);
	LIST_REMOVE(call, link);
	snipe_snapshot_unref(call->snapshot);
	g_free(call->claim);
	t->in_flight--;
	g_free(call);
}

void snipe_call_abandon(struct snipe_call *call)
{
	restore_callbacks(call);
	free_call(call);
}

/*
 * Whether this rejection is certain for every attempt with the same identifier. Before the
 * claim an earlier attempt may have run, unless the identifier itself can't have been accepted.
 */
static int is_certain(const struct snipe_call *call, enum snipe_reason reason)
{
	if (!snipe_reason_is_not_run(reason))
		return 0;
	if (!call->has_identifier || call->claim || (call->route && call->route->idempotent))
		return 1;
	return reason == SNIPE_REASON_IDENTIFIER_INVALID ||
	       reason == SNIPE_REASON_IDENTIFIER_STORE_FULL;
}

static void log_rejection(struct snipe_call *call, enum snipe_reason reason, int not_run)
{
	snipe_rejection_log_add(&call->task->rejections, snipe_wall_ms(), reason, not_run,
				call->route ? call->route->name : "", call->workspace);
}

static void end_claim(struct snipe_call *call, int not_run)
{
	if (!call->claim)
		return;
	if (not_run)
		snipe_call_claim_release(call);
	else
		snipe_call_claim_unknown(call);
}

void snipe_call_reject(struct snipe_call *call, enum snipe_reason reason)
{
	struct evhttp_request *req = call->req;
	int64_t retry_after_us = call->retry_after_us;
	int not_run;

	/* An earlier attempt that may have run decides the outcome of the whole call. */
	if (call->unknown_reason != SNIPE_REASON_NONE)
		reason = call->unknown_reason;
	not_run = is_certain(call, reason);
	end_claim(call, not_run);
	log_rejection(call, reason, not_run);
	restore_callbacks(call);
	free_call(call);
	snipe_rejection_send(req, reason, not_run, retry_after_us);
}

static void send_response(struct evhttp_request *req, const struct snipe_msg_answer *answer,
			  const char *body, size_t body_len, int is_replay)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	struct evbuffer *out = evhttp_request_get_output_buffer(req);

	snipe_http_add_headers(headers, answer->headers, answer->header_count);
	if (is_replay)
		evhttp_add_header(headers, "Snipe-Replayed", "true");
	if (body_len)
		evbuffer_add(out, body, body_len);
	evhttp_send_reply(req, answer->status, NULL, NULL);
}

void snipe_call_complete(struct snipe_call *call, const struct snipe_msg_answer *answer,
			 const char *body, size_t body_len, int is_replay)
{
	struct snipe_caller_task *t = call->task;
	struct evhttp_request *req = call->req;

	if (call->claim)
		snipe_call_claim_done(call, answer, body, body_len);
	snipe_counters_add(t->counters, is_replay ? t->count_replays : t->count_complete, 1);
	if (!call->is_inner)
		snipe_histogram_add(&t->latency, (uint64_t)(snipe_now_us() - call->started_us));
	restore_callbacks(call);
	free_call(call);
	send_response(req, answer, body, body_len, is_replay);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_call *call = arg;

	(void)fd;
	(void)what;
	if (call->state == SNIPE_CALL_BACKOFF)
		snipe_call_backoff_over(call);
	else
		snipe_call_reject(call, SNIPE_REASON_EXPIRED);
}

void snipe_call_set_timer(struct snipe_call *call, int64_t at_us)
{
	struct timeval tv = snipe_timeval(at_us - snipe_now_us());

	event_add(&call->timer, &tv);
}

/* Takes one server, so that an early rejection takes no token. */
void snipe_call_choose_server(struct snipe_call *call)
{
	struct snipe_caller_task *t = call->task;
	int server = SNIPE_ERR_NOT_FOUND;

	call->chosen_us = snipe_now_us();
	if (call->pool)
		server = snipe_server_pool_choose(call->pool, call->chosen_us, t->rng,
						  call->importance, NULL, 0, &call->address);
	call->server = server;
	if (server == SNIPE_ERR_NOT_FOUND)
		snipe_call_reject(call, SNIPE_REASON_NO_BACKEND_SERVER);
	else if (server < 0)
		snipe_call_reject(call, SNIPE_REASON_OVERLOADED);
	else if (call->is_inner || !*call->workspace)
		snipe_call_send(call);
	else
		snipe_call_take_token(call);
}

/*
 * The caller closed its connection. A call with a granted claim runs on: its response is
 * stored for the caller's next attempt with the same identifier.
 */
static void on_caller_left(struct snipe_call *call, struct bufferevent *bev, short what)
{
	bufferevent_event_cb event_cb = call->saved_event_cb;
	void *arg = call->saved_arg;
	struct evhttp_request *req = call->req;
	int may_have_run =
		call->state == SNIPE_CALL_SENT || call->unknown_reason != SNIPE_REASON_NONE;

	restore_callbacks(call);
	/* evhttp frees the connection and leaves the request to its owner. */
	event_cb(bev, what, arg);
	if (call->claim)
		return;
	log_rejection(call, SNIPE_REASON_CANCELLED, !may_have_run);
	free_call(call);
	evhttp_request_free(req);
}

static void on_connection_event(struct bufferevent *bev, short what, void *arg)
{
	/* Deadlines end calls; evhttp's idle timeout must not. */
	if (what & BEV_EVENT_TIMEOUT)
		bufferevent_enable(bev, EV_READ);
	else
		on_caller_left(arg, bev, what);
}

/* Bytes of a further request wait in the buffer; evhttp would exit on them in this state. */
static void on_early_bytes(struct bufferevent *bev, void *arg)
{
	(void)arg;
	bufferevent_disable(bev, EV_READ);
}

/* evhttp reports a closed connection only while reading is enabled. */
static void watch_caller(struct snipe_call *call)
{
	struct evhttp_connection *evcon = evhttp_request_get_connection(call->req);

	call->bev = evhttp_connection_get_bufferevent(evcon);
	bufferevent_getcb(call->bev, NULL, NULL, &call->saved_event_cb, &call->saved_arg);
	bufferevent_setcb(call->bev, on_early_bytes, NULL, on_connection_event, call);
	bufferevent_enable(call->bev, EV_READ);
}

static struct snipe_call *new_call(struct snipe_caller_task *t, struct evhttp_request *req)
{
	struct snipe_call *call = g_new0(struct snipe_call, 1);

	call->task = t;
	call->req = req;
	call->id = ++t->next_id;
	call->server = -1;
	call->started_us = snipe_now_us();
	event_assign(&call->timer, t->base, -1, 0, on_timer, call);
	if (t->snapshot)
		call->snapshot = snipe_snapshot_ref(t->snapshot);
	LIST_INSERT_HEAD(&t->calls, call, link);
	t->in_flight++;
	return call;
}

void snipe_call_begin(struct snipe_caller_task *t, struct evhttp_request *req, int is_local)
{
	struct snipe_call *call = new_call(t, req);
	enum snipe_reason reason = snipe_call_check(call, is_local);

	snipe_counters_add(t->counters, is_local ? t->count_inner : t->count_calls, 1);
	if (reason != SNIPE_REASON_NONE) {
		snipe_call_reject(call, reason);
		return;
	}
	snipe_retry_budget_on_call(&call->route_state->budget);
	call->route_state->calls++;
	watch_caller(call);
	/* An earlier run of it may have had its effect; only an identifier tells them apart. */
	if (call->is_repetition && !call->route->idempotent && !call->identifier)
		snipe_call_reject(call, SNIPE_REASON_DUPLICATE_UNKNOWN);
	else if (call->is_repetition && t->has_control)
		snipe_call_ask_entry(call);
	else if (call->identifier)
		snipe_call_ask_claim(call);
	else
		snipe_call_choose_server(call);
}
