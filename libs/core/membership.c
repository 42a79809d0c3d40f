#include "core/membership.h"

#include <string.h>

#define SECOND_US ((int64_t)1000000)
#define PROBE_PERIOD_US SECOND_US
#define ACK_TIMEOUT_US 300000
#define PROBE_TIMEOUT_US SECOND_US
#define SUSPECT_US (2 * SECOND_US)
/* Probing one dead member every 10 s ends a partition: it learns that it is taken for dead. */
#define DEAD_PROBE_US (10 * SECOND_US)
/* Longer than a partition of an hour. */
#define DEAD_MEMORY_US (7200 * SECOND_US)
#define LEFT_MEMORY_US (600 * SECOND_US)
/* After a gap between ticks the missing acks are the own fault. */
#define PAUSE_US (SECOND_US / 2)
#define INDIRECT_PROBES 2
/* New updates go at once to so many random members, and from them on. */
#define EAGER_SENDS 3
#define SELF_SENDS 8
#define MAX_ROUNDS 40

struct snipe_membership_entry {
	struct snipe_member member;
	int sends_left; /* datagrams that shall still carry this record */
	int is_fresh;	/* not sent yet */
};

/* An own probe, or with relay_to a probe for another member. */
struct pending_probe {
	uint64_t sequence;
	char node_id[SNIPE_NAME_SIZE];
	int64_t sent_us;
	int is_indirect_sent;
	int is_relay;
	struct snipe_address relay_to;
	uint64_t relay_sequence;
};

int snipe_member_is_live(const struct snipe_member *m)
{
	return m->state != SNIPE_MEMBER_LEFT && m->state != SNIPE_MEMBER_DEAD;
}

static struct snipe_membership_entry *entry_at(const struct snipe_membership *m, guint i)
{
	return g_ptr_array_index(m->entries, i);
}

/* Returns the index of a node id, or where it belongs with *found 0. */
static guint search(const struct snipe_membership *m, const char *node_id, int *found)
{
	guint lo = 0, hi = m->entries->len;

	*found = 0;
	while (lo < hi) {
		guint mid = (lo + hi) / 2;
		int order = strcmp(entry_at(m, mid)->member.node_id, node_id);

		if (order == 0) {
			*found = 1;
			return mid;
		}
		if (order < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

static struct snipe_membership_entry *find_entry(const struct snipe_membership *m,
						 const char *node_id)
{
	int found;
	guint i = search(m, node_id, &found);

	return found ? entry_at(m, i) : NULL;
}

static int is_self(const struct snipe_membership *m, const char *node_id)
{
	return !strcmp(m->self.node_id, node_id);
}

/* 3 * log2(n) datagrams reach all members with a probability near 1 (SWIM, section 4.1). */
static int rounds(const struct snipe_membership *m)
{
	int n = 3;

	for (guint left = m->entries->len; left; left /= 2)
		n += 3;
	return MIN(n, MAX_ROUNDS);
}

static void spread(struct snipe_membership *m, struct snipe_membership_entry *e)
{
	e->sends_left = rounds(m);
	if (!e->is_fresh)
		m->fresh++;
	e->is_fresh = 1;
}

static struct snipe_membership_entry *add_entry(struct snipe_membership *m,
						const struct snipe_member *record)
{
	struct snipe_membership_entry *e = g_new0(struct snipe_membership_entry, 1);
	int found;
	guint i = search(m, record->node_id, &found);

	e->member = *record;
	g_ptr_array_insert(m->entries, (gint)i, e);
	if (!is_self(m, record->node_id)) {
		/* A random place among those that are still to be probed. */
		gint at = g_rand_int_range(m->rng, (gint)m->probe_index,
					   (gint)m->probe_order->len + 1);

		g_ptr_array_insert(m->probe_order, at, e);
	}
	return e;
}

static void remove_entry(struct snipe_membership *m, guint index)
{
	struct snipe_membership_entry *e = entry_at(m, index);

	for (guint i = 0; i < m->probe_order->len; i++) {
		if (g_ptr_array_index(m->probe_order, i) != e)
			continue;
		g_ptr_array_remove_index(m->probe_order, i);
		if (i < m->probe_index)
			m->probe_index--;
		break;
	}
	if (e->is_fresh)
		m->fresh--;
	g_ptr_array_remove_index(m->entries, index);
}

void snipe_membership_init(struct snipe_membership *m, const struct snipe_member *self,
			   GRand *rng, int64_t now_us)
{
	memset(m, 0, sizeof(*m));
	m->entries = g_ptr_array_new_with_free_func(g_free);
	m->probe_order = g_ptr_array_new();
	m->pending = g_array_new(FALSE, FALSE, sizeof(struct pending_probe));
	m->self = *self;
	m->self.heard_us = m->self.state_since_us = now_us;
	m->rng = rng;
	/* A random start keeps acks for an earlier process from counting. */
	m->next_sequence = (uint64_t)g_rand_int(rng) << 32 | 1;
	m->next_probe_us = now_us + g_rand_int_range(rng, 0, (gint)PROBE_PERIOD_US);
	m->next_dead_probe_us = now_us + DEAD_PROBE_US;
	m->last_tick_us = now_us;
	spread(m, add_entry(m, &m->self));
}

void snipe_membership_finish(struct snipe_membership *m)
{
	g_array_free(m->pending, TRUE);
	g_ptr_array_free(m->probe_order, TRUE);
	g_ptr_array_free(m->entries, TRUE);
}

/* Among records of one process and incarnation a judgement replaces what the member said. */
static int state_rank(enum snipe_member_state state)
{
	return state == SNIPE_MEMBER_SUSPECT				  ? 1
	       : state == SNIPE_MEMBER_DEAD || state == SNIPE_MEMBER_LEFT ? 2
									  : 0;
}

static int is_newer(const struct snipe_member *a, const struct snipe_member *b)
{
	if (a->process != b->process)
		return a->process > b->process;
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return state_rank(a->state) > state_rank(b->state);
}

static void set_state(struct snipe_membership *m, struct snipe_membership_entry *e,
		      int64_t now_us, enum snipe_member_state state)
{
	if (e->member.state != state)
		e->member.state_since_us = now_us;
	e->member.state = state;
	spread(m, e);
}

static void publish_self(struct snipe_membership *m, int64_t now_us)
{
	struct snipe_membership_entry *e = find_entry(m, m->self.node_id);

	m->self.heard_us = now_us;
	e->member = m->self;
	spread(m, e);
}

/*
 * Others hold a record of this node that is not its own. A judgement about this incarnation is
 * refuted by a higher one; a sender with an older judgement, or of an older process, missed the
 * present record and gets it again. The record without a failure domain comes from a member
 * that does not know this one (see ack).
 */
static void refute(struct snipe_membership *m, int64_t now_us, const struct snipe_member *r)
{
	if (r->process > m->self.process)
		return;
	if (r->process == m->self.process && r->failure_domain[0]) {
		if (r->state == m->self.state ||
		    (r->incarnation < m->self.incarnation && state_rank(r->state) == 0))
			return;
		if (r->incarnation >= m->self.incarnation)
			m->self.incarnation = r->incarnation + 1;
	}
	publish_self(m, now_us);
}

/* A VM that was replaced has another node id on the same address: the older process is gone. */
static void bury_predecessor(struct snipe_membership *m, int64_t now_us,
			     const struct snipe_member *record)
{
	for (guint i = 0; i < m->entries->len; i++) {
		struct snipe_membership_entry *e = entry_at(m, i);

		if (e->member.process < record->process &&
		    strcmp(e->member.node_id, record->node_id) != 0 &&
		    !is_self(m, e->member.node_id) && snipe_member_is_live(&e->member) &&
		    snipe_address_equal(&e->member.address, &record->address))
			set_state(m, e, now_us, SNIPE_MEMBER_DEAD);
	}
}

static void merge(struct snipe_membership *m, int64_t now_us, const struct snipe_member *record,
		  int add_dead, int *changed)
{
	struct snipe_membership_entry *e;

	if (is_self(m, record->node_id)) {
		refute(m, now_us, record);
		return;
	}
	e = find_entry(m, record->node_id);
	if (!e && !snipe_member_is_live(record) && !add_dead)
		return;
	if (!e) {
		e = add_entry(m, record);
		e->member.heard_us = 0;
	} else if (is_newer(record, &e->member)) {
		int64_t heard_us = e->member.heard_us, since_us = e->member.state_since_us;
		int same = e->member.state == record->state &&
			   e->member.process == record->process;

		e->member = *record;
		e->member.heard_us = heard_us;
		e->member.state_since_us = since_us;
		if (same) {
			spread(m, e);
			*changed = 1;
			return;
		}
	} else {
		return;
	}
	e->member.state_since_us = now_us;
	spread(m, e);
	*changed = 1;
	if (snipe_member_is_live(record))
		bury_predecessor(m, now_us, record);
}

void snipe_membership_merge(struct snipe_membership *m, int64_t now_us,
			    const struct snipe_member *update, int *changed)
{
	/* Dead members of the list make their failure domains known. */
	merge(m, now_us, update, 1, changed);
}

static struct snipe_probe *add_send(struct snipe_membership *m,
				    struct snipe_membership_actions *actions,
				    enum snipe_probe_type type, const struct snipe_address *to)
{
	struct snipe_probe *p;

	if (actions->send_count == SNIPE_MEMBERSHIP_SENDS)
		return NULL;
	p = &actions->sends[actions->send_count++];
	memset(p, 0, sizeof(*p));
	p->type = type;
	p->to = *to;
	g_strlcpy(p->from_id, m->self.node_id, sizeof(p->from_id));
	p->from_process = m->self.process;
	return p;
}

static void carry(struct snipe_membership *m, struct snipe_probe *p,
		  struct snipe_membership_entry *e)
{
	for (int i = 0; i < p->update_count; i++) {
		if (!strcmp(p->updates[i].node_id, e->member.node_id))
			return;
	}
	p->updates[p->update_count++] = e->member;
	if (e->sends_left > 0)
		e->sends_left--;
	if (e->is_fresh)
		m->fresh--;
	e->is_fresh = 0;
}

/* Adds the records that were sent least often. */
static void fill(struct snipe_membership *m, struct snipe_probe *p)
{
	while (p->update_count < SNIPE_UPDATES_PER_DATAGRAM) {
		struct snipe_membership_entry *best = NULL;

		for (guint i = 0; i < m->entries->len; i++) {
			struct snipe_membership_entry *e = entry_at(m, i);
			int taken = 0;

			if (!e->sends_left || (best && e->sends_left <= best->sends_left))
				continue;
			for (int j = 0; j < p->update_count; j++)
				taken |= !strcmp(p->updates[j].node_id, e->member.node_id);
			if (!taken)
				best = e;
		}
		if (!best)
			return;
		carry(m, p, best);
	}
}

/* A member that is taken for suspect or dead must learn it, so that it can refute. */
static void tell_judgement(struct snipe_membership *m, struct snipe_probe *p,
			   struct snipe_membership_entry *e)
{
	if (e->member.state == SNIPE_MEMBER_SUSPECT || e->member.state == SNIPE_MEMBER_DEAD)
		carry(m, p, e);
}

static struct snipe_probe *send_to(struct snipe_membership *m,
				   struct snipe_membership_actions *actions,
				   enum snipe_probe_type type, struct snipe_membership_entry *e)
{
	struct snipe_probe *p = add_send(m, actions, type, &e->member.address);

	if (!p)
		return NULL;
	tell_judgement(m, p, e);
	fill(m, p);
	return p;
}

static int is_other_live(const struct snipe_membership *m,
			 const struct snipe_membership_entry *e)
{
	return snipe_member_is_live(&e->member) && !is_self(m, e->member.node_id);
}

/* Chooses up to n distinct live members other than this one and except. */
static int choose_random(struct snipe_membership *m, int n, const char *except,
			 struct snipe_membership_entry **out)
{
	int seen = 0, count = 0;

	for (guint i = 0; i < m->entries->len; i++) {
		struct snipe_membership_entry *e = entry_at(m, i);
		int at;

		if (!is_other_live(m, e) || (except && !strcmp(e->member.node_id, except)))
			continue;
		at = seen < n ? seen : g_rand_int_range(m->rng, 0, seen + 1);
		seen++;
		if (at < n)
			out[at] = e;
		count = MIN(seen, n);
	}
	return count;
}

/* Sends updates to n random members. own, if not NULL, is carried in any case. */
static void send_updates(struct snipe_membership *m, struct snipe_membership_actions *actions,
			 int n, struct snipe_membership_entry *own)
{
	struct snipe_membership_entry *to[SELF_SENDS];
	struct snipe_probe first;
	int count = choose_random(m, n, NULL, to);

	for (int i = 0; i < count; i++) {
		struct snipe_probe *p =
			add_send(m, actions, SNIPE_PROBE_UPDATE, &to[i]->member.address);

		if (!p)
			return;
		/* All of them carry the same records. */
		if (i == 0) {
			if (own)
				carry(m, p, own);
			fill(m, p);
			first = *p;
		} else {
			memcpy(p->updates, first.updates, sizeof(p->updates));
			p->update_count = first.update_count;
		}
	}
}

/* Returns the probe's entry, valid until the next probe, or NULL if there is no room. */
static struct pending_probe *send_probe(struct snipe_membership *m, int64_t now_us,
					struct snipe_membership_actions *actions,
					struct snipe_membership_entry *e)
{
	struct pending_probe pending = {0};
	struct snipe_membership_entry *any;
	struct snipe_probe *p = send_to(m, actions, SNIPE_PROBE, e);

	if (!p)
		return NULL;
	/* One random record on every fourth probe repairs lists that lost an update for good.
	 */
	if (m->next_sequence % 4 == 0 && p->update_count < SNIPE_UPDATES_PER_DATAGRAM &&
	    choose_random(m, 1, e->member.node_id, &any))
		carry(m, p, any);
	p->sequence = pending.sequence = m->next_sequence++;
	pending.sent_us = now_us;
	g_strlcpy(pending.node_id, e->member.node_id, sizeof(pending.node_id));
	g_array_append_val(m->pending, pending);
	return &g_array_index(m->pending, struct pending_probe, m->pending->len - 1);
}

static void shuffle(struct snipe_membership *m)
{
	GPtrArray *order = m->probe_order;

	for (guint i = order->len; i > 1; i--) {
		guint j = (guint)g_rand_int_range(m->rng, 0, (gint)i);
		gpointer t = order->pdata[i - 1];

		order->pdata[i - 1] = order->pdata[j];
		order->pdata[j] = t;
	}
	m->probe_index = 0;
}

static void probe_next(struct snipe_membership *m, int64_t now_us,
		       struct snipe_membership_actions *actions)
{
	for (guint tried = 0; tried < m->probe_order->len; tried++) {
		struct snipe_membership_entry *e;

		if (m->probe_index >= m->probe_order->len)
			shuffle(m);
		e = g_ptr_array_index(m->probe_order, m->probe_index++);
		if (!is_other_live(m, e))
			continue;
		send_probe(m, now_us, actions, e);
		return;
	}
}

static void probe_dead(struct snipe_membership *m, int64_t now_us,
		       struct snipe_membership_actions *actions)
{
	struct snipe_membership_entry *chosen = NULL;
	int seen = 0;

	for (guint i = 0; i < m->entries->len; i++) {
		struct snipe_membership_entry *e = entry_at(m, i);

		if (e->member.state == SNIPE_MEMBER_DEAD &&
		    g_rand_int_range(m->rng, 0, ++seen) == 0)
			chosen = e;
	}
	if (chosen)
		send_probe(m, now_us, actions, chosen);
}

static void probe_indirectly(struct snipe_membership *m,
			     struct snipe_membership_actions *actions,
			     const struct pending_probe *pending,
			     const struct snipe_membership_entry *target)
{
	struct snipe_membership_entry *relays[INDIRECT_PROBES];
	int n = choose_random(m, INDIRECT_PROBES, pending->node_id, relays);

	for (int i = 0; i < n; i++) {
		struct snipe_probe *p = send_to(m, actions, SNIPE_PROBE_INDIRECT, relays[i]);

		if (!p)
			return;
		p->sequence = pending->sequence;
		p->target = target->member.address;
	}
}

/* Handles acks that are late. Returns nonzero if the probe is over. */
static int check_pending(struct snipe_membership *m, int64_t now_us,
			 struct snipe_membership_actions *actions, struct pending_probe *p)
{
	int64_t waited = now_us - p->sent_us;
	struct snipe_membership_entry *e = find_entry(m, p->node_id);

	if (!e || (p->is_relay && waited >= PROBE_TIMEOUT_US))
		return 1;
	if (p->is_relay || waited < ACK_TIMEOUT_US)
		return 0;
	if (!p->is_indirect_sent && snipe_member_is_live(&e->member)) {
		p->is_indirect_sent = 1;
		probe_indirectly(m, actions, p, e);
	}
	if (waited < PROBE_TIMEOUT_US)
		return 0;
	if (snipe_member_is_live(&e->member) && e->member.state != SNIPE_MEMBER_SUSPECT) {
		set_state(m, e, now_us, SNIPE_MEMBER_SUSPECT);
		actions->changed = 1;
		send_to(m, actions, SNIPE_PROBE_UPDATE, e);
	}
	return 1;
}

static void check_states(struct snipe_membership *m, int64_t now_us,
			 struct snipe_membership_actions *actions)
{
	for (guint i = 0; i < m->entries->len;) {
		struct snipe_membership_entry *e = entry_at(m, i);
		int64_t since = now_us - e->member.state_since_us;

		if (e->member.state == SNIPE_MEMBER_SUSPECT && since >= SUSPECT_US) {
			set_state(m, e, now_us, SNIPE_MEMBER_DEAD);
			actions->changed = 1;
		} else if (!is_self(m, e->member.node_id) &&
			   ((e->member.state == SNIPE_MEMBER_DEAD && since >= DEAD_MEMORY_US) ||
			    (e->member.state == SNIPE_MEMBER_LEFT &&
			     since >= LEFT_MEMORY_US))) {
			remove_entry(m, i);
			actions->changed = 1;
			continue;
		}
		i++;
	}
}

/* The process was paused: acks and refutations may be waiting in the socket. */
static void forgive_pause(struct snipe_membership *m, int64_t now_us)
{
	g_array_set_size(m->pending, 0);
	for (guint i = 0; i < m->entries->len; i++) {
		struct snipe_member *member = &entry_at(m, i)->member;

		if (member->state == SNIPE_MEMBER_SUSPECT)
			member->state_since_us = now_us;
	}
}

void snipe_membership_tick(struct snipe_membership *m, int64_t now_us,
			   struct snipe_membership_actions *actions)
{
	memset(actions, 0, sizeof(*actions));
	if (now_us - m->last_tick_us > PAUSE_US)
		forgive_pause(m, now_us);
	m->last_tick_us = now_us;
	for (guint i = 0; i < m->pending->len;) {
		if (check_pending(m, now_us, actions,
				  &g_array_index(m->pending, struct pending_probe, i)))
			g_array_remove_index_fast(m->pending, i);
		else
			i++;
	}
	check_states(m, now_us, actions);
	if (now_us >= m->next_probe_us) {
		m->next_probe_us = MAX(m->next_probe_us + PROBE_PERIOD_US, now_us);
		probe_next(m, now_us, actions);
	}
	if (now_us >= m->next_dead_probe_us) {
		m->next_dead_probe_us = now_us + DEAD_PROBE_US;
		probe_dead(m, now_us, actions);
	}
	if (m->fresh)
		send_updates(m, actions, EAGER_SENDS, NULL);
}

void snipe_membership_unsent(struct snipe_membership *m, const struct snipe_probe *probe,
			     int count)
{
	for (int i = MAX(probe->update_count - count, 0); i < probe->update_count; i++) {
		struct snipe_membership_entry *e = find_entry(m, probe->updates[i].node_id);

		if (e)
			e->sends_left++;
	}
}

static void ack(struct snipe_membership *m, const struct snipe_probe *probe,
		struct snipe_membership_actions *actions)
{
	struct snipe_membership_entry *e = find_entry(m, probe->from_id);
	struct snipe_probe *p = add_send(m, actions, SNIPE_PROBE_ACK, &probe->to);

	if (!p)
		return;
	p->sequence = probe->sequence;
	if (e && e->member.process >= probe->from_process) {
		tell_judgement(m, p, e);
	} else if (probe->from_id[0]) {
		/* The sender is not known here: as a suspect it introduces itself. */
		struct snipe_member *u = &p->updates[p->update_count++];

		g_strlcpy(u->node_id, probe->from_id, sizeof(u->node_id));
		u->process = probe->from_process;
		u->address = probe->to;
		u->state = SNIPE_MEMBER_SUSPECT;
	}
	fill(m, p);
}

static void relay(struct snipe_membership *m, int64_t now_us, const struct snipe_probe *probe,
		  struct snipe_membership_actions *actions)
{
	struct snipe_membership_entry *target = NULL;
	struct pending_probe *pending;

	for (guint i = 0; i < m->entries->len && !target; i++) {
		struct snipe_membership_entry *e = entry_at(m, i);

		if (is_other_live(m, e) &&
		    snipe_address_equal(&e->member.address, &probe->target))
			target = e;
	}
	if (!target)
		return;
	pending = send_probe(m, now_us, actions, target);
	if (!pending)
		return;
	pending->is_relay = 1;
	pending->relay_to = probe->to;
	pending->relay_sequence = probe->sequence;
}

static void take_ack(struct snipe_membership *m, int64_t now_us,
		     const struct snipe_probe *probe, struct snipe_membership_actions *actions)
{
	for (guint i = 0; i < m->pending->len; i++) {
		struct pending_probe p = g_array_index(m->pending, struct pending_probe, i);
		struct snipe_probe *reply;

		if (p.sequence != probe->sequence)
			continue;
		/* Before indirect probes only the member itself can ack. Later the ack comes
		 * from a relay, which has checked the same. */
		if (!p.is_indirect_sent && strcmp(p.node_id, probe->from_id) != 0)
			return;
		if (p.is_relay) {
			reply = add_send(m, actions, SNIPE_PROBE_ACK, &p.relay_to);
			if (reply)
				reply->sequence = p.relay_sequence;
		}
		g_array_remove_index_fast(m->pending, i);
		return;
	}
}

void snipe_membership_receive(struct snipe_membership *m, int64_t now_us,
			      const struct snipe_probe *probe,
			      struct snipe_membership_actions *actions)
{
	struct snipe_membership_entry *e;

	memset(actions, 0, sizeof(*actions));
	for (int i = 0; i < probe->update_count; i++)
		merge(m, now_us, &probe->updates[i], 0, &actions->changed);
	e = find_entry(m, probe->from_id);
	if (e && e->member.process == probe->from_process)
		e->member.heard_us = now_us;
	switch (probe->type) {
	case SNIPE_PROBE:
		ack(m, probe, actions);
		break;
	case SNIPE_PROBE_ACK:
		take_ack(m, now_us, probe, actions);
		break;
	case SNIPE_PROBE_INDIRECT:
		relay(m, now_us, probe, actions);
		break;
	case SNIPE_PROBE_UPDATE:
		break;
	}
}

void snipe_membership_set_self(struct snipe_membership *m, int64_t now_us,
			       enum snipe_member_state state, const char *pool,
			       struct snipe_membership_actions *actions)
{
	memset(actions, 0, sizeof(*actions));
	if (m->self.state == state && (!pool || !strcmp(pool, m->self.pool)))
		return;
	if (m->self.state != state)
		m->self.state_since_us = now_us;
	m->self.state = state;
	if (pool)
		g_strlcpy(m->self.pool, pool, sizeof(m->self.pool));
	m->self.incarnation++;
	publish_self(m, now_us);
	actions->changed = 1;
	send_updates(m, actions, SELF_SENDS, find_entry(m, m->self.node_id));
}

int snipe_membership_count(const struct snipe_membership *m)
{
	return (int)m->entries->len;
}

int snipe_membership_spreading(const struct snipe_membership *m)
{
	int n = 0;

	for (guint i = 0; i < m->entries->len; i++)
		n += entry_at(m, i)->sends_left > 0;
	return n;
}

const struct snipe_member *snipe_membership_at(const struct snipe_membership *m, int index)
{
	return &entry_at(m, (guint)index)->member;
}

const struct snipe_member *snipe_membership_find(const struct snipe_membership *m,
						 const char *node_id)
{
	const struct snipe_membership_entry *e = find_entry(m, node_id);

	return e ? &e->member : NULL;
}
