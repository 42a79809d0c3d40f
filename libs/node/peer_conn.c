#include "node/peer_conn.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/memory_account.h"
#include "base/socket.h"
#include "wire/frame.h"

/* A HELLO older than this is refused, so that a recorded one cannot be used later. */
#define HELLO_MAX_AGE_MS 30000
/* Larger than any HELLO: more is not read before the peer has greeted. */
#define GREETING_MAX_BYTES 4096
/* Input beyond a whole frame is left to the kernel. */
#define INPUT_MAX_BYTES (SNIPE_FRAME_MAX_BYTES + SNIPE_FRAME_HEADER_BYTES)
/* Output above which more is not to be written, and at which there is room again. */
#define OUTPUT_HIGH_BYTES ((size_t)256 * 1024)
#define OUTPUT_LOW_BYTES ((size_t)64 * 1024)

static void update_charge(struct snipe_conn *c)
{
	snipe_memory_update(c->account, &c->charged,
			    evbuffer_get_length(bufferevent_get_input(c->bev)) +
				    evbuffer_get_length(bufferevent_get_output(c->bev)));
}

void snipe_conn_set_account(struct snipe_conn *c, struct snipe_memory_account *account)
{
	snipe_memory_update(c->account, &c->charged, 0);
	c->account = account;
	update_charge(c);
}

int snipe_conn_is_full(const struct snipe_conn *c)
{
	return evbuffer_get_length(bufferevent_get_output(c->bev)) > OUTPUT_HIGH_BYTES;
}

static void free_conn(struct snipe_conn *c)
{
	bufferevent_free(c->bev);
	snipe_buffer_finish(&c->scratch);
	g_free(c);
}

void snipe_conn_close(struct snipe_conn *c)
{
	if (!c || c->is_closed)
		return;
	c->is_closed = 1;
	snipe_conn_set_account(c, NULL);
	bufferevent_disable(c->bev, EV_READ | EV_WRITE);
	if (!c->is_reading)
		free_conn(c);
}

/* The connection ended by itself. */
static void end_conn(struct snipe_conn *c, const char *cause, int was_refused)
{
	if (c->is_closed)
		return;
	c->is_closed = 1;
	snipe_conn_set_account(c, NULL);
	bufferevent_disable(c->bev, EV_READ | EV_WRITE);
	c->ops->closed(c->arg, c, cause, was_refused);
	if (!c->is_reading)
		free_conn(c);
}

void snipe_conn_write(struct snipe_conn *c, const void *frame, size_t len)
{
	bufferevent_write(c->bev, frame, len);
	c->queued_bytes += len;
	update_charge(c);
}

void snipe_conn_write_message(struct snipe_conn *c, const struct snipe_message *msg)
{
	snipe_buffer_clear(&c->scratch);
	snipe_message_encode(msg, &c->scratch);
	snipe_conn_write(c, c->scratch.data, c->scratch.len);
}

uint64_t snipe_conn_left_bytes(const struct snipe_conn *c)
{
	return c->is_connected
		       ? c->queued_bytes - evbuffer_get_length(bufferevent_get_output(c->bev))
		       : 0;
}

void snipe_conn_greet(struct snipe_conn *c, uint64_t session, uint64_t received, int is_known)
{
	const struct snipe_conn_identity *id = c->identity;
	struct snipe_message msg;
	struct snipe_msg_hello *h = &msg.u.hello;

	memset(&msg, 0, sizeof(msg));
	msg.type = SNIPE_MSG_HELLO;
	memcpy(h->node_id, id->node_id, sizeof(h->node_id));
	h->process = id->process;
	h->address = id->address;
	h->wall_ms = snipe_wall_ms();
	snipe_random_bytes(&h->nonce, sizeof(h->nonce));
	h->session = session;
	h->received = received;
	h->is_known = is_known;
	snipe_hello_mac(h, id->secret, h->mac);
	snipe_hello_session_mac(h, id->secret, h->session_mac);
	c->stated = received;
	snipe_conn_write_message(c, &msg);
}

static int check_hello(const struct snipe_conn *c, const struct snipe_msg_hello *h)
{
	uint8_t mac[SNIPE_MAC_SIZE];

	snipe_hello_mac(h, c->identity->secret, mac);
	if (!snipe_equal_constant_time(mac, h->mac, sizeof(mac)))
		return SNIPE_ERR_AUTH;
	snipe_hello_session_mac(h, c->identity->secret, mac);
	if (h->session && !snipe_equal_constant_time(mac, h->session_mac, sizeof(mac)))
		return SNIPE_ERR_AUTH;
	return llabs(snipe_wall_ms() - h->wall_ms) > HELLO_MAX_AGE_MS ? SNIPE_ERR_AUTH : 0;
}

static int handle_message(struct snipe_conn *c, const struct snipe_message *msg,
			  const void *payload, size_t len)
{
	int ret;

	if (msg->type != SNIPE_MSG_HELLO)
		return c->has_greeted ? c->ops->received(c->arg, c, msg, payload, len)
				      : SNIPE_ERR_AUTH;
	if (c->has_greeted)
		return SNIPE_ERR_SYNTAX;
	ret = check_hello(c, &msg->u.hello);
	c->has_greeted = ret == 0;
	bufferevent_setwatermark(c->bev, EV_READ, 0, INPUT_MAX_BYTES);
	return ret == 0 ? c->ops->greeted(c->arg, c, &msg->u.hello) : ret;
}

static int read_frame(struct snipe_conn *c, struct evbuffer *in, int size)
{
	size_t whole = (size_t)size + SNIPE_FRAME_HEADER_BYTES;
	unsigned char *data = evbuffer_pullup(in, (ev_ssize_t)whole);
	struct snipe_decoded d;
	int err;

	err = snipe_message_decode(data + SNIPE_FRAME_HEADER_BYTES, (size_t)size, &d);
	if (err == 0) {
		err = handle_message(c, &d.message, data + SNIPE_FRAME_HEADER_BYTES,
				     (size_t)size);
		snipe_decoded_finish(&d);
	}
	evbuffer_drain(in, whole);
	return err;
}

/* Returns a negative error that ends the connection. */
static int read_frames(struct snipe_conn *c, struct evbuffer *in)
{
	uint8_t head[SNIPE_FRAME_HEADER_BYTES];
	int size;

	while (!c->is_closed && evbuffer_get_length(in) >= SNIPE_FRAME_HEADER_BYTES) {
		evbuffer_copyout(in, head, sizeof(head));
		size = snipe_frame_peek(head, evbuffer_get_length(in));
		if (size == SNIPE_ERR_TRUNCATED)
			return c->has_greeted || evbuffer_get_length(in) < GREETING_MAX_BYTES
				       ? 0
				       : SNIPE_ERR_AUTH;
		if (size > 0)
			size = read_frame(c, in, size);
		if (size < 0)
			return size;
	}
	return 0;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct snipe_conn *c = arg;
	int err;

	c->is_reading++;
	err = read_frames(c, bufferevent_get_input(bev));
	c->is_reading--;
	if (c->is_closed)
		free_conn(c);
	else if (err < 0)
		end_conn(c, snipe_error_name(err), 0);
	else
		update_charge(c);
}

static void on_written(struct bufferevent *bev, void *arg)
{
	struct snipe_conn *c = arg;

	(void)bev;
	update_charge(c);
	if (c->ops->drained)
		c->ops->drained(c->arg, c);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct snipe_conn *c = arg;
	int error = EVUTIL_SOCKET_ERROR();

	(void)bev;
	/* The user does not know the connection yet. */
	if (c->is_starting) {
		c->has_failed = 1;
		return;
	}
	if (what & BEV_EVENT_CONNECTED)
		c->is_connected = 1;
	else if (what & BEV_EVENT_EOF)
		end_conn(c, "closed_by_peer", 0);
	else if (!c->is_connected && error == ECONNREFUSED)
		end_conn(c, "refused", 1);
	else
		end_conn(c, "connection_error", 0);
}

static struct snipe_conn *new_conn(struct event_base *base,
				   const struct snipe_conn_identity *identity, int fd,
				   const struct snipe_conn_ops *ops, void *arg)
{
	struct snipe_conn *c = g_new0(struct snipe_conn, 1);

	c->ops = ops;
	c->arg = arg;
	c->identity = identity;
	c->opened_us = snipe_now_us();
	c->next_number = 1;
	snipe_buffer_init(&c->scratch);
	c->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(c->bev, on_read, on_written, on_event, c);
	bufferevent_setwatermark(c->bev, EV_READ, 0, GREETING_MAX_BYTES);
	bufferevent_setwatermark(c->bev, EV_WRITE, OUTPUT_LOW_BYTES, 0);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
	return c;
}

struct snipe_conn *snipe_conn_accept(struct event_base *base,
				     const struct snipe_conn_identity *identity, int fd,
				     const struct snipe_conn_ops *ops, void *arg)
{
	struct snipe_conn *c = new_conn(base, identity, fd, ops, arg);

	snipe_socket_set_nodelay(fd);
	c->is_connected = 1;
	return c;
}

struct snipe_conn *snipe_conn_connect(struct event_base *base,
				      const struct snipe_conn_identity *identity,
				      const struct snipe_address *to,
				      const struct snipe_conn_ops *ops, void *arg)
{
	struct snipe_conn *c = new_conn(base, identity, -1, ops, arg);
	struct sockaddr_storage ss;
	int len = snipe_address_to_sockaddr(to, &ss);

	c->is_starting = 1;
	if (len < 0 || bufferevent_socket_connect(c->bev, (struct sockaddr *)&ss, len) < 0)
		c->has_failed = 1;
	c->is_starting = 0;
	if (c->has_failed)
		bufferevent_trigger_event(c->bev, BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
	else
		snipe_socket_set_nodelay(bufferevent_getfd(c->bev));
	return c;
}
