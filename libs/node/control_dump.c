#include <jansson.h>
#include <string.h>

#include "base/clock.h"
#include "node/control_internal.h"

static const char *const state_names[] = {"starting", "ready",	 "draining",
					  "left",     "suspect", "dead"};
static const char *const mode_names[] = {"confirmed", "platform_outage", "unconfirmed"};

static json_t *dump_members(const struct snipe_control_task *t)
{
	json_t *list = json_array();

	for (int i = 0; i < snipe_membership_count(&t->members); i++) {
		const struct snipe_member *m = snipe_membership_at(&t->members, i);
		char address[SNIPE_ADDRESS_TEXT_SIZE];

		snipe_address_format(&m->address, address);
		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:I}", "node",
						m->node_id, "state", state_names[m->state],
						"address", address, "region", m->region,
						"failure_domain", m->failure_domain, "pool",
						m->pool, "process", (json_int_t)m->process));
	}
	return list;
}

static json_t *dump_shards(const struct snipe_control_task *t, int64_t now)
{
	json_t *list = json_array();

	for (int i = 0; i < SNIPE_SHARD_COUNT; i++) {
		if (!t->owned_epoch[i])
			continue;
		json_array_append_new(
			list,
			json_pack("{s:i, s:I, s:I}", "shard", i, "epoch",
				  (json_int_t)t->owned_epoch[i], "acts_in_ms",
				  (json_int_t)MAX(snipe_ownership_acts_from(&t->ownership, i) -
							  now,
						  0) /
					  1000));
	}
	return list;
}

void snipe_control_task_dump(const struct snipe_control_task *t, struct snipe_buffer *out)
{
	int64_t now = snipe_now_us();
	struct snipe_digest d;
	json_t *root;
	char *text;

	snipe_control_state_make_digest(&t->state, now, &d);
	root = json_pack("{s:{s:I, s:I, s:I}, s:s, s:I, s:b, s:i, s:o, s:o}", "versions",
			 "tables", (json_int_t)d.versions[SNIPE_OBJECT_TABLES], "keys",
			 (json_int_t)d.versions[SNIPE_OBJECT_KEYS], "shards",
			 (json_int_t)d.versions[SNIPE_OBJECT_SHARDS], "mode",
			 mode_names[snipe_control_state_mode(&t->state, now)], "age_ms",
			 (json_int_t)(d.age_us == INT64_MAX ? -1 : d.age_us / 1000), "reader",
			 t->role.is_reader, "rank", t->role.rank, "members", dump_members(t),
			 "owned_shards", dump_shards(t, now));
	text = json_dumps(root, JSON_COMPACT);
	snipe_buffer_append(out, text, strlen(text));
	free(text);
	json_decref(root);
}
