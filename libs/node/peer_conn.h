/*
 * One TCP connection between two nodes: framing and greeting.
 */
#ifndef SNIPE_PEER_CONN_H
#define SNIPE_PEER_CONN_H

#include <stdint.h>

#include "base/address.h"
#include "wire/message.h"

#ifdef __cplusplus
extern "C" {
#endif

struct bufferevent;
struct event_base;
struct snipe_conn;

/* Who the node is in its greetings; must stay valid. */
struct snipe_conn_identity {
	char node_id[SNIPE_NAME_SIZE];
	uint64_t process;
	struct snipe_address address;
	const char *secret;
};

struct snipe_conn_ops {
	/* The peer sent a genuine HELLO. A negative result closes the connection. */
	int (*greeted)(void *arg, struct snipe_conn *c, const struct snipe_msg_hello *hello);
	/* Another message came in; payload is the content of its frame. A negative result
	 * closes the connection. */
	int (*received)(void *arg, struct snipe_conn *c, const struct snipe_message *msg,
			const void *payload, size_t len);
	/* There is room for more output. May be NULL. */
	void (*drained)(void *arg, struct snipe_conn *c);
	/* The connection ended and is freed after the call. was_refused: the peer's kernel
	 * answered that nobody listens. */
	void (*closed)(void *arg, struct snipe_conn *c, const char *cause, int was_refused);
};

/* Fields are private but for those named below. */
struct snipe_conn {
	const struct snipe_conn_ops *ops;
	void *arg;
	const struct snipe_conn_identity *identity;
	struct bufferevent *bev;
	struct snipe_memory_account *account;
	size_t charged; /* for bytes in transit */
	struct snipe_buffer scratch;
	int is_connected; /* readable */
	int has_greeted;  /* readable: the peer's HELLO was verified */
	int is_reading;	  /* inside a callback: freed when that returns */
	int is_closed;
	int is_starting, has_failed; /* while it is opened */
	uint64_t queued_bytes;	     /* readable: ever written */
	uint64_t next_number;	     /* for the user: of the next message that comes in */
	uint64_t stated;	     /* for the user: what its own HELLO stated as taken in */
	int64_t opened_us;	     /* readable */
};

struct snipe_conn *snipe_conn_connect(struct event_base *base,
				      const struct snipe_conn_identity *identity,
				      const struct snipe_address *to,
				      const struct snipe_conn_ops *ops, void *arg);
struct snipe_conn *snipe_conn_accept(struct event_base *base,
				     const struct snipe_conn_identity *identity, int fd,
				     const struct snipe_conn_ops *ops, void *arg);
/* Charges bytes in transit to an account, which must stay valid; NULL: to none. */
void snipe_conn_set_account(struct snipe_conn *c, struct snipe_memory_account *account);
/* Whether more is to be written only after drained was called. */
int snipe_conn_is_full(const struct snipe_conn *c);
/* Ends a connection without calling closed. NULL is ignored. */
void snipe_conn_close(struct snipe_conn *c);
/* Sends HELLO. session, received and is_known are as in struct snipe_msg_hello. */
void snipe_conn_greet(struct snipe_conn *c, uint64_t session, uint64_t received, int is_known);
/* Writes an encoded frame, or a message without a body. */
void snipe_conn_write(struct snipe_conn *c, const void *frame, size_t len);
void snipe_conn_write_message(struct snipe_conn *c, const struct snipe_message *msg);
/* Bytes that the kernel took, which may have reached the peer. */
uint64_t snipe_conn_left_bytes(const struct snipe_conn *c);

#ifdef __cplusplus
}
#endif

#endif
