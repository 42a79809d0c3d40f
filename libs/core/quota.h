/*
 * Fleet-wide limits on the rate and burst of a workspace. The owner of the workspace's shard
 * keeps an exact token bucket; each node where calls enter caches tokens that the owner
 * granted.
 */
#ifndef SNIPE_QUOTA_H
#define SNIPE_QUOTA_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Time after which prefetched tokens expire, counted from when the node asked for them. */
#define SNIPE_GRANT_LIFETIME_US 1000000

/* State at the owner of the shards. Fields are private. */
struct snipe_quota_owner {
	GHashTable *buckets; /* workspace name -> bucket */
	GHashTable *grants;  /* grant id -> outstanding grant, for returns */
	uint64_t next_grant_id;
};

/* Grant ids count up from first_grant_id. It must be random, so that tokens of another owner's
 * grant are not returned to this one. */
void snipe_quota_owner_init(struct snipe_quota_owner *q, uint64_t first_grant_id);
void snipe_quota_owner_finish(struct snipe_quota_owner *q);

/* Drops the buckets of a shard. A bucket created later starts empty, at acts_from_us. */
void snipe_quota_owner_drop_shard(struct snipe_quota_owner *q, int shard);

struct snipe_grant {
	uint64_t id;
	int tokens;		/* for waiting calls; count as used when granted */
	int prefetch_tokens;	/* prefetched; outstanding until used, returned or expired */
	int64_t retry_after_us; /* time until a token is available, if not all were granted */
};

/*
 * Grants up to want tokens for waiting calls, then up to prefetch tokens for later ones.
 * Outstanding prefetched tokens count against the burst and are at most half of it. A new
 * bucket is empty at acts_from_us, the time from which this owner may act; in the first epoch
 * of a shard, when first_epoch is nonzero, it is full. rate (tokens per second) and burst come
 * from the newest tables; a change keeps min(tokens, burst).
 */
void snipe_quota_owner_grant(struct snipe_quota_owner *q, int64_t now_us, const char *workspace,
			     double rate, double burst, int64_t acts_from_us, int first_epoch,
			     int want, int prefetch, struct snipe_grant *grant);

/*
 * Returns nonzero if fewer than want tokens are available while nodes hold prefetched tokens
 * that they may return. The owner then delays its answer, so that calls within the rate are not
 * rejected. Nodes return unused prefetched tokens after about 150 ms.
 */
int snipe_quota_owner_should_delay(struct snipe_quota_owner *q, int64_t now_us,
				   const char *workspace, int want);

/* Takes unused prefetched tokens back, once per grant and at most as many as were granted. */
void snipe_quota_owner_return(struct snipe_quota_owner *q, int64_t now_us, uint64_t grant_id,
			      int tokens);

/* Frees expired grants and buckets that are full again; call about once a second. */
void snipe_quota_owner_tick(struct snipe_quota_owner *q, int64_t now_us);

/* State at a node where calls enter. Fields are private. */
struct snipe_quota_cache {
	GHashTable *workspaces; /* name -> granted tokens, demand, number of waiting calls */
};

enum snipe_quota_verdict {
	SNIPE_QUOTA_TAKEN,     /* took a token from the cache */
	SNIPE_QUOTA_WAIT,      /* the call waits for a grant */
	SNIPE_QUOTA_EXHAUSTED, /* reject: the owner recently had no token left */
};

void snipe_quota_cache_init(struct snipe_quota_cache *q);
void snipe_quota_cache_finish(struct snipe_quota_cache *q);

/*
 * Takes one token for a call. *want and *prefetch receive how many tokens to ask the owner for
 * now; both are 0 if none are needed or an ask is pending. *prefetch may be above 0 with
 * SNIPE_QUOTA_TAKEN too. *retry_after_us is 0 except with SNIPE_QUOTA_EXHAUSTED.
 */
enum snipe_quota_verdict snipe_quota_cache_take(struct snipe_quota_cache *q, int64_t now_us,
						const char *workspace, int *want, int *prefetch,
						int64_t *retry_after_us);

/*
 * Handles the owner's reply to the ask sent at sent_us, which is the now_us of the function
 * that set *want, or later. If the ask failed, failed is nonzero and the grant has 0 tokens.
 * *serve receives how many waiting calls get a token now, oldest first, and *reject how many to
 * reject. *want and *prefetch are set as above if calls still wait.
 */
void snipe_quota_cache_on_grant(struct snipe_quota_cache *q, int64_t now_us,
				const char *workspace, int64_t sent_us,
				const struct snipe_grant *grant, int failed, int *serve,
				int *reject, int *want, int *prefetch);

/* Removes one waiting call, which ended before its grant arrived. */
void snipe_quota_cache_cancel_wait(struct snipe_quota_cache *q, const char *workspace);

/*
 * Removes one grant from the cache whose unused tokens must be returned to the owner. *tokens
 * is 0 for a grant that is used up, which the owner then stops counting against the burst. Call
 * in a loop until it returns 0, every 50 ms or sooner. Returns 1 and fills *workspace (valid
 * until the next call), *grant_id and *tokens, or 0 if there is no such grant.
 */
int snipe_quota_cache_next_return(struct snipe_quota_cache *q, int64_t now_us,
				  const char **workspace, uint64_t *grant_id, int *tokens);

#ifdef __cplusplus
}
#endif

#endif
