// Guards against responses out of order, late detection of clients that disconnect, requests
// aborted by a graceful close, and clients that hold connections open forever.
#include <gtest/gtest.h>

#include <ctime>
#include <map>
#include <string>
#include <vector>

#include "h1/server.h"
#include "support/descriptors.h"
#include "support/loop.h"

namespace
{

struct Server {
	Loop loop;
	struct snipe_h1_server s;
	struct snipe_address address = free_address();
	std::map<std::string, struct snipe_h1_request *> open;
	std::vector<std::string> urls, cancelled;

	Server()
	{
		static const struct snipe_h1_server_ops ops = {on_request, on_cancelled};
		struct snipe_error_text err;

		EXPECT_EQ(
			snipe_h1_server_init(&s, loop.base, &address, "test", &ops, this, &err),
			0)
			<< err.text;
		s.limits = {4096, 100000, 1000000, 60000000, 0, 0};
	}
	~Server()
	{
		snipe_h1_server_finish(&s);
	}
	static void on_request(void *arg, struct snipe_h1_request *req)
	{
		auto *t = static_cast<Server *>(arg);
		std::string url = snipe_buffer_str(&req->message.url);

		req->callback_data = t;
		t->open[url] = req;
		t->urls.push_back(url);
	}
	static void on_cancelled(void *arg, struct snipe_h1_request *req)
	{
		auto *t = static_cast<Server *>(arg);
		std::string url = snipe_buffer_str(&req->message.url);

		t->open.erase(url);
		t->cancelled.push_back(url);
	}
	void answer(const std::string &url, const std::string &body, bool close = false,
		    bool is_rejection = false)
	{
		struct snipe_h1_response r = {};

		r.status = 200;
		r.body = body.data();
		r.body_len = body.size();
		r.close = close;
		r.is_rejection = is_rejection;
		struct snipe_h1_request *req = open.at(url);
		open.erase(url);
		snipe_h1_respond(req, &r);
	}
	bool wait_for_open(size_t count)
	{
		return loop.until([&] { return open.size() == count; });
	}
};

std::string get(const std::string &url, const std::string &more = "")
{
	return "GET " + url + " HTTP/1.1\r\nHost: x\r\n" + more + "\r\n";
}

} // namespace

TEST(H1Server, PipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder)
{
	Server t;
	Socket c = Socket::connect_to(t.address);

	c.send_text(get("/1") + get("/2") + get("/3"));
	ASSERT_TRUE(t.wait_for_open(3));
	t.answer("/3", "three");
	t.answer("/1", "one");
	ASSERT_TRUE(t.loop.until([&] { return c.has("one"); }));
	EXPECT_FALSE(c.has("three"));
	t.answer("/2", "two");
	ASSERT_TRUE(t.loop.until([&] { return c.has("three"); }));
	EXPECT_LT(c.in.find("one"), c.in.find("two"));
	EXPECT_LT(c.in.find("two"), c.in.find("three"));
}

TEST(H1Server, DisconnectCancelsRunningRequests)
{
	Server t;
	Socket c = Socket::connect_to(t.address);

	c.send_text(get("/1") + get("/2"));
	ASSERT_TRUE(t.wait_for_open(2));
	c.close_now();
	int64_t start = snipe_now_us();
	ASSERT_TRUE(t.loop.until([&] { return t.cancelled.size() == 2; }));
	EXPECT_LT(snipe_now_us() - start, 500000);
}

TEST(H1Server, RequestsAfterAClosingResponseAreCancelled)
{
	Server t;
	Socket c = Socket::connect_to(t.address);

	c.send_text(get("/1") + get("/2"));
	ASSERT_TRUE(t.wait_for_open(2));
	t.answer("/1", "one", true);
	ASSERT_TRUE(t.loop.until([&] { return c.has("one") && c.eof; }));
	EXPECT_TRUE(c.has("Connection: close"));
	EXPECT_EQ(t.cancelled, std::vector<std::string>{"/2"});
}

// Closing a socket with unread bytes resets it, which can discard a response in transit.
TEST(H1Server, CloseWithUnreadBytesDoesNotResetTheConnection)
{
	Server t;
	Socket c = Socket::connect_to(t.address);

	c.send_text(get("/1", "Connection: close\r\n") + std::string(60000, 'x'));
	ASSERT_TRUE(t.wait_for_open(1));
	t.answer("/1", std::string(50000, 'y'));
	ASSERT_TRUE(t.loop.until([&] {
		c.pump();
		return c.eof || c.reset;
	}));
	EXPECT_FALSE(c.reset);
	EXPECT_NE(c.in.find(std::string(50000, 'y')), std::string::npos);
}

TEST(H1Server, MalformedAndOversizedRequestsGetAnErrorStatus)
{
	struct {
		std::string text, status;
	} cases[] = {
		{"GET / HTTP/1.1\r\nBad Name: 1\r\n\r\n", "HTTP/1.1 400 "},
		{"GET / HTTP/1.1\r\nX: " + std::string(5000, 'a') + "\r\n\r\n",
		 "HTTP/1.1 431 "},
		{"POST / HTTP/1.1\r\nContent-Length: 100001\r\n\r\n", "HTTP/1.1 413 "},
	};

	for (const auto &k : cases) {
		Server t;
		Socket c = Socket::connect_to(t.address);

		c.send_text(k.text);
		ASSERT_TRUE(t.loop.until([&] { return c.has(k.status) && c.eof; })) << k.status;
		EXPECT_TRUE(t.urls.empty());
	}
}

TEST(H1Server, ResponseBeforeAMalformedRequestIsDelivered)
{
	Server t;
	Socket c = Socket::connect_to(t.address);

	c.send_text(get("/1") + "nonsense\r\n\r\n");
	ASSERT_TRUE(t.wait_for_open(1));
	t.loop.run_ms(20);
	EXPECT_FALSE(c.has("400"));
	t.answer("/1", "one");
	ASSERT_TRUE(t.loop.until([&] { return c.has("400 ") && c.eof; }));
	EXPECT_LT(c.in.find("one"), c.in.find("400 "));
}

TEST(H1Server, SlowHeadersAndIdleConnectionsTimeOut)
{
	Server t;
	Socket slow = Socket::connect_to(t.address), idle = Socket::connect_to(t.address);

	t.s.limits.head_timeout_us = 200000;
	t.s.limits.idle_timeout_us = 200000;
	slow.send_text("GET / HTTP/1.1\r\nX");
	ASSERT_TRUE(t.loop.until([&] {
		idle.pump();
		return slow.has("408 ") && idle.eof;
	}));
}

TEST(H1Server, ConnectionWithARunningRequestIsNotIdle)
{
	Server t;
	Socket c = Socket::connect_to(t.address);

	t.s.limits.idle_timeout_us = 100000;
	c.send_text(get("/1"));
	ASSERT_TRUE(t.wait_for_open(1));
	t.loop.run_ms(1200);
	t.answer("/1", "late");
	EXPECT_TRUE(t.loop.until([&] { return c.has("late"); }));
}

// Idle connections of rejected clients take the descriptors that others need.
TEST(H1Server, AtTheLimitIdleConnectionsOfRejectedClientsAreClosedFirst)
{
	Server t;
	std::vector<Socket> served, rejected;

	t.s.limits.max_connections = 16;
	for (int i = 0; i < 4; i++) {
		served.push_back(Socket::connect_to(t.address));
		served.back().send_text(get("/ok"));
		ASSERT_TRUE(t.wait_for_open(1));
		t.answer("/ok", "ok");
	}
	for (int i = 0; i < 40; i++) {
		rejected.push_back(Socket::connect_to(t.address));
		rejected.back().send_text(get("/no"));
		ASSERT_TRUE(t.wait_for_open(1)) << i;
		t.answer("/no", "no", false, true);
		EXPECT_LE(t.s.connection_count, 16);
		for (auto &c : rejected) {
			c.pump();
			if (c.eof)
				c.close_now();
		}
	}
	for (auto &c : served) {
		c.pump();
		EXPECT_FALSE(c.eof);
	}
	EXPECT_GT(t.s.closed_idle_count, 20u);
}

TEST(H1Server, WhileConnectionsAreScarceThoseOfRejectedRequestsEnd)
{
	Server t;
	Socket c = Socket::connect_to(t.address), kept = Socket::connect_to(t.address);

	t.s.limits.scarce_connections = 1;
	kept.send_text(get("/ok"));
	ASSERT_TRUE(t.wait_for_open(1));
	t.answer("/ok", "ok");
	c.send_text(get("/1") + get("/2"));
	ASSERT_TRUE(t.wait_for_open(2));
	t.answer("/1", "one", false, true);
	t.answer("/2", "two", false, true);
	ASSERT_TRUE(t.loop.until([&] { return c.has("two") && c.eof; }));
	EXPECT_EQ(c.in.find("Connection: close"), c.in.rfind("Connection: close"))
		<< "requests that were sent behind a rejected one are answered";
	kept.pump();
	EXPECT_FALSE(kept.eof);
}

// At the limit, a listener that stays readable must not keep the loop busy, and connections
// that wait are accepted when there is room again.
TEST(H1Server, WithoutIdleConnectionsNewOnesWaitUntilThereIsRoom)
{
	Server t;
	std::vector<Socket> busy;

	t.s.limits.max_connections = 4;
	for (int i = 0; i < 4; i++) {
		busy.push_back(Socket::connect_to(t.address));
		busy.back().send_text(get("/" + std::to_string(i)));
		ASSERT_TRUE(t.wait_for_open((size_t)i + 1));
	}
	Socket next = Socket::connect_to(t.address);
	next.send_text(get("/next"));
	t.loop.run_ms(100);
	EXPECT_EQ(t.open.count("/next"), 0u);
	EXPECT_EQ(t.s.connection_count, 4);
	busy[0].close_now();
	ASSERT_TRUE(t.loop.until([&] { return t.open.count("/next") == 1; }));
	t.answer("/next", "next");
	EXPECT_TRUE(t.loop.until([&] { return next.has("next"); }));
}

TEST(H1Server, LackOfDescriptorsDoesNotKeepTheLoopBusy)
{
	Server t;
	Socket c = Socket::connect_to(t.address), second = Socket::connect_to(t.address);
	DescriptorLimit limit;
	clock_t before;

	limit.AllowNoMore();
	c.send_text(get("/1"));
	before = clock();
	t.loop.run_ms(400);
	double used = (double)(clock() - before) / CLOCKS_PER_SEC;
	limit.Restore();
	EXPECT_LT(used, 0.2);
	EXPECT_TRUE(t.open.empty());
	ASSERT_TRUE(t.wait_for_open(1));
	t.answer("/1", "one");
	EXPECT_TRUE(t.loop.until([&] { return c.has("one"); }));
}

TEST(H1Server, GracefulCloseAnswersAllRequestsFirst)
{
	Server t;
	Socket c = Socket::connect_to(t.address);

	c.send_text(get("/1") + get("/2"));
	ASSERT_TRUE(t.wait_for_open(2));
	snipe_h1_server_close_gracefully(&t.s);
	t.answer("/1", "one");
	EXPECT_TRUE(t.cancelled.empty()) << "a running request must not be cancelled";
	t.answer("/2", "two");
	ASSERT_TRUE(t.loop.until([&] { return c.has("two") && c.eof; }));
	EXPECT_EQ(c.in.find("Connection: close"), c.in.rfind("Connection: close"));
}

// Guards against a planned stop that cuts a request which arrived while a later response waited
// for an earlier one.
TEST(H1Server, GracefulCloseAnswersRequestsReadBehindAWaitingResponse)
{
	Server t;
	Socket c = Socket::connect_to(t.address);

	snipe_h1_server_close_gracefully(&t.s);
	c.send_text(get("/1") + get("/2"));
	ASSERT_TRUE(t.wait_for_open(2));
	t.answer("/2", "two");
	c.send_text(get("/3"));
	ASSERT_TRUE(t.wait_for_open(2));
	t.answer("/1", "one");
	ASSERT_TRUE(t.loop.until([&] { return c.has("two"); }));
	EXPECT_EQ(t.cancelled, std::vector<std::string>{});
	ASSERT_EQ(t.open.count("/3"), 1u);
	t.answer("/3", "three");
	ASSERT_TRUE(t.loop.until([&] { return c.has("three") && c.eof; }));
	EXPECT_GT(c.in.find("Connection: close"), c.in.find("two"));
	EXPECT_EQ(c.in.find("Connection: close"), c.in.rfind("Connection: close"));
}

// Guards against the same cut without a stop, by a rejection while connections are scarce.
TEST(H1Server, RejectionDoesNotCutRequestsReadWhileItWaited)
{
	Server t;
	Socket kept = Socket::connect_to(t.address), c = Socket::connect_to(t.address);

	t.s.limits.scarce_connections = 1;
	kept.send_text(get("/ok"));
	c.send_text(get("/1") + get("/2"));
	ASSERT_TRUE(t.wait_for_open(3));
	t.answer("/2", "two", false, true);
	c.send_text(get("/3"));
	ASSERT_TRUE(t.wait_for_open(3));
	t.answer("/1", "one");
	ASSERT_TRUE(t.loop.until([&] { return c.has("two"); }));
	EXPECT_EQ(t.cancelled, std::vector<std::string>{});
	EXPECT_FALSE(c.has("Connection: close"));
	ASSERT_EQ(t.open.count("/3"), 1u);
	t.answer("/3", "three");
	EXPECT_TRUE(t.loop.until([&] { return c.has("three"); }));
}

// Guards against an error response to a half-read request after the last response.
TEST(H1Server, NothingFollowsTheLastResponseOfAConnection)
{
	Server t;
	Socket c = Socket::connect_to(t.address);

	t.s.limits.head_timeout_us = 100000;
	c.send_text(get("/1") + "GET /half HTTP/1.1\r\n");
	ASSERT_TRUE(t.wait_for_open(1));
	snipe_h1_server_close_gracefully(&t.s);
	t.answer("/1", std::string(8000000, 'y'));
	t.loop.run_ms(800);
	ASSERT_TRUE(t.loop.until([&] {
		c.pump();
		return c.eof || c.reset;
	}));
	EXPECT_FALSE(c.reset);
	EXPECT_EQ(c.in.back(), 'y');
}

// A client with a small receive buffer, so that most of a response stays in the server's
// kernel.
static Socket connect_slow_reader(const struct snipe_address &address)
{
	struct sockaddr_storage ss;
	int len = snipe_address_to_sockaddr(&address, &ss), window = 4096;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	if (connect(fd, (struct sockaddr *)&ss, (socklen_t)len) < 0)
		give_up("connect");
	return Socket(fd);
}

// Guards against a last response that is cut because its client reads slowly and sends more.
TEST(H1Server, ASlowReaderGetsTheWholeLastResponse)
{
	Server t;
	Socket c = connect_slow_reader(t.address);

	c.send_text(get("/1"));
	ASSERT_TRUE(t.wait_for_open(1));
	snipe_h1_server_close_gracefully(&t.s);
	t.answer("/1", std::string(36000, 'y'));
	t.loop.run_ms(1800);
	EXPECT_TRUE(snipe_h1_server_is_busy(&t.s)) << "the process must not exit yet";
	c.send_text(get("/2"));
	for (int i = 0; i < 60 && !c.eof && !c.reset; i++) {
		char data[1200];
		ssize_t n = recv(c.fd, data, sizeof(data), MSG_DONTWAIT);

		if (n > 0)
			c.in.append(data, (size_t)n);
		c.reset = n < 0 && errno != EAGAIN;
		c.eof = n == 0;
		t.loop.run_ms(50);
	}
	EXPECT_FALSE(c.reset);
	EXPECT_NE(c.in.find(std::string(36000, 'y')), std::string::npos);
	EXPECT_EQ(t.urls, std::vector<std::string>{"/1"}) << "nothing is read behind it";
	EXPECT_TRUE(t.loop.until([&] { return !snipe_h1_server_is_busy(&t.s); }));
}

// Guards against connections that are kept forever by clients that never read.
TEST(H1Server, AConnectionThatEndsIsClosedWhenItsClientTakesNothing)
{
	Server t;
	Socket c = connect_slow_reader(t.address);

	c.send_text(get("/1"));
	ASSERT_TRUE(t.wait_for_open(1));
	snipe_h1_server_close_gracefully(&t.s);
	t.answer("/1", std::string(8000000, 'y'));
	t.loop.run_ms(2500);
	EXPECT_EQ(t.s.connection_count, 1);
	EXPECT_TRUE(t.loop.until([&] { return t.s.connection_count == 0; }));
}

// Guards against a reset that destroys a response when its connection is closed as idle.
TEST(H1Server, ClosingIdleConnectionsDoesNotCutAResponse)
{
	Server t;
	Socket c = connect_slow_reader(t.address);

	c.send_text(get("/1"));
	ASSERT_TRUE(t.wait_for_open(1));
	t.answer("/1", std::string(36000, 'y'));
	snipe_h1_server_close_idle(&t.s);
	t.loop.run_ms(50);
	c.send_text(get("/2"));
	ASSERT_TRUE(t.loop.until([&] {
		c.pump();
		return c.eof || c.reset;
	}));
	EXPECT_FALSE(c.reset);
	EXPECT_NE(c.in.find(std::string(36000, 'y')), std::string::npos);
}

TEST(H1Server, ExpectContinueIsAnsweredImmediately)
{
	Server t;
	Socket c = Socket::connect_to(t.address);

	c.send_text("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: "
		    "100-continue\r\n\r\n");
	ASSERT_TRUE(t.loop.until([&] { return c.has("100 Continue"); }));
	c.send_text("ab");
	ASSERT_TRUE(t.wait_for_open(1));
	t.answer("/1", "ok");
}

TEST(H1Server, TellsWhetherTheClientOfARequestIsGone)
{
	Server t;
	Socket c = Socket::connect_to(t.address), other = Socket::connect_to(t.address);

	c.send_text(get("/1"));
	other.send_text(get("/2"));
	ASSERT_TRUE(t.wait_for_open(2));
	EXPECT_FALSE(snipe_h1_is_client_gone(t.open.at("/1")));
	c.send_text(get("/3"));
	c.close_now();
	EXPECT_TRUE(snipe_h1_is_client_gone(t.open.at("/1"))) << "also behind another request";
	EXPECT_FALSE(snipe_h1_is_client_gone(t.open.at("/2")));
}

// Requests that had waited long before they could be accepted were sent on though their clients
// had left.
TEST(H1Server, TellsHowLongAConnectionWaitedToBeAccepted)
{
	Server t;
	Socket busy = Socket::connect_to(t.address);

	t.s.limits.max_connections = 1;
	busy.send_text(get("/busy"));
	ASSERT_TRUE(t.wait_for_open(1));
	EXPECT_LT(snipe_h1_accept_wait_us(t.open.at("/busy")), 100000);
	t.loop.run_ms(100);
	Socket c = Socket::connect_to(t.address);
	c.send_text(get("/1"));
	t.loop.run_ms(200);
	busy.close_now();
	ASSERT_TRUE(t.loop.until([&] { return t.open.count("/1"); }));
	EXPECT_GE(snipe_h1_accept_wait_us(t.open.at("/1")), 200000);
	t.answer("/1", "one");
	c.send_text(get("/2"));
	ASSERT_TRUE(t.loop.until([&] { return t.open.count("/2"); }));
	EXPECT_EQ(snipe_h1_accept_wait_us(t.open.at("/2")), 0);
}

namespace
{

// A server whose clients may have it hold 300,000 bytes.
struct BoundedServer : Server {
	struct snipe_memory_limit memory;
	struct event *enforce;

	BoundedServer()
	{
		enforce = event_new(
			loop.base, -1, 0,
			[](evutil_socket_t, short, void *arg) {
				snipe_memory_limit_enforce(
					&static_cast<BoundedServer *>(arg)->memory,
					snipe_now_us());
			},
			this);
		snipe_memory_limit_init(
			&memory, 300000,
			[](void *arg) {
				event_active(static_cast<BoundedServer *>(arg)->enforce, 0, 0);
			},
			this);
		snipe_h1_server_set_memory_limit(&s, &memory);
	}
	~BoundedServer()
	{
		event_free(enforce);
	}
};

std::string unfinished(const std::string &url)
{
	return "POST " + url + " HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n\r\n" +
	       std::string(89999, 'x');
}

} // namespace

TEST(H1Server, ForLackOfMemoryTheOldestUnfinishedBodyIsRefusedAsNotRun)
{
	BoundedServer t;
	std::vector<Socket> clients;

	for (int i = 0; i < 4; i++) {
		clients.push_back(Socket::connect_to(t.address));
		clients.back().send_text(unfinished("/" + std::to_string(i)));
		t.loop.run_ms(20);
	}
	ASSERT_TRUE(t.loop.until([&] { return clients[0].has("\r\n\r\n"); }));
	EXPECT_EQ(clients[0].in.compare(0, 13, "HTTP/1.1 503 "), 0) << clients[0].in;
	EXPECT_TRUE(clients[0].has("Retry-After: 1\r\n"));
	EXPECT_TRUE(clients[0].has("Connection: close\r\n"));
	EXPECT_LE(t.memory.account.held, 300000u);
	Socket small = Socket::connect_to(t.address);
	small.send_text(get("/small"));
	ASSERT_TRUE(t.wait_for_open(1));
	t.answer("/small", "ok");
	EXPECT_TRUE(t.loop.until([&] { return small.has("ok"); }));
	clients[3].send_text("x");
	EXPECT_TRUE(t.wait_for_open(1)) << "the newest body is served";
}

TEST(H1Server, ForLackOfMemoryAnAnswerThatIsNotReadEndsItsConnection)
{
	BoundedServer t;
	Socket slow = Socket::connect_to(t.address), other = Socket::connect_to(t.address);

	slow.send_text(get("/slow"));
	other.send_text(get("/other"));
	ASSERT_TRUE(t.wait_for_open(2));
	t.answer("/slow", std::string(20000000, 'y'));
	ASSERT_TRUE(t.loop.until([&] { return t.s.connection_count == 1; }));
	t.answer("/other", "ok");
	EXPECT_TRUE(t.loop.until([&] { return other.has("ok"); }));
}

// Guards against a client that loses its connection, for the sake of new bodies, while the node
// owes it the answer to a request that has been passed on.
TEST(H1Server, ForLackOfMemoryAClientThatWaitsForItsAnswerIsKept)
{
	BoundedServer t;
	std::vector<Socket> waiting, others;

	for (int i = 0; i < 2; i++) {
		waiting.push_back(Socket::connect_to(t.address));
		waiting[i].send_text(unfinished("/" + std::to_string(i)) + "x");
	}
	ASSERT_TRUE(t.wait_for_open(2));
	t.loop.run_ms(100);
	for (int i = 0; i < 4; i++) {
		others.push_back(Socket::connect_to(t.address));
		others[i].send_text("POST /o HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
				    "chunked\r\n\r\nea60\r\n" +
				    std::string(59999, 'x'));
		t.loop.run_ms(20);
	}
	for (auto &o : others)
		EXPECT_TRUE(t.loop.until([&] { return o.has("HTTP/1.1 503 "); }));
	t.answer("/0", "zero");
	t.answer("/1", "one");
	EXPECT_TRUE(t.loop.until([&] { return waiting[0].has("zero"); }));
	EXPECT_TRUE(t.loop.until([&] { return waiting[1].has("one"); }));
	EXPECT_EQ(t.s.owed, 0u);
}

// Guards against a client that sends a body for nothing.
TEST(H1Server, ForLackOfMemoryABodyIsRefusedBeforeItIsRead)
{
	BoundedServer t;
	Socket a = Socket::connect_to(t.address), b = Socket::connect_to(t.address),
	       c = Socket::connect_to(t.address);

	a.send_text(unfinished("/a") + "x");
	b.send_text(unfinished("/b") + "x");
	ASSERT_TRUE(t.wait_for_open(2));
	c.send_text("POST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n"
		    "Expect: 100-continue\r\n\r\n");
	ASSERT_TRUE(t.loop.until([&] { return c.has("\r\n\r\n"); }));
	EXPECT_EQ(c.in.compare(0, 13, "HTTP/1.1 503 "), 0) << c.in;
	EXPECT_TRUE(c.has("Retry-After: 1\r\n"));
	t.answer("/a", "one");
	ASSERT_TRUE(t.loop.until([&] { return a.has("one"); }));
	Socket d = Socket::connect_to(t.address);
	d.send_text(unfinished("/d") + "x");
	EXPECT_TRUE(t.wait_for_open(2)) << "there is room again";
}

// Guards against a client that keeps what it holds by a request that waits for its answer.
TEST(H1Server, ForLackOfMemoryABodyBehindAnUnansweredRequestIsRefused)
{
	BoundedServer t;
	std::vector<Socket> clients;

	for (int i = 0; i < 4; i++) {
		clients.push_back(Socket::connect_to(t.address));
		clients[i].send_text(get("/" + std::to_string(i)) + unfinished("/body"));
		t.loop.run_ms(20);
	}
	ASSERT_TRUE(t.wait_for_open(4));
	EXPECT_LE(t.memory.account.held, 300000u);
	t.answer("/0", "zero");
	ASSERT_TRUE(t.loop.until([&] { return clients[0].has("HTTP/1.1 503 "); }));
	EXPECT_EQ(clients[0].in.compare(0, 13, "HTTP/1.1 200 "), 0) << clients[0].in;
	EXPECT_TRUE(clients[0].has("zero"));
}

// A connection in steady use may always hold something.
TEST(H1Server, ForLackOfMemoryAConnectionThatMakesProgressIsKept)
{
	BoundedServer t;
	Socket busy = Socket::connect_to(t.address), stopped = Socket::connect_to(t.address);
	auto holds = [&](size_t bytes) {
		return t.loop.until([&] { return t.memory.account.held >= bytes; });
	};

	busy.send_text("POST /one HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123456789" +
		       unfinished("/two"));
	ASSERT_TRUE(holds(90000));
	t.loop.run_ms(100);
	stopped.send_text(unfinished("/stopped"));
	ASSERT_TRUE(holds(180000));
	t.loop.run_ms(100);
	t.answer("/one", "ok");
	t.memory.account.limit = 200000;
	t.loop.run_ms(50);
	snipe_memory_limit_enforce(&t.memory, snipe_now_us());
	EXPECT_TRUE(t.loop.until([&] { return stopped.has("HTTP/1.1 503 "); }));
	busy.send_text("x");
	EXPECT_TRUE(t.wait_for_open(1));
	t.answer("/two", "ok");
}

TEST(H1Server, AllMemoryIsReleasedWithTheConnections)
{
	BoundedServer t;
	{
		Socket a = Socket::connect_to(t.address), b = Socket::connect_to(t.address);

		a.send_text(get("/a") + get("/b") + unfinished("/c"));
		b.send_text(get("/d"));
		ASSERT_TRUE(t.wait_for_open(3));
		t.answer("/b", std::string(1000, 'y'));
		t.answer("/d", "ok");
		ASSERT_TRUE(t.loop.until([&] { return b.has("ok"); }));
		EXPECT_TRUE(t.loop.until([&] { return t.memory.account.held > 90000; }));
	}
	EXPECT_TRUE(t.loop.until([&] { return t.s.connection_count == 0; }));
	EXPECT_EQ(t.memory.account.held, 0u);
}

TEST(H1Server, ABodyThatStopsOrDripsTimesOutAndOneAtTheLowestRateDoesNot)
{
	Server t;
	Socket stopped = Socket::connect_to(t.address), steady = Socket::connect_to(t.address);

	t.s.body_timeout_us = 1000000;
	for (Socket *c : {&stopped, &steady})
		c->send_text("POST /" + std::string(c == &steady ? "steady" : "stopped") +
			     " HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n\r\nxx");
	steady.send_text(std::string(89000, 'x'));
	ASSERT_TRUE(t.loop.until([&] { return stopped.has("\r\n\r\n"); }));
	EXPECT_EQ(stopped.in.compare(0, 13, "HTTP/1.1 408 "), 0) << stopped.in;
	EXPECT_EQ(t.s.timed_out_count, 1u);
	t.loop.run_ms(1000);
	steady.send_text(std::string(998, 'x'));
	EXPECT_TRUE(t.wait_for_open(1));
}

TEST(H1Server, AConnectionWhoseClientTakesNothingEndsAndOneThatReadsSlowlyDoesNot)
{
	Server t;
	Socket stopped = Socket::connect_to(t.address), slow = Socket::connect_to(t.address);
	char some[200000];

	t.s.send_timeout_us = 1500000;
	stopped.send_text(get("/stopped"));
	slow.send_text(get("/slow"));
	ASSERT_TRUE(t.wait_for_open(2));
	t.answer("/stopped", std::string(30000000, 'y'));
	t.answer("/slow", std::string(30000000, 'y'));
	for (int i = 0; i < 30; i++) {
		ASSERT_GT(recv(slow.fd, some, sizeof(some), 0), 0);
		t.loop.run_ms(100);
	}
	EXPECT_EQ(t.s.connection_count, 1) << "the slow one stays";
}

// The same number of bytes may be on the way of two responses, long after each other.
TEST(H1Server, AnEarlierResponseSaysNothingAboutTheProgressOfALaterOne)
{
	Server t;
	Socket c = Socket::connect_to(t.address);
	std::string body(30000000, 'y');

	t.s.send_timeout_us = 1500000;
	for (int i = 0; i < 2; i++) {
		c.in.clear();
		c.send_text(get("/x"));
		ASSERT_TRUE(t.wait_for_open(1));
		t.answer("/x", body);
		t.loop.run_ms(700);
		ASSERT_TRUE(t.loop.until([&] {
			c.pump();
			return c.in.size() > body.size() || c.eof || c.reset;
		}));
		ASSERT_GT(c.in.size(), body.size()) << "response " << i;
		t.loop.run_ms(1700);
	}
}

TEST(H1Server, NearTheLimitRequestsThatStoppedMakeRoomForOthers)
{
	Server t;
	std::vector<Socket> stopped;

	t.s.limits.max_connections = 8;
	for (int i = 0; i < 20; i++) {
		stopped.push_back(Socket::connect_to(t.address));
		stopped.back().send_text(
			"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nx");
	}
	Socket other = Socket::connect_to(t.address);
	other.send_text(get("/other"));
	ASSERT_TRUE(t.loop.until([&] {
		for (auto &c : stopped)
			c.pump();
		return t.open.size() == 1;
	}));
	t.answer("/other", "ok");
	EXPECT_TRUE(t.loop.until([&] { return other.has("ok"); }));
	EXPECT_EQ(stopped[0].in.compare(0, 13, "HTTP/1.1 408 "), 0) << stopped[0].in;
}
