#include "core/control_state.h"

#include <string.h>

#include "base/hash.h"

#define DOMAIN_RETENTION_US ((int64_t)600 * 1000000)

/* State from the digests of one peer. */
struct snipe_control_peer {
	char domain[SNIPE_NAME_SIZE];
	uint64_t versions[SNIPE_OBJECT_COUNT];
	int64_t last_received_us; /* arrival of the last digest */
	/* earliest possible sending of the newest digest that was caught up but unconfirmed */
	int64_t outage_reported_us;
	int64_t confirmed_us; /* latest possible sending of the read that confirmed the peer */
};

void snipe_control_state_init(struct snipe_control_state *c, const char *node_id,
			      const char *failure_domain, uint64_t echo_key, int64_t now_us)
{
	memset(c, 0, sizeof(*c));
	for (int i = 0; i < SNIPE_OBJECT_COUNT; i++)
		c->confirmed_at_us[i] = INT64_MIN;
	c->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->domains = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_strlcpy(c->node_id, node_id, sizeof(c->node_id));
	g_strlcpy(c->failure_domain, failure_domain, sizeof(c->failure_domain));
	c->echo_key = echo_key;
	c->domain_peer_seen_us = now_us - 2 * DOMAIN_RETENTION_US;
	c->started_us = c->ticked_us = c->running_since_us = now_us;
	c->peer_caught_up_us = INT64_MIN;
}

void snipe_control_state_finish(struct snipe_control_state *c)
{
	g_hash_table_destroy(c->peers);
	g_hash_table_destroy(c->domains);
}

static void confirm(struct snipe_control_state *c, int id, int64_t at_us)
{
	if (at_us > c->confirmed_at_us[id])
		c->confirmed_at_us[id] = at_us;
}

static int64_t confirmed_at(const struct snipe_control_state *c)
{
	int64_t at = INT64_MAX;

	for (int i = 0; i < SNIPE_OBJECT_COUNT; i++)
		at = MIN(at, c->confirmed_at_us[i]);
	return at;
}

int snipe_control_state_record_read(struct snipe_control_state *c, enum snipe_object_id id,
				    uint64_t version, int64_t sent_us)
{
	if (version < c->versions[id])
		return 0;
	confirm(c, id, sent_us);
	if (version == c->versions[id])
		return 0;
	c->versions[id] = version;
	return 1;
}

int snipe_control_state_accept_object(struct snipe_control_state *c, enum snipe_object_id id,
				      uint64_t version)
{
	if (version <= c->versions[id])
		return 0;
	/* confirmed_at_us stays: the versions are no older than the platform's at that time. */
	c->versions[id] = version;
	return 1;
}

void snipe_control_state_record_known(struct snipe_control_state *c, enum snipe_object_id id,
				      uint64_t version)
{
	c->known_versions[id] = MAX(c->known_versions[id], version);
}

void snipe_control_state_tick(struct snipe_control_state *c, int64_t now_us)
{
	if (now_us - c->ticked_us > SNIPE_STALL_US)
		c->running_since_us = now_us;
	c->ticked_us = now_us;
}

static int is_only_node_in_domain(const struct snipe_control_state *c, int64_t now_us)
{
	return now_us - c->domain_peer_seen_us > DOMAIN_RETENTION_US;
}

/*
 * A stalled node may have missed a version that another node of its failure domain received
 * before that one stalled in turn. The node is caught up again when the platform, or a
 * caught-up node of the domain, has reported the newest versions after the stall.
 */
static int is_caught_up(const struct snipe_control_state *c, int64_t now_us)
{
	if (now_us - c->ticked_us > SNIPE_STALL_US)
		return 0;
	return confirmed_at(c) >= c->running_since_us ||
	       c->peer_caught_up_us >= c->running_since_us || is_only_node_in_domain(c, now_us);
}

uint64_t snipe_control_state_echo(const struct snipe_control_state *c, int64_t now_us)
{
	return (uint64_t)now_us + c->echo_key;
}

/* Returns the earliest time at which the digest can have been sent, INT64_MIN if it answers no
 * SUBSCRIBE of this process. */
static int64_t earliest_send_time(const struct snipe_control_state *c, int64_t now_us,
				  const struct snipe_digest *digest)
{
	int64_t at = (int64_t)(digest->echo - c->echo_key);

	if (!digest->echo || at < c->started_us || at > now_us || digest->reply_delay_us < 0)
		return INT64_MIN;
	return digest->reply_delay_us > now_us - at ? now_us : at + digest->reply_delay_us;
}

static struct snipe_control_peer *get_peer(struct snipe_control_state *c, const char *id)
{
	struct snipe_control_peer *p = g_hash_table_lookup(c->peers, id);

	if (!p) {
		p = g_new0(struct snipe_control_peer, 1);
		p->outage_reported_us = p->confirmed_us = INT64_MIN;
		g_hash_table_insert(c->peers, g_strdup(id), p);
	}
	return p;
}

static void record_domain_seen(struct snipe_control_state *c, const char *domain, int64_t at_us)
{
	int64_t *seen = g_hash_table_lookup(c->domains, domain);

	if (!seen) {
		seen = g_new(int64_t, 1);
		*seen = at_us;
		g_hash_table_insert(c->domains, g_strdup(domain), seen);
	}
	*seen = MAX(*seen, at_us);
}

unsigned snipe_control_state_receive_digest(struct snipe_control_state *c, int64_t now_us,
					    const char *from_id, const char *from_domain,
					    const struct snipe_digest *digest)
{
	struct snipe_control_peer *p = get_peer(c, from_id);
	int64_t at = earliest_send_time(c, now_us, digest);
	unsigned fetch = 0;

	g_strlcpy(p->domain, from_domain, sizeof(p->domain));
	p->last_received_us = now_us;
	if (digest->age_us < SNIPE_CONFIRM_TTL_US) {
		p->confirmed_us = MAX(p->confirmed_us, now_us - digest->age_us);
		p->outage_reported_us = INT64_MIN;
	} else if (digest->age_us != INT64_MAX && digest->is_caught_up) {
		/* A peer that was never confirmed has just started and can't show an outage. */
		p->outage_reported_us = MAX(p->outage_reported_us, at);
	}
	for (int i = 0; i < SNIPE_OBJECT_COUNT; i++) {
		p->versions[i] = MAX(p->versions[i], digest->versions[i]);
		if (digest->versions[i] > c->versions[i])
			fetch |= 1u << i;
		else if (at != INT64_MIN && digest->age_us >= 0 && digest->age_us != INT64_MAX)
			confirm(c, i, at - digest->age_us);
	}
	if (digest->is_caught_up && !fetch && !strcmp(from_domain, c->failure_domain))
		c->peer_caught_up_us = MAX(c->peer_caught_up_us, at);
	return fetch;
}

void snipe_control_state_make_digest(const struct snipe_control_state *c, int64_t now_us,
				     struct snipe_digest *digest)
{
	int64_t at = confirmed_at(c);

	memset(digest, 0, sizeof(*digest));
	for (int i = 0; i < SNIPE_OBJECT_COUNT; i++)
		digest->versions[i] = MAX(c->versions[i], c->known_versions[i]);
	digest->age_us = at == INT64_MIN ? INT64_MAX : MAX(now_us - at, 0);
	digest->is_caught_up = is_caught_up(c, now_us);
}

static gboolean is_domain_expired(gpointer key, gpointer value, gpointer data)
{
	return *(int64_t *)value + DOMAIN_RETENTION_US < *(int64_t *)data;
}

static gboolean is_peer_expired(gpointer key, gpointer value, gpointer data)
{
	const struct snipe_control_peer *p = value;

	return p->last_received_us + DOMAIN_RETENTION_US < *(int64_t *)data;
}

void snipe_control_state_update_members(struct snipe_control_state *c, int64_t now_us,
					const struct snipe_membership *members)
{
	for (int i = 0; i < snipe_membership_count(members); i++) {
		const struct snipe_member *m = snipe_membership_at(members, i);

		int64_t at = snipe_member_is_live(m) ? now_us : m->state_since_us;

		record_domain_seen(c, m->failure_domain, at);
		if (strcmp(m->node_id, c->node_id) != 0 &&
		    !strcmp(m->failure_domain, c->failure_domain))
			c->domain_peer_seen_us = MAX(c->domain_peer_seen_us, at);
	}
	record_domain_seen(c, c->failure_domain, now_us);
	g_hash_table_foreach_remove(c->domains, is_domain_expired, &now_us);
	g_hash_table_foreach_remove(c->peers, is_peer_expired, &now_us);
}

/* Returns the end of outage mode, INT64_MIN if the node is not in it. */
static int64_t outage_until(const struct snipe_control_state *c, int64_t now_us)
{
	int64_t until = INT64_MAX;
	GHashTableIter peers, domains;
	gpointer key, value;

	/* A node that was never confirmed does not know the newest versions. */
	if (confirmed_at(c) == INT64_MIN)
		return INT64_MIN;
	for (int i = 0; i < SNIPE_OBJECT_COUNT; i++) {
		if (c->known_versions[i] > c->versions[i])
			return INT64_MIN;
	}
	/* A peer that is confirmed, or that holds a newer version, rules out outage mode. */
	g_hash_table_iter_init(&peers, c->peers);
	while (g_hash_table_iter_next(&peers, NULL, &value)) {
		const struct snipe_control_peer *p = value;

		if (p->confirmed_us != INT64_MIN &&
		    p->confirmed_us > now_us - SNIPE_CONFIRM_TTL_US)
			return INT64_MIN;
		for (int i = 0; i < SNIPE_OBJECT_COUNT; i++) {
			if (p->versions[i] > c->versions[i])
				return INT64_MIN;
		}
	}
	g_hash_table_iter_init(&domains, c->domains);
	while (g_hash_table_iter_next(&domains, &key, NULL)) {
		/* Without another node in its failure domain, the node represents it itself. */
		int64_t reported_us =
			!strcmp(key, c->failure_domain) && is_only_node_in_domain(c, now_us)
				? now_us
				: INT64_MIN;

		g_hash_table_iter_init(&peers, c->peers);
		while (g_hash_table_iter_next(&peers, NULL, &value)) {
			const struct snipe_control_peer *p = value;

			if (!strcmp(p->domain, key))
				reported_us = MAX(reported_us, p->outage_reported_us);
		}
		if (reported_us == INT64_MIN)
			return INT64_MIN;
		until = MIN(until, reported_us + SNIPE_CONFIRM_TTL_US);
	}
	return until == INT64_MAX ? INT64_MIN : until;
}

enum snipe_control_mode snipe_control_state_mode(const struct snipe_control_state *c,
						 int64_t now_us)
{
	int64_t at = confirmed_at(c);

	if (at != INT64_MIN && now_us < at + SNIPE_CONFIRM_TTL_US)
		return SNIPE_CONTROL_CONFIRMED;
	return outage_until(c, now_us) > now_us ? SNIPE_CONTROL_OUTAGE
						: SNIPE_CONTROL_UNCONFIRMED;
}

int64_t snipe_control_state_valid_until(const struct snipe_control_state *c, int64_t now_us)
{
	int64_t at = confirmed_at(c), until;

	if (at != INT64_MIN && now_us < at + SNIPE_CONFIRM_TTL_US)
		return at + SNIPE_CONFIRM_TTL_US;
	until = outage_until(c, now_us);
	return until > now_us ? until : now_us;
}

struct ranked_member {
	uint64_t hash;
	const struct snipe_member *member;
};

static gint compare_ranked(gconstpointer a, gconstpointer b)
{
	const struct ranked_member *x = a, *y = b;

	if (x->hash != y->hash)
		return x->hash < y->hash ? -1 : 1;
	return strcmp(x->member->node_id, y->member->node_id);
}

/* Returns the live nodes of the own failure domain in the order of their ranks. */
static GArray *rank_members(const struct snipe_control_state *c,
			    const struct snipe_membership *members)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct ranked_member));

	for (int i = 0; i < snipe_membership_count(members); i++) {
		const struct snipe_member *m = snipe_membership_at(members, i);
		struct ranked_member r = {0, m};

		if (!snipe_member_is_live(m) ||
		    strcmp(m->failure_domain, c->failure_domain) != 0)
			continue;
		r.hash = snipe_hash64_str(m->node_id);
		g_array_append_val(list, r);
	}
	g_array_sort(list, compare_ranked);
	return list;
}

static void choose_second_parent(const struct snipe_control_state *c,
				 const struct snipe_membership *members, GRand *rng,
				 struct snipe_tree_role *role)
{
	int seen = 0;

	for (int i = 0; i < snipe_membership_count(members); i++) {
		const struct snipe_member *m = snipe_membership_at(members, i);

		if (!snipe_member_is_live(m) || !strcmp(m->node_id, c->node_id) ||
		    !strcmp(m->node_id, role->parent_id))
			continue;
		if (g_rand_int_range(rng, 0, ++seen) == 0)
			g_strlcpy(role->second_parent_id, m->node_id,
				  sizeof(role->second_parent_id));
	}
}

void snipe_control_state_tree_role(const struct snipe_control_state *c,
				   const struct snipe_membership *members, GRand *rng,
				   struct snipe_tree_role *role)
{
	GArray *list = rank_members(c, members);
	guint i, parent;

	memset(role, 0, sizeof(*role));
	for (i = 0; i < list->len; i++) {
		if (!strcmp(g_array_index(list, struct ranked_member, i).member->node_id,
			    c->node_id))
			break;
	}
	role->rank = (int)i;
	role->is_reader = i < SNIPE_READERS_PER_DOMAIN;
	if (!role->is_reader && i < list->len) {
		parent = (i - SNIPE_READERS_PER_DOMAIN) / SNIPE_TREE_FANOUT;
		g_strlcpy(role->parent_id,
			  g_array_index(list, struct ranked_member, parent).member->node_id,
			  sizeof(role->parent_id));
	}
	g_array_free(list, TRUE);
	choose_second_parent(c, members, rng, role);
}
