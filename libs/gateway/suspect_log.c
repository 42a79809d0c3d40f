#include "gateway/suspect_log.h"

#include <event2/event.h>
#include <string.h>

#include "base/buffer.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "gateway/backoff.h"

/* Name of the one object of its kind. */
#define OBJECT_NAME "fleet"

static void proceed(struct snipe_suspect_log *l);

static void call_failed(struct snipe_suspect_log *l, const char *call, int err)
{
	struct timeval tv = snipe_timeval(snipe_backoff_us(l->rng, l->failures));

	if (l->failures++ == 0)
		snipe_log(SNIPE_LOG_WARNING, "suspects_call_failed",
			  "call=%s err=%s version=%llu unwritten=%u", call,
			  snipe_error_name(err), (unsigned long long)l->version,
			  l->known - l->stored);
	event_add(&l->retry, &tv);
}

static void on_read(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_suspect_log *l = arg;
	int strikes = 0;

	l->handle = 0;
	if (err && err != SNIPE_ERR_NOT_FOUND) {
		call_failed(l, "get", err);
		return;
	}
	l->failures = 0;
	l->version = err ? 0 : object->version;
	l->is_version_known = 1;
	if (!err)
		strikes = snipe_crash_guard_load(l->config.guard, snipe_now_us(),
						 snipe_wall_ms(), object->value, object->len);
	if (strikes < 0)
		snipe_log(SNIPE_LOG_WARNING, "suspects_unreadable", "bytes=%zu version=%llu",
			  object->len, (unsigned long long)l->version);
	else if (strikes > 0)
		snipe_log(SNIPE_LOG_INFO, "suspects_recalled", "strikes=%d version=%llu",
			  strikes, (unsigned long long)l->version);
	proceed(l);
}

static void on_written(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_suspect_log *l = arg;

	l->handle = 0;
	if (err == SNIPE_ERR_CONFLICT || err == SNIPE_ERR_UNKNOWN || err == SNIPE_ERR_NOT_FOUND)
		l->is_version_known = 0;
	if (err && err != SNIPE_ERR_CONFLICT) {
		call_failed(l, "put", err);
		return;
	}
	if (!err) {
		l->failures = 0;
		l->version = object->version;
		l->stored = l->sent;
		snipe_log(SNIPE_LOG_INFO, "suspects_stored", "version=%llu",
			  (unsigned long long)l->version);
	}
	proceed(l);
}

static void write_suspects(struct snipe_suspect_log *l)
{
	struct snipe_object_store *store = l->config.store;
	struct snipe_buffer text;

	snipe_buffer_init(&text);
	snipe_crash_guard_print(l->config.guard, snipe_now_us(), snipe_wall_ms(), &text);
	l->sent = l->known;
	l->handle = store->ops->put(store, l->config.kind, OBJECT_NAME, l->version,
				    snipe_buffer_str(&text), text.len, SNIPE_STORE_TIMEOUT_MS,
				    on_written, l);
	snipe_buffer_finish(&text);
}

/* Starts the call that is due, if none is open. */
static void proceed(struct snipe_suspect_log *l)
{
	struct snipe_object_store *store = l->config.store;

	if (l->handle)
		return;
	if (!l->is_version_known)
		l->handle = store->ops->get_once(store, l->config.kind, OBJECT_NAME,
						 SNIPE_STORE_TIMEOUT_MS, on_read, l);
	else if (l->known != l->stored)
		write_suspects(l);
	if (l->handle < 0) {
		int err = l->handle;

		l->handle = 0;
		call_failed(l, "start", err);
	}
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	proceed(arg);
}

void snipe_suspect_log_init(struct snipe_suspect_log *l,
			    const struct snipe_suspect_log_config *config)
{
	memset(l, 0, sizeof(*l));
	l->config = *config;
	l->rng = g_rand_new();
	l->is_version_known = config->is_first_start;
	event_assign(&l->retry, config->base, -1, 0, on_retry, l);
	proceed(l);
}

void snipe_suspect_log_finish(struct snipe_suspect_log *l)
{
	if (!l->rng)
		return;
	if (l->handle)
		l->config.store->ops->cancel(l->config.store, l->handle);
	event_del(&l->retry);
	g_rand_free(l->rng);
}

void snipe_suspect_log_update(struct snipe_suspect_log *l)
{
	unsigned changes = snipe_crash_guard_changes(l->config.guard);

	if (changes == l->known)
		return;
	l->known = changes;
	if (!event_pending(&l->retry, EV_TIMEOUT, NULL))
		proceed(l);
}
