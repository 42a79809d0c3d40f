// Guards against a largest value that is forgotten at once, or never.
#include "core/recent_max.h"

#include <gtest/gtest.h>

TEST(RecentMax, WithoutValuesThereIsNone)
{
	struct snipe_recent_max m = {};
	int64_t max = 1;

	EXPECT_EQ(snipe_recent_max_get(&m, 5000000000, &max), 0);
	EXPECT_EQ(max, 0);
}

TEST(RecentMax, KeepsTheLargestForThirtySecondsAndForgetsItAfterSixty)
{
	struct snipe_recent_max m = {};
	int64_t start = 5000000000, max;

	snipe_recent_max_add(&m, start, 7);
	snipe_recent_max_add(&m, start + 1000000, 900);
	snipe_recent_max_add(&m, start + 2000000, 8);
	EXPECT_EQ(snipe_recent_max_get(&m, start + 3000000, &max), 3);
	EXPECT_EQ(max, 900);
	snipe_recent_max_add(&m, start + 31000000, 5);
	EXPECT_EQ(snipe_recent_max_get(&m, start + 31000000, &max), 4);
	EXPECT_EQ(max, 900);
	EXPECT_EQ(snipe_recent_max_get(&m, start + 62000000, &max), 1);
	EXPECT_EQ(max, 5);
	EXPECT_EQ(snipe_recent_max_get(&m, start + 200000000, &max), 0);
}
