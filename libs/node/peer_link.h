/*
 * A link carries the calls of one node to another, and their replies, over a session that
 * outlives its connections (core/session, core/link_watch).
 *
 * The node that calls opens the link and its connections. If a connection ends or seems silent,
 * the next one continues the session: messages are neither lost nor taken in twice. The session
 * ends with the peer's process, or when the peer cannot be reached by new connections either. A
 * peer of an earlier build knows no sessions: its link ends with its connection.
 */
#ifndef SNIPE_PEER_LINK_H
#define SNIPE_PEER_LINK_H

#include <glib.h>
#include <stdint.h>

#include "core/link_watch.h"
#include "core/session.h"
#include "node/peer_conn.h"

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_link;

struct snipe_link_ops {
	/* A message that is no reply came in, with its whole body. */
	void (*received)(void *arg, struct snipe_link *link, const struct snipe_message *msg,
			 const char *body, size_t body_len);
	/* A request ended with its reply or with an error, see snipe_peer_reply_cb. The link no
	 * longer knows it. */
	void (*request_ended)(void *arg, uint64_t request, int err,
			      const struct snipe_message *reply, const char *body,
			      size_t body_len);
	/* A silent connection was replaced: others may have fallen silent with it. */
	void (*found_silent)(void *arg, struct snipe_link *link);
	/* The link ends: it must not be used any more. Its requests end after the call. */
	void (*ended)(void *arg, struct snipe_link *link);
};

/* Counters of all links of a node. */
struct snipe_link_counts {
	uint64_t suspected; /* connections that seemed silent */
	uint64_t resumed;   /* sessions that continued on a new connection */
	uint64_t resent;    /* messages that were written again */
	uint64_t ended;	    /* sessions that ended with open requests */
};

/* What all links of a node share; must stay valid. */
struct snipe_link_config {
	struct event_base *base;
	struct snipe_conn_identity identity;
	const struct snipe_link_ops *ops;
	void *arg;
	struct snipe_memory_account *account; /* of the process; NULL: none */
	struct snipe_link_counts counts;
	struct snipe_buffer scratch;
};

/* Fields are private but for those named readable. */
struct snipe_link {
	struct snipe_link_config *config;
	uint64_t handle;	       /* for the user */
	int is_outgoing;	       /* readable */
	struct snipe_address address;  /* readable; of the peer's listener, outgoing only */
	char node_id[SNIPE_NAME_SIZE]; /* readable; of the peer, empty before its HELLO */
	uint64_t peer_process;	       /* 0 before its HELLO */
	uint64_t session_id;	       /* readable; 0: the peer knows no sessions */
	struct snipe_memory_account account; /* of all that is held for the peer */
	int64_t progress_us; /* when the peer last took in messages, or there were none */
	struct snipe_session session;
	struct snipe_link_watch watch;
	struct snipe_conn *conn; /* the present connection; NULL: none */
	struct snipe_conn *next; /* one that may replace it; NULL: none */
	int has_connected;	 /* bytes may have reached the peer */
	int is_suspected;	 /* the present connection seems silent */
	int is_full;		 /* the peer does not acknowledge: to be ended */
	int is_over;		 /* the peer gave the session up: to be ended */
	GHashTable *requests;	 /* stream -> request that waits for its reply */
	GHashTable *open_calls;	 /* streams of received CALLs that were not answered */
	GHashTable *assemblies;	 /* stream -> message whose body is not complete */
	uint32_t next_stream;
	int64_t used_us;
	int64_t accepted_us; /* when a second connection was replaced that was accepted but not
				greeted on; 0: never */
	int64_t stated_us;   /* when the peer was last told what was taken in */
	int64_t lost_us;     /* incoming links: when the connection ended; 0: it is open */
};

/* A link whose streams are nearly used up; the next request needs a new one. */
#define SNIPE_LINK_STREAM_MAX 0x7fffffffu

/* Opens a link to the listener of a peer. */
struct snipe_link *snipe_link_open(struct snipe_link_config *config,
				   const struct snipe_address *to);
/* Takes over an accepted connection whose HELLO names a session that is not known here, or
 * none. Returns NULL if the peer wants to continue a session that is gone: it was told so. */
struct snipe_link *snipe_link_accept(struct snipe_link_config *config, struct snipe_conn *c,
				     const struct snipe_msg_hello *hello);
/* Continues a received session on another accepted connection. Returns 0 or a negative error:
 * the connection is to be closed. */
int snipe_link_continue(struct snipe_link *link, struct snipe_conn *c,
			const struct snipe_msg_hello *hello);

/* Ends the link: its requests fail, its received calls are cancelled. */
void snipe_link_end(struct snipe_link *link, const char *cause);

/* Sends a request. Returns its stream; its end is told to the user, never from inside. */
uint32_t snipe_link_request(struct snipe_link *link, uint64_t request,
			    struct snipe_message *msg, const char *body, size_t body_len);
/* Forgets a request; a call is cancelled at the peer if is_cancelled. */
void snipe_link_forget(struct snipe_link *link, uint32_t stream, int is_cancelled);
/* Sends a message without a reply, or, with the stream of a received call, its reply. */
void snipe_link_send(struct snipe_link *link, struct snipe_message *msg, const char *body,
		     size_t body_len);

/* What the link costs that is held for the peer, see snipe_memory_cost. */
double snipe_link_cost(const struct snipe_link *link, int64_t now_us);

/* Checks the connection soon, also if no answer is awaited. */
void snipe_link_demand_check(struct snipe_link *link, int64_t now_us);
/* Does what is due; call it every few tens of milliseconds. The link may end. */
void snipe_link_tick(struct snipe_link *link, int64_t now_us);

/* For the operations of an accepted connection that a link takes over. */
extern const struct snipe_conn_ops snipe_link_conn_ops;

#ifdef __cplusplus
}
#endif

#endif
