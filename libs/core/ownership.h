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

#define SNIPE_SHARDS 64
#define SNIPE_TAKEOVER_WAIT_US 5000000

struct snipe_shard {
	char owner[SNIPE_NAME_SIZE]; /* empty: not assigned yet */
	uint64_t process; /* the owner's process: a restarted node is another owner */
	uint64_t epoch;
	int released; /* the former owner stopped before this write */
};

/* Fields are private. */
struct snipe_ownership {
	struct snipe_shard shards[SNIPE_SHARDS];
	uint64_t version;	       /* 0: no map yet */
	int64_t wait_us[SNIPE_SHARDS]; /* when the wait for the former owner began */
	int has_begun[SNIPE_SHARDS];   /* acted in this epoch */
	int64_t valid_until_us;	       /* of the control state, when last looked at */
	char node_id[SNIPE_NAME_SIZE];
	uint64_t process; /* as in struct snipe_member */
};

int snipe_shard_of_workspace(const char *workspace);
int snipe_shard_of_identifier(const char *workspace, const char *identifier);

void snipe_ownership_init(struct snipe_ownership *o, const char *node_id, uint64_t process);

/* Loads the value of fleet/shards. Older versions give SNIPE_ERR_STALE, nonsense
 * SNIPE_ERR_SYNTAX; the map then stays as it is. */
int snipe_ownership_load(struct snipe_ownership *o, uint64_t version, int64_t now_us,
			 const struct snipe_shard shards[SNIPE_SHARDS]);

/* Returns the owner's shard entry. */
const struct snipe_shard *snipe_ownership_shard(const struct snipe_ownership *o, int shard);

/*
 * Returns nonzero if this process owns the shard and may act on it now. Ask immediately before
 * each use, with a clock that was read after any pause.
 *
 * The wait for the former owner counts only while the control state is valid without a break:
 * in a platform outage this node may be the only one that saw the new map, and the former owner
 * has to learn of it first.
 */
int snipe_ownership_may_act(struct snipe_ownership *o, int shard,
			    const struct snipe_control_state *c, int64_t now_us);

/* Notices breaks of the control state's validity; call every 100 ms or sooner. */
void snipe_ownership_tick(struct snipe_ownership *o, const struct snipe_control_state *c,
			  int64_t now_us);

/* Returns the time when this process may begin to act on the shard, INT64_MAX if it is not the
 * owner. Fixed for the epoch once snipe_ownership_may_act allowed it. */
int64_t snipe_ownership_acts_from(const struct snipe_ownership *o, int shard);

/*
 * Works out the next map: shards without a live owner of the recorded process go by rendezvous
 * hash to ready nodes. With releasing, only this process's own shards are handed over because
 * it drains; those that it had already begun to act on are marked as released, the others still
 * need the full wait for the owner before. Returns the number of shards that change; 0 means
 * that no write is needed.
 */
int snipe_ownership_plan(const struct snipe_ownership *o,
			 const struct snipe_membership *members, int releasing, int64_t now_us,
			 struct snipe_shard next[SNIPE_SHARDS]);

#ifdef __cplusplus
}
#endif

#endif
