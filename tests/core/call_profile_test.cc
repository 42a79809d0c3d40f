// Guards against client requests that are held back for a service which their route does not
// call, and against admitting requests without knowing what they need further down.
#include <gtest/gtest.h>

#include <glib.h>

#include <queue>
#include <random>
#include <vector>

#include "core/call_profile.h"

namespace
{

constexpr uint64_t TIPS = 1, CARDS = 2, LOOKUP = 11, TEMPLATES = 12;
constexpr uint64_t OWN = 100, DEEP = 101, DEEPER = 102;

// A server that runs requests of several routes, whose calls are spread over their run.
struct Server {
	struct snipe_call_profile profile;
	std::mt19937 rng{1};
	int64_t now = 1000000;
	struct Event {
		int64_t at;
		int kind; // 0: call, 1: end
		uint64_t route;
		int64_t run_us;
		bool fails = false;
		bool operator<(const Event &o) const
		{
			return at > o.at;
		}
	};
	std::priority_queue<Event> events;
	bool calls_fail = false;
	double failing_part = 0; // part of the calls that fail, and end their run
	double failing_runs = 0; // part of the runs that fail although their calls succeed
	bool states_cost = true;
	int64_t min_run_us = 60000, max_run_us = 180000;
	bool calls_at_once = false; // all calls are made, also if one fails

	Server()
	{
		snipe_call_profile_init(&profile, now);
	}
	void handle(const Event &e)
	{
		struct snipe_chain_cost cost = {{{DEEP, 20000.0}}, 1, 0};

		bool fails = calls_fail || e.fails;

		if (e.kind == 1) {
			snipe_call_profile_end(&profile, e.at, e.route, e.run_us, !fails);
			return;
		}
		snipe_call_profile_call(&profile, e.at, e.route);
		snipe_call_profile_answer(&profile, e.route, !fails,
					  fails || !states_cost ? nullptr : &cost);
	}
	void start(uint64_t route, uint64_t callee, int calls)
	{
		int64_t run =
			std::uniform_int_distribution<int64_t>(min_run_us, max_run_us)(rng);
		int64_t step = run / (calls + 2);
		bool any_fails = false;

		snipe_call_profile_start(&profile, now, route);
		for (int i = 0; i < calls; i++) {
			bool fails = std::uniform_real_distribution<>()(rng) < failing_part;
			events.push({now + step * (i + 1), 0, callee, 0, fails});
			any_fails |= fails;
			if (fails && !calls_at_once) {
				run = step * (i + 1);
				break;
			}
		}
		any_fails |= std::uniform_real_distribution<>()(rng) < failing_runs;
		events.push({now + run, 1, route, run, any_fails});
	}
	struct Load {
		uint64_t route;
		double per_s;
		uint64_t callee;
		int calls;
	};
	void run(double seconds, const std::vector<Load> &loads)
	{
		int64_t end = now + (int64_t)(seconds * 1e6);

		for (; now < end; now += 1000) {
			while (!events.empty() && events.top().at <= now) {
				handle(events.top());
				events.pop();
			}
			for (const Load &l : loads)
				if (std::uniform_real_distribution<>()(rng) < l.per_s / 1000)
					start(l.route, l.callee, l.calls);
		}
	}
	bool is_rough(uint64_t route)
	{
		struct snipe_chain_cost c;

		return snipe_call_profile_cost(&profile, route, OWN, &c) == 0 && c.is_rough;
	}
	// Slot time that a request of the route needs at a service, 0 if none.
	double cost(uint64_t route, uint64_t service)
	{
		struct snipe_chain_cost c;

		if (snipe_call_profile_cost(&profile, route, OWN, &c) < 0)
			return -1;
		return snipe_chain_cost_at(&c, service);
	}
};

} // namespace

TEST(CallProfile, LearnsTheCallsOfARouteAndTheirCostFurtherDown)
{
	Server s;

	s.run(10, {{TIPS, 40, LOOKUP, 4}});
	EXPECT_NEAR(s.cost(TIPS, DEEP), 4 * 20000, 4000);
	EXPECT_NEAR(s.cost(TIPS, OWN), 120000, 15000);
}

TEST(CallProfile, TellsApartARouteThatMakesAllCallsAndOneThatMakesNone)
{
	for (int seed = 1; seed <= 20; seed++) {
		Server s;

		s.rng.seed(seed);
		s.run(10, {{TIPS, 60, LOOKUP, 4}, {CARDS, 10, 0, 0}});
		EXPECT_NEAR(s.cost(TIPS, DEEP), 4 * 20000, 8000) << seed;
		EXPECT_EQ(s.cost(CARDS, DEEP), 0) << seed;
	}
}

TEST(CallProfile, TellsApartRoutesThatMakeDifferentNumbersOfCalls)
{
	Server s;

	s.run(30, {{TIPS, 60, LOOKUP, 1}, {CARDS, 30, LOOKUP, 3}});
	EXPECT_NEAR(s.cost(TIPS, DEEP), 20000, 6000);
	EXPECT_NEAR(s.cost(CARDS, DEEP), 3 * 20000, 12000);
}

// Chains end early while their calls fail: they seem to make fewer calls than they need.
TEST(CallProfile, LearnsNothingWhileCallsFail)
{
	Server s;

	s.run(10, {{TIPS, 40, LOOKUP, 4}});
	s.calls_fail = true;
	s.run(20, {{TIPS, 40, LOOKUP, 1}});
	EXPECT_NEAR(s.cost(TIPS, DEEP), 4 * 20000, 6000);
}

// Guards against a shortage that starts before the first calm second and is never seen.
TEST(CallProfile, CallsThatFailFromTheStartTeachARoughCost)
{
	Server s;

	s.failing_part = 0.4;
	s.run(5, {{TIPS, 60, LOOKUP, 4}, {CARDS, 10, 0, 0}});
	EXPECT_NEAR(s.cost(TIPS, DEEP), 4 * 20000, 16000);
	EXPECT_EQ(s.cost(CARDS, DEEP), 0);
	EXPECT_TRUE(s.is_rough(TIPS));
	s.failing_part = 0;
	s.run(10, {{TIPS, 60, LOOKUP, 4}, {CARDS, 10, 0, 0}});
	EXPECT_NEAR(s.cost(TIPS, DEEP), 4 * 20000, 8000);
	EXPECT_EQ(s.cost(CARDS, DEEP), 0);
	EXPECT_FALSE(s.is_rough(TIPS));
}

// Guards against a cost that seems final although it lacks the services further down.
TEST(CallProfile, ACostWithoutThatOfItsCallsIsRough)
{
	Server s;

	s.states_cost = false;
	s.run(10, {{TIPS, 40, LOOKUP, 4}});
	EXPECT_EQ(s.cost(TIPS, DEEP), 0);
	EXPECT_TRUE(s.is_rough(TIPS));
	s.states_cost = true;
	s.run(1, {{TIPS, 40, LOOKUP, 4}});
	EXPECT_NEAR(s.cost(TIPS, DEEP), 4 * 20000, 4000);
	EXPECT_FALSE(s.is_rough(TIPS));
}

// Guards against a cost that is too high for many seconds after a start: the first runs have
// made their calls before they end.
TEST(CallProfile, RunsThatHaveNotEndedDoNotRaiseTheCost)
{
	Server s;

	s.min_run_us = 1500000;
	s.max_run_us = 2500000;
	for (int i = 0; i < 40; i++) {
		s.run(0.25, {{TIPS, 40, LOOKUP, 4}});
		EXPECT_LT(s.cost(TIPS, DEEP), 1.25 * 4 * 20000) << i;
	}
	EXPECT_NEAR(s.cost(TIPS, DEEP), 4 * 20000, 16000);
}

// Guards against a cost from calm times that is too low, and cannot be corrected in a shortage.
TEST(CallProfile, CallsThatFailCorrectACostThatIsFarTooLow)
{
	Server s;

	s.run(10, {{TIPS, 60, LOOKUP, 1}});
	s.failing_part = 0.3;
	s.run(5, {{TIPS, 60, LOOKUP, 4}});
	EXPECT_GE(s.cost(TIPS, DEEP), 3 * 20000);
	EXPECT_TRUE(s.is_rough(TIPS));
	s.failing_part = 0;
	s.run(60, {{TIPS, 60, LOOKUP, 4}});
	EXPECT_NEAR(s.cost(TIPS, DEEP), 4 * 20000, 12000);
	EXPECT_FALSE(s.is_rough(TIPS));
}

// Guards against a cost that stays rough because of a route on which clients need no key.
TEST(CallProfile, RareCallsDoNotKeepACostRough)
{
	Server s;

	for (int i = 0; i < 20; i++) {
		s.run(0.5, {{TIPS, 40, LOOKUP, 4}});
		snipe_call_profile_call(&s.profile, s.now, TEMPLATES);
		snipe_call_profile_answer(&s.profile, TEMPLATES, 1, nullptr);
	}
	EXPECT_FALSE(s.is_rough(TIPS));
}

TEST(CallProfile, RunsThatFailByThemselvesDoNotRaiseTheRoughCost)
{
	Server s;

	s.failing_part = 0.1;
	s.failing_runs = 0.5;
	s.run(10, {{TIPS, 60, LOOKUP, 1}});
	EXPECT_TRUE(s.is_rough(TIPS));
	EXPECT_NEAR(s.cost(TIPS, DEEP), 20000, 4000);
}

TEST(CallProfile, CallsAtTheSameTimeDoNotRaiseTheRoughCost)
{
	Server s;

	s.failing_part = 0.3;
	s.calls_at_once = true;
	s.run(10, {{TIPS, 60, LOOKUP, 4}});
	EXPECT_TRUE(s.is_rough(TIPS));
	EXPECT_NEAR(s.cost(TIPS, DEEP), 4 * 20000, 16000);
}

TEST(CallProfile, FollowsAChangeOfTheCalls)
{
	Server s;

	s.run(10, {{TIPS, 40, LOOKUP, 4}});
	s.run(90, {{TIPS, 40, TEMPLATES, 2}});
	EXPECT_NEAR(s.cost(TIPS, DEEP), 2 * 20000, 8000);
}

TEST(CallProfile, TheCostIsUnknownBeforeSomeRequestsHaveEnded)
{
	Server s;

	EXPECT_LT(s.cost(TIPS, OWN), 0);
	s.run(0.3, {{TIPS, 10, LOOKUP, 4}});
	EXPECT_LT(s.cost(TIPS, OWN), 0);
}

TEST(CallProfile, RoutesBeyondTheLimitAreIgnored)
{
	Server s;
	std::vector<Server::Load> loads;
	int known = 0;

	for (uint64_t r = 1; r <= SNIPE_CALL_PROFILE_ROUTES + 4; r++)
		loads.push_back({r, 20, r + 1000, 1});
	s.run(5, loads);
	for (const auto &l : loads)
		known += s.cost(l.route, OWN) >= 0;
	EXPECT_EQ(known, SNIPE_CALL_PROFILE_ROUTES);
}

TEST(ChainCost, SumsAndKeepsTheLargestServices)
{
	struct snipe_chain_cost sum = {}, one = {{{DEEP, 10.0}, {DEEPER, 5.0}}, 2, 0}, big = {};

	snipe_chain_cost_add(&sum, &one, 2);
	snipe_chain_cost_add(&sum, &one, 1);
	EXPECT_EQ(snipe_chain_cost_at(&sum, DEEP), 30);
	EXPECT_EQ(snipe_chain_cost_at(&sum, DEEPER), 15);
	EXPECT_EQ(snipe_chain_cost_at(&sum, OWN), 0);
	for (uint64_t s = 1; s <= SNIPE_CHAIN_MAX_SERVICES; s++) {
		one = {{{s, 20.0 + s}}, 1, 0};
		snipe_chain_cost_add(&big, &one, 1);
	}
	snipe_chain_cost_add(&big, &sum, 1);
	EXPECT_EQ(big.count, SNIPE_CHAIN_MAX_SERVICES);
	EXPECT_EQ(snipe_chain_cost_at(&big, DEEP), 30);
	EXPECT_EQ(snipe_chain_cost_at(&big, 1), 0);
}

TEST(ChainCost, ARoughSampleReplacesAMeanThatItExceeds)
{
	struct snipe_chain_cost mean = {{{OWN, 100.0}}, 1, 0},
				rough = {{{OWN, 100.0}, {DEEP, 50.0}}, 2, 1};

	snipe_chain_cost_average(&mean, &rough, 0.5);
	EXPECT_EQ(snipe_chain_cost_at(&mean, DEEP), 50);
	EXPECT_TRUE(mean.is_rough);
	rough = {{{OWN, 150.0}, {DEEP, 90.0}}, 2, 1};
	mean.is_rough = 0;
	snipe_chain_cost_average(&mean, &rough, 0.5);
	EXPECT_EQ(snipe_chain_cost_at(&mean, DEEP), 50) << "not over twice as much";
}

TEST(ChainCost, ARoughSampleChangesOnlyARoughMean)
{
	struct snipe_chain_cost mean = {}, rough = {{{DEEP, 10.0}}, 1, 1},
				good = {{{DEEP, 20.0}}, 1, 0};

	snipe_chain_cost_average(&mean, &rough, 0.5);
	EXPECT_EQ(snipe_chain_cost_at(&mean, DEEP), 10);
	snipe_chain_cost_average(&mean, &good, 0.5);
	EXPECT_EQ(snipe_chain_cost_at(&mean, DEEP), 20);
	snipe_chain_cost_average(&mean, &rough, 0.5);
	EXPECT_EQ(snipe_chain_cost_at(&mean, DEEP), 20);
	EXPECT_FALSE(mean.is_rough);
}

TEST(ChainCost, AMeanMovesTowardsEachSample)
{
	struct snipe_chain_cost mean = {}, one = {{{DEEP, 10.0}}, 1, 0},
				two = {{{DEEP, 20.0}}, 1, 0};

	snipe_chain_cost_average(&mean, &one, 0.5);
	EXPECT_EQ(snipe_chain_cost_at(&mean, DEEP), 10);
	snipe_chain_cost_average(&mean, &two, 0.5);
	EXPECT_EQ(snipe_chain_cost_at(&mean, DEEP), 15);
}
