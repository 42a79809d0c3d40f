/*
 * The project's own HTTP form of the object API (docs/design.md, section 4). Each operation
 * uses a connection of its own, so that a connection that stopped carrying data delays one
 * operation only, and a write is never sent on a connection that the platform is about to
 * close.
 */
#ifndef SNIPE_HTTP_STORE_H
#define SNIPE_HTTP_STORE_H

#include "platform/store_client.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The store is c->store; its operations return SNIPE_ERR_INVALID for a list, which this form
 * has not, and for a kind or name that is no word of a-z, 0-9, '-' and '.'. */
void snipe_http_store_init(struct snipe_store_client *c, struct event_base *base,
			   const struct snipe_address *address);

#ifdef __cplusplus
}
#endif

#endif
