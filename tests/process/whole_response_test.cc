// Requirement 7: a caller receives the complete response to its own request, even when
// responses arrive late or out of order. Guards against mixed-up, shortened or altered
// responses.
#include <gtest/gtest.h>

#include <signal.h>

#include "base/hash.h"
#include "support/fleet.h"

using namespace snipe_test;

namespace
{

class WholeResponse : public ::testing::Test
{
      protected:
	void Start(const NodeSpec &pattern = {})
	{
		key = StartStandardFleet(fleet, pattern);
		connections.resize(32);
	}
	/* Each caller keeps its connection, so that a late response would meet the next
	 * request.
	 */
	std::unique_ptr<Crowd> Callers()
	{
		return std::make_unique<Crowd>(32, [this](int n, const std::string &id) {
			auto &c = connections[static_cast<size_t>(n)];
			size_t node = static_cast<size_t>(n) % fleet.size();
			int ms = n * 7 % 40, size = 10 + n * 3571 % 200000;

			if (!c || !c->connected())
				c = std::make_unique<HttpConnection>(fleet[node].caller_port);
			return c->Request(
				"GET", "/front/x",
				{{"Snipe-Key", key.key},
				 {"Fake-Request-Id", id},
				 {"Snipe-Timeout-Ms", n % 3 ? "8000" : "25"},
				 {"Fake-Plan", "{\"service_ms\":" + std::to_string(ms) +
						       ",\"size\":" + std::to_string(size) +
						       "}"}});
		});
	}
	static void Check(const std::vector<Sent> &sent)
	{
		for (const auto &s : sent) {
			const Response &r = s.response;
			char hash[24];

			if (r.status != 200 || !r.complete)
				continue;
			snprintf(hash, sizeof(hash), "%016llx",
				 static_cast<unsigned long long>(
					 snipe_hash64(r.body.data(), r.body.size())));
			EXPECT_EQ(r.Header("fake-request-id"), s.id);
			EXPECT_EQ(r.Header("fake-body-hash"), hash) << s.id;
			EXPECT_EQ(r.body.compare(0, s.id.size(), s.id), 0) << s.id;
		}
	}
	Fleet fleet;
	Key key;
	std::vector<std::unique_ptr<HttpConnection>> connections;
};

} // namespace

TEST_F(WholeResponse, LateResponsesMeetNoOtherRequest)
{
	Start();
	auto callers = Callers();

	ASSERT_TRUE(callers->WaitMore(1000));
	Check(callers->Stop());
}

TEST_F(WholeResponse, ShortenedResponsesAreNotPassedOn)
{
	Start();
	auto callers = Callers();

	for (const char *how : {"length", "chunked", "eof"}) {
		for (size_t n = 0; n < 2; n++)
			fleet[n].BackendControl("{\"truncate\":\"" + std::string(how) + "\"}");
		ASSERT_TRUE(WaitFor([&] { return callers->ended() >= 200; }));
		for (size_t n = 0; n < 2; n++)
			fleet[n].BackendControl("{\"truncate\":\"\"}");
		ASSERT_TRUE(callers->WaitMore(100));
	}
	Check(callers->Stop());
}

TEST_F(WholeResponse, ConnectionsAreCutDelayedAndSilent)
{
	NodeSpec pattern;

	pattern.backend_relay = true;
	Start(pattern);
	auto callers = Callers();

	for (const char *json : {"{\"delay_ms\":30}", "{\"cut\":true}", "{\"silent\":true}",
				 "{\"delay_ms\":0,\"cut\":true}"}) {
		ASSERT_TRUE(callers->WaitMore(100));
		fleet[0].relay.Control(json);
	}
	ASSERT_TRUE(callers->WaitMore(200));
	Check(callers->Stop());
}

TEST_F(WholeResponse, LinksBetweenNodesGoSilentAndAreCut)
{
	Start();
	auto callers = Callers();

	for (size_t n = 0; n < 2; n++) {
		ASSERT_TRUE(callers->WaitMore(100));
		ASSERT_TRUE(WaitFor([&] { return fleet.SilenceLinks(n) > 0; }));
		ASSERT_TRUE(callers->WaitMore(100));
		ASSERT_TRUE(WaitFor([&] { return fleet.CutLinks(n) > 0; }));
	}
	ASSERT_TRUE(callers->WaitMore(200));
	Check(callers->Stop());
}

TEST_F(WholeResponse, NodesDieAndPause)
{
	Start();
	auto callers = Callers();

	ASSERT_TRUE(callers->WaitMore(100));
	fleet[1].process->Signal(SIGSTOP);
	ASSERT_TRUE(callers->WaitMore(100));
	fleet[1].process->Signal(SIGCONT);
	ASSERT_TRUE(callers->WaitMore(100));
	fleet[1].process->Kill();
	ASSERT_TRUE(callers->WaitMore(100));
	fleet.StartNode(fleet[1]);
	ASSERT_TRUE(callers->WaitMore(100));
	Check(callers->Stop());
}

/* Requests that two readers understand differently could take another one's response. */
TEST_F(WholeResponse, AmbiguousRequestsAreRejected)
{
	Start();
	const std::string start = "POST /charge HTTP/1.1\r\nHost: a\r\nSnipe-Key: " + key.key +
				  "\r\nFake-Request-Id: ambiguous\r\n";

	for (const std::string &rest :
	     {std::string("Content-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"),
	      std::string("Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"),
	      std::string("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
	      std::string("Content-Length: -1\r\n\r\n"),
	      std::string("Content-Length: 3x\r\n\r\nabc"),
	      std::string("Content-Length: 99999999999999999999\r\n\r\n"),
	      "X-Large: " + std::string(20000, 'x') + "\r\n\r\n",
	      "Content-Length: 9000000\r\n\r\n" + std::string(9000000, 'x')}) {
		HttpConnection c(fleet[0].caller_port);
		c.Send(start + rest);
		Response r = c.Receive();

		EXPECT_NE(r.status, 200) << rest.substr(0, 60);
	}
	EXPECT_EQ(fleet.Started("ambiguous"), 0);
}
