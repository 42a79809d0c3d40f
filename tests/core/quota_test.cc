// Guards against tokens above burst + rate * t and against calls refused within them.
#include <gtest/gtest.h>

#include "core/ownership.h"
#include "core/quota.h"

static const int64_t S = 1000000;

class Quota : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		snipe_quota_owner_init(&o, 1);
		snipe_quota_cache_init(&c);
	}
	void TearDown() override
	{
		snipe_quota_owner_finish(&o);
		snipe_quota_cache_finish(&c);
	}
	snipe_grant grant(int64_t now, int n, int n_ahead, int first = 1, double rate = 10,
			  double burst = 100, int64_t from = 0)
	{
		snipe_grant g;
		snipe_quota_owner_grant(&o, now, "w", rate, burst, from, first, n, n_ahead, &g);
		return g;
	}
	snipe_quota_verdict take(int64_t now)
	{
		return snipe_quota_cache_take(&c, now, "w", &want, &ahead, &retry);
	}
	void reply(int64_t now, int64_t sent, const snipe_grant &g, int failed = 0)
	{
		snipe_quota_cache_grant(&c, now, "w", sent, &g, failed, &serve, &refuse, &want,
					&ahead);
	}
	struct snipe_quota_owner o;
	struct snipe_quota_cache c;
	int want = 0, ahead = 0, serve = 0, refuse = 0;
	int64_t retry = 0;
};

TEST_F(Quota, FirstEpochStartsFullLaterOnesEmpty)
{
	EXPECT_EQ(grant(1 * S, 200, 0).tokens, 100);
	snipe_quota_owner_drop_shard(&o, snipe_shard_of_workspace("w"));
	EXPECT_EQ(grant(10 * S, 200, 0, 0, 10, 100, 8 * S).tokens, 20);
}

TEST_F(Quota, NothingBeforeTheOwnerMayAct)
{
	snipe_grant g = grant(1 * S, 5, 5, 1, 10, 100, 3 * S);
	EXPECT_EQ(g.tokens + g.ahead, 0);
	EXPECT_EQ(g.retry_after_us, 2 * S);
}

TEST_F(Quota, AnotherEpochIsAnotherBucket)
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

TEST_F(Quota, TableChangeKeepsAtMostTheNewBurst)
{
	EXPECT_EQ(grant(0, 1, 0).tokens, 1);
	EXPECT_EQ(grant(0, 100, 0, 1, 10, 5).tokens, 5);
	EXPECT_EQ(grant(0, 100, 0, 1, 10, 1000).tokens, 0);
}

TEST_F(Quota, OpenAheadTokensCountAgainstTheBurst)
{
	snipe_grant g = grant(0, 0, 1000);
	EXPECT_EQ(g.ahead, 50);
	EXPECT_EQ(grant(0, 0, 1000).ahead, 0);
	// The bucket must not refill behind tokens that may still be used.
	EXPECT_EQ(grant(S, 1000, 0).tokens, 50);
	// Expired ones make room, but the tokens are lost.
	EXPECT_EQ(grant(100 * S, 1000, 0).tokens, 100);
}

TEST_F(Quota, ReturnCountsOnceAndNeverMoreThanHeld)
{
	snipe_grant g = grant(0, 0, 20);
	snipe_quota_owner_return(&o, 0, g.id, 1000);
	snipe_quota_owner_return(&o, 0, g.id, 20);
	snipe_quota_owner_return(&o, 0, 999, 20);
	EXPECT_EQ(grant(0, 1000, 0).tokens, 100);
	g = grant(60 * S, 0, 20);
	// After the time limit the tokens stay lost: 80 and 0.99 s of refill.
	snipe_quota_owner_return(&o, 62 * S, g.id, 20);
	EXPECT_EQ(grant(62 * S, 1000, 0).tokens, 89);
}

TEST_F(Quota, WaitsOnlyForTokensThatOthersHold)
{
	EXPECT_FALSE(snipe_quota_owner_should_wait(&o, 0, "w", 1));
	snipe_grant g = grant(0, 50, 50, 1, 0.1);
	EXPECT_EQ(g.ahead, 0); // half of the burst stays for the others
	g = grant(0, 0, 50, 1, 0.1);
	EXPECT_FALSE(snipe_quota_owner_should_wait(&o, 0, "w", 50));
	EXPECT_FALSE(snipe_quota_owner_should_wait(&o, 0, "w", 51));
	snipe_quota_owner_drop_shard(&o, snipe_shard_of_workspace("w"));
	g = grant(0, 0, 50);
	EXPECT_TRUE(snipe_quota_owner_should_wait(&o, 0, "w", 51));
	EXPECT_FALSE(snipe_quota_owner_should_wait(&o, 0, "w", 50));
}

TEST_F(Quota, TickForgetsOnlyBucketsThatWouldBeFullAgain)
{
	grant(0, 10, 0, 0, 10, 100, -100 * S);
	snipe_quota_owner_tick(&o, S / 2);
	EXPECT_EQ(g_hash_table_size(o.buckets), 1u);
	snipe_quota_owner_tick(&o, S);
	EXPECT_EQ(g_hash_table_size(o.buckets), 0u);
	EXPECT_EQ(grant(S, 1000, 0, 0, 10, 100, -100 * S).tokens, 100);
}

TEST_F(Quota, CacheBatchesWaitingCalls)
{
	EXPECT_EQ(take(0), SNIPE_QUOTA_WAIT);
	EXPECT_EQ(want, 1);
	EXPECT_EQ(take(1), SNIPE_QUOTA_WAIT);
	EXPECT_EQ(take(2), SNIPE_QUOTA_WAIT);
	EXPECT_EQ(want + ahead, 0);
	reply(100, 0, grant(50, 1, 0));
	EXPECT_EQ(serve, 1);
	EXPECT_EQ(refuse, 0);
	EXPECT_EQ(want, 2);
	snipe_quota_cache_abandon(&c, "w");
	reply(200, 100, grant(150, 2, 0));
	EXPECT_EQ(serve, 1);
	EXPECT_EQ(want, 0);
}

TEST_F(Quota, CacheRefusesWhatTheOwnerDoesNotHave)
{
	take(0);
	take(1);
	snipe_grant none = {7, 0, 0, 40000};
	reply(100, 0, none);
	EXPECT_EQ(serve, 0);
	EXPECT_EQ(refuse, 2);
	EXPECT_EQ(take(200), SNIPE_QUOTA_OVER);
	EXPECT_EQ(retry, 40000 - 200);
	EXPECT_EQ(take(40000), SNIPE_QUOTA_WAIT);
	EXPECT_EQ(want, 1);
	reply(40100, 40000, none, 1);
	EXPECT_EQ(refuse, 1);
	EXPECT_EQ(take(40200), SNIPE_QUOTA_WAIT); // a failure does not mean over the rate
}

TEST_F(Quota, AheadTokensEndOneSecondAfterTheAsk)
{
	take(0);
	reply(900000, 0, {1, 1, 5, 0});
	EXPECT_EQ(serve, 1);
	EXPECT_EQ(take(S - 1), SNIPE_QUOTA_TAKEN);
	EXPECT_EQ(take(S), SNIPE_QUOTA_WAIT);
	reply(2 * S, S, {2, 1, 5, 0}); // arrives too late
	EXPECT_EQ(serve + refuse, 0);
	EXPECT_EQ(want, 1);
}

TEST_F(Quota, DuplicateGrantIsDropped)
{
	take(0);
	reply(10, 0, {1, 1, 2, 0});
	reply(11, 0, {1, 1, 2, 0});
	EXPECT_EQ(serve, 0);
	EXPECT_EQ(take(20), SNIPE_QUOTA_TAKEN);
	EXPECT_EQ(take(20), SNIPE_QUOTA_TAKEN);
	EXPECT_EQ(take(20), SNIPE_QUOTA_WAIT);
}

TEST_F(Quota, UnusedTokensAreDroppedBeforeTheyReturn)
{
	const char *workspace;
	uint64_t id;
	int tokens;

	take(0);
	reply(10, 0, {9, 1, 5, 0});
	EXPECT_EQ(take(20), SNIPE_QUOTA_TAKEN);
	EXPECT_EQ(snipe_quota_cache_next_return(&c, 1000, &workspace, &id, &tokens), 0);
	ASSERT_EQ(snipe_quota_cache_next_return(&c, 300000, &workspace, &id, &tokens), 1);
	EXPECT_STREQ(workspace, "w");
	EXPECT_EQ(id, 9u);
	EXPECT_EQ(tokens, 4);
	EXPECT_EQ(take(300001), SNIPE_QUOTA_WAIT);
	// Idle entries are forgotten.
	snipe_quota_cache_abandon(&c, "w");
	reply(300010, 300001, {10, 1, 0, 0});
	EXPECT_EQ(snipe_quota_cache_next_return(&c, 9 * S, &workspace, &id, &tokens), 0);
	EXPECT_EQ(g_hash_table_size(c.workspaces), 0u);
}

TEST_F(Quota, LostAskIsRepeated)
{
	take(0);
	EXPECT_EQ(take(S - 1), SNIPE_QUOTA_WAIT);
	EXPECT_EQ(want, 0);
	EXPECT_EQ(take(S), SNIPE_QUOTA_WAIT);
	EXPECT_EQ(want, 3);
}
