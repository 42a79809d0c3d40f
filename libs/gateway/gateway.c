#include "gateway/gateway.h"

#include <event2/event.h>
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "base/clock.h"
#include "base/counters.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/memory_limit.h"
#include "core/loop_lag.h"
#include "core/era_watch.h"
#include "core/stop_schedule.h"
#include "gateway/cost_log.h"
#include "gateway/crash_log.h"
#include "gateway/departure_exchange.h"
#include "gateway/departure_log.h"
#include "gateway/directory.h"
#include "gateway/entry.h"
#include "gateway/gate.h"
#include "gateway/suspect_log.h"
#include "gateway/sync.h"
#include "h1/server.h"
#include "node/peer_task.h"

/* Requests cleared of suspicion are reported for this long, since reports can be lost. */
#define CLEARED_REPORT_US 3000000
/* Interval at which a report includes one suspect request: reports have little room beside the
 * rates, and other nodes report it as well. */
#define SUSPECT_REPORT_INTERVAL_US 1000000
/* Interval of the steps of a stop and of log flushes; short compared to the times above. */
#define TICK_US 100000
/* After a lag above the first value, the next tick is due after the second: the lag is taken
 * off the time left of requests, and may have ended. */
#define LAG_RECHECK_US 50000
#define LAG_RECHECK_INTERVAL_US 5000
/* Interval of the log lines of a loop that is late. */
#define LATE_LOG_INTERVAL_US 1000000
/* Interval of checks of the settings file: changes must take effect within two seconds. */
#define SETTINGS_CHECK_INTERVAL_US 1000000
/* Limits on announcements and on readiness and metrics requests, which are small and arrive
 * every few seconds. */
#define ADMIN_HEAD_BYTES (16 * 1024)
#define ADMIN_BODY_BYTES (64 * 1024)
#define ADMIN_IDLE_TIMEOUT_US 60000000
#define ADMIN_MAX_CONNECTIONS 16
/* Part of the process's memory that may be held for clients, servers and other nodes. The rest
 * is for the node itself, for copies within one turn of the loop, and for what the allocator
 * cannot give back. */
#define HELD_MEMORY_RATIO 0.4
/* Interval of the log lines about a lack of memory. */
#define MEMORY_LOG_INTERVAL_US 1000000
#define HEAD_TIMEOUT_US 3000000

struct gateway {
	struct snipe_gateway_settings settings;
	const struct snipe_gateway_host *host;
	struct event_base *base;
	struct snipe_counters counters;
	struct snipe_crash_guard guard;
	struct snipe_call_profile profile;
	struct snipe_route_costs costs;
	struct snipe_peer_task peers;
	int has_peers;
	struct snipe_directory directory;
	struct snipe_object_store *store;
	struct snipe_entry entry;
	struct snipe_gate gate;
	struct snipe_sync sync;
	struct snipe_departure_log departures;
	int are_departures_read; /* the store's record of earlier processes, in its present era
				  */
	struct snipe_era_watch era;
	struct snipe_departure_exchange exchange;
	struct snipe_suspect_log suspects;
	struct snipe_cost_log cost_log;
	GPtrArray *pending_announcements; /* of departures that a kill could still undo */
	struct snipe_h1_server ready, admin, metrics;
	struct snipe_memory_limit memory;
	struct event *memory_exceeded;
	int64_t memory_logged_us;
	uint64_t memory_logged_count; /* given up until then */
	struct event *sigterm, *sigint, *sighup, *tick;
	struct snipe_loop_lag lag;
	struct load {
		uint64_t accepted; /* connections of clients */
		int64_t requests, rejected;
		int64_t accept_us, read_us, answer_us, gate_us; /* processor time */
	} logged;	   /* as of the last log line of a late loop */
	int64_t logged_us; /* when that was */
	int busy_reports, busy_logs, count_rejected_announcements;
	struct snipe_routing *routing;
	struct snipe_stop_schedule stop;
	int64_t settings_revision, settings_checked_us;
	int64_t suspects_reported_us;
	int was_ready;
};

static int is_ready(const struct gateway *g)
{
	return !snipe_stop_schedule_has_begun(&g->stop) && g->routing &&
	       snipe_entry_has_confirmed_tables(&g->entry, snipe_now_us());
}

static void respond_text(struct snipe_h1_request *req, int status, const char *type,
			 const char *text, size_t len)
{
	struct snipe_h1_header header = {{"Content-Type", 12}, {type, strlen(type)}};
	struct snipe_h1_response r = {
		.status = status,
		.headers = &header,
		.header_count = 1,
		.body = text,
		.body_len = len,
		.is_head = req->message.method == HTTP_HEAD,
	};

	snipe_h1_respond(req, &r);
}

static int is_get(struct snipe_h1_request *req, const char *path)
{
	return req->message.method == HTTP_GET &&
	       strcmp(snipe_buffer_str(&req->message.url), path) == 0;
}

static void on_ready_request(void *arg, struct snipe_h1_request *req)
{
	struct gateway *g = arg;

	if (!is_get(req, g->host->dialect->ready_path))
		respond_text(req, 404, "text/plain", "not found\n", 10);
	else if (is_ready(g))
		respond_text(req, 200, "text/plain", "ready\n", 6);
	else
		respond_text(req, 503, "text/plain", "not ready\n", 10);
}

static void print_quantiles(const struct snipe_histogram *h, const char *name,
			    struct snipe_buffer *out)
{
	static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};

	snipe_buffer_printf(out, "# TYPE snipescale_%s_us summary\n", name);
	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		snipe_buffer_printf(
			out, "snipescale_%s_us{quantile=\"%g\"} %llu\n", name, quantiles[i],
			(unsigned long long)snipe_histogram_quantile(h, quantiles[i]));
	snipe_buffer_printf(out, "snipescale_%s_us_sum %llu\nsnipescale_%s_us_count %llu\n",
			    name, (unsigned long long)h->sum, name,
			    (unsigned long long)h->total);
}

static void print_link_counts(const struct snipe_link_counts *c, struct snipe_buffer *out)
{
	snipe_buffer_printf(out,
			    "snipescale_links_suspected_total %llu\n"
			    "snipescale_links_resumed_total %llu\n"
			    "snipescale_link_messages_resent_total %llu\n"
			    "snipescale_links_ended_with_requests_total %llu\n",
			    (unsigned long long)c->suspected, (unsigned long long)c->resumed,
			    (unsigned long long)c->resent, (unsigned long long)c->ended);
}

static void print_client_connections(const struct snipe_h1_server *s, struct snipe_buffer *out)
{
	snipe_buffer_printf(out,
			    "snipescale_client_connections %d\n"
			    "snipescale_client_connections_max %d\n"
			    "snipescale_client_connections_accepted_total %llu\n"
			    "snipescale_client_connections_closed_idle_total %llu\n"
			    "snipescale_client_requests_timed_out_total %llu\n"
			    "snipescale_client_accept_us_total %lld\n"
			    "snipescale_client_read_us_total %lld\n",
			    s->connection_count, s->limits.max_connections,
			    (unsigned long long)s->accepted_count,
			    (unsigned long long)s->closed_idle_count,
			    (unsigned long long)s->timed_out_count,
			    (long long)s->accept_time_us, (long long)s->read_time_us);
}

static void print_memory(const struct snipe_memory_limit *l, struct snipe_buffer *out)
{
	snipe_buffer_printf(out,
			    "snipescale_held_bytes %zu\n"
			    "snipescale_held_bytes_max %zu\n"
			    "snipescale_held_given_up_total %llu\n",
			    l->account.held, l->account.limit, (unsigned long long)l->given_up);
}

static void print_metrics(struct gateway *g, struct snipe_buffer *out)
{
	print_client_connections(&g->entry.server, out);
	print_memory(&g->memory, out);
	snipe_counters_print(&g->counters, out);
	print_quantiles(&g->entry.latency, "request_latency", out);
	print_quantiles(&g->lag.lags_us, "event_loop_lag", out);
	print_quantiles(&g->gate.wait_time_us, "gate_wait", out);
	print_quantiles(&g->gate.run_time_us, "gate_run", out);
	print_link_counts(snipe_peer_link_counts(&g->peers), out);
}

static void print_state(struct gateway *g, struct snipe_buffer *out)
{
	snipe_buffer_printf(out, "{\"node\":\"%s\",\"ready\":%s,\"stopping\":%s,\"entry\":",
			    g->settings.node_id, is_ready(g) ? "true" : "false",
			    snipe_stop_schedule_has_begun(&g->stop) ? "true" : "false");
	snipe_entry_dump(&g->entry, out);
	snipe_buffer_printf(out, ",\"gate\":");
	snipe_gate_dump(&g->gate, out);
	snipe_buffer_printf(out, ",\"nodes\":");
	snipe_directory_dump(&g->directory, out);
	snipe_buffer_printf(out, "}\n");
}

static void respond_page(struct gateway *g, struct snipe_h1_request *req, const char *type,
			 void (*print)(struct gateway *, struct snipe_buffer *))
{
	struct snipe_buffer out;

	snipe_buffer_init(&out);
	print(g, &out);
	respond_text(req, 200, type, out.data, out.len);
	snipe_buffer_finish(&out);
}

static void acknowledge(struct gateway *g, struct snipe_h1_request *req)
{
	const char *text = g->host->dialect->announcement_reply;

	respond_text(req, 200, "application/json", text, strlen(text));
}

static void acknowledge_pending(struct gateway *g)
{
	while (g->pending_announcements->len > 0)
		acknowledge(g, g_ptr_array_steal_index(g->pending_announcements, 0));
}

/* A departure is acknowledged once later processes of this node are sure to learn of it: from
 * the store, or from other nodes while the store is away. */
static int is_departure_safe(const struct gateway *g)
{
	return !snipe_departure_log_is_writing(&g->departures) ||
	       snipe_departure_exchange_is_copied(&g->exchange);
}

static void defer_acknowledgement(struct gateway *g, struct snipe_h1_request *req)
{
	req->callback_data = g;
	g_ptr_array_add(g->pending_announcements, req);
}

static void note_rejected_announcement(struct gateway *g, int err, const char *reason)
{
	static struct snipe_log_limit limit;
	unsigned suppressed;

	snipe_counters_add(&g->counters, g->count_rejected_announcements, 1);
	if (snipe_log_allow(&limit, snipe_now_us(), SNIPE_LOG_LINES_PER_S, &suppressed))
		snipe_log(SNIPE_LOG_WARNING, "announcement_rejected",
			  "err=%s reason=\"%s\" suppressed=%u", snipe_error_name(err), reason,
			  suppressed);
}

static int announcement_status(int err)
{
	switch (err) {
	case SNIPE_ERR_NOT_FOUND:
		return 404;
	case SNIPE_ERR_CONFLICT:
		return 409;
	default:
		return 400;
	}
}

static void on_server_announcement(struct gateway *g, struct snipe_h1_request *req)
{
	const struct snipe_dialect *d = g->host->dialect;
	struct snipe_server_announcement announcement;
	struct snipe_error_text err = {""};
	int ret = d->ops->decode_announcement(d, &req->message, &announcement, &err);

	if (ret == 0)
		ret = snipe_gate_handle_announcement(&g->gate, &announcement, &err);
	if (ret == 0) {
		if (announcement.state == SNIPE_SERVER_READY || is_departure_safe(g))
			acknowledge(g, req);
		else
			defer_acknowledgement(g, req);
		return;
	}
	if (ret != SNIPE_ERR_NOT_FOUND)
		note_rejected_announcement(g, ret, err.text);
	respond_text(req, announcement_status(ret), "text/plain", err.text, strlen(err.text));
}

/* Responds to a request for metrics or state. Returns 0 if it is another one. */
static int respond_counters(struct gateway *g, struct snipe_h1_request *req)
{
	if (is_get(req, "/metrics"))
		respond_page(g, req, "text/plain; version=0.0.4", print_metrics);
	else if (is_get(req, "/state"))
		respond_page(g, req, "application/json", print_state);
	else
		return 0;
	return 1;
}

static void on_admin_request(void *arg, struct snipe_h1_request *req)
{
	if (!respond_counters(arg, req))
		on_server_announcement(arg, req);
}

static void on_cancelled(void *arg, struct snipe_h1_request *req)
{
	(void)arg;
	(void)req;
}

static void on_announcement_cancelled(void *arg, struct snipe_h1_request *req)
{
	struct gateway *g = arg;

	g_ptr_array_remove(g->pending_announcements, req);
}

static void on_metrics_request(void *arg, struct snipe_h1_request *req)
{
	if (!respond_counters(arg, req))
		respond_text(req, 404, "text/plain", "not found\n", 10);
}

static const struct snipe_h1_server_ops metrics_ops = {on_metrics_request, on_cancelled};
static const struct snipe_h1_server_ops ready_ops = {on_ready_request, on_cancelled};
static const struct snipe_h1_server_ops admin_ops = {on_admin_request,
						     on_announcement_cancelled};

static void on_newer_tables(void *arg, const struct snipe_address *from, uint64_t version)
{
	struct gateway *g = arg;

	snipe_sync_fetch_if_newer(&g->sync, from, version);
}

static void report_suspects(struct gateway *g, int64_t now_us, struct snipe_node_report *report)
{
	int room = SNIPE_REPORT_MAX_STRIKES - report->strike_count;

	if (now_us - g->suspects_reported_us < SUSPECT_REPORT_INTERVAL_US)
		return;
	g->suspects_reported_us = now_us;
	report->strike_count += snipe_crash_guard_list_strikes(
		&g->guard, now_us, report->strikes + report->strike_count,
		MIN(room, SNIPE_CRASH_MAX_REPORTED_STRIKES));
}

/* A record that the store does not have may be one that it has lost, unless its era is old. */
static void update_departures_known(struct gateway *g)
{
	int64_t now = snipe_now_us();

	snipe_era_watch_see(&g->era, now, g->store->ops->era(g->store));
	if (g->are_departures_read && snipe_era_watch_is_settled(&g->era, now))
		snipe_gate_set_departures_known(&g->gate);
}

static void fill_report(struct gateway *g, int64_t now_us, struct snipe_node_report *report)
{
	if (g->store)
		snipe_era_watch_see(&g->era, now_us, g->store->ops->era(g->store));
	report->store_era = g->era.era;
	report->is_era_settled = snipe_era_watch_is_settled(&g->era, now_us);

	g->entry.quota.interval_us = snipe_directory_interval_us(&g->directory);
	report->routing_version = g->routing ? g->routing->version : 0;
	snipe_gate_fill_report(&g->gate, now_us, report);
	snipe_entry_fill_report(&g->entry, now_us, report);
	if (snipe_gate_has_unreported_strikes(&g->gate, now_us))
		snipe_directory_publish(&g->directory);
	report_suspects(g, now_us, report);
	report->cleared_count =
		snipe_crash_guard_list_cleared(&g->guard, now_us - CLEARED_REPORT_US,
					       report->cleared, SNIPE_CRASH_MAX_CLEARED);
	report->quota_count = snipe_fleet_quota_make_report(
		&g->entry.quota, now_us, report->quotas, SNIPE_REPORT_MAX_QUOTAS);
}

static void count_busy(struct gateway *g, int counter, int64_t since_us)
{
	snipe_counters_add(&g->counters, counter, snipe_now_us() - since_us);
}

static void on_fill_report(void *arg, int64_t now_us, struct snipe_node_report *report)
{
	struct gateway *g = arg;

	fill_report(g, now_us, report);
	count_busy(g, g->busy_reports, now_us);
}

static void apply_report(struct gateway *g, int64_t now_us, const struct snipe_node_report *r)
{
	snipe_fleet_quota_on_report(&g->entry.quota, now_us, snipe_hash64_str(r->node_id),
				    r->process, r->quotas, r->quota_count);
	for (int i = 0; i < r->strike_count; i++)
		if (snipe_crash_guard_record_reported_strike(&g->guard, now_us, &r->strikes[i]))
			snipe_crash_log_strike(&g->guard, r->strikes[i].fingerprint,
					       r->strikes[i].crash_id, r->node_id);
	for (int i = 0; i < r->cleared_count; i++)
		if (snipe_crash_guard_clear(&g->guard, r->cleared[i]))
			snipe_crash_log_cleared(r->cleared[i], r->node_id);
	if (snipe_era_watch_hear(&g->era, r->store_era, r->is_era_settled))
		snipe_departure_log_check(&g->departures);
	else if (!g->gate.are_departures_known)
		update_departures_known(g);
}

static void on_reported(void *arg, int64_t now_us, const struct snipe_node_report *r)
{
	struct gateway *g = arg;

	apply_report(g, now_us, r);
	snipe_departure_exchange_on_report(&g->exchange, now_us, r);
	count_busy(g, g->busy_reports, now_us);
}

static void on_noticed(void *arg, const struct snipe_address *from,
		       const struct snipe_departure_notice *notice)
{
	struct gateway *g = arg;

	snipe_departure_exchange_on_notice(&g->exchange, from, notice);
}

static void on_fill_confirm(void *arg, int64_t now_us, uint64_t *routing_version,
			    int64_t *age_us)
{
	struct gateway *g = arg;

	*routing_version = g->routing ? g->routing->version : 0;
	*age_us = g->entry.confirmed_us ? now_us - g->entry.confirmed_us : -1;
}

/* If the other node has newer tables, fetches them instead of confirming its own. */
static void on_peer_confirmed(void *arg, const struct snipe_address *from,
			      uint64_t routing_version, int64_t confirmed_us)
{
	struct gateway *g = arg;

	if (g->routing && routing_version <= g->routing->version)
		snipe_entry_confirm_tables(&g->entry, confirmed_us);
	else
		snipe_sync_fetch_if_newer(&g->sync, from, routing_version);
}

static const struct snipe_directory_ops directory_ops = {
	.newer_tables = on_newer_tables,
	.fill_report = on_fill_report,
	.fill_confirm = on_fill_confirm,
	.confirmed = on_peer_confirmed,
	.reported = on_reported,
	.noticed = on_noticed,
};

static void on_tables(void *arg, struct snipe_routing *routing)
{
	struct gateway *g = arg;
	const struct snipe_gateway_service *service =
		snipe_routing_find_service(routing, g->settings.service);

	snipe_routing_unref(g->routing);
	g->routing = snipe_routing_ref(routing);
	snipe_entry_set_routing(&g->entry, routing);
	snipe_gate_set_max_connections(&g->gate, service ? service->max_connections : 0);
	snipe_directory_publish(&g->directory);
}

static void on_confirmed(void *arg, int64_t sent_us)
{
	struct gateway *g = arg;

	snipe_entry_confirm_tables(&g->entry, sent_us);
}

static int64_t on_confirmed_us(void *arg)
{
	struct gateway *g = arg;

	return g->entry.confirmed_us;
}

static void on_gate_changed(void *arg)
{
	struct gateway *g = arg;

	snipe_directory_publish(&g->directory);
}

static void record_departure(struct gateway *g, const struct snipe_departure *d)
{
	snipe_departure_exchange_begin(&g->exchange, d);
	snipe_departure_log_record(&g->departures, d);
}

static void on_gate_departed(void *arg, const struct snipe_departure *d)
{
	record_departure(arg, d);
}

static void on_departure_restored(void *arg, const struct snipe_departure *d)
{
	struct gateway *g = arg;

	/* An earlier departure that another node returned may wait to be written. */
	if (snipe_gate_restore_departure(&g->gate, d) &&
	    snipe_departure_log_is_writing(&g->departures))
		record_departure(g, d);
}

static void on_departures_known(void *arg)
{
	struct gateway *g = arg;

	g->are_departures_read = 1;
	update_departures_known(g);
}

static void on_departure_returned(void *arg, const struct snipe_departure *d)
{
	struct gateway *g = arg;

	if (!snipe_gate_restore_departure(&g->gate, d))
		return;
	snipe_log(SNIPE_LOG_INFO, "departure_returned",
		  "server=%s started_ms=%lld sequence=%llu", d->server_id,
		  (long long)d->started_ms, (unsigned long long)d->sequence);
	record_departure(g, d);
}

static void on_departure_written(void *arg)
{
	struct gateway *g = arg;

	snipe_departure_exchange_stored(&g->exchange);
	acknowledge_pending(g);
}

static void on_departure_copied(void *arg)
{
	struct gateway *g = arg;

	if (g->pending_announcements->len == 0)
		return;
	snipe_log(SNIPE_LOG_WARNING, "departure_acknowledged_before_stored",
		  "announcements=%u copies=%d store_failures=%d", g->pending_announcements->len,
		  snipe_departure_exchange_copy_count(&g->exchange),
		  g->departures.object.failures);
	acknowledge_pending(g);
}

static void begin_stop(struct gateway *g, const char *cause)
{
	if (!snipe_stop_schedule_begin(&g->stop, snipe_now_us(), g->settings.stop_grace_us))
		return;
	snipe_log(SNIPE_LOG_INFO, "stop_started", "cause=%s requests=%d gate_calls=%d", cause,
		  snipe_entry_in_flight(&g->entry), snipe_gate_in_flight(&g->gate));
	snipe_h1_server_close_gracefully(&g->entry.server);
}

static void on_stop_signal(evutil_socket_t sig, short what, void *arg)
{
	(void)what;
	begin_stop(arg, sig == SIGTERM ? "sigterm" : "sigint");
}

/* Part of the process's memory that may be held for others; 0: no limit. */
static size_t max_held_bytes(const struct snipe_gateway_settings *s)
{
	return (size_t)(HELD_MEMORY_RATIO * (double)s->max_memory_bytes);
}

/* Applies the settings that can change while the node runs. */
static void reload(struct gateway *g, const char *cause)
{
	struct snipe_gateway_settings s = g->settings;
	struct snipe_error_text err = {""};
	int ret = g->host->reload(g->host->arg, &s, &err);

	if (ret < 0) {
		snipe_log(SNIPE_LOG_ERROR, "settings_rejected", "cause=%s err=\"%s\"", cause,
			  err.text);
		return;
	}
	if (!snipe_address_equal(&s.store, &g->settings.store))
		g->host->move_store(g->host->arg, &s.store);
	if (!snipe_address_equal(&s.caller_listen, &g->settings.caller_listen) ||
	    !snipe_address_equal(&s.peer_listen, &g->settings.peer_listen) ||
	    !snipe_address_equal(&s.backend_server, &g->settings.backend_server) ||
	    strcmp(s.service, g->settings.service) != 0)
		snipe_log(SNIPE_LOG_WARNING, "settings_need_restart",
			  "cause=%s remedy=\"restart the node to use its new addresses\"",
			  cause);
	g->settings.store = s.store;
	g->settings.announce_interval_us = s.announce_interval_us;
	g->settings.key_revocation_us = s.key_revocation_us;
	g->settings.stop_grace_us = s.stop_grace_us;
	snipe_stop_schedule_set_grace(&g->stop, s.stop_grace_us);
	g->settings.retry_ratio = s.retry_ratio;
	g->settings.retry_slack = s.retry_slack;
	g->settings.max_memory_bytes = s.max_memory_bytes;
	g->memory.account.limit = max_held_bytes(&s);
	snipe_log(SNIPE_LOG_INFO, "settings_reloaded", "cause=%s", cause);
}

static void on_reload_signal(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	reload(arg, "sighup");
}

static void check_settings(struct gateway *g, int64_t now)
{
	int64_t stamp;

	if (now - g->settings_checked_us < SETTINGS_CHECK_INTERVAL_US)
		return;
	g->settings_checked_us = now;
	stamp = g->host->settings_revision(g->host->arg);
	if (stamp == g->settings_revision)
		return;
	g->settings_revision = stamp;
	reload(g, "file_changed");
}

static int is_idle(const struct gateway *g)
{
	return snipe_entry_in_flight(&g->entry) == 0 && snipe_gate_in_flight(&g->gate) == 0 &&
	       !snipe_h1_server_is_busy(&g->entry.server);
}

static void continue_stop(struct gateway *g, int64_t now)
{
	if (snipe_stop_schedule_rejects_calls(&g->stop, now) && !g->gate.is_stopping)
		snipe_gate_stop(&g->gate);
	if (snipe_stop_schedule_closes_idle(&g->stop, now))
		snipe_h1_server_close_idle(&g->entry.server);
	if (snipe_stop_schedule_is_last_answer(&g->stop, now))
		snipe_entry_answer_all(&g->entry);
	else if (snipe_stop_schedule_is_ending(&g->stop, now))
		snipe_entry_answer_blocking(&g->entry);
	if (snipe_stop_schedule_is_over(&g->stop, now, is_idle(g)))
		event_base_loopbreak(g->base);
}

static void flush_log(struct gateway *g)
{
	int64_t start = snipe_now_us();

	snipe_log_flush();
	count_busy(g, g->busy_logs, start);
}

static struct load current_load(const struct gateway *g)
{
	const struct snipe_counters *c = &g->counters;
	const struct snipe_entry *e = &g->entry;

	return (struct load){
		.accepted = e->server.accepted_count,
		.requests = snipe_counters_value(c, e->count_requests),
		.rejected = snipe_counters_value(c, e->count_rejected),
		.accept_us = e->server.accept_time_us,
		.read_us = e->server.read_time_us,
		.answer_us = snipe_counters_value(c, e->busy_answered),
		.gate_us = snipe_counters_value(c, g->gate.busy_calls),
	};
}

static void log_late_load(const struct load *load, const struct load *last, int64_t lag_us,
			  int64_t since_us, int connections)
{
	snipe_log(SNIPE_LOG_WARNING, "event_loop_late",
		  "lag_ms=%lld since_ms=%lld connections=%d accepted=%llu requests=%lld "
		  "rejected=%lld accept_ms=%lld read_ms=%lld answer_ms=%lld gate_ms=%lld",
		  (long long)(lag_us / 1000), (long long)(since_us / 1000), connections,
		  (unsigned long long)(load->accepted - last->accepted),
		  (long long)(load->requests - last->requests),
		  (long long)(load->rejected - last->rejected),
		  (long long)((load->accept_us - last->accept_us) / 1000),
		  (long long)((load->read_us - last->read_us) / 1000),
		  (long long)((load->answer_us - last->answer_us) / 1000),
		  (long long)((load->gate_us - last->gate_us) / 1000));
}

/* Logs what the node worked on since the last line, if its loop was late. */
static void log_late_loop(struct gateway *g, int64_t now)
{
	struct load load, *last = &g->logged;
	int64_t since = now - g->logged_us, peak;

	if (since < LATE_LOG_INTERVAL_US)
		return;
	load = current_load(g);
	peak = snipe_loop_lag_take_peak(&g->lag);
	if (peak >= SNIPE_LOOP_LATE_US)
		log_late_load(&load, last, peak, since, g->entry.server.connection_count);
	*last = load;
	g->logged_us = now;
}

static void schedule_tick(struct gateway *g)
{
	int64_t interval = g->lag.lag_us > LAG_RECHECK_US ? LAG_RECHECK_INTERVAL_US : TICK_US;
	struct timeval tv = snipe_timeval(interval);

	snipe_loop_lag_schedule(&g->lag, snipe_now_us() + interval);
	event_add(g->tick, &tv);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct gateway *g = arg;
	int64_t now = snipe_now_us();
	int ready = is_ready(g);

	(void)fd;
	(void)what;
	snipe_loop_lag_probe(&g->lag, now);
	log_late_loop(g, now);
	if (ready != g->was_ready)
		snipe_log(SNIPE_LOG_INFO, "readiness_changed",
			  "ready=%d stopping=%d tables=%llx "
			  "confirmed_age_ms=%lld",
			  ready, snipe_stop_schedule_has_begun(&g->stop),
			  (unsigned long long)(g->routing ? g->routing->version : 0),
			  (long long)((now - g->entry.confirmed_us) / 1000));
	g->was_ready = ready;
	snipe_counters_set(&g->counters, g->entry.gauge_in_flight, g->entry.in_flight);
	snipe_suspect_log_update(&g->suspects);
	if (snipe_cost_log_is_due(&g->cost_log, now))
		snipe_cost_log_update(
			&g->cost_log, now,
			snipe_directory_rank(&g->directory,
					     snipe_hash64_str(SNIPE_COST_LOG_NAME)));
	snipe_entry_update_chain_limit(&g->entry);
	if (snipe_stop_schedule_has_begun(&g->stop))
		continue_stop(g, now);
	else
		check_settings(g, now);
	flush_log(g);
	schedule_tick(g);
}

static void on_memory_exceeded(void *arg)
{
	struct gateway *g = arg;

	event_active(g->memory_exceeded, 0, 0);
}

static void enforce_memory_limit(evutil_socket_t fd, short what, void *arg)
{
	struct gateway *g = arg;
	int64_t now = snipe_now_us();
	size_t before = g->memory.account.held;

	(void)fd;
	(void)what;
	snipe_memory_limit_enforce(&g->memory, now);
	if (now - g->memory_logged_us < MEMORY_LOG_INTERVAL_US)
		return;
	snipe_log(SNIPE_LOG_WARNING, "memory_limit_reached",
		  "held=%zu before=%zu limit=%zu given_up=%llu connections=%d",
		  g->memory.account.held, before, g->memory.account.limit,
		  (unsigned long long)(g->memory.given_up - g->memory_logged_count),
		  g->entry.server.connection_count);
	g->memory_logged_us = now;
	g->memory_logged_count = g->memory.given_up;
}

static void init_memory(struct gateway *g)
{
	g->memory_exceeded = event_new(g->base, -1, 0, enforce_memory_limit, g);
	snipe_memory_limit_init(&g->memory, max_held_bytes(&g->settings), on_memory_exceeded,
				g);
}

static int init_servers(struct gateway *g, struct snipe_error_text *err)
{
	static const struct snipe_h1_limits limits = {
		.max_head_bytes = ADMIN_HEAD_BYTES,
		.max_body_bytes = ADMIN_BODY_BYTES,
		.head_timeout_us = HEAD_TIMEOUT_US,
		.idle_timeout_us = ADMIN_IDLE_TIMEOUT_US,
		.max_connections = ADMIN_MAX_CONNECTIONS,
	};
	int ret = snipe_h1_server_init(&g->ready, g->base, &g->settings.ready_listen,
				       "readiness checks", &ready_ops, g, err);

	if (ret == 0)
		ret = snipe_h1_server_init(&g->admin, g->base, &g->settings.admin_listen,
					   "announcements", &admin_ops, g, err);
	if (ret == 0)
		ret = snipe_h1_server_init(&g->metrics, g->base, &g->settings.metrics_listen,
					   "counters", &metrics_ops, g, err);
	g->ready.limits = g->admin.limits = g->metrics.limits = limits;
	snipe_h1_server_set_memory_limit(&g->ready, &g->memory);
	snipe_h1_server_set_memory_limit(&g->admin, &g->memory);
	snipe_h1_server_set_memory_limit(&g->metrics, &g->memory);
	return ret;
}

static int init_peers(struct gateway *g, uint64_t process, struct snipe_error_text *err)
{
	struct snipe_peer_config config = {
		.base = g->base,
		.listen = g->settings.peer_listen,
		.node_id = g->settings.node_id,
		.process = process,
		.secret = "",
		.memory = &g->memory,
	};
	int ret = snipe_peer_task_init(&g->peers, &config, err);

	g->has_peers = ret == 0;
	if (ret == 0)
		ret = snipe_directory_init(&g->directory, g->base, &g->settings, process,
					   &directory_ops, g, err);
	return ret;
}

static int init_call_path(struct gateway *g, struct snipe_error_text *err)
{
	struct snipe_gate_config gate = {
		.base = g->base,
		.settings = &g->settings,
		.dialect = g->host->dialect,
		.peers = &g->peers,
		.counters = &g->counters,
		.guard = &g->guard,
		.profile = &g->profile,
		.memory = &g->memory,
		.changed = on_gate_changed,
		.departed = on_gate_departed,
		.arg = g,
	};
	struct snipe_entry_config entry = {
		.base = g->base,
		.settings = &g->settings,
		.dialect = g->host->dialect,
		.peers = &g->peers,
		.directory = &g->directory,
		.guard = &g->guard,
		.profile = &g->profile,
		.costs = &g->costs,
		.counters = &g->counters,
		.lag = &g->lag,
		.stop = &g->stop,
		.memory = &g->memory,
	};

	snipe_gate_init(&g->gate, &gate);
	return snipe_entry_init(&g->entry, &entry, err);
}

static void init_sync(struct gateway *g)
{
	struct snipe_sync_config config = {
		.base = g->base,
		.settings = &g->settings,
		.dialect = g->host->dialect,
		.peers = &g->peers,
		.directory = &g->directory,
		.counters = &g->counters,
		.tables_loaded = on_tables,
		.confirmed = on_confirmed,
		.confirmed_us = on_confirmed_us,
		.arg = g,
	};

	g->store = g->host->open_store(g->host->arg, g->base, &g->settings.store);
	config.store = g->store;
	snipe_sync_init(&g->sync, &config);
}

static void init_departures(struct gateway *g)
{
	struct snipe_departure_log_config config = {
		.object =
			{
				.base = g->base,
				.store = g->store,
				.kind = g->host->dialect->departures_kind,
				.name = g->settings.node_id,
				.is_first_start = g->settings.is_first_start,
			},
		.restored = on_departure_restored,
		.known = on_departures_known,
		.written = on_departure_written,
		.arg = g,
	};

	if (g->settings.is_first_start)
		snipe_gate_set_departures_known(&g->gate);
	snipe_departure_log_init(&g->departures, &config);
}

static void init_exchange(struct gateway *g, uint64_t process)
{
	struct snipe_departure_exchange_config config = {
		.base = g->base,
		.directory = &g->directory,
		.node_id = g->settings.node_id,
		.process = process,
		.copied = on_departure_copied,
		.returned = on_departure_returned,
		.arg = g,
	};

	snipe_departure_exchange_init(&g->exchange, &config);
}

static void init_suspects(struct gateway *g)
{
	struct snipe_kept_object_config config = {
		.base = g->base,
		.store = g->store,
		.kind = g->host->dialect->suspects_kind,
		.name = SNIPE_SUSPECT_LOG_NAME,
		.is_first_start = g->settings.is_first_start,
	};

	snipe_suspect_log_init(&g->suspects, &g->guard, &config);
}

static void init_cost_log(struct gateway *g)
{
	struct snipe_kept_object_config config = {
		.base = g->base,
		.store = g->store,
		.kind = g->host->dialect->costs_kind,
		.name = SNIPE_COST_LOG_NAME,
		.is_first_start = g->settings.is_first_start,
	};

	snipe_cost_log_init(&g->cost_log, &g->costs, &config);
}

static void finish(struct gateway *g)
{
	snipe_cost_log_finish(&g->cost_log);
	snipe_suspect_log_finish(&g->suspects);
	snipe_departure_log_finish(&g->departures);
	snipe_departure_exchange_finish(&g->exchange);
	snipe_sync_finish(&g->sync);
	snipe_entry_finish(&g->entry);
	snipe_gate_finish(&g->gate);
	snipe_h1_server_finish(&g->metrics);
	snipe_h1_server_finish(&g->admin);
	snipe_h1_server_finish(&g->ready);
	snipe_directory_finish(&g->directory);
	if (g->store)
		g->store->ops->finish(g->store);
	if (g->has_peers)
		snipe_peer_task_finish(&g->peers);
	snipe_routing_unref(g->routing);
	snipe_route_costs_finish(&g->costs);
	event_free(g->memory_exceeded);
}

static struct event *add_signal(struct gateway *g, int sig, event_callback_fn cb)
{
	struct event *e = evsignal_new(g->base, sig, cb, g);

	event_add(e, NULL);
	return e;
}

static void run_loop(struct gateway *g)
{
	signal(SIGPIPE, SIG_IGN);
	g->sigterm = add_signal(g, SIGTERM, on_stop_signal);
	g->sigint = add_signal(g, SIGINT, on_stop_signal);
	g->sighup = add_signal(g, SIGHUP, on_reload_signal);
	g->tick = event_new(g->base, -1, 0, on_tick, g);
	g->logged_us = snipe_now_us();
	schedule_tick(g);
	event_base_dispatch(g->base);
	event_free(g->tick);
	event_free(g->sighup);
	event_free(g->sigint);
	event_free(g->sigterm);
}

int snipe_gateway_run(const struct snipe_gateway_settings *settings,
		      const struct snipe_gateway_host *host, struct snipe_error_text *err)
{
	struct gateway *g = g_new0(struct gateway, 1);
	uint64_t process = (uint64_t)snipe_wall_ms();
	char callers[SNIPE_ADDRESS_TEXT_SIZE];
	int ret;

	g->settings = *settings;
	g->host = host;
	g->base = event_base_new();
	g->pending_announcements = g_ptr_array_new();
	snipe_counters_init(&g->counters);
	snipe_loop_lag_init(&g->lag);
	g->count_rejected_announcements =
		snipe_counters_get(&g->counters, "announcements_rejected_total", "");
	g->busy_reports = snipe_counters_get(&g->counters, "busy_us_total", "work=\"report\"");
	g->busy_logs = snipe_counters_get(&g->counters, "busy_us_total", "work=\"log\"");
	snipe_crash_guard_init(&g->guard);
	snipe_call_profile_init(&g->profile, snipe_now_us());
	snipe_route_costs_init(&g->costs);
	g->settings_revision = host->settings_revision(host->arg);
	init_memory(g);
	ret = init_peers(g, process, err);
	if (ret == 0)
		ret = init_call_path(g, err);
	if (ret == 0)
		ret = init_servers(g, err);
	if (ret == 0) {
		snipe_address_format(&settings->caller_listen, callers);
		snipe_log(SNIPE_LOG_INFO, "started",
			  "node=%s process=%llu failure_domain=%s service=%s caller_listen=%s "
			  "first_start=%d",
			  settings->node_id, (unsigned long long)process,
			  settings->failure_domain, settings->service, callers,
			  settings->is_first_start);
		init_sync(g);
		init_departures(g);
		init_exchange(g, process);
		init_suspects(g);
		init_cost_log(g);
		run_loop(g);
		snipe_log(SNIPE_LOG_INFO, "stopped", "node=%s requests=%d gate_calls=%d",
			  settings->node_id, snipe_entry_in_flight(&g->entry),
			  snipe_gate_in_flight(&g->gate));
	}
	finish(g);
	g_ptr_array_free(g->pending_announcements, TRUE);
	event_base_free(g->base);
	g_free(g);
	snipe_log_flush();
	return ret;
}
