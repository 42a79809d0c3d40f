// Guards against a new owner that acts too early, epochs that decrease, and needless writes of
// the shard map.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "base/error.h"
#include "core/ownership.h"

static const int64_t S = 1000000;

static snipe_member make_member(const std::string &id, snipe_member_state state,
				uint64_t process = 1)
{
	snipe_member m = {};

	g_strlcpy(m.node_id, id.c_str(), sizeof(m.node_id));
	strcpy(m.failure_domain, "tauranga");
	g_strlcpy(m.address.ip, "127.0.0.1", sizeof(m.address.ip));
	m.address.port = (uint16_t)(1000 + std::hash<std::string>()(id) % 60000);
	m.process = process;
	m.state = state;
	return m;
}

class Ownership : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		snipe_member self = make_member("a", SNIPE_MEMBER_READY);
		rng = g_rand_new_with_seed(1);
		snipe_ownership_init(&o, "a", 1);
		snipe_control_state_init(&c, "a", "tauranga", 99, 0);
		snipe_membership_init(&m, &self, rng, 0);
	}
	void TearDown() override
	{
		snipe_control_state_finish(&c);
		snipe_membership_finish(&m);
		g_rand_free(rng);
	}
	void read(uint64_t version, int64_t at)
	{
		for (int i = 0; i < SNIPE_OBJECT_COUNT; i++)
			snipe_control_state_record_read(&c, (snipe_object_id)i, version, at);
	}
	// Reads and ticks every 100 ms, as the control task does.
	void tick(int64_t from, int64_t to)
	{
		for (int64_t now = from; now < to; now += S / 10) {
			read(c.versions[SNIPE_OBJECT_SHARDS], now);
			snipe_ownership_tick(&o, &c, now);
		}
	}
	void merge(const snipe_member &r)
	{
		int changed = 0;
		snipe_membership_merge(&m, 0, &r, &changed);
	}
	void assign(snipe_shard shards[SNIPE_SHARD_COUNT], const char *owner, uint64_t epoch,
		    uint64_t process = 1, int released = 0)
	{
		for (int i = 0; i < SNIPE_SHARD_COUNT; i++) {
			g_strlcpy(shards[i].owner, owner, sizeof(shards[i].owner));
			shards[i].process = process;
			shards[i].epoch = epoch;
			shards[i].released = released;
		}
	}
	GRand *rng;
	struct snipe_ownership o;
	struct snipe_control_state c;
	struct snipe_membership m;
	snipe_shard map[SNIPE_SHARD_COUNT] = {}, next[SNIPE_SHARD_COUNT] = {};
};

TEST_F(Ownership, NewOwnerWaitsForTheFormerOwner)
{
	assign(map, "b", 3);
	ASSERT_EQ(snipe_ownership_load(&o, 1, 0, map), 0);
	EXPECT_EQ(snipe_ownership_acts_from(&o, 0), INT64_MAX);
	assign(map, "a", 4);
	read(2, 10 * S);
	ASSERT_EQ(snipe_ownership_load(&o, 2, 10 * S, map), 0);
	tick(10 * S, 15 * S);
	EXPECT_FALSE(snipe_ownership_may_act(&o, 0, &c, 15 * S - 1));
	EXPECT_TRUE(snipe_ownership_may_act(&o, 0, &c, 15 * S));
	EXPECT_EQ(snipe_ownership_acts_from(&o, 0), 15 * S);
	// A confirmation lasts 3 s from the sending of the read; a later read renews it.
	EXPECT_FALSE(snipe_ownership_may_act(&o, 0, &c, 30 * S));
	read(2, 30 * S);
	EXPECT_TRUE(snipe_ownership_may_act(&o, 0, &c, 30 * S));
}

// Guards against two acting owners: a node that alone received the new map stalls and resumes
// in a platform outage, while the former owner can't have received the map yet.
TEST_F(Ownership, WaitRestartsAfterTheControlStateWasInvalid)
{
	assign(map, "a", 4);
	read(2, 10 * S);
	ASSERT_EQ(snipe_ownership_load(&o, 2, 10 * S, map), 0);
	tick(10 * S, 12 * S);
	read(2, 60 * S); // after a stall
	EXPECT_FALSE(snipe_ownership_may_act(&o, 0, &c, 60 * S));
	tick(60 * S, 65 * S - 1);
	EXPECT_FALSE(snipe_ownership_may_act(&o, 0, &c, 65 * S - 1));
	EXPECT_TRUE(snipe_ownership_may_act(&o, 0, &c, 65 * S));
}

TEST_F(Ownership, NoWaitInTheFirstEpochOrAfterARelease)
{
	assign(map, "a", 1);
	ASSERT_EQ(snipe_ownership_load(&o, 1, 0, map), 0);
	EXPECT_EQ(snipe_ownership_acts_from(&o, 0), 0);
	assign(map, "b", 2);
	ASSERT_EQ(snipe_ownership_load(&o, 2, 0, map), 0);
	assign(map, "a", 3, 1, 1);
	ASSERT_EQ(snipe_ownership_load(&o, 3, 7 * S, map), 0);
	EXPECT_EQ(snipe_ownership_acts_from(&o, 0), 7 * S);
}

TEST_F(Ownership, OtherProcessAndDifferentMapVersionDoNotAct)
{
	assign(map, "a", 1, 2); // another process of the same node id
	ASSERT_EQ(snipe_ownership_load(&o, 1, 0, map), 0);
	read(1, 0);
	EXPECT_FALSE(snipe_ownership_may_act(&o, 0, &c, 1 * S));
	assign(map, "a", 2, 1, 1);
	ASSERT_EQ(snipe_ownership_load(&o, 2, 0, map), 0);
	EXPECT_FALSE(snipe_ownership_may_act(&o, 0, &c, 1 * S)); // control state at version 1
	read(2, 0);
	EXPECT_TRUE(snipe_ownership_may_act(&o, 0, &c, 1 * S));
	read(3, 0); // a newer map exists
	EXPECT_FALSE(snipe_ownership_may_act(&o, 0, &c, 1 * S));
}

TEST_F(Ownership, MapsWithOlderVersionOrEpochAreRejected)
{
	assign(map, "b", 5);
	ASSERT_EQ(snipe_ownership_load(&o, 7, 0, map), 0);
	EXPECT_EQ(snipe_ownership_load(&o, 6, 0, map), SNIPE_ERR_STALE);
	EXPECT_EQ(snipe_ownership_load(&o, 7, 0, map), 0);
	assign(map, "b", 4);
	EXPECT_EQ(snipe_ownership_load(&o, 8, 0, map), SNIPE_ERR_SYNTAX);
	assign(map, "c", 5); // one epoch, two owners
	EXPECT_EQ(snipe_ownership_load(&o, 8, 0, map), SNIPE_ERR_SYNTAX);
	assign(map, "", 0);
	EXPECT_EQ(snipe_ownership_load(&o, 8, 0, map), SNIPE_ERR_SYNTAX);
	EXPECT_STREQ(snipe_ownership_shard(&o, 3)->owner, "b");
}

TEST_F(Ownership, PlanAssignsShardsWithoutOwnerOrOfARestartedOwner)
{
	std::set<std::string> owners;

	merge(make_member("b", SNIPE_MEMBER_READY));
	merge(make_member("c", SNIPE_MEMBER_READY));
	merge(make_member("d", SNIPE_MEMBER_STARTING));
	EXPECT_EQ(snipe_ownership_plan(&o, &m, 0, 0, next), SNIPE_SHARD_COUNT);
	for (const snipe_shard &s : next) {
		owners.insert(s.owner);
		EXPECT_EQ(s.epoch, 1u);
	}
	EXPECT_EQ(owners, (std::set<std::string>{"a", "b", "c"}));
	ASSERT_EQ(snipe_ownership_load(&o, 1, 0, next), 0);
	EXPECT_EQ(snipe_ownership_plan(&o, &m, 0, 0, next), 0);
	merge(make_member("b", SNIPE_MEMBER_READY, 2)); // restarted
	int n = snipe_ownership_plan(&o, &m, 0, 0, next);
	EXPECT_GT(n, 0);
	for (int i = 0; i < SNIPE_SHARD_COUNT; i++) {
		int was_b = !strcmp(o.shards[i].owner, "b");
		EXPECT_EQ(next[i].epoch, was_b ? 2u : 1u);
		EXPECT_FALSE(next[i].released);
		if (!was_b) {
			EXPECT_STREQ(next[i].owner, o.shards[i].owner);
		}
		if (!strcmp(next[i].owner, "b")) {
			EXPECT_EQ(next[i].process, 2u);
		}
	}
}

TEST_F(Ownership, ReleasesOnlyShardsThatTheOwnerMayActOn)
{
	merge(make_member("b", SNIPE_MEMBER_READY));
	assign(map, "z", 1);
	ASSERT_EQ(snipe_ownership_load(&o, 1, 0, map), 0);
	assign(map, "a", 2);
	ASSERT_EQ(snipe_ownership_load(&o, 2, 10 * S, map), 0);
	// The owner before this one may still act, so the next owner has to wait as well.
	EXPECT_EQ(snipe_ownership_plan(&o, &m, 1, 14 * S, next), SNIPE_SHARD_COUNT);
	EXPECT_FALSE(next[0].released);
	EXPECT_EQ(snipe_ownership_plan(&o, &m, 1, 15 * S, next), SNIPE_SHARD_COUNT);
	EXPECT_TRUE(next[0].released);
	EXPECT_STREQ(next[0].owner, "b");
	EXPECT_EQ(next[0].epoch, 3u);
}
