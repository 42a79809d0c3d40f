/*
 * Client requests of one route that a node has in flight at a time.
 *
 * A route whose calls run into an overloaded service further down is slowed by every call in
 * its chain. The limit compares the latency of the whole chain with the latency without load,
 * and allows a part of the time left until the target to be spent waiting. Important routes are
 * allowed more of it: where several share an overloaded service, the others make room. Bounding
 * the requests in flight rather than their rate makes the node follow the service at once: a
 * request is let in when another one ends.
 *
 * Load pattern: client requests for more work than a service deep in the call graph can do,
 * for seconds, with no way to know which request needs which service.
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
	double limit; /* requests in flight; 0: no congestion was seen yet */
	int in_flight;
	double base_us;	   /* latency without load; 0: not known */
	double latency_us; /* mean of the last window; 0: none */
	double window_sum_us;
	int window_count;
	int window_peak; /* most requests in flight */
	int64_t window_start_us;
	double credit; /* for the fraction of the limit */
};

void snipe_entry_limit_init(struct snipe_entry_limit *l, int64_t now_us);

/* Returns 1 if a request is let in; it is then ended by one
 * of the functions below. */
int snipe_entry_limit_admit(struct snipe_entry_limit *l);

/*
 * An admitted request ended after latency_us; failed tells that it got no response in time.
 * target_us is the time within which a response is of full use; priority 0 is the most
 * important.
 */
void snipe_entry_limit_record(struct snipe_entry_limit *l, int64_t now_us, int64_t latency_us,
			      int failed, int64_t target_us, int priority);
/* An admitted request ended in a way that says nothing about load. */
void snipe_entry_limit_cancel(struct snipe_entry_limit *l);

#ifdef __cplusplus
}
#endif

#endif
