/*
 * HTTP connections to the backend server beside the node, and one exchange on one of them.
 */
#ifndef SNIPE_HTTP_CLIENT_H
#define SNIPE_HTTP_CLIENT_H

#include <event2/event_struct.h>
#include <glib.h>
#include <stdint.h>

#include "base/address.h"

#ifdef __cplusplus
extern "C" {
#endif

struct event_base;
struct evhttp_request;
struct bufferevent;
struct snipe_http_connection;

enum snipe_http_result {
	SNIPE_HTTP_COMPLETE,
	SNIPE_HTTP_NOT_CONNECTED, /* certainly not one byte of the request was sent */
	SNIPE_HTTP_LOST,	  /* connection ended before the response's headers */
	SNIPE_HTTP_TRUNCATED,	  /* connection ended within the response, or its length is
				     not certain */
};

/* Fields are private. */
struct snipe_http_client {
	struct event_base *base;
	struct snipe_address address;
	int max_connections;
	int running;
	unsigned generation; /* connections of an earlier generation are not used again */
	GPtrArray *idle;
	GPtrArray *discarded; /* closed from the loop, never inside evhttp's callbacks */
	struct event close_discarded;
	int64_t last_response_us;
	struct bufferevent *probe;
	void (*probe_cb)(void *arg, int err);
	void *probe_arg;
};

void snipe_http_client_init(struct snipe_http_client *c, struct event_base *base);
void snipe_http_client_finish(struct snipe_http_client *c);
/* Calls that run stay on their connections. */
void snipe_http_client_set_address(struct snipe_http_client *c,
				   const struct snipe_address *address);
void snipe_http_client_set_max_connections(struct snipe_http_client *c, int max_connections);
/* Closes idle connections and uses the running ones for their present exchange only. */
void snipe_http_client_renew(struct snipe_http_client *c);
/* When the last response came in on any connection; 0: none yet. */
int64_t snipe_http_client_last_response_us(const struct snipe_http_client *c);

/*
 * Opens a new connection to see whether the server accepts one. err is 0,
 * SNIPE_ERR_UNAVAILABLE (refused) or SNIPE_ERR_UNKNOWN (no answer within 250 ms). A probe that
 * is running answers this call too, through the first call's cb.
 */
void snipe_http_client_probe(struct snipe_http_client *c, void (*cb)(void *arg, int err),
			     void *arg);

/* response is valid during the call, and only with SNIPE_HTTP_COMPLETE. */
typedef void (*snipe_http_done_cb)(void *arg, enum snipe_http_result result,
				   struct evhttp_request *response);

/* Fields are private but for request, to which headers and body are added before the start. */
struct snipe_http_exchange {
	struct evhttp_request *request;
	struct snipe_http_client *client;
	struct snipe_http_connection *connection; /* NULL while not started */
	snipe_http_done_cb cb;
	void *arg;
	int is_head;
	int has_headers; /* the response's headers came in */
	int is_starting;
	struct event deferred;
};

void snipe_http_exchange_init(struct snipe_http_exchange *x, struct snipe_http_client *c,
			      snipe_http_done_cb cb, void *arg);
/* Drops the exchange; a running one's connection is closed and cb is not called. */
void snipe_http_exchange_finish(struct snipe_http_exchange *x);
/* Sends the request. cb is called once, never inside this function. Returns 0, or
 * SNIPE_ERR_FULL if all connections are in use; then nothing was sent. */
int snipe_http_exchange_start(struct snipe_http_exchange *x, int command, const char *uri);

#ifdef __cplusplus
}
#endif

#endif
