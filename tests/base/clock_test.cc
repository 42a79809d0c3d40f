// Guards against timers that never fire, or fire early, because of a wrong conversion.
#include <gtest/gtest.h>

#include "base/clock.h"

TEST(Timeval, SplitsIntoSecondsAndMicroseconds)
{
	struct timeval tv = snipe_timeval(3000001);

	EXPECT_EQ(tv.tv_sec, 3);
	EXPECT_EQ(tv.tv_usec, 1);
	tv = snipe_timeval(999999);
	EXPECT_EQ(tv.tv_sec, 0);
	EXPECT_EQ(tv.tv_usec, 999999);
}

TEST(Timeval, NegativeDurationIsZero)
{
	struct timeval tv = snipe_timeval(-1500000);

	EXPECT_EQ(tv.tv_sec, 0);
	EXPECT_EQ(tv.tv_usec, 0);
}
