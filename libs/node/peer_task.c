#include "node/peer_task.h"

#include <errno.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <string.h>

#include "base/clock.h"
#include "node/peer_internal.h"

#define TICK_US 50000

guint snipe_peer_origin_hash(gconstpointer key)
{
	const struct snipe_peer_origin *o = key;

	return (guint)o->link * 31u + o->stream;
}

gboolean snipe_peer_origin_equal(gconstpointer a, gconstpointer b)
{
	const struct snipe_peer_origin *x = a, *y = b;

	return x->link == y->link && x->stream == y->stream;
}

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

void snipe_peer_dispatch(struct snipe_peer_task *t, const struct snipe_peer_origin *from,
			 const struct snipe_message *msg, const char *body, size_t body_len)
{
	if (t->handlers[msg->type].fn)
		t->handlers[msg->type].fn(t->handlers[msg->type].arg, from, msg, body,
					  body_len);
}

static struct snipe_link *find_link(struct snipe_peer_task *t, uint64_t handle)
{
	guint index = (guint)(handle & 0xffffffffu);
	struct snipe_link *link;

	if (handle == SNIPE_LINK_LOCAL || index >= t->links->len)
		return NULL;
	link = g_ptr_array_index(t->links, index);
	return link && link->handle == handle ? link : NULL;
}

/* Takes a request out of all tables. */
static void forget_request(struct snipe_peer_task *t, struct snipe_peer_request_state *req)
{
	struct snipe_link *link = find_link(t, req->link);

	if (link)
		g_hash_table_remove(link->requests, GUINT_TO_POINTER(req->stream));
	else if (req->link == SNIPE_LINK_LOCAL)
		g_hash_table_remove(t->local_requests, GUINT_TO_POINTER(req->stream));
	g_hash_table_remove(t->requests, GSIZE_TO_POINTER(req->id));
	event_free(req->timeout);
}

void snipe_peer_end_request(struct snipe_peer_task *t, struct snipe_peer_request_state *req,
			    int err, const struct snipe_message *reply, const char *body,
			    size_t body_len)
{
	forget_request(t, req);
	req->cb(req->arg, err, reply, body, body_len);
	g_free(req);
}

/* Tells the peer that nobody waits for a call any more. */
static void send_cancel(struct snipe_peer_task *t, const struct snipe_peer_request_state *req)
{
	struct snipe_link *link = find_link(t, req->link);
	struct snipe_message msg;

	memset(&msg, 0, sizeof(msg));
	msg.type = SNIPE_MSG_CANCEL;
	msg.stream = req->stream;
	if (link)
		snipe_link_write(link, &msg, NULL, 0);
	else if (req->link == SNIPE_LINK_LOCAL)
		snipe_peer_local_post(t, req->stream, &msg, NULL, 0);
}

static void on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_peer_request_state *req = arg;

	(void)fd;
	(void)what;
	if (req->is_call)
		send_cancel(req->task, req);
	snipe_peer_end_request(req->task, req, SNIPE_ERR_UNKNOWN, NULL, NULL, 0);
}

/* Returns the outgoing link to an address, opened if there is none. */
static struct snipe_link *outgoing_link(struct snipe_peer_task *t,
					const struct snipe_address *to)
{
	char text[SNIPE_ADDRESS_TEXT_SIZE];
	struct snipe_link *link;

	snipe_address_format(to, text);
	link = g_hash_table_lookup(t->by_address, text);
	/* Streams are never used twice on a link, so that a late reply cannot meet another
	 * call. */
	if (link && link->next_stream >= SNIPE_LINK_STREAM_MAX) {
		g_hash_table_remove(t->by_address, text);
		link = NULL;
	}
	return link ? link : snipe_link_connect(t, to);
}

static void send_request(struct snipe_peer_task *t, const struct snipe_address *to,
			 struct snipe_peer_request_state *req, struct snipe_message *msg,
			 const char *body, size_t body_len)
{
	struct snipe_link *link;

	if (snipe_address_equal(to, &t->self)) {
		req->link = SNIPE_LINK_LOCAL;
		req->stream = ++t->local_stream;
		g_hash_table_insert(t->local_requests, GUINT_TO_POINTER(req->stream), req);
		snipe_peer_local_post(t, req->stream, msg, body, body_len);
		return;
	}
	link = outgoing_link(t, to);
	link->used_us = snipe_now_us();
	if (g_hash_table_size(link->requests) == 0)
		link->heard_us = link->used_us;
	req->link = link->handle;
	req->stream = ++link->next_stream;
	req->start_offset = link->queued_bytes;
	g_hash_table_insert(link->requests, GUINT_TO_POINTER(req->stream), req);
	msg->stream = req->stream;
	snipe_link_write(link, msg, body, body_len);
}

uint64_t snipe_peer_request(struct snipe_peer_task *t, const struct snipe_address *to,
			    const struct snipe_message *msg, const char *body, size_t body_len,
			    int64_t timeout_us, snipe_peer_reply_cb cb, void *arg)
{
	struct snipe_peer_request_state *req = g_new0(struct snipe_peer_request_state, 1);
	struct timeval tv = snipe_timeval(timeout_us);
	struct snipe_message copy = *msg;

	req->task = t;
	req->id = ++t->next_request;
	req->is_call = msg->type == SNIPE_MSG_CALL;
	req->cb = cb;
	req->arg = arg;
	req->timeout = evtimer_new(t->base, on_timeout, req);
	evtimer_add(req->timeout, &tv);
	g_hash_table_insert(t->requests, GSIZE_TO_POINTER(req->id), req);
	send_request(t, to, req, &copy, body, body_len);
	return req->id;
}

void snipe_peer_cancel(struct snipe_peer_task *t, uint64_t request)
{
	struct snipe_peer_request_state *req =
		g_hash_table_lookup(t->requests, GSIZE_TO_POINTER(request));

	if (!req)
		return;
	if (req->is_call)
		send_cancel(t, req);
	forget_request(t, req);
	g_free(req);
}

void snipe_peer_send(struct snipe_peer_task *t, const struct snipe_address *to,
		     const struct snipe_message *msg)
{
	struct snipe_message copy = *msg;
	struct snipe_link *link;

	if (snipe_address_equal(to, &t->self)) {
		snipe_peer_local_post(t, 0, &copy, NULL, 0);
		return;
	}
	link = outgoing_link(t, to);
	link->used_us = snipe_now_us();
	copy.stream = 0;
	snipe_link_write(link, &copy, NULL, 0);
}

void snipe_peer_reply(struct snipe_peer_task *t, const struct snipe_peer_origin *to,
		      const struct snipe_message *msg, const char *body, size_t body_len)
{
	struct snipe_link *link = find_link(t, to->link);
	struct snipe_message copy = *msg;

	if (to->link == SNIPE_LINK_LOCAL) {
		snipe_peer_local_post(t, to->stream, &copy, body, body_len);
		return;
	}
	if (!link)
		return;
	g_hash_table_remove(link->open_calls, GUINT_TO_POINTER(to->stream));
	copy.stream = to->stream;
	snipe_link_write(link, &copy, body, body_len);
}

void snipe_peer_on(struct snipe_peer_task *t, enum snipe_message_type type,
		   snipe_peer_handler fn, void *arg)
{
	t->handlers[type].fn = fn;
	t->handlers[type].arg = arg;
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
		      int len, void *arg)
{
	(void)l;
	(void)sa;
	(void)len;
	snipe_link_accept(arg, fd);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_peer_task *t = arg;
	int64_t now = snipe_now_us();

	(void)fd;
	(void)what;
	for (guint i = 0; i < t->links->len; i++) {
		struct snipe_link *link = g_ptr_array_index(t->links, i);

		if (link)
			snipe_link_tick(link, now);
	}
}

static int open_listener(struct snipe_peer_task *t, const struct snipe_address *listen,
			 struct snipe_error_text *err)
{
	char text[SNIPE_ADDRESS_TEXT_SIZE];
	struct sockaddr_storage ss;
	socklen_t len = sizeof(ss);
	int size = snipe_address_to_sockaddr(listen, &ss);

	snipe_address_format(listen, text);
	if (size > 0)
		t->listener = evconnlistener_new_bind(
			t->base, on_accept, t,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
			(struct sockaddr *)&ss, size);
	if (!t->listener)
		return snipe_error_set(
			err, SNIPE_ERR_IO,
			"cannot listen on %s for peers: %s; choose a free port in "
			"[listen] peers, or stop the process that uses it",
			text, g_strerror(errno));
	getsockname(evconnlistener_get_fd(t->listener), (struct sockaddr *)&ss, &len);
	snipe_address_from_sockaddr((struct sockaddr *)&ss, &t->self);
	return 0;
}

int snipe_peer_task_init(struct snipe_peer_task *t, const struct snipe_peer_config *config,
			 struct snipe_error_text *err)
{
	struct timeval tick = {0, TICK_US};
	int rc;

	memset(t, 0, sizeof(*t));
	t->base = config->base;
	t->process = config->process;
	t->secret = config->secret;
	g_strlcpy(t->node_id, config->node_id, sizeof(t->node_id));
	rc = open_listener(t, &config->listen, err);
	if (rc < 0)
		return rc;
	t->links = g_ptr_array_new();
	t->by_address = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	t->requests = g_hash_table_new(NULL, NULL);
	snipe_buffer_init(&t->scratch);
	snipe_peer_local_init(t);
	t->tick = event_new(t->base, -1, EV_PERSIST, on_tick, t);
	event_add(t->tick, &tick);
	return 0;
}

static void drop_requests(struct snipe_peer_task *t)
{
	GList *list = g_hash_table_get_values(t->requests);

	for (GList *l = list; l; l = l->next) {
		forget_request(t, l->data);
		g_free(l->data);
	}
	g_list_free(list);
}

void snipe_peer_task_finish(struct snipe_peer_task *t)
{
	memset(t->handlers, 0, sizeof(t->handlers));
	drop_requests(t);
	for (guint i = 0; i < t->links->len; i++) {
		if (g_ptr_array_index(t->links, i))
			snipe_link_close(g_ptr_array_index(t->links, i), "shutdown");
	}
	evconnlistener_free(t->listener);
	event_free(t->tick);
	snipe_peer_local_finish(t);
	snipe_buffer_finish(&t->scratch);
	g_ptr_array_free(t->links, TRUE);
	g_hash_table_destroy(t->by_address);
	g_hash_table_destroy(t->requests);
}

const struct snipe_address *snipe_peer_address(const struct snipe_peer_task *t)
{
	return &t->self;
}
