// Guards against responses delivered to another call, requests sent twice or on connections
// that the server is closing, and results that wrongly say that a request was not sent.
#include <event2/buffer.h>
#include <gtest/gtest.h>

#include <string>

#include "h1/pool.h"
#include "support/descriptors.h"
#include "support/loop.h"

namespace
{

struct Call {
	int done = 0;
	enum snipe_h1_result result = SNIPE_H1_COMPLETE;
	int status = 0;
	std::string body, id;
	struct snipe_h1_call *call = nullptr;

	static int accept(void *arg, const struct snipe_h1_message *m)
	{
		auto *c = static_cast<Call *>(arg);
		const char *id = snipe_h1_find_value(m, "Id");

		return !id || c->id.empty() || c->id == id;
	}
	static void on_done(void *arg, enum snipe_h1_result result,
			    const struct snipe_h1_message *m)
	{
		auto *c = static_cast<Call *>(arg);

		c->done++;
		c->result = result;
		if (m) {
			c->status = m->status;
			c->body.assign(m->body.data ? m->body.data : "", m->body.len);
		}
	}
};

struct Pool {
	Loop loop;
	Listener listener;
	struct snipe_h1_pool p;
	Socket server;

	Pool()
	{
		snipe_h1_pool_init(&p, loop.base);
		snipe_h1_pool_set_address(&p, &listener.address);
	}
	~Pool()
	{
		snipe_h1_pool_finish(&p);
	}
	void start(Call &c, const std::string &text = "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	{
		static const struct snipe_h1_call_ops ops = {Call::accept, Call::on_done};
		struct evbuffer *b = evbuffer_new();

		evbuffer_add(b, text.data(), text.size());
		c.call = snipe_h1_call_start(&p, b, 0, &ops, &c);
		evbuffer_free(b);
	}
	bool wait_for_request()
	{
		return loop.until([&] {
			if (server.fd < 0)
				server = listener.take();
			return server.fd >= 0 && server.has("\r\n\r\n");
		});
	}
	bool wait_for_end(Call &c)
	{
		return loop.until([&] { return c.done > 0; });
	}
};

const char OK[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST(H1Pool, ConnectionIsReused)
{
	Pool t;

	for (int i = 0; i < 3; i++) {
		Call c;
		t.start(c);
		ASSERT_TRUE(t.wait_for_request());
		t.server.in.clear();
		t.server.send_text(OK);
		ASSERT_TRUE(t.wait_for_end(c));
		EXPECT_EQ(c.result, SNIPE_H1_COMPLETE);
		EXPECT_EQ(c.body, "ok");
	}
	EXPECT_EQ(t.p.opened_total, 1);
}

TEST(H1Pool, BytesAfterTheResponseAreDiscarded)
{
	Pool t;
	Call a, b;

	t.start(a);
	ASSERT_TRUE(t.wait_for_request());
	t.server.send_text(std::string(OK) +
			   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
	ASSERT_TRUE(t.wait_for_end(a));
	EXPECT_EQ(a.body, "ok");
	t.server = Socket();
	t.start(b);
	ASSERT_TRUE(t.wait_for_request());
	t.server.send_text(OK);
	ASSERT_TRUE(t.wait_for_end(b));
	EXPECT_EQ(b.body, "ok");
	EXPECT_EQ(t.p.opened_total, 2);
}

TEST(H1Pool, ResponseToAnEarlierRequestIsDiscarded)
{
	Pool t;
	Call c;

	c.id = "mine";
	t.start(c);
	ASSERT_TRUE(t.wait_for_request());
	t.server.send_text("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nwrong"
			   "HTTP/1.1 100 Continue\r\n\r\n"
			   "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok");
	ASSERT_TRUE(t.wait_for_end(c));
	EXPECT_EQ(c.body, "ok");
}

// A process without descriptors must not take its server for dead.
TEST(H1Pool, LackOfSocketsIsDistinguishedFromARefusedConnection)
{
	Pool t;
	Call c;
	DescriptorLimit limit;

	limit.AllowNoMore();
	t.start(c);
	ASSERT_TRUE(t.wait_for_end(c));
	EXPECT_EQ(c.result, SNIPE_H1_NO_SOCKET);
	EXPECT_EQ(t.p.connection_count, 0);
}

TEST(H1Pool, RequestNotSentIsDistinguishedFromPossiblyExecuted)
{
	Pool t;
	Call refused, lost, cut, reset;
	struct snipe_address nobody = free_address();

	snipe_h1_pool_set_address(&t.p, &nobody);
	t.start(refused);
	ASSERT_TRUE(t.wait_for_end(refused));
	EXPECT_EQ(refused.result, SNIPE_H1_NOT_CONNECTED);

	snipe_h1_pool_set_address(&t.p, &t.listener.address);
	t.start(lost);
	ASSERT_TRUE(t.wait_for_request());
	t.server.close_now();
	ASSERT_TRUE(t.wait_for_end(lost));
	EXPECT_EQ(lost.result, SNIPE_H1_LOST);

	t.start(cut);
	ASSERT_TRUE(t.wait_for_request());
	t.server.send_text("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel");
	t.loop.run_ms(20);
	t.server.close_now();
	ASSERT_TRUE(t.wait_for_end(cut));
	EXPECT_EQ(cut.result, SNIPE_H1_BROKEN);

	t.start(reset);
	ASSERT_TRUE(t.wait_for_request());
	t.server.send_text("nonsense");
	ASSERT_TRUE(t.wait_for_end(reset));
	EXPECT_EQ(reset.result, SNIPE_H1_BROKEN);
}

TEST(H1Pool, ResponseWithoutLengthIsCompleteOnlyAfterCleanClose)
{
	for (bool clean : {true, false}) {
		Pool t;
		Call c;

		t.start(c);
		ASSERT_TRUE(t.wait_for_request());
		t.server.send_text("HTTP/1.1 200 OK\r\n\r\nbody");
		t.loop.run_ms(50);
		EXPECT_EQ(c.done, 0);
		if (clean)
			t.server.close_now();
		else
			t.server.reset_now();
		ASSERT_TRUE(t.wait_for_end(c));
		EXPECT_EQ(c.result, clean ? SNIPE_H1_COMPLETE : SNIPE_H1_BROKEN);
		EXPECT_EQ(c.body, clean ? "body" : "");
	}
}

// On a reused connection, the server would read the next request as the rest of the body.
TEST(H1Pool, ResponseBeforeTheEndOfTheRequestClosesTheConnection)
{
	Pool t;
	Call c;
	std::string body(8 * 1024 * 1024, 'b');

	t.start(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
			   std::to_string(body.size()) + "\r\n\r\n" + body);
	ASSERT_TRUE(t.wait_for_request());
	t.server.send_text(OK);
	ASSERT_TRUE(t.wait_for_end(c));
	EXPECT_EQ(c.body, "ok");
	EXPECT_TRUE(t.loop.until([&] {
		t.server.pump();
		return t.server.eof || t.server.reset;
	}));
	EXPECT_EQ(t.p.connection_count, 0);
}

TEST(H1Pool, ConnectionsThatTheServerIsAboutToCloseAreNotReused)
{
	for (const char *header : {"Connection: close\r\n", "Keep-Alive: timeout=1\r\n"}) {
		Pool t;
		Call a, b;

		t.start(a);
		ASSERT_TRUE(t.wait_for_request());
		t.server.send_text(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n") +
				   header + "\r\nok");
		ASSERT_TRUE(t.wait_for_end(a));
		t.server = Socket();
		t.start(b);
		ASSERT_TRUE(t.wait_for_request());
		EXPECT_EQ(t.p.opened_total, 2) << header;
		snipe_h1_call_cancel(b.call);
	}
}

TEST(H1Pool, CancelledCallClosesItsConnection)
{
	Pool t;
	Call c;

	t.start(c);
	ASSERT_TRUE(t.wait_for_request());
	snipe_h1_call_cancel(c.call);
	EXPECT_TRUE(t.loop.until([&] {
		t.server.pump();
		return t.server.eof || t.server.reset;
	}));
	EXPECT_EQ(c.done, 0);
}

TEST(H1Pool, RetiredConnectionsCompleteTheirCurrentCall)
{
	Pool t;
	Call c;

	t.start(c);
	ASSERT_TRUE(t.wait_for_request());
	snipe_h1_pool_retire_connections(&t.p);
	t.server.send_text(OK);
	ASSERT_TRUE(t.wait_for_end(c));
	EXPECT_EQ(c.body, "ok");
	EXPECT_EQ(t.p.connection_count, 0);
}

// A server may send bytes until the client closes the connection.
TEST(H1Pool, EndlessResponseIsAborted)
{
	const std::pair<std::string, std::string> cases[] = {
		{"", "x"},
		{"HTTP/1.1 200 OK\r\nX: ", "x"},
		{"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
		{"HTTP/1.1 200 OK\r\n\r\n", "x"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "x"},
	};

	for (const auto &c : cases) {
		Pool t;
		Call call;
		std::string more;
		size_t sent = 0;

		t.p.max_body_bytes = 1000000;
		for (int i = 0; i < 5000; i++)
			more += c.second;
		t.start(call);
		ASSERT_TRUE(t.wait_for_request());
		t.server.send_text(c.first);
		EXPECT_TRUE(t.loop.until([&] {
			// After a partial send, the next one continues at the same offset.
			ssize_t n = send(t.server.fd, more.data() + sent % more.size(),
					 more.size() - sent % more.size(), MSG_NOSIGNAL);

			sent += n > 0 ? (size_t)n : 0;
			return call.done > 0;
		})) << c.first
		    << c.second;
		EXPECT_TRUE(call.result == SNIPE_H1_BROKEN || call.result == SNIPE_H1_TOO_LARGE)
			<< c.first << c.second;
		EXPECT_EQ(t.p.connection_count, 0) << c.first << c.second;
	}
}
