/*
 * TCP framing: a 4-byte big-endian length, then the content.
 */
#ifndef SNIPE_FRAME_H
#define SNIPE_FRAME_H

#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_FRAME_HEADER_BYTES 4
#define SNIPE_FRAME_MAX_BYTES (1024 * 1024 + 64 * 1024)

/*
 * Parses the frame at the start of a byte stream. Returns the length of its content,
 * SNIPE_ERR_TRUNCATED if the frame is incomplete, or SNIPE_ERR_TOO_LARGE if the encoded length
 * is 0 or above SNIPE_FRAME_MAX_BYTES; the connection must then be closed.
 */
int snipe_frame_peek(const void *data, size_t len);

void snipe_frame_write_length(uint8_t out[SNIPE_FRAME_HEADER_BYTES], uint32_t len);

#ifdef __cplusplus
}
#endif

#endif
