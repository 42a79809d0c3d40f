// Guards against silent connections that are found only after calls were lost on them, slow or
// frozen peers that are taken for lost, and storms of new connections.
#include <gtest/gtest.h>

#include <vector>

#include "core/link_watch.h"

namespace
{

struct Watch {
	struct snipe_link_watch w;
	struct snipe_link_state state = {1, 1, 0, 0};
	int64_t now = 1000000, start = 1000000;
	std::vector<std::pair<enum snipe_link_action, int64_t>> actions; // and when, ms

	Watch()
	{
		snipe_link_watch_init(&w, now);
	}
	// Checks every 25 ms and records the actions that change something.
	void run_ms(int ms)
	{
		for (int64_t end = now + ms * 1000; now < end; now += 25000) {
			enum snipe_link_action a = snipe_link_watch_check(&w, now, &state);

			if (a == SNIPE_LINK_RECONNECT) {
				snipe_link_watch_tried(&w, now);
				state.is_trying = 1;
			}
			if (a != SNIPE_LINK_NOTHING)
				actions.emplace_back(a, (now - start) / 1000);
		}
	}
	int count(enum snipe_link_action a) const
	{
		int n = 0;

		for (const auto &x : actions)
			n += x.first == a;
		return n;
	}
	int64_t first_ms(enum snipe_link_action a) const
	{
		for (const auto &x : actions)
			if (x.first == a)
				return x.second;
		return -1;
	}
};

} // namespace

TEST(LinkWatch, ASilentConnectionGetsASecondOneLongBeforeItIsLost)
{
	Watch w;

	w.run_ms(500);
	EXPECT_EQ(w.first_ms(SNIPE_LINK_PING), 225);
	EXPECT_LE(w.first_ms(SNIPE_LINK_RECONNECT), 300);
	EXPECT_GT(w.first_ms(SNIPE_LINK_RECONNECT), 0);
}

TEST(LinkWatch, AnIdleLinkIsLeftAloneUnlessACheckIsDemanded)
{
	Watch w;

	w.state.is_awaiting = 0;
	w.run_ms(2000);
	EXPECT_TRUE(w.actions.empty());
	snipe_link_watch_demand_check(&w.w, w.now);
	w.start = w.now;
	w.run_ms(200);
	EXPECT_EQ(w.first_ms(SNIPE_LINK_PING), 0);
	EXPECT_GT(w.first_ms(SNIPE_LINK_RECONNECT), 0);
}

TEST(LinkWatch, APeerThatAnswersIsNotSuspected)
{
	Watch w;

	for (int i = 0; i < 50; i++) {
		w.run_ms(250);
		snipe_link_watch_ponged(&w.w, w.now);
	}
	EXPECT_EQ(w.count(SNIPE_LINK_RECONNECT), 0);
	EXPECT_GT(w.count(SNIPE_LINK_PING), 10);
}

// Its pongs take 80 ms, longer than the shortest time after which one is overdue.
TEST(LinkWatch, APeerWithLongRoundTripsIsGivenMoreTime)
{
	Watch w;

	w.w.round_trip_us = 80000;
	w.run_ms(475);
	EXPECT_EQ(w.count(SNIPE_LINK_RECONNECT), 0);
	w.run_ms(150);
	EXPECT_EQ(w.count(SNIPE_LINK_RECONNECT), 1);
}

TEST(LinkWatch, APeerWhoseKernelAnswersIsSlowAndNotLost)
{
	Watch w;

	w.run_ms(300);
	w.state.has_accepted_try = 1;
	w.run_ms(5000);
	EXPECT_GT(w.count(SNIPE_LINK_SLOW), 0);
	EXPECT_GE(w.first_ms(SNIPE_LINK_SLOW), 750);
	EXPECT_EQ(w.count(SNIPE_LINK_LOST), 0);
	w.run_ms(6000);
	EXPECT_GT(w.count(SNIPE_LINK_LOST), 0) << "longer than callers wait";
}

TEST(LinkWatch, APeerThatNoNewConnectionReachesIsLost)
{
	Watch w;

	w.run_ms(1000);
	EXPECT_EQ(w.first_ms(SNIPE_LINK_LOST), 775);
}

TEST(LinkWatch, NewConnectionsToOnePeerBecomeRarer)
{
	Watch w;
	int tries = 0;

	for (int i = 0; i < 40; i++) {
		w.run_ms(350);
		tries += w.state.is_trying;
		w.state.is_trying = 0; // each of them fails
		w.w.heard_us = w.now;  // and yet the link lives
	}
	EXPECT_LE(tries, 9) << "in fourteen seconds";
	EXPECT_GE(tries, 3);
	snipe_link_watch_restored(&w.w, w.now);
	w.actions.clear();
	w.start = w.now;
	w.run_ms(350);
	EXPECT_EQ(w.count(SNIPE_LINK_RECONNECT), 1);
}
