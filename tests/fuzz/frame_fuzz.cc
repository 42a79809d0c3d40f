// Guards against crashes and reads out of bounds on frames and datagrams that a peer could
// send.
#include <cstddef>
#include <cstdint>
#include <cstring>

#include "wire/datagram.h"
#include "wire/frame.h"
#include "wire/message.h"

// Decodes a stream of frames, encodes what was accepted and expects the same type back.
static void fuzz_stream(const uint8_t *data, size_t size)
{
	while (size > 0) {
		int n = snipe_frame_peek(data, size);
		struct snipe_decoded d, again;
		struct snipe_buffer out;

		if (n < 0)
			return;
		if (snipe_message_decode(data + SNIPE_FRAME_HEADER_BYTES, (size_t)n, &d) == 0) {
			snipe_buffer_init(&out);
			snipe_message_encode(&d.message, &out);
			if (snipe_message_decode(out.data + SNIPE_FRAME_HEADER_BYTES,
						 out.len - SNIPE_FRAME_HEADER_BYTES,
						 &again) != 0 ||
			    again.message.type != d.message.type)
				__builtin_trap();
			snipe_decoded_finish(&again);
			snipe_decoded_finish(&d);
			snipe_buffer_finish(&out);
		}
		data += SNIPE_FRAME_HEADER_BYTES + n;
		size -= SNIPE_FRAME_HEADER_BYTES + (size_t)n;
	}
}

// Datagrams get a valid code, so that the decoder behind it is reached.
static void fuzz_datagram(const uint8_t *data, size_t size)
{
	uint8_t packet[SNIPE_DATAGRAM_MAX_BYTES];
	struct snipe_datagram d;

	if (size == 0 || size > sizeof(packet) - SNIPE_MAC_SIZE)
		return;
	snipe_mac("secret", data, size, packet);
	memcpy(packet + SNIPE_MAC_SIZE, data, size);
	snipe_datagram_decode(packet, size + SNIPE_MAC_SIZE, "secret", &d);
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fuzz_stream(data, size);
	fuzz_datagram(data, size);
	return 0;
}
