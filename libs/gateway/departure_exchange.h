/*
 * Exchange of departures with the other nodes while the store does not answer.
 *
 * A departure that is not stored soon is offered to all reachable nodes, and again to those
 * without a copy each time they report. A node that restarted gets its server's departure from
 * each node that has a copy, in answer to its first reports.
 */
#ifndef SNIPE_DEPARTURE_EXCHANGE_H
#define SNIPE_DEPARTURE_EXCHANGE_H

#include <event2/event_struct.h>

#include "core/departure_copies.h"
#include "gateway/directory.h"
#include "wire/departure_notice.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_departure_exchange_config {
	struct event_base *base;
	struct snipe_directory *directory; /* calls the functions below */
	const char *node_id;
	uint64_t process;
	/* Enough other nodes have a copy of the departure. */
	void (*copied)(void *arg);
	/* Another node has a departure that an earlier process of this node offered. */
	void (*returned)(void *arg, const struct snipe_departure *d);
	void *arg;
};

/* Fields are private. */
struct snipe_departure_exchange {
	struct snipe_departure_exchange_config config;
	struct snipe_departure_copies copies;
	struct event offer_timer;
	int is_offering;
	struct snipe_buffer datagram;
};

void snipe_departure_exchange_init(struct snipe_departure_exchange *x,
				   const struct snipe_departure_exchange_config *config);
void snipe_departure_exchange_finish(struct snipe_departure_exchange *x);

/* The store is about to get this departure. Unless snipe_departure_exchange_stored follows
 * soon, it is offered to the other nodes. */
void snipe_departure_exchange_begin(struct snipe_departure_exchange *x,
				    const struct snipe_departure *d);
void snipe_departure_exchange_stored(struct snipe_departure_exchange *x);
/* Nonzero if enough other nodes have a copy of the last departure. */
int snipe_departure_exchange_is_copied(const struct snipe_departure_exchange *x);
/* Number of nodes with such a copy. */
int snipe_departure_exchange_copy_count(const struct snipe_departure_exchange *x);

/* To be called for each notice and each report of another node. */
void snipe_departure_exchange_on_notice(struct snipe_departure_exchange *x,
					const struct snipe_address *from,
					const struct snipe_departure_notice *n);
void snipe_departure_exchange_on_report(struct snipe_departure_exchange *x, int64_t now_us,
					const struct snipe_node_report *r);

#ifdef __cplusplus
}
#endif

#endif
