/*
 * What requests of the routes cost along their call chains, as the answers state it, in a text
 * that later processes can read.
 *
 * A cost of an earlier process is used until an answer states a newer one: the servers' code or
 * the tables may have changed since. Rough costs are not printed: a later process learns them
 * as soon.
 *
 * Load pattern: nodes restart while a service deep in the call graph is short. Without the
 * costs, they would admit requests that cannot be completed until they have learned them.
 */
#ifndef SNIPE_ROUTE_COSTS_H
#define SNIPE_ROUTE_COSTS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "core/call_profile.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Routes that are printed and loaded; more are kept in memory only. */
#define SNIPE_ROUTE_COSTS_MAX_PRINTED 256

/* Fields are private. */
struct snipe_route_cost {
	uint64_t route;			 /* hash of its name */
	struct snipe_chain_cost cost;	 /* empty: unknown */
	int is_loaded;			 /* of an earlier process, and not stated since */
	int64_t learned_ms;		 /* when the last answer stated it, ms since 1970 */
	struct snipe_chain_cost printed; /* as last printed or loaded */
};

/* Fields are private. */
struct snipe_route_costs {
	GArray *routes; /* of struct snipe_route_cost, by handle */
};

void snipe_route_costs_init(struct snipe_route_costs *c);
void snipe_route_costs_finish(struct snipe_route_costs *c);

/* Returns the handle of a route, which stays valid. It is added if it is new. */
int snipe_route_costs_handle(struct snipe_route_costs *c, uint64_t route);
/* Returns the cost of a request that runs at a service, empty while it is unknown. The cost of
 * an earlier process does not hold if the route led to another service then; service 0 stands
 * for any. */
const struct snipe_chain_cost *snipe_route_costs_at(const struct snipe_route_costs *c,
						    int handle, uint64_t service);
/* Learns the cost that an answer states. */
void snipe_route_costs_learn(struct snipe_route_costs *c, int handle, int64_t wall_ms,
			     const struct snipe_chain_cost *stated);

/* Whether a cost that is to be printed differs from the last text by more than a quarter. */
int snipe_route_costs_have_changed(const struct snipe_route_costs *c);
/* Appends the costs as text, one route a line. */
void snipe_route_costs_print(struct snipe_route_costs *c, struct snipe_buffer *out);
/* Takes over the costs of a text for routes without a better one; those older than a day are
 * left out. Returns how many were taken over, or SNIPE_ERR_SYNTAX; then the lines before the
 * bad one count. */
int snipe_route_costs_load(struct snipe_route_costs *c, int64_t wall_ms, const char *text,
			   size_t len);

#ifdef __cplusplus
}
#endif

#endif
