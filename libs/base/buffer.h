/*
 * A byte buffer that grows as needed.
 */
#ifndef SNIPE_BUFFER_H
#define SNIPE_BUFFER_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_memory_account;

struct snipe_buffer {
	char *data; /* NULL while size is 0 */
	size_t len;
	size_t size;
	struct snipe_memory_account *account; /* charged with the size; NULL: none */
};

/* Without an account. */
void snipe_buffer_init(struct snipe_buffer *buf);
/* The account must stay valid until the buffer is finished. */
void snipe_buffer_init_charged(struct snipe_buffer *buf, struct snipe_memory_account *account);
/* Frees the memory; the buffer is empty and may be used again. */
void snipe_buffer_finish(struct snipe_buffer *buf);

/* Removes the content and keeps the memory. */
void snipe_buffer_clear(struct snipe_buffer *buf);

/* Allocates what this many more bytes need, exactly; for when the final length is known. */
void snipe_buffer_reserve(struct snipe_buffer *buf, size_t len);
/* Moves the memory of a buffer into another one, whose own is freed; from is empty then. */
void snipe_buffer_move(struct snipe_buffer *from, struct snipe_buffer *to);
/* Appends; aborts when memory is exhausted, as GLib does. */
void snipe_buffer_append(struct snipe_buffer *buf, const void *data, size_t len);
void snipe_buffer_printf(struct snipe_buffer *buf, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Returns the content as a string, valid until the buffer changes; the terminating null is not
 * part of len. */
const char *snipe_buffer_str(struct snipe_buffer *buf);

#ifdef __cplusplus
}
#endif

#endif
