/*
 * Datagrams by which a node learns from another one how fresh its tables are. The node that
 * asks counts the age from the time when it asked, so a late answer never looks fresh.
 */
#ifndef SNIPE_CONFIRM_H
#define SNIPE_CONFIRM_H

#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_confirm {
	int is_answer;
	uint64_t nonce;		  /* of the question */
	uint64_t routing_version; /* of the tables that the answering node holds; 0: none */
	int64_t age_us; /* time since the read of the store that showed them to be the newest;
			   negative: never */
};

void snipe_confirm_encode(const struct snipe_confirm *c, struct snipe_buffer *out);
/* Returns 0, or SNIPE_ERR_SYNTAX for any other datagram. */
int snipe_confirm_decode(const void *data, size_t len, struct snipe_confirm *c);

#ifdef __cplusplus
}
#endif

#endif
