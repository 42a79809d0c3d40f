#include "node/control_task.h"

#include <event2/event.h>
#include <string.h>

#include "base/log.h"
#include "base/clock.h"
#include "node/control_internal.h"

static void publish(struct snipe_control_task *t)
{
	struct snipe_task_message m = {.type = SNIPE_TASK_SNAPSHOT};

	t->members_changed = t->snapshot_changed = 0;
	m.u.snapshot = snipe_snapshot_new(t->state.versions, t->tables, t->keys, &t->members);
	snipe_mailbox_post(t->caller_box, &m);
	snipe_mailbox_post(t->backend_box, &m);
	snipe_snapshot_unref(m.u.snapshot);
	snipe_counters_set(t->counters, t->gauge_members, snipe_membership_count(&t->members));
}

static void publish_validity(struct snipe_control_task *t, int64_t now)
{
	struct snipe_task_message m = {.type = SNIPE_TASK_VALIDITY};

	m.u.valid_until_us = snipe_control_state_valid_until(&t->state, now);
	if (m.u.valid_until_us == t->posted_valid_us)
		return;
	t->posted_valid_us = m.u.valid_until_us;
	snipe_mailbox_post(t->caller_box, &m);
	snipe_counters_set(t->counters, t->gauge_mode,
			   snipe_control_state_mode(&t->state, now));
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct snipe_control_task *t = arg;
	int64_t now = snipe_now_us();
	struct snipe_membership_actions actions;

	(void)fd;
	(void)what;
	memset(&actions, 0, sizeof(actions));
	snipe_membership_tick(&t->members, now, &actions);
	snipe_control_send_probes(t, &actions);
	snipe_control_join_tick(t, now);
	snipe_control_tree_tick(t, now);
	snipe_control_objects_tick(t, now);
	snipe_control_shards_tick(t, now);
	snipe_control_quota_tick(t, now);
	snipe_dedup_tick(&t->dedup, snipe_wall_ms());
	if (t->members_changed || t->snapshot_changed)
		publish(t);
	snipe_counters_set(t->counters, t->gauge_spreading,
			   snipe_membership_queued_updates(&t->members));
	publish_validity(t, now);
}

static void set_self(struct snipe_control_task *t, enum snipe_member_state state,
		     const char *pool)
{
	struct snipe_membership_actions actions;

	memset(&actions, 0, sizeof(actions));
	snipe_membership_set_self(&t->members, snipe_now_us(), state, pool, &actions);
	snipe_control_send_probes(t, &actions);
}

static void handle_message(void *owner, const struct snipe_task_message *m)
{
	struct snipe_control_task *t = owner;

	switch (m->type) {
	case SNIPE_TASK_QUOTA_ASK:
		snipe_control_quota_ask(t, m);
		break;
	case SNIPE_TASK_QUOTA_RETURN:
		snipe_control_quota_return(t, m);
		break;
	case SNIPE_TASK_CLAIM_ASK:
		snipe_control_claim_ask(t, m);
		break;
	case SNIPE_TASK_CLAIM_DONE:
	case SNIPE_TASK_CLAIM_RELEASE:
		snipe_control_claim_end(t, m);
		break;
	case SNIPE_TASK_STRIKES:
		snipe_control_send_strikes(t, m);
		break;
	case SNIPE_TASK_SELF_STATE:
		if (!t->is_draining)
			set_self(t, m->u.self_state.state, m->u.self_state.pool);
		break;
	case SNIPE_TASK_DRAIN:
		/* Grants and claims stop before the shards are released. */
		t->is_draining = 1;
		t->drain_us = snipe_now_us();
		set_self(t, SNIPE_MEMBER_DRAINING, NULL);
		break;
	default:
		break;
	}
}

static void init_members(struct snipe_control_task *t, uint64_t process)
{
	struct snipe_member self;

	memset(&self, 0, sizeof(self));
	memcpy(self.node_id, t->settings->node_id, sizeof(self.node_id));
	memcpy(self.region, t->settings->region, sizeof(self.region));
	memcpy(self.failure_domain, t->settings->failure_domain, sizeof(self.failure_domain));
	self.process = process;
	self.address = *snipe_peer_address(t->peers);
	self.state = SNIPE_MEMBER_STARTING;
	snipe_membership_init(&t->members, &self, t->rng, t->started_us);
	t->members_changed = 1;
}

static uint64_t random_number(void)
{
	uint64_t n = 0;

	if (snipe_random_bytes(&n, sizeof(n)) < 0)
		g_error("getrandom failed; the kernel must provide it");
	/* Leaves room to count up. */
	return n >> 1;
}

static void init_decisions(struct snipe_control_task *t, uint64_t process)
{
	t->rng = g_rand_new_with_seed((guint32)random_number());
	init_members(t, process);
	snipe_control_state_init(&t->state, t->settings->node_id, t->settings->failure_domain,
				 random_number(), t->started_us);
	snipe_ownership_init(&t->ownership, t->settings->node_id, process);
	snipe_quota_owner_init(&t->quota, random_number());
	snipe_dedup_init(&t->dedup, random_number());
	g_queue_init(&t->delayed);
	for (int i = 0; i < SNIPE_OBJECT_COUNT; i++) {
		t->readers[i].task = t;
		t->readers[i].id = (enum snipe_object_id)i;
	}
}

static void init_handlers(struct snipe_control_task *t)
{
	struct snipe_peer_task *p = t->peers;

	snipe_peer_on(p, SNIPE_MSG_FETCH, snipe_control_on_fetch, t);
	snipe_peer_on(p, SNIPE_MSG_MEMBERS_ASK, snipe_control_on_members_ask, t);
	snipe_peer_on(p, SNIPE_MSG_QUOTA_ASK, snipe_control_on_quota_ask, t);
	snipe_peer_on(p, SNIPE_MSG_QUOTA_RETURN, snipe_control_on_quota_return, t);
	snipe_peer_on(p, SNIPE_MSG_DEDUP_CLAIM, snipe_control_on_claim, t);
	snipe_peer_on(p, SNIPE_MSG_DEDUP_DONE, snipe_control_on_claim_end, t);
	snipe_peer_on(p, SNIPE_MSG_DEDUP_RELEASE, snipe_control_on_claim_end, t);
}

static void init_counters(struct snipe_control_task *t)
{
	t->count_sent = snipe_counters_get(t->counters, "control_bytes_sent", "");
	t->count_received = snipe_counters_get(t->counters, "control_bytes_received", "");
	t->count_grants = snipe_counters_get(t->counters, "quota_asks_total", "");
	t->count_claims = snipe_counters_get(t->counters, "claims_total", "");
	t->gauge_mode = snipe_counters_get(t->counters, "control_mode", "");
	t->gauge_members = snipe_counters_get(t->counters, "members", "");
	t->gauge_spreading = snipe_counters_get(t->counters, "members_spreading", "");
}

struct snipe_control_task *snipe_control_task_new(const struct snipe_control_config *config,
						  struct snipe_error_text *err)
{
	static const struct timeval tick = {0, SNIPE_CONTROL_TICK_US};
	struct snipe_control_task *t = g_new0(struct snipe_control_task, 1);

	t->base = config->base;
	t->settings = config->settings;
	t->peers = config->peers;
	t->store = config->store;
	t->counters = config->counters;
	t->caller_box = config->caller_box;
	t->backend_box = config->backend_box;
	t->started_us = snipe_now_us();
	if (snipe_control_socket_open(t, err) < 0) {
		g_free(t);
		return NULL;
	}
	t->subscribers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	snipe_buffer_init(&t->datagram);
	snipe_mailbox_init(&t->box, t->base, handle_message, t);
	init_counters(t);
	init_decisions(t, config->process);
	init_handlers(t);
	event_assign(&t->tick, t->base, -1, EV_PERSIST, on_tick, t);
	event_add(&t->tick, &tick);
	return t;
}

static void cancel_store_calls(struct snipe_control_task *t)
{
	snipe_control_objects_finish(t);
	if (t->assign_handle)
		t->store->ops->cancel(t->store, t->assign_handle);
	if (t->seeds_handle)
		t->store->ops->cancel(t->store, t->seeds_handle);
	if (t->seeds_put_handle)
		t->store->ops->cancel(t->store, t->seeds_put_handle);
	free(t->assign_value);
}

void snipe_control_task_free(struct snipe_control_task *t)
{
	set_self(t, SNIPE_MEMBER_LEFT, NULL);
	event_del(&t->tick);
	snipe_control_socket_close(t);
	cancel_store_calls(t);
	snipe_mailbox_finish(&t->box);
	g_queue_clear_full(&t->delayed, g_free);
	snipe_dedup_finish(&t->dedup);
	snipe_quota_owner_finish(&t->quota);
	snipe_control_state_finish(&t->state);
	snipe_membership_finish(&t->members);
	snipe_loaded_tables_unref(t->tables);
	snipe_loaded_keys_unref(t->keys);
	g_hash_table_destroy(t->subscribers);
	snipe_buffer_finish(&t->datagram);
	g_rand_free(t->rng);
	g_free(t);
}

struct snipe_mailbox *snipe_control_task_mailbox(struct snipe_control_task *t)
{
	return &t->box;
}

int snipe_control_task_drained(const struct snipe_control_task *t)
{
	if (!t->is_draining)
		return 0;
	return !snipe_control_owns_shards(t) ||
	       snipe_now_us() - t->drain_us > SNIPE_RELEASE_LIMIT_US;
}
