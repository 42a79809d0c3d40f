/*
 * Cost of a request for each service along its call chain, learned at the nodes.
 *
 * A node sees the requests that run on its backend server, with their routes, and the calls
 * that the server makes meanwhile, but not which request made which call. Least squares over
 * samples of both give the calls for each request of a route; routes for which the samples do
 * not show that they make calls are left out. The answer to a call states what that call costs
 * further down; added up, this gives the cost of a route over its whole chain.
 *
 * Load pattern: a service deep in the call graph is short of capacity, and the entries must
 * know which client requests need it, and how much of it, before they admit them. A failed call
 * ends the chain of its parent early, so times in which many calls fail teach nothing.
 */
#ifndef SNIPE_CALL_PROFILE_H
#define SNIPE_CALL_PROFILE_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Services that one chain may need; the cheapest ones beyond are left out. */
#define SNIPE_CHAIN_MAX_SERVICES 8

struct snipe_service_cost {
	uint64_t service; /* hash of its name */
	double slot_us;	  /* time for which a request holds slots there, microseconds */
};

struct snipe_chain_cost {
	struct snipe_service_cost services[SNIPE_CHAIN_MAX_SERVICES];
	int count;
};

/* Adds a cost, scaled by a factor, to a sum. */
void snipe_chain_cost_add(struct snipe_chain_cost *sum, const struct snipe_chain_cost *cost,
			  double factor);
/* Returns the slot time at a service in microseconds, 0 if it is not needed. */
double snipe_chain_cost_at(const struct snipe_chain_cost *cost, uint64_t service);
/* Moves a mean towards a sample; weight is that of the sample. An empty mean takes it over. */
void snipe_chain_cost_average(struct snipe_chain_cost *mean,
			      const struct snipe_chain_cost *sample, double weight);

/* Routes that run on one server, and routes that it calls, which a profile tells apart. */
#define SNIPE_CALL_PROFILE_ROUTES 16
#define SNIPE_CALL_PROFILE_CALLEES 16

/* A route that runs at this node. Fields are private. */
struct snipe_call_profile_route {
	uint64_t route; /* hash of its name */
	double run_us;	/* mean time of a run; 0: none ended yet */
	double sample_runs;
	/* Decaying sums over samples: runs, and their products with those of all routes and
	 * with the calls. */
	double runs;
	double products[SNIPE_CALL_PROFILE_ROUTES];
	double call_products[SNIPE_CALL_PROFILE_CALLEES];
	double calls[SNIPE_CALL_PROFILE_CALLEES]; /* estimate for each request */
};

/* A route that the backend server of this node calls. Fields are private. */
struct snipe_call_profile_callee {
	uint64_t route; /* hash of its name */
	double sample_calls;
	double squares;		      /* of the calls, decaying sum over samples */
	struct snipe_chain_cost cost; /* mean of the answers; empty: unknown */
};

/* Fields are private. */
struct snipe_call_profile {
	struct snipe_call_profile_route routes[SNIPE_CALL_PROFILE_ROUTES];
	int route_count;
	struct snipe_call_profile_callee callees[SNIPE_CALL_PROFILE_CALLEES];
	int callee_count;
	double samples; /* decaying number */
	int64_t sample_start_us;
	double recent_calls, recent_failed_calls; /* decaying sums */
	uint64_t samples_used, samples_dropped;	  /* since the start; dropped: calls failed */
};

void snipe_call_profile_init(struct snipe_call_profile *p, int64_t now_us);

/* A request of a route started to run on the backend server. */
void snipe_call_profile_start(struct snipe_call_profile *p, int64_t now_us, uint64_t route);
/* It ended after run_us; is_success is 0 without a response or with a server error. */
void snipe_call_profile_end(struct snipe_call_profile *p, int64_t now_us, uint64_t route,
			    int64_t run_us, int is_success);
/* The backend server made a call on a route. */
void snipe_call_profile_call(struct snipe_call_profile *p, int64_t now_us, uint64_t callee);
/* A call of the backend server ended. cost is what its answer stated, NULL if nothing. */
void snipe_call_profile_answer(struct snipe_call_profile *p, uint64_t callee, int is_success,
			       const struct snipe_chain_cost *cost);

/* Fills the cost of a request of a route that runs at this node, whose server belongs to
 * service. Returns 0, or SNIPE_ERR_NOT_FOUND while it is unknown. */
int snipe_call_profile_cost(const struct snipe_call_profile *p, uint64_t route,
			    uint64_t service, struct snipe_chain_cost *cost);

#ifdef __cplusplus
}
#endif

#endif
