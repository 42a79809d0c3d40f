/*
 * What the files of the peer task share: delivery of messages to handlers and of replies to
 * requests.
 */
#ifndef SNIPE_PEER_INTERNAL_H
#define SNIPE_PEER_INTERNAL_H

#include "node/peer_link.h"

/* Sets chunk, body_len and body_hash of a CALL or ANSWER to the first part of body. */
void snipe_peer_set_body(struct snipe_message *msg, const char *body, size_t body_len);

/* Compares a whole body with the announced length and hash. Returns 0 or SNIPE_ERR_TRUNCATED.
 */
int snipe_peer_check_body(const struct snipe_message *msg, const char *body, size_t body_len);

/* The announced body length of a CALL or ANSWER, 0 for other types. */
uint64_t snipe_peer_body_len(const struct snipe_message *msg);

/* Calls the handler of a request that came in. */
void snipe_peer_dispatch(struct snipe_peer_task *t, const struct snipe_peer_origin *from,
			 const struct snipe_message *msg, const char *body, size_t body_len);

/* Ends a request with a reply or an error; frees it. */
void snipe_peer_end_request(struct snipe_peer_task *t, struct snipe_peer_request_state *req,
			    int err, const struct snipe_message *reply, const char *body,
			    size_t body_len);

/* Whether a type is the reply to a request. */
int snipe_peer_is_reply(enum snipe_message_type type);

/* Messages to the node itself. */
void snipe_peer_local_post(struct snipe_peer_task *t, uint32_t stream,
			   struct snipe_message *msg, const char *body, size_t body_len);
void snipe_peer_local_init(struct snipe_peer_task *t);
void snipe_peer_local_finish(struct snipe_peer_task *t);

#endif
