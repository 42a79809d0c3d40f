/*
 * Stand-in for a backend server.
 *
 *   fake_backend --pool NAME --node IP:PORT [--port 0] [options]
 *
 * Prints "event=listening port=N control_port=M". The service port takes requests of the node
 * beside it; the control port takes
 *   PUT /control   switches, see apply_control()
 *   GET /runs      one JSON object a line: every start, end and cancellation of a run
 *   GET /bytes     every byte received on the service port
 *   GET /load      running and waiting requests, requests ended
 *
 * Records go to files (--run-log, --byte-log) when they have to outlive a crash.
 *
 * The request header Fake-Request-Id names a request; inner call I of it has the name ID/I and
 * carries the number of the run that makes it in Fake-Parent-Run, which is recorded as
 * "parent". The request header Fake-Plan says what to do, as JSON:
 *   {"service_ms":N, "size":N, "parallel":true, "retries":N,
 *    "inner":[{"method":"GET","path":"/p","plan":{...}}]}
 * "retries" is the number of times that this server sends a failed inner call again.
 */
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/address.h"
#include "base/hash.h"
#include "support/fake_http.h"

struct connection {
	int generation; /* connections of an older generation than silent_before are silent */
	int counted;
};

struct inner_call {
	struct run *run;
	int index;
	int retries_left;
	json_t *spec;
	struct evhttp_connection *conn;
	struct evhttp_request *req;
};

struct run {
	struct run *next, *prev;
	struct evhttp_request *req; /* NULL after the caller is gone */
	struct evhttp_connection *evcon;
	struct connection *conn;
	json_t *plan;
	char id[128];
	char context[64];
	char number[32]; /* names this run among those of all backend servers */
	struct event *timer;
	struct inner_call *inner;
	int inner_count, inner_next, inner_open, inner_failed;
	int started;
	int64_t deadline_us; /* 0: none */
};

/* Switches of PUT /control and of the command line. */
struct switches {
	double service_ms, spread, slow_factor, overload_slope, cold_factor;
	int cold_start_ms, size, shed_queue, load_lag_ms, false_load;
	int drop_context, fail_status, draining, announce;
	int announce_port; /* 0: the service port; set when a relay stands before it */
	char *crash_mark, *truncate;
	json_t *plan; /* for requests without Fake-Plan */
};

static struct {
	struct event_base *base;
	struct switches sw;
	struct snipe_address node;
	char *pool, *node_text, *run_log, *byte_log;
	int port, control_port, slots, connections, no_record;
	int run_fd, byte_fd;
	int generation, silent_before, open_connections;
	int running, waiting;
	long ended;
	int64_t start_us, lag_us;
	int lagged_running, lagged_waiting;
	struct run queue; /* head of the ring of waiting runs */
	struct evhttp_connection *announcer;
	int announcing;
	GHashTable *by_bev; /* bufferevent -> struct connection */
	GQueue idle;	    /* idle connections to the node's local listener */
	GRand *rng;
} g = {.sw = {.service_ms = 5,
	      .spread = 0.2,
	      .slow_factor = 1,
	      .overload_slope = 1,
	      .cold_factor = 1,
	      .size = 64,
	      .shed_queue = -1,
	      .false_load = -1,
	      .announce = 1},
       .slots = 10,
       .connections = 1000};

static const char *header(struct evhttp_request *req, const char *name)
{
	const char *v = evhttp_find_header(evhttp_request_get_input_headers(req), name);

	return v ? v : "";
}

static const char *method_name(enum evhttp_cmd_type method)
{
	switch (method) {
	case EVHTTP_REQ_GET:
		return "GET";
	case EVHTTP_REQ_POST:
		return "POST";
	case EVHTTP_REQ_PUT:
		return "PUT";
	case EVHTTP_REQ_DELETE:
		return "DELETE";
	case EVHTTP_REQ_PATCH:
		return "PATCH";
	default:
		return "HEAD";
	}
}

static enum evhttp_cmd_type method_number(const char *name)
{
	static const enum evhttp_cmd_type all[] = {EVHTTP_REQ_GET, EVHTTP_REQ_POST,
						   EVHTTP_REQ_PUT, EVHTTP_REQ_DELETE,
						   EVHTTP_REQ_PATCH};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		if (strcmp(method_name(all[i]), name) == 0)
			return all[i];
	return EVHTTP_REQ_GET;
}

/* Writes one line to the run log before anything else happens to the run. */
static void record(const struct run *r, const char *event)
{
	struct evhttp_request *req = r->req;
	json_t *line;
	char *text;

	if (g.no_record)
		return;
	line = json_pack("{s:s,s:s,s:I}", "event", event, "id", r->id, "time_us",
			 (json_int_t)fake_now_us());
	if (req && strcmp(event, "start") == 0) {
		struct evbuffer *in = evhttp_request_get_input_buffer(req);
		size_t len = evbuffer_get_length(in);
		char hash[17];

		snprintf(hash, sizeof(hash), "%016llx",
			 (unsigned long long)snipe_hash64(evbuffer_pullup(in, -1), len));
		json_object_set_new(line, "method",
				    json_string(method_name(evhttp_request_get_command(req))));
		json_object_set_new(line, "path", json_string(evhttp_request_get_uri(req)));
		json_object_set_new(line, "body_hash", json_string(hash));
		json_object_set_new(line, "parent",
				    json_string(header(req, "Fake-Parent-Run")));
		json_object_set_new(line, "workspace",
				    json_string(header(req, "Snipe-Workspace")));
		json_object_set_new(line, "identifier",
				    json_string(header(req, "Idempotency-Key")));
	}
	text = json_dumps(line, JSON_COMPACT);
	dprintf(g.run_fd, "%s\n", text);
	free(text);
	json_decref(line);
}

/* Bytes and connections of the service port. */

static void on_input(struct evbuffer *buf, const struct evbuffer_cb_info *info, void *arg)
{
	size_t at = info->orig_size - info->n_deleted;
	struct evbuffer_ptr pos;
	struct evbuffer_iovec parts[16];
	int n;

	(void)arg;
	if (info->n_added == 0 || g.no_record)
		return;
	evbuffer_ptr_set(buf, &pos, at, EVBUFFER_PTR_SET);
	n = evbuffer_peek(buf, (ev_ssize_t)info->n_added, &pos, parts, G_N_ELEMENTS(parts));
	for (int i = 0; i < n && i < (int)G_N_ELEMENTS(parts); i++)
		if (write(g.byte_fd, parts[i].iov_base, parts[i].iov_len) < 0)
			perror("byte log");
}

static struct bufferevent *make_bufferevent(struct event_base *base, void *arg)
{
	struct bufferevent *bev = bufferevent_socket_new(base, -1, 0);
	struct connection *c = g_new0(struct connection, 1);

	(void)arg;
	c->generation = g.generation;
	evbuffer_add_cb(bufferevent_get_input(bev), on_input, NULL);
	g_hash_table_replace(g.by_bev, bev, c);
	return bev;
}

static int is_silent(const struct connection *c)
{
	return c->generation < g.silent_before;
}

/* Life of a run. */

static void start_next(void);
static void send_inner(struct inner_call *call);

static void unlink_run(struct run *r)
{
	if (r->next) {
		r->next->prev = r->prev;
		r->prev->next = r->next;
		r->next = r->prev = NULL;
		g.waiting--;
	}
}

static void free_run(struct run *r)
{
	unlink_run(r);
	if (r->started)
		g.running--;
	for (int i = 0; i < r->inner_count; i++)
		if (r->inner[i].req) {
			/* Closing the connection cancels the inner call at the node. */
			evhttp_connection_free(r->inner[i].conn);
			r->inner[i].req = NULL;
		}
	if (r->timer)
		event_free(r->timer);
	json_decref(r->plan);
	g_free(r->inner);
	g_free(r);
	start_next();
}

static void on_close(struct evhttp_connection *evcon, void *arg)
{
	struct run *r = arg;

	(void)evcon;
	record(r, "cancel");
	if (r->req && r->conn->counted) {
		r->conn->counted = 0;
		g.open_connections--;
	}
	r->req = NULL;
	free_run(r);
}

static void on_idle_close(struct evhttp_connection *evcon, void *arg)
{
	struct connection *c = arg;

	(void)evcon;
	if (c->counted) {
		c->counted = 0;
		g.open_connections--;
	}
}

/* Sends a part of the announced length, then closes the connection. */
static void send_truncated(struct run *r, const char *body, int size)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(r->evcon);
	struct evbuffer *out = evbuffer_new();

	if (strcmp(g.sw.truncate, "chunked") == 0)
		evbuffer_add_printf(
			out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n",
			(unsigned)size);
	else if (strcmp(g.sw.truncate, "eof") == 0)
		evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
	else
		evbuffer_add_printf(out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size);
	evbuffer_add(out, body, (size_t)size / 2);
	evbuffer_write(out, bufferevent_getfd(bev));
	evbuffer_free(out);
	evhttp_connection_set_closecb(r->evcon, on_idle_close, r->conn);
	evhttp_connection_free(r->evcon);
}

/* The body names the request, so that a response that reached another caller can be told. */
static char *make_body(const struct run *r, int size)
{
	char *body = g_malloc((gsize)size + 1);
	int n = snprintf(body, (size_t)size + 1, "%s\n", r->id);

	for (int i = n; i < size; i++)
		body[i] = (char)('a' + (i * 7 + n) % 26);
	body[size] = '\0';
	return body;
}

static void finish_run(struct run *r, int status)
{
	struct evkeyvalq *out = evhttp_request_get_output_headers(r->req);
	struct evbuffer *buf;
	int size = g.sw.size;
	char *body, hash[17];

	record(r, "end");
	g.ended++;
	fake_json_int(r->plan, "size", &size);
	body = make_body(r, size);
	if (g.sw.truncate && *g.sw.truncate && status == 200) {
		send_truncated(r, body, size);
		g_free(body);
		r->req = NULL;
		free_run(r);
		return;
	}
	snprintf(hash, sizeof(hash), "%016llx",
		 (unsigned long long)snipe_hash64(body, (size_t)size));
	evhttp_add_header(out, "Fake-Body-Hash", hash);
	evhttp_add_header(out, "Fake-Request-Id", r->id);
	buf = evbuffer_new();
	evbuffer_add(buf, body, (size_t)size);
	evhttp_connection_set_closecb(r->evcon, on_idle_close, r->conn);
	evhttp_send_reply(r->req, status, status == 200 ? "OK" : "Failed", buf);
	evbuffer_free(buf);
	g_free(body);
	r->req = NULL;
	free_run(r);
}

/* Ends a run, unless its connection has gone silent: then no byte is sent any more. */
static void end_run(struct run *r)
{
	if (is_silent(r->conn)) {
		record(r, "end");
		return;
	}
	finish_run(r, g.sw.fail_status ? g.sw.fail_status : r->inner_failed ? 503 : 200);
}

static void start_inner(struct run *r)
{
	int parallel = 0;

	fake_json_bool(r->plan, "parallel", &parallel);
	while (r->inner_next < r->inner_count && (parallel || r->inner_open == 0)) {
		struct inner_call *call = &r->inner[r->inner_next++];

		if (r->inner_failed && !parallel)
			break;
		r->inner_open++;
		send_inner(call);
	}
	if (r->inner_open == 0)
		end_run(r);
}

static void on_inner_done(struct evhttp_request *req, void *arg)
{
	struct inner_call *call = arg;
	struct run *r = call->run;
	int status = req ? evhttp_request_get_response_code(req) : 0;

	call->req = NULL;
	if (status == 0)
		evhttp_connection_free(call->conn);
	else
		g_queue_push_tail(&g.idle, call->conn);
	if (status != 200 && call->retries_left > 0) {
		call->retries_left--;
		send_inner(call);
		return;
	}
	if (status != 200)
		r->inner_failed = 1;
	r->inner_open--;
	start_inner(r);
}

static void send_inner(struct inner_call *call)
{
	struct run *r = call->run;
	const json_t *plan = json_object_get(call->spec, "plan");
	const char *method = "GET", *path = "/", *body = "", *identifier = NULL;
	struct evkeyvalq *out;
	char id[160];

	json_unpack(call->spec, "{s?s,s?s,s?s,s?s}", "method", &method, "path", &path, "body",
		    &body, "identifier", &identifier);
	call->conn = g_queue_pop_head(&g.idle);
	if (!call->conn) {
		call->conn = evhttp_connection_base_new(g.base, NULL, g.node.ip, g.node.port);
		evhttp_connection_set_timeout(call->conn, 30);
	}
	call->req = evhttp_request_new(on_inner_done, call);
	out = evhttp_request_get_output_headers(call->req);
	evhttp_add_header(out, "Host", "node");
	snprintf(id, sizeof(id), "%s/%d", r->id, call->index);
	evhttp_add_header(out, "Fake-Request-Id", id);
	evhttp_add_header(out, "Fake-Parent-Run", r->number);
	if (r->context[0] && !g.sw.drop_context)
		evhttp_add_header(out, "Snipe-Context", r->context);
	if (identifier)
		evhttp_add_header(out, "Idempotency-Key", identifier);
	if (plan) {
		char *text = json_dumps(plan, JSON_COMPACT);

		evhttp_add_header(out, "Fake-Plan", text);
		free(text);
	}
	evbuffer_add(evhttp_request_get_output_buffer(call->req), body, strlen(body));
	evhttp_make_request(call->conn, call->req, method_number(method), path);
}

static void on_served(evutil_socket_t fd, short events, void *arg)
{
	struct run *r = arg;
	json_t *list = json_object_get(r->plan, "inner");
	int retries = 0;

	(void)fd;
	(void)events;
	fake_json_int(r->plan, "retries", &retries);
	r->inner_count = (int)json_array_size(list);
	r->inner = g_new0(struct inner_call, (gsize)r->inner_count + 1);
	for (int i = 0; i < r->inner_count; i++)
		r->inner[i] = (struct inner_call){.run = r,
						  .index = i,
						  .retries_left = retries,
						  .spec = json_array_get(list, (size_t)i)};
	start_inner(r);
}

/*
 * Service time: log-normal spread, slower while cold, and slower the more requests are in the
 * server beyond its slots, so that an overloaded server does less work, not just later work.
 */
static double service_ms(const struct run *r)
{
	double ms = g.sw.service_ms, age_ms = (double)(fake_now_us() - g.start_us) / 1000;
	double u1 = g_rand_double_range(g.rng, 1e-9, 1), u2 = g_rand_double(g.rng);
	double excess = (double)(g.running + g.waiting - g.slots) / g.slots;

	fake_json_double(r->plan, "service_ms", &ms);
	ms *= exp(g.sw.spread * sqrt(-2 * log(u1)) * cos(2 * G_PI * u2));
	if (age_ms < g.sw.cold_start_ms)
		ms *= 1 + (g.sw.cold_factor - 1) * (1 - age_ms / g.sw.cold_start_ms);
	if (excess > 0)
		ms *= 1 + g.sw.overload_slope * MIN(excess, 8);
	return ms * g.sw.slow_factor;
}

static void start_run(struct run *r)
{
	double us;
	struct timeval tv;

	r->started = 1;
	g.running++;
	record(r, "start");
	if (g.sw.crash_mark && *g.sw.crash_mark &&
	    strcmp(header(r->req, "Fake-Mark"), g.sw.crash_mark) == 0)
		_exit(70);
	us = service_ms(r) * 1000;
	tv.tv_sec = (time_t)(us / 1e6);
	tv.tv_usec = (suseconds_t)(us - (double)tv.tv_sec * 1e6);
	r->timer = evtimer_new(g.base, on_served, r);
	evtimer_add(r->timer, &tv);
}

static void start_next(void)
{
	while (g.running < g.slots && g.queue.next != &g.queue) {
		struct run *r = g.queue.next;

		unlink_run(r);
		if (r->deadline_us && fake_now_us() > r->deadline_us)
			finish_run(r, 504);
		else
			start_run(r);
	}
}

static struct run *make_run(struct evhttp_request *req, struct connection *c)
{
	static long runs;
	struct run *r = g_new0(struct run, 1);
	const char *plan = header(req, "Fake-Plan"), *timeout = header(req, "Snipe-Timeout-Ms");

	r->req = req;
	r->evcon = evhttp_request_get_connection(req);
	r->conn = c;
	r->plan = *plan ? json_loads(plan, 0, NULL) : json_incref(g.sw.plan);
	if (!r->plan)
		r->plan = json_object();
	snprintf(r->number, sizeof(r->number), "%d-%ld", (int)getpid(), ++runs);
	snprintf(r->id, sizeof(r->id), "%s", header(req, "Fake-Request-Id"));
	snprintf(r->context, sizeof(r->context), "%s", header(req, "Snipe-Context"));
	if (*timeout)
		r->deadline_us = fake_now_us() + g_ascii_strtoll(timeout, NULL, 10) * 1000;
	return r;
}

static json_t *load_figures(void)
{
	int64_t now = fake_now_us();

	if (now - g.lag_us >= (int64_t)g.sw.load_lag_ms * 1000) {
		g.lag_us = now;
		g.lagged_running = g.running;
		g.lagged_waiting = g.waiting;
	}
	return json_pack("{s:i,s:i,s:i,s:I}", "running",
			 g.sw.false_load >= 0 ? g.sw.false_load : g.lagged_running, "waiting",
			 g.sw.false_load >= 0 ? 0 : g.lagged_waiting, "slots", g.slots, "ended",
			 (json_int_t)g.ended);
}

static void on_service(struct evhttp_request *req, void *arg)
{
	struct evhttp_connection *evcon = evhttp_request_get_connection(req);
	struct bufferevent *bev = evhttp_connection_get_bufferevent(evcon);
	struct connection *c = g_hash_table_lookup(g.by_bev, bev);
	const char *path = evhttp_request_get_uri(req);
	struct run *r;

	(void)arg;
	if (!c->counted) {
		c->counted = 1;
		g.open_connections++;
		if (g.open_connections > g.connections) {
			evhttp_connection_set_closecb(evcon, on_idle_close, c);
			evhttp_connection_free(evcon);
			return;
		}
	}
	if (strcmp(path, "/health") == 0 || strcmp(path, "/load") == 0) {
		if (!is_silent(c))
			fake_reply_json(req, 200, load_figures());
		return;
	}
	if (is_silent(c))
		return;
	r = make_run(req, c);
	/* Without EV_READ the close callback does not fire while the response is deferred. */
	evhttp_connection_set_closecb(evcon, on_close, r);
	bufferevent_enable(bev, EV_READ);
	if (g.sw.shed_queue >= 0 && g.waiting >= g.sw.shed_queue && g.running >= g.slots) {
		finish_run(r, 503);
		return;
	}
	g.waiting++;
	r->next = &g.queue;
	r->prev = g.queue.prev;
	r->prev->next = r;
	r->next->prev = r;
	start_next();
}

/* Control port. */

static void set_string(const json_t *doc, const char *name, char **value)
{
	const char *s = json_string_value(json_object_get(doc, name));

	if (s) {
		g_free(*value);
		*value = g_strdup(s);
	}
}

/*
 * Members that are not named keep their value. "silent": true makes the connections open now
 * carry no more bytes for good; connections opened later work.
 */
static void apply_control(const json_t *doc)
{
	struct switches *sw = &g.sw;
	json_t *plan = json_object_get(doc, "plan");

	fake_json_double(doc, "service_ms", &sw->service_ms);
	fake_json_double(doc, "spread", &sw->spread);
	fake_json_double(doc, "slow_factor", &sw->slow_factor);
	fake_json_double(doc, "overload_slope", &sw->overload_slope);
	fake_json_double(doc, "cold_factor", &sw->cold_factor);
	fake_json_int(doc, "cold_start_ms", &sw->cold_start_ms);
	fake_json_int(doc, "size", &sw->size);
	fake_json_int(doc, "shed_queue", &sw->shed_queue);
	fake_json_int(doc, "load_lag_ms", &sw->load_lag_ms);
	fake_json_int(doc, "false_load", &sw->false_load);
	fake_json_int(doc, "fail_status", &sw->fail_status);
	fake_json_int(doc, "announce_port", &sw->announce_port);
	fake_json_bool(doc, "drop_context", &sw->drop_context);
	fake_json_bool(doc, "draining", &sw->draining);
	fake_json_bool(doc, "announce", &sw->announce);
	set_string(doc, "crash_mark", &sw->crash_mark);
	set_string(doc, "truncate", &sw->truncate);
	if (plan) {
		json_decref(sw->plan);
		sw->plan = json_is_object(plan) ? json_incref(plan) : NULL;
	}
	if (json_is_true(json_object_get(doc, "silent")))
		g.silent_before = ++g.generation;
}

static void send_file(struct evhttp_request *req, int fd)
{
	struct evbuffer *out = evbuffer_new();
	struct stat st;
	char path[32];
	int copy;

	snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	copy = open(path, O_RDONLY | O_CLOEXEC);
	if (copy >= 0 && fstat(copy, &st) == 0 && st.st_size > 0)
		evbuffer_add_file(out, copy, 0, st.st_size);
	else if (copy >= 0)
		close(copy);
	evhttp_send_reply(req, 200, "OK", out);
	evbuffer_free(out);
}

static void announce(evutil_socket_t fd, short events, void *arg);

static void on_control(struct evhttp_request *req, void *arg)
{
	const char *path = evhttp_request_get_uri(req);
	int is_put = evhttp_request_get_command(req) == EVHTTP_REQ_PUT;
	json_t *doc;

	(void)arg;
	if (is_put && strcmp(path, "/control") == 0) {
		doc = fake_body_json(req);
		if (!doc)
			return;
		apply_control(doc);
		json_decref(doc);
		announce(-1, 0, NULL);
		fake_reply_json(req, 200, json_object());
	} else if (strcmp(path, "/runs") == 0) {
		send_file(req, g.run_fd);
	} else if (strcmp(path, "/bytes") == 0) {
		send_file(req, g.byte_fd);
	} else if (strcmp(path, "/load") == 0) {
		fake_reply_json(req, 200, load_figures());
	} else {
		fake_reply_json(req, 404, json_pack("{s:s}", "error", "no such path"));
	}
}

/* Announcement to the node. */

static void on_announced(struct evhttp_request *req, void *arg)
{
	(void)arg;
	g.announcing = 0;
	if (!req || evhttp_request_get_response_code(req) == 0) {
		evhttp_connection_free(g.announcer);
		g.announcer = NULL;
	}
}

static void announce(evutil_socket_t fd, short events, void *arg)
{
	int cold = (fake_now_us() - g.start_us) / 1000 < g.sw.cold_start_ms;
	struct evhttp_request *req;

	(void)fd;
	(void)events;
	(void)arg;
	if (!g.node_text || !g.sw.announce || g.announcing)
		return;
	if (!g.announcer) {
		g.announcer = evhttp_connection_base_new(g.base, NULL, g.node.ip, g.node.port);
		evhttp_connection_set_timeout(g.announcer, 1);
	}
	g.announcing = 1;
	req = evhttp_request_new(on_announced, NULL);
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host", "node");
	evbuffer_add_printf(evhttp_request_get_output_buffer(req),
			    "{\"pool\":\"%s\",\"address\":\"127.0.0.1:%d\",\"state\":\"%s\"}",
			    g.pool, g.sw.announce_port ? g.sw.announce_port : g.port,
			    g.sw.draining ? "draining"
			    : cold	  ? "starting"
					  : "ready");
	evhttp_make_request(g.announcer, req, EVHTTP_REQ_PUT, "/.snipescale/backend-server");
}

static int open_log(const char *path)
{
	int fd;

	if (!path)
		return fileno(tmpfile());
	fd = open(path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	if (fd < 0) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		exit(1);
	}
	return fd;
}

static void parse_options(int argc, char **argv)
{
	int seed = 1, orphan = 0, no_announce = 0;
	const GOptionEntry entries[] = {
		{"port", 0, 0, G_OPTION_ARG_INT, &g.port, "Service port", "N"},
		{"control-port", 0, 0, G_OPTION_ARG_INT, &g.control_port, "Control port", "N"},
		{"node", 0, 0, G_OPTION_ARG_STRING, &g.node_text, "Local listener", "IP:PORT"},
		{"pool", 0, 0, G_OPTION_ARG_STRING, &g.pool, "Pool", "NAME"},
		{"slots", 0, 0, G_OPTION_ARG_INT, &g.slots, "Running requests", "N"},
		{"connections", 0, 0, G_OPTION_ARG_INT, &g.connections, "Connections", "N"},
		{"service-ms", 0, 0, G_OPTION_ARG_DOUBLE, &g.sw.service_ms, "Service time",
		 "MS"},
		{"spread", 0, 0, G_OPTION_ARG_DOUBLE, &g.sw.spread, "Sigma of ln(time)", "X"},
		{"overload-slope", 0, 0, G_OPTION_ARG_DOUBLE, &g.sw.overload_slope,
		 "Slow-down for each SLOTS requests in excess", "X"},
		{"cold-start-ms", 0, 0, G_OPTION_ARG_INT, &g.sw.cold_start_ms, "Cold start",
		 "MS"},
		{"cold-factor", 0, 0, G_OPTION_ARG_DOUBLE, &g.sw.cold_factor,
		 "Slow-down at the start", "X"},
		{"size", 0, 0, G_OPTION_ARG_INT, &g.sw.size, "Response size", "BYTES"},
		{"shed-queue", 0, 0, G_OPTION_ARG_INT, &g.sw.shed_queue,
		 "Waiting requests before it answers 503", "N"},
		{"run-log", 0, 0, G_OPTION_ARG_FILENAME, &g.run_log, "Run log", "FILE"},
		{"byte-log", 0, 0, G_OPTION_ARG_FILENAME, &g.byte_log, "Byte log", "FILE"},
		{"no-record", 0, 0, G_OPTION_ARG_NONE, &g.no_record, "Record nothing", NULL},
		{"no-announce", 0, 0, G_OPTION_ARG_NONE, &no_announce,
		 "Announce only after PUT /control says so", NULL},
		{"seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of service times", "N"},
		{"orphan", 0, 0, G_OPTION_ARG_NONE, &orphan, "Outlive the parent", NULL},
		{NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
	GOptionContext *context = g_option_context_new("- stand-in for a backend server");
	GError *err = NULL;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &err)) {
		fprintf(stderr, "%s\n", err->message);
		exit(2);
	}
	g_option_context_free(context);
	if (!g.pool)
		g.pool = g_strdup("none");
	if (g.node_text && snipe_address_parse(g.node_text, &g.node)) {
		fprintf(stderr, "--node must be IP:PORT\n");
		exit(2);
	}
	g.sw.announce = !no_announce;
	g.rng = g_rand_new_with_seed((guint32)seed);
	if (!orphan)
		fake_die_with_parent();
}

int main(int argc, char **argv)
{
	struct timeval second = {.tv_sec = 1};
	struct evhttp *service, *control;

	parse_options(argc, argv);
	g.start_us = fake_now_us();
	g.queue.next = g.queue.prev = &g.queue;
	g.run_fd = open_log(g.run_log);
	g.byte_fd = open_log(g.byte_log);
	g.by_bev = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	g.base = event_base_new();
	fake_handle_signals(g.base);
	service = fake_http_listen(g.base, g.port, on_service, NULL, &g.port);
	evhttp_set_bevcb(service, make_bufferevent, NULL);
	control = fake_http_listen(g.base, g.control_port, on_control, NULL, &g.control_port);
	printf("event=listening port=%d control_port=%d\n", g.port, g.control_port);
	fflush(stdout);
	event_add(event_new(g.base, -1, EV_PERSIST, announce, NULL), &second);
	announce(-1, 0, NULL);
	event_base_dispatch(g.base);
	evhttp_free(service);
	evhttp_free(control);
	return 0;
}
