// Guards, on real processes, against requests that run twice or at the wrong place, keys that
// outlive their withdrawal, servers that get work after they left, and requests that are cut
// off by a planned stop.
#include <gtest/gtest.h>
#include <signal.h>

#include "support/deployment.h"

namespace
{

using namespace snipe_test;

struct Platform : testing::Test, Deployment {
	Platform()
	{
		services = {R"(["tips",100])", R"(["bookings",100])"};
		routes = {
			R"(["open","a.example","/open/","idempotent",3,2,true,null,"tips"])",
			R"(["patient","a.example","/patient/","idempotent",6,2,true,null,"tips"])",
			R"(["read","a.example","/read/","idempotent",3,2,false,null,"tips"])",
			R"(["pay","a.example","/pay/","non_idempotent",3,2,false,null,"bookings"])",
			R"(["split","a.example","/split/","idempotent",3,2,true,
			    [{"service":"tips","weight":75},{"service":"bookings","weight":25}],null])"};
		tenants = {R"(["one",["key-1","key-2"],0,0,0])",
			   R"(["slow",["key-3"],0,10,10])"};
	}
	void start(int tips = 2, int bookings = 2)
	{
		for (int i = 0; i < tips; i++)
			AddNode("tips", i % 2 ? "east" : "west");
		for (int i = 0; i < bookings; i++)
			AddNode("bookings", i % 2 ? "east" : "west");
		PutTables();
		StartAll();
		ASSERT_TRUE(WaitSettled());
	}
	Request get(const std::string &path, const std::string &key = "")
	{
		Request r;
		r.path = path;
		r.key = key;
		return r;
	}
	Request pay(const std::string &key = "key-1")
	{
		Request r = get("/pay/1", key);
		r.method = "POST";
		r.body = "amount=5";
		return r;
	}
	int runs(const std::string &id)
	{
		auto it = record.count.find(id);
		return it == record.count.end() ? 0 : it->second;
	}
};

} // namespace

TEST_F(Platform, ARequestReachesItsServiceWithWhatTheServerNeeds)
{
	start();
	Request r = pay();
	r.id = "p-1";
	r.more = "Tenant: other\r\nCaller-Service: other\r\nX-Kept: 1\r\n";
	Reply reply = Call(0, r);
	ASSERT_EQ(reply.status, 200);
	EXPECT_EQ(reply.body, "body of p-1");
	ASSERT_EQ(record.runs.size(), 1u);
	const ServerRun &run = record.runs[0];
	EXPECT_EQ(run.workspace, "one");
	EXPECT_EQ(run.caller, "tips");
	EXPECT_EQ(run.path, "/pay/1");
	EXPECT_EQ(run.body, "amount=5");
	EXPECT_FALSE(run.had_key);
	EXPECT_GT(run.left_ms, 0);
	EXPECT_LE(run.left_ms, 3000) << "the route's timeout is the shorter one";
}

TEST_F(Platform, WhatTheTablesDoNotAllowIsRefused)
{
	start(1, 1);
	EXPECT_EQ(Call(0, get("/read/1")).status, 401);
	EXPECT_EQ(Call(0, get("/read/1", "key-9")).status, 401);
	EXPECT_EQ(Call(0, get("/none/1", "key-1")).status, 404);
	EXPECT_EQ(Call(0, get("/read/1", "key-1")).status, 200);
	EXPECT_EQ(Call(0, get("/open/1")).status, 200);
	Request r = get("/open/1");
	r.host = "b.example";
	EXPECT_EQ(Call(0, r).status, 404);
	r = get("/open/1");
	r.more = "Host: other\r\n";
	EXPECT_EQ(Call(0, r).status, 400);
	EXPECT_EQ(record.runs.size(), 2u);
}

// Guards against a request that reaches its server without the workspace because its own fields
// left no room for it.
TEST_F(Platform, ARequestWithTooManyFieldsIsRefused)
{
	start(1, 1);
	Request r = pay();
	r.id = "f-1";
	for (int i = 0; i < 58; i++)
		r.more += "X-" + std::to_string(i) + ": 1\r\n";
	EXPECT_EQ(Call(0, r).status, 431);
	EXPECT_EQ(runs("f-1"), 0);
}

TEST_F(Platform, WithoutTablesNothingIsAnsweredForGood)
{
	AddNode("tips", "west");
	StartAll();
	loop.until([&] { return nodes[0]->server->acknowledged > 0; });
	Reply r = Call(0, get("/open/1"));
	EXPECT_EQ(r.status, 503);
	EXPECT_NE(r.retry_after, "");
	EXPECT_FALSE(Ready(0));
	PutTables();
	EXPECT_TRUE(WaitSettled());
	EXPECT_EQ(Call(0, get("/open/1")).status, 200);
}

TEST_F(Platform, APaymentWhoseAnswerIsLostRunsOnceAndIsUnknown)
{
	start(1, 2);
	for (auto &n : nodes)
		if (n->service == "bookings")
			n->server->behaviour.lose = 1;
	Request r = pay();
	r.id = "lost";
	EXPECT_EQ(Call(0, r).status, 502);
	EXPECT_EQ(runs("lost"), 1);
}

// The budget covers the first repeat of a node for certain.
TEST_F(Platform, AReadWhoseAnswerIsLostIsServedByAnotherServer)
{
	start(2, 1);
	nodes[0]->server->behaviour.lose = 1;
	int repeated = 0;
	for (int i = 0; i < 200 && !repeated; i++) {
		Request r = get("/read/1", "key-1");
		r.id = "read-" + std::to_string(i);
		EXPECT_EQ(Call(2, r).status, 200);
		repeated = runs(r.id) == 2;
	}
	EXPECT_TRUE(repeated);
}

TEST_F(Platform, ARefusalByTheServerIsPlacedElsewhereAndSaysNotRun)
{
	start(1, 2);
	nodes[1]->server->behaviour.refuse = 1;
	for (int i = 0; i < 200 && !nodes[1]->server->refused; i++)
		EXPECT_EQ(Call(0, pay()).status, 200);
	EXPECT_EQ(nodes[1]->server->refused, 1);
	nodes[2]->server->behaviour.refuse = 1;
	Request r = pay();
	r.id = "refused";
	EXPECT_EQ(Call(0, r).status, 503);
	EXPECT_EQ(runs("refused"), 0);
}

TEST_F(Platform, InnerCallsPassWithoutAKey)
{
	start(1, 1);
	nodes[1]->server->behaviour.inner = "/open/inner";
	nodes[1]->server->behaviour.inner_host = "a.example";
	Request r = pay();
	r.id = "outer";
	EXPECT_EQ(Call(0, r).status, 200);
	EXPECT_EQ(runs("outer-inner"), 1);
	EXPECT_EQ(record.runs.back().caller, "bookings");
	EXPECT_EQ(record.runs.back().workspace, "");
}

// A route whose count of requests in flight drifts is never limited, or always.
TEST_F(Platform, RequestsInFlightAreCountedToZero)
{
	start(1, 1);
	nodes[1]->server->behaviour.lose = 0.3;
	for (int i = 0; i < 20; i++) {
		Call(0, get("/open/1"));
		Call(0, pay());
		Begin(0, pay()).reset();
	}
	EXPECT_TRUE(loop.until([&] {
		std::string state = State(0);
		size_t found = 0;
		for (const char *route : {"open", "pay"}) {
			size_t at = state.find("\"" + std::string(route) + "\":{\"limit\"");
			if (at != std::string::npos)
				found += state.find("\"in_flight\":0,", at) < at + 40;
		}
		return found == 2;
	})) << State(0);
}

TEST_F(Platform, SplitRoutesFollowTheirWeights)
{
	start(1, 1);
	int tips = 0;
	for (int i = 0; i < 100; i++)
		tips += Call(0, get("/split/1")).server_id == nodes[0]->server->id;
	EXPECT_EQ(tips, 75);
}

TEST_F(Platform, AWorkspaceGetsNoMoreThanItsRate)
{
	start();
	int served = 0, refused = 0;
	int64_t end = snipe_now_us() + 2000000;

	while (snipe_now_us() < end) {
		for (size_t node = 0; node < nodes.size(); node++) {
			int status = Call(node, get("/read/1", "key-3")).status;
			served += status == 200;
			refused += status == 429;
		}
		loop.run_ms(5);
	}
	// 10 a second for 2 s and a burst of 10; the users allow a tenth and 20 more.
	EXPECT_LE(served, 1.1 * (2 * 10 + 10) + 20);
	EXPECT_GE(served, 10);
	EXPECT_GT(refused, 100);
	// Guards against a refusal whose inputs the logs do not have.
	EXPECT_TRUE(loop.until([&] {
		std::string log = nodes[0]->process->Output();
		size_t line = log.find("event=rate_exceeded request="),
		       newline = log.find('\n', line);

		return line != std::string::npos && newline != std::string::npos &&
		       log.substr(line, newline - line).find(" report_age_ms=") !=
			       std::string::npos;
	}));
}

TEST_F(Platform, NewTablesAreInForceEverywhereWithinTwoSeconds)
{
	start();
	routes.push_back(R"(["new","a.example","/new/","idempotent",3,2,true,null,"tips"])");
	PutTables();
	int64_t acked = snipe_now_us();
	ASSERT_TRUE(loop.until([&] {
		for (size_t i = 0; i < nodes.size(); i++)
			if (Call(i, get("/new/1")).status != 200)
				return false;
		return true;
	}));
	EXPECT_LT(snipe_now_us() - acked, 2000000);
}

TEST_F(Platform, ANodeThatTheStoreTurnsAwayGetsNewTablesFromTheOthers)
{
	start();
	for (StoreMode mode : {StoreMode::Busy, StoreMode::Many, StoreMode::Silent}) {
		std::string name = "late" + std::to_string((int)mode);
		store.SetMode(0, mode);
		loop.run_ms(1500);
		routes.push_back("[\"" + name + "\",\"a.example\",\"/" + name +
				 "/\",\"idempotent\",3,2,true,null,\"tips\"]");
		PutTables();
		EXPECT_TRUE(loop.until([&] {
			return Call(0, get("/" + name + "/1")).status == 200;
		})) << name;
		store.SetMode(0, StoreMode::Up);
	}
}

// The node cannot know that the key was withdrawn; it must stop trusting it by itself.
TEST_F(Platform, AWithdrawnKeyStopsAtANodeWithoutTheStore)
{
	start(1, 1);
	ASSERT_EQ(Call(0, get("/read/1", "key-2")).status, 200);
	for (size_t i = 0; i < nodes.size(); i++)
		store.SetMode(i, StoreMode::Silent);
	tenants[0] = R"(["one",["key-1"],0,0,0])";
	PutTables();
	int64_t acked = snipe_now_us();
	int64_t last = 0;
	while (snipe_now_us() - acked < 7000000) {
		int64_t sent = snipe_now_us();
		if (Call(0, get("/read/1", "key-2")).status == 200)
			last = sent;
		loop.run_ms(20);
	}
	EXPECT_LE(last - acked, 5000000);
	EXPECT_EQ(Call(0, get("/open/1")).status, 200) << "open routes go on";
	EXPECT_EQ(Call(0, get("/read/1", "key-1")).status, 503) << "not refused for good";
	for (size_t i = 0; i < nodes.size(); i++)
		store.SetMode(i, StoreMode::Up);
	EXPECT_TRUE(loop.until([&] { return Call(0, get("/read/1", "key-1")).status == 200; }));
	EXPECT_EQ(Call(0, get("/read/1", "key-2")).status, 401);
}

TEST_F(Platform, AFewNodesReadTheStoreForAll)
{
	// A node that learned nothing for 1.6 s reads by itself, so a time in which the store,
	// that is this process, did not run for a second shows nothing; readers call every 0.6
	// s.
	auto is_steady = [this](int64_t from) {
		int64_t last = from, gap = 0;

		for (const StoreCall &c : store.calls)
			if (c.at_us > from) {
				gap = std::max(gap, c.at_us - last);
				last = c.at_us;
			}
		return std::max(gap, snipe_now_us() - last) < 1000000;
	};
	size_t before;
	int tries = 10;

	start(4, 4);
	do {
		loop.run_ms(3000);
		before = store.calls.size();
		loop.run_ms(3000);
	} while (!is_steady(snipe_now_us() - 5000000) && --tries);
	ASSERT_GT(tries, 0) << "the store never ran for 5 s without a break";
	// Three readers with waits of 0.6 s.
	EXPECT_LE(store.calls.size() - before, 3u * 5 + 3);
	if (HasFailure())
		for (size_t i = before; i < store.calls.size(); i++)
			std::cerr << store.calls[i].at_us << " us " << store.calls[i].method
				  << " " << store.calls[i].url << "\n";
	for (size_t i = 0; i < nodes.size(); i++)
		EXPECT_EQ(Call(i, get("/read/1", "key-1")).status, 200) << i;
}

TEST_F(Platform, ADroppedHistoryLosesNoTables)
{
	start(1, 1);
	store.DropHistory();
	routes.push_back(R"(["new","a.example","/new/","idempotent",3,2,true,null,"tips"])");
	PutTables();
	store.DropHistory();
	EXPECT_TRUE(loop.until([&] { return Call(0, get("/new/1")).status == 200; }));
}

TEST_F(Platform, RegistrationSurvivesALostAnswer)
{
	store.LoseWrites(2);
	start(1, 1);
	EXPECT_EQ(Call(0, pay()).status, 200);
}

TEST_F(Platform, RestartedNodesMeetAgainWithoutTheStore)
{
	start(2, 1);
	for (size_t i = 0; i < nodes.size(); i++)
		store.SetMode(i, StoreMode::Silent);
	nodes[0]->process->Kill();
	Start(0, false);
	EXPECT_TRUE(loop.until([&] { return Call(0, get("/open/1")).status == 200; }))
		<< "tables and servers must come from the other nodes";
}

TEST_F(Platform, ALeavingServerGetsNothingAfterItsAcknowledgement)
{
	start(2, 1);
	bool leave = false;
	for (auto &n : {nodes[0].get(), nodes[1].get()}) {
		FakeServer *s = n->server.get();
		std::vector<std::unique_ptr<Pending>> open;

		leave ? s->Leave() : s->Drain();
		leave = true;
		int64_t end = snipe_now_us() + 1500000;
		while (snipe_now_us() < end) {
			open.push_back(Begin(open.size() % 3, get("/open/1")));
			loop.run_ms(5);
		}
		ASSERT_GT(s->leave_acked_us, 0);
		for (const auto &run : record.runs)
			if (run.server == s->id) {
				EXPECT_LE(run.at_us, s->leave_acked_us + 100000);
			}
		loop.until([&] {
			for (auto &p : open)
				if (!p->reply.done)
					return false;
			return true;
		});
		for (auto &p : open)
			EXPECT_EQ(p->reply.status, 200);
		StartServer(n == nodes[0].get() ? 0 : 1);
		ASSERT_TRUE(WaitSettled());
	}
}

// Guards against an announcement of another writer, without one of its fields, that makes a
// node ignore and yet acknowledge that its server leaves.
TEST_F(Platform, ALeavingIsInForceAfterAnAnnouncementOfAnotherWriter)
{
	start(1, 2);
	for (const char *missing :
	     {"born", "zone", "version", "cold-remaining-s", "sequence"}) {
		int before = nodes[2]->server->acknowledged;
		nodes[2]->server->AnnounceForeign(missing);
		loop.run_ms(300);
		EXPECT_GT(nodes[2]->server->acknowledged, before) << "its own announcements";
	}
	EXPECT_EQ(nodes[2]->server->foreign_acknowledged, 0);
	FakeServer &leaving = *nodes[2]->server;
	leaving.Drain();
	ASSERT_TRUE(loop.until([&] { return leaving.leave_acked_us > 0; }));
	int64_t acked = leaving.leave_acked_us;
	while (snipe_now_us() < acked + 3000000)
		Call(0, pay());
	for (const ServerRun &r : record.runs)
		if (r.server == leaving.id) {
			EXPECT_LE(r.at_us, acked + 2000000) << r.id;
		}
}

// Servers that end at the same moment must not make a request that many callers send suspect of
// having crashed them.
TEST_F(Platform, APopularRequestIsServedAfterServersEndedTogether)
{
	start(2, 1);
	std::vector<std::unique_ptr<Pending>> open;

	for (int i = 0; i < 2; i++)
		nodes[i]->server->behaviour.run_ms = 400;
	for (size_t i = 0; i < 40; i++)
		open.push_back(Begin(i % 3, get("/read/popular", "key-1")));
	loop.run_ms(150);
	nodes[0]->server->Die();
	nodes[1]->server->Die();
	loop.run_ms(300);
	StartServer(0);
	StartServer(1);
	ASSERT_TRUE(WaitSettled());
	int served = 0, asked = 0;
	int64_t end = snipe_now_us() + 15000000;
	while (snipe_now_us() < end && served < 20) {
		Reply r = Call(asked++ % 3, get("/read/popular", "key-1"));
		served += r.status == 200;
	}
	EXPECT_EQ(served, 20) << "of " << asked;
}

// A node process that acknowledged a leaving is killed, and the next one hears a notice that
// was held up on its way.
TEST_F(Platform, ALeavingHoldsForTheNextProcessOfTheNode)
{
	start(2, 1);
	FakeServer *s = nodes[0]->server.get();

	s->Leave();
	ASSERT_TRUE(loop.until([&] { return s->leave_acked_us > 0; }));
	nodes[0]->process->Kill();
	Start(0, false);
	ASSERT_TRUE(loop.until([&] { return Ready(0); }));
	int acknowledged = s->acknowledged;
	size_t runs = record.runs.size();
	s->AnnounceLate();
	ASSERT_TRUE(loop.until([&] { return s->acknowledged > acknowledged; }));
	loop.run_ms(500);
	for (size_t i = 0; i < 30; i++)
		EXPECT_EQ(Call(i % 3, get("/open/1")).status, 200);
	for (; runs < record.runs.size(); runs++)
		EXPECT_NE(record.runs[runs].server, s->id);
}

// Guards against a leaving that was acknowledged while the store was away and is forgotten when
// the node is killed. A server that responds is used without announcements, so traffic goes on.
TEST_F(Platform, ALeavingDuringAnOutageHoldsForTheNextProcessOfTheNode)
{
	start(2, 1);
	FakeServer *s = nodes[0]->server.get();
	auto traffic = [&](int64_t duration_us) {
		for (int64_t end = snipe_now_us() + duration_us; snipe_now_us() < end;) {
			EXPECT_EQ(Call(2, get("/open/1")).status, 200);
			loop.run_ms(20);
		}
	};

	for (size_t i = 0; i < nodes.size(); i++)
		store.SetMode(i, StoreMode::Busy);
	s->Leave();
	ASSERT_TRUE(loop.until([&] { return s->leave_acked_us > 0; }));
	nodes[0]->process->Kill();
	Start(0, false);
	traffic(1500000);
	int acknowledged = s->acknowledged;
	s->AnnounceLate();
	ASSERT_TRUE(loop.until([&] { return s->acknowledged > acknowledged; }));
	traffic(500000);
	for (size_t i = 0; i < nodes.size(); i++)
		store.SetMode(i, StoreMode::Up);
	traffic(3000000); // contact-s: all nodes are in touch
	size_t runs = record.runs.size();
	traffic(1000000);
	for (; runs < record.runs.size(); runs++)
		EXPECT_NE(record.runs[runs].server, s->id);
}

// Guards against a leaving that the store has and that the next process of the node cannot
// read: the store turns the node away.
TEST_F(Platform, AStoredLeavingHoldsForANodeThatTheStoreTurnsAway)
{
	start(2, 1);
	FakeServer *s = nodes[0]->server.get();

	s->Leave();
	ASSERT_TRUE(loop.until([&] { return s->leave_acked_us > 0; }));
	store.SetMode(0, StoreMode::Busy);
	nodes[0]->process->Kill();
	Start(0, false);
	loop.run_ms(1500);
	int acknowledged = s->acknowledged;
	s->AnnounceLate();
	ASSERT_TRUE(loop.until([&] { return s->acknowledged > acknowledged; }));
	loop.run_ms(500);
	size_t runs = record.runs.size();
	for (size_t i = 0; i < 60; i++) {
		EXPECT_EQ(Call(i % 3, get("/open/1")).status, 200);
		loop.run_ms(20);
	}
	for (; runs < record.runs.size(); runs++)
		EXPECT_NE(record.runs[runs].server, s->id);
}

// Guards against a leaving that nobody has any more: it was acknowledged on copies while the
// store was away, and all nodes were killed before it was back.
TEST_F(Platform, ALeavingDuringAnOutageHoldsAfterAKillOfAllNodes)
{
	start(2, 1);
	FakeServer *s = nodes[0]->server.get();

	for (size_t i = 0; i < nodes.size(); i++)
		store.SetMode(i, StoreMode::Busy);
	s->Leave();
	ASSERT_TRUE(loop.until([&] { return s->leave_acked_us > 0; }));
	for (auto &n : nodes)
		n->process->Kill();
	for (size_t i = 0; i < nodes.size(); i++)
		Start(i, false);
	loop.run_ms(1500);
	int acknowledged = s->acknowledged;
	s->AnnounceLate();
	ASSERT_TRUE(loop.until([&] { return s->acknowledged > acknowledged; }));
	for (size_t i = 0; i < nodes.size(); i++)
		store.SetMode(i, StoreMode::Up);
	ASSERT_TRUE(loop.until([&] { return Call(2, get("/open/1")).status == 200; }));
	loop.run_ms(1000);
	for (size_t i = 0; i < 60; i++) {
		EXPECT_EQ(Call(i % 3, get("/open/1")).status, 200);
		loop.run_ms(20);
	}
	for (const ServerRun &r : record.runs)
		EXPECT_NE(r.server, s->id);
}

// A server that lives must not wait for the store.
TEST_F(Platform, AServerIsUsedByANodeThatCannotReadTheStore)
{
	start(1, 1);
	store.SetMode(0, StoreMode::Busy);
	nodes[0]->process->Kill();
	Start(0, false);
	ASSERT_TRUE(loop.until([&] { return Call(1, get("/open/1")).status == 200; }));
}

// Guards against an acknowledgement that a kill would undo: no other node and no store has the
// departure.
TEST_F(Platform, ALeavingThatIsKeptNowhereIsNotAcknowledged)
{
	start(1, 0);
	FakeServer *s = nodes[0]->server.get();

	store.SetMode(0, StoreMode::Busy);
	s->Leave();
	loop.run_ms(900);
	EXPECT_EQ(s->leave_acked_us, 0);
	store.SetMode(0, StoreMode::Up);
	EXPECT_TRUE(loop.until([&] { return s->leave_acked_us > 0; }));
}

// Without the store an acknowledgement is late, but in time for the server.
TEST_F(Platform, ALeavingIsAcknowledgedWithoutTheStore)
{
	start(2, 1);
	FakeServer *s = nodes[0]->server.get();
	int64_t left_us = snipe_now_us();

	store.SetMode(0, StoreMode::Silent);
	s->Leave();
	ASSERT_TRUE(loop.until([&] { return s->leave_acked_us > 0; }));
	EXPECT_LT(s->leave_acked_us - left_us, 1000000);
}

TEST_F(Platform, APlannedStopCutsOffNothing)
{
	start(2, 1);
	nodes[0]->server->behaviour.run_ms = nodes[1]->server->behaviour.run_ms = 300;
	std::vector<std::unique_ptr<Pending>> open;
	bool stopped = false;
	int64_t begun = snipe_now_us(), refused = 0;

	while (snipe_now_us() - begun < 4000000) {
		if (!stopped && snipe_now_us() - begun > 500000) {
			nodes[0]->process->Signal(SIGTERM);
			stopped = true;
		}
		// Clients go to the stopping node until it has failed two checks.
		size_t node = snipe_now_us() - begun < 2700000 ? 0 : 1;
		open.push_back(Begin(node, get("/open/1")));
		loop.run_ms(20);
	}
	loop.until([&] {
		for (auto &p : open)
			if (!p->reply.done)
				return false;
		return true;
	});
	for (auto &p : open) {
		refused += p->reply.status == 503;
		EXPECT_TRUE(p->reply.status == 200 || p->reply.status == 503)
			<< p->reply.status << " result " << p->reply.result << " sent at ms "
			<< (p->started_us - begun) / 1000;
	}
	EXPECT_LE(refused, (int64_t)open.size() / 20);
	EXPECT_EQ(nodes[0]->process->Wait(), 0);
}

// Guards against a stop that cuts a request which was sent on while responses before it waited.
TEST_F(Platform, APlannedStopAnswersPipelinedRequests)
{
	start(1, 1);
	FakeServer &server = *nodes[0]->server;
	Socket c = Socket::connect_to(nodes[1]->at.outbound);
	auto send = [&](const std::string &id, int run_ms) {
		server.behaviour.run_ms = run_ms;
		c.send_text("GET /open/" + id + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " +
			    id + "\r\nDeadline-Ms: 5000\r\n\r\n");
		return loop.until([&] { return runs(id) == 1; });
	};

	nodes[1]->process->Signal(SIGTERM);
	loop.run_ms(100);
	ASSERT_TRUE(send("slow", 500));
	ASSERT_TRUE(send("quick", 20));
	loop.run_ms(100);
	ASSERT_TRUE(send("behind", 700));
	loop.until([&] {
		c.pump();
		return c.eof || c.reset;
	});
	size_t answers = 0;
	for (size_t at = 0; (at = c.in.find("HTTP/1.1 200", at)) != std::string::npos; at++)
		answers++;
	EXPECT_EQ(answers, 3u) << c.in;
	EXPECT_FALSE(c.reset);
}

// Guards against answers that are ready in the node and dropped with its end, since a request
// before them on their connection is still unanswered.
TEST_F(Platform, APlannedStopSendsAnswersThatWaitBehindAnUnfinishedRequest)
{
	start(1, 1);
	FakeServer &server = *nodes[0]->server;
	Socket c = Socket::connect_to(nodes[1]->at.outbound);
	auto send = [&](const std::string &id, int run_ms) {
		server.behaviour.run_ms = run_ms;
		c.send_text("GET /patient/" + id + " HTTP/1.1\r\nHost: a.example\r\n" +
			    "Attempt-Id: " + id + "\r\nDeadline-Ms: 6000\r\n\r\n");
		return loop.until([&] { return runs(id) == 1; });
	};

	nodes[1]->process->Signal(SIGTERM);
	loop.run_ms(2500);
	ASSERT_TRUE(send("slow", 3800));
	ASSERT_TRUE(send("quick-1", 20));
	ASSERT_TRUE(send("quick-2", 20));
	loop.until([&] {
		c.pump();
		return c.eof || c.reset;
	});
	EXPECT_TRUE(c.has("body of quick-1")) << c.in;
	EXPECT_TRUE(c.has("body of quick-2")) << c.in;
	EXPECT_FALSE(c.has("HTTP/1.1 503")) << "the first request ran";
	EXPECT_FALSE(c.reset);
	EXPECT_EQ(nodes[1]->process->Wait(), 0);
}

// Guards against requests that a stopping node accepts and passes on, and that its end cuts.
TEST_F(Platform, APlannedStopAnswersWhatItAcceptsLate)
{
	start(1, 1);
	nodes[0]->server->behaviour.run_ms = 1200;
	std::vector<std::unique_ptr<Pending>> sent;
	auto send = [&](int count) {
		for (int i = 0; i < count; i++) {
			Request r = get("/patient/1");
			r.left_ms = 6000;
			r.id = "r" + std::to_string(sent.size());
			sent.push_back(Begin(1, r));
			loop.run_ms(100);
		}
	};
	auto all_done = [&] {
		for (auto &p : sent)
			if (!p->reply.done)
				return false;
		return true;
	};

	send(25);
	ASSERT_TRUE(loop.until(all_done));
	nodes[1]->process->Signal(SIGTERM);
	send(54);
	ASSERT_TRUE(loop.until(all_done));
	int served_late = 0;
	for (size_t i = 25; i < sent.size(); i++) {
		const Reply &r = sent[i]->reply;
		if (runs(sent[i]->request.id) > 0) {
			EXPECT_EQ(r.status, 200) << "sent " << (i - 25) * 100 << " ms in";
		}
		served_late += r.status == 200 && i - 25 > 30;
	}
	EXPECT_GT(served_late, 2) << "rejected although there was time";
	EXPECT_EQ(nodes[1]->process->Wait(), 0);
}

// Guards against requests that a stopping node accepts by the times of the servers before,
// sends to one that has just started and is slow, and breaks off.
TEST_F(Platform, APlannedStopBreaksOffNothingAtAServerThatJustStarted)
{
	struct Dose {
		int run_ms, cold_ms;
		double cold_factor;
	};

	routes.push_back(
		R"(["settle","a.example","/settle/","non_idempotent",6,2,true,null,"bookings"])");
	start(1, 1);
	for (const Dose &d : {Dose{1200, 3000, 2}, Dose{500, 5000, 4}, Dose{250, 8000, 8}}) {
		std::vector<std::unique_ptr<Pending>> sent;
		size_t old = nodes.size() - 1, begin;
		auto send_until = [&](int64_t until_us) {
			while (snipe_now_us() < until_us) {
				Request r;
				r.method = "POST";
				r.path = "/settle/1";
				r.left_ms = 6000;
				sent.push_back(Begin(0, r));
				loop.run_ms(40);
			}
		};

		nodes[old]->server->behaviour.run_ms = d.run_ms;
		send_until(snipe_now_us() + 4000000);
		begin = sent.size();
		int64_t stop = snipe_now_us();
		nodes[0]->process->Signal(SIGTERM);
		send_until(stop + 1400000);
		server_cold_ms = d.cold_ms;
		size_t added = AddNode("bookings", "east");
		Start(added, false);
		StartServer(added);
		nodes[added]->server->behaviour.run_ms = d.run_ms;
		nodes[added]->server->behaviour.cold_factor = d.cold_factor;
		send_until(stop + 2000000);
		nodes[old]->server->Drain();
		send_until(stop + 5000000);
		ASSERT_TRUE(loop.until([&] {
			for (auto &p : sent)
				if (!p->reply.done)
					return false;
			return true;
		}));
		EXPECT_EQ(nodes[0]->process->Wait(), 0);
		// The pages excuse what was sent in the first 3 s.
		for (size_t i = begin; i < sent.size(); i++) {
			int64_t after_us = sent[i]->started_us - stop;

			if (after_us <= 3000000 || !runs(sent[i]->request.id))
				continue;
			EXPECT_EQ(sent[i]->reply.status, 200)
				<< "factor " << d.cold_factor << ", sent " << after_us / 1000
				<< " ms in";
		}
		nodes[old]->process->Kill();
		nodes[old]->server->Die();
		server_cold_ms = 0;
		Start(0, false);
		loop.run_ms(d.cold_ms);
		ASSERT_TRUE(WaitSettled());
	}
}

// A node that is kept alive by slow requests must not take others that its end would cut off.
TEST_F(Platform, AStoppingNodeRefusesRequestsShortlyBeforeItsEnd)
{
	start(1, 1);
	nodes[0]->server->behaviour.run_ms = 2800;
	nodes[1]->process->Signal(SIGTERM);
	loop.run_ms(2400);
	auto slow = Begin(1, get("/open/1"));
	loop.run_ms(1400);
	Request r = get("/read/1", "key-1");
	r.id = "late";
	EXPECT_EQ(Call(1, r).status, 503);
	EXPECT_EQ(runs("late"), 0);
	ASSERT_TRUE(loop.until([&] { return slow->reply.done; }));
	EXPECT_EQ(slow->reply.status, 200);
}

// Guards against inner calls, and requests on open routes, that run when the node ends.
TEST_F(Platform, AStoppingNodeRefusesCallsInItsLastSecond)
{
	start(1, 1);
	nodes[0]->server->behaviour.run_ms = 3300;
	nodes[1]->process->Signal(SIGTERM);
	loop.run_ms(2300);
	auto slow = Begin(1, get("/open/1"));
	loop.run_ms(2500);
	nodes[0]->server->behaviour.run_ms = 900;
	Request r = get("/open/1");
	r.id = "late";
	EXPECT_EQ(Call(1, r).status, 503);
	EXPECT_EQ(runs("late"), 0);
	loop.until([&] { return slow->reply.done; });
	EXPECT_EQ(nodes[1]->process->Wait(), 0);
}

TEST_F(Platform, ACallerThatLeavesIsFollowedByTheServer)
{
	start(1, 1);
	nodes[0]->server->behaviour.run_ms = 3000;
	Request r = get("/open/1");
	r.id = "left";
	auto p = Begin(1, r);
	ASSERT_TRUE(loop.until([&] { return runs("left") == 1; }));
	p.reset();
	int64_t start_us = snipe_now_us();
	ASSERT_TRUE(loop.until([&] {
		return State(0).find("\"running\":0,\"waiting\":0,\"service_us\"") !=
		       std::string::npos;
	}));
	EXPECT_LT(snipe_now_us() - start_us, 500000);
}

TEST_F(Platform, BadSettingsAreNamedAndNothingStarts)
{
	TempDir dir;
	std::string file = dir.File("bad.json");

	WriteFile(file, "{\"node-name\": 7}");
	setenv("SNIPESCALE_NODE_FILE", file.c_str(), 1);
	RunResult r =
		snipe_test::Run({"snipescaled", "--platform", "--check"}, dir.File("check"));
	EXPECT_EQ(r.status, 3);
	EXPECT_NE(r.err.find("node-name"), std::string::npos);
	unsetenv("SNIPESCALE_NODE_FILE");
	r = snipe_test::Run({"snipescaled", "--platform"}, dir.File("none"));
	EXPECT_EQ(r.status, 3);
	EXPECT_EQ(snipe_test::Run({"snipescaled", "--platform", "--config", file},
				  dir.File("both"))
			  .status,
		  2);
}
