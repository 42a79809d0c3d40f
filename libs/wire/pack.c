#include "wire/pack.h"

#include <string.h>

#include "base/error.h"

static int write_buffer(void *data, const char *buf, size_t len)
{
	snipe_buffer_append(data, buf, len);
	return 0;
}

void snipe_pack_init(msgpack_packer *pk, struct snipe_buffer *out)
{
	msgpack_packer_init(pk, out, write_buffer);
}

void snipe_pack_str(msgpack_packer *pk, const char *s)
{
	size_t len = strlen(s);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, s, len);
}

void snipe_pack_bytes(msgpack_packer *pk, const void *data, size_t len)
{
	msgpack_pack_bin(pk, len);
	if (len > 0)
		msgpack_pack_bin_body(pk, data, len);
}

void snipe_pack_address(msgpack_packer *pk, const struct snipe_address *addr)
{
	snipe_pack_str(pk, addr->ip);
	msgpack_pack_uint16(pk, addr->port);
}

void snipe_pack_member(msgpack_packer *pk, const struct snipe_member *m)
{
	msgpack_pack_array(pk, 9);
	snipe_pack_str(pk, m->node_id);
	msgpack_pack_uint64(pk, m->process);
	msgpack_pack_uint64(pk, m->incarnation);
	snipe_pack_address(pk, &m->address);
	snipe_pack_str(pk, m->region);
	snipe_pack_str(pk, m->failure_domain);
	snipe_pack_str(pk, m->pool);
	msgpack_pack_int(pk, m->state);
}

struct snipe_reader snipe_reader_from_object(const msgpack_object *obj)
{
	struct snipe_reader r = {NULL, 0, 0};

	if (obj->type == MSGPACK_OBJECT_ARRAY)
		r.array = &obj->via.array;
	else
		r.has_error = 1;
	return r;
}

int snipe_unpack(const void *data, size_t len, int (*read)(struct snipe_reader *r, void *out),
		 void *out)
{
	msgpack_unpacked unpacked;
	struct snipe_reader r;
	size_t offset = 0;
	int ret = SNIPE_ERR_SYNTAX;

	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, data, len, &offset) == MSGPACK_UNPACK_SUCCESS &&
	    offset == len) {
		r = snipe_reader_from_object(&unpacked.data);
		ret = read(&r, out);
	}
	msgpack_unpacked_destroy(&unpacked);
	return ret;
}

static const msgpack_object *next_field(struct snipe_reader *r)
{
	if (r->has_error || r->next >= r->array->size) {
		r->has_error = 1;
		return NULL;
	}
	return &r->array->ptr[r->next++];
}

uint64_t snipe_read_uint(struct snipe_reader *r)
{
	const msgpack_object *o = next_field(r);

	if (!o || o->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		r->has_error = 1;
		return 0;
	}
	return o->via.u64;
}

int64_t snipe_read_int(struct snipe_reader *r)
{
	const msgpack_object *o = next_field(r);

	if (o && o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return o->via.i64;
	if (o && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER && o->via.u64 <= INT64_MAX)
		return (int64_t)o->via.u64;
	r->has_error = 1;
	return 0;
}

int snipe_read_int_range(struct snipe_reader *r, int min, int max)
{
	int64_t value = snipe_read_int(r);

	if (value < min || value > max) {
		r->has_error = 1;
		return min;
	}
	return (int)value;
}

void snipe_read_str(struct snipe_reader *r, char *out, size_t size)
{
	size_t len;
	const char *s = snipe_read_bytes(r, &len);

	out[0] = '\0';
	if (!s)
		return;
	if (len >= size || memchr(s, '\0', len)) {
		r->has_error = 1;
		return;
	}
	memcpy(out, s, len);
	out[len] = '\0';
}

const char *snipe_read_bytes(struct snipe_reader *r, size_t *len)
{
	const msgpack_object *o = next_field(r);

	*len = 0;
	if (o && o->type == MSGPACK_OBJECT_STR) {
		*len = o->via.str.size;
		return o->via.str.ptr;
	}
	if (o && o->type == MSGPACK_OBJECT_BIN) {
		*len = o->via.bin.size;
		return o->via.bin.ptr;
	}
	r->has_error = 1;
	return NULL;
}

struct snipe_reader snipe_read_array(struct snipe_reader *r)
{
	struct snipe_reader none = {NULL, 0, 1};
	const msgpack_object *o = next_field(r);

	if (!o || o->type != MSGPACK_OBJECT_ARRAY) {
		r->has_error = 1;
		return none;
	}
	return snipe_reader_from_object(o);
}

void snipe_read_address(struct snipe_reader *r, struct snipe_address *addr)
{
	struct sockaddr_storage ss;

	memset(addr, 0, sizeof(*addr));
	snipe_read_str(r, addr->ip, sizeof(addr->ip));
	addr->port = (uint16_t)snipe_read_int_range(r, 0, UINT16_MAX);
	if (addr->ip[0] && snipe_address_to_sockaddr(addr, &ss) < 0)
		r->has_error = 1;
}

void snipe_read_member(struct snipe_reader *r, struct snipe_member *m)
{
	struct snipe_reader f = snipe_read_array(r);

	memset(m, 0, sizeof(*m));
	snipe_read_str(&f, m->node_id, sizeof(m->node_id));
	m->process = snipe_read_uint(&f);
	m->incarnation = snipe_read_uint(&f);
	snipe_read_address(&f, &m->address);
	snipe_read_str(&f, m->region, sizeof(m->region));
	snipe_read_str(&f, m->failure_domain, sizeof(m->failure_domain));
	snipe_read_str(&f, m->pool, sizeof(m->pool));
	m->state = (enum snipe_member_state)snipe_read_int_range(&f, 0, SNIPE_MEMBER_DEAD);
	if (f.has_error || m->node_id[0] == '\0')
		r->has_error = 1;
}
