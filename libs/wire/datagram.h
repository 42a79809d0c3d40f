/*
 * UDP datagrams between nodes: membership probes, the distribution tree and crash strikes.
 *
 * Format: HMAC-SHA256 of the rest with the fleet secret, truncated to 16 bytes; then a
 * msgpack array [protocol version, type, fields...]. At most SNIPE_DATAGRAM_MAX_BYTES bytes.
 */
#ifndef SNIPE_DATAGRAM_H
#define SNIPE_DATAGRAM_H

#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "core/control_state.h"
#include "core/membership.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_DATAGRAM_MAX_BYTES 1200
#define SNIPE_STRIKES_PER_DATAGRAM 32

enum snipe_datagram_type {
	SNIPE_DATAGRAM_PROBE = 1, /* any enum snipe_probe_type */
	SNIPE_DATAGRAM_SUBSCRIBE, /* requests digests for 3 s; carries the sender's digest */
	SNIPE_DATAGRAM_DIGEST,
	SNIPE_DATAGRAM_STRIKE,
};

struct snipe_datagram {
	enum snipe_datagram_type type;
	char from_id[SNIPE_NAME_SIZE];
	char from_domain[SNIPE_NAME_SIZE];
	union {
		struct snipe_probe probe;
		struct snipe_digest digest; /* SUBSCRIBE and DIGEST */
		struct {
			uint64_t fingerprints[SNIPE_STRIKES_PER_DATAGRAM];
			int count;
			/* identifies the crash; 0: the requests succeeded, which clears their
			 * strikes */
			uint64_t crash_id;
		} strike;
	} u;
};

/* Encodes into out, which is cleared first. Returns the number of updates of a probe that were
 * omitted because they did not fit; the caller must send them later. */
int snipe_datagram_encode(const struct snipe_datagram *d, const char *secret,
			  struct snipe_buffer *out);

/* Returns 0, SNIPE_ERR_AUTH, SNIPE_ERR_SYNTAX or SNIPE_ERR_VERSION. u.probe.to is left empty:
 * the receiver fills in the sender's address. */
int snipe_datagram_decode(const void *data, size_t len, const char *secret,
			  struct snipe_datagram *d);

#ifdef __cplusplus
}
#endif

#endif
