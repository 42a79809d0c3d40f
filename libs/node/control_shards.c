#include <jansson.h>
#include <string.h>

#include "base/hash.h"
#include "base/log.h"
#include "base/clock.h"
#include "node/control_internal.h"

#define MAX_SEEDS 16

static int parse_shard(const json_t *entry, struct snipe_shard *shard)
{
	const char *owner = NULL;
	json_int_t process = 0, epoch = 0;
	int released = 0;

	if (json_unpack((json_t *)entry, "{s:s, s:I, s:I, s:b}", "owner", &owner, "process",
			&process, "epoch", &epoch, "released", &released) < 0)
		return SNIPE_ERR_SYNTAX;
	if (strlen(owner) >= sizeof(shard->owner) || process < 0 || epoch < 0)
		return SNIPE_ERR_SYNTAX;
	g_strlcpy(shard->owner, owner, sizeof(shard->owner));
	shard->process = (uint64_t)process;
	shard->epoch = (uint64_t)epoch;
	shard->released = released;
	return 0;
}

static int parse_map(const char *value, size_t len,
		     struct snipe_shard shards[SNIPE_SHARD_COUNT])
{
	json_t *root = json_loadb(value, len, 0, NULL);
	json_t *list = root ? json_object_get(root, "shards") : NULL;
	int rc = json_array_size(list) == SNIPE_SHARD_COUNT ? 0 : SNIPE_ERR_SYNTAX;

	for (size_t i = 0; rc == 0 && i < SNIPE_SHARD_COUNT; i++)
		rc = parse_shard(json_array_get(list, i), &shards[i]);
	json_decref(root);
	return rc;
}

static char *print_map(const struct snipe_shard shards[SNIPE_SHARD_COUNT])
{
	json_t *list = json_array(), *root = json_pack("{s:o}", "shards", list);
	char *text;

	for (int i = 0; i < SNIPE_SHARD_COUNT; i++)
		json_array_append_new(list, json_pack("{s:s, s:I, s:I, s:b}", "owner",
						      shards[i].owner, "process",
						      (json_int_t)shards[i].process, "epoch",
						      (json_int_t)shards[i].epoch, "released",
						      shards[i].released));
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static int is_own(const struct snipe_control_task *t, const struct snipe_shard *s)
{
	return s->process == t->ownership.process && !strcmp(s->owner, t->settings->node_id);
}

/* Records and buckets of another epoch must not be used again. */
static void drop_changed_shards(struct snipe_control_task *t)
{
	for (int i = 0; i < SNIPE_SHARD_COUNT; i++) {
		const struct snipe_shard *s = snipe_ownership_shard(&t->ownership, i);
		uint64_t epoch = is_own(t, s) ? s->epoch : 0;

		if (epoch == t->owned_epoch[i])
			continue;
		snipe_quota_owner_drop_shard(&t->quota, i);
		snipe_dedup_drop_shard(&t->dedup, i);
		t->owned_epoch[i] = epoch;
	}
}

int snipe_control_load_shards(struct snipe_control_task *t, uint64_t version, const char *value,
			      size_t len)
{
	struct snipe_shard shards[SNIPE_SHARD_COUNT];
	int rc = parse_map(value, len, shards);

	if (rc == 0)
		rc = snipe_ownership_load(&t->ownership, version, snipe_now_us(), shards);
	if (rc == 0)
		drop_changed_shards(t);
	return rc;
}

int snipe_control_may_act(struct snipe_control_task *t, int shard, int64_t now)
{
	return !t->is_draining && snipe_ownership_may_act(&t->ownership, shard, &t->state, now);
}

int snipe_control_owner(const struct snipe_control_task *t, int shard,
			struct snipe_address *addr)
{
	const struct snipe_shard *s = snipe_ownership_shard(&t->ownership, shard);
	const struct snipe_member *m;

	if (!s->owner[0])
		return SNIPE_ERR_NOT_FOUND;
	m = snipe_membership_find(&t->members, s->owner);
	if (!m || m->process != s->process || !snipe_member_is_live(m))
		return SNIPE_ERR_NOT_FOUND;
	*addr = m->address;
	return 0;
}

int snipe_control_owns_shards(const struct snipe_control_task *t)
{
	for (int i = 0; i < SNIPE_SHARD_COUNT; i++) {
		if (is_own(t, snipe_ownership_shard(&t->ownership, i)))
			return 1;
	}
	return 0;
}

/* The new map is loaded here at once; if the response was lost, the watch shows it. */
static void on_assigned(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_control_task *t = arg;
	char *value = t->assign_value;

	t->assign_handle = 0;
	t->assign_value = NULL;
	if (err == 0 && object->version > t->state.versions[SNIPE_OBJECT_SHARDS] &&
	    snipe_control_load(t, SNIPE_OBJECT_SHARDS, object->version, value, strlen(value)) ==
		    0) {
		snipe_control_state_accept_object(&t->state, SNIPE_OBJECT_SHARDS,
						  object->version);
		snipe_control_push(t);
	} else if (err) {
		snipe_log(SNIPE_LOG_INFO, "shard_write_failed", "err=%s",
			  snipe_error_name(err));
	}
	free(value);
}

static void write_map(struct snipe_control_task *t,
		      const struct snipe_shard next[SNIPE_SHARD_COUNT], int changes)
{
	t->assign_value = print_map(next);
	t->assign_handle = t->store->ops->put(t->store, "fleet", "shards",
					      t->state.versions[SNIPE_OBJECT_SHARDS],
					      t->assign_value, strlen(t->assign_value),
					      SNIPE_STORE_TIMEOUT_MS, on_assigned, t);
	snipe_log(SNIPE_LOG_INFO, "shards_assigned", "changes=%d version=%llu", changes,
		  (unsigned long long)t->state.versions[SNIPE_OBJECT_SHARDS]);
	if (t->assign_handle < 0) {
		t->assign_handle = 0;
		g_clear_pointer(&t->assign_value, free);
	}
}

/* The live node with the lowest hash of the fleet writes maps; others step in when it does not.
 */
static int is_first(const struct snipe_control_task *t)
{
	uint64_t own = snipe_hash64_str(t->settings->node_id);

	for (int i = 0; i < snipe_membership_count(&t->members); i++) {
		const struct snipe_member *m = snipe_membership_at(&t->members, i);

		if (snipe_member_is_live(m) && m->state != SNIPE_MEMBER_SUSPECT &&
		    snipe_hash64_str(m->node_id) < own)
			return 0;
	}
	return 1;
}

static void assign(struct snipe_control_task *t, int64_t now)
{
	struct snipe_shard next[SNIPE_SHARD_COUNT];
	int changes;

	if (t->assign_handle || !t->has_joined ||
	    snipe_control_state_mode(&t->state, now) != SNIPE_CONTROL_CONFIRMED)
		return;
	if (t->is_draining) {
		changes = snipe_ownership_plan(&t->ownership, &t->members, 1, now, next);
		if (changes > 0)
			write_map(t, next, changes);
		return;
	}
	if (!t->role.is_reader || now - t->started_us < SNIPE_ASSIGN_AFTER_US ||
	    (t->ownership.version && now - t->confirmed_since_us < SNIPE_SETTLE_US))
		return;
	changes = snipe_ownership_plan(&t->ownership, &t->members, 0, now, next);
	if (changes == 0) {
		t->assign_needed_us = 0;
		return;
	}
	if (!t->assign_needed_us)
		t->assign_needed_us = now;
	if (is_first(t) || now - t->assign_needed_us > SNIPE_ASSIGN_AFTER_US)
		write_map(t, next, changes);
}

static void on_seeds_written(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_control_task *t = arg;

	(void)err;
	(void)object;
	t->seeds_put_handle = 0;
}

static void put_seeds(struct snipe_control_task *t, uint64_t version)
{
	json_t *list = json_array(), *root = json_pack("{s:o}", "seeds", list);
	int n = snipe_membership_count(&t->members);
	int start = g_rand_int_range(t->rng, 0, n);
	char *text;

	for (int i = 0; i < n && json_array_size(list) < MAX_SEEDS; i++) {
		const struct snipe_member *m =
			snipe_membership_at(&t->members, (start + i) % n);
		char address[SNIPE_ADDRESS_TEXT_SIZE];

		if (!snipe_member_is_live(m))
			continue;
		snipe_address_format(&m->address, address);
		json_array_append_new(list, json_string(address));
	}
	text = json_dumps(root, JSON_COMPACT);
	t->seeds_put_handle =
		t->store->ops->put(t->store, "fleet", "seeds", version, text, strlen(text),
				   SNIPE_STORE_TIMEOUT_MS, on_seeds_written, t);
	if (t->seeds_put_handle < 0)
		t->seeds_put_handle = 0;
	free(text);
	json_decref(root);
}

static void on_seeds_version(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_control_task *t = arg;

	t->seeds_put_handle = 0;
	if (err == 0 || err == SNIPE_ERR_NOT_FOUND)
		put_seeds(t, err ? 0 : object->version);
}

void snipe_control_shards_tick(struct snipe_control_task *t, int64_t now)
{
	if (snipe_control_state_mode(&t->state, now) != SNIPE_CONTROL_CONFIRMED)
		t->confirmed_since_us = now;
	snipe_ownership_tick(&t->ownership, &t->state, now);
	assign(t, now);
	if (t->role.is_reader && t->has_joined && now >= t->next_seeds_us && is_first(t) &&
	    !t->seeds_put_handle) {
		t->next_seeds_us = now + SNIPE_SEEDS_EVERY_US;
		t->seeds_put_handle =
			t->store->ops->get(t->store, "fleet", "seeds", SNIPE_STORE_TIMEOUT_MS,
					   on_seeds_version, t);
		if (t->seeds_put_handle < 0)
			t->seeds_put_handle = 0;
	}
}
