#include "call_path_fixture.h"

#include <algorithm>

#include "core/crash_guard.h"
#include "core/dedup.h"

using namespace call_path;

namespace
{

const char *const kRoutes = R"(
[[route]]
name = "read"
method = "GET"
path = "/read/*"
pool = "a"
importance = "normal"
open = false
idempotent = true
timeout_ms = 5000
max_retries = 2
retry_percent = 100

[[route]]
name = "charge"
method = "POST"
path = "/charge"
pool = "a"
importance = "critical"
open = false
idempotent = false
timeout_ms = 5000
max_retries = 2
retry_percent = 100

[[route]]
name = "deep-charge"
method = "POST"
path = "/deep-charge"
pool = "b"
importance = "critical"
open = false
idempotent = false
timeout_ms = 5000
max_retries = 2
retry_percent = 100

[[route]]
name = "open"
method = "GET"
path = "/open"
pool = "a"
importance = "low"
open = true
idempotent = true
timeout_ms = 5000
max_retries = 0
retry_percent = 0

[[route]]
name = "deep"
method = "GET"
path = "/deep"
pool = "b"
importance = "low"
open = false
idempotent = true
timeout_ms = 5000
max_retries = 2
retry_percent = 100

[[workspace]]
name = "alpha"
rate = 1000.0
burst = 1000
)";

const char *const kPools = R"(
[[pool]]
name = "a"
slots = 16
connections = 64
queue = 8

[[pool]]
name = "b"
slots = 16
connections = 64
queue = 8
)";

const char *const kIdentifier = "019a0000-0000-7000-8000-000000000001";

bool Has(const std::string &text, const std::string &part)
{
	return text.find(part) != std::string::npos;
}

class CallPath : public ::testing::Test
{
      protected:
	CallPath() : entry(loop, "entry"), side(loop, "side"), server(loop), inner(loop)
	{
		char id[24];
		char text[64];

		tables = snipe_loaded_tables_new();
		keys = snipe_loaded_keys_new();
		snipe_problems problems;
		snipe_problems_init(&problems);
		EXPECT_EQ(snipe_tables_load(&tables->tables, kRoutes, "routes", kPools, "pools",
					    &problems),
			  0)
			<< (problems.count ? problems.lines[0] : "");
		snipe_problems_finish(&problems);
		EXPECT_EQ(snipe_keys_issue(&keys->keys, "alpha", "2026-01-01T00:00:00Z", text,
					   id),
			  0);
		key = text;
		side.Announce(server, "a");
		members.push_back(Member(side, "side", "a"));
		Publish();
		SetValid(true);
	}
	~CallPath() override
	{
		snipe_loaded_tables_unref(tables);
		snipe_loaded_keys_unref(keys);
	}
	static snipe_member Member(const Node &n, const char *id, const char *pool)
	{
		snipe_member m = {};

		snprintf(m.node_id, sizeof(m.node_id), "%s", id);
		snprintf(m.failure_domain, sizeof(m.failure_domain), "fd");
		snprintf(m.pool, sizeof(m.pool), "%s", pool);
		m.process = 1;
		m.address = *snipe_peer_address(&n.peers);
		m.state = SNIPE_MEMBER_READY;
		return m;
	}
	/* Inner calls go to pool b, whose backend server is beside the first node. */
	void ServeInnerPool()
	{
		entry.Announce(inner, "b");
		members.push_back(Member(entry, "entry", "b"));
		Publish();
	}
	/* Keeps the request and makes an inner call for it. */
	std::unique_ptr<Caller> CallInner(evhttp_request *req)
	{
		auto c = std::make_unique<Caller>(
			loop, *snipe_caller_task_local_address(side.caller));

		c->Send(Request("GET /deep",
				"Snipe-Context: " + Backend::Header(req, "Snipe-Context") +
					"\r\n"));
		server.kept.push_back(req);
		return c;
	}
	/* The backend server answers when the test says so. */
	void KeepRequests()
	{
		server.handler = [this](evhttp_request *req) { server.kept.push_back(req); };
	}
	/* Publishes tables, keys and members to all tasks, and waits until they have them. */
	void Publish()
	{
		auto *s = static_cast<snipe_snapshot *>(g_malloc0(sizeof(snipe_snapshot)));
		snipe_task_message m = {};

		s->refs = 1;
		s->tables = tables;
		s->keys = keys;
		tables->refs++;
		keys->refs++;
		s->member_count = static_cast<int>(members.size());
		s->members = static_cast<snipe_member *>(
			g_memdup2(members.data(), members.size() * sizeof(snipe_member)));
		m.type = SNIPE_TASK_SNAPSHOT;
		m.u.snapshot = s;
		for (Node *n : nodes) {
			n->PostCaller(m);
			n->PostBackend(m);
		}
		ASSERT_TRUE(loop.Until(
			[&] { return s->refs == 1 + 2 * static_cast<int>(nodes.size()); }));
		snipe_snapshot_unref(s);
	}
	void SetValid(bool valid)
	{
		snipe_task_message m = {};

		m.type = SNIPE_TASK_VALIDITY;
		m.u.valid_until_us = valid ? snipe_now_us() + 60000000 : 0;
		for (Node *n : nodes)
			n->PostCaller(m);
	}
	std::string Request(const std::string &line, const std::string &headers = "",
			    const std::string &body = "")
	{
		return line + " HTTP/1.1\r\nHost: a\r\n" + headers +
		       (body.empty()
				? ""
				: "Content-Length: " + std::to_string(body.size()) + "\r\n") +
		       "\r\n" + body;
	}
	std::string WithKey() const
	{
		return "Snipe-Key: " + key + "\r\n";
	}
	std::string Call(const std::string &line, const std::string &headers = "",
			 const std::string &body = "")
	{
		Caller c(loop, *snipe_caller_task_address(entry.caller));

		c.Send(Request(line, headers, body));
		return c.Receive();
	}
	std::string CallLocal(const std::string &line, const std::string &headers = "")
	{
		Caller c(loop, *snipe_caller_task_local_address(side.caller));

		c.Send(Request(line, headers));
		return c.Receive();
	}
	bool Idle()
	{
		return loop.Until([&] {
			return snipe_caller_task_in_flight(entry.caller) == 0 &&
			       snipe_caller_task_in_flight(side.caller) == 0 &&
			       snipe_backend_task_in_flight(side.backend) == 0;
		});
	}
	bool Seen(size_t n)
	{
		return loop.Until([&] { return server.seen.size() >= n; });
	}
	Loop loop;
	Node entry, side;
	Backend server, inner;
	snipe_loaded_tables *tables;
	snipe_loaded_keys *keys;
	std::vector<Node *> nodes = {&entry, &side};
	std::vector<snipe_member> members;
	std::string key;
};

} // namespace

TEST_F(CallPath, RequestRunsForTheWorkspaceOfItsKey)
{
	std::string r = Call("GET /read/1?x=2", WithKey() + "X-Copy: a" + key + "b\r\n");

	EXPECT_TRUE(Has(r, "HTTP/1.1 200")) << r;
	EXPECT_TRUE(Has(r, "\r\n\r\nok")) << r;
	ASSERT_EQ(server.seen.size(), 1u);
	EXPECT_EQ(server.seen[0].find("/read/1?x=2\n"), 0u);
	EXPECT_TRUE(Has(server.seen[0], "Snipe-Workspace: alpha"));
	EXPECT_TRUE(Has(server.seen[0], "Snipe-Context: "));
	EXPECT_FALSE(Has(server.seen[0], key)) << "backend server saw the key";
	EXPECT_FALSE(Has(entry.Dump(), key));
	EXPECT_TRUE(Idle());
}

/* Guards against bodies that are cut, mixed up or grow on the way. */
TEST_F(CallPath, LargeBodiesComeBackWhole)
{
	std::string body;

	for (int i = 0; i < 300000; i++)
		body += static_cast<char>('a' + i % 23);
	server.handler = [](evhttp_request *req) {
		evbuffer *in = evhttp_request_get_input_buffer(req);
		std::string text(evbuffer_get_length(in), 0);

		evbuffer_copyout(in, &text[0], text.size());
		Backend::Answer(req, text);
	};
	std::string r = Call("POST /charge", WithKey(), body);
	ASSERT_TRUE(Has(r, "HTTP/1.1 200"));
	EXPECT_EQ(r.substr(r.find("\r\n\r\n") + 4), body);
}

TEST_F(CallPath, RejectionsBeforeTheCallSayNotRun)
{
	struct Row {
		std::string line, headers, reason;
	};
	const std::vector<Row> rows = {
		{"GET /none", WithKey(), "no_route"},
		{"GET /read/1", "", "key_missing"},
		{"GET /read/1", "Snipe-Key: snk_x\r\n", "key_invalid"},
		{"GET /read/1", WithKey() + "Authorization: Bearer " + key + "\r\n",
		 "key_repeated"},
		{"GET /read/" + key, WithKey(), "key_in_path"},
		{"GET /read/1", WithKey() + "Snipe-Workspace: beta\r\n", "wrong_workspace"},
		{"GET /read/1", WithKey() + "Snipe-Timeout-Ms: 0\r\n", "expired"},
		{"GET /read/1", WithKey() + "Snipe-Timeout-Ms: soon\r\n", "bad_request"},
		{"GET /open/../read/1", "", "bad_request"},
		{"TRACE /open", "", "bad_request"},
		{"BREW /open", "", "bad_request"},
		{"POST /charge", WithKey() + "Content-Length: 0\r\nContent-Length: 0\r\n",
		 "bad_request"},
		{"GET /read/1", WithKey() + "X: " + std::string(17000, 'x') + "\r\n",
		 "too_large"},
		{"GET /deep", WithKey(), "no_backend_server"},
		{"POST /charge", WithKey() + "Idempotency-Key: 7\r\n", "identifier_invalid"},
	};

	for (const auto &row : rows) {
		std::string r = Call(row.line, row.headers);

		EXPECT_TRUE(Has(r, "Snipe-Reason: " + row.reason + "\r\n")) << row.line << r;
		EXPECT_TRUE(Has(r, "Snipe-Outcome: not-run\r\n")) << row.line;
		EXPECT_TRUE(Has(entry.Dump(), "\"reason\":\"" + row.reason + "\""));
	}
	EXPECT_TRUE(server.seen.empty());
}

/* Guards against a withdrawn key that works on because the node did not see the change. */
TEST_F(CallPath, UnconfirmedStateServesOpenRoutesOnly)
{
	SetValid(false);
	EXPECT_TRUE(Has(Call("GET /read/1", WithKey()), "config_unconfirmed"));
	EXPECT_TRUE(Has(Call("GET /open"), "200 OK"));
	ASSERT_EQ(server.seen.size(), 1u);
	EXPECT_FALSE(Has(server.seen[0], "Snipe-Workspace"));
}

TEST_F(CallPath, CallsOverTheRateAreRejected)
{
	entry.grant_tokens = 1;
	EXPECT_TRUE(Has(Call("GET /read/1", WithKey()), "200 OK"));
	std::string r = Call("GET /read/1", WithKey());
	EXPECT_TRUE(Has(r, "Snipe-Reason: over_rate")) << r;
	EXPECT_TRUE(Has(r, "Retry-After: 3")) << r;
	EXPECT_EQ(server.seen.size(), 1u);
	EXPECT_TRUE(Idle());
}

/* Guards against evhttp's exit on bytes that arrive while a response is awaited. */
TEST_F(CallPath, PipelinedRequestsAreServedInOrder)
{
	Caller c(loop, *snipe_caller_task_address(entry.caller));
	std::string all;

	server.handler = [](evhttp_request *req) {
		Backend::Answer(req, evhttp_request_get_uri(req));
	};
	c.Send(Request("GET /read/1", WithKey()) + Request("GET /read/2", WithKey()));
	ASSERT_TRUE(Seen(1));
	c.Send(Request("GET /read/3", WithKey()));
	ASSERT_TRUE(Seen(3));
	ASSERT_TRUE(Idle());
	all = c.Receive();
	EXPECT_TRUE(Has(all, "/read/1"));
}

/* Guards against work that goes on for a caller that has left. */
TEST_F(CallPath, LeavingCallerCancelsTheRequest)
{
	int closed = 0;
	auto c = std::make_unique<Caller>(loop, *snipe_caller_task_address(entry.caller));

	server.handler = [&](evhttp_request *req) {
		evhttp_connection *evcon = evhttp_request_get_connection(req);

		evhttp_connection_set_closecb(
			evcon,
			[](evhttp_connection *, void *arg) { ++*static_cast<int *>(arg); },
			&closed);
		bufferevent_enable(evhttp_connection_get_bufferevent(evcon), EV_READ);
		server.kept.push_back(req);
	};
	c->Send(Request("GET /read/1", WithKey()));
	ASSERT_TRUE(Seen(1));
	c.reset();
	EXPECT_TRUE(loop.Until([&] { return closed == 1; }));
	EXPECT_TRUE(Idle());
	/* evhttp leaves the request of a closed connection to its owner. */
	evhttp_request_free(server.kept[0]);
	EXPECT_TRUE(Has(entry.Dump(), "\"reason\":\"cancelled\",\"outcome\":\"unknown\""));
}

TEST_F(CallPath, SilentBackendServerEndsInTimeout)
{
	KeepRequests();
	std::string r = Call("GET /read/1", WithKey() + "Snipe-Timeout-Ms: 100\r\n");
	EXPECT_TRUE(Has(r, "Snipe-Reason: timeout")) << r;
	EXPECT_TRUE(Has(r, "Snipe-Outcome: unknown")) << r;
	EXPECT_TRUE(Idle());
	EXPECT_EQ(side.strikes, 0) << "slowness was taken for a crash";
}

/* Guards against a response that ends early and is passed on as whole. */
TEST_F(CallPath, ResponseWithoutCertainLengthIsTruncated)
{
	for (const char *response :
	     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
	      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
	      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf",
	      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nhalf"}) {
		size_t before = server.seen.size();

		server.handler = [&](evhttp_request *req) {
			evhttp_connection *evcon = evhttp_request_get_connection(req);
			int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(evcon));

			ASSERT_GT(write(fd, response, strlen(response)), 0);
			shutdown(fd, SHUT_RDWR);
		};
		std::string r = Call("POST /charge", WithKey());
		EXPECT_TRUE(Has(r, "Snipe-Reason: answer_truncated")) << response << r;
		EXPECT_TRUE(Has(r, "Snipe-Outcome: unknown")) << response;
		EXPECT_EQ(server.seen.size(), before + 1) << "non-idempotent call ran again";
	}
	EXPECT_EQ(side.strikes, 0);
}

/* Guards against an answer whose status HTTP does not allow and that is passed on. */
TEST_F(CallPath, AResponseWithAnInvalidStatusCodeIsNotPassedOn)
{
	for (const char *status : {"000", "020", "600", "999", "-05"}) {
		std::string response = std::string("HTTP/1.1 ") + status +
				       " x\r\nContent-Length: 4\r\n\r\nbody";
		size_t before = server.seen.size();

		server.handler = [&](evhttp_request *req) {
			evhttp_connection *evcon = evhttp_request_get_connection(req);
			int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(evcon));

			ASSERT_GT(write(fd, response.data(), response.size()), 0);
			shutdown(fd, SHUT_RDWR);
		};
		std::string r = Call("POST /charge", WithKey());
		EXPECT_TRUE(Has(r, "HTTP/1.1 502 ")) << status << r;
		EXPECT_TRUE(Has(r, "Snipe-Outcome: unknown")) << status << r;
		EXPECT_EQ(server.seen.size(), before + 1) << "non-idempotent call ran again";
	}
}

/* Guards against a non-idempotent request that is sent again after its bytes had left. */
TEST_F(CallPath, DeathOfTheBackendServerIsUnknownAndStrikes)
{
	KeepRequests();
	Caller c(loop, *snipe_caller_task_address(entry.caller));

	c.Send(Request("POST /charge", WithKey()));
	ASSERT_TRUE(Seen(1));
	server.Stop();
	std::string r = c.Receive();
	EXPECT_TRUE(Has(r, "Snipe-Reason: backend_died")) << r;
	EXPECT_TRUE(Has(r, "Snipe-Outcome: unknown")) << r;
	EXPECT_EQ(server.seen.size(), 1u);
	EXPECT_TRUE(loop.Until([&] { return side.strikes == 1; }));
	r = Call("POST /charge", WithKey());
	EXPECT_TRUE(Has(r, "Snipe-Reason: no_backend_server")) << r;
	EXPECT_TRUE(Has(r, "Snipe-Outcome: not-run")) << r;
}

/* Guards against a request that takes down one backend server after another. */
TEST_F(CallPath, RequestWithTwoStrikesIsSuspect)
{
	const struct snipe_crash_request request = {"", "", "POST", "/charge", "bad", 3};
	snipe_task_message m = {};

	m.type = SNIPE_TASK_STRIKES;
	m.u.strikes.count = 1;
	m.u.strikes.fingerprints[0] = snipe_crash_fingerprint(&request);
	for (m.u.strikes.death = 1; m.u.strikes.death <= 2; m.u.strikes.death++)
		side.PostBackend(m);
	EXPECT_TRUE(Has(Call("POST /charge", WithKey(), "good"), "200 OK"));
	std::string r = Call("POST /charge", WithKey(), "bad");
	EXPECT_TRUE(Has(r, "Snipe-Reason: crash_suspect")) << r;
	EXPECT_TRUE(Has(r, "Snipe-Outcome: not-run")) << r;
	EXPECT_EQ(server.seen.size(), 1u);
}

/* Guards against charges that are dropped while less important calls run or wait. */
TEST_F(CallPath, FullQueueKeepsTheMoreImportantCalls)
{
	std::vector<std::unique_ptr<Caller>> callers;
	auto add = [&](const std::string &text) {
		callers.push_back(std::make_unique<Caller>(
			loop, *snipe_caller_task_address(entry.caller)));
		callers.back()->Send(text);
	};
	auto in_flight = [&] { return snipe_backend_task_in_flight(side.backend); };

	KeepRequests();
	for (int i = 0; i < 24; i++)
		add(Request("GET /open"));
	/* 16 slots, and 8 places in the queue. */
	ASSERT_TRUE(loop.Until([&] { return in_flight() == 24 && server.seen.size() == 16; }));
	for (int i = 0; i < 8; i++)
		add(Request("POST /charge", WithKey()));
	ASSERT_TRUE(loop.Until([&] {
		return std::count_if(callers.begin(), callers.end(),
				     [](auto &c) { return c->HasResponse(); }) == 8;
	}));
	for (size_t i = 0; i < 24; i++) {
		if (callers[i]->HasResponse()) {
			EXPECT_TRUE(Has(callers[i]->Receive(), "Snipe-Reason: overloaded"));
		}
	}
	server.handler = [](evhttp_request *req) { Backend::Answer(req, "ok"); };
	for (evhttp_request *req : server.kept)
		Backend::Answer(req, "ok");
	for (size_t i = 24; i < callers.size(); i++)
		EXPECT_TRUE(Has(callers[i]->Receive(), "200 OK")) << i;
	EXPECT_TRUE(Idle());
}

/* A retry goes to another backend server after a certain not-run, also for a charge. */
TEST_F(CallPath, NotRunIsRetriedElsewhere)
{
	Backend other(loop);

	entry.Announce(other, "a");
	members.push_back(Member(entry, "entry", "a"));
	Publish();
	server.Stop();
	for (int i = 0; i < 4; i++) {
		std::string r = Call("POST /charge", WithKey());
		EXPECT_TRUE(Has(r, "200 OK")) << r;
	}
	EXPECT_EQ(other.seen.size(), 4u);
}

TEST_F(CallPath, DrainingNodeRejectsNewWorkAndFinishesItsOwn)
{
	snipe_task_message m = {};
	Caller c(loop, *snipe_caller_task_address(entry.caller));

	KeepRequests();
	c.Send(Request("POST /charge", WithKey()));
	ASSERT_TRUE(Seen(1));
	m.type = SNIPE_TASK_DRAIN;
	entry.PostCaller(m);
	side.PostBackend(m);
	EXPECT_TRUE(loop.Until(
		[&] { return Has(Call("GET /read/1", WithKey()), "Snipe-Reason: draining"); }));
	EXPECT_EQ(snipe_caller_task_in_flight(entry.caller), 1);
	Backend::Answer(server.kept[0], "charged");
	EXPECT_TRUE(Has(c.Receive(), "charged"));
	EXPECT_EQ(server.seen.size(), 1u);
	EXPECT_TRUE(Idle());
}

/* Inner calls. */

TEST_F(CallPath, InnerCallInheritsAndCarriesItsContext)
{
	std::string inner_response;
	std::unique_ptr<Caller> c;

	ServeInnerPool();
	server.handler = [&](evhttp_request *req) { c = CallInner(req); };
	Caller outer(loop, *snipe_caller_task_address(entry.caller));
	outer.Send(Request("GET /read/1", WithKey() + "Snipe-Timeout-Ms: 4000\r\n"));
	ASSERT_TRUE(loop.Until([&] { return c && c->HasResponse(); }));
	EXPECT_TRUE(Has(c->Receive(), "200 OK"));
	ASSERT_EQ(inner.seen.size(), 1u);
	EXPECT_TRUE(Has(inner.seen[0], "Snipe-Workspace: alpha"));
	size_t at = inner.seen[0].find("Snipe-Timeout-Ms: ");
	ASSERT_NE(at, std::string::npos);
	EXPECT_LE(std::stoi(inner.seen[0].substr(at + 18)), 4000) << "deadline not inherited";
	Backend::Answer(server.kept[0], "outer");
	EXPECT_TRUE(Has(outer.Receive(), "outer"));
	EXPECT_TRUE(Idle());
}

/* Guards against running requests that fail when a platform outage begins: the node stops
 * accepting keys for a moment, and an inner call needs no key. */
TEST_F(CallPath, InnerCallsGoOnWhileKeysAreNotAccepted)
{
	std::unique_ptr<Caller> c;

	ServeInnerPool();
	server.handler = [&](evhttp_request *req) {
		SetValid(false);
		c = CallInner(req);
	};
	Caller outer(loop, *snipe_caller_task_address(entry.caller));
	outer.Send(Request("GET /read/1", WithKey()));
	ASSERT_TRUE(loop.Until([&] { return c && c->HasResponse(); }));
	EXPECT_TRUE(Has(c->Receive(), "200 OK"));
	ASSERT_EQ(inner.seen.size(), 1u);
	EXPECT_TRUE(Has(inner.seen[0], "Snipe-Workspace: alpha"));
	Backend::Answer(server.kept[0], "outer");
	EXPECT_TRUE(Has(outer.Receive(), "outer"));
	EXPECT_TRUE(Has(Call("GET /read/1", WithKey()), "config_unconfirmed"));
}

TEST_F(CallPath, InnerCallWithoutARunningRequestIsRejected)
{
	EXPECT_TRUE(Has(CallLocal("GET /read/1", WithKey()), "context_missing"));
	EXPECT_TRUE(
		Has(CallLocal("GET /read/1", "Snipe-Context: " + std::string(32, 'a') + "\r\n"),
		    "context_missing"));
	EXPECT_TRUE(server.seen.empty());
}

/* Guards against retries by backend servers that the ledger of the first node does not see. */
TEST_F(CallPath, RepeatedInnerCallsAreBoundedByTheLedger)
{
	ServeInnerPool();
	KeepRequests();
	Caller outer(loop, *snipe_caller_task_address(entry.caller));
	outer.Send(Request("GET /read/1", WithKey()));
	ASSERT_TRUE(Seen(1));
	std::string token = Backend::Header(server.kept[0], "Snipe-Context");
	int complete = 0;
	for (int i = 0; i < 6; i++)
		complete += Has(CallLocal("GET /deep", "Snipe-Context: " + token + "\r\n"),
				"200 OK");
	EXPECT_EQ(complete, 3) << "one call and max_retries = 2";
	EXPECT_EQ(inner.seen.size(), 3u);
	Backend::Answer(server.kept[0], "outer");
	outer.Receive();
	EXPECT_TRUE(Idle());
}

/* Guards against a second run of a charge that a backend server repeats by itself. */
TEST_F(CallPath, RepeatedNonIdempotentInnerCallRunsOnce)
{
	ServeInnerPool();
	KeepRequests();
	Caller outer(loop, *snipe_caller_task_address(entry.caller));
	outer.Send(Request("GET /read/1", WithKey()));
	ASSERT_TRUE(Seen(1));
	std::string context =
		"Snipe-Context: " + Backend::Header(server.kept[0], "Snipe-Context") + "\r\n";
	EXPECT_TRUE(Has(CallLocal("POST /deep-charge", context), "200 OK"));
	std::string again = CallLocal("POST /deep-charge", context);
	EXPECT_TRUE(Has(again, "duplicate_unknown")) << again;
	EXPECT_TRUE(Has(again, "Snipe-Outcome: unknown")) << again;
	EXPECT_EQ(inner.seen.size(), 1u);
	Backend::Answer(server.kept[0], "outer");
	outer.Receive();
	EXPECT_TRUE(Idle());
}

/* Guards against runs that multiply below a call that is sent again. */
TEST_F(CallPath, InnerCallsOfASecondAttemptTakeTokens)
{
	ServeInnerPool();
	server.handler = [&](evhttp_request *req) {
		server.kept.push_back(req);
		if (server.kept.size() == 1)
			evhttp_connection_free(evhttp_request_get_connection(req));
	};
	Caller outer(loop, *snipe_caller_task_address(entry.caller));
	outer.Send(Request("GET /read/1", WithKey()));
	ASSERT_TRUE(Seen(2));
	std::string token = Backend::Header(server.kept[1], "Snipe-Context");
	int complete = 0;
	for (const char *path : {"/deep?1", "/deep?2", "/deep?3"})
		complete += Has(CallLocal(std::string("GET ") + path,
					  "Snipe-Context: " + token + "\r\n"),
				"200 OK");
	EXPECT_EQ(complete, 1) << "the second attempt took one of two tokens";
	Backend::Answer(server.kept[1], "outer");
	EXPECT_TRUE(Has(outer.Receive(), "outer"));
	EXPECT_TRUE(Idle());
}

/* Guards against calls that wait for inner calls behind themselves until their deadlines. */
TEST_F(CallPath, InnerCallsRunWhenAllRunningCallsWaitForThem)
{
	std::vector<std::unique_ptr<Caller>> outer, within;

	server.handler = [&](evhttp_request *req) {
		if (std::string(evhttp_request_get_uri(req)) == "/open")
			Backend::Answer(req, "inner");
		else
			server.kept.push_back(req);
	};
	for (int i = 0; i < 4; i++) {
		outer.push_back(std::make_unique<Caller>(
			loop, *snipe_caller_task_address(entry.caller)));
		outer.back()->Send(Request("GET /read/1", WithKey()));
	}
	ASSERT_TRUE(loop.Until([&] { return server.kept.size() == 4; })) << "limit is 4";
	for (evhttp_request *req : server.kept) {
		within.push_back(std::make_unique<Caller>(
			loop, *snipe_caller_task_local_address(side.caller)));
		within.back()->Send(Request(
			"GET /open",
			"Snipe-Context: " + Backend::Header(req, "Snipe-Context") + "\r\n"));
	}
	/* Each outer call ends after its inner call, which lets the next one run. */
	size_t ended = 0;
	std::vector<bool> answered(4, false);
	EXPECT_TRUE(loop.Until([&] {
		for (size_t i = 0; i < 4; i++) {
			if (answered[i] || !within[i]->HasResponse())
				continue;
			answered[i] = true;
			ended += Has(within[i]->Receive(), "inner");
			Backend::Answer(server.kept[i], "outer");
		}
		return ended == 4;
	}));
	for (auto &c : outer)
		EXPECT_TRUE(Has(c->Receive(), "outer"));
	EXPECT_TRUE(Idle());
}

/* Policy "none" is what the others are compared with: no bound on retries. */
TEST_F(CallPath, PolicyNoneHasNoLedger)
{
	Node plain(loop, "plain", "none");

	nodes.push_back(&plain);
	plain.Announce(inner, "b");
	members = {Member(plain, "plain", "b")};
	Publish();
	SetValid(true);
	inner.handler = [&](evhttp_request *req) { inner.kept.push_back(req); };
	Caller outer(loop, *snipe_caller_task_address(entry.caller));
	outer.Send(Request("GET /deep", WithKey()));
	ASSERT_TRUE(loop.Until([&] { return inner.kept.size() == 1; }));
	std::string context =
		"Snipe-Context: " + Backend::Header(inner.kept[0], "Snipe-Context") + "\r\n";
	inner.handler = [](evhttp_request *req) { Backend::Answer(req, "ok"); };
	for (int i = 0; i < 5; i++) {
		Caller c(loop, *snipe_caller_task_local_address(plain.caller));

		c.Send(Request("GET /deep", context));
		EXPECT_TRUE(Has(c.Receive(), "200 OK"));
	}
	Backend::Answer(inner.kept[0], "outer");
	outer.Receive();
	EXPECT_TRUE(
		loop.Until([&] { return snipe_backend_task_in_flight(plain.backend) == 0; }));
}

/* Identifiers. */

TEST_F(CallPath, ClaimIsDoneWithTheResponseAndReplayed)
{
	std::string headers = WithKey() + "Idempotency-Key: " + kIdentifier + "\r\n";

	EXPECT_TRUE(Has(Call("POST /charge", headers, "1"), "200 OK"));
	ASSERT_TRUE(loop.Until([&] { return entry.done_known == 1; }));
	entry.verdict = SNIPE_CLAIM_DONE;
	std::string r = Call("POST /charge", headers, "1");
	EXPECT_TRUE(Has(r, "200 OK")) << r;
	EXPECT_TRUE(Has(r, "Snipe-Replayed: true")) << r;
	EXPECT_TRUE(Has(r, "\r\n\r\nok")) << r;
	EXPECT_EQ(server.seen.size(), 1u);
	EXPECT_EQ(entry.asked, 2);
}

/* Guards against "not-run" although an earlier attempt with the identifier may have run. */
TEST_F(CallPath, RejectionBeforeTheClaimIsUnknown)
{
	std::string headers = WithKey() + "Idempotency-Key: " + kIdentifier + "\r\n";

	entry.verdict = SNIPE_CLAIM_UNKNOWN;
	std::string r = Call("POST /charge", headers);
	EXPECT_TRUE(Has(r, "Snipe-Reason: duplicate_unknown")) << r;
	EXPECT_TRUE(Has(r, "Snipe-Outcome: unknown")) << r;
	SetValid(false);
	r = Call("POST /charge", headers);
	EXPECT_TRUE(Has(r, "Snipe-Reason: config_unconfirmed")) << r;
	EXPECT_TRUE(Has(r, "Snipe-Outcome: unknown")) << r;
	EXPECT_TRUE(server.seen.empty());
}

TEST_F(CallPath, ClaimIsReleasedWhenTheCallIsRejected)
{
	std::string headers = WithKey() + "Idempotency-Key: " + kIdentifier + "\r\n";

	entry.grant_tokens = 0;
	std::string r = Call("POST /charge", headers);
	EXPECT_TRUE(Has(r, "Snipe-Reason: over_rate")) << r;
	EXPECT_TRUE(Has(r, "Snipe-Outcome: not-run")) << r;
	EXPECT_TRUE(loop.Until([&] { return entry.released == 1; }));
}

/* Guards against a second run: the caller's next attempt must find the first one's outcome. */
TEST_F(CallPath, ClaimedCallRunsOnWhenItsCallerLeaves)
{
	auto c = std::make_unique<Caller>(loop, *snipe_caller_task_address(entry.caller));

	KeepRequests();
	c->Send(Request("POST /charge",
			WithKey() + "Idempotency-Key: " + kIdentifier + "\r\n"));
	ASSERT_TRUE(Seen(1));
	c.reset();
	ASSERT_TRUE(loop.Until([&] { return Has(Call("GET /none"), "no_route"); }));
	Backend::Answer(server.kept[0], "charged");
	EXPECT_TRUE(loop.Until([&] { return entry.done_known == 1; }));
	EXPECT_TRUE(Has(entry.stored, "charged"));
	EXPECT_TRUE(Idle());
}

/* Guards against a claim that stays open because its call ended while the owner was asked. */
TEST_F(CallPath, LateClaimIsReleased)
{
	entry.answers_claims = false;
	std::string r = Call("POST /charge", WithKey() + "Idempotency-Key: " + kIdentifier +
						     "\r\nSnipe-Timeout-Ms: 50\r\n");
	EXPECT_TRUE(Has(r, "Snipe-Outcome: unknown")) << r;
	snipe_task_message m = {};
	m.type = SNIPE_TASK_CLAIM_ANSWER;
	m.u.claim_answer.verdict = SNIPE_CLAIM_GRANTED;
	entry.PostCaller(m);
	EXPECT_TRUE(loop.Until([&] { return entry.released == 1; }));
	EXPECT_TRUE(server.seen.empty());
}

TEST_F(CallPath, IdentifierIsMadeForCallers)
{
	std::string r = Call("GET /.snipescale/identifier");
	std::string text = r.substr(r.find("\r\n\r\n") + 4, 36);
	int64_t ms;

	EXPECT_EQ(snipe_identifier_time(text.c_str(), &ms), 0) << r;
}
