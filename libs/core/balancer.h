/*
 * Choice of a backend server for one call, from outcomes and work in flight.
 *
 * One balancer for each pool at each node. Servers are named by the handle that
 * snipe_balancer_add returns; a handle stays valid until snipe_balancer_remove and is not given
 * out again, so that a late snipe_balancer_record is ignored.
 * docs/decisions/choice-of-server.md states the reasons for the rules.
 */
#ifndef SNIPE_BALANCER_H
#define SNIPE_BALANCER_H

#include <glib.h>
#include <stdint.h>

#include "config/tables.h"

#ifdef __cplusplus
extern "C" {
#endif

enum snipe_server_outcome {
	SNIPE_OUTCOME_OK,
	SNIPE_OUTCOME_REFUSED, /* refused for load, certainly not run */
	SNIPE_OUTCOME_FAILED,  /* connection failed, server died, answer lost */
	SNIPE_OUTCOME_TIMEOUT,
	SNIPE_OUTCOME_CANCELLED, /* says nothing about the server */
};

/* Load report that comes with each answer. */
struct snipe_load_report {
	int limit;
	int running;
	int waiting;
	int floor; /* lowest importance that would be queued; see snipe_admission_floor */
};

struct snipe_balancer_server;

/* Fields are private. */
struct snipe_balancer {
	struct snipe_balancer_server *servers;
	int *candidates; /* scratch space of snipe_balancer_choose */
	int size;
	unsigned generation;
	int failure_domain; /* caller's own, as a small id chosen by the owner */
	int connections;    /* upper bound of calls in flight to one server, from the table */
};

void snipe_balancer_init(struct snipe_balancer *b, int failure_domain, int connections);
void snipe_balancer_finish(struct snipe_balancer *b);
void snipe_balancer_set_connections(struct snipe_balancer *b, int connections);

/* Adds a ready server. It ramps up over 10 s if is_cold. Returns its handle. */
int snipe_balancer_add(struct snipe_balancer *b, int64_t now_us, int failure_domain,
		       int is_cold);
void snipe_balancer_remove(struct snipe_balancer *b, int server);

/* A draining, starting or dead server gets no new calls. */
void snipe_balancer_set_usable(struct snipe_balancer *b, int server, int usable);

/*
 * Chooses a server and counts a call in flight on it. exclude lists servers that this call has
 * already tried. Returns a handle, SNIPE_ERR_NOT_FOUND if no server outside exclude is usable
 * and not ejected, or SNIPE_ERR_FULL if every such server refuses this importance (early
 * refusal, but for 1 call in 20 as a probe) or has no connection left. The last twentieths of
 * the connections are kept for more important calls. Load reports older than 1 s are not used.
 */
int snipe_balancer_choose(struct snipe_balancer *b, int64_t now_us, GRand *rng,
			  enum snipe_importance importance, const int *exclude,
			  int exclude_count);

/*
 * Records the end of a call that snipe_balancer_choose counted. latency_us is the time since
 * the call was chosen. report may be NULL.
 */
void snipe_balancer_record(struct snipe_balancer *b, int server, int64_t now_us,
			   int64_t latency_us, enum snipe_server_outcome outcome,
			   const struct snipe_load_report *report);

/* State of one server, for the state dump. Returns 0 or SNIPE_ERR_NOT_FOUND. */
struct snipe_balancer_view {
	int in_flight;
	int64_t latency_us;
	int usable;
	int ejected;
	struct snipe_load_report report;
};
int snipe_balancer_get_view(const struct snipe_balancer *b, int server, int64_t now_us,
			    struct snipe_balancer_view *view);

#ifdef __cplusplus
}
#endif

#endif
