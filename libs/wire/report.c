#include "wire/report.h"

#include <string.h>

#include "base/error.h"
#include "wire/pack.h"

/* Fields of the datagram, including the version. */
#define REPORT_FIELD_COUNT 22
/* Demand is encoded in thousandths of a request per second. */
#define DEMAND_SCALE 1000
/* Parts and slots are encoded in thousandths. */
#define RATIO_SCALE 1000
#define SLOTS_SCALE 1000

void snipe_report_encode(const struct snipe_node_report *r, struct snipe_buffer *out)
{
	msgpack_packer pk;

	snipe_pack_init(&pk, out);
	msgpack_pack_array(&pk, REPORT_FIELD_COUNT);
	msgpack_pack_int(&pk, SNIPE_REPORT_VERSION);
	snipe_pack_str(&pk, r->node_id);
	msgpack_pack_uint64(&pk, r->process);
	msgpack_pack_uint64(&pk, r->sequence);
	snipe_pack_str(&pk, r->failure_domain);
	snipe_pack_str(&pk, r->service);
	msgpack_pack_uint64(&pk, r->routing_version);
	msgpack_pack_int(&pk, r->is_stopping);
	msgpack_pack_int(&pk, r->server);
	snipe_pack_str(&pk, r->server_id);
	msgpack_pack_int(&pk, r->limit);
	msgpack_pack_int(&pk, r->running);
	msgpack_pack_int(&pk, r->waiting);
	msgpack_pack_int64(&pk, r->service_us);
	msgpack_pack_int64(&pk, r->cold_left_us);
	msgpack_pack_array(&pk, (size_t)r->strike_count * 3);
	for (int i = 0; i < r->strike_count; i++) {
		msgpack_pack_uint64(&pk, r->strikes[i].fingerprint);
		msgpack_pack_uint64(&pk, r->strikes[i].crash_id);
		msgpack_pack_int64(&pk, r->strikes[i].age_us);
	}
	msgpack_pack_array(&pk, (size_t)r->cleared_count);
	for (int i = 0; i < r->cleared_count; i++)
		msgpack_pack_uint64(&pk, r->cleared[i]);
	msgpack_pack_array(&pk, (size_t)r->quota_count * 3);
	for (int i = 0; i < r->quota_count; i++) {
		msgpack_pack_uint64(&pk, r->quotas[i].workspace);
		msgpack_pack_uint32(&pk, r->quotas[i].admitted);
		msgpack_pack_uint32(&pk, (uint32_t)(r->quotas[i].demand * DEMAND_SCALE));
	}
	msgpack_pack_int(&pk, (int)(r->rejected_ratio * RATIO_SCALE));
	msgpack_pack_array(&pk, (size_t)r->demand_count * 3);
	for (int i = 0; i < r->demand_count; i++) {
		msgpack_pack_uint64(&pk, r->demands[i].service);
		msgpack_pack_int(&pk, r->demands[i].rank);
		msgpack_pack_uint32(&pk, (uint32_t)(r->demands[i].slots * SLOTS_SCALE));
	}
	msgpack_pack_uint64(&pk, r->store_era);
	msgpack_pack_int(&pk, r->is_era_settled);
}

/* Opens an array of at most max entries of the given number of fields each. Returns the number
 * of entries, 0 on an error. */
static int begin_list(struct snipe_reader *in, struct snipe_reader *list, unsigned fields,
		      unsigned max)
{
	*list = snipe_read_array(in);
	if (!in->has_error && (list->array->size % fields || list->array->size > fields * max))
		in->has_error = 1;
	return in->has_error ? 0 : (int)(list->array->size / fields);
}

static void read_lists(struct snipe_reader *in, struct snipe_node_report *r)
{
	struct snipe_reader list;

	r->strike_count = begin_list(in, &list, 3, SNIPE_REPORT_MAX_STRIKES);
	for (int i = 0; i < r->strike_count; i++) {
		r->strikes[i].fingerprint = snipe_read_uint(&list);
		r->strikes[i].crash_id = snipe_read_uint(&list);
		r->strikes[i].age_us = snipe_read_int(&list);
	}
	in->has_error |= list.has_error;
	r->cleared_count = begin_list(in, &list, 1, SNIPE_CRASH_MAX_CLEARED);
	for (int i = 0; i < r->cleared_count; i++)
		r->cleared[i] = snipe_read_uint(&list);
	in->has_error |= list.has_error;
	r->quota_count = begin_list(in, &list, 3, SNIPE_REPORT_MAX_QUOTAS);
	for (int i = 0; i < r->quota_count; i++) {
		r->quotas[i].workspace = snipe_read_uint(&list);
		r->quotas[i].admitted = (uint32_t)snipe_read_uint(&list);
		r->quotas[i].demand = (float)snipe_read_uint(&list) / DEMAND_SCALE;
	}
	in->has_error |= list.has_error;
}

/* Reads the fields that earlier builds do not send. */
static void read_later_fields(struct snipe_reader *in, struct snipe_node_report *r)
{
	struct snipe_reader list;

	if (in->has_error || in->next >= in->array->size)
		return;
	r->rejected_ratio = (double)snipe_read_int_range(in, 0, RATIO_SCALE) / RATIO_SCALE;
	r->demand_count = begin_list(in, &list, 3, SNIPE_REPORT_MAX_DEMANDS);
	for (int i = 0; i < r->demand_count; i++) {
		r->demands[i].service = snipe_read_uint(&list);
		r->demands[i].rank = snipe_read_int_range(&list, 0, INT32_MAX);
		r->demands[i].slots = (double)snipe_read_uint(&list) / SLOTS_SCALE;
	}
	in->has_error |= list.has_error;
	if (in->has_error || in->next >= in->array->size)
		return;
	r->store_era = snipe_read_uint(in);
	r->is_era_settled = snipe_read_int_range(in, 0, 1);
}

static int read_fields(struct snipe_reader *in, void *out)
{
	struct snipe_node_report *r = out;
	uint64_t version = snipe_read_uint(in);

	if (!in->has_error && version != SNIPE_REPORT_VERSION)
		return SNIPE_ERR_VERSION;
	snipe_read_str(in, r->node_id, sizeof(r->node_id));
	r->process = snipe_read_uint(in);
	r->sequence = snipe_read_uint(in);
	snipe_read_str(in, r->failure_domain, sizeof(r->failure_domain));
	snipe_read_str(in, r->service, sizeof(r->service));
	r->routing_version = snipe_read_uint(in);
	r->is_stopping = snipe_read_int_range(in, 0, 1);
	r->server = (enum snipe_server_state)snipe_read_int_range(in, SNIPE_SERVER_NONE,
								  SNIPE_SERVER_DRAINING);
	snipe_read_str(in, r->server_id, sizeof(r->server_id));
	r->limit = snipe_read_int_range(in, 0, INT32_MAX);
	r->running = snipe_read_int_range(in, 0, INT32_MAX);
	r->waiting = snipe_read_int_range(in, 0, INT32_MAX);
	r->service_us = snipe_read_int(in);
	r->cold_left_us = snipe_read_int(in);
	read_lists(in, r);
	read_later_fields(in, r);
	return in->has_error ? SNIPE_ERR_SYNTAX : 0;
}

int snipe_report_decode(const void *data, size_t len, struct snipe_node_report *r)
{
	memset(r, 0, sizeof(*r));
	return snipe_unpack(data, len, read_fields, r);
}
