// Guards against replies that reach the wrong request, bodies passed on in part, calls reported
// as not sent although bytes left, and silent or foreign peers that are not noticed.
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/clock.h"
#include "node/peer_task.h"

namespace
{

struct Reply {
	int count = 0;
	int err = 1;
	int status = 0;
	std::string body;
};

void on_reply(void *arg, int err, const struct snipe_message *msg, const char *body, size_t len)
{
	auto *r = static_cast<Reply *>(arg);

	r->count++;
	r->err = err;
	if (msg && msg->type == SNIPE_MSG_ANSWER)
		r->status = msg->u.answer.status;
	r->body.assign(body ? body : "", len);
}

struct Node {
	struct snipe_peer_task task;
	std::vector<struct snipe_peer_origin> calls;
	std::vector<std::string> bodies;
	int cancels = 0;
	bool echo = true;

	Node(struct event_base *base, const char *id, const char *secret)
	{
		struct snipe_peer_config config = {};
		struct snipe_error_text err;

		config.base = base;
		strcpy(config.listen.ip, "127.0.0.1");
		config.node_id = id;
		config.process = 1;
		config.secret = secret;
		EXPECT_EQ(snipe_peer_task_init(&task, &config, &err), 0);
		snipe_peer_on(&task, SNIPE_MSG_CALL, on_call, this);
		snipe_peer_on(&task, SNIPE_MSG_CANCEL, on_cancel, this);
	}
	~Node()
	{
		snipe_peer_task_finish(&task);
	}
	// The only link that has a connection.
	struct snipe_link *link() const
	{
		for (guint i = 0; i < task.links->len; i++) {
			auto *l = (struct snipe_link *)g_ptr_array_index(task.links, i);

			if (l && l->conn)
				return l;
		}
		return nullptr;
	}
	// Ends the present connections of all links, as a reset does.
	void cut()
	{
		for (guint i = 0; i < task.links->len; i++) {
			auto *link = (struct snipe_link *)g_ptr_array_index(task.links, i);

			if (link && link->conn)
				shutdown(bufferevent_getfd(link->conn->bev), SHUT_RDWR);
		}
	}
	static void on_call(void *arg, const struct snipe_peer_origin *from,
			    const struct snipe_message *, const char *body, size_t len)
	{
		auto *n = static_cast<Node *>(arg);

		n->calls.push_back(*from);
		n->bodies.emplace_back(body ? body : "", len);
		if (n->echo)
			n->answer(*from, n->bodies.back());
	}
	static void on_cancel(void *arg, const struct snipe_peer_origin *,
			      const struct snipe_message *, const char *, size_t)
	{
		static_cast<Node *>(arg)->cancels++;
	}
	void answer(const struct snipe_peer_origin &to, const std::string &body)
	{
		struct snipe_message m = {};

		m.type = SNIPE_MSG_ANSWER;
		m.u.answer.status = 200;
		snipe_peer_reply(&task, &to, &m, body.data(), body.size());
	}
	uint64_t call(const struct snipe_address *to, const std::string &body, Reply *r,
		      int64_t timeout_us = 5000000)
	{
		struct snipe_message m = {};

		m.type = SNIPE_MSG_CALL;
		return snipe_peer_request(&task, to, &m, body.data(), body.size(), timeout_us,
					  on_reply, r);
	}
};

class PeerTask : public testing::Test
{
      protected:
	struct event_base *base = event_base_new();

	PeerTask()
	{
		signal(SIGPIPE, SIG_IGN); // as the programs do
	}
	~PeerTask() override
	{
		event_base_free(base);
	}
	// Runs the loop until a condition holds; the deadline only ends a failing test.
	bool run_until(const std::function<bool()> &done)
	{
		int64_t deadline = snipe_now_us() + 20000000;

		while (!done() && snipe_now_us() < deadline)
			event_base_loop(base, EVLOOP_ONCE);
		return done();
	}
};

std::string pattern(size_t n, char salt)
{
	std::string s(n, '\0');

	for (size_t i = 0; i < n; i++)
		s[i] = (char)(i * 31 + (unsigned char)salt);
	return s;
}

} // namespace

TEST_F(PeerTask, LargeBodiesArriveWholeAndInOrderOfCompletion)
{
	Node a(base, "a", "secret"), b(base, "b", "secret");
	std::vector<Reply> r(20);

	for (size_t i = 0; i < r.size(); i++)
		a.call(snipe_peer_address(&b.task), pattern(i * 70000, (char)i), &r[i]);
	ASSERT_TRUE(run_until([&] { return r.back().count && r.front().count; }));
	for (size_t i = 0; i < r.size(); i++) {
		ASSERT_TRUE(run_until([&] { return r[i].count > 0; }));
		EXPECT_EQ(r[i].err, 0);
		EXPECT_EQ(r[i].body, pattern(i * 70000, (char)i));
	}
}

TEST_F(PeerTask, RepliesOutOfOrderReachTheirOwnRequests)
{
	Node a(base, "a", "secret"), b(base, "b", "secret");
	Reply r[3];

	b.echo = false;
	for (int i = 0; i < 3; i++)
		a.call(snipe_peer_address(&b.task), std::string(1, (char)('0' + i)), &r[i]);
	ASSERT_TRUE(run_until([&] { return b.calls.size() == 3; }));
	for (int i = 2; i >= 0; i--)
		b.answer(b.calls[i], "reply to " + b.bodies[i]);
	ASSERT_TRUE(run_until([&] { return r[0].count && r[1].count && r[2].count; }));
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(r[i].body, "reply to " + std::string(1, (char)('0' + i)));
}

TEST_F(PeerTask, CallsToTheOwnAddressStayInTheProcess)
{
	Node a(base, "a", "secret");
	Reply r;

	a.call(snipe_peer_address(&a.task), pattern(300000, 'x'), &r);
	EXPECT_EQ(r.count, 0);
	ASSERT_TRUE(run_until([&] { return r.count > 0; }));
	EXPECT_EQ(r.err, 0);
	EXPECT_EQ(r.body, pattern(300000, 'x'));
}

TEST_F(PeerTask, CancelledCallIsCancelledAtThePeerAndNeverCallsBack)
{
	Node a(base, "a", "secret"), b(base, "b", "secret");
	Reply dropped, next;

	b.echo = false;
	uint64_t id = a.call(snipe_peer_address(&b.task), "one", &dropped);
	ASSERT_TRUE(run_until([&] { return b.calls.size() == 1; }));
	snipe_peer_cancel(&a.task, id);
	ASSERT_TRUE(run_until([&] { return b.cancels == 1; }));
	b.answer(b.calls[0], "late");
	b.echo = true;
	a.call(snipe_peer_address(&b.task), "two", &next);
	ASSERT_TRUE(run_until([&] { return next.count > 0; }));
	EXPECT_EQ(next.body, "two");
	EXPECT_EQ(dropped.count, 0);
}

TEST_F(PeerTask, RefusedConnectionIsCertainlyNotSent)
{
	Node a(base, "a", "secret");
	struct snipe_address nobody;
	Reply r;

	{
		Node gone(base, "gone", "secret");
		nobody = *snipe_peer_address(&gone.task);
	}
	a.call(&nobody, "x", &r);
	ASSERT_TRUE(run_until([&] { return r.count > 0; }));
	EXPECT_EQ(r.err, SNIPE_ERR_UNAVAILABLE);
}

TEST_F(PeerTask, SilentPeerIsNoticedAndItsCallsAreUnknown)
{
	Node a(base, "a", "secret");
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_storage ss = {};
	struct snipe_address silent = {};
	socklen_t len = sizeof(ss);
	Reply r;

	strcpy(silent.ip, "127.0.0.1");
	int size = snipe_address_to_sockaddr(&silent, &ss);
	ASSERT_EQ(bind(fd, (struct sockaddr *)&ss, (socklen_t)size), 0);
	ASSERT_EQ(listen(fd, 8), 0);
	getsockname(fd, (struct sockaddr *)&ss, &len);
	snipe_address_from_sockaddr((struct sockaddr *)&ss, &silent);
	// The kernel accepts the connection; nobody ever reads from it.
	a.call(&silent, "x", &r, 60000000);
	ASSERT_TRUE(run_until([&] { return r.count > 0; }));
	EXPECT_EQ(r.err, SNIPE_ERR_UNKNOWN);
	close(fd);
}

TEST_F(PeerTask, PeerWithAnotherSecretGetsNoCall)
{
	Node a(base, "a", "secret"), b(base, "b", "other secret");
	Reply r;

	a.call(snipe_peer_address(&b.task), "x", &r);
	ASSERT_TRUE(run_until([&] { return r.count > 0; }));
	EXPECT_NE(r.err, 0);
	EXPECT_TRUE(b.calls.empty());
}

TEST_F(PeerTask, LostLinkCancelsCallsAtTheReceiver)
{
	Node b(base, "b", "secret");
	Reply r;

	b.echo = false;
	{
		Node a(base, "a", "secret");

		a.call(snipe_peer_address(&b.task), "x", &r);
		ASSERT_TRUE(run_until([&] { return b.calls.size() == 1; }));
	}
	EXPECT_TRUE(run_until([&] { return b.cancels == 1; }));
	EXPECT_EQ(r.count, 0);
}

TEST_F(PeerTask, ACallAndItsReplyOutliveTheirConnection)
{
	Node a(base, "a", "secret"), b(base, "b", "secret");
	Reply r[3];

	b.echo = false;
	for (int i = 0; i < 3; i++)
		a.call(snipe_peer_address(&b.task), pattern(200000, (char)i), &r[i]);
	ASSERT_TRUE(run_until([&] { return b.calls.size() == 3; }));
	b.cut();
	b.answer(b.calls[0], "first");
	ASSERT_TRUE(run_until([&] { return r[0].count > 0; }));
	EXPECT_EQ(r[0].body, "first");
	a.cut();
	b.answer(b.calls[1], "second");
	b.cut();
	b.answer(b.calls[2], "third");
	ASSERT_TRUE(run_until([&] { return r[1].count && r[2].count; }));
	EXPECT_EQ(r[1].body, "second");
	EXPECT_EQ(r[2].body, "third");
	EXPECT_EQ(b.calls.size(), 3u) << "each call is taken in once";
	EXPECT_EQ(b.cancels, 0);
	EXPECT_GE(snipe_peer_link_counts(&a.task)->resumed, 2u);
}

TEST_F(PeerTask, CallsSentWhileTheConnectionBreaksAreTakenInOnceAndInOrder)
{
	Node a(base, "a", "secret"), b(base, "b", "secret");
	std::vector<Reply> r(200);

	for (size_t i = 0; i < r.size(); i++) {
		a.call(snipe_peer_address(&b.task), std::to_string(i) + pattern(3000, 'x'),
		       &r[i]);
		if (i % 20 == 7)
			a.cut();
		if (i % 20 == 17)
			b.cut();
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
	ASSERT_TRUE(run_until([&] {
		for (const Reply &x : r)
			if (!x.count)
				return false;
		return true;
	}));
	for (size_t i = 0; i < r.size(); i++) {
		EXPECT_EQ(r[i].err, 0) << i;
		EXPECT_EQ(r[i].body, std::to_string(i) + pattern(3000, 'x')) << i;
		EXPECT_EQ(b.bodies[i], r[i].body) << "in order";
	}
	EXPECT_EQ(b.calls.size(), r.size());
}

// The next process of the peer knows nothing of the call: nobody can tell whether it ran.
TEST_F(PeerTask, ARestartOfThePeerEndsTheSession)
{
	Node a(base, "a", "secret");
	struct snipe_address at;
	Reply r;

	{
		Node b(base, "b", "secret");

		b.echo = false;
		at = *snipe_peer_address(&b.task);
		a.call(&at, "x", &r);
		ASSERT_TRUE(run_until([&] { return b.calls.size() == 1; }));
	}
	ASSERT_TRUE(run_until([&] { return r.count > 0; }));
	EXPECT_EQ(r.err, SNIPE_ERR_UNKNOWN);
}

// A greeting that the peer reads late states less than was stated since on the connection
// before.
TEST_F(PeerTask, ALateGreetingDoesNotBreakTheSession)
{
	auto a = std::make_unique<Node>(base, "a", "secret");
	Node b(base, "b", "secret");
	Reply r[4];

	a->call(snipe_peer_address(&b.task), "1", &r[0]);
	ASSERT_TRUE(run_until([&] { return r[0].count > 0; }));
	b.echo = false;
	evconnlistener_disable(b.task.listener);
	bufferevent_disable(b.link()->conn->bev, EV_READ);
	a->call(snipe_peer_address(&b.task), "2", &r[1]);
	ASSERT_TRUE(
		run_until([&] { return a->link()->next && a->link()->next->is_connected; }));
	uint64_t opened_us = a->link()->next->opened_us;
	bufferevent_enable(b.link()->conn->bev, EV_READ);
	ASSERT_TRUE(run_until([&] { return b.calls.size() == 2; }));
	b.answer(b.calls[1], "two");
	ASSERT_TRUE(run_until([&] { return r[1].count > 0; }));
	a->call(snipe_peer_address(&b.task), "3", &r[2]);
	ASSERT_TRUE(run_until([&] { return b.calls.size() == 3; }));
	bufferevent_disable(b.link()->conn->bev, EV_READ);
	evconnlistener_enable(b.task.listener);
	ASSERT_TRUE(run_until([&] { return snipe_peer_link_counts(&a->task)->resumed > 0; }));
	EXPECT_EQ(a->link()->conn->opened_us, opened_us) << "the late greeting was accepted";
	b.answer(b.calls[2], "three");
	ASSERT_TRUE(run_until([&] { return r[2].count > 0; }));
	EXPECT_EQ(r[2].body, "three");
	a->call(snipe_peer_address(&b.task), "4", &r[3]);
	ASSERT_TRUE(run_until([&] { return b.calls.size() == 4; }));
	a.reset();
	EXPECT_TRUE(run_until([&] { return b.cancels == 1; })) << "nobody waits any more";
}
