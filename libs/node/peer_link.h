/*
 * One TCP link between two nodes: framing, HELLO, PING and the bodies that come in several
 * frames.
 */
#ifndef SNIPE_PEER_LINK_H
#define SNIPE_PEER_LINK_H

#include <glib.h>
#include <stdint.h>

#include "node/peer_task.h"

#ifdef __cplusplus
extern "C" {
#endif

struct bufferevent;

#define SNIPE_LINK_PING_AFTER_US 250000
#define SNIPE_LINK_SILENT_US 750000
#define SNIPE_LINK_IDLE_US 60000000
#define SNIPE_LINK_STREAM_MAX 0x7fffffffu

/* An open request; owned by the peer task's table, listed by the link that carries it. */
struct snipe_peer_request_state {
	struct snipe_peer_task *task;
	uint64_t id;
	uint64_t
		link; /* handle; SNIPE_LINK_LOCAL for the node itself; 0 if the link was lost */
	uint32_t stream;
	int is_call;
	uint64_t start_offset; /* position of its first byte in the link's output */
	int lost;	       /* error for the callback once the link is lost */
	struct event *timeout;
	snipe_peer_reply_cb cb;
	void *arg;
};

#define SNIPE_LINK_LOCAL UINT64_MAX

struct snipe_link {
	struct snipe_peer_task *task;
	struct bufferevent *bev;
	uint64_t handle;	      /* generation << 32 | index */
	struct snipe_address address; /* of the peer's listener, outgoing links only */
	int is_outgoing;
	int is_connected;
	int has_hello; /* the peer's HELLO was verified */
	char node_id[SNIPE_NAME_SIZE];
	GHashTable *requests;	/* stream -> request that waits for a reply on this link */
	GHashTable *open_calls; /* streams of CALLs from the peer that were not answered */
	GHashTable *assemblies; /* stream -> message whose body is not complete */
	uint32_t next_stream;
	uint64_t queued_bytes; /* ever written to the output buffer */
	int64_t heard_us;      /* last bytes, or when the first outstanding request was sent */
	int64_t ping_us;
	int64_t used_us;
};

struct snipe_link *snipe_link_connect(struct snipe_peer_task *task,
				      const struct snipe_address *to);
struct snipe_link *snipe_link_accept(struct snipe_peer_task *task, int fd);

/* Closes the link: its requests fail, its received calls are cancelled. */
void snipe_link_close(struct snipe_link *link, const char *cause);

/* Writes a message; body, if longer than one chunk, follows in BODY frames. */
void snipe_link_write(struct snipe_link *link, struct snipe_message *msg, const char *body,
		      size_t body_len);

/* Sends PING or closes the link if the peer is silent while requests are outstanding, and
 * closes an outgoing link without use. Returns nonzero if the link was closed. */
int snipe_link_tick(struct snipe_link *link, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
