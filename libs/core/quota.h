/*
 * Fleet-wide rate and burst of a workspace: exact token buckets at the owner of its shard, and
 * a cache of granted tokens at each node where calls enter.
 */
#ifndef SNIPE_QUOTA_H
#define SNIPE_QUOTA_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SNIPE_GRANT_LIFE_US 1000000

/* Owner's side. Fields are private. */
struct snipe_quota_owner {
	GHashTable *buckets; /* workspace name -> bucket */
	GHashTable *grants;  /* grant id -> open grant, for returns */
	uint64_t next_grant;
};

/* first_grant is a random number, so that a return for another owner's grant finds none here.
 */
void snipe_quota_owner_init(struct snipe_quota_owner *q, uint64_t first_grant);
void snipe_quota_owner_finish(struct snipe_quota_owner *q);

/* Forgets the buckets of a shard. A bucket made later starts empty, at acts_from_us. */
void snipe_quota_owner_drop_shard(struct snipe_quota_owner *q, int shard);

struct snipe_grant {
	uint64_t id;
	int tokens;		/* for waiting calls; counted as used when granted */
	int ahead;		/* for later calls; open until used, returned or expired */
	int64_t retry_after_us; /* when a token will be there, if tokens is below what was
				   wanted */
};

/*
 * Grants up to want tokens for waiting calls, then up to ahead tokens for later ones. Open
 * ahead tokens count against the burst and are at most half of it. The bucket starts empty at
 * acts_from_us, the time when this owner might begin to act; for the very first epoch of a
 * shard first_epoch is nonzero and it starts full. rate and burst come from the newest tables;
 * a change keeps min(tokens, burst).
 */
void snipe_quota_owner_grant(struct snipe_quota_owner *q, int64_t now_us, const char *workspace,
			     double rate, double burst, int64_t acts_from_us, int first_epoch,
			     int want, int ahead, struct snipe_grant *grant);

/*
 * Returns nonzero if fewer than want tokens are there while other nodes hold ahead tokens that
 * they may return: the owner then answers an ask a little later instead of refusing calls that
 * are within the rate. Nodes return unused ahead tokens after about 150 ms.
 */
int snipe_quota_owner_should_wait(struct snipe_quota_owner *q, int64_t now_us,
				  const char *workspace, int want);

/* Takes unused tokens back, once for each grant and never more than it held. */
void snipe_quota_owner_return(struct snipe_quota_owner *q, int64_t now_us, uint64_t grant_id,
			      int tokens);

/* Drops what is no longer needed; call about once a second. */
void snipe_quota_owner_tick(struct snipe_quota_owner *q, int64_t now_us);

/* Entry node's side. Fields are private. */
struct snipe_quota_cache {
	GHashTable *workspaces; /* name -> granted tokens, demand, waiting calls */
};

enum snipe_quota_verdict {
	SNIPE_QUOTA_TAKEN, /* a token was in the cache */
	SNIPE_QUOTA_WAIT,  /* call waits for a grant; ask if *want or *ahead is above 0 */
	SNIPE_QUOTA_OVER,  /* the owner said recently that there is none */
};

void snipe_quota_cache_init(struct snipe_quota_cache *q);
void snipe_quota_cache_finish(struct snipe_quota_cache *q);

/*
 * Takes one token for a call. *want and *ahead receive the numbers of tokens to ask the owner
 * for now (both 0: nothing to ask, or a request is on its way). With SNIPE_QUOTA_TAKEN *ahead
 * may be above 0 too: a prefetch.
 */
enum snipe_quota_verdict snipe_quota_cache_take(struct snipe_quota_cache *q, int64_t now_us,
						const char *workspace, int *want, int *ahead,
						int64_t *retry_after_us);

/*
 * A grant came for a request that was sent at sent_us (the now_us of the call that asked for
 * it, or later), or the request failed (tokens 0, failed nonzero). *serve receives how many
 * waiting calls get a token now, oldest first; *want as above if calls still wait. The rest of
 * the waiting calls is refused if refuse is set.
 */
void snipe_quota_cache_grant(struct snipe_quota_cache *q, int64_t now_us, const char *workspace,
			     int64_t sent_us, const struct snipe_grant *grant, int failed,
			     int *serve, int *refuse, int *want, int *ahead);

/* A waiting call gave up before its grant came. */
void snipe_quota_cache_abandon(struct snipe_quota_cache *q, const char *workspace);

/*
 * Finds one grant whose unused tokens go back to the owner: they are dropped here first. tokens
 * is 0 for a grant that is used up, which the owner then stops counting against the burst. Call
 * in a loop, every 50 ms or sooner. Returns 1 and fills workspace (valid until the next call),
 * id and tokens; 0 if there is none.
 */
int snipe_quota_cache_next_return(struct snipe_quota_cache *q, int64_t now_us,
				  const char **workspace, uint64_t *grant_id, int *tokens);

#ifdef __cplusplus
}
#endif

#endif
