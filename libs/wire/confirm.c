#include "wire/confirm.h"

#include <string.h>

#include "base/error.h"
#include "wire/pack.h"

/* Fields of the datagram, including the tag. */
#define CONFIRM_FIELD_COUNT 5
/* Distinguishes these datagrams from reports, whose first field is an integer. */
#define CONFIRM_TAG "confirm"

void snipe_confirm_encode(const struct snipe_confirm *c, struct snipe_buffer *out)
{
	msgpack_packer pk;

	snipe_pack_init(&pk, out);
	msgpack_pack_array(&pk, CONFIRM_FIELD_COUNT);
	snipe_pack_str(&pk, CONFIRM_TAG);
	msgpack_pack_int(&pk, c->is_answer);
	msgpack_pack_uint64(&pk, c->nonce);
	msgpack_pack_uint64(&pk, c->routing_version);
	msgpack_pack_int64(&pk, c->age_us);
}

static int read_fields(struct snipe_reader *r, void *out)
{
	struct snipe_confirm *c = out;
	char tag[16] = "";

	snipe_read_str(r, tag, sizeof(tag));
	c->is_answer = snipe_read_int_range(r, 0, 1);
	c->nonce = snipe_read_uint(r);
	c->routing_version = snipe_read_uint(r);
	c->age_us = snipe_read_int(r);
	return r->has_error || strcmp(tag, CONFIRM_TAG) != 0 ? SNIPE_ERR_SYNTAX : 0;
}

int snipe_confirm_decode(const void *data, size_t len, struct snipe_confirm *c)
{
	memset(c, 0, sizeof(*c));
	return snipe_unpack(data, len, read_fields, c);
}
