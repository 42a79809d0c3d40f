// Requirement 8: a rejection that says "not run" means that the request did not run. Guards
// against "not-run" after an attempt that reached a backend server, for every failure that can
// happen between caller and backend server.
#include <gtest/gtest.h>

#include <signal.h>

#include <set>

#include "support/fleet.h"

using namespace snipe_test;

namespace
{

class NotRun : public ::testing::Test
{
      protected:
	void Start(const NodeSpec &pattern = {})
	{
		key = StartStandardFleet(fleet, pattern);
	}
	Response Send(size_t node, const std::string &id, const std::string &method,
		      const std::string &path, const std::string &plan)
	{
		return fleet.Call(node, method, path, key.key,
				  {{"Fake-Request-Id", id}, {"Fake-Plan", plan}}, "");
	}
	/* Callers at every node, reading and charging in turn. */
	std::unique_ptr<Crowd> Callers(const std::string &plan)
	{
		return std::make_unique<Crowd>(16, [this, plan](int n, const std::string &id) {
			size_t node = static_cast<size_t>(n) % fleet.size();

			return n % 8 < 4 ? Send(node, id, "GET", "/front/x", plan)
					 : Send(node, id, "POST", "/charge", plan);
		});
	}
	void Check(const std::vector<Sent> &sent)
	{
		std::set<std::string> started;
		int not_run = 0;

		for (const auto &r : fleet.Runs())
			if (r.event == "start")
				started.insert(r.id);
		for (const auto &s : sent) {
			if (s.response.Outcome() != "not-run")
				continue;
			not_run++;
			EXPECT_EQ(started.count(s.id), 0u) << s.id << " " << s.response.Reason()
							   << " said not-run and ran";
		}
		RecordProperty("not_run", not_run);
		RecordProperty("sent", static_cast<int>(sent.size()));
	}
	Fleet fleet;
	Key key;
};

} // namespace

TEST_F(NotRun, BackendServerIsKilledAndStartsAgain)
{
	Start();
	auto callers = Callers("{\"service_ms\":20}");

	for (int i = 0; i < 4; i++) {
		ASSERT_TRUE(callers->WaitMore(50));
		fleet[i % 2].backend->Kill();
		fleet.StartBackend(fleet[i % 2]);
	}
	ASSERT_TRUE(callers->WaitMore(50));
	Check(callers->Stop());
}

TEST_F(NotRun, NodeIsKilledAndStartsAgain)
{
	Start();
	auto callers = Callers("{\"service_ms\":20}");

	for (int i = 0; i < 2; i++) {
		ASSERT_TRUE(callers->WaitMore(50));
		fleet[i].process->Kill();
		ASSERT_TRUE(callers->WaitMore(50));
		fleet.StartNode(fleet[i]);
	}
	ASSERT_TRUE(callers->WaitMore(50));
	Check(callers->Stop());
}

TEST_F(NotRun, NodeIsPausedAndResumes)
{
	Start();
	auto callers = Callers("{\"service_ms\":20}");

	for (int i = 0; i < 2; i++) {
		ASSERT_TRUE(callers->WaitMore(50));
		fleet[i].process->Signal(SIGSTOP);
		/* Other callers are served meanwhile; a whole second lets timeouts expire. */
		ASSERT_TRUE(callers->WaitMore(200));
		fleet[i].process->Signal(SIGCONT);
	}
	ASSERT_TRUE(callers->WaitMore(50));
	Check(callers->Stop());
}

TEST_F(NotRun, BackendConnectionsAreCutAndGoSilent)
{
	NodeSpec pattern;

	pattern.backend_relay = true;
	Start(pattern);
	auto callers = Callers("{\"service_ms\":20}");

	for (const char *json :
	     {"{\"cut\":true}", "{\"silent\":true}", "{\"drop_replies\":true}",
	      "{\"drop_replies\":false,\"refuse\":true}", "{\"refuse\":false,\"cut\":true}"}) {
		ASSERT_TRUE(callers->WaitMore(50));
		fleet[0].relay.Control(json);
	}
	ASSERT_TRUE(callers->WaitMore(50));
	Check(callers->Stop());
}

TEST_F(NotRun, LinksBetweenNodesGoSilentAndAreCut)
{
	Start();
	auto callers = Callers("{\"service_ms\":20}");

	for (int i = 0; i < 3; i++) {
		ASSERT_TRUE(callers->WaitMore(100));
		ASSERT_TRUE(WaitFor([&] { return fleet.SilenceLinks(0) > 0; }));
		ASSERT_TRUE(callers->WaitMore(100));
		ASSERT_TRUE(WaitFor([&] { return fleet.CutLinks(1) > 0; }));
	}
	ASSERT_TRUE(callers->WaitMore(100));
	Check(callers->Stop());
}

TEST_F(NotRun, ResponsesAreTruncatedAndRequestsFail)
{
	Start();
	auto callers = Callers("{\"service_ms\":5,\"size\":100000}");

	for (const char *json :
	     {"{\"truncate\":\"length\"}", "{\"truncate\":\"chunked\"}",
	      "{\"truncate\":\"eof\"}", "{\"truncate\":\"\",\"fail_status\":500}",
	      "{\"fail_status\":503}", "{\"fail_status\":0,\"silent\":true}"}) {
		ASSERT_TRUE(callers->WaitMore(50));
		fleet[0].BackendControl(json);
	}
	ASSERT_TRUE(callers->WaitMore(50));
	Check(callers->Stop());
}

TEST_F(NotRun, OverloadWithShortDeadlines)
{
	Start({"", "", "", {"--slots", "4"}});
	Crowd callers(64, [this](int n, const std::string &id) {
		return fleet.Call(static_cast<size_t>(n) % fleet.size(), n % 2 ? "GET" : "POST",
				  n % 2 ? "/low/x" : "/charge", key.key,
				  {{"Fake-Request-Id", id},
				   {"Snipe-Timeout-Ms", "200"},
				   {"Fake-Plan", "{\"service_ms\":100}"}});
	});

	ASSERT_TRUE(WaitFor([&] { return callers.ended() >= 2000; }));
	Check(callers.Stop());
}

TEST_F(NotRun, RequestThatCrashesBackendServersIsSentAgain)
{
	Start();
	std::vector<Sent> sent;

	for (size_t n = 0; n < fleet.size(); n++)
		fleet[n].BackendControl("{\"crash_mark\":\"poison\"}");
	for (int i = 0; i < 12; i++) {
		Sent s;

		s.id = NewId();
		s.response = fleet.Call(i % 2, "GET", "/front/poison", key.key,
					{{"Fake-Request-Id", s.id}, {"Fake-Mark", "poison"}});
		sent.push_back(s);
		for (size_t n = 0; n < fleet.size(); n++)
			if (!fleet[n].backend->Running()) {
				fleet.StartBackend(fleet[n]);
				fleet[n].BackendControl("{\"crash_mark\":\"poison\"}");
			}
	}
	Check(sent);
}

/* Two failures at once: the platform is away while a node dies and connections are cut. */
TEST_F(NotRun, PlatformOutageNodeDeathAndCutConnectionsTogether)
{
	NodeSpec pattern;

	pattern.backend_relay = true;
	Start(pattern);
	auto callers = Callers("{\"service_ms\":20}");

	fleet.PlatformDown();
	ASSERT_TRUE(callers->WaitMore(50));
	fleet[1].process->Kill();
	fleet[0].relay.Control("{\"cut\":true}");
	ASSERT_TRUE(WaitFor([&] { return callers->ended() >= 500; }));
	fleet.PlatformUp();
	ASSERT_TRUE(callers->WaitMore(50));
	Check(callers->Stop());
}
