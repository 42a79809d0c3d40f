// Requirement 6: no workspace gets more than its rate and burst, counted over all nodes
// together. Guards against shares for each node, against tokens that are granted twice when the
// owner changes, and against unused tokens that are kept too long.
#include <gtest/gtest.h>

#include <signal.h>

#include <algorithm>

#include "support/fleet.h"

using namespace snipe_test;

namespace
{

constexpr double kRate = 5, kBurst = 10; /* workspace small in kRoutes */

class Rate : public ::testing::Test
{
      protected:
	void Start()
	{
		StartStandardFleet(fleet);
		key = fleet.IssueKey("small");
		for (size_t n = 0; n < fleet.size(); n++)
			ASSERT_TRUE(WaitFor([&] {
				return fleet.Call(n, "GET", "/front/x", key.key).status != 401;
			}));
		callers = std::make_unique<Crowd>(16, [this](int n, const std::string &id) {
			return fleet.Call(static_cast<size_t>(n) % fleet.size(), "GET",
					  "/front/x", key.key, {{"Fake-Request-Id", id}});
		});
	}
	/*
	 * A request's token is granted between its sending and its start, so of requests sent
	 * at s or later at most burst + rate * (t - s) may have started until t.
	 */
	void Check()
	{
		std::map<std::string, long long> sent;
		std::vector<std::pair<long long, long long>> runs; /* start, sent */
		std::vector<long long> begins;

		for (const auto &s : callers->Stop())
			sent[s.id] = s.sent_us;
		for (const auto &r : fleet.Runs())
			if (r.event == "start" && sent.count(r.id)) {
				runs.emplace_back(r.time_us, sent[r.id]);
				begins.push_back(sent[r.id]);
				sent.erase(r.id); /* a retry is no other client request */
			}
		std::sort(runs.begin(), runs.end());
		ASSERT_GT(runs.size(), kBurst);
		for (long long begin : begins) {
			int count = 0;

			for (const auto &r : runs) {
				if (r.second < begin)
					continue;
				count++;
				ASSERT_LE(count,
					  kBurst +
						  kRate * static_cast<double>(r.first - begin) /
							  1e6 +
						  1e-6)
					<< "in " << (r.first - begin) << " us";
			}
		}
	}
	Fleet fleet;
	Key key;
	std::unique_ptr<Crowd> callers;
};

} // namespace

TEST_F(Rate, AllNodesTogether)
{
	Start();
	ASSERT_TRUE(callers->WaitMore(40));
	Check();
}

TEST_F(Rate, OwnersAreKilled)
{
	Start();
	for (size_t n = 0; n < fleet.size(); n++) {
		ASSERT_TRUE(callers->WaitMore(15));
		fleet[n].process->Kill();
		ASSERT_TRUE(callers->WaitMore(15));
		fleet.StartNode(fleet[n]);
	}
	ASSERT_TRUE(callers->WaitMore(15));
	Check();
}

TEST_F(Rate, OwnersArePausedUntilOthersTookOver)
{
	Start();
	for (size_t n = 0; n < fleet.size(); n++) {
		ASSERT_TRUE(callers->WaitMore(15));
		fleet[n].process->Signal(SIGSTOP);
		ASSERT_TRUE(callers->WaitMore(30));
		fleet[n].process->Signal(SIGCONT);
	}
	ASSERT_TRUE(callers->WaitMore(15));
	Check();
}

TEST_F(Rate, OwnersStopGracefully)
{
	Start();
	for (size_t n = 0; n < fleet.size(); n++) {
		ASSERT_TRUE(callers->WaitMore(15));
		fleet[n].process->Signal(SIGTERM);
		ASSERT_EQ(fleet[n].process->Wait(), 0);
		ASSERT_TRUE(callers->WaitMore(15));
		fleet.StartNode(fleet[n]);
	}
	Check();
}

/* Two failures at once. The owner may be the node that dies: then the workspace is served again
 * only after the outage. */
TEST_F(Rate, NodeDiesDuringAPlatformOutage)
{
	Start();
	ASSERT_TRUE(callers->WaitMore(15));
	fleet.PlatformDown();
	fleet[0].process->Kill();
	ASSERT_TRUE(WaitFor([&] { return callers->ended() >= 500; }));
	fleet.PlatformUp();
	ASSERT_TRUE(callers->WaitMore(30));
	Check();
}
