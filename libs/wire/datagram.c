#include "wire/datagram.h"

#include <string.h>

#include "base/error.h"
#include "base/hash.h"
#include "wire/message.h"
#include "wire/pack.h"

/* The age of a state that was never confirmed is encoded as -1. */
static void pack_digest(msgpack_packer *pk, const struct snipe_digest *g)
{
	for (int i = 0; i < SNIPE_OBJECT_COUNT; i++)
		msgpack_pack_uint64(pk, g->versions[i]);
	msgpack_pack_int64(pk, g->age_us == INT64_MAX ? -1 : g->age_us);
	msgpack_pack_uint64(pk, g->echo);
	msgpack_pack_int64(pk, g->reply_delay_us);
	msgpack_pack_int(pk, g->is_caught_up);
}

static void read_digest(struct snipe_reader *r, struct snipe_digest *g)
{
	for (int i = 0; i < SNIPE_OBJECT_COUNT; i++)
		g->versions[i] = snipe_read_uint(r);
	g->age_us = snipe_read_int(r);
	if (g->age_us < 0)
		g->age_us = INT64_MAX;
	g->echo = snipe_read_uint(r);
	g->reply_delay_us = snipe_read_int(r);
	g->is_caught_up = snipe_read_int_range(r, 0, 1);
}

static void pack_probe(msgpack_packer *pk, const struct snipe_probe *p, int updates)
{
	msgpack_pack_int(pk, p->type);
	msgpack_pack_uint64(pk, p->sequence);
	msgpack_pack_uint64(pk, p->from_process);
	snipe_pack_address(pk, &p->target);
	msgpack_pack_array(pk, (size_t)updates);
	for (int i = 0; i < updates; i++)
		snipe_pack_member(pk, &p->updates[i]);
}

static void read_probe(struct snipe_reader *r, struct snipe_probe *p)
{
	struct snipe_reader updates;

	memset(p, 0, sizeof(*p));
	p->type = (enum snipe_probe_type)snipe_read_int_range(r, 0, SNIPE_PROBE_UPDATE);
	p->sequence = snipe_read_uint(r);
	p->from_process = snipe_read_uint(r);
	snipe_read_address(r, &p->target);
	updates = snipe_read_array(r);
	if (r->has_error || updates.array->size > SNIPE_UPDATES_PER_DATAGRAM) {
		r->has_error = 1;
		return;
	}
	p->update_count = (int)updates.array->size;
	for (int i = 0; i < p->update_count; i++)
		snipe_read_member(&updates, &p->updates[i]);
	r->has_error |= updates.has_error;
}

static void encode(const struct snipe_datagram *d, const char *secret, int updates,
		   struct snipe_buffer *out)
{
	uint8_t mac[SNIPE_MAC_SIZE] = {0};
	msgpack_packer pk;

	snipe_buffer_clear(out);
	snipe_buffer_append(out, mac, sizeof(mac));
	snipe_pack_init(&pk, out);
	msgpack_pack_array(&pk,
			   4 + (d->type == SNIPE_DATAGRAM_PROBE	   ? 6
				: d->type == SNIPE_DATAGRAM_STRIKE ? 2
								   : SNIPE_OBJECT_COUNT + 4));
	msgpack_pack_int(&pk, SNIPE_PROTOCOL_VERSION);
	msgpack_pack_int(&pk, d->type);
	snipe_pack_str(&pk, d->from_id);
	snipe_pack_str(&pk, d->from_domain);
	switch (d->type) {
	case SNIPE_DATAGRAM_PROBE:
		pack_probe(&pk, &d->u.probe, updates);
		break;
	case SNIPE_DATAGRAM_SUBSCRIBE:
	case SNIPE_DATAGRAM_DIGEST:
		pack_digest(&pk, &d->u.digest);
		break;
	case SNIPE_DATAGRAM_STRIKE:
		msgpack_pack_array(&pk, (size_t)d->u.strike.count);
		for (int i = 0; i < d->u.strike.count; i++)
			msgpack_pack_uint64(&pk, d->u.strike.fingerprints[i]);
		msgpack_pack_uint64(&pk, d->u.strike.crash_id);
		break;
	}
	snipe_mac(secret, out->data + SNIPE_MAC_SIZE, out->len - SNIPE_MAC_SIZE, mac);
	memcpy(out->data, mac, sizeof(mac));
}

int snipe_datagram_encode(const struct snipe_datagram *d, const char *secret,
			  struct snipe_buffer *out)
{
	int updates = d->type == SNIPE_DATAGRAM_PROBE ? d->u.probe.update_count : 0;
	int omitted = 0;

	encode(d, secret, updates, out);
	while (out->len > SNIPE_DATAGRAM_MAX_BYTES && updates > 0) {
		omitted++;
		encode(d, secret, --updates, out);
	}
	return omitted;
}

static void read_strikes(struct snipe_reader *r, struct snipe_datagram *d)
{
	struct snipe_reader list = snipe_read_array(r);

	if (r->has_error || list.array->size > SNIPE_STRIKES_PER_DATAGRAM) {
		r->has_error = 1;
		return;
	}
	d->u.strike.count = (int)list.array->size;
	for (int i = 0; i < d->u.strike.count; i++)
		d->u.strike.fingerprints[i] = snipe_read_uint(&list);
	r->has_error |= list.has_error;
	d->u.strike.crash_id = snipe_read_uint(r);
}

static int read_fields(struct snipe_reader *r, void *out)
{
	struct snipe_datagram *d = out;
	uint64_t version = snipe_read_uint(r);

	if (!r->has_error && version > SNIPE_PROTOCOL_VERSION)
		return SNIPE_ERR_VERSION;
	d->type = (enum snipe_datagram_type)snipe_read_int_range(r, SNIPE_DATAGRAM_PROBE,
								 SNIPE_DATAGRAM_STRIKE);
	snipe_read_str(r, d->from_id, sizeof(d->from_id));
	snipe_read_str(r, d->from_domain, sizeof(d->from_domain));
	if (r->has_error)
		return SNIPE_ERR_SYNTAX;
	if (d->type == SNIPE_DATAGRAM_PROBE)
		read_probe(r, &d->u.probe);
	else if (d->type == SNIPE_DATAGRAM_STRIKE)
		read_strikes(r, d);
	else
		read_digest(r, &d->u.digest);
	if (d->type == SNIPE_DATAGRAM_PROBE)
		memcpy(d->u.probe.from_id, d->from_id, sizeof(d->from_id));
	return r->has_error ? SNIPE_ERR_SYNTAX : 0;
}

int snipe_datagram_decode(const void *data, size_t len, const char *secret,
			  struct snipe_datagram *d)
{
	uint8_t mac[SNIPE_MAC_SIZE];

	memset(d, 0, sizeof(*d));
	if (len <= SNIPE_MAC_SIZE || len > SNIPE_DATAGRAM_MAX_BYTES)
		return SNIPE_ERR_SYNTAX;
	data = (const char *)data + SNIPE_MAC_SIZE;
	len -= SNIPE_MAC_SIZE;
	snipe_mac(secret, data, len, mac);
	if (!snipe_equal_constant_time(mac, (const char *)data - SNIPE_MAC_SIZE, sizeof(mac)))
		return SNIPE_ERR_AUTH;
	return snipe_unpack(data, len, read_fields, d);
}
