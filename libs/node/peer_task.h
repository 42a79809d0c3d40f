/*
 * Peer task: requests between nodes over links (node/peer_link).
 *
 * There is at most one outgoing link to each address, opened on first use and closed after 60 s
 * without use. Its session outlives its connections: a request is neither lost nor run twice
 * because a connection broke or fell silent. Requests to the own address are delivered in the
 * process.
 */
#ifndef SNIPE_PEER_TASK_H
#define SNIPE_PEER_TASK_H

#include <glib.h>
#include <stdint.h>

#include "base/address.h"
#include "base/memory_limit.h"
#include "node/peer_link.h"
#include "node/peer_local.h"
#include "wire/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct event;
struct event_base;
struct evconnlistener;

/* A received request, to be answered with snipe_peer_reply. */
struct snipe_peer_origin {
	uint64_t link; /* handle of the link; stale handles are recognized and ignored */
	uint32_t stream;
	char node_id[SNIPE_NAME_SIZE];
};

/* For tables by origin; the node id follows from the link. */
guint snipe_peer_origin_hash(gconstpointer key);
gboolean snipe_peer_origin_equal(gconstpointer a, gconstpointer b);

/*
 * A message of one type came in. body is the whole body of a CALL, put together from its frames
 * and checked against body_hash; otherwise NULL. Message and body are valid during the call.
 */
typedef void (*snipe_peer_handler)(void *arg, const struct snipe_peer_origin *from,
				   const struct snipe_message *msg, const char *body,
				   size_t body_len);

/*
 * The reply to a request. err is 0; SNIPE_ERR_UNAVAILABLE (not one byte of the request was
 * handed to the kernel: certainly not received); SNIPE_ERR_UNKNOWN (link lost after bytes left,
 * timeout, or the peer is slow and the request is not a CALL that must run once only);
 * SNIPE_ERR_TRUNCATED (body shorter than announced or with another
 * hash). The reply and its body are valid during the call. Never called from inside
 * snipe_peer_request.
 */
typedef void (*snipe_peer_reply_cb)(void *arg, int err, const struct snipe_message *reply,
				    const char *body, size_t body_len);

/* Fields are private. */
struct snipe_peer_task {
	struct evconnlistener *listener;
	int is_accept_paused; /* until the next tick */
	struct event *tick;
	struct snipe_link_config links_config; /* shared by all links */
	struct {
		snipe_peer_handler fn;
		void *arg;
	} handlers[SNIPE_MSG_TYPE_COUNT];
	GPtrArray *links;	/* of struct snipe_link, NULL for free handles */
	GHashTable *by_address; /* text address -> outgoing link */
	GHashTable *by_session; /* session id -> incoming link */
	GPtrArray *accepted;	/* connections whose HELLO has not come */
	GHashTable *requests;	/* request id -> open request */
	struct snipe_memory_holder holder;
	struct snipe_link *worst; /* of all links, as last found by the holder */
	struct snipe_peer_local local;
	GHashTable *local_requests; /* stream -> open request to the node itself */
	uint32_t local_stream;
	uint64_t next_request;
	int64_t checked_us; /* when all links were last to be checked */
	uint32_t next_generation;
};

struct snipe_peer_config {
	struct event_base *base;
	struct snipe_address listen;
	const char *node_id;
	uint64_t process;
	const char *secret;		   /* must stay valid */
	struct snipe_memory_limit *memory; /* NULL: no limit */
};

/* Listens. Returns 0 or SNIPE_ERR_IO with the remedy in err. */
int snipe_peer_task_init(struct snipe_peer_task *t, const struct snipe_peer_config *config,
			 struct snipe_error_text *err);
void snipe_peer_task_finish(struct snipe_peer_task *t);

/* Counters of the links. */
const struct snipe_link_counts *snipe_peer_link_counts(const struct snipe_peer_task *t);

/* The address that the listener got. */
const struct snipe_address *snipe_peer_address(const struct snipe_peer_task *t);

/* Sets the handler of one message type. */
void snipe_peer_on(struct snipe_peer_task *t, enum snipe_message_type type,
		   snipe_peer_handler fn, void *arg);

/*
 * Sends a request and waits for its reply. msg->stream is ignored. body is the whole body of a
 * CALL; the task sets chunk, body_len and body_hash and sends the rest in BODY frames. Returns
 * a handle above 0 for snipe_peer_cancel.
 */
uint64_t snipe_peer_request(struct snipe_peer_task *t, const struct snipe_address *to,
			    const struct snipe_message *msg, const char *body, size_t body_len,
			    int64_t timeout_us, snipe_peer_reply_cb cb, void *arg);

/* Drops a request; its callback is not called. A CALL is cancelled at the peer. */
void snipe_peer_cancel(struct snipe_peer_task *t, uint64_t request);

/* Sends a message that has no reply. */
void snipe_peer_send(struct snipe_peer_task *t, const struct snipe_address *to,
		     const struct snipe_message *msg);

/* Answers a request; body is the whole body of an ANSWER. */
void snipe_peer_reply(struct snipe_peer_task *t, const struct snipe_peer_origin *to,
		      const struct snipe_message *msg, const char *body, size_t body_len);

/* A CANCEL for a received CALL, or the loss of its link, comes to the handler of
 * SNIPE_MSG_CANCEL with the same origin. */

#ifdef __cplusplus
}
#endif

#endif
