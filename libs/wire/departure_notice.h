/*
 * Datagrams by which nodes exchange copies of departures (core/departure_copies).
 */
#ifndef SNIPE_DEPARTURE_NOTICE_H
#define SNIPE_DEPARTURE_NOTICE_H

#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "core/departure.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_departure_notice {
	int is_receipt;		       /* the sender keeps or knows the departure */
	char sender[SNIPE_NAME_SIZE];  /* node id */
	uint64_t sender_process;       /* as in its reports */
	char node_id[SNIPE_NAME_SIZE]; /* the node beside the server that departed */
	struct snipe_departure departure;
};

void snipe_departure_notice_encode(const struct snipe_departure_notice *n,
				   struct snipe_buffer *out);
/* Returns 0, or SNIPE_ERR_SYNTAX for any other datagram. */
int snipe_departure_notice_decode(const void *data, size_t len,
				  struct snipe_departure_notice *n);

#ifdef __cplusplus
}
#endif

#endif
