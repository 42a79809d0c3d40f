#include <string.h>

#include "base/clock.h"
#include "node/control_internal.h"

/* A node that wants digests. */
struct snipe_subscriber {
	struct snipe_address address;
	uint64_t echo;
	int64_t received_us;
	int64_t sent_us;      /* of the last digest, 0: none */
	int64_t confirmed_us; /* what the last digest confirmed */
};

static void send_digest(struct snipe_control_task *t, struct snipe_subscriber *s)
{
	int64_t now = snipe_now_us();
	struct snipe_datagram d;

	memset(&d, 0, sizeof(d));
	d.type = SNIPE_DATAGRAM_DIGEST;
	snipe_control_state_make_digest(&t->state, now, &d.u.digest);
	d.u.digest.echo = s->echo;
	d.u.digest.reply_delay_us = now - s->received_us;
	s->sent_us = now;
	s->confirmed_us = d.u.digest.age_us == INT64_MAX ? 0 : now - d.u.digest.age_us;
	snipe_control_send(t, &d, &s->address);
}

/* Sends digests to all subscribers, or to those for whom there is something new. */
static void push(struct snipe_control_task *t, int is_changed)
{
	int64_t now = snipe_now_us(), confirmed_us;
	struct snipe_subscriber *s;
	struct snipe_digest own;
	GHashTableIter it;
	gpointer value;

	snipe_control_state_make_digest(&t->state, now, &own);
	confirmed_us = own.age_us == INT64_MAX ? 0 : now - own.age_us;
	g_hash_table_iter_init(&it, t->subscribers);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		if (now - s->received_us > SNIPE_SUBSCRIPTION_US)
			g_hash_table_iter_remove(&it);
		else if (is_changed || confirmed_us - s->confirmed_us >= SNIPE_ADVANCE_US ||
			 now - s->sent_us >= SNIPE_PUSH_US)
			send_digest(t, s);
	}
}

void snipe_control_push(struct snipe_control_task *t)
{
	push(t, 1);
}

void snipe_control_advance(struct snipe_control_task *t)
{
	push(t, 0);
}

static void fetch_newer(struct snipe_control_task *t, unsigned mask,
			const struct snipe_address *from)
{
	for (int id = 0; id < SNIPE_OBJECT_COUNT; id++) {
		if (mask & 1u << id)
			snipe_control_fetch(t, (enum snipe_object_id)id, from);
	}
}

void snipe_control_on_subscribe(struct snipe_control_task *t, const struct snipe_address *from,
				const struct snipe_datagram *d)
{
	struct snipe_digest digest = d->u.digest;
	char text[SNIPE_ADDRESS_TEXT_SIZE];
	struct snipe_subscriber *s;

	snipe_address_format(from, text);
	s = g_hash_table_lookup(t->subscribers, text);
	if (!s) {
		s = g_new0(struct snipe_subscriber, 1);
		s->address = *from;
		g_hash_table_insert(t->subscribers, g_strdup(text), s);
	}
	s->echo = digest.echo;
	s->received_us = snipe_now_us();
	/* The others wait for the next digest that confirms more. */
	if (!s->sent_us || digest.age_us >= SNIPE_AGED_US ||
	    memcmp(digest.versions, t->state.versions, sizeof(digest.versions)) != 0)
		send_digest(t, s);
	/* The echo is the subscriber's; its digest answers nothing that this node asked. */
	digest.echo = 0;
	fetch_newer(t,
		    snipe_control_state_receive_digest(&t->state, snipe_now_us(), d->from_id,
						       d->from_domain, &digest),
		    from);
}

void snipe_control_on_digest(struct snipe_control_task *t, const struct snipe_address *from,
			     const struct snipe_datagram *d)
{
	int64_t now = snipe_now_us();

	fetch_newer(t,
		    snipe_control_state_receive_digest(&t->state, now, d->from_id,
						       d->from_domain, &d->u.digest),
		    from);
	snipe_control_advance(t);
}

static void subscribe(struct snipe_control_task *t, const struct snipe_member *m)
{
	int64_t now = snipe_now_us();
	struct snipe_datagram d;

	if (!m || !strcmp(m->node_id, t->settings->node_id))
		return;
	memset(&d, 0, sizeof(d));
	d.type = SNIPE_DATAGRAM_SUBSCRIBE;
	snipe_control_state_make_digest(&t->state, now, &d.u.digest);
	d.u.digest.echo = snipe_control_state_echo(&t->state, now);
	snipe_control_send(t, &d, &m->address);
}

/* Without confirmation a node asks one random live node of each failure domain, which shows
 * whether the whole fleet is without the platform. */
static void subscribe_to_each_domain(struct snipe_control_task *t)
{
	GHashTable *chosen = g_hash_table_new(g_str_hash, g_str_equal);
	int n = snipe_membership_count(&t->members);
	int start = n > 0 ? g_rand_int_range(t->rng, 0, n) : 0;

	for (int i = 0; i < n; i++) {
		const struct snipe_member *m =
			snipe_membership_at(&t->members, (start + i) % n);

		if (m->state == SNIPE_MEMBER_SUSPECT || !snipe_member_is_live(m) ||
		    !strcmp(m->node_id, t->settings->node_id) ||
		    !g_hash_table_add(chosen, (gpointer)m->failure_domain))
			continue;
		subscribe(t, m);
	}
	g_hash_table_destroy(chosen);
}

/* The second parent is a random live node each time, and only asked while the first one does
 * not keep this node fresh: a standing second subscription would double the control traffic. */
static void subscribe_all(struct snipe_control_task *t, int64_t now, int is_aged)
{
	snipe_control_state_tree_role(&t->state, &t->members, t->rng, &t->role);
	if (t->role.parent_id[0])
		subscribe(t, snipe_membership_find(&t->members, t->role.parent_id));
	if (is_aged && t->role.second_parent_id[0])
		subscribe(t, snipe_membership_find(&t->members, t->role.second_parent_id));
	if (snipe_control_state_mode(&t->state, now) != SNIPE_CONTROL_CONFIRMED)
		subscribe_to_each_domain(t);
}

void snipe_control_tree_tick(struct snipe_control_task *t, int64_t now)
{
	struct snipe_digest own;
	int is_aged;

	snipe_control_state_tick(&t->state, now);
	snipe_control_state_make_digest(&t->state, now, &own);
	is_aged = own.age_us >= SNIPE_AGED_US;
	if (is_aged)
		t->next_subscribe_us = MIN(t->next_subscribe_us,
					   t->last_subscribe_us + SNIPE_SUBSCRIBE_AGED_US);
	if (now >= t->next_subscribe_us) {
		t->last_subscribe_us = now;
		t->next_subscribe_us = now + SNIPE_SUBSCRIBE_US;
		snipe_control_state_update_members(&t->state, now, &t->members);
		subscribe_all(t, now, is_aged);
	}
	snipe_control_advance(t);
}
