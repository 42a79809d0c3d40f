// Guards against costs that are lost when all nodes are killed, and against nodes that write
// over each other or too often.
#include <gtest/gtest.h>

#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "gateway/cost_log.h"
#include "support/held_store.h"
#include "support/loop.h"

namespace
{

constexpr uint64_t READ = 1, PAY = 2, DEEP = 12;

struct CostLog : testing::Test {
	Loop loop;
	HeldStore store;
	struct snipe_route_costs costs = {};
	struct snipe_cost_log log = {};
	int64_t now = snipe_now_us();

	void start(bool is_first_start)
	{
		struct snipe_kept_object_config c = {loop.base, &store.store, "costs",
						     SNIPE_COST_LOG_NAME, is_first_start};

		stop();
		snipe_route_costs_init(&costs);
		snipe_cost_log_init(&log, &costs, &c);
	}
	void stop()
	{
		snipe_cost_log_finish(&log);
		snipe_route_costs_finish(&costs);
	}
	void TearDown() override
	{
		stop();
	}
	void learn(uint64_t route, double us)
	{
		struct snipe_chain_cost cost = {{{DEEP, us}}, 1, 0};

		for (int i = 0; i < 20; i++)
			snipe_route_costs_learn(&costs, snipe_route_costs_handle(&costs, route),
						snipe_wall_ms(), &cost);
	}
	double cost(uint64_t route)
	{
		return snipe_chain_cost_at(
			snipe_route_costs_at(&costs, snipe_route_costs_handle(&costs, route),
					     DEEP),
			DEEP);
	}
	// Lets time pass for the log.
	void update(double seconds, int rank = 0)
	{
		for (int i = 0; i < (int)(seconds * 10); i++) {
			now += 100000;
			if (snipe_cost_log_is_due(&log, now))
				snipe_cost_log_update(&log, now, rank);
		}
	}
	void expect_calls(size_t count)
	{
		ASSERT_TRUE(loop.until([&] { return store.calls.size() >= count; }));
		EXPECT_EQ(store.calls.size(), count);
	}
};

} // namespace

TEST_F(CostLog, ALaterProcessKnowsTheCosts)
{
	start(true);
	learn(READ, 50000);
	update(2);
	expect_calls(1);
	EXPECT_EQ(store.calls[0].what, "put");
	std::string text = store.calls[0].value;
	store.calls[0].answer(0, 5);
	start(false);
	expect_calls(2);
	EXPECT_EQ(store.calls[1].what, "get");
	store.calls[1].answer(0, 5, text);
	EXPECT_EQ(cost(READ), 50000);
	update(20);
	loop.run_ms(50);
	EXPECT_EQ(store.calls.size(), 2u) << "nothing new to write";
}

TEST_F(CostLog, OneNodeWritesAndNotOften)
{
	start(true);
	learn(READ, 50000);
	update(20, 1);
	loop.run_ms(50);
	EXPECT_EQ(store.calls.size(), 0u) << "another node has rank 0";
	update(2);
	expect_calls(1);
	store.calls[0].answer(0, 5);
	learn(READ, 150000);
	update(3);
	loop.run_ms(50);
	EXPECT_EQ(store.calls.size(), 1u);
	update(3);
	expect_calls(2);
	EXPECT_EQ(store.calls[1].version, 5u);
}

// The node that wrote was killed, and the next one takes over with an old version.
TEST_F(CostLog, MergesWhatAnotherNodeWrote)
{
	start(true);
	learn(READ, 50000);
	update(2);
	expect_calls(1);
	store.calls[0].answer(SNIPE_ERR_CONFLICT);
	expect_calls(2);
	EXPECT_EQ(store.calls[1].what, "get");
	store.calls[1].answer(0, 9,
			      "0000000000000002 " + std::to_string(snipe_wall_ms()) +
				      " 000000000000000c 7000\n");
	expect_calls(3);
	EXPECT_EQ(store.calls[2].what, "put");
	EXPECT_EQ(store.calls[2].version, 9u);
	EXPECT_NE(store.calls[2].value.find("000000000000000c 50000"), std::string::npos);
	EXPECT_NE(store.calls[2].value.find("000000000000000c 7000"), std::string::npos);
	EXPECT_EQ(cost(PAY), 7000);
}

TEST_F(CostLog, AnObjectThatCannotBeReadIsWrittenAnew)
{
	start(false);
	expect_calls(1);
	store.calls[0].answer(0, 3, "what is this");
	learn(READ, 50000);
	update(2);
	expect_calls(2);
	EXPECT_EQ(store.calls[1].what, "put");
	EXPECT_EQ(store.calls[1].version, 3u);
}
