#include "wire/departure_notice.h"

#include <string.h>

#include "base/error.h"
#include "wire/pack.h"

/* Fields of the datagram, including the tag. */
#define NOTICE_FIELD_COUNT 8
/* Distinguishes these datagrams from reports, whose first field is an integer. */
#define NOTICE_TAG "departure"

void snipe_departure_notice_encode(const struct snipe_departure_notice *n,
				   struct snipe_buffer *out)
{
	msgpack_packer pk;

	snipe_pack_init(&pk, out);
	msgpack_pack_array(&pk, NOTICE_FIELD_COUNT);
	snipe_pack_str(&pk, NOTICE_TAG);
	msgpack_pack_int(&pk, n->is_receipt);
	snipe_pack_str(&pk, n->sender);
	msgpack_pack_uint64(&pk, n->sender_process);
	snipe_pack_str(&pk, n->node_id);
	snipe_pack_str(&pk, n->departure.server_id);
	msgpack_pack_int64(&pk, n->departure.started_ms);
	msgpack_pack_uint64(&pk, n->departure.sequence);
}

static int read_fields(struct snipe_reader *r, void *out)
{
	struct snipe_departure_notice *n = out;
	char tag[16] = "";

	snipe_read_str(r, tag, sizeof(tag));
	n->is_receipt = snipe_read_int_range(r, 0, 1);
	snipe_read_str(r, n->sender, sizeof(n->sender));
	n->sender_process = snipe_read_uint(r);
	snipe_read_str(r, n->node_id, sizeof(n->node_id));
	snipe_read_str(r, n->departure.server_id, sizeof(n->departure.server_id));
	n->departure.started_ms = snipe_read_int(r);
	n->departure.sequence = snipe_read_uint(r);
	return r->has_error || strcmp(tag, NOTICE_TAG) != 0 || !*n->departure.server_id
		       ? SNIPE_ERR_SYNTAX
		       : 0;
}

int snipe_departure_notice_decode(const void *data, size_t len,
				  struct snipe_departure_notice *n)
{
	memset(n, 0, sizeof(*n));
	return snipe_unpack(data, len, read_fields, n);
}
