/*
 * HTTP/1.1 client: calls to one address over a pool of persistent connections.
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
	SNIPE_H1_NO_SOCKET,	/* this process could open no socket; says nothing about the
				   server */
	SNIPE_H1_NOT_CONNECTED, /* no connection: no byte of the request was sent */
	SNIPE_H1_LOST,		/* the connection ended before the response began */
	SNIPE_H1_BROKEN,	/* the response was truncated or malformed */
	SNIPE_H1_TOO_LARGE,	/* the response body exceeds max_body_bytes */
};

/* Fields are private except for the limits and the account. */
struct snipe_h1_pool {
	/* Charged with what is on its way; to be set before the first call, and valid as long
	 * as there are connections. NULL: none. */
	struct snipe_memory_account *account;
	int64_t idle_limit_us;	    /* idle connections are not reused after this time */
	int64_t connect_timeout_us; /* 0: no timeout */
	size_t max_body_bytes;
	struct event_base *base;
	struct snipe_address address;
	LIST_HEAD(snipe_h1_client_connections, snipe_h1_client_connection) connections;
	GQueue idle; /* ordered by last use, oldest first */
	unsigned generation;
	int connection_count;
	int64_t opened_total;
	int64_t last_response_us; /* 0: none yet */
};

struct snipe_h1_call;

/*
 * accept returns nonzero if a complete response belongs to this call; otherwise the response is
 * discarded and the next one is read. accept may be NULL. done is called exactly once unless
 * the call is cancelled, and never from within snipe_h1_call_start. The response is valid
 * during the callback and NULL unless the result is SNIPE_H1_COMPLETE.
 */
struct snipe_h1_call_ops {
	int (*accept)(void *arg, const struct snipe_h1_message *response);
	void (*done)(void *arg, enum snipe_h1_result result,
		     const struct snipe_h1_message *response);
};

void snipe_h1_pool_init(struct snipe_h1_pool *p, struct event_base *base);
void snipe_h1_pool_finish(struct snipe_h1_pool *p);
/* Closes connections to the previous address once their calls have ended. */
void snipe_h1_pool_set_address(struct snipe_h1_pool *p, const struct snipe_address *address);
/* Closes idle connections now and the others after their current call. */
void snipe_h1_pool_retire_connections(struct snipe_h1_pool *p);

/* Sends a request, moving its content out of the buffer. is_head: a HEAD request, whose
 * response has no body. */
struct snipe_h1_call *snipe_h1_call_start(struct snipe_h1_pool *p, struct evbuffer *request,
					  int is_head, const struct snipe_h1_call_ops *ops,
					  void *arg);
/* Bytes of the request that have not left, and of the response so far. */
size_t snipe_h1_call_held(const struct snipe_h1_call *call);
/* Frees the call and closes its connection; done is not called. */
void snipe_h1_call_cancel(struct snipe_h1_call *call);

#ifdef __cplusplus
}
#endif

#endif
