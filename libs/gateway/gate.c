#include "gateway/gate.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"
#include "gateway/crash_log.h"

/* Share of the announced slots that is used: servers slow down when nearly full, and a new
 * connection may briefly hold a slot. */
#define SLOT_USE_RATIO 0.95
/* Assumed mean run time before the first response. */
#define INITIAL_SERVICE_US 100000
/* Weight of one call in the moving average of run times. */
#define SERVICE_EWMA_WEIGHT 0.05
/* A server is unresponsive after it missed this many announcements and sent no response for
 * RESPONSE_FRESH_US. */
#define MAX_MISSED_ANNOUNCEMENTS 3
/* A response this recent shows that the server runs, also if announcements are missing. */
#define RESPONSE_FRESH_US 1000000
/* The server ends a request at its deadline; its response arrives a little later. */
#define DEADLINE_GRACE_US 15000
/* A call with less time left is not started: it could only time out. */
#define MIN_RUN_US 5000
/* Requests that lost their connections within this time before a crash was detected get a
 * strike, unless the server has answered a later one. */
#define CRASH_WINDOW_US 30000000
/* Strikes are reported for this long, since single reports can be lost. */
#define STRIKE_REPORT_DURATION_US 3000000
/* Larger than the number of requests that a server runs at a time. */
#define MAX_LOST_FINGERPRINTS 4096
/* Time constant of the part of the calls that are rejected for lack of slots. */
#define RECENT_TIME_US 1000000.0
/* One answer of this many states the cost of its route, which changes slowly and takes up to a
 * hundred bytes: more of the first ones, so that the entries soon know it. */
#define COST_INTERVAL 16
#define COST_INTERVAL_FIRST 4
#define COST_FIRST_ANSWERS 64
/* Interval of the checks whether the server is still usable. */
#define TICK_US 100000
/* After the event loop stalled for this long, calls are rejected as expired: the time left was
 * computed when a call was sent, so its sender may no longer wait. */
#define STALL_US 400000
/* A server and its node share a clock, which may have been set back in between. */
#define MAX_STARTED_AHEAD_MS 3600000

struct snipe_gate_call {
	struct snipe_gate *gate;
	int handle;
	struct snipe_peer_origin origin;
	int has_origin; /* the sender waits for the answer */
	int is_idempotent;
	int is_head;
	int is_refused;	       /* the server refused its connection: it never got there */
	int is_trial;	       /* of a request suspected of crashing servers */
	char *request_id;      /* empty: not sent by the client */
	struct evbuffer *head; /* request line and fields, without the final empty line */
	struct evbuffer *body;
	size_t charged; /* for head and body, until the call is sent */
	uint64_t fingerprint;
	uint64_t route;			 /* hash of its name */
	int is_profiled;		 /* counted by the profile as running */
	int64_t received_us, started_us; /* started_us 0: waiting */
	int64_t deadline_us;
	struct snipe_h1_call *http; /* NULL: not running */
	struct event timer;
};

static int gate_limit(const struct snipe_gate *g)
{
	int limit = (int)(g->server.slots * SLOT_USE_RATIO);

	if (g->max_connections > 0)
		limit = MIN(limit, g->max_connections);
	return MAX(limit, 1);
}

static int64_t mean_service_us(const struct snipe_gate *g)
{
	return g->service_us > 0 ? (int64_t)g->service_us : INITIAL_SERVICE_US;
}

static int is_unresponsive(const struct snipe_gate *g, int64_t now)
{
	return now - g->last_announcement_us >
		       MAX_MISSED_ANNOUNCEMENTS * g->config.settings->announce_interval_us &&
	       now - g->pool.last_response_us > RESPONSE_FRESH_US;
}

static int was_stalled(const struct snipe_gate *g, int64_t now)
{
	return now - g->ticked_us > STALL_US;
}

/* Returns why new calls are rejected now, or NULL if they are accepted. */
static const char *rejection_reason(const struct snipe_gate *g, int64_t now)
{
	if (g->is_stopping)
		return SNIPE_GATE_DRAINING;
	if (!g->has_server || g->is_down || is_unresponsive(g, now))
		return SNIPE_GATE_NO_SERVER;
	if (g->server.state != SNIPE_SERVER_READY)
		return SNIPE_GATE_DRAINING;
	return g->is_confirmed ? NULL : SNIPE_GATE_UNCONFIRMED;
}

static void fill_load(const struct snipe_gate *g, struct snipe_msg_answer *a)
{
	a->load.limit = gate_limit(g);
	a->load.running = g->queue.running;
	a->load.waiting = g->queue.count;
	a->service_us = (int64_t)g->service_us;
}

static struct snipe_msg_answer *begin_answer(struct snipe_message *m)
{
	memset(m, 0, sizeof(*m));
	m->type = SNIPE_MSG_ANSWER;
	return &m->u.answer;
}

static void reply_failure(struct snipe_gate *g, const struct snipe_peer_origin *to,
			  enum snipe_answer_outcome outcome, const char *reason,
			  int has_arrived)
{
	struct snipe_message m;
	struct snipe_msg_answer *a = begin_answer(&m);

	a->outcome = outcome;
	snprintf(a->reason, sizeof(a->reason), "%s", reason);
	a->has_arrived = has_arrived;
	fill_load(g, a);
	snipe_peer_reply(g->config.peers, to, &m, NULL, 0);
}

static void log_failure(const struct snipe_gate_call *call, const char *outcome,
			const char *reason)
{
	static struct snipe_log_limit limit;
	const struct snipe_gate *g = call->gate;
	unsigned suppressed;
	int64_t now = snipe_now_us();

	if (!snipe_log_allow(&limit, now, SNIPE_LOG_LINES_PER_S, &suppressed))
		return;
	snipe_log(
		SNIPE_LOG_INFO, "gate_call_failed",
		"request=%s outcome=%s reason=%s server=%s origin=%s waited_ms=%lld "
		"ran_ms=%lld left_ms=%lld running=%d waiting=%d limit=%d "
		"announcement_age_ms=%lld "
		"fingerprint=%016" PRIx64 " suppressed=%u",
		call->request_id, outcome, reason, g->server.id, call->origin.node_id,
		(long long)(((call->started_us ? call->started_us : now) - call->received_us) /
			    1000),
		(long long)(call->started_us ? (now - call->started_us) / 1000 : 0),
		(long long)((call->deadline_us - now) / 1000), g->queue.running, g->queue.count,
		gate_limit(g), (long long)((now - g->last_announcement_us) / 1000),
		call->fingerprint, suppressed);
}

/* Frees a call that the queue no longer counts. */
static void free_call(struct snipe_gate_call *call)
{
	struct snipe_gate *g = call->gate;

	if (call->http)
		snipe_h1_call_cancel(call->http);
	if (call->has_origin)
		g_hash_table_remove(g->calls_by_origin, &call->origin);
	event_del(&call->timer);
	snipe_memory_update(g->pool.account, &call->charged, 0);
	g->calls->pdata[call->handle] = NULL;
	g->in_flight--;
	evbuffer_free(call->head);
	evbuffer_free(call->body);
	g_free(call->request_id);
	g_free(call);
}

/* Records the end of a run in the profile. */
static void end_run(struct snipe_gate_call *call, int is_success)
{
	int64_t now = snipe_now_us();

	if (call->is_profiled)
		snipe_call_profile_end(call->gate->config.profile, now, call->route,
				       now - call->started_us, is_success);
	call->is_profiled = 0;
}

static void end_call(struct snipe_gate_call *call)
{
	end_run(call, 0);
	if (call->started_us)
		snipe_work_queue_done(&call->gate->queue);
	else
		snipe_work_queue_cancel(&call->gate->queue, call->handle);
	free_call(call);
}

/* Returns the part of the recent calls that were rejected for lack of slots. */
static double rejected_ratio(struct snipe_gate *g, int64_t now_us)
{
	double factor = exp(-(double)(now_us - g->recent_at_us) / RECENT_TIME_US);

	g->recent_calls *= factor;
	g->recent_full *= factor;
	g->recent_at_us = now_us;
	return g->recent_calls > 1 ? MIN(g->recent_full / g->recent_calls, 1) : 0;
}

static void fail_call(struct snipe_gate_call *call, enum snipe_answer_outcome outcome,
		      const char *reason, int has_arrived)
{
	struct snipe_gate *g = call->gate;
	struct snipe_peer_origin to = call->origin;
	int has_origin = call->has_origin;

	if (strcmp(reason, SNIPE_GATE_OVERLOADED) == 0)
		g->recent_full++;
	log_failure(call, outcome == SNIPE_ANSWER_NOT_RUN ? "not_run" : "unknown", reason);
	snipe_counters_add(
		g->config.counters,
		outcome == SNIPE_ANSWER_NOT_RUN ? g->count_not_run : g->count_unknown, 1);
	end_call(call);
	if (has_origin)
		reply_failure(g, &to, outcome, reason, has_arrived);
}

static void start_waiting_calls(struct snipe_gate *g);

static void fail_and_start_next(struct snipe_gate_call *call, enum snipe_answer_outcome outcome,
				const char *reason, int has_arrived)
{
	struct snipe_gate *g = call->gate;

	fail_call(call, outcome, reason, has_arrived);
	start_waiting_calls(g);
}

static void reject_waiting_calls(struct snipe_gate *g, const char *reason)
{
	int handle;

	while ((handle = snipe_work_queue_drop(&g->queue)) >= 0)
		fail_call(g->calls->pdata[handle], SNIPE_ANSWER_NOT_RUN, reason, 0);
}

/* Logs and reports when the server becomes usable or unusable. */
static void update_usable(struct snipe_gate *g)
{
	const char *reason = rejection_reason(g, snipe_now_us());

	if (g->was_usable == (reason == NULL))
		return;
	g->was_usable = reason == NULL;
	snipe_log(SNIPE_LOG_INFO, "server_usability_changed",
		  "server=%s usable=%d reason=%s sequence=%llu announcement_age_ms=%lld",
		  g->server.id, g->was_usable, reason ? reason : "announced",
		  (unsigned long long)g->server.sequence,
		  (long long)((snipe_now_us() - g->last_announcement_us) / 1000));
	if (reason)
		reject_waiting_calls(g, reason);
	g->config.changed(g->config.arg);
}

static int is_reporting_strikes(const struct snipe_gate *g, int64_t now_us)
{
	return now_us - g->crash_us <= STRIKE_REPORT_DURATION_US;
}

static void add_strike(struct snipe_gate *g, uint64_t fingerprint)
{
	struct snipe_strike strike = {fingerprint, g->crash_id, 0};

	if (!snipe_crash_guard_record_local_strike(g->config.guard, snipe_now_us(), fingerprint,
						   g->crash_id))
		return;
	snipe_crash_log_strike(g->config.guard, fingerprint, g->crash_id,
			       g->config.settings->node_id);
	g_array_append_val(g->strikes, strike);
}

/* The same crash can be detected several times, such as by a refused connection and then by the
 * announcement of the next process. */
static int is_new_crash(const struct snipe_gate *g)
{
	return strcmp(g->crashed_server_id, g->server.id) != 0 ||
	       g->crashed_server_started_ms != g->server.started_ms;
}

/* Records a crash: each request that ran, or lost its connection just before, may have caused
 * it and gets a strike. */
static void record_crash(struct snipe_gate *g, const char *evidence)
{
	int64_t now = snipe_now_us();

	if (!is_reporting_strikes(g, now)) {
		g_array_set_size(g->strikes, 0);
		g->reported_strike_count = 0;
	}
	if (now - g->connection_lost_us > CRASH_WINDOW_US)
		g_array_set_size(g->lost_fingerprints, 0);
	if (is_new_crash(g)) {
		g->crash_id = snipe_hash64_seed(&now, sizeof(now),
						snipe_hash64_str(g->config.settings->node_id));
		g->crashed_server_started_ms = g->server.started_ms;
		g_strlcpy(g->crashed_server_id, g->server.id, sizeof(g->crashed_server_id));
	}
	g->crash_us = now;
	for (guint i = 0; i < g->lost_fingerprints->len; i++)
		add_strike(g, g_array_index(g->lost_fingerprints, uint64_t, i));
	for (guint i = 0; i < g->calls->len; i++) {
		const struct snipe_gate_call *call = g->calls->pdata[i];

		if (call && call->started_us && !call->is_refused)
			add_strike(g, call->fingerprint);
	}
	snipe_log(SNIPE_LOG_WARNING, "server_crashed",
		  "server=%s evidence=%s running=%d lost_connections=%u strikes=%u",
		  g->server.id, evidence, g->queue.running, g->lost_fingerprints->len,
		  g->strikes->len);
	g_array_set_size(g->lost_fingerprints, 0);
}

static void record_lost_connection(struct snipe_gate *g, uint64_t fingerprint)
{
	int64_t now = snipe_now_us();

	if (now - g->connection_lost_us > CRASH_WINDOW_US)
		g_array_set_size(g->lost_fingerprints, 0);
	g->connection_lost_us = now;
	if (g->lost_fingerprints->len < MAX_LOST_FINGERPRINTS)
		g_array_append_val(g->lost_fingerprints, fingerprint);
}

/* The server has answered a request that was sent after the last connection was lost: its
 * process did not end then. */
static void clear_lost_connections(struct snipe_gate *g)
{
	g_array_set_size(g->lost_fingerprints, 0);
}

static void record_run_time(struct snipe_gate *g, const struct snipe_gate_call *call)
{
	double ran = (double)(snipe_now_us() - call->started_us);

	snipe_histogram_add(&g->run_time_us, (uint64_t)ran);
	g->service_us = g->service_us > 0
				? g->service_us + SERVICE_EWMA_WEIGHT * (ran - g->service_us)
				: ran;
}

/* Returns why a complete response is not forwarded, or NULL if it is. */
static const char *response_fault(const struct snipe_gate *g,
				  const struct snipe_h1_message *response)
{
	if (!snipe_h1_find_value(response, g->config.dialect->headers.signature))
		return "unsigned";
	return snipe_h1_find_value(response, "Content-Encoding") ? "encoded" : NULL;
}

static int is_cost_due(struct snipe_gate *g)
{
	unsigned count = g->complete_count++;

	return count % (count < COST_FIRST_ANSWERS ? COST_INTERVAL_FIRST : COST_INTERVAL) == 0;
}

static void reply_response(struct snipe_gate_call *call, const struct snipe_h1_message *r)
{
	struct snipe_gate *g = call->gate;
	struct snipe_peer_origin to = call->origin;
	struct snipe_message m;
	struct snipe_msg_answer *a = begin_answer(&m);
	int has_origin = call->has_origin;

	a->outcome = SNIPE_ANSWER_COMPLETE;
	a->status = r->status;
	a->has_arrived = 1;
	for (int i = 0; i < r->field_count; i++) {
		struct snipe_header *h = &a->headers[a->header_count];

		/* A response to HEAD states the length of a body that is not sent. */
		if (snipe_h1_is_hop_by_hop(r, i) &&
		    !(call->is_head &&
		      strcasecmp(snipe_h1_field_name(r, i), "Content-Length") == 0))
			continue;
		h->name.data = snipe_h1_field_name(r, i);
		h->name.len = r->fields[i].name_len;
		h->value.data = snipe_h1_field_value(r, i);
		h->value.len = r->fields[i].value_len;
		a->header_count++;
	}
	record_run_time(g, call);
	end_run(call, r->status < 500);
	if (is_cost_due(g))
		snipe_call_profile_cost(g->config.profile, call->route,
					snipe_hash64_str(g->config.settings->service),
					&a->cost);
	/* A server that is failing may answer and then crash. */
	if (r->status < 500 && snipe_crash_guard_record_success(g->config.guard, snipe_now_us(),
								call->fingerprint))
		snipe_crash_log_cleared(call->fingerprint, g->config.settings->node_id);
	snipe_counters_add(g->config.counters, g->count_complete, 1);
	end_call(call);
	start_waiting_calls(g);
	fill_load(g, a);
	if (has_origin)
		snipe_peer_reply(g->config.peers, &to, &m, r->body.data, r->body.len);
}

/* Whether there is room for a body as it is passed on: in a message, and on its way out. */
static int has_room_for_copies(const struct snipe_gate *g, size_t body_len)
{
	return body_len < SNIPE_MEMORY_LARGE_BYTES ||
	       snipe_memory_has_room(g->pool.account, 2 * body_len);
}

static void on_response(struct snipe_gate_call *call, const struct snipe_h1_message *r)
{
	struct snipe_gate *g = call->gate;
	const char *fault;

	if (r->status != 421 && call->started_us > g->connection_lost_us)
		clear_lost_connections(g);
	if (r->status == 421) {
		/* Another process uses the address and has not announced itself yet. */
		g->is_down = 1;
		fail_call(call, SNIPE_ANSWER_NOT_RUN, SNIPE_GATE_WRONG_SERVER, 0);
		update_usable(g);
	} else if (snipe_h1_find_value(r, g->config.dialect->headers.not_run)) {
		fail_and_start_next(call, SNIPE_ANSWER_NOT_RUN, SNIPE_GATE_SERVER_REJECTED, 1);
	} else if ((fault = response_fault(g, r)) != NULL) {
		fail_and_start_next(call, SNIPE_ANSWER_UNKNOWN, fault, 1);
	} else if (!has_room_for_copies(g, r->body.len)) {
		fail_and_start_next(call, SNIPE_ANSWER_UNKNOWN, SNIPE_GATE_NO_MEMORY, 1);
	} else {
		reply_response(call, r);
	}
}

/* The connection ended before the response, or within it. */
static void record_lost_response(struct snipe_gate_call *call)
{
	struct snipe_gate *g = call->gate;

	record_lost_connection(g, call->fingerprint);
	if (!call->is_trial)
		return;
	/* Other nodes must receive the strike before they run a trial too. */
	record_crash(g, "trial_lost");
	g->config.changed(g->config.arg);
}

static void on_http_done(void *arg, enum snipe_h1_result result,
			 const struct snipe_h1_message *response)
{
	struct snipe_gate_call *call = arg;
	struct snipe_gate *g = call->gate;

	call->http = NULL;
	switch (result) {
	case SNIPE_H1_COMPLETE:
		on_response(call, response);
		break;
	case SNIPE_H1_NO_SOCKET:
		fail_and_start_next(call, SNIPE_ANSWER_NOT_RUN, SNIPE_GATE_NO_SOCKET, 0);
		break;
	case SNIPE_H1_NOT_CONNECTED:
		call->is_refused = 1;
		if (!g->is_down)
			record_crash(g, "connection_refused");
		g->is_down = 1;
		fail_call(call, SNIPE_ANSWER_NOT_RUN, SNIPE_GATE_NO_SERVER, 0);
		update_usable(g);
		break;
	case SNIPE_H1_LOST:
		record_lost_response(call);
		fail_and_start_next(call, SNIPE_ANSWER_UNKNOWN, SNIPE_GATE_RESPONSE_LOST, 1);
		break;
	case SNIPE_H1_BROKEN:
		record_lost_response(call);
		fail_and_start_next(call, SNIPE_ANSWER_UNKNOWN, SNIPE_GATE_RESPONSE_BROKEN, 1);
		break;
	case SNIPE_H1_TOO_LARGE:
		fail_and_start_next(call, SNIPE_ANSWER_UNKNOWN, SNIPE_GATE_RESPONSE_BROKEN, 1);
		break;
	}
}

/* A response with the id of another request is late or a duplicate. */
static int is_own_response(void *arg, const struct snipe_h1_message *response)
{
	struct snipe_gate_call *call = arg;
	const char *id =
		snipe_h1_find_value(response, call->gate->config.dialect->headers.request_id);

	if (!id || !*call->request_id || strcmp(id, call->request_id) == 0)
		return 1;
	snipe_log(SNIPE_LOG_WARNING, "response_id_mismatch", "request=%s response_id=%s",
		  call->request_id, id);
	return 0;
}

static const struct snipe_h1_call_ops http_ops = {is_own_response, on_http_done};

static void set_timer(struct snipe_gate_call *call, int64_t at_us)
{
	struct timeval tv = snipe_timeval(at_us - snipe_now_us());

	event_add(&call->timer, &tv);
}

static int is_rejected_suspect(const struct snipe_gate_call *call, int64_t now_us)
{
	return !call->is_trial && snipe_crash_guard_is_suspect(call->gate->config.guard, now_us,
							       call->fingerprint);
}

/* Sends a call that the queue counts as running. Its fingerprint may have become suspect while
 * it waited. */
static void run_call(struct snipe_gate_call *call)
{
	struct snipe_gate *g = call->gate;
	const struct snipe_header_names *names = &g->config.dialect->headers;
	int64_t now = snipe_now_us();
	int64_t left_us = call->deadline_us - now;

	call->started_us = now;
	snipe_histogram_add(&g->wait_time_us, (uint64_t)(now - call->received_us));
	if (is_rejected_suspect(call, now)) {
		fail_call(call, SNIPE_ANSWER_NOT_RUN, SNIPE_GATE_CRASH_SUSPECT, 0);
		return;
	}
	if (left_us < MIN_RUN_US) {
		fail_call(call, SNIPE_ANSWER_NOT_RUN, SNIPE_GATE_EXPIRED, 0);
		return;
	}
	evbuffer_add_printf(call->head, "%s: %lld\r\n%s: %s\r\n\r\n", names->time_left_ms,
			    (long long)(left_us / 1000), names->expected_server, g->server.id);
	evbuffer_add_buffer(call->head, call->body);
	set_timer(call, call->deadline_us + DEADLINE_GRACE_US);
	call->is_profiled = 1;
	snipe_call_profile_start(g->config.profile, now, call->route);
	snipe_memory_update(g->pool.account, &call->charged, 0);
	call->http = snipe_h1_call_start(&g->pool, call->head, call->is_head, &http_ops, call);
}

static void start_waiting_calls(struct snipe_gate *g)
{
	int64_t now = snipe_now_us();
	int handle;

	if (rejection_reason(g, now) && g->queue.count > 0) {
		reject_waiting_calls(g, rejection_reason(g, now));
		return;
	}
	while ((handle = snipe_work_queue_next(&g->queue, now, gate_limit(g))) >= 0)
		run_call(g->calls->pdata[handle]);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_gate_call *call = arg;
	struct snipe_gate *g = call->gate;

	(void)fd;
	(void)what;
	if (!call->started_us) {
		fail_call(call, SNIPE_ANSWER_NOT_RUN, SNIPE_GATE_OVERLOADED, 0);
		return;
	}
	/* No response at all since the call started: this connection and the idle ones may be
	 * broken. */
	if (g->pool.last_response_us < call->started_us)
		snipe_h1_pool_retire_connections(&g->pool);
	fail_and_start_next(call, SNIPE_ANSWER_UNKNOWN, SNIPE_GATE_TIMEOUT, 1);
}

static int allocate_handle(struct snipe_gate *g)
{
	for (guint i = 0; i < g->calls->len; i++)
		if (!g->calls->pdata[i])
			return (int)i;
	g_ptr_array_add(g->calls, NULL);
	return (int)g->calls->len - 1;
}

static void build_head(struct snipe_gate_call *call, const struct snipe_msg_call *m,
		       size_t body_len)
{
	const char *id_name = call->gate->config.dialect->headers.request_id;
	const struct snipe_header *id_header = NULL;

	evbuffer_add_printf(call->head, "%s %.*s HTTP/1.1\r\n", m->method, (int)m->path.len,
			    m->path.data);
	for (int i = 0; i < m->header_count; i++) {
		const struct snipe_header *h = &m->headers[i];

		evbuffer_add(call->head, h->name.data, h->name.len);
		evbuffer_add(call->head, ": ", 2);
		evbuffer_add(call->head, h->value.data, h->value.len);
		evbuffer_add(call->head, "\r\n", 2);
		if (h->name.len == strlen(id_name) &&
		    strncasecmp(h->name.data, id_name, h->name.len) == 0)
			id_header = h;
	}
	call->request_id = id_header ? g_strndup(id_header->value.data, id_header->value.len)
				     : g_strdup("");
	if (body_len > 0 || strcmp(m->method, "POST") == 0 || strcmp(m->method, "PUT") == 0)
		evbuffer_add_printf(call->head, "Content-Length: %zu\r\n", body_len);
}

static struct snipe_gate_call *new_call(struct snipe_gate *g,
					const struct snipe_peer_origin *from,
					const struct snipe_msg_call *m, const char *body,
					size_t body_len)
{
	struct snipe_gate_call *call = g_new0(struct snipe_gate_call, 1);

	call->gate = g;
	call->origin = *from;
	call->has_origin = 1;
	call->is_idempotent = m->idempotent;
	call->is_trial = m->is_trial;
	call->is_head = strcmp(m->method, "HEAD") == 0;
	call->fingerprint = m->fingerprint;
	call->route = snipe_hash64_str(m->route);
	call->received_us = snipe_now_us();
	call->deadline_us = call->received_us + m->timeout_us;
	call->head = evbuffer_new();
	call->body = evbuffer_new();
	evbuffer_add(call->body, body, body_len);
	build_head(call, m, body_len);
	snipe_memory_update(g->pool.account, &call->charged,
			    evbuffer_get_length(call->head) + body_len);
	event_assign(&call->timer, g->config.base, -1, 0, on_timer, call);
	call->handle = allocate_handle(g);
	g->calls->pdata[call->handle] = call;
	g_hash_table_insert(g->calls_by_origin, &call->origin, call);
	g->in_flight++;
	return call;
}

static void enqueue_call(struct snipe_gate_call *call, const struct snipe_msg_call *m)
{
	struct snipe_gate *g = call->gate;
	struct snipe_work work = {call->handle, m->rank, 0};

	work.start_by_us =
		MIN(call->received_us + m->max_queue_wait_us, call->deadline_us - MIN_RUN_US);
	switch (snipe_work_queue_offer(&g->queue, call->received_us, &work, gate_limit(g),
				       mean_service_us(g))) {
	case SNIPE_WORK_RUN:
		run_call(call);
		break;
	case SNIPE_WORK_QUEUED:
		set_timer(call, work.start_by_us);
		break;
	case SNIPE_WORK_REJECTED:
		fail_call(call, SNIPE_ANSWER_NOT_RUN, SNIPE_GATE_OVERLOADED, 0);
		break;
	}
}

static void handle_call(struct snipe_gate *g, const struct snipe_peer_origin *from,
			const struct snipe_message *msg, const char *body, size_t body_len)
{
	const struct snipe_msg_call *m = &msg->u.call;
	int64_t now = snipe_now_us();
	const char *reason = rejection_reason(g, now);
	struct snipe_gate_call *call = new_call(g, from, m, body, body_len);

	snipe_counters_add(g->config.counters, g->count_received, 1);
	rejected_ratio(g, now);
	g->recent_calls++;
	if (!reason && strcmp(m->pool, g->server.service) != 0)
		reason = SNIPE_GATE_NO_SERVER;
	if (!reason && is_rejected_suspect(call, now))
		reason = SNIPE_GATE_CRASH_SUSPECT;
	if (!reason && was_stalled(g, now))
		reason = SNIPE_GATE_EXPIRED;
	if (!reason && !has_room_for_copies(g, body_len))
		reason = SNIPE_GATE_NO_MEMORY;
	if (reason)
		fail_call(call, SNIPE_ANSWER_NOT_RUN, reason, 0);
	else
		enqueue_call(call, m);
}

static void on_call(void *arg, const struct snipe_peer_origin *from,
		    const struct snipe_message *msg, const char *body, size_t body_len)
{
	struct snipe_gate *g = arg;
	int64_t start = snipe_now_us();

	handle_call(g, from, msg, body, body_len);
	snipe_counters_add(g->config.counters, g->busy_calls, snipe_now_us() - start);
}

/* The sender no longer waits for the answer. A running request that is not idempotent
 * continues: aborting it would leave its effect undetermined. */
static void on_cancel(void *arg, const struct snipe_peer_origin *from,
		      const struct snipe_message *msg, const char *body, size_t body_len)
{
	struct snipe_gate *g = arg;
	struct snipe_gate_call *call = g_hash_table_lookup(g->calls_by_origin, from);

	(void)msg;
	(void)body;
	(void)body_len;
	if (!call)
		return;
	if (call->started_us && !call->is_idempotent) {
		g_hash_table_remove(g->calls_by_origin, &call->origin);
		call->has_origin = 0;
		return;
	}
	end_call(call);
	start_waiting_calls(g);
}

static int is_stale(const struct snipe_gate *g, const struct snipe_server_announcement *a)
{
	const struct snipe_server_announcement *known = &g->server;

	if (a->state != SNIPE_SERVER_NONE &&
	    snipe_now_us() - g->departed_us < SNIPE_DEPARTURE_VALID_US &&
	    snipe_departure_covers(&g->departure, a->id, a->started_ms, a->sequence))
		return 1;
	if (!g->has_server)
		return 0;
	if (strcmp(known->id, a->id) != 0)
		return a->state == SNIPE_SERVER_NONE || (a->started_ms && known->started_ms &&
							 a->started_ms < known->started_ms);
	if (a->started_ms != known->started_ms && a->started_ms && known->started_ms)
		return a->started_ms < known->started_ms;
	return a->state != SNIPE_SERVER_NONE && a->sequence <= known->sequence;
}

/* Whether a departure that an earlier process acknowledged would be known here, or is too old
 * for announcements from before it to arrive. */
static int has_known_departures(const struct snipe_gate *g)
{
	return g->are_departures_known ||
	       snipe_now_us() - g->started_us >= SNIPE_DEPARTURE_VALID_US;
}

static void update_server(struct snipe_gate *g, const struct snipe_server_announcement *a)
{
	int is_new = !g->has_server || strcmp(g->server.id, a->id) != 0 ||
		     g->server.started_ms != a->started_ms;

	g->is_confirmed = !is_new || has_known_departures(g);
	if (is_new) {
		if (g->has_server && g->server.state == SNIPE_SERVER_READY)
			record_crash(g, "new_process");
		clear_lost_connections(g);
		snipe_h1_pool_retire_connections(&g->pool);
		g->service_us = 0;
		snipe_log(SNIPE_LOG_INFO, "server_announced",
			  "server=%s started_ms=%lld slots=%d state=%d sequence=%llu "
			  "confirmed=%d",
			  a->id, (long long)a->started_ms, a->slots, a->state,
			  (unsigned long long)a->sequence, g->is_confirmed);
	}
	g->server = *a;
	g->has_server = 1;
	g->is_down = 0;
	g->last_announcement_us = snipe_now_us();
	g->cold_until_us = g->last_announcement_us + a->cold_left_us;
}

/* Records the departure that an announcement states, unless it is already known. */
static void record_departure(struct snipe_gate *g, const struct snipe_server_announcement *a)
{
	struct snipe_departure d = {"", a->started_ms, a->sequence};
	int is_known_server = g->has_server && strcmp(g->server.id, a->id) == 0;

	g_strlcpy(d.server_id, a->id, sizeof(d.server_id));
	if (a->state == SNIPE_SERVER_NONE)
		d.sequence = SNIPE_DEPARTURE_FINAL;
	/* A final announcement does not state when the process started; that was before now. */
	if (!d.started_ms)
		d.started_ms = is_known_server ? g->server.started_ms : snipe_wall_ms();
	if (strcmp(g->departure.server_id, d.server_id) == 0 &&
	    g->departure.started_ms >= d.started_ms &&
	    (a->state == SNIPE_SERVER_DRAINING ||
	     g->departure.sequence == SNIPE_DEPARTURE_FINAL))
		return;
	g->departure = d;
	g->is_departure_restored = 0;
	g->departed_us = snipe_now_us();
	g->config.departed(g->config.arg, &d);
}

/* Whether the announcement states nothing that this node can use, whatever it knows. */
static int check_announcement(const struct snipe_gate *g,
			      const struct snipe_server_announcement *a,
			      struct snipe_error_text *err)
{
	if (a->started_ms > snipe_wall_ms() + MAX_STARTED_AHEAD_MS)
		return snipe_error_set(err, SNIPE_ERR_INVALID,
				       "server %s announced a start in the future; set the "
				       "clocks of its VM",
				       a->id);
	if (a->state != SNIPE_SERVER_NONE &&
	    strcmp(a->service, g->config.settings->service) != 0)
		return snipe_error_set(
			err, SNIPE_ERR_INVALID,
			"server %s announced service %s, but this node serves %s; "
			"send the announcement to the node beside the server",
			a->id, a->service, g->config.settings->service);
	return 0;
}

/* Whether the announcement states a departure while the process that it names is in use. */
static int is_departure_of_used(const struct snipe_gate *g,
				const struct snipe_server_announcement *a)
{
	return a->state != SNIPE_SERVER_READY && g->has_server &&
	       g->server.state == SNIPE_SERVER_READY && strcmp(g->server.id, a->id) == 0 &&
	       a->started_ms == g->server.started_ms;
}

int snipe_gate_handle_announcement(struct snipe_gate *g,
				   const struct snipe_server_announcement *a,
				   struct snipe_error_text *err)
{
	int ret = check_announcement(g, a, err);

	if (ret < 0)
		return ret;
	if (is_stale(g, a)) {
		snipe_log(SNIPE_LOG_INFO, "announcement_ignored",
			  "server=%s state=%d sequence=%llu started_ms=%lld known=%s "
			  "known_sequence=%llu known_started_ms=%lld",
			  a->id, a->state, (unsigned long long)a->sequence,
			  (long long)a->started_ms, g->server.id,
			  (unsigned long long)g->server.sequence,
			  (long long)g->server.started_ms);
		/* An acknowledgement would state that the server gets no more requests. */
		if (is_departure_of_used(g, a))
			return snipe_error_set(err, SNIPE_ERR_CONFLICT,
					       "server %s announced a later state before; "
					       "announce it again with a higher sequence",
					       a->id);
		return 0;
	}
	if (a->state != SNIPE_SERVER_READY)
		record_departure(g, a);
	if (a->state == SNIPE_SERVER_NONE)
		g->has_server = 0;
	else
		update_server(g, a);
	update_usable(g);
	start_waiting_calls(g);
	return 0;
}

int snipe_gate_restore_departure(struct snipe_gate *g, const struct snipe_departure *d)
{
	int is_own = *g->departure.server_id && !g->is_departure_restored;

	/* A departure that this process received itself is later. */
	if (is_own || (*g->departure.server_id && !snipe_departure_is_later(d, &g->departure)))
		return 0;
	g->departure = *d;
	g->is_departure_restored = 1;
	g->departed_us = snipe_now_us();
	if (!g->has_server || g->server.state != SNIPE_SERVER_READY ||
	    !snipe_departure_covers(d, g->server.id, g->server.started_ms, g->server.sequence))
		return 1;
	if (d->sequence == SNIPE_DEPARTURE_FINAL)
		g->has_server = 0;
	else
		g->server.state = SNIPE_SERVER_DRAINING;
	update_usable(g);
	return 1;
}

void snipe_gate_set_departures_known(struct snipe_gate *g)
{
	g->are_departures_known = 1;
	g->is_confirmed = 1;
	update_usable(g);
	start_waiting_calls(g);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_gate *g = arg;

	(void)fd;
	(void)what;
	g->ticked_us = snipe_now_us();
	update_usable(g);
	snipe_counters_set(g->config.counters, g->gauge_running, g->queue.running);
	snipe_counters_set(g->config.counters, g->gauge_waiting, g->queue.count);
	snipe_counters_set(g->config.counters, g->gauge_limit, gate_limit(g));
}

static double find_worst_call(void *arg, int64_t now_us)
{
	struct snipe_gate *g = arg;
	double most = 0;

	for (guint i = 0; i < g->calls->len; i++) {
		struct snipe_gate_call *call = g->calls->pdata[i];
		size_t held;
		double cost;

		if (!call)
			continue;
		held = call->charged + (call->http ? snipe_h1_call_held(call->http) : 0);
		cost = snipe_memory_cost(held, call->received_us, now_us);
		if (cost > most) {
			most = cost;
			g->worst = call;
		}
	}
	return most;
}

static void give_up_worst_call(void *arg)
{
	struct snipe_gate *g = arg;
	int has_started = g->worst->started_us != 0;

	fail_and_start_next(g->worst, has_started ? SNIPE_ANSWER_UNKNOWN : SNIPE_ANSWER_NOT_RUN,
			    SNIPE_GATE_NO_MEMORY, has_started);
}

static const struct snipe_memory_holder_ops holder_ops = {find_worst_call, give_up_worst_call};

static void init_counters(struct snipe_gate *g)
{
	struct snipe_counters *c = g->config.counters;

	snipe_histogram_init(&g->wait_time_us);
	snipe_histogram_init(&g->run_time_us);
	g->count_received = snipe_counters_get(c, "gate_calls_total", "");
	g->count_complete = snipe_counters_get(c, "gate_complete_total", "");
	g->count_not_run = snipe_counters_get(c, "gate_failed_total", "outcome=\"not_run\"");
	g->count_unknown = snipe_counters_get(c, "gate_failed_total", "outcome=\"unknown\"");
	g->busy_calls = snipe_counters_get(c, "busy_us_total", "work=\"gate_call\"");
	g->gauge_running = snipe_counters_get(c, "gate_running", "");
	g->gauge_waiting = snipe_counters_get(c, "gate_waiting", "");
	g->gauge_limit = snipe_counters_get(c, "gate_limit", "");
}

void snipe_gate_init(struct snipe_gate *g, const struct snipe_gate_config *config)
{
	static const struct timeval tick = {0, TICK_US};

	memset(g, 0, sizeof(*g));
	g->config = *config;
	snipe_work_queue_init(&g->queue);
	snipe_h1_pool_init(&g->pool, config->base);
	snipe_h1_pool_set_address(&g->pool, &config->settings->backend_server);
	if (config->memory) {
		g->pool.account = &config->memory->account;
		snipe_memory_limit_add(config->memory, &g->holder, &holder_ops, g);
	}
	g->started_us = g->ticked_us = g->recent_at_us = snipe_now_us();
	g->calls = g_ptr_array_new();
	g->strikes = g_array_new(FALSE, FALSE, sizeof(struct snipe_strike));
	g->lost_fingerprints = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g->calls_by_origin = g_hash_table_new(snipe_peer_origin_hash, snipe_peer_origin_equal);
	init_counters(g);
	event_assign(&g->tick, config->base, -1, EV_PERSIST, on_tick, g);
	event_add(&g->tick, &tick);
	snipe_peer_on(config->peers, SNIPE_MSG_CALL, on_call, g);
	snipe_peer_on(config->peers, SNIPE_MSG_CANCEL, on_cancel, g);
}

void snipe_gate_finish(struct snipe_gate *g)
{
	if (!g->calls)
		return;
	snipe_peer_on(g->config.peers, SNIPE_MSG_CALL, NULL, NULL);
	snipe_peer_on(g->config.peers, SNIPE_MSG_CANCEL, NULL, NULL);
	for (guint i = 0; i < g->calls->len; i++)
		if (g->calls->pdata[i])
			end_call(g->calls->pdata[i]);
	event_del(&g->tick);
	snipe_h1_pool_finish(&g->pool);
	snipe_work_queue_finish(&g->queue);
	g_hash_table_destroy(g->calls_by_origin);
	g_ptr_array_free(g->calls, TRUE);
	g_array_free(g->strikes, TRUE);
	g_array_free(g->lost_fingerprints, TRUE);
}

void snipe_gate_set_max_connections(struct snipe_gate *g, int max_connections)
{
	g->max_connections = max_connections;
}

void snipe_gate_stop(struct snipe_gate *g)
{
	g->is_stopping = 1;
	update_usable(g);
}

int snipe_gate_in_flight(const struct snipe_gate *g)
{
	return g->in_flight;
}

int snipe_gate_has_unreported_strikes(const struct snipe_gate *g, int64_t now_us)
{
	return g->reported_strike_count < g->strikes->len && is_reporting_strikes(g, now_us);
}

/* A report has room for only some strikes. Each is repeated in turn, since reports can be
 * lost. */
static void fill_strikes(struct snipe_gate *g, int64_t now_us, struct snipe_node_report *r)
{
	guint n = MIN(g->strikes->len, SNIPE_REPORT_MAX_STRIKES);

	if (!is_reporting_strikes(g, now_us))
		return;
	for (guint i = 0; i < n; i++) {
		guint at = g->reported_strike_count < g->strikes->len
				   ? g->reported_strike_count++
				   : g->repeat_count++ % g->strikes->len;

		r->strikes[i] = g_array_index(g->strikes, struct snipe_strike, at);
		r->strikes[i].age_us = now_us - g->crash_us;
	}
	r->strike_count = (int)n;
}

void snipe_gate_fill_report(struct snipe_gate *g, int64_t now_us, struct snipe_node_report *r)
{
	const char *reason = rejection_reason(g, now_us);

	r->server = !g->has_server ? SNIPE_SERVER_NONE
		    : reason	   ? SNIPE_SERVER_DRAINING
				   : SNIPE_SERVER_READY;
	g_strlcpy(r->server_id, g->has_server ? g->server.id : "", sizeof(r->server_id));
	r->limit = gate_limit(g);
	r->running = g->queue.running;
	r->waiting = g->queue.count;
	r->service_us = (int64_t)g->service_us;
	r->cold_left_us = MAX(g->cold_until_us - now_us, 0);
	r->rejected_ratio = rejected_ratio(g, now_us);
	r->is_stopping = g->is_stopping;
	fill_strikes(g, now_us, r);
}

void snipe_gate_dump(const struct snipe_gate *g, struct snipe_buffer *out)
{
	const char *reason = rejection_reason(g, snipe_now_us());

	snipe_buffer_printf(out,
			    "{\"server\":\"%s\",\"usable\":%s,\"reason\":\"%s\",\"limit\":%d,"
			    "\"running\":%d,\"waiting\":%d,\"service_us\":%lld,"
			    "\"connections\":%d,\"notice_age_ms\":%lld}",
			    g->has_server ? g->server.id : "", reason ? "false" : "true",
			    reason ? reason : "", gate_limit(g), g->queue.running,
			    g->queue.count, (long long)g->service_us, g->pool.connection_count,
			    (long long)((snipe_now_us() - g->last_announcement_us) / 1000));
}
