/*
 * Datagrams by which a node asks another one how fresh its tables are. The asking node measures
 * the age from the time it sent the question, so that a delayed answer never looks fresh.
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
	int64_t age_us; /* time since a read of the store confirmed them as the newest;
			   negative: never */
};

void snipe_confirm_encode(const struct snipe_confirm *c, struct snipe_buffer *out);
/* Returns 0, or SNIPE_ERR_SYNTAX for any other datagram. */
int snipe_confirm_decode(const void *data, size_t len, struct snipe_confirm *c);

#ifdef __cplusplus
}
#endif

#endif
