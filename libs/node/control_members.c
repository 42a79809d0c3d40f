#include <jansson.h>
#include <string.h>

#include "base/log.h"
#include "base/clock.h"
#include "node/control_internal.h"

#define MEMBERS_TIMEOUT_US 2000000

void snipe_control_on_members_ask(void *arg, const struct snipe_peer_origin *from,
				  const struct snipe_message *msg, const char *body,
				  size_t body_len)
{
	struct snipe_control_task *t = arg;
	int n = MIN(snipe_membership_count(&t->members), SNIPE_MAX_MEMBERS);
	struct snipe_message m;

	(void)msg;
	(void)body;
	(void)body_len;
	memset(&m, 0, sizeof(m));
	m.type = SNIPE_MSG_MEMBERS;
	m.u.members.members = g_new0(struct snipe_member, n + 1);
	m.u.members.count = n;
	for (int i = 0; i < n; i++)
		m.u.members.members[i] = *snipe_membership_at(&t->members, i);
	snipe_peer_reply(t->peers, from, &m, NULL, 0);
	g_free(m.u.members.members);
}

static void on_members(void *arg, int err, const struct snipe_message *reply, const char *body,
		       size_t body_len)
{
	struct snipe_control_task *t = arg;
	int changed = 0;

	(void)body;
	(void)body_len;
	if (err || reply->type != SNIPE_MSG_MEMBERS)
		return;
	for (int i = 0; i < reply->u.members.count; i++)
		snipe_membership_merge(&t->members, snipe_now_us(),
				       &reply->u.members.members[i], &changed);
	t->members_changed |= changed;
	if (!t->has_joined)
		snipe_log(SNIPE_LOG_INFO, "joined", "members=%d", reply->u.members.count);
	t->has_joined = 1;
	t->next_subscribe_us = 0;
}

static void ask_members(struct snipe_control_task *t, const struct snipe_address *seed)
{
	struct snipe_message m;

	if (snipe_address_equal(seed, snipe_peer_address(t->peers)))
		return;
	memset(&m, 0, sizeof(m));
	m.type = SNIPE_MSG_MEMBERS_ASK;
	snipe_peer_request(t->peers, seed, &m, NULL, 0, MEMBERS_TIMEOUT_US, on_members, t);
}

static void on_seeds(void *arg, int err, const struct snipe_object *object)
{
	struct snipe_control_task *t = arg;
	struct snipe_address seed;
	json_t *root, *list, *entry;
	size_t i;

	t->seeds_handle = 0;
	if (err)
		return;
	root = json_loadb(object->value, object->len, 0, NULL);
	list = root ? json_object_get(root, "seeds") : NULL;
	json_array_foreach(list, i, entry)
	{
		if (json_is_string(entry) &&
		    snipe_address_parse(json_string_value(entry), &seed) == 0)
			ask_members(t, &seed);
	}
	json_decref(root);
}

static int knows_others(const struct snipe_control_task *t)
{
	for (int i = 0; i < snipe_membership_count(&t->members); i++) {
		const struct snipe_member *m = snipe_membership_at(&t->members, i);

		if (snipe_member_is_live(m) && strcmp(m->node_id, t->settings->node_id) != 0)
			return 1;
	}
	return 0;
}

void snipe_control_join_tick(struct snipe_control_task *t, int64_t now)
{
	/* A node that finds nobody begins alone; others join it later. */
	if (!t->has_joined && now - t->started_us > SNIPE_JOIN_US) {
		t->has_joined = 1;
		t->next_subscribe_us = 0;
	}
	if (now < t->next_join_us || knows_others(t))
		return;
	t->next_join_us = now + SNIPE_JOIN_RETRY_US;
	for (int i = 0; i < t->settings->seed_count; i++)
		ask_members(t, &t->settings->seeds[i]);
	if (!t->seeds_handle) {
		t->seeds_handle = t->store->ops->get(t->store, "fleet", "seeds",
						     SNIPE_STORE_TIMEOUT_MS, on_seeds, t);
		if (t->seeds_handle < 0)
			t->seeds_handle = 0;
	}
}
