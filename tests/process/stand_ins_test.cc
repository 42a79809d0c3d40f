// Guards the verdicts of all other process tests: the stand-ins must record what really ran and
// bring about exactly the failures that they are told to.
#include <gtest/gtest.h>

#include <errno.h>
#include <signal.h>
#include <string.h>

#include "h1/server.h"
#include "support/fleet.h"
#include "support/loop.h"
#include "support/silence.h"

using namespace snipe_test;

namespace
{

struct Backend {
	explicit Backend(const TempDir &dir, std::vector<std::string> more = {})
	    : runs(dir.File("b.runs")), bytes(dir.File("b.bytes")), files(dir.File("b"))
	{
		args = {"fake_backend", "--pool",	"p", "--run-log", runs, "--byte-log",
			bytes,		"--service-ms", "1"};
		args.insert(args.end(), more.begin(), more.end());
		Start();
	}
	void Start()
	{
		process = std::make_unique<Process>(args, files);
		auto pairs = process->WaitEvent("listening");
		port = std::stoi(pairs.at("port"));
		control_port = std::stoi(pairs.at("control_port"));
	}
	void Control(const std::string &json) const
	{
		ASSERT_EQ(Fetch(control_port, "PUT", "/control", {}, json).status, 200);
	}
	std::vector<std::string> args;
	std::string runs, bytes, files;
	std::unique_ptr<Process> process;
	int port = 0, control_port = 0;
};

size_t Count(const std::string &text, const std::string &part)
{
	size_t n = 0;

	for (size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
		n++;
	return n;
}

} // namespace

TEST(FakeBackend, RecordsRunsAndBytes)
{
	TempDir dir;
	Backend b(dir);
	Response r = Fetch(b.port, "POST", "/x", {{"Fake-Request-Id", "one"}}, "a body");

	ASSERT_TRUE(r.complete);
	EXPECT_EQ(r.status, 200);
	EXPECT_EQ(r.Header("fake-request-id"), "one");
	EXPECT_EQ(Count(ReadFile(b.runs), "\"event\":\"start\",\"id\":\"one\""), 1u);
	EXPECT_EQ(Count(ReadFile(b.runs), "\"event\":\"end\",\"id\":\"one\""), 1u);
	EXPECT_NE(ReadFile(b.bytes).find("a body"), std::string::npos);
	EXPECT_EQ(Fetch(b.control_port, "GET", "/runs").body, ReadFile(b.runs));
	EXPECT_EQ(Fetch(b.control_port, "GET", "/bytes").body, ReadFile(b.bytes));
}

TEST(FakeBackend, RecordOutlivesACrash)
{
	TempDir dir;
	Backend b(dir);

	b.Control("{\"crash_mark\":\"poison\"}");
	EXPECT_FALSE(
		Fetch(b.port, "GET", "/x", {{"Fake-Request-Id", "a"}, {"Fake-Mark", "poison"}})
			.complete);
	EXPECT_EQ(b.process->Wait(), 70);
	b.Start();
	EXPECT_EQ(Fetch(b.port, "GET", "/x", {{"Fake-Request-Id", "b"}}).status, 200);
	EXPECT_EQ(Count(ReadFile(b.runs), "\"event\":\"start\""), 2u);
	EXPECT_EQ(Count(ReadFile(b.runs), "\"event\":\"end\""), 1u);
}

TEST(FakeBackend, TruncatesResponses)
{
	TempDir dir;
	Backend b(dir);

	for (const char *how : {"length", "chunked", "eof"}) {
		b.Control("{\"truncate\":\"" + std::string(how) + "\"}");
		EXPECT_FALSE(Fetch(b.port, "GET", "/x").complete) << how;
	}
	b.Control("{\"truncate\":\"\"}");
	EXPECT_TRUE(Fetch(b.port, "GET", "/x").complete);
}

TEST(FakeBackend, OpenConnectionsGoSilentWhileNewOnesWork)
{
	TempDir dir;
	Backend b(dir);
	HttpConnection before(b.port);

	EXPECT_EQ(before.Request("GET", "/x").status, 200);
	b.Control("{\"silent\":true}");
	before.SetTimeout(300);
	EXPECT_FALSE(before.Request("GET", "/x", {{"Fake-Request-Id", "lost"}}).complete);
	EXPECT_EQ(Fetch(b.port, "GET", "/x").status, 200);
	EXPECT_EQ(Count(ReadFile(b.runs), "lost"), 0u);
}

TEST(FakeBackend, HonoursCancellation)
{
	TempDir dir;
	Backend b(dir);

	{
		HttpConnection c(b.port);
		c.Send("GET /x HTTP/1.1\r\nHost: a\r\nFake-Request-Id: slow\r\n"
		       "Fake-Plan: {\"service_ms\":60000}\r\n\r\n");
		ASSERT_TRUE(WaitFor([&] { return Count(ReadFile(b.runs), "\"start\"") == 1; }));
	}
	EXPECT_TRUE(WaitFor([&] { return Count(ReadFile(b.runs), "\"cancel\"") == 1; }));
}

TEST(FakeBackend, MakesInnerCallsAndRetriesThem)
{
	TempDir dir, inner_dir;
	Backend inner(inner_dir);
	Backend b(dir, {"--node", "127.0.0.1:" + std::to_string(inner.port), "--no-announce"});
	Response r;

	r = Fetch(b.port, "GET", "/x",
		  {{"Fake-Request-Id", "root"},
		   {"Snipe-Context", "c1"},
		   {"Fake-Plan", "{\"inner\":[{\"path\":\"/a\"},{\"method\":\"POST\",\"path\":"
				 "\"/b\"}]}"}});
	EXPECT_EQ(r.status, 200);
	EXPECT_EQ(Count(ReadFile(inner.runs), "\"event\":\"start\",\"id\":\"root/0\""), 1u);
	EXPECT_EQ(Count(ReadFile(inner.runs), "\"event\":\"start\",\"id\":\"root/1\""), 1u);
	EXPECT_EQ(Count(ReadFile(inner.bytes), "Snipe-Context: c1"), 2u);
	inner.Control("{\"fail_status\":500}");
	b.Control("{\"drop_context\":true}");
	r = Fetch(
		b.port, "GET", "/x",
		{{"Fake-Request-Id", "again"},
		 {"Snipe-Context", "c2"},
		 {"Fake-Plan", "{\"retries\":2,\"parallel\":true,\"inner\":[{\"path\":\"/a\"},"
			       "{\"path\":\"/b\"}]}"}});
	EXPECT_EQ(r.status, 503);
	EXPECT_EQ(Count(ReadFile(inner.runs), "\"event\":\"start\",\"id\":\"again/"), 6u);
	EXPECT_EQ(Count(ReadFile(inner.bytes), "c2"), 0u);
}

TEST(TcpRelay, BringsAboutNetworkFailures)
{
	TempDir dir;
	Backend b(dir);
	Process p({"tcp_relay", "--target", "127.0.0.1:" + std::to_string(b.port)},
		  dir.File("relay"));
	auto pairs = p.WaitEvent("listening");
	int port = std::stoi(pairs.at("port")), control = std::stoi(pairs.at("control_port"));
	auto put = [&](const char *json) {
		ASSERT_EQ(Fetch(control, "PUT", "/control", {}, json).status, 200);
	};
	HttpConnection first(port);

	EXPECT_EQ(first.Request("GET", "/x").status, 200);
	put("{\"cut\":true}");
	EXPECT_FALSE(first.Request("GET", "/x").complete);
	HttpConnection third(port);
	EXPECT_EQ(third.Request("GET", "/x").status, 200);
	put("{\"silent\":true}");
	third.SetTimeout(300);
	EXPECT_FALSE(third.Request("GET", "/x").complete);
	EXPECT_EQ(Fetch(port, "GET", "/x").status, 200);
	put("{\"drop_replies\":true}");
	EXPECT_FALSE(Fetch(port, "GET", "/x", {{"Fake-Request-Id", "took-effect"}}).complete);
	EXPECT_EQ(Count(ReadFile(b.runs), "\"event\":\"start\",\"id\":\"took-effect\""), 1u);
	put("{\"drop_replies\":false,\"lose_replies\":\"POST \"}");
	EXPECT_EQ(Fetch(port, "GET", "/x").status, 200);
	EXPECT_FALSE(Fetch(port, "POST", "/x", {{"Fake-Request-Id", "reply-lost"}}).complete);
	EXPECT_EQ(Count(ReadFile(b.runs), "\"event\":\"start\",\"id\":\"reply-lost\""), 1u);
	put("{\"lose_replies\":\"\",\"lose_requests\":\"POST \"}");
	EXPECT_FALSE(Fetch(port, "POST", "/x", {{"Fake-Request-Id", "never-came"}}).complete);
	EXPECT_EQ(Count(ReadFile(b.runs), "never-came"), 0u);
	put("{\"lose_requests\":\"\",\"delay_ms\":50}");
	EXPECT_EQ(Fetch(port, "GET", "/x").status, 200);
	put("{\"refuse\":true}");
	EXPECT_FALSE(Fetch(port, "GET", "/x").complete);
}

TEST(Silence, OpenConnectionsGoSilentWhileNewOnesWork)
{
	TempDir dir;
	Backend b(dir);
	HttpConnection open(b.port);

	ASSERT_EQ(open.Request("GET", "/x").status, 200);
	ASSERT_EQ(SilenceConnections(b.process->pid(), b.port), 1) << strerror(errno);
	open.SetTimeout(300);
	EXPECT_FALSE(open.Request("GET", "/x", {{"Fake-Request-Id", "lost"}}).complete);
	EXPECT_EQ(Fetch(b.port, "GET", "/x").status, 200);
	EXPECT_EQ(Count(ReadFile(b.bytes), "lost"), 0u);
}

TEST(Silence, OpenConnectionsAreCut)
{
	TempDir dir;
	Backend b(dir);
	HttpConnection open(b.port);

	ASSERT_EQ(open.Request("GET", "/x").status, 200);
	ASSERT_EQ(CutConnections(b.process->pid(), b.port), 1) << strerror(errno);
	EXPECT_FALSE(open.Request("GET", "/x").complete);
	EXPECT_EQ(Fetch(b.port, "GET", "/x").status, 200);
}

// A child between fork and exec holds the listeners of the test program.
TEST(StandIns, APortIsFreeRightAfterAProcessWasStarted)
{
	TempDir dir;
	Loop loop;
	static const struct snipe_h1_server_ops ops = {nullptr, nullptr};
	struct snipe_address a = free_address();
	struct snipe_error_text err = {""};
	std::unique_ptr<Process> last;

	for (int i = 0; i < 100; i++) {
		struct snipe_h1_server server;

		ASSERT_EQ(snipe_h1_server_init(&server, loop.base, &a, "test", &ops, nullptr,
					       &err),
			  0)
			<< "round " << i << ": " << err.text;
		last = std::make_unique<Process>(
			std::vector<std::string>{"snipescaled", "--version"}, dir.File("p"));
		snipe_h1_server_finish(&server);
	}
}
