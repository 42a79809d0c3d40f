// Guards, on real processes, against nodes that start while a service deep in the call graph is
// short, and never learn what requests need there: they admit all, and nearly all chains fail.
#include <gtest/gtest.h>

#include "support/deployment.h"

namespace
{

using namespace snipe_test;

// Requests run at front, which calls middle, which calls deep kCalls times in a row. A run
// fails with its first call that fails.
struct RestartInShortage : testing::Test, Deployment {
	// At deep 20 slots of 50 ms: 400 calls, or 80 requests a second.
	static constexpr int kCalls = 5, kDeepMs = 50, kDeepSlots = 20;
	static constexpr int kCalmPerS = 40, kShortPerS = 250, kMinServedPerS = 56;
	std::vector<std::unique_ptr<Pending>> open;

	void start()
	{
		services = {R"(["front",1000])", R"(["middle",1000])", R"(["deep",1000])"};
		routes = {
			R"(["read","a.example","/read/","idempotent",2,1,false,null,"front"])",
			R"(["look","a.example","/look/","idempotent",2,1,true,null,"middle"])",
			R"(["rate","a.example","/rate/","idempotent",2,1,true,null,"deep"])"};
		tenants = {R"(["one",["key-1"],0,0,0])"};
		for (const char *service : {"front", "front", "middle", "middle"})
			AddNode(service, "west", 400);
		AddNode("deep", "west", kDeepSlots);
		PutTables();
		StartAll();
		for (auto &n : nodes) {
			ServerBehaviour &b = n->server->behaviour;
			b.inner_host = "a.example";
			if (n->service == "front")
				b.inner = "/look/1";
			if (n->service == "middle") {
				b.inner = "/rate/1";
				b.inner_calls = kCalls;
			}
			if (n->service == "deep")
				b.run_ms = kDeepMs;
		}
		ASSERT_TRUE(WaitSettled());
	}
	// Sends requests to all nodes in turn. Returns how many were served a second, among
	// them those of earlier calls that ended meanwhile.
	double serve(int per_s, int seconds)
	{
		int64_t begin = snipe_now_us();
		int ok = 0;

		for (int i = 0; i < per_s * seconds; i++) {
			Request r;

			r.key = "key-1";
			r.path = "/read/1";
			r.left_ms = 2000;
			open.push_back(Begin((size_t)i % nodes.size(), r));
			int64_t due = begin + (int64_t)(i + 1) * 1000000 / per_s;
			if (due > snipe_now_us())
				loop.until([&] { return snipe_now_us() >= due; });
		}
		for (auto it = open.begin(); it != open.end();) {
			ok += (*it)->reply.done && (*it)->reply.status == 200;
			it = (*it)->reply.done ? open.erase(it) : it + 1;
		}
		return (double)ok / seconds;
	}
	void restart_all()
	{
		open.clear();
		for (auto &n : nodes)
			n->process->Kill();
		loop.run_ms(300);
		for (size_t i = 0; i < nodes.size(); i++)
			Start(i, false);
	}
};

} // namespace

TEST_F(RestartInShortage, AKillOfAllNodesDoesNotCostWhatTheFleetHadLearned)
{
	start();
	serve(kCalmPerS, 6);
	serve(kShortPerS, 6);
	double before = serve(kShortPerS, 3);
	EXPECT_GE(before, kMinServedPerS);
	restart_all();
	serve(kShortPerS, 5);
	EXPECT_GE(serve(kShortPerS, 3), 0.9 * before);
}

TEST_F(RestartInShortage, RestartsInTurnDoNotCostWhatTheFleetHadLearned)
{
	start();
	serve(kCalmPerS, 6);
	serve(kShortPerS, 6);
	double before = serve(kShortPerS, 3);
	EXPECT_GE(before, kMinServedPerS);
	for (size_t i = 0; i < nodes.size(); i++) {
		nodes[i]->process->Kill();
		Start(i, false);
		serve(kShortPerS, 1);
	}
	EXPECT_GE(serve(kShortPerS, 3), 0.9 * before);
}
