#include "gateway/departure_log.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"

int snipe_departure_log_is_writing(const struct snipe_departure_log *l)
{
	return snipe_kept_object_is_writing(&l->object);
}

static void on_failed(struct snipe_kept_object *o, const char *call, int err)
{
	struct snipe_departure_log *l = (struct snipe_departure_log *)o;

	l->has_failed = 1;
	snipe_log(SNIPE_LOG_WARNING, "departure_store_call_failed",
		  "call=%s err=%s server=%s is_writing=%d", call, snipe_error_name(err),
		  l->departure.server_id, snipe_kept_object_is_writing(o));
}

static void report_known(const struct snipe_departure_log *l)
{
	if (!l->has_failed)
		l->config.known(l->config.arg);
}

/* Only the first read has the record of an earlier process; later ones may return a write of
 * this process. */
static void on_loaded(struct snipe_kept_object *o, const struct snipe_object *object)
{
	struct snipe_departure_log *l = (struct snipe_departure_log *)o;
	struct snipe_departure d;

	if (l->is_restored)
		return;
	l->is_restored = 1;
	if (!object) {
		report_known(l);
		return;
	}
	if (snipe_departure_parse(object->value, object->len, &d) < 0) {
		snipe_log(SNIPE_LOG_WARNING, "departure_malformed", "bytes=%zu version=%llu",
			  object->len, (unsigned long long)object->version);
		return;
	}
	snipe_log(SNIPE_LOG_INFO, "departure_restored",
		  "server=%s started_ms=%lld sequence=%llu version=%llu", d.server_id,
		  (long long)d.started_ms, (unsigned long long)d.sequence,
		  (unsigned long long)object->version);
	if (!*l->departure.server_id) {
		l->departure = d;
		l->departed_us = snipe_now_us();
	}
	l->config.restored(l->config.arg, &d);
	report_known(l);
}

static void append_value(struct snipe_kept_object *o, struct snipe_buffer *out)
{
	const struct snipe_departure_log *l = (struct snipe_departure_log *)o;
	char text[SNIPE_DEPARTURE_TEXT_SIZE];

	snipe_departure_format(&l->departure, text);
	snipe_buffer_append(out, text, strlen(text));
}

static void on_stored(struct snipe_kept_object *o)
{
	const struct snipe_departure_log *l = (struct snipe_departure_log *)o;

	snipe_log(SNIPE_LOG_INFO, "departure_stored", "server=%s version=%llu",
		  l->departure.server_id, (unsigned long long)o->version);
	if (!snipe_kept_object_is_writing(o))
		l->config.written(l->config.arg);
}

/* Later processes need a departure while announcements from before it may arrive. */
static int must_survive(const struct snipe_kept_object *o)
{
	const struct snipe_departure_log *l = (const struct snipe_departure_log *)o;

	return *l->departure.server_id &&
	       snipe_now_us() - l->departed_us < SNIPE_DEPARTURE_VALID_US;
}

static const struct snipe_kept_object_ops ops = {
	.loaded = on_loaded,
	.append_value = append_value,
	.stored = on_stored,
	.failed = on_failed,
	.must_survive = must_survive,
};

void snipe_departure_log_init(struct snipe_departure_log *l,
			      const struct snipe_departure_log_config *config)
{
	memset(l, 0, sizeof(*l));
	l->config = *config;
	l->is_restored = config->object.is_first_start;
	snipe_kept_object_init(&l->object, &ops, &config->object);
}

void snipe_departure_log_finish(struct snipe_departure_log *l)
{
	snipe_kept_object_finish(&l->object);
}

void snipe_departure_log_record(struct snipe_departure_log *l, const struct snipe_departure *d)
{
	l->departure = *d;
	l->departed_us = snipe_now_us();
	snipe_kept_object_changed(&l->object);
}

void snipe_departure_log_check(struct snipe_departure_log *l)
{
	snipe_kept_object_check(&l->object);
}
