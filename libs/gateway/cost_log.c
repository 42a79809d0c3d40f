#include "gateway/cost_log.h"

#include <string.h>

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"

#define CHECK_INTERVAL_US 1000000
/* Costs move for some seconds after a change. */
#define WRITE_INTERVAL_US 5000000

static void on_failed(struct snipe_kept_object *o, const char *call, int err)
{
	snipe_log(SNIPE_LOG_WARNING, "costs_store_call_failed",
		  "call=%s err=%s version=%llu is_writing=%d", call, snipe_error_name(err),
		  (unsigned long long)o->version, snipe_kept_object_is_writing(o));
}

static void on_loaded(struct snipe_kept_object *o, const struct snipe_object *object)
{
	const struct snipe_cost_log *l = (struct snipe_cost_log *)o;
	int routes;

	if (!object)
		return;
	routes = snipe_route_costs_load(l->costs, snipe_wall_ms(), object->value, object->len);
	if (routes < 0)
		snipe_log(SNIPE_LOG_WARNING, "costs_malformed", "bytes=%zu version=%llu",
			  object->len, (unsigned long long)object->version);
	else if (routes > 0)
		snipe_log(SNIPE_LOG_INFO, "costs_restored", "routes=%d version=%llu", routes,
			  (unsigned long long)object->version);
}

static void append_value(struct snipe_kept_object *o, struct snipe_buffer *out)
{
	const struct snipe_cost_log *l = (struct snipe_cost_log *)o;

	snipe_route_costs_print(l->costs, out);
}

static void on_stored(struct snipe_kept_object *o)
{
	snipe_log(SNIPE_LOG_INFO, "costs_stored", "version=%llu",
		  (unsigned long long)o->version);
}

static const struct snipe_kept_object_ops ops = {
	.loaded = on_loaded,
	.append_value = append_value,
	.stored = on_stored,
	.failed = on_failed,
};

void snipe_cost_log_init(struct snipe_cost_log *l, struct snipe_route_costs *costs,
			 const struct snipe_kept_object_config *config)
{
	memset(l, 0, sizeof(*l));
	l->costs = costs;
	l->checked_us = snipe_now_us();
	snipe_kept_object_init(&l->object, &ops, config);
}

void snipe_cost_log_finish(struct snipe_cost_log *l)
{
	snipe_kept_object_finish(&l->object);
}

int snipe_cost_log_is_due(const struct snipe_cost_log *l, int64_t now_us)
{
	return now_us - l->checked_us >= CHECK_INTERVAL_US;
}

void snipe_cost_log_update(struct snipe_cost_log *l, int64_t now_us, int rank)
{
	l->checked_us = now_us;
	if (rank != 0 || snipe_kept_object_is_writing(&l->object) ||
	    (l->written_us && now_us - l->written_us < WRITE_INTERVAL_US) ||
	    !snipe_route_costs_have_changed(l->costs))
		return;
	l->written_us = now_us;
	snipe_kept_object_changed(&l->object);
}
