// Guards against nodes that act on a version while a newer one may exist.
#include <gtest/gtest.h>

#include <string>

#include "core/control_state.h"

static const int64_t S = 1000000;

static snipe_member make_member(const std::string &id, const char *domain,
				snipe_member_state state = SNIPE_MEMBER_READY)
{
	snipe_member m = {};

	g_strlcpy(m.node_id, id.c_str(), sizeof(m.node_id));
	g_strlcpy(m.failure_domain, domain, sizeof(m.failure_domain));
	g_strlcpy(m.address.ip, "127.0.0.1", sizeof(m.address.ip));
	m.address.port = (uint16_t)(std::hash<std::string>()(id) % 60000);
	m.process = 1;
	m.state = state;
	return m;
}

class ControlState : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		snipe_member self = make_member("a1", "a");
		rng = g_rand_new_with_seed(1);
		snipe_control_state_init(&c, "a1", "a", 12345, 0);
		snipe_membership_init(&m, &self, rng, 0);
		snipe_control_state_update_members(&c, 0, &m);
	}
	void TearDown() override
	{
		snipe_control_state_finish(&c);
		snipe_membership_finish(&m);
		g_rand_free(rng);
	}
	void read(uint64_t version, int64_t sent)
	{
		for (int i = 0; i < SNIPE_OBJECT_COUNT; i++)
			snipe_control_state_record_read(&c, (snipe_object_id)i, version, sent);
	}
	unsigned digest(int64_t now, const char *from, const char *domain, uint64_t version,
			int64_t age, int64_t subscribe_sent, int64_t reply_delay = 0,
			int is_caught_up = 1)
	{
		snipe_digest d = {
			{version, version, version}, age, 0, reply_delay, is_caught_up};

		if (subscribe_sent >= 0)
			d.echo = snipe_control_state_echo(&c, subscribe_sent);
		return snipe_control_state_receive_digest(&c, now, from, domain, &d);
	}
	void add(const snipe_member &r, int64_t now = 0)
	{
		int changed = 0;
		snipe_membership_merge(&m, now, &r, &changed);
		snipe_control_state_update_members(&c, now, &m);
	}
	snipe_control_mode mode(int64_t now)
	{
		return snipe_control_state_mode(&c, now);
	}
	GRand *rng;
	struct snipe_control_state c;
	struct snipe_membership m;
};

TEST_F(ControlState, ConfirmationStartsWhenTheReadIsSent)
{
	EXPECT_EQ(mode(0), SNIPE_CONTROL_UNCONFIRMED);
	EXPECT_EQ(snipe_control_state_record_read(&c, SNIPE_OBJECT_TABLES, 5, S), 1);
	EXPECT_EQ(mode(S), SNIPE_CONTROL_UNCONFIRMED); // the other objects are missing
	read(5, 2 * S);
	EXPECT_EQ(mode(5 * S - 1), SNIPE_CONTROL_CONFIRMED);
	EXPECT_EQ(snipe_control_state_valid_until(&c, 3 * S), 5 * S);
	add(make_member("a2", "a"));
	EXPECT_EQ(snipe_control_state_valid_until(&c, 6 * S), 6 * S);
	EXPECT_EQ(snipe_control_state_record_read(&c, SNIPE_OBJECT_TABLES, 4, 3 * S), 0);
	EXPECT_EQ(c.versions[SNIPE_OBJECT_TABLES], 5u);
	EXPECT_EQ(snipe_control_state_accept_object(&c, SNIPE_OBJECT_TABLES, 5), 0);
	EXPECT_EQ(snipe_control_state_accept_object(&c, SNIPE_OBJECT_TABLES, 6), 1);
	EXPECT_EQ(snipe_control_state_accept_object(&c, SNIPE_OBJECT_TABLES, 5), 0);
}

// Guards against a digest that confirms old versions because it was delayed in the socket
// buffer of a stalled node.
TEST_F(ControlState, DigestAgeCountsFromTheOwnSubscribe)
{
	read(1, 0);
	EXPECT_EQ(digest(60 * S, "a2", "a", 1, 100, S, 200), 0u);
	EXPECT_EQ(c.confirmed_at_us[0], S + 200 - 100);
	EXPECT_EQ(mode(60 * S), SNIPE_CONTROL_UNCONFIRMED);
	digest(60 * S, "a2", "a", 1, 0, -1); // answers no SUBSCRIBE
	EXPECT_EQ(mode(60 * S), SNIPE_CONTROL_UNCONFIRMED);
	digest(60 * S, "a2", "a", 1, 0, 61 * S); // echo of another process
	EXPECT_EQ(mode(60 * S), SNIPE_CONTROL_UNCONFIRMED);
	digest(60 * S, "a2", "a", 1, 0, 59 * S, 90 * S); // never later than now
	EXPECT_EQ(c.confirmed_at_us[0], 60 * S);
}

TEST_F(ControlState, NewerVersionsAreFetchedAndOlderOnesConfirm)
{
	read(3, 0);
	EXPECT_EQ(digest(9 * S, "a2", "a", 4, 0, 9 * S), 7u);
	EXPECT_EQ(mode(9 * S), SNIPE_CONTROL_UNCONFIRMED);
	// An operator supplied version 3 before the reader read it.
	EXPECT_EQ(digest(9 * S, "a3", "a", 2, 0, 9 * S), 0u);
	EXPECT_EQ(mode(9 * S), SNIPE_CONTROL_CONFIRMED);
	EXPECT_EQ(c.versions[0], 3u);
}

TEST_F(ControlState, OutageModeNeedsADigestFromEveryFailureDomain)
{
	add(make_member("b1", "b"));
	add(make_member("c1", "c", SNIPE_MEMBER_DEAD));
	read(1, 0);
	EXPECT_EQ(mode(5 * S), SNIPE_CONTROL_UNCONFIRMED);
	digest(5 * S, "b1", "b", 1, 5 * S, 5 * S);
	EXPECT_EQ(mode(5 * S), SNIPE_CONTROL_UNCONFIRMED); // c had a live node a moment ago
	digest(5 * S, "c2", "c", 1, 5 * S, 4 * S);
	EXPECT_EQ(mode(5 * S), SNIPE_CONTROL_OUTAGE);
	EXPECT_EQ(snipe_control_state_valid_until(&c, 5 * S), 7 * S);
	EXPECT_EQ(mode(7 * S), SNIPE_CONTROL_UNCONFIRMED);
	// Ten minutes after it last had a live node the domain is removed.
	snipe_control_state_update_members(&c, 601 * S, &m);
	digest(601 * S, "b1", "b", 1, 601 * S, 601 * S);
	EXPECT_EQ(mode(601 * S), SNIPE_CONTROL_OUTAGE);
}

TEST_F(ControlState, ConfirmedPeerOrNewerVersionEndsOutageMode)
{
	add(make_member("b1", "b"));
	read(1, 0);
	digest(5 * S, "b1", "b", 1, 5 * S, 5 * S);
	ASSERT_EQ(mode(5 * S), SNIPE_CONTROL_OUTAGE);
	digest(5 * S, "a2", "a", 1, S, -1); // confirmed, even without an echo
	EXPECT_EQ(mode(5 * S), SNIPE_CONTROL_UNCONFIRMED);
	digest(8 * S, "a2", "a", 1, 8 * S, 8 * S);
	digest(8 * S, "b1", "b", 1, 8 * S, 8 * S);
	EXPECT_EQ(mode(8 * S), SNIPE_CONTROL_OUTAGE);
	digest(8 * S, "b2", "b", 2, 8 * S, 8 * S); // holds a newer version
	EXPECT_EQ(mode(8 * S), SNIPE_CONTROL_UNCONFIRMED);
}

TEST_F(ControlState, BufferedDigestsAndNewPeersShowNoOutage)
{
	add(make_member("b1", "b"));
	read(1, 0);
	digest(50 * S, "b1", "b", 1, 5 * S, 5 * S); // arrived while this node was stalled
	EXPECT_EQ(mode(50 * S), SNIPE_CONTROL_UNCONFIRMED);
	digest(50 * S, "b2", "b", 1, INT64_MAX, 50 * S); // just started
	EXPECT_EQ(mode(50 * S), SNIPE_CONTROL_UNCONFIRMED);
}

// Guards against a node that counts itself as its failure domain after a stall, and so goes on
// acting as an owner.
TEST_F(ControlState, OwnFailureDomainNeedsADigestOfAnotherNode)
{
	read(1, 0);
	EXPECT_EQ(mode(5 * S), SNIPE_CONTROL_OUTAGE); // the only node
	add(make_member("a2", "a"), S);
	EXPECT_EQ(mode(5 * S), SNIPE_CONTROL_UNCONFIRMED);
	add(make_member("a2", "a", SNIPE_MEMBER_DEAD), 5 * S);
	EXPECT_EQ(mode(6 * S), SNIPE_CONTROL_UNCONFIRMED);
	digest(6 * S, "a2", "a", 1, 6 * S, 6 * S);
	EXPECT_EQ(mode(6 * S), SNIPE_CONTROL_OUTAGE);
	EXPECT_EQ(mode(606 * S), SNIPE_CONTROL_OUTAGE);
}

// Guards against a node that stalls while another node of its failure domain receives a new
// version, resumes when that node stalls in turn, and then counts for their failure domain in
// an outage.
TEST_F(ControlState, StalledNodeIsNotCaughtUp)
{
	struct snipe_digest own;
	auto is_caught_up = [&](int64_t now) {
		snipe_control_state_make_digest(&c, now, &own);
		return own.is_caught_up;
	};

	add(make_member("a2", "a"));
	read(1, 0);
	for (int64_t t = 0; t <= 6 * S; t += S)
		snipe_control_state_tick(&c, t);
	EXPECT_TRUE(is_caught_up(6 * S)) << "in an outage, without a stall";
	EXPECT_FALSE(is_caught_up(6 * S + SNIPE_STALL_US + 1)) << "before the first tick";
	snipe_control_state_tick(&c, 16 * S);
	EXPECT_FALSE(is_caught_up(16 * S));
	digest(16 * S, "a3", "a", 1, 16 * S, 16 * S, 0, 0);
	EXPECT_FALSE(is_caught_up(16 * S)) << "a3 may have stalled too";
	digest(16 * S, "a3", "a", 1, 16 * S, 15 * S);
	EXPECT_FALSE(is_caught_up(16 * S)) << "sent before the stall ended";
	digest(16 * S, "a3", "a", 2, 16 * S, 16 * S);
	EXPECT_FALSE(is_caught_up(16 * S)) << "a3 holds a newer version";
	digest(16 * S, "a3", "a", 1, 16 * S, 16 * S);
	EXPECT_TRUE(is_caught_up(16 * S));
	snipe_control_state_tick(&c, 26 * S);
	ASSERT_FALSE(is_caught_up(26 * S));
	read(1, 26 * S);
	EXPECT_TRUE(is_caught_up(26 * S)) << "the platform returned the newest version";
}

TEST_F(ControlState, OutageModeNeedsACaughtUpNodeOfEachFailureDomain)
{
	add(make_member("b1", "b"));
	read(1, 0);
	digest(5 * S, "b1", "b", 1, 5 * S, 5 * S, 0, 0);
	EXPECT_EQ(mode(5 * S), SNIPE_CONTROL_UNCONFIRMED);
	digest(5 * S, "b2", "b", 1, 5 * S, 5 * S);
	EXPECT_EQ(mode(5 * S), SNIPE_CONTROL_OUTAGE);
}

TEST_F(ControlState, NeverConfirmedNodeIsNotInOutageMode)
{
	EXPECT_EQ(mode(5 * S), SNIPE_CONTROL_UNCONFIRMED);
	digest(5 * S, "a2", "a", 0, 60 * S, 5 * S);
	EXPECT_EQ(mode(5 * S), SNIPE_CONTROL_OUTAGE); // confirmed by a digest
}

TEST_F(ControlState, TreeHasTwoReadersAndBoundedFanout)
{
	int children[64] = {}, readers = 0;

	for (int i = 2; i <= 60; i++)
		add(make_member("a" + std::to_string(i), "a"));
	add(make_member("b1", "b"));
	for (int i = 1; i <= 60; i++) {
		std::string id = "a" + std::to_string(i);
		struct snipe_control_state own;
		struct snipe_tree_role role;

		snipe_control_state_init(&own, id.c_str(), "a", 1, 0);
		snipe_control_state_tree_role(&own, &m, rng, &role);
		readers += role.is_reader;
		EXPECT_EQ(role.is_reader, role.parent_id[0] == 0);
		if (!role.is_reader)
			children[std::stoi(role.parent_id + 1)]++;
		EXPECT_STRNE(role.second_parent_id, id.c_str());
		EXPECT_STRNE(role.second_parent_id, role.parent_id);
		snipe_control_state_finish(&own);
	}
	EXPECT_EQ(readers, 2);
	for (int n : children)
		EXPECT_LE(n, SNIPE_TREE_FANOUT);
}

// A version that exists but cannot be loaded shows that the platform accepts writes.
TEST_F(ControlState, NoOutageModeWhileAVersionCannotBeLoaded)
{
	struct snipe_digest own;

	add(make_member("a2", "a"));
	read(5, S);
	digest(10 * S, "a2", "a", 5, 8 * S, 10 * S);
	ASSERT_EQ(mode(10 * S), SNIPE_CONTROL_OUTAGE);
	snipe_control_state_record_known(&c, SNIPE_OBJECT_KEYS, 6);
	EXPECT_EQ(mode(10 * S), SNIPE_CONTROL_UNCONFIRMED);
	snipe_control_state_make_digest(&c, 10 * S, &own);
	EXPECT_EQ(own.versions[SNIPE_OBJECT_KEYS], 6u);
	EXPECT_EQ(own.versions[SNIPE_OBJECT_TABLES], 5u);
	EXPECT_EQ(snipe_control_state_accept_object(&c, SNIPE_OBJECT_KEYS, 6), 1);
	EXPECT_EQ(mode(10 * S), SNIPE_CONTROL_OUTAGE);
}
