// Guards against dead members that go undetected, live members declared dead, and records
// replaced by older ones.
#include <gtest/gtest.h>

#include <string>

#include "core/membership.h"

static const int64_t S = 1000000;

static snipe_member make_member(const char *id, int port, uint64_t process = 1,
				snipe_member_state state = SNIPE_MEMBER_READY)
{
	snipe_member m = {};

	g_strlcpy(m.node_id, id, sizeof(m.node_id));
	strcpy(m.failure_domain, "lautoka");
	strcpy(m.address.ip, "127.0.0.1");
	m.address.port = (uint16_t)port;
	m.process = process;
	m.state = state;
	return m;
}

class Membership : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		snipe_member self = make_member("a", 1, 5);
		rng = g_rand_new_with_seed(3);
		snipe_membership_init(&m, &self, rng, 0);
	}
	void TearDown() override
	{
		snipe_membership_finish(&m);
		g_rand_free(rng);
	}
	void merge(const snipe_member &r, int64_t now = 0)
	{
		snipe_membership_merge(&m, now, &r, &changed);
	}
	snipe_member_state state(const char *id)
	{
		return snipe_membership_find(&m, id)->state;
	}
	// Ticks until a datagram of this type is sent, and returns it.
	snipe_probe tick_until(snipe_probe_type type, int64_t *now)
	{
		for (int i = 0; i < 100; i++) {
			*now += S / 10;
			snipe_membership_tick(&m, *now, &act);
			for (int j = 0; j < act.send_count; j++) {
				if (act.sends[j].type == type)
					return act.sends[j];
			}
		}
		ADD_FAILURE() << "no datagram of this type was sent";
		return {};
	}
	snipe_probe make_probe(snipe_probe_type type, const char *from, uint64_t process,
			       int port)
	{
		snipe_probe p = {};

		p.type = type;
		g_strlcpy(p.from_id, from, sizeof(p.from_id));
		p.from_process = process;
		p.to = make_member(from, port).address;
		return p;
	}
	GRand *rng;
	struct snipe_membership m;
	struct snipe_membership_actions act;
	int changed = 0;
};

TEST_F(Membership, NewerProcessThenIncarnationThenSuspicionWins)
{
	snipe_member r = make_member("b", 2, 7);

	r.incarnation = 4;
	merge(r);
	r.incarnation = 3;
	r.state = SNIPE_MEMBER_DEAD;
	merge(r);
	EXPECT_EQ(state("b"), SNIPE_MEMBER_READY);
	r.incarnation = 4;
	r.state = SNIPE_MEMBER_SUSPECT;
	merge(r);
	EXPECT_EQ(state("b"), SNIPE_MEMBER_SUSPECT);
	r.state = SNIPE_MEMBER_READY;
	merge(r);
	EXPECT_EQ(state("b"), SNIPE_MEMBER_SUSPECT);
	r.process = 6;
	r.incarnation = 99;
	merge(r);
	EXPECT_EQ(state("b"), SNIPE_MEMBER_SUSPECT);
	r.process = 8;
	r.incarnation = 0;
	merge(r);
	EXPECT_EQ(state("b"), SNIPE_MEMBER_READY);
}

TEST_F(Membership, UnresponsiveMemberIsProbedIndirectlySuspectedThenDead)
{
	int64_t now = 0;

	merge(make_member("b", 2));
	merge(make_member("c", 3));
	snipe_probe p = tick_until(SNIPE_PROBE, &now);
	int64_t sent = now;
	const char *target = p.to.port == 2 ? "b" : "c";
	snipe_probe q = tick_until(SNIPE_PROBE_INDIRECT, &now);
	EXPECT_EQ(q.target.port, p.to.port);
	EXPECT_NE(q.to.port, p.to.port);
	EXPECT_EQ(now - sent, 3 * S / 10);
	while (state(target) == SNIPE_MEMBER_READY && now < 60 * S) {
		now += S / 10;
		snipe_membership_tick(&m, now, &act);
	}
	EXPECT_EQ(now - sent, S);
	EXPECT_EQ(state(target), SNIPE_MEMBER_SUSPECT);
	while (state(target) == SNIPE_MEMBER_SUSPECT && now < 60 * S) {
		now += S / 10;
		snipe_membership_tick(&m, now, &act);
	}
	EXPECT_EQ(state(target), SNIPE_MEMBER_DEAD);
	EXPECT_EQ(now - sent, 3 * S);
}

TEST_F(Membership, AckOfAnotherNodeOnTheSameAddressIsIgnored)
{
	int64_t now = 0;

	merge(make_member("b", 2));
	snipe_probe p = tick_until(SNIPE_PROBE, &now);
	snipe_probe reply = make_probe(SNIPE_PROBE_ACK, "x", 1, 2);
	reply.sequence = p.sequence;
	snipe_membership_receive(&m, now, &reply, &act);
	EXPECT_EQ(m.pending_probes->len, 1u);
	reply = make_probe(SNIPE_PROBE_ACK, "b", 1, 2);
	reply.sequence = p.sequence;
	snipe_membership_receive(&m, now, &reply, &act);
	EXPECT_EQ(m.pending_probes->len, 0u);
	EXPECT_EQ(snipe_membership_find(&m, "b")->last_received_us, now);
}

TEST_F(Membership, RelayForwardsTheAck)
{
	merge(make_member("b", 2));
	merge(make_member("c", 3));
	snipe_probe request = make_probe(SNIPE_PROBE_INDIRECT, "b", 1, 2);
	request.sequence = 42;
	request.target = make_member("c", 3).address;
	snipe_membership_receive(&m, 0, &request, &act);
	ASSERT_EQ(act.send_count, 1);
	EXPECT_EQ(act.sends[0].to.port, 3);
	snipe_probe reply = make_probe(SNIPE_PROBE_ACK, "c", 1, 3);
	reply.sequence = act.sends[0].sequence;
	snipe_membership_receive(&m, 0, &reply, &act);
	ASSERT_EQ(act.send_count, 1);
	EXPECT_EQ(act.sends[0].type, SNIPE_PROBE_ACK);
	EXPECT_EQ(act.sends[0].sequence, 42u);
	EXPECT_EQ(act.sends[0].to.port, 2);
}

TEST_F(Membership, DeadStateOfThisProcessIsRefuted)
{
	snipe_member r = make_member("a", 1, 5, SNIPE_MEMBER_DEAD);

	r.incarnation = 8;
	merge(r);
	EXPECT_EQ(state("a"), SNIPE_MEMBER_READY);
	EXPECT_EQ(snipe_membership_find(&m, "a")->incarnation, 9u);
	r.process = 4; // a record of an earlier process
	r.incarnation = 20;
	merge(r);
	EXPECT_EQ(snipe_membership_find(&m, "a")->incarnation, 9u);
}

TEST_F(Membership, DeadAndUnknownSendersReceiveTheirRecord)
{
	snipe_member r = make_member("b", 2, 1, SNIPE_MEMBER_DEAD);

	merge(r);
	snipe_probe p = make_probe(SNIPE_PROBE, "b", 1, 2);
	snipe_membership_receive(&m, 0, &p, &act);
	ASSERT_EQ(act.send_count, 1);
	EXPECT_STREQ(act.sends[0].updates[0].node_id, "b");
	EXPECT_EQ(act.sends[0].updates[0].state, SNIPE_MEMBER_DEAD);
	p = make_probe(SNIPE_PROBE, "n", 3, 4);
	snipe_membership_receive(&m, 0, &p, &act);
	ASSERT_EQ(act.send_count, 1);
	EXPECT_STREQ(act.sends[0].updates[0].node_id, "n");
	EXPECT_EQ(act.sends[0].updates[0].state, SNIPE_MEMBER_SUSPECT);
	// A record without a failure domain makes the member send its own record again.
	snipe_member unknown = act.sends[0].updates[0];
	g_strlcpy(unknown.node_id, "a", sizeof(unknown.node_id));
	unknown.process = 5;
	merge(make_member("c", 3));
	int64_t now = 0;
	while (m.unsent_count && now < S)
		snipe_membership_tick(&m, now += S / 10, &act);
	EXPECT_EQ(m.unsent_count, 0);
	merge(unknown, now);
	EXPECT_EQ(m.unsent_count, 1);
	snipe_probe u = tick_until(SNIPE_PROBE_UPDATE, &now);
	int found = 0;
	for (int i = 0; i < u.update_count; i++)
		found |= !strcmp(u.updates[i].node_id, "a");
	EXPECT_TRUE(found);
}

TEST_F(Membership, ReplacedVmOnTheSameAddressIsDead)
{
	merge(make_member("b", 2, 1));
	merge(make_member("c", 2, 9));
	EXPECT_EQ(state("b"), SNIPE_MEMBER_DEAD);
	EXPECT_EQ(state("c"), SNIPE_MEMBER_READY);
}

TEST_F(Membership, StallOfThisNodeCausesNoSuspicion)
{
	int64_t now = 0;

	merge(make_member("b", 2));
	tick_until(SNIPE_PROBE, &now);
	now += 60 * S;
	snipe_membership_tick(&m, now, &act);
	EXPECT_EQ(state("b"), SNIPE_MEMBER_READY);
}

TEST_F(Membership, StateChangeIsSentAtOnceAndRequeuedRecordsAgain)
{
	for (int i = 2; i < 8; i++)
		merge(make_member(std::to_string(i).c_str(), i));
	snipe_membership_set_self(&m, 0, SNIPE_MEMBER_DRAINING, "tips", &act);
	EXPECT_GT(act.send_count, 3);
	EXPECT_EQ(act.sends[0].updates[0].incarnation, 1u);
	EXPECT_TRUE(act.changed);
	int64_t now = 0;
	for (int i = 0; i < 600; i++)
		snipe_membership_tick(&m, now += S / 10, &act);
	snipe_probe p = act.sends[0];
	p.update_count = 1;
	p.updates[0] = *snipe_membership_find(&m, "a");
	snipe_membership_requeue(&m, &p, 1);
	merge(make_member("9", 9), now);
	snipe_probe u = tick_until(SNIPE_PROBE_UPDATE, &now);
	int found = 0;
	for (int i = 0; i < u.update_count; i++)
		found |= !strcmp(u.updates[i].node_id, "a");
	EXPECT_TRUE(found);
}

TEST_F(Membership, DeadMembersExpireAndAreNotAddedFromDatagrams)
{
	snipe_probe p = make_probe(SNIPE_PROBE_UPDATE, "z", 1, 9);

	p.update_count = 1;
	p.updates[0] = make_member("b", 2, 1, SNIPE_MEMBER_DEAD);
	snipe_membership_receive(&m, 0, &p, &act);
	EXPECT_EQ(snipe_membership_find(&m, "b"), nullptr);
	merge(p.updates[0]);
	EXPECT_EQ(snipe_membership_count(&m), 2);
	snipe_membership_tick(&m, 7201 * S, &act);
	EXPECT_EQ(snipe_membership_count(&m), 1);
}
