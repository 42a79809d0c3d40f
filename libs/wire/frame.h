/*
 * TCP framing: a big-endian length of 4 bytes, then the content.
 */
#ifndef SNIPE_FRAME_H
#define SNIPE_FRAME_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_FRAME_HEADER 4
#define SNIPE_FRAME_MAX (1024 * 1024 + 64 * 1024)

/*
 * Looks at the start of a byte stream. Returns the length of the content if a whole frame is
 * there, SNIPE_ERR_TRUNCATED if more bytes are needed, or SNIPE_ERR_TOO_LARGE if the announced
 * length is 0 or over SNIPE_FRAME_MAX, after which the connection must be closed.
 */
int snipe_frame_peek(const void *data, size_t len);

void snipe_frame_write_length(uint8_t out[SNIPE_FRAME_HEADER], uint32_t len);

#ifdef __cplusplus
}
#endif

#endif
