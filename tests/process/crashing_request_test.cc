// Guards, on real processes, against a request that goes on ending backend servers although the
// fleet has seen it end three: by the users' rule at most three of its retries may then reach
// one from nodes that have been up for the contact time.
#include <gtest/gtest.h>
#include <signal.h>

#include "support/deployment.h"

namespace
{

using namespace snipe_test;

const char DEADLY[] = "/read/deadly/1";
const int64_t CONTACT_US = 3000000;
const int RETRIES_ALLOWED = 3;
// A server process is started again after this time.
const int64_t SERVER_DOWN_US = 1000000;

struct CrashingRequest : testing::Test, Deployment {
	CrashingRequest()
	{
		services = {R"(["tips",400])"};
		routes = {
			R"(["read","a.example","/read/","idempotent",3,3,false,null,"tips"])"};
		tenants = {R"(["one",["key-1"],0,0,0])"};
	}
	void start(int count)
	{
		for (int i = 0; i < count; i++)
			AddNode("tips", i % 2 ? "east" : "west", 80);
		PutTables();
		StartAll();
		for (auto &n : nodes)
			n->server->behaviour.crash_path = DEADLY;
		ASSERT_TRUE(WaitSettled());
	}
	void watch_servers()
	{
		int64_t now = snipe_now_us();

		for (size_t i = 0; i < nodes.size(); i++) {
			FakeServer *s = nodes[i]->server.get();
			if (!s->Dead())
				continue;
			if (!ended_.count(s->id))
				ended_[s->id] = now;
			if (now - ended_[s->id] < SERVER_DOWN_US)
				continue;
			StartServer(i);
			nodes[i]->server->behaviour.crash_path = DEADLY;
			nodes[i]->server->behaviour.run_ms = run_ms;
		}
	}
	// Sends the request to one node after the other, ten times a second, beside so many
	// others a second.
	void hammer(int ms, int others_per_s = 20)
	{
		int64_t now = snipe_now_us(), end = now + ms * 1000, deadly = now, other = now;

		for (; now < end; now = snipe_now_us()) {
			if (now >= deadly) {
				send(DEADLY, open_);
				deadly += 100000;
			}
			for (; now >= other; other += 1000000 / others_per_s)
				send("/read/" + std::to_string(sent_), others_);
			loop.run_ms(3);
			watch_servers();
			drop_done(open_);
			drop_done(others_);
		}
	}
	// Lets the request end servers, and sends it again after each of three failures.
	void hammer_after(const std::function<void(int)> &fail)
	{
		hammer(2500);
		EXPECT_GE(ended(), 2);
		for (int round = 0; round < 3; round++) {
			fail(round);
			ASSERT_FALSE(HasFatalFailure());
			loop.run_ms((int)(CONTACT_US / 1000));
			hammer(2500);
		}
	}
	int ended() const
	{
		return (int)ended_.size();
	}
	void restart(size_t node)
	{
		nodes[node]->process->Kill();
		Start(node, false);
		ASSERT_TRUE(loop.until([&] { return Ready(node); }));
	}
	// Runs after the contact time since the third server ended.
	void expect_few_retries()
	{
		std::vector<int64_t> at;
		int retries = 0;

		for (const auto &e : ended_)
			at.push_back(e.second);
		std::sort(at.begin(), at.end());
		if (at.size() < 3)
			return;
		for (const auto &run : record.runs)
			retries += run.path == DEADLY && run.at_us > at[2] + CONTACT_US;
		EXPECT_LE(retries, RETRIES_ALLOWED)
			<< at.size() << " servers ended in all; logs: " << KeepLogs();
	}
	int run_ms = 5;

      private:
	void send(const std::string &path, std::vector<std::unique_ptr<Pending>> &list)
	{
		Request r;

		r.path = path;
		r.key = "key-1";
		r.left_ms = 2000;
		list.push_back(Begin(sent_++ % nodes.size(), r));
	}
	static void drop_done(std::vector<std::unique_ptr<Pending>> &list)
	{
		for (size_t i = 0; i < list.size();)
			if (list[i]->reply.done ||
			    snipe_now_us() - list[i]->started_us > 4000000)
				list.erase(list.begin() + (long)i);
			else
				i++;
	}
	std::vector<std::unique_ptr<Pending>> open_, others_;
	std::map<std::string, int64_t> ended_; // server -> when
	size_t sent_ = 0;
};

} // namespace

TEST_F(CrashingRequest, IsStoppedAlthoughManyOthersRunBeside)
{
	start(4);
	run_ms = 400;
	for (auto &n : nodes)
		n->server->behaviour.run_ms = run_ms;
	hammer(14000, 250);
	EXPECT_GE(ended(), 2);
	expect_few_retries();
}

TEST_F(CrashingRequest, IsStoppedAlthoughNodesRestartInTurn)
{
	start(4);
	hammer_after([&](int) {
		for (size_t i = 0; i < nodes.size(); i++)
			restart(i);
	});
	expect_few_retries();
}

TEST_F(CrashingRequest, IsStoppedAlthoughAllNodesWereKilled)
{
	start(4);
	hammer_after([&](int) {
		for (auto &n : nodes)
			n->process->Kill();
		for (size_t i = 0; i < nodes.size(); i++)
			Start(i, false);
		for (size_t i = 0; i < nodes.size(); i++)
			ASSERT_TRUE(loop.until([&] { return Ready(i); }));
	});
	expect_few_retries();
}

TEST_F(CrashingRequest, IsStoppedAlthoughItsRouteIsRenamed)
{
	start(4);
	hammer_after([&](int round) {
		routes[0] = "[\"read-" + std::to_string(round) +
			    "\",\"a.example\",\"/read/\",\"idempotent\",3,3,false,null,"
			    "\"tips\"]";
		PutTables();
	});
	expect_few_retries();
}
