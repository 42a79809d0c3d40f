// Guards, on real processes, against requests that are lost, run twice or answered 502 because
// open connections between nodes were cut or fell silent while new ones work.
#include <gtest/gtest.h>

#include "support/deployment.h"
#include "support/silence.h"

namespace
{

using namespace snipe_test;

struct Session : testing::Test, Deployment {
	std::vector<std::unique_ptr<Pending>> open;

	void start(int run_ms)
	{
		services = {R"(["tips",100])", R"(["bookings",100])"};
		routes = {
			R"(["pay","a.example","/pay/","non_idempotent",5,2,true,null,"bookings"])"};
		tenants = {R"(["one",["key-1"],0,0,0])"};
		for (int i = 0; i < 4; i++)
			AddNode(i % 2 ? "bookings" : "tips", i % 2 ? "east" : "west", 100);
		PutTables();
		StartAll();
		ASSERT_TRUE(WaitSettled());
		for (auto &n : nodes)
			n->server->behaviour.run_ms = run_ms;
	}
	void send(int count)
	{
		for (int i = 0; i < count; i++) {
			Request r;

			r.method = "POST";
			r.path = "/pay/1";
			r.body = std::string(2000, 'b');
			open.push_back(Begin(open.size() % 2 * 2, r));
			loop.run_ms(2);
		}
	}
	// All connections between nodes; from then on, new ones work.
	int break_all(int (*action)(pid_t, int))
	{
		int done = 0;

		for (auto &n : nodes)
			for (auto &other : nodes) {
				int ret = action(n->process->pid(), other->at.peers.port);

				EXPECT_GE(ret, 0) << strerror(errno);
				done += ret;
			}
		return done;
	}
	void wait_for_all()
	{
		loop.until([&] {
			for (auto &p : open)
				if (!p->reply.done)
					return false;
			return true;
		});
	}
	void expect_each_served_once()
	{
		wait_for_all();
		for (auto &p : open) {
			EXPECT_EQ(p->reply.status, 200)
				<< p->request.id << " " << p->reply.body;
			EXPECT_EQ(record.count[p->request.id], 1) << p->request.id;
		}
	}
};

} // namespace

TEST_F(Session, SilencedConnectionsLoseNoRequest)
{
	start(300);
	for (int round = 0; round < 2; round++) {
		send(40);
		ASSERT_GT(break_all(SilenceConnections), 0);
		send(40);
		loop.run_ms(700);
	}
	expect_each_served_once();
}

TEST_F(Session, CutConnectionsLoseNoRequest)
{
	start(300);
	for (int round = 0; round < 3; round++) {
		send(40);
		ASSERT_GT(break_all(CutConnections), 0);
		send(40);
		loop.run_ms(300);
	}
	expect_each_served_once();
}

// A frozen node is slow, not lost: what it began ends when it wakes.
TEST_F(Session, AFrozenNodeLosesNoRequest)
{
	start(200);
	send(40);
	// A request that is at no server yet may be rejected while all of them are frozen.
	ASSERT_TRUE(loop.until([&] { return record.count.size() == open.size(); }));
	kill(nodes[1]->process->pid(), SIGSTOP);
	kill(nodes[3]->process->pid(), SIGSTOP);
	loop.run_ms(1500);
	kill(nodes[1]->process->pid(), SIGCONT);
	kill(nodes[3]->process->pid(), SIGCONT);
	wait_for_all();
	for (auto &p : open) {
		EXPECT_EQ(p->reply.status, 200) << p->request.id << " " << p->reply.body;
		EXPECT_EQ(record.count[p->request.id], 1) << p->request.id;
	}
}

// Second connections are tried while the first ones come back.
TEST_F(Session, NodesThatAreSlowForMomentsLoseNoRequest)
{
	start(100);
	for (int round = 0; round < 6; round++) {
		size_t frozen = 1 + round % 2 * 2;

		send(20);
		kill(nodes[frozen]->process->pid(), SIGSTOP);
		send(20);
		loop.run_ms(250 + 60 * round);
		kill(nodes[frozen]->process->pid(), SIGCONT);
		send(20);
	}
	expect_each_served_once();
}

// What a killed node had may have run; its next process must not run it again.
TEST_F(Session, ARestartDuringSilenceRunsNothingTwice)
{
	start(300);
	send(40);
	ASSERT_GT(break_all(SilenceConnections), 0);
	nodes[1]->process->Kill();
	Start(1, false);
	send(40);
	wait_for_all();
	for (auto &p : open) {
		EXPECT_LE(record.count[p->request.id], 1) << p->request.id;
		if (p->reply.status == 200) {
			EXPECT_EQ(record.count[p->request.id], 1) << p->request.id;
		}
		if (p->reply.status == 503) {
			EXPECT_EQ(record.count[p->request.id], 0) << p->request.id;
		}
	}
}
