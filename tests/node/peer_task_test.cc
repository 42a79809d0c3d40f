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
	struct snipe_memory_limit memory;
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
		snipe_memory_limit_init(&memory, 0, nullptr, nullptr);
		config.memory = &memory;
		EXPECT_EQ(snipe_peer_task_init(&task, &config, &err), 0);
		snipe_peer_on(&task, SNIPE_MSG_CALL, on_call, this);
		snipe_peer_on(&task, SNIPE_MSG_CANCEL, on_cancel, this);
	}
	~Node()
	{
		snipe_peer_task_finish(&task);
		EXPECT_EQ(memory.account.held, 0u);
	}
	// Bounds what is held for others, now.
	void enforce(size_t limit)
	{
		memory.account.limit = limit;
		snipe_memory_limit_enforce(&memory, snipe_now_us());
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

namespace
{

int connect_to(const struct snipe_address *to)
{
	struct sockaddr_storage ss;
	int len = snipe_address_to_sockaddr(to, &ss), fd = socket(AF_INET, SOCK_STREAM, 0);

	EXPECT_EQ(connect(fd, (struct sockaddr *)&ss, (socklen_t)len), 0);
	return fd;
}

} // namespace

TEST_F(PeerTask, AConnectionThatSendsMoreThanAGreetingBeforeItIsClosed)
{
	Node a(base, "a", "s");
	int fd = connect_to(snipe_peer_address(&a.task));
	std::string frame("\x00\x0f\xff\xff", 4);

	frame.append(100000, 'x');
	ASSERT_GT(send(fd, frame.data(), frame.size(), MSG_NOSIGNAL), 0);
	EXPECT_TRUE(run_until([&] {
		char byte;
		ssize_t n = recv(fd, &byte, 1, MSG_DONTWAIT);
		return n == 0 || (n < 0 && errno == ECONNRESET);
	}));
	EXPECT_LT(a.memory.account.held, 8192u);
	close(fd);
}

TEST_F(PeerTask, OfManyConnectionsWithoutAGreetingTheOldestAreClosed)
{
	Node a(base, "a", "s"), b(base, "b", "s");
	std::vector<int> fds;
	Reply r;

	for (int i = 0; i < 300; i++) {
		fds.push_back(connect_to(snipe_peer_address(&a.task)));
		event_base_loop(base, EVLOOP_NONBLOCK);
	}
	ASSERT_TRUE(run_until([&] {
		char byte;
		return recv(fds[0], &byte, 1, MSG_DONTWAIT) == 0;
	}));
	EXPECT_LE(a.task.accepted->len, 256u);
	b.call(snipe_peer_address(&a.task), "hello", &r);
	EXPECT_TRUE(run_until([&] { return r.count == 1; }));
	EXPECT_EQ(r.body, "hello");
	for (int fd : fds)
		close(fd);
}

TEST_F(PeerTask, ForLackOfMemoryTheLinkOfAPeerThatTakesNothingInEnds)
{
	Node b(base, "b", "s"), other(base, "c", "s");
	Reply stuck, served;
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in sin = {};
	socklen_t len = sizeof(sin);
	struct snipe_address silent;

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(bind(listener, (struct sockaddr *)&sin, sizeof(sin)), 0);
	ASSERT_EQ(listen(listener, 4), 0);
	getsockname(listener, (struct sockaddr *)&sin, &len);
	snipe_address_from_sockaddr((struct sockaddr *)&sin, &silent);
	b.call(&silent, std::string(6000000, 'x'), &stuck);
	b.call(snipe_peer_address(&other.task), "hello", &served);
	ASSERT_TRUE(run_until([&] { return served.count == 1; }));
	EXPECT_GT(b.memory.account.held, 6000000u);
	EXPECT_LT(b.memory.account.held, 7000000u) << "kept once";
	b.enforce(4000000);
	EXPECT_EQ(stuck.count, 1);
	EXPECT_NE(stuck.err, 0);
	EXPECT_LT(b.memory.account.held, 100000u);
	b.call(snipe_peer_address(&other.task), "hello", &served);
	EXPECT_TRUE(run_until([&] { return served.count == 2; })) << "the other link stays";
	EXPECT_EQ(other.task.links->len, 1u);
	close(listener);
}

TEST_F(PeerTask, ForLackOfMemoryAnUnfinishedBodyOfAPeerIsGivenUp)
{
	Node a(base, "a", "s"), b(base, "b", "s");
	Reply cut, served;

	a.call(snipe_peer_address(&b.task), std::string(8000000, 'x'), &cut);
	ASSERT_TRUE(run_until([&] {
		struct snipe_link *l = b.link();
		return l && g_hash_table_size(l->assemblies) == 1 &&
		       b.memory.account.held > 1000000;
	}));
	b.enforce(500000);
	EXPECT_EQ(b.memory.account.held, 0u);
	ASSERT_TRUE(run_until([&] { return cut.count == 1; }));
	EXPECT_EQ(cut.err, SNIPE_ERR_UNKNOWN);
	EXPECT_TRUE(b.calls.empty());
	b.memory.account.limit = 0;
	a.call(snipe_peer_address(&b.task), "hello", &served);
	EXPECT_TRUE(run_until([&] { return served.count == 1; }));
	EXPECT_EQ(served.body, "hello");
}
