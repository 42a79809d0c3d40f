#include "node/peer_task.h"

#include <errno.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "node/peer_message.h"

/* Interval of the checks of all links: short compared to the times of core/link_watch. */
#define TICK_US 50000
/* An accepted connection without HELLO is closed after this time. */
#define GREETING_MAX_US 10000000
/* Most connections without HELLO; beyond it the oldest one is closed. Nodes of a whole fleet
 * may connect at once, and greet at once. */
#define UNGREETED_MAX 256
/* All links are checked after a silent one was found, at most once in this time. */
#define CHECK_INTERVAL_US 250000
/* Handle of the node itself as the origin of a message. */
#define LOCAL_LINK UINT64_MAX

/* An open request. */
struct peer_request {
	struct snipe_peer_task *task;
	uint64_t id;
	uint64_t link; /* handle; LOCAL_LINK for the node itself */
	uint32_t stream;
	int is_call;
	struct event *timeout;
	snipe_peer_reply_cb cb;
	void *arg;
};

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

static void dispatch(struct snipe_peer_task *t, const struct snipe_peer_origin *from,
		     const struct snipe_message *msg, const char *body, size_t body_len)
{
	if (t->handlers[msg->type].fn)
		t->handlers[msg->type].fn(t->handlers[msg->type].arg, from, msg, body,
					  body_len);
}

static struct snipe_link *find_link(const struct snipe_peer_task *t, uint64_t handle)
{
	guint index = (guint)(handle & 0xffffffffu);
	struct snipe_link *link;

	if (handle == LOCAL_LINK || index >= t->links->len)
		return NULL;
	link = g_ptr_array_index(t->links, index);
	return link && link->handle == handle ? link : NULL;
}

/* Takes a request out of all tables but that of its link. */
static void forget_request(struct snipe_peer_task *t, struct peer_request *req)
{
	if (req->link == LOCAL_LINK)
		g_hash_table_remove(t->local_requests, GUINT_TO_POINTER(req->stream));
	g_hash_table_remove(t->requests, GSIZE_TO_POINTER(req->id));
	event_free(req->timeout);
}

static void end_request(struct snipe_peer_task *t, struct peer_request *req, int err,
			const struct snipe_message *reply, const char *body, size_t body_len)
{
	forget_request(t, req);
	req->cb(req->arg, err, reply, body, body_len);
	g_free(req);
}

static void on_link_received(void *arg, struct snipe_link *link,
			     const struct snipe_message *msg, const char *body, size_t body_len)
{
	struct snipe_peer_origin from;

	from.link = link->handle;
	from.stream = msg->stream;
	memcpy(from.node_id, link->node_id, sizeof(from.node_id));
	dispatch(arg, &from, msg, body, body_len);
}

static void on_link_request_ended(void *arg, uint64_t request, int err,
				  const struct snipe_message *reply, const char *body,
				  size_t body_len)
{
	struct snipe_peer_task *t = arg;
	struct peer_request *req = g_hash_table_lookup(t->requests, GSIZE_TO_POINTER(request));

	if (req)
		end_request(t, req, err, reply, body, body_len);
}

/* What silenced one connection may have silenced the others. */
static void on_link_found_silent(void *arg, struct snipe_link *found)
{
	struct snipe_peer_task *t = arg;
	int64_t now = snipe_now_us();

	if (now - t->checked_us < CHECK_INTERVAL_US)
		return;
	t->checked_us = now;
	for (guint i = 0; i < t->links->len; i++) {
		struct snipe_link *link = g_ptr_array_index(t->links, i);

		if (link && link != found)
			snipe_link_demand_check(link, now);
	}
}

static void on_link_ended(void *arg, struct snipe_link *link)
{
	struct snipe_peer_task *t = arg;
	char text[SNIPE_ADDRESS_TEXT_SIZE];

	t->links->pdata[link->handle & 0xffffffffu] = NULL;
	snipe_address_format(&link->address, text);
	if (link->is_outgoing && g_hash_table_lookup(t->by_address, text) == link)
		g_hash_table_remove(t->by_address, text);
	if (!link->is_outgoing && link->session_id)
		g_hash_table_remove(t->by_session, &link->session_id);
}

static const struct snipe_link_ops link_ops = {on_link_received, on_link_request_ended,
					       on_link_found_silent, on_link_ended};

static void add_link(struct snipe_peer_task *t, struct snipe_link *link)
{
	guint index = 0;

	while (index < t->links->len && g_ptr_array_index(t->links, index))
		index++;
	if (index == t->links->len)
		g_ptr_array_add(t->links, NULL);
	t->links->pdata[index] = link;
	link->handle = (uint64_t)++t->next_generation << 32 | index;
}

/* Tells the peer that nobody waits for a call any more. */
static void cancel_at_peer(const struct peer_request *req)
{
	struct snipe_link *link = find_link(req->task, req->link);
	struct snipe_message msg;

	if (link) {
		snipe_link_forget(link, req->stream, 1);
	} else if (req->link == LOCAL_LINK && req->is_call) {
		memset(&msg, 0, sizeof(msg));
		msg.type = SNIPE_MSG_CANCEL;
		snipe_peer_local_post(&req->task->local, req->stream, &msg, NULL, 0);
	}
}

static void on_timeout(evutil_socket_t fd, short what, void *arg)
{
	struct peer_request *req = arg;

	(void)fd;
	(void)what;
	cancel_at_peer(req);
	end_request(req->task, req, SNIPE_ERR_UNKNOWN, NULL, NULL, 0);
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
	if (link && link->next_stream < SNIPE_LINK_STREAM_MAX)
		return link;
	link = snipe_link_open(&t->links_config, to);
	add_link(t, link);
	g_hash_table_replace(t->by_address, g_strdup(text), link);
	return link;
}

uint64_t snipe_peer_request(struct snipe_peer_task *t, const struct snipe_address *to,
			    const struct snipe_message *msg, const char *body, size_t body_len,
			    int64_t timeout_us, snipe_peer_reply_cb cb, void *arg)
{
	struct peer_request *req = g_new0(struct peer_request, 1);
	struct timeval tv = snipe_timeval(timeout_us);
	struct snipe_message copy = *msg;
	struct snipe_link *link;

	req->task = t;
	req->id = ++t->next_request;
	req->is_call = msg->type == SNIPE_MSG_CALL;
	req->cb = cb;
	req->arg = arg;
	req->timeout = evtimer_new(t->links_config.base, on_timeout, req);
	evtimer_add(req->timeout, &tv);
	g_hash_table_insert(t->requests, GSIZE_TO_POINTER(req->id), req);
	if (snipe_address_equal(to, &t->links_config.identity.address)) {
		req->link = LOCAL_LINK;
		req->stream = ++t->local_stream;
		g_hash_table_insert(t->local_requests, GUINT_TO_POINTER(req->stream), req);
		snipe_peer_local_post(&t->local, req->stream, &copy, body, body_len);
	} else {
		link = outgoing_link(t, to);
		req->link = link->handle;
		req->stream = snipe_link_request(link, req->id, &copy, body, body_len);
	}
	return req->id;
}

void snipe_peer_cancel(struct snipe_peer_task *t, uint64_t request)
{
	struct peer_request *req = g_hash_table_lookup(t->requests, GSIZE_TO_POINTER(request));

	if (!req)
		return;
	cancel_at_peer(req);
	forget_request(t, req);
	g_free(req);
}

void snipe_peer_send(struct snipe_peer_task *t, const struct snipe_address *to,
		     const struct snipe_message *msg)
{
	struct snipe_message copy = *msg;
	struct snipe_link *link;

	if (snipe_address_equal(to, &t->links_config.identity.address)) {
		snipe_peer_local_post(&t->local, 0, &copy, NULL, 0);
		return;
	}
	link = outgoing_link(t, to);
	link->used_us = snipe_now_us();
	copy.stream = 0;
	snipe_link_send(link, &copy, NULL, 0);
}

void snipe_peer_reply(struct snipe_peer_task *t, const struct snipe_peer_origin *to,
		      const struct snipe_message *msg, const char *body, size_t body_len)
{
	struct snipe_link *link = find_link(t, to->link);
	struct snipe_message copy = *msg;

	if (to->link == LOCAL_LINK) {
		snipe_peer_local_post(&t->local, to->stream, &copy, body, body_len);
	} else if (link) {
		copy.stream = to->stream;
		snipe_link_send(link, &copy, body, body_len);
	}
}

void snipe_peer_on(struct snipe_peer_task *t, enum snipe_message_type type,
		   snipe_peer_handler fn, void *arg)
{
	t->handlers[type].fn = fn;
	t->handlers[type].arg = arg;
}

static void on_local_received(void *arg, const struct snipe_message *msg, const char *body,
			      size_t body_len)
{
	struct snipe_peer_task *t = arg;
	struct snipe_peer_origin from = {.link = LOCAL_LINK, .stream = msg->stream};
	struct peer_request *req;

	memcpy(from.node_id, t->links_config.identity.node_id, sizeof(from.node_id));
	if (!snipe_peer_is_reply(msg->type)) {
		dispatch(t, &from, msg, body, body_len);
		return;
	}
	req = g_hash_table_lookup(t->local_requests, GUINT_TO_POINTER(from.stream));
	if (req)
		end_request(t, req, 0, msg, body, body_len);
}

static const struct snipe_peer_local_ops local_ops = {on_local_received};

/* The first message of an accepted connection: it opens a link or continues one. */
static int on_accepted_greeted(void *arg, struct snipe_conn *c,
			       const struct snipe_msg_hello *hello)
{
	struct snipe_peer_task *t = arg;
	struct snipe_link *link = g_hash_table_lookup(t->by_session, &hello->session);
	int ret = 0;

	if (link && !hello->is_known)
		return SNIPE_ERR_SYNTAX;
	if (link)
		ret = snipe_link_continue(link, c, hello);
	else if ((link = snipe_link_accept(&t->links_config, c, hello)) != NULL) {
		add_link(t, link);
		if (link->session_id)
			g_hash_table_insert(t->by_session, &link->session_id, link);
	}
	if (link && ret == 0)
		g_ptr_array_remove(t->accepted, c);
	return ret;
}

static int on_accepted_received(void *arg, struct snipe_conn *c,
				const struct snipe_message *msg, const void *payload,
				size_t len)
{
	(void)arg;
	(void)c;
	(void)msg;
	(void)payload;
	(void)len;
	/* The peer was told that its session is gone. */
	return SNIPE_ERR_SYNTAX;
}

static void on_accepted_closed(void *arg, struct snipe_conn *c, const char *cause,
			       int was_refused)
{
	struct snipe_peer_task *t = arg;

	(void)cause;
	(void)was_refused;
	g_ptr_array_remove(t->accepted, c);
}

static const struct snipe_conn_ops accepted_ops = {on_accepted_greeted, on_accepted_received,
						   NULL, on_accepted_closed};

static void on_accept(struct evconnlistener *l, evutil_socket_t fd, struct sockaddr *sa,
		      int len, void *arg)
{
	struct snipe_peer_task *t = arg;
	struct snipe_conn *c = snipe_conn_accept(
		t->links_config.base, &t->links_config.identity, fd, &accepted_ops, t);

	(void)l;
	(void)sa;
	(void)len;
	snipe_conn_set_account(c, t->links_config.account);
	g_ptr_array_add(t->accepted, c);
	if (t->accepted->len > UNGREETED_MAX)
		snipe_conn_close(g_ptr_array_steal_index(t->accepted, 0));
}

/* The listener stays readable after a failure, such as for lack of descriptors, and is tried
 * again at the next tick. */
static void on_accept_error(struct evconnlistener *l, void *arg)
{
	static struct snipe_log_limit limit;
	struct snipe_peer_task *t = arg;
	int err = EVUTIL_SOCKET_ERROR();
	unsigned suppressed;

	t->is_accept_paused = 1;
	evconnlistener_disable(l);
	if (snipe_log_allow(&limit, snipe_now_us(), 1, &suppressed))
		snipe_log(SNIPE_LOG_WARNING, "peer_accept_failed", "err=\"%s\" suppressed=%u",
			  g_strerror(err), suppressed);
}

static void close_ungreeted(struct snipe_peer_task *t, int64_t now_us)
{
	for (guint i = t->accepted->len; i-- > 0;) {
		struct snipe_conn *c = g_ptr_array_index(t->accepted, i);

		if (now_us - c->opened_us > GREETING_MAX_US) {
			snipe_conn_close(c);
			g_ptr_array_remove_index(t->accepted, i);
		}
	}
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
	close_ungreeted(t, now);
	if (t->is_accept_paused)
		evconnlistener_enable(t->listener);
	t->is_accept_paused = 0;
}

static double find_worst_link(void *arg, int64_t now_us)
{
	struct snipe_peer_task *t = arg;
	double most = 0;

	for (guint i = 0; i < t->links->len; i++) {
		struct snipe_link *link = g_ptr_array_index(t->links, i);
		double cost = link ? snipe_link_cost(link, now_us) : 0;

		if (cost > most) {
			most = cost;
			t->worst = link;
		}
	}
	return most;
}

static void give_up_worst_link(void *arg)
{
	struct snipe_peer_task *t = arg;

	snipe_link_end(t->worst, "no_memory");
}

static const struct snipe_memory_holder_ops holder_ops = {find_worst_link, give_up_worst_link};

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
			t->links_config.base, on_accept, t,
			LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
			(struct sockaddr *)&ss, size);
	if (!t->listener)
		return snipe_error_set(
			err, SNIPE_ERR_IO,
			"cannot listen on %s for peers: %s; choose a free port in "
			"[listen] peers, or stop the process that uses it",
			text, g_strerror(errno));
	evconnlistener_set_error_cb(t->listener, on_accept_error);
	getsockname(evconnlistener_get_fd(t->listener), (struct sockaddr *)&ss, &len);
	snipe_address_from_sockaddr((struct sockaddr *)&ss, &t->links_config.identity.address);
	return 0;
}

int snipe_peer_task_init(struct snipe_peer_task *t, const struct snipe_peer_config *config,
			 struct snipe_error_text *err)
{
	struct timeval tick = {0, TICK_US};
	int rc;

	memset(t, 0, sizeof(*t));
	t->links_config.base = config->base;
	t->links_config.ops = &link_ops;
	t->links_config.arg = t;
	t->links_config.identity.process = config->process;
	t->links_config.identity.secret = config->secret;
	g_strlcpy(t->links_config.identity.node_id, config->node_id,
		  sizeof(t->links_config.identity.node_id));
	rc = open_listener(t, &config->listen, err);
	if (rc < 0)
		return rc;
	snipe_buffer_init(&t->links_config.scratch);
	t->links = g_ptr_array_new();
	t->accepted = g_ptr_array_new();
	t->by_address = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	t->by_session = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->requests = g_hash_table_new(NULL, NULL);
	t->local_requests = g_hash_table_new(NULL, NULL);
	if (config->memory) {
		t->links_config.account = &config->memory->account;
		snipe_memory_limit_add(config->memory, &t->holder, &holder_ops, t);
	}
	snipe_peer_local_init(&t->local, config->base, t->links_config.account, &local_ops, t);
	t->tick = event_new(config->base, -1, EV_PERSIST, on_tick, t);
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
	for (guint i = 0; i < t->links->len; i++)
		if (g_ptr_array_index(t->links, i))
			snipe_link_end(g_ptr_array_index(t->links, i), "shutdown");
	for (guint i = 0; i < t->accepted->len; i++)
		snipe_conn_close(g_ptr_array_index(t->accepted, i));
	evconnlistener_free(t->listener);
	event_free(t->tick);
	snipe_peer_local_finish(&t->local);
	snipe_buffer_finish(&t->links_config.scratch);
	g_ptr_array_free(t->links, TRUE);
	g_ptr_array_free(t->accepted, TRUE);
	g_hash_table_destroy(t->by_address);
	g_hash_table_destroy(t->by_session);
	g_hash_table_destroy(t->requests);
	g_hash_table_destroy(t->local_requests);
}

const struct snipe_link_counts *snipe_peer_link_counts(const struct snipe_peer_task *t)
{
	return &t->links_config.counts;
}

const struct snipe_address *snipe_peer_address(const struct snipe_peer_task *t)
{
	return &t->links_config.identity.address;
}
