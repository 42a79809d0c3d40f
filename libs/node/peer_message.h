/*
 * Messages between nodes whose body comes in several frames.
 */
#ifndef SNIPE_PEER_MESSAGE_H
#define SNIPE_PEER_MESSAGE_H

#include "wire/message.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Sets chunk, body_len and body_hash of a CALL or ANSWER to the first part of body. */
void snipe_peer_set_body(struct snipe_message *msg, const char *body, size_t body_len);

/* Compares a whole body with the announced length and hash. Returns 0 or SNIPE_ERR_TRUNCATED.
 */
int snipe_peer_check_body(const struct snipe_message *msg, const char *body, size_t body_len);

/* The announced body length of a CALL or ANSWER, 0 for other types. */
uint64_t snipe_peer_body_len(const struct snipe_message *msg);

/* Whether a type is the reply to a request. */
int snipe_peer_is_reply(enum snipe_message_type type);

#ifdef __cplusplus
}
#endif

#endif
