/*
 * HTTP/1.1 client: calls to one address over a pool of kept connections.
 */
#ifndef SNIPE_H1_POOL_H
#define SNIPE_H1_POOL_H

#include <event2/event_struct.h>
#include <glib.h>
#include <stdint.h>
#include <sys/queue.h>

#include "base/address.h"
#include "h1/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct event_base;
struct evbuffer;
struct snipe_h1_client_connection;

enum snipe_h1_result {
	SNIPE_H1_COMPLETE,
	SNIPE_H1_NOT_CONNECTED, /* certainly not one byte of the request was sent */
	SNIPE_H1_LOST,		/* the connection ended before a response */
	SNIPE_H1_BROKEN,	/* the response was cut short or malformed */
	SNIPE_H1_TOO_LARGE,	/* the response's body is over max_body_bytes */
};

/* Fields are private but for the limits. */
struct snipe_h1_pool {
	int64_t idle_limit_us;	    /* kept connections are not used again after this time */
	int64_t connect_timeout_us; /* 0: none */
	size_t max_body_bytes;
	struct event_base *base;
	struct snipe_address address;
	LIST_HEAD(snipe_h1_client_connections, snipe_h1_client_connection) connections;
	GQueue idle; /* most recently used last */
	unsigned generation;
	int connection_count;
	int64_t opened_total;
	int64_t last_response_us; /* 0: none yet */
};

struct snipe_h1_call;

/*
 * accept decides whether a complete response is the one to this call; a response that it
 * refuses (0) is dropped and the next one is awaited. May be NULL. done is called exactly once,
 * never from inside snipe_h1_call_start, unless the call is cancelled. The response is valid
 * during the call and NULL unless the result is SNIPE_H1_COMPLETE.
 */
struct snipe_h1_call_ops {
	int (*accept)(void *arg, const struct snipe_h1_message *response);
	void (*done)(void *arg, enum snipe_h1_result result,
		     const struct snipe_h1_message *response);
};

void snipe_h1_pool_init(struct snipe_h1_pool *p, struct event_base *base);
void snipe_h1_pool_finish(struct snipe_h1_pool *p);
/* Connections to another address are closed once their calls have ended. */
void snipe_h1_pool_set_address(struct snipe_h1_pool *p, const struct snipe_address *address);
/* Closes idle connections, and the busy ones after their present call. */
void snipe_h1_pool_renew(struct snipe_h1_pool *p);

/* Sends request, whose content is moved out of the buffer. is_head: response has no body. */
struct snipe_h1_call *snipe_h1_call_start(struct snipe_h1_pool *p, struct evbuffer *request,
					  int is_head, const struct snipe_h1_call_ops *ops,
					  void *arg);
/* Drops the call and closes its connection; done is not called. */
void snipe_h1_call_cancel(struct snipe_h1_call *call);

#ifdef __cplusplus
}
#endif

#endif
