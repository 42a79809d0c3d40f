/*
 * A connected TCP socket on an event loop.
 *
 * Output is handed to the kernel at once, without a turn of the loop, and only what the kernel
 * does not take is kept. Input is passed on as it is received; what the user of the module does
 * not consume is kept, and no more is received beyond a bound.
 */
#ifndef SNIPE_H1_STREAM_H
#define SNIPE_H1_STREAM_H

#include <event2/event_struct.h>
#include <stddef.h>
#include <sys/types.h>

#include "base/buffer.h"
#include "base/memory_account.h"

#ifdef __cplusplus
extern "C" {
#endif

struct event_base;

/* Input that the kernel keeps for a stream that does not receive, at most; for listeners. */
#define SNIPE_H1_STREAM_WINDOW_BYTES (64 * 1024)

struct snipe_h1_stream_ops {
	/* Bytes were received. Returns how many of them were consumed, or -1 if it finished the
	 * stream. */
	ssize_t (*received)(void *arg, const char *data, size_t len);
	/* All output that was kept has been handed to the kernel. May finish the stream. */
	void (*drained)(void *arg);
	/* The peer closed or reset the connection. May finish the stream. */
	void (*ended)(void *arg);
};

/* Fields are private. */
struct snipe_h1_stream {
	const struct snipe_h1_stream_ops *ops;
	void *arg;
	int fd;
	struct event read, write;
	struct snipe_buffer unread; /* received and not consumed */
	struct snipe_buffer unsent;
	size_t sent_len; /* bytes of unsent that the kernel has taken */
	int is_reading;	 /* received is on the stack */
	struct snipe_memory_account *account;
	size_t charged; /* for input that the kernel keeps while nothing is received */
};

/* Takes over the socket, which must be non-blocking, and starts to receive. */
void snipe_h1_stream_init(struct snipe_h1_stream *s, struct event_base *base, int fd,
			  const struct snipe_h1_stream_ops *ops, void *arg);
/* Charges what the stream keeps to an account, which must stay valid. While its limit is
 * exceeded, nothing is received. Call it before the first turn of the loop. */
void snipe_h1_stream_set_account(struct snipe_h1_stream *s,
				 struct snipe_memory_account *account);
/* Closes the socket; unsent output is lost. */
void snipe_h1_stream_finish(struct snipe_h1_stream *s);

/* Sends bytes, or keeps those that the kernel does not take. An error of the connection is
 * reported by ended, later. */
void snipe_h1_stream_send(struct snipe_h1_stream *s, const char *data, size_t len);
/* The same with the content of a buffer, which is empty afterwards; a large one is not copied.
 */
void snipe_h1_stream_send_buffer(struct snipe_h1_stream *s, struct snipe_buffer *buf);
/* Number of bytes that were sent and that the kernel has not taken. */
size_t snipe_h1_stream_unsent(const struct snipe_h1_stream *s);
/* Number of bytes that were sent and that the peer has not acknowledged. Where the kernel does
 * not tell, those that it has taken are left out. Costs a system call. */
size_t snipe_h1_stream_unreceived(const struct snipe_h1_stream *s);
/* Passes on kept input again, because more of it can be consumed now. */
void snipe_h1_stream_resume(struct snipe_h1_stream *s);
/* Closes the sending direction. */
void snipe_h1_stream_shutdown(struct snipe_h1_stream *s);
/* Nonzero if the peer has closed or reset the connection, also if input that it sent before is
 * not received yet. Costs a system call. */
int snipe_h1_stream_is_peer_closed(const struct snipe_h1_stream *s);

#ifdef __cplusplus
}
#endif

#endif
