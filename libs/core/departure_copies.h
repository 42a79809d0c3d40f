/*
 * Copies of departures at other nodes, for the time in which the store has no record of them.
 *
 * A node offers its server's departure to the other nodes; each one that keeps it sends a
 * receipt. The next process of that node gets the departure back from any of them.
 */
#ifndef SNIPE_DEPARTURE_COPIES_H
#define SNIPE_DEPARTURE_COPIES_H

#include <glib.h>
#include <stdint.h>

#include "core/departure.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Fields are private. */
struct snipe_departure_copies {
	struct snipe_departure own; /* of this node's server; an empty id: none */
	GHashTable *holders;	    /* node id -> process that sent a receipt for own */
	GHashTable *kept;	    /* node id -> departure of that node's server */
};

void snipe_departure_copies_init(struct snipe_departure_copies *c);
void snipe_departure_copies_finish(struct snipe_departure_copies *c);

/* Sets the departure that this node offers; receipts for an earlier one no longer count. */
void snipe_departure_copies_offer(struct snipe_departure_copies *c,
				  const struct snipe_departure *d);
/* Records the receipt of a node's process. Ignored if it is not for the offered departure. */
void snipe_departure_copies_add_receipt(struct snipe_departure_copies *c, const char *node_id,
					uint64_t process, const struct snipe_departure *d);
/* Whether this process of the node has sent a receipt. Forgets that of an earlier process,
 * whose copy is lost. */
int snipe_departure_copies_has_receipt(struct snipe_departure_copies *c, const char *node_id,
				       uint64_t process);
/* Number of nodes with a copy of the offered departure. */
int snipe_departure_copies_count(const struct snipe_departure_copies *c);
/* Whether so many of the other nodes have a copy that the departure may be acknowledged: at
 * least half of them, and one. */
int snipe_departure_copies_are_enough(const struct snipe_departure_copies *c, int other_nodes);

/* Keeps the departure that a process of another node offers for SNIPE_DEPARTURE_VALID_US.
 * Returns nonzero if it is kept now, and 0 if a later one of that node is. */
int snipe_departure_copies_keep(struct snipe_departure_copies *c, int64_t now_us,
				const char *node_id, uint64_t process,
				const struct snipe_departure *d);
/* Returns the departure that this process of the node must be told, because an earlier process
 * offered it; NULL if there is none. */
const struct snipe_departure *
snipe_departure_copies_unknown_to(const struct snipe_departure_copies *c, int64_t now_us,
				  const char *node_id, uint64_t process);
/* This process of the node knows the departure now. */
void snipe_departure_copies_set_known(struct snipe_departure_copies *c, const char *node_id,
				      uint64_t process, const struct snipe_departure *d);

#ifdef __cplusplus
}
#endif

#endif
