// Guards against costs that a later process does not get, and against old ones that it keeps
// although answers or the tables say otherwise.
#include <gtest/gtest.h>

#include <string>

#include "base/error.h"
#include "core/route_costs.h"

namespace
{

constexpr uint64_t READ = 1, PAY = 2, FRONT = 11, DEEP = 12, OTHER = 13;
constexpr int64_t NOW_MS = 1790000000000, DAY_MS = 24 * 3600 * 1000;

struct Costs {
	struct snipe_route_costs c;

	Costs()
	{
		snipe_route_costs_init(&c);
	}
	~Costs()
	{
		snipe_route_costs_finish(&c);
	}
	void learn(uint64_t route, double deep_us, int is_rough = 0)
	{
		struct snipe_chain_cost cost = {
			{{FRONT, 1000.0}, {DEEP, deep_us}}, 2, is_rough};

		snipe_route_costs_learn(&c, snipe_route_costs_handle(&c, route), NOW_MS, &cost);
	}
	double deep(uint64_t route, uint64_t service = FRONT)
	{
		return snipe_chain_cost_at(
			snipe_route_costs_at(&c, snipe_route_costs_handle(&c, route), service),
			DEEP);
	}
	std::string print()
	{
		struct snipe_buffer out;

		snipe_buffer_init(&out);
		snipe_route_costs_print(&c, &out);
		std::string text(snipe_buffer_str(&out), out.len);
		snipe_buffer_finish(&out);
		return text;
	}
	int load(const std::string &text, int64_t now_ms = NOW_MS)
	{
		return snipe_route_costs_load(&c, now_ms, text.data(), text.size());
	}
};

} // namespace

TEST(RouteCosts, ALaterProcessKnowsThem)
{
	Costs before, after;

	before.learn(READ, 50000);
	before.learn(PAY, 20000);
	EXPECT_EQ(after.load(before.print(), NOW_MS + DAY_MS / 2), 2);
	EXPECT_EQ(after.deep(READ), 50000);
	EXPECT_EQ(after.deep(PAY), 20000);
	EXPECT_FALSE(snipe_route_costs_have_changed(&after.c)) << "nothing new to write";
}

TEST(RouteCosts, AnAnswerReplacesALoadedCostAtOnce)
{
	Costs before, after;

	before.learn(READ, 50000);
	after.load(before.print());
	after.learn(READ, 90000, 1);
	EXPECT_EQ(after.deep(READ), 50000) << "a rough cost is no better";
	after.learn(READ, 110000, 1);
	EXPECT_EQ(after.deep(READ), 110000) << "the loaded cost cannot be right";
	after.learn(READ, 10000);
	EXPECT_EQ(after.deep(READ), 10000);
	EXPECT_TRUE(snipe_route_costs_have_changed(&after.c));
	after.learn(READ, 20000);
	EXPECT_NEAR(after.deep(READ), 13000, 1);
}

TEST(RouteCosts, ALoadedCostOfARouteThatLedElsewhereDoesNotHold)
{
	Costs before, after;

	before.learn(READ, 50000);
	after.load(before.print());
	EXPECT_EQ(after.deep(READ, OTHER), 0);
	EXPECT_EQ(after.deep(READ, FRONT), 50000);
}

TEST(RouteCosts, OldAndRoughCostsAreLeftOut)
{
	Costs before, after;

	before.learn(READ, 50000);
	before.learn(PAY, 20000, 1);
	std::string text = before.print();
	EXPECT_EQ(after.load(text, NOW_MS + DAY_MS + 1), 0);
	EXPECT_EQ(after.deep(READ), 0);
	EXPECT_EQ(after.load(text), 1);
	EXPECT_EQ(after.deep(PAY), 0);
}

TEST(RouteCosts, WhatThisProcessLearnedIsNotReplacedByALoad)
{
	Costs one, two;

	one.learn(READ, 50000);
	two.learn(READ, 10000);
	EXPECT_EQ(two.load(one.print()), 0);
	EXPECT_EQ(two.deep(READ), 10000);
	EXPECT_TRUE(snipe_route_costs_have_changed(&two.c)) << "the store has another cost";
}

TEST(RouteCosts, SmallChangesAreNotWritten)
{
	Costs c;

	c.learn(READ, 50000);
	EXPECT_TRUE(snipe_route_costs_have_changed(&c.c));
	c.print();
	EXPECT_FALSE(snipe_route_costs_have_changed(&c.c));
	for (int i = 0; i < 20; i++)
		c.learn(READ, 60000);
	EXPECT_FALSE(snipe_route_costs_have_changed(&c.c));
	for (int i = 0; i < 20; i++)
		c.learn(READ, 100000);
	EXPECT_TRUE(snipe_route_costs_have_changed(&c.c));
}

TEST(RouteCosts, BadTextIsRejected)
{
	const std::string at = " 1790000000000";

	const std::string texts[] = {"x",
				     "1",
				     "1" + at + " 2",
				     "1" + at + " 2 x",
				     "1" + at + " 2 -5",
				     "1" + at + " 2 nan",
				     "1" + at + " 2 1e30",
				     "1 -3 2 5",
				     "1" + at + " 1 1 2 1 3 1 4 1 5 1 6 1 7 1 8 1 9 1"};

	for (const std::string &bad : texts) {
		Costs c;

		EXPECT_EQ(c.load(bad + "\n"), SNIPE_ERR_SYNTAX) << bad;
		EXPECT_EQ(c.deep(1), 0) << bad;
	}
	Costs c;
	EXPECT_EQ(c.load(""), 0);
	EXPECT_EQ(c.load("1" + at + "\n"), 0) << "no service";
	EXPECT_EQ(c.load("1" + at + " c 5"), 1) << "no end of line";
}
