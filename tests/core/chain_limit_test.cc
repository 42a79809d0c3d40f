// Guards against work that is done above a service which cannot complete it, against important
// requests behind less important ones, and against requests that are rejected although the
// service has room.
#include <gtest/gtest.h>

#include <glib.h>

#include <cmath>
#include <cstring>
#include <vector>

#include "core/chain_limit.h"

namespace
{

constexpr uint64_t DEEP = 7, OTHER = 8;
constexpr int64_t STEP_US = 100000;

// Fluid model of a fleet: entries in which requests arrive, and one service at the end of their
// chains. Each request makes some calls there, and is lost with the first one that is rejected.
struct Fleet {
	struct Route {
		int rank;
		double per_s;	     // requests, at all entries together
		int calls;	     // for each request
		double admitted = 0; // requests a second, in the last step
		double served = 0;   // mean requests a second, in the last run
	};
	std::vector<struct snipe_chain_limit> entries;
	std::vector<Route> routes;
	double slots = 40, slot_us = 20000;
	double known_slot_us = 20000; // as the entries believe
	double chance_rejected = 0;   // part that the servers reject whatever they get
	double overloaded = 0, busy = 0;
	int report_delay = 10; // steps between a state and the update that knows it
	std::vector<std::pair<double, double>> states; // busy, overloaded
	int64_t now = 1000000;
	bool is_limited = true;

	explicit Fleet(int count, std::vector<Route> r) : entries(count), routes(r)
	{
		for (auto &e : entries)
			snipe_chain_limit_init(&e, now);
	}
	struct snipe_chain_cost cost(const Route &r) const
	{
		return {{{DEEP, r.calls * known_slot_us}}, 1, 0};
	}
	void update()
	{
		std::vector<struct snipe_chain_demand> all;
		struct snipe_chain_demand demands[8];
		auto state = states.size() > (size_t)report_delay
				     ? states[states.size() - 1 - report_delay]
				     : std::make_pair(0.0, 0.0);

		for (auto &from : entries) {
			int n = snipe_chain_limit_demand(&from, now, demands, 8);

			all.insert(all.end(), demands, demands + n);
		}
		for (auto &e : entries) {
			snipe_chain_limit_begin_update(&e);
			for (const auto &d : all)
				snipe_chain_limit_add_demand(&e, &d);
			snipe_chain_limit_add_server(&e, DEEP, (int)slots, (int)state.first,
						     state.second);
			snipe_chain_limit_end_update(&e, now, 1000000);
		}
	}
	void step()
	{
		double calls = 0, capacity = slots * 1e6 / slot_us, pass;
		uint64_t bottleneck;

		for (Route &r : routes) {
			struct snipe_chain_cost c = cost(r);
			int arrivals = (int)(r.per_s * STEP_US / 1e6 / entries.size());
			double admitted = 0;

			for (auto &e : entries)
				for (int i = 0; i < arrivals; i++)
					admitted += snipe_chain_limit_offer(&e, now, 0, r.rank,
									    &c, &bottleneck);
			r.admitted = is_limited ? admitted * 1e6 / STEP_US
						: arrivals * entries.size() * 1e6 / STEP_US;
		}
		// A chain that loses a call makes no further ones.
		overloaded = 0;
		for (int round = 0; round < 20; round++) {
			pass = (1 - overloaded) * (1 - chance_rejected);
			calls = 0;
			for (Route &r : routes)
				calls += r.admitted *
					 (pass < 1 ? (1 - pow(pass, r.calls)) / (1 - pass)
						   : r.calls);
			calls *= 1 - chance_rejected;
			overloaded =
				0.5 * overloaded + 0.5 * MAX(0, 1 - capacity / MAX(calls, 1));
		}
		pass = (1 - overloaded) * (1 - chance_rejected);
		busy = MIN(slots, calls * slot_us / 1e6);
		for (Route &r : routes)
			r.served += r.admitted * pow(pass, r.calls);
		states.push_back({busy, overloaded});
		now += STEP_US;
		update();
	}
	void run(double seconds)
	{
		int steps = (int)(seconds * 1e6 / STEP_US);

		for (Route &r : routes)
			r.served = 0;
		for (int i = 0; i < steps; i++)
			step();
		for (Route &r : routes)
			r.served /= steps;
	}
	// Part of the capacity that whole requests use.
	double goodput() const
	{
		double calls = 0;

		for (const Route &r : routes)
			calls += r.served * r.calls;
		return calls / (slots * 1e6 / slot_us);
	}
};

// 2,400 and 1,600 calls a second, for 2,000 that the service can complete.
std::vector<Fleet::Route> twice_the_capacity()
{
	return {{2, 600, 4}, {0, 200, 8}};
}

} // namespace

TEST(ChainLimit, AdmitsEverythingWhileTheServiceHasRoom)
{
	Fleet f(10, {{2, 200, 4}, {0, 100, 8}});

	f.run(10);
	EXPECT_DOUBLE_EQ(f.routes[0].admitted, 200);
	EXPECT_DOUBLE_EQ(f.routes[1].admitted, 100);
}

TEST(ChainLimit, AServiceShortByHalfIsUsedByWholeRequests)
{
	Fleet limited(10, twice_the_capacity()), open(10, twice_the_capacity());

	open.is_limited = false;
	limited.run(5);
	limited.run(10);
	open.run(15);
	EXPECT_GE(limited.goodput(), 0.9);
	EXPECT_LT(open.goodput(), 0.6);
}

TEST(ChainLimit, ImportantRequestsComeFirstAndTheOthersGetAPart)
{
	Fleet f(10, {{2, 600, 4}, {0, 100, 8}});

	f.run(5);
	f.run(10);
	EXPECT_GT(f.routes[1].served, 90);
	EXPECT_GT(f.routes[0].served, 100);

	Fleet short_for_important(10, {{2, 600, 4}, {0, 500, 8}});

	short_for_important.run(5);
	short_for_important.run(10);
	EXPECT_GT(short_for_important.routes[1].served, 150);
	EXPECT_GT(short_for_important.routes[0].served, 2);
}

TEST(ChainLimit, OpensAsSoonAsCapacityReturns)
{
	Fleet f(10, twice_the_capacity());

	f.run(10);
	ASSERT_LT(f.routes[0].admitted, 300);
	f.slots = 200;
	f.run(1.5);
	EXPECT_DOUBLE_EQ(f.routes[0].admitted, 600);
	EXPECT_DOUBLE_EQ(f.routes[1].admitted, 200);
}

// Fewer requests would not help servers that reject a part of whatever they get.
TEST(ChainLimit, ServersThatRejectByChanceCloseNothing)
{
	Fleet f(10, {{2, 200, 4}, {0, 100, 8}});

	f.chance_rejected = 0.55;
	f.run(10);
	EXPECT_DOUBLE_EQ(f.routes[0].admitted, 200);
	EXPECT_DOUBLE_EQ(f.routes[1].admitted, 100);
}

TEST(ChainLimit, AWrongCostIsCorrected)
{
	for (double error : {0.5, 2.5}) {
		Fleet f(10, twice_the_capacity());

		f.known_slot_us = f.slot_us * error;
		f.run(10);
		f.run(10);
		EXPECT_GT(f.goodput(), 0.7) << error;
	}
}

TEST(ChainLimit, HoldsWithTheReportsOfALargeFleet)
{
	Fleet f(100, {{2, 6000, 4}, {0, 2000, 8}});

	f.slots = 400;
	f.report_delay = 20;
	f.run(5);
	f.run(10);
	EXPECT_GE(f.goodput(), 0.9);
}

TEST(ChainLimit, TheScarcestServiceOfTheChainDecides)
{
	struct snipe_chain_limit l;
	struct snipe_chain_cost both = {{{DEEP, 1e5}, {OTHER, 1e5}}, 2, 0},
				one = {{{DEEP, 1e5}}, 1, 0};
	uint64_t bottleneck = 0;

	snipe_chain_limit_init(&l, 0);
	for (int i = 0; i < 1000; i++)
		snipe_chain_limit_offer(&l, i * 1000, 0, 0, &both, &bottleneck);
	snipe_chain_limit_begin_update(&l);
	for (uint64_t service : {DEEP, OTHER}) {
		struct snipe_chain_demand d = {service, 0, 100};

		snipe_chain_limit_add_server(&l, service, service == DEEP ? 50 : 25, 100, 0.5);
		snipe_chain_limit_add_demand(&l, &d);
	}
	snipe_chain_limit_end_update(&l, 0, 1000000);
	EXPECT_NEAR(snipe_chain_limit_offer(&l, 1000000, 0, 0, &both, &bottleneck), 0.24, 0.02);
	EXPECT_EQ(bottleneck, OTHER);
	EXPECT_NEAR(snipe_chain_limit_offer(&l, 1000000, 0, 0, &one, &bottleneck), 0.48, 0.03);
	EXPECT_EQ(bottleneck, DEEP);
}

// One service with 50 slots, all in use, whose gates reject half of their calls.
struct FullService {
	struct snipe_chain_limit l;
	struct snipe_chain_cost cost = {{{DEEP, 1e5}}, 1, 0};
	int64_t now = 0;
	uint64_t bottleneck = 0;

	FullService()
	{
		snipe_chain_limit_init(&l, now);
	}
	void run(double seconds, double demand, double rejected_ratio = 0.5)
	{
		for (int64_t end = now + (int64_t)(seconds * 1e6); now < end; now += STEP_US) {
			struct snipe_chain_demand d = {DEEP, 0, demand};

			snipe_chain_limit_begin_update(&l);
			snipe_chain_limit_add_server(&l, DEEP, 50, 50, rejected_ratio);
			snipe_chain_limit_add_demand(&l, &d);
			snipe_chain_limit_end_update(&l, now, 300000);
		}
	}
	double offer(int64_t time_left_us)
	{
		return snipe_chain_limit_offer(&l, now, now + time_left_us, 0, &cost,
					       &bottleneck);
	}
};

// Guards against a limit that closes too far after a restart: for as long as the requests of
// the first second last, the gates reject their calls.
TEST(ChainLimit, RequestsAdmittedBeforeTheLimitDoNotCloseItFurther)
{
	FullService s;

	s.offer(4000000);
	s.run(0.1, 100);
	EXPECT_NEAR(s.offer(4000000), 0.475, 0.01);
	s.run(4, 100);
	EXPECT_NEAR(s.offer(4000000), 0.475, 0.01);
	s.run(6, 100);
	EXPECT_LT(s.offer(4000000), 0.3) << "the costs are too low";
}

TEST(ChainLimit, ALimitStartsAnewOnceTheCostsAreKnown)
{
	FullService s;

	s.offer(1000000);
	s.run(2, 0);
	EXPECT_EQ(s.offer(1000000), 1);
	s.run(0.2, 30);
	EXPECT_LT(s.offer(1000000), 1) << "known in part";
	s.run(0.2, 100);
	EXPECT_NEAR(s.offer(1000000), 0.475, 0.01);
}

TEST(ChainLimit, ARequestThatNeedsVeryLittleOfAServiceIsCutLess)
{
	struct snipe_chain_limit l;
	struct snipe_chain_cost much = {{{DEEP, 1e5}}, 1, 0}, little = {{{DEEP, 1e3}}, 1, 0};
	struct snipe_chain_demand d = {DEEP, 0, 100};
	uint64_t bottleneck = 0;

	snipe_chain_limit_init(&l, 0);
	for (int i = 0; i < 1000; i++)
		snipe_chain_limit_offer(&l, i * 1000, 0, 0, &much, &bottleneck);
	snipe_chain_limit_begin_update(&l);
	snipe_chain_limit_add_server(&l, DEEP, 20, 100, 0.5);
	snipe_chain_limit_add_demand(&l, &d);
	snipe_chain_limit_end_update(&l, 1000000, 1000000);
	EXPECT_LT(snipe_chain_limit_offer(&l, 1000000, 0, 0, &much, &bottleneck), 0.25);
	EXPECT_GT(snipe_chain_limit_offer(&l, 1000000, 0, 0, &little, &bottleneck), 0.95);
}

// A report has room for some entries only.
TEST(ChainLimit, ReportsTheLargestDemandsOfBusyServices)
{
	struct snipe_chain_limit l;
	struct snipe_chain_demand demands[2];
	struct snipe_chain_cost deep = {{{DEEP, 1e5}}, 1, 0}, other = {{{OTHER, 1e5}}, 1, 0};
	uint64_t bottleneck;

	snipe_chain_limit_init(&l, 0);
	for (int rank = 0; rank < 4; rank++)
		for (int i = 0; i < 10 * (rank + 1); i++)
			snipe_chain_limit_offer(&l, 0, 0, rank, &deep, &bottleneck);
	for (int i = 0; i < 100; i++)
		snipe_chain_limit_offer(&l, 0, 0, 0, &other, &bottleneck);
	snipe_chain_limit_begin_update(&l);
	snipe_chain_limit_add_server(&l, DEEP, 20, 16, 0);
	snipe_chain_limit_add_server(&l, OTHER, 20, 5, 0);
	snipe_chain_limit_end_update(&l, 0, 1000000);
	ASSERT_EQ(snipe_chain_limit_demand(&l, 0, demands, 2), 2);
	EXPECT_EQ(demands[0].rank, 3);
	EXPECT_EQ(demands[0].service, DEEP);
	EXPECT_NEAR(demands[0].slots, 4, 0.01);
	EXPECT_EQ(demands[1].rank, 2);
}

TEST(ChainLimit, ForgetsServicesWithoutServers)
{
	struct snipe_chain_limit l;
	struct snipe_chain_demand demands[2];
	int with_servers = 0;

	snipe_chain_limit_init(&l, 0);
	for (uint64_t service = 1; service <= 100; service++) {
		snipe_chain_limit_begin_update(&l);
		snipe_chain_limit_add_server(&l, service, 10, 9, 0);
		snipe_chain_limit_end_update(&l, (int64_t)service, 1000000);
	}
	EXPECT_EQ(l.service_count, SNIPE_CHAIN_LIMIT_SERVICES);
	EXPECT_EQ(snipe_chain_limit_demand(&l, 100, demands, 2), 0);
	snipe_chain_limit_begin_update(&l);
	snipe_chain_limit_add_server(&l, 100, 10, 9, 0);
	snipe_chain_limit_end_update(&l, 101, 1000000);
	for (int i = 0; i < l.service_count; i++)
		with_servers += l.services[i].has_servers;
	EXPECT_EQ(with_servers, 1);
}
