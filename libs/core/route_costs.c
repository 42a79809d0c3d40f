#include "core/route_costs.h"

#include <inttypes.h>
#include <math.h>

#include "base/error.h"

/* Weight of one answer in the mean cost of a route. */
#define ANSWER_WEIGHT 0.3
/* A change of the cost below this part of it is not worth a write. */
#define CHANGE_RATIO 0.25
#define MAX_AGE_MS (24 * 3600 * 1000LL)
/* Longest slot time of a request at one service that a text may state. */
#define MAX_SLOT_US 1e9

static const struct snipe_chain_cost unknown;

static struct snipe_route_cost *route_at(const struct snipe_route_costs *c, int handle)
{
	return &g_array_index(c->routes, struct snipe_route_cost, handle);
}

void snipe_route_costs_init(struct snipe_route_costs *c)
{
	c->routes = g_array_new(FALSE, TRUE, sizeof(struct snipe_route_cost));
}

void snipe_route_costs_finish(struct snipe_route_costs *c)
{
	if (c->routes)
		g_array_free(c->routes, TRUE);
	c->routes = NULL;
}

int snipe_route_costs_handle(struct snipe_route_costs *c, uint64_t route)
{
	struct snipe_route_cost r = {.route = route};

	for (guint i = 0; i < c->routes->len; i++)
		if (route_at(c, (int)i)->route == route)
			return (int)i;
	g_array_append_val(c->routes, r);
	return (int)c->routes->len - 1;
}

const struct snipe_chain_cost *snipe_route_costs_at(const struct snipe_route_costs *c,
						    int handle, uint64_t service)
{
	const struct snipe_route_cost *r = route_at(c, handle);

	if (r->is_loaded && service && snipe_chain_cost_at(&r->cost, service) <= 0)
		return &unknown;
	return &r->cost;
}

void snipe_route_costs_learn(struct snipe_route_costs *c, int handle, int64_t wall_ms,
			     const struct snipe_chain_cost *stated)
{
	struct snipe_route_cost *r = route_at(c, handle);

	if (stated->count == 0)
		return;
	snipe_chain_cost_average(&r->cost, stated, r->is_loaded ? 1 : ANSWER_WEIGHT);
	if (!stated->is_rough)
		r->learned_ms = wall_ms;
	if (!stated->is_rough || r->cost.is_rough)
		r->is_loaded = 0;
}

static int is_printed(const struct snipe_route_cost *r)
{
	return r->cost.count > 0 && !r->cost.is_rough;
}

static int has_changed(const struct snipe_route_cost *r)
{
	double sum = 0, change = 0;

	for (int i = 0; i < r->cost.count; i++) {
		const struct snipe_service_cost *s = &r->cost.services[i];

		sum += s->slot_us;
		change += fabs(s->slot_us - snipe_chain_cost_at(&r->printed, s->service));
	}
	for (int i = 0; i < r->printed.count; i++)
		if (snipe_chain_cost_at(&r->cost, r->printed.services[i].service) <= 0)
			change += r->printed.services[i].slot_us;
	return change > CHANGE_RATIO * sum;
}

int snipe_route_costs_have_changed(const struct snipe_route_costs *c)
{
	for (guint i = 0; i < MIN(c->routes->len, SNIPE_ROUTE_COSTS_MAX_PRINTED); i++) {
		const struct snipe_route_cost *r = route_at(c, (int)i);

		if (is_printed(r) && has_changed(r))
			return 1;
	}
	return 0;
}

void snipe_route_costs_print(struct snipe_route_costs *c, struct snipe_buffer *out)
{
	for (guint i = 0; i < MIN(c->routes->len, SNIPE_ROUTE_COSTS_MAX_PRINTED); i++) {
		struct snipe_route_cost *r = route_at(c, (int)i);

		if (!is_printed(r))
			continue;
		snipe_buffer_printf(out, "%016" PRIx64 " %" PRId64, r->route, r->learned_ms);
		for (int j = 0; j < r->cost.count; j++)
			snipe_buffer_printf(out, " %016" PRIx64 " %.0f",
					    r->cost.services[j].service,
					    r->cost.services[j].slot_us);
		snipe_buffer_printf(out, "\n");
		r->printed = r->cost;
	}
}

static int parse_line(const char *line, struct snipe_route_cost *r)
{
	char *end;

	*r = (struct snipe_route_cost){.is_loaded = 1};
	r->route = g_ascii_strtoull(line, &end, 16);
	if (end == line)
		return SNIPE_ERR_SYNTAX;
	line = end;
	r->learned_ms = g_ascii_strtoll(line, &end, 10);
	if (end == line || r->learned_ms < 0)
		return SNIPE_ERR_SYNTAX;
	for (line = end; *line; line = end) {
		struct snipe_service_cost *s = &r->cost.services[r->cost.count];

		if (r->cost.count == SNIPE_CHAIN_MAX_SERVICES)
			return SNIPE_ERR_SYNTAX;
		s->service = g_ascii_strtoull(line, &end, 16);
		if (end == line)
			return SNIPE_ERR_SYNTAX;
		line = end;
		s->slot_us = g_ascii_strtod(line, &end);
		if (end == line || !(s->slot_us >= 0 && s->slot_us <= MAX_SLOT_US))
			return SNIPE_ERR_SYNTAX;
		r->cost.count++;
	}
	r->printed = r->cost;
	return 0;
}

/* Returns whether the loaded cost was taken over. */
static int merge(struct snipe_route_costs *c, const struct snipe_route_cost *loaded)
{
	struct snipe_route_cost *r = route_at(c, snipe_route_costs_handle(c, loaded->route));

	r->printed = loaded->printed;
	if (is_printed(r) && (!r->is_loaded || r->learned_ms >= loaded->learned_ms))
		return 0;
	r->cost = loaded->cost;
	r->learned_ms = loaded->learned_ms;
	r->is_loaded = 1;
	return 1;
}

int snipe_route_costs_load(struct snipe_route_costs *c, int64_t wall_ms, const char *text,
			   size_t len)
{
	char *copy = g_strndup(text, len), **lines = g_strsplit(copy, "\n", -1);
	struct snipe_route_cost r;
	int n = 0, ret = 0;

	for (int i = 0; i < SNIPE_ROUTE_COSTS_MAX_PRINTED && lines[i] && ret == 0; i++) {
		if (!*lines[i])
			continue;
		ret = parse_line(lines[i], &r);
		if (ret == 0 && r.cost.count > 0 && wall_ms - r.learned_ms <= MAX_AGE_MS)
			n += merge(c, &r);
	}
	g_strfreev(lines);
	g_free(copy);
	return ret < 0 ? ret : n;
}
