// Guards, on real processes, against what nodes believe of the store after it was away for a
// moment and came back from an older copy.
#include <gtest/gtest.h>
#include <signal.h>

#include <algorithm>

#include "support/deployment.h"

namespace
{

using namespace snipe_test;

// The pages' revoke-s: a withdrawn key runs nothing later than this after the acknowledgement.
constexpr int64_t kRevokeUs = 5000000;

struct Drill {
	const char *name;
	int lost_tables;  // written by the operator since the copy, and again after the return
	int lost_objects; // written by the nodes since the copy
	int away_ms;
	int count; // returns in a row
};

struct StoreDrill : testing::TestWithParam<Drill>, Deployment {
	void start()
	{
		services = {R"(["tips",100])", R"(["bookings",100])"};
		routes = {
			R"(["read","a.example","/read/","idempotent",3,2,false,null,"bookings"])"};
		tenants = {R"(["one",["key-1","key-2"],0,0,0])"};
		for (int i = 0; i < 2; i++)
			AddNode("tips", i % 2 ? "east" : "west");
		AddNode("bookings", "west");
		PutTables();
		StartAll();
		ASSERT_TRUE(WaitSettled());
	}
	Reply read(size_t node, const std::string &key)
	{
		Request r;

		r.path = "/read/1";
		r.key = key;
		return Call(node, r);
	}
	void set_mode(StoreMode mode)
	{
		for (size_t i = 0; i < nodes.size(); i++)
			store.SetMode(i, mode);
	}
	// Writes to the store since its copy, and takes it away and back. Nodes have seen the
	// revision of all writes before.
	void drill(const Drill &d)
	{
		store.Copy();
		for (int i = 0; i < d.lost_tables; i++)
			PutTables();
		for (int i = 0; i < d.lost_objects; i++)
			store.Write("gateway-other", "o", std::to_string(i));
		loop.run_ms(1500);
		for (int i = 0; i < d.count; i++) {
			set_mode(StoreMode::Silent);
			loop.run_ms(d.away_ms);
			store.Restore();
			set_mode(StoreMode::Up);
			if (i + 1 < d.count)
				loop.run_ms(300);
		}
		version -= d.lost_tables;
		for (int i = 0; i < d.lost_tables; i++)
			PutTables();
	}
	// Kills nodes and starts them again beside their servers.
	void restart(const std::vector<size_t> &list)
	{
		for (size_t i : list)
			nodes[i]->process->Kill();
		for (size_t i : list)
			Start(i, false);
		ASSERT_TRUE(loop.until([&] {
			return std::all_of(list.begin(), list.end(),
					   [&](size_t i) { return Ready(i); });
		}));
	}
	// A server leaves, the store loses the record, and some nodes are killed soon after its
	// return. Then a notice from before the leaving arrives.
	void leave_and_lose(int away_ms, int kill_after_ms, const std::vector<size_t> &killed)
	{
		FakeServer *s;
		size_t runs;

		AddNode("bookings", "east"); // node 0
		start();
		s = nodes[0]->server.get();
		store.Copy();
		s->Leave();
		ASSERT_TRUE(loop.until([&] { return s->leave_acked_us > 0; }));
		loop.run_ms(200);
		set_mode(StoreMode::Silent);
		loop.run_ms(away_ms);
		store.Restore();
		set_mode(StoreMode::Up);
		loop.run_ms(kill_after_ms);
		restart(killed);
		int acknowledged = s->acknowledged;
		runs = record.runs.size();
		s->AnnounceLate();
		ASSERT_TRUE(loop.until([&] { return s->acknowledged > acknowledged; }));
		for (int64_t end = snipe_now_us() + 3000000; snipe_now_us() < end;
		     loop.run_ms(20))
			read(1, "key-1");
		EXPECT_GT(record.runs.size(), runs + 30) << "the other server";
		for (; runs < record.runs.size(); runs++)
			EXPECT_NE(record.runs[runs].server, s->id);
	}
	// Withdraws key-2, in as many versions as give out the revisions that were lost.
	int64_t withdraw(const Drill &d)
	{
		tenants[0] = R"(["one",["key-1"],0,0,0])";
		for (int i = 0; i < d.lost_objects; i++)
			PutTables();
		return snipe_now_us();
	}
	void expect_withdrawn(int64_t acked)
	{
		int64_t last = 0;

		while (snipe_now_us() - acked < kRevokeUs + 2000000) {
			for (size_t i = 0; i < nodes.size(); i++) {
				int64_t sent = snipe_now_us();
				if (read(i, "key-2").status == 200)
					last = sent;
			}
			loop.run_ms(20);
		}
		EXPECT_LE(last - acked, kRevokeUs);
		for (size_t i = 0; i < nodes.size(); i++) {
			EXPECT_EQ(read(i, "key-1").status, 200) << i;
			EXPECT_EQ(read(i, "key-2").status, 401) << i;
		}
	}
};

std::string name_of(const testing::TestParamInfo<Drill> &info)
{
	return info.param.name;
}

} // namespace

INSTANTIATE_TEST_SUITE_P(Doses, StoreDrill,
			 testing::Values(Drill{"OneWriteOfANode", 0, 1, 2000, 1},
					 Drill{"TablesAndWritesOfNodes", 2, 3, 700, 1},
					 Drill{"TwoInARow", 1, 1, 400, 2}),
			 name_of);

// Guards against a key that works on because nodes watch the tables from a revision of an
// earlier era, which the store has given out again.
TEST_P(StoreDrill, AKeyThatIsWithdrawnAfterTheReturnStopsEverywhere)
{
	start();
	drill(GetParam());
	expect_withdrawn(withdraw(GetParam()));
}

// The same for a node that sleeps while the store is away, and wakes after the withdrawal.
TEST_P(StoreDrill, AKeyThatIsWithdrawnWhileANodeSleepsStopsThere)
{
	start();
	kill(nodes[0]->process->pid(), SIGSTOP);
	drill(GetParam());
	int64_t acked = withdraw(GetParam());
	loop.run_ms(300);
	kill(nodes[0]->process->pid(), SIGCONT);
	expect_withdrawn(acked);
}

// Guards against a node that starts before the operator has written again, and goes by the
// older tables of the copy: the key of this test was withdrawn by tables that the store has
// lost.
TEST_F(StoreDrill, AKeyThatWasWithdrawnBeforeTheReturnStaysSo)
{
	start();
	store.Copy();
	tenants[0] = R"(["one",["key-1"],0,0,0])";
	PutTables();
	ASSERT_TRUE(loop.until([&] {
		return read(0, "key-2").status == 401 && read(1, "key-2").status == 401;
	}));
	size_t runs = record.runs.size();
	set_mode(StoreMode::Silent);
	loop.run_ms(500);
	store.Restore();
	set_mode(StoreMode::Up);
	nodes[1]->process->Kill();
	Start(1, false);
	for (int64_t end = snipe_now_us() + 7000000; snipe_now_us() < end; loop.run_ms(10))
		for (size_t i = 0; i < 2; i++)
			ASSERT_NE(read(i, "key-2").status, 200) << i;
	EXPECT_EQ(record.runs.size(), runs);
	version--;
	PutTables();
	EXPECT_TRUE(loop.until([&] {
		return read(0, "key-1").status == 200 && read(1, "key-1").status == 200;
	}));
}

// Guards against a server that is used again because the store lost the record of its
// departure, which it had acknowledged, and the node beside it was killed.
TEST_F(StoreDrill, ADepartureThatTheStoreLostHoldsForTheNextProcess)
{
	leave_and_lose(1000, 1000, {0});
}

TEST_F(StoreDrill, ADepartureThatTheStoreLostHoldsIfItsNodeIsKilledAtTheReturn)
{
	leave_and_lose(300, 50, {0});
}

TEST_F(StoreDrill, ADepartureThatTheStoreLostHoldsAfterAKillOfAllNodes)
{
	leave_and_lose(1000, 300, {0, 1, 2, 3});
}

// A process that cannot know whether the store has lost a departure uses its server from the
// second announcement on.
TEST_F(StoreDrill, AServerThatLivesIsUsedAfterTheReturnAndARestartOfItsNode)
{
	start();
	drill({"", 0, 1, 500, 1});
	restart({2});
	EXPECT_TRUE(loop.until([&] { return read(0, "key-1").status == 200; }));
}
