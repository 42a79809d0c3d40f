#include "h1/server.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/socket.h"

/* Interval at which connections are checked for timeouts. */
#define TIMEOUT_CHECK_INTERVAL_US 500000
/* Pending requests per connection; at the limit, further requests are not read. */
#define MAX_PIPELINED_REQUESTS 64
/* Unsent response bytes per connection at which further requests are not read. */
#define OUTPUT_HIGH_WATERMARK_BYTES (1024 * 1024)
/* How long the client may take to close its side after the last response. Closing a socket with
 * unread bytes resets the connection, which can discard a response in transit. */
#define LINGER_TIMEOUT_US 1000000
/* Connections waiting to be accepted: all clients of a host may reconnect at once. */
#define LISTEN_BACKLOG 1024
/* Part of the connections up to the limit that is kept free by closing idle ones. */
#define FREE_CONNECTIONS_RATIO 8
/* A connection without a request is idle after this time. */
#define FIRST_REQUEST_MAX_US 1000000

struct snipe_h1_connection {
	struct snipe_h1_server *server;
	LIST_ENTRY(snipe_h1_connection) entry;
	TAILQ_ENTRY(snipe_h1_connection) idle_entry;
	struct snipe_h1_idle *idle_list; /* NULL: not idle */
	int is_new;			 /* its first request may be on the way */
	int is_rejected;		 /* no request of it was admitted, or not the last */
	struct bufferevent *bev;
	struct snipe_h1_parser parser;
	struct snipe_h1_request *reading;      /* the request being read */
	struct snipe_h1_request *first, *last; /* read; the response is not yet written */
	int pending_count;		       /* requests from first to last */
	int is_processing;		       /* in use by a function on the stack */
	int is_close_pending;		       /* to be closed when is_processing ends */
	int is_read_closed;    /* the last request was read, or input was malformed */
	int64_t read_since_us; /* first byte of the request being read; 0: none */
	int64_t last_active_us;
	int64_t linger_until_us; /* 0: not lingering */
};

static void free_request(struct snipe_h1_request *req)
{
	snipe_h1_message_finish(&req->message);
	if (req->response)
		evbuffer_free(req->response);
	g_free(req);
}

/* Frees the requests that were read, whether answered or not. */
static void free_requests(struct snipe_h1_connection *c)
{
	while (c->first) {
		struct snipe_h1_request *req = c->first;

		c->first = req->next;
		free_request(req);
	}
	c->last = NULL;
	c->pending_count = 0;
}

static int has_room(const struct snipe_h1_server *s, int reserve)
{
	return !s->limits.max_connections ||
	       s->connection_count + reserve < s->limits.max_connections;
}

static void update_accepting(struct snipe_h1_server *s)
{
	if (s->is_accepting == has_room(s, 0))
		return;
	s->is_accepting = !s->is_accepting;
	if (s->is_accepting)
		evconnlistener_enable(s->listener);
	else
		evconnlistener_disable(s->listener);
}

static void destroy_connection(struct snipe_h1_connection *c)
{
	struct snipe_h1_server *s = c->server;

	LIST_REMOVE(c, entry);
	if (c->idle_list)
		TAILQ_REMOVE(c->idle_list, c, idle_entry);
	s->connection_count--;
	update_accepting(s);
	free_requests(c);
	if (c->reading)
		free_request(c->reading);
	bufferevent_free(c->bev);
	g_free(c);
}

static void cancel_requests(struct snipe_h1_connection *c)
{
	for (struct snipe_h1_request *req = c->first; req; req = req->next)
		if (!req->response && req->callback_data)
			c->server->ops->cancelled(c->server->arg, req);
}

static void close_connection(struct snipe_h1_connection *c)
{
	/* A function further up the stack uses the connection and will free it. */
	if (c->is_processing) {
		c->is_close_pending = 1;
		return;
	}
	c->is_processing = 1;
	cancel_requests(c);
	destroy_connection(c);
}

static const char *status_text(int status)
{
	switch (status) {
#define STATUS(num, name, string) \
	case num:                 \
		return #string;
		HTTP_STATUS_MAP(STATUS)
#undef STATUS
	default:
		return "Status";
	}
}

static int has_body(int status)
{
	return status >= 200 && status != 204 && status != 304;
}

static void write_response(struct snipe_h1_request *req, const struct snipe_h1_response *r)
{
	struct evbuffer *out = evbuffer_new();

	req->response = out;
	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", r->status, status_text(r->status));
	for (int i = 0; i < r->header_count; i++) {
		const struct snipe_h1_header *h = &r->headers[i];

		evbuffer_add(out, h->name.data, h->name.len);
		evbuffer_add(out, ": ", 2);
		evbuffer_add(out, h->value.data, h->value.len);
		evbuffer_add(out, "\r\n", 2);
	}
	if (r->is_head && r->head_content_length)
		evbuffer_add_printf(out, "Content-Length: %s\r\n", r->head_content_length);
	else if (!r->is_head && has_body(r->status))
		evbuffer_add_printf(out, "Content-Length: %zu\r\n", r->body_len);
	if (req->close_after)
		evbuffer_add(out, "Connection: close\r\n", 19);
	evbuffer_add(out, "\r\n", 2);
	if (!r->is_head && has_body(r->status) && r->body_len)
		evbuffer_add(out, r->body, r->body_len);
}

static int is_idle(const struct snipe_h1_connection *c)
{
	return !c->is_new && !c->first && !c->read_since_us && !c->linger_until_us &&
	       evbuffer_get_length(bufferevent_get_output(c->bev)) == 0;
}

/* Moves the connection to the end of the list to which it belongs now. */
static void update_idle(struct snipe_h1_connection *c)
{
	struct snipe_h1_server *s = c->server;

	if (c->idle_list)
		TAILQ_REMOVE(c->idle_list, c, idle_entry);
	c->idle_list = !is_idle(c)	? NULL
		       : c->is_rejected ? &s->idle_rejected
					: &s->idle_served;
	if (c->idle_list)
		TAILQ_INSERT_TAIL(c->idle_list, c, idle_entry);
}

static void begin_lingering_close(struct snipe_h1_connection *c)
{
	c->linger_until_us = snipe_now_us() + LINGER_TIMEOUT_US;
	shutdown(bufferevent_getfd(c->bev), SHUT_WR);
	update_idle(c);
}

/* Shortly before the limit, closes the idle connection that is needed least. A request that
 * crosses this is not read, so its client may send it again. */
static void make_room(struct snipe_h1_server *s)
{
	struct snipe_h1_connection *c = TAILQ_FIRST(&s->idle_rejected);

	if (!c)
		c = TAILQ_FIRST(&s->idle_served);
	if (!c || has_room(s, s->limits.max_connections / FREE_CONNECTIONS_RATIO))
		return;
	s->closed_idle_count++;
	c->is_read_closed = 1;
	begin_lingering_close(c);
}

/* Writes the responses that are ready at the head of the queue. */
static void flush_responses(struct snipe_h1_connection *c)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	int closes = 0;

	while (c->first && c->first->response && !closes) {
		struct snipe_h1_request *req = c->first;

		evbuffer_add_buffer(out, req->response);
		closes = req->close_after;
		c->first = req->next;
		if (!c->first)
			c->last = NULL;
		c->pending_count--;
		free_request(req);
	}
	if (!closes)
		return;
	c->is_read_closed = 1;
	/* Requests after a response that ends the connection are cancelled unanswered. */
	cancel_requests(c);
	free_requests(c);
	if (evbuffer_get_length(out) == 0)
		begin_lingering_close(c);
}

static void read_requests(struct snipe_h1_connection *c);

/* Whether the connection ends after this response. Requests that were sent behind it would have
 * to be sent again, so that while there are any, only an error ends it. */
static int closes_after(const struct snipe_h1_request *req,
			const struct snipe_h1_response *response)
{
	const struct snipe_h1_connection *c = req->connection;
	const struct snipe_h1_server *s = c->server;
	int is_last = !req->next && !c->reading &&
		      evbuffer_get_length(bufferevent_get_input(c->bev)) == 0;
	int is_scarce = s->limits.scarce_connections &&
			s->connection_count > s->limits.scarce_connections;

	return response->close || !req->message.keep_alive || (s->is_closing && !req->next) ||
	       (response->is_rejection && is_scarce && is_last);
}

void snipe_h1_respond(struct snipe_h1_request *req, const struct snipe_h1_response *response)
{
	struct snipe_h1_connection *c = req->connection;

	req->callback_data = NULL;
	req->close_after = closes_after(req, response);
	write_response(req, response);
	c->last_active_us = snipe_now_us();
	c->is_new = 0;
	c->is_rejected = response->is_rejection;
	flush_responses(c);
	update_idle(c);
	/* Reading may have stopped at the limit of pipelined requests. */
	if (!c->is_processing && !c->is_read_closed &&
	    evbuffer_get_length(bufferevent_get_input(c->bev)) > 0)
		read_requests(c);
}

static void append_request(struct snipe_h1_connection *c, struct snipe_h1_request *req)
{
	req->next = NULL;
	if (c->last)
		c->last->next = req;
	else
		c->first = req;
	c->last = req;
	c->pending_count++;
}

/* Answers an invalid or incomplete request with an error and ends the connection. */
static void respond_error(struct snipe_h1_connection *c, int status)
{
	struct snipe_h1_response r = {.status = status, .close = 1};
	struct snipe_h1_request *req = c->reading;

	c->reading = NULL;
	c->is_read_closed = 1;
	c->read_since_us = 0;
	append_request(c, req);
	snipe_h1_respond(req, &r);
}

static void dispatch_request(struct snipe_h1_connection *c)
{
	struct snipe_h1_request *req = c->reading;

	c->reading = NULL;
	c->read_since_us = 0;
	append_request(c, req);
	if (!req->message.keep_alive)
		c->is_read_closed = 1;
	c->server->ops->request(c->server->arg, req);
}

static void begin_request(struct snipe_h1_connection *c)
{
	const struct snipe_h1_limits *l = &c->server->limits;

	c->reading = g_new0(struct snipe_h1_request, 1);
	c->reading->connection = c;
	snipe_h1_message_init(&c->reading->message);
	snipe_h1_parser_init(&c->parser, &c->reading->message, 1, 0, l->max_head_bytes,
			     l->max_body_bytes);
}

/* Sends 100 Continue if the client waits for it before the body (RFC 9110, section 10.1.1). */
static void send_continue(struct snipe_h1_connection *c)
{
	const char *expect = snipe_h1_find_value(&c->reading->message, "Expect");

	if (expect && c->first == NULL && c->parser.has_head &&
	    c->reading->message.body.len == 0 &&
	    g_ascii_strcasecmp(expect, "100-continue") == 0)
		bufferevent_write(c->bev, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

/* Parses the first contiguous piece of input. Returns nonzero if there may be more to parse. */
static int parse_input(struct snipe_h1_connection *c, struct evbuffer *in)
{
	struct evbuffer_iovec piece;
	enum snipe_h1_parse_result result;
	size_t consumed;
	int had_head;

	if (evbuffer_peek(in, -1, NULL, &piece, 1) < 1 || piece.iov_len == 0)
		return 0;
	if (!c->reading)
		begin_request(c);
	if (!c->read_since_us)
		c->read_since_us = snipe_now_us();
	had_head = c->parser.has_head;
	result = snipe_h1_parser_feed(&c->parser, piece.iov_base, piece.iov_len, &consumed);
	evbuffer_drain(in, consumed);
	switch (result) {
	case SNIPE_H1_NEED_MORE:
		if (!had_head)
			send_continue(c);
		return 1;
	case SNIPE_H1_DONE:
		dispatch_request(c);
		return 1;
	case SNIPE_H1_HEAD_LIMIT:
		respond_error(c, 431);
		return 0;
	case SNIPE_H1_BODY_LIMIT:
		respond_error(c, 413);
		return 0;
	case SNIPE_H1_MALFORMED:
		break;
	}
	respond_error(c, 400);
	return 0;
}

static void read_requests(struct snipe_h1_connection *c)
{
	struct evbuffer *in = bufferevent_get_input(c->bev);

	c->is_processing = 1;
	c->last_active_us = snipe_now_us();
	while (!c->is_close_pending && !c->is_read_closed &&
	       c->pending_count < MAX_PIPELINED_REQUESTS &&
	       evbuffer_get_length(bufferevent_get_output(c->bev)) <
		       OUTPUT_HIGH_WATERMARK_BYTES &&
	       parse_input(c, in))
		;
	if (c->is_read_closed)
		evbuffer_drain(in, evbuffer_get_length(in));
	c->is_processing = 0;
	if (c->is_close_pending)
		close_connection(c);
	else
		update_idle(c);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct snipe_h1_connection *c = arg;
	struct snipe_h1_server *s = c->server;
	int64_t start = snipe_now_us();

	(void)bev;
	read_requests(c);
	s->read_time_us += snipe_now_us() - start;
}

static void on_written(struct bufferevent *bev, void *arg)
{
	struct snipe_h1_connection *c = arg;

	c->last_active_us = snipe_now_us();
	if (c->is_read_closed && !c->first && !c->linger_until_us)
		begin_lingering_close(c);
	else if (!c->is_read_closed && evbuffer_get_length(bufferevent_get_input(bev)) > 0)
		read_requests(c);
	else
		update_idle(c);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	(void)what;
	close_connection(arg);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
		      int len, void *arg)
{
	struct snipe_h1_server *s = arg;
	struct snipe_h1_connection *c = g_new0(struct snipe_h1_connection, 1);

	(void)l;
	(void)sa;
	(void)len;
	snipe_socket_set_nodelay(fd);
	c->server = s;
	c->bev = bufferevent_socket_new(s->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->last_active_us = snipe_now_us();
	LIST_INSERT_HEAD(&s->connections, c, entry);
	s->connection_count++;
	s->accepted_count++;
	c->is_new = c->is_rejected = 1;
	bufferevent_setcb(c->bev, on_read, on_written, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	update_idle(c);
	make_room(s);
	update_accepting(s);
	s->accept_time_us += snipe_now_us() - c->last_active_us;
}

/* The listener stays readable after a failure, such as for lack of descriptors, and is tried
 * again at the next check of timeouts. */
static void on_accept_error(struct evconnlistener *l, void *arg)
{
	static struct snipe_log_limit limit;
	struct snipe_h1_server *s = arg;
	int err = EVUTIL_SOCKET_ERROR();
	unsigned suppressed;

	s->is_accepting = 0;
	evconnlistener_disable(l);
	if (snipe_log_allow(&limit, snipe_now_us(), 1, &suppressed))
		snipe_log(SNIPE_LOG_WARNING, "accept_failed",
			  "err=\"%s\" connections=%d suppressed=%u", g_strerror(err),
			  s->connection_count, suppressed);
}

static void check_timeouts(struct snipe_h1_connection *c, int64_t now)
{
	const struct snipe_h1_limits *l = &c->server->limits;

	if (c->is_new && !c->first && !c->read_since_us &&
	    now - c->last_active_us > FIRST_REQUEST_MAX_US) {
		c->is_new = 0;
		update_idle(c);
	}
	if (c->linger_until_us) {
		if (now >= c->linger_until_us)
			close_connection(c);
	} else if (c->read_since_us && !c->parser.has_head &&
		   now - c->read_since_us > l->head_timeout_us) {
		respond_error(c, 408);
	} else if (is_idle(c) && now - c->last_active_us > l->idle_timeout_us) {
		close_connection(c);
	}
}

static void on_timeout_check(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_h1_server *s = arg;
	struct snipe_h1_connection *next;
	int64_t now = snipe_now_us();

	(void)fd;
	(void)what;
	for (struct snipe_h1_connection *c = LIST_FIRST(&s->connections); c; c = next) {
		next = LIST_NEXT(c, entry);
		check_timeouts(c, now);
	}
	make_room(s);
	update_accepting(s);
}

int snipe_h1_server_init(struct snipe_h1_server *s, struct event_base *base,
			 const struct snipe_address *listen, const char *role,
			 const struct snipe_h1_server_ops *ops, void *arg,
			 struct snipe_error_text *err)
{
	static const struct timeval interval = {0, TIMEOUT_CHECK_INTERVAL_US};
	char text[SNIPE_ADDRESS_TEXT_SIZE];
	struct sockaddr_storage ss;
	int size = snipe_address_to_sockaddr(listen, &ss);

	memset(s, 0, sizeof(*s));
	s->base = base;
	s->ops = ops;
	s->arg = arg;
	TAILQ_INIT(&s->idle_rejected);
	TAILQ_INIT(&s->idle_served);
	s->is_accepting = 1;
	snipe_address_format(listen, text);
	if (size > 0)
		s->listener = evconnlistener_new_bind(
			base, on_accept, s,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
			LISTEN_BACKLOG, (struct sockaddr *)&ss, size);
	if (!s->listener)
		return snipe_error_set(err, SNIPE_ERR_IO,
				       "cannot listen on %s for %s: %s; choose a free address "
				       "in the settings, or stop the process that uses it",
				       text, role, g_strerror(errno));
	evconnlistener_set_error_cb(s->listener, on_accept_error);
	event_assign(&s->timeout_check, base, -1, EV_PERSIST, on_timeout_check, s);
	event_add(&s->timeout_check, &interval);
	return 0;
}

void snipe_h1_server_finish(struct snipe_h1_server *s)
{
	struct snipe_h1_connection *next;

	if (!s->listener)
		return;
	for (struct snipe_h1_connection *c = LIST_FIRST(&s->connections); c; c = next) {
		next = LIST_NEXT(c, entry);
		destroy_connection(c);
	}
	event_del(&s->timeout_check);
	evconnlistener_free(s->listener);
	s->listener = NULL;
}

void snipe_h1_server_close_gracefully(struct snipe_h1_server *s)
{
	s->is_closing = 1;
}

void snipe_h1_server_close_idle(struct snipe_h1_server *s)
{
	struct snipe_h1_connection *next;

	for (struct snipe_h1_connection *c = LIST_FIRST(&s->connections); c; c = next) {
		next = LIST_NEXT(c, entry);
		if (is_idle(c) && !c->linger_until_us)
			close_connection(c);
	}
}

int snipe_h1_server_is_busy(const struct snipe_h1_server *s)
{
	const struct snipe_h1_connection *c;

	LIST_FOREACH(c, &s->connections, entry)
	if (c->first || evbuffer_get_length(bufferevent_get_output(c->bev)) > 0)
		return 1;
	return 0;
}
