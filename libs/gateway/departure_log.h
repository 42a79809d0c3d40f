/*
 * Keeps the last departure of the node's backend server in the store, so that a node process
 * that starts later does not take an old announcement for a server that serves.
 */
#ifndef SNIPE_DEPARTURE_LOG_H
#define SNIPE_DEPARTURE_LOG_H

#include "core/departure.h"
#include "gateway/kept_object.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_departure_log_config {
	struct snipe_kept_object_config object; /* one for each node, by its name */
	/* An earlier process of this node recorded this departure. */
	void (*recalled)(void *arg, const struct snipe_departure *d);
	/* Everything recorded so far is in the store. */
	void (*written)(void *arg);
	void *arg;
};

/* Fields are private. */
struct snipe_departure_log {
	struct snipe_kept_object object; /* first member */
	struct snipe_departure_log_config config;
	int is_recalled; /* what an earlier process recorded was read */
	struct snipe_departure departure;
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
