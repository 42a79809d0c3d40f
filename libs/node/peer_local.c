#include "node/peer_local.h"

#include <event2/event.h>
#include <string.h>

#include "node/peer_message.h"
#include "wire/frame.h"

/* A message from the node to itself, kept encoded because its strings belong to the sender. */
struct local_message {
	struct snipe_buffer frame, body;
};

static void deliver(struct snipe_peer_local *l, const struct local_message *lm)
{
	struct snipe_decoded d;

	if (snipe_message_decode(lm->frame.data + SNIPE_FRAME_HEADER_BYTES,
				 lm->frame.len - SNIPE_FRAME_HEADER_BYTES, &d) < 0)
		return;
	l->ops->received(l->arg, &d.message, lm->body.data, lm->body.len);
	snipe_decoded_finish(&d);
}

static void free_message(void *p)
{
	struct local_message *lm = p;

	snipe_buffer_finish(&lm->frame);
	snipe_buffer_finish(&lm->body);
	g_free(lm);
}

static void on_wake(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_peer_local *l = arg;
	guint n = g_queue_get_length(&l->messages);

	(void)fd;
	(void)what;
	while (n-- > 0) {
		struct local_message *lm = g_queue_pop_head(&l->messages);

		deliver(l, lm);
		free_message(lm);
	}
	if (!g_queue_is_empty(&l->messages))
		event_active(l->wake, 0, 0);
}

void snipe_peer_local_post(struct snipe_peer_local *l, uint32_t stream,
			   struct snipe_message *msg, const char *body, size_t body_len)
{
	struct local_message *lm = g_new0(struct local_message, 1);

	msg->stream = stream;
	snipe_peer_set_body(msg, body, body_len);
	if (msg->type == SNIPE_MSG_CALL)
		msg->u.call.chunk.len = 0;
	else if (msg->type == SNIPE_MSG_ANSWER)
		msg->u.answer.chunk.len = 0;
	snipe_buffer_init_charged(&lm->frame, l->account);
	snipe_buffer_init_charged(&lm->body, l->account);
	snipe_message_encode(msg, &lm->frame);
	if (body_len)
		snipe_buffer_reserve(&lm->body, body_len);
	snipe_buffer_append(&lm->body, body, body_len);
	g_queue_push_tail(&l->messages, lm);
	event_active(l->wake, 0, 0);
}

void snipe_peer_local_init(struct snipe_peer_local *l, struct event_base *base,
			   struct snipe_memory_account *account,
			   const struct snipe_peer_local_ops *ops, void *arg)
{
	l->ops = ops;
	l->arg = arg;
	l->account = account;
	g_queue_init(&l->messages);
	l->wake = event_new(base, -1, 0, on_wake, l);
}

void snipe_peer_local_finish(struct snipe_peer_local *l)
{
	g_queue_clear_full(&l->messages, free_message);
	event_free(l->wake);
}
