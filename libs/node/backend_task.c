#include "node/backend_task.h"

#include <event2/event.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"
#include "node/backend_state.h"
#include "base/clock.h"
#include "node/snapshot.h"

#define HEARTBEAT_LIMIT_US 5000000
/* Policy "none": calls beyond the pool's connections wait without a bound that matters. */
#define UNBOUNDED_QUEUE 1000000

static int is_announced_ready(const struct snipe_backend_task *t, int64_t now)
{
	return t->heard_us && now - t->heard_us <= HEARTBEAT_LIMIT_US && t->slots > 0 &&
	       t->announced.state == SNIPE_BACKEND_READY;
}

static int is_drained_away(const struct snipe_backend_task *t)
{
	return t->is_draining || (t->heard_us && t->announced.state == SNIPE_BACKEND_DRAINING);
}

enum snipe_reason snipe_backend_task_check(const struct snipe_backend_task *t, int64_t now_us,
					   const char *pool)
{
	if (is_drained_away(t))
		return SNIPE_REASON_DRAINING;
	if (!is_announced_ready(t, now_us) || strcmp(pool, t->announced.pool) != 0)
		return SNIPE_REASON_NO_BACKEND_SERVER;
	return SNIPE_REASON_NONE;
}

int snipe_backend_task_limit(const struct snipe_backend_task *t)
{
	int limit = snipe_limiter_limit(&t->limiter);
	int running = snipe_admission_running(&t->admission);

	/* Calls that wait for inner calls may wait for one in this queue. While all do, one
	 * more runs, or all of them would wait until their deadlines. */
	if (running >= limit && t->contexts.blocked >= running && running < t->slots)
		limit = running + 1;
	return limit < t->connections ? limit : t->connections;
}

/* Tells the control task when the state that the fleet sees has changed. */
static void post_state(struct snipe_backend_task *t)
{
	struct snipe_task_message m = {.type = SNIPE_TASK_SELF_STATE};
	enum snipe_member_state state = SNIPE_MEMBER_STARTING;

	if (is_drained_away(t))
		state = SNIPE_MEMBER_DRAINING;
	else if (is_announced_ready(t, snipe_now_us()))
		state = SNIPE_MEMBER_READY;
	if (!t->control ||
	    (state == t->posted_state && strcmp(t->posted_pool, t->announced.pool) == 0))
		return;
	t->posted_state = state;
	memcpy(t->posted_pool, t->announced.pool, sizeof(t->posted_pool));
	m.u.self_state.state = state;
	memcpy(m.u.self_state.pool, t->announced.pool, sizeof(m.u.self_state.pool));
	snipe_mailbox_post(t->control, &m);
	snipe_log(SNIPE_LOG_INFO, "backend_server_state", "pool=%s state=%s", t->posted_pool,
		  state == SNIPE_MEMBER_READY	   ? "ready"
		  : state == SNIPE_MEMBER_DRAINING ? "draining"
						   : "starting");
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_backend_task *t = arg;

	(void)fd;
	(void)what;
	if (t->heard_us && snipe_now_us() - t->heard_us > HEARTBEAT_LIMIT_US) {
		t->heard_us = 0;
		snipe_log(SNIPE_LOG_WARNING, "backend_server_silent",
			  "pool=%s remedy=\"it must send PUT /.snipescale/backend-server "
			  "every second\"",
			  t->announced.pool);
	}
	post_state(t);
}

/* Applies the limits that the tables set for the announced pool. */
static void apply_pool(struct snipe_backend_task *t)
{
	const struct snipe_pool *p = NULL;
	int i;

	if (t->snapshot && t->snapshot->tables) {
		i = snipe_tables_find_pool(&t->snapshot->tables->tables, t->announced.pool);
		p = i >= 0 ? &t->snapshot->tables->tables.pools[i] : NULL;
	}
	if (!p) {
		t->slots = 0;
		return;
	}
	t->connections = p->connections;
	snipe_http_client_set_max_connections(&t->http, p->connections);
	snipe_admission_set_queue_limit(
		&t->admission, t->policy == SNIPE_LIMITER_NONE ? UNBOUNDED_QUEUE : p->queue);
	if (t->slots == 0)
		snipe_limiter_init(&t->limiter, t->policy, p->slots, t->settings->fixed_limit,
				   snipe_now_us());
	else if (t->slots != p->slots)
		snipe_limiter_set_slots(&t->limiter, p->slots);
	t->slots = p->slots;
	snipe_backend_call_start_waiting(t);
}

/* Strikes or their end, from another node of the pool. */
static void take_strikes(struct snipe_backend_task *t, const struct snipe_task_message *msg)
{
	uint64_t death = msg->u.strikes.death;

	for (int i = 0; i < msg->u.strikes.count; i++) {
		uint64_t fingerprint = msg->u.strikes.fingerprints[i];

		if (death)
			snipe_crash_guard_record_strike(&t->guard, snipe_now_us(), fingerprint,
							death);
		else
			snipe_crash_guard_clear(&t->guard, fingerprint);
	}
}

static void handle_message(void *owner, const struct snipe_task_message *msg)
{
	struct snipe_backend_task *t = owner;

	switch (msg->type) {
	case SNIPE_TASK_SNAPSHOT:
		snipe_snapshot_unref(t->snapshot);
		t->snapshot = snipe_snapshot_ref(msg->u.snapshot);
		apply_pool(t);
		post_state(t);
		break;
	case SNIPE_TASK_STRIKES:
		take_strikes(t, msg);
		break;
	case SNIPE_TASK_DRAIN:
		t->is_draining = 1;
		post_state(t);
		break;
	default:
		break;
	}
}

static void post_strikes(struct snipe_backend_task *t, struct snipe_task_message *m)
{
	if (m->u.strikes.count > 0 && t->control)
		snipe_mailbox_post(t->control, m);
	m->u.strikes.count = 0;
}

static void strike_running(struct snipe_backend_task *t)
{
	struct snipe_task_message m = {.type = SNIPE_TASK_STRIKES};

	m.u.strikes.death = t->death;
	for (guint i = 0; i < t->calls->len; i++) {
		struct snipe_backend_call *call = t->calls->pdata[i];

		if (!call || call->state == SNIPE_BACKEND_CALL_WAITING || call->has_strike)
			continue;
		call->has_strike = 1;
		if (!snipe_crash_guard_record_strike(&t->guard, snipe_now_us(),
						     call->fingerprint, t->death))
			continue;
		if (m.u.strikes.count == SNIPE_TASK_STRIKES_MAX)
			post_strikes(t, &m);
		m.u.strikes.fingerprints[m.u.strikes.count++] = call->fingerprint;
	}
	post_strikes(t, &m);
}

/*
 * A request that runs often is in flight whenever a server dies. Without this message the nodes
 * where it did not succeed meanwhile took two deaths minutes apart for its doing.
 */
void snipe_backend_task_post_cleared(struct snipe_backend_task *t, uint64_t fingerprint)
{
	struct snipe_task_message m = {.type = SNIPE_TASK_STRIKES};

	m.u.strikes.fingerprints[0] = fingerprint;
	m.u.strikes.count = 1;
	post_strikes(t, &m);
}

/* Calls whose connections end one after another belong to the same death. */
static void begin_death(struct snipe_backend_task *t)
{
	while (t->death == 0)
		snipe_random_bytes(&t->death, sizeof(t->death));
}

void snipe_backend_task_died(struct snipe_backend_task *t)
{
	begin_death(t);
	strike_running(t);
	if (t->heard_us) {
		t->heard_us = 0;
		snipe_counters_add(t->counters, t->count_died, 1);
		snipe_log(SNIPE_LOG_WARNING, "backend_server_died", "pool=%s in_flight=%d",
			  t->announced.pool, t->in_flight);
		snipe_limiter_reset(&t->limiter, snipe_now_us());
		snipe_http_client_renew(&t->http);
	}
	post_state(t);
	/* The first nodes may send them elsewhere. */
	snipe_backend_call_reject_waiting(t, SNIPE_REASON_NO_BACKEND_SERVER);
}

static void on_probe(void *arg, int err)
{
	struct snipe_backend_task *t = arg;

	if (err == SNIPE_ERR_UNAVAILABLE)
		snipe_backend_task_died(t);
	snipe_backend_call_end_probed(t, err == SNIPE_ERR_UNAVAILABLE);
}

void snipe_backend_task_probe(struct snipe_backend_task *t)
{
	snipe_counters_add(t->counters, t->count_probes, 1);
	snipe_http_client_probe(&t->http, on_probe, t);
}

int snipe_backend_task_announce(struct snipe_backend_task *t, const char *json, size_t len,
				struct snipe_error_text *err)
{
	struct snipe_announcement a;
	int ret = snipe_announcement_parse(&a, json, len, err);

	if (ret)
		return ret;
	if (strcmp(a.pool, t->announced.pool) != 0)
		t->slots = 0;
	/* A server that starts again is cold and has lost what ran on the old process. */
	if (a.state == SNIPE_BACKEND_STARTING && t->announced.state != SNIPE_BACKEND_STARTING)
		snipe_limiter_reset(&t->limiter, snipe_now_us());
	t->announced = a;
	t->heard_us = snipe_now_us();
	t->death = 0;
	snipe_http_client_set_address(&t->http, &a.address);
	apply_pool(t);
	post_state(t);
	if (t->slots == 0 && t->snapshot && t->snapshot->tables)
		return snipe_error_set(err, SNIPE_ERR_NOT_FOUND,
				       "pool %s is not in pools.toml; add it with snipescale "
				       "apply or correct the announcement",
				       a.pool);
	return 0;
}

static enum snipe_limiter_policy parse_policy(const char *name)
{
	if (strcmp(name, "fixed") == 0)
		return SNIPE_LIMITER_FIXED;
	return strcmp(name, "none") == 0 ? SNIPE_LIMITER_NONE : SNIPE_LIMITER_ADAPTIVE;
}

struct snipe_backend_task *snipe_backend_task_new(const struct snipe_backend_config *config)
{
	static const struct timeval tick = {0, 500000};
	struct snipe_backend_task *t = g_new0(struct snipe_backend_task, 1);

	t->base = config->base;
	t->settings = config->settings;
	t->peers = config->peers;
	t->counters = config->counters;
	t->policy = parse_policy(config->settings->policy);
	t->connections = 1;
	t->posted_state = SNIPE_MEMBER_STARTING;
	snipe_mailbox_init(&t->box, t->base, handle_message, t);
	snipe_limiter_init(&t->limiter, t->policy, 1, t->settings->fixed_limit, snipe_now_us());
	snipe_admission_init(&t->admission, 0);
	snipe_crash_guard_init(&t->guard);
	snipe_context_table_init(&t->contexts);
	snipe_http_client_init(&t->http, t->base);
	t->calls = g_ptr_array_new();
	t->free_handles = g_array_new(FALSE, FALSE, sizeof(int));
	t->by_origin = g_hash_table_new(snipe_peer_origin_hash, snipe_peer_origin_equal);
	t->count_received = snipe_counters_get(t->counters, "backend_calls_total", "");
	t->count_complete = snipe_counters_get(t->counters, "backend_complete_total", "");
	t->count_died = snipe_counters_get(t->counters, "backend_deaths_total", "");
	t->count_probes = snipe_counters_get(t->counters, "backend_probes_total", "");
	event_assign(&t->tick, t->base, -1, EV_PERSIST, on_tick, t);
	event_add(&t->tick, &tick);
	snipe_peer_on(t->peers, SNIPE_MSG_CALL, snipe_backend_call_receive, t);
	snipe_peer_on(t->peers, SNIPE_MSG_CANCEL, snipe_backend_call_cancel, t);
	return t;
}

void snipe_backend_task_free(struct snipe_backend_task *t)
{
	for (guint i = 0; i < t->calls->len; i++) {
		if (t->calls->pdata[i])
			snipe_backend_call_drop(t->calls->pdata[i]);
	}
	snipe_peer_on(t->peers, SNIPE_MSG_CALL, NULL, NULL);
	snipe_peer_on(t->peers, SNIPE_MSG_CANCEL, NULL, NULL);
	event_del(&t->tick);
	snipe_mailbox_finish(&t->box);
	snipe_http_client_finish(&t->http);
	snipe_context_table_finish(&t->contexts);
	snipe_admission_finish(&t->admission);
	g_hash_table_destroy(t->by_origin);
	g_array_free(t->free_handles, TRUE);
	g_ptr_array_free(t->calls, TRUE);
	snipe_snapshot_unref(t->snapshot);
	g_free(t);
}

struct snipe_mailbox *snipe_backend_task_mailbox(struct snipe_backend_task *t)
{
	return &t->box;
}

void snipe_backend_task_set_control(struct snipe_backend_task *t, struct snipe_mailbox *control)
{
	t->control = control;
}

int snipe_backend_task_context(struct snipe_backend_task *t, const char *token,
			       uint64_t fingerprint, struct snipe_call_context *context,
			       int *repeated)
{
	int ret = snipe_context_table_find(&t->contexts, token, fingerprint, context, repeated);

	snipe_backend_call_start_waiting(t);
	return ret;
}

void snipe_backend_task_inner_done(struct snipe_backend_task *t, const uint8_t token[16])
{
	snipe_context_table_inner_done(&t->contexts, token);
}

int snipe_backend_task_in_flight(const struct snipe_backend_task *t)
{
	return t->in_flight;
}

void snipe_backend_task_dump(const struct snipe_backend_task *t, struct snipe_buffer *out)
{
	char address[SNIPE_ADDRESS_TEXT_SIZE] = "";

	if (t->announced.address.port)
		snipe_address_format(&t->announced.address, address);
	snipe_buffer_printf(
		out,
		"{\"pool\":\"%s\",\"address\":\"%s\",\"announced\":\"%s\","
		"\"alive\":%s,\"draining\":%s,\"policy\":\"%s\",\"limit\":%d,"
		"\"running\":%d,\"waiting\":%d,\"latency_us\":%lld}",
		t->announced.pool, address, snipe_backend_state_name(t->announced.state),
		t->heard_us ? "true" : "false", t->is_draining ? "true" : "false",
		t->settings->policy, snipe_backend_task_limit(t),
		snipe_admission_running(&t->admission), snipe_admission_waiting(&t->admission),
		(long long)snipe_limiter_latency_us(&t->limiter));
}
