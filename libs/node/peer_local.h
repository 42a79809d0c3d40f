/*
 * Messages of a node to itself: delivered from the event loop, like those of other nodes.
 */
#ifndef SNIPE_PEER_LOCAL_H
#define SNIPE_PEER_LOCAL_H

#include <glib.h>
#include <stdint.h>

#include "wire/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct event;
struct event_base;

struct snipe_peer_local_ops {
	void (*received)(void *arg, const struct snipe_message *msg, const char *body,
			 size_t body_len);
};

/* Fields are private. */
struct snipe_peer_local {
	const struct snipe_peer_local_ops *ops;
	void *arg;
	struct snipe_memory_account *account; /* charged with the messages */
	GQueue messages;
	struct event *wake;
};

/* The account, which must stay valid, is charged with what was posted and not delivered. */
void snipe_peer_local_init(struct snipe_peer_local *l, struct event_base *base,
			   struct snipe_memory_account *account,
			   const struct snipe_peer_local_ops *ops, void *arg);
void snipe_peer_local_finish(struct snipe_peer_local *l);
/* Copies a message and its body, to be delivered later. */
void snipe_peer_local_post(struct snipe_peer_local *l, uint32_t stream,
			   struct snipe_message *msg, const char *body, size_t body_len);

#ifdef __cplusplus
}
#endif

#endif
