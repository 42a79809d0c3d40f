/*
 * Keeps the last departure of the node's backend server in the store, so that a node process
 * that starts later does not take an old announcement for a server that serves.
 */
#ifndef SNIPE_DEPARTURE_LOG_H
#define SNIPE_DEPARTURE_LOG_H

#include <event2/event_struct.h>
#include <glib.h>

#include "core/departure.h"
#include "platform/object_store.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_departure_log_config {
	struct event_base *base;
	struct snipe_object_store *store;
	const char *kind; /* of the objects, one for each node */
	const char *node_id;
	int is_first_start; /* the fleet has just been set up: there is nothing to read */
	/* An earlier process of this node recorded this departure. */
	void (*recalled)(void *arg, const struct snipe_departure *d);
	/* Everything recorded so far is in the store. */
	void (*written)(void *arg);
	void *arg;
};

/* Fields are private. */
struct snipe_departure_log {
	struct snipe_departure_log_config config;
	GRand *rng;
	struct event retry;
	int handle;	  /* open call; 0: none */
	uint64_t version; /* of the object; 0: there is none */
	int is_version_known;
	int is_recalled; /* what an earlier process recorded was read */
	struct snipe_departure departure;
	unsigned recorded; /* departures recorded, and of these the last one that is written */
	unsigned sent, stored;
	int failures; /* in a row */
};

void snipe_departure_log_init(struct snipe_departure_log *l,
			      const struct snipe_departure_log_config *config);
void snipe_departure_log_finish(struct snipe_departure_log *l);

/* Writes a departure; tries until the store has it. */
void snipe_departure_log_record(struct snipe_departure_log *l, const struct snipe_departure *d);
/* Nonzero while a recorded departure may not be in the store. */
int snipe_departure_log_is_writing(const struct snipe_departure_log *l);

#ifdef __cplusplus
}
#endif

#endif
