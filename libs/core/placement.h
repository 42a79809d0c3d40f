/*
 * Choice of a backend server for one call, from what the nodes beside the servers report.
 *
 * The expected time on each server is its mean service time, the wait behind the work that was
 * reported and that this node has sent since, and the part of calls that failed there lately. A
 * server is drawn with a weight that falls steeply with that time, so that many nodes with the
 * same reports do not all choose the same server. The older the reports, the more the draw goes
 * by what each server can do instead. Servers of the own failure domain are preferred while
 * they have room.
 *
 * Load pattern: many nodes spread calls over few servers of different speed near their limits,
 * while some servers are cold, slow, or refuse part of their calls at once.
 */
#ifndef SNIPE_PLACEMENT_H
#define SNIPE_PLACEMENT_H

#include <glib.h>
#include <stdint.h>

#include "core/balancer.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_placement_load {
	int limit;
	int running;
	int waiting;
	int64_t service_us; /* 0: not known yet */
};

/* Fields are private. */
struct snipe_placement_server {
	int is_used;
	int is_usable;
	int is_near; /* in the own failure domain */
	struct snipe_placement_load load;
	int64_t load_at_us;
	int64_t cold_until_us;
	int in_flight;	       /* calls of this node */
	int in_flight_at_load; /* when the report came */
	double failures;       /* decayed part of calls that failed, 0 to 1 */
	int64_t failures_at_us;
};

struct snipe_placement {
	struct snipe_placement_server *servers;
	double *weights; /* scratch space */
	int size;
};

void snipe_placement_init(struct snipe_placement *p);
void snipe_placement_finish(struct snipe_placement *p);

/* Adds a server and returns its handle, valid until it is removed. */
int snipe_placement_add(struct snipe_placement *p, int is_near);
void snipe_placement_remove(struct snipe_placement *p, int server);
void snipe_placement_set_usable(struct snipe_placement *p, int server, int is_usable);
void snipe_placement_report(struct snipe_placement *p, int server, int64_t now_us,
			    const struct snipe_placement_load *load);
void snipe_placement_set_cold(struct snipe_placement *p, int server, int64_t until_us);

/* Chooses a server outside exclude and counts a call in flight on it. Returns a handle, or
 * SNIPE_ERR_NOT_FOUND if no server is usable. */
int snipe_placement_choose(struct snipe_placement *p, int64_t now_us, GRand *rng,
			   const int *exclude, int exclude_count);
/* Whether the server fails more of its calls than the others: then another one may do better.
 */
int snipe_placement_is_suspect(const struct snipe_placement *p, int server, int64_t now_us);
/* A counted call ended. */
void snipe_placement_record(struct snipe_placement *p, int server, int64_t now_us,
			    enum snipe_server_outcome outcome);

#ifdef __cplusplus
}
#endif

#endif
