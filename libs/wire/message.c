#include "wire/message.h"

#include <glib.h>
#include <string.h>

#include "base/error.h"
#include "wire/frame.h"
#include "wire/pack.h"

#define ENVELOPE_FIELD_COUNT 3

static const char *const type_names[SNIPE_MSG_TYPE_COUNT] = {
	"none",	      "hello",	       "call",	       "body",	      "answer",
	"cancel",     "ping",	       "pong",	       "retry_ask",   "retry_answer",
	"quota_ask",  "quota_grant",   "quota_return", "dedup_claim", "dedup_answer",
	"dedup_done", "dedup_release", "fetch",	       "object",      "members_ask",
	"members",    "ack",
};

const char *snipe_message_type_name(int type)
{
	return type > 0 && type < SNIPE_MSG_TYPE_COUNT ? type_names[type] : "undefined";
}

static void pack_headers(msgpack_packer *pk, const struct snipe_header *headers, int count)
{
	msgpack_pack_array(pk, (size_t)count * 2);
	for (int i = 0; i < count; i++) {
		snipe_pack_bytes(pk, headers[i].name.data, headers[i].name.len);
		snipe_pack_bytes(pk, headers[i].value.data, headers[i].value.len);
	}
}

static void read_headers(struct snipe_reader *r, struct snipe_header *headers, int *count)
{
	struct snipe_reader list = snipe_read_array(r);

	if (r->has_error || list.array->size % 2 || list.array->size > 2 * SNIPE_MAX_HEADERS) {
		r->has_error = 1;
		return;
	}
	*count = (int)list.array->size / 2;
	for (int i = 0; i < *count; i++) {
		headers[i].name.data = snipe_read_bytes(&list, &headers[i].name.len);
		headers[i].value.data = snipe_read_bytes(&list, &headers[i].value.len);
	}
	r->has_error |= list.has_error;
}

static void read_slice(struct snipe_reader *r, struct snipe_slice *s)
{
	s->data = snipe_read_bytes(r, &s->len);
}

static void pack_slice(msgpack_packer *pk, const struct snipe_slice *s)
{
	snipe_pack_bytes(pk, s->data, s->len);
}

static void pack_hello(msgpack_packer *pk, const struct snipe_msg_hello *h)
{
	snipe_pack_str(pk, h->node_id);
	msgpack_pack_uint64(pk, h->process);
	snipe_pack_address(pk, &h->address);
	msgpack_pack_int64(pk, h->wall_ms);
	msgpack_pack_uint64(pk, h->nonce);
	snipe_pack_bytes(pk, h->mac, sizeof(h->mac));
}

static void read_hello(struct snipe_reader *r, struct snipe_msg_hello *h)
{
	const char *mac;
	size_t len;

	snipe_read_str(r, h->node_id, sizeof(h->node_id));
	h->process = snipe_read_uint(r);
	snipe_read_address(r, &h->address);
	h->wall_ms = snipe_read_int(r);
	h->nonce = snipe_read_uint(r);
	mac = snipe_read_bytes(r, &len);
	if (len != sizeof(h->mac))
		r->has_error = 1;
	else
		memcpy(h->mac, mac, sizeof(h->mac));
}

static void pack_hello_session(msgpack_packer *pk, const struct snipe_msg_hello *h)
{
	msgpack_pack_uint64(pk, h->session);
	msgpack_pack_uint64(pk, h->received);
	msgpack_pack_int(pk, h->is_known);
	snipe_pack_bytes(pk, h->session_mac, sizeof(h->session_mac));
}

static void read_hello_session(struct snipe_reader *r, struct snipe_msg_hello *h)
{
	const char *mac;
	size_t len;

	if (r->has_error || r->next >= r->array->size)
		return;
	h->session = snipe_read_uint(r);
	h->received = snipe_read_uint(r);
	h->is_known = snipe_read_int_range(r, 0, 1);
	mac = snipe_read_bytes(r, &len);
	if (len != sizeof(h->session_mac))
		r->has_error = 1;
	else
		memcpy(h->session_mac, mac, sizeof(h->session_mac));
}

static void pack_call(msgpack_packer *pk, const struct snipe_msg_call *c)
{
	snipe_pack_str(pk, c->route);
	snipe_pack_str(pk, c->pool);
	snipe_pack_str(pk, c->method);
	pack_slice(pk, &c->path);
	snipe_pack_str(pk, c->workspace);
	msgpack_pack_int(pk, c->importance);
	msgpack_pack_int(pk, c->idempotent);
	msgpack_pack_int64(pk, c->timeout_us);
	msgpack_pack_int(pk, c->depth);
	msgpack_pack_int(pk, c->attempt);
	snipe_pack_address(pk, &c->root_address);
	msgpack_pack_uint64(pk, c->root_request);
	msgpack_pack_uint64(pk, c->fingerprint);
	pack_headers(pk, c->headers, c->header_count);
	msgpack_pack_uint64(pk, c->body_len);
	msgpack_pack_uint64(pk, c->body_hash);
	pack_slice(pk, &c->chunk);
	msgpack_pack_int(pk, c->rank);
	msgpack_pack_int64(pk, c->max_queue_wait_us);
	msgpack_pack_int(pk, c->is_trial);
}

static void read_call(struct snipe_reader *r, struct snipe_msg_call *c)
{
	snipe_read_str(r, c->route, sizeof(c->route));
	snipe_read_str(r, c->pool, sizeof(c->pool));
	snipe_read_str(r, c->method, sizeof(c->method));
	read_slice(r, &c->path);
	snipe_read_str(r, c->workspace, sizeof(c->workspace));
	c->importance = snipe_read_int_range(r, 0, SNIPE_IMPORTANCE_COUNT - 1);
	c->idempotent = snipe_read_int_range(r, 0, 1);
	c->timeout_us = snipe_read_int(r);
	c->depth = snipe_read_int_range(r, 0, INT32_MAX);
	c->attempt = snipe_read_int_range(r, 0, INT32_MAX);
	snipe_read_address(r, &c->root_address);
	c->root_request = snipe_read_uint(r);
	c->fingerprint = snipe_read_uint(r);
	read_headers(r, c->headers, &c->header_count);
	c->body_len = snipe_read_uint(r);
	c->body_hash = snipe_read_uint(r);
	read_slice(r, &c->chunk);
	c->rank = snipe_read_int_range(r, 0, INT32_MAX);
	c->max_queue_wait_us = snipe_read_int(r);
	c->is_trial = snipe_read_int_range(r, 0, 1);
	if (c->body_len > SNIPE_MAX_BODY_BYTES || c->chunk.len > c->body_len)
		r->has_error = 1;
}

static void pack_answer(msgpack_packer *pk, const struct snipe_msg_answer *a)
{
	msgpack_pack_int(pk, a->outcome);
	msgpack_pack_int(pk, a->status);
	snipe_pack_str(pk, a->reason);
	msgpack_pack_int64(pk, a->retry_after_us);
	msgpack_pack_int(pk, a->load.limit);
	msgpack_pack_int(pk, a->load.running);
	msgpack_pack_int(pk, a->load.waiting);
	msgpack_pack_int(pk, a->load.floor);
	pack_headers(pk, a->headers, a->header_count);
	msgpack_pack_uint64(pk, a->body_len);
	msgpack_pack_uint64(pk, a->body_hash);
	pack_slice(pk, &a->chunk);
	msgpack_pack_int(pk, a->has_arrived);
	msgpack_pack_int64(pk, a->service_us);
	msgpack_pack_array(pk, (size_t)a->cost.count * 2);
	for (int i = 0; i < a->cost.count; i++) {
		msgpack_pack_uint64(pk, a->cost.services[i].service);
		msgpack_pack_uint64(pk, (uint64_t)a->cost.services[i].slot_us);
	}
	msgpack_pack_int(pk, a->cost.is_rough);
}

static void read_cost(struct snipe_reader *r, struct snipe_chain_cost *cost)
{
	struct snipe_reader list;

	cost->count = cost->is_rough = 0;
	if (r->has_error || r->next >= r->array->size)
		return;
	list = snipe_read_array(r);
	if (r->has_error || list.array->size % 2 ||
	    list.array->size > 2 * SNIPE_CHAIN_MAX_SERVICES) {
		r->has_error = 1;
		return;
	}
	cost->count = (int)list.array->size / 2;
	for (int i = 0; i < cost->count; i++) {
		cost->services[i].service = snipe_read_uint(&list);
		cost->services[i].slot_us = (double)snipe_read_uint(&list);
	}
	r->has_error |= list.has_error;
	if (!r->has_error && r->next < r->array->size)
		cost->is_rough = snipe_read_int_range(r, 0, 1);
}

static void read_answer(struct snipe_reader *r, struct snipe_msg_answer *a)
{
	a->outcome =
		(enum snipe_answer_outcome)snipe_read_int_range(r, 0, SNIPE_ANSWER_UNKNOWN);
	a->status = snipe_read_int_range(r, 0, 999);
	snipe_read_str(r, a->reason, sizeof(a->reason));
	a->retry_after_us = snipe_read_int(r);
	a->load.limit = snipe_read_int_range(r, 0, INT32_MAX);
	a->load.running = snipe_read_int_range(r, 0, INT32_MAX);
	a->load.waiting = snipe_read_int_range(r, 0, INT32_MAX);
	a->load.floor = snipe_read_int_range(r, 0, SNIPE_IMPORTANCE_COUNT);
	read_headers(r, a->headers, &a->header_count);
	a->body_len = snipe_read_uint(r);
	a->body_hash = snipe_read_uint(r);
	read_slice(r, &a->chunk);
	a->has_arrived = snipe_read_int_range(r, 0, 1);
	a->service_us = snipe_read_int(r);
	read_cost(r, &a->cost);
	if (a->body_len > SNIPE_MAX_BODY_BYTES || a->chunk.len > a->body_len)
		r->has_error = 1;
}

static void read_members(struct snipe_reader *r, struct snipe_msg_members *m)
{
	struct snipe_reader list = snipe_read_array(r);

	if (r->has_error || list.array->size > SNIPE_MAX_MEMBERS) {
		r->has_error = 1;
		return;
	}
	m->members = g_new0(struct snipe_member, list.array->size + 1);
	m->count = (int)list.array->size;
	for (int i = 0; i < m->count; i++)
		snipe_read_member(&list, &m->members[i]);
	r->has_error |= list.has_error;
}

static void pack_quota(msgpack_packer *pk, const struct snipe_message *m)
{
	if (m->type == SNIPE_MSG_QUOTA_ASK) {
		snipe_pack_str(pk, m->u.quota_ask.workspace);
		msgpack_pack_int(pk, m->u.quota_ask.want);
		msgpack_pack_int(pk, m->u.quota_ask.ahead);
	} else if (m->type == SNIPE_MSG_QUOTA_GRANT) {
		msgpack_pack_int(pk, m->u.quota_grant.not_owner);
		msgpack_pack_uint64(pk, m->u.quota_grant.grant);
		msgpack_pack_int(pk, m->u.quota_grant.tokens);
		msgpack_pack_int(pk, m->u.quota_grant.ahead);
		msgpack_pack_int64(pk, m->u.quota_grant.retry_after_us);
	} else {
		snipe_pack_str(pk, m->u.quota_return.workspace);
		msgpack_pack_uint64(pk, m->u.quota_return.grant);
		msgpack_pack_int(pk, m->u.quota_return.tokens);
	}
}

static void read_quota(struct snipe_reader *r, struct snipe_message *m)
{
	if (m->type == SNIPE_MSG_QUOTA_ASK) {
		snipe_read_str(r, m->u.quota_ask.workspace, SNIPE_NAME_SIZE);
		m->u.quota_ask.want = snipe_read_int_range(r, 0, INT32_MAX);
		m->u.quota_ask.ahead = snipe_read_int_range(r, 0, INT32_MAX);
	} else if (m->type == SNIPE_MSG_QUOTA_GRANT) {
		m->u.quota_grant.not_owner = snipe_read_int_range(r, 0, 1);
		m->u.quota_grant.grant = snipe_read_uint(r);
		m->u.quota_grant.tokens = snipe_read_int_range(r, 0, INT32_MAX);
		m->u.quota_grant.ahead = snipe_read_int_range(r, 0, INT32_MAX);
		m->u.quota_grant.retry_after_us = snipe_read_int(r);
	} else {
		snipe_read_str(r, m->u.quota_return.workspace, SNIPE_NAME_SIZE);
		m->u.quota_return.grant = snipe_read_uint(r);
		m->u.quota_return.tokens = snipe_read_int_range(r, 0, INT32_MAX);
	}
}

static void pack_dedup(msgpack_packer *pk, const struct snipe_message *m)
{
	if (m->type == SNIPE_MSG_DEDUP_CLAIM) {
		snipe_pack_str(pk, m->u.dedup_claim.workspace);
		snipe_pack_str(pk, m->u.dedup_claim.identifier);
		msgpack_pack_uint64(pk, m->u.dedup_claim.fingerprint);
	} else if (m->type == SNIPE_MSG_DEDUP_ANSWER) {
		msgpack_pack_int(pk, m->u.dedup_answer.not_owner);
		msgpack_pack_int(pk, m->u.dedup_answer.verdict);
		msgpack_pack_uint64(pk, m->u.dedup_answer.claim);
		pack_slice(pk, &m->u.dedup_answer.answer);
	} else if (m->type == SNIPE_MSG_DEDUP_DONE) {
		msgpack_pack_uint64(pk, m->u.dedup_done.claim);
		msgpack_pack_int(pk, m->u.dedup_done.is_known);
		pack_slice(pk, &m->u.dedup_done.answer);
	} else {
		msgpack_pack_uint64(pk, m->u.dedup_release.claim);
	}
}

static void read_dedup(struct snipe_reader *r, struct snipe_message *m)
{
	if (m->type == SNIPE_MSG_DEDUP_CLAIM) {
		snipe_read_str(r, m->u.dedup_claim.workspace, SNIPE_NAME_SIZE);
		snipe_read_str(r, m->u.dedup_claim.identifier,
			       sizeof(m->u.dedup_claim.identifier));
		m->u.dedup_claim.fingerprint = snipe_read_uint(r);
	} else if (m->type == SNIPE_MSG_DEDUP_ANSWER) {
		m->u.dedup_answer.not_owner = snipe_read_int_range(r, 0, 1);
		m->u.dedup_answer.verdict = snipe_read_int_range(r, 0, 255);
		m->u.dedup_answer.claim = snipe_read_uint(r);
		read_slice(r, &m->u.dedup_answer.answer);
	} else if (m->type == SNIPE_MSG_DEDUP_DONE) {
		m->u.dedup_done.claim = snipe_read_uint(r);
		m->u.dedup_done.is_known = snipe_read_int_range(r, 0, 1);
		read_slice(r, &m->u.dedup_done.answer);
	} else {
		m->u.dedup_release.claim = snipe_read_uint(r);
	}
}

static void pack_object(msgpack_packer *pk, const struct snipe_message *m)
{
	if (m->type == SNIPE_MSG_FETCH) {
		msgpack_pack_int(pk, m->u.fetch.object);
		return;
	}
	msgpack_pack_int(pk, m->u.object.object);
	msgpack_pack_uint64(pk, m->u.object.version);
	pack_slice(pk, &m->u.object.value);
}

static void read_object(struct snipe_reader *r, struct snipe_message *m)
{
	int object = snipe_read_int_range(r, 0, SNIPE_OBJECT_COUNT - 1);

	if (m->type == SNIPE_MSG_FETCH) {
		m->u.fetch.object = object;
		return;
	}
	m->u.object.object = object;
	m->u.object.version = snipe_read_uint(r);
	read_slice(r, &m->u.object.value);
}

static int field_count(enum snipe_message_type type)
{
	static const int counts[SNIPE_MSG_TYPE_COUNT] = {
		[SNIPE_MSG_HELLO] = 11,	       [SNIPE_MSG_CALL] = 21,
		[SNIPE_MSG_BODY] = 1,	       [SNIPE_MSG_ANSWER] = 16,
		[SNIPE_MSG_RETRY_ASK] = 1,     [SNIPE_MSG_RETRY_ANSWER] = 1,
		[SNIPE_MSG_QUOTA_ASK] = 3,     [SNIPE_MSG_QUOTA_GRANT] = 5,
		[SNIPE_MSG_QUOTA_RETURN] = 3,  [SNIPE_MSG_DEDUP_CLAIM] = 3,
		[SNIPE_MSG_DEDUP_ANSWER] = 4,  [SNIPE_MSG_DEDUP_DONE] = 3,
		[SNIPE_MSG_DEDUP_RELEASE] = 1, [SNIPE_MSG_FETCH] = 1,
		[SNIPE_MSG_OBJECT] = 3,	       [SNIPE_MSG_MEMBERS] = 1,
		[SNIPE_MSG_ACK] = 1,
	};

	return counts[type];
}

static void pack_fields(msgpack_packer *pk, const struct snipe_message *m)
{
	switch (m->type) {
	case SNIPE_MSG_HELLO:
		pack_hello(pk, &m->u.hello);
		pack_hello_session(pk, &m->u.hello);
		break;
	case SNIPE_MSG_CALL:
		pack_call(pk, &m->u.call);
		break;
	case SNIPE_MSG_BODY:
		pack_slice(pk, &m->u.body.chunk);
		break;
	case SNIPE_MSG_ANSWER:
		pack_answer(pk, &m->u.answer);
		break;
	case SNIPE_MSG_RETRY_ASK:
		msgpack_pack_uint64(pk, m->u.retry_ask.request);
		break;
	case SNIPE_MSG_RETRY_ANSWER:
		msgpack_pack_int(pk, m->u.retry_answer.is_granted);
		break;
	case SNIPE_MSG_QUOTA_ASK:
	case SNIPE_MSG_QUOTA_GRANT:
	case SNIPE_MSG_QUOTA_RETURN:
		pack_quota(pk, m);
		break;
	case SNIPE_MSG_DEDUP_CLAIM:
	case SNIPE_MSG_DEDUP_ANSWER:
	case SNIPE_MSG_DEDUP_DONE:
	case SNIPE_MSG_DEDUP_RELEASE:
		pack_dedup(pk, m);
		break;
	case SNIPE_MSG_FETCH:
	case SNIPE_MSG_OBJECT:
		pack_object(pk, m);
		break;
	case SNIPE_MSG_ACK:
		msgpack_pack_uint64(pk, m->u.ack.received);
		break;
	case SNIPE_MSG_MEMBERS:
		msgpack_pack_array(pk, (size_t)m->u.members.count);
		for (int i = 0; i < m->u.members.count; i++)
			snipe_pack_member(pk, &m->u.members.members[i]);
		break;
	default:
		break;
	}
}

void snipe_message_encode(const struct snipe_message *m, struct snipe_buffer *out)
{
	uint8_t length[SNIPE_FRAME_HEADER_BYTES] = {0};
	size_t start = out->len;
	msgpack_packer pk;

	snipe_buffer_append(out, length, sizeof(length));
	snipe_pack_init(&pk, out);
	msgpack_pack_array(&pk, (size_t)(ENVELOPE_FIELD_COUNT + field_count(m->type)));
	msgpack_pack_int(&pk, SNIPE_PROTOCOL_VERSION);
	msgpack_pack_int(&pk, m->type);
	msgpack_pack_uint32(&pk, m->stream);
	pack_fields(&pk, m);
	snipe_frame_write_length(length,
				 (uint32_t)(out->len - start - SNIPE_FRAME_HEADER_BYTES));
	memcpy(out->data + start, length, sizeof(length));
}

static void read_fields(struct snipe_reader *r, struct snipe_message *m)
{
	switch (m->type) {
	case SNIPE_MSG_HELLO:
		read_hello(r, &m->u.hello);
		read_hello_session(r, &m->u.hello);
		break;
	case SNIPE_MSG_CALL:
		read_call(r, &m->u.call);
		break;
	case SNIPE_MSG_BODY:
		read_slice(r, &m->u.body.chunk);
		break;
	case SNIPE_MSG_ANSWER:
		read_answer(r, &m->u.answer);
		break;
	case SNIPE_MSG_RETRY_ASK:
		m->u.retry_ask.request = snipe_read_uint(r);
		break;
	case SNIPE_MSG_RETRY_ANSWER:
		m->u.retry_answer.is_granted = snipe_read_int_range(r, 0, 1);
		break;
	case SNIPE_MSG_QUOTA_ASK:
	case SNIPE_MSG_QUOTA_GRANT:
	case SNIPE_MSG_QUOTA_RETURN:
		read_quota(r, m);
		break;
	case SNIPE_MSG_DEDUP_CLAIM:
	case SNIPE_MSG_DEDUP_ANSWER:
	case SNIPE_MSG_DEDUP_DONE:
	case SNIPE_MSG_DEDUP_RELEASE:
		read_dedup(r, m);
		break;
	case SNIPE_MSG_FETCH:
	case SNIPE_MSG_OBJECT:
		read_object(r, m);
		break;
	case SNIPE_MSG_MEMBERS:
		read_members(r, &m->u.members);
		break;
	case SNIPE_MSG_ACK:
		m->u.ack.received = snipe_read_uint(r);
		break;
	default:
		break;
	}
}

static int decode_object(const msgpack_object *obj, struct snipe_message *m)
{
	struct snipe_reader r = snipe_reader_from_object(obj);
	uint64_t version = snipe_read_uint(&r);

	if (!r.has_error && version > SNIPE_PROTOCOL_VERSION)
		return SNIPE_ERR_VERSION;
	m->type = (enum snipe_message_type)snipe_read_int_range(&r, SNIPE_MSG_HELLO,
								SNIPE_MSG_TYPE_COUNT - 1);
	m->stream = (uint32_t)snipe_read_uint(&r);
	if (r.has_error)
		return SNIPE_ERR_SYNTAX;
	read_fields(&r, m);
	return r.has_error ? SNIPE_ERR_SYNTAX : 0;
}

int snipe_message_decode(const void *payload, size_t len, struct snipe_decoded *out)
{
	size_t offset = 0;
	int err = SNIPE_ERR_SYNTAX;

	memset(&out->message, 0, sizeof(out->message));
	msgpack_unpacked_init(&out->unpacked);
	if (msgpack_unpack_next(&out->unpacked, payload, len, &offset) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    offset == len)
		err = decode_object(&out->unpacked.data, &out->message);
	if (err < 0)
		snipe_decoded_finish(out);
	return err;
}

void snipe_decoded_finish(struct snipe_decoded *d)
{
	if (d->message.type == SNIPE_MSG_MEMBERS)
		g_free(d->message.u.members.members);
	d->message.type = (enum snipe_message_type)0;
	msgpack_unpacked_destroy(&d->unpacked);
}

void snipe_hello_session_mac(const struct snipe_msg_hello *hello, const char *secret,
			     uint8_t mac[SNIPE_MAC_SIZE])
{
	struct snipe_msg_hello copy = *hello;
	struct snipe_buffer buf;
	msgpack_packer pk;

	memset(copy.session_mac, 0, sizeof(copy.session_mac));
	snipe_buffer_init(&buf);
	snipe_pack_init(&pk, &buf);
	pack_hello_session(&pk, &copy);
	snipe_pack_bytes(&pk, copy.mac, sizeof(copy.mac));
	snipe_mac(secret, buf.data, buf.len, mac);
	snipe_buffer_finish(&buf);
}

void snipe_hello_mac(const struct snipe_msg_hello *hello, const char *secret,
		     uint8_t mac[SNIPE_MAC_SIZE])
{
	struct snipe_msg_hello copy = *hello;
	struct snipe_buffer buf;
	msgpack_packer pk;

	memset(copy.mac, 0, sizeof(copy.mac));
	snipe_buffer_init(&buf);
	snipe_pack_init(&pk, &buf);
	pack_hello(&pk, &copy);
	snipe_mac(secret, buf.data, buf.len, mac);
	snipe_buffer_finish(&buf);
}
