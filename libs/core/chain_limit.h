/*
 * Admission of client requests by what the services of their call chains can complete.
 *
 * Each entry knows from the reports how many slots the servers of a service have, and how many
 * slots the client requests of each rank would hold there if all were admitted: the demand that
 * every entry reports before it rejects anything. If the demand exceeds the slots, the ranks
 * are admitted in order, and a small part of the slots is divided among those that are left, so
 * that none gets nothing. All entries compute the same shares without asking each other. A
 * request is admitted with the smallest share among the services of its chain. One that needs
 * very little of a service is cut less: rejecting it would free nothing.
 *
 * Load pattern: for seconds, client requests exceed what a service deep in the call graph can
 * complete. Its gates reject calls at once, so the entries see fast failures in place of long
 * waiting times, and the work that the services above put into the failed chains is lost. The
 * limit follows capacity and demand, not failures: it opens again as soon as a report states
 * that there is capacity. Servers that reject a part of whatever they get do not fill their
 * slots, so that no request is rejected for them here: fewer requests would not help them.
 */
#ifndef SNIPE_CHAIN_LIMIT_H
#define SNIPE_CHAIN_LIMIT_H

#include <stdint.h>

#include "core/call_profile.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_CHAIN_LIMIT_SERVICES 32
/* Ranks of one service that are told apart; less important ones share the last place. */
#define SNIPE_CHAIN_LIMIT_RANKS 16

/* Demand of client requests of one rank for one service. */
struct snipe_chain_demand {
	uint64_t service; /* hash of its name */
	int rank;	  /* 0 is the most important */
	double slots;	  /* slots that the requests would hold if all were admitted */
};

/* Fields are private. */
struct snipe_chain_rank {
	int rank;
	double offered_us; /* slot time asked for at this entry, decaying sum */
	double demand;	   /* of the fleet, in slots; collected by an update */
	double share;	   /* part of the requests that is admitted, 0 to 1 */
};

/* Fields are private. */
struct snipe_chain_service {
	uint64_t service;
	int64_t offered_at_us;	 /* when the decaying sums were last computed */
	double offered_requests; /* at this entry, decaying sum */
	double slots, busy_slots, rejected_ratio; /* of the fleet; collected by an update */
	double weight;				  /* of rejected_ratio while collecting */
	int has_servers;			  /* in the last update, or in this one */
	double trim; /* factor on the slots that corrects errors of the cost */
	int is_limiting;
	int has_changed; /* is_limiting changed, and no snipe_chain_limit_next_change yet */
	int64_t limiting_since_us;
	int64_t unlimited_until_us; /* end of the last request admitted without a limit */
	struct snipe_chain_rank ranks[SNIPE_CHAIN_LIMIT_RANKS]; /* in the order of rank */
	int rank_count;
};

/* Fields are private. */
struct snipe_chain_limit {
	struct snipe_chain_service services[SNIPE_CHAIN_LIMIT_SERVICES];
	int service_count;
	int64_t updated_us;
};

void snipe_chain_limit_init(struct snipe_chain_limit *l, int64_t now_us);

/* Records a client request that asks for admission and has to end by deadline_us, and returns
 * the part of such requests that may be admitted, 0 to 1. If that is below 1, bottleneck is set
 * to the hash of the service that is short. */
double snipe_chain_limit_offer(struct snipe_chain_limit *l, int64_t now_us, int64_t deadline_us,
			       int rank, const struct snipe_chain_cost *cost,
			       uint64_t *bottleneck);

/* Fills the demand at this entry for services that are busy, the largest first. Returns the
 * number of entries, at most max. */
int snipe_chain_limit_demand(struct snipe_chain_limit *l, int64_t now_us,
			     struct snipe_chain_demand *demands, int max);

/* One update from the last reports of all nodes: begin, then all servers and all demands in any
 * order, then end, which computes the shares. */
void snipe_chain_limit_begin_update(struct snipe_chain_limit *l);
/* A usable server with its slots, the calls that run or wait there, and the part of the calls
 * that its gate rejected because it was full. */
void snipe_chain_limit_add_server(struct snipe_chain_limit *l, uint64_t service, int slots,
				  int busy, double rejected_ratio);
void snipe_chain_limit_add_demand(struct snipe_chain_limit *l,
				  const struct snipe_chain_demand *demand);
/* report_interval_us is the time between two reports of a node, microseconds. */
void snipe_chain_limit_end_update(struct snipe_chain_limit *l, int64_t now_us,
				  int64_t report_interval_us);
/* State of a service as of the last update. */
struct snipe_chain_change {
	uint64_t service;
	int is_limiting;	  /* requests that need it are rejected, in part */
	double slots, busy_slots; /* of the fleet */
	double demand;		  /* of the fleet, in slots */
	double rejected_ratio;	  /* calls that its gates rejected, 0 to 1 */
	double trim;
};

/* Fills the state of a service that began or ceased to limit requests since the last call.
 * Returns 0, or SNIPE_ERR_NOT_FOUND if there is none. */
int snipe_chain_limit_next_change(struct snipe_chain_limit *l,
				  struct snipe_chain_change *change);

#ifdef __cplusplus
}
#endif

#endif
