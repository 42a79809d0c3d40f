#include "node/peer_link.h"

#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/memory_limit.h"
#include "node/peer_message.h"
#include "wire/frame.h"

/* An outgoing link without use is closed after this time. */
#define IDLE_US 60000000
/* The state of a received session is kept for this long after its connection ended: its peer
 * connects again at once if it lives. */
#define LINGER_US 400000
/* Longest times until a peer accepts a second connection, and until it greets on it. */
#define CONNECT_MAX_US 200000
#define GREETING_MAX_US 1000000
/* The peer is told what was taken in after this time or this many bytes, in a message of its
 * own if there is no other one. Until then it keeps the messages. */
#define STATE_AFTER_US 2000000
#define STATE_WITH_OTHERS_US 250000
#define STATE_AFTER_BYTES (128 * 1024)
/* A link that keeps less for its peer is in use as usual. */
#define USUAL_BYTES ((size_t)256 * 1024)

/* A request that waits for its reply. */
struct request {
	uint64_t id;
	uint64_t first_number, last_number; /* of its messages */
	int is_call;
	int is_idempotent;
};

/* A CALL or ANSWER whose body has not arrived whole. */
struct assembly {
	struct snipe_buffer payload; /* copy of the first frame: the message points into it */
	struct snipe_decoded decoded;
	struct snipe_buffer body;
	int64_t started_us;
};

static void free_assembly(void *p)
{
	struct assembly *a = p;

	snipe_decoded_finish(&a->decoded);
	snipe_buffer_finish(&a->body);
	snipe_buffer_finish(&a->payload);
	g_free(a);
}

static const char *address_text(const struct snipe_link *link,
				char text[SNIPE_ADDRESS_TEXT_SIZE])
{
	snipe_address_format(&link->address, text);
	return link->is_outgoing ? text : "";
}

/* The peer has taken in all messages up to a number. */
static int acknowledge(struct snipe_link *link, uint64_t number)
{
	link->progress_us = snipe_now_us();
	return snipe_session_acknowledge(&link->session, MAX(number, link->session.acked));
}

static void write_received(struct snipe_link *link)
{
	struct snipe_message msg;

	memset(&msg, 0, sizeof(msg));
	msg.type = SNIPE_MSG_ACK;
	msg.u.ack.received = link->session.received;
	snipe_session_state_received(&link->session);
	link->stated_us = snipe_now_us();
	snipe_conn_write_message(link->conn, &msg);
}

/* Tells the peer what was taken in if that is due. */
static void state_received(struct snipe_link *link, int64_t now_us, int64_t after_us)
{
	const struct snipe_session *s = &link->session;

	/* A second connection that is under way has stated a number already: it must not be
	 * lower than the last one that the peer knows. */
	if (link->session_id && link->conn && link->conn->has_greeted && !link->next &&
	    s->received > s->stated &&
	    (now_us - link->stated_us >= after_us || s->unstated_bytes >= STATE_AFTER_BYTES))
		write_received(link);
}

/* Whether messages may be written: on the first connection from the start, on a later one once
 * the peer stated where to continue. */
static int is_writable(const struct snipe_link *link)
{
	return link->conn && (!link->has_connected || link->conn->has_greeted);
}

static void write_messages(struct snipe_link *link)
{
	const struct snipe_session_message *m;

	if (!is_writable(link))
		return;
	/* What a peer without sessions was sent counts as acknowledged: it has to be written.
	 */
	while ((!link->session_id || !snipe_conn_is_full(link->conn)) &&
	       (m = snipe_session_next(&link->session, link->conn->queued_bytes)) != NULL) {
		link->config->counts.resent += m->may_have_left;
		snipe_conn_write(link->conn, m->data, m->len);
	}
	/* A peer without sessions acknowledges no replies, and they are never sent again. */
	if (!link->session_id && !link->is_outgoing)
		snipe_session_acknowledge(&link->session, link->session.sent);
}

/* Adds a message to the session. */
static int push(struct snipe_link *link, const struct snipe_message *msg)
{
	struct snipe_buffer *buf = &link->config->scratch;

	snipe_buffer_clear(buf);
	snipe_message_encode(msg, buf);
	return snipe_session_push(&link->session, buf->data, buf->len);
}

void snipe_link_send(struct snipe_link *link, struct snipe_message *msg, const char *body,
		     size_t body_len)
{
	struct snipe_message part;
	int ret;

	if (msg->type == SNIPE_MSG_ANSWER)
		g_hash_table_remove(link->open_calls, GUINT_TO_POINTER(msg->stream));
	snipe_peer_set_body(msg, body, body_len);
	if (link->session.unacked_bytes == 0)
		link->progress_us = snipe_now_us();
	ret = push(link, msg);
	memset(&part, 0, sizeof(part));
	part.type = SNIPE_MSG_BODY;
	part.stream = msg->stream;
	for (size_t sent = SNIPE_BODY_CHUNK_BYTES; ret == 0 && sent < body_len;
	     sent += SNIPE_BODY_CHUNK_BYTES) {
		part.u.body.chunk.data = body + sent;
		part.u.body.chunk.len = MIN(body_len - sent, SNIPE_BODY_CHUNK_BYTES);
		ret = push(link, &part);
	}
	/* The peer misses a message from here on: the session cannot go on. */
	if (ret < 0)
		link->is_full = 1;
	state_received(link, snipe_now_us(), STATE_WITH_OTHERS_US);
	write_messages(link);
}

uint32_t snipe_link_request(struct snipe_link *link, uint64_t id, struct snipe_message *msg,
			    const char *body, size_t body_len)
{
	struct request *req = g_new0(struct request, 1);
	int64_t now = snipe_now_us();

	link->used_us = now;
	if (g_hash_table_size(link->requests) == 0)
		snipe_link_watch_await(&link->watch, now);
	msg->stream = ++link->next_stream;
	req->id = id;
	req->is_call = msg->type == SNIPE_MSG_CALL;
	req->is_idempotent = req->is_call && msg->u.call.idempotent;
	req->first_number = link->session.sent + 1;
	g_hash_table_insert(link->requests, GUINT_TO_POINTER(msg->stream), req);
	snipe_link_send(link, msg, body, body_len);
	req->last_number = link->session.sent;
	return msg->stream;
}

static void send_cancel(struct snipe_link *link, uint32_t stream)
{
	struct snipe_message msg;

	memset(&msg, 0, sizeof(msg));
	msg.type = SNIPE_MSG_CANCEL;
	msg.stream = stream;
	snipe_link_send(link, &msg, NULL, 0);
}

void snipe_link_forget(struct snipe_link *link, uint32_t stream, int is_cancelled)
{
	struct request *req = g_hash_table_lookup(link->requests, GUINT_TO_POINTER(stream));

	if (req && req->is_call && is_cancelled)
		send_cancel(link, stream);
	g_hash_table_remove(link->requests, GUINT_TO_POINTER(stream));
}

static void end_request(struct snipe_link *link, uint32_t stream, int err,
			const struct snipe_message *reply, const char *body, size_t body_len)
{
	struct request *req = g_hash_table_lookup(link->requests, GUINT_TO_POINTER(stream));
	uint64_t id;

	/* An unknown stream belongs to a request that was abandoned. */
	if (!req)
		return;
	id = req->id;
	/* The peer replies to what it has taken in. */
	if (reply)
		acknowledge(link, req->last_number);
	g_hash_table_remove(link->requests, GUINT_TO_POINTER(stream));
	link->config->ops->request_ended(link->config->arg, id, err, reply, body, body_len);
}

/* Ends the requests that a filter chooses, each with the error that it returns; 0: go on. */
static void end_requests(struct snipe_link *link,
			 int (*filter)(const struct snipe_link *, const struct request *))
{
	GArray *streams = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, link->requests);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		uint32_t stream = GPOINTER_TO_UINT(key);

		g_array_append_val(streams, stream);
	}
	/* A callback may forget other requests of this link: each is looked up again. */
	for (guint i = 0; i < streams->len; i++) {
		uint32_t stream = g_array_index(streams, uint32_t, i);
		const struct request *req =
			g_hash_table_lookup(link->requests, GUINT_TO_POINTER(stream));
		int err = req ? filter(link, req) : 0;

		if (err)
			end_request(link, stream, err, NULL, NULL, 0);
	}
	g_array_free(streams, TRUE);
}

static int lost_request_error(const struct snipe_link *link, const struct request *req)
{
	return snipe_session_may_have_left(&link->session, req->first_number)
		       ? SNIPE_ERR_UNKNOWN
		       : SNIPE_ERR_UNAVAILABLE;
}

/* While the peer is slow, a call that may run twice is better tried elsewhere; for another one
 * there is nothing better than to wait for the answer. */
static int slow_request_error(const struct snipe_link *link, const struct request *req)
{
	(void)link;
	return req->is_call && !req->is_idempotent ? 0 : SNIPE_ERR_UNKNOWN;
}

static void cancel_open_calls(struct snipe_link *link)
{
	GList *list = g_hash_table_get_keys(link->open_calls);
	struct snipe_message msg;

	memset(&msg, 0, sizeof(msg));
	msg.type = SNIPE_MSG_CANCEL;
	for (GList *l = list; l; l = l->next) {
		msg.stream = GPOINTER_TO_UINT(l->data);
		link->config->ops->received(link->config->arg, link, &msg, NULL, 0);
	}
	g_list_free(list);
}

static void drop_connection(struct snipe_link *link)
{
	if (!link->conn)
		return;
	snipe_session_connection_lost(&link->session, snipe_conn_left_bytes(link->conn));
	snipe_conn_close(link->conn);
	link->conn = NULL;
}

void snipe_link_end(struct snipe_link *link, const char *cause)
{
	char text[SNIPE_ADDRESS_TEXT_SIZE];
	guint requests = g_hash_table_size(link->requests);

	snipe_log(requests ? SNIPE_LOG_INFO : SNIPE_LOG_DEBUG, "link_closed",
		  "peer=%s address=%s cause=%s requests=%u open_calls=%u", link->node_id,
		  address_text(link, text), cause, requests,
		  g_hash_table_size(link->open_calls));
	link->config->counts.ended += requests > 0;
	drop_connection(link);
	snipe_conn_close(link->next);
	/* First, so that callbacks do not find the link. */
	link->config->ops->ended(link->config->arg, link);
	end_requests(link, lost_request_error);
	cancel_open_calls(link);
	g_hash_table_destroy(link->requests);
	g_hash_table_destroy(link->open_calls);
	g_hash_table_destroy(link->assemblies);
	snipe_session_finish(&link->session);
	g_free(link);
}

/* Hands a message with its whole body to the request or the user that it is for. */
static void deliver(struct snipe_link *link, const struct snipe_message *msg, const char *body,
		    size_t body_len)
{
	gpointer stream = GUINT_TO_POINTER(msg->stream);
	int err = snipe_peer_check_body(msg, body, body_len);

	if (snipe_peer_is_reply(msg->type)) {
		end_request(link, msg->stream, err, msg, body, body_len);
		return;
	}
	if (err < 0) {
		snipe_log(SNIPE_LOG_WARNING, "call_body_mismatch", "peer=%s", link->node_id);
		return;
	}
	if (msg->type == SNIPE_MSG_CALL)
		g_hash_table_add(link->open_calls, stream);
	else if (msg->type == SNIPE_MSG_CANCEL)
		g_hash_table_remove(link->open_calls, stream);
	link->config->ops->received(link->config->arg, link, msg, body, body_len);
}

static void begin_assembly(struct snipe_link *link, const void *payload, size_t len)
{
	struct assembly *a = g_new0(struct assembly, 1);

	a->started_us = snipe_now_us();
	snipe_buffer_init_charged(&a->payload, &link->account);
	snipe_buffer_init_charged(&a->body, &link->account);
	snipe_buffer_append(&a->payload, payload, len);
	if (snipe_message_decode(a->payload.data, len, &a->decoded) < 0) {
		snipe_buffer_finish(&a->payload);
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

/* Takes in a message of the session. */
static int take_in(struct snipe_link *link, const struct snipe_message *msg,
		   const void *payload, size_t len)
{
	const struct snipe_slice *chunk = NULL;

	switch (msg->type) {
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

static int on_received(void *arg, struct snipe_conn *c, const struct snipe_message *msg,
		       const void *payload, size_t len)
{
	struct snipe_link *link = arg;
	struct snipe_message pong;
	int ret;

	/* A late message of a connection that was replaced. */
	if (c != link->conn)
		return SNIPE_ERR_SYNTAX;
	if (msg->type == SNIPE_MSG_PONG) {
		snipe_link_watch_ponged(&link->watch, snipe_now_us());
		return 0;
	}
	snipe_link_watch_heard(&link->watch, snipe_now_us());
	switch (msg->type) {
	case SNIPE_MSG_PING:
		memset(&pong, 0, sizeof(pong));
		pong.type = SNIPE_MSG_PONG;
		snipe_conn_write_message(c, &pong);
		return 0;
	case SNIPE_MSG_ACK:
		return acknowledge(link, msg->u.ack.received);
	default:
		break;
	}
	ret = snipe_session_accept(&link->session, c->next_number++, len);
	return ret > 0 ? take_in(link, msg, payload, len) : ret;
}

static void open_next(struct snipe_link *link, int64_t now_us)
{
	link->next = snipe_conn_connect(link->config->base, &link->config->identity,
					&link->address, &snipe_link_conn_ops, link);
	snipe_conn_set_account(link->next, &link->account);
	snipe_conn_greet(link->next, link->session_id, link->session.received, 1);
	link->next->next_number = link->next->stated + 1;
	snipe_link_watch_tried(&link->watch, now_us);
}

/* The second connection reached the peer, which states where to continue. */
static int switch_connection(struct snipe_link *link, const struct snipe_msg_hello *hello)
{
	char text[SNIPE_ADDRESS_TEXT_SIZE];
	int was_silent = link->conn != NULL;

	if (!hello->session || !hello->is_known ||
	    (link->peer_process && hello->process != link->peer_process))
		return SNIPE_ERR_NOT_FOUND;
	drop_connection(link);
	if (snipe_session_resume(&link->session, hello->received) < 0)
		return SNIPE_ERR_NOT_FOUND;
	link->conn = link->next;
	link->next = NULL;
	link->is_suspected = 0;
	link->config->counts.resumed++;
	snipe_link_watch_restored(&link->watch, snipe_now_us());
	snipe_log(SNIPE_LOG_INFO, "link_resumed",
		  "peer=%s address=%s session=%016llx was_silent=%d unacknowledged=%u "
		  "requests=%u",
		  link->node_id, address_text(link, text), (unsigned long long)link->session_id,
		  was_silent, g_queue_get_length(&link->session.unacked),
		  g_hash_table_size(link->requests));
	if (was_silent)
		link->config->ops->found_silent(link->config->arg, link);
	return 0;
}

static int on_greeted(void *arg, struct snipe_conn *c, const struct snipe_msg_hello *hello)
{
	struct snipe_link *link = arg;

	if (c == link->next) {
		if (switch_connection(link, hello) < 0) {
			/* The peer's process is another one, or has given the session up. */
			link->is_over = 1;
			return 0;
		}
	} else {
		link->session_id = hello->session ? link->session_id : 0;
		snipe_link_watch_heard(&link->watch, snipe_now_us());
	}
	memcpy(link->node_id, hello->node_id, sizeof(link->node_id));
	link->peer_process = hello->process;
	link->has_connected = 1;
	write_messages(link);
	return 0;
}

static void on_closed(void *arg, struct snipe_conn *c, const char *cause, int was_refused)
{
	struct snipe_link *link = arg;
	int64_t now = snipe_now_us();

	if (c == link->next) {
		link->next = NULL;
		if (was_refused)
			snipe_link_end(link, "refused");
		return;
	}
	if (c != link->conn)
		return;
	link->has_connected |= c->is_connected;
	drop_connection(link);
	link->lost_us = now;
	if (!link->session_id || (link->is_outgoing && !link->has_connected))
		snipe_link_end(link, cause);
	else if (link->is_outgoing && !link->next && g_hash_table_size(link->requests) > 0)
		open_next(link, now);
}

static void on_drained(void *arg, struct snipe_conn *c)
{
	struct snipe_link *link = arg;

	if (c == link->conn)
		write_messages(link);
}

const struct snipe_conn_ops snipe_link_conn_ops = {on_greeted, on_received, on_drained,
						   on_closed};

double snipe_link_cost(const struct snipe_link *link, int64_t now_us)
{
	size_t kept = link->session.unacked_bytes + (link->conn ? link->conn->charged : 0);
	double cost =
		kept > USUAL_BYTES ? snipe_memory_cost(kept, link->progress_us, now_us) : 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, link->assemblies);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct assembly *a = value;

		cost += snipe_memory_cost(a->body.size, a->started_us, now_us);
	}
	return cost;
}

/* Opens the first connection, whose messages follow the HELLO at once. */
static void open_first(struct snipe_link *link)
{
	link->conn = snipe_conn_connect(link->config->base, &link->config->identity,
					&link->address, &snipe_link_conn_ops, link);
	snipe_conn_set_account(link->conn, &link->account);
	snipe_conn_greet(link->conn, link->session_id, 0, 0);
}

static struct snipe_link *new_link(struct snipe_link_config *config)
{
	struct snipe_link *link = g_new0(struct snipe_link, 1);

	link->config = config;
	link->used_us = link->progress_us = snipe_now_us();
	snipe_memory_account_init(&link->account, config->account);
	link->requests = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	link->open_calls = g_hash_table_new(NULL, NULL);
	link->assemblies = g_hash_table_new_full(NULL, NULL, NULL, free_assembly);
	snipe_session_init(&link->session);
	link->session.account = &link->account;
	snipe_link_watch_init(&link->watch, link->used_us);
	return link;
}

struct snipe_link *snipe_link_open(struct snipe_link_config *config,
				   const struct snipe_address *to)
{
	struct snipe_link *link = new_link(config);

	link->is_outgoing = 1;
	link->address = *to;
	do
		snipe_random_bytes(&link->session_id, sizeof(link->session_id));
	while (!link->session_id);
	open_first(link);
	return link;
}

struct snipe_link *snipe_link_accept(struct snipe_link_config *config, struct snipe_conn *c,
				     const struct snipe_msg_hello *hello)
{
	struct snipe_link *link;

	if (hello->session && hello->is_known) {
		snipe_conn_greet(c, hello->session, 0, 0);
		return NULL;
	}
	link = new_link(config);
	link->session_id = hello->session;
	link->conn = c;
	link->has_connected = 1;
	link->peer_process = hello->process;
	memcpy(link->node_id, hello->node_id, sizeof(link->node_id));
	c->ops = &snipe_link_conn_ops;
	c->arg = link;
	snipe_conn_set_account(c, &link->account);
	snipe_conn_greet(c, link->session_id, 0, 1);
	return link;
}

int snipe_link_continue(struct snipe_link *link, struct snipe_conn *c,
			const struct snipe_msg_hello *hello)
{
	if (link->is_outgoing || strcmp(link->node_id, hello->node_id) != 0 ||
	    link->peer_process != hello->process)
		return SNIPE_ERR_AUTH;
	drop_connection(link);
	link->lost_us = snipe_now_us();
	if (snipe_session_resume(&link->session, hello->received) < 0)
		return SNIPE_ERR_SYNTAX;
	link->conn = c;
	link->lost_us = 0;
	c->ops = &snipe_link_conn_ops;
	c->arg = link;
	snipe_conn_set_account(c, &link->account);
	snipe_conn_greet(c, link->session_id, link->session.received, 1);
	snipe_session_state_received(&link->session);
	c->next_number = c->stated + 1;
	write_messages(link);
	return 0;
}

void snipe_link_demand_check(struct snipe_link *link, int64_t now_us)
{
	if (link->is_outgoing && link->session_id && link->conn)
		snipe_link_watch_demand_check(&link->watch, now_us);
}

static void suspect(struct snipe_link *link, int64_t now_us)
{
	char text[SNIPE_ADDRESS_TEXT_SIZE];

	if (!link->session_id)
		return;
	/* Nothing has left: the packet that opens the connection was lost. */
	if (!link->has_connected && link->conn && !link->conn->is_connected) {
		drop_connection(link);
		open_first(link);
		write_messages(link);
		snipe_link_watch_tried(&link->watch, now_us);
		return;
	}
	if (!link->is_suspected && link->conn) {
		link->is_suspected = 1;
		link->config->counts.suspected++;
		snipe_log(SNIPE_LOG_INFO, "link_suspected",
			  "peer=%s address=%s silent_ms=%lld round_trip_us=%.0f requests=%u",
			  link->node_id, address_text(link, text),
			  (long long)((now_us - link->watch.heard_us) / 1000),
			  link->watch.round_trip_us, g_hash_table_size(link->requests));
	}
	open_next(link, now_us);
}

static void write_ping(struct snipe_link *link)
{
	struct snipe_message msg;

	memset(&msg, 0, sizeof(msg));
	msg.type = SNIPE_MSG_PING;
	snipe_conn_write_message(link->conn, &msg);
}

/* Replaces a second connection that the peer does not accept, or does not greet on: it may have
 * fallen silent as well. */
static void replace_next(struct snipe_link *link, int64_t now_us)
{
	int is_accepted = link->next->is_connected;

	if (now_us - link->next->opened_us <= (is_accepted ? GREETING_MAX_US : CONNECT_MAX_US))
		return;
	snipe_conn_close(link->next);
	link->next = NULL;
	if (is_accepted) {
		link->accepted_us = now_us;
		open_next(link, now_us);
	}
}

/* Whether the peer's kernel accepts connections on which its process does not greet. */
static int is_peer_slow(const struct snipe_link *link, int64_t now_us)
{
	if (!link->has_connected)
		return link->conn && link->conn->is_connected;
	return link->next &&
	       (link->next->is_connected || now_us - link->accepted_us <= CONNECT_MAX_US);
}

static void tick_outgoing(struct snipe_link *link, int64_t now_us)
{
	struct snipe_link_state state;

	if (link->next)
		replace_next(link, now_us);
	state.is_awaiting = g_hash_table_size(link->requests) > 0;
	state.has_connection = link->conn != NULL;
	state.has_accepted_try = is_peer_slow(link, now_us);
	state.is_trying = link->next != NULL || state.has_accepted_try;
	if (!state.is_awaiting && now_us - link->used_us > IDLE_US) {
		snipe_link_end(link, "idle");
		return;
	}
	/* Without requests nothing is lost with the session. */
	if (!state.is_awaiting && !link->conn) {
		snipe_link_end(link, "connection_lost");
		return;
	}
	switch (snipe_link_watch_check(&link->watch, now_us, &state)) {
	case SNIPE_LINK_PING:
		write_ping(link);
		break;
	case SNIPE_LINK_RECONNECT:
		suspect(link, now_us);
		break;
	case SNIPE_LINK_SLOW:
		end_requests(link, slow_request_error);
		break;
	case SNIPE_LINK_LOST:
		snipe_link_end(link, "silent");
		break;
	default:
		break;
	}
}

void snipe_link_tick(struct snipe_link *link, int64_t now_us)
{
	if (link->is_full || link->is_over) {
		snipe_link_end(link, link->is_full ? "not_acknowledged" : "session_gone");
		return;
	}
	state_received(link, now_us, STATE_AFTER_US);
	if (link->is_outgoing)
		tick_outgoing(link, now_us);
	else if (link->lost_us && now_us - link->lost_us > LINGER_US)
		snipe_link_end(link, "connection_lost");
}
