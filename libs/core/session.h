/*
 * Messages of a session between two nodes, which outlives its connections.
 *
 * Each side numbers its messages from 1 and keeps them until the other side has taken them in.
 * On a new connection each side states the last number that it has taken in, and the other one
 * sends what follows. A message is taken in once: one that comes again is recognized by its
 * number. The numbers are not sent, since a connection carries messages in order from a number
 * that both sides know.
 *
 * Load pattern: open connections between nodes fall silent or are reset while calls are under
 * way that must not run twice, and new connections work.
 */
#ifndef SNIPE_SESSION_H
#define SNIPE_SESSION_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "base/memory_account.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Most bytes that one side keeps for the other. */
#define SNIPE_SESSION_MAX_BYTES ((size_t)24 * 1024 * 1024)

/* A message that was not acknowledged. */
struct snipe_session_message {
	uint64_t number;
	char *data;
	size_t len;
	uint64_t offset;   /* of its first byte in the output of the connection */
	int is_written;	   /* to the present connection */
	int may_have_left; /* bytes of it may have left on an earlier connection */
};

/* Fields are private except for the account. */
struct snipe_session {
	struct snipe_memory_account *account; /* charged with what is kept; NULL: none */
	uint64_t sent;			      /* number of the last message of this side */
	uint64_t acked;	   /* the other side has taken in all up to this one */
	uint64_t received; /* all up to this one were taken in from the other side */
	uint64_t stated;   /* received, as last stated to the other side */
	size_t unstated_bytes;
	GQueue unacked;		/* of struct snipe_session_message */
	GList *first_unwritten; /* in unacked; NULL: none */
	size_t unacked_bytes;
};

void snipe_session_init(struct snipe_session *s);
void snipe_session_finish(struct snipe_session *s);

/* Adds a copy of an encoded message of this side. Returns 0, or SNIPE_ERR_TOO_LARGE if the
 * other side has not acknowledged SNIPE_SESSION_MAX_BYTES. Its number is then s->sent. */
int snipe_session_push(struct snipe_session *s, const void *data, size_t len);
/* Returns the next message to write to the present connection and counts it as written at this
 * offset of its output, or returns NULL. */
const struct snipe_session_message *snipe_session_next(struct snipe_session *s,
						       uint64_t offset);
/* The present connection ended after this many bytes of its output may have left. */
void snipe_session_connection_lost(struct snipe_session *s, uint64_t left_bytes);
/* Whether the other side may have received a part of a message. */
int snipe_session_may_have_left(const struct snipe_session *s, uint64_t number);

/* The other side has taken in all messages up to number. Returns 0, or SNIPE_ERR_SYNTAX if it
 * was never sent. */
int snipe_session_acknowledge(struct snipe_session *s, uint64_t number);
/* Starts a new connection, on which the other side stated that it has taken in all up to
 * received. All that follow are to be written. Returns 0, or SNIPE_ERR_SYNTAX if the other side
 * has forgotten what it acknowledged or states what was never sent. */
int snipe_session_resume(struct snipe_session *s, uint64_t received);

/* A message of the other side came in, len bytes long. Returns 1 if it is to be taken in, 0 if
 * it came before, SNIPE_ERR_SYNTAX if one before it is missing. */
int snipe_session_accept(struct snipe_session *s, uint64_t number, size_t len);
/* The number s->received is stated to the other side. */
void snipe_session_state_received(struct snipe_session *s);

#ifdef __cplusplus
}
#endif

#endif
