#include "core/ownership.h"

#include <string.h>

#include "base/error.h"
#include "base/hash.h"

int snipe_shard_of_workspace(const char *workspace)
{
	return (int)(snipe_hash64_str(workspace) % SNIPE_SHARD_COUNT);
}

int snipe_shard_of_identifier(const char *workspace, const char *identifier)
{
	/* The terminating null of the workspace is hashed so that "a","bc" and "ab","c" differ;
	 * the identifier is lowercased because RFC 9562 ignores case. */
	uint64_t h = snipe_hash64(workspace, strlen(workspace) + 1);
	gchar *lower = g_ascii_strdown(identifier, -1);

	h = snipe_hash64_seed(lower, strlen(lower), h);
	g_free(lower);
	return (int)(h % SNIPE_SHARD_COUNT);
}

void snipe_ownership_init(struct snipe_ownership *o, const char *node_id, uint64_t process)
{
	memset(o, 0, sizeof(*o));
	g_strlcpy(o->node_id, node_id, sizeof(o->node_id));
	o->process = process;
}

static int is_same_owner(const struct snipe_shard *a, const struct snipe_shard *b)
{
	return !strcmp(a->owner, b->owner) && a->process == b->process;
}

/* Owner and epoch are set together, an epoch never decreases, and each epoch has one owner. */
static int is_successor(const struct snipe_shard *old, const struct snipe_shard *s)
{
	if (!s->owner[0] || !s->epoch)
		return !s->owner[0] && !s->epoch && !old->epoch;
	return s->epoch > old->epoch || (s->epoch == old->epoch && is_same_owner(old, s));
}

int snipe_ownership_load(struct snipe_ownership *o, uint64_t version, int64_t now_us,
			 const struct snipe_shard shards[SNIPE_SHARD_COUNT])
{
	if (version < o->version)
		return SNIPE_ERR_STALE;
	if (version == o->version)
		return 0;
	for (int i = 0; i < SNIPE_SHARD_COUNT; i++) {
		if (!is_successor(&o->shards[i], &shards[i]))
			return SNIPE_ERR_SYNTAX;
	}
	for (int i = 0; i < SNIPE_SHARD_COUNT; i++) {
		if (shards[i].epoch == o->shards[i].epoch)
			continue;
		o->wait_start_us[i] = now_us;
		o->has_acted[i] = 0;
	}
	memcpy(o->shards, shards, sizeof(o->shards));
	o->version = version;
	return 0;
}

const struct snipe_shard *snipe_ownership_shard(const struct snipe_ownership *o, int shard)
{
	return &o->shards[shard];
}

int64_t snipe_ownership_acts_from(const struct snipe_ownership *o, int shard)
{
	const struct snipe_shard *s = &o->shards[shard];

	if (strcmp(s->owner, o->node_id) != 0 || s->process != o->process || !s->epoch)
		return INT64_MAX;
	/* The first epoch has no former owner to wait for. */
	if (s->released || s->epoch == 1)
		return o->wait_start_us[shard];
	return o->wait_start_us[shard] + SNIPE_TAKEOVER_WAIT_US;
}

void snipe_ownership_tick(struct snipe_ownership *o, const struct snipe_control_state *c,
			  int64_t now_us)
{
	int is_state_valid = snipe_control_state_mode(c, now_us) != SNIPE_CONTROL_UNCONFIRMED;

	for (int i = 0;
	     i < SNIPE_SHARD_COUNT && (!is_state_valid || now_us > o->valid_until_us); i++) {
		if (!o->has_acted[i])
			o->wait_start_us[i] = now_us;
	}
	if (is_state_valid)
		o->valid_until_us = snipe_control_state_valid_until(c, now_us);
}

int snipe_ownership_may_act(struct snipe_ownership *o, int shard,
			    const struct snipe_control_state *c, int64_t now_us)
{
	struct snipe_digest digest;

	snipe_ownership_tick(o, c, now_us);
	if (now_us < snipe_ownership_acts_from(o, shard))
		return 0;
	snipe_control_state_make_digest(c, now_us, &digest);
	if (digest.versions[SNIPE_OBJECT_SHARDS] != o->version ||
	    snipe_control_state_mode(c, now_us) == SNIPE_CONTROL_UNCONFIRMED)
		return 0;
	o->has_acted[shard] = 1;
	return 1;
}

static int has_live_owner(const struct snipe_shard *s, const struct snipe_membership *members)
{
	const struct snipe_member *m =
		s->owner[0] ? snipe_membership_find(members, s->owner) : NULL;

	/* A live record of an older process doesn't show that the process in the map ended. */
	return m && m->process <= s->process && snipe_member_is_live(m);
}

/* Rendezvous hashing: returns the ready node with the highest hash of node id and shard. */
static const struct snipe_member *choose_owner(const struct snipe_membership *members,
					       int shard, const char *except)
{
	const struct snipe_member *best = NULL;
	uint64_t best_hash = 0;

	for (int i = 0; i < snipe_membership_count(members); i++) {
		const struct snipe_member *m = snipe_membership_at(members, i);
		uint64_t h;

		if (m->state != SNIPE_MEMBER_READY || (except && !strcmp(m->node_id, except)))
			continue;
		h = snipe_hash64_seed(m->node_id, strlen(m->node_id), (uint64_t)shard + 1);
		if (!best || h > best_hash) {
			best = m;
			best_hash = h;
		}
	}
	return best;
}

int snipe_ownership_plan(const struct snipe_ownership *o,
			 const struct snipe_membership *members, int is_draining,
			 int64_t now_us, struct snipe_shard next[SNIPE_SHARD_COUNT])
{
	int changed = 0;

	memcpy(next, o->shards, sizeof(o->shards));
	for (int i = 0; i < SNIPE_SHARD_COUNT; i++) {
		const struct snipe_shard *s = &o->shards[i];
		int is_own = !strcmp(s->owner, o->node_id) && s->process == o->process;
		int is_handed_over = is_draining && is_own && s->epoch > 0;
		const struct snipe_member *m;

		/* A draining node hands over its own shards; other nodes reassign the rest. */
		if (is_draining ? !is_handed_over : has_live_owner(s, members))
			continue;
		m = choose_owner(members, i, is_draining ? o->node_id : NULL);
		if (!m)
			continue;
		g_strlcpy(next[i].owner, m->node_id, sizeof(next[i].owner));
		next[i].process = m->process;
		next[i].epoch = s->epoch + 1;
		next[i].released = is_handed_over && now_us >= snipe_ownership_acts_from(o, i);
		changed++;
	}
	return changed;
}
