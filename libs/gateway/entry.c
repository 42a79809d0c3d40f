#include "gateway/entry_state.h"

#include <event2/event.h>
#include <limits.h>
#include <string.h>
#include <sys/resource.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "core/connection_limit.h"
#include "gateway/crash_log.h"
#include "gateway/gate.h"

/* Parts of retry_ratio, the fleet's bound on the retries of a service, for both kinds of retry.
 * Reruns get less: a call that runs again repeats its inner calls, which count as retries at
 * the services below, and chains are up to four levels deep. */
#define RERUN_BUDGET_RATIO 0.12
#define RESEND_BUDGET_RATIO 0.45
/* Part of retry_slack, the bound's fixed allowance, that all nodes together may save up for
 * each kind of retry. */
#define SAVED_TOKENS_RATIO 0.4
/* Long enough for the client's next request to go to another node. */
#define RETRY_AFTER_STOPPING_US 100000
/* Limits until the tables state them. The header size is that of the project's own interface;
 * the times allow for a slow caller. */
#define DEFAULT_MAX_HEAD_BYTES (16 * 1024)
#define DEFAULT_HEAD_TIMEOUT_US 3000000
#define DEFAULT_IDLE_TIMEOUT_US 60000000
/* From this wait on, it is checked whether the client is still connected before a request is
 * sent on. */
#define CLIENT_CHECK_US 50000

static struct snipe_entry_route *find_entry_route(struct snipe_entry *e, const char *name)
{
	struct snipe_entry_route *s = g_hash_table_lookup(e->routes, name);

	if (s)
		return s;
	s = g_new0(struct snipe_entry_route, 1);
	/* Random, so that the entries do not all reject their first request. */
	s->chain_credit = g_rand_double(e->rng);
	snipe_entry_limit_init(&s->limit, snipe_now_us());
	s->cost_handle = snipe_route_costs_handle(e->config.costs, snipe_hash64_str(name));
	g_hash_table_insert(e->routes, g_strdup(name), s);
	return s;
}

/* Most retries of one kind that this node may save up: an equal share of the fleet's. */
static double max_retry_tokens(const struct snipe_entry *e)
{
	return SAVED_TOKENS_RATIO * e->config.settings->retry_slack /
	       snipe_directory_node_count(e->config.directory);
}

static struct snipe_entry_service *find_entry_service(struct snipe_entry *e, const char *name)
{
	struct snipe_entry_service *s = g_hash_table_lookup(e->services, name);
	double ratio = e->config.settings->retry_ratio, max_tokens;

	if (s)
		return s;
	max_tokens = max_retry_tokens(e);
	s = g_new0(struct snipe_entry_service, 1);
	snipe_retry_share_init(&s->rerun_budget, RERUN_BUDGET_RATIO * ratio, max_tokens);
	snipe_retry_share_init(&s->resend_budget, RESEND_BUDGET_RATIO * ratio, max_tokens);
	g_hash_table_insert(e->services, g_strdup(name), s);
	return s;
}

static void free_entry_route(gpointer p)
{
	struct snipe_entry_route *s = p;

	g_free(s->current_weights);
	g_free(s);
}

/* Chooses the service of a route by smooth weighted round robin: each target's current weight
 * grows by its weight, and the chosen target, which has the highest one, loses the sum of the
 * weights. The shares are exact over each full cycle. */
static const char *choose_service(struct snipe_entry_route *s,
				  const struct snipe_gateway_route *r)
{
	char targets[sizeof(s->targets)] = "";
	int sum = 0, best = 0;

	if (r->target_count == 1)
		return r->targets[0].service;
	for (int i = 0; i < r->target_count; i++) {
		g_strlcat(targets, r->targets[i].service, sizeof(targets));
		g_strlcat(targets, " ", sizeof(targets));
	}
	if (s->current_weight_count != r->target_count || strcmp(s->targets, targets) != 0) {
		g_free(s->current_weights);
		s->current_weights = g_new0(int, r->target_count);
		s->current_weight_count = r->target_count;
		memcpy(s->targets, targets, sizeof(targets));
	}
	for (int i = 0; i < r->target_count; i++) {
		s->current_weights[i] += r->targets[i].weight;
		sum += r->targets[i].weight;
		if (s->current_weights[i] > s->current_weights[best])
			best = i;
	}
	s->current_weights[best] -= sum;
	return r->targets[best].service;
}

static struct snipe_entry_call *new_call(struct snipe_entry *e, struct snipe_h1_request *req)
{
	struct snipe_entry_call *call = g_new0(struct snipe_entry_call, 1);
	const char *id =
		snipe_h1_find_value(&req->message, e->config.dialect->headers.request_id);

	call->entry = e;
	call->req = req;
	snipe_buffer_init(&call->saved_failure);
	snipe_buffer_init_charged(&call->saved_failure_body,
				  e->config.memory ? &e->config.memory->account : NULL);
	req->callback_data = call;
	call->workspace = -1;
	call->received_us = snipe_now_us();
	call->waited_us = snipe_loop_lag_now(e->config.lag, call->received_us) +
			  snipe_h1_accept_wait_us(req);
	call->deadline_us = call->received_us;
	call->request_id = id ? id : "";
	snipe_entry_call_init_timers(call);
	LIST_INSERT_HEAD(&e->calls, call, link);
	e->in_flight++;
	return call;
}

/* Each call adds to the retry budgets. Their maximum is an equal share over all known nodes,
 * also those that are unreachable. */
static void count_call(struct snipe_entry *e, struct snipe_entry_service *s)
{
	double max_tokens = max_retry_tokens(e);

	snipe_retry_share_set_max_tokens(&s->rerun_budget, max_tokens);
	snipe_retry_share_set_max_tokens(&s->resend_budget, max_tokens);
	snipe_retry_share_on_call(&s->rerun_budget);
	snipe_retry_share_on_call(&s->resend_budget);
}

/* Admits a suspect request if a trial is due at this node: without trials, a harmless request
 * that many callers send would stay suspect. Returns whether the request was admitted. */
static int start_trial(struct snipe_entry_call *call)
{
	struct snipe_entry *e = call->entry;

	/* The rank is computed over all nodes, and suspect requests may come at a high rate, so
	 * the due time is checked first. */
	call->is_trial = call->received_us >= snipe_crash_guard_trial_due(e->config.guard,
									  call->fingerprint) &&
			 snipe_crash_guard_start_trial(
				 e->config.guard, call->received_us, call->fingerprint,
				 snipe_directory_rank(e->config.directory, call->fingerprint));
	snipe_crash_log_suspect(e->config.guard, call->received_us, call->fingerprint,
				call->request_id, call->is_trial);
	if (call->is_trial)
		snipe_entry_call_log(call, "request_trial_admitted", 0,
				     SNIPE_GATE_CRASH_SUSPECT, 0);
	return call->is_trial;
}

static uint64_t request_fingerprint(const struct snipe_entry_call *call)
{
	const struct snipe_h1_message *m = &call->req->message;
	struct snipe_crash_request r = {
		.host = call->route->host,
		.caller = call->workspace >= 0 ? call->routing->workspaces[call->workspace].name
					       : "",
		.method = http_method_str((enum http_method)m->method),
		.path = snipe_buffer_str(&call->req->message.url),
		.body = m->body.data,
		.body_len = m->body.len,
	};

	return snipe_crash_fingerprint(&r);
}

/* Admits a client request if the services of its call chain can complete it. */
static int admit_chain(struct snipe_entry_call *call)
{
	struct snipe_entry *e = call->entry;
	struct snipe_entry_route *route = call->entry_route;

	call->chain_share = snipe_chain_limit_offer(
		&e->chain_limit, call->received_us, call->deadline_us,
		snipe_entry_call_rank(call), snipe_entry_call_cost(call), &call->bottleneck);
	if (call->chain_share >= 1)
		return 1;
	route->chain_credit += call->chain_share;
	if (route->chain_credit < 1) {
		snipe_counters_add(e->config.counters, e->count_chain_rejected, 1);
		return 0;
	}
	route->chain_credit -= 1;
	return 1;
}

/* Whether nobody waits for the answer any more: the request was in the node, unread, for so
 * long that its deadline has passed or its client may have left. */
static int is_abandoned(const struct snipe_entry_call *call)
{
	return call->deadline_us <= call->received_us ||
	       (call->waited_us > CLIENT_CHECK_US && snipe_h1_is_client_gone(call->req));
}

/* Whether the call can end before a stop does, at the servers that it may run at. */
static int may_end_before_stop(const struct snipe_entry_call *call)
{
	const struct snipe_entry *e = call->entry;
	int64_t now = call->received_us;
	const struct snipe_service_pool *pool;

	if (snipe_stop_schedule_admits_all(e->config.stop, now))
		return 1;
	pool = snipe_directory_pool(e->config.directory, call->service);
	return snipe_entry_call_fits_stop(
		call, now, pool && !snipe_placement_has_warm(&pool->placement, now));
}

/* Sends a request on or answers it. Returns whether it was admitted. */
static int admit_request(struct snipe_entry *e, struct snipe_h1_request *req)
{
	struct snipe_entry_call *call = new_call(e, req);
	struct snipe_entry_error error = snipe_entry_call_check(call);

	snipe_counters_add(e->config.counters, e->count_requests, 1);
	if (error.status) {
		snipe_entry_call_fail(call, &error);
		return 0;
	}
	if (is_abandoned(call)) {
		snipe_counters_add(e->config.counters, e->count_late, 1);
		snipe_entry_call_fail_with(call, 503, "expired_unread", 0);
		return 0;
	}
	call->entry_route = find_entry_route(e, call->route->name);
	call->service = choose_service(call->entry_route, call->route);
	if (!may_end_before_stop(call)) {
		snipe_entry_call_fail_with(call, 503, "stopping", RETRY_AFTER_STOPPING_US);
		return 0;
	}
	call->entry_service = find_entry_service(e, call->service);
	/* Inner calls, which the backend server makes, carry no key. */
	call->is_inner = call->workspace < 0 && call->routing->needs_keys;
	call->fingerprint = request_fingerprint(call);
	count_call(e, call->entry_service);
	if (snipe_crash_guard_is_suspect(e->config.guard, call->received_us,
					 call->fingerprint) &&
	    !start_trial(call)) {
		snipe_entry_call_fail_with(call, 503, SNIPE_GATE_CRASH_SUSPECT, 0);
		return 0;
	}
	if (call->is_inner) {
		snipe_call_profile_call(e->config.profile, call->received_us,
					snipe_hash64_str(call->route->name));
	} else if (!admit_chain(call)) {
		snipe_entry_call_reject_not_run(call, SNIPE_ENTRY_CHAIN_OVERLOADED);
		return 0;
	}
	if (!call->is_inner && !snipe_entry_limit_admit(&call->entry_route->limit)) {
		snipe_entry_call_reject_not_run(call, SNIPE_GATE_OVERLOADED);
		return 0;
	}
	call->is_limited = !call->is_inner;
	snipe_entry_call_start_timer(call);
	snipe_entry_call_start_attempt(call);
	return 1;
}

static void on_request(void *arg, struct snipe_h1_request *req)
{
	struct snipe_entry *e = arg;
	int64_t start = snipe_now_us();
	int is_admitted = admit_request(e, req);

	snipe_counters_add(e->config.counters,
			   is_admitted ? e->busy_admitted : e->busy_rejected,
			   snipe_now_us() - start);
}

static void on_request_cancelled(void *arg, struct snipe_h1_request *req)
{
	struct snipe_entry *e = arg;
	struct snipe_entry_call *call = req->callback_data;

	snipe_entry_call_log(call, "request_cancelled", 0, "caller_left", 0);
	snipe_entry_call_record_time(call);
	snipe_counters_add(e->config.counters, e->count_cancelled, 1);
	snipe_entry_call_free(call);
}

static void init_counters(struct snipe_entry *e)
{
	struct snipe_counters *c = e->config.counters;

	snipe_histogram_init(&e->latency);
	e->count_requests = snipe_counters_get(c, "requests_total", "");
	e->count_served = snipe_counters_get(c, "requests_served_total", "");
	e->count_rejected = snipe_counters_get(c, "requests_refused_total", "");
	e->count_failed = snipe_counters_get(c, "requests_failed_total", "");
	e->count_chain_rejected = snipe_counters_get(c, "requests_chain_rejected_total", "");
	e->count_late = snipe_counters_get(c, "requests_expired_unread_total", "");
	e->count_cancelled = snipe_counters_get(c, "requests_cancelled_total", "");
	e->count_retries = snipe_counters_get(c, "requests_retried_total", "");
	e->gauge_in_flight = snipe_counters_get(c, "requests_in_flight", "");
	e->count_good_samples =
		snipe_counters_get(c, "call_samples_total", "calls=\"succeeded\"");
	e->count_failing_samples =
		snipe_counters_get(c, "call_samples_total", "calls=\"failed\"");
	e->busy_rejected = snipe_counters_get(c, "busy_us_total", "work=\"reject\"");
	e->busy_admitted = snipe_counters_get(c, "busy_us_total", "work=\"admit\"");
	e->busy_answered = snipe_counters_get(c, "busy_us_total", "work=\"answer\"");
}

/* Returns how many descriptors the process may open: the lower one of both limits. */
static int max_descriptors(const struct snipe_gateway_settings *settings)
{
	int most = settings->max_descriptors > 0 ? settings->max_descriptors : INT_MAX;
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < (rlim_t)most)
		most = (int)limit.rlim_cur;
	return most;
}

int snipe_entry_init(struct snipe_entry *e, const struct snipe_entry_config *config,
		     struct snipe_error_text *err)
{
	static const struct snipe_h1_server_ops ops = {on_request, on_request_cancelled};
	struct snipe_connection_limit limit;
	int ret;

	memset(e, 0, sizeof(*e));
	e->config = *config;
	ret = snipe_h1_server_init(&e->server, config->base, &config->settings->caller_listen,
				   "callers", &ops, e, err);
	if (ret < 0)
		return ret;
	if (config->memory)
		snipe_h1_server_set_memory_limit(&e->server, config->memory);
	e->server.limits.max_head_bytes = DEFAULT_MAX_HEAD_BYTES;
	e->server.limits.max_body_bytes = SNIPE_MAX_BODY_BYTES;
	e->server.limits.head_timeout_us = DEFAULT_HEAD_TIMEOUT_US;
	e->server.limits.idle_timeout_us = DEFAULT_IDLE_TIMEOUT_US;
	snipe_connection_limit_init(&limit, max_descriptors(config->settings));
	e->server.limits.max_connections = limit.max;
	e->server.limits.scarce_connections = limit.scarce;
	snipe_fleet_quota_init(&e->quota, snipe_directory_interval_us(config->directory),
			       config->settings->is_first_start);
	snipe_chain_limit_init(&e->chain_limit, snipe_now_us());
	e->routes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry_route);
	e->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->rng = g_rand_new();
	init_counters(e);
	return 0;
}

void snipe_entry_finish(struct snipe_entry *e)
{
	if (!e->routes)
		return;
	while (!LIST_EMPTY(&e->calls))
		snipe_entry_call_free(LIST_FIRST(&e->calls));
	snipe_h1_server_finish(&e->server);
	snipe_fleet_quota_finish(&e->quota);
	g_hash_table_destroy(e->routes);
	g_hash_table_destroy(e->services);
	g_rand_free(e->rng);
	snipe_routing_unref(e->routing);
}

void snipe_entry_set_routing(struct snipe_entry *e, struct snipe_routing *routing)
{
	const struct snipe_caller_limits *l = &routing->limits;
	int64_t now = snipe_now_us();

	snipe_routing_unref(e->routing);
	e->routing = snipe_routing_ref(routing);
	for (int i = 0; i < routing->workspace_count; i++)
		snipe_fleet_quota_set_limit(
			&e->quota, now, snipe_hash64_str(routing->workspaces[i].name),
			routing->workspaces[i].rate, routing->workspaces[i].burst);
	if (l->max_header_bytes > 0)
		e->server.limits.max_head_bytes = (size_t)l->max_header_bytes;
	if (l->max_body_bytes > 0)
		e->server.limits.max_body_bytes =
			(size_t)MIN(l->max_body_bytes, SNIPE_MAX_BODY_BYTES);
	if (l->header_timeout_us > 0)
		e->server.limits.head_timeout_us = l->header_timeout_us;
	if (l->idle_timeout_us > 0)
		e->server.limits.idle_timeout_us = l->idle_timeout_us;
}

void snipe_entry_confirm_tables(struct snipe_entry *e, int64_t confirmed_us)
{
	e->confirmed_us = MAX(e->confirmed_us, confirmed_us);
}

static void add_report(void *arg, const struct snipe_node_report *r)
{
	struct snipe_entry *e = arg;
	uint64_t service = snipe_hash64_str(r->service);

	if (r->server == SNIPE_SERVER_READY && !r->is_stopping)
		snipe_chain_limit_add_server(&e->chain_limit, service, r->limit,
					     r->running + r->waiting, r->rejected_ratio);
	for (int i = 0; i < r->demand_count; i++)
		snipe_chain_limit_add_demand(&e->chain_limit, &r->demands[i]);
}

static void log_chain_changes(struct snipe_entry *e)
{
	static struct snipe_log_limit limit;
	struct snipe_chain_change c;
	unsigned suppressed;

	while (snipe_chain_limit_next_change(&e->chain_limit, &c) == 0) {
		if (!snipe_log_allow(&limit, snipe_now_us(), SNIPE_LOG_LINES_PER_S,
				     &suppressed))
			continue;
		snipe_log(SNIPE_LOG_INFO, "chain_limit_changed",
			  "service=%s limiting=%d slots=%.0f busy=%.0f demand=%.1f "
			  "rejected_ratio=%.3f trim=%.2f suppressed=%u",
			  snipe_directory_service_name(e->config.directory, c.service),
			  c.is_limiting, c.slots, c.busy_slots, c.demand, c.rejected_ratio,
			  c.trim, suppressed);
	}
}

void snipe_entry_update_chain_limit(struct snipe_entry *e)
{
	const struct snipe_call_profile *p = e->config.profile;

	snipe_chain_limit_begin_update(&e->chain_limit);
	snipe_directory_for_each_report(e->config.directory, add_report, e);
	snipe_chain_limit_end_update(&e->chain_limit, snipe_now_us(),
				     snipe_directory_interval_us(e->config.directory));
	log_chain_changes(e);
	snipe_counters_set(e->config.counters, e->count_good_samples,
			   (int64_t)p->samples[SNIPE_CALLS_SUCCEED]);
	snipe_counters_set(e->config.counters, e->count_failing_samples,
			   (int64_t)p->samples[SNIPE_CALLS_FAIL]);
}

void snipe_entry_fill_report(struct snipe_entry *e, int64_t now_us, struct snipe_node_report *r)
{
	r->demand_count = snipe_chain_limit_demand(&e->chain_limit, now_us, r->demands,
						   SNIPE_REPORT_MAX_DEMANDS);
}

static void answer_unfinished(struct snipe_entry_call *call)
{
	static const struct snipe_entry_error unknown = {502, "stopped_before_answer", 0};

	call->may_have_run = 1;
	snipe_entry_call_fail(call, &unknown);
}

void snipe_entry_answer_blocking(struct snipe_entry *e)
{
	struct snipe_entry_call *call = LIST_FIRST(&e->calls);

	while (call) {
		if (!snipe_h1_delays_response(call->req)) {
			call = LIST_NEXT(call, link);
			continue;
		}
		/* The answer may end other calls as well. */
		answer_unfinished(call);
		call = LIST_FIRST(&e->calls);
	}
}

void snipe_entry_answer_all(struct snipe_entry *e)
{
	while (!LIST_EMPTY(&e->calls))
		answer_unfinished(LIST_FIRST(&e->calls));
}

int snipe_entry_in_flight(const struct snipe_entry *e)
{
	return e->in_flight;
}

void snipe_entry_dump(const struct snipe_entry *e, struct snipe_buffer *out)
{
	GHashTableIter it;
	gpointer name, value;
	int n = 0;

	snipe_buffer_printf(out,
			    "{\"in_flight\":%d,\"connections\":%d,\"tables\":\"%llx\","
			    "\"confirmed_age_ms\":%lld,\"routes\":{",
			    e->in_flight, e->server.connection_count,
			    (unsigned long long)(e->routing ? e->routing->version : 0),
			    (long long)((snipe_now_us() - e->confirmed_us) / 1000));
	g_hash_table_iter_init(&it, e->routes);
	while (g_hash_table_iter_next(&it, &name, &value)) {
		const struct snipe_entry_route *s = value;

		snipe_buffer_printf(
			out,
			"%s\"%s\":{\"limit\":%.1f,\"in_flight\":%d,\"latency_us\":%.0f,"
			"\"unloaded_us\":%.0f,\"chain_services\":%d}",
			n++ ? "," : "", (const char *)name, s->limit.limit, s->limit.in_flight,
			s->limit.latency_us, s->limit.unloaded_latency_us,
			snipe_route_costs_at(e->config.costs, s->cost_handle, 0)->count);
	}
	snipe_buffer_printf(out, "}}");
}
