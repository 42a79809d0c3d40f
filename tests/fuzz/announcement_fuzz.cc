// Guards against crashes on announcements, and against accepted ones with a field that the
// protocol does not allow.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <string>

#include "dialect.h"

static void decode(int method, const uint8_t *data, size_t size)
{
	const struct snipe_dialect *d = snipe_adapter_dialect();
	const std::string url = "/snipescale/instances/i-1";
	struct snipe_server_announcement n;
	struct snipe_error_text err;
	struct snipe_h1_message m;

	snipe_h1_message_init(&m);
	m.method = (unsigned char)method;
	snipe_buffer_append(&m.url, url.data(), url.size());
	snipe_buffer_append(&m.body, data, size);
	if (d->ops->decode_announcement(d, &m, &n, &err) == 0 && method == HTTP_PUT &&
	    (n.slots < 1 || n.started_ms < 1 || n.cold_left_us < 0 || !n.address.port ||
	     n.state == SNIPE_SERVER_NONE || n.sequence > (uint64_t)1 << 53))
		abort();
	snipe_h1_message_finish(&m);
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	decode(HTTP_PUT, data, size);
	decode(HTTP_DELETE, data, size);
	return 0;
}
