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
 * ends the chain of its parent early, so while many calls fail, requests make fewer calls than
 * they need. How many they need then follows from the parts of the calls and of the runs that
 * fail; if hardly any run succeeds, the result is uncertain. Such a rough cost is used until
 * there is one from other times, and replaces one that is far too low: a node that starts in a
 * shortage has no better one, and without any it would admit all requests, and the calls would
 * never cease to fail.
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
	int is_rough; /* learned while many calls failed, or incomplete */
};

/* Adds a cost, scaled by a factor, to a sum. */
void snipe_chain_cost_add(struct snipe_chain_cost *sum, const struct snipe_chain_cost *cost,
			  double factor);
/* Returns the slot time at a service in microseconds, 0 if it is not needed. */
double snipe_chain_cost_at(const struct snipe_chain_cost *cost, uint64_t service);
/* Whether a cost is over twice another one at a service that takes a tenth of it or more. */
int snipe_chain_cost_exceeds(const struct snipe_chain_cost *cost,
			     const struct snipe_chain_cost *other);
/* Moves a mean towards a sample; weight is that of the sample. An empty mean takes the sample
 * over, and so does a rough one if the sample is not rough. Another mean does so with a rough
 * sample that exceeds it, and is not changed by one that does not. */
void snipe_chain_cost_average(struct snipe_chain_cost *mean,
			      const struct snipe_chain_cost *sample, double weight);

/* Routes that run on one server, and routes that it calls, which a profile tells apart. */
#define SNIPE_CALL_PROFILE_ROUTES 16
#define SNIPE_CALL_PROFILE_CALLEES 16

/* Kinds of times, by the part of the calls that fail. */
enum snipe_call_times {
	SNIPE_CALLS_SUCCEED, /* chains are complete */
	SNIPE_CALLS_FAIL,    /* many chains are cut short */
	SNIPE_CALL_TIMES,
};

/* A route that runs at this node. Fields are private. */
struct snipe_call_profile_route {
	uint64_t route;	      /* hash of its name */
	double run_us;	      /* mean time of a run that succeeded; 0: none yet */
	double failed_run_us; /* mean time of a run that failed; 0: none yet */
	double sample_runs, sample_failed_runs;
	int open_runs; /* started and not ended */
	/* Estimates for each request, by kind of times. */
	double calls[SNIPE_CALL_TIMES][SNIPE_CALL_PROFILE_CALLEES];
};

/* A route that the backend server of this node calls. Fields are private. */
struct snipe_call_profile_callee {
	uint64_t route; /* hash of its name */
	double sample_calls, sample_failed_calls;
	struct snipe_chain_cost cost; /* mean of the answers; empty: unknown */
};

/* Decaying sums over samples, by index of routes and callees. Fields are private. */
struct snipe_call_sums {
	double samples;
	double runs[SNIPE_CALL_PROFILE_ROUTES], failed_runs[SNIPE_CALL_PROFILE_ROUTES];
	double calls[SNIPE_CALL_PROFILE_CALLEES], failed_calls[SNIPE_CALL_PROFILE_CALLEES];
	double products[SNIPE_CALL_PROFILE_ROUTES][SNIPE_CALL_PROFILE_ROUTES]; /* of runs */
	/* Of runs and calls. */
	double call_products[SNIPE_CALL_PROFILE_ROUTES][SNIPE_CALL_PROFILE_CALLEES];
	double squares[SNIPE_CALL_PROFILE_CALLEES]; /* of calls */
};

/* Fields are private. */
struct snipe_call_profile {
	struct snipe_call_profile_route routes[SNIPE_CALL_PROFILE_ROUTES];
	int route_count;
	struct snipe_call_profile_callee callees[SNIPE_CALL_PROFILE_CALLEES];
	int callee_count;
	struct snipe_call_sums sums[SNIPE_CALL_TIMES];
	enum snipe_call_times times;	    /* of the last sample */
	uint64_t samples[SNIPE_CALL_TIMES]; /* since the start */
	int64_t sample_start_us;
	double recent_calls, recent_failed_calls; /* decaying sums */
};

void snipe_call_profile_init(struct snipe_call_profile *p, int64_t now_us);

/* A request of a route started to run on the backend server. */
void snipe_call_profile_start(struct snipe_call_profile *p, int64_t now_us, uint64_t route);
/* It ended after run_us; is_success is 0 without a response or with a server error. */
void snipe_call_profile_end(struct snipe_call_profile *p, int64_t now_us, uint64_t route,
			    int64_t run_us, int is_success);
/* The backend server made a call on a route. */
void snipe_call_profile_call(struct snipe_call_profile *p, int64_t now_us, uint64_t callee);
/* A call of the backend server ended. cost is what its answer stated, which holds for all calls
 * on its route, or NULL. */
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
