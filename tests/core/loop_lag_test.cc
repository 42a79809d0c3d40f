// Guards against an event loop that is late without being seen to be.
#include "core/loop_lag.h"

#include <gtest/gtest.h>

namespace
{

struct LoopLag : testing::Test {
	struct snipe_loop_lag l;

	LoopLag()
	{
		snipe_loop_lag_init(&l);
	}
};

} // namespace

TEST_F(LoopLag, IsZeroBeforeTheFirstProbeAndOnTime)
{
	EXPECT_EQ(snipe_loop_lag_now(&l, 5000000), 0);
	snipe_loop_lag_schedule(&l, 6000000);
	EXPECT_EQ(snipe_loop_lag_now(&l, 5900000), 0);
	EXPECT_EQ(snipe_loop_lag_probe(&l, 5990000), 0) << "a probe may run a little early";
}

// A lag that stays the same must not look like none.
TEST_F(LoopLag, AConstantLagIsSeenByEachProbe)
{
	int64_t now = 1000000;

	for (int i = 0; i < 5; i++) {
		snipe_loop_lag_schedule(&l, now + 100000);
		now += 100000 + 300000;
		EXPECT_EQ(snipe_loop_lag_probe(&l, now), 300000);
	}
	EXPECT_EQ(l.lags_us.total, 5u);
	EXPECT_NEAR((double)snipe_histogram_quantile(&l.lags_us, 0.5), 300000, 20000);
}

TEST_F(LoopLag, AnOverdueProbeCountsBeforeItRuns)
{
	snipe_loop_lag_schedule(&l, 1000000);
	snipe_loop_lag_probe(&l, 1010000);
	snipe_loop_lag_schedule(&l, 1110000);
	EXPECT_EQ(snipe_loop_lag_now(&l, 1100000), 10000);
	EXPECT_EQ(snipe_loop_lag_now(&l, 2110000), 1000000);
}

TEST_F(LoopLag, ThePeakIsTakenOnce)
{
	for (int64_t lag : {20000, 400000, 10000}) {
		snipe_loop_lag_schedule(&l, 1000000);
		snipe_loop_lag_probe(&l, 1000000 + lag);
	}
	EXPECT_EQ(snipe_loop_lag_take_peak(&l), 400000);
	EXPECT_EQ(snipe_loop_lag_take_peak(&l), 0);
}
