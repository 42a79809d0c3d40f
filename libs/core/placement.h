/*
 * Load balancing: choice of a backend server for one attempt, from the load that the nodes
 * beside the servers report.
 *
 * The expected time on a server consists of its mean service time and the queueing delay behind
 * the reported work and the attempts that this node has sent since; recent failures and another
 * failure domain lower the weight as well. A server is chosen at random with a weight that
 * falls steeply with that time, so that many nodes with the same reports do not all choose the
 * same server. The older the reports, the more the weight depends on the capacity of the server
 * instead. Servers of the own failure domain are preferred while they have spare capacity.
 *
 * Expected load: many nodes spread attempts over few servers of different speed near their
 * limits, while some servers are cold, slow, or fail some of their attempts immediately.
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
	int64_t service_us; /* mean time of a request without waiting; 0: not known yet */
};

/* Fields are private. */
struct snipe_placement_server {
	int is_used;
	int is_usable;
	int is_same_domain; /* the failure domain of this node */
	struct snipe_placement_load load;
	int64_t load_received_us;
	int64_t cold_until_us;
	int in_flight;		 /* attempts of this node */
	int in_flight_at_report; /* in_flight when the report arrived */
	double failure_rate;	 /* moving average of failed attempts, 0 to 1 */
	int64_t failure_rate_at_us;
};

struct snipe_placement {
	struct snipe_placement_server *servers;
	double *weights; /* of the last choice, by handle */
	int size;
	int64_t cold_until_us; /* the latest of all servers, also of those that were removed */
};

void snipe_placement_init(struct snipe_placement *p);
void snipe_placement_finish(struct snipe_placement *p);

/* Adds a server, not usable yet, and returns its handle, valid until it is removed. The handle
 * is given out again once no attempt is in flight on it. */
int snipe_placement_add(struct snipe_placement *p, int is_same_domain);
void snipe_placement_remove(struct snipe_placement *p, int server);
void snipe_placement_set_usable(struct snipe_placement *p, int server, int is_usable);
void snipe_placement_report(struct snipe_placement *p, int server, int64_t now_us,
			    const struct snipe_placement_load *load);
void snipe_placement_set_cold(struct snipe_placement *p, int server, int64_t until_us);

/* Chooses a usable server outside exclude and counts an attempt in flight on it. Returns its
 * handle, or SNIPE_ERR_NOT_FOUND if there is none. */
int snipe_placement_choose(struct snipe_placement *p, int64_t now_us, GRand *rng,
			   const int *exclude, int exclude_count);
/* The same, among the servers that are not slow after their start. */
int snipe_placement_choose_warm(struct snipe_placement *p, int64_t now_us, GRand *rng,
				const int *exclude, int exclude_count);
/* Whether the server is slow because it has just started. */
int snipe_placement_is_cold(const struct snipe_placement *p, int server, int64_t now_us);
/* Whether a server may be cold; a removed one counts as well. Takes constant time. */
int snipe_placement_may_be_cold(const struct snipe_placement *p, int64_t now_us);
/* Whether a usable server is not cold. */
int snipe_placement_has_warm(const struct snipe_placement *p, int64_t now_us);
/* Whether the server recently failed more of its attempts than the others, so that a retry on
 * another server may succeed. */
int snipe_placement_is_failing(const struct snipe_placement *p, int server, int64_t now_us);
/* Records the outcome of an attempt counted by snipe_placement_choose. */
void snipe_placement_record(struct snipe_placement *p, int server, int64_t now_us,
			    enum snipe_server_outcome outcome);

#ifdef __cplusplus
}
#endif

#endif
