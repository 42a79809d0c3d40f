#include "h1/pool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/memory_account.h"
#include "base/socket.h"

/* Limits of responses: four times the header section allowed in client requests, and the
 * largest body that a frame between nodes can carry. */
#define MAX_HEAD_BYTES (64 * 1024)
#define DEFAULT_MAX_BODY_BYTES (8 * 1024 * 1024)
/* Shorter than the idle timeout of most servers. */
#define DEFAULT_IDLE_LIMIT_US 4000000
/* A server that does not accept within this time counts as unreachable. */
#define DEFAULT_CONNECT_TIMEOUT_US 1000000
/* An idle connection is not reused in this time before the server's Keep-Alive timeout, so that
 * the server does not close it while a request is in transit. */
#define KEEP_ALIVE_MARGIN_US 1500000

struct snipe_h1_client_connection {
	struct snipe_h1_pool *pool;
	LIST_ENTRY(snipe_h1_client_connection) entry;
	struct bufferevent *bev;
	struct snipe_h1_call *call; /* NULL: idle */
	unsigned generation;
	int is_connected;
	int64_t idle_until_us;
	size_t charged;	       /* for bytes in transit */
	int64_t keep_alive_us; /* from the Keep-Alive field; 0: none received */
};

struct snipe_h1_call {
	struct snipe_h1_client_connection *connection; /* NULL once released or closed */
	struct snipe_h1_pool *pool;
	const struct snipe_h1_call_ops *ops;
	void *arg;
	int is_head;
	struct snipe_h1_message response;
	struct snipe_h1_parser parser;
	struct event deferred;
};

void snipe_h1_pool_init(struct snipe_h1_pool *p, struct event_base *base)
{
	memset(p, 0, sizeof(*p));
	p->base = base;
	p->idle_limit_us = DEFAULT_IDLE_LIMIT_US;
	p->connect_timeout_us = DEFAULT_CONNECT_TIMEOUT_US;
	p->max_body_bytes = DEFAULT_MAX_BODY_BYTES;
	g_queue_init(&p->idle);
}

static size_t buffered_bytes(const struct snipe_h1_client_connection *c)
{
	return evbuffer_get_length(bufferevent_get_input(c->bev)) +
	       evbuffer_get_length(bufferevent_get_output(c->bev));
}

static void update_charge(struct snipe_h1_client_connection *c)
{
	snipe_memory_update(c->pool->account, &c->charged, buffered_bytes(c));
}

static void free_connection(struct snipe_h1_client_connection *c)
{
	struct snipe_h1_pool *p = c->pool;

	snipe_memory_update(p->account, &c->charged, 0);
	LIST_REMOVE(c, entry);
	p->connection_count--;
	if (!c->call)
		g_queue_remove(&p->idle, c);
	bufferevent_free(c->bev);
	g_free(c);
}

void snipe_h1_pool_finish(struct snipe_h1_pool *p)
{
	struct snipe_h1_client_connection *next;

	for (struct snipe_h1_client_connection *c = LIST_FIRST(&p->connections); c; c = next) {
		next = LIST_NEXT(c, entry);
		if (c->call)
			snipe_h1_call_cancel(c->call);
		else
			free_connection(c);
	}
}

void snipe_h1_pool_retire_connections(struct snipe_h1_pool *p)
{
	p->generation++;
	while (!g_queue_is_empty(&p->idle))
		free_connection(g_queue_peek_tail(&p->idle));
}

void snipe_h1_pool_set_address(struct snipe_h1_pool *p, const struct snipe_address *address)
{
	if (snipe_address_equal(&p->address, address))
		return;
	p->address = *address;
	snipe_h1_pool_retire_connections(p);
}

static void free_call(struct snipe_h1_call *call)
{
	event_del(&call->deferred);
	snipe_h1_message_finish(&call->response);
	g_free(call);
}

/* Detaches the call from its connection and closes the connection. */
static void close_call_connection(struct snipe_h1_call *call)
{
	struct snipe_h1_client_connection *c = call->connection;

	call->connection = NULL;
	if (!c)
		return;
	c->call = NULL;
	g_queue_push_head(&c->pool->idle, c);
	free_connection(c);
}

static void end_call(struct snipe_h1_call *call, enum snipe_h1_result result)
{
	if (result == SNIPE_H1_COMPLETE)
		call->pool->last_response_us = snipe_now_us();
	call->ops->done(call->arg, result,
			result == SNIPE_H1_COMPLETE ? &call->response : NULL);
	free_call(call);
}

/* Parses "timeout=N" (seconds) of the Keep-Alive field; 0 if absent or out of range. */
static int64_t parse_keep_alive_us(const struct snipe_h1_message *m)
{
	const char *value = snipe_h1_find_value(m, "Keep-Alive");
	const char *at = value ? strstr(value, "timeout=") : NULL;
	long seconds = at ? strtol(at + 8, NULL, 10) : 0;

	return seconds > 0 && seconds < 86400 ? seconds * 1000000 : 0;
}

/* Returns the connection to the pool after a complete response, or closes it if it cannot be
 * reused. */
static void release_connection(struct snipe_h1_call *call)
{
	struct snipe_h1_client_connection *c = call->connection;
	struct snipe_h1_pool *p = c->pool;
	int64_t keep_alive_us = parse_keep_alive_us(&call->response);
	int64_t limit = p->idle_limit_us;

	if (keep_alive_us)
		c->keep_alive_us = keep_alive_us;
	if (c->keep_alive_us)
		limit = MAX(MIN(limit, c->keep_alive_us - KEEP_ALIVE_MARGIN_US), 0);
	if (!call->response.keep_alive || call->response.is_close_delimited ||
	    c->generation != p->generation || limit == 0 ||
	    /* Bytes after the response belong to no call, and the server would read the next
	     * request as the rest of one that was not completely sent. */
	    evbuffer_get_length(bufferevent_get_input(c->bev)) > 0 ||
	    evbuffer_get_length(bufferevent_get_output(c->bev)) > 0) {
		close_call_connection(call);
		return;
	}
	call->connection = NULL;
	c->call = NULL;
	update_charge(c);
	c->idle_until_us = snipe_now_us() + limit;
	g_queue_push_tail(&p->idle, c);
}

static void begin_response(struct snipe_h1_call *call)
{
	snipe_h1_message_clear(&call->response);
	snipe_h1_parser_init(&call->parser, &call->response, 0, call->is_head, MAX_HEAD_BYTES,
			     call->pool->max_body_bytes);
}

/* Returns nonzero if the complete message is the final response to the call. */
static int is_final_response(struct snipe_h1_call *call)
{
	if (call->response.status < 200)
		return 0;
	return !call->ops->accept || call->ops->accept(call->arg, &call->response);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct snipe_h1_client_connection *c = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	struct snipe_h1_call *call = c->call;
	struct evbuffer_iovec piece;
	enum snipe_h1_parse_result result;
	size_t consumed;

	if (!call) {
		/* A server must not send data on an idle connection. */
		free_connection(c);
		return;
	}
	while (evbuffer_peek(in, -1, NULL, &piece, 1) >= 1 && piece.iov_len > 0) {
		result = snipe_h1_parser_feed(&call->parser, piece.iov_base, piece.iov_len,
					      &consumed);
		evbuffer_drain(in, consumed);
		if (result == SNIPE_H1_NEED_MORE) {
			update_charge(c);
			continue;
		}
		if (result != SNIPE_H1_DONE) {
			close_call_connection(call);
			end_call(call, result == SNIPE_H1_BODY_LIMIT ? SNIPE_H1_TOO_LARGE
								     : SNIPE_H1_BROKEN);
			return;
		}
		if (is_final_response(call)) {
			release_connection(call);
			end_call(call, SNIPE_H1_COMPLETE);
			return;
		}
		begin_response(call);
	}
}

static void on_end(struct snipe_h1_client_connection *c, short what)
{
	struct snipe_h1_call *call = c->call;
	enum snipe_h1_result result = SNIPE_H1_LOST;

	if (!call) {
		free_connection(c);
		return;
	}
	if (!c->is_connected)
		result = SNIPE_H1_NOT_CONNECTED;
	else if (call->parser.has_begun)
		result = SNIPE_H1_BROKEN;
	/* A close-delimited response is complete only if the connection was closed cleanly. */
	if (result == SNIPE_H1_BROKEN && (what & BEV_EVENT_EOF) && !(what & BEV_EVENT_ERROR) &&
	    snipe_h1_parser_end(&call->parser) == SNIPE_H1_DONE && is_final_response(call))
		result = SNIPE_H1_COMPLETE;
	close_call_connection(call);
	end_call(call, result);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct snipe_h1_client_connection *c = arg;

	if (what & BEV_EVENT_CONNECTED) {
		c->is_connected = 1;
		bufferevent_set_timeouts(bev, NULL, NULL);
		return;
	}
	on_end(c, what);
}

static struct snipe_h1_client_connection *open_connection(struct snipe_h1_pool *p)
{
	struct snipe_h1_client_connection *c = g_new0(struct snipe_h1_client_connection, 1);
	struct timeval tv = snipe_timeval(p->connect_timeout_us);
	struct sockaddr_storage ss;
	int len = snipe_address_to_sockaddr(&p->address, &ss);

	c->pool = p;
	c->generation = p->generation;
	c->bev = bufferevent_socket_new(p->base, -1,
					BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
	LIST_INSERT_HEAD(&p->connections, c, entry);
	p->connection_count++;
	p->opened_total++;
	bufferevent_setcb(c->bev, on_read, NULL, on_event, c);
	if (p->connect_timeout_us)
		bufferevent_set_timeouts(c->bev, &tv, &tv);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	if (len > 0 && bufferevent_socket_connect(c->bev, (struct sockaddr *)&ss, len) == 0)
		snipe_socket_set_nodelay(bufferevent_getfd(c->bev));
	return c;
}

static struct snipe_h1_client_connection *take_idle(struct snipe_h1_pool *p)
{
	int64_t now = snipe_now_us();
	struct snipe_h1_client_connection *c;

	/* Ordered by last use, oldest at the head. */
	while ((c = g_queue_peek_head(&p->idle)) && c->idle_until_us <= now)
		free_connection(c);
	return g_queue_pop_tail(&p->idle);
}

static void on_deferred(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	end_call(arg, SNIPE_H1_NO_SOCKET);
}

struct snipe_h1_call *snipe_h1_call_start(struct snipe_h1_pool *p, struct evbuffer *request,
					  int is_head, const struct snipe_h1_call_ops *ops,
					  void *arg)
{
	struct snipe_h1_call *call = g_new0(struct snipe_h1_call, 1);
	struct snipe_h1_client_connection *c = take_idle(p);

	call->pool = p;
	call->ops = ops;
	call->arg = arg;
	call->is_head = is_head;
	snipe_h1_message_init_charged(&call->response, p->account);
	event_assign(&call->deferred, p->base, -1, 0, on_deferred, call);
	begin_response(call);
	if (!c)
		c = open_connection(p);
	c->call = call;
	call->connection = c;
	if (bufferevent_getfd(c->bev) < 0) {
		/* A refused connection is reported later, by an event. */
		close_call_connection(call);
		event_active(&call->deferred, 0, 0);
		return call;
	}
	bufferevent_write_buffer(c->bev, request);
	update_charge(c);
	return call;
}

size_t snipe_h1_call_held(const struct snipe_h1_call *call)
{
	const struct snipe_h1_message *m = &call->response;

	return m->url.size + m->text.size + m->body.size +
	       (call->connection ? buffered_bytes(call->connection) : 0);
}

void snipe_h1_call_cancel(struct snipe_h1_call *call)
{
	close_call_connection(call);
	free_call(call);
}
