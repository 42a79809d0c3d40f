/*
 * Keeps the last departure of the node's backend server in the store, so that a node process
 * that starts later does not use a departed server because of an old announcement.
 */
#ifndef SNIPE_DEPARTURE_LOG_H
#define SNIPE_DEPARTURE_LOG_H

#include "core/departure.h"
#include "gateway/kept_object.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_departure_log_config {
	struct snipe_kept_object_config object; /* one for each node, named by its id */
	/* Departure that an earlier process of this node recorded. */
	void (*restored)(void *arg, const struct snipe_departure *d);
	/* The store had all departures that earlier processes acknowledged, unless it lost some
	 * with a new era; one in it was restored. Not called if the first read failed: a
	 * departure may then have been acknowledged on copies at other nodes, which have been
	 * killed too. */
	void (*known)(void *arg);
	/* All departures recorded so far are in the store. */
	void (*written)(void *arg);
	void *arg;
};

/* Fields are private. */
struct snipe_departure_log {
	struct snipe_kept_object object; /* must be first: callbacks cast it to the log */
	struct snipe_departure_log_config config;
	int is_restored;		  /* the record of an earlier process was read */
	int has_failed;			  /* the read failed before */
	struct snipe_departure departure; /* of this process, or restored; an empty id: none */
	int64_t departed_us;		  /* when it was recorded or restored */
};

void snipe_departure_log_init(struct snipe_departure_log *l,
			      const struct snipe_departure_log_config *config);
void snipe_departure_log_finish(struct snipe_departure_log *l);

/* Writes a departure, with retries until the store has it. */
void snipe_departure_log_record(struct snipe_departure_log *l, const struct snipe_departure *d);
/* Another node knows of a newer era of the store than this one: checks whether the store still
 * has the departure, if that may matter to a later process. */
void snipe_departure_log_check(struct snipe_departure_log *l);
/* Nonzero until the store has confirmed the write of every recorded departure. */
int snipe_departure_log_is_writing(const struct snipe_departure_log *l);

#ifdef __cplusplus
}
#endif

#endif
