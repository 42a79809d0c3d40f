/*
 * Keeps what requests cost along their call chains in one object of the store for the fleet, so
 * that nodes which start while a service is short know it at once.
 *
 * All nodes learn nearly the same costs, so one of them writes, when a cost has changed by more
 * than a quarter, at most every five seconds. A node that cannot read the object learns the
 * costs from answers.
 */
#ifndef SNIPE_COST_LOG_H
#define SNIPE_COST_LOG_H

#include "core/route_costs.h"
#include "gateway/kept_object.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Name of the object; the fleet has only one. */
#define SNIPE_COST_LOG_NAME "fleet"

/* Fields are private. */
struct snipe_cost_log {
	struct snipe_kept_object object; /* must be first: callbacks cast it to the log */
	struct snipe_route_costs *costs;
	int64_t checked_us, written_us; /* written_us 0: not by this process */
};

/* Starts to read the costs from the store. The costs must outlive the log. */
void snipe_cost_log_init(struct snipe_cost_log *l, struct snipe_route_costs *costs,
			 const struct snipe_kept_object_config *config);
void snipe_cost_log_finish(struct snipe_cost_log *l);

/* Whether snipe_cost_log_update is to be called; to be asked a few times a second. */
int snipe_cost_log_is_due(const struct snipe_cost_log *l, int64_t now_us);
/* Writes the costs if they have changed and this node is the one to write, which has rank 0. */
void snipe_cost_log_update(struct snipe_cost_log *l, int64_t now_us, int rank);

#ifdef __cplusplus
}
#endif

#endif
