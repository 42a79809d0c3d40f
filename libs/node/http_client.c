#include "node/http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#include "base/error.h"
#include "base/clock.h"
#include "node/http_text.h"

/* Servers commonly close connections that are idle for longer; a request sent at that moment
 * would be lost with an unknown outcome. */
#define IDLE_LIMIT_US 5000000
/* Deadlines bound a call; evhttp's own timeout must not come before them. */
#define EVHTTP_TIMEOUT_S 86400

struct snipe_http_connection {
	struct evhttp_connection *evcon;
	unsigned generation;
	int64_t idle_since_us;
};

static void free_connection(gpointer p)
{
	struct snipe_http_connection *conn = p;

	evhttp_connection_free(conn->evcon);
	g_free(conn);
}

static void close_discarded(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_http_client *c = arg;

	(void)fd;
	(void)what;
	g_ptr_array_set_size(c->discarded, 0);
}

void snipe_http_client_init(struct snipe_http_client *c, struct event_base *base)
{
	memset(c, 0, sizeof(*c));
	c->base = base;
	c->idle = g_ptr_array_new();
	c->discarded = g_ptr_array_new_with_free_func(free_connection);
	event_assign(&c->close_discarded, base, -1, 0, close_discarded, c);
}

void snipe_http_client_finish(struct snipe_http_client *c)
{
	if (c->probe)
		bufferevent_free(c->probe);
	event_del(&c->close_discarded);
	g_ptr_array_set_free_func(c->idle, free_connection);
	g_ptr_array_free(c->idle, TRUE);
	g_ptr_array_free(c->discarded, TRUE);
}

static void discard(struct snipe_http_client *c, struct snipe_http_connection *conn)
{
	g_ptr_array_add(c->discarded, conn);
	event_active(&c->close_discarded, 0, 0);
}

void snipe_http_client_renew(struct snipe_http_client *c)
{
	c->generation++;
	while (c->idle->len > 0)
		discard(c, g_ptr_array_remove_index_fast(c->idle, c->idle->len - 1));
}

void snipe_http_client_set_address(struct snipe_http_client *c,
				   const struct snipe_address *address)
{
	if (snipe_address_equal(&c->address, address))
		return;
	c->address = *address;
	snipe_http_client_renew(c);
}

void snipe_http_client_set_max_connections(struct snipe_http_client *c, int max_connections)
{
	c->max_connections = max_connections;
}

int64_t snipe_http_client_last_response_us(const struct snipe_http_client *c)
{
	return c->last_response_us;
}

static void probe_event(struct bufferevent *bev, short what, void *arg)
{
	struct snipe_http_client *c = arg;
	int err = SNIPE_ERR_UNAVAILABLE;

	if (what & BEV_EVENT_CONNECTED)
		err = 0;
	else if (what & BEV_EVENT_TIMEOUT)
		err = SNIPE_ERR_UNKNOWN;
	c->probe = NULL;
	bufferevent_free(bev);
	c->probe_cb(c->probe_arg, err);
}

void snipe_http_client_probe(struct snipe_http_client *c, void (*cb)(void *arg, int err),
			     void *arg)
{
	static const struct timeval limit = {0, 250000};
	struct sockaddr_storage ss;
	int len;

	if (c->probe)
		return;
	c->probe_cb = cb;
	c->probe_arg = arg;
	c->probe = bufferevent_socket_new(c->base, -1,
					  BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	bufferevent_setcb(c->probe, NULL, NULL, probe_event, c);
	bufferevent_set_timeouts(c->probe, &limit, &limit);
	bufferevent_enable(c->probe, EV_READ | EV_WRITE);
	len = snipe_address_to_sockaddr(&c->address, &ss);
	if (len < 0 || bufferevent_socket_connect(c->probe, (struct sockaddr *)&ss, len) < 0)
		bufferevent_trigger_event(c->probe, BEV_EVENT_ERROR, BEV_OPT_DEFER_CALLBACKS);
}

static struct snipe_http_connection *new_connection(struct snipe_http_client *c)
{
	struct snipe_http_connection *conn = g_new0(struct snipe_http_connection, 1);

	conn->evcon = evhttp_connection_base_new(c->base, NULL, c->address.ip, c->address.port);
	conn->generation = c->generation;
	evhttp_connection_set_timeout(conn->evcon, EVHTTP_TIMEOUT_S);
	evhttp_connection_set_max_headers_size(conn->evcon, SNIPE_HTTP_HEADER_LIMIT);
	evhttp_connection_set_max_body_size(conn->evcon, SNIPE_MAX_BODY_BYTES);
	return conn;
}

/* Takes the connection that was used last: the least likely one to be closed by the server. */
static struct snipe_http_connection *acquire(struct snipe_http_client *c)
{
	struct snipe_http_connection *conn;

	if (c->running >= c->max_connections)
		return NULL;
	c->running++;
	if (c->idle->len == 0)
		return new_connection(c);
	conn = g_ptr_array_remove_index_fast(c->idle, c->idle->len - 1);
	if (snipe_now_us() - conn->idle_since_us <= IDLE_LIMIT_US)
		return conn;
	discard(c, conn);
	/* All others have been idle for longer. */
	while (c->idle->len > 0)
		discard(c, g_ptr_array_remove_index_fast(c->idle, c->idle->len - 1));
	return new_connection(c);
}

/* A failed connection is reset by evhttp and connects again when it is used. */
static void release(struct snipe_http_client *c, struct snipe_http_connection *conn)
{
	c->running--;
	conn->idle_since_us = snipe_now_us();
	if (conn->generation == c->generation)
		g_ptr_array_add(c->idle, conn);
	else
		discard(c, conn);
}

/* Returns nonzero if the status code is one (RFC 9110, section 15), the length of the body was
 * stated, once, and all of it is there. */
static int is_whole(const struct snipe_http_exchange *x, struct evhttp_request *response)
{
	const struct evkeyvalq *headers = evhttp_request_get_input_headers(response);
	size_t len = evbuffer_get_length(evhttp_request_get_input_buffer(response));
	int code = evhttp_request_get_response_code(response);
	const char *length, *coding;
	int lengths = snipe_http_count(headers, "Content-Length", &length);
	int codings = snipe_http_count(headers, "Transfer-Encoding", &coding);

	if (code < 100 || code > 599)
		return 0;
	if (x->is_head || code == 204 || code == 304)
		return 1;
	if (lengths + codings != 1)
		return 0;
	if (codings)
		return g_ascii_strcasecmp(coding, "chunked") == 0;
	return g_ascii_strtoull(length, NULL, 10) == len;
}

static void report_not_connected(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_http_exchange *x = arg;

	(void)fd;
	(void)what;
	x->cb(x->arg, SNIPE_HTTP_NOT_CONNECTED, NULL);
}

static void on_done(struct evhttp_request *response, void *arg)
{
	struct snipe_http_exchange *x = arg;
	struct snipe_http_client *c = x->client;
	enum snipe_http_result result;

	/* evhttp frees the request after this callback. */
	x->request = NULL;
	if (!x->connection)
		return;
	release(c, x->connection);
	x->connection = NULL;
	if (!response) {
		result = x->has_headers ? SNIPE_HTTP_TRUNCATED : SNIPE_HTTP_LOST;
	} else if (evhttp_request_get_response_code(response) == 0) {
		if (x->is_starting) {
			event_active(&x->deferred, 0, 0);
			return;
		}
		result = SNIPE_HTTP_NOT_CONNECTED;
	} else {
		c->last_response_us = snipe_now_us();
		result = is_whole(x, response) ? SNIPE_HTTP_COMPLETE : SNIPE_HTTP_TRUNCATED;
	}
	x->cb(x->arg, result, response);
}

static int on_headers(struct evhttp_request *response, void *arg)
{
	struct snipe_http_exchange *x = arg;

	(void)response;
	x->has_headers = 1;
	return 0;
}

void snipe_http_exchange_init(struct snipe_http_exchange *x, struct snipe_http_client *c,
			      snipe_http_done_cb cb, void *arg)
{
	memset(x, 0, sizeof(*x));
	x->client = c;
	x->cb = cb;
	x->arg = arg;
	x->request = evhttp_request_new(on_done, x);
	evhttp_request_set_header_cb(x->request, on_headers);
	event_assign(&x->deferred, c->base, -1, 0, report_not_connected, x);
}

void snipe_http_exchange_finish(struct snipe_http_exchange *x)
{
	struct snipe_http_connection *conn = x->connection;

	event_del(&x->deferred);
	x->connection = NULL;
	if (conn) {
		evhttp_cancel_request(x->request);
		release(x->client, conn);
	} else if (x->request) {
		evhttp_request_free(x->request);
	}
	x->request = NULL;
}

int snipe_http_exchange_start(struct snipe_http_exchange *x, int command, const char *uri)
{
	struct snipe_http_connection *conn = acquire(x->client);
	int ret;

	if (!conn)
		return SNIPE_ERR_FULL;
	x->connection = conn;
	x->is_head = command == EVHTTP_REQ_HEAD;
	x->is_starting = 1;
	ret = evhttp_make_request(conn->evcon, x->request, (enum evhttp_cmd_type)command, uri);
	x->is_starting = 0;
	if (ret != 0 && x->connection) {
		x->connection = NULL;
		release(x->client, conn);
		event_active(&x->deferred, 0, 0);
	}
	return 0;
}
