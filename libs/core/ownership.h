/*
 * The shard map: which node owns which shard, and when a new owner may act.
 */
#ifndef SNIPE_OWNERSHIP_H
#define SNIPE_OWNERSHIP_H

#include <stdint.h>

#include "core/control_state.h"
#include "core/membership.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_SHARD_COUNT 64
#define SNIPE_TAKEOVER_WAIT_US 5000000

struct snipe_shard {
	char owner[SNIPE_NAME_SIZE]; /* empty: not assigned yet */
	uint64_t process; /* the owner's process: a restarted node is another owner */
	uint64_t epoch;
	int released; /* the former owner stopped acting before this map was written */
};

/* Fields are private. */
struct snipe_ownership {
	struct snipe_shard shards[SNIPE_SHARD_COUNT];
	uint64_t version;			  /* 0: no map yet */
	int64_t wait_start_us[SNIPE_SHARD_COUNT]; /* when the wait for the former owner began */
	int has_acted[SNIPE_SHARD_COUNT];	  /* this process has acted in this epoch */
	int64_t valid_until_us; /* of the control state, at the last tick while it was valid */
	char node_id[SNIPE_NAME_SIZE];
	uint64_t process; /* as in struct snipe_member */
};

int snipe_shard_of_workspace(const char *workspace);
int snipe_shard_of_identifier(const char *workspace, const char *identifier);

void snipe_ownership_init(struct snipe_ownership *o, const char *node_id, uint64_t process);

/* Loads a shard map, the value of fleet/shards. Returns 0, SNIPE_ERR_STALE for an older version
 * than the loaded one, or SNIPE_ERR_SYNTAX if a shard's owner or epoch can't follow the loaded
 * one; an error leaves the map unchanged. */
int snipe_ownership_load(struct snipe_ownership *o, uint64_t version, int64_t now_us,
			 const struct snipe_shard shards[SNIPE_SHARD_COUNT]);

/* Returns the entry of a shard in the loaded map; its owner is empty before the first map. */
const struct snipe_shard *snipe_ownership_shard(const struct snipe_ownership *o, int shard);

/*
 * Returns nonzero if this process owns the shard and may act on it now. Call immediately before
 * each use, with a now_us that was read after any stall.
 *
 * The wait for the former owner starts again if the control state becomes invalid before it
 * ends: in a platform outage this node may be the only one that received the new map, and the
 * former owner has to receive it first.
 */
int snipe_ownership_may_act(struct snipe_ownership *o, int shard,
			    const struct snipe_control_state *c, int64_t now_us);

/* Restarts the waits if the control state was invalid since the last call. Call at least every
 * 100 ms. */
void snipe_ownership_tick(struct snipe_ownership *o, const struct snipe_control_state *c,
			  int64_t now_us);

/* Returns the time from which this process may act on the shard, INT64_MAX if it is not the
 * owner. Constant within an epoch once snipe_ownership_may_act returned nonzero. */
int64_t snipe_ownership_acts_from(const struct snipe_ownership *o, int shard);

/*
 * Computes the next map: shards whose recorded owner process is not live are assigned to ready
 * nodes by rendezvous hashing. With is_draining, only the shards of this process are handed
 * over; those that it may already act on are marked as released, the others still need the full
 * wait for the owner before it. Returns the number of shards that change; 0 means that no write
 * is needed.
 */
int snipe_ownership_plan(const struct snipe_ownership *o,
			 const struct snipe_membership *members, int is_draining,
			 int64_t now_us, struct snipe_shard next[SNIPE_SHARD_COUNT]);

#ifdef __cplusplus
}
#endif

#endif
