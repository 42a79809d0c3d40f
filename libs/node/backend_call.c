#include "node/backend_state.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "base/clock.h"
#include "node/http_text.h"

static void fill_load(const struct snipe_backend_task *t, struct snipe_load_report *load)
{
	int limit = snipe_backend_task_limit(t);

	load->limit = limit;
	load->running = snipe_admission_running(&t->admission);
	load->waiting = snipe_admission_waiting(&t->admission);
	/* Without control there is no early rejection either. */
	load->floor = t->policy == SNIPE_LIMITER_NONE
			      ? SNIPE_IMPORTANCE_LOW
			      : snipe_admission_floor(&t->admission, limit);
}

static void reply_rejection(struct snipe_backend_task *t, const struct snipe_peer_origin *to,
			    enum snipe_reason reason)
{
	struct snipe_message m = {.type = SNIPE_MSG_ANSWER};
	struct snipe_msg_answer *a = &m.u.answer;

	a->outcome =
		snipe_reason_is_not_run(reason) ? SNIPE_ANSWER_NOT_RUN : SNIPE_ANSWER_UNKNOWN;
	a->status = snipe_reason_status(reason);
	snprintf(a->reason, sizeof(a->reason), "%s", snipe_reason_name(reason));
	fill_load(t, &a->load);
	snipe_peer_reply(t->peers, to, &m, NULL, 0);
}

/* Frees a call; admission must not count it any more. */
static void free_call(struct snipe_backend_call *call)
{
	struct snipe_backend_task *t = call->task;

	if (call->state == SNIPE_BACKEND_CALL_RUNNING)
		snipe_context_table_remove(&t->contexts, &call->context);
	event_del(&call->deadline);
	snipe_http_exchange_finish(&call->http);
	g_hash_table_remove(t->by_origin, &call->origin);
	t->calls->pdata[call->handle] = NULL;
	g_array_append_val(t->free_handles, call->handle);
	t->in_flight--;
	g_free(call->uri);
	g_free(call);
}

/* Takes a call out of the queue or the running calls. */
static void leave_admission(struct snipe_backend_call *call)
{
	struct snipe_backend_task *t = call->task;

	if (call->state == SNIPE_BACKEND_CALL_WAITING)
		snipe_admission_cancel(&t->admission, call->handle);
	else
		snipe_admission_done(&t->admission, snipe_now_us(), call->workspace_hash);
}

void snipe_backend_call_drop(struct snipe_backend_call *call)
{
	leave_admission(call);
	free_call(call);
}

/* Leaves waiting calls alone, so that a loop over calls does not recurse. */
static void reject(struct snipe_backend_call *call, enum snipe_reason reason)
{
	struct snipe_backend_task *t = call->task;
	struct snipe_peer_origin to = call->origin;

	snipe_backend_call_drop(call);
	reply_rejection(t, &to, reason);
}

static void end_rejected(struct snipe_backend_call *call, enum snipe_reason reason)
{
	struct snipe_backend_task *t = call->task;

	reject(call, reason);
	snipe_backend_call_start_waiting(t);
}

void snipe_backend_call_reject_waiting(struct snipe_backend_task *t, enum snipe_reason reason)
{
	for (guint i = 0; i < t->calls->len; i++) {
		struct snipe_backend_call *call = t->calls->pdata[i];

		if (call && call->state == SNIPE_BACKEND_CALL_WAITING)
			reject(call, reason);
	}
}

static void record_sample(struct snipe_backend_call *call, enum snipe_limiter_sample sample)
{
	struct snipe_backend_task *t = call->task;
	int64_t now = snipe_now_us();
	/* A slow service further down must not lower the limit of those that call it. */
	int64_t waited = snipe_context_entry_waited_us(&call->context, now);

	snipe_limiter_record(&t->limiter, now, now - call->started_us - waited,
			     snipe_admission_running(&t->admission), sample);
}

static void end_complete(struct snipe_backend_call *call, struct evhttp_request *response)
{
	struct snipe_backend_task *t = call->task;
	struct evbuffer *body = evhttp_request_get_input_buffer(response);
	size_t len = evbuffer_get_length(body);
	int code = evhttp_request_get_response_code(response);
	struct snipe_peer_origin to = call->origin;
	struct snipe_message m;
	struct snipe_msg_answer *a = &m.u.answer;

	m.type = SNIPE_MSG_ANSWER;
	memset(a, 0, offsetof(struct snipe_msg_answer, headers));
	a->header_count =
		snipe_http_response_headers(evhttp_request_get_input_headers(response),
					    call->command == EVHTTP_REQ_HEAD, a->headers);
	if (a->header_count < 0) {
		end_rejected(call, SNIPE_REASON_ANSWER_TRUNCATED);
		return;
	}
	a->outcome = SNIPE_ANSWER_COMPLETE;
	a->status = code;
	record_sample(call, code == 503 || code == 429 ? SNIPE_SAMPLE_SHED : SNIPE_SAMPLE_OK);
	if (snipe_crash_guard_record_success(&t->guard, snipe_now_us(), call->fingerprint))
		snipe_backend_task_post_cleared(t, call->fingerprint);
	snipe_counters_add(t->counters, t->count_complete, 1);
	snipe_backend_call_drop(call);
	/* Waiting calls start first, so that the load report is the newest. */
	snipe_backend_call_start_waiting(t);
	fill_load(t, &a->load);
	snipe_peer_reply(t->peers, &to, &m, len ? (char *)evbuffer_pullup(body, -1) : NULL,
			 len);
}

/* The connection ended within a running call: the server's death, or the connection only. */
static void end_lost(struct snipe_backend_call *call, enum snipe_reason reason)
{
	struct snipe_backend_task *t = call->task;

	record_sample(call, SNIPE_SAMPLE_IGNORE);
	snipe_context_table_remove(&t->contexts, &call->context);
	event_del(&call->deadline);
	call->state = SNIPE_BACKEND_CALL_PROBED;
	call->lost_reason = reason;
	snipe_backend_task_probe(t);
}

static void on_http_done(void *arg, enum snipe_http_result result,
			 struct evhttp_request *response)
{
	struct snipe_backend_call *call = arg;
	struct snipe_backend_task *t = call->task;

	switch (result) {
	case SNIPE_HTTP_COMPLETE:
		end_complete(call, response);
		break;
	case SNIPE_HTTP_NOT_CONNECTED:
		/* It did not run, so it gets no strike. */
		reject(call, SNIPE_REASON_NO_BACKEND_SERVER);
		snipe_backend_task_died(t);
		break;
	case SNIPE_HTTP_LOST:
		end_lost(call, SNIPE_REASON_ANSWER_LOST);
		break;
	case SNIPE_HTTP_TRUNCATED:
		end_lost(call, SNIPE_REASON_ANSWER_TRUNCATED);
		break;
	}
}

void snipe_backend_call_end_probed(struct snipe_backend_task *t, int died)
{
	for (guint i = 0; i < t->calls->len; i++) {
		struct snipe_backend_call *call = t->calls->pdata[i];

		if (call && call->state == SNIPE_BACKEND_CALL_PROBED)
			reject(call, died ? SNIPE_REASON_BACKEND_DIED : call->lost_reason);
	}
	snipe_backend_call_start_waiting(t);
}

static void on_deadline(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_backend_call *call = arg;
	struct snipe_backend_task *t = call->task;

	(void)fd;
	(void)what;
	if (call->state == SNIPE_BACKEND_CALL_WAITING) {
		end_rejected(call, SNIPE_REASON_EXPIRED);
		return;
	}
	record_sample(call, SNIPE_SAMPLE_TIMEOUT);
	/* Nothing came back since the call began: its connection, and the idle ones beside it,
	 * may have stopped carrying data. The next call uses a new connection. */
	if (snipe_http_client_last_response_us(&t->http) < call->started_us) {
		snipe_http_client_renew(&t->http);
		snipe_backend_task_probe(t);
	}
	end_rejected(call, SNIPE_REASON_TIMEOUT);
}

static void add_node_headers(struct snipe_backend_call *call, const char *token,
			     int64_t left_us)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(call->http.request);
	char number[24];

	evhttp_add_header(headers, "Snipe-Context", token);
	if (*call->context.context.workspace)
		evhttp_add_header(headers, "Snipe-Workspace", call->context.context.workspace);
	snprintf(number, sizeof(number), "%lld", (long long)(left_us / 1000));
	evhttp_add_header(headers, "Snipe-Timeout-Ms", number);
}

/* Runs a call that admission has counted as running. */
static void run(struct snipe_backend_call *call)
{
	struct snipe_backend_task *t = call->task;
	char token[SNIPE_CONTEXT_TEXT];
	int64_t now = snipe_now_us();

	snipe_context_table_add(&t->contexts, &call->context, token);
	call->state = SNIPE_BACKEND_CALL_RUNNING;
	call->started_us = now;
	/* A paused node resumes here too, so the clock is checked again. */
	if (call->context.context.deadline_us <= now) {
		reject(call, SNIPE_REASON_EXPIRED);
		return;
	}
	add_node_headers(call, token, call->context.context.deadline_us - now);
	if (snipe_http_exchange_start(&call->http, call->command, call->uri))
		reject(call, SNIPE_REASON_OVERLOADED);
}

void snipe_backend_call_start_waiting(struct snipe_backend_task *t)
{
	int handle;

	while ((handle = snipe_admission_next(&t->admission, snipe_now_us(),
					      snipe_backend_task_limit(t))) >= 0)
		run(t->calls->pdata[handle]);
}

static int take_handle(struct snipe_backend_task *t)
{
	int handle;

	if (t->free_handles->len == 0) {
		g_ptr_array_add(t->calls, NULL);
		return (int)t->calls->len - 1;
	}
	handle = g_array_index(t->free_handles, int, t->free_handles->len - 1);
	g_array_set_size(t->free_handles, t->free_handles->len - 1);
	return handle;
}

static void fill_context(struct snipe_call_context *c, const struct snipe_msg_call *m,
			 int64_t now)
{
	memcpy(c->workspace, m->workspace, sizeof(c->workspace));
	c->importance = m->importance;
	c->deadline_us = now + m->timeout_us;
	c->depth = m->depth;
	c->root_address = m->root_address;
	c->root_request = m->root_request;
	c->is_repetition = m->attempt > 0;
}

static struct snipe_backend_call *new_call(struct snipe_backend_task *t,
					   const struct snipe_peer_origin *from,
					   const struct snipe_msg_call *m, int command,
					   const char *body, size_t body_len)
{
	struct snipe_backend_call *call = g_new0(struct snipe_backend_call, 1);
	struct evkeyvalq *headers;
	char number[24];

	call->task = t;
	call->origin = *from;
	call->command = command;
	call->uri = g_strndup(m->path.data, m->path.len);
	call->fingerprint = m->fingerprint;
	call->workspace_hash = *m->workspace ? snipe_hash64_str(m->workspace) : 0;
	fill_context(&call->context.context, m, snipe_now_us());
	event_assign(&call->deadline, t->base, -1, 0, on_deadline, call);
	snipe_http_exchange_init(&call->http, &t->http, on_http_done, call);
	headers = evhttp_request_get_output_headers(call->http.request);
	snipe_http_add_headers(headers, m->headers, m->header_count);
	/* evhttp states the length for POST and PUT only. */
	if (body_len > 0) {
		snprintf(number, sizeof(number), "%zu", body_len);
		evhttp_add_header(headers, "Content-Length", number);
		evbuffer_add(evhttp_request_get_output_buffer(call->http.request), body,
			     body_len);
	}
	call->handle = take_handle(t);
	t->calls->pdata[call->handle] = call;
	g_hash_table_insert(t->by_origin, &call->origin, call);
	t->in_flight++;
	return call;
}

static void set_deadline(struct snipe_backend_call *call, int64_t timeout_us)
{
	struct timeval tv = snipe_timeval(timeout_us);

	event_add(&call->deadline, &tv);
}

static void offer(struct snipe_backend_call *call, int64_t timeout_us)
{
	struct snipe_backend_task *t = call->task;
	const struct snipe_call_context *c = &call->context.context;
	/* Policy "none" has no fairness and no order by importance. */
	int is_plain = t->policy == SNIPE_LIMITER_NONE;
	struct snipe_admission_call offered = {
		.handle = call->handle,
		.importance = is_plain ? SNIPE_IMPORTANCE_NORMAL
				       : (enum snipe_importance)c->importance,
		.workspace = is_plain ? 0 : call->workspace_hash,
		.deadline_us = c->deadline_us,
	};
	int evicted = -1;
	enum snipe_admission_verdict verdict;

	call->workspace_hash = offered.workspace;
	verdict = snipe_admission_offer(&t->admission, snipe_now_us(), &offered,
					snipe_backend_task_limit(t), &evicted);
	if (evicted >= 0)
		reject(t->calls->pdata[evicted], SNIPE_REASON_OVERLOADED);
	if (verdict == SNIPE_ADMISSION_RUN || verdict == SNIPE_ADMISSION_QUEUED) {
		set_deadline(call, timeout_us);
		if (verdict == SNIPE_ADMISSION_RUN)
			run(call);
		/* Equally important calls that wait may come first, so it had to wait too. */
		snipe_backend_call_start_waiting(t);
		return;
	}
	reply_rejection(t, &call->origin,
			verdict == SNIPE_ADMISSION_EXPIRED ? SNIPE_REASON_EXPIRED
							   : SNIPE_REASON_OVERLOADED);
	free_call(call);
}

void snipe_backend_call_receive(void *arg, const struct snipe_peer_origin *from,
				const struct snipe_message *msg, const char *body,
				size_t body_len)
{
	struct snipe_backend_task *t = arg;
	const struct snipe_msg_call *m = &msg->u.call;
	int64_t now = snipe_now_us();
	int command = snipe_http_method_command(m->method);
	enum snipe_reason reason = snipe_backend_task_check(t, now, m->pool);

	snipe_counters_add(t->counters, t->count_received, 1);
	if (reason == SNIPE_REASON_NONE && (command < 0 || m->path.len == 0))
		reason = SNIPE_REASON_BAD_REQUEST;
	if (reason == SNIPE_REASON_NONE && m->timeout_us <= 0)
		reason = SNIPE_REASON_EXPIRED;
	if (reason == SNIPE_REASON_NONE &&
	    snipe_crash_guard_is_suspect(&t->guard, now, m->fingerprint))
		reason = SNIPE_REASON_CRASH_SUSPECT;
	if (reason != SNIPE_REASON_NONE) {
		reply_rejection(t, from, reason);
		return;
	}
	offer(new_call(t, from, m, command, body, body_len), m->timeout_us);
}

void snipe_backend_call_cancel(void *arg, const struct snipe_peer_origin *from,
			       const struct snipe_message *msg, const char *body,
			       size_t body_len)
{
	struct snipe_backend_task *t = arg;
	struct snipe_backend_call *call = g_hash_table_lookup(t->by_origin, from);

	(void)msg;
	(void)body;
	(void)body_len;
	if (!call)
		return;
	snipe_backend_call_drop(call);
	snipe_backend_call_start_waiting(t);
}
