#include "gateway/entry_state.h"

#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"
#include "gateway/crash_log.h"
#include "gateway/gate.h"
#include "wire/frame.h"

/* The gate ends a call at the deadline and knows whether it ran; the entry waits this long for
 * that answer. */
#define DEADLINE_GRACE_US 30000
/* A request with less time left is not retried. */
#define MIN_RETRY_TIME_LEFT_US 20000
/* A second server is tried when the first one has not answered after this multiple of the mean
 * attempt time and the extra time: nearly all answers that are not lost arrive earlier. */
#define HEDGE_DELAY_FACTOR 3.0
#define HEDGE_DELAY_EXTRA_US 100000
/* Weight of one attempt in the moving mean of attempt times, which covers about the last 20. */
#define ATTEMPT_TIME_WEIGHT 0.05
/* A request is expected to take up to this multiple of the longest time of its route's recent
 * requests, and the extra time; with fewer of them, all of its time left. */
#define TIME_FACTOR 1.5
#define TIME_EXTRA_US 100000
#define MIN_TIMES 20
/* Why an attempt failed whose node was lost after the call had left for it. */
#define NODE_LOST "node_lost"
/* Shortest Retry-After of a rejection: a few round trips. */
#define RETRY_AFTER_MIN_US 50000
/* Mean Retry-After beyond the shortest one, as a part of the route's target latency: the retry
 * must still be served within the target. */
#define RETRY_AFTER_TARGET_RATIO 0.25

static void end_attempt(struct snipe_entry_attempt *a, enum snipe_server_outcome outcome)
{
	struct snipe_entry_call *call = a->call;

	snipe_placement_record(&call->pool->placement, a->server, snipe_now_us(), outcome);
	if (a->peer_request)
		snipe_peer_cancel(call->entry->config.peers, a->peer_request);
	a->peer_request = 0;
	call->open_attempts--;
}

/* Cancels the open attempts. One that started before the answered attempt counts as a timeout:
 * its answer is probably lost. */
static void cancel_attempts(struct snipe_entry_call *call,
			    const struct snipe_entry_attempt *answered)
{
	for (int i = 0; i < call->attempt_count; i++) {
		struct snipe_entry_attempt *a = &call->attempts[i];

		if (a->peer_request)
			end_attempt(a, answered && a->started_us < answered->started_us
					       ? SNIPE_OUTCOME_TIMEOUT
					       : SNIPE_OUTCOME_CANCELLED);
	}
}

void snipe_entry_call_free(struct snipe_entry_call *call)
{
	struct snipe_entry *e = call->entry;

	cancel_attempts(call, NULL);
	if (call->is_limited)
		snipe_entry_limit_cancel(&call->entry_route->limit);
	event_del(&call->deadline_timer);
	event_del(&call->hedge_timer);
	LIST_REMOVE(call, link);
	e->in_flight--;
	snipe_routing_unref(call->routing);
	snipe_buffer_finish(&call->saved_failure);
	snipe_buffer_finish(&call->saved_failure_body);
	g_free(call);
}

const struct snipe_chain_cost *snipe_entry_call_cost(const struct snipe_entry_call *call)
{
	static const struct snipe_chain_cost unknown;

	if (!call->entry_route || !call->service)
		return &unknown;
	return snipe_route_costs_at(call->entry->config.costs, call->entry_route->cost_handle,
				    snipe_hash64_str(call->service));
}

void snipe_entry_call_log(const struct snipe_entry_call *call, const char *event, int status,
			  const char *reason, int64_t retry_after_us)
{
	static struct snipe_log_limit limits[2];
	const struct snipe_entry *e = call->entry;
	const struct snipe_chain_cost *cost = snipe_entry_call_cost(call);
	int64_t now = snipe_now_us();
	unsigned suppressed;

	if (!snipe_log_allow(&limits[status >= 400], now, SNIPE_LOG_LINES_PER_S, &suppressed))
		return;
	snipe_log(SNIPE_LOG_INFO, event,
		  "request=%s status=%d reason=%s route=%s service=%s workspace=%s inner=%d "
		  "server_node=%s attempts=%d arrived_attempts=%d took_ms=%lld left_ms=%lld "
		  "retry_after_ms=%lld tables=%llx tables_age_ms=%lld entry_limit=%.1f "
		  "chain_services=%d chain_rough=%d chain_share=%.3f bottleneck=%s "
		  "bottleneck_slot_ms=%.1f "
		  "in_flight=%d suppressed=%u",
		  call->request_id, status, reason, call->route ? call->route->name : "",
		  call->service ? call->service : "",
		  call->workspace >= 0 ? call->routing->workspaces[call->workspace].name : "",
		  call->is_inner,
		  call->attempt_count && call->pool
			  ? snipe_directory_node_id(
				    call->pool, call->attempts[call->attempt_count - 1].server)
			  : "",
		  call->attempt_count, call->arrived_attempts,
		  (long long)((now - call->received_us) / 1000),
		  (long long)((call->deadline_us - now) / 1000),
		  (long long)(retry_after_us / 1000),
		  (unsigned long long)(call->routing ? call->routing->version : 0),
		  (long long)(e->confirmed_us ? (now - e->confirmed_us) / 1000 : -1),
		  call->entry_route ? call->entry_route->limit.limit : 0.0, cost->count,
		  cost->is_rough, call->chain_share,
		  snipe_directory_service_name(e->config.directory, call->bottleneck),
		  snipe_chain_cost_at(cost, call->bottleneck) / 1000, e->in_flight, suppressed);
}

static void add_header(struct snipe_h1_header *h, const char *name, const char *value)
{
	h->name.data = name;
	h->name.len = strlen(name);
	h->value.data = value;
	h->value.len = strlen(value);
}

static void record_latency(struct snipe_entry_call *call, int failed)
{
	int64_t now = snipe_now_us();

	if (!call->is_limited)
		return;
	call->is_limited = 0;
	snipe_entry_limit_record(&call->entry_route->limit, now, now - call->received_us,
				 failed,
				 MIN(call->route->target_latency_us, call->route->timeout_us),
				 call->route->priority);
}

static struct snipe_recent_max *route_times(const struct snipe_entry_call *call, int is_cold)
{
	return is_cold ? &call->entry_route->cold_times_us : &call->entry_route->times_us;
}

void snipe_entry_call_record_time(struct snipe_entry_call *call)
{
	int64_t now = snipe_now_us();

	snipe_recent_max_add(route_times(call, call->is_cold), now, now - call->received_us);
}

int snipe_entry_call_has_cold_chain(const struct snipe_entry_call *call, int64_t now_us)
{
	const struct snipe_chain_cost *cost = snipe_entry_call_cost(call);
	uint64_t own = snipe_hash64_str(call->service);

	for (int i = 0; i < cost->count; i++)
		if (cost->services[i].service != own &&
		    snipe_directory_may_be_cold(call->entry->config.directory,
						cost->services[i].service, now_us))
			return 1;
	return 0;
}

int snipe_entry_call_fits_stop(const struct snipe_entry_call *call, int64_t now_us, int is_cold)
{
	int64_t left = call->deadline_us - now_us, takes = left, longest;

	if (!is_cold)
		is_cold = snipe_entry_call_has_cold_chain(call, now_us);
	if (snipe_recent_max_get(route_times(call, is_cold), now_us, &longest) >= MIN_TIMES)
		takes = (int64_t)(TIME_FACTOR * (double)longest) + TIME_EXTRA_US;
	return snipe_stop_schedule_admits(call->entry->config.stop, now_us, MIN(left, takes));
}

void snipe_entry_call_fail(struct snipe_entry_call *call, const struct snipe_entry_error *error)
{
	struct snipe_entry *e = call->entry;
	struct snipe_h1_request *req = call->req;
	struct snipe_h1_header headers[3];
	struct snipe_h1_response response = {.status = error->status, .headers = headers};
	const char *request_id = call->request_id;
	char retry_after[24], body[96];

	snipe_entry_call_log(call, "request_failed", error->status, error->reason,
			     error->retry_after_us);
	snipe_counters_add(e->config.counters,
			   error->status == 503 || error->status == 429 ? e->count_rejected
									: e->count_failed,
			   1);
	if (!call->may_have_run && call->workspace_hash)
		snipe_fleet_quota_refund(&e->quota, call->workspace_hash);
	if (*request_id)
		add_header(&headers[response.header_count++],
			   e->config.dialect->headers.request_id, request_id);
	if (error->retry_after_us > 0) {
		snprintf(retry_after, sizeof(retry_after), "%.3f",
			 (double)error->retry_after_us / 1e6);
		add_header(&headers[response.header_count++], "Retry-After", retry_after);
	}
	add_header(&headers[response.header_count++], "Content-Type", "text/plain");
	response.body = body;
	response.body_len = (size_t)snprintf(body, sizeof(body), "%s\n", error->reason);
	response.is_head = req->message.method == HTTP_HEAD;
	/* A client that is to come back later does so on a new connection. */
	response.is_rejection = error->retry_after_us > 0;
	snipe_entry_call_free(call);
	snipe_h1_respond(req, &response);
}

void snipe_entry_call_fail_with(struct snipe_entry_call *call, int status, const char *reason,
				int64_t retry_after_us)
{
	struct snipe_entry_error error = {status, reason, retry_after_us};

	snipe_entry_call_fail(call, &error);
}

/* Spreads the retries of rejected requests over the time in which they can still be served. */
static int64_t jittered_retry_after_us(struct snipe_entry_call *call)
{
	double mean_us = RETRY_AFTER_TARGET_RATIO * (double)call->route->target_latency_us;

	return RETRY_AFTER_MIN_US +
	       (int64_t)(mean_us * (0.5 + g_rand_double(call->entry->rng)));
}

void snipe_entry_call_reject_not_run(struct snipe_entry_call *call, const char *reason)
{
	snipe_entry_call_fail_with(call, 503, reason, jittered_retry_after_us(call));
}

static void complete(struct snipe_entry_call *call, const struct snipe_msg_answer *a,
		     const char *body, size_t body_len)
{
	struct snipe_entry *e = call->entry;
	struct snipe_h1_request *req = call->req;
	struct snipe_h1_header headers[SNIPE_MAX_HEADERS];
	struct snipe_h1_response r = {.status = a->status, .headers = headers};
	char length[24];

	r.is_head = req->message.method == HTTP_HEAD;
	for (int i = 0; i < a->header_count; i++) {
		const struct snipe_header *h = &a->headers[i];

		if (h->name.len == 14 && strncasecmp(h->name.data, "Content-Length", 14) == 0) {
			snprintf(length, sizeof(length), "%.*s", (int)h->value.len,
				 h->value.data);
			r.head_content_length = length;
			continue;
		}
		headers[r.header_count].name =
			(struct snipe_h1_slice){h->name.data, h->name.len};
		headers[r.header_count].value =
			(struct snipe_h1_slice){h->value.data, h->value.len};
		r.header_count++;
	}
	r.body = body;
	r.body_len = body_len;
	record_latency(call, a->status >= 500);
	snipe_entry_call_record_time(call);
	snipe_entry_call_log(call, "request_served", a->status, "served", 0);
	snipe_counters_add(e->config.counters, e->count_served, 1);
	if (!call->is_inner)
		snipe_histogram_add(&e->latency,
				    (uint64_t)(snipe_now_us() - call->received_us));
	snipe_entry_call_free(call);
	snipe_h1_respond(req, &r);
}

/* Records the server's load and service time as stated in its answer. */
static void record_server_load(struct snipe_entry_attempt *a,
			       const struct snipe_msg_answer *answer)
{
	struct snipe_placement_load load = {answer->load.limit, answer->load.running,
					    answer->load.waiting, answer->service_us};

	snipe_placement_report(&a->call->pool->placement, a->server, snipe_now_us(), &load);
}

/* Whether there is room for copies of a body. */
static int has_room(const struct snipe_entry_call *call, size_t bytes)
{
	const struct snipe_memory_limit *memory = call->entry->config.memory;

	return !memory || bytes < SNIPE_MEMORY_LARGE_BYTES ||
	       snipe_memory_has_room(&memory->account, bytes);
}

/* Whether there is room for the body as it is sent: in a message, and on its way out. */
static int has_room_to_send(const struct snipe_entry_call *call)
{
	size_t len = call->req->message.body.len;

	return len < SNIPE_MEMORY_LARGE_BYTES || has_room(call, 2 * len);
}

static void save_failure(struct snipe_entry_call *call, const struct snipe_message *reply,
			 const char *body, size_t body_len)
{
	struct snipe_message m = *reply;

	m.u.answer.chunk.len = 0;
	snipe_buffer_clear(&call->saved_failure);
	snipe_buffer_clear(&call->saved_failure_body);
	snipe_message_encode(&m, &call->saved_failure);
	snipe_buffer_append(&call->saved_failure_body, body, body_len);
}

static int respond_saved_failure(struct snipe_entry_call *call)
{
	struct snipe_buffer frame = call->saved_failure, body = call->saved_failure_body;
	struct snipe_decoded d;
	int ret;

	if (frame.len == 0)
		return SNIPE_ERR_NOT_FOUND;
	/* complete() frees the call before it writes the response, so take its buffers. */
	snipe_buffer_init(&call->saved_failure);
	snipe_buffer_init(&call->saved_failure_body);
	ret = snipe_message_decode(frame.data + SNIPE_FRAME_HEADER_BYTES,
				   frame.len - SNIPE_FRAME_HEADER_BYTES, &d);
	if (ret == 0) {
		complete(call, &d.message.u.answer, body.data, body.len);
		snipe_decoded_finish(&d);
	}
	snipe_buffer_finish(&frame);
	snipe_buffer_finish(&body);
	return ret;
}

/* Ends a call that has no open attempt and is not retried. */
static void end_failed_call(struct snipe_entry_call *call)
{
	struct snipe_entry_error unknown = {502, "response_lost", 0};
	int64_t now = snipe_now_us();

	if (strcmp(call->last_reason, NODE_LOST) == 0)
		unknown.reason = NODE_LOST;

	if (respond_saved_failure(call) == 0)
		return;
	record_latency(call, 1);
	if (call->may_have_run)
		snipe_entry_call_record_time(call);
	if (call->may_have_run && now >= call->deadline_us)
		snipe_entry_call_fail_with(call, 504, "timeout", 0);
	else if (call->may_have_run)
		snipe_entry_call_fail(call, &unknown);
	else
		snipe_entry_call_reject_not_run(call, call->last_reason);
}

/* Whether another attempt may be made; if it needs a retry token, takes it. not_run: the failed
 * attempt certainly did not run. */
static int may_retry(struct snipe_entry_call *call, int not_run)
{
	struct snipe_entry *e = call->entry;

	if (call->attempt_count >= SNIPE_ENTRY_MAX_ATTEMPTS ||
	    call->deadline_us - snipe_now_us() < MIN_RETRY_TIME_LEFT_US ||
	    strcmp(call->last_reason, SNIPE_GATE_CRASH_SUSPECT) == 0)
		return 0;
	if (!not_run && (!call->route->idempotent || call->is_trial))
		return 0;
	/* An attempt that reached no backend server put no load on one: its retry is free. */
	if (call->arrived_attempts + call->open_attempts == 0)
		return 1;
	if (call->arrived_attempts + call->open_attempts >= call->route->attempts ||
	    call->deadline_us - snipe_now_us() <
		    (int64_t)call->entry_route->limit.unloaded_latency_us)
		return 0;
	if (!snipe_retry_share_take(not_run ? &call->entry_service->resend_budget
					    : &call->entry_service->rerun_budget,
				    e->rng))
		return 0;
	snipe_counters_add(e->config.counters, e->count_retries, 1);
	return 1;
}

static void on_attempt_failed(struct snipe_entry_call *call, const char *reason, int not_run,
			      int has_arrived)
{
	g_strlcpy(call->last_reason, reason, sizeof(call->last_reason));
	call->arrived_attempts += has_arrived;
	if (!not_run)
		call->may_have_run = 1;
	/* The other attempt may still be answered. */
	if (call->open_attempts > 0)
		return;
	if (may_retry(call, not_run)) {
		snipe_entry_call_log(call, "request_retried", 0, call->last_reason, 0);
		snipe_entry_call_start_attempt(call);
	} else {
		end_failed_call(call);
	}
}

static void record_attempt_time(struct snipe_entry_attempt *a)
{
	struct snipe_entry_route *s = a->call->entry_route;
	double took = (double)(snipe_now_us() - a->started_us);

	s->mean_attempt_us =
		s->mean_attempt_us > 0
			? s->mean_attempt_us + ATTEMPT_TIME_WEIGHT * (took - s->mean_attempt_us)
			: took;
}

static void on_response(struct snipe_entry_attempt *a, const struct snipe_message *reply,
			const char *body, size_t body_len)
{
	struct snipe_entry_call *call = a->call;
	const struct snipe_msg_answer *answer = &reply->u.answer;
	int is_failing =
		snipe_placement_is_failing(&call->pool->placement, a->server, snipe_now_us());

	end_attempt(a, answer->status >= 500 ? SNIPE_OUTCOME_FAILED : SNIPE_OUTCOME_OK);
	/* Retry only if the server fails more often than others or another attempt is open: a
	 * request that fails on every server is at fault itself. */
	if (answer->status >= 500 && call->route->idempotent &&
	    (is_failing || call->open_attempts) && has_room(call, body_len)) {
		save_failure(call, reply, body, body_len);
		on_attempt_failed(call, "server_failed", 0, 1);
		return;
	}
	if (answer->status < 500) {
		record_attempt_time(a);
		if (snipe_crash_guard_record_success(call->entry->config.guard, snipe_now_us(),
						     call->fingerprint))
			snipe_crash_log_cleared(call->fingerprint,
						call->entry->config.settings->node_id);
	}
	call->arrived_attempts++;
	cancel_attempts(call, a);
	complete(call, answer, body, body_len);
}

/* Learns from an answer what a request of the route costs over its call chain. Answers to
 * failed calls state it as well: while a service is short, there may be no others. */
static void record_chain_cost(struct snipe_entry_call *call,
			      const struct snipe_msg_answer *answer)
{
	int is_success = answer->outcome == SNIPE_ANSWER_COMPLETE && answer->status < 500;

	if (call->is_inner)
		snipe_call_profile_answer(call->entry->config.profile,
					  snipe_hash64_str(call->route->name), is_success,
					  &answer->cost);
	else if (answer->cost.count > 0)
		snipe_route_costs_learn(call->entry->config.costs,
					call->entry_route->cost_handle, snipe_wall_ms(),
					&answer->cost);
}

static void handle_answer(struct snipe_entry_attempt *a, int err,
			  const struct snipe_message *reply, const char *body, size_t body_len)
{
	struct snipe_entry_call *call = a->call;
	const struct snipe_msg_answer *answer;
	int not_run;

	a->peer_request = 0;
	if (!err && reply->type != SNIPE_MSG_ANSWER)
		err = SNIPE_ERR_UNKNOWN;
	if (err) {
		not_run = err == SNIPE_ERR_UNAVAILABLE;
		end_attempt(a, SNIPE_OUTCOME_FAILED);
		on_attempt_failed(call, not_run ? "node_unreachable" : NODE_LOST, not_run,
				  !not_run);
		return;
	}
	answer = &reply->u.answer;
	record_server_load(a, answer);
	record_chain_cost(call, answer);
	if (answer->outcome == SNIPE_ANSWER_COMPLETE) {
		on_response(a, reply, body, body_len);
		return;
	}
	not_run = answer->outcome == SNIPE_ANSWER_NOT_RUN;
	end_attempt(a, not_run && !answer->has_arrived ? SNIPE_OUTCOME_REJECTED
						       : SNIPE_OUTCOME_FAILED);
	on_attempt_failed(call, answer->reason, not_run, answer->has_arrived);
}

static void on_answer(void *arg, int err, const struct snipe_message *reply, const char *body,
		      size_t body_len)
{
	struct snipe_entry_attempt *a = arg;
	struct snipe_entry *e = a->call->entry;
	int64_t start = snipe_now_us();

	handle_answer(a, err, reply, body, body_len);
	snipe_counters_add(e->config.counters, e->busy_answered, snipe_now_us() - start);
}

/* Chooses a server that this call has not tried. Returns its handle or a negative error. Late
 * in a stop, one that has just started is chosen only if it will answer in time. */
static int choose_server(struct snipe_entry_call *call)
{
	struct snipe_entry *e = call->entry;
	int64_t now = snipe_now_us();
	int tried[SNIPE_ENTRY_MAX_ATTEMPTS], server;

	call->pool = snipe_directory_pool(e->config.directory, call->service);
	if (!call->pool)
		return SNIPE_ERR_NOT_FOUND;
	for (int i = 0; i < call->attempt_count; i++)
		tried[i] = call->attempts[i].server;
	if (!snipe_stop_schedule_admits_all(e->config.stop, now)) {
		server = snipe_placement_choose_warm(&call->pool->placement, now, e->rng, tried,
						     call->attempt_count);
		if (server >= 0 || !snipe_entry_call_fits_stop(call, now, 1))
			return server;
	}
	return snipe_placement_choose(&call->pool->placement, now, e->rng, tried,
				      call->attempt_count);
}

static void send_attempt(struct snipe_entry_call *call, int server)
{
	struct snipe_entry_attempt *a = &call->attempts[call->attempt_count++];
	struct snipe_message msg;

	a->call = call;
	a->server = server;
	a->started_us = snipe_now_us();
	call->is_cold =
		call->is_cold ||
		snipe_placement_is_cold(&call->pool->placement, server, a->started_us) ||
		snipe_entry_call_has_cold_chain(call, a->started_us);
	call->open_attempts++;
	msg.type = SNIPE_MSG_CALL;
	memset(&msg.u.call, 0, offsetof(struct snipe_msg_call, headers));
	msg.u.call.header_count = 0;
	snipe_entry_fill_message(call, &msg.u.call, a->started_us);
	a->peer_request = snipe_peer_request(
		call->entry->config.peers, snipe_directory_address(call->pool, server), &msg,
		call->req->message.body.data, call->req->message.body.len,
		call->deadline_us - a->started_us + 2 * DEADLINE_GRACE_US, on_answer, a);
}

/* Starts the timer for a second, concurrent attempt: the first one's answer may be lost, and
 * the callers up the chain wait for it. */
static void start_hedge_timer(struct snipe_entry_call *call)
{
	int64_t wait = (int64_t)(HEDGE_DELAY_FACTOR * call->entry_route->mean_attempt_us) +
		       HEDGE_DELAY_EXTRA_US;
	struct timeval tv = snipe_timeval(wait);

	if (call->route->idempotent && !call->is_trial &&
	    call->entry_route->mean_attempt_us > 0)
		event_add(&call->hedge_timer, &tv);
}

static void on_hedge_timer(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_entry_call *call = arg;
	int server;

	(void)fd;
	(void)what;
	g_strlcpy(call->last_reason, "no_answer_yet", sizeof(call->last_reason));
	/* The open attempt counts as one that reached its server and may have run. */
	if (call->open_attempts != 1 || !has_room_to_send(call) || !may_retry(call, 0))
		return;
	server = choose_server(call);
	if (server < 0)
		return;
	snipe_entry_call_log(call, "request_hedged", 0, call->last_reason, 0);
	send_attempt(call, server);
}

void snipe_entry_call_start_attempt(struct snipe_entry_call *call)
{
	int server;

	if (!has_room_to_send(call)) {
		g_strlcpy(call->last_reason, SNIPE_GATE_NO_MEMORY, sizeof(call->last_reason));
		end_failed_call(call);
		return;
	}
	server = choose_server(call);
	if (server < 0) {
		if (call->attempt_count == 0)
			g_strlcpy(call->last_reason, SNIPE_GATE_NO_SERVER,
				  sizeof(call->last_reason));
		end_failed_call(call);
		return;
	}
	send_attempt(call, server);
	start_hedge_timer(call);
}

static void on_deadline_timer(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_entry_call *call = arg;

	(void)fd;
	(void)what;
	/* The gate would have answered by now if it had not sent the call to its server. */
	call->may_have_run = 1;
	for (int i = 0; i < call->attempt_count; i++)
		if (call->attempts[i].peer_request)
			end_attempt(&call->attempts[i], SNIPE_OUTCOME_TIMEOUT);
	end_failed_call(call);
}

void snipe_entry_call_start_timer(struct snipe_entry_call *call)
{
	struct timeval tv =
		snipe_timeval(call->deadline_us + DEADLINE_GRACE_US - snipe_now_us());

	event_add(&call->deadline_timer, &tv);
}

void snipe_entry_call_init_timers(struct snipe_entry_call *call)
{
	struct event_base *base = call->entry->config.base;

	event_assign(&call->deadline_timer, base, -1, 0, on_deadline_timer, call);
	event_assign(&call->hedge_timer, base, -1, 0, on_hedge_timer, call);
}
