// Guards against a limit that collapses, grows without bound, or leaves capacity unused after a
// fault. Compares the goodput of a simulated server with its capacity.
#include <gtest/gtest.h>

#include <climits>
#include <string>

#include "simulated_server.h"

namespace
{

struct Case {
	double knee, base_us, contention;
	bool exponential;
};

std::string case_name(const testing::TestParamInfo<Case> &info)
{
	const Case &c = info.param;
	return "Knee" + std::to_string((int)c.knee) + "Us" + std::to_string((int)c.base_us) +
	       (c.contention > 0 ? "Contention" : "") + (c.exponential ? "Exponential" : "");
}

class LimiterOnServer : public testing::TestWithParam<Case>
{
      protected:
	struct snipe_limiter l;
	SimulatedServer server{&l, 7};
	double end_us = 0, healthy_capacity = 0;

	void SetUp() override
	{
		snipe_limiter_init(&l, SNIPE_LIMITER_ADAPTIVE, 120, 0, 0);
		server.knee = GetParam().knee;
		server.base_us = GetParam().base_us;
		server.contention = GetParam().contention;
		server.exponential = GetParam().exponential;
		healthy_capacity = server.capacity();
	}
	// Runs for this many latencies of the idle, healthy server; returns goodput / capacity.
	double run(double latencies)
	{
		double span_us = latencies * server.base_us;

		end_us += span_us;
		return (double)server.run_until(end_us).ok / (span_us / 1e6) /
		       server.capacity();
	}
	// With contention, constant limits reach the capacity only near the knee.
	double min_goodput_share() const
	{
		return server.contention > 0 ? 0.6 : 0.8;
	}
};

// A limit far too low leaves the server idle; one far too high loses goodput to contention and
// timeouts.
TEST_P(LimiterOnServer, SurgeIsServedAtCapacity)
{
	server.rate = healthy_capacity * 10;
	run(100);
	double share = run(400);
	RecordProperty("goodput_share", std::to_string(share));
	EXPECT_GE(share, min_goodput_share());
}

// A slower server has a higher latency at any limit. Lowering the limit further and further
// would turn the slowdown into an outage.
TEST_P(LimiterOnServer, SlowServerKeepsItsGoodputAndRecovers)
{
	server.rate = healthy_capacity * 3;
	run(200);
	server.slowdown = 4;
	run(400);
	EXPECT_GE(run(800), min_goodput_share() * 0.8) << "while slow";
	server.slowdown = 1;
	run(50);
	EXPECT_GE(run(200), min_goodput_share()) << "after recovery";
}

// Lost capacity must lower the limit, and its return must raise it again.
TEST_P(LimiterOnServer, FollowsLossAndReturnOfCapacity)
{
	server.rate = healthy_capacity * 3;
	run(200);
	server.knee /= 4;
	run(400);
	EXPECT_GE(run(400), min_goodput_share() * 0.7) << "with a quarter of the capacity";
	EXPECT_LE(snipe_limiter_limit(&l), GetParam().knee * 3);
	server.knee *= 4;
	run(100);
	EXPECT_GE(run(200), min_goodput_share()) << "after recovery";
}

INSTANTIATE_TEST_SUITE_P(Servers, LimiterOnServer,
			 testing::Values(Case{5, 20000, 0, false}, Case{40, 20000, 0, false},
					 Case{40, 2000, 0, true}, Case{40, 20000, 0, true},
					 Case{20, 20000, 0.3, false},
					 Case{40, 20000, 0.3, true}, Case{100, 20000, 0, true}),
			 case_name);

void record_samples(struct snipe_limiter *l, int count, int64_t *now_us, int64_t latency_us,
		    int in_flight, enum snipe_limiter_sample sample)
{
	for (int i = 0; i < count; i++) {
		*now_us += latency_us / in_flight + 1;
		snipe_limiter_record(l, *now_us, latency_us, in_flight, sample);
	}
}

// In a surge on a server that loses capacity under contention, running without a limit yields
// almost no goodput. A fixed limit at the knee of the healthy server cannot follow a loss of
// capacity.
TEST(Limiter, AdaptiveGoodputExceedsTheOtherPolicies)
{
	double share[3][2];

	for (int policy = 0; policy < 3; policy++) {
		struct snipe_limiter l;
		SimulatedServer server(&l, 5);

		snipe_limiter_init(&l, (enum snipe_limiter_policy)policy, 120, 40, 0);
		server.contention = 0.3;
		server.rate = server.capacity() * 3;
		share[policy][0] = (double)server.run_until(20e6).ok / 20 / server.capacity();
		server.knee /= 8;
		share[policy][1] = (double)server.run_until(40e6).ok / 20 / server.capacity();
		printf("policy %d: %.2f of the capacity in a surge, %.2f after losing 7/8\n",
		       policy, share[policy][0], share[policy][1]);
	}
	EXPECT_GE(share[SNIPE_LIMITER_ADAPTIVE][0], 0.8);
	EXPECT_GE(share[SNIPE_LIMITER_ADAPTIVE][1], share[SNIPE_LIMITER_FIXED][1] * 1.5);
	EXPECT_LE(share[SNIPE_LIMITER_NONE][0], 0.2);
}

// A limit that grew while unused would not limit a sudden surge.
TEST(Limiter, UnusedLimitDoesNotGrow)
{
	struct snipe_limiter l;
	int64_t now = 0;

	snipe_limiter_init(&l, SNIPE_LIMITER_ADAPTIVE, 100, 0, 0);
	for (int i = 0; i < 50 && snipe_limiter_limit(&l) > 30; i++)
		record_samples(&l, 100, &now, 10000, 20, SNIPE_SAMPLE_SHED);
	// Ends the last period that has rejections.
	record_samples(&l, 64, &now, 10000, 2, SNIPE_SAMPLE_OK);
	int low = snipe_limiter_limit(&l);
	ASSERT_LE(low, 30);
	record_samples(&l, 5000, &now, 10000, 2, SNIPE_SAMPLE_OK);
	EXPECT_EQ(snipe_limiter_limit(&l), low);
}

// A limit that starts below the configured slots rejects base load that the server can serve,
// and a surge after it: in the comparison of docs/measurements.md this cost a sixth of the
// goodput.
TEST(Limiter, StartsAtTheConfiguredSlots)
{
	double ok[2];

	for (int fixed = 0; fixed < 2; fixed++) {
		struct snipe_limiter l;
		SimulatedServer server(&l, 5);

		snipe_limiter_init(&l, fixed ? SNIPE_LIMITER_FIXED : SNIPE_LIMITER_ADAPTIVE, 20,
				   20, 0);
		server.knee = 20;
		server.exponential = false;
		server.rate = server.capacity() * 0.6;
		ok[fixed] = (double)server.run_until(3e6).ok;
		EXPECT_EQ(snipe_limiter_limit(&l), 20);
		server.rate = server.capacity() * 3;
		ok[fixed] += (double)server.run_until(6e6).ok;
	}
	EXPECT_GE(ok[0], ok[1]);
}

// A surge after the restart of a node must not overload a server that has less capacity than
// its configured slots.
TEST(Limiter, SurgeWithoutABaselineLowersTheLimitBelowTheSlots)
{
	struct snipe_limiter l;
	int64_t now = 0;

	snipe_limiter_init(&l, SNIPE_LIMITER_ADAPTIVE, 100, 0, 0);
	EXPECT_EQ(snipe_limiter_limit(&l), 100);
	record_samples(&l, 200, &now, 10000, 100, SNIPE_SAMPLE_OK);
	EXPECT_LE(snipe_limiter_limit(&l), 25);
}

// Otherwise a caller with very short timeouts would lower the limit for all callers.
TEST(Limiter, TimeoutShorterThanTheMinimumLatencyIsIgnored)
{
	struct snipe_limiter l;
	int64_t now = 0;

	snipe_limiter_init(&l, SNIPE_LIMITER_ADAPTIVE, 100, 0, 0);
	record_samples(&l, 100, &now, 10000, 2, SNIPE_SAMPLE_OK);
	record_samples(&l, 5000, &now, 1000, 25, SNIPE_SAMPLE_TIMEOUT);
	EXPECT_EQ(snipe_limiter_limit(&l), 100);
}

// A route that always times out must not block the other routes of the pool.
TEST(Limiter, SingleFailingRouteDoesNotCollapseTheLimit)
{
	struct snipe_limiter l;
	int64_t now = 0;

	snipe_limiter_init(&l, SNIPE_LIMITER_ADAPTIVE, 100, 0, 0);
	for (int i = 0; i < 2000; i++) {
		int n = snipe_limiter_limit(&l);
		record_samples(&l, 49, &now, 10000, n, SNIPE_SAMPLE_OK);
		record_samples(&l, 1, &now, 2000000, n, SNIPE_SAMPLE_TIMEOUT);
	}
	EXPECT_GE(snipe_limiter_limit(&l), 12);
}

// Rejections by the server itself must lower the limit although its latency stays low.
TEST(Limiter, LoadSheddingByTheServerLowersTheLimit)
{
	struct snipe_limiter l;
	int64_t now = 0;

	snipe_limiter_init(&l, SNIPE_LIMITER_ADAPTIVE, 100, 0, 0);
	for (int i = 0; i < 200; i++) {
		record_samples(&l, 5, &now, 10000, 25, SNIPE_SAMPLE_OK);
		record_samples(&l, 5, &now, 500, 25, SNIPE_SAMPLE_SHED);
	}
	EXPECT_LE(snipe_limiter_limit(&l), 2);
}

// Checks the policies with a fixed limit and without one, and changes of the slots.
TEST(Limiter, PoliciesAndSlots)
{
	struct snipe_limiter l;
	int64_t now = 0;

	snipe_limiter_init(&l, SNIPE_LIMITER_FIXED, 100, 7, 0);
	record_samples(&l, 1000, &now, 90000, 7, SNIPE_SAMPLE_TIMEOUT);
	EXPECT_EQ(snipe_limiter_limit(&l), 7);
	EXPECT_EQ(snipe_limiter_latency_us(&l), 90000);
	snipe_limiter_init(&l, SNIPE_LIMITER_NONE, 100, 7, 0);
	EXPECT_EQ(snipe_limiter_limit(&l), INT_MAX);
	snipe_limiter_init(&l, SNIPE_LIMITER_ADAPTIVE, 2, 0, 0);
	EXPECT_EQ(snipe_limiter_limit(&l), 2);
	snipe_limiter_init(&l, SNIPE_LIMITER_ADAPTIVE, 100, 0, 0);
	snipe_limiter_set_slots(&l, 10);
	EXPECT_EQ(snipe_limiter_limit(&l), 10);
	snipe_limiter_set_slots(&l, 100);
	EXPECT_EQ(snipe_limiter_limit(&l), 10);
	snipe_limiter_reset(&l, now);
	EXPECT_EQ(snipe_limiter_limit(&l), 100);
}

} // namespace
