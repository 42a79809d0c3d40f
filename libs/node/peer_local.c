#include <event2/event.h>
#include <string.h>

#include "node/peer_internal.h"
#include "wire/frame.h"

/* A message from the node to itself, kept encoded because its strings belong to the sender. */
struct local_message {
	struct snipe_buffer frame;
	char *body;
	size_t body_len;
};

static void deliver(struct snipe_peer_task *t, const struct local_message *lm)
{
	struct snipe_peer_origin from = {.link = SNIPE_LINK_LOCAL};
	struct snipe_peer_request_state *req;
	struct snipe_decoded d;

	if (snipe_message_decode(lm->frame.data + SNIPE_FRAME_HEADER_BYTES,
				 lm->frame.len - SNIPE_FRAME_HEADER_BYTES, &d) < 0)
		return;
	from.stream = d.message.stream;
	memcpy(from.node_id, t->node_id, sizeof(from.node_id));
	if (!snipe_peer_is_reply(d.message.type)) {
		snipe_peer_dispatch(t, &from, &d.message, lm->body, lm->body_len);
	} else {
		req = g_hash_table_lookup(t->local_requests, GUINT_TO_POINTER(from.stream));
		if (req)
			snipe_peer_end_request(t, req, 0, &d.message, lm->body, lm->body_len);
	}
	snipe_decoded_finish(&d);
}

static void free_message(void *p)
{
	struct local_message *lm = p;

	snipe_buffer_finish(&lm->frame);
	g_free(lm->body);
	g_free(lm);
}

static void on_wake(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_peer_task *t = arg;
	guint n = g_queue_get_length(&t->local);

	(void)fd;
	(void)what;
	while (n-- > 0) {
		struct local_message *lm = g_queue_pop_head(&t->local);

		deliver(t, lm);
		free_message(lm);
	}
	if (!g_queue_is_empty(&t->local))
		event_active(t->local_wake, 0, 0);
}

void snipe_peer_local_post(struct snipe_peer_task *t, uint32_t stream,
			   struct snipe_message *msg, const char *body, size_t body_len)
{
	struct local_message *lm = g_new0(struct local_message, 1);

	msg->stream = stream;
	snipe_peer_set_body(msg, body, body_len);
	if (msg->type == SNIPE_MSG_CALL)
		msg->u.call.chunk.len = 0;
	else if (msg->type == SNIPE_MSG_ANSWER)
		msg->u.answer.chunk.len = 0;
	snipe_buffer_init(&lm->frame);
	snipe_message_encode(msg, &lm->frame);
	lm->body = g_memdup2(body, body_len);
	lm->body_len = body_len;
	g_queue_push_tail(&t->local, lm);
	event_active(t->local_wake, 0, 0);
}

void snipe_peer_local_init(struct snipe_peer_task *t)
{
	g_queue_init(&t->local);
	t->local_requests = g_hash_table_new(NULL, NULL);
	t->local_wake = event_new(t->base, -1, 0, on_wake, t);
}

void snipe_peer_local_finish(struct snipe_peer_task *t)
{
	g_queue_clear_full(&t->local, free_message);
	event_free(t->local_wake);
	g_hash_table_destroy(t->local_requests);
}
