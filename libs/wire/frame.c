#include "wire/frame.h"

#include "base/error.h"

int snipe_frame_peek(const void *data, size_t len)
{
	const uint8_t *p = data;
	uint32_t size;

	if (len < SNIPE_FRAME_HEADER_BYTES)
		return SNIPE_ERR_TRUNCATED;
	size = (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8 | p[3];
	if (size == 0 || size > SNIPE_FRAME_MAX_BYTES)
		return SNIPE_ERR_TOO_LARGE;
	if (len - SNIPE_FRAME_HEADER_BYTES < size)
		return SNIPE_ERR_TRUNCATED;
	return (int)size;
}

void snipe_frame_write_length(uint8_t out[SNIPE_FRAME_HEADER_BYTES], uint32_t len)
{
	out[0] = (uint8_t)(len >> 24);
	out[1] = (uint8_t)(len >> 16);
	out[2] = (uint8_t)(len >> 8);
	out[3] = (uint8_t)len;
}
