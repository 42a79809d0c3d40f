#include "gateway/suspect_log.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"

static void on_failed(struct snipe_kept_object *o, const char *call, int err)
{
	snipe_log(SNIPE_LOG_WARNING, "suspects_store_call_failed",
		  "call=%s err=%s version=%llu is_writing=%d", call, snipe_error_name(err),
		  (unsigned long long)o->version, snipe_kept_object_is_writing(o));
}

static void on_loaded(struct snipe_kept_object *o, const struct snipe_object *object)
{
	const struct snipe_suspect_log *l = (struct snipe_suspect_log *)o;
	int strikes;

	if (!object)
		return;
	strikes = snipe_crash_guard_load(l->guard, snipe_now_us(), snipe_wall_ms(),
					 object->value, object->len);
	if (strikes < 0)
		snipe_log(SNIPE_LOG_WARNING, "suspects_malformed", "bytes=%zu version=%llu",
			  object->len, (unsigned long long)object->version);
	else if (strikes > 0)
		snipe_log(SNIPE_LOG_INFO, "suspects_restored", "strikes=%d version=%llu",
			  strikes, (unsigned long long)object->version);
}

static void append_value(struct snipe_kept_object *o, struct snipe_buffer *out)
{
	const struct snipe_suspect_log *l = (struct snipe_suspect_log *)o;

	snipe_crash_guard_print(l->guard, snipe_now_us(), snipe_wall_ms(), out);
}

static void on_stored(struct snipe_kept_object *o)
{
	snipe_log(SNIPE_LOG_INFO, "suspects_stored", "version=%llu",
		  (unsigned long long)o->version);
}

static const struct snipe_kept_object_ops ops = {
	.loaded = on_loaded,
	.append_value = append_value,
	.stored = on_stored,
	.failed = on_failed,
};

void snipe_suspect_log_init(struct snipe_suspect_log *l, struct snipe_crash_guard *guard,
			    const struct snipe_kept_object_config *config)
{
	memset(l, 0, sizeof(*l));
	l->guard = guard;
	snipe_kept_object_init(&l->object, &ops, config);
}

void snipe_suspect_log_finish(struct snipe_suspect_log *l)
{
	snipe_kept_object_finish(&l->object);
}

void snipe_suspect_log_update(struct snipe_suspect_log *l)
{
	unsigned changes = snipe_crash_guard_changes(l->guard);

	if (changes == l->changes_seen)
		return;
	l->changes_seen = changes;
	snipe_kept_object_changed(&l->object);
}
