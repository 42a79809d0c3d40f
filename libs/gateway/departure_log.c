#include "gateway/departure_log.h"

#include <event2/event.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "gateway/backoff.h"

static void proceed(struct snipe_departure_log *l);

int snipe_departure_log_is_writing(const struct snipe_departure_log *l)
{
	return l->stored != l->recorded;
}

static void call_failed(struct snipe_departure_log *l, const char *call, int err)
{
	struct timeval tv = snipe_timeval(snipe_backoff_us(l->rng, l->failures));

	if (l->failures++ == 0)
		snipe_log(SNIPE_LOG_WARNING, "departure_call_failed",
			  "call=%s err=%s server=%s is_writing=%d", call, snipe_error_name(err),
			  l->departure.server_id, snipe_departure_log_is_writing(l));
	event_add(&l->retry, &tv);
}

static void recall(struct snipe_departure_log *l, const struct snipe_object *object)
{
	struct snipe_departure d;

	l->is_recalled = 1;
	if (!object)
		return;
	if (snipe_departure_parse(object->value, object->len, &d) < 0) {
		snipe_log(SNIPE_LOG_WARNING, "departure_unreadable", "bytes=%zu version=%llu",
			  object->len, (unsigned long long)object->version);
		return;
	}
	snipe_log(SNIPE_LOG_INFO, "departure_recalled",
		  "server=%s born_ms=%lld sequence=%llu version=%llu", d.server_id,
		  (long long)d.born_ms, (unsigned long long)d.sequence,
		  (unsigned long long)object->version);
	l->config.recalled(l->config.arg, &d);
}

static void on_read(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_departure_log *l = arg;

	l->handle = 0;
	if (err && err != SNIPE_ERR_NOT_FOUND) {
		call_failed(l, "get", err);
		return;
	}
	l->failures = 0;
	l->version = err ? 0 : object->version;
	l->is_version_known = 1;
	if (!l->is_recalled)
		recall(l, err ? NULL : object);
	proceed(l);
}

static void on_written(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_departure_log *l = arg;

	l->handle = 0;
	if (err == SNIPE_ERR_CONFLICT || err == SNIPE_ERR_UNKNOWN || err == SNIPE_ERR_NOT_FOUND)
		l->is_version_known = 0;
	if (err == SNIPE_ERR_CONFLICT) {
		proceed(l);
		return;
	}
	if (err) {
		call_failed(l, "put", err);
		return;
	}
	l->failures = 0;
	l->version = object->version;
	l->stored = l->sent;
	snipe_log(SNIPE_LOG_INFO, "departure_stored", "server=%s version=%llu",
		  l->departure.server_id, (unsigned long long)l->version);
	if (!snipe_departure_log_is_writing(l))
		l->config.written(l->config.arg);
	proceed(l);
}

static void write_departure(struct snipe_departure_log *l)
{
	struct snipe_object_store *store = l->config.store;
	char text[SNIPE_DEPARTURE_TEXT];

	snipe_departure_format(&l->departure, text);
	l->sent = l->recorded;
	l->handle = store->ops->put(store, l->config.kind, l->config.node_id, l->version, text,
				    strlen(text), SNIPE_STORE_TIMEOUT_MS, on_written, l);
}

/* Starts the call that is due, if none is open. */
static void proceed(struct snipe_departure_log *l)
{
	struct snipe_object_store *store = l->config.store;

	if (l->handle)
		return;
	if (!l->is_recalled || (snipe_departure_log_is_writing(l) && !l->is_version_known))
		l->handle = store->ops->get_once(store, l->config.kind, l->config.node_id,
						 SNIPE_STORE_TIMEOUT_MS, on_read, l);
	else if (snipe_departure_log_is_writing(l))
		write_departure(l);
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

void snipe_departure_log_init(struct snipe_departure_log *l,
			      const struct snipe_departure_log_config *config)
{
	memset(l, 0, sizeof(*l));
	l->config = *config;
	l->rng = g_rand_new();
	l->is_recalled = l->is_version_known = config->is_first_start;
	event_assign(&l->retry, config->base, -1, 0, on_retry, l);
	proceed(l);
}

void snipe_departure_log_finish(struct snipe_departure_log *l)
{
	if (!l->rng)
		return;
	if (l->handle)
		l->config.store->ops->cancel(l->config.store, l->handle);
	event_del(&l->retry);
	g_rand_free(l->rng);
}

void snipe_departure_log_record(struct snipe_departure_log *l, const struct snipe_departure *d)
{
	l->departure = *d;
	l->recorded++;
	if (!event_pending(&l->retry, EV_TIMEOUT, NULL))
		proceed(l);
}
