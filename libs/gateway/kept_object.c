#include "gateway/kept_object.h"

#include <event2/event.h>
#include <stddef.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "gateway/backoff.h"

static void start_next_call(struct snipe_kept_object *o);

int snipe_kept_object_is_writing(const struct snipe_kept_object *o)
{
	return o->changes_stored != o->changes;
}

static void call_failed(struct snipe_kept_object *o, const char *call, int err)
{
	struct timeval tv = snipe_timeval(snipe_backoff_us(o->rng, o->failures));

	if (o->failures++ == 0)
		o->ops->failed(o, call, err);
	event_add(&o->retry_timer, &tv);
}

/* Whether the store has the value that would be written. */
static int holds_value(struct snipe_kept_object *o, const struct snipe_object *object)
{
	struct snipe_buffer text;
	int is_equal;

	snipe_buffer_init(&text);
	o->ops->append_value(o, &text);
	is_equal = text.len == object->len && memcmp(text.data, object->value, text.len) == 0;
	snipe_buffer_finish(&text);
	return is_equal;
}

static void on_read(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_kept_object *o = arg;

	o->handle = 0;
	if (err && err != SNIPE_ERR_NOT_FOUND) {
		call_failed(o, "get", err);
		return;
	}
	o->failures = 0;
	o->version = err ? 0 : object->version;
	o->is_version_known = 1;
	o->ops->loaded(o, err ? NULL : object);
	if (!err && o->may_be_stored && holds_value(o, object)) {
		o->changes_stored = o->changes;
		o->ops->stored(o);
	}
	o->may_be_stored = 0;
	start_next_call(o);
}

static void on_written(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_kept_object *o = arg;

	o->handle = 0;
	if (err == SNIPE_ERR_CONFLICT || err == SNIPE_ERR_UNKNOWN || err == SNIPE_ERR_NOT_FOUND)
		o->is_version_known = 0;
	if (err && err != SNIPE_ERR_CONFLICT) {
		call_failed(o, "put", err);
		return;
	}
	if (!err) {
		o->failures = 0;
		o->version = object->version;
		o->changes_stored = o->changes_sent;
		o->ops->stored(o);
	}
	start_next_call(o);
}

static void write_object(struct snipe_kept_object *o)
{
	struct snipe_object_store *store = o->config.store;
	struct snipe_buffer text;

	snipe_buffer_init(&text);
	o->ops->append_value(o, &text);
	o->changes_sent = o->changes;
	o->handle = store->ops->put(store, o->config.kind, o->config.name, o->version,
				    snipe_buffer_str(&text), text.len, SNIPE_STORE_TIMEOUT_MS,
				    on_written, o);
	snipe_buffer_finish(&text);
}

/* Starts the read or write that is needed next, unless a call is open. */
static void start_next_call(struct snipe_kept_object *o)
{
	struct snipe_object_store *store = o->config.store;

	if (o->handle)
		return;
	if (!o->is_version_known)
		o->handle = store->ops->get_once(store, o->config.kind, o->config.name,
						 SNIPE_STORE_TIMEOUT_MS, on_read, o);
	else if (snipe_kept_object_is_writing(o))
		write_object(o);
	if (o->handle < 0) {
		int err = o->handle;

		o->handle = 0;
		call_failed(o, "start", err);
	}
}

static void on_retry_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	start_next_call(arg);
}

static int must_survive(const struct snipe_kept_object *o)
{
	return o->ops->must_survive && o->ops->must_survive(o);
}

static void on_era_changed(struct snipe_era_listener *l, uint64_t era)
{
	struct snipe_kept_object *o =
		(struct snipe_kept_object *)((char *)l -
					     offsetof(struct snipe_kept_object, era_listener));

	(void)era;
	o->is_version_known = 0;
	if (!must_survive(o))
		return;
	o->may_be_stored = !snipe_kept_object_is_writing(o);
	snipe_kept_object_changed(o);
}

void snipe_kept_object_init(struct snipe_kept_object *o,
			    const struct snipe_kept_object_ops *ops,
			    const struct snipe_kept_object_config *config)
{
	memset(o, 0, sizeof(*o));
	o->ops = ops;
	o->config = *config;
	o->rng = g_rand_new();
	o->is_version_known = config->is_first_start;
	event_assign(&o->retry_timer, config->base, -1, 0, on_retry_timer, o);
	o->era_listener.era_changed = on_era_changed;
	config->store->ops->listen(config->store, &o->era_listener);
	start_next_call(o);
}

void snipe_kept_object_finish(struct snipe_kept_object *o)
{
	if (!o->rng)
		return;
	LIST_REMOVE(&o->era_listener, link);
	if (o->handle)
		o->config.store->ops->cancel(o->config.store, o->handle);
	event_del(&o->retry_timer);
	g_rand_free(o->rng);
}

void snipe_kept_object_changed(struct snipe_kept_object *o)
{
	o->changes++;
	if (!event_pending(&o->retry_timer, EV_TIMEOUT, NULL))
		start_next_call(o);
}

void snipe_kept_object_check(struct snipe_kept_object *o)
{
	if (!must_survive(o))
		return;
	o->is_version_known = 0;
	if (!event_pending(&o->retry_timer, EV_TIMEOUT, NULL))
		start_next_call(o);
}
