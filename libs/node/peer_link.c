#include "node/peer_link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/clock.h"
#include "base/socket.h"
#include "node/peer_internal.h"
#include "wire/frame.h"

/* A HELLO older than this is refused, so that a recorded one cannot be used later. */
#define HELLO_MAX_AGE_MS 30000

/* A CALL or ANSWER whose body has not arrived whole. */
struct assembly {
	char *payload; /* copy of the first frame: the decoded message points into it */
	struct snipe_decoded decoded;
	struct snipe_buffer body;
};

static void free_assembly(void *p)
{
	struct assembly *a = p;

	snipe_decoded_finish(&a->decoded);
	snipe_buffer_finish(&a->body);
	g_free(a->payload);
	g_free(a);
}

static void write_frame(struct snipe_link *link, const struct snipe_message *msg)
{
	struct snipe_buffer *buf = &link->task->scratch;

	snipe_buffer_clear(buf);
	snipe_message_encode(msg, buf);
	bufferevent_write(link->bev, buf->data, buf->len);
	link->queued_bytes += buf->len;
}

static void write_simple(struct snipe_link *link, enum snipe_message_type type, uint32_t stream)
{
	struct snipe_message msg;

	memset(&msg, 0, sizeof(msg));
	msg.type = type;
	msg.stream = stream;
	write_frame(link, &msg);
}

static void write_hello(struct snipe_link *link)
{
	struct snipe_peer_task *t = link->task;
	struct snipe_message msg;
	struct snipe_msg_hello *h = &msg.u.hello;

	memset(&msg, 0, sizeof(msg));
	msg.type = SNIPE_MSG_HELLO;
	memcpy(h->node_id, t->node_id, sizeof(h->node_id));
	h->process = t->process;
	h->address = t->self;
	h->wall_ms = snipe_wall_ms();
	snipe_random_bytes(&h->nonce, sizeof(h->nonce));
	snipe_hello_mac(h, t->secret, h->mac);
	write_frame(link, &msg);
}

void snipe_link_write(struct snipe_link *link, struct snipe_message *msg, const char *body,
		      size_t body_len)
{
	struct snipe_message part;
	size_t sent;

	snipe_peer_set_body(msg, body, body_len);
	write_frame(link, msg);
	memset(&part, 0, sizeof(part));
	part.type = SNIPE_MSG_BODY;
	part.stream = msg->stream;
	for (sent = SNIPE_BODY_CHUNK_BYTES; sent < body_len; sent += SNIPE_BODY_CHUNK_BYTES) {
		part.u.body.chunk.data = body + sent;
		part.u.body.chunk.len = MIN(body_len - sent, SNIPE_BODY_CHUNK_BYTES);
		write_frame(link, &part);
	}
}

static int accept_hello(struct snipe_link *link, const struct snipe_msg_hello *h)
{
	uint8_t mac[SNIPE_MAC_SIZE];

	snipe_hello_mac(h, link->task->secret, mac);
	if (!snipe_equal_constant_time(mac, h->mac, sizeof(mac)))
		return SNIPE_ERR_AUTH;
	if (llabs(snipe_wall_ms() - h->wall_ms) > HELLO_MAX_AGE_MS)
		return SNIPE_ERR_AUTH;
	memcpy(link->node_id, h->node_id, sizeof(link->node_id));
	link->has_hello = 1;
	return 0;
}

/* Hands a message with its whole body to the request or handler that it is for. */
static void deliver(struct snipe_link *link, const struct snipe_message *msg, const char *body,
		    size_t body_len)
{
	struct snipe_peer_task *t = link->task;
	struct snipe_peer_origin from;
	struct snipe_peer_request_state *req;

	if (snipe_peer_is_reply(msg->type)) {
		/* An unknown stream belongs to a request that was abandoned. */
		req = g_hash_table_lookup(link->requests, GUINT_TO_POINTER(msg->stream));
		if (req)
			snipe_peer_end_request(t, req,
					       snipe_peer_check_body(msg, body, body_len), msg,
					       body, body_len);
		return;
	}
	if (snipe_peer_check_body(msg, body, body_len) < 0) {
		snipe_log(SNIPE_LOG_WARNING, "call_body_mismatch", "peer=%s", link->node_id);
		return;
	}
	if (msg->type == SNIPE_MSG_CALL)
		g_hash_table_add(link->open_calls, GUINT_TO_POINTER(msg->stream));
	else if (msg->type == SNIPE_MSG_CANCEL)
		g_hash_table_remove(link->open_calls, GUINT_TO_POINTER(msg->stream));
	from.link = link->handle;
	from.stream = msg->stream;
	memcpy(from.node_id, link->node_id, sizeof(from.node_id));
	snipe_peer_dispatch(t, &from, msg, body, body_len);
}

static void begin_assembly(struct snipe_link *link, const void *payload, size_t len)
{
	struct assembly *a = g_new0(struct assembly, 1);

	a->payload = g_memdup2(payload, len);
	snipe_buffer_init(&a->body);
	if (snipe_message_decode(a->payload, len, &a->decoded) < 0) {
		g_free(a->payload);
		g_free(a);
		return;
	}
	if (a->decoded.message.type == SNIPE_MSG_CALL)
		snipe_buffer_append(&a->body, a->decoded.message.u.call.chunk.data,
				    a->decoded.message.u.call.chunk.len);
	else
		snipe_buffer_append(&a->body, a->decoded.message.u.answer.chunk.data,
				    a->decoded.message.u.answer.chunk.len);
	g_hash_table_replace(link->assemblies, GUINT_TO_POINTER(a->decoded.message.stream), a);
}

static int continue_assembly(struct snipe_link *link, const struct snipe_message *msg)
{
	gpointer key = GUINT_TO_POINTER(msg->stream);
	struct assembly *a = g_hash_table_lookup(link->assemblies, key);
	uint64_t want;

	/* The stream was cancelled while its body was on the way. */
	if (!a)
		return 0;
	want = snipe_peer_body_len(&a->decoded.message);
	if (a->body.len + msg->u.body.chunk.len > want)
		return SNIPE_ERR_TOO_LARGE;
	snipe_buffer_append(&a->body, msg->u.body.chunk.data, msg->u.body.chunk.len);
	if (a->body.len < want)
		return 0;
	g_hash_table_steal(link->assemblies, key);
	deliver(link, &a->decoded.message, a->body.data, a->body.len);
	free_assembly(a);
	return 0;
}

static int handle_message(struct snipe_link *link, const struct snipe_message *msg,
			  const void *payload, size_t len)
{
	const struct snipe_slice *chunk = NULL;

	if (msg->type == SNIPE_MSG_HELLO)
		return accept_hello(link, &msg->u.hello);
	if (!link->has_hello)
		return SNIPE_ERR_AUTH;
	switch (msg->type) {
	case SNIPE_MSG_PING:
		write_simple(link, SNIPE_MSG_PONG, msg->stream);
		return 0;
	case SNIPE_MSG_PONG:
		return 0;
	case SNIPE_MSG_BODY:
		return continue_assembly(link, msg);
	case SNIPE_MSG_CALL:
		chunk = &msg->u.call.chunk;
		break;
	case SNIPE_MSG_ANSWER:
		chunk = &msg->u.answer.chunk;
		break;
	case SNIPE_MSG_CANCEL:
		g_hash_table_remove(link->assemblies, GUINT_TO_POINTER(msg->stream));
		break;
	default:
		break;
	}
	if (chunk && chunk->len < snipe_peer_body_len(msg))
		begin_assembly(link, payload, len);
	else
		deliver(link, msg, chunk ? chunk->data : NULL, chunk ? chunk->len : 0);
	return 0;
}

static int read_frame(struct snipe_link *link, struct evbuffer *in, int size)
{
	size_t whole = (size_t)size + SNIPE_FRAME_HEADER_BYTES;
	unsigned char *data = evbuffer_pullup(in, (ev_ssize_t)whole);
	struct snipe_decoded d;
	int err;

	err = snipe_message_decode(data + SNIPE_FRAME_HEADER_BYTES, (size_t)size, &d);
	if (err == 0) {
		err = handle_message(link, &d.message, data + SNIPE_FRAME_HEADER_BYTES,
				     (size_t)size);
		snipe_decoded_finish(&d);
	}
	evbuffer_drain(in, whole);
	return err;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct snipe_link *link = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	uint8_t head[SNIPE_FRAME_HEADER_BYTES];
	int size;

	link->heard_us = snipe_now_us();
	while (evbuffer_get_length(in) >= SNIPE_FRAME_HEADER_BYTES) {
		evbuffer_copyout(in, head, sizeof(head));
		size = snipe_frame_peek(head, evbuffer_get_length(in));
		if (size == SNIPE_ERR_TRUNCATED)
			return;
		if (size > 0)
			size = read_frame(link, in, size);
		if (size < 0) {
			snipe_link_close(link, snipe_error_name(size));
			return;
		}
	}
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct snipe_link *link = arg;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		link->is_connected = 1;
		link->heard_us = snipe_now_us();
		return;
	}
	snipe_link_close(link, what & BEV_EVENT_EOF ? "closed_by_peer" : "connection_error");
}

static struct snipe_link *new_link(struct snipe_peer_task *t, int fd)
{
	struct snipe_link *link = g_new0(struct snipe_link, 1);
	int64_t now = snipe_now_us();
	guint index;

	link->task = t;
	link->bev = bufferevent_socket_new(t->base, fd, BEV_OPT_CLOSE_ON_FREE);
	link->requests = g_hash_table_new(NULL, NULL);
	link->open_calls = g_hash_table_new(NULL, NULL);
	link->assemblies = g_hash_table_new_full(NULL, NULL, NULL, free_assembly);
	link->heard_us = link->used_us = now;
	for (index = 0; index < t->links->len; index++) {
		if (!g_ptr_array_index(t->links, index))
			break;
	}
	if (index == t->links->len)
		g_ptr_array_add(t->links, NULL);
	t->links->pdata[index] = link;
	link->handle = (uint64_t)++t->next_generation << 32 | index;
	bufferevent_setcb(link->bev, on_read, NULL, on_event, link);
	bufferevent_enable(link->bev, EV_READ | EV_WRITE);
	return link;
}

struct snipe_link *snipe_link_accept(struct snipe_peer_task *t, int fd)
{
	struct snipe_link *link = new_link(t, fd);

	snipe_socket_set_nodelay(fd);
	link->is_connected = 1;
	write_hello(link);
	return link;
}

struct snipe_link *snipe_link_connect(struct snipe_peer_task *t, const struct snipe_address *to)
{
	struct snipe_link *link = new_link(t, -1);
	char text[SNIPE_ADDRESS_TEXT_SIZE];
	struct sockaddr_storage ss;
	int len = snipe_address_to_sockaddr(to, &ss);

	link->address = *to;
	link->is_outgoing = 1;
	snipe_address_format(to, text);
	g_hash_table_replace(t->by_address, g_strdup(text), link);
	write_hello(link);
	if (len > 0)
		bufferevent_socket_connect(link->bev, (struct sockaddr *)&ss, len);
	snipe_socket_set_nodelay(bufferevent_getfd(link->bev));
	return link;
}

static void fail_requests(struct snipe_link *link)
{
	struct snipe_peer_task *t = link->task;
	uint64_t pending = evbuffer_get_length(bufferevent_get_output(link->bev));
	uint64_t left = link->is_connected ? link->queued_bytes - pending : 0;
	GList *list = g_hash_table_get_values(link->requests);
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (GList *l = list; l; l = l->next) {
		struct snipe_peer_request_state *req = l->data;

		req->link = 0;
		req->lost =
			left > req->start_offset ? SNIPE_ERR_UNKNOWN : SNIPE_ERR_UNAVAILABLE;
		g_array_append_val(ids, req->id);
	}
	g_hash_table_remove_all(link->requests);
	/* A callback may cancel other requests of this link: each is looked up again. */
	for (guint i = 0; i < ids->len; i++) {
		gpointer key = GSIZE_TO_POINTER(g_array_index(ids, uint64_t, i));
		struct snipe_peer_request_state *req = g_hash_table_lookup(t->requests, key);

		if (req)
			snipe_peer_end_request(t, req, req->lost, NULL, NULL, 0);
	}
	g_list_free(list);
	g_array_free(ids, TRUE);
}

static void cancel_open_calls(struct snipe_link *link)
{
	GList *list = g_hash_table_get_keys(link->open_calls);
	struct snipe_peer_origin from;
	struct snipe_message msg;

	memset(&msg, 0, sizeof(msg));
	msg.type = SNIPE_MSG_CANCEL;
	from.link = link->handle;
	memcpy(from.node_id, link->node_id, sizeof(from.node_id));
	for (GList *l = list; l; l = l->next) {
		from.stream = msg.stream = GPOINTER_TO_UINT(l->data);
		snipe_peer_dispatch(link->task, &from, &msg, NULL, 0);
	}
	g_list_free(list);
}

void snipe_link_close(struct snipe_link *link, const char *cause)
{
	struct snipe_peer_task *t = link->task;
	char text[SNIPE_ADDRESS_TEXT_SIZE];

	snipe_address_format(&link->address, text);
	snipe_log(SNIPE_LOG_DEBUG, "link_closed", "peer=%s address=%s cause=%s", link->node_id,
		  link->is_outgoing ? text : "", cause);
	/* The link leaves the tables first: callbacks must not find it. */
	t->links->pdata[link->handle & 0xffffffffu] = NULL;
	if (link->is_outgoing && g_hash_table_lookup(t->by_address, text) == link)
		g_hash_table_remove(t->by_address, text);
	bufferevent_disable(link->bev, EV_READ | EV_WRITE);
	fail_requests(link);
	cancel_open_calls(link);
	g_hash_table_destroy(link->requests);
	g_hash_table_destroy(link->open_calls);
	g_hash_table_destroy(link->assemblies);
	bufferevent_free(link->bev);
	g_free(link);
}

int snipe_link_tick(struct snipe_link *link, int64_t now_us)
{
	int64_t silent = now_us - link->heard_us;

	if (g_hash_table_size(link->requests) == 0) {
		if (link->is_outgoing && now_us - link->used_us > SNIPE_LINK_IDLE_US) {
			snipe_link_close(link, "idle");
			return 1;
		}
		return 0;
	}
	if (silent > SNIPE_LINK_SILENT_US) {
		snipe_link_close(link, "silent");
		return 1;
	}
	if (silent > SNIPE_LINK_PING_AFTER_US &&
	    now_us - link->ping_us > SNIPE_LINK_PING_AFTER_US) {
		link->ping_us = now_us;
		write_simple(link, SNIPE_MSG_PING, 0);
	}
	return 0;
}
