/*
 * Chooses a backend server for a call, by outcomes of earlier calls and calls in flight.
 *
 * Each node has one balancer per pool. A server is identified by the handle that
 * snipe_balancer_add returns; it is valid until snipe_balancer_remove and is not reused, so
 * that a late snipe_balancer_record is ignored.
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
	SNIPE_OUTCOME_REJECTED, /* rejected for load; did not run */
	SNIPE_OUTCOME_FAILED,	/* connection failed, server crashed or response lost */
	SNIPE_OUTCOME_TIMEOUT,
	SNIPE_OUTCOME_CANCELLED, /* says nothing about the server */
};

/* Load of a server, sent with each response. */
struct snipe_load_report {
	int limit;
	int running;
	int waiting;
	int floor; /* lowest importance that it would queue; see snipe_admission_floor */
};

struct snipe_balancer_server;

/* Fields are private. */
struct snipe_balancer {
	struct snipe_balancer_server *servers;
	int *candidates; /* indexes; scratch space of snipe_balancer_choose */
	int size;
	unsigned generation;
	int failure_domain;  /* of this node; ids are assigned by the user of the module */
	int max_connections; /* limit of calls in flight to one server, from the pools table */
};

void snipe_balancer_init(struct snipe_balancer *b, int failure_domain, int max_connections);
void snipe_balancer_finish(struct snipe_balancer *b);
void snipe_balancer_set_connections(struct snipe_balancer *b, int max_connections);

/* Adds a ready server; its share of calls ramps up over 10 s if is_cold. Returns its handle, or
 * SNIPE_ERR_FULL if the balancer holds 65536 servers. */
int snipe_balancer_add(struct snipe_balancer *b, int64_t now_us, int failure_domain,
		       int is_cold);
void snipe_balancer_remove(struct snipe_balancer *b, int server);

/* An unusable server (draining, starting or dead) gets no new calls. */
void snipe_balancer_set_usable(struct snipe_balancer *b, int server, int is_usable);

/*
 * Chooses a server and counts a call in flight to it. exclude lists servers that this call has
 * already tried. Returns a handle, SNIPE_ERR_NOT_FOUND if no server outside exclude is usable
 * and not ejected, or SNIPE_ERR_FULL if every such server has no free connection or would
 * reject this importance by its load report (1 such call in 20 is let through as a probe). For
 * each level of importance below critical, a twentieth of the connections is reserved for more
 * important calls. Load reports older than 1 s are not used.
 */
int snipe_balancer_choose(struct snipe_balancer *b, int64_t now_us, GRand *rng,
			  enum snipe_importance importance, const int *exclude,
			  int exclude_count);

/*
 * Records the end of a call that snipe_balancer_choose counted. latency_us is the time since
 * that choice. report may be NULL.
 */
void snipe_balancer_record(struct snipe_balancer *b, int server, int64_t now_us,
			   int64_t latency_us, enum snipe_server_outcome outcome,
			   const struct snipe_load_report *report);

/* State of one server, for the state dump. Returns 0 or SNIPE_ERR_NOT_FOUND. */
struct snipe_balancer_view {
	int in_flight;
	int64_t latency_us; /* estimate; 0: none yet */
	int is_usable;
	int is_ejected;
	struct snipe_load_report report;
};
int snipe_balancer_get_view(const struct snipe_balancer *b, int server, int64_t now_us,
			    struct snipe_balancer_view *view);

#ifdef __cplusplus
}
#endif

#endif
