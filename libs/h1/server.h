/*
 * HTTP/1.1 listener. Requests of one connection may be pipelined: each is passed to the request
 * callback as soon as it was read, and responses are written in the order of the requests.
 */
#ifndef SNIPE_H1_SERVER_H
#define SNIPE_H1_SERVER_H

#include <event2/event_struct.h>
#include <glib.h>
#include <sys/queue.h>

#include "base/address.h"
#include "base/error.h"
#include "base/memory_limit.h"
#include "h1/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct event_base;
struct snipe_h1_connection;

/* A request; valid from the request callback until it is answered or cancelled. */
struct snipe_h1_request {
	struct snipe_h1_message message;
	struct snipe_h1_connection *connection;
	void *callback_data; /* for the user of the module; NULL at first */
	struct snipe_h1_request *next;
	struct snipe_buffer response; /* empty: not answered yet */
	size_t headers_len;	      /* of the response, without the blank line */
	int close_requested;	      /* the connection ends after this response */
	int is_rejected;	      /* the response is a rejection */
	size_t owed;		      /* bytes of it that count as owed */
};

struct snipe_h1_slice {
	const char *data;
	size_t len;
};

struct snipe_h1_header {
	struct snipe_h1_slice name;
	struct snipe_h1_slice value;
};

struct snipe_h1_response {
	int status;
	const struct snipe_h1_header *headers;
	int header_count;
	const char *body;
	size_t body_len;
	int is_head;			 /* response to HEAD: the body is not sent */
	const char *head_content_length; /* with is_head: value of Content-Length, or NULL */
	int close;			 /* end the connection after this response */
	int is_rejection; /* if there are too many connections, this one is closed first */
};

struct snipe_h1_server_ops {
	/* A complete request was received. It is answered with snipe_h1_respond, within the
	 * callback or later. */
	void (*request)(void *arg, struct snipe_h1_request *req);
	/* The request gets no response, for example because the client disconnected. It must
	 * not be used after this. Called only if callback_data is set. */
	void (*cancelled)(void *arg, struct snipe_h1_request *req);
};

/* Size limits of requests, and number and timeouts of connections. */
struct snipe_h1_limits {
	size_t max_head_bytes;
	size_t max_body_bytes;
	int64_t head_timeout_us;
	int64_t idle_timeout_us;
	/* 0: no limit. Shortly before it is reached, idle connections are closed, those first
	 * that had no request or a rejected one, then the least recently used; then those whose
	 * request has been incomplete without progress for a while. At the limit, no
	 * connections are accepted. */
	int max_connections;
	/* Above this number, the connection of a rejected request ends with the response. 0: no
	 * limit. */
	int scarce_connections;
};

/* Fields are private except for limits and timeouts, which may be changed at any time. */
struct snipe_h1_server {
	struct snipe_h1_limits limits;
	/* A body may take this long, and a second more for each 500 bytes that have arrived;
	 * then it is answered with 408. At first 20 s. */
	int64_t body_timeout_us;
	/* A connection whose client takes nothing of its responses for this long is closed. At
	 * first 30 s. */
	int64_t send_timeout_us;
	struct event_base *base;
	int is_listening;
	int fd;
	struct event accept;
	int64_t queue_empty_us; /* all connections that wait to be accepted came later; 0: none
				   waits */
	int64_t queue_mark_us;	/* the next value of queue_empty_us */
	uint64_t queue_mark_count; /* accepted connections at that time */
	struct event timeout_check;
	LIST_HEAD(snipe_h1_connections, snipe_h1_connection) connections;
	/* Idle connections, the least recently used first: those whose last request was
	 * rejected or that had none, and the others. */
	TAILQ_HEAD(snipe_h1_idle, snipe_h1_connection) idle_rejected, idle_served;
	/* Connections with nothing but an incomplete request, the least recently active first.
	 */
	struct snipe_h1_idle unfinished;
	int connection_count;
	int is_accepting;
	uint64_t closed_idle_count; /* closed for the limit, since the start */
	uint64_t timed_out_count;   /* requests that did not arrive in time, since the start */
	uint64_t accepted_count;    /* connections, since the start */
	int64_t accept_time_us;	    /* spent accepting connections, since the start */
	int64_t read_time_us;	    /* spent reading requests, callbacks included */
	int is_closing;
	struct snipe_memory_account *account; /* parent of those of the connections */
	struct snipe_memory_holder holder;
	size_t owed; /* bytes of requests that were read whole and are not answered */
	struct snipe_h1_connection *worst; /* of all connections, as last found */
	const struct snipe_h1_server_ops *ops;
	void *arg;
};

/* Starts to listen. Returns 0, or SNIPE_ERR_IO with a message in err. role names the listener
 * in messages, for example "callers". */
int snipe_h1_server_init(struct snipe_h1_server *s, struct event_base *base,
			 const struct snipe_address *listen, const char *role,
			 const struct snipe_h1_server_ops *ops, void *arg,
			 struct snipe_error_text *err);
/* Bounds what is held for clients, from before the first connection on. A request that is given
 * up before it was passed on is answered with 503; other connections are closed. The limit must
 * stay valid. */
void snipe_h1_server_set_memory_limit(struct snipe_h1_server *s, struct snipe_memory_limit *l);
/* Closes the listener and all connections; pending requests are not reported as cancelled. */
void snipe_h1_server_finish(struct snipe_h1_server *s);

/* How long the connection of a request may have waited to be accepted, in microseconds; 0 once
 * a request of the connection was answered. */
int64_t snipe_h1_accept_wait_us(const struct snipe_h1_request *req);
/* Nonzero if the client has disconnected, which the cancelled callback may report later. Costs
 * a system call. */
int snipe_h1_is_client_gone(const struct snipe_h1_request *req);

/* Answers a request and frees it. */
void snipe_h1_respond(struct snipe_h1_request *req, const struct snipe_h1_response *response);

/* Whether a response other than a rejection is ready behind this unanswered request. */
int snipe_h1_delays_response(const struct snipe_h1_request *req);

/* From now on, each connection ends after the response to the last request received on it. */
void snipe_h1_server_close_gracefully(struct snipe_h1_server *s);
/* Ends connections without a request in progress or a response to write. */
void snipe_h1_server_close_idle(struct snipe_h1_server *s);
/* Nonzero while a request is unanswered or a client has not received its response completely.
 * Costs a system call for each connection. */
int snipe_h1_server_is_busy(const struct snipe_h1_server *s);

#ifdef __cplusplus
}
#endif

#endif
