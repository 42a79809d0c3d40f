/*
 * Load generator: open-loop callers of several workspaces, in phases, against caller listeners.
 *
 *   load_generator [--table] CONFIG.json
 *
 * CONFIG:
 *   targets      ["IP:PORT", ...] caller listeners, used in turn
 *   seed, timeout_ms, max_connections, bin_ms (default 250), good_share (default 0.9)
 *   phases       [{"name", "seconds", "factor", "factors": {WORKSPACE: X}}]; the load of a
 *                workspace is its "load" times factor times its own entry in factors
 *   workspaces   [{"name", "key", "load", "rate", "burst", "retries", "backoff_ms"}]; rate and
 *                burst are those of the tables; retries > 0 makes its clients send a failed
 *                request again that often, backoff_ms after each failure
 *   routes       [{"name", "method", "path", "weight", "body", "plan", "identifier"}];
 *                identifier true sends a UUID version 7
 *
 * A request is whole if status 200, length, checksum and request id of its response are right
 * and it came within timeout_ms of its first attempt. Each attempt is checked against a token
 * bucket with the workspace's rate and burst; an attempt that is within the rate and is refused
 * is a wrongful rejection. The result is one JSON document on stdout, or with --table one line
 * for each phase.
 */
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/address.h"
#include "base/hash.h"
#include "base/histogram.h"

#define MAX_PHASES 16
#define MAX_WORKSPACES 64

enum result {
	RESULT_WHOLE,
	RESULT_REFUSED, /* a response with Snipe-Reason */
	RESULT_ERROR,	/* another response than 200 */
	RESULT_LOST,	/* no response, or only a part */
	RESULT_WRONG,	/* 200 with the wrong content */
	RESULT_COUNT,
};

static const char *const result_names[RESULT_COUNT] = {"whole", "refused", "error", "lost",
						       "wrong"};

struct tally {
	long requests, attempts, within; /* within: attempts within the rate */
	long wrongful;			 /* attempts within the rate that were refused */
	long within_whole;		 /* attempts within the rate that were whole */
	long results[RESULT_COUNT];	 /* of requests, by their last attempt */
	struct snipe_histogram latency;	 /* of whole requests, us */
};

struct workspace {
	char *name, *key;
	double load, rate, burst, tokens;
	int64_t refilled_us;
	int retries, backoff_ms;
	GHashTable *reasons; /* "reason/outcome" -> count of attempts */
};

struct route {
	char *name, *path, *body, *plan;
	enum evhttp_cmd_type method;
	int identifier;
	double weight;
};

struct phase {
	char *name;
	double factor, factors[MAX_WORKSPACES];
	int64_t start_us, end_us;
};

struct bin {
	long requests, whole;
};

struct target {
	struct snipe_address address;
	GQueue idle;
};

struct request {
	struct workspace *workspace;
	const struct route *route;
	struct target *target;
	struct evhttp_connection *conn;
	struct event *timer;
	long number;
	int phase, attempts, within;
	int64_t arrived_us;
	char identifier[40];
};

static struct {
	struct event_base *base;
	GRand *rng;
	struct target *targets;
	struct workspace workspaces[MAX_WORKSPACES];
	struct route *routes;
	struct phase phases[MAX_PHASES];
	int target_count, workspace_count, route_count, phase_count;
	double weight_sum;
	int timeout_ms, max_connections, bin_ms;
	double good_share;
	int64_t start_us, end_us;
	long next_number, open, connections;
	struct bin *bins;
	int bin_count;
	struct tally tallies[MAX_PHASES][MAX_WORKSPACES];
	GQueue waiting; /* requests without a connection */
	struct event *arrivals[MAX_WORKSPACES];
	int64_t next_arrival[MAX_WORKSPACES];
} g = {.timeout_ms = 3000, .max_connections = 4000, .bin_ms = 250, .good_share = 0.9};

static int64_t now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static void add_timer(struct event *timer, int64_t us)
{
	struct timeval tv;

	us = MAX(us, 0);
	tv.tv_sec = (time_t)(us / 1000000);
	tv.tv_usec = (suseconds_t)(us % 1000000);
	evtimer_add(timer, &tv);
}

/* UUID version 7 (RFC 9562): 48 bits of wall time in ms, then random bits. */
static void make_identifier(char out[40])
{
	uint64_t ms = (uint64_t)(g_get_real_time() / 1000);
	uint32_t a = g_rand_int(g.rng), b = g_rand_int(g.rng), c = g_rand_int(g.rng);

	snprintf(out, 40, "%08x-%04x-7%03x-%04x-%04x%08x", (unsigned)(ms >> 16),
		 (unsigned)(ms & 0xffff), a & 0xfff, 0x8000 | (a >> 12 & 0x3fff), b & 0xffff,
		 c);
}

static void send_attempt(struct request *r);

static void start_waiting(void)
{
	struct request *r;

	while (g.connections < g.max_connections && (r = g_queue_pop_head(&g.waiting)))
		send_attempt(r);
}

static int take_token(struct workspace *w)
{
	int64_t now = now_us();

	w->tokens += (double)(now - w->refilled_us) / 1e6 * w->rate;
	w->tokens = MIN(w->tokens, w->burst);
	w->refilled_us = now;
	if (w->tokens < 1)
		return 0;
	w->tokens -= 1;
	return 1;
}

static void end_request(struct request *r, enum result result)
{
	struct tally *t = &g.tallies[r->phase][r->workspace - g.workspaces];
	int bin = (int)((r->arrived_us - g.start_us) / (g.bin_ms * (int64_t)1000));

	t->results[result]++;
	if (result == RESULT_WHOLE)
		snipe_histogram_add(&t->latency, (uint64_t)(now_us() - r->arrived_us));
	if (bin >= 0 && bin < g.bin_count) {
		g.bins[bin].requests++;
		g.bins[bin].whole += result == RESULT_WHOLE;
	}
	if (r->timer)
		event_free(r->timer);
	g_free(r);
	g.open--;
	if (g.open == 0 && now_us() >= g.end_us)
		event_base_loopbreak(g.base);
}

static void on_retry(evutil_socket_t fd, short events, void *arg)
{
	(void)fd;
	(void)events;
	send_attempt(arg);
}

/* Ends the request or sends it again, as its workspace's clients do. */
static void end_attempt(struct request *r, enum result result)
{
	struct workspace *w = r->workspace;
	int64_t left = r->arrived_us + g.timeout_ms * (int64_t)1000 - now_us();

	if (result != RESULT_WHOLE && r->attempts <= w->retries &&
	    left > w->backoff_ms * (int64_t)1000) {
		if (!r->timer)
			r->timer = evtimer_new(g.base, on_retry, r);
		add_timer(r->timer, w->backoff_ms * (int64_t)1000);
		return;
	}
	end_request(r, result);
}

static enum result check_response(const struct request *r, struct evhttp_request *req)
{
	struct evkeyvalq *in = evhttp_request_get_input_headers(req);
	struct evbuffer *body = evhttp_request_get_input_buffer(req);
	const char *hash = evhttp_find_header(in, "Fake-Body-Hash");
	const char *id = evhttp_find_header(in, "Fake-Request-Id");
	size_t len = evbuffer_get_length(body);
	char have[24];

	if (evhttp_find_header(in, "Snipe-Reason"))
		return RESULT_REFUSED;
	if (evhttp_request_get_response_code(req) != 200)
		return RESULT_ERROR;
	snprintf(have, sizeof(have), "%016llx",
		 (unsigned long long)snipe_hash64(evbuffer_pullup(body, -1), len));
	if (!hash || strcmp(hash, have) != 0)
		return RESULT_WRONG;
	snprintf(have, sizeof(have), "%ld", r->number);
	return id && strcmp(id, have) == 0 ? RESULT_WHOLE : RESULT_WRONG;
}

static void count_reason(struct workspace *w, struct evhttp_request *req)
{
	struct evkeyvalq *in = evhttp_request_get_input_headers(req);
	const char *reason = evhttp_find_header(in, "Snipe-Reason");
	const char *outcome = evhttp_find_header(in, "Snipe-Outcome");
	char *name = g_strdup_printf("%s/%s", reason ? reason : "none", outcome ? outcome : "");
	gpointer count = g_hash_table_lookup(w->reasons, name);

	g_hash_table_replace(w->reasons, name, GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
}

static void on_response(struct evhttp_request *req, void *arg)
{
	struct request *r = arg;
	struct tally *t = &g.tallies[r->phase][r->workspace - g.workspaces];
	enum result result = RESULT_LOST;

	if (req && evhttp_request_get_response_code(req) != 0) {
		result = check_response(r, req);
		if (result != RESULT_WHOLE)
			count_reason(r->workspace, req);
		g_queue_push_head(&r->target->idle, r->conn);
	} else {
		evhttp_connection_free(r->conn);
		g.connections--;
	}
	r->conn = NULL;
	if (result == RESULT_WHOLE && now_us() > r->arrived_us + g.timeout_ms * (int64_t)1000)
		result = RESULT_LOST;
	if (r->within && result == RESULT_WHOLE)
		t->within_whole++;
	if (r->within && result == RESULT_REFUSED)
		t->wrongful++;
	end_attempt(r, result);
	start_waiting();
}

static void add_headers(const struct request *r, struct evkeyvalq *out)
{
	char text[32];
	int64_t left = (r->arrived_us + g.timeout_ms * (int64_t)1000 - now_us()) / 1000;

	evhttp_add_header(out, "Host", "node");
	if (r->workspace->key)
		evhttp_add_header(out, "Snipe-Key", r->workspace->key);
	snprintf(text, sizeof(text), "%ld", r->number);
	evhttp_add_header(out, "Fake-Request-Id", text);
	snprintf(text, sizeof(text), "%lld", (long long)MAX(left, 1));
	evhttp_add_header(out, "Snipe-Timeout-Ms", text);
	if (r->route->plan)
		evhttp_add_header(out, "Fake-Plan", r->route->plan);
	if (r->route->identifier)
		evhttp_add_header(out, "Idempotency-Key", r->identifier);
}

static void send_attempt(struct request *r)
{
	struct tally *t = &g.tallies[r->phase][r->workspace - g.workspaces];
	struct evhttp_request *req;

	r->target = &g.targets[(r->number + r->attempts) % g.target_count];
	r->conn = g_queue_pop_head(&r->target->idle);
	if (!r->conn && g.connections >= g.max_connections) {
		g_queue_push_tail(&g.waiting, r);
		return;
	}
	if (!r->conn) {
		r->conn = evhttp_connection_base_new(g.base, NULL, r->target->address.ip,
						     r->target->address.port);
		evhttp_connection_set_timeout(r->conn, (g.timeout_ms + 1999) / 1000);
		g.connections++;
	}
	r->attempts++;
	t->attempts++;
	r->within = take_token(r->workspace);
	t->within += r->within;
	req = evhttp_request_new(on_response, r);
	add_headers(r, evhttp_request_get_output_headers(req));
	if (r->route->body)
		evbuffer_add(evhttp_request_get_output_buffer(req), r->route->body,
			     strlen(r->route->body));
	evhttp_make_request(r->conn, req, r->route->method, r->route->path);
}

static const struct route *pick_route(void)
{
	double x = g_rand_double(g.rng) * g.weight_sum;

	for (int i = 0; i < g.route_count; i++) {
		x -= g.routes[i].weight;
		if (x < 0)
			return &g.routes[i];
	}
	return &g.routes[g.route_count - 1];
}

static int phase_at(int64_t at)
{
	for (int i = 0; i < g.phase_count; i++)
		if (at < g.phases[i].end_us)
			return i;
	return -1;
}

/* Schedules the next arrival of a workspace's Poisson process. */
static void schedule(int w)
{
	int phase = phase_at(g.next_arrival[w]);
	double rate;

	if (phase < 0)
		return;
	rate = g.workspaces[w].load * g.phases[phase].factor * g.phases[phase].factors[w];
	if (rate <= 0)
		g.next_arrival[w] = g.phases[phase].end_us;
	else
		g.next_arrival[w] += (int64_t)(-log(1 - g_rand_double(g.rng)) / rate * 1e6);
	add_timer(g.arrivals[w], g.next_arrival[w] - now_us());
}

static void on_arrival(evutil_socket_t fd, short events, void *arg)
{
	int w = GPOINTER_TO_INT(arg);
	int phase = phase_at(g.next_arrival[w]);
	struct request *r;

	(void)fd;
	(void)events;
	if (phase < 0)
		return;
	if (g.workspaces[w].load * g.phases[phase].factor * g.phases[phase].factors[w] > 0) {
		r = g_new0(struct request, 1);
		r->workspace = &g.workspaces[w];
		r->route = pick_route();
		r->number = ++g.next_number;
		r->phase = phase;
		r->arrived_us = g.next_arrival[w];
		make_identifier(r->identifier);
		g.open++;
		g.tallies[phase][w].requests++;
		send_attempt(r);
	}
	schedule(w);
}

/* Configuration. */

static void fail(const char *what)
{
	fprintf(stderr, "load_generator: %s\n", what);
	exit(2);
}

static const char *get_str(const json_t *o, const char *name, const char *fallback)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : fallback;
}

static double get_num(const json_t *o, const char *name, double fallback)
{
	const json_t *v = json_object_get(o, name);

	return json_is_number(v) ? json_number_value(v) : fallback;
}

static enum evhttp_cmd_type method_number(const char *name)
{
	static const struct {
		const char *name;
		enum evhttp_cmd_type method;
	} all[] = {{"GET", EVHTTP_REQ_GET},
		   {"POST", EVHTTP_REQ_POST},
		   {"PUT", EVHTTP_REQ_PUT},
		   {"DELETE", EVHTTP_REQ_DELETE},
		   {"PATCH", EVHTTP_REQ_PATCH}};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		if (strcmp(all[i].name, name) == 0)
			return all[i].method;
	fail("method must be GET, POST, PUT, DELETE or PATCH");
	return EVHTTP_REQ_GET;
}

static void load_routes(const json_t *list)
{
	g.route_count = (int)json_array_size(list);
	g.routes = g_new0(struct route, (gsize)g.route_count + 1);
	for (int i = 0; i < g.route_count; i++) {
		const json_t *o = json_array_get(list, (size_t)i);
		const json_t *plan = json_object_get(o, "plan");
		const char *method = get_str(o, "method", "GET");
		struct route *r = &g.routes[i];

		r->name = g_strdup(get_str(o, "name", ""));
		r->path = g_strdup(get_str(o, "path", "/"));
		r->body = g_strdup(get_str(o, "body", NULL));
		r->plan = plan ? json_dumps(plan, JSON_COMPACT) : NULL;
		r->method = method_number(method);
		r->identifier = json_is_true(json_object_get(o, "identifier"));
		r->weight = get_num(o, "weight", 1);
		g.weight_sum += r->weight;
	}
}

static void load_workspaces(const json_t *list)
{
	g.workspace_count = (int)json_array_size(list);
	if (g.workspace_count > MAX_WORKSPACES)
		fail("too many workspaces");
	for (int i = 0; i < g.workspace_count; i++) {
		const json_t *o = json_array_get(list, (size_t)i);
		struct workspace *w = &g.workspaces[i];

		w->name = g_strdup(get_str(o, "name", ""));
		w->key = g_strdup(get_str(o, "key", NULL));
		w->load = get_num(o, "load", 10);
		w->rate = get_num(o, "rate", 1e9);
		w->burst = w->tokens = get_num(o, "burst", 1e9);
		w->retries = (int)get_num(o, "retries", 0);
		w->backoff_ms = (int)get_num(o, "backoff_ms", 10);
		w->reasons = g_hash_table_new(g_str_hash, g_str_equal);
	}
}

static void load_phases(const json_t *list)
{
	int64_t at = g.start_us;

	g.phase_count = (int)json_array_size(list);
	if (g.phase_count > MAX_PHASES || g.phase_count == 0)
		fail("phases must have 1 to 16 entries");
	for (int i = 0; i < g.phase_count; i++) {
		const json_t *o = json_array_get(list, (size_t)i);
		const json_t *factors = json_object_get(o, "factors");
		struct phase *p = &g.phases[i];

		p->name = g_strdup(get_str(o, "name", "phase"));
		p->factor = get_num(o, "factor", 1);
		p->start_us = at;
		at += (int64_t)(get_num(o, "seconds", 1) * 1e6);
		p->end_us = at;
		for (int w = 0; w < g.workspace_count; w++)
			p->factors[w] = get_num(factors, g.workspaces[w].name, 1);
	}
	g.end_us = at;
}

static void load_config(const char *path)
{
	json_error_t err;
	json_t *doc = json_load_file(path, 0, &err), *list;

	if (!doc) {
		fprintf(stderr, "%s:%d: %s\n", path, err.line, err.text);
		exit(2);
	}
	g.rng = g_rand_new_with_seed((guint32)get_num(doc, "seed", 1));
	g.timeout_ms = (int)get_num(doc, "timeout_ms", g.timeout_ms);
	g.max_connections = (int)get_num(doc, "max_connections", g.max_connections);
	g.bin_ms = (int)get_num(doc, "bin_ms", g.bin_ms);
	g.good_share = get_num(doc, "good_share", g.good_share);
	list = json_object_get(doc, "targets");
	g.target_count = (int)json_array_size(list);
	if (g.target_count == 0)
		fail("targets must name at least one IP:PORT");
	g.targets = g_new0(struct target, (gsize)g.target_count);
	for (int i = 0; i < g.target_count; i++)
		if (snipe_address_parse(json_string_value(json_array_get(list, (size_t)i)),
					&g.targets[i].address))
			fail("targets must be IP:PORT");
	load_routes(json_object_get(doc, "routes"));
	load_workspaces(json_object_get(doc, "workspaces"));
	if (g.route_count == 0 || g.workspace_count == 0)
		fail("routes and workspaces must not be empty");
	g.start_us = now_us();
	load_phases(json_object_get(doc, "phases"));
	g.bin_count = (int)((g.end_us - g.start_us) / (g.bin_ms * (int64_t)1000)) + 1;
	g.bins = g_new0(struct bin, (gsize)g.bin_count);
	json_decref(doc);
}

/* Results. */

static json_t *print_tally(const struct tally *t)
{
	json_t *o = json_pack("{s:I,s:I,s:I,s:I,s:I}", "requests", (json_int_t)t->requests,
			      "attempts", (json_int_t)t->attempts, "within_rate",
			      (json_int_t)t->within, "within_rate_whole",
			      (json_int_t)t->within_whole, "wrongful_rejections",
			      (json_int_t)t->wrongful);

	for (int i = 0; i < RESULT_COUNT; i++)
		json_object_set_new(o, result_names[i],
				    json_integer((json_int_t)t->results[i]));
	json_object_set_new(
		o, "p50_us",
		json_integer((json_int_t)snipe_histogram_quantile(&t->latency, 0.5)));
	json_object_set_new(
		o, "p99_us",
		json_integer((json_int_t)snipe_histogram_quantile(&t->latency, 0.99)));
	return o;
}

static void add_tally(struct tally *sum, const struct tally *t)
{
	sum->requests += t->requests;
	sum->attempts += t->attempts;
	sum->within += t->within;
	sum->within_whole += t->within_whole;
	sum->wrongful += t->wrongful;
	for (int i = 0; i < RESULT_COUNT; i++)
		sum->results[i] += t->results[i];
	sum->latency.total += t->latency.total;
	sum->latency.sum += t->latency.sum;
	for (int i = 0; i < SNIPE_HISTOGRAM_BUCKETS; i++)
		sum->latency.buckets[i] += t->latency.buckets[i];
}

/*
 * Recovery time of a phase: from its start to the end of the last bin in which less than
 * good_share of the requests that arrived were whole. Bins without requests do not count.
 */
static double recovery_s(const struct phase *p)
{
	double last = 0;

	for (int i = 0; i < g.bin_count; i++) {
		int64_t start = g.start_us + i * g.bin_ms * (int64_t)1000;
		int64_t end = start + g.bin_ms * (int64_t)1000;
		const struct bin *b = &g.bins[i];

		if (start >= p->start_us && end <= p->end_us && b->requests > 0 &&
		    (double)b->whole < g.good_share * (double)b->requests)
			last = (double)(end - p->start_us) / 1e6;
	}
	return last;
}

/*
 * Share of its entitlement that the worst-served workspace got: whole attempts within the rate
 * as a part of all attempts within the rate.
 */
static double worst_share(int phase, const char **name)
{
	double worst = 1;

	*name = "";
	for (int w = 0; w < g.workspace_count; w++) {
		const struct tally *t = &g.tallies[phase][w];
		double share = t->within ? (double)t->within_whole / (double)t->within : 1;

		if (share < worst) {
			worst = share;
			*name = g.workspaces[w].name;
		}
	}
	return worst;
}

static json_t *print_phase(int i)
{
	const struct phase *p = &g.phases[i];
	double seconds = (double)(p->end_us - p->start_us) / 1e6;
	json_t *workspaces = json_object(), *o;
	const char *worst_name;
	struct tally sum;

	memset(&sum, 0, sizeof(sum));
	for (int w = 0; w < g.workspace_count; w++) {
		add_tally(&sum, &g.tallies[i][w]);
		json_object_set_new(workspaces, g.workspaces[w].name,
				    print_tally(&g.tallies[i][w]));
	}
	o = print_tally(&sum);
	json_object_set_new(o, "name", json_string(p->name));
	json_object_set_new(o, "seconds", json_real(seconds));
	json_object_set_new(
		o, "goodput",
		json_real(round((double)sum.results[RESULT_WHOLE] / seconds * 10) / 10));
	json_object_set_new(o, "recovery_s", json_real(recovery_s(p)));
	json_object_set_new(o, "worst_share", json_real(worst_share(i, &worst_name)));
	json_object_set_new(o, "worst_workspace", json_string(worst_name));
	json_object_set_new(o, "workspaces", workspaces);
	return o;
}

static void print_results(void)
{
	json_t *doc = json_object(), *phases = json_array(), *reasons = json_object();
	json_t *bins = json_array();

	for (int i = 0; i < g.phase_count; i++)
		json_array_append_new(phases, print_phase(i));
	for (int w = 0; w < g.workspace_count; w++) {
		json_t *o = json_object();
		GHashTableIter iter;
		gpointer key, value;

		g_hash_table_iter_init(&iter, g.workspaces[w].reasons);
		while (g_hash_table_iter_next(&iter, &key, &value))
			json_object_set_new(o, key, json_integer(GPOINTER_TO_INT(value)));
		json_object_set_new(reasons, g.workspaces[w].name, o);
	}
	for (int i = 0; i < g.bin_count; i++)
		json_array_append_new(bins, json_pack("[I,I]", (json_int_t)g.bins[i].requests,
						      (json_int_t)g.bins[i].whole));
	json_object_set_new(doc, "phases", phases);
	json_object_set_new(doc, "reasons", reasons);
	json_object_set_new(doc, "bin_ms", json_integer(g.bin_ms));
	json_object_set_new(doc, "bins", bins);
	json_dumpf(doc, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	printf("\n");
	json_decref(doc);
}

static void print_table(void)
{
	printf("%-10s %9s %9s %9s %9s %9s %9s %7s\n", "phase", "requests", "whole/s", "refused",
	       "other", "p50 us", "p99 us", "worst");
	for (int i = 0; i < g.phase_count; i++) {
		const struct phase *p = &g.phases[i];
		const char *worst;
		struct tally sum;

		memset(&sum, 0, sizeof(sum));
		for (int w = 0; w < g.workspace_count; w++)
			add_tally(&sum, &g.tallies[i][w]);
		printf("%-10s %9ld %9.0f %9ld %9ld %9llu %9llu %7.2f\n", p->name, sum.requests,
		       (double)sum.results[RESULT_WHOLE] * 1e6 /
			       (double)(p->end_us - p->start_us),
		       sum.results[RESULT_REFUSED],
		       sum.requests - sum.results[RESULT_WHOLE] - sum.results[RESULT_REFUSED],
		       (unsigned long long)snipe_histogram_quantile(&sum.latency, 0.5),
		       (unsigned long long)snipe_histogram_quantile(&sum.latency, 0.99),
		       worst_share(i, &worst));
	}
}

static void on_deadline(evutil_socket_t fd, short events, void *arg)
{
	(void)fd;
	(void)events;
	(void)arg;
	event_base_loopbreak(g.base);
}

int main(int argc, char **argv)
{
	int table = argc == 3 && strcmp(argv[1], "--table") == 0;
	struct event *deadline;

	if (argc != 2 + table)
		fail("usage: load_generator [--table] CONFIG.json");
	signal(SIGPIPE, SIG_IGN);
	g.base = event_base_new();
	load_config(argv[1 + table]);
	for (int w = 0; w < g.workspace_count; w++) {
		g.workspaces[w].refilled_us = g.start_us;
		g.arrivals[w] = evtimer_new(g.base, on_arrival, GINT_TO_POINTER(w));
		g.next_arrival[w] = g.start_us;
		schedule(w);
	}
	deadline = evtimer_new(g.base, on_deadline, NULL);
	add_timer(deadline, g.end_us - g.start_us + (g.timeout_ms + 2500) * (int64_t)1000);
	event_base_dispatch(g.base);
	if (table)
		print_table();
	else
		print_results();
	return 0;
}
