// Requirement 1: the total number of retries caused by one client request is bounded across the
// whole call chain. Guards against retries that multiply from level to level, and against
// backend servers with retries of their own.
#include <gtest/gtest.h>

#include <signal.h>

#include "support/fleet.h"

using namespace snipe_test;

namespace
{

constexpr int kMaxRetries = 2; /* of route front-read in kRoutes */

/* Each level calls two more, three levels deep, and repeats a failed inner call 5 times. */
const char kPlan[] =
	"{\"retries\":5,\"service_ms\":1,\"parallel\":true,\"inner\":["
	"{\"path\":\"/deep/a\",\"plan\":{\"retries\":5,\"service_ms\":1,\"inner\":["
	"{\"path\":\"/front/aa\",\"plan\":{\"retries\":5,\"inner\":[{\"path\":\"/deep/"
	"aaa\"}]}},"
	"{\"path\":\"/front/ab\"}]}},"
	"{\"path\":\"/deep/b\",\"plan\":{\"retries\":5,\"inner\":[{\"path\":\"/front/"
	"ba\"}]}}]}";

class RetryBound : public ::testing::Test
{
      protected:
	void Start(const NodeSpec &pattern = {})
	{
		key = StartStandardFleet(fleet, pattern);
	}
	Response Send(size_t node, const std::string &id, const Headers &more = {})
	{
		Headers headers = {{"Fake-Request-Id", id}, {"Fake-Plan", kPlan}};

		headers.insert(headers.end(), more.begin(), more.end());
		return fleet.Call(node, "GET", "/front/root", key.key, headers);
	}
	/* Retries by client request: all runs of a call of its tree beyond the first one. */
	std::map<std::string, int> AllRetries()
	{
		std::map<std::string, int> runs, retries;

		for (const auto &r : fleet.Runs())
			if (r.event == "start" && ++runs[r.id] > 1)
				retries[r.id.substr(0, r.id.find('-') + 1)]++;
		return retries;
	}
	int Retries(const std::string &id)
	{
		return AllRetries()[id];
	}
	void SendAndCheck(int count)
	{
		std::vector<std::string> ids;

		for (int i = 0; i < count; i++) {
			ids.push_back(NewId());
			Send(static_cast<size_t>(i) % fleet.size(), ids.back());
		}
		for (const auto &id : ids)
			EXPECT_LE(Retries(id), kMaxRetries) << id;
	}
	Fleet fleet;
	Key key;
};

} // namespace

TEST_F(RetryBound, TheWholeTreeRunsWithoutRetries)
{
	Start();
	std::string id = NewId();

	EXPECT_EQ(Send(0, id).status, 200);
	EXPECT_EQ(Retries(id), 0);
	EXPECT_EQ(fleet.Started(id + "/0/0/0"), 1);
}

TEST_F(RetryBound, EveryRequestOfThePoolFails)
{
	Start();
	for (const char *json : {"{\"fail_status\":500}", "{\"fail_status\":503}",
				 "{\"fail_status\":0,\"truncate\":\"length\"}"}) {
		for (size_t n = 2; n < 4; n++)
			fleet[n].BackendControl(json);
		SendAndCheck(12);
	}
	for (size_t n = 0; n < 4; n++)
		fleet[n].BackendControl("{\"truncate\":\"\",\"fail_status\":503}");
	SendAndCheck(12);
}

TEST_F(RetryBound, ConnectionsBreakAtEveryLevel)
{
	NodeSpec pattern;

	pattern.backend_relay = true;
	Start(pattern);
	for (size_t n = 0; n < 4; n++)
		fleet[n].relay.Control("{\"drop_replies\":true}");
	SendAndCheck(12);
}

TEST_F(RetryBound, LinksBetweenNodesBreak)
{
	Start();
	for (int i = 0; i < 6; i++) {
		std::vector<std::string> ids;
		std::vector<std::thread> threads;
		std::atomic<int> ended{0};

		for (int t = 0; t < 8; t++)
			ids.push_back(NewId());
		for (size_t t = 0; t < 8; t++)
			threads.emplace_back([&, t] {
				Send(t % fleet.size(), ids[t]);
				ended++;
			});
		WaitFor([&] { return fleet.Started(ids[0]) > 0 || ended == 8; });
		for (size_t n = 0; n < fleet.size(); n++)
			i % 2 ? fleet.SilenceLinks(n) : fleet.CutLinks(n);
		for (auto &t : threads)
			t.join();
		for (const auto &id : ids)
			EXPECT_LE(Retries(id), kMaxRetries) << id;
	}
}

TEST_F(RetryBound, BackendServersLoseTheContext)
{
	Start();
	for (size_t n = 0; n < 4; n++)
		fleet[n].BackendControl("{\"drop_context\":true}");
	for (size_t n = 2; n < 4; n++)
		fleet[n].BackendControl("{\"fail_status\":503}");
	SendAndCheck(12);
}

TEST_F(RetryBound, BackendServersCrashOnTheRequest)
{
	Start();
	for (size_t n = 0; n < 4; n++)
		fleet[n].BackendControl("{\"crash_mark\":\"poison\"}");
	for (int i = 0; i < 8; i++) {
		std::string id = NewId();

		Send(2, id, {{"Fake-Mark", "poison"}});
		EXPECT_LE(Retries(id), kMaxRetries);
		for (size_t n = 0; n < 4; n++)
			if (!fleet[n].backend->Running())
				fleet.StartBackend(fleet[n]);
	}
}

TEST_F(RetryBound, NodesDieAndPauseMeanwhile)
{
	Start();
	for (size_t n = 2; n < 4; n++)
		fleet[n].BackendControl("{\"fail_status\":503}");
	Crowd callers(8, [this](int n, const std::string &id) {
		return Send(static_cast<size_t>(n) % fleet.size(), id);
	});

	ASSERT_TRUE(WaitFor([&] { return callers.ended() >= 50; }));
	fleet[3].process->Kill();
	fleet[1].process->Signal(SIGSTOP);
	ASSERT_TRUE(WaitFor([&] { return callers.ended() >= 150; }));
	fleet[1].process->Signal(SIGCONT);
	fleet.StartNode(fleet[3]);
	ASSERT_TRUE(WaitFor([&] { return callers.ended() >= 250; }));
	std::vector<Sent> sent = callers.Stop();
	auto retries = AllRetries();
	for (const auto &s : sent)
		EXPECT_LE(retries[s.id], kMaxRetries) << s.id;
}
