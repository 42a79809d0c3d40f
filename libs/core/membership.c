#include "core/membership.h"

#include <string.h>

#define SECOND_US ((int64_t)1000000)
#define PROBE_PERIOD_US SECOND_US
#define ACK_TIMEOUT_US 300000
#define PROBE_TIMEOUT_US SECOND_US
#define SUSPICION_TIMEOUT_US (2 * SECOND_US)
/* Probing a dead member ends a partition: it receives its dead state and refutes it. */
#define DEAD_PROBE_PERIOD_US (10 * SECOND_US)
/* Longer than a partition of an hour. */
#define DEAD_RETENTION_US (7200 * SECOND_US)
#define LEFT_RETENTION_US (600 * SECOND_US)
/* A longer gap between ticks is a stall of this node: missing acks then show no failure. */
#define STALL_US (SECOND_US / 2)
#define INDIRECT_PROBES 2
/* Random members that receive a new update at once, and forward it. */
#define UPDATE_FANOUT 3
#define SELF_UPDATE_FANOUT 8
#define MAX_TRANSMISSIONS 40

struct snipe_membership_entry {
	struct snipe_member member;
	int transmissions_left; /* datagrams that are still to include this record */
	int is_unsent;		/* changed and not sent since */
};

/* A probe without an ack yet, sent for this node or, if is_relay, for another member. */
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

/* Returns the index of a node id and sets *found, or returns its insertion index. */
static guint find_index(const struct snipe_membership *m, const char *node_id, int *found)
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
	guint i = find_index(m, node_id, &found);

	return found ? entry_at(m, i) : NULL;
}

static int is_self(const struct snipe_membership *m, const char *node_id)
{
	return !strcmp(m->self.node_id, node_id);
}

/* After 3 * log2(n) transmissions a record has reached all members with a probability near 1
 * (SWIM, section 4.1). */
static int transmission_limit(const struct snipe_membership *m)
{
	int n = 3;

	for (guint left = m->entries->len; left; left /= 2)
		n += 3;
	return MIN(n, MAX_TRANSMISSIONS);
}

static void queue_update(struct snipe_membership *m, struct snipe_membership_entry *e)
{
	e->transmissions_left = transmission_limit(m);
	if (!e->is_unsent)
		m->unsent_count++;
	e->is_unsent = 1;
}

static struct snipe_membership_entry *add_entry(struct snipe_membership *m,
						const struct snipe_member *record)
{
	struct snipe_membership_entry *e = g_new0(struct snipe_membership_entry, 1);
	int found;
	guint i = find_index(m, record->node_id, &found);

	e->member = *record;
	g_ptr_array_insert(m->entries, (gint)i, e);
	if (!is_self(m, record->node_id)) {
		/* A random position among those still to be probed in this round. */
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
	if (e->is_unsent)
		m->unsent_count--;
	g_ptr_array_remove_index(m->entries, index);
}

void snipe_membership_init(struct snipe_membership *m, const struct snipe_member *self,
			   GRand *rng, int64_t now_us)
{
	memset(m, 0, sizeof(*m));
	m->entries = g_ptr_array_new_with_free_func(g_free);
	m->probe_order = g_ptr_array_new();
	m->pending_probes = g_array_new(FALSE, FALSE, sizeof(struct pending_probe));
	m->self = *self;
	m->self.last_received_us = m->self.state_since_us = now_us;
	m->rng = rng;
	/* With a random start, acks to an earlier process match no sequence of this one. */
	m->next_sequence = (uint64_t)g_rand_int(rng) << 32 | 1;
	m->next_probe_us = now_us + g_rand_int_range(rng, 0, (gint)PROBE_PERIOD_US);
	m->next_dead_probe_us = now_us + DEAD_PROBE_PERIOD_US;
	m->last_tick_us = now_us;
	queue_update(m, add_entry(m, &m->self));
}

void snipe_membership_finish(struct snipe_membership *m)
{
	g_array_free(m->pending_probes, TRUE);
	g_ptr_array_free(m->probe_order, TRUE);
	g_ptr_array_free(m->entries, TRUE);
}

/* Within one incarnation, suspect overrides a state that the member reported itself, and dead
 * or left overrides both. */
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
	queue_update(m, e);
}

static void publish_self(struct snipe_membership *m, int64_t now_us)
{
	struct snipe_membership_entry *e = find_entry(m, m->self.node_id);

	m->self.last_received_us = now_us;
	e->member = m->self;
	queue_update(m, e);
}

/*
 * Handles a record of this node that another member sent. A state that this incarnation did
 * not report is refuted by a higher incarnation. A sender with suspicion of an older
 * incarnation, or with a record of an older process, missed the current record, which is sent
 * again. A record without a failure domain comes from a member that does not know this node
 * (see send_ack).
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

/* A replaced VM has another node id on the same address: the older process has ended. */
static void declare_predecessor_dead(struct snipe_membership *m, int64_t now_us,
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
		  int is_dead_accepted, int *changed)
{
	struct snipe_membership_entry *e;

	if (is_self(m, record->node_id)) {
		refute(m, now_us, record);
		return;
	}
	e = find_entry(m, record->node_id);
	if (!e && !snipe_member_is_live(record) && !is_dead_accepted)
		return;
	if (!e) {
		e = add_entry(m, record);
		e->member.last_received_us = 0;
	} else if (is_newer(record, &e->member)) {
		int64_t last_received_us = e->member.last_received_us,
			since_us = e->member.state_since_us;
		int is_same_state = e->member.state == record->state &&
				    e->member.process == record->process;

		e->member = *record;
		e->member.last_received_us = last_received_us;
		e->member.state_since_us = since_us;
		if (is_same_state) {
			queue_update(m, e);
			*changed = 1;
			return;
		}
	} else {
		return;
	}
	e->member.state_since_us = now_us;
	queue_update(m, e);
	*changed = 1;
	if (snipe_member_is_live(record))
		declare_predecessor_dead(m, now_us, record);
}

void snipe_membership_merge(struct snipe_membership *m, int64_t now_us,
			    const struct snipe_member *update, int *changed)
{
	/* Dead members are accepted too, because their failure domains must be known. */
	merge(m, now_us, update, 1, changed);
}

static struct snipe_probe *add_datagram(struct snipe_membership *m,
					struct snipe_membership_actions *actions,
					enum snipe_probe_type type,
					const struct snipe_address *to)
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

static void append_update(struct snipe_membership *m, struct snipe_probe *p,
			  struct snipe_membership_entry *e)
{
	for (int i = 0; i < p->update_count; i++) {
		if (!strcmp(p->updates[i].node_id, e->member.node_id))
			return;
	}
	p->updates[p->update_count++] = e->member;
	if (e->transmissions_left > 0)
		e->transmissions_left--;
	if (e->is_unsent)
		m->unsent_count--;
	e->is_unsent = 0;
}

/* Adds queued records, those with the most transmissions left first. */
static void append_queued_updates(struct snipe_membership *m, struct snipe_probe *p)
{
	while (p->update_count < SNIPE_UPDATES_PER_DATAGRAM) {
		struct snipe_membership_entry *best = NULL;

		for (guint i = 0; i < m->entries->len; i++) {
			struct snipe_membership_entry *e = entry_at(m, i);
			int is_included = 0;

			if (!e->transmissions_left ||
			    (best && e->transmissions_left <= best->transmissions_left))
				continue;
			for (int j = 0; j < p->update_count; j++)
				is_included |=
					!strcmp(p->updates[j].node_id, e->member.node_id);
			if (!is_included)
				best = e;
		}
		if (!best)
			return;
		append_update(m, p, best);
	}
}

/* Includes the record of a suspect or dead receiver, so that it can refute. */
static void append_suspicion(struct snipe_membership *m, struct snipe_probe *p,
			     struct snipe_membership_entry *e)
{
	if (e->member.state == SNIPE_MEMBER_SUSPECT || e->member.state == SNIPE_MEMBER_DEAD)
		append_update(m, p, e);
}

static struct snipe_probe *add_datagram_with_updates(struct snipe_membership *m,
						     struct snipe_membership_actions *actions,
						     enum snipe_probe_type type,
						     struct snipe_membership_entry *e)
{
	struct snipe_probe *p = add_datagram(m, actions, type, &e->member.address);

	if (!p)
		return NULL;
	append_suspicion(m, p, e);
	append_queued_updates(m, p);
	return p;
}

static int is_live_peer(const struct snipe_membership *m,
			const struct snipe_membership_entry *e)
{
	return snipe_member_is_live(&e->member) && !is_self(m, e->member.node_id);
}

/* Chooses up to n distinct live peers other than except. Returns their number. */
static int choose_random(struct snipe_membership *m, int n, const char *except,
			 struct snipe_membership_entry **out)
{
	int seen = 0, count = 0;

	for (guint i = 0; i < m->entries->len; i++) {
		struct snipe_membership_entry *e = entry_at(m, i);
		int at;

		if (!is_live_peer(m, e) || (except && !strcmp(e->member.node_id, except)))
			continue;
		at = seen < n ? seen : g_rand_int_range(m->rng, 0, seen + 1);
		seen++;
		if (at < n)
			out[at] = e;
		count = MIN(seen, n);
	}
	return count;
}

/* Sends the same updates to n random members. own, if not NULL, is always included. */
static void send_updates(struct snipe_membership *m, struct snipe_membership_actions *actions,
			 int n, struct snipe_membership_entry *own)
{
	struct snipe_membership_entry *to[SELF_UPDATE_FANOUT];
	struct snipe_probe first;
	int count = choose_random(m, n, NULL, to);

	for (int i = 0; i < count; i++) {
		struct snipe_probe *p =
			add_datagram(m, actions, SNIPE_PROBE_UPDATE, &to[i]->member.address);

		if (!p)
			return;
		if (i == 0) {
			if (own)
				append_update(m, p, own);
			append_queued_updates(m, p);
			first = *p;
		} else {
			memcpy(p->updates, first.updates, sizeof(p->updates));
			p->update_count = first.update_count;
		}
	}
}

/* Returns the pending probe, valid until the next one is sent, or NULL if actions are full. */
static struct pending_probe *send_probe(struct snipe_membership *m, int64_t now_us,
					struct snipe_membership_actions *actions,
					struct snipe_membership_entry *e)
{
	struct pending_probe pending = {0};
	struct snipe_membership_entry *any;
	struct snipe_probe *p = add_datagram_with_updates(m, actions, SNIPE_PROBE, e);

	if (!p)
		return NULL;
	/* A random record on every fourth probe repairs lists that missed all transmissions of
	 * an update. */
	if (m->next_sequence % 4 == 0 && p->update_count < SNIPE_UPDATES_PER_DATAGRAM &&
	    choose_random(m, 1, e->member.node_id, &any))
		append_update(m, p, any);
	p->sequence = pending.sequence = m->next_sequence++;
	pending.sent_us = now_us;
	g_strlcpy(pending.node_id, e->member.node_id, sizeof(pending.node_id));
	g_array_append_val(m->pending_probes, pending);
	return &g_array_index(m->pending_probes, struct pending_probe,
			      m->pending_probes->len - 1);
}

static void shuffle_probe_order(struct snipe_membership *m)
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
			shuffle_probe_order(m);
		e = g_ptr_array_index(m->probe_order, m->probe_index++);
		if (!is_live_peer(m, e))
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
		struct snipe_probe *p =
			add_datagram_with_updates(m, actions, SNIPE_PROBE_INDIRECT, relays[i]);

		if (!p)
			return;
		p->sequence = pending->sequence;
		p->target = target->member.address;
	}
}

/* Handles the timeouts of a probe. Returns nonzero if the probe has ended. */
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
		add_datagram_with_updates(m, actions, SNIPE_PROBE_UPDATE, e);
	}
	return 1;
}

static void check_states(struct snipe_membership *m, int64_t now_us,
			 struct snipe_membership_actions *actions)
{
	for (guint i = 0; i < m->entries->len;) {
		struct snipe_membership_entry *e = entry_at(m, i);
		int64_t since = now_us - e->member.state_since_us;

		if (e->member.state == SNIPE_MEMBER_SUSPECT && since >= SUSPICION_TIMEOUT_US) {
			set_state(m, e, now_us, SNIPE_MEMBER_DEAD);
			actions->changed = 1;
		} else if (!is_self(m, e->member.node_id) &&
			   ((e->member.state == SNIPE_MEMBER_DEAD &&
			     since >= DEAD_RETENTION_US) ||
			    (e->member.state == SNIPE_MEMBER_LEFT &&
			     since >= LEFT_RETENTION_US))) {
			remove_entry(m, i);
			actions->changed = 1;
			continue;
		}
		i++;
	}
}

/* After a stall, acks and refutations may be unread in the socket buffer: pending probes end
 * without a suspicion, and suspects get the full timeout again. */
static void restart_timeouts(struct snipe_membership *m, int64_t now_us)
{
	g_array_set_size(m->pending_probes, 0);
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
	if (now_us - m->last_tick_us > STALL_US)
		restart_timeouts(m, now_us);
	m->last_tick_us = now_us;
	for (guint i = 0; i < m->pending_probes->len;) {
		if (check_pending(m, now_us, actions,
				  &g_array_index(m->pending_probes, struct pending_probe, i)))
			g_array_remove_index_fast(m->pending_probes, i);
		else
			i++;
	}
	check_states(m, now_us, actions);
	if (now_us >= m->next_probe_us) {
		m->next_probe_us = MAX(m->next_probe_us + PROBE_PERIOD_US, now_us);
		probe_next(m, now_us, actions);
	}
	if (now_us >= m->next_dead_probe_us) {
		m->next_dead_probe_us = now_us + DEAD_PROBE_PERIOD_US;
		probe_dead(m, now_us, actions);
	}
	if (m->unsent_count)
		send_updates(m, actions, UPDATE_FANOUT, NULL);
}

void snipe_membership_requeue(struct snipe_membership *m, const struct snipe_probe *probe,
			      int count)
{
	for (int i = MAX(probe->update_count - count, 0); i < probe->update_count; i++) {
		struct snipe_membership_entry *e = find_entry(m, probe->updates[i].node_id);

		if (e)
			e->transmissions_left++;
	}
}

static void send_ack(struct snipe_membership *m, const struct snipe_probe *probe,
		     struct snipe_membership_actions *actions)
{
	struct snipe_membership_entry *e = find_entry(m, probe->from_id);
	struct snipe_probe *p = add_datagram(m, actions, SNIPE_PROBE_ACK, &probe->to);

	if (!p)
		return;
	p->sequence = probe->sequence;
	if (e && e->member.process >= probe->from_process) {
		append_suspicion(m, p, e);
	} else if (probe->from_id[0]) {
		/* An unknown sender refutes the suspicion, and so sends its own record. */
		struct snipe_member *u = &p->updates[p->update_count++];

		g_strlcpy(u->node_id, probe->from_id, sizeof(u->node_id));
		u->process = probe->from_process;
		u->address = probe->to;
		u->state = SNIPE_MEMBER_SUSPECT;
	}
	append_queued_updates(m, p);
}

static void relay_probe(struct snipe_membership *m, int64_t now_us,
			const struct snipe_probe *probe,
			struct snipe_membership_actions *actions)
{
	struct snipe_membership_entry *target = NULL;
	struct pending_probe *pending;

	for (guint i = 0; i < m->entries->len && !target; i++) {
		struct snipe_membership_entry *e = entry_at(m, i);

		if (is_live_peer(m, e) &&
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

static void handle_ack(struct snipe_membership *m, int64_t now_us,
		       const struct snipe_probe *probe,
		       struct snipe_membership_actions *actions)
{
	for (guint i = 0; i < m->pending_probes->len; i++) {
		struct pending_probe p =
			g_array_index(m->pending_probes, struct pending_probe, i);
		struct snipe_probe *reply;

		if (p.sequence != probe->sequence)
			continue;
		/* Before indirect probes only the member itself can ack. Later the ack may come
		 * from a relay, which did this check itself. */
		if (!p.is_indirect_sent && strcmp(p.node_id, probe->from_id) != 0)
			return;
		if (p.is_relay) {
			reply = add_datagram(m, actions, SNIPE_PROBE_ACK, &p.relay_to);
			if (reply)
				reply->sequence = p.relay_sequence;
		}
		g_array_remove_index_fast(m->pending_probes, i);
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
		e->member.last_received_us = now_us;
	switch (probe->type) {
	case SNIPE_PROBE:
		send_ack(m, probe, actions);
		break;
	case SNIPE_PROBE_ACK:
		handle_ack(m, now_us, probe, actions);
		break;
	case SNIPE_PROBE_INDIRECT:
		relay_probe(m, now_us, probe, actions);
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
	send_updates(m, actions, SELF_UPDATE_FANOUT, find_entry(m, m->self.node_id));
}

int snipe_membership_count(const struct snipe_membership *m)
{
	return (int)m->entries->len;
}

int snipe_membership_queued_updates(const struct snipe_membership *m)
{
	int n = 0;

	for (guint i = 0; i < m->entries->len; i++)
		n += entry_at(m, i)->transmissions_left > 0;
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
