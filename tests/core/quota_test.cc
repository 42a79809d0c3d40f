// Guards against more tokens than burst + rate * t and against rejections below that limit.
#include <gtest/gtest.h>

#include "core/ownership.h"
#include "core/quota.h"

static const int64_t S = 1000000;

class Quota : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		snipe_quota_owner_init(&owner, 1);
		snipe_quota_cache_init(&cache);
	}
	void TearDown() override
	{
		snipe_quota_owner_finish(&owner);
		snipe_quota_cache_finish(&cache);
	}
	snipe_grant grant(int64_t now, int n, int n_prefetch, int first = 1, double rate = 10,
			  double burst = 100, int64_t acts_from = 0)
	{
		snipe_grant g;
		snipe_quota_owner_grant(&owner, now, "w", rate, burst, acts_from, first, n,
					n_prefetch, &g);
		return g;
	}
	snipe_quota_verdict take(int64_t now)
	{
		return snipe_quota_cache_take(&cache, now, "w", &want, &prefetch, &retry);
	}
	void reply(int64_t now, int64_t sent, const snipe_grant &g, int failed = 0)
	{
		snipe_quota_cache_on_grant(&cache, now, "w", sent, &g, failed, &serve, &reject,
					   &want, &prefetch);
	}
	struct snipe_quota_owner owner;
	struct snipe_quota_cache cache;
	int want = 0, prefetch = 0, serve = 0, reject = 0;
	int64_t retry = 0;
};

TEST_F(Quota, BucketIsFullOnlyInTheFirstEpoch)
{
	EXPECT_EQ(grant(1 * S, 200, 0).tokens, 100);
	snipe_quota_owner_drop_shard(&owner, snipe_shard_of_workspace("w"));
	EXPECT_EQ(grant(10 * S, 200, 0, 0, 10, 100, 8 * S).tokens, 20);
}

TEST_F(Quota, NoTokensBeforeTheOwnerMayAct)
{
	snipe_grant g = grant(1 * S, 5, 5, 1, 10, 100, 3 * S);
	EXPECT_EQ(g.tokens + g.prefetch_tokens, 0);
	EXPECT_EQ(g.retry_after_us, 2 * S);
}

TEST_F(Quota, NewEpochStartsWithANewBucket)
{
	EXPECT_EQ(grant(1 * S, 1, 0).tokens, 1);
	EXPECT_EQ(grant(20 * S, 100, 0, 0, 10, 100, 19 * S).tokens, 10);
}

TEST_F(Quota, RefillAndRetryAfter)
{
	EXPECT_EQ(grant(0, 100, 0).tokens, 100);
	snipe_grant g = grant(0, 1, 0);
	EXPECT_EQ(g.tokens, 0);
	EXPECT_EQ(g.retry_after_us, S / 10);
	EXPECT_EQ(grant(S / 10 - 1, 1, 0).tokens, 0);
	EXPECT_EQ(grant(S / 10, 1, 0).tokens, 1);
}

TEST_F(Quota, TableChangeLimitsTokensToTheNewBurst)
{
	EXPECT_EQ(grant(0, 1, 0).tokens, 1);
	EXPECT_EQ(grant(0, 100, 0, 1, 10, 5).tokens, 5);
	EXPECT_EQ(grant(0, 100, 0, 1, 10, 1000).tokens, 0);
}

TEST_F(Quota, OutstandingTokensCountAgainstTheBurst)
{
	snipe_grant g = grant(0, 0, 1000);
	EXPECT_EQ(g.prefetch_tokens, 50);
	EXPECT_EQ(grant(0, 0, 1000).prefetch_tokens, 0);
	// The refill leaves room for outstanding tokens, which may still be used.
	EXPECT_EQ(grant(S, 1000, 0).tokens, 50);
	// Expired tokens are lost, but the bucket can refill in their place.
	EXPECT_EQ(grant(100 * S, 1000, 0).tokens, 100);
}

TEST_F(Quota, ReturnCountsOnceAndAtMostTheGrant)
{
	snipe_grant g = grant(0, 0, 20);
	snipe_quota_owner_return(&owner, 0, g.id, 1000);
	snipe_quota_owner_return(&owner, 0, g.id, 20);
	snipe_quota_owner_return(&owner, 0, 999, 20);
	EXPECT_EQ(grant(0, 1000, 0).tokens, 100);
	g = grant(60 * S, 0, 20);
	// Tokens returned after their expiry are lost: 80 remain, and 0.99 s of refill.
	snipe_quota_owner_return(&owner, 62 * S, g.id, 20);
	EXPECT_EQ(grant(62 * S, 1000, 0).tokens, 89);
}

TEST_F(Quota, WaitsOnlyForTokensOutstandingAtOtherNodes)
{
	EXPECT_FALSE(snipe_quota_owner_should_delay(&owner, 0, "w", 1));
	snipe_grant g = grant(0, 50, 50, 1, 0.1);
	EXPECT_EQ(g.prefetch_tokens, 0); // half of the burst is kept for the other nodes
	g = grant(0, 0, 50, 1, 0.1);
	EXPECT_FALSE(snipe_quota_owner_should_delay(&owner, 0, "w", 50));
	EXPECT_FALSE(snipe_quota_owner_should_delay(&owner, 0, "w", 51));
	snipe_quota_owner_drop_shard(&owner, snipe_shard_of_workspace("w"));
	g = grant(0, 0, 50);
	EXPECT_TRUE(snipe_quota_owner_should_delay(&owner, 0, "w", 51));
	EXPECT_FALSE(snipe_quota_owner_should_delay(&owner, 0, "w", 50));
}

TEST_F(Quota, TickFreesOnlyBucketsThatWouldBeFullAgain)
{
	grant(0, 10, 0, 0, 10, 100, -100 * S);
	snipe_quota_owner_tick(&owner, S / 2);
	EXPECT_EQ(g_hash_table_size(owner.buckets), 1u);
	snipe_quota_owner_tick(&owner, S);
	EXPECT_EQ(g_hash_table_size(owner.buckets), 0u);
	EXPECT_EQ(grant(S, 1000, 0, 0, 10, 100, -100 * S).tokens, 100);
}

TEST_F(Quota, CacheBatchesWaitingCalls)
{
	EXPECT_EQ(take(0), SNIPE_QUOTA_WAIT);
	EXPECT_EQ(want, 1);
	EXPECT_EQ(take(1), SNIPE_QUOTA_WAIT);
	EXPECT_EQ(take(2), SNIPE_QUOTA_WAIT);
	EXPECT_EQ(want + prefetch, 0);
	reply(100, 0, grant(50, 1, 0));
	EXPECT_EQ(serve, 1);
	EXPECT_EQ(reject, 0);
	EXPECT_EQ(want, 2);
	snipe_quota_cache_cancel_wait(&cache, "w");
	reply(200, 100, grant(150, 2, 0));
	EXPECT_EQ(serve, 1);
	EXPECT_EQ(want, 0);
}

TEST_F(Quota, CacheRejectsCallsWhenTheOwnerHasNoTokens)
{
	take(0);
	take(1);
	snipe_grant none = {7, 0, 0, 40000};
	reply(100, 0, none);
	EXPECT_EQ(serve, 0);
	EXPECT_EQ(reject, 2);
	EXPECT_EQ(take(200), SNIPE_QUOTA_EXHAUSTED);
	EXPECT_EQ(retry, 40000 - 200);
	EXPECT_EQ(take(40000), SNIPE_QUOTA_WAIT);
	EXPECT_EQ(want, 1);
	reply(40100, 40000, none, 1);
	EXPECT_EQ(reject, 1);
	// A failed ask does not mean that the rate is exceeded.
	EXPECT_EQ(take(40200), SNIPE_QUOTA_WAIT);
}

TEST_F(Quota, PrefetchedTokensExpireOneSecondAfterTheAsk)
{
	take(0);
	reply(900000, 0, {1, 1, 5, 0});
	EXPECT_EQ(serve, 1);
	EXPECT_EQ(take(S - 1), SNIPE_QUOTA_TAKEN);
	EXPECT_EQ(take(S), SNIPE_QUOTA_WAIT);
	reply(2 * S, S, {2, 1, 5, 0}); // arrives too late
	EXPECT_EQ(serve + reject, 0);
	EXPECT_EQ(want, 1);
}

TEST_F(Quota, DuplicateGrantIsIgnored)
{
	take(0);
	reply(10, 0, {1, 1, 2, 0});
	reply(11, 0, {1, 1, 2, 0});
	EXPECT_EQ(serve, 0);
	EXPECT_EQ(take(20), SNIPE_QUOTA_TAKEN);
	EXPECT_EQ(take(20), SNIPE_QUOTA_TAKEN);
	EXPECT_EQ(take(20), SNIPE_QUOTA_WAIT);
}

TEST_F(Quota, ReturnedTokensLeaveTheCacheFirst)
{
	const char *workspace;
	uint64_t id;
	int tokens;

	take(0);
	reply(10, 0, {9, 1, 5, 0});
	EXPECT_EQ(take(20), SNIPE_QUOTA_TAKEN);
	EXPECT_EQ(snipe_quota_cache_next_return(&cache, 1000, &workspace, &id, &tokens), 0);
	ASSERT_EQ(snipe_quota_cache_next_return(&cache, 300000, &workspace, &id, &tokens), 1);
	EXPECT_STREQ(workspace, "w");
	EXPECT_EQ(id, 9u);
	EXPECT_EQ(tokens, 4);
	EXPECT_EQ(take(300001), SNIPE_QUOTA_WAIT);
	// Idle entries are freed.
	snipe_quota_cache_cancel_wait(&cache, "w");
	reply(300010, 300001, {10, 1, 0, 0});
	EXPECT_EQ(snipe_quota_cache_next_return(&cache, 9 * S, &workspace, &id, &tokens), 0);
	EXPECT_EQ(g_hash_table_size(cache.workspaces), 0u);
}

TEST_F(Quota, LostAskIsRepeated)
{
	take(0);
	EXPECT_EQ(take(S - 1), SNIPE_QUOTA_WAIT);
	EXPECT_EQ(want, 0);
	EXPECT_EQ(take(S), SNIPE_QUOTA_WAIT);
	EXPECT_EQ(want, 3);
}
