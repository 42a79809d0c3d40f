// Requirement 5: a withdrawn key stops working within seconds, also for callers already
// connected. Guards against nodes that keep serving on open connections, after a restart, after
// a pause, or while they cannot know whether the key is still in force.
#include <gtest/gtest.h>

#include <signal.h>

#include "support/fleet.h"

using namespace snipe_test;

namespace
{

/* "Within seconds", with room for a busy machine. The design says 4 s. */
constexpr std::chrono::seconds kSeconds{20};

class KeyWithdrawal : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		keep = StartStandardFleet(fleet);
		key = fleet.IssueKey("beta");
		ASSERT_TRUE(fleet.WaitServing("/front/start", key.key));
	}
	/* Waits until the node rejects the key on this connection, then checks that it never
	 * accepts it again there. */
	void ExpectStops(HttpConnection &c, const std::string &what)
	{
		EXPECT_TRUE(WaitFor(
			[&] {
				return c.Request("GET", "/front/x", {{"Snipe-Key", key.key}})
					       .status == 401;
			},
			kSeconds))
			<< what;
	}
	void ExpectNeverServes()
	{
		for (int i = 0; i < 50; i++)
			for (size_t n = 0; n < fleet.size(); n++) {
				std::string id = NewId();
				Response r = fleet.Call(n, "GET", "/front/x", key.key,
							{{"Fake-Request-Id", id}});

				EXPECT_NE(r.status, 200) << "node " << n;
				EXPECT_EQ(fleet.Started(id), 0) << "node " << n;
			}
	}
	Fleet fleet;
	Key keep, key;
};

} // namespace

TEST_F(KeyWithdrawal, OpenConnectionsAtEveryNode)
{
	std::vector<std::unique_ptr<HttpConnection>> open;

	for (size_t n = 0; n < fleet.size(); n++) {
		open.push_back(std::make_unique<HttpConnection>(fleet[n].caller_port));
		ASSERT_EQ(open[n]->Request("GET", "/front/x", {{"Snipe-Key", key.key}}).status,
			  200);
	}
	ASSERT_EQ(fleet.WithdrawKey(key.id).status, 0);
	for (size_t n = 0; n < fleet.size(); n++)
		ExpectStops(*open[n], "node " + std::to_string(n));
	ExpectNeverServes();
	/* The other key is not affected. */
	for (size_t n = 0; n < fleet.size(); n++)
		EXPECT_EQ(fleet.Call(n, "GET", "/front/x", keep.key).status, 200);
}

TEST_F(KeyWithdrawal, NodesThatWereAwayDoNotServeTheKeyAgain)
{
	fleet[0].process->Signal(SIGSTOP);
	fleet[1].process->Kill();
	ASSERT_EQ(fleet.WithdrawKey(key.id).status, 0);
	for (size_t n = 2; n < 4; n++) {
		HttpConnection c(fleet[n].caller_port);
		ExpectStops(c, "node " + std::to_string(n));
	}
	fleet[0].process->Signal(SIGCONT);
	fleet.StartNode(fleet[1]);
	for (size_t n = 0; n < 2; n++) {
		HttpConnection c(fleet[n].caller_port);
		ExpectStops(c, "node " + std::to_string(n));
	}
	ExpectNeverServes();
}

/* A node that the write could not reach must not serve on what it knew before. Here every node
 * but one is killed after the write, so that the last one is alone with an outage. */
TEST_F(KeyWithdrawal, ANodeThatCannotKnowStopsServingClosedRoutes)
{
	for (size_t n = 1; n < 4; n++)
		fleet[n].process->Signal(SIGSTOP);
	fleet.PlatformDown();
	ASSERT_EQ(fleet.WithdrawKey(key.id).status, 0);
	EXPECT_TRUE(WaitFor(
		[&] {
			std::string id = NewId();
			Response r = fleet.Call(0, "GET", "/front/x", key.key,
						{{"Fake-Request-Id", id}});
			return r.status != 200 && fleet.Started(id) == 0;
		},
		kSeconds));
	/* Open routes need no key and go on. */
	EXPECT_TRUE(WaitFor([&] { return fleet.Call(0, "GET", "/open/x", "").status == 200; }));
	for (int i = 0; i < 20; i++)
		EXPECT_NE(fleet.Call(0, "GET", "/front/x", key.key).status, 200);
	fleet.PlatformUp();
	for (size_t n = 1; n < 4; n++)
		fleet[n].process->Signal(SIGCONT);
	for (size_t n = 0; n < 4; n++) {
		HttpConnection c(fleet[n].caller_port);
		ExpectStops(c, "node " + std::to_string(n));
	}
	ExpectNeverServes();
	EXPECT_TRUE(fleet.WaitServing("/front/x", keep.key));
}

/* In an outage no write can take effect, so callers are still served; a write just before it
 * that was handed over to one node reaches the others. */
TEST_F(KeyWithdrawal, HandedOverRightBeforeAnOutage)
{
	auto args = fleet.WithdrawArgs(key.id);

	args.push_back("--node");
	args.push_back("127.0.0.1:" + std::to_string(fleet[3].admin_port));
	args.push_back("--secret-file");
	args.push_back(fleet.SecretFile());
	ASSERT_EQ(fleet.Operator(args).status, 0);
	fleet.PlatformDown();
	for (size_t n = 0; n < 4; n++) {
		HttpConnection c(fleet[n].caller_port);
		ExpectStops(c, "node " + std::to_string(n));
	}
	ExpectNeverServes();
}
