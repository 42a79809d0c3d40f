// Requirement 11: a planned stop is graceful. Guards against requests in flight that are cut
// off when the node of their caller, or the node beside their backend server, is stopped.
#include <gtest/gtest.h>

#include <signal.h>

#include "support/fleet.h"

using namespace snipe_test;

namespace
{

class GracefulStop : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		key = StartStandardFleet(fleet);
	}
	/* Long requests with an inner call after their service time, at every node. */
	void RunWhileStopping(size_t node, const std::function<void()> &stop)
	{
		const char *plan =
			"{\"service_ms\":2000,\"inner\":[{\"path\":\"/deep/y\",\"plan\":"
			"{\"service_ms\":200}}]}";
		std::vector<std::string> ids;
		std::vector<Response> responses(16);
		std::vector<std::thread> threads;

		for (size_t i = 0; i < responses.size(); i++)
			ids.push_back(NewId());
		for (size_t i = 0; i < responses.size(); i++)
			threads.emplace_back([&, i] {
				responses[i] = fleet.Call(
					i % fleet.size(), "GET", "/front/x", key.key,
					{{"Fake-Request-Id", ids[i]}, {"Fake-Plan", plan}});
			});
		bool started = WaitFor([&] {
			auto counts = fleet.StartedById();

			for (const auto &id : ids)
				if (counts[id] == 0)
					return false;
			return true;
		});
		stop();
		int status = fleet[node].process->Wait();
		for (auto &t : threads)
			t.join();
		EXPECT_TRUE(started);
		EXPECT_EQ(status, 0);
		for (size_t i = 0; i < responses.size(); i++) {
			EXPECT_EQ(responses[i].status, 200)
				<< ids[i] << " through node " << i % fleet.size() << " "
				<< responses[i].Reason();
			EXPECT_EQ(fleet.Started(ids[i]), 1) << ids[i];
		}
	}
	Fleet fleet;
	Key key;
};

} // namespace

TEST_F(GracefulStop, SigtermToTheNodeBesideTheBackendServer)
{
	RunWhileStopping(0, [this] { fleet[0].process->Signal(SIGTERM); });
}

TEST_F(GracefulStop, SigtermToTheNodeOfTheInnerCalls)
{
	RunWhileStopping(2, [this] { fleet[2].process->Signal(SIGTERM); });
}

TEST_F(GracefulStop, DrainThroughTheAdminListener)
{
	RunWhileStopping(1, [this] { Fetch(fleet[1].admin_port, "POST", "/drain"); });
}

TEST_F(GracefulStop, StopDuringAPlatformOutage)
{
	fleet.PlatformDown();
	RunWhileStopping(0, [this] { fleet[0].process->Signal(SIGTERM); });
}

/* Callers of the other nodes notice nothing when one node after the other is restarted, and a
 * request that a stopping node accepted is answered whole. */
TEST_F(GracefulStop, RollingRestartUnderTraffic)
{
	Crowd callers(16, [this](int n, const std::string &id) {
		return fleet.Call(
			static_cast<size_t>(n) % fleet.size(), "GET",
			n % 2 ? "/front/x" : "/deep/x", key.key,
			{{"Fake-Request-Id", id}, {"Fake-Plan", "{\"service_ms\":30}"}});
	});

	for (size_t i = 0; i < fleet.size(); i++) {
		ASSERT_TRUE(callers.WaitMore(100));
		fleet[i].process->Signal(SIGTERM);
		ASSERT_EQ(fleet[i].process->Wait(), 0);
		ASSERT_TRUE(callers.WaitMore(50));
		fleet.StartNode(fleet[i]);
		ASSERT_TRUE(fleet.WaitMembers(4));
	}
	auto started = fleet.StartedById();
	for (const auto &s : callers.Stop()) {
		if (s.response.status == 200)
			continue;
		EXPECT_EQ(started[s.id], 0) << s.id << " ran and its caller received status "
					    << s.response.status << " " << s.response.Reason();
		if (s.response.complete) {
			EXPECT_EQ(s.response.Outcome(), "not-run") << s.response.Reason();
		}
	}
}
