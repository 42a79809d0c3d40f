#include "node/caller_task.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "node/caller_state.h"
#include "base/clock.h"
#include "node/http_listen.h"
#include "node/http_text.h"

#define ANNOUNCE_PATH "/.snipescale/backend-server"
/* The latency gauges cover the last window. */
#define LATENCY_WINDOW_US 5000000
#define IDENTIFIER_PATH "/.snipescale/identifier"

static int is_path(const char *uri, const char *path)
{
	size_t len = strlen(path);

	return uri && strncmp(uri, path, len) == 0 && (uri[len] == '\0' || uri[len] == '?');
}

static void on_announcement(struct snipe_caller_task *t, struct evhttp_request *req)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(body);
	struct snipe_error_text err = {""};
	int ret = snipe_backend_task_announce(t->backend, (char *)evbuffer_pullup(body, -1),
					      len, &err);

	if (ret == 0) {
		evhttp_send_reply(req, HTTP_NOCONTENT, NULL, NULL);
		return;
	}
	evbuffer_add_printf(evhttp_request_get_output_buffer(req), "%s\n", err.text);
	evhttp_send_reply(req, ret == SNIPE_ERR_NOT_FOUND ? HTTP_NOTFOUND : HTTP_BADREQUEST,
			  NULL, NULL);
}

static void on_outside_request(struct evhttp_request *req, void *arg)
{
	if (evhttp_request_get_command(req) == EVHTTP_REQ_GET &&
	    is_path(evhttp_request_get_uri(req), IDENTIFIER_PATH))
		snipe_caller_send_identifier(req);
	else
		snipe_call_begin(arg, req, 0);
}

static void on_local_request(struct evhttp_request *req, void *arg)
{
	const char *uri = evhttp_request_get_uri(req);
	enum evhttp_cmd_type command = evhttp_request_get_command(req);

	if (command == EVHTTP_REQ_PUT && is_path(uri, ANNOUNCE_PATH))
		on_announcement(arg, req);
	else if (command == EVHTTP_REQ_GET && is_path(uri, IDENTIFIER_PATH))
		snipe_caller_send_identifier(req);
	else
		snipe_call_begin(arg, req, 1);
}

static struct snipe_route_state *route_state(struct snipe_caller_task *t,
					     const struct snipe_route *route)
{
	struct snipe_route_state *r = g_hash_table_lookup(t->routes, route->name);

	if (!r) {
		r = g_new0(struct snipe_route_state, 1);
		snipe_retry_budget_init(&r->budget, route->retry_percent);
		g_hash_table_insert(t->routes, g_strdup(route->name), r);
	} else {
		snipe_retry_budget_set_percent(&r->budget, route->retry_percent);
	}
	return r;
}

static void take_snapshot(struct snipe_caller_task *t, struct snipe_snapshot *s)
{
	const struct snipe_loaded_tables *old = t->snapshot ? t->snapshot->tables : NULL;

	snipe_server_table_update(&t->servers, s, snipe_now_us());
	if (s->tables && s->tables != old) {
		const struct snipe_tables *tables = &s->tables->tables;

		g_free(t->route_states);
		t->route_states = g_new0(struct snipe_route_state *, tables->route_count + 1);
		for (int i = 0; i < tables->route_count; i++)
			t->route_states[i] = route_state(t, &tables->routes[i]);
	}
	snipe_snapshot_unref(t->snapshot);
	t->snapshot = snipe_snapshot_ref(s);
}

static void handle_message(void *owner, const struct snipe_task_message *msg)
{
	struct snipe_caller_task *t = owner;

	switch (msg->type) {
	case SNIPE_TASK_SNAPSHOT:
		take_snapshot(t, msg->u.snapshot);
		break;
	case SNIPE_TASK_VALIDITY:
		t->valid_until_us = msg->u.valid_until_us;
		break;
	case SNIPE_TASK_QUOTA_GRANT:
		snipe_caller_on_quota_grant(t, msg);
		break;
	case SNIPE_TASK_CLAIM_ANSWER:
		snipe_caller_on_claim_answer(t, msg);
		break;
	case SNIPE_TASK_DRAIN:
		t->is_draining = 1;
		break;
	default:
		break;
	}
}

static void publish_latency(struct snipe_caller_task *t, int64_t now)
{
	snipe_counters_set(t->counters, t->gauge_p50,
			   (int64_t)snipe_histogram_quantile(&t->latency, 0.5));
	snipe_counters_set(t->counters, t->gauge_p99,
			   (int64_t)snipe_histogram_quantile(&t->latency, 0.99));
	snipe_histogram_init(&t->latency);
	t->latency_since_us = now;
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_caller_task *t = arg;
	int64_t now = snipe_now_us();

	(void)fd;
	(void)what;
	snipe_caller_return_tokens(t);
	snipe_counters_set(t->counters, t->gauge_in_flight, t->in_flight);
	if (now - t->latency_since_us >= LATENCY_WINDOW_US)
		publish_latency(t, now);
}

static void init_counters(struct snipe_caller_task *t)
{
	struct snipe_counters *c = t->counters;

	snipe_rejection_log_init(&t->rejections, c);
	snipe_histogram_init(&t->latency);
	t->count_calls = snipe_counters_get(c, "calls_total", "listener=\"callers\"");
	t->count_inner = snipe_counters_get(c, "calls_total", "listener=\"local\"");
	t->count_complete = snipe_counters_get(c, "complete_total", "");
	t->count_retries = snipe_counters_get(c, "retries_total", "");
	t->count_replays = snipe_counters_get(c, "replays_total", "");
	t->gauge_in_flight = snipe_counters_get(c, "calls_in_flight", "");
	t->gauge_p50 = snipe_counters_get(c, "call_latency_us", "quantile=\"0.5\"");
	t->gauge_p99 = snipe_counters_get(c, "call_latency_us", "quantile=\"0.99\"");
}

static void init_state(struct snipe_caller_task *t)
{
	uint64_t first_id = 0;

	t->rng = g_rand_new();
	snipe_mailbox_init(&t->box, t->base, handle_message, t);
	t->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	snipe_server_table_init(&t->servers, t->settings->failure_domain, snipe_now_us());
	snipe_retry_ledger_init(&t->ledger);
	snipe_quota_cache_init(&t->quota);
	t->token_queues = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						(GDestroyNotify)g_queue_free);
	t->claim_waits = g_hash_table_new(g_int64_hash, g_int64_equal);
	/* Ids of an earlier process at this address must not match entries of the ledger. */
	snipe_random_bytes(&first_id, sizeof(first_id));
	t->next_id = first_id >> 1;
	init_counters(t);
}

struct snipe_caller_task *snipe_caller_task_new(const struct snipe_caller_config *config,
						struct snipe_error_text *err)
{
	static const struct timeval tick = {0, 50000};
	struct snipe_caller_task *t = g_new0(struct snipe_caller_task, 1);

	t->base = config->base;
	t->settings = config->settings;
	t->peers = config->peers;
	t->backend = config->backend;
	t->counters = config->counters;
	t->has_control = strcmp(t->settings->policy, "none") != 0;
	init_state(t);
	event_assign(&t->tick, t->base, -1, EV_PERSIST, on_tick, t);
	event_add(&t->tick, &tick);
	snipe_peer_on(t->peers, SNIPE_MSG_RETRY_ASK, snipe_caller_on_retry_ask, t);
	t->outside = snipe_http_listen(t->base, &t->settings->caller_listen, "callers",
				       on_outside_request, t, &t->address, err);
	if (t->outside)
		t->local = snipe_http_listen(t->base, &t->settings->local_listen, "local",
					     on_local_request, t, &t->local_address, err);
	if (!t->local) {
		snipe_caller_task_free(t);
		return NULL;
	}
	return t;
}

void snipe_caller_task_free(struct snipe_caller_task *t)
{
	while (!LIST_EMPTY(&t->calls))
		snipe_call_abandon(LIST_FIRST(&t->calls));
	if (t->outside)
		evhttp_free(t->outside);
	if (t->local)
		evhttp_free(t->local);
	snipe_peer_on(t->peers, SNIPE_MSG_RETRY_ASK, NULL, NULL);
	event_del(&t->tick);
	snipe_mailbox_finish(&t->box);
	g_hash_table_destroy(t->claim_waits);
	g_hash_table_destroy(t->token_queues);
	snipe_quota_cache_finish(&t->quota);
	snipe_retry_ledger_finish(&t->ledger);
	snipe_server_table_finish(&t->servers);
	g_hash_table_destroy(t->routes);
	g_free(t->route_states);
	snipe_snapshot_unref(t->snapshot);
	g_rand_free(t->rng);
	g_free(t);
}

struct snipe_mailbox *snipe_caller_task_mailbox(struct snipe_caller_task *t)
{
	return &t->box;
}

void snipe_caller_task_set_control(struct snipe_caller_task *t, struct snipe_mailbox *control)
{
	t->control = control;
}

const struct snipe_address *snipe_caller_task_address(const struct snipe_caller_task *t)
{
	return &t->address;
}

const struct snipe_address *snipe_caller_task_local_address(const struct snipe_caller_task *t)
{
	return &t->local_address;
}

int snipe_caller_task_in_flight(const struct snipe_caller_task *t)
{
	return t->in_flight;
}

static void dump_routes(const struct snipe_caller_task *t, struct snipe_buffer *out)
{
	GHashTableIter it;
	gpointer name, value;
	int n = 0;

	g_hash_table_iter_init(&it, t->routes);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const struct snipe_route_state *r = value;

		snipe_buffer_printf(out, "%s\"%s\":{\"calls\":%lld,\"retries\":%lld}",
				    n++ ? "," : "", (const char *)name, (long long)r->calls,
				    (long long)r->retries);
	}
}

void snipe_caller_task_dump(const struct snipe_caller_task *t, struct snipe_buffer *out)
{
	snipe_buffer_printf(out,
			    "{\"in_flight\":%d,\"draining\":%s,\"valid_for_ms\":%lld,"
			    "\"routes\":{",
			    t->in_flight, t->is_draining ? "true" : "false",
			    (long long)((t->valid_until_us - snipe_now_us()) / 1000));
	dump_routes(t, out);
	snipe_buffer_printf(out, "},\"backend_servers\":");
	snipe_server_table_dump(&t->servers, snipe_now_us(), out);
	snipe_buffer_printf(out, ",\"rejections\":");
	snipe_rejection_log_dump(&t->rejections, out);
	snipe_buffer_printf(out, "}");
}
