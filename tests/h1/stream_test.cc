// Guards against bytes that are lost or repeated when the kernel takes only a part of them,
// input that piles up, and use of a stream after a callback has finished it.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "h1/stream.h"
#include "support/loop.h"

namespace
{

struct Stream {
	Loop loop;
	Listener listener;
	Socket peer;
	struct snipe_h1_stream s;
	std::string in;
	size_t may_consume = SIZE_MAX; // bytes of each piece
	int ended = 0, drained = 0;
	bool is_finished = false, finishes = false;

	Stream()
	{
		static const struct snipe_h1_stream_ops ops = {on_received, on_drained,
							       on_ended};
		Socket own = Socket::connect_to(listener.address);

		EXPECT_TRUE(loop.until([&] { return (peer = listener.take()).fd >= 0; }));
		fcntl(peer.fd, F_SETFL, O_NONBLOCK);
		snipe_h1_stream_init(&s, loop.base, own.fd, &ops, this);
		own.fd = -1;
	}
	~Stream()
	{
		if (!is_finished)
			snipe_h1_stream_finish(&s);
	}
	void finish()
	{
		is_finished = true;
		snipe_h1_stream_finish(&s);
	}
	static ssize_t on_received(void *arg, const char *data, size_t len)
	{
		auto *t = static_cast<Stream *>(arg);
		size_t n = std::min(len, t->may_consume);

		t->in.append(data, n);
		if (!t->finishes)
			return (ssize_t)n;
		t->finish();
		return -1;
	}
	static void on_drained(void *arg)
	{
		auto *t = static_cast<Stream *>(arg);

		t->drained++;
		if (t->finishes)
			t->finish();
	}
	static void on_ended(void *arg)
	{
		auto *t = static_cast<Stream *>(arg);

		t->ended++;
		t->finish();
	}
};

std::string pattern(size_t len)
{
	std::string s(len, 0);

	for (size_t i = 0; i < len; i++)
		s[i] = (char)('a' + i % 23);
	return s;
}

} // namespace

TEST(H1Stream, OutputIsHandedOverAtOnceAndTheRestLater)
{
	Stream t;
	std::string big = pattern(8000000);

	snipe_h1_stream_send(&t.s, "first ", 6);
	EXPECT_EQ(snipe_h1_stream_unsent(&t.s), 0u);
	EXPECT_TRUE(t.peer.has("first ")) << "without a turn of the loop";
	snipe_h1_stream_send(&t.s, big.data(), big.size());
	EXPECT_GT(snipe_h1_stream_unsent(&t.s), 0u);
	snipe_h1_stream_send(&t.s, " last", 5);
	ASSERT_TRUE(t.loop.until([&] { return t.peer.has(" last"); }));
	EXPECT_EQ(t.peer.in, "first " + big + " last");
	EXPECT_EQ(snipe_h1_stream_unsent(&t.s), 0u);
	EXPECT_EQ(t.drained, 1);
}

TEST(H1Stream, InputThatIsNotConsumedIsKeptInOrderAndBounded)
{
	Stream t;
	std::string all = pattern(4000000);
	size_t sent = 0;

	t.may_consume = 0;
	t.loop.until([&] {
		ssize_t n = send(t.peer.fd, all.data() + sent, all.size() - sent, MSG_NOSIGNAL);
		sent += n > 0 ? (size_t)n : 0;
		return t.s.unread.len >= 65536;
	});
	t.loop.run_ms(50);
	EXPECT_LT(t.s.unread.len, 200000u);
	EXPECT_TRUE(t.in.empty());
	t.may_consume = 1000;
	ASSERT_TRUE(t.loop.until([&] {
		ssize_t n = send(t.peer.fd, all.data() + sent, all.size() - sent, MSG_NOSIGNAL);
		sent += n > 0 ? (size_t)n : 0;
		snipe_h1_stream_resume(&t.s);
		if (t.in.size() > 100000)
			t.may_consume = SIZE_MAX;
		return t.in.size() == all.size();
	}));
	EXPECT_EQ(t.in, all);
}

TEST(H1Stream, MayBeFinishedWithinEachCallback)
{
	{
		Stream t;
		t.finishes = true;
		t.peer.send_text("x");
		EXPECT_TRUE(t.loop.until([&] { return t.is_finished; }));
	}
	{
		Stream t;
		std::string big = pattern(8000000);
		t.finishes = true;
		snipe_h1_stream_send(&t.s, big.data(), big.size());
		EXPECT_TRUE(t.loop.until([&] {
			t.peer.pump();
			return t.is_finished;
		}));
	}
	{
		Stream t;
		t.may_consume = 0;
		t.peer.send_text("kept");
		ASSERT_TRUE(t.loop.until([&] { return t.s.unread.len == 4; }));
		t.finishes = true;
		snipe_h1_stream_resume(&t.s);
		EXPECT_TRUE(t.is_finished);
	}
}

TEST(H1Stream, AResetIsReportedOnceAlsoWhileOutputWaits)
{
	for (bool has_output : {false, true}) {
		Stream t;
		std::string big = pattern(8000000);

		if (has_output)
			snipe_h1_stream_send(&t.s, big.data(), big.size());
		t.peer.reset_now();
		EXPECT_TRUE(t.loop.until([&] { return t.ended == 1; }));
	}
}

// The output of a peer that is always a little behind must not pile up.
TEST(H1Stream, OutputOfASlowPeerIsFreedAsItIsTaken)
{
	Stream t;
	std::string piece = pattern(500000);
	std::vector<char> taken(200000);
	size_t sent = 0, most = 0;

	for (int i = 0; i < 200; i++) {
		while (snipe_h1_stream_unsent(&t.s) > 4000000) {
			recv(t.peer.fd, taken.data(), taken.size(), 0);
			event_base_loop(t.loop.base, EVLOOP_NONBLOCK);
		}
		snipe_h1_stream_send(&t.s, piece.data(), piece.size());
		sent += piece.size();
		most = std::max(most, t.s.unsent.size);
	}
	EXPECT_EQ(t.drained, 0);
	EXPECT_EQ(sent, 100000000u);
	EXPECT_LT(most, 40000000u);
}
