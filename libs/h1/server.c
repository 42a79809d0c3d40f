#include "h1/server.h"

#include <errno.h>
#include <event2/event.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/socket.h"
#include "h1/stream.h"

/* Interval at which connections are checked for timeouts. */
#define TIMEOUT_CHECK_INTERVAL_US 500000
/* Pending requests per connection; at the limit, further requests are not read. */
#define MAX_PIPELINED_REQUESTS 64
/* Unsent response bytes per connection at which further requests are not read. */
#define OUTPUT_HIGH_WATERMARK_BYTES (1024 * 1024)
/* How long the client may take to close its side once it has the last response. Closing a
 * socket with unread bytes resets the connection, which discards what the client has not
 * received. */
#define LINGER_TIMEOUT_US 1000000
/* A connection that ends is closed if its client receives nothing of the last responses for
 * this long. */
#define STALL_TIMEOUT_US 5000000
/* Connections waiting to be accepted: all clients of a host may reconnect at once. */
#define LISTEN_BACKLOG 1024
/* Connections accepted in one turn of the loop; their requests are read before the next ones
 * are accepted. */
#define ACCEPT_BATCH 32
/* Part of the connections up to the limit that is kept free by closing idle ones. */
#define FREE_CONNECTIONS_RATIO 8
/* A connection without a request is idle after this time. */
#define FIRST_REQUEST_MAX_US 1000000
#define CLOSE_HEADER "Connection: close\r\n"
/* Part of the memory limit that requests may hold whose answers the node owes. */
#define OWED_RATIO 0.875
/* Part of its cost with which a connection counts that waits for an answer of this node: it is
 * given up only if there is nothing else. */
#define OWED_COST_RATIO 1e-6
/* When the client of a request that was given up for lack of memory may come back. */
#define NO_MEMORY_RETRY_AFTER "1"

#define DEFAULT_BODY_TIMEOUT_US 20000000
#define DEFAULT_SEND_TIMEOUT_US 30000000
/* Lowest rate of a body beyond its timeout. */
#define BODY_MIN_BYTES_PER_S 500
/* Shortly before the limit of connections, an incomplete request without progress for this long
 * makes room for others. */
#define UNFINISHED_MAX_US 1000000

struct snipe_h1_connection {
	struct snipe_h1_server *server;
	LIST_ENTRY(snipe_h1_connection) entry;
	TAILQ_ENTRY(snipe_h1_connection) idle_entry;
	struct snipe_h1_idle *idle_list; /* NULL: neither idle nor with an incomplete request */
	int is_new;			 /* its first request may be on the way */
	int64_t accept_wait_us;		 /* how long it waited to be accepted, at most */
	int is_rejected;		 /* no request of it was admitted, or not the last */
	struct snipe_memory_account account;
	int64_t held_since_us; /* holds more than a little without progress; 0: it does not */
	struct snipe_h1_stream stream;
	struct snipe_h1_parser parser;
	struct snipe_h1_request *reading;      /* the request being read */
	struct snipe_h1_request *first, *last; /* read; the response is not yet written */
	int pending_count;		       /* requests from first to last */
	int is_processing;		       /* in use by a function on the stack */
	int is_close_pending;		       /* to be closed when is_processing ends */
	int has_more_input;		       /* behind the request that is being processed */
	int is_read_closed;    /* the last request was read, or input was malformed */
	int64_t read_since_us; /* first byte of the request being read; 0: none */
	int64_t last_active_us;
	int64_t linger_until_us; /* 0: not lingering */
	size_t unreceived;	 /* bytes of the last responses when progress was last seen */
	int64_t progress_us;	 /* when that was; 0: not watched yet */
};

static size_t message_bytes(const struct snipe_h1_message *m)
{
	return m->url.size + m->text.size + m->body.size;
}

static void free_request(struct snipe_h1_request *req)
{
	req->connection->server->owed -= req->owed;
	snipe_memory_release(&req->connection->account, sizeof(*req));
	snipe_h1_message_finish(&req->message);
	snipe_buffer_finish(&req->response);
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

static void stop_accepting(struct snipe_h1_server *s)
{
	s->is_accepting = 0;
	event_del(&s->accept);
	if (!s->queue_empty_us)
		s->queue_empty_us = s->queue_mark_us = snipe_now_us();
}

static void update_accepting(struct snipe_h1_server *s)
{
	if (s->is_accepting == has_room(s, 0))
		return;
	if (!s->is_accepting) {
		s->is_accepting = 1;
		event_add(&s->accept, NULL);
	} else {
		stop_accepting(s);
	}
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
	snipe_h1_stream_finish(&c->stream);
	snipe_memory_release(&c->account, sizeof(*c));
	g_free(c);
}

static void cancel_requests(struct snipe_h1_connection *c)
{
	for (struct snipe_h1_request *req = c->first; req; req = req->next)
		if (req->response.len == 0 && req->callback_data)
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

static void append_header(struct snipe_buffer *out, const struct snipe_h1_header *h)
{
	snipe_buffer_append(out, h->name.data, h->name.len);
	snipe_buffer_append(out, ": ", 2);
	snipe_buffer_append(out, h->value.data, h->value.len);
	snipe_buffer_append(out, "\r\n", 2);
}

static void format_response(struct snipe_h1_request *req, const struct snipe_h1_response *r)
{
	struct snipe_buffer *out = &req->response;

	snipe_buffer_init_charged(out, &req->connection->account);
	snipe_buffer_printf(out, "HTTP/1.1 %d %s\r\n", r->status, status_text(r->status));
	for (int i = 0; i < r->header_count; i++)
		append_header(out, &r->headers[i]);
	if (r->is_head && r->head_content_length)
		snipe_buffer_printf(out, "Content-Length: %s\r\n", r->head_content_length);
	else if (!r->is_head && has_body(r->status))
		snipe_buffer_printf(out, "Content-Length: %zu\r\n", r->body_len);
	req->headers_len = out->len;
	snipe_buffer_append(out, "\r\n", 2);
	if (!r->is_head && has_body(r->status) && r->body_len) {
		if (r->body_len > SNIPE_MEMORY_LARGE_BYTES)
			snipe_buffer_reserve(out, r->body_len + sizeof(CLOSE_HEADER));
		snipe_buffer_append(out, r->body, r->body_len);
	}
}

static void insert_close_header(struct snipe_h1_request *req)
{
	struct snipe_buffer *out = &req->response;
	size_t len = sizeof(CLOSE_HEADER) - 1, rest = out->len - req->headers_len;

	snipe_buffer_append(out, CLOSE_HEADER, len);
	memmove(out->data + req->headers_len + len, out->data + req->headers_len, rest);
	memcpy(out->data + req->headers_len, CLOSE_HEADER, len);
}

static int is_idle(const struct snipe_h1_connection *c)
{
	return !c->is_new && !c->first && !c->read_since_us && !c->linger_until_us &&
	       snipe_h1_stream_unsent(&c->stream) == 0;
}

/* Whether there is nothing but a request that is not complete. */
static int is_unfinished(const struct snipe_h1_connection *c)
{
	return c->reading && c->read_since_us && !c->first && !c->linger_until_us &&
	       snipe_h1_stream_unsent(&c->stream) == 0;
}

static void update_held(struct snipe_h1_connection *c, int64_t now)
{
	if (c->account.held < SNIPE_MEMORY_SMALL_BYTES)
		c->held_since_us = 0;
	else if (!c->held_since_us)
		c->held_since_us = now;
}

/* A client that has taken all responses so far makes progress, whatever else it has the
 * connection hold. */
static void note_progress(struct snipe_h1_connection *c)
{
	if (snipe_h1_stream_unsent(&c->stream) == 0)
		c->held_since_us = 0;
}

/* Moves the connection to the end of the list to which it belongs now. */
static void update_idle(struct snipe_h1_connection *c)
{
	struct snipe_h1_server *s = c->server;

	if (c->idle_list)
		TAILQ_REMOVE(c->idle_list, c, idle_entry);
	c->idle_list = is_unfinished(c) ? &s->unfinished
		       : !is_idle(c)	? NULL
		       : c->is_rejected ? &s->idle_rejected
					: &s->idle_served;
	if (c->idle_list)
		TAILQ_INSERT_TAIL(c->idle_list, c, idle_entry);
}

/* Ends the sending direction. Input is dropped from then on, but read: see LINGER_TIMEOUT_US.
 */
static void begin_lingering_close(struct snipe_h1_connection *c)
{
	c->is_read_closed = 1;
	c->linger_until_us = snipe_now_us() + LINGER_TIMEOUT_US;
	snipe_h1_stream_shutdown(&c->stream);
	update_idle(c);
}

static int needs_room(const struct snipe_h1_server *s)
{
	return !has_room(s, s->limits.max_connections / FREE_CONNECTIONS_RATIO);
}

/* Shortly before the limit, closes the idle connection that is needed least. A request that
 * crosses this is not read, so its client may send it again. */
static void make_room(struct snipe_h1_server *s)
{
	struct snipe_h1_connection *c = TAILQ_FIRST(&s->idle_rejected);

	if (!c)
		c = TAILQ_FIRST(&s->idle_served);
	if (!c || !needs_room(s))
		return;
	s->closed_idle_count++;
	begin_lingering_close(c);
}

/* Whether the connection ends after the response to its first pending request. Decided when
 * the response is written: requests that arrive while it waits for earlier ones have been
 * passed on and are answered too. Requests that were sent behind a rejected one would have to
 * be sent again. */
static int closes_after(const struct snipe_h1_request *req)
{
	const struct snipe_h1_connection *c = req->connection;
	const struct snipe_h1_server *s = c->server;
	int is_last = !req->next && !c->reading && !c->has_more_input;
	int is_scarce = s->limits.scarce_connections &&
			s->connection_count > s->limits.scarce_connections;

	return req->close_requested || !req->message.keep_alive ||
	       (s->is_closing && !req->next) || (req->is_rejected && is_scarce && is_last);
}

static void stop_reading(struct snipe_h1_connection *c)
{
	c->is_read_closed = 1;
	c->read_since_us = 0;
	if (c->reading)
		free_request(c->reading);
	c->reading = NULL;
}

/* Writes the responses that are ready at the head of the queue. */
static void flush_responses(struct snipe_h1_connection *c)
{
	int closes = 0;

	while (c->first && c->first->response.len > 0 && !closes) {
		struct snipe_h1_request *req = c->first;

		closes = closes_after(req);
		if (closes)
			insert_close_header(req);
		snipe_h1_stream_send_buffer(&c->stream, &req->response);
		c->first = req->next;
		if (!c->first)
			c->last = NULL;
		c->pending_count--;
		free_request(req);
		note_progress(c);
	}
	if (!closes)
		return;
	stop_reading(c);
	/* Requests after a response that ends the connection are cancelled unanswered. */
	cancel_requests(c);
	free_requests(c);
	if (snipe_h1_stream_unsent(&c->stream) == 0)
		begin_lingering_close(c);
}

void snipe_h1_respond(struct snipe_h1_request *req, const struct snipe_h1_response *response)
{
	struct snipe_h1_connection *c = req->connection;

	req->callback_data = NULL;
	req->close_requested = response->close;
	req->is_rejected = response->is_rejection;
	format_response(req, response);
	c->last_active_us = snipe_now_us();
	c->is_new = 0;
	c->is_rejected = response->is_rejection;
	flush_responses(c);
	update_held(c, c->last_active_us);
	update_idle(c);
	/* Reading may have stopped at the limit of pipelined requests. */
	if (!c->is_processing)
		snipe_h1_stream_resume(&c->stream);
}

int snipe_h1_delays_response(const struct snipe_h1_request *req)
{
	for (const struct snipe_h1_request *r = req->next; r; r = r->next)
		if (r->response.len > 0 && !r->is_rejected)
			return 1;
	return 0;
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
	static const struct snipe_h1_header retry_after = {{"Retry-After", 11},
							   {NO_MEMORY_RETRY_AFTER, 1}};
	struct snipe_h1_response r = {.status = status,
				      .close = 1,
				      .headers = &retry_after,
				      .header_count = status == 503};
	struct snipe_h1_request *req = c->reading;

	c->reading = NULL;
	c->is_read_closed = 1;
	c->read_since_us = 0;
	/* The response may wait behind others. */
	snipe_buffer_finish(&req->message.body);
	append_request(c, req);
	snipe_h1_respond(req, &r);
}

/* Whether a request of this size may be passed on. Its bytes are not given up before it is
 * answered, unlike those of requests that are still being read. */
static int has_room_for_owed(const struct snipe_h1_server *s, uint64_t bytes)
{
	return !s->account || !s->account->limit || bytes < SNIPE_MEMORY_SMALL_BYTES ||
	       (double)s->owed + (double)bytes <= OWED_RATIO * (double)s->account->limit;
}

/* Whether the body that the head announces will have to be refused. */
static int is_body_too_much(const struct snipe_h1_connection *c)
{
	uint64_t left = c->parser.parser.content_length;

	return c->parser.has_head && left != UINT64_MAX &&
	       !has_room_for_owed(c->server, c->reading->message.body.len + left);
}

static void dispatch_request(struct snipe_h1_connection *c)
{
	struct snipe_h1_request *req = c->reading;
	size_t bytes = message_bytes(&req->message);

	if (!has_room_for_owed(c->server, bytes)) {
		respond_error(c, 503);
		return;
	}
	req->owed = bytes;
	c->server->owed += bytes;
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
	snipe_memory_charge(&c->account, sizeof(*c->reading));
	snipe_h1_message_init_charged(&c->reading->message, &c->account);
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
		snipe_h1_stream_send(&c->stream, "HTTP/1.1 100 Continue\r\n\r\n", 25);
}

/* Parses bytes up to the end of a request. Returns the number of bytes that were consumed. */
static size_t parse_input(struct snipe_h1_connection *c, const char *data, size_t len)
{
	enum snipe_h1_parse_result result;
	size_t consumed;
	int had_head;

	if (!c->reading)
		begin_request(c);
	if (!c->read_since_us)
		c->read_since_us = snipe_now_us();
	had_head = c->parser.has_head;
	result = snipe_h1_parser_feed(&c->parser, data, len, &consumed);
	c->has_more_input = consumed < len;
	switch (result) {
	case SNIPE_H1_NEED_MORE:
		if (!had_head && is_body_too_much(c))
			respond_error(c, 503);
		else if (!had_head)
			send_continue(c);
		break;
	case SNIPE_H1_DONE:
		dispatch_request(c);
		break;
	case SNIPE_H1_HEAD_LIMIT:
		respond_error(c, 431);
		break;
	case SNIPE_H1_BODY_LIMIT:
		respond_error(c, 413);
		break;
	case SNIPE_H1_MALFORMED:
		respond_error(c, 400);
		break;
	}
	return consumed;
}

static int can_read(const struct snipe_h1_connection *c)
{
	return !c->is_close_pending && c->pending_count < MAX_PIPELINED_REQUESTS &&
	       snipe_h1_stream_unsent(&c->stream) < OUTPUT_HIGH_WATERMARK_BYTES;
}

static ssize_t on_received(void *arg, const char *data, size_t len)
{
	struct snipe_h1_connection *c = arg;
	struct snipe_h1_server *s = c->server;
	int64_t start = snipe_now_us();
	size_t consumed = 0;

	c->is_processing = 1;
	c->last_active_us = start;
	while (consumed < len && !c->is_read_closed && can_read(c))
		consumed += parse_input(c, data + consumed, len - consumed);
	if (c->is_read_closed)
		consumed = len;
	c->is_processing = 0;
	s->read_time_us += snipe_now_us() - start;
	if (c->is_close_pending) {
		close_connection(c);
		return -1;
	}
	update_held(c, start);
	update_idle(c);
	return (ssize_t)consumed;
}

static void on_drained(void *arg)
{
	struct snipe_h1_connection *c = arg;

	c->last_active_us = snipe_now_us();
	c->progress_us = 0;
	note_progress(c);
	if (c->is_read_closed && !c->first && !c->linger_until_us)
		begin_lingering_close(c);
	update_held(c, c->last_active_us);
	update_idle(c);
	snipe_h1_stream_resume(&c->stream);
}

static void on_ended(void *arg)
{
	close_connection(arg);
}

static const struct snipe_h1_stream_ops stream_ops = {on_received, on_drained, on_ended};

static void add_connection(struct snipe_h1_server *s, int fd)
{
	struct snipe_h1_connection *c = g_new0(struct snipe_h1_connection, 1);

	c->server = s;
	c->last_active_us = snipe_now_us();
	c->is_new = c->is_rejected = 1;
	c->accept_wait_us = s->queue_empty_us ? c->last_active_us - s->queue_empty_us : 0;
	LIST_INSERT_HEAD(&s->connections, c, entry);
	s->connection_count++;
	s->accepted_count++;
	snipe_memory_account_init(&c->account, s->account);
	snipe_memory_charge(&c->account, sizeof(*c));
	snipe_h1_stream_init(&c->stream, s->base, fd, &stream_ops, c);
	snipe_h1_stream_set_account(&c->stream, &c->account);
	make_room(s);
	update_accepting(s);
}

/* The listener stays readable after a failure, such as for lack of descriptors, and is tried
 * again at the next check of timeouts. */
static void pause_accepting(struct snipe_h1_server *s, int err)
{
	static struct snipe_log_limit limit;
	unsigned suppressed;

	stop_accepting(s);
	if (snipe_log_allow(&limit, snipe_now_us(), 1, &suppressed))
		snipe_log(SNIPE_LOG_WARNING, "accept_failed",
			  "err=\"%s\" connections=%d suppressed=%u", g_strerror(err),
			  s->connection_count, suppressed);
}

/* Connections that are left in the queue arrived after it was last empty, or after the last
 * LISTEN_BACKLOG of them were accepted. */
static void update_accept_queue(struct snipe_h1_server *s, int is_empty, int64_t now_us)
{
	if (is_empty) {
		s->queue_empty_us = s->queue_mark_us = 0;
		return;
	}
	if (!s->queue_empty_us)
		s->queue_empty_us = s->queue_mark_us = now_us;
	if (s->accepted_count - s->queue_mark_count >= LISTEN_BACKLOG) {
		s->queue_empty_us = s->queue_mark_us;
		s->queue_mark_us = now_us;
		s->queue_mark_count = s->accepted_count;
	}
}

/* Whether the error is one of a single connection. */
static int is_connection_error(int err)
{
	return err == EINTR || err == ECONNABORTED || err == EPROTO;
}

static void on_acceptable(evutil_socket_t listener, short what, void *arg)
{
	struct snipe_h1_server *s = arg;
	int64_t start = snipe_now_us();
	int is_empty = 0;

	(void)what;
	for (int i = 0; i < ACCEPT_BATCH && s->is_accepting; i++) {
		int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd >= 0) {
			add_connection(s, fd);
		} else if (errno == EAGAIN) {
			is_empty = 1;
			break;
		} else if (!is_connection_error(errno)) {
			pause_accepting(s, errno);
		}
	}
	update_accept_queue(s, is_empty, start);
	s->accept_time_us += snipe_now_us() - start;
}

/* Whether the client has received nothing of its responses for too long. */
static int is_stalled(struct snipe_h1_connection *c, size_t unreceived, int64_t now,
		      int64_t timeout_us)
{
	if (!c->progress_us || unreceived != c->unreceived) {
		c->unreceived = unreceived;
		c->progress_us = now;
	}
	return now - c->progress_us >= timeout_us;
}

/* Closes a connection that ends, once its client has the last response or takes nothing of it
 * any more. */
static void continue_close(struct snipe_h1_connection *c, int64_t now)
{
	size_t unreceived;

	if (c->linger_until_us && now < c->linger_until_us)
		return;
	unreceived = snipe_h1_stream_unreceived(&c->stream);
	if (unreceived == 0 || is_stalled(c, unreceived, now, STALL_TIMEOUT_US))
		close_connection(c);
}

static int is_body_late(const struct snipe_h1_connection *c, int64_t now)
{
	int64_t len = c->reading ? (int64_t)c->reading->message.body.len : 0;

	return now - c->read_since_us - c->server->body_timeout_us >
	       len * 1000000 / BODY_MIN_BYTES_PER_S;
}

static void check_timeouts(struct snipe_h1_connection *c, int64_t now)
{
	const struct snipe_h1_limits *l = &c->server->limits;

	if (c->is_new && !c->first && !c->read_since_us &&
	    now - c->last_active_us > FIRST_REQUEST_MAX_US) {
		c->is_new = 0;
		update_idle(c);
	}
	if (c->is_read_closed && !c->first) {
		continue_close(c, now);
	} else if (snipe_h1_stream_unsent(&c->stream) > 0 &&
		   is_stalled(c, snipe_h1_stream_unreceived(&c->stream), now,
			      c->server->send_timeout_us)) {
		close_connection(c);
	} else if (c->read_since_us &&
		   (c->parser.has_head ? is_body_late(c, now)
				       : now - c->read_since_us > l->head_timeout_us)) {
		c->server->timed_out_count++;
		respond_error(c, 408);
	} else if (is_idle(c) && now - c->last_active_us > l->idle_timeout_us) {
		begin_lingering_close(c);
	}
}

/* Shortly before the limit of connections, refuses requests that are incomplete and make no
 * progress. */
static void refuse_unfinished(struct snipe_h1_server *s, int64_t now)
{
	struct snipe_h1_connection *next;

	for (struct snipe_h1_connection *c = TAILQ_FIRST(&s->unfinished);
	     c && needs_room(s) && now - c->last_active_us > UNFINISHED_MAX_US; c = next) {
		next = TAILQ_NEXT(c, idle_entry);
		s->timed_out_count++;
		respond_error(c, 408);
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
	refuse_unfinished(s, now);
	update_accepting(s);
}

/* Returns a listening socket, or -1 with errno set. */
static int listen_on(const struct sockaddr *sa, socklen_t len)
{
	int fd = socket(sa->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int one = 1, window = SNIPE_H1_STREAM_WINDOW_BYTES, err;

	if (fd < 0)
		return -1;
	/* The kernel's share of what is received counts as the process's memory too. */
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) == 0 &&
	    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one)) == 0 &&
	    bind(fd, sa, len) == 0 && listen(fd, LISTEN_BACKLOG) == 0) {
		/* Accepted sockets inherit it, which saves a system call for each. */
		snipe_socket_set_nodelay(fd);
		return fd;
	}
	err = errno;
	close(fd);
	errno = err;
	return -1;
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
	s->body_timeout_us = DEFAULT_BODY_TIMEOUT_US;
	s->send_timeout_us = DEFAULT_SEND_TIMEOUT_US;
	TAILQ_INIT(&s->idle_rejected);
	TAILQ_INIT(&s->idle_served);
	TAILQ_INIT(&s->unfinished);
	s->is_accepting = 1;
	snipe_address_format(listen, text);
	if (size <= 0)
		return snipe_error_set(err, SNIPE_ERR_IO,
				       "%s is no IP address to listen on for %s", text, role);
	s->fd = listen_on((struct sockaddr *)&ss, (socklen_t)size);
	if (s->fd < 0)
		return snipe_error_set(err, SNIPE_ERR_IO,
				       "cannot listen on %s for %s: %s; choose a free address "
				       "in the settings, or stop the process that uses it",
				       text, role, g_strerror(errno));
	event_assign(&s->timeout_check, base, -1, EV_PERSIST, on_timeout_check, s);
	event_add(&s->timeout_check, &interval);
	event_assign(&s->accept, base, s->fd, EV_READ | EV_PERSIST, on_acceptable, s);
	event_add(&s->accept, NULL);
	s->is_listening = 1;
	return 0;
}

/* Whether the first request of the connection waits for its answer, and the client has taken
 * all answers before it: its client is not at fault for what is held. */
static int is_owed(const struct snipe_h1_connection *c)
{
	return c->first && c->first->response.len == 0 &&
	       snipe_h1_stream_unsent(&c->stream) == 0;
}

static int has_unfinished_body(const struct snipe_h1_connection *c)
{
	return c->reading && message_bytes(&c->reading->message) >= SNIPE_MEMORY_SMALL_BYTES;
}

/* What it costs to keep the connection as it is, see snipe_memory_cost. */
static double connection_cost(const struct snipe_h1_connection *c, int64_t now_us)
{
	size_t owed = 0;

	if (!is_owed(c))
		return snipe_memory_cost(c->account.held, c->held_since_us, now_us);
	if (has_unfinished_body(c))
		return snipe_memory_cost(message_bytes(&c->reading->message), c->read_since_us,
					 now_us);
	for (const struct snipe_h1_request *r = c->first; r; r = r->next)
		owed += r->owed;
	return OWED_COST_RATIO *
	       snipe_memory_cost(c->account.held - owed, c->held_since_us, now_us);
}

static double find_worst(void *arg, int64_t now_us)
{
	struct snipe_h1_server *s = arg;
	double most = 0;

	for (struct snipe_h1_connection *c = LIST_FIRST(&s->connections); c;
	     c = LIST_NEXT(c, entry)) {
		double cost;

		update_held(c, now_us);
		cost = connection_cost(c, now_us);
		if (cost > most) {
			most = cost;
			s->worst = c;
		}
	}
	return most;
}

static void give_up_worst(void *arg)
{
	struct snipe_h1_server *s = arg;
	struct snipe_h1_connection *c = s->worst;

	/* What was not read completely was not passed on, and may be refused. */
	if ((c->reading && !c->first && snipe_h1_stream_unsent(&c->stream) == 0) ||
	    (is_owed(c) && has_unfinished_body(c)))
		respond_error(c, 503);
	else
		close_connection(c);
}

static const struct snipe_memory_holder_ops holder_ops = {find_worst, give_up_worst};

void snipe_h1_server_set_memory_limit(struct snipe_h1_server *s, struct snipe_memory_limit *l)
{
	s->account = &l->account;
	snipe_memory_limit_add(l, &s->holder, &holder_ops, s);
}

int64_t snipe_h1_accept_wait_us(const struct snipe_h1_request *req)
{
	return req->connection->is_new ? req->connection->accept_wait_us : 0;
}

int snipe_h1_is_client_gone(const struct snipe_h1_request *req)
{
	return snipe_h1_stream_is_peer_closed(&req->connection->stream);
}

void snipe_h1_server_finish(struct snipe_h1_server *s)
{
	struct snipe_h1_connection *next;

	if (!s->is_listening)
		return;
	for (struct snipe_h1_connection *c = LIST_FIRST(&s->connections); c; c = next) {
		next = LIST_NEXT(c, entry);
		destroy_connection(c);
	}
	event_del(&s->timeout_check);
	event_del(&s->accept);
	close(s->fd);
	s->is_listening = 0;
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
		if (is_idle(c))
			begin_lingering_close(c);
	}
}

int snipe_h1_server_is_busy(const struct snipe_h1_server *s)
{
	const struct snipe_h1_connection *c;

	LIST_FOREACH(c, &s->connections, entry)
	if (c->first || snipe_h1_stream_unreceived(&c->stream) > 0)
		return 1;
	return 0;
}
