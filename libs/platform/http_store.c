#include "platform/object_store.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/clock.h"

enum call_state { CALL_STARTING, CALL_RUNNING, CALL_DONE };

/*
 * One operation. Its timer first starts the request, then serves as the deadline, and at last
 * delivers the result: neither starting nor the callbacks of evhttp may call the user or free
 * the connection.
 */
struct snipe_http_store_call {
	struct snipe_http_store_call *next;
	struct snipe_http_store *store;
	struct event *timer;
	struct evhttp_connection *connection;
	enum evhttp_cmd_type method;
	enum call_state state;
	int handle;
	int deadline_ms;
	int sent; /* bytes of the request may have left */
	int too_long;
	int err;
	int is_watch;
	uint64_t condition; /* If-Match, or the version that a watch knows; 0: none */
	uint64_t version;
	char *path;
	struct evbuffer *value; /* of a put, then of the response */
	snipe_object_cb cb;
	void *arg;
};

static struct snipe_http_store_call **find_call(struct snipe_http_store *s, int handle)
{
	struct snipe_http_store_call **at = &s->calls;

	while (*at && (*at)->handle != handle)
		at = &(*at)->next;
	return at;
}

static void free_call(struct snipe_http_store_call *call)
{
	if (call->connection)
		evhttp_connection_free(call->connection);
	event_free(call->timer);
	evbuffer_free(call->value);
	g_free(call->path);
	g_free(call);
}

static void set_timer(struct snipe_http_store_call *call, int ms)
{
	struct timeval tv = snipe_timeval((int64_t)ms * 1000);

	event_add(call->timer, &tv);
}

/* Records the result, which the timer delivers from the event loop. */
static void complete(struct snipe_http_store_call *call, int err)
{
	if (call->state == CALL_DONE)
		return;
	call->state = CALL_DONE;
	call->err = err;
	set_timer(call, 0);
}

/* The error for an operation without a usable response. */
static int lost_error(const struct snipe_http_store_call *call)
{
	return call->method == EVHTTP_REQ_PUT && call->sent ? SNIPE_ERR_UNKNOWN
							    : SNIPE_ERR_UNAVAILABLE;
}

/* Parses a strong ETag that holds a version. Returns 0 for anything else. */
static uint64_t parse_etag(const char *etag)
{
	char digits[24];
	size_t len = etag ? strlen(etag) : 0;
	guint64 version;

	if (len < 3 || len - 2 >= sizeof(digits) || etag[0] != '"' || etag[len - 1] != '"')
		return 0;
	g_strlcpy(digits, etag + 1, len - 1);
	return g_ascii_string_to_unsigned(digits, 10, 1, G_MAXUINT64, &version, NULL) ? version
										      : 0;
}

/*
 * Returns nonzero if the length of the response is announced by exactly one header. evhttp
 * checks the body against it; without one, a response cut short looks complete.
 */
static int has_known_length(struct evhttp_request *req)
{
	struct evkeyval *header;
	int n = 0;

	TAILQ_FOREACH(header, evhttp_request_get_input_headers(req), next)
	{
		if (!g_ascii_strcasecmp(header->key, "Content-Length") ||
		    (!g_ascii_strcasecmp(header->key, "Transfer-Encoding") &&
		     !g_ascii_strcasecmp(header->value, "chunked")))
			n++;
	}
	return n == 1;
}

/* 200: a value with its version, or the version of a write. */
static int accept_success(struct snipe_http_store_call *call, struct evhttp_request *req)
{
	if (!has_known_length(req) || call->version == 0)
		return lost_error(call);
	if (call->method == EVHTTP_REQ_PUT)
		return call->version > call->condition ? 0 : SNIPE_ERR_UNKNOWN;
	/* A watch that returns an older version would turn the configuration back. */
	if (call->is_watch && call->version <= call->condition)
		return SNIPE_ERR_UNAVAILABLE;
	evbuffer_add_buffer(call->value, evhttp_request_get_input_buffer(req));
	return 0;
}

/* 304: only for a watch, and only for the version that it knows. */
static int accept_unchanged(struct snipe_http_store_call *call)
{
	if (!call->is_watch || (call->version && call->version != call->condition))
		return lost_error(call);
	call->version = call->condition;
	return SNIPE_ERR_STALE;
}

static int classify(struct snipe_http_store_call *call, struct evhttp_request *req)
{
	int status = evhttp_request_get_response_code(req);

	switch (status) {
	case 200:
		return accept_success(call, req);
	case 304:
		return accept_unchanged(call);
	case 404:
		return SNIPE_ERR_NOT_FOUND;
	case 412:
		return SNIPE_ERR_CONFLICT;
	case 413:
		return SNIPE_ERR_TOO_LARGE;
	case 429:
		return SNIPE_ERR_RATE_LIMITED;
	case 503:
		return SNIPE_ERR_UNAVAILABLE;
	default:
		/* Other 4xx refuse the request. Other 5xx, such as 502 and 504 of a gateway,
		 * may hide a write that took effect. */
		return status >= 400 && status < 500 ? SNIPE_ERR_UNAVAILABLE : lost_error(call);
	}
}

static void on_response(struct evhttp_request *req, void *arg)
{
	struct snipe_http_store_call *call = arg;
	int status = req ? evhttp_request_get_response_code(req) : 0;

	if (call->state == CALL_DONE)
		return;
	evbuffer_drain(call->value, evbuffer_get_length(call->value));
	if (status == 0) {
		complete(call, call->too_long && call->method == EVHTTP_REQ_GET
				       ? SNIPE_ERR_TOO_LARGE
				       : lost_error(call));
		return;
	}
	call->version =
		parse_etag(evhttp_find_header(evhttp_request_get_input_headers(req), "ETag"));
	complete(call, classify(call, req));
}

/* The response callback follows, or it does not; the deadline covers the second case. */
static void on_request_error(enum evhttp_request_error error, void *arg)
{
	struct snipe_http_store_call *call = arg;

	if (error == EVREQ_HTTP_DATA_TOO_LONG)
		call->too_long = 1;
	if (call->state != CALL_DONE)
		complete(call, call->too_long && call->method == EVHTTP_REQ_GET
				       ? SNIPE_ERR_TOO_LARGE
				       : lost_error(call));
}

/* evhttp writes to the output buffer only once the connection is open. */
static void on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *arg)
{
	struct snipe_http_store_call *call = arg;

	(void)buffer;
	if (info->n_added > 0)
		call->sent = 1;
}

static void add_headers(struct snipe_http_store_call *call, struct evhttp_request *req,
			const char *host)
{
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);
	char etag[32];

	evhttp_add_header(headers, "Host", host);
	evhttp_add_header(headers, "Connection", "close");
	if (call->method != EVHTTP_REQ_PUT)
		return;
	evhttp_add_header(headers, "Content-Type", "application/json");
	g_snprintf(etag, sizeof(etag), "\"%" G_GUINT64_FORMAT "\"", call->condition);
	if (call->condition)
		evhttp_add_header(headers, "If-Match", etag);
	else
		evhttp_add_header(headers, "If-None-Match", "*");
	evbuffer_add_buffer(evhttp_request_get_output_buffer(req), call->value);
}

static struct evhttp_connection *open_connection(struct snipe_http_store_call *call)
{
	const struct snipe_http_store *s = call->store;
	struct bufferevent *bev = bufferevent_socket_new(s->base, -1, BEV_OPT_CLOSE_ON_FREE);
	struct evhttp_connection *connection;

	if (!bev)
		return NULL;
	evbuffer_add_cb(bufferevent_get_output(bev), on_output, call);
	connection = evhttp_connection_base_bufferevent_new(s->base, NULL, bev, s->address.ip,
							    s->address.port);
	if (!connection) {
		bufferevent_free(bev);
		return NULL;
	}
	evhttp_connection_set_max_headers_size(connection, 16 * 1024);
	evhttp_connection_set_max_body_size(connection, SNIPE_OBJECT_MAX_BYTES);
	/* The deadline of the call comes first. */
	evhttp_connection_set_timeout(connection, call->deadline_ms / 1000 + 10);
	return connection;
}

static void start(struct snipe_http_store_call *call)
{
	char host[SNIPE_ADDRESS_TEXT];
	struct evhttp_request *req;

	call->state = CALL_RUNNING;
	set_timer(call, call->deadline_ms);
	call->connection = open_connection(call);
	req = call->connection ? evhttp_request_new(on_response, call) : NULL;
	if (!req) {
		complete(call, SNIPE_ERR_UNAVAILABLE);
		return;
	}
	evhttp_request_set_error_cb(req, on_request_error);
	snipe_address_format(&call->store->address, host);
	add_headers(call, req, host);
	if (evhttp_make_request(call->connection, req, call->method, call->path) < 0)
		complete(call, lost_error(call));
}

static void deliver(struct snipe_http_store_call *call)
{
	struct snipe_object object = {call->version, NULL, 0};

	*find_call(call->store, call->handle) = call->next;
	if (call->err == 0 && call->method == EVHTTP_REQ_GET) {
		object.len = evbuffer_get_length(call->value);
		object.value = object.len ? (char *)evbuffer_pullup(call->value, -1) : "";
	}
	if (call->err != 0 && call->err != SNIPE_ERR_STALE)
		object.version = 0;
	call->cb(call->arg, call->err, &object);
	free_call(call);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_http_store_call *call = arg;

	(void)fd;
	(void)what;
	switch (call->state) {
	case CALL_STARTING:
		start(call);
		break;
	case CALL_RUNNING:
		call->state = CALL_DONE;
		call->err = lost_error(call);
		deliver(call);
		break;
	case CALL_DONE:
		deliver(call);
		break;
	}
}

static int is_word(const char *text)
{
	size_t len = strlen(text);

	return len > 0 && len < 64 &&
	       strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-.") == len;
}

static struct snipe_http_store_call *new_call(struct snipe_object_store *store,
					      const char *kind, const char *name,
					      snipe_object_cb cb, void *arg)
{
	struct snipe_http_store *s = (struct snipe_http_store *)store;
	struct snipe_http_store_call *call = g_new0(struct snipe_http_store_call, 1);

	call->store = s;
	call->path = g_strdup_printf("/v1/objects/%s/%s", kind, name);
	call->cb = cb;
	call->arg = arg;
	call->value = evbuffer_new();
	call->timer = event_new(s->base, -1, 0, on_timer, call);
	call->next = s->calls;
	s->calls = call;
	call->handle = ++s->next_handle;
	if (s->next_handle == G_MAXINT)
		s->next_handle = 0;
	set_timer(call, 0);
	return call;
}

static int http_get(struct snipe_object_store *store, const char *kind, const char *name,
		    int timeout_ms, snipe_object_cb cb, void *arg)
{
	struct snipe_http_store_call *call;

	if (!is_word(kind) || !is_word(name))
		return SNIPE_ERR_INVALID;
	call = new_call(store, kind, name, cb, arg);
	call->method = EVHTTP_REQ_GET;
	call->deadline_ms = timeout_ms;
	return call->handle;
}

static int http_watch(struct snipe_object_store *store, const char *kind, const char *name,
		      uint64_t after, int wait_ms, int timeout_ms, snipe_object_cb cb,
		      void *arg)
{
	struct snipe_http_store_call *call;
	char *path;

	if (!is_word(kind) || !is_word(name) || wait_ms < 0)
		return SNIPE_ERR_INVALID;
	call = new_call(store, kind, name, cb, arg);
	call->method = EVHTTP_REQ_GET;
	call->deadline_ms = wait_ms + timeout_ms;
	call->is_watch = 1;
	call->condition = after;
	path = g_strdup_printf("%s?after=%" G_GUINT64_FORMAT "&wait_ms=%d", call->path, after,
			       wait_ms);
	g_free(call->path);
	call->path = path;
	return call->handle;
}

static int http_put(struct snipe_object_store *store, const char *kind, const char *name,
		    uint64_t if_version, const char *value, size_t len, int timeout_ms,
		    snipe_object_cb cb, void *arg)
{
	struct snipe_http_store_call *call;

	if (!is_word(kind) || !is_word(name))
		return SNIPE_ERR_INVALID;
	if (len > SNIPE_OBJECT_MAX_BYTES)
		return SNIPE_ERR_TOO_LARGE;
	call = new_call(store, kind, name, cb, arg);
	call->method = EVHTTP_REQ_PUT;
	call->deadline_ms = timeout_ms;
	call->condition = if_version;
	evbuffer_add(call->value, value, len);
	return call->handle;
}

static void http_cancel(struct snipe_object_store *store, int handle)
{
	struct snipe_http_store_call **at = find_call((struct snipe_http_store *)store, handle);
	struct snipe_http_store_call *call = *at;

	if (!call)
		return;
	*at = call->next;
	call->state = CALL_DONE;
	free_call(call);
}

static void http_finish(struct snipe_object_store *store)
{
	struct snipe_http_store *s = (struct snipe_http_store *)store;

	while (s->calls)
		http_cancel(store, s->calls->handle);
}

static const struct snipe_object_store_ops http_ops = {
	.get = http_get,
	.watch = http_watch,
	.put = http_put,
	.cancel = http_cancel,
	.finish = http_finish,
};

void snipe_http_store_init(struct snipe_http_store *s, struct event_base *base,
			   const struct snipe_address *address)
{
	memset(s, 0, sizeof(*s));
	s->store.ops = &http_ops;
	s->base = base;
	s->address = *address;
}
