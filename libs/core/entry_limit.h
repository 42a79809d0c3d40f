/*
 * Adaptive limit of the client requests of one route that a node has in flight at a time.
 *
 * An overloaded service deep in the call graph adds its delay to each call that a request makes
 * to it. The limit compares the end-to-end latency of a route with its unloaded latency and
 * allows a share of the time between that and the target latency for waiting. Important routes
 * are allowed a larger share, so that the others are limited first where several use one
 * overloaded service. Requests in flight are limited rather than their rate, because the limit
 * then follows the service at once: a request is admitted when another one ends.
 *
 * Load pattern: for seconds, client requests exceed the capacity of a service deep in the call
 * graph, and it is not known which request needs which service.
 */
#ifndef SNIPE_ENTRY_LIMIT_H
#define SNIPE_ENTRY_LIMIT_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Fields are private. */
struct snipe_entry_limit {
	double limit; /* requests in flight; 0: unlimited, since no congestion was seen yet */
	int in_flight;
	double unloaded_latency_us; /* latency without load; 0: unknown */
	double latency_us;	    /* mean of the last window; 0: none yet */
	double window_sum_us;
	int window_count;
	int window_max_in_flight;
	int64_t window_start_us;
	double admit_credit; /* accumulated fractions of a request */
};

void snipe_entry_limit_init(struct snipe_entry_limit *l, int64_t now_us);

/* Returns 1 if a request is admitted, else 0. The end of an admitted request must be passed to
 * one of the functions below. */
int snipe_entry_limit_admit(struct snipe_entry_limit *l);

/*
 * Records the end of an admitted request after latency_us. is_failed is 1 without a response in
 * time or with a server error; target_us is the time within which a response is of full use;
 * priority 0 is the most important.
 */
void snipe_entry_limit_record(struct snipe_entry_limit *l, int64_t now_us, int64_t latency_us,
			      int is_failed, int64_t target_us, int priority);
/* Records the end of an admitted request whose latency says nothing about load. */
void snipe_entry_limit_cancel(struct snipe_entry_limit *l);

#ifdef __cplusplus
}
#endif

#endif
