#include "platform/store_client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/event_struct.h>
#include <glib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* An answer is overdue when it comes so much later than the store may wait with it: a store
 * that is slow by a factor of a hundred answers sooner, and what is read on a new connection
 * still comes within the two seconds in which changes have to be in force. */
#define OVERDUE_MS 500

/* One request of a call on one connection. */
struct attempt {
	struct snipe_store_call *call;
	struct snipe_h1_call *http; /* NULL: not sent, or ended */
};

struct snipe_store_call {
	struct snipe_store_call *next;
	struct snipe_store_client *client;
	struct snipe_store_request request;
	char *kind, *name;
	int handle;
	int timeout_ms;
	struct attempt first, again; /* again: sent because the answer to first is overdue */
	char *text;		     /* of the request that is open; NULL for a write */
	size_t text_len;
	uint64_t era; /* of the first response; 0: none yet */
	struct event overdue, deadline;
	void *state;
	snipe_object_cb cb;
	snipe_object_list_cb list_cb;
	void *arg;
};

static void unlink_call(struct snipe_store_call *call)
{
	struct snipe_store_call **at = &call->client->calls;

	while (*at != call)
		at = &(*at)->next;
	*at = call->next;
}

static void cancel_attempt(struct attempt *a)
{
	if (a->http)
		snipe_h1_call_cancel(a->http);
	a->http = NULL;
}

static void free_call(struct snipe_store_call *call)
{
	cancel_attempt(&call->first);
	cancel_attempt(&call->again);
	event_del(&call->overdue);
	event_del(&call->deadline);
	g_free(call->text);
	if (call->state)
		call->client->dialect->free_state(call->state);
	g_free(call->kind);
	g_free(call->name);
	g_free(call);
}

static void end_call(struct snipe_store_call *call, int err, const struct snipe_object *object)
{
	unlink_call(call);
	if (call->request.op == SNIPE_STORE_LIST)
		call->list_cb(call->arg, err, NULL, 0);
	else
		call->cb(call->arg, err, object);
	free_call(call);
}

const struct snipe_store_request *snipe_store_call_request(const struct snipe_store_call *call)
{
	return &call->request;
}

void *snipe_store_call_state(const struct snipe_store_call *call)
{
	return call->state;
}

void snipe_store_call_set_state(struct snipe_store_call *call, void *state)
{
	call->state = state;
}

int snipe_store_call_lost_error(const struct snipe_store_call *call)
{
	return call->request.op == SNIPE_STORE_PUT ? SNIPE_ERR_UNKNOWN : SNIPE_ERR_UNAVAILABLE;
}

void snipe_store_call_fail(struct snipe_store_call *call, int err)
{
	static const struct snipe_object none;

	end_call(call, err, &none);
}

void snipe_store_call_give(struct snipe_store_call *call, const struct snipe_object *object)
{
	end_call(call, 0, object);
}

void snipe_store_call_unchanged(struct snipe_store_call *call)
{
	struct snipe_object object = {call->request.version, NULL, 0};

	end_call(call, SNIPE_ERR_STALE, &object);
}

void snipe_store_call_give_list(struct snipe_store_call *call,
				const struct snipe_object_entry *entries, int count)
{
	unlink_call(call);
	call->list_cb(call->arg, 0, entries, count);
	free_call(call);
}

static int result_error(const struct snipe_store_call *call, enum snipe_h1_result result)
{
	if (result == SNIPE_H1_NOT_CONNECTED || result == SNIPE_H1_NO_SOCKET)
		return SNIPE_ERR_UNAVAILABLE;
	if (result == SNIPE_H1_TOO_LARGE && call->request.op != SNIPE_STORE_PUT)
		return SNIPE_ERR_TOO_LARGE;
	return snipe_store_call_lost_error(call);
}

static uint64_t response_era(const struct snipe_store_client *c,
			     const struct snipe_h1_message *response)
{
	return c->dialect->read_era ? c->dialect->read_era(response) : 0;
}

static void tell_listeners(struct snipe_store_client *c)
{
	struct snipe_era_listener *l = LIST_FIRST(&c->listeners), *next;

	for (; l; l = next) {
		next = LIST_NEXT(l, link);
		l->era_changed(l, c->era);
	}
}

static void log_stale(struct snipe_store_client *c, const struct snipe_store_call *call,
		      uint64_t era)
{
	unsigned suppressed;

	if (snipe_log_allow(&c->stale_lines, snipe_now_us(), SNIPE_LOG_LINES_PER_S,
			    &suppressed))
		snipe_log(SNIPE_LOG_WARNING, "store_answer_of_earlier_era",
			  "kind=%s name=%s era=%llu newest_era=%llu suppressed=%u", call->kind,
			  call->name ? call->name : "", (unsigned long long)era,
			  (unsigned long long)c->era, suppressed);
}

/* Takes note of the era of a response. Returns whether the response is of the newest one. */
static int update_era(struct snipe_store_client *c, const struct snipe_store_call *call,
		      uint64_t era)
{
	uint64_t previous = c->era;

	if (!era || era == previous)
		return 1;
	if (era < previous) {
		log_stale(c, call, era);
		return 0;
	}
	c->era = era;
	if (previous) {
		snipe_log(SNIPE_LOG_WARNING, "store_era_changed", "previous_era=%llu era=%llu",
			  (unsigned long long)previous, (unsigned long long)era);
		tell_listeners(c);
	}
	return 1;
}

/* Whether the response continues the call; its earlier pages may be of an earlier era. */
static int is_of_call(struct snipe_store_call *call)
{
	if (!call->era)
		call->era = call->client->era;
	return call->era == call->client->era;
}

static void on_done(void *arg, enum snipe_h1_result result,
		    const struct snipe_h1_message *response)
{
	struct attempt *a = arg;
	struct snipe_store_call *call = a->call;
	struct attempt *other = a == &call->first ? &call->again : &call->first;
	struct snipe_store_client *c = call->client;

	a->http = NULL;
	if (result == SNIPE_H1_COMPLETE && !update_era(c, call, response_era(c, response)))
		result = SNIPE_H1_LOST;
	if (result == SNIPE_H1_COMPLETE) {
		cancel_attempt(other);
		event_del(&call->overdue);
		if (is_of_call(call))
			c->dialect->take_response(c, call, response);
		else
			snipe_store_call_fail(call, snipe_store_call_lost_error(call));
	} else if (!other->http) {
		snipe_store_call_fail(call, result_error(call, result));
	}
}

static const struct snipe_h1_call_ops http_ops = {NULL, on_done};

static void on_deadline(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_store_call *call = arg;

	(void)fd;
	(void)what;
	snipe_store_call_fail(call, snipe_store_call_lost_error(call));
}

static void start_attempt(struct attempt *a, struct evbuffer *request)
{
	a->http = snipe_h1_call_start(&a->call->client->pool, request, 0, &http_ops, a);
}

/* The connection may have stopped carrying data, and so may all that were opened before: a read
 * is sent once more on a new one. A write is not, since its first sending may take effect. */
static void on_overdue(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_store_call *call = arg;
	struct snipe_store_client *c = call->client;
	struct evbuffer *request;
	unsigned suppressed;

	(void)fd;
	(void)what;
	if (snipe_log_allow(&c->overdue_lines, snipe_now_us(), SNIPE_LOG_LINES_PER_S,
			    &suppressed))
		snipe_log(SNIPE_LOG_WARNING, "store_call_overdue",
			  "kind=%s name=%s wait_ms=%d connections=%d sent_again=%d "
			  "suppressed=%u",
			  call->kind, call->name ? call->name : "", call->request.wait_ms,
			  c->pool.connection_count, call->text != NULL, suppressed);
	snipe_h1_pool_retire_connections(&c->pool);
	if (!call->text)
		return;
	request = evbuffer_new();
	evbuffer_add(request, call->text, call->text_len);
	start_attempt(&call->again, request);
	evbuffer_free(request);
}

/* Keeps what a read sends, in case that it has to be sent again. */
static void keep_text(struct snipe_store_call *call, struct evbuffer *request)
{
	if (call->request.op == SNIPE_STORE_PUT)
		return;
	g_free(call->text);
	call->text_len = evbuffer_get_length(request);
	call->text = g_malloc(call->text_len);
	evbuffer_copyout(request, call->text, call->text_len);
}

void snipe_store_call_continue(struct snipe_store_call *call, struct evbuffer *request)
{
	int overdue_ms = call->request.wait_ms + OVERDUE_MS;
	struct timeval deadline = snipe_timeval((int64_t)call->timeout_ms * 1000);
	struct timeval overdue = snipe_timeval((int64_t)overdue_ms * 1000);

	keep_text(call, request);
	start_attempt(&call->first, request);
	event_add(&call->deadline, &deadline);
	if (overdue_ms < call->timeout_ms)
		event_add(&call->overdue, &overdue);
}

static struct snipe_store_call *new_call(struct snipe_object_store *store,
					 const struct snipe_store_request *request,
					 int timeout_ms, void *arg)
{
	struct snipe_store_client *c = (struct snipe_store_client *)store;
	struct snipe_store_call *call = g_new0(struct snipe_store_call, 1);

	call->client = c;
	call->request = *request;
	call->request.kind = call->kind = g_strdup(request->kind);
	call->request.name = call->name = g_strdup(request->name);
	call->timeout_ms = timeout_ms;
	call->arg = arg;
	c->next_handle = c->next_handle == G_MAXINT ? 1 : c->next_handle + 1;
	call->handle = c->next_handle;
	call->first.call = call->again.call = call;
	event_assign(&call->overdue, c->base, -1, 0, on_overdue, call);
	event_assign(&call->deadline, c->base, -1, 0, on_deadline, call);
	call->next = c->calls;
	c->calls = call;
	return call;
}

/* Returns the handle, or an error; then the call is gone. */
static int start_call(struct snipe_store_call *call, const char *value, size_t len)
{
	struct evbuffer *out = evbuffer_new();
	int ret = call->client->dialect->write_request(call->client, &call->request, value, len,
						       out);

	if (ret < 0) {
		unlink_call(call);
		free_call(call);
	} else {
		ret = call->handle;
		snipe_store_call_continue(call, out);
	}
	evbuffer_free(out);
	return ret;
}

static int start_object_call(struct snipe_object_store *store,
			     const struct snipe_store_request *request, int timeout_ms,
			     snipe_object_cb cb, void *arg)
{
	struct snipe_store_call *call = new_call(store, request, timeout_ms, arg);

	call->cb = cb;
	return start_call(call, NULL, 0);
}

static int client_get(struct snipe_object_store *store, const char *kind, const char *name,
		      int timeout_ms, snipe_object_cb cb, void *arg)
{
	struct snipe_store_request request = {SNIPE_STORE_GET, kind, name, 0, 0, 0};

	return start_object_call(store, &request, timeout_ms, cb, arg);
}

static int client_get_once(struct snipe_object_store *store, const char *kind, const char *name,
			   int timeout_ms, snipe_object_cb cb, void *arg)
{
	struct snipe_store_request request = {SNIPE_STORE_GET_ONCE, kind, name, 0, 0, 0};

	return start_object_call(store, &request, timeout_ms, cb, arg);
}

static int client_watch(struct snipe_object_store *store, const char *kind, const char *name,
			uint64_t after, int wait_ms, int timeout_ms, snipe_object_cb cb,
			void *arg)
{
	struct snipe_store_request request = {SNIPE_STORE_WATCH, kind, name, after, wait_ms, 0};

	if (wait_ms < 0)
		return SNIPE_ERR_INVALID;
	return start_object_call(store, &request, wait_ms + timeout_ms, cb, arg);
}

static int client_list(struct snipe_object_store *store, const char *kind, int allow_stale,
		       int timeout_ms, snipe_object_list_cb cb, void *arg)
{
	struct snipe_store_request request = {SNIPE_STORE_LIST, kind, NULL, 0, 0, allow_stale};
	struct snipe_store_call *call = new_call(store, &request, timeout_ms, arg);

	call->list_cb = cb;
	return start_call(call, NULL, 0);
}

static int client_put(struct snipe_object_store *store, const char *kind, const char *name,
		      uint64_t if_version, const char *value, size_t len, int timeout_ms,
		      snipe_object_cb cb, void *arg)
{
	struct snipe_store_request request = {SNIPE_STORE_PUT, kind, name, if_version, 0, 0};
	struct snipe_store_call *call;

	if (len > SNIPE_OBJECT_MAX_BYTES)
		return SNIPE_ERR_TOO_LARGE;
	call = new_call(store, &request, timeout_ms, arg);
	call->cb = cb;
	return start_call(call, value, len);
}

static void client_cancel(struct snipe_object_store *store, int handle)
{
	struct snipe_store_client *c = (struct snipe_store_client *)store;

	for (struct snipe_store_call *call = c->calls; call; call = call->next) {
		if (call->handle == handle) {
			unlink_call(call);
			free_call(call);
			return;
		}
	}
}

static void client_listen(struct snipe_object_store *store, struct snipe_era_listener *l)
{
	struct snipe_store_client *c = (struct snipe_store_client *)store;

	LIST_INSERT_HEAD(&c->listeners, l, link);
}

static uint64_t client_era(struct snipe_object_store *store)
{
	return ((struct snipe_store_client *)store)->era;
}

static void client_finish(struct snipe_object_store *store)
{
	struct snipe_store_client *c = (struct snipe_store_client *)store;

	for (struct snipe_store_call *call = c->calls, *next; call; call = next) {
		next = call->next;
		free_call(call);
	}
	c->calls = NULL;
	snipe_h1_pool_finish(&c->pool);
}

static const struct snipe_object_store_ops ops = {
	.get = client_get,
	.get_once = client_get_once,
	.list = client_list,
	.watch = client_watch,
	.put = client_put,
	.cancel = client_cancel,
	.finish = client_finish,
	.listen = client_listen,
	.era = client_era,
};

void snipe_store_client_init(struct snipe_store_client *c,
			     const struct snipe_store_dialect *dialect, struct event_base *base,
			     const struct snipe_address *address)
{
	memset(c, 0, sizeof(*c));
	c->store.ops = &ops;
	c->dialect = dialect;
	c->base = base;
	LIST_INIT(&c->listeners);
	snipe_h1_pool_init(&c->pool, base);
	snipe_h1_pool_set_address(&c->pool, address);
}

void snipe_store_client_move(struct snipe_store_client *c, const struct snipe_address *address)
{
	snipe_h1_pool_set_address(&c->pool, address);
}
