/*
 * A byte buffer that grows as needed.
 */
#ifndef SNIPE_BUFFER_H
#define SNIPE_BUFFER_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

struct snipe_buffer {
	char *data; /* NULL while size is 0 */
	size_t len;
	size_t size;
};

void snipe_buffer_init(struct snipe_buffer *buf);
void snipe_buffer_finish(struct snipe_buffer *buf);

/* Removes the content and keeps the memory. */
void snipe_buffer_clear(struct snipe_buffer *buf);

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
