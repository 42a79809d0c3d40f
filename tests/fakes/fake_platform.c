/*
 * Stand-in for the platform: the object API of docs/design.md, section 4, in memory.
 *
 *   fake_platform [--port N] [--reads N] [--writes N]
 *
 * Port 0 (default) lets the kernel choose; "event=listening port=N" goes to stdout.
 * --reads and --writes limit calls a second; each call counts, and so does each watch that
 * waits when a new second begins. 0 (default) is no limit.
 *
 * PUT /control with JSON sets switches; those not named keep their value:
 *   outage              true: every call of the API gets 503, waiting watches too
 *   slow_ms             delay before each call is handled
 *   lose_write_answers  true, or the number of next accepted writes: the write takes effect
 *                       and the connection is closed without a response
 * GET /stats returns counts as JSON.
 */
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/address.h"

#define MAX_VALUE (1024 * 1024)
#define MAX_WAIT_MS 60000

struct object {
	guint64 version;
	char *value;
	size_t len;
};

/* A request whose response is not sent yet: delayed by slow_ms, or a waiting watch. */
struct pending {
	struct evhttp_request *req;
	struct event *timer;
	char *path;
	guint64 after;
	int is_watch;
};

/* Calls of the running second against a limit. */
struct rate {
	int limit;
	int used;
	gint64 second;
};

static struct {
	struct event_base *base;
	GHashTable *objects; /* path -> struct object */
	GList *pending;
	struct rate reads, writes;
	guint64 version; /* one counter for all objects, so that versions have gaps */
	int outage, slow_ms, lose_writes;
	json_int_t read_count, write_count, watch_count, limited_count, lost_count;
} platform;

static void free_object(void *data)
{
	struct object *o = data;

	g_free(o->value);
	g_free(o);
}

static int waiting_watches(void)
{
	int n = 0;

	for (GList *l = platform.pending; l; l = l->next)
		n += ((struct pending *)l->data)->is_watch;
	return n;
}

/* Takes one call of the rate. base_use is what a new second begins with. */
static int rate_allows(struct rate *rate, int base_use)
{
	gint64 second = g_get_monotonic_time() / G_USEC_PER_SEC;

	if (second != rate->second) {
		rate->second = second;
		rate->used = base_use;
	}
	if (rate->limit && rate->used >= rate->limit) {
		platform.limited_count++;
		return 0;
	}
	rate->used++;
	return 1;
}

static void reply(struct evhttp_request *req, int status, const char *reason, guint64 version,
		  const char *body, size_t len)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	char etag[32];

	if (version) {
		g_snprintf(etag, sizeof(etag), "\"%" G_GUINT64_FORMAT "\"", version);
		evhttp_add_header(headers, "ETag", etag);
	}
	if (len)
		evbuffer_add(evhttp_request_get_output_buffer(req), body, len);
	evhttp_send_reply(req, status, reason, NULL);
}

static void remove_pending(struct pending *p)
{
	struct evhttp_connection *connection =
		p->req ? evhttp_request_get_connection(p->req) : NULL;

	if (connection)
		evhttp_connection_set_closecb(connection, NULL, NULL);
	platform.pending = g_list_remove(platform.pending, p);
	event_free(p->timer);
	g_free(p->path);
	g_free(p);
}

/* evhttp frees the request together with its connection. */
static void on_close(struct evhttp_connection *connection, void *arg)
{
	struct pending *p = arg;

	(void)connection;
	p->req = NULL;
	remove_pending(p);
}

static struct pending *add_pending(struct evhttp_request *req, const char *path, int ms,
				   event_callback_fn cb)
{
	struct evhttp_connection *connection = evhttp_request_get_connection(req);
	struct pending *p = g_new0(struct pending, 1);
	struct timeval tv = {ms / 1000, (ms % 1000) * 1000};

	p->req = req;
	p->path = g_strdup(path);
	p->timer = event_new(platform.base, -1, 0, cb, p);
	event_add(p->timer, &tv);
	evhttp_connection_set_closecb(connection, on_close, p);
	/* Without EV_READ the close callback does not fire while the response is deferred. */
	bufferevent_enable(evhttp_connection_get_bufferevent(connection), EV_READ);
	platform.pending = g_list_prepend(platform.pending, p);
	return p;
}

/* Answers a watch that has ended, with the newer value, 304, 404 or 503. */
static void end_watch(struct pending *p)
{
	struct evhttp_request *req = p->req;
	const struct object *o = g_hash_table_lookup(platform.objects, p->path);
	guint64 after = p->after;

	remove_pending(p);
	if (platform.outage)
		reply(req, 503, "Outage", 0, NULL, 0);
	else if (!o)
		reply(req, 404, "Not Found", 0, NULL, 0);
	else if (o->version > after)
		reply(req, 200, "OK", o->version, o->value, o->len);
	else
		reply(req, 304, "Not Modified", o->version, NULL, 0);
}

static void on_watch_timeout(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	end_watch(arg);
}

/* path NULL ends all watches. */
static void end_watches(const char *path)
{
	GList *l = platform.pending;

	while (l) {
		struct pending *p = l->data;

		l = l->next;
		if (p->is_watch && (!path || !strcmp(p->path, path)))
			end_watch(p);
	}
}

static guint64 query_number(const struct evkeyvalq *query, const char *key, guint64 fallback)
{
	const char *text = evhttp_find_header(query, key);
	guint64 value;

	if (!text || !g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &value, NULL))
		return fallback;
	return value;
}

static void read_object(struct evhttp_request *req, const char *path)
{
	const struct object *o = g_hash_table_lookup(platform.objects, path);
	const char *query = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq params;
	guint64 after, wait_ms;
	int is_watch;

	if (evhttp_parse_query_str(query ? query : "", &params) < 0) {
		reply(req, 400, "Bad Query", 0, NULL, 0);
		return;
	}
	is_watch = evhttp_find_header(&params, "after") != NULL;
	after = query_number(&params, "after", 0);
	wait_ms = MIN(query_number(&params, "wait_ms", 0), MAX_WAIT_MS);
	evhttp_clear_headers(&params);
	platform.watch_count += is_watch;
	platform.read_count += !is_watch;
	if (is_watch && (!o || o->version <= after)) {
		struct pending *p = add_pending(req, path, (int)wait_ms, on_watch_timeout);

		p->is_watch = 1;
		p->after = after;
	} else if (o) {
		reply(req, 200, "OK", o->version, o->value, o->len);
	} else {
		reply(req, 404, "Not Found", 0, NULL, 0);
	}
}

/* Returns 0 if the condition holds, or the status that refuses the write. */
static int check_condition(struct evhttp_request *req, const struct object *o)
{
	const struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *match = evhttp_find_header(headers, "If-Match");
	const char *none = evhttp_find_header(headers, "If-None-Match");
	char etag[32];

	if (!match == !none || (none && strcmp(none, "*") != 0))
		return 400;
	if (none)
		return o ? 412 : 0;
	g_snprintf(etag, sizeof(etag), "\"%" G_GUINT64_FORMAT "\"", o ? o->version : 0);
	return o && !strcmp(match, etag) ? 0 : 412;
}

/* Closes the connection without a response. evhttp frees it when the reply cannot be sent. */
static void lose_answer(struct evhttp_request *req)
{
	struct evhttp_connection *connection = evhttp_request_get_connection(req);

	platform.lost_count++;
	if (platform.lose_writes > 0)
		platform.lose_writes--;
	shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), SHUT_RDWR);
	evhttp_send_reply(req, 200, "OK", NULL);
}

static void write_object(struct evhttp_request *req, const char *path)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	struct object *o = g_hash_table_lookup(platform.objects, path);
	size_t len = evbuffer_get_length(in);
	int refusal = check_condition(req, o);

	platform.write_count++;
	if (len > MAX_VALUE) {
		reply(req, 413, "Too Large", 0, NULL, 0);
		return;
	}
	if (refusal) {
		reply(req, refusal, refusal == 412 ? "Conflict" : "Bad Condition", 0, NULL, 0);
		return;
	}
	o = g_new0(struct object, 1);
	o->version = ++platform.version;
	o->len = len;
	o->value = g_malloc(len + 1);
	evbuffer_remove(in, o->value, len);
	g_hash_table_replace(platform.objects, g_strdup(path), o);
	end_watches(path);
	if (platform.lose_writes)
		lose_answer(req);
	else
		reply(req, 200, "OK", o->version, NULL, 0);
}

static void handle_object(struct evhttp_request *req, const char *path)
{
	int is_read = evhttp_request_get_command(req) == EVHTTP_REQ_GET;
	int is_write = evhttp_request_get_command(req) == EVHTTP_REQ_PUT;

	if (platform.outage)
		reply(req, 503, "Outage", 0, NULL, 0);
	else if (!is_read && !is_write)
		reply(req, 405, "Method Not Allowed", 0, NULL, 0);
	else if (is_read ? !rate_allows(&platform.reads, waiting_watches())
			 : !rate_allows(&platform.writes, 0))
		reply(req, 429, "Too Many Requests", 0, NULL, 0);
	else if (is_read)
		read_object(req, path);
	else
		write_object(req, path);
}

static void on_delay_end(evutil_socket_t fd, short what, void *arg)
{
	struct pending *p = arg;
	struct evhttp_request *req = p->req;
	char *path = g_strdup(p->path);

	(void)fd;
	(void)what;
	remove_pending(p);
	handle_object(req, path);
	g_free(path);
}

static void on_request(struct evhttp_request *req, void *arg)
{
	const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));

	(void)arg;
	if (!path || !g_str_has_prefix(path, "/v1/objects/"))
		reply(req, 404, "Not Found", 0, NULL, 0);
	else if (platform.slow_ms > 0)
		add_pending(req, path, platform.slow_ms, on_delay_end);
	else
		handle_object(req, path);
}

static void on_control(struct evhttp_request *req, void *arg)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	json_t *root = json_loadb((char *)evbuffer_pullup(in, -1), len, 0, NULL);
	json_t *value;

	(void)arg;
	if (!json_is_object(root)) {
		json_decref(root);
		reply(req, 400, "Bad JSON", 0, NULL, 0);
		return;
	}
	if ((value = json_object_get(root, "outage")))
		platform.outage = json_is_true(value);
	if ((value = json_object_get(root, "slow_ms")))
		platform.slow_ms = (int)json_integer_value(value);
	if ((value = json_object_get(root, "lose_write_answers")))
		platform.lose_writes = json_is_integer(value) ? (int)json_integer_value(value)
							      : -json_is_true(value);
	json_decref(root);
	if (platform.outage)
		end_watches(NULL);
	reply(req, 200, "OK", 0, NULL, 0);
}

static void on_stats(struct evhttp_request *req, void *arg)
{
	json_t *root = json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:i}", "reads", platform.read_count, "writes",
		platform.write_count, "watches", platform.watch_count, "rate_limited",
		platform.limited_count, "lost_write_answers", platform.lost_count, "version",
		(json_int_t)platform.version, "waiting_watches", waiting_watches());
	char *text = json_dumps(root, 0);

	(void)arg;
	reply(req, 200, "OK", 0, text, strlen(text));
	free(text);
	json_decref(root);
}

static int listen_on(struct evhttp *http, int port)
{
	struct evhttp_bound_socket *bound =
		evhttp_bind_socket_with_handle(http, "127.0.0.1", (ev_uint16_t)port);
	struct sockaddr_storage ss;
	struct snipe_address address;
	socklen_t len = sizeof(ss);

	if (!bound)
		return -1;
	getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&ss, &len);
	snipe_address_from_sockaddr((struct sockaddr *)&ss, &address);
	printf("event=listening port=%u\n", address.port);
	fflush(stdout);
	return 0;
}

int main(int argc, char **argv)
{
	struct evhttp *http;
	int port = 0;
	GOptionEntry entries[] = {
		{"port", 0, 0, G_OPTION_ARG_INT, &port, "Port on 127.0.0.1, 0 for any", "N"},
		{"reads", 0, 0, G_OPTION_ARG_INT, &platform.reads.limit,
		 "Reads a second, 0 for no limit", "N"},
		{"writes", 0, 0, G_OPTION_ARG_INT, &platform.writes.limit,
		 "Writes a second, 0 for no limit", "N"},
		{0},
	};
	GOptionContext *options = g_option_context_new("- stand-in for the platform");
	GError *error = NULL;

	g_option_context_add_main_entries(options, entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	g_option_context_free(options);
	signal(SIGPIPE, SIG_IGN);
	platform.base = event_base_new();
	platform.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
	http = evhttp_new(platform.base);
	evhttp_set_max_headers_size(http, 16 * 1024);
	/* Above the limit of the API, so that the API itself can respond with 413. */
	evhttp_set_max_body_size(http, 4 * MAX_VALUE);
	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
	evhttp_set_cb(http, "/control", on_control, NULL);
	evhttp_set_cb(http, "/stats", on_stats, NULL);
	evhttp_set_gencb(http, on_request, NULL);
	if (listen_on(http, port) < 0) {
		fprintf(stderr, "event=listen_failed port=%d\n", port);
		return 1;
	}
	event_base_dispatch(platform.base);
	return 0;
}
