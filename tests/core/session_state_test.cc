// Guards against messages that are lost, taken in twice, out of order, or reported as not sent
// although the other side has them, while connections are cut, silent or slow at any moment.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <deque>
#include <string>
#include <vector>

#include "base/error.h"
#include "core/session.h"

namespace
{

// A connection: bytes that the sender wrote arrive later in order, or never.
struct Connection {
	std::deque<std::pair<uint64_t, std::string>> to_peer; // offset and message
	uint64_t written = 0, left = 0;
	uint64_t next_number = 1; // of the receiver
	bool is_silent = false;
};

// One direction of a session over a fake transport. The reference keeps what was pushed and
// what was taken in.
struct Pair {
	struct snipe_session sender, receiver;
	std::vector<std::string> pushed, taken;
	Connection conn;
	bool is_open = true;
	bool has_protocol_error = false;

	Pair()
	{
		snipe_session_init(&sender);
		snipe_session_init(&receiver);
	}
	~Pair()
	{
		snipe_session_finish(&sender);
		snipe_session_finish(&receiver);
	}
	void push(const std::string &text)
	{
		pushed.push_back(text);
		RC_ASSERT(snipe_session_push(&sender, text.data(), text.size()) == 0);
	}
	void write()
	{
		const struct snipe_session_message *m;

		while (is_open && (m = snipe_session_next(&sender, conn.written)) != nullptr) {
			conn.to_peer.emplace_back(conn.written, std::string(m->data, m->len));
			conn.written += m->len;
		}
	}
	// Some bytes leave the sender.
	void leave(size_t bytes)
	{
		conn.left = std::min(conn.written, conn.left + bytes);
	}
	// The receiver reads the next message that has left whole.
	void read()
	{
		if (conn.is_silent || conn.to_peer.empty())
			return;
		auto [offset, text] = conn.to_peer.front();
		if (offset + text.size() > conn.left)
			return;
		conn.to_peer.pop_front();
		int ret = snipe_session_accept(&receiver, conn.next_number++, text.size());
		RC_ASSERT(ret >= 0);
		if (ret)
			taken.push_back(text);
	}
	void acknowledge()
	{
		if (is_open && !conn.is_silent)
			RC_ASSERT(snipe_session_acknowledge(&sender, receiver.received) == 0);
	}
	void cut()
	{
		snipe_session_connection_lost(&sender, conn.left);
		conn = Connection();
		is_open = false;
	}
	void resume()
	{
		if (is_open)
			cut();
		RC_ASSERT(snipe_session_resume(&sender, receiver.received) == 0);
		conn = Connection();
		conn.next_number = receiver.received + 1;
		is_open = true;
	}
};

struct Nothing {
};

using Command = rc::state::Command<Nothing, Pair>;

template <typename F> struct Step : Command {
	F f = F();

	void checkPreconditions(const Nothing &) const override
	{
	}
	void apply(Nothing &) const override
	{
	}
	void run(const Nothing &, Pair &p) const override
	{
		f(p);
		// In order, none twice.
		RC_ASSERT(p.taken.size() <= p.pushed.size());
		for (size_t i = 0; i < p.taken.size(); i++)
			RC_ASSERT(p.taken[i] == p.pushed[i]);
		// What was taken in has left; the counts agree.
		RC_ASSERT(p.receiver.received == p.taken.size());
		RC_ASSERT(p.sender.acked <= p.receiver.received);
		if (!p.is_open)
			for (uint64_t n = 1; n <= p.receiver.received; n++)
				RC_ASSERT(snipe_session_may_have_left(&p.sender, n));
	}
};

struct Push {
	std::string text = *rc::gen::arbitrary<std::string>();
	void operator()(Pair &p) const
	{
		p.push(text + "x");
	}
};
struct Write {
	void operator()(Pair &p) const
	{
		p.write();
	}
};
struct Leave {
	int bytes = *rc::gen::inRange(0, 200);
	void operator()(Pair &p) const
	{
		p.leave((size_t)bytes);
	}
};
struct Read {
	void operator()(Pair &p) const
	{
		p.read();
	}
};
struct Acknowledge {
	void operator()(Pair &p) const
	{
		p.acknowledge();
	}
};
struct Cut {
	void operator()(Pair &p) const
	{
		if (p.is_open)
			p.cut();
	}
};
struct Silence {
	void operator()(Pair &p) const
	{
		p.conn.is_silent = true;
	}
};
struct Resume {
	void operator()(Pair &p) const
	{
		p.resume();
	}
};

} // namespace

TEST(SessionState, EveryMessageIsTakenInOnceAndInOrder)
{
	EXPECT_TRUE(rc::check([] {
		Nothing state;
		Pair p;

		rc::state::check(
			state, p,
			rc::state::gen::execOneOfWithArgs<Step<Push>, Step<Push>, Step<Write>,
							  Step<Leave>, Step<Read>, Step<Read>,
							  Step<Acknowledge>, Step<Cut>,
							  Step<Silence>, Step<Resume>>());
		// While both processes live and a new connection works, all arrive.
		p.resume();
		p.write();
		p.leave(1u << 30);
		for (size_t left = p.conn.to_peer.size(); left > 0; left--)
			p.read();
		RC_ASSERT(p.taken == p.pushed);
	}));
}

TEST(Session, KeepsNoMoreThanItsBound)
{
	struct snipe_session s;
	std::string big(1 << 20, 'x');
	size_t n = 0;

	snipe_session_init(&s);
	while (snipe_session_push(&s, big.data(), big.size()) == 0)
		n++;
	EXPECT_EQ(n, SNIPE_SESSION_MAX_BYTES / big.size());
	ASSERT_EQ(snipe_session_acknowledge(&s, 1), 0);
	EXPECT_EQ(snipe_session_push(&s, big.data(), big.size()), 0);
	snipe_session_finish(&s);
}

TEST(Session, RejectsWhatThePeerCannotKnow)
{
	struct snipe_session s;

	snipe_session_init(&s);
	snipe_session_push(&s, "a", 1);
	snipe_session_push(&s, "b", 1);
	EXPECT_EQ(snipe_session_acknowledge(&s, 3), SNIPE_ERR_SYNTAX);
	EXPECT_EQ(snipe_session_resume(&s, 3), SNIPE_ERR_SYNTAX);
	ASSERT_EQ(snipe_session_acknowledge(&s, 2), 0);
	EXPECT_EQ(snipe_session_resume(&s, 1), SNIPE_ERR_SYNTAX) << "it has forgotten";
	EXPECT_EQ(snipe_session_accept(&s, 2, 1), SNIPE_ERR_SYNTAX) << "one is missing";
	snipe_session_finish(&s);
}

TEST(Session, OnlyAMessageThatNeverLeftIsCertainlyNotReceived)
{
	struct snipe_session s;

	snipe_session_init(&s);
	snipe_session_push(&s, "aaaa", 4);
	snipe_session_push(&s, "bbbb", 4);
	snipe_session_next(&s, 0);
	snipe_session_next(&s, 4);
	snipe_session_push(&s, "cccc", 4);
	snipe_session_connection_lost(&s, 5);
	EXPECT_TRUE(snipe_session_may_have_left(&s, 1));
	EXPECT_TRUE(snipe_session_may_have_left(&s, 2)) << "its first byte has left";
	EXPECT_FALSE(snipe_session_may_have_left(&s, 3));
	ASSERT_EQ(snipe_session_resume(&s, 0), 0);
	snipe_session_connection_lost(&s, 0);
	EXPECT_TRUE(snipe_session_may_have_left(&s, 1)) << "on the connection before";
	snipe_session_finish(&s);
}
