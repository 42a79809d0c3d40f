#include "node/peer_message.h"

#include <glib.h>

#include "base/error.h"
#include "base/hash.h"

int snipe_peer_is_reply(enum snipe_message_type type)
{
	switch (type) {
	case SNIPE_MSG_ANSWER:
	case SNIPE_MSG_RETRY_ANSWER:
	case SNIPE_MSG_QUOTA_GRANT:
	case SNIPE_MSG_DEDUP_ANSWER:
	case SNIPE_MSG_OBJECT:
	case SNIPE_MSG_MEMBERS:
		return 1;
	default:
		return 0;
	}
}

void snipe_peer_set_body(struct snipe_message *msg, const char *body, size_t body_len)
{
	struct snipe_slice chunk = {body, MIN(body_len, SNIPE_BODY_CHUNK_BYTES)};

	if (msg->type == SNIPE_MSG_CALL) {
		msg->u.call.chunk = chunk;
		msg->u.call.body_len = body_len;
		msg->u.call.body_hash = snipe_hash64(body, body_len);
	} else if (msg->type == SNIPE_MSG_ANSWER) {
		msg->u.answer.chunk = chunk;
		msg->u.answer.body_len = body_len;
		msg->u.answer.body_hash = snipe_hash64(body, body_len);
	}
}

uint64_t snipe_peer_body_len(const struct snipe_message *msg)
{
	if (msg->type == SNIPE_MSG_CALL)
		return msg->u.call.body_len;
	return msg->type == SNIPE_MSG_ANSWER ? msg->u.answer.body_len : 0;
}

int snipe_peer_check_body(const struct snipe_message *msg, const char *body, size_t body_len)
{
	uint64_t hash;

	if (msg->type != SNIPE_MSG_CALL && msg->type != SNIPE_MSG_ANSWER)
		return 0;
	hash = msg->type == SNIPE_MSG_CALL ? msg->u.call.body_hash : msg->u.answer.body_hash;
	if (body_len != snipe_peer_body_len(msg) || snipe_hash64(body, body_len) != hash)
		return SNIPE_ERR_TRUNCATED;
	return 0;
}
